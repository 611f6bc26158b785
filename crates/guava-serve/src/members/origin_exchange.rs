//! What a daemon knows of where streams began, and what it is about to tell and ask of that.

use crate::members::origin_message::OriginMessage;
use guava_policy::{OriginQuery, OriginRecord, OriginTable, QueryState};
use guava_types::{FastMap, StreamKey};
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// State of the exchange between daemons.
#[derive(Debug, Default)]
pub struct OriginExchange {
    /// Streams whose beginning is known here.
    pub table: RefCell<OriginTable>,
    /// Messages that are yet to be sent.
    outbox: RefCell<FastMap<OriginAddress, OriginMessage>>,
    /// Notifies the task that sends them.
    pub due: Notify,
    queries: RefCell<FastMap<StreamKey, PendingQuery>>,
    /// Notifies requests that wait for answers.
    pub answered: Notify,
}

/// Where a message goes, and how its receiver deals with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OriginAddress {
    pub(crate) receiver: SocketAddr,
    /// Whether the receiver passes the message on to the homes of its streams.
    pub(crate) is_for_homes: bool,
    /// Where answers go; to the sender if `None`.
    pub(crate) reply_to: Option<SocketAddr>,
}

impl OriginAddress {
    pub(crate) fn of(receiver: SocketAddr) -> Self {
        Self { receiver, is_for_homes: false, reply_to: None }
    }
}

#[derive(Debug, Default)]
struct PendingQuery {
    query: OriginQuery,
    /// Requests that wait for it.
    waiting: usize,
}

impl OriginExchange {
    /// Takes the messages that are to be sent, with their receivers.
    pub fn take_due(&self) -> Vec<(SocketAddr, OriginMessage)> {
        let due = std::mem::take(&mut *self.outbox.borrow_mut());
        due.into_iter().map(|(address, message)| (address.receiver, message)).collect()
    }

    /// Adds to the next message to an address.
    pub(crate) fn post(&self, address: OriginAddress, add: impl FnOnce(&mut OriginMessage)) {
        let OriginAddress { is_for_homes, reply_to, .. } = address;
        let mut outbox = self.outbox.borrow_mut();
        let message = outbox.entry(address).or_insert_with(|| OriginMessage {
            is_for_homes,
            reply_to,
            ..OriginMessage::default()
        });
        add(message);
        self.due.notify_one();
    }

    /// Joins the query about a stream, or begins one to so many peers; `None` if it is not known which
    /// peers answer.
    pub(crate) fn query(&self, stream: StreamKey, asked: Option<usize>) -> QueryTicket<'_> {
        let mut queries = self.queries.borrow_mut();
        let pending = queries
            .entry(stream)
            .or_insert_with(|| PendingQuery { query: OriginQuery::new(asked), waiting: 0 });
        pending.waiting += 1;
        QueryTicket { exchange: self, stream }
    }

    /// Records a peer's answer, if it is awaited.
    pub(crate) fn note_answer(&self, stream: StreamKey, peer: SocketAddr, record: OriginRecord) {
        if let Some(pending) = self.queries.borrow_mut().get_mut(&stream) {
            pending.query.note(peer, record);
            self.answered.notify_waiters();
        }
    }
}

/// A request's part in a query, which ends with the last of them.
pub(crate) struct QueryTicket<'a> {
    exchange: &'a OriginExchange,
    stream: StreamKey,
}

impl QueryTicket<'_> {
    /// What is known from the answers so far.
    pub(crate) fn state(&self) -> QueryState {
        let queries = self.exchange.queries.borrow();
        queries.get(&self.stream).map_or(QueryState::Open, |pending| pending.query.state())
    }

    /// Whether any peer has answered.
    pub(crate) fn is_answered(&self) -> bool {
        let queries = self.exchange.queries.borrow();
        queries.get(&self.stream).is_some_and(|pending| pending.query.is_answered())
    }
}

impl Drop for QueryTicket<'_> {
    fn drop(&mut self) {
        let mut queries = self.exchange.queries.borrow_mut();
        let Some(pending) = queries.get_mut(&self.stream) else { return };
        pending.waiting -= 1;
        if pending.waiting == 0 {
            queries.remove(&self.stream);
        }
    }
}
