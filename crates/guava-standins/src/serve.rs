//! What all stand-in servers share.

use axum::Router;
use guava_types::{Deadline, Moment};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// How long a stand-in waits for its port, in milliseconds.
const BIND_MS: u64 = 5_000;
/// Pause between two tries.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Any error of a stand-in's start.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// State behind a lock that outlives a panicking handler.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Shared<T> {
    /// Puts a value behind the lock.
    pub fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(value)))
    }

    /// Takes the lock.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens at an address that was probed and found free; waits while another process probes it too.
async fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let until = Deadline::in_millis(BIND_MS);
    loop {
        match TcpListener::bind(listen).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && !until.passed(Moment::now()) => {
                sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

/// Serves a router until the process ends.
pub async fn serve(listen: SocketAddr, router: Router) -> Result<(), AnyError> {
    let listener = bind(listen).await?;
    axum::serve(listener, router).await?;
    Ok(())
}
