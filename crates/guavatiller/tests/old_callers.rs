//! Callers of HTTP/1.0 at real daemons that end in the middle of an answer.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_platform_standins::{
    DaemonProcess, PlatformDeployment, ServerFault, ServerKind, ServiceNames, ask, request_to,
};
use guava_standins::deployment::Deployment;
use guava_standins::harness::wait_until;
use rustix::process::Signal;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use support::{deploy_default, set_faults};

fn old(request: &str) -> String {
    request.replacen("HTTP/1.1", "HTTP/1.0", 1)
}

fn send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Reads until some text has come.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !String::from_utf8_lossy(&bytes).contains(text) {
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "{}", String::from_utf8_lossy(&bytes));
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap()
}

/// Reads to the end of a connection: the text, and the error if it was reset.
fn read_rest(stream: &mut TcpStream) -> (String, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let error = stream.read_to_end(&mut bytes).err().map(|error| error.kind());
    (String::from_utf8_lossy(&bytes).into_owned(), error)
}

fn deploy_engine(fault: ServerFault) -> (PlatformDeployment, DaemonProcess) {
    let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment =
        PlatformDeployment::start(program, folder, &[("i-llm1", ServerKind::Engine)]);
    deployment.servers["i-llm1"].set_fault(fault);
    let daemon = deployment.daemon().unwrap();
    let is_ready =
        || ask(daemon.readiness, "/api/readiness").is_some_and(|answer| answer.status == 200);
    wait_until("the daemon is ready", is_ready);
    (deployment, daemon)
}

fn draft() -> String {
    old(&request_to("POST", "/draft/2f", "r1", ServiceNames::KEY, "prompt"))
}

#[test]
fn daemon_that_is_killed_resets_a_stream_of_http_1_0() {
    // Guards against the part of a stream that its caller takes for the whole.
    let (_deployment, daemon) = deploy_engine(ServerFault::Pauses);
    let mut caller = send(daemon.callers, &draft());
    let begun = read_until(&mut caller, "\n\n");

    daemon.signal(Signal::KILL);
    let (rest, error) = read_rest(&mut caller);

    assert!(begun.starts_with("HTTP/1.0 200"), "{begun}");
    assert_eq!(error, Some(ErrorKind::ConnectionReset), "{rest}");
}

#[test]
fn daemon_that_is_stopped_ends_a_stream_of_http_1_0_whole() {
    let (_deployment, daemon) = deploy_engine(ServerFault::Pauses);
    let mut caller = send(daemon.callers, &draft());
    let begun = read_until(&mut caller, "\n\n");

    daemon.signal(Signal::TERM);
    let (rest, error) = read_rest(&mut caller);

    assert_eq!(error, None, "{rest}");
    let (_, body) = begun.split_once("\r\n\r\n").unwrap();
    assert_eq!(format!("{body}{rest}"), guava_platform_standins::whole_stream());
}

fn completion(deployment: &Deployment) -> TcpStream {
    let body = serde_json::json!({
        "model": "hints", "prompt": "a packet", "max_tokens": 40, "stream": true
    });
    let body = body.to_string();
    let key = Deployment::customer_key("acme");
    let length = body.len();
    let request = format!(
        "POST /v1/completions HTTP/1.0\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
         guavatiller-timeout-ms: 30000\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    send(deployment.daemons[0].callers, &request)
}

#[test]
fn daemon_that_is_killed_resets_a_stream_of_http_1_0_on_the_own_interface() {
    let mut deployment = deploy_default();
    set_faults(&deployment, "engine-", &serde_json::json!({ "stall_after": 5 }));
    let mut caller = completion(&deployment);
    let begun = read_until(&mut caller, "data: ");

    deployment.kill("entry-0");
    let (rest, error) = read_rest(&mut caller);

    assert!(begun.starts_with("HTTP/1.0 200"), "{begun}");
    assert_eq!(error, Some(ErrorKind::ConnectionReset), "{rest}");
}

#[test]
fn whole_stream_of_http_1_0_ends_in_order_on_the_own_interface() {
    let deployment = deploy_default();

    let (text, error) = read_rest(&mut completion(&deployment));

    assert_eq!(error, None, "{text}");
    assert!(text.starts_with("HTTP/1.0 200") && text.contains("[DONE]"), "{text}");
}
