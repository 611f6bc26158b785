//! Where prompt parts are cached.
//!
//! The contents of stores are known from the stores' own reports or from peers that follow them. The
//! contents of engines are estimated from the prompts that were sent to them.

use crate::parts::part_admission::{PartAdmission, StoreFloor};
use crate::parts::part_key::PartKey;
use crate::parts::partial_saves::{PartialPart, PartialTable};
use crate::parts::retirement::{
    MAX_RETIRED_PARTS, RetireNotice, RetirePhase, RetirementId, RetirementTable,
};
use crate::parts::save_ledger::{PartSave, SaveLedger};
use crate::parts::settled_start::SettledStart;
use crate::request::accepted_request::PromptPart;
use crate::serve_config::StoreTraits;
use guava_policy::{RankedPart, StoreRoom};
use guava_types::{Deadline, FastMap, FastSet, Moment, TokenCount, UpstreamId};
use rustc_hash::FxHasher;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

/// Fraction of an engine's memory that is assumed to hold parts of earlier prompts; runs take the
/// rest. The engine evicts the least recently used parts.
const CACHE_FRACTION: f64 = 0.6;
/// Parts recorded for each engine: more than fit into any engine's memory.
const MAX_ENGINE_PARTS: usize = 64;

/// Number of parts whose last engine is recorded, and the age in milliseconds from which records may
/// be removed when there are more: engines evict parts within some seconds.
const MAX_SENT_PARTS: usize = 8_192;
const SENT_EXPIRY_MS: u64 = 20_000;
/// Time after which an engine is assumed to have prefilled a part that was sent to it, in milliseconds.
const PREFILL_MS: u64 = 700;

/// A prompt part that a store holds completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// The cache salt that it was stored under.
    pub salt: Box<str>,
    /// Its id, unique under one salt.
    pub id: Box<str>,
    /// Its length.
    pub tokens: TokenCount,
}

/// A change of its contents that a store reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartEvent {
    /// A part was stored completely.
    Stored(HeldPart),
    /// A part was removed.
    Dropped {
        /// The part's cache salt.
        salt: Box<str>,
        /// The part's id.
        id: Box<str>,
    },
}

/// Age from which a store's report is ignored, in milliseconds.
///
/// A store that restarts is empty, and daemons start to save to it again. A fetch based on an older
/// report would read a part that is only partly written, and the store does not prevent this. Stores
/// are polled twice a second, daemons send updates four times a second, and a store takes longer than
/// this expiry to restart.
const REPORT_EXPIRY_MS: u64 = 1_400;
/// Longest time after a request is sent in which it may begin to fetch, in milliseconds. A store
/// whose link is busy delivers a long part after more than a second; with a shorter limit the fetch
/// is abandoned and the part prefilled again.
pub const MAX_FETCH_MS: u64 = 2_500;
/// Time after its restart in which no daemon orders saves to a store, in milliseconds. Afterwards all
/// fetches based on its earlier contents have finished, whichever daemon ordered them: they rely on a
/// report that is at most [`REPORT_EXPIRY_MS`] old, and last at most [`MAX_FETCH_MS`]. A fetch of a
/// part that is being written would read only a fraction of it.
pub const RESTART_SETTLE_MS: u64 = REPORT_EXPIRY_MS + MAX_FETCH_MS;

/// Time after its last use in which a part is not retired, in milliseconds: longer than its fetches
/// last.
const BUSY_MS: u64 = 5_000;
#[derive(Debug, Default)]
struct StoreContents {
    epoch: u64,
    confirmed: Moment,
    /// When this daemon last received a report from the store itself.
    reported: Moment,
    held: FastMap<PartKey, TokenCount>,
    /// Salt and id of parts that the store itself reported; peers send only keys.
    names: FastMap<PartKey, (Box<str>, Box<str>)>,
    used: u64,
    /// Changes since the last update to peers.
    changes: Vec<PartChange>,
    /// Parts that a retirement concerns and of which the store has not said what became of them.
    unreported: FastSet<PartKey>,
    /// Whether only a list can tell what the store holds.
    is_list_due: bool,
}

/// A change of a store's contents, as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// Key of the part.
    pub key: PartKey,
    /// Its length; zero if it was removed.
    pub tokens: TokenCount,
}

/// What a daemon that follows a store sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Address of the store.
    pub store: SocketAddr,
    /// Differs after each restart of the store.
    pub epoch: u64,
    /// When the store reported it, on this daemon's clock.
    pub as_of: Moment,
    /// When the store was started at the latest, on this daemon's clock.
    pub started_by: Moment,
    /// Whether `parts` lists the complete contents of the store rather than changes.
    pub is_complete: bool,
    /// The store's contents or the changes to them.
    pub parts: Vec<PartChange>,
}

#[derive(Debug, Default)]
struct EngineHistory {
    /// Prompt tokens sent to the engine so far.
    total: u64,
    /// Parts sent to the engine, newest last, with the total of tokens sent by then.
    parts: VecDeque<(PartKey, u64)>,
}

/// One start of a store.
#[derive(Clone, Copy, Debug)]
struct StoreStart {
    epoch: u64,
    /// The latest moment at which it may have been: when a daemon first had an answer of it.
    by: Moment,
}

/// Where prompt parts are cached, and which saves are in flight.
#[derive(Debug, Default)]
pub struct PartIndex {
    stores: FastMap<SocketAddr, StoreContents>,
    starts: FastMap<SocketAddr, StoreStart>,
    engines: FastMap<UpstreamId, EngineHistory>,
    /// The engine that each part was last sent to, and when.
    last_sent: FastMap<PartKey, (UpstreamId, Moment)>,
    saves: SaveLedger,
    admission: PartAdmission,
    retirements: RetirementTable,
    partials: PartialTable,
    /// Until when this daemon may not know of retirements that others know of.
    informed_at: Deadline,
}

impl PartIndex {
    /// Forgets the contents of a store that can't be reached or reported a gap.
    ///
    /// It may have restarted empty, or another store may have its address. A fetch from a store that
    /// is down delays a request by some hundred milliseconds.
    pub fn forget_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// Replaces a store's contents by the complete list that it reported.
    pub fn note_list(&mut self, store: SocketAddr, epoch: u64, parts: Vec<HeldPart>, now: Moment) {
        self.note_start(store, epoch, now);
        let mut contents =
            StoreContents { epoch, confirmed: now, reported: now, ..StoreContents::default() };
        for part in parts {
            let key = PartKey::new(&part.salt, &part.id);
            if !self.stores.get(&store).is_some_and(|before| before.held.contains_key(&key)) {
                self.saves.note_begun(&key, store);
            }
            if self.retirements.retires(store, key) {
                contents.unreported.insert(key);
            } else {
                add_named(&mut contents, part);
            }
        }
        self.stores.insert(store, contents);
    }

    /// Applies a store's changes. Returns false, and forgets its contents, if the store restarted
    /// since the last report.
    pub fn note_events(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        events: Vec<PartEvent>,
        now: Moment,
    ) -> bool {
        let known = self.stores.get(&store).map(|contents| contents.epoch);
        if known.is_some_and(|known| known != epoch) {
            self.stores.remove(&store);
            return false;
        }
        self.note_start(store, epoch, now);
        let contents = self.stores.entry(store).or_default();
        contents.epoch = epoch;
        contents.confirmed = now;
        contents.reported = now;
        for event in events {
            match event {
                PartEvent::Stored(part) => {
                    let key = PartKey::new(&part.salt, &part.id);
                    self.saves.end(&key);
                    self.saves.note_begun(&key, store);
                    if self.retirements.retires(store, key) {
                        // It may be word from before the part was freed.
                        contents.unreported.insert(key);
                    } else {
                        add_named(contents, part);
                    }
                }
                PartEvent::Dropped { salt, id } => {
                    let key = PartKey::new(&salt, &id);
                    drop_part(contents, &key);
                    contents.unreported.remove(&key);
                    contents.changes.push(PartChange { key, tokens: TokenCount(0) });
                }
            }
        }
        true
    }

    /// Notes that a store's answer named an epoch, at the moment of the answer or later. Returns the
    /// epoch before if it was started anew since this daemon last heard of it.
    pub fn note_start(&mut self, store: SocketAddr, epoch: u64, now: Moment) -> Option<u64> {
        let start = self.starts.entry(store).or_insert(StoreStart { epoch, by: now });
        if start.epoch == epoch {
            return None;
        }
        let before = std::mem::replace(start, StoreStart { epoch, by: now });
        Some(before.epoch)
    }

    /// Notes by when a store was started that a peer had an answer of in this epoch.
    fn hear_start(&mut self, store: SocketAddr, epoch: u64, by: Moment) {
        let start = self.starts.entry(store).or_insert(StoreStart { epoch, by });
        if start.epoch == epoch {
            start.by = start.by.min(by);
        } else {
            *start = StoreStart { epoch, by };
        }
    }

    /// Notes that a start of a store is known to be settled.
    pub fn note_settled(&mut self, settled: SettledStart, now: Moment) {
        let SettledStart { store, epoch } = settled;
        if self.start_epoch(store) == Some(epoch) && !self.is_settled(store, now) {
            self.hear_start(store, epoch, now.minus_millis(RESTART_SETTLE_MS));
        }
    }

    /// The epoch of a store's last known start.
    pub fn start_epoch(&self, store: SocketAddr) -> Option<u64> {
        self.starts.get(&store).map(|start| start.epoch)
    }

    /// When a store was started at the latest, if that was in this epoch.
    fn started_by(&self, store: SocketAddr, epoch: u64) -> Option<Moment> {
        self.starts.get(&store).filter(|start| start.epoch == epoch).map(|start| start.by)
    }

    /// The epoch in which a store last reported, by whatever report.
    pub fn epoch(&self, store: SocketAddr) -> Option<u64> {
        Some(self.stores.get(&store)?.epoch)
    }

    /// Whether its last start was long enough ago for saves to a store: by the answers that this daemon
    /// had, by those that its peers tell of, or by a record. What the store holds says nothing, as a save that was
    /// ordered before the start may begin after it.
    pub fn is_settled(&self, store: SocketAddr, now: Moment) -> bool {
        let start = self.starts.get(&store);
        start.is_some_and(|start| now.millis_since(start.by) >= RESTART_SETTLE_MS)
    }

    /// The first of these stores that holds a complete part, by a report that is not expired. None from
    /// which another order to save the part may still begin: were the store started anew before that, the
    /// part would be written while it is fetched.
    pub fn holder<'a>(
        &self,
        stores: &'a [Rc<StoreTraits>],
        salt: &str,
        part: &PromptPart,
        now: Moment,
    ) -> Option<&'a Rc<StoreTraits>> {
        let key = PartKey::new(salt, &part.id);
        let holds = |store: &&Rc<StoreTraits>| {
            let contents = self.confirmed(store.address, now);
            contents.is_some_and(|contents| contents.held.contains_key(&key))
                && self.is_usable(store, key, now)
                && !self.saves.may_begin(&key, store.address, now)
        };
        stores.iter().find(holds)
    }

    /// Whether a part may be fetched from a store and saved there, as far as it may be retired.
    fn is_usable(&self, store: &StoreTraits, part: PartKey, now: Moment) -> bool {
        let is_informed = self.is_informed(now) || !self.may_be_retiring(store);
        is_informed && !self.retirements.retires(store.address, part)
    }

    /// Whether a store is full enough for parts to be retired from it.
    fn may_be_retiring(&self, store: &StoreTraits) -> bool {
        let used = self.used(store.address).unwrap_or_default();
        store.is_managed && used.0 >= store.memory.0 / 2
    }

    fn confirmed(&self, store: SocketAddr, now: Moment) -> Option<&StoreContents> {
        let contents = self.stores.get(&store)?;
        (now.millis_since(contents.confirmed) <= REPORT_EXPIRY_MS).then_some(contents)
    }

    /// The store that a part should be saved to; `None` if it is stored or being saved, or if no store
    /// has capacity for it, or only such that hold nothing worth less. Rendezvous hashing, weighted by
    /// memory and link rate, selects among the others, so all daemons select the same. Weighted by
    /// memory alone, large stores with slow links would get most parts, and fetches would queue there.
    pub fn store_for<'a>(
        &self,
        stores: &'a [Rc<StoreTraits>],
        salt: &str,
        part: &PromptPart,
        now: Moment,
    ) -> Option<&'a Rc<StoreTraits>> {
        let key = PartKey::new(salt, &part.id);
        let is_held = |store: &Rc<StoreTraits>| {
            let contents = self.confirmed(store.address, now);
            contents.is_some_and(|contents| contents.held.contains_key(&key))
                && (!self.is_informed(now) || self.is_usable(store, key, now))
        };
        if self.saves.is_in_flight(&key, now) || stores.iter().any(is_held) {
            return None;
        }
        let has_capacity = |store: &&Rc<StoreTraits>| {
            let contents = self.confirmed(store.address, now);
            let taken = part.tokens.0 + self.saves.reserved(store.address, now).0;
            contents.is_some_and(|contents| contents.used + taken <= store.memory.0)
                && self.is_settled(store.address, now)
                && self.is_usable(store, key, now)
        };
        let weight = |store: &Rc<StoreTraits>| {
            rendezvous_weight(
                &(key, store.address),
                store.memory.0 as f64 * store.bytes_per_s as f64,
            )
        };
        let with_capacity: Vec<&Rc<StoreTraits>> = stores.iter().filter(has_capacity).collect();
        let admits = |store: &&&Rc<StoreTraits>| {
            let taken = self.taken(store.address, now);
            self.admission.admits(store, taken, (key, part.tokens), now)
        };
        let admitting = with_capacity.iter().filter(admits);
        let chosen = admitting.max_by(|a, b| weight(a).total_cmp(&weight(b))).copied();
        if chosen.is_none() && !with_capacity.is_empty() {
            self.admission.count_refused();
        }
        chosen
    }

    /// Room that a store's parts take, with saves in flight and those that are known to have broken
    /// off.
    fn taken(&self, store: SocketAddr, now: Moment) -> TokenCount {
        let used = self.used(store).unwrap_or_default();
        let broken: u64 = self.broken_saves(store, now).map(|(_, part)| part.reserved.0).sum();
        TokenCount(used.0 + self.saves.reserved(store, now).0 + broken)
    }

    /// Saves to a store that broke off, without those that were ordered again or that are being freed.
    fn broken_saves(
        &self,
        store: SocketAddr,
        now: Moment,
    ) -> impl Iterator<Item = (PartKey, &PartialPart)> {
        let contents = self.stores.get(&store);
        let epoch = contents.map_or(0, |contents| contents.epoch);
        self.partials.broken(store, epoch, now).filter(move |(key, _)| {
            let is_held = contents.is_some_and(|contents| contents.held.contains_key(key));
            !is_held && !self.saves.is_in_flight(key, now) && !self.retirements.retires(store, *key)
        })
    }

    /// Whether a store is to be listed for saves that broke off; if so, it counts as asked.
    pub fn is_list_due(&mut self, store: SocketAddr, now: Moment) -> bool {
        let has_lost_saves = self.saves.has_lost(store, now);
        let is_due = self.partials.is_due(store, has_lost_saves, now);
        if is_due {
            self.partials.note_asked(store, now);
        }
        is_due
    }

    /// Applies the incomplete parts of a store's list.
    pub fn note_partials(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        partial: Vec<PartialPart>,
        as_of: Moment,
    ) {
        self.partials.note_list(store, epoch, partial, as_of);
    }

    /// How full a managed store is; `None` if its contents are unknown.
    pub fn room(&self, store: &StoreTraits, now: Moment) -> Option<StoreRoom> {
        let contents = self.confirmed(store.address, now)?;
        let longest = contents.held.values().max().copied().unwrap_or_default();
        Some(StoreRoom { total: store.memory, used: self.taken(store.address, now), longest })
    }

    /// Computes anew what new parts must be worth in those of these stores, which free parts only on
    /// order, that have no room to spare.
    pub fn note_floors(&mut self, managed: &[&StoreTraits], now: Moment) {
        let floor = |store: &&StoreTraits| {
            let room = self.room(store, now)?;
            let floor = StoreFloor::new(room, || self.ranked(store.address, now))?;
            Some((store.address, floor))
        };
        let floors = managed.iter().filter_map(floor).collect();
        self.admission.note_floors(floors);
    }

    /// The parts of a store with their values, without those that are being retired.
    fn ranked(&self, store: SocketAddr, now: Moment) -> Vec<RankedPart> {
        let Some(contents) = self.stores.get(&store) else { return Vec::new() };
        let is_kept = |(key, _): &(&PartKey, &TokenCount)| !self.retirements.retires(store, **key);
        let rank = |(key, tokens): (&PartKey, &TokenCount)| {
            let sent = self.last_sent.get(key);
            let is_busy = sent.is_some_and(|(_, sent)| now.millis_since(*sent) < BUSY_MS);
            self.admission.rank(*key, *tokens, is_busy, now)
        };
        contents.held.iter().filter(is_kept).map(rank).collect()
    }

    /// The parts that a store should give up, in its epoch: saves that broke off and, for want of
    /// room, those that are worth least, unless too little is known of how often parts are used.
    /// `None` if there are none.
    pub fn parts_to_retire(&self, store: &StoreTraits, now: Moment) -> Option<(u64, Vec<PartKey>)> {
        let epoch = self.reported_epoch(store.address, now)?;
        let mut room = self.room(store, now)?;
        let broken = self.broken_saves(store.address, now).take(MAX_RETIRED_PARTS);
        let mut parts = Vec::new();
        for (key, part) in broken {
            parts.push(key);
            room.used = TokenCount(room.used.0.saturating_sub(part.reserved.0));
        }
        if room.lacking().0 > 0 && self.may_be_retiring(store) {
            let ranked = self.ranked(store.address, now);
            let limit = MAX_RETIRED_PARTS - parts.len();
            parts.extend(self.admission.to_retire(&ranked, room, limit, now));
        }
        (!parts.is_empty()).then_some((epoch, parts))
    }

    /// The epoch of a store that reported to this daemon itself within the expiry.
    pub fn reported_epoch(&self, store: SocketAddr, now: Moment) -> Option<u64> {
        let contents = self.stores.get(&store)?;
        (now.millis_since(contents.reported) <= REPORT_EXPIRY_MS).then_some(contents.epoch)
    }

    /// Those of these parts that a store reported or listed to this daemon itself, as an order names
    /// them.
    pub fn named_parts(&self, store: SocketAddr, parts: &[PartKey]) -> Vec<HeldPart> {
        let contents = self.stores.get(&store);
        let held = |key: &PartKey| {
            let (salt, id) = contents?.names.get(key)?;
            let tokens = contents?.held.get(key).copied()?;
            Some(HeldPart { salt: salt.clone(), id: id.clone(), tokens })
        };
        let partial = |key: &PartKey| {
            let PartialPart { salt, id, reserved, .. } = self.partials.part(store, *key)?.clone();
            Some(HeldPart { salt, id, tokens: reserved })
        };
        parts.iter().filter_map(|key| held(key).or_else(|| partial(key))).collect()
    }

    /// Applies a notice of parts that are retired. What a store was ordered to free counts as gone,
    /// whatever the store reports: that it freed a part may never be told. Returns the number of parts
    /// of which the store has not said what became of them, once the retirement is over.
    pub fn note_retirement(&mut self, notice: RetireNotice, now: Moment) -> usize {
        if notice.phase == RetirePhase::Freed && !self.retirements.is_over(&notice, now) {
            self.retract(&notice);
        }
        self.retirements.note(notice, now).map_or(0, |over| self.end_retirement(&over))
    }

    /// Ends the retirements whose end was not heard of. Returns the same number for each store.
    pub fn end_expired_retirements(&mut self, now: Moment) -> Vec<(SocketAddr, usize)> {
        let expired = self.retirements.take_expired(now);
        expired.iter().map(|notice| (notice.store, self.end_retirement(notice))).collect()
    }

    /// Takes a retirement's parts for gone.
    fn retract(&mut self, notice: &RetireNotice) {
        let Some(contents) = self.stores.get_mut(&notice.store) else { return };
        for key in &notice.parts {
            if drop_part(contents, key) {
                contents.unreported.insert(*key);
            }
        }
    }

    /// Ends a retirement. Its parts may have been freed, whether this daemon heard of it or not, so they
    /// count as gone until the store says that it holds them. If it has not said that they are gone, it
    /// is to be listed: they may also still be there.
    fn end_retirement(&mut self, notice: &RetireNotice) -> usize {
        self.retract(notice);
        let Some(contents) = self.stores.get_mut(&notice.store) else { return 0 };
        let unreported = notice.parts.iter().filter(|key| contents.unreported.remove(key)).count();
        contents.is_list_due |= unreported > 0;
        unreported
    }

    /// Whether a store that this daemon follows is to be listed anew; if so, it counts as listed. It is
    /// if its own last report is expired: this daemon may not have run meanwhile, and not have heard what
    /// others know to be gone.
    pub fn take_list_due(&mut self, store: SocketAddr, now: Moment) -> bool {
        let is_expired = self.reported_epoch(store, now).is_none();
        let is_due =
            self.stores.get_mut(&store).is_some_and(|it| std::mem::take(&mut it.is_list_due));
        is_expired || is_due
    }

    /// Whether this daemon can act by one more retirement.
    pub fn has_retirement_place(&self, now: Moment) -> bool {
        self.retirements.has_place(now)
    }

    /// The retirements by which this daemon acts.
    pub fn heard_retirements(&self, now: Moment) -> Vec<RetirementId> {
        self.retirements.heard(now)
    }

    /// The retirements to tell a new peer.
    pub fn retold_retirements(&self, now: Moment) -> Vec<RetireNotice> {
        self.retirements.retold(now)
    }

    /// Notes until when this daemon may lack retirements that others know of.
    pub fn note_uninformed(&mut self, until: Deadline) {
        self.informed_at = until;
    }

    /// Whether this daemon knows of the retirements that others know of.
    pub fn is_informed(&self, now: Moment) -> bool {
        self.informed_at.passed(now)
    }

    /// Number of parts, since the last call, that were not saved because they are worth less than
    /// what has to go.
    pub fn take_refused(&self) -> u64 {
        self.admission.take_refused()
    }

    /// Records a save that this daemon or a peer ordered.
    pub fn note_saving(&mut self, save: PartSave, now: Moment) {
        self.saves.begin(save, now);
    }

    /// Records a prompt that this daemon or a peer sent to an engine.
    pub fn note_sent(
        &mut self,
        engine: &UpstreamId,
        parts: &[PartKey],
        tokens: TokenCount,
        now: Moment,
    ) {
        if self.last_sent.len() + parts.len() > MAX_SENT_PARTS {
            self.last_sent.retain(|_, (_, sent)| now.millis_since(*sent) < SENT_EXPIRY_MS);
        }
        for part in parts {
            self.admission.note_use(*part, now);
            self.last_sent.insert(*part, (engine.clone(), now));
        }
        let history = self.engines.entry(engine.clone()).or_default();
        history.total += tokens.0;
        let total = history.total;
        history.parts.retain(|(key, _)| !parts.contains(key));
        history.parts.extend(parts.iter().map(|key| (*key, total)));
        while history.parts.len() > MAX_ENGINE_PARTS {
            history.parts.pop_front();
        }
    }

    /// Estimated tokens of a prompt's leading parts that an engine holds.
    pub fn resident(
        &self,
        engine: &UpstreamId,
        memory: TokenCount,
        salt: &str,
        parts: &[PromptPart],
    ) -> TokenCount {
        let Some(history) = self.engines.get(engine) else { return TokenCount(0) };
        let kept = (memory.0 as f64 * CACHE_FRACTION) as u64;
        let is_kept = |part: &&PromptPart| {
            let key = PartKey::new(salt, &part.id);
            let sent = history.parts.iter().rev().find(|(other, _)| *other == key);
            sent.is_some_and(|(_, total)| history.total - total + part.tokens.0 <= kept)
        };
        TokenCount(parts.iter().take_while(is_kept).map(|part| part.tokens.0).sum())
    }

    /// The engine that a part was last sent to, if by estimate it has prefilled the part and still
    /// holds it.
    pub fn engine_with(
        &self,
        memory: TokenCount,
        salt: &str,
        part: &PromptPart,
        now: Moment,
    ) -> Option<&UpstreamId> {
        let (engine, sent) = self.last_sent.get(&PartKey::new(salt, &part.id))?;
        let is_prefilled = now.millis_since(*sent) >= PREFILL_MS;
        let resident = self.resident(engine, memory, salt, std::slice::from_ref(part));
        (is_prefilled && resident.0 > 0).then_some(engine)
    }

    /// Removes engines for which `is_known` is false.
    pub fn retain_engines(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|id, _| is_known(id));
        self.last_sent.retain(|_, (id, _)| is_known(id));
    }

    /// The store's epoch and those of its parts whose salt is unreferenced. Only parts that the store
    /// itself reported are listed.
    pub fn unreferenced_parts(
        &self,
        store: SocketAddr,
        is_unreferenced: impl Fn(&str) -> bool,
    ) -> (u64, Vec<HeldPart>) {
        let Some(contents) = self.stores.get(&store) else { return (0, Vec::new()) };
        let named = contents.names.iter().filter(|(_, (salt, _))| is_unreferenced(salt));
        let part = |(key, (salt, id)): (&PartKey, &(Box<str>, Box<str>))| HeldPart {
            salt: salt.clone(),
            id: id.clone(),
            tokens: contents.held.get(key).copied().unwrap_or_default(),
        };
        (contents.epoch, named.map(part).collect())
    }

    /// The update for peers on a store that this daemon follows: its complete contents, or the changes
    /// since the last call. Parts that are being retired count as gone.
    pub fn store_update(&mut self, store: SocketAddr, is_complete: bool) -> Option<StoreUpdate> {
        let contents = self.stores.get_mut(&store)?;
        let mut changes = std::mem::take(&mut contents.changes);
        changes.retain(|it| it.tokens.0 == 0 || !self.retirements.retires(store, it.key));
        if is_complete {
            return self.full_store_update(store);
        }
        let (epoch, as_of) = (contents.epoch, contents.confirmed);
        let started_by = self.started_by(store, epoch).unwrap_or(as_of);
        Some(StoreUpdate { store, epoch, as_of, started_by, is_complete, parts: changes })
    }

    /// The complete contents of a store, for the initial sync with a new peer.
    pub fn full_store_update(&self, store: SocketAddr) -> Option<StoreUpdate> {
        let contents = self.stores.get(&store)?;
        let held = contents.held.iter().filter(|(key, _)| !self.retirements.retires(store, **key));
        let parts = held.map(|(key, tokens)| PartChange { key: *key, tokens: *tokens }).collect();
        let (epoch, as_of) = (contents.epoch, contents.confirmed);
        let started_by = self.started_by(store, epoch).unwrap_or(as_of);
        Some(StoreUpdate { store, epoch, as_of, started_by, is_complete: true, parts })
    }

    /// Applies a peer's update on a store that it follows, unless this daemon has a fresh report from
    /// the store itself.
    pub fn note_store_update(&mut self, update: StoreUpdate, now: Moment) {
        if self.starts.get(&update.store).is_some_and(|start| start.epoch == update.epoch) {
            self.hear_start(update.store, update.epoch, update.started_by);
        }
        let reported = self.stores.get(&update.store).map(|contents| contents.reported);
        if reported.is_some_and(|reported| update.as_of.millis_since(reported) <= REPORT_EXPIRY_MS)
        {
            return;
        }
        if now.millis_since(update.as_of) > REPORT_EXPIRY_MS {
            // What it says to be there may have been freed since.
            return;
        }
        let known = self.stores.get(&update.store).map(|contents| contents.epoch);
        if known != Some(update.epoch) {
            if self.stores.get(&update.store).is_some_and(|known| known.confirmed > update.as_of) {
                return;
            }
            self.stores.remove(&update.store);
        }
        self.hear_start(update.store, update.epoch, update.started_by);
        let contents = self.stores.entry(update.store).or_default();
        let is_gapped = update.as_of.millis_since(contents.confirmed) > REPORT_EXPIRY_MS;
        if is_gapped && !update.is_complete {
            // The changes of the time between are not known.
            *contents = StoreContents::default();
        }
        contents.epoch = update.epoch;
        if update.is_complete && update.as_of >= contents.confirmed {
            contents.held.clear();
            contents.names.clear();
            contents.used = 0;
        }
        contents.confirmed = contents.confirmed.max(update.as_of);
        for change in update.parts {
            if change.tokens.0 > 0 {
                self.saves.end(&change.key);
                let is_known = contents.held.contains_key(&change.key);
                if !is_known {
                    self.saves.note_begun(&change.key, update.store);
                }
                if !self.retirements.retires(update.store, change.key) {
                    add_part(contents, change);
                }
            } else {
                drop_part(contents, &change.key);
            }
        }
    }

    /// Tokens that a store holds; `None` if its contents are unknown.
    pub fn used(&self, store: SocketAddr) -> Option<TokenCount> {
        self.stores.get(&store).map(|contents| TokenCount(contents.used))
    }
}

fn add_part(contents: &mut StoreContents, part: PartChange) {
    contents.used += part.tokens.0;
    if let Some(before) = contents.held.insert(part.key, part.tokens) {
        contents.used = contents.used.saturating_sub(before.0);
    }
}

/// Removes a part; returns whether it was there.
fn drop_part(contents: &mut StoreContents, key: &PartKey) -> bool {
    contents.names.remove(key);
    let dropped = contents.held.remove(key);
    contents.used = contents.used.saturating_sub(dropped.unwrap_or_default().0);
    dropped.is_some()
}

/// Adds a part that the store itself reported, with its salt and id.
fn add_named(contents: &mut StoreContents, part: HeldPart) {
    let key = PartKey::new(&part.salt, &part.id);
    let change = PartChange { key, tokens: part.tokens };
    add_part(contents, change);
    contents.changes.push(change);
    contents.names.insert(key, (part.salt, part.id));
}

/// Weight of a choice in weighted rendezvous hashing: the highest wins, and each wins in proportion
/// to its size.
pub fn rendezvous_weight(choice: &impl Hash, size: f64) -> f64 {
    let mut hasher = FxHasher::default();
    choice.hash(&mut hasher);
    // FxHasher mixes the low bits poorly; a multiplication spreads them.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let unit = ((mixed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -size / unit.min(1.0 - f64::EPSILON).ln()
}
