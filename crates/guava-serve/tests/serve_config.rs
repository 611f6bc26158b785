//! Choice of the route, callers' keys, and versions of the configuration.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{CallerIdentity, ConfigParts, CurrentConfig, ServeConfig};
use support::{config, config_parts};
use yare::parameterized;

#[parameterized(
    longest_prefix = { "a.example", "/llm/once/2f", Some("/llm/once/") },
    shorter_prefix = { "a.example", "/llm/2f", Some("/llm/") },
    prefix_ends_at_a_slash = { "a.example", "/llmx", None },
    other_host = { "b.example", "/llm/2f", None },
)]
fn route_with_the_longest_matching_prefix_of_the_host_is_found(
    host: &str,
    path: &str,
    expected: Option<&str>,
) {
    let config = config(1);

    let found = config.find_route(host, path);

    assert_eq!(found.map(|route| &*route.prefix), expected);
}

#[test]
fn only_a_known_key_identifies_a_customer() {
    let config = config(1);
    let route = config.find_route("a.example", "/app/x").unwrap();

    let known = config.identify(route, Some("key-acme"));
    let unknown = config.identify(route, Some("key-nobody"));
    let missing = config.identify(route, None);

    assert!(matches!(known, Some(CallerIdentity::Customer(who)) if who.name.as_str() == "acme"));
    assert_eq!(unknown, None);
    assert_eq!(missing, None);
}

#[test]
fn public_route_needs_no_key_but_identifies_by_a_known_one() {
    let mut parts = config_parts(1);
    parts.routes.iter_mut().for_each(|route| route.is_public = true);
    let config = ServeConfig::new(parts);
    let route = config.find_route("a.example", "/app/x").unwrap();

    assert_eq!(config.identify(route, None), Some(CallerIdentity::Anonymous));
    let known = config.identify(route, Some("key-acme"));
    assert!(matches!(known, Some(CallerIdentity::Customer(_))));
}

#[test]
fn configuration_without_customers_needs_no_keys() {
    let config = ServeConfig::new(ConfigParts { customers: None, ..config_parts(1) });
    let route = config.find_route("a.example", "/app/x").unwrap();

    assert!(!config.needs_keys());
    assert_eq!(config.identify(route, Some("anything")), Some(CallerIdentity::Anonymous));
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    // Symptom: a revoked key is accepted again for some seconds.
    // Sequence: version 7 is in force; a read that is seconds old returns version 6.
    // Cause: the version that was read last was taken for the newest one.
    let mut current_config = CurrentConfig::default();
    current_config.offer(config(7));

    let is_applied = current_config.offer(config(6));

    assert!(!is_applied);
    assert_eq!(current_config.current().unwrap().version.0, 7);
}
