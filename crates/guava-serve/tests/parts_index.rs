//! Where cached parts lie, and when that knowledge counts.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{CallerIdentity, WeightVersion, salt_version};
use guava_serve::{
    HeldPart, PartChange, PartEvent, PartIndex, PartKey, PartSave, PromptPart, SaveLedger,
    StoreTraits, StoreUpdate, cache_salt,
};
use guava_types::{Moment, TokenCount};
use std::net::SocketAddr;
use std::rc::Rc;
use support::{customer, id, model, part, store};

const NOW: Moment = Moment(50_000);
/// When the stores of these tests were first heard of.
const BEFORE: Moment = Moment(40_000);

fn stored(salt: &str, id: &str, tokens: u64) -> PartEvent {
    PartEvent::Stored(HeldPart { salt: salt.into(), id: id.into(), tokens: TokenCount(tokens) })
}

fn save(part: &PromptPart, store: SocketAddr) -> PartSave {
    PartSave { key: PartKey::new("m0/1", &part.id), store, tokens: part.tokens }
}

fn stores() -> Vec<Rc<StoreTraits>> {
    vec![store("s1", 1), store("s2", 2)]
}

fn index_with(events: Vec<PartEvent>) -> PartIndex {
    let mut index = PartIndex::default();
    index.note_events(stores()[0].address, 7, Vec::new(), BEFORE);
    index.note_events(stores()[1].address, 8, Vec::new(), BEFORE);
    index.note_events(stores()[0].address, 7, events, NOW);
    index.note_events(stores()[1].address, 8, Vec::new(), NOW);
    index
}

#[test]
fn part_is_found_under_its_own_salt_only() {
    let index = index_with(vec![stored("m0/1", "p", 9_000)]);

    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), NOW).is_some());
    assert!(index.holder(&stores(), "m0/2", &part("p", 9_000), NOW).is_none());
}

#[test]
fn word_of_a_store_that_fell_silent_does_not_count() {
    // Symptom: a request reads a part that is only partly written.
    // Sequence: a store restarts empty while its connection is silent; another daemon saves the
    // part to it anew; this daemon still counts on what the store held before.
    // Cause: knowledge had no age.
    let index = index_with(vec![stored("m0/1", "p", 9_000)]);

    let later = Moment(NOW.0 + 1_401);

    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), later).is_none());
}

#[test]
fn restarted_store_holds_nothing() {
    let mut index = index_with(vec![stored("m0/1", "p", 9_000)]);

    let is_followed = index.note_events(stores()[0].address, 9, Vec::new(), NOW);

    assert!(!is_followed);
    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), NOW).is_none());
}

#[test]
fn store_that_restarted_is_not_saved_to_while_old_fetches_may_meet_the_part() {
    // Symptom: a request reads a part that is only partly written.
    // Sequence: a request is told to fetch a part and waits in its engine's queue; the store
    // restarts empty; another request saves the part to it anew; the first begins to fetch.
    // Cause: nothing kept the new part away until fetches of the old one were over.
    let mut index = index_with(vec![stored("m0/1", "p", 9_000)]);
    let only = vec![store("s1", 1)];
    let restarted = only[0].address;
    index.note_events(restarted, 9, Vec::new(), NOW);

    let chosen_after = |index: &mut PartIndex, millis: u64| {
        let then = Moment(NOW.0 + millis);
        index.note_events(restarted, 9, Vec::new(), then);
        index.store_for(&only, "m0/1", &part("p", 9_000), then).is_some()
    };

    assert!(!chosen_after(&mut index, 1));
    assert!(!chosen_after(&mut index, 3_800));
    assert!(chosen_after(&mut index, 4_000));
}

#[test]
fn daemon_that_starts_saves_at_once_to_a_store_that_holds_parts() {
    // Symptom: after all daemons were restarted, parts were read again for fifteen seconds.
    // Sequence: daemons start, find the stores' contents, and save nothing for four seconds; what
    // is read in that time has to be read once more.
    // Cause: a store first heard of counted as restarted, though nobody saves to one before it has
    // settled, so one that holds a part has.
    let mut index = PartIndex::default();
    let only = vec![store("s1", 1)];
    index.note_events(only[0].address, 9, vec![stored("m0/1", "old", 9_000)], NOW);

    let chosen = index.store_for(&only, "m0/1", &part("p", 9_000), NOW);

    assert!(chosen.is_some());
}

#[test]
fn faster_links_get_more_parts_of_equal_stores() {
    // The load: parts of 9,000 tokens for two stores of one size, one with a link four times as
    // fast. Shared out by size alone, the slower link carries as many fetches as the faster.
    let fast =
        StoreTraits { bytes_per_s: 4 * store("s1", 1).bytes_per_s, ..(*store("s1", 1)).clone() };
    let both = vec![Rc::new(fast), store("s2", 2)];
    let index = index_with(Vec::new());

    let to_fast = (0..200)
        .filter_map(|n| index.store_for(&both, "m0/1", &part(&format!("p{n}"), 9_000), NOW))
        .filter(|store| store.address.port() == 1)
        .count();

    assert!((140..=180).contains(&to_fast), "{to_fast}");
}

#[test]
fn part_is_saved_once_and_to_the_same_store_by_all() {
    let mut one = index_with(Vec::new());
    let other = index_with(Vec::new());
    let wanted = part("p", 9_000);

    let first = one.store_for(&stores(), "m0/1", &wanted, NOW).unwrap().address;
    let second = other.store_for(&stores(), "m0/1", &wanted, NOW).unwrap().address;
    one.note_saving(save(&wanted, first), NOW);

    assert_eq!(first, second);
    assert!(one.store_for(&stores(), "m0/1", &wanted, NOW).is_none());
    let later = Moment(NOW.0 + 900);
    assert!(one.store_for(&stores(), "m0/1", &wanted, later).is_none());
}

#[test]
fn full_store_is_passed_over() {
    let index = index_with(vec![stored("m0/1", "big", 95_000)]);
    let stores = stores();

    let chosen: Vec<u16> = (0..20)
        .filter_map(|n| index.store_for(&stores, "m0/1", &part(&format!("p{n}"), 9_000), NOW))
        .map(|store| store.address.port())
        .collect();

    assert_eq!(chosen, [2; 20]);
}

#[test]
fn dropped_part_gives_its_room_back() {
    let mut index = index_with(vec![stored("m0/1", "big", 95_000)]);
    let dropped = PartEvent::Dropped { salt: "m0/1".into(), id: "big".into() };

    index.note_events(stores()[0].address, 7, vec![dropped], NOW);

    assert_eq!(index.used(stores()[0].address), Some(TokenCount(0)));
}

#[test]
fn engine_is_believed_to_hold_what_was_sent_until_as_much_went_after_it() {
    let mut index = PartIndex::default();
    let memory = TokenCount(60_000);
    let keys = [PartKey::new("m0/1", "p")];

    index.note_sent(&id("e"), &keys, TokenCount(20_000), NOW);
    let soon = index.resident(&id("e"), memory, "m0/1", &[part("p", 10_000)]);
    index.note_sent(&id("e"), &[PartKey::new("m0/1", "q")], TokenCount(40_000), NOW);
    let late = index.resident(&id("e"), memory, "m0/1", &[part("p", 10_000)]);

    assert_eq!(soon, TokenCount(10_000));
    assert_eq!(late, TokenCount(0));
}

#[test]
fn salts_differ_by_version_and_isolated_customer() {
    let open = CallerIdentity::Customer(Rc::new(customer("acme", false)));
    let other = CallerIdentity::Customer(Rc::new(customer("other", false)));
    let walled = CallerIdentity::Customer(Rc::new(customer("walled", true)));

    let salt = |version, caller| cache_salt(&model(), WeightVersion(version), caller);

    assert_eq!(salt(1, &open), salt(1, &other));
    assert_ne!(salt(1, &open), salt(2, &open));
    assert_ne!(salt(1, &open), salt(1, &walled));
    assert_eq!(salt_version(&salt(3, &walled)), Some(("m0", WeightVersion(3))));
}

fn word(epoch: u64, as_of: u64, is_whole: bool, parts: &[(&str, u64)]) -> StoreUpdate {
    let news = |(id, tokens): &(&str, u64)| PartChange {
        key: PartKey::new("m0/1", id),
        tokens: TokenCount(*tokens),
    };
    let parts = parts.iter().map(news).collect();
    StoreUpdate { store: stores()[0].address, epoch, as_of: Moment(as_of), is_whole, parts }
}

#[test]
fn what_a_follower_of_a_store_says_counts_with_its_age() {
    let mut index = PartIndex::default();

    index.note_store_update(word(7, NOW.0 - 300, false, &[("p", 9_000)]), NOW);

    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), NOW).is_some());
    let later = Moment(NOW.0 + 1_101);
    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), later).is_none());
}

#[test]
fn followers_word_of_a_restart_empties_the_store() {
    let mut index = PartIndex::default();
    index.note_store_update(word(7, NOW.0 - 300, false, &[("p", 9_000)]), NOW);

    index.note_store_update(word(8, NOW.0 - 100, false, &[]), NOW);
    // A late datagram from before the restart.
    index.note_store_update(word(7, NOW.0 - 300, false, &[("p", 9_000)]), NOW);

    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), NOW).is_none());
}

#[test]
fn whole_word_replaces_what_was_missed() {
    let mut index = PartIndex::default();
    index.note_store_update(word(7, NOW.0 - 300, false, &[("p", 9_000), ("q", 9_000)]), NOW);

    index.note_store_update(word(7, NOW.0 - 100, true, &[("q", 9_000), ("r", 9_000)]), NOW);

    assert!(index.holder(&stores(), "m0/1", &part("p", 9_000), NOW).is_none());
    assert!(index.holder(&stores(), "m0/1", &part("r", 9_000), NOW).is_some());
    assert_eq!(index.used(stores()[0].address), Some(TokenCount(18_000)));
}

#[test]
fn store_that_is_followed_itself_is_not_overruled_by_peers() {
    // Symptom: parts of old weights are never freed.
    // Sequence: two daemons follow a store; the one that frees takes the other's word, which has
    // keys but no names, over its own.
    // Cause: the newest word replaced what the store itself had said.
    let mut index = index_with(vec![stored("m0/1", "p", 9_000)]);

    index.note_store_update(word(7, NOW.0 + 100, true, &[]), NOW);

    let (epoch, useless) = index.unreferenced_parts(stores()[0].address, |_| true);
    assert_eq!((epoch, useless.len()), (7, 1));
}

#[test]
fn follower_tells_changes_once_and_all_when_asked() {
    let mut index = index_with(vec![stored("m0/1", "p", 9_000)]);
    let store = stores()[0].address;

    let first = index.store_update(store, false).unwrap();
    let second = index.store_update(store, false).unwrap();
    let whole = index.store_update(store, true).unwrap();

    assert_eq!((first.parts.len(), second.parts.len(), whole.parts.len()), (1, 0, 1));
}

#[test]
fn engine_that_read_a_part_last_is_known_once_it_can_have_read_it() {
    let mut index = PartIndex::default();
    let memory = TokenCount(60_000);
    let wanted = part("p", 10_000);

    index.note_sent(&id("e"), &[PartKey::new("m0/1", "p")], TokenCount(20_000), NOW);

    let found = |now| index.engine_with(memory, "m0/1", &wanted, now);
    assert_eq!(found(NOW), None);
    assert_eq!(found(Moment(NOW.0 + 800)), Some(&id("e")));
    assert_eq!(index.engine_with(memory, "m0/2", &wanted, Moment(NOW.0 + 800)), None);
}

#[test]
fn saves_under_way_take_the_room_that_a_store_still_reports() {
    // Symptom: one part in four found no room in its store, and was read once more by the next prompt.
    // Sequence: stores are nearly full; within a second many daemons save parts, each by what the
    // stores last reported; the stores set room aside at once, and take only the first of them.
    // Cause: parts under way counted only once they were whole.
    let stores = stores();
    let mut index = index_with(vec![stored("m0/1", "held", 60_000)]);
    let mut free = [(stores[0].address, 40_000), (stores[1].address, 100_000)];
    let mut without_room = 0;

    for number in 0..20 {
        let wanted = part(&format!("p{number}"), 9_000);
        let Some(store) = index.store_for(&stores, "m0/1", &wanted, NOW) else { continue };
        index.note_saving(save(&wanted, store.address), NOW);
        let room = free.iter_mut().find(|(address, _)| *address == store.address).unwrap();
        if room.1 < wanted.tokens.0 {
            without_room += 1;
        } else {
            room.1 -= wanted.tokens.0;
        }
    }

    assert_eq!(without_room, 0, "six of twenty when parts under way did not count");
    assert!(free.iter().all(|(_, room)| *room < 9_000), "{free:?}");
}

#[test]
fn save_that_was_never_reported_gives_its_room_back() {
    let stores = stores();
    let mut index = index_with(Vec::new());
    let big = part("big", 95_000);
    for store in &stores {
        let other = part(&store.name.to_string(), 95_000);
        index.note_saving(save(&other, store.address), NOW);
    }
    assert!(index.store_for(&stores, "m0/1", &big, NOW).is_none());

    let later = Moment(NOW.0 + 4_000);
    index.note_events(stores[0].address, 7, Vec::new(), later);

    assert!(index.store_for(&stores, "m0/1", &big, later).is_some());
}

#[test]
fn save_that_is_begun_again_takes_room_again() {
    // Symptom: parts find no room in a store that was believed to have some.
    // Sequence: a save is lost, and after its time the part is saved once more, to the same store or
    // to another one.
    // Cause: the part was still remembered from the first time, and not counted a second.
    let stores = stores();
    let (first, second) = (stores[0].address, stores[1].address);
    let wanted = part("p", 9_000);
    let later = Moment(NOW.0 + 5_000);
    let reserved_after = |store| {
        let mut ledger = SaveLedger::default();
        ledger.begin(save(&wanted, first), NOW);
        ledger.begin(save(&part("other", 1_000), first), later);
        ledger.begin(save(&wanted, store), later);
        (ledger.reserved(first, later), ledger.reserved(second, later))
    };

    assert_eq!(reserved_after(first), (TokenCount(10_000), TokenCount(0)));
    assert_eq!(reserved_after(second), (TokenCount(1_000), TokenCount(9_000)));
}

#[test]
fn save_that_peers_tell_twice_takes_its_room_once() {
    let store = stores()[0].address;
    let wanted = part("p", 9_000);
    let mut ledger = SaveLedger::default();

    ledger.begin(save(&wanted, store), NOW);
    ledger.begin(save(&wanted, store), Moment(NOW.0 + 10));
    let under_way = ledger.reserved(store, Moment(NOW.0 + 20));
    ledger.end(&PartKey::new("m0/1", &wanted.id));

    assert_eq!(under_way, TokenCount(9_000));
    assert_eq!(ledger.reserved(store, Moment(NOW.0 + 20)), TokenCount(0));
}
