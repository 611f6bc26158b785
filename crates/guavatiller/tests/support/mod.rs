//! Fixtures of the tests with real processes.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_standins::caller::{Caller, CallerAnswer, CallerCall, StreamedAnswer};
use guava_standins::deployment::{
    Deployment, DeploymentPlan, ProgramPaths, ask, block_on, post_value,
};
use guava_standins::engine_server::{EngineStats, expected_chunk};
use guava_standins::service_server::ServiceStats;
use std::net::SocketAddr;
use std::path::Path;

/// Starts a deployment.
pub fn deploy(plan: DeploymentPlan) -> Deployment {
    let paths = ProgramPaths::in_folder_of(Path::new(env!("CARGO_BIN_EXE_guavatiller")));
    Deployment::start(paths, plan).unwrap()
}

/// Starts the usual deployment: three daemons, two engines, two service instances, one store.
pub fn deploy_default() -> Deployment {
    deploy(DeploymentPlan::default())
}

/// A fresh logged key.
pub fn fresh_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// A non-idempotent submission to the service.
pub fn submission(key: &str, attempt: Option<u32>) -> CallerCall {
    CallerCall {
        service: "board".into(),
        method: "POST".parse().unwrap(),
        path: "submit".into(),
        key: Some(key.into()),
        attempt,
        body: "{\"answer\":\"guava\"}".into(),
    }
}

/// Makes a call as a customer.
pub fn call(address: SocketAddr, call: &CallerCall) -> CallerAnswer {
    block_on(Caller::of("acme").call(address, call)).unwrap().unwrap()
}

/// Makes a call that may fail on the way.
pub fn try_call(address: SocketAddr, call: &CallerCall, timeout_ms: u64) -> Option<CallerAnswer> {
    block_on(Caller::of("acme").with_timeout(timeout_ms).call(address, call)).unwrap().ok()
}

/// Streams a completion.
pub fn stream(address: SocketAddr, prompt: &str, max_tokens: u32) -> StreamedAnswer {
    stream_as("acme", address, prompt, max_tokens)
}

/// Streams a completion as a customer.
pub fn stream_as(
    customer: &str,
    address: SocketAddr,
    prompt: &str,
    max_tokens: u32,
) -> StreamedAnswer {
    block_on(Caller::of(customer).stream(address, prompt, max_tokens, usize::MAX)).unwrap().unwrap()
}

/// What an engine generates for a prompt.
pub fn expected_text(version: &str, prompt: &str, max_tokens: u32) -> String {
    (0..u64::from(max_tokens)).map(|at| expected_chunk(version, prompt, at).to_string()).collect()
}

/// Runs of a key at all instances of the service.
pub fn runs_of(deployment: &Deployment, customer: &str, key: &str) -> u32 {
    let name: Box<str> = format!("{customer}/{key}").into();
    let instances = deployment.servers.iter().filter(|(server, _)| server.starts_with("board-"));
    instances
        .map(|(_, address)| ask::<ServiceStats>(*address, "/stats").unwrap())
        .map(|stats| stats.runs.get(&name).copied().unwrap_or(0))
        .sum()
}

/// Counters of all engines.
pub fn engine_stats(deployment: &Deployment) -> Vec<EngineStats> {
    let engines = deployment.servers.iter().filter(|(server, _)| server.starts_with("engine-"));
    engines.map(|(_, address)| ask::<EngineStats>(*address, "/stats").unwrap()).collect()
}

/// A prompt of about so many tokens, different for each seed.
pub fn long_prompt(seed: &str, tokens: usize) -> String {
    let line = format!("packet {seed} says: the cellar held eight degrees all night long. ");
    line.repeat(tokens * 4 / line.len() + 1)
}

/// The address of a stand-in itself, past its proxy.
pub fn server(deployment: &Deployment, name: &str) -> SocketAddr {
    deployment.servers[name]
}

/// Sets what goes wrong at a stand-in.
pub fn set_fault(deployment: &Deployment, name: &str, faults: &serde_json::Value) {
    post_value(server(deployment, name), "/fault", faults).unwrap();
}

/// Sets what goes wrong at all stand-ins whose name starts so.
pub fn set_faults(deployment: &Deployment, prefix: &str, faults: &serde_json::Value) {
    let names = deployment.servers.keys().filter(|name| name.starts_with(prefix));
    names.for_each(|name| set_fault(deployment, name, faults));
}

/// Keys held by intents, as a daemon sees it.
pub fn held_keys(deployment: &Deployment, index: usize) -> u64 {
    let status = deployment.operate_ok(index, &["status"]).unwrap();
    status["seen_by"][0]["held_keys"].as_u64().unwrap()
}

/// The value of an object, as a daemon sees it, with its revision.
pub fn object(deployment: &Deployment, index: usize, name: &str) -> (u64, String) {
    let shown = deployment.operate_ok(index, &["get", name]).unwrap();
    let row = &shown["objects"][0];
    (row["revision"].as_u64().unwrap(), row["value"].as_str().unwrap().to_owned())
}
