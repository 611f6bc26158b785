//! Frees the parts that are worth least in full stores, ahead of need.
//!
//! For each store that frees parts only on order, one daemon decides; it retires parts (see
//! `RetirementLedger`) and frees them once nobody can be reading them.

use crate::events;
use crate::metrics::StoreLevel;
use crate::parts::retirement::RetirementId;
use crate::parts::retirement_ledger::{RetireInput, RetireStep};
use crate::parts::retirement_word::apply_retirement;
use crate::ports::{FreeOrder, PartPort};
use crate::serve_config::StoreTraits;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_types::{Deadline, Moment};
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout of a call to free parts, in milliseconds.
pub(crate) const FREE_TIMEOUT_MS: u64 = 1_000;

/// Time after which a silent daemon that said it was leaving is taken to have exited, in milliseconds:
/// longer than the requests last that it still had. It may only be cut off.
const LEFT_MS: u64 = 30_000;

/// This daemon's rank among all daemons that may free parts in a store.
pub(crate) fn free_rank(context: &ServeContext, store: SocketAddr, now: Moment) -> usize {
    context.members.borrow().rank(&context.identity.name, &store.to_string(), now)
}

/// Lists a store in which saves may have broken off, if there is one; the others have their turn later.
pub(crate) async fn list_broken_saves(context: &ServeContext, port: &PartPort) {
    let Some(config) = context.config.borrow().current().cloned() else { return };
    let now = Moment::now();
    let is_due = |store: &&Rc<StoreTraits>| {
        store.is_managed
            && free_rank(context, store.address, now) == 0
            && context.part_index.borrow_mut().is_list_due(store.address, now)
    };
    let Some(store) = config.stores.iter().find(is_due).map(|store| store.address) else { return };
    // A list that fails is asked for again later.
    if let Ok(list) = (port.list)(store).await {
        context.part_index.borrow_mut().note_partials(store, list.epoch, list.partial, now);
    }
}

/// Takes the next step of every retirement, begins new ones where stores lack room, and sends the
/// orders that are due.
pub(crate) async fn evict_parts(context: &ServeContext, port: &PartPort) {
    for order in eviction_orders(context, Moment::now()) {
        let (store, parts) = (order.store, order.parts.len());
        // A lost answer changes nothing: the store may have carried the order out, and its reports
        // will say.
        match (port.free)(order).await {
            Ok(()) => {
                context.metrics.count_parts("freed", parts as u64);
                log_event!(info, events::RETIRED_PARTS_FREED, store = store, parts = parts);
            }
            Err(error) => {
                log_event!(warn, events::FREEING_FAILED, store = store, reason = error);
            }
        }
    }
}

/// The same without sending the orders, which this returns.
pub fn eviction_orders(context: &ServeContext, now: Moment) -> Vec<FreeOrder> {
    let Some(config) = context.config.borrow().current().cloned() else { return Vec::new() };
    let managed: Vec<&StoreTraits> =
        config.stores.iter().map(|store| &**store).filter(|store| store.is_managed).collect();
    context.part_index.borrow_mut().note_floors(&managed, now);
    let refused = context.part_index.borrow().take_refused();
    context.metrics.count_parts("not-admitted", refused);
    note_levels(context, &managed, now);
    let retiring = context.retirements.borrow().stores();
    let orders =
        retiring.into_iter().filter_map(|store| step_retirement(context, store, now)).collect();
    // From a random one on, since only so many stores have a retirement at a time.
    let first = rand::random_range(0..managed.len().max(1));
    let in_turn = managed.iter().cycle().skip(first).take(managed.len());
    in_turn.for_each(|store| begin_retirement(context, store, now));
    let notices = context.retirements.borrow().notices(now);
    notices.into_iter().for_each(|notice| apply_retirement(context, notice, now));
    orders
}

fn retire_input(context: &ServeContext, store: SocketAddr, now: Moment) -> RetireInput {
    let members = context.members.borrow().acting_members(LEFT_MS, now);
    RetireInput {
        is_decider: free_rank(context, store, now) == 0,
        epoch: context.part_index.borrow().reported_epoch(store, now),
        has_attached: members.is_none(),
        members: members.unwrap_or_default(),
    }
}

fn step_retirement(context: &ServeContext, store: SocketAddr, now: Moment) -> Option<FreeOrder> {
    let input = retire_input(context, store, now);
    let step = context.retirements.borrow_mut().step(store, &input, now);
    match step {
        RetireStep::Wait => None,
        RetireStep::Free(epoch) => free_order(context, store, epoch, now),
        RetireStep::Withdrawn { reason, parts } => {
            context.metrics.count_parts("withdrawn", parts as u64);
            log_event!(
                info,
                events::RETIREMENT_WITHDRAWN,
                store = store,
                parts = parts,
                reason = reason
            );
            None
        }
    }
}

/// The order to free what was retired; `None` while the upstreams' clock is unknown, since the order
/// could then take effect at any later time.
fn free_order(
    context: &ServeContext,
    store: SocketAddr,
    epoch: u64,
    now: Moment,
) -> Option<FreeOrder> {
    let until_ms = context.upstream_clock_in(FREE_TIMEOUT_MS, now)?;
    let until = Deadline::after(now, FREE_TIMEOUT_MS);
    let keys = context.retirements.borrow_mut().note_ordered(store, until);
    let parts = context.part_index.borrow().named_parts(store, &keys);
    (!parts.is_empty()).then_some(FreeOrder { store, epoch, parts, until_ms: Some(until_ms) })
}

fn begin_retirement(context: &ServeContext, store: &StoreTraits, now: Moment) {
    let has_place = context.part_index.borrow().has_retirement_place(now);
    if !has_place || !context.retirements.borrow().may_begin(store.address, now) {
        return;
    }
    let input = retire_input(context, store.address, now);
    if !input.is_decider || input.has_attached {
        return;
    }
    let wanted = context.part_index.borrow().parts_to_retire(store, now);
    let Some((epoch, parts)) = wanted else { return };
    context.metrics.count_parts("retired", parts.len() as u64);
    log_event!(
        info,
        events::PARTS_RETIRED,
        store = store.address,
        parts = parts.len(),
        members = input.members.len()
    );
    let id = RetirementId(rand::random());
    let notice = context.retirements.borrow_mut().begin(id, store.address, epoch, parts, now);
    // This daemon acts by its own retirements too.
    apply_retirement(context, notice.clone(), now);
    context.just_retired.borrow_mut().push(notice);
    context.message_due.notify_one();
}

/// Shows how full the stores are for which this daemon decides.
fn note_levels(context: &ServeContext, stores: &[&StoreTraits], now: Moment) {
    let decided = stores.iter().filter(|store| free_rank(context, store.address, now) == 0);
    let index = context.part_index.borrow();
    let level = |store: &&StoreTraits| {
        let room = index.room(store, now)?;
        let fill = room.used.0 as f64 / room.total.0.max(1) as f64;
        Some(StoreLevel { store: store.address, fill })
    };
    let levels: Vec<StoreLevel> = decided.filter_map(level).collect();
    context.metrics.note_stores(&levels);
}
