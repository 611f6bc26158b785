//! A daemon that loses its links to all upstreams, on the product's own interface.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::deployment::{Deployment, ask, wait_until};
use guava_standins::fault_proxy::LinkFault;
use std::time::{Duration, Instant};
use support::{call, deploy_default, fresh_key, stream, submission};

/// Time within which a request that this daemon can't serve is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Sets the links of a daemon to all engines, stores and services.
fn set_links(deployment: &Deployment, daemon: usize, fault: LinkFault) {
    let source = deployment.daemons[daemon].source;
    let is_upstream =
        |name: &str| ["engine-", "board-", "store-"].iter().any(|prefix| name.starts_with(prefix));
    let links = deployment.proxies.iter().filter(|(name, _)| is_upstream(name));
    links.for_each(|(_, link)| link.set_for(source, fault));
}

/// Whether a daemon gives callers the address of another, or its own.
fn is_given(deployment: &Deployment, by: usize, daemon: usize) -> bool {
    let answer: serde_json::Value = ask(deployment.daemons[by].callers, "/v1/address").unwrap();
    let own = deployment.daemons[daemon].callers.to_string();
    answer["addresses"].as_array().unwrap().iter().any(|entry| entry["address"] == own)
}

#[yare::parameterized(frozen = { LinkFault::Freeze }, cut = { LinkFault::Cut })]
fn daemon_without_upstreams_is_not_given_to_callers_and_refuses_at_once(fault: LinkFault) {
    let deployment = deploy_default();
    wait_until("it is given", || (0..3).all(|by| is_given(&deployment, by, 0)));

    set_links(&deployment, 0, fault);
    wait_until("it is not given", || !(0..3).any(|by| is_given(&deployment, by, 0)));
    let sent = Instant::now();
    let refused = call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));
    let refused_after = sent.elapsed();
    let served = call(deployment.daemons[1].callers, &submission(&fresh_key(), Some(1)));
    set_links(&deployment, 0, LinkFault::None);

    assert_eq!((refused.outcome.as_str(), served.outcome.as_str()), ("not-run", "done"));
    assert!(refused_after < AT_ONCE, "{refused_after:?}");
    wait_until("it is given again", || (0..3).all(|by| is_given(&deployment, by, 0)));
    assert!(stream(deployment.daemons[0].callers, "a short prompt", 2).done);
}

#[test]
fn all_daemons_are_given_if_none_reaches_upstreams() {
    let deployment = deploy_default();
    (0..3).for_each(|daemon| set_links(&deployment, daemon, LinkFault::Freeze));
    // Longer than reports of upstreams count.
    std::thread::sleep(Duration::from_secs(5));

    let is_given_by_all = (0..3).all(|by| is_given(&deployment, by, by));

    assert!(is_given_by_all);
}
