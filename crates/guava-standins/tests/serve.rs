//! Stand-ins take their ports though other processes probe them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use axum::Router;
use guava_standins::harness::{block_on, free_address};
use guava_standins::serve::serve;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

#[test]
fn stand_in_whose_port_is_probed_at_its_start_listens_once_it_is_free() {
    // Guards against tests whose daemons wait in vain for a store that never listened.
    let address = free_address(Ipv4Addr::LOCALHOST.into());
    let probing = TcpListener::bind(address).unwrap();
    spawn(move || drop(block_on(serve(address, Router::new()))));

    sleep(Duration::from_millis(300));
    drop(probing);
    sleep(Duration::from_millis(500));

    assert!(TcpStream::connect(address).is_ok());
}
