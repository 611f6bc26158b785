//! Queues of several daemons before the same upstreams, ordered by the use that they tell each other.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    CustomerLedger, QueueEntry, QueueTicket, QueueVerdict, ROUND_MS, ServiceQueue, UseReport,
    YieldTimer, apply_use_report, largest_uses, sweep_ledgers,
};
use guava_types::{CustomerId, Deadline, FastMap, MemberName, Moment, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const CUSTOMERS: usize = 24;
/// Places at the upstreams and mean time in one, in milliseconds: 250 requests a second.
const PLACES: usize = 25;
const SERVICE_MS: u64 = 100;
const PATIENCE_MS: u64 = 400;
const PLAYED_MS: u64 = 10_000;
const REPORT_INTERVAL_MS: u64 = 250;
const SILENT_MS: u64 = 1_500;
/// One report in so many is lost.
const LOST_REPORTS: u32 = 10;

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().unwrap()
}

fn service() -> ServiceName {
    "app".parse().unwrap()
}

fn member(index: usize) -> MemberName {
    format!("d{index}").parse().unwrap()
}

#[derive(Default)]
struct QueueDaemon {
    queue: ServiceQueue,
    ledgers: FastMap<ServiceName, CustomerLedger>,
    timer: YieldTimer,
    waiting: FastMap<QueueTicket, usize>,
    /// When each of its running requests ends.
    ends: Vec<u64>,
}

impl QueueDaemon {
    fn ledger(&mut self) -> &mut CustomerLedger {
        self.ledgers.entry(service()).or_default()
    }

    fn join(&mut self, index: usize, now: u64) {
        let now = Moment(now);
        let entry = QueueEntry {
            customer: Some(customer(index)),
            rank: 1,
            first_arrived: now,
            start_by: Deadline::after(now, PATIENCE_MS),
            cost: SERVICE_MS as f64,
        };
        let ledger = self.ledgers.entry(service()).or_default();
        self.waiting.insert(self.queue.join(entry, ledger, now), index);
    }

    /// Ends what is over; returns how many places that frees.
    fn end(&mut self, now: u64) -> usize {
        let before = self.ends.len();
        self.ends.retain(|end| *end > now);
        let ledger = self.ledgers.entry(service()).or_default();
        if self.ends.len() < before {
            self.queue.begin_round(ledger, Moment(now));
        }
        self.queue.refresh(ledger, Moment(now));
        before - self.ends.len()
    }

    /// Starts what fits into free places; returns the customers whose requests started.
    fn start(&mut self, free: usize, now: u64) -> Vec<usize> {
        let mut started = Vec::new();
        while let Some(ticket) = self.queue.turn(Moment(now)) {
            let index = self.waiting[&ticket];
            let must_yield = self.ledger().must_yield(Some(&customer(index)), 1, Moment(now));
            let has_room = started.len() < free;
            if !self.timer.may_start(must_yield, has_room, Moment(now)) {
                self.queue.note_yield(ticket);
                continue;
            }
            self.queue.start(ticket, Moment(now));
            self.waiting.remove(&ticket);
            self.ledger().charge(Some(&customer(index)), SERVICE_MS as f64, Moment(now));
            started.push(index);
        }
        if now.is_multiple_of(ROUND_MS) {
            let queue = &mut self.queue;
            self.waiting.retain(|ticket, _| {
                let is_kept = queue.verdict(*ticket, Moment(now)) != QueueVerdict::Refuse;
                if !is_kept {
                    queue.refuse(*ticket, 0, Moment(now));
                }
                is_kept
            });
        }
        started
    }
}

/// Requests served of each customer, of which the first asks for `first_rate` a second, at one daemon
/// or at all, and the others for `rate` a second each at all daemons.
fn play(daemons: usize, rate: f64, first_rate: f64, is_spread: bool) -> Vec<usize> {
    let mut fleet: Vec<QueueDaemon> = (0..daemons).map(|_| QueueDaemon::default()).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut served = vec![0; CUSTOMERS];
    let mut running = 0;
    for now in 0..PLAYED_MS {
        for index in 0..CUSTOMERS {
            let rate = if index == 0 { first_rate } else { rate };
            if random.random_bool(rate / 1_000.0) {
                let is_anywhere = index > 0 || is_spread;
                let at = if is_anywhere { random.random_range(0..daemons) } else { 0 };
                fleet[at].join(index, now);
            }
        }
        let offset = random.random_range(0..daemons);
        for at in (0..daemons).map(|at| (at + offset) % daemons) {
            running -= fleet[at].end(now);
            for index in fleet[at].start(PLACES - running, now) {
                running += 1;
                served[index] += 1;
                fleet[at].ends.push(now + random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2));
            }
        }
        tell_use(&mut fleet, now, &mut random);
        if now.is_multiple_of(1_000) {
            fleet.iter_mut().for_each(|daemon| sweep_ledgers(&mut daemon.ledgers, Moment(now)));
        }
    }
    served
}

/// Each daemon tells all others, at its own moments.
fn tell_use(fleet: &mut [QueueDaemon], now: u64, random: &mut ChaCha8Rng) {
    for from in 0..fleet.len() {
        if !(now + from as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
            continue;
        }
        let rows = largest_uses(&fleet[from].ledgers, Moment(now));
        let waiting = fleet[from].queue.waiting_use(Moment(now)).map(|it| (service(), it));
        let waiting = waiting.into_iter().collect();
        let report = UseReport { as_of: Moment(now), is_crowded: true, rows, waiting };
        for (to, daemon) in fleet.iter_mut().enumerate() {
            if to != from && !random.random_ratio(1, LOST_REPORTS) {
                let silent_at = Deadline::after(Moment(now), SILENT_MS);
                let report = report.clone();
                apply_use_report(&mut daemon.ledgers, &member(from), report, |_| true, silent_at);
            }
        }
    }
}

#[parameterized(
    one_daemon = { 1, false },
    one_of_8_daemons = { 8, false },
    all_of_8_daemons = { 8, true },
    one_of_79_daemons = { 79, false },
    all_of_79_daemons = { 79, true },
)]
fn customer_that_sends_ten_times_its_share_of_twice_the_room_takes_nothing_from_the_others(
    daemons: usize,
    is_spread: bool,
) {
    let (even, uneven) = (play(daemons, 20.8, 20.8, true), play(daemons, 20.8, 208.0, is_spread));

    let sum = |served: &[usize]| served.iter().sum::<usize>() as f64;
    let least = |served: &[usize]| served.iter().min().copied().unwrap_or(0) as f64;
    let (others, before) = (&uneven[1..], &even[1..]);
    assert!(sum(others) >= 0.95 * sum(before), "{before:?}, then {others:?}");
    assert!(least(others) >= 0.95 * least(before), "{before:?}, then {others:?}");
    assert!(sum(&uneven) >= 0.95 * sum(&even), "{even:?}, then {uneven:?}");
}

#[test]
fn customer_that_asks_for_more_uses_what_others_leave_at_all_daemons() {
    let served = play(8, 5.0, 250.0, true);

    let room = (PLACES as u64 * PLAYED_MS / SERVICE_MS) as f64;
    assert!(served.iter().sum::<usize>() as f64 >= 0.95 * room, "{served:?}");
    assert!(served[1..].iter().all(|served| *served >= 35), "{served:?}");
}
