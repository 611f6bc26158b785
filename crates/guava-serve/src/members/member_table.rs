//! The daemons: who they are, where callers reach them, and who was heard lately.

use crate::parts::part_index::rendezvous_weight;
use guava_types::{DataCentre, FastMap, MemberName, Moment};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Pause between two messages to a daemon of the same data centre at least, in milliseconds.
const NEAR_PAUSE_MS: u64 = 250;
/// The same to those of other data centres in a large deployment: traffic between data centres is
/// dear.
const FAR_PAUSE_MS: u64 = 1_000;
/// Messages that a daemon gets from each of these two groups are bounded, to one in so many
/// milliseconds: a weak VM would spend all of its share of a core on them. Half a second between two
/// messages near by would be too long: what they say of a store of cached parts counts for 1.4 s, is
/// up to half a second old when it is said, and one lost datagram must not end it.
const MESSAGE_MS: u64 = 5;

/// A daemon of the same data centre that was not heard for so long is not recommended to callers, in
/// milliseconds, and three of its pauses at least: about six datagrams in a row are missing then.
const SILENT_MS: u64 = 1_500;
const SILENT_PAUSES: u64 = 3;
/// The same for other data centres, and five halves of their pause.
const REMOTE_SILENT_MS: u64 = 2_500;
/// A daemon that was not heard for so long is forgotten until it speaks again, in milliseconds.
const FORGOTTEN_MS: u64 = 120_000;

/// Daemons above which a deployment is large: other data centres are told less, and through relays.
const LARGE_DEPLOYMENT: usize = 16;

/// What the daemons' turns at reading the platform's store depend on.
const READ_SUBJECT: &str = "store";

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDescriptor {
    /// Its name.
    pub name: MemberName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    member: MemberDescriptor,
    /// Nothing if it is only known by its record in the store.
    heard: Option<Moment>,
    listed: Moment,
    /// Whether it was ready and is no more: it is about to end.
    is_leaving: bool,
}

/// Where a daemon begins to take relays in turn.
fn own_offset(me: &MemberName) -> u64 {
    let mut hasher = FxHasher::default();
    me.hash(&mut hasher);
    // The high half: the fast hasher leaves its low bits poorly mixed.
    hasher.finish() >> 32
}

/// The other daemons.
#[derive(Debug)]
pub struct MemberTable {
    data_centre: DataCentre,
    members: FastMap<MemberName, MemberEntry>,
    /// How many of them stand in this data centre.
    near: usize,
    /// Whether the records of all daemons were read since this one started.
    is_listed: bool,
}

impl MemberTable {
    /// The daemons as one in a data centre sees them; none is known yet.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, members: FastMap::default(), near: 0, is_listed: false }
    }

    /// Pause between two of this daemon's messages to those of its data centre, in milliseconds.
    pub fn local_interval_ms(&self) -> u64 {
        NEAR_PAUSE_MS.max(self.near as u64 * MESSAGE_MS)
    }

    /// Pause between two of this daemon's messages to other data centres, in milliseconds.
    pub fn remote_interval_ms(&self) -> u64 {
        FAR_PAUSE_MS.max((self.members.len() - self.near) as u64 * MESSAGE_MS)
    }

    /// Time after which a daemon of a data centre counts as silent, in milliseconds.
    pub fn silent_ms(&self, data_centre: &DataCentre) -> u64 {
        if *data_centre == self.data_centre {
            SILENT_MS.max(self.local_interval_ms() * SILENT_PAUSES)
        } else {
            REMOTE_SILENT_MS.max(self.remote_interval_ms() * 5 / 2)
        }
    }

    fn count_near(&mut self) {
        let is_near = |entry: &&MemberEntry| entry.member.data_centre == self.data_centre;
        self.near = self.members.values().filter(is_near).count();
    }

    /// Takes in a daemon's record in the store; what the daemon says itself goes first.
    pub fn note_record(&mut self, note: MemberDescriptor, now: Moment) {
        let entry = self.members.entry(note.name.clone());
        let entry = entry.or_insert_with(|| MemberEntry {
            member: note.clone(),
            heard: None,
            listed: now,
            is_leaving: false,
        });
        if entry.heard.is_none() {
            entry.member = note;
        }
        self.count_near();
    }

    /// Notes that the records of all daemons have been taken in.
    pub fn note_listed(&mut self) {
        self.is_listed = true;
    }

    /// Takes in what a daemon says; whether it was silent or unknown before.
    pub fn note_from_peer(&mut self, note: MemberDescriptor, now: Moment) -> bool {
        let entry = self.members.get(&note.name);
        let before = entry.and_then(|entry| entry.heard);
        let was_serving = entry.is_some_and(|entry| entry.member.is_ready || entry.is_leaving);
        let is_leaving = was_serving && !note.is_ready;
        let silent_ms = self.silent_ms(&note.data_centre);
        let name = note.name.clone();
        let entry = MemberEntry { member: note, heard: Some(now), listed: now, is_leaving };
        if self.members.insert(name, entry).is_none() {
            self.count_near();
        }
        before.is_none_or(|before| now.millis_since(before) > silent_ms)
    }

    /// Forgets daemons that were silent for long.
    pub fn sweep(&mut self, now: Moment) {
        let last = |entry: &MemberEntry| entry.heard.unwrap_or(entry.listed);
        self.members.retain(|_, entry| now.millis_since(last(entry)) < FORGOTTEN_MS);
        self.count_near();
    }

    /// Addresses of all daemons that may be there, or only of those in this data centre.
    pub fn peer_addresses(&self, only_near: bool) -> Vec<SocketAddr> {
        let notes = self.members.values().map(|entry| &entry.member);
        let addressed = notes.filter(|note| !only_near || note.data_centre == self.data_centre);
        addressed.map(|note| note.peer_address).collect()
    }

    /// One daemon in each other data centre, a different one for each number in turn.
    ///
    /// Living ones go first. Where none is known to live, those that are only known by their
    /// record are tried: a data centre that was cut off must be found again.
    pub fn relays(
        &self,
        me: &MemberName,
        number: u64,
        now: Moment,
    ) -> Vec<(DataCentre, SocketAddr)> {
        // Daemons that started together count in step. By the number alone all of them take the same
        // relay at the same moment, which then passes on what hundreds say within milliseconds, over
        // a link of some megabits: its own messages are late, and what it relays is lost.
        let number = number.wrapping_add(own_offset(me));
        let mut by_centre: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        let mut silent: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        for entry in self.members.values().filter(|e| e.member.data_centre != self.data_centre) {
            let group = if self.is_living(entry, now) { &mut by_centre } else { &mut silent };
            group.entry(&entry.member.data_centre).or_default().push(&entry.member);
        }
        for (centre, notes) in silent {
            by_centre.entry(centre).or_insert(notes);
        }
        let chosen = by_centre.into_iter().filter_map(|(centre, mut notes)| {
            notes.sort_unstable_by(|one, other| one.name.cmp(&other.name));
            let place = usize::try_from(number % notes.len().max(1) as u64).unwrap_or(0);
            notes.get(place).map(|note| (centre.clone(), note.peer_address))
        });
        chosen.collect()
    }

    /// Daemons heard lately.
    pub fn living(&self, now: Moment) -> impl Iterator<Item = &MemberDescriptor> {
        let living = self.members.values().filter(move |entry| self.is_living(entry, now));
        living.map(|entry| &entry.member)
    }

    fn is_living(&self, entry: &MemberEntry, now: Moment) -> bool {
        entry.heard.is_some() && self.is_expected(entry, now)
    }

    /// Number of daemons known, this one included.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether daemons of other data centres are told only a summary, once a second.
    pub fn is_large(&self) -> bool {
        self.count() > LARGE_DEPLOYMENT
    }

    /// How many daemons there are for each one whose prompts this daemon hears of at once.
    pub fn sampling_factor(&self) -> f64 {
        let is_reachable = |entry: &&MemberEntry| self.gets_immediate(&entry.member.data_centre);
        let heard = 1 + self.members.values().filter(is_reachable).count();
        self.count() as f64 / heard as f64
    }

    /// Whether a daemon of this data centre tells a daemon of another its prompts at once.
    pub fn gets_immediate(&self, other: &DataCentre) -> bool {
        !self.is_large() || *other == self.data_centre
    }

    /// Where callers reach the daemons that are ready, this one not included.
    pub fn caller_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let ready = self.living(now).filter(|note| note.is_ready);
        ready.map(|note| note.caller_address).collect()
    }

    /// This daemon's place in an order of the living daemons that depends on a subject, 0 first:
    /// daemons with the same view agree on who goes first, and different subjects have different
    /// orders.
    pub fn rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        self.turn_among(me, subject, |entry| self.has_duties(entry, now))
    }

    /// This daemon's place among those that read the platform's store for all; behind all others as
    /// long as it can't know whether there are any.
    pub fn reader_rank(&self, me: &MemberName, now: Moment) -> usize {
        if self.is_listed { self.rank(me, READ_SUBJECT, now) } else { usize::MAX }
    }

    /// This daemon's place among the daemons of its data centre that share a duty.
    pub fn local_rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        let is_near = |entry: &MemberEntry| entry.member.data_centre == self.data_centre;
        self.turn_among(me, subject, |entry| is_near(entry) && self.has_duties(entry, now))
    }

    /// This daemon's place among all that are known, heard lately or not, for an upstream whose
    /// requests are limited; nothing as long as it can't know the others.
    pub fn sender_rank(&self, me: &MemberName, upstream: &str) -> Option<usize> {
        self.is_listed.then(|| self.turn_among(me, upstream, |_| true))
    }

    fn turn_among(
        &self,
        me: &MemberName,
        subject: &str,
        counts: impl Fn(&MemberEntry) -> bool,
    ) -> usize {
        let weight = |name: &MemberName| rendezvous_weight(&(subject, name), 1.0);
        let own = weight(me);
        let others =
            self.members.values().filter(|entry| entry.member.name != *me && counts(entry));
        others.filter(|entry| weight(&entry.member.name) > own).count()
    }

    /// Whether duties are shared with a daemon. One that leaves hands its duties over while it still
    /// does them itself; taken over only once it is silent, what it read and followed for others would
    /// be too old by then.
    fn has_duties(&self, entry: &MemberEntry, now: Moment) -> bool {
        !entry.is_leaving && self.is_expected(entry, now)
    }

    /// Whether a daemon lives as far as can be told, or has only just been found: one that starts
    /// hears nobody yet, and would do every duty of a daemon that is alone.
    fn is_expected(&self, entry: &MemberEntry, now: Moment) -> bool {
        let silent_ms = self.silent_ms(&entry.member.data_centre);
        now.millis_since(entry.heard.unwrap_or(entry.listed)) <= silent_ms
    }

    /// Data centres with a living daemon, this one included.
    pub fn data_centres(&self, now: Moment) -> usize {
        let mut names: Vec<&DataCentre> = self.living(now).map(|note| &note.data_centre).collect();
        names.push(&self.data_centre);
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}
