//! Follows the stores of cached parts, and frees what is of no use in them.

use crate::events;
use crate::members::shared_reads::read_as_of;
use crate::ports::{FreeOrder, PartPort, PortError};
use crate::serve_context::{ServeContext, UpstreamClock};
use crate::weights::rollout_state::is_salt_unreferenced;
use guava_log::log_event;
use guava_types::{FastMap, Moment};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Wait of one call for changes, in milliseconds. Calls that wait at least 200 ms are free.
const WAIT_MS: u64 = 500;
/// Pause after a failed call, in milliseconds.
const FAILED_PAUSE_MS: u64 = 300;
/// Pause between two looks at which stores there are, in milliseconds.
const LOOK_PAUSE_MS: u64 = 500;
/// The same until there is a configuration, in milliseconds: a daemon that has just started reads it
/// within a few calls, and prompts that it takes before it follows the stores are read anew. After all
/// daemons started together, those of half a second were.
const FIRST_LOOK_PAUSE_MS: u64 = 25;
/// Parts freed in one call.
const FREED_AT_ONCE: usize = 200;
/// How long a call to free parts may be under way, in milliseconds.
const FREE_MS: u64 = 1_000;

/// Daemons of each data centre that follow one store, where there are few data centres or many:
/// a store answers only about a dozen at a time.
const FOLLOWERS: usize = 2;
const FEW_DATA_CENTRES: usize = 4;

/// Follows those of the stores that the configuration names that are this daemon's turn, for ever.
pub async fn follow_stores(
    context: Rc<ServeContext>,
    port: Rc<PartPort>,
    followed: Rc<RefCell<Vec<SocketAddr>>>,
) {
    let mut followers: FastMap<SocketAddr, JoinHandle<()>> = FastMap::default();
    loop {
        let config = context.config.borrow().current().cloned();
        if let Some(config) = config {
            let named: Vec<SocketAddr> = config.stores.iter().map(|store| store.address).collect();
            let now = Moment::now();
            let is_few = context.members.borrow().data_centres(now) <= FEW_DATA_CENTRES;
            let followers_near = if is_few { FOLLOWERS } else { 1 };
            let own: Vec<SocketAddr> = named
                .into_iter()
                .filter(|store| local_rank(&context, *store, now) < followers_near)
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
        free_useless(&context, &port).await;
        let is_configured = context.config.borrow().current().is_some();
        let pause_ms = if is_configured { LOOK_PAUSE_MS } else { FIRST_LOOK_PAUSE_MS };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// This daemon's place among those of its data centre that may follow a store.
fn local_rank(context: &ServeContext, store: SocketAddr, now: Moment) -> usize {
    context.members.borrow().local_rank(&context.identity.name, &store.to_string(), now)
}

/// This daemon's place among all that may free parts in a store.
fn turn(context: &ServeContext, store: SocketAddr, now: Moment) -> usize {
    context.members.borrow().rank(&context.identity.name, &store.to_string(), now)
}

async fn follow_store(context: Rc<ServeContext>, port: Rc<PartPort>, store: SocketAddr) {
    let mut since = 0;
    let mut is_known = false;
    loop {
        let was_known = is_known;
        match follow_once(&context, &port, store, &mut since).await {
            Ok(is_followed) => is_known = is_followed,
            Err(error) => {
                is_known = false;
                since = 0;
                context.part_index.borrow_mut().forget_store(store);
                if was_known {
                    log_event!(warn, events::STORE_FORGOTTEN, store = store, reason = error);
                }
                sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
            }
        }
        if is_known && !was_known {
            log_event!(info, events::STORE_KNOWN, store = store, since = since);
        }
    }
}

/// Takes one report in; whether the store's contents are known after it.
async fn follow_once(
    context: &ServeContext,
    port: &PartPort,
    store: SocketAddr,
    since: &mut u64,
) -> Result<bool, PortError> {
    let asked = Moment::now();
    let report = (port.events)(store, *since, WAIT_MS).await?;
    let now = Moment::now();
    if let Some(clock_ms) = report.clock_ms {
        context.upstream_clock.set(Some(UpstreamClock { clock_ms, read: now }));
    }
    if report.is_gapped {
        context.part_index.borrow_mut().forget_store(store);
        let list = (port.list)(store).await?;
        context.part_index.borrow_mut().note_list(store, list.epoch, list.held, asked);
        *since = list.next;
        return Ok(true);
    }
    let as_of = read_as_of(asked, WAIT_MS, report.events.is_empty(), now);
    let mut index = context.part_index.borrow_mut();
    if !index.note_events(store, report.epoch, report.events, as_of) {
        // It restarted, so its numbers begin anew.
        *since = 0;
        return Ok(false);
    }
    *since = report.next;
    Ok(true)
}

/// Frees parts of weights that no engine has any more, in the stores that are this daemon's turn.
async fn free_useless(context: &ServeContext, port: &PartPort) {
    let Some(config) = context.config.borrow().current().cloned() else { return };
    for store in config.stores.iter().filter(|store| store.is_managed) {
        let now = Moment::now();
        if turn(context, store.address, now) > 0 {
            continue;
        }
        let (epoch, useless) = {
            let upstreams = context.upstreams.borrow();
            let targets = context.targets.borrow();
            let is_unreferenced =
                |salt: &str| is_salt_unreferenced(salt, &upstreams, &targets, now);
            context.part_index.borrow().unreferenced_parts(store.address, is_unreferenced)
        };
        for chunk in useless.chunks(FREED_AT_ONCE) {
            let until_ms = context.upstream_clock_in(FREE_MS, now);
            let order = FreeOrder { store: store.address, epoch, parts: chunk.to_vec(), until_ms };
            match (port.free)(order).await {
                Ok(()) => log_event!(
                    info,
                    events::PARTS_FREED,
                    store = store.address,
                    parts = chunk.len()
                ),
                Err(error) => {
                    log_event!(warn, events::FREEING_FAILED, store = store.address, reason = error);
                    break;
                }
            }
        }
    }
}
