//! Tasks that send and receive datagrams between daemons: periodic summaries, immediate messages,
//! read marks, initial syncs of new peers, and messages relayed to other data centres.

use crate::members::lost_messages::MessageLoss;
use crate::members::member_descriptor::MemberDescriptor;
use crate::members::member_table::{ATTACHED_INTERVAL_MS, MemberRole};
use crate::members::message_split::datagrams;
use crate::members::origin_message::OriginMessage;
use crate::members::origin_search::apply_origin_message;
use crate::members::peer_exchange::{
    OwnSummary, apply_message, compose_announcements, compose_attached_reads,
    compose_crash_notices, compose_immediate, compose_initial_sync, compose_message, compose_reads,
};
use crate::members::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use crate::members::return_gossip::MessageAudience;
use crate::parts::sent_prompt::SentPrompt;
use crate::serve_context::ServeContext;
use crate::weights::rollout_state::VersionRollout;
use guava_policy::ReturnNotice;
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

/// Interval between two messages with read marks, in milliseconds; short enough that the next one
/// arrives in time if one is lost.
const READ_MARK_INTERVAL_MS: u64 = 500;
/// Time after which sending a datagram to further recipients is abandoned, in milliseconds. A
/// daemon that is suspended while it sends to some hundred recipients would send the remaining
/// datagrams with ages that are wrong by seconds.
const SEND_TIMEOUT_MS: u64 = 200;

/// Most callers' addresses in a message to attached daemons: as many as an answer to callers has.
const MAX_REPORTED_CALLERS: usize = 64;

/// Interval between two checks whether the socket is empty, in milliseconds.
const EMPTY_CHECK_INTERVAL_MS: u64 = 50;

/// State of this daemon that it sends to its peers.
#[derive(Clone)]
pub struct OwnState {
    /// Identity and addresses; `is_ready` below overrides the readiness in it.
    pub me: MemberDescriptor,
    /// Whether callers should be sent to this daemon; read anew for every message.
    pub is_ready: Rc<Cell<bool>>,
    /// Weight versions that engines load or have recently loaded.
    pub rollout: Rc<RefCell<VersionRollout>>,
    /// Stores of cached parts that this daemon follows.
    pub followed: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Task that sends periodic summaries of this daemon to all others; never returns.
pub async fn send_summaries(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    let mut remote_due = Deadline::default();
    let mut attached_due = Deadline::default();
    for number in 0.. {
        let now = Moment::now();
        let message = compose_message(&context, own_summary(&state, number, now), now);
        let (is_large, local_interval_ms, remote_interval_ms) = {
            let members = context.members.borrow();
            (members.is_large(), members.local_interval_ms(), members.remote_interval_ms())
        };
        send_to_all(&socket, &message, &context, is_large).await;
        if attached_due.passed(now) && context.members.borrow().has_attached(now) {
            attached_due = Deadline::after(now, ATTACHED_INTERVAL_MS);
            let callers = caller_addresses(&context, &state, now);
            let returns = take_returns(&context, MessageAudience::Attached, now);
            let message = PeerMessage { callers, returns, ..message.clone() };
            send_to_attached(&socket, &message, &context).await;
        }
        if is_large && remote_due.passed(now) {
            remote_due = Deadline::after(now, remote_interval_ms);
            let relays = context.members.borrow().relays(&context.identity.name, number, now);
            let relays = relays.into_iter().map(|(_, address)| address).collect();
            let returns = take_returns(&context, MessageAudience::Relays, now);
            let message = PeerMessage { returns, ..message.for_relay() };
            send(&socket, &message, &context, relays).await;
        }
        sleep(Duration::from_millis(local_interval_ms)).await;
    }
}

fn take_returns(
    context: &ServeContext,
    audience: MessageAudience,
    now: Moment,
) -> Vec<ReturnNotice> {
    context.return_gossip.borrow_mut().take(audience, now)
}

/// Ready daemons of which the daemons attached to this one tell callers.
fn caller_addresses(context: &ServeContext, state: &OwnState, now: Moment) -> Vec<SocketAddr> {
    let me = state.is_ready.get().then_some(state.me.caller_address);
    let mut addresses = context.members.borrow().all_caller_addresses(me, now, rand::random());
    addresses.truncate(MAX_REPORTED_CALLERS);
    addresses
}

fn own_summary(state: &OwnState, number: u64, now: Moment) -> OwnSummary {
    OwnSummary {
        member: own_descriptor(state),
        loading: state.rollout.borrow().loading(now),
        loaded: state.rollout.borrow().recently_loaded(now),
        followed: state.followed.borrow().clone(),
        number,
    }
}

fn own_descriptor(state: &OwnState) -> MemberDescriptor {
    MemberDescriptor { is_ready: state.is_ready.get(), ..state.me.clone() }
}

/// Task that sends the read marks of the platform's store to the daemons of all data centres:
/// periodically, and at once where they would otherwise read the store themselves. Never returns.
pub async fn send_read_marks(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    loop {
        let now = Moment::now();
        for reads in compose_reads(&context, &own_descriptor(&state), now) {
            send_to_all(&socket, &reads, &context, false).await;
        }
        if context.members.borrow().has_attached(now) {
            for reads in compose_attached_reads(&context, &own_descriptor(&state), now) {
                send_to_attached(&socket, &reads, &context).await;
            }
        }
        let interval = Duration::from_millis(READ_MARK_INTERVAL_MS);
        // A time-out and a notification have the same effect.
        drop(timeout(interval, context.reads_due.notified()).await);
    }
}

/// Sends a message to all core daemons, or only to those in this data centre; an attached daemon
/// sends it to those that it is attached to.
async fn send_to_all(
    socket: &UdpSocket,
    message: &PeerMessage,
    context: &ServeContext,
    only_local: bool,
) {
    let addresses = {
        let members = context.members.borrow();
        match members.role() {
            MemberRole::Core => members.peer_addresses(only_local),
            MemberRole::Attached => members.uplinks(&context.identity.name, Moment::now()),
        }
    };
    send(socket, message, context, addresses).await;
}

/// Sends a message to the daemons attached to this one.
async fn send_to_attached(socket: &UdpSocket, message: &PeerMessage, context: &ServeContext) {
    let addresses = context.members.borrow().attached_addresses(Moment::now());
    if !addresses.is_empty() {
        send(socket, message, context, addresses).await;
    }
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
    let deadline = Deadline::in_millis(SEND_TIMEOUT_MS);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        let reason = format!("{} bytes, at most {MAX_DATAGRAM_BYTES} are accepted", bytes.len());
        note_loss(context, MessageLoss::TooLong, &reason);
    }
    for address in addresses {
        if deadline.passed(Moment::now()) {
            note_loss(context, MessageLoss::Unsent, &"sending to all recipients took too long");
            return;
        }
        // A message that can't be sent is made up for by the next one, which follows soon.
        if let Err(error) = socket.send_to(bytes, *address).await {
            note_loss(context, MessageLoss::Unsent, &error);
        }
    }
}

fn note_loss(context: &ServeContext, loss: MessageLoss, reason: &impl Display) {
    context.lost_messages.borrow_mut().note(loss, reason, &context.metrics, Moment::now());
}

/// Task that sends immediate messages: initial syncs, crash notices, upstream announcements and
/// large prompts. In a large deployment, other data centres get only the prompts that concern them,
/// through relays. Never returns.
pub async fn send_immediate(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    for number in 0.. {
        context.message_due.notified().await;
        sync_new_peers(&context, &socket, &state).await;
        let is_large = context.members.borrow().is_large();
        let mut messages = compose_crash_notices(&context, &own_descriptor(&state), Moment::now());
        messages.extend(compose_announcements(&context, &own_descriptor(&state)));
        let is_attached = context.members.borrow().role() == MemberRole::Attached;
        for message in messages {
            // The core daemons to which this one is attached pass it on.
            let message = PeerMessage { is_for_relay: is_attached, ..message };
            send_to_all(&socket, &message, &context, is_large).await;
            send_to_attached(&socket, &message, &context).await;
            if is_large {
                send_to_relays(&context, &socket, &message, number).await;
            }
        }
        let Some(message) = compose_immediate(&context, own_descriptor(&state)) else { continue };
        // Engines that load weights, and retired parts, concern the daemons of all data centres.
        let only_local = is_large && message.loading.is_empty() && message.retirements.is_empty();
        send_to_all(&socket, &message, &context, only_local).await;
        if !message.loading.is_empty() {
            send_to_attached(&socket, &message, &context).await;
        }
        if only_local {
            send_to_relays(&context, &socket, &message, number).await;
        }
    }
}

/// Task that tells peers where streams began, asks them and answers them; never returns.
pub async fn send_origins(context: Rc<ServeContext>, socket: Rc<UdpSocket>) {
    loop {
        context.origins.due.notified().await;
        for (receiver, message) in context.origins.take_due() {
            for bytes in message.datagrams(Moment::now()) {
                send_datagram(&socket, &bytes, &context, &[receiver]).await;
            }
        }
    }
}

async fn sync_new_peers(context: &ServeContext, socket: &UdpSocket, state: &OwnState) {
    let new_peers = std::mem::take(&mut *context.new_peers.borrow_mut());
    if new_peers.is_empty() {
        return;
    }
    let now = Moment::now();
    for initial_sync in compose_initial_sync(context, &own_summary(state, 0, now), now) {
        send(socket, &initial_sync, context, new_peers.clone()).await;
    }
}

/// Sends each other data centre, through a relay, the content of a message that concerns it.
async fn send_to_relays(
    context: &ServeContext,
    socket: &UdpSocket,
    message: &PeerMessage,
    number: u64,
) {
    let now = Moment::now();
    let relays = context.members.borrow().relays(&context.identity.name, number, now);
    for (data_centre, relay) in relays {
        let is_relevant = |sent: &SentPrompt| {
            let engine =
                context.upstreams.borrow().entry(&sent.engine).map(|e| e.data_centre.clone());
            sent.is_for_all || engine.is_some_and(|engine| engine == data_centre)
        };
        if let Some(relay_message) = message.message_for_relay(is_relevant) {
            send(socket, &relay_message, context, vec![relay]).await;
        }
    }
}

/// Sends on what concerns all daemons: to the daemons attached to this one, and to all others if an
/// attached daemon reported it.
async fn pass_on(
    context: &ServeContext,
    socket: &UdpSocket,
    passed: &PeerMessage,
    is_from_attached: bool,
) {
    send_to_attached(socket, passed, context).await;
    if is_from_attached {
        let is_large = context.members.borrow().is_large();
        send_to_all(socket, passed, context, is_large).await;
        send_to_relays(context, socket, passed, rand::random()).await;
    }
}

/// Task that receives and applies messages of other daemons; never returns.
pub async fn receive_messages(context: Rc<ServeContext>, socket: Rc<UdpSocket>, state: OwnState) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    // A datagram may have been in the socket since the socket was last found empty. If its arrival
    // were dated at the moment it is read, its contents would look fresher than they are, by as
    // long as this process did not run.
    let mut last_empty = Moment::now();
    loop {
        let (length, sender) = match socket.try_recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let next_check = Deadline::after(last_empty, EMPTY_CHECK_INTERVAL_MS);
                if next_check.passed(Moment::now()) {
                    last_empty = empty_since(&socket).await.unwrap_or(last_empty);
                }
                let wait = Duration::from_millis(EMPTY_CHECK_INTERVAL_MS);
                // The next read shows whether a datagram has arrived.
                drop(timeout(wait, socket.readable()).await);
                continue;
            }
            Err(_) => {
                // Errors here concern datagrams sent earlier, to daemons that have exited.
                sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        apply_datagram(&context, &socket, &buffer[..length], sender, last_empty, &state).await;
        // Reads that don't wait consume no task budget by themselves. Without this call the other
        // tasks would not run while datagrams arrive faster than they are read.
        consume_budget().await;
    }
}

/// The moment as of which the socket is empty, or `None` if it is not. A read that finds no
/// datagram is only as recent as the runtime's last poll of the socket, so the runtime is made to
/// poll first.
async fn empty_since(socket: &UdpSocket) -> Option<Moment> {
    let before = Moment::now();
    yield_now().await;
    let ready = poll_fn(|context| Poll::Ready(socket.poll_recv_ready(context))).await;
    ready.is_pending().then_some(before)
}

async fn apply_datagram(
    context: &ServeContext,
    socket: &UdpSocket,
    bytes: &[u8],
    sender: SocketAddr,
    since: Moment,
    state: &OwnState,
) {
    let now = Moment::now();
    let note_unreadable = || {
        let reason = format!("{} bytes from {sender}", bytes.len());
        note_loss(context, MessageLoss::Unreadable, &reason);
    };
    if OriginMessage::is_marked(bytes) {
        match OriginMessage::decode(bytes, now) {
            Some(message) => apply_origin_message(context, message, sender, now),
            None => note_unreadable(),
        }
        return;
    }
    let Some(message) = PeerMessage::decode_waiting(bytes, since, now) else {
        note_unreadable();
        return;
    };
    let is_from_attached = context.members.borrow().is_attached(&message.member.name);
    if message.is_for_relay && !is_from_attached {
        let relayed = message.clone().relayed();
        send_to_all(socket, &relayed, context, true).await;
    }
    // It goes on under this daemon's name, since attached daemons are known to few others.
    let passed = message.concerns_all().then(|| message.passed_on(own_descriptor(state)));
    apply_message(context, message, now);
    if let Some(passed) = passed {
        pass_on(context, socket, &passed, is_from_attached).await;
    }
}
