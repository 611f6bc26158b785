//! The catalogue of log events in the docs is the one in the code.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_log::LogEvent;
use std::collections::BTreeSet;

/// The events of every crate that the binary is made of.
fn catalogue() -> impl Iterator<Item = &'static LogEvent> {
    let crates = [
        guava_log::CATALOGUE,
        guava_clients::events::CATALOGUE,
        guava_daemon::events::CATALOGUE,
        guava_serve::events::CATALOGUE,
        guava_platform::events::CATALOGUE,
    ];
    crates.into_iter().flatten()
}

fn documented() -> BTreeSet<(String, String)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| G"));
    rows.map(|row| {
        let mut cells = row.split('|').map(str::trim).skip(1);
        (cells.next().unwrap().to_owned(), cells.next().unwrap().to_owned())
    })
    .collect()
}

#[test]
fn docs_list_every_event_and_no_other() {
    let coded: BTreeSet<(String, String)> =
        catalogue().map(|event| (event.code.to_owned(), event.text.to_owned())).collect();

    assert_eq!(documented(), coded);
}

#[test]
fn codes_are_unique() {
    let codes: BTreeSet<&str> = catalogue().map(|event| event.code).collect();

    assert_eq!(codes.len(), catalogue().count());
}
