//! What all stand-in servers share.

use axum::Router;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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

/// Serves a router until the process ends.
pub async fn serve(listen: SocketAddr, router: Router) -> Result<(), AnyError> {
    let listener = tokio::net::TcpListener::bind(listen).await?;
    axum::serve(listener, router).await?;
    Ok(())
}
