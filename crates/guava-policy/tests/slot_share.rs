//! How daemons share the slots of a brittle upstream.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{AnnouncementChange, AnnouncementTable, UpstreamAnnouncements, slot_share};
use guava_types::{Moment, UpstreamId};
use proptest::prelude::{ProptestConfig, proptest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Moment = Moment(100_000);

fn id() -> UpstreamId {
    "u1".parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn shares_of_few_daemons_never_exceed_the_slots(daemons in 1_u32..2_000, more in 0_u32..500) {
        let slots = daemons + more;

        let share = slot_share(slots, daemons as usize, 1.0);

        assert!(share >= 1 && share * daemons <= slots);
    }
}

#[test]
fn shares_of_many_daemons_seldom_exceed_the_slots() {
    let (slots, daemons) = (64, 985);
    let total = |seed| -> u32 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        (0..daemons).map(|_| slot_share(slots, daemons, rng.random())).sum()
    };

    let totals: Vec<u32> = (0..1_000).map(total).collect();

    assert!(totals.iter().all(|total| *total > 0));
    assert!(totals.iter().filter(|total| **total > slots).count() <= 10);
}

fn answer(brittle: Option<&str>) -> UpstreamAnnouncements {
    let mut announcements = UpstreamAnnouncements::default();
    announcements.read_brittle(brittle.iter().map(|value| value.as_bytes()));
    announcements
}

#[test]
fn upstream_is_brittle_until_an_answer_to_a_later_request_does_not_say_so() {
    let mut table = AnnouncementTable::default();
    let after = |millis: u64| Moment(NOW.0 + millis);

    let brittle = table.note_answer(&id(), &answer(Some("5")), NOW, after(20));
    let overtaken = table.note_answer(&id(), &answer(None), after(10), after(30));
    let was_brittle = table.is_brittle(&id());
    let sturdy = table.note_answer(&id(), &answer(None), after(40), after(50));

    assert_eq!(brittle, [AnnouncementChange::Brittle(5)]);
    assert!(overtaken.is_empty() && was_brittle);
    assert_eq!(sturdy, [AnnouncementChange::Sturdy]);
    assert!(!table.is_brittle(&id()));
}

#[test]
fn upstream_whose_number_can_not_be_read_is_brittle() {
    let mut table = AnnouncementTable::default();

    table.note_answer(&id(), &answer(Some("many")), NOW, NOW);

    assert!(table.is_brittle(&id()));
}
