//! Bad input gets a clear error that names the field; the daemon lives and loses nothing.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::{Caller, CallerAnswer};
use guava_standins::deployment::{Deployment, block_on};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{deploy_default, stream};

fn send(deployment: &Deployment, method: &str, path: &str, body: &str) -> CallerAnswer {
    let caller = Caller::of("acme");
    let address = deployment.daemons[0].callers;
    block_on(caller.send(address, method.parse().unwrap(), path, body)).unwrap().unwrap()
}

#[test]
fn callers_bad_requests() {
    let deployment = deploy_default();
    let oversize = "x".repeat(9 << 20);
    let cases = [
        ("POST", "/v1/completions", "{", 400, "body"),
        ("POST", "/v1/completions", "{\"model\":\"hints\"}", 400, "prompt"),
        ("POST", "/v1/completions", "{\"model\":\"Hints!\",\"prompt\":\"a\"}", 400, "a-z"),
        ("POST", "/v1/completions", "{\"model\":\"none\",\"prompt\":\"a\"}", 404, "none"),
        ("POST", "/v1/completions", "{\"model\":\"hints\",\"prompt\":\"\"}", 400, "prompt"),
        (
            "POST",
            "/v1/completions",
            "{\"model\":\"hints\",\"prompt\":\"a\",\"max_tokens\":0}",
            400,
            "max_tokens",
        ),
        (
            "POST",
            "/v1/completions",
            "{\"model\":\"hints\",\"prompt\":\"a\",\"max_tokens\":99999}",
            400,
            "max_tokens",
        ),
        (
            "POST",
            "/v1/completions",
            "{\"model\":\"hints\",\"prompt\":\"a\",\"cache_salt\":\"of another customer\"}",
            400,
            "cache_salt",
        ),
        ("POST", "/v1/completions", &oversize, 413, ""),
        ("GET", "/v1/completions", "", 400, "last-event-id"),
        ("GET", "/v2/nothing", "", 404, "path"),
        ("GET", "/v1/address?data_centre=No%20Where", "", 400, "data_centre"),
    ];

    for (method, path, body, status, field) in cases {
        let answer = send(&deployment, method, path, body);

        assert_eq!(answer.status, status, "{path}: {answer:?}");
        assert!(answer.body.contains(field), "{path}: {answer:?}");
    }
    assert!(stream(deployment.daemons[0].callers, "still alive", 1).done);
}

#[test]
fn callers_bad_headers() {
    let deployment = deploy_default();
    let caller = Caller { timeout_ms: 99_999_999, ..Caller::of("acme") };

    let address = deployment.daemons[0].callers;
    let request = caller.send(address, "POST".parse().unwrap(), "/v1/completions", "{}");
    let answer = block_on(request).unwrap().unwrap();

    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("guavatiller-timeout-ms"), "{answer:?}");
}

#[test]
fn operators_bad_requests() {
    let deployment = deploy_default();
    let cases: [(&[&str], &str); 7] = [
        (&["customer", "Big One"], "object"),
        (&["customer", "acme", "--rate", "0"], "rate"),
        (&["model", "publish", "hints", "missing-1"], "weight store"),
        (&["model", "roll-out", "hints", "v9"], "not published"),
        (&["upstream", "e9", "--kind", "engine", "--address", "127.0.0.1:1"], "data_centre"),
        (&["service", "board", "--idempotent", "GET"], "rule"),
        (
            &[
                "--change-id",
                "zz",
                "weights",
                "--first-token",
                "1",
                "--recompute",
                "1",
                "--link",
                "1",
            ],
            "change_id",
        ),
    ];

    for (arguments, field) in cases {
        let output = deployment.operate(0, arguments).unwrap();

        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{arguments:?}");
        assert!(text.contains(field), "{arguments:?}: {text}");
    }
    assert!(stream(deployment.daemons[0].callers, "still alive", 1).done);
}

#[test]
fn operators_without_the_token_are_refused() {
    let deployment = deploy_default();
    let token = deployment.folder().join("wrong-token");
    std::fs::write(&token, "not the token").unwrap();

    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_guavatiller"));
    command
        .args(["--at", &deployment.daemons[0].operators.to_string(), "--token-file"])
        .arg(&token)
        .arg("status");
    let output = guava_standins::deployment::run(&mut command).unwrap();

    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("authorization"));
}

#[test]
fn check_settings_prints_all_errors_and_fails() {
    let path = std::env::temp_dir().join(format!("guavatiller-bad-{}.json", std::process::id()));
    std::fs::write(&path, "{\n  \"name\": 7,\n  \"colour\": \"red\"\n}\n").unwrap();

    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_guavatiller"));
    command.arg("check-settings").arg(&path);
    let output = guava_standins::deployment::run(&mut command).unwrap();

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_file(&path).unwrap();
    assert!(!output.status.success());
    for part in ["line 2: name", "line 3: colour", "platform.log"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[yare::parameterized(
    completion = { "/v1/completions", "", 413 },
    call = { "/v1/services/board/submit", "", 413 },
    call_without_a_key = { "/v1/services/board/submit", "Bearer none", 401 },
    call_of_no_service = { "/v1/services/none/submit", "", 404 },
)]
fn caller_that_is_still_sending_gets_its_refusal(path: &str, key: &str, status: u16) {
    // Guards against refusals that are lost in a reset, since the body after them is not read.
    let deployment = deploy_default();
    let key =
        if key.is_empty() { format!("Bearer {}", Caller::of("acme").key) } else { key.into() };
    let half = vec![b'x'; 5 << 20];
    let mut stream = TcpStream::connect(deployment.daemons[0].callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: {key}\r\n\
         content-length: {}\r\n\r\n",
        half.len() * 2
    );

    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&half).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    let is_sent = stream.write_all(&half).is_ok();
    let mut answer = [0; 12];
    let is_answered = stream.read_exact(&mut answer).is_ok();

    assert!(is_sent && is_answered, "sent {is_sent}, answered {is_answered}");
    assert_eq!(&answer[9..], status.to_string().as_bytes());
}
