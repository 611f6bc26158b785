//! Settings: every error at once, with line, key, what was found and what is allowed.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_daemon::DaemonSettings;
use yare::parameterized;

/// Valid settings, one field a line.
fn valid() -> Vec<String> {
    [
        "\"name\": \"entry-1\"",
        "\"data_centre\": \"karlin\"",
        "\"source_ip\": \"10.0.0.1\"",
        "\"callers\": { \"listen\": \"10.0.0.1:7000\" }",
        "\"peers\": { \"listen\": \"10.0.0.1:7001\", \"advertise\": \"10.9.0.1:7001\" }",
        "\"operators\": { \"listen\": \"10.0.0.1:7002\" }",
        "\"seeds\": [\"10.0.0.2:7001\"]",
        "\"operator_token_hash\": \"0000000000000000000000000000000000000000000000000000000000000000\"",
        "\"secret_file\": \"secret\"",
        "\"platform\": { \"log\": \"10.0.1.1:1\", \"vm_list\": \"10.0.1.1:2\", \"weights\": \"10.0.1.1:3\" }",
        "\"tls\": { \"off\": true }",
    ]
    .map(String::from)
    .to_vec()
}

fn text(lines: &[String]) -> String {
    format!("{{ // settings\n{}\n}}\n", lines.join(",\n"))
}

fn with(line: &str) -> String {
    let key = line.split(':').next().unwrap();
    let mut lines: Vec<String> =
        valid().into_iter().filter(|other| !other.starts_with(key)).collect();
    lines.push(line.into());
    text(&lines)
}

#[test]
fn valid_settings_are_read() {
    let settings = DaemonSettings::parse(&text(&valid())).unwrap();

    assert_eq!(settings.name.as_str(), "entry-1");
    assert_eq!(settings.callers.advertise, settings.callers.listen);
    assert_eq!(settings.peers.advertise, "10.9.0.1:7001".parse().unwrap());
    assert_eq!(settings.address_keep_ms, 10_000);
}

#[parameterized(
    name = { "\"name\": \"Entry One\"", "name" },
    address = { "\"callers\": { \"listen\": \"nowhere\" }", "callers.listen" },
    number = { "\"address_keep_ms\": \"10\"", "address_keep_ms" },
    out_of_bounds = { "\"address_keep_ms\": 5", "address_keep_ms" },
    choice = { "\"log_level\": \"loud\"", "log_level" },
    flag = { "\"tls\": { \"off\": \"yes\" }", "tls.off" },
    hash = { "\"operator_token_hash\": \"abc\"", "operator_token_hash" },
    list = { "\"seeds\": [\"10.0.0.2\"]", "seeds" },
    list_of_others = { "\"seeds\": \"10.0.0.2:1\"", "seeds" },
    unknown = { "\"colour\": \"green\"", "colour" },
    unknown_in_section = { "\"callers\": { \"listen\": \"10.0.0.1:7000\", \"port\": 1 }", "callers.port" },
    null = { "\"secret_file\": null", "secret_file" },
)]
fn wrong_value_is_named(line: &str, key: &str) {
    let text = with(line);

    let errors = DaemonSettings::parse(&text).unwrap_err();

    let last = text.lines().count() - 1;
    assert!(errors.0.iter().any(|e| &*e.key == key && e.line == last), "{errors}");
    assert!(errors.0.iter().all(|error| !error.allowed.is_empty()));
}

#[test]
fn all_errors_are_reported_at_once() {
    let lines = ["\"name\": 7", "\"watch_limit\": 0", "\"shape\": 1"].map(String::from);

    let errors = DaemonSettings::parse(&text(&lines)).unwrap_err();

    for key in ["name", "watch_limit", "shape", "data_centre", "platform.log", "secret_file"] {
        assert!(errors.0.iter().any(|error| &*error.key == key), "{key}: {errors}");
    }
}

#[test]
fn tls_is_off_only_if_set_so() {
    let lines: Vec<String> =
        valid().into_iter().filter(|line| !line.starts_with("\"tls\"")).collect();

    let errors = DaemonSettings::parse(&text(&lines)).unwrap_err();

    for key in ["tls.callers.certificate", "tls.peers.authorities", "tls.operators.key"] {
        assert!(errors.0.iter().any(|error| &*error.key == key), "{key}: {errors}");
    }
}

#[parameterized(
    no_object = { "[]" },
    empty = { "" },
    trailing_comma = { "{ \"name\": \"a\", }" },
    cut_off = { "{ \"name\": \"a\"" },
    not_json = { "name = a" },
)]
fn bad_syntax_is_an_error_with_its_line(text: &str) {
    let errors = DaemonSettings::parse(text).unwrap_err();

    assert_eq!(errors.0.len(), 1, "{errors}");
    assert!(errors.0[0].line >= 1);
}

#[test]
fn key_given_twice_is_refused() {
    let mut lines = valid();
    lines.push("\"name\": \"entry-2\"".into());

    let errors = DaemonSettings::parse(&text(&lines)).unwrap_err();

    assert!(errors.0.iter().any(|error| &*error.key == "name"), "{errors}");
}
