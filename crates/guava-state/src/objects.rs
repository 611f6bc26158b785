//! Configured objects as operators declare them, and the bounds of their fields.

use guava_types::{
    CustomerId, DataCentre, LinkRate, ModelName, RequestRate, ServiceName, TokenRate, UpstreamId,
    VersionName,
};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Bound of key hashes, versions or method rules in one object.
const MAX_LIST_ENTRIES: usize = 64;

/// Why an object is refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ObjectError {
    /// The text is not the key of an object.
    #[snafu(display(
        "object: expected kind/name with kind customer, service, model, upstream, profile or \
         data-centre, found {found:?}"
    ))]
    InvalidKey {
        /// The text given, at most 100 characters of it.
        found: Box<str>,
    },
    /// A field's value is not allowed, or a required field has none.
    #[snafu(display("{field}: expected {expected}, found {found}"))]
    InvalidField {
        /// Name of the field.
        field: &'static str,
        /// What is allowed.
        expected: &'static str,
        /// The value given.
        found: Box<str>,
    },
}

/// Kind of object that a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A customer.
    Customer,
    /// A plain service.
    Service,
    /// A model.
    Model,
    /// An upstream.
    Upstream,
    /// The weights of the three cost measures.
    Profile,
    /// A data centre.
    DataCentre,
}

const KIND_NAMES: [(ObjectKind, &str); 6] = [
    (ObjectKind::Customer, "customer"),
    (ObjectKind::Service, "service"),
    (ObjectKind::Model, "model"),
    (ObjectKind::Upstream, "upstream"),
    (ObjectKind::Profile, "profile"),
    (ObjectKind::DataCentre, "data-centre"),
];

/// Kind and name of a configured object, written `kind/name`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Its name, unique within its kind.
    pub name: Box<str>,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = KIND_NAMES.iter().find(|(kind, _)| *kind == self.kind).map_or("", |pair| pair.1);
        write!(out, "{kind}/{}", self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = ObjectError;

    fn from_str(text: &str) -> Result<Self, ObjectError> {
        let error = || ObjectError::InvalidKey { found: text.chars().take(100).collect() };
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = KIND_NAMES.iter().find(|pair| pair.1 == kind).ok_or_else(error)?.0;
        // All name types accept the same characters, so any of them can check the name.
        name.parse::<UpstreamId>().map_err(|_| error())?;
        Ok(Self { kind, name: name.into() })
    }
}

/// A customer's keys and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// BLAKE3 hashes of the accepted keys, in hexadecimal; the keys themselves are not kept.
    pub key_hashes: Vec<Box<str>>,
    /// Limit of accepted requests over all daemons.
    pub rate: RequestRate,
    /// Limit of requests in flight over all daemons.
    pub concurrency: u32,
}

/// Whether calls of one method and path prefix may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MethodRule {
    /// HTTP method, in capitals; `*` for any.
    pub method: Box<str>,
    /// Path prefix, beginning with `/`.
    pub path: Box<str>,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

/// A plain service. The first rule that matches a call decides; a call that no rule matches is
/// non-idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Rules in the order in which they are compared.
    pub rules: Vec<MethodRule>,
}

impl ServiceSpec {
    /// Whether a call of this method and path may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches = |rule: &&MethodRule| {
            (&*rule.method == "*" || &*rule.method == method) && path.starts_with(&*rule.path)
        };
        self.rules.iter().find(matches).is_some_and(|rule| rule.idempotent)
    }
}

/// A model's published versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Versions in the weight store; at most 64, `current` among them.
    pub versions: Vec<VersionName>,
    /// The version that new requests use.
    pub current: VersionName,
    /// The version that a rollback returns to.
    pub previous: Option<VersionName>,
}

/// Kind of work that an upstream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
    /// A store VM for KV blocks.
    Store,
}

/// A registered upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Kind of work it does.
    pub kind: UpstreamKind,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Whether it refuses an order that carries a superseded fencing token.
    pub checks_fencing: bool,
    /// Whether an operator drains it, so that it gets no new work.
    pub draining: bool,
    /// The service it belongs to, for a service instance.
    pub service: Option<ServiceName>,
    /// The model it serves, for an engine.
    pub model: Option<ModelName>,
    /// Prefill throughput of an engine.
    pub prefill: TokenRate,
    /// Throughput of a store's link.
    pub link: LinkRate,
    /// Requests that an engine runs at one time.
    pub slots: u32,
}

/// Weights of the three cost measures, as whole numbers relative to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightProfile {
    /// Weight of a millisecond of time to first token.
    pub first_token: u32,
    /// Weight of a recomputed token.
    pub recompute: u32,
    /// Weight of a kilobyte sent over a link.
    pub link: u32,
}

impl Default for WeightProfile {
    fn default() -> Self {
        Self { first_token: 10, recompute: 1, link: 1 }
    }
}

/// A data centre's setting by operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Whether its upstreams get no new work.
    pub drained: bool,
}

/// One configured object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigObject {
    /// A customer.
    Customer(CustomerSpec),
    /// A plain service.
    Service(ServiceSpec),
    /// A model.
    Model(ModelSpec),
    /// An upstream.
    Upstream(UpstreamSpec),
    /// The weights of the three cost measures.
    Profile(WeightProfile),
    /// A data centre.
    #[serde(rename = "data-centre")]
    DataCentre(DataCentreSpec),
}

fn invalid_field(
    field: &'static str,
    expected: &'static str,
    found: impl Into<Box<str>>,
) -> ObjectError {
    ObjectError::InvalidField { field, expected, found: found.into() }
}

fn check_customer(spec: &CustomerSpec) -> Result<(), ObjectError> {
    if spec.key_hashes.len() > MAX_LIST_ENTRIES {
        return Err(invalid_field("key_hashes", "at most 64", spec.key_hashes.len().to_string()));
    }
    let is_hash = |hash: &str| hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
    if let Some(hash) = spec.key_hashes.iter().find(|hash| !is_hash(hash)) {
        return Err(invalid_field(
            "key_hashes",
            "64 hexadecimal digits",
            format!("{} bytes", hash.len()),
        ));
    }
    if spec.rate.0 == 0 {
        return Err(invalid_field("rate", "at least 1 requests/s", "0"));
    }
    if spec.concurrency == 0 {
        return Err(invalid_field("concurrency", "at least 1", "0"));
    }
    Ok(())
}

fn check_service(spec: &ServiceSpec) -> Result<(), ObjectError> {
    if spec.rules.len() > MAX_LIST_ENTRIES {
        return Err(invalid_field("rules", "at most 64", spec.rules.len().to_string()));
    }
    let unmatchable_rule = spec.rules.iter().find(|rule| !rule.path.starts_with('/'));
    match unmatchable_rule {
        Some(rule) => {
            Err(invalid_field("rules.path", "a path beginning with /", rule.path.clone()))
        }
        None => Ok(()),
    }
}

fn check_model(spec: &ModelSpec) -> Result<(), ObjectError> {
    if spec.versions.len() > MAX_LIST_ENTRIES {
        return Err(invalid_field("versions", "at most 64", spec.versions.len().to_string()));
    }
    if !spec.versions.contains(&spec.current) {
        return Err(invalid_field("current", "a published version", spec.current.as_str()));
    }
    Ok(())
}

fn check_upstream(spec: &UpstreamSpec) -> Result<(), ObjectError> {
    match spec.kind {
        UpstreamKind::Engine if spec.model.is_none() => {
            Err(invalid_field("model", "the engine's model", "nothing"))
        }
        UpstreamKind::Engine if spec.prefill.0 == 0 => {
            Err(invalid_field("prefill", "at least 1 tokens/s", "0"))
        }
        UpstreamKind::Engine if spec.slots == 0 => Err(invalid_field("slots", "at least 1", "0")),
        UpstreamKind::Service if spec.service.is_none() => {
            Err(invalid_field("service", "the instance's service", "nothing"))
        }
        UpstreamKind::Store if spec.link.0 == 0 => {
            Err(invalid_field("link", "at least 1 B/s", "0"))
        }
        _ => Ok(()),
    }
}

impl ConfigObject {
    /// Kind that the object's key must have.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Customer(_) => ObjectKind::Customer,
            Self::Service(_) => ObjectKind::Service,
            Self::Model(_) => ObjectKind::Model,
            Self::Upstream(_) => ObjectKind::Upstream,
            Self::Profile(_) => ObjectKind::Profile,
            Self::DataCentre(_) => ObjectKind::DataCentre,
        }
    }

    /// Fails for a value that is not allowed or missing, with the first such field in the error.
    pub fn check(&self) -> Result<(), ObjectError> {
        match self {
            Self::Customer(spec) => check_customer(spec),
            Self::Service(spec) => check_service(spec),
            Self::Model(spec) => check_model(spec),
            Self::Upstream(spec) => check_upstream(spec),
            Self::Profile(_) | Self::DataCentre(_) => Ok(()),
        }
    }
}

/// An object with the revision of its last change; a deleted object keeps its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Offset of the last accepted change, plus one; zero if the object was never set.
    pub revision: guava_types::Offset,
    /// The object, or `None` after its deletion.
    pub object: Option<ConfigObject>,
}

impl ObjectKey {
    /// The key of a customer.
    pub fn customer(id: &CustomerId) -> Self {
        Self { kind: ObjectKind::Customer, name: id.as_str().into() }
    }

    /// The key of a model.
    pub fn model(name: &ModelName) -> Self {
        Self { kind: ObjectKind::Model, name: name.as_str().into() }
    }

    /// The key of a service.
    pub fn service(name: &ServiceName) -> Self {
        Self { kind: ObjectKind::Service, name: name.as_str().into() }
    }

    /// The key of an upstream.
    pub fn upstream(id: &UpstreamId) -> Self {
        Self { kind: ObjectKind::Upstream, name: id.as_str().into() }
    }

    /// The key of a data centre.
    pub fn data_centre(name: &DataCentre) -> Self {
        Self { kind: ObjectKind::DataCentre, name: name.as_str().into() }
    }

    /// The key of the one weight profile.
    pub fn profile() -> Self {
        Self { kind: ObjectKind::Profile, name: "measures".into() }
    }
}
