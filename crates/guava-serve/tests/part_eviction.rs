//! Full stores that give up parts, between daemons that exchange messages.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    FreeOrder, HeldPart, MemberDescriptor, OwnSummary, PartEvent, PartKey, PeerMessage, PeerRole,
    ServeConfig, ServeContext, StoreTraits, apply_config, apply_message, compose_immediate,
    compose_initial_sync, compose_message, eviction_orders,
};
use guava_types::{Deadline, Moment, TokenCount};
use std::rc::Rc;
use support::{config_parts, id, news, note, part, serve_context, store};

const SALT: &str = "m0/1";
const EPOCH: u64 = 7;
/// Interval of summaries, and of looks at the stores.
const STEP_MS: u64 = 250;

fn only_store() -> Rc<StoreTraits> {
    store("s1", 1)
}

/// A daemon that has read the records of all, with one store that is full of ten parts.
fn daemon(name: &str, now: Moment) -> ServeContext {
    let context = serve_context(name);
    let stores = vec![(*only_store()).clone()];
    apply_config(
        &context,
        ServeConfig::new(guava_serve::ConfigParts { stores, ..config_parts(1) }),
    );
    context.members.borrow_mut().note_listed();
    let held = |number: u64| HeldPart {
        salt: SALT.into(),
        id: format!("p{number}").into(),
        tokens: TokenCount(10_000),
    };
    let parts = (0..10).map(held).collect();
    context.part_index.borrow_mut().note_list(only_store().address, EPOCH, parts, now);
    context
}

fn deliver(message: &PeerMessage, to: &ServeContext, now: Moment) {
    apply_message(to, PeerMessage::decode(&message.encode(now), now).unwrap(), now);
}

/// Whether a daemon would fetch a part from the store.
fn fetches(context: &ServeContext, id: &str, now: Moment) -> bool {
    let index = context.part_index.borrow();
    index.holder(&[only_store()], SALT, &part(id, 10_000), now).is_some()
}

/// Whether a daemon would save a part to the store.
fn saves(context: &ServeContext, id: &str, now: Moment) -> bool {
    let index = context.part_index.borrow();
    index.store_for(&[only_store()], SALT, &part(id, 10_000), now).is_some()
}

/// A summary, and the immediate message before it.
fn messages(
    context: &ServeContext,
    descriptor: &MemberDescriptor,
    now: Moment,
) -> Vec<PeerMessage> {
    let name = descriptor.name.to_string();
    let summary = compose_message(context, news(&name), now);
    compose_immediate(context, descriptor.clone()).into_iter().chain([summary]).collect()
}

/// One interval: the store reports to both daemons, all parts but the last two are used, and both
/// daemons decide and tell each other, as far as they can.
fn pass_interval(daemons: &[ServeContext; 2], hears: [bool; 2], now: Moment) -> Vec<FreeOrder> {
    let used: Vec<PartKey> =
        (0..8).map(|number| PartKey::new(SALT, &format!("p{number}"))).collect();
    let mut orders = Vec::new();
    for context in daemons {
        context.note_upstream_clock(now.0, now);
        let mut index = context.part_index.borrow_mut();
        index.note_events(only_store().address, EPOCH, Vec::new(), now);
        index.note_sent(&id("e"), &used, TokenCount(80_000), now);
        drop(index);
        orders.extend(eviction_orders(context, now));
    }
    for (from, to) in [(0, 1), (1, 0)] {
        let sent = messages(&daemons[from], &note(["d1", "d2"][from]), now);
        sent.iter().filter(|_| hears[to]).for_each(|it| deliver(it, &daemons[to], now));
    }
    orders
}

/// Moments one interval apart.
fn moments(from: u64, count: u64) -> impl Iterator<Item = Moment> {
    (0..count).map(move |step| Moment(from + step * STEP_MS))
}

fn free_event(part: &HeldPart) -> PartEvent {
    PartEvent::Dropped { salt: part.salt.clone(), id: part.id.clone() }
}

#[test]
fn full_store_frees_what_nobody_asks_for_after_all_have_confirmed() {
    // Load: a store is full, and two of its ten parts are not used any more.
    let daemons = ["d1", "d2"].map(|name| daemon(name, Moment(100_000)));
    let mut last_fetched = Moment(0);
    let mut order_at = |now| {
        let order = pass_interval(&daemons, [true; 2], now).pop();
        let is_fetched = |id: &str| daemons.iter().any(|daemon| fetches(daemon, id, now));
        if is_fetched("p8") && is_fetched("p9") {
            last_fetched = now;
        }
        order.map(|order| (order, now))
    };

    let (order, now) = moments(100_000, 200).find_map(&mut order_at).unwrap();

    let ids: Vec<&str> = order.parts.iter().map(|part| &*part.id).collect();
    assert!(ids == ["p8"] || ids == ["p9"], "{ids:?}");
    assert_eq!((order.epoch, order.until_ms), (EPOCH, Some(now.0 + 1_000)));
    assert!(now.millis_since(last_fetched) >= 3_900, "{last_fetched:?} {now:?}");
    // Freed, the room is there for a part that is used again and again, not for a new one.
    for daemon in &daemons {
        let mut index = daemon.part_index.borrow_mut();
        let freed = order.parts.iter().map(free_event).collect();
        index.note_events(only_store().address, EPOCH, freed, now);
        index.note_sent(&id("e"), &[PartKey::new(SALT, "used")], TokenCount(9), now);
        drop(index);
        drop(eviction_orders(daemon, now));
        assert!(!saves(daemon, ids[0], now), "not while the order may have an effect");
        assert!(saves(daemon, "used", now));
        assert!(!saves(daemon, "new", now));
    }
}

#[test]
fn nothing_is_freed_while_the_decider_is_not_heard() {
    // Guards against a free under a fetch by a daemon that is cut off from the one that decides.
    for hears in [[true, false], [false, true]] {
        let daemons = ["d1", "d2"].map(|name| daemon(name, Moment(100_000)));
        moments(100_000, 8).for_each(|now| drop(pass_interval(&daemons, [true; 2], now)));

        let orders: Vec<FreeOrder> =
            moments(102_000, 300).flat_map(|now| pass_interval(&daemons, hears, now)).collect();

        assert_eq!(orders.len(), 0, "{hears:?}");
    }
}

#[test]
fn started_daemon_fetches_nothing_from_a_full_store_before_it_heard_its_peers() {
    // Guards against a fetch by a store's first listing of a part that others know is being freed.
    let now = Moment(100_000);
    let started = daemon("d2", now);
    started.part_index.borrow_mut().note_uninformed(Deadline::after(now, 5_000));

    assert!(!fetches(&started, "p1", now) && !saves(&started, "p1", now));
    let later = Moment(105_000);
    started.part_index.borrow_mut().note_events(only_store().address, EPOCH, Vec::new(), later);
    assert!(fetches(&started, "p1", later));
}

#[test]
fn new_peer_learns_of_retirements_of_others_with_the_initial_sync() {
    // Guards against the same, where the daemon that decides can't reach the new one.
    let now = Moment(100_000);
    let (decider, old, new) = (daemon("d1", now), daemon("d2", now), daemon("d3", now));
    let parts = vec![PartKey::new(SALT, "p1")];
    let id = guava_serve::RetirementId(3);
    let notice =
        decider.retirements.borrow_mut().begin(id, only_store().address, EPOCH, parts, now);
    decider.just_retired.borrow_mut().push(notice);

    deliver(&compose_immediate(&decider, note("d1")).unwrap(), &old, now);
    let summary = OwnSummary { followed: vec![only_store().address], ..news("d2") };
    let synced = compose_initial_sync(&old, &summary, now);
    synced.iter().for_each(|message| deliver(message, &new, now));

    assert!(!fetches(&old, "p1", now) && !fetches(&new, "p1", now));
    assert!(!saves(&new, "p1", now));
    assert!(fetches(&new, "p2", now));
    let confirmed = compose_message(&new, news("d3"), now).heard_retirements;
    assert_eq!(confirmed, [id]);
}

#[test]
fn silent_daemon_has_to_confirm_until_it_is_forgotten_or_known_to_have_left() {
    // Guards against a free under a fetch by a daemon that this one merely doesn't hear.
    let now = Moment(100_000);
    let context = daemon("d1", now);
    let left = MemberDescriptor { is_ready: false, ..note("left") };
    let mut members = context.members.borrow_mut();
    for member in [note("silent"), note("left"), left] {
        members.note_from_peer(member, now);
    }

    let mut acting_at = |millis: u64| {
        members.sweep(Moment(now.0 + millis));
        members.acting_members(30_000, Moment(now.0 + millis)).unwrap().len()
    };

    assert_eq!([29_999, 30_000, 119_999, 120_000].map(&mut acting_at), [2, 1, 1, 0]);
}

#[test]
fn daemons_known_only_by_number_can_not_confirm() {
    // Guards against a free under a fetch by a daemon that is attached to another one.
    let now = Moment(100_000);
    let context = daemon("d1", now);
    let mut members = context.members.borrow_mut();
    members.note_from_peer(note("d2"), now);
    let is_heard_before = members.all_heard(now);

    let role = PeerRole { attached: 3, ..PeerRole::default() };
    members.note_role(&"d2".parse().unwrap(), role);

    assert!(!is_heard_before && members.all_heard(now));
    assert_eq!(members.acting_members(30_000, now), None);
}
