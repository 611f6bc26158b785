//! The task that follows the part stores and frees unreferenced parts in them.
//!
//! Following a store means to poll it for changes and keep the part index up to date with them.

use crate::events;
use crate::members::member_table::MemberRole;
use crate::members::shared_reads::read_as_of;
use crate::parts::cache_salt::salt_version;
use crate::parts::part_eviction::{FREE_TIMEOUT_MS, evict_parts, free_rank, list_broken_saves};
use crate::parts::part_index::HeldPart;
use crate::parts::retirement_word::end_expired_retirements;
use crate::ports::{FreeOrder, PartPort, PortError};
use crate::serve_context::ServeContext;
use crate::weights::rollout_state::is_salt_unreferenced;
use guava_log::log_event;
use guava_types::{Deadline, FastMap, Moment};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How long one call for changes waits for them, in milliseconds. Calls that wait at least 200 ms are
/// free.
const EVENTS_WAIT_MS: u64 = 500;
/// Shortest and longest delay after a failed call, in milliseconds; it doubles with each failure.
const MIN_RETRY_MS: u64 = 300;
const MAX_RETRY_MS: u64 = 1_200;
/// Interval between two checks of which stores are configured, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// The same interval until there is a configuration, in milliseconds. A daemon that has just started
/// reads it within a few calls, and prompts that it accepts before it follows the stores are prefilled
/// without cached parts. With the longer interval, this happened to the prompts of half a second after
/// all daemons had started together.
const STARTUP_CHECK_INTERVAL_MS: u64 = 25;
/// Number of parts freed in one call.
const MAX_FREED_PARTS: usize = 200;

/// Interval in which a daemon that has started looks whether it has heard of all retirements, in
/// milliseconds.
const INFORM_INTERVAL_MS: u64 = 100;
/// Longest time for which it waits for that, in milliseconds: by then all daemons that it can't hear
/// are known to be silent, and those that don't know it by name have been told that there are such.
const MAX_INFORM_MS: u64 = 5_000;

/// Number of daemons in each data centre that follow one store, if there are at most
/// [`FEW_DATA_CENTRES`].
const FOLLOWERS_PER_DATA_CENTRE: usize = 2;
/// Number of data centres above which only one daemon in each follows a store: a store answers only
/// about a dozen calls at a time.
const FEW_DATA_CENTRES: usize = 4;

/// Endless task: follows those configured stores for which this daemon's rank is low enough, lists
/// them in `followed`, and frees unreferenced parts and those that are worth least in full stores.
pub async fn follow_stores(
    context: Rc<ServeContext>,
    port: Rc<PartPort>,
    followed: Rc<RefCell<Vec<SocketAddr>>>,
) {
    let mut followers: FastMap<SocketAddr, JoinHandle<()>> = FastMap::default();
    let informed_at = Deadline::in_millis(MAX_INFORM_MS);
    context.part_index.borrow_mut().note_uninformed(informed_at);
    loop {
        let config = context.config.borrow().current().cloned();
        if let Some(config) = config {
            let configured: Vec<SocketAddr> =
                config.stores.iter().map(|store| store.address).collect();
            let now = Moment::now();
            let is_few = context.members.borrow().data_centres(now) <= FEW_DATA_CENTRES;
            let local_followers = if is_few { FOLLOWERS_PER_DATA_CENTRE } else { 1 };
            let own: Vec<SocketAddr> = configured
                .into_iter()
                .filter(|store| local_rank(&context, *store, now) < local_followers)
                .collect();
            followers.retain(|address, follower| {
                let is_kept = own.contains(address);
                if !is_kept {
                    follower.abort();
                }
                is_kept
            });
            *followed.borrow_mut() = own.clone();
            for address in own {
                let start = || {
                    let follow = follow_store(Rc::clone(&context), Rc::clone(&port), address);
                    tokio::task::spawn_local(follow)
                };
                followers.entry(address).or_insert_with(start);
            }
        }
        end_expired_retirements(&context, Moment::now());
        free_unreferenced(&context, &port).await;
        list_broken_saves(&context, &port).await;
        evict_parts(&context, &port).await;
        let is_configured = context.config.borrow().current().is_some();
        let interval_ms = match (is_configured, is_informed(&context)) {
            (false, _) => STARTUP_CHECK_INTERVAL_MS,
            (true, false) => INFORM_INTERVAL_MS,
            (true, true) => CHECK_INTERVAL_MS,
        };
        sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Whether this daemon knows of the retirements that others know of: it has heard all that it can
/// hear. Those to which an attached daemon is not attached learn only after some time that there is
/// one.
fn is_informed(context: &ServeContext) -> bool {
    let now = Moment::now();
    let members = context.members.borrow();
    let mut index = context.part_index.borrow_mut();
    if members.role() == MemberRole::Core && members.all_heard(now) {
        index.note_uninformed(now.into());
    }
    index.is_informed(now)
}

/// This daemon's rank among those of its data centre that may follow a store.
fn local_rank(context: &ServeContext, store: SocketAddr, now: Moment) -> usize {
    context.members.borrow().local_rank(&context.identity.name, &store.to_string(), now)
}

async fn follow_store(context: Rc<ServeContext>, port: Rc<PartPort>, store: SocketAddr) {
    let mut position = None;
    let mut retry_ms = MIN_RETRY_MS;
    loop {
        let was_known = position.is_some();
        match poll_once(&context, &port, store, position).await {
            Ok(next) => {
                position = next;
                retry_ms = MIN_RETRY_MS;
            }
            Err(error) => {
                position = None;
                context.part_index.borrow_mut().forget_store(store);
                if was_known {
                    log_event!(warn, events::STORE_FORGOTTEN, store = store, reason = error);
                }
                // A store answers few calls at a time, and refuses while more daemons ask it.
                let draw: f64 = rand::random();
                sleep(Duration::from_millis(retry_ms + (retry_ms as f64 * draw) as u64)).await;
                retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
            }
        }
        if let Some(since) = position.filter(|_| !was_known) {
            let epoch = context.part_index.borrow().epoch(store).unwrap_or_default();
            log_event!(info, events::STORE_KNOWN, store = store, since = since, epoch = epoch);
        }
    }
}

/// Polls a store once and applies its report. Returns the position from which its changes follow;
/// `None` if its contents are to be listed.
///
/// Contents begin with a list: what is put together from a store's earlier changes holds each part whose
/// removal was never told.
async fn poll_once(
    context: &ServeContext,
    port: &PartPort,
    store: SocketAddr,
    position: Option<u64>,
) -> Result<Option<u64>, PortError> {
    let is_list_due = context.part_index.borrow_mut().take_list_due(store, Moment::now());
    let Some(since) = position.filter(|_| !is_list_due) else {
        return read_list(context, port, store).await.map(Some);
    };
    let requested = Moment::now();
    let report = (port.events)(store, since, EVENTS_WAIT_MS).await?;
    let now = Moment::now();
    if let Some(clock_ms) = report.clock_ms {
        context.note_upstream_clock(clock_ms, now);
    }
    note_start(context, store, report.epoch, now);
    if report.is_gapped {
        context.part_index.borrow_mut().forget_store(store);
        return Ok(None);
    }
    let passed = report.next.saturating_sub(since);
    let missing = passed.saturating_sub(report.events.len() as u64);
    let as_of = read_as_of(requested, EVENTS_WAIT_MS, report.events.is_empty(), now);
    let mut index = context.part_index.borrow_mut();
    if !index.note_events(store, report.epoch, report.events, as_of) {
        // The store restarted, so its event numbers start again.
        return Ok(None);
    }
    if missing > 0 {
        log_event!(
            info,
            events::PART_EVENTS_MISSING,
            store = store,
            missing = missing,
            since = since
        );
    }
    Ok(Some(report.next))
}

/// Lists a store. Returns the position from which its changes follow.
async fn read_list(
    context: &ServeContext,
    port: &PartPort,
    store: SocketAddr,
) -> Result<u64, PortError> {
    let requested = Moment::now();
    let list = (port.list)(store).await?;
    note_start(context, store, list.epoch, Moment::now());
    context.part_index.borrow_mut().note_list(store, list.epoch, list.held, requested);
    Ok(list.next)
}

fn note_start(context: &ServeContext, store: SocketAddr, epoch: u64, now: Moment) {
    let before = context.part_index.borrow_mut().note_start(store, epoch, now);
    if let Some(before) = before {
        log_event!(info, events::STORE_STARTED, store = store, epoch = epoch, before = before);
    }
}

/// Parts in a store whose weights no engine has any more, with the store's epoch; none while the list of
/// engines may lack some that others use.
pub fn unreferenced_parts(
    context: &ServeContext,
    store: SocketAddr,
    now: Moment,
) -> (u64, Vec<HeldPart>) {
    let upstreams = context.upstreams.borrow();
    let targets = context.targets.borrow();
    let limit_ms = context.bounds.leave_limit_ms;
    let is_current = context.list_age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms);
    let is_unreferenced =
        |salt: &str| is_current && is_salt_unreferenced(salt, &upstreams, &targets, now);
    context.part_index.borrow().unreferenced_parts(store, is_unreferenced)
}

/// Frees parts whose weights no engine has any more, in the stores for which this daemon has rank 0.
async fn free_unreferenced(context: &ServeContext, port: &PartPort) {
    let Some(config) = context.config.borrow().current().cloned() else { return };
    for store in config.stores.iter().filter(|store| store.is_managed) {
        let now = Moment::now();
        if free_rank(context, store.address, now) > 0 {
            continue;
        }
        let (epoch, unreferenced) = unreferenced_parts(context, store.address, now);
        let newest = unreferenced.iter().filter_map(|part| salt_version(&part.salt)).max();
        let weights = newest.map(|(_, version)| version).unwrap_or_default();
        for chunk in unreferenced.chunks(MAX_FREED_PARTS) {
            let until_ms = context.upstream_clock_in(FREE_TIMEOUT_MS, now);
            let order = FreeOrder { store: store.address, epoch, parts: chunk.to_vec(), until_ms };
            match (port.free)(order).await {
                Ok(()) => log_event!(
                    info,
                    events::PARTS_FREED,
                    store = store.address,
                    parts = chunk.len(),
                    weights = weights,
                    upstreams = context.upstreams.borrow().count(),
                    list_age_ms = context.list_age_ms(now).unwrap_or_default()
                ),
                Err(error) => {
                    log_event!(warn, events::FREEING_FAILED, store = store.address, reason = error);
                    break;
                }
            }
        }
    }
}
