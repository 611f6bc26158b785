//! The arrival time that a daemon assigns to a peer's message.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    OwnState, PeerMessage, ReadMark, ServeContext, compose_message, receive_messages,
    with_last_wait,
};
use guava_types::Moment;
use std::rc::Rc;
use std::time::Duration;
use support::{model, news, note, published, serve_context};
use tokio::net::UdpSocket;

/// Time for which the receiving thread is blocked.
const STALL: Duration = Duration::from_millis(1_500);

fn message_with_list_mark(as_of: Moment) -> PeerMessage {
    let sender = serve_context("d1");
    let mut message = compose_message(&sender, news("d1"), as_of);
    message.list = Some(ReadMark { state: 7, as_of });
    message
}

/// Sends a message to a daemon that does not run for a while, and reads from its state afterwards.
fn received_late<T: 'static>(
    message: impl Fn(Moment) -> PeerMessage,
    state: impl Fn(&ServeContext) -> Option<T>,
) -> (Moment, T) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let context = Rc::new(serve_context("d2"));
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        let own = OwnState {
            me: note("d2"),
            is_ready: Rc::default(),
            rollout: Rc::default(),
            followed: Rc::default(),
        };
        tokio::task::spawn_local(receive_messages(Rc::clone(&context), socket, own));
        tokio::time::sleep(Duration::from_millis(100)).await;

        let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let sent = Moment::now();
        sender.send_to(&message(sent).encode(sent), address).unwrap();
        std::thread::sleep(STALL);
        tokio::time::sleep(Duration::from_millis(100)).await;

        (sent, state(&context).unwrap())
    })
}

#[test]
fn age_of_a_publication_includes_its_wait_in_the_socket() {
    // Guards against old weights in use for as much longer as a daemon did not read its messages.
    let message = |now| {
        let sender = serve_context("d1");
        sender.targets.borrow_mut().offer(&model(), published(2, now));
        compose_message(&sender, news("d1"), now)
    };
    let publication = |context: &ServeContext| context.targets.borrow().target(&model());

    let (sent, target) = received_late(message, publication);

    assert!(target.published <= sent, "{} ms too recent", target.published.millis_since(sent));
}

#[test]
fn age_of_a_read_mark_includes_its_wait_in_the_socket() {
    // Guards against requests that are sent to upstreams which left seconds ago, as users saw. A daemon
    // short of CPU time reads its socket late. If the age of a read mark were counted from that moment,
    // the list would look freshly confirmed and would not be read: a mark that waited 1,500 ms in the
    // socket counted as 1,503 ms fresher than it was.
    let freshest = |context: &ServeContext| context.reads.borrow().list.freshest();

    let (sent, as_of) = received_late(message_with_list_mark, freshest);

    assert!(as_of <= sent, "{} ms too fresh", as_of.millis_since(sent));
}

#[test]
fn wait_that_a_pause_interrupts_is_dated_before_the_pause() {
    // Guards against a change that looks as recent as the end of a pause in which it was made.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (paused, last_wait) = tokio::task::LocalSet::new().block_on(&runtime, async {
        let answer = async {
            tokio::time::sleep(Duration::from_millis(450)).await;
            let paused = Moment::now();
            std::thread::sleep(STALL);
            tokio::time::sleep(Duration::from_millis(1)).await;
            paused
        };
        with_last_wait(answer).await
    });

    let last_wait = last_wait.unwrap();
    assert!(last_wait <= paused, "{} ms after the pause began", last_wait.millis_since(paused));
    assert!(paused.millis_since(last_wait) < 400, "{} ms", paused.millis_since(last_wait));
}
