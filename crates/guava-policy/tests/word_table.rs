//! What upstreams say of themselves, in answers that overtake each other.

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

/// Plays answers, each as the limit that it names, the sending of its request and its arrival.
fn play(answers: &[(Option<f64>, u64, u64)]) -> Option<LimitRate> {
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
    over = { &[(Some(2.0), 10, 20), (None, 30, 40)], None },
    over_and_named_again = { &[(Some(2.0), 10, 20), (None, 30, 40), (Some(3.0), 41, 50)], Some(3.0) },
    answer_on_the_way_ends_nothing = { &[(Some(2.0), 10, 20), (None, 15, 40)], Some(2.0) },
    never_named = { &[(None, 10, 20)], None },
)]
fn limit_holds_as_long_as_answers_name_it(
    answers: &[(Option<f64>, u64, u64)],
    expected: Option<f64>,
) {
    assert_eq!(play(answers), expected.map(rate));
}

#[parameterized(
    decimal = { &["2.7"], AnnouncedLimit::Named(rate(2.7)), false },
    whole = { &[" 20 "], AnnouncedLimit::Named(rate(20.0)), false },
    nothing = { &["0"], AnnouncedLimit::Named(rate(0.0)), false },
    very_small = { &["0.01"], AnnouncedLimit::Named(rate(0.01)), false },
    very_large = { &["1e9"], AnnouncedLimit::Named(rate(1e9)), false },
    twice = { &["20", "2"], AnnouncedLimit::Named(rate(2.0)), false },
    twice_and_bad = { &["2", "fast"], AnnouncedLimit::Named(rate(2.0)), true },
    negative = { &["-1"], AnnouncedLimit::Unread, true },
    no_number = { &["NaN"], AnnouncedLimit::Unread, true },
    endless = { &["inf"], AnnouncedLimit::Unread, true },
    empty = { &[""], AnnouncedLimit::Unread, true },
    absent = { &[], AnnouncedLimit::None, false },
)]
fn value_of_a_limit_is_read_or_told_to_be_unreadable(
    values: &[&str],
    expected: AnnouncedLimit,
    is_unread: bool,
) {
    let announcements = read(values);

    assert_eq!((announcements.limit, announcements.unread.is_some()), (expected, is_unread));
}

#[test]
fn unreadable_limit_leaves_what_was_known_and_is_news_once() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(10), Moment(20));

    let first = table.note_answer(&id("u"), &read(&["fast"]), Moment(30), Moment(40));
    let again = table.note_answer(&id("u"), &read(&["fast"]), Moment(50), Moment(60));

    assert_eq!((first, again), (vec![AnnouncementChange::Unread("fast".into())], vec![]));
    assert_eq!(table.limit(&id("u")), Some(rate(2.0)));
}

#[test]
fn later_word_of_another_daemon_counts_and_an_earlier_one_does_not() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(90), Moment(100));
    let notice = |rate, as_of| LimitNotice { upstream: id("u"), rate, as_of: Moment(as_of) };

    table.apply_limit_notice(&notice(None, 95), Moment(200));
    let after_old = table.limit(&id("u"));
    table.apply_limit_notice(&notice(None, 150), Moment(200));
    let after_new = table.limit(&id("u"));
    table.apply_limit_notice(&notice(Some(rate(2.0)), 120), Moment(210));

    assert_eq!((after_old, after_new), (Some(rate(2.0)), None));
    assert_eq!(table.limit(&id("u")), None, "told by a daemon that is behind");
}

#[test]
fn end_of_a_limit_is_told_for_a_while_however_many_answers_follow() {
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
fn words_of_upstreams_that_are_gone_are_forgotten_after_a_while() {
    let mut table = AnnouncementTable::default();
    table.note_answer(&id("u"), &limited(2.0), Moment(10), Moment(20));

    table.sweep(Moment(500_000), |_| false);
    let soon = table.limit(&id("u"));
    table.sweep(Moment(700_000), |_| false);

    assert_eq!((soon, table.limit(&id("u"))), (Some(rate(2.0)), None));
}

#[parameterized(
    one = { "1", true, false },
    word = { " true ", true, false },
    zero = { "0", false, false },
    other = { "soon", false, true },
)]
fn value_of_leaving_is_read_or_told_to_be_unreadable(
    value: &str,
    is_leaving: bool,
    is_unread: bool,
) {
    let mut announcements = UpstreamAnnouncements::default();

    announcements.read_leaving([value.as_bytes()].into_iter());

    assert_eq!((announcements.is_leaving, announcements.unread.is_some()), (is_leaving, is_unread));
}

#[test]
fn leaving_is_final_and_news_once() {
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
    nothing = { &["0"], None, false },
    day_is_cut = { &["86400"], Some(601_000), false },
    endless_is_cut = { &["inf"], Some(601_000), false },
    negative = { &["-3"], None, true },
    no_number = { &["NaN"], None, true },
    text = { &["soon"], None, true },
    date_that_is_over = { &["Sun, 06 Nov 1994 08:49:37 GMT"], None, false },
    absent = { &[], None, false },
)]
fn value_of_a_rest_is_read_or_told_to_be_unreadable(
    values: &[&str],
    until: Option<u64>,
    is_unread: bool,
) {
    let announcements = read_retry_after(values);

    assert_eq!(announcements.backoff_until, until.map(|until| Deadline(Moment(until))));
    assert_eq!(announcements.unread.is_some(), is_unread);
}

#[test]
fn rest_until_a_date_is_read() {
    let date = std::time::SystemTime::now() + std::time::Duration::from_secs(30);

    let announcements = read_retry_after(&[&httpdate::fmt_http_date(date)]);

    let left_ms = announcements.backoff_until.unwrap_or_default().millis_left(Moment(1_000));
    assert!((28_000..=30_000).contains(&left_ms), "{left_ms}");
}

#[test]
fn rest_is_made_longer_by_later_words_and_not_shorter() {
    let mut table = AnnouncementTable::default();
    let rest = |until| UpstreamAnnouncements {
        backoff_until: Some(Deadline(Moment(until))),
        ..UpstreamAnnouncements::default()
    };
    table.note_answer(&id("u"), &rest(3_000), Moment(10), Moment(20));

    let shorter = table.note_answer(&id("u"), &rest(2_000), Moment(30), Moment(40));
    let longer = table.note_answer(&id("u"), &rest(5_000), Moment(50), Moment(60));
    table.note_answer(&id("u"), &UpstreamAnnouncements::default(), Moment(70), Moment(80));

    assert_eq!(shorter, []);
    assert_eq!(longer, [AnnouncementChange::BackingOff(Deadline(Moment(5_000)))]);
    assert!(table.backoff_until(&id("u"), Moment(4_999)).is_some());
    assert!(table.backoff_until(&id("u"), Moment(5_000)).is_none());
    assert!(table.note_send(&id("u")) && !table.note_send(&id("u")), "ends once");
}

#[test]
fn rests_that_begin_together_do_not_end_together() {
    let until = Deadline(Moment(4_000));
    let ends: Vec<u64> =
        (0..8).map(|draw| jitter_backoff(until, Moment(1_000), draw * 50).0.0).collect();

    assert!(ends.iter().all(|end| (4_000..=4_375).contains(end)), "{ends:?}");
    assert!(ends.windows(2).all(|pair| pair[0] != pair[1]), "{ends:?}");
}
