//! Baselines: simple ways to choose an engine, straight from the load program, without daemons.

use crate::engine_server::block_hashes;
use guava_outside::{
    AttemptLedger, CompletionOrder, EngineClient, EngineReport, EngineStream, HttpError, get_json,
};
use guava_types::{Deadline, Moment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const REPORT_EVERY_MS: u64 = 250;
const REPORT_MS: u64 = 1_000;

/// How a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Any engine.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the least load in its last report.
    LeastReported,
    /// The one that the prompt's first block hashes to.
    Affinity,
}

/// A baseline and what it knows.
#[derive(Clone)]
pub struct BaselineRouter {
    kind: BaselineKind,
    engines: Vec<SocketAddr>,
    reports: Rc<RefCell<Vec<EngineReport>>>,
    turn: Rc<RefCell<usize>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
}

impl BaselineRouter {
    /// A baseline over these engines; must be called inside a local task set.
    pub fn start(kind: BaselineKind, engines: Vec<SocketAddr>, seed: u64) -> Self {
        let router = Self {
            kind,
            reports: Rc::new(RefCell::new(vec![EngineReport::default(); engines.len()])),
            engines,
            turn: Rc::default(),
            rng: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
        };
        if kind == BaselineKind::LeastReported {
            for (index, address) in router.engines.iter().copied().enumerate() {
                tokio::task::spawn_local(poll(address, index, Rc::clone(&router.reports)));
            }
        }
        router
    }

    fn choose(&self, salt: &str, prompt: &str) -> usize {
        let count = self.engines.len();
        match self.kind {
            BaselineKind::Random => self.rng.borrow_mut().random_range(0..count),
            BaselineKind::RoundRobin => {
                let mut turn = self.turn.borrow_mut();
                *turn += 1;
                *turn % count
            }
            BaselineKind::LeastReported => {
                let reports = self.reports.borrow();
                let load = |index: &usize| (reports[*index].queued_tokens, reports[*index].running);
                (0..count).min_by_key(load).unwrap_or(0)
            }
            BaselineKind::Affinity => {
                let head = prompt.get(..256).unwrap_or(prompt);
                let hashes = block_hashes(salt, head);
                let hash = hashes.first().map_or(0, |hash| {
                    usize::from_str_radix(hash.get(..8).unwrap_or("0"), 16).unwrap_or(0)
                });
                hash % count
            }
        }
    }

    /// Starts a run at the chosen engine.
    pub async fn start_run(
        &self,
        customer: &str,
        prompt: &str,
        max_tokens: u32,
        deadline: Deadline,
    ) -> Result<EngineStream, HttpError> {
        let salt = blake3::hash(customer.as_bytes()).to_hex();
        let address = self.engines[self.choose(&salt, prompt)];
        let name = |text: &str| text.parse().map_err(|_| HttpError::TooLarge { limit: 0 });
        let client = EngineClient {
            upstream: "baseline".parse().map_err(|_| HttpError::TooLarge { limit: 0 })?,
            address,
        };
        let order = CompletionOrder {
            request: "baseline".into(),
            model: name("hints")?,
            version: "v1".parse().map_err(|_| HttpError::TooLarge { limit: 0 })?,
            prompt: prompt.into(),
            max_tokens,
            priority: 0,
            cache_salt: salt.as_str().into(),
            import: None,
            parameters: serde_json::Map::new(),
        };
        // A ledger for one run has its permission at hand.
        let permit = AttemptLedger::new(1).permit().ok_or(HttpError::TooLarge { limit: 0 })?;
        client.complete(permit, &order, deadline).await.map_err(|failed| failed.error)
    }
}

async fn poll(address: SocketAddr, index: usize, reports: Rc<RefCell<Vec<EngineReport>>>) {
    loop {
        let asked = get_json(address, "/report", Deadline::after(Moment::now(), REPORT_MS)).await;
        if let Ok(report) = asked {
            reports.borrow_mut()[index] = report;
        }
        sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
    }
}
