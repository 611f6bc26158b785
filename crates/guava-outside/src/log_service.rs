//! Client of the platform's append-only log.

use crate::http_link::{self, HttpError};
use bytes::Bytes;
use guava_types::{Deadline, Offset};
use http::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Consecutive records of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The first offset that the log still retains.
    pub first: Offset,
    /// The first offset not written yet.
    pub end: Offset,
    /// Records from the requested offset on, without gaps; may stop before `end`.
    pub records: Vec<PageRecord>,
}

/// One record on a page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageRecord {
    /// Its offset.
    pub offset: Offset,
    /// The record's content; the service stores text.
    pub body: Box<str>,
}

#[derive(Serialize, Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

/// Client of the log service.
#[derive(Clone, Copy, Debug)]
pub struct LogClient {
    /// Where the service listens.
    pub address: SocketAddr,
}

impl LogClient {
    /// Appends a record. After an error, the record may have been appended nevertheless.
    pub async fn append(&self, bytes: Bytes, deadline: Deadline) -> Result<Offset, HttpError> {
        let request =
            http_link::request(self.address, Method::POST, "/append", "application/json", bytes)?;
        let answer: AppendAnswer =
            http_link::exchange_json(self.address, request, deadline).await?;
        Ok(answer.offset)
    }

    /// Reads from an offset on, waiting up to `wait_ms` for the first record.
    pub async fn read(
        &self,
        from: Offset,
        wait_ms: u64,
        deadline: Deadline,
    ) -> Result<LogPage, HttpError> {
        let path = format!("/records?from={from}&wait_ms={wait_ms}");
        http_link::get_json(self.address, &path, deadline).await
    }
}
