//! Splits a message between daemons into datagrams of at most `MAX_DATAGRAM_BYTES`.
//!
//! The work shares of a daemon replace those of its previous message, so they stay in one datagram.
//! Lists whose items are independent of each other are continued in further datagrams.

use crate::members::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use guava_types::Moment;

/// Encodes a message as datagrams; nearly always one. A single list item that exceeds the maximum
/// is encoded nevertheless, as a datagram that is too long.
pub fn datagrams(message: &PeerMessage, now: Moment) -> Vec<Vec<u8>> {
    let complete = message.encode(now);
    if complete.len() <= MAX_DATAGRAM_BYTES {
        return vec![complete];
    }
    let (first, rest) = detach_lists(message.clone());
    let mut fitting = vec![cut_shares(first, now)];
    push_fitting(rest, now, &mut fitting);
    fitting
}

/// Moves the independent lists out of a message. Returns the message without them, and a
/// continuation that carries them.
fn detach_lists(mut first: PeerMessage) -> (PeerMessage, PeerMessage) {
    let rest = PeerMessage {
        sent: std::mem::take(&mut first.sent),
        returns: std::mem::take(&mut first.returns),
        stores: std::mem::take(&mut first.stores),
        loaded: std::mem::take(&mut first.loaded),
        listed: std::mem::take(&mut first.listed),
        // The digest is sent in the same message as the changes that lead to it.
        list: first.list.take(),
        list_position: first.list_position,
        slow_links: std::mem::take(&mut first.slow_links),
        speeds: std::mem::take(&mut first.speeds),
        reported_loads: std::mem::take(&mut first.reported_loads),
        ended: std::mem::take(&mut first.ended),
        limits: std::mem::take(&mut first.limits),
        leaving: std::mem::take(&mut first.leaving),
        brittle: std::mem::take(&mut first.brittle),
        ..first.continued()
    };
    (first, rest)
}

/// Encodes a message, and drops the smallest shares, a quarter at a time, until it fits or
/// none is left.
fn cut_shares(mut message: PeerMessage, now: Moment) -> Vec<u8> {
    let mut bytes = message.encode(now);
    while bytes.len() > MAX_DATAGRAM_BYTES && !message.shares.is_empty() {
        let mut shares: Vec<_> = message.shares.drain().collect();
        shares.sort_unstable_by_key(|(_, share)| std::cmp::Reverse(share.memory));
        shares.truncate(shares.len() * 3 / 4);
        message.shares = shares.into_iter().collect();
        bytes = message.encode(now);
    }
    bytes
}

/// Encodes a message of lists; halves the lists until each datagram fits.
fn push_fitting(message: PeerMessage, now: Moment, fitting: &mut Vec<Vec<u8>>) {
    let bytes = message.encode(now);
    let longest = longest_list(&message);
    if bytes.len() <= MAX_DATAGRAM_BYTES || longest <= 1 {
        fitting.push(bytes);
        return;
    }
    let (first, second) = halve(message);
    push_fitting(first, now, fitting);
    push_fitting(second, now, fitting);
}

/// Length of the longest of the lists that can be split.
fn longest_list(message: &PeerMessage) -> usize {
    let lengths = [
        message.sent.len(),
        message.returns.len(),
        message.stores.len(),
        message.loaded.len(),
        message.listed.len(),
        message.slow_links.len(),
        message.speeds.len(),
        message.reported_loads.len(),
        message.ended.len(),
        message.limits.len(),
        message.leaving.len(),
        message.brittle.len(),
    ];
    lengths.into_iter().max().unwrap_or(0)
}

/// Moves the second half of each list into a continuation.
fn halve(mut first: PeerMessage) -> (PeerMessage, PeerMessage) {
    fn second_half<T>(list: &mut Vec<T>) -> Vec<T> {
        list.split_off(list.len().div_ceil(2))
    }
    let second = PeerMessage {
        sent: second_half(&mut first.sent),
        returns: second_half(&mut first.returns),
        stores: second_half(&mut first.stores),
        loaded: second_half(&mut first.loaded),
        listed: second_half(&mut first.listed),
        list: first.list.take(),
        list_position: first.list_position,
        slow_links: second_half(&mut first.slow_links),
        speeds: second_half(&mut first.speeds),
        reported_loads: second_half(&mut first.reported_loads),
        ended: second_half(&mut first.ended),
        limits: second_half(&mut first.limits),
        leaving: second_half(&mut first.leaving),
        brittle: second_half(&mut first.brittle),
        ..first.continued()
    };
    (first, second)
}
