//! How much of a service each customer has used lately, at this daemon and at its peers.
//!
//! Use is a cost that decays with time, so that it measures the present rate rather than the past.
//! Each daemon charges what it starts and reports that to its peers; the sum of all reports orders the
//! queues of all daemons, whether a customer's requests arrive at one daemon or at all of them.

use crate::yield_rule::{WaitingUse, YIELD_FACTOR};
use guava_types::{CustomerId, Deadline, FastMap, MemberName, Moment};

/// Half-life of charged use, in milliseconds: as long as bursts of demand last.
const USE_HALF_LIFE_MS: f64 = 2_000.0;
/// Use below which a customer counts as having used nothing, in units of cost: requests cost several
/// units, and a tenth of one changes no order.
const NO_USE: f64 = 0.1;

/// A decaying sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingUse {
    amount: f64,
    as_of: Moment,
}

impl DecayingUse {
    fn at(&self, now: Moment) -> f64 {
        let age = now.millis_since(self.as_of) as f64;
        self.amount * 0.5_f64.powf(age / USE_HALF_LIFE_MS)
    }

    fn add(&mut self, amount: f64, at: Moment) {
        let now = self.as_of.max(at);
        let added = Self { amount, as_of: at };
        *self = Self { amount: self.at(now) + added.at(now), as_of: now };
    }
}

/// A peer's report of what its customers used, until the peer is silent.
#[derive(Clone, Debug)]
struct PeerUse {
    uses: FastMap<CustomerId, DecayingUse>,
    silent_at: Deadline,
}

/// Use of one service by customer. Requests of no customer count as one customer's.
#[derive(Clone, Debug, Default)]
pub struct CustomerLedger {
    own: FastMap<Option<CustomerId>, DecayingUse>,
    peers: FastMap<MemberName, PeerUse>,
    /// Sum of the peers' reports, so that a look-up takes the same time with any number of peers.
    reported: FastMap<CustomerId, DecayingUse>,
    /// Until when no peer is silent; `None` without peers.
    current_until: Option<Deadline>,
    /// Who waits at each peer, as it last told, until that is too old to go by.
    waiting: FastMap<MemberName, (WaitingUse, Deadline)>,
    /// Mean use of the customers that had used anything at the last sweep, in units of cost.
    mean_use: f64,
}

impl CustomerLedger {
    /// Charges a customer for a request that this daemon starts now.
    pub fn charge(&mut self, customer: Option<&CustomerId>, cost: f64, now: Moment) {
        self.own.entry(customer.cloned()).or_default().add(cost.max(0.0), now);
    }

    /// What a customer has used lately, here and at the peers, in units of cost.
    pub fn used(&self, customer: Option<&CustomerId>, now: Moment) -> f64 {
        let own = self.own.get(&customer.cloned()).map_or(0.0, |own| own.at(now));
        let Some(customer) = customer else { return own };
        if self.current_until.is_some_and(|until| until.passed(now)) {
            return own + self.sum_reports(customer, now);
        }
        own + self.reported.get(customer).map_or(0.0, |reported| reported.at(now).max(0.0))
    }

    /// Sum of the reports on a customer of those peers that are not silent.
    fn sum_reports(&self, customer: &CustomerId, now: Moment) -> f64 {
        let current = self.peers.values().filter(|peer| !peer.silent_at.passed(now));
        current.filter_map(|peer| peer.uses.get(customer)).map(|it| it.at(now)).sum()
    }

    /// The customers that used most at this daemon, largest first, at most `limit` of them.
    pub fn report(&self, limit: usize, now: Moment) -> Vec<(CustomerId, f64)> {
        let named = self.own.iter().filter_map(|(customer, own)| Some((customer.clone()?, own)));
        let mut uses: Vec<(CustomerId, f64)> =
            named.map(|(customer, own)| (customer, own.at(now))).collect();
        uses.retain(|(_, amount)| *amount >= NO_USE);
        uses.sort_by(|one, other| other.1.total_cmp(&one.1));
        uses.truncate(limit);
        uses
    }

    /// Applies a peer's report of its use at `as_of`, which replaces its earlier one and counts
    /// until `silent_at`.
    pub fn note_peer(
        &mut self,
        peer: &MemberName,
        report: Vec<(CustomerId, f64)>,
        silent_at: Deadline,
        as_of: Moment,
    ) {
        self.drop_peer(peer, as_of);
        if report.is_empty() {
            return;
        }
        let mut uses: FastMap<CustomerId, DecayingUse> = FastMap::default();
        for (customer, amount) in report {
            let amount = amount.max(0.0);
            self.reported.entry(customer.clone()).or_default().add(amount, as_of);
            uses.entry(customer).or_default().add(amount, as_of);
        }
        self.peers.insert(peer.clone(), PeerUse { uses, silent_at });
        self.current_until = Some(self.current_until.map_or(silent_at, |at| at.earlier(silent_at)));
    }

    fn drop_peer(&mut self, peer: &MemberName, now: Moment) {
        let Some(dropped) = self.peers.remove(peer) else { return };
        for (customer, used) in &dropped.uses {
            if let Some(reported) = self.reported.get_mut(customer) {
                reported.add(-used.at(now), now);
            }
        }
    }

    /// Applies a peer's word of who waits at it, which counts until the deadline; `None` if nobody does.
    pub fn note_peer_waiting(
        &mut self,
        peer: &MemberName,
        waiting: Option<WaitingUse>,
        until: Deadline,
    ) {
        match waiting {
            Some(waiting) => drop(self.waiting.insert(peer.clone(), (waiting, until))),
            None => drop(self.waiting.remove(peer)),
        }
    }

    /// Whether a request of a customer yields to those that wait at peers: it is of no better rank, and
    /// the customer has used far more than they, and than the mean of all customers. A request of no
    /// customer does not yield, as what others of them used elsewhere is not known.
    pub fn must_yield(&self, customer: Option<&CustomerId>, rank: u8, now: Moment) -> bool {
        if customer.is_none() {
            return false;
        }
        let current = self.waiting.values().filter(|(_, until)| !until.passed(now));
        let before = current.filter(|(waiting, _)| waiting.rank <= rank);
        let lowest = before.map(|(waiting, _)| waiting.lowest).min_by(f64::total_cmp);
        let Some(lowest) = lowest else { return false };
        let used = self.used(customer, now);
        used > YIELD_FACTOR * lowest.max(self.mean_use)
    }

    /// Mean use of the customers that have used anything lately, in units of cost.
    fn mean_of_uses(&self, now: Moment) -> f64 {
        let is_new = |customer: &&CustomerId| !self.own.contains_key(&Some((*customer).clone()));
        let elsewhere = self.reported.keys().filter(is_new).map(Some);
        let customers = self.own.keys().map(Option::as_ref).chain(elsewhere);
        let (mut count, mut total) = (0, 0.0);
        for used in customers.map(|customer| self.used(customer, now)).filter(|it| *it >= NO_USE) {
            count += 1;
            total += used;
        }
        total / f64::from(count.max(1))
    }

    /// Removes the reports of silent peers, and customers that have used nothing lately.
    pub fn sweep(&mut self, now: Moment) {
        self.own.retain(|_, own| own.at(now) >= NO_USE);
        self.peers.retain(|_, peer| {
            peer.uses.retain(|_, used| used.at(now) >= NO_USE);
            !peer.silent_at.passed(now) && !peer.uses.is_empty()
        });
        self.waiting.retain(|_, (_, until)| !until.passed(now));
        // Summed anew, as additions and subtractions leave rounding errors.
        self.reported.clear();
        for (customer, used) in self.peers.values().flat_map(|peer| &peer.uses) {
            self.reported.entry(customer.clone()).or_default().add(used.at(now), now);
        }
        self.current_until = self.peers.values().map(|peer| peer.silent_at).min();
        self.mean_use = self.mean_of_uses(now);
    }

    /// Whether nobody has used the service or waited for it lately, as of the last sweep.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty() && self.waiting.is_empty()
    }
}
