//! The daemons: who they are, where callers reach them, and who was heard lately.

use guava_types::{FastMap, Incarnation, MemberName, Moment};
use std::net::SocketAddr;

/// A daemon that was not heard for so long is not recommended to callers, in milliseconds. Daemons
/// speak four times a second: about six datagrams in a row are missing then.
const SILENT_MS: u64 = 1_500;
/// A daemon that was not heard for so long is forgotten until it speaks again, in milliseconds.
const FORGOTTEN_MS: u64 = 120_000;

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberNote {
    /// Its name.
    pub name: MemberName,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    note: MemberNote,
    /// Nothing if it is only known by its record in the store.
    heard: Option<Moment>,
    listed: Moment,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: FastMap<MemberName, MemberEntry>,
}

impl MemberTable {
    /// Takes in a daemon's record in the store; what the daemon says itself goes first.
    pub fn note_record(&mut self, note: MemberNote, now: Moment) {
        let entry = self.members.entry(note.name.clone());
        let entry =
            entry.or_insert_with(|| MemberEntry { note: note.clone(), heard: None, listed: now });
        if entry.heard.is_none() {
            entry.note = note;
        }
    }

    /// Takes in what a daemon says; whether it was silent or unknown before.
    pub fn note_heard(&mut self, note: MemberNote, now: Moment) -> bool {
        let before = self.members.get(&note.name).and_then(|entry| entry.heard);
        let name = note.name.clone();
        self.members.insert(name, MemberEntry { note, heard: Some(now), listed: now });
        before.is_none_or(|before| now.millis_since(before) > SILENT_MS)
    }

    /// Forgets daemons that were silent for long.
    pub fn sweep(&mut self, now: Moment) {
        let last = |entry: &MemberEntry| entry.heard.unwrap_or(entry.listed);
        self.members.retain(|_, entry| now.millis_since(last(entry)) < FORGOTTEN_MS);
    }

    /// Addresses of all daemons that may be there.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().map(|entry| entry.note.peer_address)
    }

    /// Daemons heard lately.
    pub fn living(&self, now: Moment) -> impl Iterator<Item = &MemberNote> {
        let is_living = move |entry: &&MemberEntry| {
            entry.heard.is_some_and(|heard| now.millis_since(heard) <= SILENT_MS)
        };
        self.members.values().filter(is_living).map(|entry| &entry.note)
    }

    /// Number of daemons known, this one included.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Where callers reach the daemons that are ready, this one not included.
    pub fn caller_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let ready = self.living(now).filter(|note| note.is_ready);
        ready.map(|note| note.caller_address).collect()
    }

    /// This daemon's place in an order of the living daemons that depends on a subject, 0 first:
    /// daemons with the same view agree on who goes first, and different subjects have different
    /// orders.
    pub fn turn(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        let weight =
            |name: &MemberName| crate::part_index::rendezvous_weight(&(subject, name), 1.0);
        let own = weight(me);
        self.living(now).filter(|note| note.name != *me && weight(&note.name) > own).count()
    }
}
