//! Copies the list of upstreams, or what changed in it, from a peer.
//!
//! The platform's store answers all daemons over one link. If each daemon that starts read the whole
//! list there, or each read many changes, the reads would take longer the more daemons and upstreams
//! there are, until none ends in time. So the reader reads the store; the others copy, page by page,
//! from a daemon that has the changes, and each that has them is a source for further ones.
//!
//! A page that can't be read, that is too old or that exceeds the limits is refused, and another peer
//! is asked. What a copy lacks because the list changed meanwhile shows as a different digest.

use crate::members::peer_copy::{CopyError, InvalidSnafu, OldSnafu, call_peer, first_copy};
use crate::members::peer_message::{ListChange, address_from_wire, wire_address};
use crate::serve_context::ServeContext;
use crate::upstreams::http_call::call_request;
use crate::upstreams::list_order::ListRevision;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable, WeightVersion};
use guava_types::{
    ByteCount, DataCentre, Deadline, FastMap, ModelName, Moment, ServiceName, SoftwareVersion,
    UpstreamId,
};
use http::{Method, StatusCode};
use prost::Message;
use snafu::{OptionExt, ensure};
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
/// What a copy is called in errors.
const CONTENT: &str = "page of the list";

/// The list, or changes of it, as peers had them.
#[derive(Debug, Default)]
pub struct ListCopy {
    /// All entries, or the changes, oldest first.
    pub changes: Vec<ListChange>,
    /// Whether it is the whole list, so that upstreams that it lacks are not listed any more.
    pub is_whole: bool,
    /// All records before this one are contained in it.
    pub position: ListRevision,
    /// Moment as of which the list was confirmed, on this daemon's clock.
    pub as_of: Moment,
    /// Digest of the peer's list when it gave the last page; `None` from builds that don't state it.
    pub digest: Option<u64>,
    /// Position after the newest record that the peer's list contained then; `None` from builds that
    /// don't state it.
    pub end: Option<ListRevision>,
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
    #[prost(bool, tag = "11")]
    is_removed: bool,
    /// Index of the software version; `None` from builds that don't state it.
    #[prost(uint32, optional, tag = "12")]
    software: Option<u32>,
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
    /// Revision from which the next page begins.
    #[prost(uint64, tag = "7")]
    next: u64,
    /// Number of entries, so that a truncated page is not taken for a short one.
    #[prost(uint64, tag = "6")]
    count: u64,
    /// Digest of the list that the page was taken from.
    #[prost(fixed64, optional, tag = "8")]
    digest: Option<u64>,
    /// Position after the newest record in that list.
    #[prost(uint64, optional, tag = "9")]
    end: Option<u64>,
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

/// Which part of the list a copy is to contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRange {
    /// All entries.
    Whole,
    /// What changed since a revision.
    Since(ListRevision),
}

/// Why a daemon gives no page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageRefusal {
    /// The call names no part of the list.
    Malformed,
    /// The list is unknown, was not confirmed for too long, or others are being sent copies.
    Unavailable,
    /// What was removed since that revision is no longer known: the whole list is to be copied.
    Expired,
}

const WHOLE_QUERY: &str = "whole-since=";
const CHANGES_QUERY: &str = "since=";

/// The page of this daemon's list for a peer's call, whose query names the revision from which on
/// entries, or changes, are wanted.
pub fn compose_page(
    context: &ServeContext,
    query: Option<&str>,
    now: Moment,
) -> Result<Vec<u8>, PageRefusal> {
    let query = query.unwrap_or_default();
    let whole_since = query.strip_prefix(WHOLE_QUERY);
    let since = whole_since.or_else(|| query.strip_prefix(CHANGES_QUERY));
    let since = since.and_then(|since| since.parse().ok()).ok_or(PageRefusal::Malformed)?;
    let upstreams = context.upstreams.borrow();
    let age_ms = context.list_age_ms(now).filter(|_| upstreams.is_known());
    let age_ms = age_ms.filter(|age_ms| *age_ms <= context.bounds.leave_limit_ms);
    let age_ms = age_ms.ok_or(PageRefusal::Unavailable)?;
    if !context.copies.borrow_mut().is_open(now) {
        return Err(PageRefusal::Unavailable);
    }
    let changes = match whole_since {
        Some(_) => entries_since(&upstreams, ListRevision(since), PAGE_ENTRIES),
        None => changes_since(&upstreams, ListRevision(since), PAGE_ENTRIES)
            .ok_or(PageRefusal::Expired)?,
    };
    let mut names = NameTable::default();
    let entries: Vec<WirePageEntry> =
        changes.iter().map(|change| wire_change(change, &mut names, now)).collect();
    let page = WirePage {
        has_more: entries.len() >= PAGE_ENTRIES,
        next: changes.last().map_or(since, |change| change.revision().0 + 1),
        count: entries.len() as u64,
        entries,
        names: names.names,
        position: upstreams.list_position().0,
        age_ms,
        digest: Some(upstreams.digest()),
        end: Some(upstreams.list_end().0),
    };
    let bytes = page.encode_to_vec();
    context.copies.borrow_mut().take(ByteCount(bytes.len() as u64));
    Ok(bytes)
}

/// Changes of the list since a revision, oldest first: about `count`. `None` if removals since then
/// are no longer known.
pub fn changes_since(
    upstreams: &UpstreamTable,
    since: ListRevision,
    count: usize,
) -> Option<Vec<ListChange>> {
    let change = |(revision, id, is_removed): (ListRevision, &UpstreamId, bool)| {
        if is_removed {
            return Some(ListChange::Removed(id.clone(), revision));
        }
        upstreams.entry(id).cloned().map(ListChange::Entry)
    };
    let places = upstreams.history().since(since, count)?;
    Some(places.into_iter().filter_map(change).collect())
}

/// About `count` entries of the list since a revision, oldest first.
pub fn entries_since(
    upstreams: &UpstreamTable,
    since: ListRevision,
    count: usize,
) -> Vec<ListChange> {
    let places = upstreams.history().entries_since(since, count).into_iter();
    let entries = places.filter_map(|(_, id, _)| upstreams.entry(id).cloned());
    entries.map(ListChange::Entry).collect()
}

fn wire_change(change: &ListChange, names: &mut NameTable, now: Moment) -> WirePageEntry {
    match change {
        ListChange::Entry(entry) => wire_entry(entry, names, now),
        ListChange::Removed(id, revision) => WirePageEntry {
            upstream: id.to_string(),
            revision: revision.0,
            is_removed: true,
            ..WirePageEntry::default()
        },
    }
}

fn wire_entry(entry: &UpstreamEntry, names: &mut NameTable, now: Moment) -> WirePageEntry {
    WirePageEntry {
        upstream: entry.id.to_string(),
        address: wire_address(&entry.address),
        service: names.index(entry.service.as_str()),
        data_centre: names.index(entry.data_centre.as_str()),
        software: entry.software.as_ref().map(|version| names.index(version.as_str())),
        slots: entry.slots,
        is_leaving: entry.is_leaving,
        models: entry.versions.keys().map(|model| names.index(model.as_str())).collect(),
        versions: entry.versions.values().map(|version| version.0).collect(),
        cold_left_ms: entry.cold_until.millis_left(now),
        revision: entry.revision.0,
        is_removed: false,
    }
}

fn page_change(wire: &WirePageEntry, names: &[String], now: Moment) -> Option<ListChange> {
    if wire.is_removed {
        let id = wire.upstream.parse::<UpstreamId>().ok()?;
        return Some(ListChange::Removed(id, ListRevision(wire.revision)));
    }
    page_entry(wire, names, now).map(ListChange::Entry)
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
        software: match &wire.software {
            Some(index) => Some(name(index)?.parse::<SoftwareVersion>().ok()?),
            None => None,
        },
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

/// Copies the list, or what changed in it, from the first of these peers that gives all of it. A peer
/// that does not know all changes is asked for the whole list.
pub async fn copy_list(
    context: &ServeContext,
    sources: Vec<SocketAddr>,
    range: CopyRange,
) -> Result<ListCopy, CopyError> {
    first_copy(context, sources, async |peer| copy_from(context, peer, range).await).await
}

async fn copy_from(
    context: &ServeContext,
    peer: SocketAddr,
    range: CopyRange,
) -> Result<ListCopy, CopyError> {
    match copy_range(context, peer, range).await {
        Err(CopyError::Refused { status: StatusCode::GONE, .. }) if range != CopyRange::Whole => {
            copy_range(context, peer, CopyRange::Whole).await
        }
        other => other,
    }
}

async fn copy_range(
    context: &ServeContext,
    peer: SocketAddr,
    range: CopyRange,
) -> Result<ListCopy, CopyError> {
    let (query, mut next) = match range {
        CopyRange::Whole => (WHOLE_QUERY, 0),
        CopyRange::Since(since) => (CHANGES_QUERY, since.0),
    };
    let mut copy: Option<ListCopy> = None;
    loop {
        let asked = Moment::now();
        let page = call_page(context, peer, &format!("{LIST_PATH}?{query}{next}")).await?;
        let has_more = page.has_more;
        ensure!(!has_more || page.next > next, InvalidSnafu { peer, content: CONTENT });
        next = page.next;
        add_page(context, peer, page, asked, &mut copy)?;
        if !has_more && let Some(copy) = copy.take() {
            return Ok(ListCopy { is_whole: range == CopyRange::Whole, ..copy });
        }
    }
}

async fn call_page(
    context: &ServeContext,
    peer: SocketAddr,
    target: &str,
) -> Result<WirePage, CopyError> {
    let request = call_request(Method::GET, peer, target, Vec::new());
    let body = call_peer(context, peer, request, PAGE_TIMEOUT_MS).await?;
    WirePage::decode(body).ok().context(InvalidSnafu { peer, content: CONTENT })
}

/// Adds a page to a copy.
fn add_page(
    context: &ServeContext,
    peer: SocketAddr,
    page: WirePage,
    asked: Moment,
    copy: &mut Option<ListCopy>,
) -> Result<(), CopyError> {
    if page.age_ms > context.bounds.leave_limit_ms {
        return OldSnafu { peer, age_ms: page.age_ms }.fail();
    }
    let now = Moment::now();
    let changes = page.entries.iter().map(|entry| page_change(entry, &page.names, now));
    let changes: Vec<ListChange> =
        changes.collect::<Option<_>>().context(InvalidSnafu { peer, content: CONTENT })?;
    let known = copy.as_ref().map_or(0, |copy| copy.changes.len());
    let is_truncated = page.count != changes.len() as u64 || (page.has_more && changes.is_empty());
    ensure!(
        !is_truncated && known + changes.len() <= MAX_ENTRIES,
        InvalidSnafu { peer, content: CONTENT }
    );
    let (position, as_of) = (ListRevision(page.position), asked.minus_millis(page.age_ms));
    let copy = copy.get_or_insert_with(|| ListCopy { position, as_of, ..ListCopy::default() });
    // The pages are no snapshot: what is certain is what the earliest of them contained.
    copy.position = copy.position.min(position);
    copy.as_of = copy.as_of.min(as_of);
    copy.digest = page.digest;
    copy.end = page.end.map(ListRevision);
    copy.changes.extend(changes);
    Ok(())
}
