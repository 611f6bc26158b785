//! Simulates a load without a network: the real decisions, against a small model of engines and stores
//! of cached prompt parts. Time is an argument, so that runs are deterministic.

use super::{engine, engine_traits, model, part, request, route};
use guava_policy::ReportTable;
use guava_serve::{
    EngineChoice, EngineInput, EngineSpeeds, ExpectedLoad, FetchTicket, HeldPart, PartEvent,
    PartIndex, PromptShape, RepeatRule, StoreLinks, StoreTraits, UpstreamEntry, UpstreamTable,
    VersionLimits, VersionTargets, WorkTable, WorkTicket, choose_engine, transfer_ms,
};
use guava_types::{FastMap, Moment, TokenCount, TokenRate};
use std::net::SocketAddr;
use std::rc::Rc;

/// Prefill throughput of a modelled engine, and its time to a first token in addition to the prefill.
const PREFILL: TokenRate = TokenRate(48_000);
const FIXED_MS: f64 = 25.0;
/// Longest wait for a link, in milliseconds; a transfer that would wait longer is abandoned.
const MAX_LINK_WAIT_MS: f64 = 2_000.0;
/// Tokens of a prompt's parts: shared by many sessions, shared by its session, its own.
const PART_TOKENS: [u64; 3] = [400, 8_600, 500];
/// Number of sessions, whose prompts repeat.
const SESSIONS: u64 = 60;

/// A load to simulate.
pub struct SimulatedLoad {
    /// The stores; sessions are spread over them.
    pub stores: Vec<Rc<StoreTraits>>,
    /// Names and data centres of the engines. The daemon is in `east`.
    pub engines: Vec<(&'static str, &'static str)>,
    /// Interval between two prompts, in milliseconds.
    pub interval_ms: u64,
    /// Start and end in milliseconds of the time in which the first store's link is slow, and the factor.
    pub slow: (u64, u64, f64),
    /// Whether the daemon corrects its link estimates by the fetches it observes.
    pub is_watched: bool,
    /// Moment before which the last prompt arrives, in milliseconds.
    pub end_ms: u64,
}

/// The answer to a simulated prompt.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedAnswer {
    /// Arrival of the prompt, in milliseconds.
    pub at: u64,
    /// Milliseconds from the arrival to the first token.
    pub first_ms: u64,
    /// Shared tokens that the engine recomputed.
    pub recomputed_tokens: u64,
}

struct Pending {
    first_at: u64,
    work: WorkTicket,
    fetch: Option<FetchTicket>,
}

struct LoadSimulator<'a> {
    load: &'a SimulatedLoad,
    upstreams: UpstreamTable,
    work: WorkTable,
    parts: PartIndex,
    links: StoreLinks,
    pending: Vec<Pending>,
    link_free: FastMap<SocketAddr, f64>,
    engine_free: FastMap<String, f64>,
}

/// Simulates a load; returns the answers in the order of the prompts.
pub fn simulate(load: &SimulatedLoad) -> Vec<SimulatedAnswer> {
    let mut simulator = LoadSimulator::new(load);
    let mut answers = Vec::new();
    for (number, at) in (0..).zip((1_000..load.end_ms).step_by(load.interval_ms as usize)) {
        simulator.advance(at);
        answers.push(simulator.place_prompt(number, at));
    }
    answers
}

/// Fraction of the prompts that arrived between two moments whose first token came within a limit.
pub fn fraction_in_time(answers: &[SimulatedAnswer], from: u64, until: u64, limit_ms: u64) -> f64 {
    let in_window: Vec<_> =
        answers.iter().filter(|answer| (from..until).contains(&answer.at)).collect();
    let in_time = in_window.iter().filter(|answer| answer.first_ms <= limit_ms).count();
    in_time as f64 / in_window.len().max(1) as f64
}

fn session(number: u64) -> u64 {
    // Pseudo-random, so that the order of sessions doesn't coincide with that of stores or engines.
    (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % SESSIONS
}

fn prompt(session: u64) -> PromptShape {
    let [common, shared, own] = PART_TOKENS;
    let parts = vec![
        part(&format!("c{}", session % 3), common),
        part(&format!("s{session}"), shared),
        part("own", own),
    ];
    PromptShape {
        model: model(),
        parts,
        input: TokenCount(PART_TOKENS.iter().sum()),
        output: TokenCount(20),
    }
}

impl<'a> LoadSimulator<'a> {
    fn new(load: &'a SimulatedLoad) -> Self {
        let mut upstreams = UpstreamTable::default();
        for (name, centre) in &load.engines {
            let data_centre = centre.parse().unwrap();
            upstreams.note_entry(UpstreamEntry { data_centre, ..engine(name, 1) });
        }
        Self {
            load,
            upstreams,
            work: WorkTable::default(),
            parts: PartIndex::default(),
            links: StoreLinks::default(),
            pending: Vec::new(),
            link_free: FastMap::default(),
            engine_free: FastMap::default(),
        }
    }

    /// Records the first tokens that came by now, and the stores' reports.
    fn advance(&mut self, now: u64) {
        self.pending.sort_by_key(|pending| pending.first_at);
        let due = self.pending.iter().take_while(|pending| pending.first_at <= now).count();
        for pending in self.pending.drain(..due) {
            let at = Moment(pending.first_at);
            self.work.started(&pending.work, at);
            self.work.note_finished(&pending.work, at);
            if let Some(fetch) = pending.fetch {
                self.links.arrived(&fetch, at);
            }
        }
        self.confirm_stores(now);
    }

    /// Records that the stores hold all shared parts.
    fn confirm_stores(&mut self, now: u64) {
        let stores = self.load.stores.len() as u64;
        for (index, store) in (0..).zip(&self.load.stores) {
            let held = |id: String, tokens: u64| {
                let (salt, id) = ("m0/1".into(), id.into());
                PartEvent::Stored(HeldPart { salt, id, tokens: TokenCount(tokens) })
            };
            let own = (0..SESSIONS).filter(|session| session % stores == index);
            let mut events: Vec<PartEvent> =
                own.map(|session| held(format!("s{session}"), PART_TOKENS[1])).collect();
            if index + 1 == stores {
                events.extend((0..3).map(|common| held(format!("c{common}"), PART_TOKENS[0])));
            }
            self.parts.note_events(store.address, 1, events, Moment(now));
        }
    }

    /// Chooses an engine for a prompt, records its load, and serves it.
    fn place_prompt(&mut self, number: u64, at: u64) -> SimulatedAnswer {
        let now = Moment(at);
        let prompt = prompt(session(number));
        let choice = self.choose(&prompt, number, now);
        for transfer in &choice.transfers {
            self.links.note(*transfer, 1.0, now);
        }
        let wait = choice.fetch.as_ref().map(|fetch| &fetch.wait);
        let wait = wait.filter(|wait| self.load.is_watched && !wait.stores.is_empty());
        let fetch = wait.map(|wait| self.links.begin(wait, now));
        let read_ms = choice.recompute.0 as f64 * 1_000.0 / PREFILL.0 as f64;
        let expected = ExpectedLoad {
            prompt: choice.recompute,
            memory: prompt.memory(),
            answer_ms: choice.expected_ms,
            service_ms: read_ms,
            priority: 1,
        };
        let work = self.work.begin(&choice.upstream, &expected, now);
        let (first_at, read) = self.serve(&choice, &prompt, at);
        self.pending.push(Pending { first_at, work, fetch });
        SimulatedAnswer { at, first_ms: first_at - at, recomputed_tokens: read - PART_TOKENS[2] }
    }

    /// Moment of the first token, and the number of tokens that the engine prefills for it.
    fn serve(&mut self, choice: &EngineChoice, prompt: &PromptShape, at: u64) -> (u64, u64) {
        let centre = self.upstreams.entry(&choice.upstream).unwrap().data_centre.clone();
        let mut ready_at = at as f64;
        let mut read = prompt.input.0;
        let sources = choice.fetch.as_ref().map(|fetch| fetch.sources.clone()).unwrap_or_default();
        for (part, source) in prompt.parts.iter().zip(sources) {
            let store = self.load.stores.iter().find(|store| Some(store.address) == source);
            let Some(store) = store else { break };
            let free = self.link_free.entry(store.address).or_insert(0.0);
            let begin = free.max(ready_at);
            if begin - ready_at > MAX_LINK_WAIT_MS {
                ready_at += MAX_LINK_WAIT_MS;
                break;
            }
            let (from, until, times) = self.load.slow;
            let is_slow = store.address == self.load.stores[0].address
                && (from as f64..until as f64).contains(&begin);
            let alone_ms = transfer_ms(store, part.tokens, engine_traits().token_bytes, &centre);
            *free = begin + if is_slow { alone_ms * times } else { alone_ms };
            ready_at = *free;
            read -= part.tokens.0;
        }
        let engine = self.engine_free.entry(choice.upstream.to_string()).or_insert(0.0);
        let begin = engine.max(ready_at);
        *engine = begin + read as f64 * 1_000.0 / PREFILL.0 as f64;
        ((*engine + FIXED_MS) as u64, read)
    }

    fn choose(&self, prompt: &PromptShape, number: u64, now: Moment) -> EngineChoice {
        let mut request = request(route("/llm/", "llm", RepeatRule::Stream));
        request.prompt = Some(prompt.clone());
        choose_engine(&EngineInput {
            request: &request,
            prompt,
            service: &"llm".parse().unwrap(),
            traits: &engine_traits(),
            stores: &self.load.stores,
            upstreams: &self.upstreams,
            work: &self.work,
            parts: &self.parts,
            links: &self.links,
            targets: &VersionTargets::default(),
            version_limits: VersionLimits { stretch_ms: 10_000, total_ms: 14_000 },
            prefill: PREFILL,
            speeds: &EngineSpeeds::default(),
            reports: &ReportTable::default(),
            fixed_ms: FIXED_MS,
            memory_fraction: 0.95,
            local_daemon: &"d1".parse().unwrap(),
            peers: &[],
            data_centre: &"east".parse().unwrap(),
            software: None,
            tried: &[],
            is_closed: &|_| false,
            now,
            draw: number,
        })
        .unwrap()
    }
}
