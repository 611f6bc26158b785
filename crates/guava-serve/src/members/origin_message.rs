//! Datagrams in which daemons tell and ask each other where streams began.
//!
//! They are apart from the other messages, since one goes out for nearly each stream: they name no
//! sender and carry nothing else.

use crate::members::peer_message::{address_from_wire, wire_address};
use guava_policy::{OriginNotice, OriginRecord, StreamOrigin};
use guava_types::{Deadline, Moment, StreamKey};
use prost::Message;
use std::net::SocketAddr;

/// First byte of these datagrams; no encoded `PeerMessage` begins with it.
const ORIGIN_MARK: u8 = 0;
/// Most notices, queries and answers of each kind in one datagram.
const MAX_ITEMS: usize = 32;

/// What a daemon tells or asks of streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OriginMessage {
    /// Streams that began.
    pub notices: Vec<OriginNotice>,
    /// Streams that are asked about.
    pub queries: Vec<StreamKey>,
    /// What is known of streams that were asked about.
    pub answers: Vec<(StreamKey, OriginRecord)>,
    /// Whether the receiver passes notices and queries on to the homes of their streams.
    pub is_for_homes: bool,
    /// Where answers go; to the sender if `None`.
    pub reply_to: Option<SocketAddr>,
}

#[derive(Clone, PartialEq, Message)]
struct WireOrigin {
    #[prost(bytes = "vec", tag = "1")]
    stream: Vec<u8>,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    software: String,
    #[prost(uint64, tag = "4")]
    left_ms: u64,
    /// In an answer: the stream began at several places.
    #[prost(bool, tag = "5")]
    is_ambiguous: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireOriginMessage {
    #[prost(message, repeated, tag = "1")]
    notices: Vec<WireOrigin>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    queries: Vec<Vec<u8>>,
    #[prost(message, repeated, tag = "3")]
    answers: Vec<WireOrigin>,
    #[prost(bool, tag = "4")]
    is_for_homes: bool,
    #[prost(bytes = "vec", tag = "5")]
    reply_to: Vec<u8>,
}

impl WireOrigin {
    fn of(stream: StreamKey, origin: Option<&StreamOrigin>) -> Self {
        Self {
            stream: stream.to_bytes(),
            service: origin.map(|origin| origin.service.to_string()).unwrap_or_default(),
            software: origin.map(|origin| origin.software.to_string()).unwrap_or_default(),
            ..Self::default()
        }
    }

    fn notice(notice: &OriginNotice, now: Moment) -> Self {
        let left_ms = notice.until.millis_left(now);
        Self { left_ms, ..Self::of(notice.stream, Some(&notice.origin)) }
    }

    fn answer((stream, record): &(StreamKey, OriginRecord)) -> Self {
        match record {
            OriginRecord::Known(origin) => Self::of(*stream, Some(origin)),
            OriginRecord::Ambiguous => Self { is_ambiguous: true, ..Self::of(*stream, None) },
            OriginRecord::Unknown => Self::of(*stream, None),
        }
    }

    fn decode_origin(&self) -> Option<StreamOrigin> {
        let (service, software) = (self.service.parse().ok()?, self.software.parse().ok()?);
        Some(StreamOrigin { service, software })
    }

    fn decode_notice(&self, now: Moment) -> Option<OriginNotice> {
        Some(OriginNotice {
            stream: StreamKey::from_bytes(&self.stream)?,
            origin: self.decode_origin()?,
            until: Deadline::after(now, self.left_ms),
        })
    }

    fn decode_answer(&self) -> Option<(StreamKey, OriginRecord)> {
        let stream = StreamKey::from_bytes(&self.stream)?;
        let record = match self.decode_origin() {
            _ if self.is_ambiguous => OriginRecord::Ambiguous,
            Some(origin) => OriginRecord::Known(origin),
            None => OriginRecord::Unknown,
        };
        Some((stream, record))
    }
}

impl OriginMessage {
    /// Encodes the message, in as many datagrams as it takes.
    pub fn datagrams(&self, now: Moment) -> Vec<Vec<u8>> {
        let longest = self.notices.len().max(self.queries.len()).max(self.answers.len());
        let datagram = |number: usize| {
            let wire = WireOriginMessage {
                notices: chunk(&self.notices, number, |it| WireOrigin::notice(it, now)),
                queries: chunk(&self.queries, number, |stream| stream.to_bytes()),
                answers: chunk(&self.answers, number, WireOrigin::answer),
                is_for_homes: self.is_for_homes,
                reply_to: self.reply_to.as_ref().map(wire_address).unwrap_or_default(),
            };
            let mut bytes = vec![ORIGIN_MARK];
            bytes.extend(wire.encode_to_vec());
            bytes
        };
        (0..longest.div_ceil(MAX_ITEMS)).map(datagram).collect()
    }

    /// Whether a datagram has the mark of these messages.
    pub fn is_marked(bytes: &[u8]) -> bool {
        bytes.first() == Some(&ORIGIN_MARK)
    }

    /// Decodes a datagram; `None` if it is none of these. Items that can't be read are skipped.
    pub fn decode(bytes: &[u8], now: Moment) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[ORIGIN_MARK])?;
        let wire = WireOriginMessage::decode(bytes).ok()?;
        let notice = |it: &WireOrigin| it.decode_notice(now);
        Some(Self {
            notices: wire.notices.iter().filter_map(notice).collect(),
            queries: wire.queries.iter().filter_map(|it| StreamKey::from_bytes(it)).collect(),
            answers: wire.answers.iter().filter_map(WireOrigin::decode_answer).collect(),
            is_for_homes: wire.is_for_homes,
            reply_to: address_from_wire(&wire.reply_to),
        })
    }
}

fn chunk<T, W>(items: &[T], number: usize, encode: impl Fn(&T) -> W) -> Vec<W> {
    items.chunks(MAX_ITEMS).nth(number).unwrap_or_default().iter().map(encode).collect()
}
