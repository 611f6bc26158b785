//! Parsing of upstream announcements, and the table of them when answers overtake each other.

use guava_policy::{
    AnnouncedLimit, AnnouncementChange, AnnouncementTable, LimitNotice, UpstreamAnnouncements,
    jitter_backoff,
};
use guava_types::{Deadline, LimitRate, Moment, UpstreamId};
use yare::parameterized;

fn id(name: &str) -> UpstreamId {
    name.parse().unwrap_or_else(|_| unreachable!())
}

fn rate(per_second: f64) -> LimitRate {
    LimitRate::per_second(per_second).unwrap_or_default()
}

fn limited(per_second: f64) -> UpstreamAnnouncements {
    UpstreamAnnouncements {
        limit: AnnouncedLimit::Named(rate(per_second)),
        ..UpstreamAnnouncements::default()
    }
}

fn read(values: &[&str]) -> UpstreamAnnouncements {
    let mut announcements = UpstreamAnnouncements::default();
    announcements.read_limit(values.iter().map(|value| value.as_bytes()));
    announcements
}

/// Records answers and returns the limit then known. Each answer is the limit that it names, the
/// moment at which its request was sent, and the moment of its arrival.
fn limit_after(answers: &[(Option<f64>, u64, u64)]) -> Option<LimitRate> {
    let mut table = AnnouncementTable::default();
    for (named, sent, arrived) in answers {
        let announcements = named.map(limited).unwrap_or_default();
        table.note_answer(&id("u"), &announcements, Moment(*sent), Moment(*arrived));
    }
    table.limit(&id("u"))
}

#[parameterized(
    named = { &[(Some(2.0), 10, 20)], Some(2.0) },
    lowered = { &[(Some(2.0), 10, 20), (Some(0.5), 30, 40)], Some(0.5) },
    raised = { &[(Some(2.0), 10, 20), (Some(20.0), 30, 40)], Some(20.0) },
    ended = { &[(Some(2.0), 10, 20), (None, 30, 40)], None },
    ended_and_named_again = { &[(Some(2.0), 10, 20), (None, 30, 40), (Some(3.0), 41, 50)], Some(3.0) },
    answer_sent_before_keeps_the_limit = { &[(Some(2.0), 10, 20), (None, 15, 40)], Some(2.0) },
    never_named = { &[(None, 10, 20)], None },
)]
fn limit_holds_while_answers_name_it(answers: &[(Option<f64>, u64, u64)], expected: Option<f64>) {
    assert_eq!(limit_after(answers), expected.map(rate));
}

#[parameterized(
    decimal = { &["2.7"], AnnouncedLimit::Named(rate(2.7)), false },
    integer = { &[" 20 "], AnnouncedLimit::Named(rate(20.0)), false },
    zero_rate = { &["0"], AnnouncedLimit::Named(rate(0.0)), false },
    very_small = { &["0.01"], AnnouncedLimit::Named(rate(0.01)), false },
    very_large = { &["1e9"], AnnouncedLimit::Named(rate(1e9)), false },
    twice = { &["20", "2"], AnnouncedLimit::Named(rate(2.0)), false },
    twice_and_bad = { &["2", "fast"], AnnouncedLimit::Named(rate(2.0)), true },
    negative = { &["-1"], AnnouncedLimit::Unreadable, true },
    not_a_number = { &["NaN"], AnnouncedLimit::Unreadable, true },
    infinite = { &["inf"], AnnouncedLimit::Unreadable, true },
    empty = { &[""], AnnouncedLimit::Unreadable, true },
    absent = { &[], AnnouncedLimit::None, false },
)]
fn limit_value_is_parsed_or_marked_unreadable(
    values: &[&str],
    expected: AnnouncedLimit,
    is_unreadable: bool,
) {
    let announcements = read(values);

    assert_eq!(
        (announcements.limit, announcements.unreadable.is_some()),
        (expected, is_unreadable)
    );
}

#[test]
fn unreadable_limit_keeps_the_known_limit_and_is_reported_once() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(10), Moment(20));

    let first = table.note_answer(&id("u"), &read(&["fast"]), Moment(30), Moment(40));
    let again = table.note_answer(&id("u"), &read(&["fast"]), Moment(50), Moment(60));

    assert_eq!((first, again), (vec![AnnouncementChange::Unreadable("fast".into())], vec![]));
    assert_eq!(table.limit(&id("u")), Some(rate(2.0)));
}

#[test]
fn limit_reported_by_another_daemon_applies_only_if_it_is_newer() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(90), Moment(100));
    let notice = |rate, as_of| LimitNotice { upstream: id("u"), rate, as_of: Moment(as_of) };

    table.apply_limit_notice(&notice(None, 95), Moment(200));
    let after_stale = table.limit(&id("u"));
    table.apply_limit_notice(&notice(None, 150), Moment(200));
    let after_newer = table.limit(&id("u"));
    table.apply_limit_notice(&notice(Some(rate(2.0)), 120), Moment(210));

    assert_eq!((after_stale, after_newer), (Some(rate(2.0)), None));
    assert_eq!(
        table.limit(&id("u")),
        None,
        "a stale report of another daemon must not restore the limit"
    );
}

#[test]
fn end_of_a_limit_is_reported_for_its_retention_however_many_answers_follow() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(10), Moment(20));
    for second in 1..40 {
        let sent = Moment(second * 1_000);
        table.note_answer(&id("u"), &UpstreamAnnouncements::default(), sent, sent);
    }

    assert_eq!(table.limit_notices(Moment(5_000)).count(), 1);
    assert_eq!(table.limit_notices(Moment(40_000)).count(), 0);
}

#[test]
fn limit_belongs_to_one_start_of_an_upstream() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u@1"), &limited(2.0), Moment(10), Moment(20));

    assert_eq!(table.limit(&id("u@2")), None);
}

#[test]
fn announcements_of_unlisted_upstreams_are_removed_after_their_retention() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(10), Moment(20));

    table.sweep(Moment(500_000), |_| false);
    let soon = table.limit(&id("u"));
    table.sweep(Moment(700_000), |_| false);

    assert_eq!((soon, table.limit(&id("u"))), (Some(rate(2.0)), None));
}

#[parameterized(
    one = { "1", true, false },
    true_text = { " true ", true, false },
    zero = { "0", false, false },
    other = { "soon", false, true },
)]
fn leaving_value_is_parsed_or_marked_unreadable(
    value: &str,
    is_leaving: bool,
    is_unreadable: bool,
) {
    let mut announcements = UpstreamAnnouncements::default();

    announcements.read_leaving([value.as_bytes()].into_iter());

    assert_eq!(
        (announcements.is_leaving, announcements.unreadable.is_some()),
        (is_leaving, is_unreadable)
    );
}

#[test]
fn leaving_is_final_and_reported_once() {
    let mut table = AnnouncementTable::default();
    let leaving = UpstreamAnnouncements { is_leaving: true, ..UpstreamAnnouncements::default() };

    let first = table.note_answer(&id("u"), &leaving, Moment(10), Moment(20));
    let again = table.note_answer(&id("u"), &leaving, Moment(30), Moment(40));
    table.note_answer(&id("u"), &UpstreamAnnouncements::default(), Moment(50), Moment(60));

    assert_eq!((first, again), (vec![AnnouncementChange::Leaving], vec![]));
    assert!(table.is_leaving(&id("u")));
    assert_eq!(table.recently_leaving(Moment(70)).count(), 1);
    assert_eq!(table.recently_leaving(Moment(30_000)).count(), 0);
}

fn read_retry_after(values: &[&str]) -> UpstreamAnnouncements {
    let mut announcements = UpstreamAnnouncements::default();
    announcements.read_retry_after(values.iter().map(|value| value.as_bytes()), Moment(1_000));
    announcements
}

#[parameterized(
    seconds = { &["3"], Some(4_000), false },
    fraction = { &["0.25"], Some(1_250), false },
    longest_of_two = { &["1", "3"], Some(4_000), false },
    zero_seconds = { &["0"], None, false },
    day_is_capped = { &["86400"], Some(601_000), false },
    infinite_is_capped = { &["inf"], Some(601_000), false },
    negative = { &["-3"], None, true },
    not_a_number = { &["NaN"], None, true },
    text = { &["soon"], None, true },
    date_in_the_past = { &["Sun, 06 Nov 1994 08:49:37 GMT"], None, false },
    absent = { &[], None, false },
)]
fn retry_after_value_is_parsed_or_marked_unreadable(
    values: &[&str],
    until: Option<u64>,
    is_unreadable: bool,
) {
    let announcements = read_retry_after(values);

    assert_eq!(announcements.backoff_until, until.map(|until| Deadline(Moment(until))));
    assert_eq!(announcements.unreadable.is_some(), is_unreadable);
}

#[test]
fn retry_after_date_is_parsed() {
    let date = std::time::SystemTime::now() + std::time::Duration::from_secs(30);

    let announcements = read_retry_after(&[&httpdate::fmt_http_date(date)]);

    let left_ms = announcements.backoff_until.unwrap_or_default().millis_left(Moment(1_000));
    assert!((28_000..=30_000).contains(&left_ms), "{left_ms}");
}

#[test]
fn back_off_is_extended_by_later_answers_and_not_shortened() {
    let mut table = AnnouncementTable::default();
    let backoff = |until| UpstreamAnnouncements {
        backoff_until: Some(Deadline(Moment(until))),
        ..UpstreamAnnouncements::default()
    };
    table.note_answer(&id("u"), &backoff(3_000), Moment(10), Moment(20));

    let shorter = table.note_answer(&id("u"), &backoff(2_000), Moment(30), Moment(40));
    let longer = table.note_answer(&id("u"), &backoff(5_000), Moment(50), Moment(60));
    table.note_answer(&id("u"), &UpstreamAnnouncements::default(), Moment(70), Moment(80));

    assert_eq!(shorter, []);
    assert_eq!(longer, [AnnouncementChange::BackingOff(Deadline(Moment(5_000)))]);
    assert!(table.backoff_until(&id("u"), Moment(4_999)).is_some());
    assert!(table.backoff_until(&id("u"), Moment(5_000)).is_none());
    assert!(table.note_send(&id("u")) && !table.note_send(&id("u")), "the back-off ends once");
}

#[test]
fn back_offs_that_begin_together_do_not_end_together() {
    let until = Deadline(Moment(4_000));
    let ends: Vec<u64> =
        (0..8).map(|draw| jitter_backoff(until, Moment(1_000), draw * 50).0.0).collect();

    assert!(ends.iter().all(|end| (4_000..=4_375).contains(end)), "{ends:?}");
    assert!(ends.windows(2).all(|pair| pair[0] != pair[1]), "{ends:?}");
}
