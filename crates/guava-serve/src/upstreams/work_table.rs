//! What runs and waits at each upstream: this daemon's own work, and what peers say of theirs.

use crate::parts::sent_prompt::SentPrompt;
use guava_policy::{EngineBacklog, LoadTable, UpstreamLoad};
use guava_types::{Deadline, FastMap, MemberName, Moment, TokenCount, TokenRate, UpstreamId};

/// How much later than expected a healthy engine's first token may come, in milliseconds: behind
/// prompts that this daemon has not been told of, or while its batch decodes.
///
/// Without it engines near by looked two to seven times too slow, since short prompts are expected
/// in 30 ms and take 250 where a long one is being read; so long prompts went to engines in other
/// data centres, of which nothing was known, and met there unannounced.
const ENGINE_SLACK_MS: f64 = 150.0;

/// What a send is expected to cost its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Prompt tokens to read.
    pub prompt: TokenCount,
    /// Memory to take.
    pub memory: TokenCount,
    /// Time to the answer or its first event, in milliseconds.
    pub answer_ms: f64,
    /// Part of it in which the prompt is read, in milliseconds.
    pub service_ms: f64,
    /// Rank at the upstream; 0 goes first.
    pub priority: u8,
}

/// One daemon's work at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkShare {
    /// Prompt tokens that wait to be read.
    pub waiting: TokenCount,
    /// Memory taken until the runs end.
    pub memory: TokenCount,
    /// Requests sent and not over.
    pub running: u32,
}

impl WorkShare {
    fn add(&mut self, other: &WorkShare) {
        self.waiting.0 += other.waiting.0;
        self.memory.0 += other.memory.0;
        self.running += other.running;
    }

    fn subtract(&mut self, other: &WorkShare) {
        self.waiting.0 = self.waiting.0.saturating_sub(other.waiting.0);
        self.memory.0 = self.memory.0.saturating_sub(other.memory.0);
        self.running = self.running.saturating_sub(other.running);
    }
}

/// Names a piece of work until it is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkTicket {
    upstream: UpstreamId,
    number: u64,
    memory: TokenCount,
}

impl WorkTicket {
    /// A number that no other piece of this daemon's work has.
    pub fn number(&self) -> u64 {
        self.number
    }
}

#[derive(Debug, Default)]
struct PeerWork {
    shares: FastMap<UpstreamId, WorkShare>,
    silent_at: Deadline,
}

/// The work at all upstreams.
#[derive(Debug, Default)]
pub struct WorkTable {
    loads: LoadTable,
    backlogs: FastMap<UpstreamId, EngineBacklog>,
    own: FastMap<UpstreamId, WorkShare>,
    peers: FastMap<MemberName, PeerWork>,
    peers_total: FastMap<UpstreamId, WorkShare>,
    idle_load: UpstreamLoad,
}

impl WorkTable {
    /// Notes work sent to an upstream.
    pub fn begin(&mut self, upstream: &UpstreamId, load: &ExpectedLoad, now: Moment) -> WorkTicket {
        let slack_ms = if load.service_ms > 0.0 { ENGINE_SLACK_MS } else { 0.0 };
        let number = self.loads.sent(upstream, load.prompt, load.answer_ms + slack_ms, now);
        let share = self.own.entry(upstream.clone()).or_default();
        share.memory.0 += load.memory.0;
        share.running += 1;
        if load.service_ms > 0.0 {
            let backlog = self.backlogs.entry(upstream.clone()).or_default();
            backlog.push_own(number, load.priority, load.service_ms, now);
        }
        WorkTicket { upstream: upstream.clone(), number, memory: load.memory }
    }

    /// Notes the first part of an answer.
    pub fn started(&mut self, ticket: &WorkTicket, now: Moment) {
        self.loads.started(&ticket.upstream, ticket.number, now);
        if let Some(backlog) = self.backlogs.get_mut(&ticket.upstream) {
            backlog.started(ticket.number, now);
        }
    }

    /// Notes that work is over, however it ended.
    pub fn note_finished(&mut self, ticket: &WorkTicket, now: Moment) {
        self.loads.finished(&ticket.upstream, ticket.number);
        if let Some(backlog) = self.backlogs.get_mut(&ticket.upstream) {
            backlog.remove(ticket.number, now);
        }
        if let Some(share) = self.own.get_mut(&ticket.upstream) {
            share.memory.0 = share.memory.0.saturating_sub(ticket.memory.0);
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Milliseconds that a prompt of a priority waits at an engine until it is read itself.
    pub fn wait_ms(&self, upstream: &UpstreamId, priority: u8, now: Moment) -> f64 {
        self.backlogs.get(upstream).map_or(0.0, |backlog| backlog.wait_ms(priority, now))
    }

    /// Milliseconds of reading that peers say in sum to have waiting at an engine.
    pub fn peers_wait_ms(&self, upstream: &UpstreamId, prefill: TokenRate, now: Moment) -> f64 {
        self.load(upstream).peers_wait_ms(now, prefill)
    }

    /// Whether nothing is known to be read or to wait at an engine.
    pub fn is_idle(&self, upstream: &UpstreamId, now: Moment) -> bool {
        self.backlogs.get(upstream).is_none_or(|backlog| backlog.is_idle(now))
    }

    /// Notes that an upstream gave no answer, a broken one, or an error.
    pub fn note_failed_answer(&mut self, upstream: &UpstreamId, now: Moment) {
        self.loads.note_failed_answer(upstream, now);
    }

    /// The load of an upstream.
    pub fn load(&self, upstream: &UpstreamId) -> &UpstreamLoad {
        self.loads.find(upstream).unwrap_or(&self.idle_load)
    }

    /// Memory taken and requests running there, of all daemons.
    pub fn total(&self, upstream: &UpstreamId) -> WorkShare {
        let mut total = self.own.get(upstream).copied().unwrap_or_default();
        total.add(&self.peers_total.get(upstream).copied().unwrap_or_default());
        total
    }

    /// This daemon's own work, for its peers.
    pub fn own_shares(&self) -> impl Iterator<Item = (&UpstreamId, WorkShare)> {
        let busy = self.own.iter().filter(|(_, share)| share.running > 0);
        busy.map(|(id, share)| {
            let waiting = self.load(id).pending_tokens();
            (id, WorkShare { waiting, ..*share })
        })
    }

    /// Takes in what a peer says of its work; it counts until the peer is silent for too long.
    pub fn note_peer(
        &mut self,
        peer: &MemberName,
        shares: FastMap<UpstreamId, WorkShare>,
        silent_at: Deadline,
        now: Moment,
    ) {
        self.forget_peer(peer, now);
        for (id, share) in &shares {
            self.peers_total.entry(id.clone()).or_default().add(share);
            self.refresh_load(id, now);
        }
        self.peers.insert(peer.clone(), PeerWork { shares, silent_at });
    }

    /// Takes in that a peer has just sent a prompt that takes so many milliseconds to read, before it
    /// next says how much it has there.
    pub fn note_peer_sent(
        &mut self,
        peer: &MemberName,
        sent: &SentPrompt,
        service_ms: f64,
        now: Moment,
    ) {
        let backlog = self.backlogs.entry(sent.engine.clone()).or_default();
        backlog.push_peer(sent.priority, service_ms, now);
        let Some(work) = self.peers.get_mut(peer) else { return };
        let added = WorkShare { waiting: sent.waiting, memory: sent.tokens, running: 1 };
        work.shares.entry(sent.engine.clone()).or_default().add(&added);
        self.peers_total.entry(sent.engine.clone()).or_default().add(&added);
        self.refresh_load(&sent.engine, now);
    }

    /// Forgets the work of peers that fell silent, and upstreams that are gone.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        let is_silent = |work: &PeerWork| work.silent_at.passed(now);
        let silent: Vec<MemberName> = self
            .peers
            .iter()
            .filter(|(_, work)| is_silent(work))
            .map(|(peer, _)| peer.clone())
            .collect();
        silent.iter().for_each(|peer| self.forget_peer(peer, now));
        self.loads.retain(&is_known);
        self.backlogs.retain(|id, _| is_known(id));
        self.own.retain(|id, share| share.running > 0 || is_known(id));
        self.peers_total.retain(|id, _| is_known(id));
    }

    fn forget_peer(&mut self, peer: &MemberName, now: Moment) {
        let Some(work) = self.peers.remove(peer) else { return };
        for (id, share) in &work.shares {
            if let Some(total) = self.peers_total.get_mut(id) {
                total.subtract(share);
            }
            self.refresh_load(id, now);
        }
    }

    fn refresh_load(&mut self, upstream: &UpstreamId, now: Moment) {
        let waiting = self.peers_total.get(upstream).map_or(TokenCount(0), |total| total.waiting);
        self.loads.note_peers(upstream, waiting, now);
    }
}
