//! Reads the body of an answer up to a limit of its size.
//!
//! A faulty server may send bytes without end. Each body has a limit of its own, and what all bodies
//! hold beyond a free part is limited too: otherwise a few such answers at the same time take all of
//! the process's memory.

use crate::serve_context::ServeContext;
use bytes::{Bytes, BytesMut};
use guava_clients::{ClientBudget, HeldBytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::{Snafu, ensure};

/// Bytes of each answer that do not count against the limit of all, so that short answers are read
/// whatever others hold: as many as a connection's own buffers hold.
const FREE_BYTES: usize = 4 << 10;

/// Why a body was not read completely.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke, or the body is malformed.
    #[snafu(display("the answer was interrupted: {source}"), context(false))]
    Interrupted {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// It is longer than accepted.
    #[snafu(display("the answer is longer than {limit} bytes"))]
    TooLong {
        /// Largest accepted size, in bytes.
        limit: usize,
    },
    /// Too much is held of other answers.
    #[snafu(display("there is no memory for a long answer"))]
    NoMemory,
}

/// Bytes of an incomplete answer that count against the limit of all, until this is dropped.
pub struct HeldAnswer {
    budget: ClientBudget,
    held: Option<HeldBytes>,
}

impl HeldAnswer {
    /// Holds nothing yet.
    pub fn new(context: &ServeContext) -> Self {
        Self { budget: context.clients.clone(), held: None }
    }

    /// Notes the length of what is held; returns whether there is memory for it.
    pub fn note_length(&mut self, length: usize) -> bool {
        let count = length.saturating_sub(FREE_BYTES);
        match &mut self.held {
            Some(held) => held.resize(count),
            None if count == 0 => true,
            None => {
                self.held = self.budget.hold(count);
                self.held.is_some()
            }
        }
    }
}

/// Room that is made for a body of known length, so that it does not take twice as much as it grows.
pub fn first_capacity(body: &Incoming, limit: usize) -> usize {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    length.filter(|length| *length <= limit).unwrap_or(0)
}

/// Reads a complete body of at most `limit` bytes, of which `held` keeps count if it is given.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut held: Option<&mut HeldAnswer>,
) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::with_capacity(first_capacity(&body, limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        ensure!(bytes.len() + data.len() <= limit, TooLongSnafu { limit });
        let length = bytes.len() + data.len();
        ensure!(held.as_mut().is_none_or(|held| held.note_length(length)), NoMemorySnafu);
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
