//! Event ids of streamed answers: enough to read a run on at any daemon, signed for one customer.

use guava_types::{CustomerId, ModelName, UpstreamId, VersionName};
use snafu::{ResultExt, Snafu};
use std::path::Path;

const SEPARATOR: char = '~';
const MAC_DIGITS: usize = 32;
const LEAST_SECRET_BYTES: usize = 16;

/// Why there is no secret.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file can't be read.
    #[snafu(display("secret_file {path}: {source}"))]
    Unreadable {
        /// The file.
        path: Box<str>,
        /// Why.
        source: std::io::Error,
    },
    /// Too short to be a secret.
    #[snafu(display("secret_file {path}: at least {LEAST_SECRET_BYTES} bytes"))]
    TooShort {
        /// The file.
        path: Box<str>,
    },
}

/// The secret that all daemons share.
#[derive(Clone)]
pub struct StreamSecret {
    key: [u8; 32],
}

/// A place in a run's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPlace {
    /// The engine.
    pub upstream: UpstreamId,
    /// The run at the engine.
    pub run: Box<str>,
    /// The model.
    pub model: ModelName,
    /// The version that runs it.
    pub version: VersionName,
    /// Position of the chunk that carries the id.
    pub position: u64,
}

impl StreamSecret {
    /// Reads the secret from its file.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let shown = || -> Box<str> { path.to_string_lossy().into() };
        let bytes = std::fs::read(path).context(UnreadableSnafu { path: shown() })?;
        if bytes.len() < LEAST_SECRET_BYTES {
            return TooShortSnafu { path: shown() }.fail();
        }
        Ok(Self { key: blake3::derive_key("guavatiller event ids 1", &bytes) })
    }

    fn mac(&self, customer: &CustomerId, text: &str) -> Box<str> {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(customer.as_str().as_bytes());
        hasher.update(b"\n");
        hasher.update(text.as_bytes());
        hasher.finalize().to_hex().as_str().chars().take(MAC_DIGITS).collect()
    }

    /// The event id of a place in a customer's stream.
    pub fn event_id(&self, customer: &CustomerId, place: &StreamPlace) -> String {
        let StreamPlace { upstream, run, model, version, position } = place;
        let text = format!("{upstream}~{run}~{model}~{version}~{position}");
        let mac = self.mac(customer, &text);
        format!("{text}~{mac}")
    }

    /// Reads an event id back; nothing if it is forged or another customer's.
    pub fn place(&self, customer: &CustomerId, id: &str) -> Option<StreamPlace> {
        let (text, mac) = id.rsplit_once(SEPARATOR)?;
        // The comparison of hashes takes the same time wherever they differ.
        let expected = blake3::hash(self.mac(customer, text).as_bytes());
        if expected != blake3::hash(mac.as_bytes()) {
            return None;
        }
        let mut parts = text.split(SEPARATOR);
        let place = StreamPlace {
            upstream: parts.next()?.parse().ok()?,
            run: parts.next()?.into(),
            model: parts.next()?.parse().ok()?,
            version: parts.next()?.parse().ok()?,
            position: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(place)
    }
}

/// The hash that is kept of a customer's key or the operators' token.
pub fn token_hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
