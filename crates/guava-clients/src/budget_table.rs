//! The account book behind a budget: what each connection holds, and their sums.

use crate::client_limits::{ClientLimits, ClientTimes, ListenerPlaces};
use crate::close_reason::CloseReason;
use crate::connection_entry::ConnectionEntry;
use crate::eviction::EvictionRank;
use crate::run_clock::RunClock;
use guava_types::{FastMap, Moment};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Part of the limit by which bytes of connections that are closing may exceed it.
const MAX_LEAVING_DIVISOR: usize = 8;

/// What clients hold at the moment, and what was closed since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetLevels {
    /// Bytes held.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Connections closed or refused, in the order of `CloseReason::ALL`.
    pub closed: [u64; CloseReason::ALL.len()],
}

pub(crate) struct BudgetTable {
    limits: ClientLimits,
    clock: RunClock,
    held: usize,
    /// Of these, bytes of connections that are closing.
    leaving: usize,
    live: usize,
    next: u64,
    entries: FastMap<u64, (ConnectionEntry, Arc<Notify>)>,
    listeners: Vec<(ListenerPlaces, usize)>,
    closed: [u64; CloseReason::ALL.len()],
}

/// The table as its users share it.
#[derive(Clone)]
pub(crate) struct SharedTable(Arc<Mutex<BudgetTable>>);

impl SharedTable {
    pub(crate) fn new(limits: ClientLimits) -> Self {
        Self(Arc::new(Mutex::new(BudgetTable {
            limits,
            clock: RunClock::default(),
            held: 0,
            leaving: 0,
            live: 0,
            next: 0,
            entries: FastMap::default(),
            listeners: Vec::new(),
            closed: [0; CloseReason::ALL.len()],
        })))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BudgetTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetTable {
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.run_ms()
    }

    pub(crate) fn entry(&mut self, number: u64) -> Option<&mut ConnectionEntry> {
        self.entries.get_mut(&number).map(|(entry, _)| entry)
    }

    pub(crate) fn set_connections(&mut self, connections: usize) {
        self.limits.connections = connections;
    }

    /// Whether all places are taken.
    pub(crate) fn is_full(&self) -> bool {
        self.live >= self.limits.places()
    }

    /// Counts the time since the last advance, and closes what is overdue by then.
    pub(crate) fn advance(&mut self, now: Moment) {
        self.clock.advance(now);
        self.close_overdue();
    }

    pub(crate) fn levels(&self) -> BudgetLevels {
        BudgetLevels { bytes: self.held, connections: self.live, closed: self.closed }
    }

    /// The index of a listener, which is noted when its first connection arrives.
    fn listener(&mut self, places: ListenerPlaces) -> usize {
        let known = self.listeners.iter().position(|(known, _)| known.name == places.name);
        known.unwrap_or_else(|| {
            self.listeners.push((places, 0));
            self.listeners.len() - 1
        })
    }

    /// Opens the account of a connection: its number, and what tells it to close.
    pub(crate) fn open(
        &mut self,
        places: ListenerPlaces,
        times: ClientTimes,
    ) -> Option<(u64, Arc<Notify>)> {
        let listener = self.listener(places);
        let all = self.limits.places();
        let is_crowded = self.listeners[listener].1 >= places.most_of(all);
        let has_place = match (is_crowded, self.live >= all) {
            (false, false) => true,
            (true, _) => self.evict(CloseReason::Places, |entry, _| entry.listener == listener),
            (false, true) => self.evict(CloseReason::Places, |_, _| true),
        };
        if !has_place {
            self.note(CloseReason::NoPlace);
            return None;
        }
        self.next += 1;
        let closing = Arc::new(Notify::new());
        let entry = ConnectionEntry::new(listener, times, self.now_ms());
        self.held += entry.bytes;
        self.live += 1;
        self.listeners[listener].1 += 1;
        self.entries.insert(self.next, (entry, Arc::clone(&closing)));
        Some((self.next, closing))
    }

    /// Forgets a connection that has ended.
    pub(crate) fn remove(&mut self, number: u64) {
        let Some((entry, _)) = self.entries.remove(&number) else { return };
        self.held -= entry.bytes;
        if entry.is_closing {
            self.leaving -= entry.bytes;
        } else {
            self.live -= 1;
            self.listeners[entry.listener].1 -= 1;
        }
    }

    pub(crate) fn note(&mut self, reason: CloseReason) {
        self.closed[reason.index()] += 1;
    }

    /// Whether so many more bytes may be held, if need be after closing connections.
    pub(crate) fn has_room(&mut self, count: usize) -> bool {
        while self.held - self.leaving + count > self.limits.bytes {
            if !self.evict(CloseReason::Bytes, |_, rank| rank.gives_bytes()) {
                return false;
            }
        }
        // Closed connections give their bytes back in their own turn.
        let most = self.limits.bytes + self.limits.bytes / MAX_LEAVING_DIVISOR;
        self.leaving == 0 || self.held + count <= most
    }

    /// Charges bytes to a connection, or to none.
    pub(crate) fn charge(&mut self, number: Option<u64>, count: usize) {
        self.held += count;
        let Some(entry) = number.and_then(|number| self.entry(number)) else { return };
        entry.bytes += count;
        if entry.is_closing {
            self.leaving += count;
        }
    }

    /// Gives bytes back.
    pub(crate) fn give_back(&mut self, number: Option<u64>, count: usize) {
        self.held -= count;
        let Some(entry) = number.and_then(|number| self.entry(number)) else { return };
        entry.bytes -= count;
        if entry.is_closing {
            self.leaving -= count;
        }
    }

    /// Bytes that the kernel holds of a connection whose client sends ahead or takes nothing.
    pub(crate) fn socket_buffer_bytes(&self) -> usize {
        self.limits.socket_buffer_bytes
    }

    /// Charges bytes that are held already, and closes connections if that is too much.
    pub(crate) fn charge_held(&mut self, number: u64, count: usize) {
        self.charge(Some(number), count);
        // Nothing more can be done if none may be closed: new requests are refused.
        self.has_room(0);
    }

    fn close(&mut self, number: u64, reason: CloseReason) {
        let Some((entry, closing)) = self.entries.get_mut(&number) else { return };
        if entry.is_closing {
            return;
        }
        entry.is_closing = true;
        entry.is_abortive = entry.stalled_since_ms().is_some();
        closing.notify_one();
        let (bytes, listener) = (entry.bytes, entry.listener);
        self.leaving += bytes;
        self.live -= 1;
        self.listeners[listener].1 -= 1;
        self.note(reason);
    }

    /// Closes the first connection in the order of eviction that meets a condition; returns whether
    /// there was one.
    pub(crate) fn evict(
        &mut self,
        reason: CloseReason,
        is_meant: impl Fn(&ConnectionEntry, EvictionRank) -> bool,
    ) -> bool {
        let now_ms = self.now_ms();
        let ranked = self.entries.iter().filter_map(|(number, (entry, _))| {
            let rank = EvictionRank::of(entry, now_ms)?;
            is_meant(entry, rank).then_some((rank, *number))
        });
        // Of equals the one that was accepted first.
        let first = ranked.max_by_key(|(rank, number)| (*rank, std::cmp::Reverse(*number)));
        let Some((_, number)) = first else { return false };
        self.close(number, reason);
        true
    }

    fn close_overdue(&mut self) {
        let now_ms = self.now_ms();
        let overdue: Vec<(u64, CloseReason)> = self
            .entries
            .iter()
            .filter_map(|(number, (entry, _))| Some((*number, entry.overdue(now_ms)?)))
            .collect();
        overdue.into_iter().for_each(|(number, reason)| self.close(number, reason));
    }
}
