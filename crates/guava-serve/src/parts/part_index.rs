//! Where cached parts of prompts lie: in stores as these report it, in engines by what was sent.

use crate::parts::part_key::PartKey;
use crate::parts::save_ledger::{PartSave, SaveLedger};
use crate::request::accepted_request::PromptPart;
use crate::serve_config::StoreTraits;
use guava_types::{FastMap, Moment, TokenCount, UpstreamId};
use rustc_hash::FxHasher;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of an engine's memory that is taken to hold parts of earlier prompts; the rest is taken
/// by runs. The engine drops the least recently used parts.
const CACHE_SHARE: f64 = 0.6;
/// Prompts remembered for each engine: more than fit into any engine's memory.
const REMEMBERED: usize = 64;

/// Parts of which the engine is remembered, and for how long at least, in milliseconds: engines drop
/// them within some seconds.
const REMEMBERED_PARTS: usize = 8_192;
const SENT_EXPIRY_MS: u64 = 20_000;
/// Time after which an engine has read a part that was sent to it, in milliseconds.
const READ_MS: u64 = 700;

/// A part that lies whole in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// Salt that it was stored under.
    pub salt: Box<str>,
    /// Its id.
    pub id: Box<str>,
    /// Its length.
    pub tokens: TokenCount,
}

/// A change that a store reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartEvent {
    /// A part is whole, with its length.
    Stored(HeldPart),
    /// A part is gone.
    Dropped {
        /// Salt.
        salt: Box<str>,
        /// Id.
        id: Box<str>,
    },
}

/// How long a store's word counts, in milliseconds.
///
/// A store that restarts is empty, and others begin to save to it anew. A fetch by older knowledge
/// would read a part that is only partly written, and nothing in the store prevents it. Stores
/// are asked twice a second, daemons tell each other four times a second, and a store takes longer
/// than this to restart.
const CONFIRMED_MS: u64 = 1_400;
/// Longest time after a request is sent in which it may begin to fetch, in milliseconds: a store
/// whose link is busy delivers a long part after more than a second, and given up sooner the part is
/// read again.
pub const LONGEST_FETCH_MS: u64 = 2_500;
/// How long after its restart a store is saved to again, in milliseconds. By then all fetches by what
/// it held before are over: the word on it was no older than it may be, and none lasts longer. A
/// fetch that meets a part which is just being written would read half of it.
const SETTLED_MS: u64 = CONFIRMED_MS + LONGEST_FETCH_MS;

#[derive(Debug, Default)]
struct StoreContents {
    epoch: u64,
    confirmed: Moment,
    /// When the store itself said something to this daemon.
    heard: Moment,
    held: FastMap<PartKey, TokenCount>,
    /// Salt and id of parts that the store itself reported; peers only pass keys on.
    names: FastMap<PartKey, (Box<str>, Box<str>)>,
    used: u64,
    /// Changes since peers were last told.
    news: Vec<PartChange>,
}

/// A change in a store, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// Which part.
    pub key: PartKey,
    /// Its length; zero if it is gone.
    pub tokens: TokenCount,
}

/// What a daemon that follows a store tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Which store.
    pub store: SocketAddr,
    /// Changes with each restart of the store.
    pub epoch: u64,
    /// When the store said so, on this daemon's clock.
    pub as_of: Moment,
    /// Whether `parts` is all that the store holds.
    pub is_whole: bool,
    /// What it holds, or what changed.
    pub parts: Vec<PartChange>,
}

#[derive(Debug, Default)]
struct EnginePast {
    /// Prompt tokens sent there so far.
    passed: u64,
    /// Parts sent there, newest last, with what had passed by then.
    parts: VecDeque<(PartKey, u64)>,
}

/// One start of a store, and since when it is known here.
#[derive(Clone, Copy, Debug)]
struct StoreStart {
    epoch: u64,
    since: Moment,
}

/// Where parts lie.
#[derive(Debug, Default)]
pub struct PartIndex {
    stores: FastMap<SocketAddr, StoreContents>,
    starts: FastMap<SocketAddr, StoreStart>,
    engines: FastMap<UpstreamId, EnginePast>,
    /// The engine that each part was last sent to, and when.
    last_sent: FastMap<PartKey, (UpstreamId, Moment)>,
    saves: SaveLedger,
}

impl PartIndex {
    /// Forgets what a store holds: it can't be reached, or reported a gap.
    ///
    /// It may have restarted empty, and its address may stand for another store's contents. A
    /// fetch from a store that is down costs a request some hundred milliseconds.
    pub fn forget_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// Takes in a store's whole list.
    pub fn note_list(&mut self, store: SocketAddr, epoch: u64, parts: Vec<HeldPart>, now: Moment) {
        self.note_start(store, epoch, now);
        let mut contents =
            StoreContents { epoch, confirmed: now, heard: now, ..StoreContents::default() };
        parts.into_iter().for_each(|part| hold_named(&mut contents, part));
        self.stores.insert(store, contents);
    }

    /// Takes in a store's changes; whether they follow on what is known.
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
        contents.heard = now;
        for event in events {
            match event {
                PartEvent::Stored(part) => {
                    self.saves.end(&PartKey::new(&part.salt, &part.id));
                    hold_named(contents, part);
                }
                PartEvent::Dropped { salt, id } => {
                    let key = PartKey::new(&salt, &id);
                    drop_part(contents, &key);
                    contents.news.push(PartChange { key, tokens: TokenCount(0) });
                }
            }
        }
        true
    }

    fn note_start(&mut self, store: SocketAddr, epoch: u64, now: Moment) {
        let start = self.starts.entry(store).or_insert(StoreStart { epoch, since: now });
        if start.epoch != epoch {
            *start = StoreStart { epoch, since: now };
        }
    }

    /// Whether a store may be saved to, as far as its last start goes.
    ///
    /// One that holds a part was found settled by whoever saved it; so daemons that start while the
    /// stores go on need not wait, and don't have the parts read again by everybody.
    fn is_settled(&self, store: SocketAddr, now: Moment) -> bool {
        let holds_any = self.stores.get(&store).is_some_and(|contents| !contents.held.is_empty());
        let start = self.starts.get(&store);
        holds_any || start.is_some_and(|start| now.millis_since(start.since) >= SETTLED_MS)
    }

    /// The store among these that holds a part whole.
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
        };
        stores.iter().find(holds)
    }

    fn confirmed(&self, store: SocketAddr, now: Moment) -> Option<&StoreContents> {
        let contents = self.stores.get(&store)?;
        (now.millis_since(contents.confirmed) <= CONFIRMED_MS).then_some(contents)
    }

    /// The store that a part should be saved to: of those with room the one that its key and the
    /// stores' sizes and links choose, so that all daemons choose the same. By size alone the large
    /// stores with slow links would get most, and fetches wait for each other there.
    pub fn store_for<'a>(
        &self,
        stores: &'a [Rc<StoreTraits>],
        salt: &str,
        part: &PromptPart,
        now: Moment,
    ) -> Option<&'a Rc<StoreTraits>> {
        let key = PartKey::new(salt, &part.id);
        if self.saves.is_under_way(&key, now) || self.holder(stores, salt, part, now).is_some() {
            return None;
        }
        let has_capacity = |store: &&Rc<StoreTraits>| {
            let contents = self.confirmed(store.address, now);
            let taken = part.tokens.0 + self.saves.reserved(store.address, now).0;
            contents.is_some_and(|contents| contents.used + taken <= store.memory.0)
                && self.is_settled(store.address, now)
        };
        let weight = |store: &Rc<StoreTraits>| {
            rendezvous_weight(
                &(key, store.address),
                store.memory.0 as f64 * store.bytes_per_s as f64,
            )
        };
        stores.iter().filter(has_capacity).max_by(|a, b| weight(a).total_cmp(&weight(b)))
    }

    /// Notes that a part is being saved, by this daemon's order or a peer's.
    pub fn note_saving(&mut self, save: PartSave, now: Moment) {
        self.saves.begin(save, now);
    }

    /// Notes a prompt sent to an engine, by this daemon or a peer.
    pub fn note_sent(
        &mut self,
        engine: &UpstreamId,
        parts: &[PartKey],
        tokens: TokenCount,
        now: Moment,
    ) {
        if self.last_sent.len() + parts.len() > REMEMBERED_PARTS {
            self.last_sent.retain(|_, (_, sent)| now.millis_since(*sent) < SENT_EXPIRY_MS);
        }
        for part in parts {
            self.last_sent.insert(*part, (engine.clone(), now));
        }
        let past = self.engines.entry(engine.clone()).or_default();
        past.passed += tokens.0;
        let passed = past.passed;
        past.parts.retain(|(key, _)| !parts.contains(key));
        past.parts.extend(parts.iter().map(|key| (*key, passed)));
        while past.parts.len() > REMEMBERED {
            past.parts.pop_front();
        }
    }

    /// Tokens at a prompt's beginning that an engine is believed to hold.
    pub fn resident(
        &self,
        engine: &UpstreamId,
        memory: TokenCount,
        salt: &str,
        parts: &[PromptPart],
    ) -> TokenCount {
        let Some(past) = self.engines.get(engine) else { return TokenCount(0) };
        let kept = (memory.0 as f64 * CACHE_SHARE) as u64;
        let is_kept = |part: &&PromptPart| {
            let key = PartKey::new(salt, &part.id);
            let sent = past.parts.iter().rev().find(|(other, _)| *other == key);
            sent.is_some_and(|(_, passed)| past.passed - passed + part.tokens.0 <= kept)
        };
        TokenCount(parts.iter().take_while(is_kept).map(|part| part.tokens.0).sum())
    }

    /// The engine that is believed to hold a part, and to have read it by now.
    pub fn engine_with(
        &self,
        memory: TokenCount,
        salt: &str,
        part: &PromptPart,
        now: Moment,
    ) -> Option<&UpstreamId> {
        let (engine, sent) = self.last_sent.get(&PartKey::new(salt, &part.id))?;
        let is_read = now.millis_since(*sent) >= READ_MS;
        let resident = self.resident(engine, memory, salt, std::slice::from_ref(part));
        (is_read && resident.0 > 0).then_some(engine)
    }

    /// Forgets engines that are gone.
    pub fn retain_engines(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|id, _| is_known(id));
        self.last_sent.retain(|_, (id, _)| is_known(id));
    }

    /// Parts in a store whose salt is of no use any more, with the store's epoch.
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

    /// What to tell peers of a store that this daemon follows: all of it, or what changed.
    pub fn store_update(&mut self, store: SocketAddr, is_whole: bool) -> Option<StoreUpdate> {
        let contents = self.stores.get_mut(&store)?;
        let news = std::mem::take(&mut contents.news);
        if is_whole {
            return self.full_store_update(store);
        }
        let (epoch, as_of) = (contents.epoch, contents.confirmed);
        Some(StoreUpdate { store, epoch, as_of, is_whole, parts: news })
    }

    /// All that a store holds, for a peer that has just been heard.
    pub fn full_store_update(&self, store: SocketAddr) -> Option<StoreUpdate> {
        let contents = self.stores.get(&store)?;
        let held = contents.held.iter();
        let parts = held.map(|(key, tokens)| PartChange { key: *key, tokens: *tokens }).collect();
        let (epoch, as_of) = (contents.epoch, contents.confirmed);
        Some(StoreUpdate { store, epoch, as_of, is_whole: true, parts })
    }

    /// Takes in what a peer says of a store that it follows; what the store says itself goes first.
    pub fn note_store_update(&mut self, word: StoreUpdate, now: Moment) {
        let heard = self.stores.get(&word.store).map(|contents| contents.heard);
        if heard.is_some_and(|heard| word.as_of.millis_since(heard) <= CONFIRMED_MS) {
            return;
        }
        let known = self.stores.get(&word.store).map(|contents| contents.epoch);
        if known != Some(word.epoch) {
            if self.stores.get(&word.store).is_some_and(|known| known.confirmed > word.as_of) {
                return;
            }
            self.stores.remove(&word.store);
        }
        self.note_start(word.store, word.epoch, now);
        let contents = self.stores.entry(word.store).or_default();
        contents.epoch = word.epoch;
        if word.is_whole && word.as_of >= contents.confirmed {
            contents.held.clear();
            contents.names.clear();
            contents.used = 0;
        }
        contents.confirmed = contents.confirmed.max(word.as_of);
        for news in word.parts {
            self.saves.end(&news.key);
            if news.tokens.0 > 0 {
                hold(contents, news);
            } else {
                drop_part(contents, &news.key);
            }
        }
    }

    /// Tokens that a store holds, if that is known.
    pub fn used(&self, store: SocketAddr) -> Option<TokenCount> {
        self.stores.get(&store).map(|contents| TokenCount(contents.used))
    }
}

fn hold(contents: &mut StoreContents, part: PartChange) {
    contents.used += part.tokens.0;
    if let Some(before) = contents.held.insert(part.key, part.tokens) {
        contents.used = contents.used.saturating_sub(before.0);
    }
}

fn drop_part(contents: &mut StoreContents, key: &PartKey) {
    contents.names.remove(key);
    if let Some(tokens) = contents.held.remove(key) {
        contents.used = contents.used.saturating_sub(tokens.0);
    }
}

/// Holds a part that the store itself reported.
fn hold_named(contents: &mut StoreContents, part: HeldPart) {
    let key = PartKey::new(&part.salt, &part.id);
    let news = PartChange { key, tokens: part.tokens };
    hold(contents, news);
    contents.news.push(news);
    contents.names.insert(key, (part.salt, part.id));
}

/// Weight of a choice in weighted rendezvous hashing: the highest wins, and each is chosen in
/// proportion to its size.
pub fn rendezvous_weight(choice: &impl Hash, size: f64) -> f64 {
    let mut hasher = FxHasher::default();
    choice.hash(&mut hasher);
    // The fast hasher leaves its low bits poorly mixed; a multiplicative mix spreads them.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let unit = ((mixed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -size / unit.min(1.0 - f64::EPSILON).ln()
}
