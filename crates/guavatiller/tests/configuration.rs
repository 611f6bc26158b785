//! An accepted configuration is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_outside::LogClient;
use guava_standins::deployment::{Deployment, DeploymentPlan, block_on, post_value, wait_until};
use guava_standins::fault_proxy::LinkFault;
use guava_state::{LogRecord, PART_BYTES, RecordBody, restore, snapshot_parts, state_text};
use guava_types::{Deadline, Incarnation, Offset, RecordId, WallTime};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use support::{
    call, deploy, deploy_default, fresh_key, object, server, set_fault, stream, submission,
};

/// The bound on the time until a change is in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 17_000;

fn set_weights(deployment: &Deployment, index: usize, link: &str) -> serde_json::Value {
    let arguments = ["weights", "--first-token", "10", "--recompute", "1", "--link", link];
    deployment.operate_ok(index, &arguments).unwrap()["change"][0].clone()
}

fn weights(deployment: &Deployment, index: usize) -> (u64, String) {
    object(deployment, index, "profile/measures")
}

fn log_client(deployment: &Deployment) -> LogClient {
    LogClient { address: server(deployment, "log") }
}

fn append(deployment: &Deployment, bytes: Vec<u8>) {
    let client = log_client(deployment);
    let appended = client.append(bytes.into(), Deadline::in_millis(5_000));
    block_on(appended).unwrap().unwrap();
}

/// The log's first kept offset, and all records from there.
type KeptLog = (Offset, Vec<(Offset, Box<[u8]>)>);

fn read_log(deployment: &Deployment) -> KeptLog {
    let client = log_client(deployment);
    let mut records = Vec::new();
    let mut from = Offset(0);
    loop {
        let read = client.read(from, 0, Deadline::in_millis(5_000));
        let page = block_on(read).unwrap().unwrap();
        records.extend(
            page.records.into_iter().map(|record| (record.offset, record.body.as_bytes().into())),
        );
        from = records.last().map_or(page.end, |(offset, _): &(Offset, Box<[u8]>)| offset.next());
        if from >= page.end {
            return (page.first, records);
        }
    }
}

#[test]
fn operators_race_at_two_daemons() {
    // Symptom: two daemons run by different configurations.
    // Sequence: two operators change one object at two daemons, both against the same revision.
    // Cause: each daemon takes the change that it saw first.
    let deployment = Arc::new(deploy_default());
    let (revision, _) = weights(&deployment, 0);
    let threads = [0, 1].map(|index| {
        let deployment = Arc::clone(&deployment);
        std::thread::spawn(move || {
            let against = revision.to_string();
            let operator = format!("operator-{index}");
            let link = (index + 2).to_string();
            let change = ["weights", "--first-token", "9", "--recompute", "9", "--link", &link];
            let own = ["--operator", &operator, "--against", &against];
            deployment.operate(index, &[&own[..], &change[..]].concat()).unwrap()
        })
    });

    let outputs = threads.map(|thread| thread.join().unwrap());

    let verdicts = outputs.map(|output| {
        let shown: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        shown["change"][0].clone()
    });
    let accepted = verdicts.iter().position(|line| line["verdict"] == "accepted").unwrap();
    let raced = &verdicts[1 - accepted];
    assert_eq!(raced["verdict"], "raced");
    assert_eq!(raced["winner"], format!("operator-{accepted}"));
    let seen: Vec<(u64, String)> = (0..3).map(|index| weights(&deployment, index)).collect();
    assert!(seen.iter().all(|shown| *shown == seen[0]), "{seen:?}");
    assert!(seen[0].1.ends_with(&format!("link={}", accepted + 2)), "{seen:?}");
}

#[test]
fn answer_of_the_append_is_lost() {
    // Symptom: the operator reads "raced" or "failed" for a change that is in force.
    // Sequence: the change's append takes effect, its answer is lost, the daemon appends again.
    // Cause: the copy is judged as a second change, against a revision that the first has moved.
    let deployment = deploy_default();
    set_fault(&deployment, "log", &json!({ "lose_answers": true }));

    let line = set_weights(&deployment, 0, "7");
    set_fault(&deployment, "log", &json!({}));

    assert_eq!(line["verdict"], "accepted");
    assert!(weights(&deployment, 2).1.ends_with("link=7"));
}

#[test]
fn change_is_repeated_after_an_unknown_outcome() {
    // Symptom: the operator reads "raced" for a change that is in force.
    // Sequence: a change is accepted, its daemon's answer is lost, the operator runs the same
    // change again at another daemon.
    // Cause: the copy is judged as a second change.
    let deployment = deploy_default();
    let (revision, _) = weights(&deployment, 0);
    let id = RecordId::random().to_string();
    let against = revision.to_string();
    let change = [
        "--change-id",
        &id,
        "--against",
        &against,
        "weights",
        "--first-token",
        "6",
        "--recompute",
        "6",
        "--link",
        "66",
    ];

    let first = deployment.operate_ok(0, &change).unwrap()["change"][0].clone();
    let second = deployment.operate_ok(1, &change).unwrap()["change"][0].clone();

    assert_eq!((&first["verdict"], &second["verdict"]), (&json!("accepted"), &json!("accepted")));
    assert_eq!(first["revision"], second["revision"]);
}

#[test]
fn append_lands_after_a_newer_change() {
    // Symptom: an old change undoes a newer one.
    // Sequence: an operator's append is held up in the log service; a newer change is accepted;
    // the old append takes effect.
    // Cause: the last record wins.
    let deployment = deploy_default();
    let (revision, _) = weights(&deployment, 0);
    set_fault(&deployment, "log", &json!({ "late_effect_ms": 3000 }));
    let late = deployment.operate(
        0,
        &[
            "--against",
            &revision.to_string(),
            "--wait-ms",
            "0",
            "weights",
            "--first-token",
            "1",
            "--recompute",
            "1",
            "--link",
            "99",
        ],
    );
    // The first client gives up on nothing: it waits for its own record, which lands late.
    drop(late);
    set_fault(&deployment, "log", &json!({}));
    let (before, _) = weights(&deployment, 0);
    set_weights(&deployment, 1, "5");
    let (newer, _) = weights(&deployment, 1);

    wait_until("nothing is under way any more", || {
        call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1))).outcome == "done"
    });

    assert!(newer > before);
    wait_until("all daemons show the newer change", || {
        (0..3).all(|index| weights(&deployment, index).1.ends_with("link=5"))
    });
}

#[test]
fn late_append_against_an_old_revision_is_rejected() {
    // Symptom, sequence and cause as above, with the late record written by hand so that it is
    // certain to land last.
    let deployment = deploy_default();
    let (_, records) = read_log(&deployment);
    let old = records.iter().find_map(|(_, bytes)| {
        let record = LogRecord::decode(bytes).ok()?;
        matches!(&record.body, RecordBody::Change(change) if &*change.object.name == "measures")
            .then_some(record)
    });
    set_weights(&deployment, 0, "6");
    let late = LogRecord { id: RecordId::random(), ..old.unwrap() };

    append(&deployment, late.encode().unwrap());
    call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));

    assert!((0..3).all(|index| weights(&deployment, index).1.ends_with("link=6")));
}

#[test]
fn daemon_cut_from_the_log_follows_through_its_peers() {
    // Symptom: one daemon serves by old configuration.
    // Sequence: a daemon loses the log but not its peers; a change is made elsewhere.
    // Cause: the log is its only source.
    let deployment = deploy_default();
    let source = deployment.daemons[2].source;
    deployment.proxies["log"].set_for(source, LinkFault::Freeze);

    let line = set_weights(&deployment, 0, "8");

    assert_eq!(line["missing"], json!([]), "{line}");
    assert!(line["in_force_ms"].as_u64().unwrap() < IN_FORCE_MS, "{line}");
    assert!(weights(&deployment, 2).1.ends_with("link=8"));
    assert!(stream(deployment.daemons[2].callers, "a short prompt", 2).done);
}

#[test]
fn daemon_cut_from_log_and_peers_refuses_work() {
    // Symptom: a daemon serves by configuration that was replaced.
    // Sequence: a daemon loses log and peers; a change is made elsewhere; a caller still uses it.
    // Cause: it takes silence for the absence of changes.
    let deployment = deploy_default();
    let source = deployment.daemons[2].source;
    deployment.proxies["log"].set_for(source, LinkFault::Cut);
    deployment.proxies["entry-0"].set_for(source, LinkFault::Cut);
    deployment.proxies["entry-1"].set_for(source, LinkFault::Cut);
    deployment.proxies["entry-2"].set(LinkFault::Cut);

    wait_until("the daemon refuses work", || !deployment.is_ready(2));
    let refused = call(deployment.daemons[2].callers, &submission(&fresh_key(), Some(1)));
    let line = set_weights(&deployment, 0, "4");
    let names = ["log", "entry-0", "entry-1", "entry-2"];
    names.iter().for_each(|name| deployment.proxies[*name].heal());
    deployment.wait_ready(2);

    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert!(refused.after_ms.is_some());
    assert_eq!(line["missing"], json!(["entry-2"]));
    assert!(weights(&deployment, 2).1.ends_with("link=4"));
}

#[test]
fn daemons_are_replaced_in_a_platform_outage() {
    // Symptom: a daemon started in an outage serves by nothing, or not at all.
    // Sequence: the log is out; a daemon is replaced; a caller uses the new one.
    // Cause: the state is in the log only.
    let mut deployment = deploy_default();
    set_weights(&deployment, 0, "3");
    set_fault(&deployment, "log", &json!({ "outage": true }));
    deployment.kill("entry-2");
    deployment.start_daemon(2).unwrap();

    deployment.wait_ready(2);
    deployment.wait_serving(2);
    let answer = stream(deployment.daemons[2].callers, "a short prompt", 2);

    assert!(answer.done, "{answer:?}");
    assert!(weights(&deployment, 2).1.ends_with("link=3"));
}

#[test]
fn no_change_is_accepted_in_an_outage() {
    // Symptom: a change is reported as accepted and is gone later.
    // Sequence: the log is out; an operator makes a change.
    // Cause: the change is taken from memory.
    let deployment = deploy_default();
    let (revision, _) = weights(&deployment, 0);
    set_fault(&deployment, "log", &json!({ "outage": true }));

    let output = deployment
        .operate(0, &["weights", "--first-token", "1", "--recompute", "1", "--link", "50"])
        .unwrap();

    assert_eq!(output.status.code(), Some(3), "unknown, to be repeated");
    assert_eq!(weights(&deployment, 0).0, revision);
}

#[test]
fn old_records_expire_and_all_daemons_restart() {
    // Symptom: the configuration is gone after a restart of everything.
    // Sequence: the log drops old records; all daemons are replaced at once.
    // Cause: the records that made the configuration are no longer there.
    let settings = vec!["\"snapshot_every_records\": 10".into()];
    let mut deployment = deploy(DeploymentPlan { settings, ..DeploymentPlan::default() });
    set_weights(&deployment, 0, "12");
    let before = weights(&deployment, 0);
    wait_until("a snapshot holds the change", || {
        call(deployment.daemons[1].callers, &submission(&fresh_key(), Some(1)));
        let (_, records) = read_log(&deployment);
        let holds = |bytes: &[u8]| match LogRecord::decode(bytes).map(|record| record.body) {
            Ok(RecordBody::Snapshot(body)) => body.next.0 >= before.0,
            _ => false,
        };
        records.iter().rev().take(12).any(|(_, bytes)| holds(bytes))
    });
    post_value(server(&deployment, "log"), "/keep", &15).unwrap();

    for name in ["entry-0", "entry-1", "entry-2"] {
        deployment.kill(name);
    }
    for index in 0..3 {
        deployment.start_daemon(index).unwrap();
    }
    (0..3).for_each(|index| deployment.wait_ready(index));

    assert!((0..3).all(|index| weights(&deployment, index) == before));
}

#[test]
fn paused_daemon_appends_an_old_snapshot() {
    // Symptom: a restarted daemon shows configuration that was replaced.
    // Sequence: a daemon makes a snapshot and is paused before its append; a change is made; the
    // snapshot lands as the last record; all daemons are replaced.
    // Cause: the last snapshot is taken for the newest state.
    let mut deployment = deploy_default();
    let (first, records) = read_log(&deployment);
    let old = state_text(&restore(first, &records).unwrap()).unwrap();
    set_weights(&deployment, 0, "21");
    for part in snapshot_parts(&old, PART_BYTES) {
        let record = LogRecord {
            id: RecordId::random(),
            author: Incarnation::random(),
            wall: WallTime::now(),
            body: RecordBody::Snapshot(part),
        };
        append(&deployment, record.encode().unwrap());
    }

    for name in ["entry-0", "entry-1", "entry-2"] {
        deployment.kill(name);
    }
    for index in 0..3 {
        deployment.start_daemon(index).unwrap();
    }
    (0..3).for_each(|index| deployment.wait_ready(index));

    assert!((0..3).all(|index| weights(&deployment, index).1.ends_with("link=21")));
}

#[test]
fn record_that_does_not_parse_is_skipped_by_all() {
    // Symptom: daemons stop, or disagree, after a bad record.
    // Sequence: bytes that are no record get into the log; a change follows.
    // Cause: the reader gives up, or each daemon skips in its own way.
    let deployment = deploy_default();
    for bytes in [&b"not a record"[..], b"{}", b"[1,2", b"{\"id\":\"zz\"}"] {
        append(&deployment, bytes.to_vec());
    }

    let line = set_weights(&deployment, 1, "31");

    assert_eq!(line["missing"], json!([]));
    assert!((0..3).all(|index| weights(&deployment, index).1.ends_with("link=31")));
    assert!(deployment.log_of("entry-0").contains("G2003"));
}

#[test]
fn observed_revisions_never_go_back() {
    // Symptom: a daemon shows a newer revision, then an older one.
    // Sequence: changes at all daemons in turn while one of them is killed and started, and one is
    // cut from the log now and then.
    // Cause: a state restored or fetched replaces a newer one.
    let mut deployment = deploy_default();
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.operators).collect();
    let token = deployment.folder().join("token");
    let watchers: Vec<_> = addresses[..2]
        .iter()
        .map(|address| {
            let (address, token, stop) = (*address, token.clone(), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut seen = 0;
                while !stop.load(Ordering::Relaxed) {
                    let revision = observed_revision(address, &token);
                    assert!(revision >= seen, "went back from {seen} to {revision}");
                    seen = revision;
                }
            })
        })
        .collect();

    for round in 0..4 {
        let source = deployment.daemons[1].source;
        deployment.proxies["log"].set_for(source, LinkFault::Cut);
        deployment.kill("entry-2");
        set_weights(&deployment, 0, &(100 + round).to_string());
        deployment.start_daemon(2).unwrap();
        deployment.wait_ready(2);
        assert!(weights(&deployment, 2).1.ends_with(&format!("link={}", 100 + round)));
        deployment.proxies["log"].heal();
        set_weights(&deployment, 2, &(200 + round).to_string());
    }
    stop.store(true, Ordering::Relaxed);

    watchers.into_iter().for_each(|watcher| watcher.join().unwrap());
}

fn observed_revision(address: std::net::SocketAddr, token: &std::path::Path) -> u64 {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_guavatiller"));
    command
        .args(["--at", &address.to_string(), "--output", "json", "--token-file"])
        .arg(token)
        .args(["get", "profile/measures"]);
    let output = guava_standins::deployment::run(&mut command).unwrap();
    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    shown["objects"][0]["revision"].as_u64().unwrap()
}
