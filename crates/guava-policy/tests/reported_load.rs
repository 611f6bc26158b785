//! Parsing of the load that upstreams report.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{PacePercent, ReportedLoad, ReportedLoadError};
use yare::parameterized;

#[test]
fn a_report_with_a_pace_is_read_whole() {
    let load: ReportedLoad = " 3, 1,8 ,250".parse().unwrap();

    let pace = Some(PacePercent(250));
    assert_eq!(load, ReportedLoad { running: 3, waiting: 1, slots: 8, pace });
    assert_eq!(load.to_string(), "3,1,8,250");
}

#[test]
fn a_report_without_a_pace_states_none() {
    let load: ReportedLoad = "0,0,6".parse().unwrap();

    assert_eq!(load, ReportedLoad { running: 0, waiting: 0, slots: 6, pace: None });
}

#[parameterized(
    empty = { "", ReportedLoadError::FieldCount { found: 1 } },
    short = { "1,2", ReportedLoadError::FieldCount { found: 2 } },
    long = { "1,2,3,100,5", ReportedLoadError::FieldCount { found: 5 } },
    negative = { "-1,2,3", ReportedLoadError::NotNumber { found: "-1".into() } },
    text = { "1,2,many", ReportedLoadError::NotNumber { found: "many".into() } },
    huge = { "1,2,4294967296", ReportedLoadError::NotNumber { found: "4294967296".into() } },
    no_slots = { "1,2,0", ReportedLoadError::OutOfRange { field: "slots", found: 0 } },
    too_many = { "100001,2,3", ReportedLoadError::OutOfRange { field: "running", found: 100_001 } },
    no_pace = { "1,2,3,0", ReportedLoadError::OutOfRange { field: "pace", found: 0 } },
)]
fn a_report_that_can_not_be_read_is_an_error(text: &str, expected: ReportedLoadError) {
    let error = text.parse::<ReportedLoad>().unwrap_err();

    assert_eq!(error, expected);
}
