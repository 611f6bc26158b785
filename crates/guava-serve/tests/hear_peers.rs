//! When a message between daemons arrived, as its receiver judges.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{PeerMessage, ReadMark, compose_message, receive_messages};
use guava_types::Moment;
use std::rc::Rc;
use std::time::Duration;
use support::{news, serve_context};
use tokio::net::UdpSocket;

/// How long the receiver does not run.
const STALL: Duration = Duration::from_millis(1_500);

fn message_with_word(as_of: Moment) -> PeerMessage {
    let sender = serve_context("d1");
    let mut message = compose_message(&sender, news("d1"), as_of);
    message.list = Some(ReadMark { state: 7, as_of });
    message
}

#[test]
fn word_that_lay_in_the_socket_is_as_old_as_that() {
    // Users saw requests reach upstreams that had left some seconds before.
    // A daemon that is short of processor reads what others say of the list late; counted from then,
    // the list looks confirmed just now, and is not read.
    // Cause: a message was taken to have come when it was read.
    // Evidence: a word that lay in the socket for 1,500 ms counted as 1,503 ms fresher than it was.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let heard = tokio::task::LocalSet::new().block_on(&runtime, async {
        let context = Rc::new(serve_context("d2"));
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        tokio::task::spawn_local(receive_messages(Rc::clone(&context), socket));
        tokio::time::sleep(Duration::from_millis(100)).await;

        let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let sent = Moment::now();
        sender.send_to(&message_with_word(sent).encode(sent), address).unwrap();
        std::thread::sleep(STALL);
        tokio::time::sleep(Duration::from_millis(100)).await;

        let freshest = context.reads.borrow().list.freshest();
        freshest.map(|as_of| (sent, as_of))
    });

    let (sent, as_of) = heard.unwrap();
    assert!(as_of <= sent, "{} ms too fresh", as_of.millis_since(sent));
}
