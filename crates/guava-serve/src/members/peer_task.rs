//! Datagrams between daemons.

use crate::members::lost_messages::MessageLoss;
use crate::members::member_table::MemberDescriptor;
use crate::members::message_split::datagrams;
use crate::members::peer_exchange::{
    OwnSummary, apply_message, compose_announcements, compose_crash_notices, compose_immediate,
    compose_initial_sync, compose_message, compose_reads,
};
use crate::members::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use crate::parts::sent_prompt::SentPrompt;
use crate::serve_context::ServeContext;
use crate::weights::rollout_state::VersionRollout;
use guava_types::{Deadline, Moment};
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::coop::consume_budget;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Pause between two messages on reads of the platform's store, in milliseconds, so that a lost one is
/// made up for in time.
const WORDS_PAUSE_MS: u64 = 500;
/// Age of a message in sending from which it is sent no further, in milliseconds. A daemon that is
/// suspended between two of some hundred datagrams would send the others with ages that are wrong by
/// seconds.
const STALE_MS: u64 = 200;

/// Pause between two looks at whether the socket is empty, in milliseconds.
const EMPTY_LOOK_MS: u64 = 50;

/// What this daemon tells the others about itself.
#[derive(Clone)]
pub struct OwnState {
    /// Who it is.
    pub me: MemberDescriptor,
    /// Whether callers should be sent to it.
    pub is_ready: Rc<Cell<bool>>,
    /// Weights under way.
    pub rollout: Rc<RefCell<VersionRollout>>,
    /// Stores of cached parts that it follows.
    pub followed: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Tells all daemons about this one, for ever.
pub async fn send_summaries(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    let mut far_due = Deadline::default();
    for number in 0.. {
        let now = Moment::now();
        let message = compose_message(&context, own_news(&state, number, now), now);
        let (is_large, local_interval_ms, remote_interval_ms) = {
            let members = context.members.borrow();
            (members.is_large(), members.local_interval_ms(), members.remote_interval_ms())
        };
        send_to_all(&socket, &message, &context, is_large).await;
        if is_large && far_due.passed(now) {
            far_due = Deadline::after(now, remote_interval_ms);
            let relays = context.members.borrow().relays(&context.identity.name, number, now);
            let relays = relays.into_iter().map(|(_, address)| address).collect();
            send(&socket, &message.for_relay(), &context, relays).await;
        }
        sleep(Duration::from_millis(local_interval_ms)).await;
    }
}

fn own_news(state: &OwnState, number: u64, now: Moment) -> OwnSummary {
    OwnSummary {
        member: own_note(state),
        loading: state.rollout.borrow().loading(now),
        loaded: state.rollout.borrow().recently_loaded(now),
        followed: state.followed.borrow().clone(),
        number,
    }
}

fn own_note(state: &OwnState) -> MemberDescriptor {
    MemberDescriptor { is_ready: state.is_ready.get(), ..state.me.clone() }
}

/// Tells the daemons of all data centres what this one reads of the platform's store, for ever: now
/// and then, and at once where they would read themselves otherwise.
pub async fn send_read_marks(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    loop {
        let now = Moment::now();
        for reads in compose_reads(&context, &own_note(&state), now) {
            send_to_all(&socket, &reads, &context, false).await;
        }
        let pause = Duration::from_millis(WORDS_PAUSE_MS);
        // Whether it is time or there is news makes no difference.
        drop(timeout(pause, context.reads_due.notified()).await);
    }
}

/// Sends to all daemons, or only to those in this data centre.
async fn send_to_all(
    socket: &UdpSocket,
    message: &PeerMessage,
    context: &ServeContext,
    only_near: bool,
) {
    let addresses = context.members.borrow().peer_addresses(only_near);
    send(socket, message, context, addresses).await;
}

async fn send(
    socket: &UdpSocket,
    message: &PeerMessage,
    context: &ServeContext,
    addresses: Vec<SocketAddr>,
) {
    for bytes in datagrams(message, Moment::now()) {
        send_datagram(socket, &bytes, context, &addresses).await;
    }
}

async fn send_datagram(
    socket: &UdpSocket,
    bytes: &[u8],
    context: &ServeContext,
    addresses: &[SocketAddr],
) {
    let stale = Deadline::in_millis(STALE_MS);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        let reason = format!("{} bytes, {MAX_DATAGRAM_BYTES} are taken", bytes.len());
        note_loss(context, MessageLoss::TooLong, &reason);
    }
    for address in addresses {
        if stale.passed(Moment::now()) {
            note_loss(context, MessageLoss::Unsent, &"sending took too long");
            return;
        }
        // The next message follows soon and makes up for one that can't be sent.
        if let Err(error) = socket.send_to(bytes, *address).await {
            note_loss(context, MessageLoss::Unsent, &error);
        }
    }
}

fn note_loss(context: &ServeContext, loss: MessageLoss, reason: &impl Display) {
    context.lost_messages.borrow_mut().note(loss, reason, &context.metrics, Moment::now());
}

/// Tells the daemons nearby about large prompts at once, for ever; those elsewhere of the ones that
/// concern them.
pub async fn send_immediate(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    for number in 0.. {
        context.message_due.notified().await;
        greet_newcomers(&context, &socket, &state).await;
        let is_large = context.members.borrow().is_large();
        let mut notes = compose_crash_notices(&context, &own_note(&state), Moment::now());
        notes.extend(compose_announcements(&context, &own_note(&state)));
        for note in notes {
            send_to_all(&socket, &note, &context, is_large).await;
            if is_large {
                tell_far(&context, &socket, &note, number).await;
            }
        }
        let Some(note) = compose_immediate(&context, own_note(&state)) else { continue };
        // Engines that load concern daemons everywhere.
        let only_near = is_large && note.loading.is_empty();
        send_to_all(&socket, &note, &context, only_near).await;
        if only_near {
            tell_far(&context, &socket, &note, number).await;
        }
    }
}

async fn greet_newcomers(context: &ServeContext, socket: &UdpSocket, state: &OwnState) {
    let new_peers = std::mem::take(&mut *context.new_peers.borrow_mut());
    if new_peers.is_empty() {
        return;
    }
    let now = Moment::now();
    for greeting in compose_initial_sync(context, &own_news(state, 0, now), now) {
        send(socket, &greeting, context, new_peers.clone()).await;
    }
}

/// Tells each other data centre, by way of a relay, of the prompts that concern it.
async fn tell_far(context: &ServeContext, socket: &UdpSocket, note: &PeerMessage, number: u64) {
    let now = Moment::now();
    let relays = context.members.borrow().relays(&context.identity.name, number, now);
    for (data_centre, relay) in relays {
        let concerns = |sent: &SentPrompt| {
            let engine =
                context.upstreams.borrow().entry(&sent.engine).map(|e| e.data_centre.clone());
            sent.is_for_all || engine.is_some_and(|engine| engine == data_centre)
        };
        if let Some(far) = note.message_for_relay(concerns) {
            send(socket, &far, context, vec![relay]).await;
        }
    }
}

/// Takes in what other daemons say, for ever.
pub async fn receive_messages(context: Rc<ServeContext>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    // A datagram may have lain in the socket since it was last seen empty. Taken to have come when it
    // is read, what it says would look fresher than it is, by as long as this process did not run.
    let mut last_empty = Moment::now();
    loop {
        let (length, sender) = match socket.try_recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let look_again = Deadline::after(last_empty, EMPTY_LOOK_MS);
                if look_again.passed(Moment::now()) {
                    last_empty = when_empty(&socket).await.unwrap_or(last_empty);
                }
                let wait = Duration::from_millis(EMPTY_LOOK_MS);
                // Whether there is something is seen by the next read.
                drop(timeout(wait, socket.readable()).await);
                continue;
            }
            Err(_) => {
                // Errors here are of datagrams sent before, to daemons that are gone.
                sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        take_datagram(&context, &socket, &buffer[..length], sender, last_empty).await;
        // Reads that don't wait use up no budget by themselves; without that the other duties would
        // not run while datagrams come faster than they are read.
        consume_budget().await;
    }
}

/// The moment as of which nothing lies in a socket; nothing if something does. That a read finds
/// nothing is only as new as the runtime's last look at the socket, so it is made to look first.
async fn when_empty(socket: &UdpSocket) -> Option<Moment> {
    let before = Moment::now();
    yield_now().await;
    let ready = poll_fn(|context| Poll::Ready(socket.poll_recv_ready(context))).await;
    ready.is_pending().then_some(before)
}

async fn take_datagram(
    context: &ServeContext,
    socket: &UdpSocket,
    bytes: &[u8],
    sender: SocketAddr,
    since: Moment,
) {
    let now = Moment::now();
    let Some(message) = PeerMessage::decode_waiting(bytes, since, now) else {
        note_loss(
            context,
            MessageLoss::Unreadable,
            &format!("{} bytes from {sender}", bytes.len()),
        );
        return;
    };
    if message.is_for_relay {
        let relayed = message.clone().relayed();
        send_to_all(socket, &relayed, context, true).await;
    }
    apply_message(context, message, now);
}
