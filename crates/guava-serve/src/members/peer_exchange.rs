//! Composes the messages that a daemon sends to its peers, and applies those that it receives.
//!
//! Summaries are sent periodically; immediate messages carry what peers must know before the next
//! summary; read marks state what was read of the platform's store, and when; the initial sync gives
//! a newly seen daemon the complete contents of the followed stores.

use crate::events;
use crate::members::list_change_gossip::MAX_CHANGES_PER_DATAGRAM;
use crate::members::member_descriptor::{MemberDescriptor, status_address};
use crate::members::member_table::{MemberRole, PeerRole};
use crate::members::peer_message::{ListChange, LoadedVersion, PeerMessage, PublishedVersion};
use crate::members::queue_exchange::{compose_use_report, note_peer_returns, note_use_report};
use crate::members::return_gossip::MessageAudience;
use crate::members::shared_reads::{ReadMark, ReadTracker, STANDBYS};
use crate::parts::part_index::StoreUpdate;
use crate::parts::retirement_word::apply_retirement;
use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::{
    AnnouncementBatch, apply_brittle, apply_leaving, apply_limit, summary_announcements,
    urgent_announcements,
};
use crate::upstreams::crash_notice::CrashNotice;
use crate::upstreams::drain_table::DrainNotice;
use crate::upstreams::quarantine_record::QuarantineSync;
use crate::upstreams::upstream_crashes::{apply_cleared, apply_crash, apply_quarantine};
use crate::upstreams::upstream_table::ListChangeEffect;
use crate::weights::store_outages::OutageChange;
use crate::weights::version_targets::{OfferEffect, PublicationSource, VersionTarget};
use guava_log::log_event;
use guava_policy::{ClearNotice, QuarantineNotice};
use guava_types::{Deadline, MemberName, Moment, TokenCount, UpstreamId};
use std::fmt;
use std::net::SocketAddr;

/// Minimum time for which an upstream counts as loading after a peer reported it, in milliseconds.
/// Half of the silence timeout applies where that is longer. The peer repeats the report with each
/// summary, and this is longer than the interval between two summaries.
const MIN_LOADING_MS: u64 = 1_200;

/// Number of summaries from one full update of a followed store to the next. Full updates make up for
/// lost datagrams, and for what daemons that started later have missed.
const FULL_UPDATE_INTERVAL_MESSAGES: u64 = 10;
/// Maximum number of prompt parts in one message, so that it fits into a datagram.
const MAX_PARTS: usize = 300;
/// Maximum number of quarantined requests, and of cleared ones, in one message; each takes 24 bytes.
const MAX_QUARANTINES: usize = 32;

/// What a daemon's tasks contribute to its next summary.
#[derive(Clone, Debug)]
pub struct OwnSummary {
    /// This daemon.
    pub member: MemberDescriptor,
    /// Upstreams that load new weights because this daemon ordered it.
    pub loading: Vec<UpstreamId>,
    /// Engines that recently loaded weights because this daemon ordered it.
    pub loaded: Vec<LoadedVersion>,
    /// Stores of cached prompt parts whose contents this daemon follows.
    pub followed: Vec<SocketAddr>,
    /// Sequence number of the summary; it decides which stores get a full update.
    pub number: u64,
}

/// Composes the next summary for the peers. It takes the list of sent prompts, so that each is
/// reported once.
pub fn compose_message(context: &ServeContext, summary: OwnSummary, now: Moment) -> PeerMessage {
    note_list_state(context);
    let work = context.work.borrow();
    let shares = work.own_shares().map(|(id, share)| (id.clone(), share)).collect();
    let reads = context.reads.borrow();
    let listed = context.list_change_gossip.borrow_mut().told(now);
    let announcements = summary_announcements(context, now);
    // A digest sent without all the changes that led to it would make every peer read the list.
    let is_list_included = listed.len() <= MAX_CHANGES_PER_DATAGRAM;
    PeerMessage {
        member: summary.member,
        role: context.members.borrow().own_role(now),
        callers: Vec::new(),
        shares,
        uses: compose_use_report(context, now),
        returns: context.return_gossip.borrow_mut().take(MessageAudience::Peers, now),
        sent: std::mem::take(&mut context.sent_prompts.borrow_mut()),
        loading: summary.loading,
        targets: published_versions(context, now),
        stores: store_updates(context, &summary.followed, summary.number),
        retirements: context.retirements.borrow().notices(now),
        heard_retirements: context.part_index.borrow().heard_retirements(now),
        operator: reads.operator.own(),
        available_since: None,
        published_since: None,
        list: reads.list.own().filter(|_| is_list_included),
        list_position: context.upstreams.borrow().list_position(),
        loaded: summary.loaded,
        clock_ms: context.upstream_clock_in(0, now),
        listed: if is_list_included { listed } else { Vec::new() },
        slow_links: context.links.borrow().slow_links(now),
        speeds: context.speeds.borrow_mut().recent_own(now),
        reported_loads: context.reports.borrow_mut().take_due(),
        ended: context.crash_gossip.borrow_mut().repeated(now),
        stops: quarantine_notices(context, now),
        cleared: clear_notices(context),
        knows_quarantines: holds_all_quarantines(context, now),
        drains: context.drains.borrow().notices(),
        limits: announcements.limits,
        leaving: announcements.leaving,
        brittle: announcements.brittle,
        is_immediate: false,
        is_continued: false,
        is_for_relay: false,
    }
}

/// The quarantined requests to send; nearly always none. If they exceed `MAX_QUARANTINES`, each
/// message carries a random selection, so that repeated messages cover all of them.
fn quarantine_notices(context: &ServeContext, now: Moment) -> Vec<QuarantineNotice> {
    let mut notices: Vec<QuarantineNotice> = context.ledger.borrow().quarantines(now).collect();
    if notices.len() > MAX_QUARANTINES {
        let offset = rand::random::<u64>() as usize % notices.len();
        notices.rotate_left(offset);
        notices.truncate(MAX_QUARANTINES);
    }
    notices
}

/// Whether a message carries the complete quarantine records.
fn holds_all_quarantines(context: &ServeContext, now: Moment) -> bool {
    context.quarantine_sync.get().is_known
        && context.ledger.borrow().quarantines(now).count() <= MAX_QUARANTINES
}

fn clear_notices(context: &ServeContext) -> Vec<ClearNotice> {
    context.ledger.borrow().cleared().take(MAX_QUARANTINES).collect()
}

/// An immediate message about prompts that were just sent, upstreams that are about to load weights,
/// and parts that begin to be retired, with the loads that have changed; `None` if there are none of
/// the first three. If these waited for the next summary, all daemons would choose the same idle engine
/// and their prompts would queue there, or be refused by an engine that loads.
pub fn compose_immediate(context: &ServeContext, member: MemberDescriptor) -> Option<PeerMessage> {
    let sent = std::mem::take(&mut *context.just_sent.borrow_mut());
    let loading = std::mem::take(&mut *context.just_loading.borrow_mut());
    let retirements = std::mem::take(&mut *context.just_retired.borrow_mut());
    if sent.is_empty() && loading.is_empty() && retirements.is_empty() {
        return None;
    }
    let reported_loads = context.reports.borrow_mut().take_due();
    let empty = PeerMessage::empty(member);
    Some(PeerMessage { sent, loading, retirements, reported_loads, ..empty })
}

/// Immediate messages about upstreams that just crashed, with the requests quarantined or cleared as
/// a result. If they waited a second, a crash-inducing request would reach several more upstreams.
pub fn compose_crash_notices(
    context: &ServeContext,
    member: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    let crashes = context.crash_gossip.borrow_mut().take_unsent();
    let message =
        |ended: Vec<CrashNotice>| PeerMessage { ended, ..PeerMessage::empty(member.clone()) };
    let mut messages: Vec<PeerMessage> = crashes.into_iter().map(message).collect();
    if context.verdicts_due.take() {
        let (stops, cleared) = (quarantine_notices(context, now), clear_notices(context));
        let last = messages.pop().unwrap_or_else(|| message(Vec::new()));
        messages.push(PeerMessage { stops, cleared, ..last });
    }
    messages
}

/// An immediate message about new upstream announcements; `None` if there are none.
pub fn compose_announcements(
    context: &ServeContext,
    member: &MemberDescriptor,
) -> Option<PeerMessage> {
    let AnnouncementBatch { limits, leaving, .. } = urgent_announcements(context);
    let is_due = !limits.is_empty() || !leaving.is_empty();
    is_due.then(|| PeerMessage { limits, leaving, ..PeerMessage::empty(member.clone()) })
}

/// The read marks of this daemon, if it is the reader of the platform's store or one of its standbys;
/// several messages if the list has many changes. They are sent directly to the daemons of all data
/// centres, because a suspended relay would forward an old read as a fresh one.
pub fn compose_reads(
    context: &ServeContext,
    member: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    let rank = context.members.borrow().reader_rank(&context.identity.name, now);
    if rank > STANDBYS {
        return Vec::new();
    }
    note_list_state(context);
    let reads = context.reads.borrow();
    // The reader sends its marks even if it knows of a later read. Any other daemon reports its reads
    // only within its data centre, so the others would wait for the reader's and then read themselves.
    let own_mark =
        |tracker: &ReadTracker| tracker.own().filter(|_| rank == 0 || tracker.is_freshest());
    let marks = (own_mark(&reads.operator), own_mark(&reads.list));
    let listed = context.list_change_gossip.borrow_mut().told(now);
    compose_marks(context, member, marks, listed, now)
}

/// The read marks for the daemons attached to this one: what it knows, whoever read it, with the age
/// of the read behind it.
pub fn compose_attached_reads(
    context: &ServeContext,
    member: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    note_list_state(context);
    let reads = context.reads.borrow();
    let confirmed = |tracker: &ReadTracker| {
        let state = tracker.own()?.state;
        Some(ReadMark { state, as_of: tracker.confirmed()? })
    };
    // Changes go out with the mark of a read that found them. Without it, each attached daemon would
    // take its list for different from the reader's, and read the store.
    let is_confirmed = reads.list.is_confirmed();
    let listed = context.attached_change_gossip.borrow_mut().told(now);
    let listed = if is_confirmed { listed } else { Vec::new() };
    let list = confirmed(&reads.list).filter(|_| is_confirmed);
    compose_marks(context, member, (confirmed(&reads.operator), list), listed, now)
}

/// Brings the state of the list in this daemon's marks up to date. A message carries it with the
/// position of the list: an older state beside a newer position makes a peer skip the records between.
fn note_list_state(context: &ServeContext) {
    let digest = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_state(digest);
}

/// Messages with read marks of the operator's records and of the list, and the changes that led to
/// the latter.
fn compose_marks(
    context: &ServeContext,
    member: &MemberDescriptor,
    marks: (Option<ReadMark>, Option<ReadMark>),
    listed: Vec<ListChange>,
    now: Moment,
) -> Vec<PeerMessage> {
    let (operator, list) = marks;
    if operator.is_none() && list.is_none() {
        return Vec::new();
    }
    let reads = context.reads.borrow();
    let message = |listed: &[ListChange]| PeerMessage {
        listed: listed.to_vec(),
        ..PeerMessage::empty(member.clone())
    };
    let mut messages: Vec<PeerMessage> =
        listed.chunks(MAX_CHANGES_PER_DATAGRAM).map(message).collect();
    // The digest is in the message with the last of the changes that led to it.
    let last = messages.pop().unwrap_or_else(|| message(&[]));
    let published_since = reads.published_since;
    let targets = published_versions(context, now);
    let (stops, knows_quarantines) =
        (quarantine_notices(context, now), holds_all_quarantines(context, now));
    messages.push(PeerMessage {
        operator,
        available_since: context.targets.borrow_mut().outages().available_since(),
        published_since,
        targets,
        list,
        list_position: context.upstreams.borrow().list_position(),
        stops,
        knows_quarantines,
        drains: context.drains.borrow().notices(),
        ..last
    });
    messages
}

/// The recently published weights of each model, with the moment of each publication.
fn published_versions(context: &ServeContext, now: Moment) -> Vec<PublishedVersion> {
    let targets = context.targets.borrow();
    let published = targets.told(now).map(|(model, target)| PublishedVersion {
        model: model.clone(),
        version: target.version,
        published: Some(target.published),
        is_recorded: target.is_recorded,
    });
    published.collect()
}

/// The initial sync for a newly seen daemon of this data centre: the contents of the followed stores,
/// one store per message. Without it the daemon would learn them from the next full update, three
/// seconds later, and until then have engines compute the cached parts again.
pub fn compose_initial_sync(
    context: &ServeContext,
    summary: &OwnSummary,
    now: Moment,
) -> Vec<PeerMessage> {
    let work = context.work.borrow();
    let index = context.part_index.borrow();
    let updates = summary.followed.iter().filter_map(|store| index.full_store_update(*store));
    let messages = updates.map(|update| PeerMessage {
        shares: work.own_shares().map(|(id, share)| (id.clone(), share)).collect(),
        targets: published_versions(context, now),
        drains: context.drains.borrow().notices(),
        stores: vec![truncate_update(update, MAX_PARTS)],
        heard_retirements: index.heard_retirements(now),
        role: context.members.borrow().own_role(now),
        clock_ms: context.upstream_clock_in(0, now),
        is_immediate: false,
        ..PeerMessage::empty(summary.member.clone())
    });
    let retirements = index.retold_retirements(now);
    let told = (!retirements.is_empty())
        .then(|| PeerMessage { retirements, ..PeerMessage::empty(summary.member.clone()) });
    told.into_iter().chain(messages).collect()
}

/// Reduces an update to at most `max_parts` parts. A reduced update is marked as incomplete.
fn truncate_update(mut update: StoreUpdate, max_parts: usize) -> StoreUpdate {
    if update.parts.len() > max_parts {
        update.is_complete = false;
        let offset = rand::random::<u64>() as usize % update.parts.len().max(1);
        // The random offset lets later updates carry the remaining parts.
        update.parts.rotate_left(offset);
        update.parts.truncate(max_parts);
    }
    update
}

fn store_updates(context: &ServeContext, followed: &[SocketAddr], number: u64) -> Vec<StoreUpdate> {
    let mut index = context.part_index.borrow_mut();
    let mut sent_parts = 0;
    let mut updates = Vec::new();
    for (position, store) in followed.iter().enumerate() {
        let is_full = (number + position as u64).is_multiple_of(FULL_UPDATE_INTERVAL_MESSAGES);
        let Some(update) = index.store_update(*store, is_full) else { continue };
        let update = truncate_update(update, MAX_PARTS - sent_parts);
        sent_parts += update.parts.len();
        updates.push(update);
    }
    updates
}

/// Applies a message of a peer. A message that this daemon itself sent is ignored.
pub fn apply_message(context: &ServeContext, message: PeerMessage, now: Moment) {
    let name = message.member.name.clone();
    if name == context.identity.name {
        return;
    }
    let address = message.member.peer_address;
    let is_ready = message.member.is_ready;
    let data_centre = message.member.data_centre.clone();
    let gets_immediate = context.members.borrow().gets_immediate(&data_centre);
    let role = message.role;
    if context.members.borrow_mut().note_from_peer(message.member, now) {
        log_event!(
            info,
            events::MEMBER_REACHABLE,
            member = name,
            address = address,
            ready = is_ready
        );
        note_deployment_size(context, now);
        if data_centre == context.identity.data_centre {
            context.new_peers.borrow_mut().push(address);
            context.message_due.notify_one();
        }
    }
    for notice in message.retirements {
        apply_retirement(context, notice, now);
    }
    if !message.is_immediate {
        note_role(context, &name, role, &message.callers, now);
        if !message.is_continued {
            let mut retirements = context.retirements.borrow_mut();
            retirements.note_heard(&name, &message.heard_retirements, now);
        }
    }
    let silent_ms = context.members.borrow().silent_ms(&data_centre);
    for id in &message.loading {
        let until = Deadline::after(now, MIN_LOADING_MS.max(silent_ms / 2));
        context.upstreams.borrow_mut().note_loading(id, until);
    }
    let mentioned = message.sent.iter().map(|sent| &sent.engine);
    let mentioned = mentioned.chain(message.loaded.iter().map(|loaded| &loaded.engine));
    mentioned.chain(&message.loading).for_each(|id| note_start(context, id, &name));
    for change in message.listed {
        let effect = apply_change(context, change.clone(), ListSource::Peer(&name), now);
        pass_to_attached(context, change, effect, now);
    }
    for target in message.targets {
        let PublishedVersion { model, version, published, is_recorded } = target;
        // At the latest, this daemon knows itself when it had not been published.
        let published = published.unwrap_or(context.reads.borrow().operator.changed_since(now));
        apply_version(context, &model, version, published, PublicationSource::Peer);
        if is_recorded {
            context.targets.borrow_mut().note_recorded(&model, version);
        }
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
    for notice in &message.brittle {
        apply_brittle(context, notice, &name, now);
    }
    if let (Some(mark), Some(since)) = (message.operator, message.published_since) {
        context.reads.borrow_mut().note_gossiped(since, mark.state);
    }
    let own_operator = context.reads.borrow().operator.own().map(|own| own.state);
    if message.operator.is_some_and(|mark| own_operator < Some(mark.state)) {
        context.operator_teller.set(Some(status_address(address)));
    }
    if let Some(mark) = message.list {
        let mut upstreams = context.upstreams.borrow_mut();
        upstreams.note_peer_position(mark.state, message.list_position);
        if upstreams.digest() != mark.state {
            context.list_teller.set(Some(status_address(address)));
        }
    }
    apply_reads(context, message.operator, message.list);
    if let Some(since) = message.available_since {
        let change = context.targets.borrow_mut().outages().note_available(since);
        change.iter().for_each(|change| note_outage_change(context, *change, 0));
    }
    for crash in &message.ended {
        apply_crash(context, crash, now);
    }
    for notice in message.cleared {
        apply_cleared(context, notice, now);
    }
    for quarantine in message.stops {
        apply_quarantine(context, quarantine, now);
    }
    if message.knows_quarantines {
        context.quarantine_sync.set(QuarantineSync { is_known: true, last_confirmed: now });
    }
    for notice in &message.reported_loads {
        // Those of upstreams that this daemon doesn't know would stay in the table.
        if context.upstreams.borrow().entry(&notice.upstream).is_some() {
            context.reports.borrow_mut().apply_notice(notice);
        }
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
            // The sender's prompts already arrived one by one in immediate messages; their sum would
            // also count tokens that have been read since.
            shares.values_mut().for_each(|share| share.waiting = TokenCount(0));
        }
        let silent_at = Deadline::after(now, silent_ms);
        context.work.borrow_mut().note_peer(&name, shares, silent_at, now);
        if let Some(report) = message.uses {
            note_use_report(context, &name, report, silent_at, now);
        }
    }
    note_peer_returns(context, &message.returns, now);
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
        .for_each(|update| context.part_index.borrow_mut().note_store_update(update, now));
    message.speeds.iter().for_each(|speed| context.speeds.borrow_mut().note(speed));
    for link in message.slow_links {
        context.links.borrow_mut().note_from_peer(&name, link, now);
    }
    apply_clock(context, message.clock_ms, now);
}

/// Applies what a peer says of its role, and of other daemons.
fn note_role(
    context: &ServeContext,
    name: &MemberName,
    role: PeerRole,
    callers: &[SocketAddr],
    now: Moment,
) {
    let mut members = context.members.borrow_mut();
    members.note_role(name, role);
    if role.role == MemberRole::Core && members.role() == MemberRole::Attached {
        members.note_callers(callers, now);
    }
}

/// Divides what all daemons share by their number.
pub fn note_deployment_size(context: &ServeContext, now: Moment) {
    let daemons = context.members.borrow().deployment_size(now);
    context.retries.borrow_mut().note_daemons(daemons);
}

/// Queues a change of the list for the daemons attached to this one, if there are any.
pub fn pass_to_attached(
    context: &ServeContext,
    change: ListChange,
    effect: ListChangeEffect,
    now: Moment,
) {
    if effect != ListChangeEffect::Same && context.members.borrow().has_attached(now) {
        context.attached_change_gossip.borrow_mut().note(change, now);
        context.reads_due.notify_one();
    }
}

/// Records the start of an upstream that a peer's message names. The peer may know of a restart before
/// this daemon does; until the new entry arrives, nothing more is sent to the previous start.
fn note_start(context: &ServeContext, id: &UpstreamId, source: &MemberName) {
    let mut upstreams = context.upstreams.borrow_mut();
    let previous = upstreams.newest_start(id.name()).and_then(|previous| upstreams.entry(previous));
    let address = previous.map(|previous| previous.address);
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

/// Where a change of the list of upstreams came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource<'a> {
    /// This daemon read it.
    Store,
    /// It was copied from a peer.
    Copy,
    /// A peer sent it; the peer may know an older state than this daemon.
    Peer(&'a MemberName),
}

impl fmt::Display for ListSource<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => out.write_str("store"),
            Self::Copy => out.write_str("copy"),
            Self::Peer(name) => name.fmt(out),
        }
    }
}

/// Applies a change of the list of upstreams, unless a later record of the upstream is known.
pub fn apply_change(
    context: &ServeContext,
    change: ListChange,
    source: ListSource<'_>,
    now: Moment,
) -> ListChangeEffect {
    let mut upstreams = context.upstreams.borrow_mut();
    let (name, revision) = (change.id().name(), change.revision());
    let is_admitted = match source {
        ListSource::Store => upstreams.order().admit_read(name, revision),
        ListSource::Copy | ListSource::Peer(_) => upstreams.order().admit_from_peer(name, revision),
    };
    if !is_admitted {
        return ListChangeEffect::Same;
    }
    let (id, effect) = match change {
        ListChange::Removed(id, _) => {
            let effect = upstreams.note_removed(&id, now);
            (id, effect)
        }
        ListChange::Entry(entry) => {
            let id = entry.id.clone();
            let address = entry.address;
            let effect = upstreams.note_entry(entry);
            if effect == ListChangeEffect::Restarted {
                context.pool.close_idle(address);
            }
            (id, effect)
        }
    };
    if matches!(effect, ListChangeEffect::Removed | ListChangeEffect::Lapsed) {
        upstreams.note_removal(&id, revision);
    }
    if effect != ListChangeEffect::Same {
        log_event!(
            info,
            events::LIST_CHANGED,
            upstream = id,
            change = effect.name(),
            revision = revision,
            source = source
        );
    }
    effect
}

fn apply_reads(context: &ServeContext, operator: Option<ReadMark>, list: Option<ReadMark>) {
    let mut reads = context.reads.borrow_mut();
    if let Some(mark) = operator {
        reads.operator.note_from_peer(mark);
    }
    if let Some(mark) = list {
        reads.list.note_from_peer(mark);
    }
    reads.list.note_available(None, context.bounds.renewal_ms);
    if let Some(ended) = reads.list.outage_end() {
        context.upstreams.borrow_mut().note_outage_end(ended, Moment::now());
    }
    if let Some(confirmed) = reads.operator.confirmed() {
        context.config_confirmed.set(confirmed);
    }
}

/// Adopts a peer's reading of the upstreams' clock. Only daemons that follow a store read that clock
/// directly.
fn apply_clock(context: &ServeContext, clock_ms: Option<u64>, now: Moment) {
    let Some(clock_ms) = clock_ms else { return };
    context.note_upstream_clock(clock_ms, now);
}

/// Applies a notice that a data centre is drained, or serves again.
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

/// Announces a change of what this daemon believes of outages of the store. The last known read by
/// any daemon was `silent_ms` ago.
pub fn note_outage_change(context: &ServeContext, change: OutageChange, silent_ms: u64) {
    context.weights_changed.notify_waiters();
    log_event!(info, events::OUTAGE_CHANGED, change = change.name(), silent_ms = silent_ms);
}

/// Applies the publication of weights, which happened after `published`.
pub fn apply_version(
    context: &ServeContext,
    model: &guava_types::ModelName,
    version: crate::WeightVersion,
    published: Moment,
    source: PublicationSource,
) {
    let heard = Moment::now();
    let target = VersionTarget { version, published, heard, source, is_recorded: false };
    apply_target(context, model, target);
}

/// Applies what is known, or assumed, of the publication of weights.
pub fn apply_target(context: &ServeContext, model: &guava_types::ModelName, target: VersionTarget) {
    let effect = context.targets.borrow_mut().offer(model, target);
    if effect != OfferEffect::Known {
        context.weights_changed.notify_waiters();
        log_event!(
            info,
            events::VERSION_PUBLISHED,
            model = model,
            version = target.version,
            age_ms = Moment::now().millis_since(target.published),
            source = target.source
        );
    }
}
