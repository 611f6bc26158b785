//! The queue of one service under load: who is served, who is refused, and who returns when.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    CustomerLedger, MAX_HOLD_MS, MAX_PASSES, MAX_QUEUED, QueueEntry, QueueTicket, QueueVerdict,
    ROUND_MS, ServiceQueue,
};
use guava_types::{CustomerId, Deadline, FastMap, Moment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mean service time and patience of the requests in a load, in milliseconds.
const SERVICE_MS: u64 = 100;
const PATIENCE_MS: u64 = 400;

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().unwrap()
}

fn entry(index: usize, rank: u8, arrived: u64) -> QueueEntry {
    QueueEntry {
        customer: Some(customer(index)),
        rank,
        first_arrived: Moment(arrived),
        start_by: Deadline::after(Moment(arrived), PATIENCE_MS),
        cost: SERVICE_MS as f64,
    }
}

/// Places of a service, the queue before them, and what became of each request.
#[derive(Default)]
struct LoadedService {
    places: usize,
    ends: Vec<u64>,
    queue: ServiceQueue,
    ledger: CustomerLedger,
    waiting: Vec<(QueueTicket, QueueEntry)>,
    /// Requests that started, and when.
    served: Vec<(QueueEntry, u64)>,
    /// Requests that were refused, and when they are told to return.
    refused: Vec<(QueueEntry, u64)>,
}

impl LoadedService {
    fn with_places(places: usize) -> Self {
        Self { places, ..Self::default() }
    }

    fn arrive(&mut self, entry: QueueEntry, now: u64) {
        if self.queue.is_empty() && self.ends.len() < self.places {
            return self.serve(entry, now);
        }
        let ticket = self.queue.join(entry.clone(), &self.ledger, Moment(now));
        self.waiting.push((ticket, entry));
        self.ask(now);
        self.refuse_late(now, self.waiting.len().saturating_sub(1));
    }

    fn serve(&mut self, entry: QueueEntry, now: u64) {
        self.ledger.charge(entry.customer.as_ref(), entry.cost, Moment(now));
        let spread_ms = self.served.len() as u64 * 37 % SERVICE_MS;
        self.ends.push(now + SERVICE_MS / 2 + spread_ms);
        self.served.push((entry, now));
    }

    fn ask(&mut self, now: u64) {
        while let Some(ticket) = self.queue.turn(Moment(now)) {
            if self.ends.len() == self.places {
                self.queue.note_misfit(ticket);
                continue;
            }
            self.queue.start(ticket, Moment(now));
            let index = self.waiting.iter().position(|it| it.0 == ticket).unwrap();
            let (_, entry) = self.waiting.remove(index);
            self.serve(entry, now);
        }
    }

    /// Refuses those from an index on that are too late; nobody is refused while places are free.
    fn refuse_late(&mut self, now: u64, from: usize) {
        for (ticket, entry) in self.waiting.split_off(from) {
            if self.queue.verdict(ticket, Moment(now)) != QueueVerdict::Refuse {
                self.waiting.push((ticket, entry));
                continue;
            }
            assert_eq!(self.ends.len(), self.places, "refused while places are free");
            let delay = self.queue.refuse(ticket, now, Moment(now));
            self.refused.push((entry, now + delay));
        }
    }

    fn settle(&mut self, now: u64) {
        let running = self.ends.len();
        self.ends.retain(|end| *end > now);
        if self.ends.len() < running {
            self.queue.begin_round(&self.ledger, Moment(now));
        }
        self.ask(now);
        if now.is_multiple_of(ROUND_MS) {
            self.refuse_late(now, 0);
        }
    }

    /// Requests of a customer that started in a time.
    fn served_to(&self, index: usize, from: u64, until: u64) -> usize {
        let is_counted = |(entry, at): &&(QueueEntry, u64)| {
            entry.customer == Some(customer(index)) && (from..until).contains(at)
        };
        self.served.iter().filter(is_counted).count()
    }
}

/// Plays 10 s of 24 customers that send `rate` requests a second each, the first `first_rate`,
/// to 25 places that serve 250 requests a second.
fn play(rate: f64, first_rate: f64) -> LoadedService {
    let mut service = LoadedService::with_places(25);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for now in 0..10_000 {
        for index in 0..24 {
            let rate = if index == 0 { first_rate } else { rate };
            if random.random_bool(rate / 1_000.0) {
                service.arrive(entry(index, 1, now), now);
            }
        }
        service.settle(now);
    }
    service
}

#[test]
fn customer_that_sends_ten_times_its_share_of_twice_the_room_takes_nothing_from_the_others() {
    let (even, uneven) = (play(20.8, 20.8), play(20.8, 208.0));

    for index in 1..24 {
        let [before, after] = [&even, &uneven].map(|it| it.served_to(index, 0, 10_000));
        assert!(after as f64 >= 0.95 * before as f64, "customer {index}: {before}, then {after}");
    }
    let fair_part = 250.0 / 24.0 * 5.0;
    for (index, from) in (0..24).flat_map(|index| (0..6).map(move |second| (index, second))) {
        let served = uneven.served_to(index, from * 1_000, from * 1_000 + 5_000);
        assert!(served as f64 >= 0.8 * fair_part, "customer {index} from {from} s: {served}");
    }
}

#[test]
fn customer_that_asks_for_more_uses_what_others_leave_of_the_room() {
    let service = play(5.0, 250.0);

    let served = service.served.len();
    assert!(served as f64 >= 0.97 * 250.0 * 10.0, "{served}");
    assert!(service.refused.iter().all(|(entry, _)| entry.customer == Some(customer(0))));
}

#[test]
fn crowd_of_500_that_returns_when_told_is_served_in_order_and_as_fast_as_there_is_room() {
    let mut service = LoadedService::with_places(12);
    // A queue that drains already, so that its rate is known.
    for now in 0..1_000_u64 {
        if now.is_multiple_of(8) || now < 150 && now.is_multiple_of(4) {
            service.arrive(entry(600 + now as usize, 1, now), now);
        }
        service.settle(now);
    }
    let caller = |at: u64, nth: u64| (entry((at - 1_000) as usize * 10 + nth as usize, 1, at), at);
    let mut returns: Vec<(QueueEntry, u64)> =
        (1_000..1_050).flat_map(|at| (0..10).map(move |nth| caller(at, nth))).collect();

    for now in 1_000..10_000 {
        let (due, later): (Vec<_>, Vec<_>) = returns.into_iter().partition(|it| it.1 <= now);
        for (caller, _) in due {
            let start_by = Deadline::after(Moment(now), PATIENCE_MS);
            service.arrive(QueueEntry { start_by, ..caller }, now);
        }
        service.settle(now);
        returns = later;
        returns.append(&mut service.refused);
    }

    let is_crowd = |it: &&(QueueEntry, u64)| it.0.first_arrived >= Moment(1_000);
    let crowd: Vec<&(QueueEntry, u64)> = service.served.iter().filter(is_crowd).collect();
    assert_eq!(crowd.len(), 500);
    let room_ms = 500 * SERVICE_MS / 12;
    let last = crowd.iter().map(|it| it.1).max().unwrap();
    assert!(last <= 1_000 + room_ms * 12 / 10, "last at {last} ms");
    let mut starts: FastMap<CustomerId, u64> = FastMap::default();
    starts.extend(crowd.iter().map(|(entry, at)| (entry.customer.clone().unwrap(), *at)));
    let mut latest = 0;
    for start in (0..500).map(|index| starts[&customer(index)]) {
        assert!(start + 200 >= latest, "{start} after {latest}");
        latest = latest.max(start);
    }
}

/// A queue with these requests, and their tickets.
fn queue_of(entries: Vec<QueueEntry>) -> (ServiceQueue, Vec<QueueTicket>) {
    let mut queue = ServiceQueue::default();
    let ledger = CustomerLedger::default();
    let join = |entry: QueueEntry| {
        let now = entry.first_arrived;
        queue.join(entry, &ledger, now)
    };
    let tickets = entries.into_iter().map(join).collect();
    (queue, tickets)
}

/// Number of requests before each of these.
fn ahead(queue: &ServiceQueue, tickets: &[QueueTicket]) -> Vec<Option<usize>> {
    let place = |ticket| queue.place(ticket, Moment(9_999)).map(|place| place.ahead);
    tickets.iter().copied().map(place).collect()
}

#[test]
fn requests_are_ordered_by_rank_and_those_of_a_customer_by_arrival() {
    let (mut queue, tickets) =
        queue_of(vec![entry(0, 3, 2_000), entry(0, 3, 1_000), entry(0, 2, 3_000)]);

    assert_eq!(ahead(&queue, &tickets), [Some(2), Some(1), Some(0)]);
    queue.leave(tickets[2], Moment(3_000));
    assert_eq!(ahead(&queue, &tickets), [Some(1), Some(0), None]);
    assert_eq!(queue.turn(Moment(3_000)), Some(tickets[1]));
}

#[test]
fn first_request_of_a_customer_goes_before_the_second_of_one_that_came_earlier() {
    let (queue, tickets) =
        queue_of(vec![entry(0, 1, 1_000), entry(0, 1, 1_001), entry(1, 1, 1_002)]);

    assert_eq!(ahead(&queue, &tickets), [Some(0), Some(2), Some(1)]);
}

#[test]
fn request_whose_caller_leaves_does_not_block_the_next() {
    let (mut queue, tickets) = queue_of((0..3).map(|index| entry(index, 3, 1_000)).collect());

    queue.leave(tickets[1], Moment(1_001));
    queue.leave(tickets[0], Moment(1_001));

    assert_eq!(queue.turn(Moment(1_001)), Some(tickets[2]));
    assert_eq!(ahead(&queue, &tickets), [None, None, Some(0)]);
}

#[test]
fn head_that_does_not_fit_is_passed_a_bounded_number_of_times_and_then_holds_the_queue() {
    let (mut queue, tickets) = queue_of((0..12).map(|index| entry(index, 1, 1_000)).collect());
    let ledger = CustomerLedger::default();
    let now = Moment(1_100);
    let mut passed = 0;

    queue.begin_round(&ledger, now);
    while let Some(ticket) = queue.turn(now) {
        if ticket == tickets[0] {
            queue.note_misfit(ticket);
        } else {
            queue.start(ticket, now);
            passed += 1;
        }
    }

    assert_eq!(passed, MAX_PASSES);
    assert_eq!(queue.len(), 12 - passed as usize);
    let place_freed = Moment(now.0 + MAX_HOLD_MS / 2);
    queue.begin_round(&ledger, place_freed);
    assert_eq!(queue.turn(place_freed), Some(tickets[0]));
    // It still does not fit, so it lacks more than room.
    queue.note_misfit(tickets[0]);
    assert_eq!(queue.turn(place_freed), None);
    assert_eq!(queue.turn(Moment(now.0 + MAX_HOLD_MS)), Some(tickets[9]));
}

/// A queue from which one request in 200 ms started until 400 ms ago, with four waiting now.
fn draining_queue() -> (ServiceQueue, u64) {
    let (mut queue, tickets) = queue_of((0..7).map(|_| entry(0, 3, 1_000)).collect());
    for (ticket, at) in tickets.into_iter().zip([2_000, 2_200, 2_400]) {
        queue.start(ticket, Moment(at));
    }
    (queue, 2_500)
}

#[yare::parameterized(
    rank_of_those_that_wait = { 3, 0, 800 },
    rank_that_goes_before_them = { 2, 0, 0 },
    long_after_the_last_start = { 3, 700, 2_000 },
)]
fn expected_wait_follows_the_drain_rate_of_the_queue(rank: u8, later: u64, expected: u64) {
    let (mut queue, now) = draining_queue();
    let now = Moment(now + later);

    let ticket = queue.join(entry(0, rank, now.0), &CustomerLedger::default(), now);

    assert_eq!(queue.place(ticket, now).unwrap().wait_ms, Some(expected));
}

#[test]
fn request_that_cannot_start_in_time_is_refused_at_once() {
    let (mut queue, now) = draining_queue();
    let now = Moment(now);
    let ticket = queue.join(entry(0, 3, now.0), &CustomerLedger::default(), now);

    while let Some(asked) = queue.turn(now) {
        queue.note_misfit(asked);
    }

    assert_eq!(queue.verdict(ticket, now), QueueVerdict::Refuse);
}

#[test]
fn burst_after_an_idle_time_is_not_judged_by_the_old_drain_rate() {
    let (mut queue, tickets) = queue_of((0..3).map(|_| entry(0, 3, 1_000)).collect());
    for (ticket, at) in tickets.into_iter().zip([1_000, 2_000, 3_000]) {
        queue.start(ticket, Moment(at));
    }
    let burst = Moment(9_000);
    let ledger = CustomerLedger::default();

    let tickets: Vec<QueueTicket> =
        (0..9).map(|_| queue.join(entry(0, 3, 9_000), &ledger, burst)).collect();

    assert_eq!(queue.place(tickets[8], burst).unwrap().wait_ms, None);
    assert_eq!(queue.verdict(tickets[8], burst), QueueVerdict::Wait);
}

#[test]
fn full_queue_of_one_customer_gives_a_place_to_another() {
    let (mut queue, tickets) = queue_of((0..MAX_QUEUED).map(|_| entry(0, 1, 1_000)).collect());
    let (now, ledger) = (Moment(1_001), CustomerLedger::default());

    let other = queue.join(entry(1, 1, 1_001), &ledger, now);
    let same = queue.join(entry(0, 1, 1_001), &ledger, now);

    assert_eq!(ahead(&queue, &[other, same]), [Some(1), None]);
    assert_eq!(queue.len(), MAX_QUEUED);
    assert_eq!(queue.verdict(same, now), QueueVerdict::Refuse);
    assert_eq!(queue.verdict(tickets[MAX_QUEUED - 1], now), QueueVerdict::Refuse);
}
