//! The scenarios.

use crate::callers::{Answer, Callers, HOST, KEY, MODEL};
use crate::daemons::Daemon;
use crate::http::{Connection, Random};
use crate::kv_store::KvStore;
use crate::record::Record;
use crate::servers::{Server, Service, runs_by_request};
use crate::store::Store;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How a scenario is run.
pub struct Run {
    pub program: PathBuf,
    pub record_path: PathBuf,
    pub trouble: bool,
}

const ZONES: [&str; 3] = ["holesovice", "karlin", "smichov"];

/// A small deployment: the store, 18 engines, 3 instances of a plain service, and daemons.
struct Deployment {
    store: Store,
    engines: Vec<Server>,
    daemons: Vec<Daemon>,
    record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn config(version: u64, kv_stores: &[KvStore]) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, slo: u64, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"sloMs\":{slo},\"service\":\"{service}\",\
             \"public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "verify",
            "streaming",
            "llm",
            6_000,
            800,
            "\"priority\":1,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400",
        ),
        route(
            "draft",
            "streaming",
            "llm",
            4_000,
            400,
            "\"priority\":0,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400",
        ),
        route("submit", "non_idempotent", "app", 600, 100, "\"priority\":2,\"maxAttempts\":1"),
        route("ask", "idempotent", "app", 600, 100, "\"priority\":2,\"maxAttempts\":2"),
    ];
    let store = |(number, store): (usize, &KvStore)| {
        let (name, tokens, mbps, first) = match number % 2 {
            0 => ("packet-cache", 206_916, 57_000.0, 0.5),
            _ => ("hint-cache", 658_370, 36_000.0, 6.0),
        };
        let (address, zone) = (store.address, ZONES[number / 2 % 3]);
        format!(
            "{{\"name\":\"{name}-{number}\",\"kvStoreAddr\":\"{address}\",\"zone\":\"{zone}\",\
             \"kvCapacityTokens\":{tokens},\"linkMbps\":{mbps:.1},\"maxConcurrent\":12,\
             \"managed\":true,\"first_ms\":{first:.1}}},"
        )
    };
    let stores: String = kv_stores.iter().enumerate().map(store).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{stores}\
         {{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":67711,\"kvTokenBytes\":18432,\
         \"linkMbps\":370000.0,\"moves\":true,\"backups\":true,\"managed\":true,\"stride\":7,\
         \"maxConcurrent\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
         {{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\
         \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

impl Deployment {
    fn start(run: &Run, daemons: usize) -> Result<Self, String> {
        let record = Record::new();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::default();
        let address = store.start();
        let kv_stores: Arc<Vec<KvStore>> = Arc::new((0..6).map(KvStore::start).collect());
        store.put("keyed.op", "config", &config(1, &kv_stores));
        let llm = Service {
            name: "llm".into(),
            model: Some(MODEL.into()),
            loads: Arc::default(),
            kv_stores,
        };
        let app = Service { name: "app".into(), model: None, ..llm.clone() };
        let start = |name: &str, count: usize, service: &Service| -> Vec<Server> {
            let server = |number| {
                let id = format!("i-{name}{number:02}");
                Server::start(&id, ZONES[number % 3], service, &store, &record)
            };
            (0..count).map(server).collect()
        };
        let engines = start("engine", 18, &llm);
        let _plain = start("app", 3, &app);
        let mut random = Random(u64::from(std::process::id()));
        let mut deployment =
            Self { store, engines, daemons: Vec::new(), record, folder: folder.clone() };
        for number in 0..daemons {
            let zone = ZONES[number % 3];
            let name = format!("edge-{zone}-{}", number / 3 + 1);
            let daemon = Daemon::start(&run.program, &folder, (&name, zone), address, &mut random);
            deployment.daemons.push(daemon.map_err(|error| error.to_string())?);
        }
        deployment.await_ready()?;
        Ok(deployment)
    }

    /// Waits until all daemons say that they are ready.
    fn await_ready(&self) -> Result<(), String> {
        let limit = Instant::now() + Duration::from_secs(15);
        for daemon in &self.daemons {
            while !is_ready(daemon.ports.ready) {
                if Instant::now() > limit {
                    return Err(format!("{} does not get ready:\n{}", daemon.name, daemon.log()));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn directories(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.ports.directory).collect()
    }

    fn publish(&self, version: u64) {
        self.record.line(&format!("operator names version {version}"));
        let key = format!("version/{MODEL}");
        let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        self.store.put("keyed.op", &key, &value);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let asked = Connection::open(address, Duration::from_secs(1))
        .and_then(|mut connection| connection.ask(request.as_bytes()));
    asked.is_ok_and(|(head, _)| head.status() == 200)
}

fn seconds(count: f64) {
    thread::sleep(Duration::from_secs_f64(count));
}

fn summary(answers: &[Answer]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for answer in answers {
        *counts.entry((answer.kind.name(), answer.status)).or_insert(0) += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|((kind, status), count)| format!("{kind} {status}: {count}")).collect();
    counts.join(", ")
}

/// Weights are named again and again, and meanwhile some servers send a few answers twice, the second
/// time late: MIXED.
pub fn extra_answers(run: &Run) -> Result<bool, String> {
    // The largest dose of the site's `garble`, how = "extra late". It comes once with each version.
    const SERVERS: f64 = 0.6;
    const ANSWERS: f64 = 0.03;
    const FOR_S: f64 = 5.0;
    const ROUNDS: u64 = 8;
    const PAUSE_S: f64 = 2.0;
    let deployment = Deployment::start(run, 8)?;
    let record = deployment.record.clone();
    let callers = Callers::start(deployment.directories(), &record);
    let mut random = Random(u64::from(std::process::id()));
    seconds(3.0);
    for round in 1..=ROUNDS {
        deployment.publish(round + 1);
        seconds(PAUSE_S);
        let mut engines: Vec<&Server> = deployment.engines.iter().collect();
        let faulty = (engines.len() as f64 * SERVERS) as usize;
        for _ in 0..faulty {
            let engine = engines.swap_remove(random.below(engines.len()));
            engine.set_extra(if run.trouble { ANSWERS } else { 0.0 });
        }
        seconds(FOR_S);
        deployment.engines.iter().for_each(|engine| engine.set_extra(0.0));
    }
    seconds(1.0);
    let answers = callers.stop();
    let versions: Vec<u64> = deployment.engines.iter().map(Server::version).collect();
    let lines = record.lines();
    let extras: u64 = deployment.engines.iter().map(|engine| engine.extra().extras).sum();
    let of: u64 = deployment.engines.iter().map(|engine| engine.extra().answers).sum();
    let runs = runs_by_request(&lines);
    let wrong: Vec<&Answer> = answers.iter().filter(|answer| answer.wrong.is_some()).collect();
    let twice =
        answers.iter().filter(|it| it.kind.runs_once() && runs.get(&it.id) > Some(&1)).count();
    let mut verdict = format!(
        "MIXED broken {} times ({} answers; {}; of {of} answers of faulty engines {extras} were sent twice; \
         ran twice against the rule: {twice}; versions {versions:?})",
        wrong.len(),
        answers.len(),
        summary(&answers)
    );
    for answer in &wrong {
        let wrong = answer.wrong.as_deref().unwrap_or_default();
        verdict.push_str(&format!("\n  {} {}: {wrong}", answer.kind.name(), answer.id));
    }
    println!("{verdict}");
    record.write(&run.record_path, &verdict);
    Ok(!wrong.is_empty())
}
