//! A small local deployment that is used once and tells what happened.

use crate::caller::{Caller, CallerAnswer, CallerCall, StreamedAnswer};
use crate::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ProgramPaths, ask, block_on, post_value, wait_until,
};
use crate::serve::AnyError;
use crate::service_server::ServiceStats;
use crate::store_server::StoreStats;

const PROMPT_LINES: usize = 250;

fn show_stream(deployment: &Deployment, title: &str, index: usize, answer: &StreamedAnswer) {
    println!("\n== {title}, at {}", deployment.daemons[index].name);
    println!("   text: {}", answer.text());
    println!("   first token after {:.0} ms; usage: {}", answer.first_ms, answer.usage);
    let lines = deployment.operate_ok(index, &["explain", &answer.request]);
    if let Ok(shown) = lines {
        println!("   decision: {}", shown["decisions"][0]["decision"]);
    }
}

fn show_call(title: &str, answer: &CallerAnswer) {
    println!("\n== {title}");
    println!("   {} {}: {}", answer.status, answer.outcome, answer.body);
}

fn stream(deployment: &Deployment, index: usize, prompt: &str) -> Result<StreamedAnswer, AnyError> {
    let address = deployment.daemons[index].callers;
    block_on(Caller::of("acme").stream(address, prompt, 8, usize::MAX))?
}

fn submit(
    deployment: &Deployment,
    index: usize,
    key: &str,
    attempt: u32,
) -> Result<CallerAnswer, AnyError> {
    let call = CallerCall {
        service: "board".into(),
        method: "POST".parse()?,
        path: "submit".into(),
        key: Some(key.into()),
        attempt: Some(attempt),
        body: "{\"answer\":\"guava\"}".into(),
    };
    block_on(Caller::of("acme").call(deployment.daemons[index].callers, &call))?
}

fn runs(deployment: &Deployment) -> Result<u32, AnyError> {
    let mut total = 0;
    for name in ["board-0", "board-1"] {
        total += ask::<ServiceStats>(deployment.servers[name], "/stats")?.total;
    }
    Ok(total)
}

/// Runs the demonstration.
pub fn run_demo(paths: ProgramPaths) -> Result<(), AnyError> {
    let engine = EnginePlan { prefill: 10_000, ..EnginePlan::default() };
    let plan = DeploymentPlan { engines: vec![engine; 2], ..DeploymentPlan::default() };
    println!("starting stand-ins and three daemons in three data centres ...");
    let deployment = Deployment::start(paths, plan)?;
    let prompt = "The cellar held eight degrees all night long. ".repeat(PROMPT_LINES);

    let first = stream(&deployment, 0, &prompt)?;
    show_stream(&deployment, "a long prompt for the first time", 0, &first);

    wait_until("the prompt is in a store", || {
        ask::<StoreStats>(deployment.servers["store-0"], "/stats").is_ok_and(|s| s.writes > 0)
    });
    for name in ["engine-0", "engine-1"] {
        post_value(deployment.servers[name], "/evict", &())?;
    }
    let back = stream(&deployment, 1, &prompt)?;
    show_stream(&deployment, "the same prompt after its cache was evicted", 1, &back);

    let key = uuid::Uuid::now_v7().to_string();
    show_call("a non-idempotent call, at entry-0", &submit(&deployment, 0, &key, 1)?);
    show_call("its repeat, at entry-2", &submit(&deployment, 2, &key, 2)?);
    println!("   runs counted at the service: {}", runs(&deployment)?);

    let weights = ["weights", "--first-token", "2", "--recompute", "10", "--link", "10"];
    let change = deployment.operate_ok(
        1,
        &["--operator", "ann", "weights"].iter().chain(&weights[1..]).copied().collect::<Vec<_>>(),
    )?;
    println!("\n== a configuration change, at entry-1\n   {}", change["change"][0]);

    println!("\n== decision lines in the daemons' logs");
    for daemon in &deployment.daemons {
        let log = deployment.log_of(&daemon.name);
        let decisions = log.lines().filter(|line| {
            ["\"G4001\"", "\"G4101\"", "\"G4102\"", "\"G6001\""]
                .iter()
                .any(|code| line.contains(code))
        });
        decisions.for_each(|line| println!("   {}: {line}", daemon.name));
    }
    Ok(())
}
