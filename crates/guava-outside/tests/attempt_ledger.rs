//! A send takes its permission, and returns it only if nothing can have run.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use bytes::Bytes;
use guava_outside::{
    AttemptLedger, CompletionOrder, EngineClient, SendError, ServiceCall, ServiceClient,
};
use guava_types::Deadline;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::spawn;

const LIMIT_MS: u64 = 3_000;

/// A server that reads one request and answers with these bytes, then closes.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        drop(stream.read(&mut request));
        drop(stream.write_all(answer.as_bytes()));
    });
    address
}

/// An address where nobody listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn service_call() -> ServiceCall {
    ServiceCall {
        method: "POST".parse().unwrap(),
        path: "/submit".into(),
        content_type: "application/json".into(),
        body: Bytes::from_static(b"{}"),
        customer: "acme".into(),
        key: "".into(),
    }
}

async fn call_service(address: SocketAddr) -> SendError {
    let permit = AttemptLedger::new(1).permit().unwrap();
    let limit = Deadline::in_millis(LIMIT_MS);
    ServiceClient { address }.call(permit, &service_call(), limit).await.unwrap_err()
}

async fn complete(address: SocketAddr) -> SendError {
    let permit = AttemptLedger::new(1).permit().unwrap();
    let order = CompletionOrder {
        request: "request".into(),
        model: "hints".parse().unwrap(),
        version: "v1".parse().unwrap(),
        prompt: "a packet".into(),
        max_tokens: 1,
        priority: 0,
        cache_salt: "salt".into(),
        import: None,
        parameters: serde_json::Map::new(),
    };
    let client = EngineClient { upstream: "engine-0".parse().unwrap(), address };
    client.complete(permit, &order, Deadline::in_millis(LIMIT_MS)).await.unwrap_err()
}

#[test]
fn permission_is_counted_when_it_is_given() {
    let mut ledger = AttemptLedger::new(1);

    let first = ledger.permit();

    assert!(first.is_some());
    assert!(ledger.may_have_run());
    assert!(ledger.permit().is_none());
}

#[test]
fn permission_that_comes_back_allows_another_send() {
    let mut ledger = AttemptLedger::new(1);
    let first = ledger.permit().unwrap();

    ledger.take_back(first);

    assert!(!ledger.may_have_run());
    assert_eq!(ledger.permit().unwrap().run(), 1);
    assert!(ledger.permit().is_none());
}

#[test]
fn permission_that_comes_back_leaves_a_later_one_counted() {
    // Guards against a send that is forgotten as an earlier one is shown not to have run.
    let mut ledger = AttemptLedger::new(2);
    let first = ledger.permit().unwrap();
    let second = ledger.permit();

    ledger.take_back(first);

    assert!(second.is_some());
    assert!(ledger.may_have_run());
}

#[tokio::test(flavor = "current_thread")]
async fn call_that_reached_nobody_returns_its_permission() {
    let failed = call_service(nobody()).await;

    assert!(failed.unused.is_some(), "{failed:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn call_whose_connection_broke_keeps_its_permission() {
    // Guards against a second send after an answer that was lost.
    let failed = call_service(server("")).await;

    assert!(failed.unused.is_none(), "{failed:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn completion_that_the_engine_refused_returns_its_permission() {
    for answer in ["HTTP/1.1 503 Leaving\r\n\r\n", "HTTP/1.1 409 Other version\r\n\r\n"] {
        let failed = complete(server(answer)).await;

        assert!(failed.unused.is_some(), "{failed:?}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn completion_that_failed_in_the_engine_keeps_its_permission() {
    // Guards against "not run" for a completion that an engine had begun.
    for answer in ["HTTP/1.1 500 Failed\r\n\r\n", "HTTP/1.1 504 Late\r\n\r\n", ""] {
        let failed = complete(server(answer)).await;

        assert!(failed.unused.is_none(), "{failed:?}");
    }
}
