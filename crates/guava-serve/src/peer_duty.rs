//! Datagrams between daemons.

use crate::member_table::MemberNote;
use crate::peer_exchange::{OwnNews, compose_message, compose_note, take_message};
use crate::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use crate::rollout_state::VersionRollout;
use crate::serve_parts::ServeParts;
use guava_types::Moment;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause between two messages, in milliseconds.
const MESSAGE_MS: u64 = 250;

/// Other data centres of a large deployment are told one message in this many, and through a relay in
/// each: with 84 daemons in five data centres, telling all of them once a second was 0.058 of the
/// 0.19 GB that crossed between data centres on a quiet day of half a minute.
const REMOTE_EVERY: u64 = 4;

/// What this daemon tells the others about itself.
#[derive(Clone)]
pub struct OwnState {
    /// Who it is.
    pub me: MemberNote,
    /// Whether callers should be sent to it.
    pub is_ready: Rc<Cell<bool>>,
    /// Weights under way.
    pub rollout: Rc<RefCell<VersionRollout>>,
    /// Stores of cached parts that it follows.
    pub followed: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Tells all daemons about this one, for ever.
pub async fn tell_peers(parts: Rc<ServeParts>, socket: Rc<UdpSocket>, state: OwnState) {
    for number in 0.. {
        let now = Moment::now();
        let news = OwnNews {
            note: MemberNote { is_ready: state.is_ready.get(), ..state.me.clone() },
            loading: state.rollout.borrow().loading(now),
            loaded: state.rollout.borrow().lately_loaded(now),
            followed: state.followed.borrow().clone(),
            number,
        };
        let message = compose_message(&parts, news, now);
        let is_large = parts.members.borrow().is_large();
        send_to_all(&socket, &message.encode(now), &parts, is_large).await;
        if is_large && number.is_multiple_of(REMOTE_EVERY) {
            let relays = parts.members.borrow().relays(number / REMOTE_EVERY, now);
            send(&socket, &message.for_relay().encode(now), relays).await;
        }
        sleep(Duration::from_millis(MESSAGE_MS)).await;
    }
}

/// Sends to all daemons, or only to those in this data centre.
async fn send_to_all(socket: &UdpSocket, bytes: &[u8], parts: &ServeParts, only_near: bool) {
    let addresses = parts.members.borrow().peer_addresses(only_near);
    send(socket, bytes, addresses).await;
}

async fn send(socket: &UdpSocket, bytes: &[u8], addresses: Vec<SocketAddr>) {
    for address in addresses {
        // A datagram that can't be sent is as good as lost; the next one follows soon.
        drop(socket.send_to(bytes, address).await);
    }
}

/// Tells the daemons nearby about large prompts at once, for ever; those elsewhere of the ones that
/// are read for the first time.
pub async fn tell_notes(parts: Rc<ServeParts>, socket: Rc<UdpSocket>, me: MemberNote) {
    for number in 0.. {
        parts.note_due.notified().await;
        let Some(note) = compose_note(&parts, me.clone()) else { continue };
        let now = Moment::now();
        let is_large = parts.members.borrow().is_large();
        // Engines that load concern daemons everywhere.
        let only_near = is_large && note.loading.is_empty();
        send_to_all(&socket, &note.encode(now), &parts, only_near).await;
        if let Some(far) = note.note_for_relay().filter(|_| only_near) {
            let relays = parts.members.borrow().relays(number, now);
            send(&socket, &far.encode(now), relays).await;
        }
    }
}

/// Takes in what other daemons say, for ever.
pub async fn hear_peers(parts: Rc<ServeParts>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // Errors here are of datagrams sent before, to daemons that are gone.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        let now = Moment::now();
        let Some(message) = PeerMessage::decode(&buffer[..length], now) else { continue };
        if message.is_for_relay {
            let relayed = message.clone().relayed();
            send_to_all(&socket, &relayed.encode(now), &parts, true).await;
        }
        take_message(&parts, message, now);
    }
}
