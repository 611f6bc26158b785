//! Table of the other daemons: identities, addresses, readiness, and when each was last in contact.

use crate::parts::part_index::rendezvous_weight;
use guava_types::{DataCentre, FastMap, MemberName, Moment};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Shortest interval between two messages to a daemon of the same data centre, in milliseconds.
const LOCAL_INTERVAL_MS: u64 = 250;
/// Shortest interval between two messages to other data centres in a large deployment, in
/// milliseconds; longer because traffic between data centres is expensive.
const REMOTE_INTERVAL_MS: u64 = 1_000;
/// Interval per sender, in milliseconds: intervals grow with the number of daemons, so that a
/// daemon receives at most one message in this time from each of the two groups. More would use up
/// a weak VM's share of a core. An interval of half a second within a data centre would be too
/// long: the state of a store of cached parts expires after 1.4 s, is up to half a second old when
/// it is sent, and must not expire because one datagram is lost.
const INTERVAL_PER_SENDER_MS: u64 = 5;

/// Time since the last contact, in milliseconds, after which a daemon of the same data centre is
/// silent and not recommended to callers; at least three intervals. By then about six datagrams in
/// a row are missing.
const SILENT_MS: u64 = 1_500;
const SILENT_INTERVALS: u64 = 3;
/// The same for other data centres; at least two and a half of their intervals.
const REMOTE_SILENT_MS: u64 = 2_500;
/// Time since the last contact after which a daemon is removed until it sends again, in
/// milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Number of daemons above which a deployment is large: other data centres are sent less, and
/// through relays.
const LARGE_DEPLOYMENT_DAEMONS: usize = 16;

/// Subject of the rendezvous order in which daemons read the platform's store.
const READ_SUBJECT: &str = "store";

/// Identity, addresses and readiness of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDescriptor {
    /// Name, unique among all daemons.
    pub name: MemberName,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentre,
    /// Address at which it receives datagrams of other daemons.
    pub peer_address: SocketAddr,
    /// Address at which it accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    member: MemberDescriptor,
    /// `None` if it is only known by its record in the store.
    last_contact: Option<Moment>,
    listed: Moment,
    /// Whether it was ready and no longer is: it is about to exit.
    is_leaving: bool,
}

/// Offset at which a daemon begins its round robin over the relays.
fn relay_offset(me: &MemberName) -> u64 {
    let mut hasher = FxHasher::default();
    me.hash(&mut hasher);
    // The high half, because the fast hasher leaves its low bits poorly mixed.
    hasher.finish() >> 32
}

/// The other daemons, as this one knows them.
#[derive(Debug)]
pub struct MemberTable {
    data_centre: DataCentre,
    members: FastMap<MemberName, MemberEntry>,
    /// Number of them in this data centre.
    local_count: usize,
    /// Whether the records of all daemons have been read since this one started.
    is_listed: bool,
}

impl MemberTable {
    /// An empty table for a daemon in this data centre.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, members: FastMap::default(), local_count: 0, is_listed: false }
    }

    /// Interval between two of this daemon's summaries to its data centre, in milliseconds; grows
    /// with the number of daemons there.
    pub fn local_interval_ms(&self) -> u64 {
        LOCAL_INTERVAL_MS.max(self.local_count as u64 * INTERVAL_PER_SENDER_MS)
    }

    /// Interval between two of this daemon's summaries to other data centres, in milliseconds;
    /// grows with the number of daemons there.
    pub fn remote_interval_ms(&self) -> u64 {
        REMOTE_INTERVAL_MS
            .max((self.members.len() - self.local_count) as u64 * INTERVAL_PER_SENDER_MS)
    }

    /// Time since the last contact after which a daemon of a data centre is silent, in
    /// milliseconds.
    pub fn silent_ms(&self, data_centre: &DataCentre) -> u64 {
        if *data_centre == self.data_centre {
            SILENT_MS.max(self.local_interval_ms() * SILENT_INTERVALS)
        } else {
            REMOTE_SILENT_MS.max(self.remote_interval_ms() * 5 / 2)
        }
    }

    fn count_local(&mut self) {
        let is_local = |entry: &&MemberEntry| entry.member.data_centre == self.data_centre;
        self.local_count = self.members.values().filter(is_local).count();
    }

    /// Applies a daemon's record from the store, unless the daemon has sent a descriptor itself.
    pub fn note_record(&mut self, descriptor: MemberDescriptor, now: Moment) {
        let entry = self.members.entry(descriptor.name.clone());
        let entry = entry.or_insert_with(|| MemberEntry {
            member: descriptor.clone(),
            last_contact: None,
            listed: now,
            is_leaving: false,
        });
        if entry.last_contact.is_none() {
            entry.member = descriptor;
        }
        self.count_local();
    }

    /// Notes that the records of all daemons have been read and applied.
    pub fn note_listed(&mut self) {
        self.is_listed = true;
    }

    /// Applies a descriptor that a daemon sent; returns whether it was silent or unknown before.
    pub fn note_from_peer(&mut self, descriptor: MemberDescriptor, now: Moment) -> bool {
        let entry = self.members.get(&descriptor.name);
        let before = entry.and_then(|entry| entry.last_contact);
        let was_serving = entry.is_some_and(|entry| entry.member.is_ready || entry.is_leaving);
        let is_leaving = was_serving && !descriptor.is_ready;
        let silent_ms = self.silent_ms(&descriptor.data_centre);
        let name = descriptor.name.clone();
        let entry =
            MemberEntry { member: descriptor, last_contact: Some(now), listed: now, is_leaving };
        if self.members.insert(name, entry).is_none() {
            self.count_local();
        }
        before.is_none_or(|before| now.millis_since(before) > silent_ms)
    }

    /// Removes daemons whose last contact is longer ago than the retention time.
    pub fn sweep(&mut self, now: Moment) {
        let last = |entry: &MemberEntry| entry.last_contact.unwrap_or(entry.listed);
        self.members.retain(|_, entry| now.millis_since(last(entry)) < RETENTION_MS);
        self.count_local();
    }

    /// Peer addresses of all daemons in the table, silent ones included, or only of those in this
    /// data centre.
    pub fn peer_addresses(&self, only_local: bool) -> Vec<SocketAddr> {
        let descriptors = self.members.values().map(|entry| &entry.member);
        let addressed = descriptors
            .filter(|descriptor| !only_local || descriptor.data_centre == self.data_centre);
        addressed.map(|descriptor| descriptor.peer_address).collect()
    }

    /// One daemon in each other data centre, chosen by round robin over `number`.
    ///
    /// Reachable daemons are preferred. In a data centre without any, silent daemons and those
    /// known only by their record are used, so that a data centre that was cut off is found again.
    pub fn relays(
        &self,
        me: &MemberName,
        number: u64,
        now: Moment,
    ) -> Vec<(DataCentre, SocketAddr)> {
        // Daemons that started together have the same number. By the number alone, all of them
        // would choose the same relay at the same moment. It would then have to relay hundreds of
        // messages within milliseconds over a link of a few megabits: its own messages would be
        // late, and those that it relays would be lost.
        let number = number.wrapping_add(relay_offset(me));
        let mut reachable_groups: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        let mut silent_groups: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        for entry in self.members.values().filter(|e| e.member.data_centre != self.data_centre) {
            let group = if self.is_reachable(entry, now) {
                &mut reachable_groups
            } else {
                &mut silent_groups
            };
            group.entry(&entry.member.data_centre).or_default().push(&entry.member);
        }
        for (centre, descriptors) in silent_groups {
            reachable_groups.entry(centre).or_insert(descriptors);
        }
        let chosen = reachable_groups.into_iter().filter_map(|(centre, mut descriptors)| {
            descriptors.sort_unstable_by(|one, other| one.name.cmp(&other.name));
            let position = usize::try_from(number % descriptors.len().max(1) as u64).unwrap_or(0);
            descriptors.get(position).map(|descriptor| (centre.clone(), descriptor.peer_address))
        });
        chosen.collect()
    }

    /// Daemons that were in contact within the time-out.
    pub fn reachable(&self, now: Moment) -> impl Iterator<Item = &MemberDescriptor> {
        let reachable = self.members.values().filter(move |entry| self.is_reachable(entry, now));
        reachable.map(|entry| &entry.member)
    }

    fn is_reachable(&self, entry: &MemberEntry, now: Moment) -> bool {
        entry.last_contact.is_some() && self.is_reachable_or_new(entry, now)
    }

    /// Number of daemons in the table, silent ones included, and this one.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether daemons of other data centres are sent summaries only at the remote interval,
    /// through relays.
    pub fn is_large(&self) -> bool {
        self.count() > LARGE_DEPLOYMENT_DAEMONS
    }

    /// Number of all daemons divided by the number of those whose prompts this daemon receives in
    /// immediate messages; at least 1.
    pub fn sampling_factor(&self) -> f64 {
        let sends_immediate = |entry: &&MemberEntry| self.gets_immediate(&entry.member.data_centre);
        let senders = 1 + self.members.values().filter(sends_immediate).count();
        self.count() as f64 / senders as f64
    }

    /// Whether daemons of this data centre send all their prompts to daemons of `other` in
    /// immediate messages.
    pub fn gets_immediate(&self, other: &DataCentre) -> bool {
        !self.is_large() || *other == self.data_centre
    }

    /// Caller addresses of the reachable daemons that are ready, without this one.
    pub fn caller_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let ready = self.reachable(now).filter(|descriptor| descriptor.is_ready);
        ready.map(|descriptor| descriptor.caller_address).collect()
    }

    /// This daemon's rank, 0 first, in the rendezvous order for a subject of the daemons that share
    /// tasks. Daemons that know the same members agree on the order, and different subjects have
    /// different orders.
    pub fn rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        self.rank_among(me, subject, |entry| self.shares_tasks(entry, now))
    }

    /// This daemon's rank among those that read the platform's store for all; `usize::MAX` until
    /// the records of all daemons have been read.
    pub fn reader_rank(&self, me: &MemberName, now: Moment) -> usize {
        if self.is_listed { self.rank(me, READ_SUBJECT, now) } else { usize::MAX }
    }

    /// This daemon's rank among the daemons of its data centre that share a task.
    pub fn local_rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        let is_local = |entry: &MemberEntry| entry.member.data_centre == self.data_centre;
        self.rank_among(me, subject, |entry| is_local(entry) && self.shares_tasks(entry, now))
    }

    /// This daemon's rank among all known daemons, reachable or silent, for an upstream with a rate
    /// limit; `None` until the records of all daemons have been read.
    pub fn sender_rank(&self, me: &MemberName, upstream: &str) -> Option<usize> {
        self.is_listed.then(|| self.rank_among(me, upstream, |_| true))
    }

    fn rank_among(
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

    /// Whether tasks are shared with a daemon. A leaving daemon hands its tasks over while it still
    /// runs them. If they were taken over only once it is silent, the data that it read and
    /// followed for others would be stale by then.
    fn shares_tasks(&self, entry: &MemberEntry, now: Moment) -> bool {
        !entry.is_leaving && self.is_reachable_or_new(entry, now)
    }

    /// Whether a daemon is reachable, or was first found by its record within the time-out. A
    /// daemon that starts has received nothing yet; without this it would run every task as if it
    /// were alone.
    fn is_reachable_or_new(&self, entry: &MemberEntry, now: Moment) -> bool {
        let silent_ms = self.silent_ms(&entry.member.data_centre);
        now.millis_since(entry.last_contact.unwrap_or(entry.listed)) <= silent_ms
    }

    /// Number of data centres with a reachable daemon, this one included.
    pub fn data_centres(&self, now: Moment) -> usize {
        let mut names: Vec<&DataCentre> =
            self.reachable(now).map(|descriptor| &descriptor.data_centre).collect();
        names.push(&self.data_centre);
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}
