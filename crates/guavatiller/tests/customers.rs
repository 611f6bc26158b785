//! One customer's requests, cache and answers never reach another customer.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::Caller;
use guava_standins::deployment::{
    Deployment, DeploymentPlan, EnginePlan, block_on, post_value, wait_until,
};
use guava_standins::store_server::StoreStats;
use support::{deploy, engine_stats, expected_text, long_prompt, server, stream, stream_as};

fn deploy_two_customers() -> Deployment {
    let engine = EnginePlan { cache_tokens: 100_000, ..EnginePlan::default() };
    let plan = DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() };
    let deployment = deploy(plan);
    deployment.add_customer("bolt", 1_000, 100).unwrap();
    deployment
}

fn cached(answer: &guava_standins::caller::StreamedAnswer) -> u64 {
    answer.usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

fn wait_exported(deployment: &Deployment, writes: u64) {
    wait_until("the prompt is in the store", || {
        let stats: StoreStats =
            guava_standins::deployment::ask(server(deployment, "store-0"), "/stats").unwrap();
        stats.writes >= writes
    });
}

#[test]
fn same_prompt_of_two_customers_shares_no_cache() {
    // Symptom: a customer learns from speed, or from content, what another has sent.
    // Sequence: two customers send the same long prompt; the first one's is cached in the engine
    // and in the store; the engine's cache is then emptied.
    // Cause: the cache is looked up by the prompt alone.
    let deployment = deploy_two_customers();
    let prompt = long_prompt("shared", 2_000);
    assert!(stream(deployment.daemons[0].callers, &prompt, 2).done);
    wait_exported(&deployment, 1);

    let own = stream(deployment.daemons[1].callers, &prompt, 2);
    let other = stream_as("bolt", deployment.daemons[1].callers, &prompt, 2);
    post_value(server(&deployment, "engine-0"), "/evict", &()).unwrap();
    let other_late =
        stream_as("bolt", deployment.daemons[2].callers, &long_prompt("shared", 2_000), 2);

    assert!(cached(&own) > 1_900, "{own:?}");
    assert_eq!(cached(&other), 0, "{other:?}");
    assert!(other_late.done);
    let stats = engine_stats(&deployment);
    assert!(stats.iter().all(|engine| engine.wrong_blocks == 0));
}

#[test]
fn stream_of_another_customer_can_not_be_read() {
    // Symptom: a customer reads another's answer.
    // Sequence: a customer resumes with an event id that it got hold of, or made up.
    // Cause: an event id is proof enough.
    let deployment = deploy_two_customers();
    let owner = Caller::of("acme");
    let first = owner.stream(deployment.daemons[0].callers, "a secret packet", 20, 3);
    let first = block_on(first).unwrap().unwrap();
    let forged = first.last_id.replace("~2~", "~0~");

    let other =
        Caller::of("bolt").resume(deployment.daemons[0].callers, &first.last_id).await_now();
    let made_up = owner.resume(deployment.daemons[0].callers, &forged).await_now();
    let own = owner.resume(deployment.daemons[1].callers, &first.last_id).await_now();

    assert_eq!((other.status, other.texts.len()), (400, 0), "{other:?}");
    assert_eq!((made_up.status, made_up.texts.len()), (400, 0), "{made_up:?}");
    let whole = first.text() + &own.text();
    assert_eq!(whole, expected_text("v1", "a secret packet", 20));
}

/// Runs a future of the caller to its end.
trait AwaitNow<T> {
    fn await_now(self) -> T;
}

impl<T, E: std::fmt::Debug, F: Future<Output = Result<T, E>>> AwaitNow<T> for F {
    fn await_now(self) -> T {
        block_on(self).unwrap().unwrap()
    }
}

#[test]
fn unknown_key_and_deleted_customer_are_refused() {
    // Symptom: a customer that was deleted is still served.
    // Sequence: an operator deletes a customer at one daemon; its key is used at another.
    // Cause: keys are cached beyond the change.
    let deployment = deploy_two_customers();
    let before = stream_as("bolt", deployment.daemons[2].callers, "a packet", 2);
    let line = deployment.operate_ok(0, &["delete", "customer/bolt"]).unwrap();

    let after = stream_as("bolt", deployment.daemons[2].callers, "a packet", 2);
    let unknown = stream_as("nobody", deployment.daemons[1].callers, "a packet", 2);

    assert!(before.done);
    assert_eq!(line["change"][0]["missing"], serde_json::json!([]));
    assert_eq!((after.status, after.outcome.as_str()), (401, "not-run"));
    assert_eq!((unknown.status, unknown.outcome.as_str()), (401, "not-run"));
}

#[test]
fn one_customer_can_not_use_up_anothers_share() {
    // Symptom: a small customer is refused while a large one floods the system.
    // Sequence: a customer sends far more than its limits; another sends one request at a time.
    // Cause: the queue is one for all.
    let deployment = deploy_two_customers();
    deployment.add_customer("flood", 1_000, 6).unwrap();
    let address = deployment.daemons[0].callers;
    let flood: Vec<_> = (0..24)
        .map(|index| {
            std::thread::spawn(move || {
                stream_as("flood", address, &long_prompt(&format!("f{index}"), 500), 20)
            })
        })
        .collect();

    let small: Vec<_> =
        (0..5).map(|index| stream_as("bolt", address, &format!("question {index}"), 2)).collect();
    let flood: Vec<_> = flood.into_iter().map(|thread| thread.join().unwrap()).collect();

    assert!(small.iter().all(|answer| answer.done), "{small:?}");
    let refused = flood.iter().filter(|answer| answer.status == 429).count();
    assert!(refused > 0);
    let honest = |answer: &&guava_standins::caller::StreamedAnswer| answer.after_ms.is_some();
    assert_eq!(flood.iter().filter(|a| a.status == 429).filter(honest).count(), refused);
}
