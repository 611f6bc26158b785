//! Routes, keys, and which configuration is in force.

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
fn route_is_the_longest_prefix_of_its_host(host: &str, path: &str, expected: Option<&str>) {
    let config = config(1);

    let found = config.find_route(host, path);

    assert_eq!(found.map(|route| &*route.prefix), expected);
}

#[test]
fn key_names_its_customer_and_no_other_does() {
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
fn public_route_needs_no_key_but_honours_one() {
    let mut parts = config_parts(1);
    parts.routes.iter_mut().for_each(|route| route.is_public = true);
    let config = ServeConfig::new(parts);
    let route = config.find_route("a.example", "/app/x").unwrap();

    assert_eq!(config.identify(route, None), Some(CallerIdentity::Anonymous));
    let known = config.identify(route, Some("key-acme"));
    assert!(matches!(known, Some(CallerIdentity::Customer(_))));
}

#[test]
fn without_customers_nobody_needs_a_key() {
    let config = ServeConfig::new(ConfigParts { customers: None, ..config_parts(1) });
    let route = config.find_route("a.example", "/app/x").unwrap();

    assert!(!config.needs_keys());
    assert_eq!(config.identify(route, Some("anything")), Some(CallerIdentity::Anonymous));
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    // Symptom: a revoked key works again for some seconds.
    // Sequence: version 7 is in force; a read that is seconds behind brings version 6.
    // Cause: the last one read was taken for the newest one.
    let mut keeper = CurrentConfig::default();
    keeper.offer(config(7));

    let is_taken = keeper.offer(config(6));

    assert!(!is_taken);
    assert_eq!(keeper.current().unwrap().version.0, 7);
}
