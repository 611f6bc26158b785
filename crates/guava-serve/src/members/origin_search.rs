//! Tells peers where streams began, and asks them.
//!
//! A daemon that begins a stream keeps where, and tells the stream's homes before it relays the first
//! event. Each daemon finds the same homes for a stream, as far as it knows the same daemons. Where a
//! stream is taken up, the daemon looks in its own table first and then asks the homes.

use crate::members::member_table::MemberRole;
use crate::members::origin_exchange::{OriginAddress, OriginExchange};
use crate::members::origin_message::OriginMessage;
use crate::serve_context::ServeContext;
use guava_policy::{
    ASKED_HOMES, ORIGIN_COPIES, OriginNotice, OriginRecord, QueryState, StreamOrigin,
};
use guava_types::{Deadline, Moment, StreamKey};
use std::net::SocketAddr;
use tokio::time::timeout;

/// Time for the answers to a query, in milliseconds: a few round trips between data centres.
const QUERY_TIMEOUT_MS: u64 = 300;
/// Time after which a query is sent once more, in milliseconds, since datagrams get lost.
const REPEAT_MS: u64 = 80;

/// Result of a search for where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginSearch {
    /// It began there, as this daemon knew itself.
    Here(StreamOrigin),
    /// It began there, as a peer told.
    Peer(StreamOrigin),
    /// No daemon that may know it knows where it began.
    Unknown,
    /// The daemons that may know it don't answer.
    Unanswered,
}

impl OriginSearch {
    /// Value of the log's `source` key, and of the metric's label.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Here(_) => "known-here",
            Self::Peer(_) => "known-by-peer",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Records where a stream began, and queues that for its homes; returns the daemons that are told.
pub fn note_origin(context: &ServeContext, notice: OriginNotice, now: Moment) -> Vec<SocketAddr> {
    context.origins.table.borrow_mut().note(notice.clone(), now);
    tell_homes(context, &notice, now)
}

fn tell_homes(context: &ServeContext, notice: &OriginNotice, now: Moment) -> Vec<SocketAddr> {
    let members = context.members.borrow();
    // The core daemons of an attached one pass it on, so one of them is enough.
    let is_attached = members.role() == MemberRole::Attached;
    let copies = if is_attached { 1 } else { ORIGIN_COPIES };
    let mut homes =
        members.origin_homes(&context.identity.name, notice.stream, ORIGIN_COPIES + 1, now);
    homes.truncate(copies);
    for home in &homes {
        let address = OriginAddress { is_for_homes: is_attached, ..OriginAddress::of(*home) };
        context.origins.post(address, |message| message.notices.push(notice.clone()));
    }
    homes
}

/// Finds out where a stream began: from this daemon's own table, else from the stream's homes, which
/// are waited for until the deadline at most.
pub async fn find_origin(
    context: &ServeContext,
    stream: StreamKey,
    deadline: Deadline,
) -> OriginSearch {
    let now = Moment::now();
    match context.origins.table.borrow().find(stream, now) {
        OriginRecord::Known(origin) => return OriginSearch::Here(origin),
        OriginRecord::Ambiguous => return OriginSearch::Unknown,
        OriginRecord::Unknown => {}
    }
    let (homes, is_attached, is_listed) = {
        let members = context.members.borrow();
        let homes = members.origin_homes(&context.identity.name, stream, ASKED_HOMES, now);
        (homes, members.role() == MemberRole::Attached, members.is_listed())
    };
    if homes.is_empty() {
        // A daemon that has just started knows no others yet.
        return if is_listed { OriginSearch::Unknown } else { OriginSearch::Unanswered };
    }
    let exchange = &context.origins;
    // Homes answer in place of the core daemons that an attached one asks.
    let asked = (!is_attached).then_some(homes.len());
    let ticket = exchange.query(stream, asked);
    let until = Deadline::after(now, QUERY_TIMEOUT_MS).earlier(deadline);
    let repeat_at = Deadline::after(now, REPEAT_MS);
    let mut is_repeated = false;
    ask(exchange, &homes, is_attached, stream);
    loop {
        match ticket.state() {
            QueryState::Found(origin) => return OriginSearch::Peer(origin),
            QueryState::Unknown => return OriginSearch::Unknown,
            QueryState::Open => {}
        }
        if until.passed(Moment::now()) {
            let is_answered = ticket.is_answered();
            return if is_answered { OriginSearch::Unknown } else { OriginSearch::Unanswered };
        }
        if !is_repeated && repeat_at.passed(Moment::now()) {
            is_repeated = true;
            ask(exchange, &homes, is_attached, stream);
        }
        let next = if is_repeated { until } else { repeat_at.earlier(until) };
        // A time-out and a notification have the same effect.
        drop(timeout(next.time_left(), exchange.answered.notified()).await);
    }
}

fn ask(exchange: &OriginExchange, homes: &[SocketAddr], is_attached: bool, stream: StreamKey) {
    for home in homes {
        let address = OriginAddress { is_for_homes: is_attached, ..OriginAddress::of(*home) };
        exchange.post(address, |message| message.queries.push(stream));
    }
}

/// Applies a message that a peer sent.
pub fn apply_origin_message(
    context: &ServeContext,
    message: OriginMessage,
    sender: SocketAddr,
    now: Moment,
) {
    let exchange = &context.origins;
    // Attached daemons know too few others to pass anything on.
    let is_passed_on = message.is_for_homes && context.members.borrow().role() == MemberRole::Core;
    for notice in message.notices {
        if is_passed_on {
            tell_homes(context, &notice, now);
        }
        exchange.table.borrow_mut().note(notice, now);
    }
    let asker = message.reply_to.unwrap_or(sender);
    for stream in message.queries {
        let record = exchange.table.borrow().find(stream, now);
        if record == OriginRecord::Unknown && is_passed_on {
            pass_query(context, stream, asker, now);
        }
        let answer = |reply: &mut OriginMessage| reply.answers.push((stream, record));
        exchange.post(OriginAddress::of(asker), answer);
    }
    for (stream, record) in message.answers {
        exchange.note_answer(stream, sender, record);
    }
}

/// Passes the query of an attached daemon on to the homes, which answer it themselves.
fn pass_query(context: &ServeContext, stream: StreamKey, asker: SocketAddr, now: Moment) {
    let members = context.members.borrow();
    for home in members.origin_homes(&context.identity.name, stream, ASKED_HOMES, now) {
        let address = OriginAddress { reply_to: Some(asker), ..OriginAddress::of(home) };
        context.origins.post(address, |message| message.queries.push(stream));
    }
}
