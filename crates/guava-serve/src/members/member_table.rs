//! Table of the other daemons: identities, addresses, readiness, and when each was last in contact.

use crate::members::core_group::{CoreRecord, MAX_LOCAL_CORE, SPARSE_LOCAL_CORE, core_records};
use crate::members::member_descriptor::MemberDescriptor;
use crate::parts::part_index::rendezvous_weight;
use guava_policy::first_homes;
use guava_types::{CoreShare, DataCentre, Deadline, FastMap, MemberName, Moment, StreamKey};
use rand::seq::SliceRandom;
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

/// Interval between two messages of an attached daemon to its core daemons, and of these to it, in
/// milliseconds: long enough that their number is small beside the messages within the core.
pub const ATTACHED_INTERVAL_MS: u64 = 500;
/// Time since the last contact after which an attached daemon is removed, in milliseconds: it says
/// itself whom it is attached to.
const ATTACHED_RETENTION_MS: u64 = 5_000;
/// Core daemons to which a daemon is attached: one of them may be dead, and another one suspended.
pub const UPLINKS: usize = 3;
/// For how long an address that a core daemon reported is given to callers, in milliseconds: a little
/// more than two of its summaries.
const REPORTED_CALLER_TTL_MS: u64 = 1_200;
/// Time without contact to any core daemon after which an attached daemon looks for others, in
/// milliseconds: all of them may have been lost for good.
const ISOLATION_MS: u64 = 6_000;
/// Fewest core daemons given to callers in one answer, if there are so many.
const MIN_CORE_CALLERS: usize = 4;
/// Core daemons of this data centre that are asked for a copy of the list in one attempt.
const LOCAL_SOURCES: usize = 2;
/// Processor share assumed of a VM before it is known.
const DEFAULT_CAPACITY: CoreShare = CoreShare(250);
/// Rank of a daemon that takes part in no shared task.
pub(crate) const NO_RANK: usize = usize::MAX;

/// Number of daemons above which a deployment is large: other data centres are sent less, and
/// through relays.
const LARGE_DEPLOYMENT_DAEMONS: usize = 16;

/// Subject of the rendezvous order in which daemons read the platform's store.
const READ_SUBJECT: &str = "store";

/// How a daemon takes part in the messages between daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberRole {
    /// It exchanges messages with all core daemons and shares their tasks.
    #[default]
    Core,
    /// It exchanges messages with a few core daemons only.
    Attached,
}

/// What a daemon says of its role among the daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerRole {
    /// Its role.
    pub role: MemberRole,
    /// Offset of its record in the store's log; `None` if it has none.
    pub registered: Option<u64>,
    /// Number of daemons attached to it.
    pub attached: u32,
    /// Number of all daemons, by its estimate.
    pub daemons: u32,
    /// Whether it reaches no upstream.
    pub is_cut_off: bool,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    member: MemberDescriptor,
    /// `None` if it is only known by its record in the store.
    last_contact: Option<Moment>,
    listed: Moment,
    /// Whether it was ready and no longer is: it is about to exit.
    is_leaving: bool,
    role: PeerRole,
    /// Whether it has sent a summary since this daemon started.
    is_heard: bool,
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
    /// Whether the records of the core daemons have been read since this one started.
    is_listed: bool,
    /// This daemon's own role.
    role: MemberRole,
    /// Processor share of this daemon's VM.
    capacity: CoreShare,
    /// Offset of this daemon's own record in the store's log.
    registered: Option<u64>,
    /// Most core daemons of a data centre.
    core_limit: usize,
    /// Whether this daemon reaches no upstream.
    is_cut_off: bool,
    /// Since when no core daemon is in contact.
    isolated_since: Option<Moment>,
    /// Callers' addresses of ready daemons, as core daemons reported them, until they expire.
    reported_callers: FastMap<SocketAddr, Deadline>,
}

impl MemberTable {
    /// An empty table for a daemon in this data centre.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            members: FastMap::default(),
            local_count: 0,
            is_listed: false,
            role: MemberRole::Core,
            capacity: DEFAULT_CAPACITY,
            registered: None,
            core_limit: MAX_LOCAL_CORE,
            is_cut_off: false,
            isolated_since: None,
            reported_callers: FastMap::default(),
        }
    }

    /// Interval between two of this daemon's summaries to its data centre, in milliseconds; grows
    /// with the number of daemons there.
    pub fn local_interval_ms(&self) -> u64 {
        if self.role == MemberRole::Attached {
            return ATTACHED_INTERVAL_MS;
        }
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
            role: PeerRole::default(),
            is_heard: false,
        });
        if entry.last_contact.is_none() {
            entry.member = descriptor;
        }
        self.count_local();
    }

    /// Whether the records of the core daemons have been read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
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
        let role = entry.map(|entry| entry.role).unwrap_or_default();
        let is_heard = entry.is_some_and(|entry| entry.is_heard);
        let entry = MemberEntry {
            member: descriptor,
            last_contact: Some(now),
            listed: now,
            is_leaving,
            role,
            is_heard,
        };
        if self.members.insert(name, entry).is_none() {
            self.count_local();
        }
        before.is_none_or(|before| now.millis_since(before) > silent_ms)
    }

    /// Removes daemons whose last contact is longer ago than the retention time.
    pub fn sweep(&mut self, now: Moment) {
        let last = |entry: &MemberEntry| entry.last_contact.unwrap_or(entry.listed);
        let retention_ms = |entry: &MemberEntry| match entry.role.role {
            MemberRole::Core => RETENTION_MS,
            MemberRole::Attached => ATTACHED_RETENTION_MS,
        };
        self.members.retain(|_, entry| now.millis_since(last(entry)) < retention_ms(entry));
        self.reported_callers.retain(|_, until| !until.passed(now));
        self.count_local();
        let is_isolated = self.role == MemberRole::Attached && self.reachable(now).next().is_none();
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Peer addresses of all core daemons in the table, silent ones included, or only of those in
    /// this data centre. An attached daemon has only those that it is attached to.
    pub fn peer_addresses(&self, only_local: bool) -> Vec<SocketAddr> {
        let core = self.core_entries().map(|entry| &entry.member);
        let addressed =
            core.filter(|descriptor| !only_local || descriptor.data_centre == self.data_centre);
        addressed.map(|descriptor| descriptor.peer_address).collect()
    }

    fn core_entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|entry| entry.role.role == MemberRole::Core)
    }

    fn attached_entries(&self, now: Moment) -> impl Iterator<Item = &MemberEntry> {
        let attached = self.members.values().filter(|it| it.role.role == MemberRole::Attached);
        attached.filter(move |entry| self.is_reachable(entry, now))
    }

    /// Whether a daemon is attached to this one.
    pub fn is_attached(&self, name: &MemberName) -> bool {
        let entry = self.members.get(name);
        entry.is_some_and(|entry| entry.role.role == MemberRole::Attached)
    }

    /// Whether any reachable daemon is attached to this one.
    pub fn has_attached(&self, now: Moment) -> bool {
        self.attached_entries(now).next().is_some()
    }

    /// Peer addresses of the reachable daemons that are attached to this one.
    pub fn attached_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        self.attached_entries(now).map(|entry| entry.member.peer_address).collect()
    }

    /// Peer addresses of the core daemons to which this one is attached: those of its own data centre
    /// first, in an order that differs from daemon to daemon, strong VMs before weak ones. Silent
    /// ones are passed over while there are others.
    pub fn uplinks(&self, me: &MemberName, now: Moment) -> Vec<SocketAddr> {
        let mut core: Vec<&MemberEntry> = self.core_entries().collect();
        let is_remote = |entry: &MemberEntry| entry.member.data_centre != self.data_centre;
        let weight = |entry: &MemberEntry| {
            rendezvous_weight(&(me, &entry.member.name), entry.member.capacity.0.max(1) as f64)
        };
        core.sort_by(|one, other| {
            let is_silent = |entry| !self.is_reachable_or_new(entry, now);
            let key = |entry| (is_silent(entry), is_remote(entry));
            key(one).cmp(&key(other)).then(weight(other).total_cmp(&weight(one)))
        });
        core.iter().take(UPLINKS).map(|entry| entry.member.peer_address).collect()
    }

    /// Peer addresses of the daemons that remember where a stream began, of its first `places` homes
    /// those that are not this daemon. An attached daemon has its core daemons' instead, which pass
    /// on what they are told and asked.
    pub fn origin_homes(
        &self,
        me: &MemberName,
        stream: StreamKey,
        places: usize,
        now: Moment,
    ) -> Vec<SocketAddr> {
        if self.role == MemberRole::Attached {
            return self.uplinks(me, now);
        }
        let weight = |name: &MemberName| rendezvous_weight(&(stream.0, name), 1.0);
        let others = self.core_entries().filter(|entry| entry.member.name != *me);
        let others = others
            .filter(|entry| self.is_reachable_or_new(entry, now))
            .map(|entry| (Some(entry.member.peer_address), weight(&entry.member.name)));
        let own = (None, weight(me));
        first_homes(others.chain([own]).collect(), places).flatten().collect()
    }

    /// Status addresses of core daemons from which the list of upstreams may be copied, in a random
    /// order, strong VMs before weak ones: some of this data centre, and one of any.
    pub fn list_sources(&self, draw: u64, now: Moment) -> Vec<SocketAddr> {
        let weight = |entry: &MemberEntry| {
            rendezvous_weight(&(draw, &entry.member.name), entry.member.capacity.0.max(1) as f64)
        };
        let mut core: Vec<&MemberEntry> =
            self.core_entries().filter(|entry| self.is_reachable_or_new(entry, now)).collect();
        core.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
        let is_local = |entry: &&&MemberEntry| entry.member.data_centre == self.data_centre;
        let local = core.iter().filter(is_local).take(LOCAL_SOURCES);
        let any = core.iter().find(|entry| !is_local(entry));
        local.chain(any).map(|entry| entry.member.status_address()).collect()
    }

    /// Notes the processor share of this daemon's VM.
    pub fn note_capacity(&mut self, capacity: CoreShare) {
        self.capacity = capacity;
    }

    /// This daemon's own role.
    pub fn role(&self) -> MemberRole {
        self.role
    }

    /// Applies the records of all registered daemons, of which `own` is this daemon's place in the
    /// order of registration; `None` if it has no record. Decides this daemon's role. Returns false
    /// if there are too few others, so that this daemon is to register.
    ///
    /// Daemons that were silent for long don't count as registered, so that others take the places
    /// of those that were lost for good.
    pub fn note_records(
        &mut self,
        records: Vec<CoreRecord>,
        own: Option<u64>,
        now: Moment,
    ) -> bool {
        let is_lost = |record: &CoreRecord| {
            let entry = self.members.get(&record.member.name);
            self.is_isolated(now) && entry.is_some_and(|it| !self.is_reachable_or_new(it, now))
        };
        let (core, own_core) =
            core_records(records, own, &self.data_centre, self.core_limit, is_lost);
        for record in core {
            let name = record.member.name.clone();
            self.note_record(record.member, now);
            if let Some(entry) = self.members.get_mut(&name) {
                entry.role.registered = Some(record.registered);
            }
        }
        self.is_listed = true;
        self.registered = own;
        self.role = match own_core {
            Some(true) | None => MemberRole::Core,
            Some(false) => MemberRole::Attached,
        };
        own_core.is_some()
    }

    /// Whether each daemon uses a subset of the upstreams, so that the loads of most others don't
    /// concern it.
    pub fn is_sparse(&self) -> bool {
        self.core_limit < MAX_LOCAL_CORE
    }

    /// Notes whether each daemon uses a subset of the upstreams. Then the core is smaller: the daemons
    /// that are in excess are forgotten, and attach themselves where they like.
    pub fn note_sparse(&mut self, is_sparse: bool) {
        self.core_limit = if is_sparse { SPARSE_LOCAL_CORE } else { MAX_LOCAL_CORE };
        if !is_sparse {
            return;
        }
        let mut places: FastMap<DataCentre, Vec<u64>> = FastMap::default();
        for entry in self.core_entries() {
            let centre = entry.member.data_centre.clone();
            places.entry(centre).or_default().extend(entry.role.registered);
        }
        let own = self.registered.filter(|_| self.role == MemberRole::Core);
        places.entry(self.data_centre.clone()).or_default().extend(own);
        let limit = self.core_limit;
        let last = |mut places: Vec<u64>| {
            places.sort_unstable();
            places.get(limit - 1).copied()
        };
        let last: FastMap<DataCentre, u64> =
            places.into_iter().filter_map(|(centre, all)| Some((centre, last(all)?))).collect();
        let is_excess = |centre: &DataCentre, registered: Option<u64>| {
            let last = last.get(centre);
            registered.zip(last).is_some_and(|(registered, last)| registered > *last)
        };
        if is_excess(&self.data_centre, self.registered) {
            self.role = MemberRole::Attached;
        }
        self.members.retain(|_, entry| {
            let is_core = entry.role.role == MemberRole::Core;
            !(is_core && is_excess(&entry.member.data_centre, entry.role.registered))
        });
        self.count_local();
    }

    /// Notes whether this daemon reaches no upstream.
    pub fn note_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Whether this daemon reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether this daemon is attached and none of its core daemons was in contact for long.
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.isolated_since.is_some_and(|since| now.millis_since(since) >= ISOLATION_MS)
    }

    /// Applies what a daemon says of its role in a summary that it sent itself.
    pub fn note_role(&mut self, name: &MemberName, role: PeerRole) {
        if let Some(entry) = self.members.get_mut(name) {
            entry.role = role;
            entry.is_heard = true;
        }
    }

    /// Whether all core daemons that are reachable have sent a summary since this daemon started.
    pub fn all_heard(&self, now: Moment) -> bool {
        let mut reachable =
            self.core_entries().filter(|entry| self.is_reachable_or_new(entry, now));
        self.is_listed && reachable.all(|entry| entry.is_heard)
    }

    /// Whether all core daemons were heard lately that have not said that they leave.
    pub fn hears_all(&self, now: Moment) -> bool {
        self.core_entries().all(|entry| entry.is_leaving || self.is_reachable(entry, now))
    }

    /// All daemons that may act by what they knew earlier, silent ones included; `None` if there are
    /// some that this one doesn't know by name. A daemon that said that it is leaving is left out once
    /// it has been silent for `left_ms`.
    pub fn acting_members(&self, left_ms: u64, now: Moment) -> Option<Vec<MemberName>> {
        let has_left = |entry: &MemberEntry| {
            let silent = entry.last_contact.map(|contact| now.millis_since(contact));
            entry.is_leaving && silent.is_some_and(|silent_ms| silent_ms >= left_ms)
        };
        let acting = self.core_entries().filter(|entry| !has_left(entry));
        let names = acting.map(|entry| entry.member.name.clone()).collect();
        let is_complete = self.is_listed && self.deployment_size(now) <= self.count();
        is_complete.then_some(names)
    }

    /// Applies the callers' addresses that a core daemon reported to this attached one.
    pub fn note_callers(&mut self, addresses: &[SocketAddr], now: Moment) {
        let until = Deadline::after(now, REPORTED_CALLER_TTL_MS);
        self.reported_callers.extend(addresses.iter().map(|address| (*address, until)));
    }

    /// What this daemon tells others of its role.
    pub fn own_role(&self, now: Moment) -> PeerRole {
        let attached = self.attached_entries(now).count() as u32;
        let daemons = self.deployment_size(now) as u32;
        let (registered, is_cut_off) = (self.registered, self.is_cut_off);
        PeerRole { role: self.role, registered, attached, daemons, is_cut_off }
    }

    /// Estimated number of all daemons, core and attached, this one included. A core daemon adds what
    /// the others say of how many are attached to them; an attached one takes a core daemon's word.
    pub fn deployment_size(&self, now: Moment) -> usize {
        if self.role == MemberRole::Attached {
            let told = self.core_entries().map(|entry| entry.role.daemons as usize).max();
            return self.core_entries().count().max(told.unwrap_or(0)) + 1;
        }
        let attached: u32 = self.core_entries().map(|entry| entry.role.attached).sum();
        let attached = attached as usize + self.attached_entries(now).count();
        self.core_entries().count() + 1 + attached.div_ceil(UPLINKS)
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
        if self.role == MemberRole::Attached {
            return Vec::new();
        }
        let mut reachable_groups: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        let mut silent_groups: FastMap<&DataCentre, Vec<&MemberDescriptor>> = FastMap::default();
        for entry in self.core_entries().filter(|e| e.member.data_centre != self.data_centre) {
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

    /// Number of core daemons in the table, silent ones included, and this one.
    pub fn count(&self) -> usize {
        self.core_entries().count() + 1
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

    /// Caller addresses of the reachable daemons that are ready, without this one. Daemons that reach
    /// no upstream are left out, unless none of all daemons reaches any.
    ///
    /// A core daemon gives all attached to it, and as many of the other core daemons, drawn from a
    /// random place on, as correspond to those: then each daemon is given as often as any other,
    /// since each is attached to as many. An attached daemon gives those of its core daemons' reports.
    pub fn caller_addresses(&self, now: Moment, draw: u64) -> Vec<SocketAddr> {
        if self.role == MemberRole::Attached {
            let valid = self.reported_callers.iter().filter(|(_, until)| !until.passed(now));
            return valid.map(|(address, _)| *address).collect();
        }
        let is_any_serving =
            !self.is_cut_off || self.members.values().any(|entry| self.is_serving(entry, now));
        let is_listed = |entry: &&MemberEntry| {
            let is_ready = entry.member.is_ready && self.is_reachable(entry, now);
            is_ready && !(is_any_serving && entry.role.is_cut_off)
        };
        let attached = self.attached_entries(now).filter(is_listed);
        let attached: Vec<SocketAddr> = attached.map(|it| it.member.caller_address).collect();
        let mut core: Vec<SocketAddr> =
            self.core_entries().filter(is_listed).map(|it| it.member.caller_address).collect();
        if !attached.is_empty() && !core.is_empty() {
            let total = self.deployment_size(now).saturating_sub(self.count()).max(1);
            let share = (attached.len() * self.count()).div_ceil(total).max(MIN_CORE_CALLERS);
            core.sort_unstable();
            let place = usize::try_from(draw % core.len() as u64).unwrap_or(0);
            core.rotate_left(place);
            core.truncate(share);
        }
        core.extend(attached);
        core
    }

    /// The same with this daemon's address, if it is ready; unless it reaches no upstream and others
    /// do.
    pub fn all_caller_addresses(
        &self,
        own: Option<SocketAddr>,
        now: Moment,
        draw: u64,
    ) -> Vec<SocketAddr> {
        let mut addresses = self.caller_addresses(now, draw);
        let is_any_serving = || self.members.values().any(|entry| self.is_serving(entry, now));
        if !self.is_cut_off || addresses.is_empty() || !is_any_serving() {
            addresses.extend(own);
        }
        addresses
    }

    /// Caller addresses of the daemons to which this one may forward requests, in the order in which
    /// to try them: those of its data centre first, each group in a random order. An attached daemon
    /// that knows none has those of its core daemons' reports.
    pub fn forward_targets(&self, now: Moment) -> Vec<SocketAddr> {
        let serving = self.members.values().filter(|entry| self.is_serving(entry, now));
        let mut targets: Vec<(bool, SocketAddr)> = serving
            .map(|entry| &entry.member)
            .map(|member| (member.data_centre != self.data_centre, member.caller_address))
            .collect();
        if targets.is_empty() {
            let reported = self.reported_callers.iter().filter(|(_, until)| !until.passed(now));
            targets = reported.map(|(address, _)| (true, *address)).collect();
        }
        targets.shuffle(&mut rand::rng());
        targets.sort_by_key(|(is_remote, _)| *is_remote);
        targets.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether a daemon is ready, reachable, and not known to reach no upstream.
    fn is_serving(&self, entry: &MemberEntry, now: Moment) -> bool {
        entry.member.is_ready && !entry.role.is_cut_off && self.is_reachable(entry, now)
    }

    /// This daemon's rank, 0 first, in the rendezvous order for a subject of the core daemons that
    /// share tasks at upstreams; `usize::MAX` for one that is attached or reaches no upstream. Daemons that know the same members agree on the
    /// order, and different subjects have different orders.
    pub fn rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        self.upstream_task_rank(me, subject, now, |_| true)
    }

    /// This daemon's rank among those that read the platform's store for all; `usize::MAX` until
    /// the records of all daemons have been read.
    pub fn reader_rank(&self, me: &MemberName, now: Moment) -> usize {
        if !self.is_listed {
            return NO_RANK;
        }
        if self.role == MemberRole::Attached {
            return NO_RANK;
        }
        // A strong VM reads and passes on many records at once in a fraction of the time.
        let weight = |name: &MemberName, capacity: CoreShare| {
            rendezvous_weight(&(READ_SUBJECT, name), capacity.0.max(1) as f64)
        };
        let own = weight(me, self.capacity);
        let others = self.core_entries().filter(|it| it.member.name != *me);
        let others = others.filter(|entry| self.shares_tasks(entry, now));
        others.filter(|it| weight(&it.member.name, it.member.capacity) > own).count()
    }

    /// The same among the daemons of this data centre.
    pub fn local_rank(&self, me: &MemberName, subject: &str, now: Moment) -> usize {
        let is_local = |entry: &MemberEntry| entry.member.data_centre == self.data_centre;
        self.upstream_task_rank(me, subject, now, is_local)
    }

    fn upstream_task_rank(
        &self,
        me: &MemberName,
        subject: &str,
        now: Moment,
        counts: impl Fn(&MemberEntry) -> bool,
    ) -> usize {
        if self.is_cut_off {
            return NO_RANK;
        }
        let shares = |entry: &MemberEntry| !entry.role.is_cut_off && self.shares_tasks(entry, now);
        self.rank_among(me, subject, |entry| counts(entry) && shares(entry))
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
        if self.role == MemberRole::Attached {
            return NO_RANK;
        }
        let weight = |name: &MemberName| rendezvous_weight(&(subject, name), 1.0);
        let own = weight(me);
        let others = self.core_entries().filter(|entry| entry.member.name != *me && counts(entry));
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
