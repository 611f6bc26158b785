//! What log lines tell of losses.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_losses::{
    CustomerRow, KindRow, LossAccount, LossReport, RouteWorth, WorthTable, draw_chart,
};
use std::io::Cursor;

/// A line at a millisecond, with fields as a daemon writes them.
fn line(at_ms: u64, event: &str, fields: &[(&str, &str)]) -> String {
    let mut kv = serde_json::Map::new();
    kv.insert("event".into(), event.into());
    fields.iter().for_each(|(name, value)| drop(kv.insert((*name).into(), (*value).into())));
    serde_json::json!({ "level": "info", "timestamp": at_ms, "payload": "text", "kv": kv })
        .to_string()
}

/// A prompt sent to an engine, expected in 100 ms and due in 400.
fn sent(at_ms: u64, request: &str, upstream: &str) -> String {
    let fields = [
        ("request", request),
        ("route", "draft"),
        ("upstream", upstream),
        ("expected_ms", "100"),
        ("objective_ms", "400"),
    ];
    line(at_ms, "G8010", &fields)
}

fn answered(at_ms: u64, request: &str, first_ms: &str) -> String {
    line(at_ms, "G8004", &[("request", request), ("status", "200"), ("first_ms", first_ms)])
}

fn account(lines: &[String]) -> LossReport {
    let mut account = LossAccount::default();
    account.read(Cursor::new(lines.join("\n"))).unwrap();
    account.report()
}

fn only_kind(report: &LossReport) -> &KindRow {
    assert_eq!(report.kinds.len(), 1, "{report:?}");
    &report.kinds[0]
}

fn causes(report: &LossReport) -> Vec<(&str, &str, u64)> {
    report.causes.iter().map(|row| (&*row.outcome, &*row.cause, row.count)).collect()
}

#[test]
fn answer_in_time_is_no_loss() {
    let report = account(&[sent(1_000, "r", "e1"), answered(1_120, "r", "120")]);

    let kind = only_kind(&report);
    assert_eq!((kind.requests, kind.answered, kind.losses()), (1, 1, 0));
    assert_eq!((kind.expected_p50_ms, kind.first_p50_ms), (100, 120));
    assert!(report.causes.is_empty() && report.seconds.is_empty() && report.untold == 0);
}

#[test]
fn late_answer_has_the_cause_that_its_lines_tell() {
    let held = |request| line(1_000, "G8011", &[("request", request)]);
    let failed = line(
        1_300,
        "G8002",
        &[("request", "b"), ("upstream", "e1"), ("reason", "no answer in time")],
    );
    let lines = [
        vec![sent(1_000, "a", "e1"), answered(1_500, "a", "500")],
        vec![sent(1_000, "b", "e1"), failed, sent(1_300, "b", "e2"), answered(1_500, "b", "500")],
        vec![held("c"), sent(1_400, "c", "e1"), answered(1_500, "c", "500")],
    ];

    let report = account(&lines.concat());

    let found = causes(&report);
    assert!(found.contains(&("late", "the engine took longer than expected", 1)), "{found:?}");
    assert!(found.contains(&("late", "sent again", 1)), "{found:?}");
    assert!(found.contains(&("late", "waited for memory at engines", 1)), "{found:?}");
    assert_eq!((only_kind(&report).late, only_kind(&report).sent_twice), (3, 1));
}

#[test]
fn losses_are_told_by_kind_second_cause_and_upstream() {
    let broke = "no answer from 10.1.0.4:8041: connection closed";
    let lines = [
        sent(5_000, "a", "e1"),
        line(5_100, "G8002", &[("request", "a"), ("upstream", "e1"), ("reason", broke)]),
        line(5_100, "G8006", &[("request", "a"), ("route", "draft"), ("timed_out", "false")]),
        line(7_200, "G8005", &[("request", "b"), ("route", "draft"), ("reason", "crowded")]),
        line(7_300, "G9201", &[("request", "c"), ("status", "401")]),
    ];

    let report = account(&lines);

    let found = causes(&report);
    assert!(found.contains(&("failed", "no answer from connection closed", 1)), "{found:?}");
    assert!(found.contains(&("refused", "crowded", 1)), "{found:?}");
    assert!(found.contains(&("turned away", "status 401", 1)), "{found:?}");
    let seconds: Vec<(u64, &str)> =
        report.seconds.iter().map(|row| (row.second, &*row.outcome)).collect();
    assert_eq!(seconds, [(0, "failed"), (2, "turned away"), (2, "refused")]);
    assert!(report.upstreams.iter().any(|row| &*row.upstream == "e1" && &*row.outcome == "failed"));
}

#[test]
fn broken_line_is_counted_and_the_next_one_read() {
    let lines = [
        "{\"level\":\"info\",\"timest".to_owned(),
        "panicked at nothing".to_owned(),
        "\u{fffd}\u{0}".to_owned(),
        format!("  5.0012 edge-1 {}", sent(1_000, "r", "e1")),
        answered(1_100, "r", "100"),
    ];

    let report = account(&lines);

    assert_eq!((report.lines, report.bad_lines, report.kinds[0].answered), (5, 3, 1));
}

#[test]
fn line_without_an_end_is_read_in_part() {
    let long = format!("{}\n{}", "x".repeat(1 << 20), sent(1_000, "r", "e1"));
    let mut account = LossAccount::default();

    account.read(Cursor::new(long)).unwrap();

    assert_eq!((account.report().bad_lines, account.report().untold), (1, 1));
}

#[test]
fn memory_is_bounded_whatever_is_read() {
    let mut account = LossAccount::default();

    for number in 0..320_000_u64 {
        let (request, upstream) = (format!("r{number}"), format!("e{number}"));
        account.take(&sent(number, &request, &upstream));
        if number % 3 == 0 {
            let reason = format!("reason {number}");
            let fields = [
                ("request", &*request),
                ("route", "draft"),
                ("customer", &*upstream),
                ("reason", &*reason),
            ];
            account.take(&line(number, "G8005", &fields));
        }
    }

    let report = account.report();
    assert!(report.untold <= 200_000, "{}", report.untold);
    assert!(report.causes.len() <= 20_001 && report.upstreams.len() <= 20_001);
    assert!(report.causes.iter().any(|row| &*row.cause == "(others)"));
    assert!(report.customers.len() <= 20_001 && report.customer_causes.len() <= 20_001);
    assert!(report.customers.iter().any(|row| &*row.customer == "(others)"));
}

/// A line that ends a request of a customer and route.
fn ended(event: &str, request: &str, customer: &str, route: &str) -> String {
    let fields = [
        ("request", request),
        ("customer", customer),
        ("route", route),
        ("reason", "crowded"),
        ("timed_out", "true"),
    ];
    line(1_000, event, &fields)
}

fn customers(report: &LossReport) -> Vec<(&str, &str, [u64; 4], f64)> {
    let counts = |row: &CustomerRow| [row.requests, row.late, row.refused, row.failed];
    let rows = report.customers.iter();
    rows.map(|row| (&*row.customer, &*row.kind, counts(row), row.lost_worth)).collect()
}

#[test]
fn losses_are_told_by_customer_with_what_they_cost() {
    // Guards against a customer of few requests whose losses are hidden by those of a large one.
    let sent = |request: &str| {
        let fields = [
            ("request", request),
            ("route", "draft"),
            ("customer", "large"),
            ("objective_ms", "400"),
        ];
        line(1_000, "G8010", &fields)
    };
    let lines = [
        sent("a"),
        answered(1_900, "a", "900"),
        sent("b"),
        answered(1_100, "b", "100"),
        ended("G8005", "c", "small", "submit"),
        ended("G8006", "d", "small", "submit"),
        ended("G8009", "e", "left", "submit"),
    ];
    let worth = WorthTable::new(["draft=5".parse::<RouteWorth>().unwrap()], "0.2".parse().unwrap());
    let mut account = LossAccount::new(worth);

    account.read(Cursor::new(lines.join("\n"))).unwrap();

    let report = account.report();
    let expected = [
        ("small", "submit", [2, 0, 1, 1], 2.0),
        ("large", "draft", [2, 1, 0, 0], 1.0),
        ("left", "submit", [1, 0, 0, 0], 0.0),
    ];
    assert_eq!(customers(&report), expected);
    let kinds: Vec<(&str, f64, f64)> =
        report.kinds.iter().map(|row| (&*row.kind, row.worth, row.lost_worth)).collect();
    assert_eq!(kinds, [("submit", 3.0, 2.0), ("draft", 10.0, 1.0)]);
    assert_eq!((report.customers[1].first_p50_ms, report.customers[1].first_p99_ms), (100, 903));
    let refused = report.customer_causes.iter().find(|row| &*row.cause == "crowded").unwrap();
    assert_eq!((&*refused.customer, &*refused.outcome, refused.count), ("small", "refused", 1));
}

#[yare::parameterized(
    no_number = { "draft" },
    below_zero = { "draft=-1" },
    no_route = { "=1" },
    not_finite = { "draft=inf" },
    nothing = { "draft=NaN" },
)]
fn worth_that_weighs_nothing_is_refused(text: &str) {
    assert!(text.parse::<RouteWorth>().is_err());
}

#[test]
fn chart_has_a_bar_for_each_outcome() {
    let lines: Vec<String> = (0..5)
        .map(|number| {
            let request = format!("r{number}");
            let fields = [("request", &*request), ("route", "draft"), ("reason", "crowded")];
            line(number * 1_000, "G8005", &fields)
        })
        .collect();

    let chart = draw_chart(&account(&lines)).unwrap();
    let empty = draw_chart(&LossReport::default()).unwrap();

    assert!(chart.starts_with("<svg") && chart.contains("refused"), "{chart}");
    assert!(empty.starts_with("<svg"));
}
