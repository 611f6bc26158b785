//! How much of a service each customer has used lately, at this daemon and at its peers.
//!
//! Use is a cost that decays with time, so that it measures the present rate rather than the past.
//! Each daemon charges what it starts and reports that to its peers; the sum of all reports orders the
//! queues of all daemons, whether a customer's requests arrive at one daemon or at all of them.

use guava_types::{CustomerId, Deadline, FastMap, MemberName, Moment};

/// Half-life of charged use, in milliseconds: as long as bursts of demand last.
const USE_HALF_LIFE_MS: f64 = 2_000.0;

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

    fn add(&mut self, amount: f64, now: Moment) {
        *self = Self { amount: self.at(now) + amount, as_of: now };
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
        let reported = self.peers.values().filter(|peer| !peer.silent_at.passed(now));
        own + reported.filter_map(|peer| peer.uses.get(customer)).map(|it| it.at(now)).sum::<f64>()
    }

    /// The customers that used most at this daemon, largest first, at most `limit` of them.
    pub fn report(&self, limit: usize, now: Moment) -> Vec<(CustomerId, f64)> {
        let named = self.own.iter().filter_map(|(customer, own)| Some((customer.clone()?, own)));
        let mut uses: Vec<(CustomerId, f64)> =
            named.map(|(customer, own)| (customer, own.at(now))).collect();
        uses.sort_by(|one, other| other.1.total_cmp(&one.1));
        uses.truncate(limit);
        uses
    }

    /// Applies a peer's report, which replaces its earlier one and counts until `silent_at`.
    pub fn note_peer(
        &mut self,
        peer: &MemberName,
        report: Vec<(CustomerId, f64)>,
        silent_at: Deadline,
        now: Moment,
    ) {
        let uses = report.into_iter().map(|(customer, amount)| {
            (customer, DecayingUse { amount: amount.max(0.0), as_of: now })
        });
        self.peers.insert(peer.clone(), PeerUse { uses: uses.collect(), silent_at });
    }
}
