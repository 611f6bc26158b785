//! What a daemon tells its peers, and what it takes from their messages.

use crate::events;
use crate::members::list_change_gossip::MAX_CHANGES_PER_DATAGRAM;
use crate::members::member_table::MemberDescriptor;
use crate::members::peer_message::{ListChange, LoadedVersion, PeerMessage, PublishedVersion};
use crate::members::shared_reads::{ReadMark, ReadTracker, STANDBYS};
use crate::parts::part_index::StoreUpdate;
use crate::serve_context::{ServeContext, UpstreamClock};
use crate::upstreams::announcement_watch::{
    AnnouncementBatch, apply_leaving, apply_limit, summary_announcements, urgent_announcements,
};
use crate::upstreams::crash_notice::CrashNotice;
use crate::upstreams::drain_table::DrainNotice;
use crate::upstreams::quarantine_record::QuarantineSync;
use crate::upstreams::upstream_crashes::{apply_cleared, apply_crash, apply_quarantine};
use crate::upstreams::upstream_table::ListChangeEffect;
use guava_log::log_event;
use guava_policy::{ClearNotice, QuarantineNotice};
use guava_types::{Deadline, MemberName, Moment, TokenCount, UpstreamId};
use std::fmt;
use std::net::SocketAddr;

/// How long an upstream counts as loading after a peer said so, in milliseconds, and half of the time
/// at least after which the peer would count as silent: it says so again with each message, and this
/// is more than a pause between two.
const LOADING_MS: u64 = 1_200;

/// How often peers are told all that a followed store holds, in messages: lost datagrams and
/// daemons that start later make up for what they missed.
const WHOLE_EVERY: u64 = 10;
/// Parts told in one message at most, so that it fits into a datagram.
const MOST_PARTS: usize = 300;
/// Stopped requests told in one message at most, of 24 bytes each.
const MOST_STOPS: usize = 32;
/// How old this daemon's reading of the upstreams' clock gets before a peer's is taken, in
/// milliseconds.
const CLOCK_EXPIRY_MS: u64 = 2_000;

/// What a daemon's duties have to tell the others.
#[derive(Clone, Debug)]
pub struct OwnSummary {
    /// This daemon.
    pub member: MemberDescriptor,
    /// Upstreams that load new weights at its order.
    pub loading: Vec<UpstreamId>,
    /// Engines that lately got their weights by its order.
    pub loaded: Vec<LoadedVersion>,
    /// Stores of cached parts that it follows.
    pub followed: Vec<SocketAddr>,
    /// Number of the message.
    pub number: u64,
}

/// What to tell the peers now.
pub fn compose_message(context: &ServeContext, news: OwnSummary, now: Moment) -> PeerMessage {
    let work = context.work.borrow();
    let shares = work.own_shares().map(|(id, share)| (id.clone(), share)).collect();
    let reads = context.reads.borrow();
    let listed = context.list_change_gossip.borrow_mut().told(now);
    let announcements = summary_announcements(context, now);
    // A digest without all changes behind it would make everybody read the list.
    let is_list_told = listed.len() <= MAX_CHANGES_PER_DATAGRAM;
    PeerMessage {
        member: news.member,
        shares,
        sent: std::mem::take(&mut context.sent_prompts.borrow_mut()),
        loading: news.loading,
        targets: published(context, now),
        stores: store_updates(context, &news.followed, news.number),
        operator: reads.operator.own(),
        published_since: None,
        list: reads.list.own().filter(|_| is_list_told),
        loaded: news.loaded,
        clock_ms: context.upstream_clock_in(0, now),
        listed: if is_list_told { listed } else { Vec::new() },
        slow_links: context.links.borrow().slow_links(now),
        speeds: context.speeds.borrow_mut().recent_own(now),
        ended: context.crash_gossip.borrow_mut().repeated(now),
        stops: told_stops(context, now),
        cleared: told_cleared(context),
        knows_quarantines: tells_all_stops(context, now),
        drains: context.drains.borrow().notices(),
        limits: announcements.limits,
        leaving: announcements.leaving,
        is_immediate: false,
        is_continued: false,
        is_for_relay: false,
    }
}

/// Stopped requests as told: nearly always none. Where there are more than fit, others each time.
fn told_stops(context: &ServeContext, now: Moment) -> Vec<QuarantineNotice> {
    let mut stops: Vec<QuarantineNotice> = context.ledger.borrow().quarantines(now).collect();
    if stops.len() > MOST_STOPS {
        let from = rand::random::<u64>() as usize % stops.len();
        stops.rotate_left(from);
        stops.truncate(MOST_STOPS);
    }
    stops
}

/// Whether a message holds all that the records of stopped requests say.
fn tells_all_stops(context: &ServeContext, now: Moment) -> bool {
    context.quarantine_sync.get().is_known
        && context.ledger.borrow().quarantines(now).count() <= MOST_STOPS
}

fn told_cleared(context: &ServeContext) -> Vec<ClearNotice> {
    context.ledger.borrow().cleared().take(MOST_STOPS).collect()
}

/// A note on prompts that were just sent and upstreams that will load weights, if there are any.
/// Until the next message all daemons would else take the same idle engine, and each prompt would
/// wait for the others; or be refused by an engine that loads.
pub fn compose_immediate(context: &ServeContext, note: MemberDescriptor) -> Option<PeerMessage> {
    let sent = std::mem::take(&mut *context.just_sent.borrow_mut());
    let loading = std::mem::take(&mut *context.just_loading.borrow_mut());
    if sent.is_empty() && loading.is_empty() {
        return None;
    }
    Some(PeerMessage { sent, loading, ..PeerMessage::empty(note) })
}

/// Notes on upstreams that just ended, with the requests that are stopped or cleared for it. Told a
/// second later, a request that ends what runs it would have been sent to some upstreams more.
pub fn compose_crash_notices(
    context: &ServeContext,
    note: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    let ends = context.crash_gossip.borrow_mut().take_unsent();
    let message =
        |ended: Vec<CrashNotice>| PeerMessage { ended, ..PeerMessage::empty(note.clone()) };
    let mut messages: Vec<PeerMessage> = ends.into_iter().map(message).collect();
    if context.verdicts_due.take() {
        let (stops, cleared) = (told_stops(context, now), told_cleared(context));
        let last = messages.pop().unwrap_or_else(|| message(Vec::new()));
        messages.push(PeerMessage { stops, cleared, ..last });
    }
    messages
}

/// A note on what upstreams have just said of themselves, if there is any.
pub fn compose_announcements(
    context: &ServeContext,
    note: &MemberDescriptor,
) -> Option<PeerMessage> {
    let AnnouncementBatch { limits, leaving } = urgent_announcements(context);
    let is_due = !limits.is_empty() || !leaving.is_empty();
    is_due.then(|| PeerMessage { limits, leaving, ..PeerMessage::empty(note.clone()) })
}

/// What this daemon has read of the platform's store, if it reads for all; in several messages where
/// the list changed much. Told to the daemons of all data centres directly, since a relay that is
/// suspended would pass an old read on as a new one.
pub fn compose_reads(
    context: &ServeContext,
    note: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    let turn = context.members.borrow().reader_rank(&context.identity.name, now);
    if turn > STANDBYS {
        return Vec::new();
    }
    let reads = context.reads.borrow();
    // The reader tells its reads also when it has heard of a later one: whoever read for itself tells
    // only those near by, and all others would wait for the reader's until they read too.
    let told = |keeper: &ReadTracker| keeper.own().filter(|_| turn == 0 || keeper.is_freshest());
    let (operator, list) = (told(&reads.operator), told(&reads.list));
    if operator.is_none() && list.is_none() {
        return Vec::new();
    }
    let listed = context.list_change_gossip.borrow_mut().told(now);
    let message = |listed: &[ListChange]| PeerMessage {
        listed: listed.to_vec(),
        ..PeerMessage::empty(note.clone())
    };
    let mut messages: Vec<PeerMessage> =
        listed.chunks(MAX_CHANGES_PER_DATAGRAM).map(message).collect();
    // The digest goes with the last of the changes that lead to it.
    let last = messages.pop().unwrap_or_else(|| message(&[]));
    let published_since = reads.published_since;
    let targets = published(context, now);
    let (stops, knows_quarantines) = (told_stops(context, now), tells_all_stops(context, now));
    messages.push(PeerMessage {
        operator,
        published_since,
        targets,
        list,
        stops,
        knows_quarantines,
        drains: context.drains.borrow().notices(),
        ..last
    });
    messages
}

/// The newest published weights of each model, with the age of each publication.
fn published(context: &ServeContext, now: Moment) -> Vec<PublishedVersion> {
    let targets = context.targets.borrow();
    let published = targets.iter().map(|(model, target)| PublishedVersion {
        model: model.clone(),
        version: target.version,
        age_ms: now.millis_since(target.learned),
    });
    published.collect()
}

/// What to tell a daemon of this data centre that has just been heard: all that the followed stores
/// hold, one in a message. Otherwise it would know after three seconds, when whole words come next,
/// and have the parts read again until then.
pub fn compose_initial_sync(
    context: &ServeContext,
    news: &OwnSummary,
    now: Moment,
) -> Vec<PeerMessage> {
    let work = context.work.borrow();
    let index = context.part_index.borrow();
    let announcements = news.followed.iter().filter_map(|store| index.full_store_update(*store));
    let told = announcements.map(|word| PeerMessage {
        shares: work.own_shares().map(|(id, share)| (id.clone(), share)).collect(),
        targets: published(context, now),
        drains: context.drains.borrow().notices(),
        stores: vec![cut_to(word, MOST_PARTS)],
        clock_ms: context.upstream_clock_in(0, now),
        is_immediate: false,
        ..PeerMessage::empty(news.member.clone())
    });
    told.collect()
}

/// A word with so many parts at most; told in part, it is no whole list.
fn cut_to(mut word: StoreUpdate, room: usize) -> StoreUpdate {
    if word.parts.len() > room {
        word.is_complete = false;
        let from = rand::random::<u64>() as usize % word.parts.len().max(1);
        // The rest follows in later ones.
        word.parts.rotate_left(from);
        word.parts.truncate(room);
    }
    word
}

fn store_updates(context: &ServeContext, followed: &[SocketAddr], number: u64) -> Vec<StoreUpdate> {
    let mut index = context.part_index.borrow_mut();
    let mut told = 0;
    let mut announcements = Vec::new();
    for (place, store) in followed.iter().enumerate() {
        let is_whole = (number + place as u64).is_multiple_of(WHOLE_EVERY);
        let Some(word) = index.store_update(*store, is_whole) else { continue };
        let word = cut_to(word, MOST_PARTS - told);
        told += word.parts.len();
        announcements.push(word);
    }
    announcements
}

/// Takes a peer's message in.
pub fn apply_message(context: &ServeContext, message: PeerMessage, now: Moment) {
    let name = message.member.name.clone();
    if name == context.identity.name {
        return;
    }
    let address = message.member.peer_address;
    let is_ready = message.member.is_ready;
    let data_centre = message.member.data_centre.clone();
    let gets_immediate = context.members.borrow().gets_immediate(&data_centre);
    if context.members.borrow_mut().note_from_peer(message.member, now) {
        log_event!(
            info,
            events::MEMBER_REACHABLE,
            member = name,
            address = address,
            ready = is_ready
        );
        let count = context.members.borrow().count();
        context.retries.borrow_mut().note_daemons(count);
        if data_centre == context.identity.data_centre {
            context.new_peers.borrow_mut().push(address);
            context.message_due.notify_one();
        }
    }
    let silent_ms = context.members.borrow().silent_ms(&data_centre);
    for id in &message.loading {
        let until = Deadline::after(now, LOADING_MS.max(silent_ms / 2));
        context.upstreams.borrow_mut().note_loading(id, until);
    }
    let spoken_of = message.sent.iter().map(|sent| &sent.engine);
    let spoken_of = spoken_of.chain(message.loaded.iter().map(|loaded| &loaded.engine));
    spoken_of.chain(&message.loading).for_each(|id| note_start(context, id, &name));
    for change in message.listed {
        apply_change(context, change, ListSource::Peer(&name), now);
    }
    for target in message.targets {
        let learned = now.minus_millis(target.age_ms);
        apply_version(context, &target.model, target.version, learned, "peer");
    }
    for drain in &message.drains {
        apply_drain(context, drain, now);
    }
    for limit in &message.limits {
        apply_limit(context, limit, &name, now);
    }
    for upstream in &message.leaving {
        apply_leaving(context, upstream, &name, now);
    }
    if let (Some(mark), Some(since)) = (message.operator, message.published_since) {
        context.reads.borrow_mut().operator.note_skipped(since, mark.state);
    }
    apply_reads(context, message.operator, message.list);
    for end in &message.ended {
        apply_crash(context, end, now);
    }
    for notice in message.cleared {
        apply_cleared(context, notice, now);
    }
    for stop in message.stops {
        apply_quarantine(context, stop, now);
    }
    if message.knows_quarantines {
        context.quarantine_sync.set(QuarantineSync { is_known: true, last_confirmed: now });
    }
    if message.is_immediate {
        for sent in &message.sent {
            let service_ms = context.read_ms(&sent.engine, sent.waiting);
            context.work.borrow_mut().note_peer_sent(&name, sent, service_ms, now);
            let mut index = context.part_index.borrow_mut();
            index.note_sent(&sent.engine, &sent.parts, sent.tokens, now);
            let sampling_factor = context.members.borrow().sampling_factor();
            for transfer in &sent.transfers {
                context.links.borrow_mut().note(*transfer, sampling_factor, now);
            }
            sent.saves.iter().for_each(|save| index.note_saving(*save, now));
        }
        return;
    }
    if !message.is_continued {
        let mut shares = message.shares;
        if gets_immediate {
            // Its prompts were told one by one; their sum would count what has been read by now.
            shares.values_mut().for_each(|share| share.waiting = TokenCount(0));
        }
        context.work.borrow_mut().note_peer(&name, shares, Deadline::after(now, silent_ms), now);
    }
    for sent in &message.sent {
        context.part_index.borrow_mut().note_sent(&sent.engine, &sent.parts, sent.tokens, now);
    }
    for loaded in &message.loaded {
        let mut upstreams = context.upstreams.borrow_mut();
        upstreams.note_loading(&loaded.engine, now.into());
        upstreams.note_version(&loaded.engine, &loaded.model, loaded.version);
    }
    message
        .stores
        .into_iter()
        .for_each(|word| context.part_index.borrow_mut().note_store_update(word, now));
    message.speeds.iter().for_each(|speed| context.speeds.borrow_mut().note(speed));
    for link in message.slow_links {
        context.links.borrow_mut().note_from_peer(&name, link, now);
    }
    apply_clock(context, message.clock_ms, now);
}

/// Takes in that a peer speaks of a start of an upstream: it may know before this daemon that the
/// upstream started again. Until its entry is there, nothing more goes to the one before.
fn note_start(context: &ServeContext, id: &UpstreamId, source: &MemberName) {
    let mut upstreams = context.upstreams.borrow_mut();
    let before = upstreams.newest_start(id.name()).and_then(|before| upstreams.entry(before));
    let address = before.map(|before| before.address);
    if upstreams.note_start(id) {
        address.iter().for_each(|address| context.pool.close_idle(*address));
        log_event!(
            info,
            events::LIST_CHANGED,
            upstream = id,
            change = ListChangeEffect::Restarted.name(),
            source = source
        );
    }
}

/// Who brought a change of the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource<'a> {
    /// This daemon read it.
    Store,
    /// A peer told it, and may be behind this daemon.
    Peer(&'a MemberName),
}

impl fmt::Display for ListSource<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => out.write_str("store"),
            Self::Peer(name) => name.fmt(out),
        }
    }
}

/// Takes in a change of the list of upstreams, unless a later record of the upstream is known.
pub fn apply_change(
    context: &ServeContext,
    change: ListChange,
    source: ListSource<'_>,
    now: Moment,
) -> ListChangeEffect {
    let mut upstreams = context.upstreams.borrow_mut();
    let (name, revision) = (change.id().name(), change.revision());
    let is_change = match source {
        ListSource::Store => upstreams.order().admit_read(name, revision),
        ListSource::Peer(_) => upstreams.order().admit_from_peer(name, revision),
    };
    if !is_change {
        return ListChangeEffect::Same;
    }
    let (id, found) = match change {
        ListChange::Removed(id, _) => {
            let found = upstreams.note_removed(&id, now);
            (id, found)
        }
        ListChange::Entry(entry) => {
            let id = entry.id.clone();
            let address = entry.address;
            let found = upstreams.note_entry(entry);
            if found == ListChangeEffect::Restarted {
                context.pool.close_idle(address);
            }
            (id, found)
        }
    };
    if found != ListChangeEffect::Same {
        log_event!(
            info,
            events::LIST_CHANGED,
            upstream = id,
            change = found.name(),
            revision = revision,
            source = source
        );
    }
    found
}

fn apply_reads(context: &ServeContext, operator: Option<ReadMark>, list: Option<ReadMark>) {
    let mut reads = context.reads.borrow_mut();
    if let Some(mark) = operator {
        reads.operator.note_from_peer(mark);
    }
    if let Some(mark) = list {
        reads.list.note_from_peer(mark);
    }
    if let Some(confirmed) = reads.operator.confirmed() {
        context.config_confirmed.set(confirmed);
    }
}

/// Only daemons that follow a store hear the upstreams' clock themselves.
fn apply_clock(context: &ServeContext, clock_ms: Option<u64>, now: Moment) {
    let Some(clock_ms) = clock_ms else { return };
    let is_old = |clock: UpstreamClock| now.millis_since(clock.read) > CLOCK_EXPIRY_MS;
    if context.upstream_clock.get().is_none_or(is_old) {
        context.upstream_clock.set(Some(UpstreamClock { clock_ms, read: now }));
    }
}

/// Takes in that a data centre is drained, or taken back.
pub fn apply_drain(context: &ServeContext, notice: &DrainNotice, now: Moment) {
    if context.drains.borrow_mut().note(notice, now) {
        log_event!(
            info,
            events::DRAIN_CHANGED,
            data_centre = notice.data_centre,
            drained = notice.is_drained
        );
    }
}

/// Takes in that weights were published by some moment at the latest.
pub fn apply_version(
    context: &ServeContext,
    model: &guava_types::ModelName,
    version: crate::WeightVersion,
    learned: Moment,
    source: &str,
) {
    if context.targets.borrow_mut().offer(model, version, learned) {
        log_event!(
            info,
            events::VERSION_PUBLISHED,
            model = model,
            version = version,
            source = source
        );
    }
}
