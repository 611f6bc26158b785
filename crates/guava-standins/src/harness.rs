//! Ports, processes, waits and questions, for deployments and tests.

use crate::serve::AnyError;
use guava_outside::{get_json, post_json};
use guava_types::Deadline;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a condition may take before a test gives up; generous, for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const FIRST_PORT: u16 = 10_000;
const PORT_SPAN: u16 = 20_000;

/// Held while a port is probed and while a process is started.
///
/// A process that is just being started holds copies of all open sockets until its own program
/// runs. One that copies a probing socket keeps the probed port taken for some milliseconds, and
/// the server that the port is meant for fails to bind it, now and then.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Distance between the first ports of processes that start one after the other. A process whose
/// daemons are down for a while must not find their ports taken by another.
const PORT_STRIDE: u32 = 1_009;

/// A free address on an IP number of this machine.
///
/// Ports lie below the range for outgoing connections, which would else take them now and then.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    let base = u16::try_from(std::process::id() * PORT_STRIDE % u32::from(PORT_SPAN)).unwrap_or(0);
    let _alone = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (base + step % PORT_SPAN) % PORT_SPAN;
        let address = SocketAddr::new(ip, port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a process.
pub fn start(command: &mut Command) -> std::io::Result<Child> {
    let _alone = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Runs a command to its end.
pub fn run(command: &mut Command) -> std::io::Result<Output> {
    let child = start(command.stdout(Stdio::piped()).stderr(Stdio::piped()))?;
    child.wait_with_output()
}

/// Waits for a condition; panics with its name when patience ends.
#[allow(clippy::panic, reason = "a test that waits in vain has failed")]
pub fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > WAIT_TIMEOUT {
            panic!("gave up waiting until {what}");
        }
        sleep(Duration::from_millis(20));
    }
}

/// Runs a future to its end on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, AnyError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

/// GETs JSON from a stand-in.
pub fn ask<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AnyError> {
    Ok(block_on(get_json(address, path, Deadline::in_millis(10_000)))??)
}

/// POSTs JSON to a stand-in that answers nothing.
pub fn post_value<S: Serialize + Sync>(
    address: SocketAddr,
    path: &str,
    value: &S,
) -> Result<(), AnyError> {
    let sent = block_on(post_json::<S, serde_json::Value>(
        address,
        path,
        value,
        Deadline::in_millis(10_000),
    ))?;
    match sent {
        // An empty body is no JSON, and all that these answers hold.
        Ok(_) | Err(guava_outside::HttpError::Syntax { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}
