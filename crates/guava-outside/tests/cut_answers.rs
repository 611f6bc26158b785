//! Servers whose answers are cut after each of their bytes.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_outside::get_json;
use guava_types::Deadline;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::spawn;
use std::time::Duration;
use yare::parameterized;

/// A server that answers one request with these bytes, then closes or resets the connection.
fn cut_server(answer: &str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.as_bytes().to_vec();
    spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        drop(stream.read(&mut request));
        drop(stream.write_all(&answer));
        if is_reset {
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
        }
    });
    address
}

#[parameterized(
    with_length = { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n1234" },
    in_chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n2\r\n34\r\n0\r\n\r\n" },
    by_http_1_0 = { "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\n1234" },
    after_an_interim_answer = {
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n1234"
    },
)]
fn call_whose_answer_is_cut_fails(answer: &str) {
    // Guards against a report or list of which a part is taken for the whole.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let cuts = (0..answer.len()).flat_map(|length| [(length, false), (length, true)]);

    let answered: Vec<(usize, bool)> = cuts
        .filter(|(length, is_reset)| {
            let address = cut_server(&answer[..*length], *is_reset);
            let call = get_json::<u64>(address, "/report", Deadline::in_millis(3_000));
            runtime.block_on(call).is_ok()
        })
        .collect();

    assert!(answered.is_empty(), "{answered:?}");
}
