//! Copies the list of upstreams from a peer.
//!
//! The platform's store answers all daemons over one link. If each daemon that starts read the whole
//! list there, the reads would take longer the more daemons and upstreams there are, until none ends
//! in time. So only the reader and its standbys read it there; the others copy it, page by page, from
//! a daemon that has it, and each that has it is a source for further ones.
//!
//! A page that can't be read, that is too old or that exceeds the limits is refused, and another peer
//! is asked. What a copy lacks because the list changed meanwhile shows as a different digest.

use crate::events;
use crate::members::peer_message::{address_from_wire, wire_address};
use crate::serve_context::ServeContext;
use crate::upstreams::http_call::{CallError, call_request};
use crate::upstreams::list_order::ListRevision;
use crate::upstreams::upstream_table::{RingPosition, UpstreamEntry, WeightVersion};
use guava_log::log_event;
use guava_types::{
    ByteCount, DataCentre, Deadline, FastMap, ModelName, Moment, ServiceName, UpstreamId,
};
use http::{Method, StatusCode};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;

/// Path under which a daemon answers with pages of its list.
pub const LIST_PATH: &str = "/peer/upstreams";
/// Entries in one page: some fifty kilobytes, which a weak VM's link carries in some ten
/// milliseconds.
const PAGE_ENTRIES: usize = 600;
/// Most entries that a copy may have. More can only be an error of the peer.
const MAX_ENTRIES: usize = 200_000;
/// Time for one page, in milliseconds.
const PAGE_TIMEOUT_MS: u64 = 1_000;
/// Idle limit of the connection to a peer, in milliseconds: it is used for one copy.
const IDLE_LIMIT_MS: u64 = 2_000;

/// Why no list was copied.
#[derive(Debug, Snafu)]
pub enum CopyError {
    /// No peer is known that could have the list.
    #[snafu(display("no peer is known"))]
    NoPeer,
    /// The peer did not answer.
    #[snafu(display("{peer}: {source}"))]
    Call {
        /// Address of the peer.
        peer: SocketAddr,
        /// Failure of the call.
        source: CallError,
    },
    /// The peer has no list, or sends copies to others now.
    #[snafu(display("{peer}: status {status}"))]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// Status of its answer.
        status: StatusCode,
    },
    /// The page is truncated, names values that are none, or is too long.
    #[snafu(display("{peer}: not a valid page of the list"))]
    Invalid {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer has not confirmed its list for too long.
    #[snafu(display("{peer}: its list was last confirmed {age_ms} ms ago"))]
    Old {
        /// Address of the peer.
        peer: SocketAddr,
        /// Age of the list, in milliseconds.
        age_ms: u64,
    },
}

/// A whole list, as peers had it.
#[derive(Debug)]
pub struct ListCopy {
    /// All entries.
    pub entries: Vec<UpstreamEntry>,
    /// All records before this one are contained in the entries.
    pub position: ListRevision,
    /// Moment as of which the list was confirmed, on this daemon's clock.
    pub as_of: Moment,
}

#[derive(Clone, PartialEq, Message)]
struct WirePageEntry {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(bytes = "vec", tag = "2")]
    address: Vec<u8>,
    #[prost(uint32, tag = "3")]
    service: u32,
    #[prost(uint32, tag = "4")]
    data_centre: u32,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    is_leaving: bool,
    #[prost(uint32, repeated, tag = "7")]
    models: Vec<u32>,
    #[prost(uint64, repeated, tag = "8")]
    versions: Vec<u64>,
    #[prost(uint64, tag = "9")]
    cold_left_ms: u64,
    #[prost(uint64, tag = "10")]
    revision: u64,
}

/// A page; names that many entries share are indices into `names`.
#[derive(Clone, PartialEq, Message)]
struct WirePage {
    #[prost(string, repeated, tag = "1")]
    names: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<WirePageEntry>,
    #[prost(uint64, tag = "3")]
    position: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(bool, tag = "5")]
    has_more: bool,
    /// Number of entries, so that a truncated page is not taken for a short one.
    #[prost(uint64, tag = "6")]
    count: u64,
}

/// Indices of the names in a page.
#[derive(Default)]
struct NameTable {
    names: Vec<String>,
    indices: FastMap<String, u32>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }
}

/// The page of this daemon's list after a place, given as the query of a peer's call; `None` if the
/// list is unknown, not confirmed for too long, or others are being sent copies.
pub fn compose_page(context: &ServeContext, query: Option<&str>, now: Moment) -> Option<Vec<u8>> {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = match after {
        Some(text) => Some(RingPosition(u128::from_str_radix(text, 16).ok()?)),
        None => None,
    };
    let upstreams = context.upstreams.borrow();
    let age_ms = context.list_age_ms(now).filter(|_| upstreams.is_known())?;
    if age_ms > context.bounds.leave_limit_ms || !context.copies.borrow_mut().is_open(now) {
        return None;
    }
    let mut names = NameTable::default();
    let entries: Vec<WirePageEntry> = upstreams
        .page(after, PAGE_ENTRIES)
        .map(|entry| wire_entry(entry, &mut names, now))
        .collect();
    let page = WirePage {
        has_more: entries.len() == PAGE_ENTRIES,
        count: entries.len() as u64,
        entries,
        names: names.names,
        position: upstreams.list_position().0,
        age_ms,
    };
    let bytes = page.encode_to_vec();
    context.copies.borrow_mut().take(ByteCount(bytes.len() as u64));
    Some(bytes)
}

fn wire_entry(entry: &UpstreamEntry, names: &mut NameTable, now: Moment) -> WirePageEntry {
    WirePageEntry {
        upstream: entry.id.to_string(),
        address: wire_address(&entry.address),
        service: names.index(entry.service.as_str()),
        data_centre: names.index(entry.data_centre.as_str()),
        slots: entry.slots,
        is_leaving: entry.is_leaving,
        models: entry.versions.keys().map(|model| names.index(model.as_str())).collect(),
        versions: entry.versions.values().map(|version| version.0).collect(),
        cold_left_ms: entry.cold_until.millis_left(now),
        revision: entry.revision.0,
    }
}

fn page_entry(wire: &WirePageEntry, names: &[String], now: Moment) -> Option<UpstreamEntry> {
    let name = |index: &u32| names.get(usize::try_from(*index).ok()?);
    let version = |(model, version): (&u32, &u64)| {
        Some((name(model)?.parse::<ModelName>().ok()?, WeightVersion(*version)))
    };
    let versions: Option<Vec<_>> = wire.models.iter().zip(&wire.versions).map(version).collect();
    let is_cold = wire.cold_left_ms > 0;
    Some(UpstreamEntry {
        id: wire.upstream.parse::<UpstreamId>().ok()?,
        revision: ListRevision(wire.revision),
        service: name(&wire.service)?.parse::<ServiceName>().ok()?,
        address: address_from_wire(&wire.address)?,
        data_centre: name(&wire.data_centre)?.parse::<DataCentre>().ok()?,
        slots: wire.slots,
        is_leaving: wire.is_leaving,
        cold_until: if is_cold {
            Deadline::after(now, wire.cold_left_ms)
        } else {
            Deadline::default()
        },
        versions: versions?.into_iter().collect(),
    })
}

/// Copies the whole list from peers. A page that one peer does not give is asked of the next one; a
/// copy ends when `sources` are used up.
pub async fn copy_list(
    context: &ServeContext,
    sources: Vec<SocketAddr>,
) -> Result<ListCopy, CopyError> {
    let mut copy: Option<ListCopy> = None;
    let mut failure = CopyError::NoPeer;
    for peer in sources {
        match copy_from(context, peer, &mut copy).await {
            Ok(copy) => return Ok(copy),
            Err(error) => {
                if matches!(error, CopyError::Invalid { .. } | CopyError::Old { .. }) {
                    context.metrics.count_refused_copy();
                    log_event!(warn, events::COPY_REFUSED, reason = error);
                }
                failure = error;
            }
        }
    }
    Err(failure)
}

/// Copies the pages that are still lacking from one peer.
async fn copy_from(
    context: &ServeContext,
    peer: SocketAddr,
    copy: &mut Option<ListCopy>,
) -> Result<ListCopy, CopyError> {
    loop {
        let last = copy.as_ref().and_then(|copy| copy.entries.last());
        let after = last.map(|entry| RingPosition::of(entry.id.name()));
        let asked = Moment::now();
        let page = call_page(context, peer, after).await?;
        let has_more = add_page(context, peer, page, asked, copy)?;
        if !has_more && let Some(copy) = copy.take() {
            return Ok(copy);
        }
    }
}

async fn call_page(
    context: &ServeContext,
    peer: SocketAddr,
    after: Option<RingPosition>,
) -> Result<WirePage, CopyError> {
    let query = after.map(|RingPosition(place)| format!("?after={place:x}")).unwrap_or_default();
    let request = call_request(Method::GET, peer, &format!("{LIST_PATH}{query}"), Vec::new());
    let deadline = Deadline::in_millis(PAGE_TIMEOUT_MS);
    let answer = context.pool.call(peer, request, deadline, IDLE_LIMIT_MS).await;
    let answer = answer.context(CallSnafu { peer })?;
    if answer.status != StatusCode::OK {
        return RefusedSnafu { peer, status: answer.status }.fail();
    }
    WirePage::decode(answer.body).ok().context(InvalidSnafu { peer })
}

/// Adds a page to a copy; returns whether there are further ones.
fn add_page(
    context: &ServeContext,
    peer: SocketAddr,
    page: WirePage,
    asked: Moment,
    copy: &mut Option<ListCopy>,
) -> Result<bool, CopyError> {
    if page.age_ms > context.bounds.leave_limit_ms {
        return OldSnafu { peer, age_ms: page.age_ms }.fail();
    }
    let now = Moment::now();
    let entries = page.entries.iter().map(|entry| page_entry(entry, &page.names, now));
    let entries: Vec<UpstreamEntry> =
        entries.collect::<Option<_>>().context(InvalidSnafu { peer })?;
    let known = copy.as_ref().map_or(0, |copy| copy.entries.len());
    let is_whole = page.count == entries.len() as u64 && !(page.has_more && entries.is_empty());
    if !is_whole || known + entries.len() > MAX_ENTRIES {
        return InvalidSnafu { peer }.fail();
    }
    let (position, as_of) = (ListRevision(page.position), asked.minus_millis(page.age_ms));
    let copy = copy.get_or_insert_with(|| ListCopy { entries: Vec::new(), position, as_of });
    // The pages are no snapshot: what is certain is what the earliest of them contained.
    copy.position = copy.position.min(position);
    copy.as_of = copy.as_of.min(as_of);
    copy.entries.extend(entries);
    Ok(page.has_more)
}
