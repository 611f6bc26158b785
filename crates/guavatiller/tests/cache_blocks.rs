//! A cache block that has been freed or is only partly written is never read.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::StreamedAnswer;
use guava_standins::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ask, post_value, wait_until,
};
use guava_standins::store_server::StoreStats;
use serde_json::json;
use support::{deploy, engine_stats, expected_text, long_prompt, server, set_fault, stream};

const PROMPT_TOKENS: usize = 4_000;

/// One slow engine with a small cache, and a store.
fn deploy_store(capacity: u64) -> Deployment {
    let engine = EnginePlan { prefill: 10_000, cache_tokens: 6_000, ..EnginePlan::default() };
    let plan = DeploymentPlan {
        engines: vec![engine],
        store_capacity: capacity,
        ..DeploymentPlan::default()
    };
    deploy(plan)
}

fn store(deployment: &Deployment) -> StoreStats {
    ask(server(deployment, "store-0"), "/stats").unwrap()
}

fn evict(deployment: &Deployment) {
    post_value(server(deployment, "engine-0"), "/evict", &()).unwrap();
}

fn details(answer: &StreamedAnswer, field: &str) -> u64 {
    answer.usage["prompt_tokens_details"][field].as_u64().unwrap()
}

/// Sends a prompt and waits until it is entered in the index.
fn send_and_export(deployment: &Deployment, prompt: &str) {
    let before = exported(deployment);
    assert!(stream(deployment.daemons[0].callers, prompt, 2).done);
    wait_until("the prompt is exported", || exported(deployment) > before);
}

fn exported(deployment: &Deployment) -> usize {
    let logs = (0..3).map(|index| deployment.log_of(&format!("entry-{index}")));
    logs.map(|log| log.matches("\"G6001\"").count()).sum()
}

fn log_count(deployment: &Deployment, event: &str) -> usize {
    let logs = (0..3).map(|index| deployment.log_of(&format!("entry-{index}")));
    logs.map(|log| log.matches(event).count()).sum()
}

fn assert_whole(deployment: &Deployment, answer: &StreamedAnswer, prompt: &str) {
    assert!(answer.done, "{answer:?}");
    assert_eq!(answer.text(), expected_text("v1", prompt, 2));
    let stats = engine_stats(deployment);
    assert!(stats.iter().all(|engine| engine.wrong_blocks == 0));
}

#[test]
fn prompt_comes_back_after_eviction_and_is_imported() {
    // Symptom: a long prompt is computed anew at each return.
    // Sequence: a prompt is answered, evicted from the engine, and comes back.
    // Cause: nobody kept it, or nobody finds it.
    let deployment = deploy_store(200_000_000);
    let prompt = long_prompt("return", PROMPT_TOKENS);
    send_and_export(&deployment, &prompt);
    evict(&deployment);

    let back = stream(deployment.daemons[2].callers, &prompt, 2);

    assert_whole(&deployment, &back, &prompt);
    assert!(details(&back, "imported_tokens") > 3_800, "{back:?}");
}

#[test]
fn store_keeps_half_of_a_write() {
    // Symptom: a prompt is answered from half a block.
    // Sequence: the store loses half of a write and calls it whole.
    // Cause: the index takes the store's word.
    let deployment = deploy_store(200_000_000);
    set_fault(&deployment, "store-0", &json!({ "half_writes": true, "serve_unsealed": true }));
    let prompt = long_prompt("half", PROMPT_TOKENS);
    assert!(stream(deployment.daemons[0].callers, &prompt, 2).done);
    wait_until("the export has failed", || log_count(&deployment, "\"G6003\"") == 1);
    evict(&deployment);

    let back = stream(deployment.daemons[1].callers, &prompt, 2);

    assert_whole(&deployment, &back, &prompt);
    assert_eq!(details(&back, "imported_tokens"), 0);
    assert_eq!(exported(&deployment), 0);
}

#[test]
fn store_is_killed_in_a_write() {
    // Symptom: a prompt is answered from a block that was never whole.
    // Sequence: the store dies while a block is being written, and comes back empty.
    // Cause: the block is entered when its write begins.
    let engine = EnginePlan { prefill: 10_000, cache_tokens: 6_000, ..EnginePlan::default() };
    let plan = DeploymentPlan {
        engines: vec![engine],
        link: 400_000,
        weights: [1, 10, 0],
        ..DeploymentPlan::default()
    };
    let mut deployment = deploy(plan);
    let prompt = long_prompt("killed", PROMPT_TOKENS);
    assert!(stream(deployment.daemons[0].callers, &prompt, 2).done);
    wait_until("the write is under way", || store(&deployment).blocks == 1);
    deployment.kill("store-0");
    deployment.restart_standin("store-0").unwrap();
    wait_until("the export has failed", || log_count(&deployment, "\"G6003\"") == 1);
    evict(&deployment);

    let back = stream(deployment.daemons[1].callers, &prompt, 2);

    assert_whole(&deployment, &back, &prompt);
    assert_eq!(details(&back, "imported_tokens"), 0);
}

#[test]
fn store_loses_a_block_that_the_index_still_offers() {
    // Symptom: a request fails, or waits, for a block that is gone.
    // Sequence: the store dies and comes back empty; the prompt comes back at once.
    // Cause: the index is taken for the truth.
    let mut deployment = deploy_store(200_000_000);
    let prompt = long_prompt("lost", PROMPT_TOKENS);
    send_and_export(&deployment, &prompt);
    deployment.kill("store-0");
    deployment.restart_standin("store-0").unwrap();
    evict(&deployment);

    let back = stream(deployment.daemons[2].callers, &prompt, 2);

    assert_whole(&deployment, &back, &prompt);
}

#[test]
fn store_reuses_the_slot_of_a_freed_block() {
    // Symptom: a prompt is answered from another prompt's block.
    // Sequence: a block is freed behind the index's back; the store gives its slot to another
    // block and still finds the slot by the old key; the first prompt comes back.
    // Cause: the reader takes whatever the key leads to.
    let deployment = deploy_store(200_000_000);
    set_fault(&deployment, "store-0", &json!({ "reuse_slots": true }));
    let first = long_prompt("first", PROMPT_TOKENS);
    send_and_export(&deployment, &first);
    let client = guava_outside::StoreClient { address: server(&deployment, "store-0") };
    let freeing = client.free_all("", guava_types::Deadline::in_millis(5_000));
    guava_standins::deployment::block_on(freeing).unwrap().unwrap();
    send_and_export(&deployment, &long_prompt("other", PROMPT_TOKENS));
    evict(&deployment);

    let back = stream(deployment.daemons[1].callers, &first, 2);

    assert_whole(&deployment, &back, &first);
    assert_eq!(details(&back, "imported_tokens"), 0, "{back:?}");
    assert_eq!(engine_stats(&deployment)[0].rejected_imports, 1);
}

#[test]
fn full_store_costs_no_request() {
    // Symptom: requests fail when a store has no room.
    // Sequence: the store refuses every write.
    // Cause: the export is part of the request.
    let deployment = deploy_store(200_000_000);
    set_fault(&deployment, "store-0", &json!({ "full": true }));
    let prompt = long_prompt("full", PROMPT_TOKENS);

    let answers = [0, 1, 2].map(|index| stream(deployment.daemons[index].callers, &prompt, 2));

    answers.iter().for_each(|answer| assert_whole(&deployment, answer, &prompt));
    assert_eq!(exported(&deployment), 0);
}

#[test]
fn owner_is_frozen_and_thawed() {
    // Symptom: a block is freed under a reader, or read after its free.
    // Sequence: the owner of a prompt's entries is frozen past all its grants while the prompt
    // comes back elsewhere, and is then thawed.
    // Cause: the owner counts its grants by a clock that stood still.
    let mut deployment = deploy_store(200_000_000);
    let prompt = long_prompt("frozen", PROMPT_TOKENS);
    send_and_export(&deployment, &prompt);
    let owner = (0..3)
        .find(|index| deployment.log_of(&format!("entry-{index}")).contains("\"G6001\""))
        .unwrap();
    let name = format!("entry-{owner}");
    deployment.freeze(&name);
    evict(&deployment);

    let other = (owner + 1) % 3;
    let meanwhile = stream(deployment.daemons[other].callers, &prompt, 2);
    evict(&deployment);
    deployment.thaw(&name);
    deployment.wait_ready(owner);
    let after = stream(deployment.daemons[other].callers, &prompt, 2);

    assert_whole(&deployment, &meanwhile, &prompt);
    assert_whole(&deployment, &after, &prompt);
}

#[test]
fn owner_leaves_in_order_and_its_blocks_stay() {
    // Symptom: each ordinary replacement of a daemon costs a recompute of all prompts it owned.
    // Sequence: a prompt is exported; its owner is shut down in order; the prompt comes back after
    // its eviction.
    // Cause: the index entry went with the owner, though the block is still in the store.
    let mut deployment = deploy_store(200_000_000);
    let prompt = long_prompt("kept", PROMPT_TOKENS);
    send_and_export(&deployment, &prompt);
    let owner = (0..3)
        .find(|index| deployment.log_of(&format!("entry-{index}")).contains("\"G6001\""))
        .unwrap();
    let name = format!("entry-{owner}");
    deployment.terminate(&name);
    wait_until("the owner has ended", || deployment.has_ended(&name));
    evict(&deployment);

    let back = stream(deployment.daemons[(owner + 1) % 3].callers, &prompt, 2);

    assert_whole(&deployment, &back, &prompt);
    assert!(details(&back, "imported_tokens") > 3_800, "{back:?}");
}

#[test]
fn cache_events_have_gaps() {
    // Symptom: requests are sent again and again to an engine that no longer holds their prompt.
    // Sequence: half of the engine's cache events are lost.
    // Cause: what was not told to be evicted is taken to be there.
    let deployment = deploy_store(200_000_000);
    set_fault(&deployment, "engine-0", &json!({ "gap_events": true }));
    let prompts: Vec<String> =
        (0..6).map(|index| long_prompt(&format!("gap{index}"), 2_000)).collect();

    for prompt in &prompts {
        let answer = stream(deployment.daemons[0].callers, prompt, 2);
        assert_whole(&deployment, &answer, prompt);
    }

    wait_until("the gap is noticed", || log_count(&deployment, "\"G6005\"") > 0);
    let again = stream(deployment.daemons[1].callers, &prompts[0], 2);
    assert_whole(&deployment, &again, &prompts[0]);
}
