//! How the daemons of a large deployment keep their lists of upstreams while the list changes all the
//! time: who reads the store, and how old lists become. A model: messages arrive at the next step, and
//! a copy takes some steps from the page to its use.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    CoreRecord, ListChange, ListCopy, ListReader, ListRevision, MemberDescriptor, MemberTable,
    PeerMessage, ReadPace, ServeContext, SyncInput, SyncStep, UpstreamEntry, apply_copy,
    apply_list, apply_message, apply_read_change, changes_since, compose_attached_reads,
    compose_reads, copy_state, entries_since, is_copy_sufficient, sync_step,
};
use guava_types::{CoreShare, Moment};
use std::net::SocketAddr;
use support::{note, serve_context, upstream};

/// Core daemons, the reader first; the others are attached to three of them each.
const CORE: usize = 24;
const UPLINKS: usize = 3;
const STEP_MS: u64 = 50;
/// Time within which a change of the list must be in force.
const LIMIT_MS: u64 = 5_000;
/// Steps between two checks of a daemon whether its list is due, two marks, and two reads of the reader.
const CHECK_STEPS: u64 = 7;
const MARK_STEPS: u64 = 10;
const READ_STEPS: u64 = 36;

fn descriptor(index: usize) -> MemberDescriptor {
    MemberDescriptor {
        name: format!("d{index}").parse().unwrap(),
        peer_address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_700)),
        // The reader is the strongest.
        capacity: CoreShare(if index == 0 { 1_000_000 } else { 100 }),
        ..note("d")
    }
}

/// Members as a daemon knows them that hears all core daemons.
fn members(index: usize, now: Moment) -> MemberTable {
    let mut members = MemberTable::new(descriptor(index).data_centre);
    members.note_capacity(descriptor(index).capacity);
    members.note_sparse(true);
    let mut records: Vec<CoreRecord> = (0..CORE)
        .map(|place| CoreRecord { member: descriptor(place), registered: place as u64 })
        .collect();
    let own = if index < CORE { records.remove(index).registered } else { index as u64 };
    members.note_records(records, Some(own), now);
    members
}

struct PendingCopy {
    due_step: u64,
    copy: ListCopy,
    input: SyncInput,
    may_read: bool,
}

struct ModelDaemon {
    context: ServeContext,
    reader: ListReader,
    /// A copy under way, and the step at which it is complete.
    copy: Option<PendingCopy>,
    /// Position up to which it has read the store itself.
    next: u64,
    store_reads: u64,
}

struct Fleet {
    start: Moment,
    step: u64,
    /// The store's records.
    log: Vec<ListChange>,
    daemons: Vec<ModelDaemon>,
    /// Messages that arrive at the next step, with their recipients.
    sent: Vec<(usize, PeerMessage)>,
}

fn uplinks(index: usize) -> impl Iterator<Item = usize> {
    (0..UPLINKS).map(move |place| (index * 7 + place * 5) % CORE)
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        let daemon = |index: usize| {
            let context = serve_context(&format!("d{index}"));
            let reader = ListReader::new(index as f64 / daemons as f64);
            ModelDaemon { context, reader, copy: None, next: 0, store_reads: 0 }
        };
        let daemons = (0..daemons).map(daemon).collect();
        let start = Moment(Moment::now().0 + 60_000);
        Self { start, step: 0, log: Vec::new(), daemons, sent: Vec::new() }
    }

    fn now(&self) -> Moment {
        Moment(self.start.0 + self.step * STEP_MS)
    }

    fn register(&mut self, count: usize) {
        for _ in 0..count {
            let revision = ListRevision(self.log.len() as u64);
            let entry = upstream(&format!("u{}", revision.0), "llm");
            self.log.push(ListChange::Entry(UpstreamEntry { revision, ..entry }));
        }
    }

    fn remove(&mut self, upstream: usize) {
        let revision = ListRevision(self.log.len() as u64);
        let id = format!("u{upstream}").parse().unwrap();
        self.log.push(ListChange::Removed(id, revision));
    }

    fn advance(&mut self) {
        self.step += 1;
        let now = self.now();
        for (recipient, message) in std::mem::take(&mut self.sent) {
            apply_message(&self.daemons[recipient].context, message, now);
        }
        if self.step % 20 == 1 {
            for (index, daemon) in self.daemons.iter().enumerate() {
                *daemon.context.members.borrow_mut() = members(index, now);
            }
        }
        for index in 0..self.daemons.len() {
            self.end_copy(index, now);
            if index == 0 && self.step % READ_STEPS == 1 {
                self.read_store(0, now);
                self.send_marks(now);
            } else if index > 0 && (self.step + index as u64).is_multiple_of(CHECK_STEPS) {
                self.check_list(index, now);
            }
        }
        if self.step.is_multiple_of(MARK_STEPS) {
            self.send_marks(now);
        }
        self.send_attached_marks(now);
    }

    fn read_store(&mut self, index: usize, now: Moment) {
        let daemon = &mut self.daemons[index];
        daemon.store_reads += 1;
        for change in &self.log[daemon.next as usize..] {
            apply_read_change(&daemon.context, change.clone(), now);
        }
        daemon.next = self.log.len() as u64;
        let mut upstreams = daemon.context.upstreams.borrow_mut();
        upstreams.note_read(now, true);
        upstreams.order().note_position(ListRevision(daemon.next));
        let digest = upstreams.digest();
        daemon.context.reads.borrow_mut().list.note_own(digest, now);
    }

    fn send_marks(&mut self, now: Moment) {
        for message in compose_reads(&self.daemons[0].context, &descriptor(0), now) {
            self.sent.extend((1..CORE).map(|index| (index, message.clone())));
        }
    }

    fn send_attached_marks(&mut self, now: Moment) {
        for core in 0..CORE {
            if !(self.step + core as u64).is_multiple_of(MARK_STEPS) {
                continue;
            }
            let attached = CORE..self.daemons.len();
            let attached: Vec<usize> =
                attached.filter(|index| uplinks(*index).any(|uplink| uplink == core)).collect();
            let context = &self.daemons[core].context;
            for message in compose_attached_reads(context, &descriptor(core), now) {
                self.sent.extend(attached.iter().map(|index| (*index, message.clone())));
            }
        }
    }

    fn check_list(&mut self, index: usize, now: Moment) {
        let daemon = &mut self.daemons[index];
        let pace = ReadPace::within(LIMIT_MS);
        let digest = daemon.context.upstreams.borrow().digest();
        daemon.context.reads.borrow_mut().list.note_state(digest);
        let input = daemon.reader.sync_input(&daemon.context, pace, now);
        match sync_step(&input) {
            SyncStep::Idle => {}
            SyncStep::Read => self.read_store(index, now),
            SyncStep::Copy { .. } if daemon.copy.is_some() => {}
            SyncStep::Copy { may_read, .. } => {
                let source = if index < CORE {
                    0
                } else {
                    uplinks(index).nth(self.step as usize % UPLINKS).unwrap()
                };
                let is_whole = !input.is_known;
                let since = daemon.context.upstreams.borrow().list_position();
                let copy = page(&self.daemons[source].context, since, is_whole);
                let due_step = self.step + 1 + (index as u64 + self.step) % 5;
                let pending = |copy| PendingCopy { due_step, copy, input, may_read };
                self.daemons[index].copy = copy.map(pending);
            }
        }
    }

    fn end_copy(&mut self, index: usize, now: Moment) {
        let daemon = &mut self.daemons[index];
        let is_due = |pending: &mut PendingCopy| pending.due_step <= self.step;
        let Some(pending) = daemon.copy.take_if(is_due) else { return };
        let PendingCopy { copy, input, may_read, .. } = pending;
        apply_copy(&daemon.context, copy);
        let position = daemon.context.upstreams.borrow().list_position();
        daemon.next = daemon.next.max(position.0);
        let copy = copy_state(&daemon.context, true, ReadPace::within(LIMIT_MS), now);
        if may_read && !is_copy_sufficient(&input, &copy) {
            self.read_store(index, now);
        }
    }

    /// Reads of the store by daemons other than the reader.
    fn fallback_reads(&self) -> u64 {
        self.daemons[1..].iter().map(|daemon| daemon.store_reads).sum()
    }

    /// Age of the oldest list, in milliseconds.
    fn longest_age_ms(&self) -> u64 {
        let age = |daemon: &ModelDaemon| daemon.context.list_age_ms(self.now()).unwrap_or(u64::MAX);
        self.daemons.iter().map(age).max().unwrap()
    }

    /// Daemons whose list is not that of all records.
    fn differing(&self) -> usize {
        let current = serve_context("current");
        for change in &self.log {
            apply_read_change(&current, change.clone(), self.now());
        }
        let digest = current.upstreams.borrow().digest();
        let differs = |it: &&ModelDaemon| it.context.upstreams.borrow().digest() != digest;
        self.daemons.iter().filter(differs).count()
    }
}

/// What a peer gives of its list.
fn page(peer: &ServeContext, since: ListRevision, is_whole: bool) -> Option<ListCopy> {
    let upstreams = peer.upstreams.borrow();
    let as_of = peer.reads.borrow().list.confirmed()?;
    let changes = if is_whole {
        entries_since(&upstreams, ListRevision(0), usize::MAX)
    } else {
        changes_since(&upstreams, since, usize::MAX)?
    };
    Some(ListCopy {
        changes,
        is_whole,
        position: upstreams.list_position(),
        as_of,
        digest: Some(upstreams.digest()),
        end: Some(upstreams.list_end()),
    })
}

#[test]
fn list_that_changes_all_the_time_is_copied_and_not_read_by_each_daemon() {
    // Guards against a store that all daemons read at once because their copies are always outdated.
    let mut fleet = Fleet::new(72);
    fleet.advance();
    let mut longest_age_ms = 0;

    for round in 0..400 {
        let is_starting = round < 160;
        fleet.register(if is_starting { 20 } else { 2 });
        if !is_starting {
            fleet.remove(round);
        }
        fleet.advance();
        if round > 200 {
            longest_age_ms = longest_age_ms.max(fleet.longest_age_ms());
        }
    }
    (0..3 * READ_STEPS).for_each(|_| fleet.advance());

    assert_eq!(fleet.fallback_reads(), 0);
    assert!(longest_age_ms < LIMIT_MS, "{longest_age_ms} ms");
    assert_eq!(fleet.differing(), 0);
}

#[test]
fn copy_of_a_peer_that_lacks_newer_records_is_no_sign_of_a_skipped_one() {
    // Guards against daemons that obtain the whole list because they are ahead of others.
    let (context, peer) = (serve_context("d1"), serve_context("d2"));
    let now = Moment::now();
    let entry = |number| UpstreamEntry {
        revision: ListRevision(number),
        ..upstream(&format!("u{number}"), "llm")
    };
    for number in 0..3 {
        apply_read_change(&context, ListChange::Entry(entry(number)), now);
    }
    context.upstreams.borrow_mut().order().note_position(ListRevision(3));
    apply_list(&peer, vec![entry(0)], ListRevision(1));
    let digest = peer.upstreams.borrow().digest();
    peer.reads.borrow_mut().list.note_own(digest, now);

    for _ in 0..3 {
        apply_copy(&context, page(&peer, ListRevision(1), false).unwrap());
    }

    assert!(!context.upstreams.borrow().is_diverged());
    assert_eq!(context.reads.borrow().list.own().map(|own| own.as_of), Some(now));
}
