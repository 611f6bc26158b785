//! The engines among which one is chosen for a prompt.
//!
//! All engines of a small service are candidates. In a large service, a choice among all of them
//! would take longer the more there are, so each daemon considers a subset: engines of its own data
//! centre from its own place on the hash ring on, and the homes of the prompt's longest shared part.
//! The places of the daemons are spread evenly, so every engine is in the subsets of some, and a
//! changed number of engines or daemons moves few of them.
//!
//! The homes of a part are the engines that follow its own place on the ring. All daemons agree on
//! them without messages, so that prompts that share a part meet at an engine that holds it.

use crate::parts::part_transfers::shared_parts;
use crate::request::accepted_request::PromptPart;
use crate::request::engine_input::EngineInput;
use crate::upstreams::service_rings::RingPosition;
use crate::upstreams::upstream_table::{MAX_CANDIDATES, UpstreamEntry};
use guava_types::{FastSet, TokenCount, UpstreamId};

/// Homes of a shared part: the engine that should hold it, and the next one, which takes over when
/// the first is busy or gone.
const PART_HOMES: usize = 2;
/// Shortest shared part that has homes, in tokens: the time saved on shorter ones is less than the
/// round trip to another data centre.
const MIN_HOMED_TOKENS: u64 = 1_000;

/// The candidates for one prompt.
pub(crate) struct EngineSubset<'a> {
    /// The engines, each once.
    pub(crate) entries: Vec<&'a UpstreamEntry>,
    /// First home of the prompt's longest shared part; `None` in a small service.
    home: Option<&'a UpstreamId>,
    homed: Option<&'a PromptPart>,
}

impl<'a> EngineSubset<'a> {
    /// The candidates for a prompt; not all of them may take it now.
    pub(crate) fn new(input: &EngineInput<'a>) -> Self {
        let (upstreams, service, now) = (input.upstreams, input.service, input.now);
        if let Some(software) = input.software {
            let entries = upstreams.candidates_of(service, software, input.local_daemon, now);
            return Self { entries, home: None, homed: None };
        }
        let own = upstreams.candidates(service, input.local_daemon, input.data_centre, now);
        if upstreams.service_count(service) <= MAX_CANDIDATES {
            return Self { entries: own, home: None, homed: None };
        }
        let homed = homed_part(input);
        let homes: Vec<&UpstreamEntry> = homed
            .map(|part| RingPosition::of(&part.id))
            .map(|place| upstreams.serving_from(service, place, now).take(PART_HOMES).collect())
            .unwrap_or_default();
        let home = homes.first().map(|entry| &entry.id);
        let mut seen = FastSet::default();
        let mut entries: Vec<&UpstreamEntry> = homes.into_iter().chain(own).collect();
        entries.retain(|entry| seen.insert(&entry.id));
        Self { entries, home, homed }
    }

    /// Milliseconds by which the first token is expected earlier at the home of the longest shared
    /// part than at an engine that is not known to hold it; 0 for the home itself.
    pub(crate) fn away_ms(
        &self,
        input: &EngineInput<'_>,
        engine: &UpstreamId,
        resident: TokenCount,
    ) -> f64 {
        let Some(part) = self.homed.filter(|part| resident < part.tokens) else { return 0.0 };
        if self.home.is_none_or(|home| home == engine) {
            return 0.0;
        }
        part.tokens.0 as f64 * 1_000.0 / input.prefill_of(engine).0.max(1) as f64
    }

    /// Whether the chosen engine is the home of a part that it is not known to hold. How long it
    /// reads the prompt then says nothing of its speed.
    pub(crate) fn is_guess(&self, engine: &UpstreamId, resident: TokenCount) -> bool {
        self.home == Some(engine) && self.homed.is_some_and(|part| resident < part.tokens)
    }
}

/// The longest shared part, if it is long enough to have homes.
fn homed_part<'a>(input: &EngineInput<'a>) -> Option<&'a PromptPart> {
    let longest = shared_parts(input.prompt).iter().max_by_key(|part| part.tokens);
    longest.filter(|part| part.tokens.0 >= MIN_HOMED_TOKENS)
}
