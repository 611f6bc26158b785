//! The arrival time that a daemon assigns to a peer's message.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{PeerMessage, ReadMark, compose_message, receive_messages};
use guava_types::Moment;
use std::rc::Rc;
use std::time::Duration;
use support::{news, serve_context};
use tokio::net::UdpSocket;

/// Time for which the receiving thread is blocked.
const STALL: Duration = Duration::from_millis(1_500);

fn message_with_list_mark(as_of: Moment) -> PeerMessage {
    let sender = serve_context("d1");
    let mut message = compose_message(&sender, news("d1"), as_of);
    message.list = Some(ReadMark { state: 7, as_of });
    message
}

#[test]
fn age_of_a_read_mark_includes_its_wait_in_the_socket() {
    // Guards against requests that are sent to upstreams which left seconds ago, as users saw. A daemon
    // short of CPU time reads its socket late. If the age of a read mark were counted from that moment,
    // the list would look freshly confirmed and would not be read: a mark that waited 1,500 ms in the
    // socket counted as 1,503 ms fresher than it was.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let received = tokio::task::LocalSet::new().block_on(&runtime, async {
        let context = Rc::new(serve_context("d2"));
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        tokio::task::spawn_local(receive_messages(Rc::clone(&context), socket));
        tokio::time::sleep(Duration::from_millis(100)).await;

        let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let sent = Moment::now();
        sender.send_to(&message_with_list_mark(sent).encode(sent), address).unwrap();
        std::thread::sleep(STALL);
        tokio::time::sleep(Duration::from_millis(100)).await;

        let freshest = context.reads.borrow().list.freshest();
        freshest.map(|as_of| (sent, as_of))
    });

    let (sent, as_of) = received.unwrap();
    assert!(as_of <= sent, "{} ms too fresh", as_of.millis_since(sent));
}
