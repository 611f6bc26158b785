//! Servers that send bytes without end in place of an answer.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_outside::{HttpError, get_json};
use guava_types::Deadline;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Bytes that the system's buffers of a connection may hold.
const BUFFERED: usize = 12 << 20;

/// A server that answers with a beginning, then sends bytes until the client closes; and their count.
fn endless_server(begin: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        drop(stream.read(&mut request));
        drop(stream.write_all(begin.as_bytes()));
        while stream.write_all(&[b'1'; 4_096]).is_ok() {
            count.fetch_add(4_096, Ordering::SeqCst);
        }
    });
    (address, sent)
}

#[tokio::test(flavor = "current_thread")]
async fn refusal_without_end_is_not_read_to_its_deadline() {
    // Guards against a refusal whose body takes memory and time until the deadline.
    let (address, sent) = endless_server("HTTP/1.1 503 Full\r\n\r\n");
    let begun = Instant::now();

    let answer = get_json::<u64>(address, "/report", Deadline::in_millis(3_000)).await;

    assert!(matches!(answer, Err(HttpError::Refused { .. })), "{answer:?}");
    assert!(begun.elapsed() < Duration::from_millis(1_000), "{:?}", begun.elapsed());
    assert!(sent.load(Ordering::SeqCst) <= BUFFERED);
}

#[tokio::test(flavor = "current_thread")]
async fn head_without_end_fails_before_its_deadline() {
    let (address, sent) = endless_server("HTTP/1.1 200 OK\r\nx-a: ");
    let begun = Instant::now();

    let answer = get_json::<u64>(address, "/report", Deadline::in_millis(3_000)).await;

    assert!(answer.is_err());
    assert!(begun.elapsed() < Duration::from_millis(1_000), "{:?}", begun.elapsed());
    assert!(sent.load(Ordering::SeqCst) <= BUFFERED);
}
