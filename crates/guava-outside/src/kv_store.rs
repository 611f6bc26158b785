//! Client of the store VMs, which hold KV blocks behind links of limited bandwidth.

use crate::http_link::{self, HttpError};
use bytes::Bytes;
use guava_types::{ByteCount, Deadline};
use http::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a block in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockState {
    /// Whether the block is completely written and closed.
    pub sealed: bool,
    /// Bytes held.
    pub length: u64,
    /// BLAKE3 digest of those bytes, in hexadecimal.
    pub digest: Box<str>,
}

/// A store's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Bytes held.
    pub used: ByteCount,
    /// Most bytes that the store can hold.
    pub capacity: ByteCount,
    /// Bytes queued for the store's link.
    pub link_queued: ByteCount,
}

/// Client of one store VM.
#[derive(Clone, Copy, Debug)]
pub struct StoreClient {
    /// Where it listens.
    pub address: SocketAddr,
}

impl StoreClient {
    /// State of a block; `HttpError::Refused` if the store has no block of that key.
    pub async fn block(&self, key: &str, deadline: Deadline) -> Result<BlockState, HttpError> {
        http_link::get_json(self.address, &format!("/blocks/{key}/state"), deadline).await
    }

    /// Frees a block.
    pub async fn free(&self, key: &str, deadline: Deadline) -> Result<(), HttpError> {
        let path = format!("/blocks/{key}");
        let request =
            http_link::request(self.address, Method::DELETE, &path, "text/plain", Bytes::new())?;
        http_link::exchange_json(self.address, request, deadline).await
    }

    /// Frees all blocks whose key begins with `prefix`.
    pub async fn free_all(&self, prefix: &str, deadline: Deadline) -> Result<(), HttpError> {
        let path = format!("/blocks?prefix={prefix}");
        let request =
            http_link::request(self.address, Method::DELETE, &path, "text/plain", Bytes::new())?;
        http_link::exchange_json(self.address, request, deadline).await
    }

    /// The store's load.
    pub async fn report(&self, deadline: Deadline) -> Result<StoreReport, HttpError> {
        http_link::get_json(self.address, "/store", deadline).await
    }
}
