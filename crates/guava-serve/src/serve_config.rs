//! The effective configuration of the request path, independent of its published format.

use guava_policy::ColdRule;
use guava_types::{CustomerId, DataCentre, FastMap, FastSet, ModelName, ServiceName, TokenCount};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Version of a published configuration; a higher one replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

/// Whether a request may be run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// May be run any number of times.
    Idempotent,
    /// Must be run at most once.
    NonIdempotent,
    /// A stream of events that can't be resumed: must be run at most once.
    Stream,
    /// A stream of events that another upstream can resume after any event.
    ResumableStream,
}

impl RepeatRule {
    /// Whether a request may be run again when the outcome of an earlier run is unknown.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Rule for the requests to one host with one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name in log lines.
    pub name: Box<str>,
    /// Host of the requests, in lower case.
    pub host: Box<str>,
    /// Path prefix of the requests; the longest matching prefix of a host decides.
    pub prefix: Box<str>,
    /// Services among which the requests are divided, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether its requests may be run more than once.
    pub repeat: RepeatRule,
    /// Longest time until a caller gets its answer or an error, in milliseconds.
    pub time_limit_ms: u64,
    /// Objective for the time to the answer, or to the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Priority of its requests; 0 is served first.
    pub priority: u8,
    /// Largest number of upstreams on which one request may be run.
    pub max_attempts: u32,
    /// Whether callers without a known key are admitted.
    pub is_public: bool,
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests that one engine decodes at a time.
    pub slots: u32,
    /// Cache memory of one engine, in tokens.
    pub memory: TokenCount,
    /// Bytes of cached KV data per token.
    pub token_bytes: u64,
    /// Throughput of one engine's link, in bytes a second.
    pub bytes_per_s: u64,
    /// Models that the engines serve.
    pub models: Vec<ModelName>,
}

/// Address and properties of a store of prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreTraits {
    /// Service name of the store.
    pub name: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Capacity, in tokens.
    pub memory: TokenCount,
    /// Throughput of its link, in bytes a second.
    pub bytes_per_s: u64,
    /// Time before the first byte of a transfer, in milliseconds.
    pub first_byte_ms: f64,
    /// Whether it frees parts only on order, not by itself.
    pub is_managed: bool,
}

/// Rule for the upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name by which routes and upstreams refer to it.
    pub name: ServiceName,
    /// Properties of its engines; `None` for a service without engines.
    pub engine: Option<EngineTraits>,
    /// Limit on requests to its upstreams while they are cold; `None` for no limit.
    pub cold: Option<ColdRule>,
}

/// Rule for the requests of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Identifies the customer.
    pub name: CustomerId,
    /// Priority that replaces the route's; among equal ones, routes of priority 0 are still served
    /// first. `None` keeps the route's.
    pub priority: Option<u8>,
    /// Whether it shares no prompt parts with other customers.
    pub is_isolated: bool,
}

/// Limits on the size of callers' requests and on the time that they take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time until a request's head is complete, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Contents of a configuration before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct ConfigParts {
    /// Version under which it was published.
    pub version: ConfigVersion,
    /// Routes of all hosts, in any order.
    pub routes: Vec<RouteRule>,
    /// Services that accept requests.
    pub services: Vec<ServiceRule>,
    /// Stores of prompt parts.
    pub stores: Vec<StoreTraits>,
    /// Customers with their keys; `None` if callers need no key.
    pub customers: Option<Vec<(CustomerRule, Vec<Box<str>>)>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// Identity of a caller, as found by its key.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The customer that owns the caller's key.
    Customer(Rc<CustomerRule>),
    /// A caller without a known key, admitted because none is needed.
    Anonymous,
}

/// One published configuration, indexed for the request path.
#[derive(Clone, Debug, Default)]
pub struct ServeConfig {
    /// Version under which it was published.
    pub version: ConfigVersion,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Stores of prompt parts.
    pub stores: Vec<Rc<StoreTraits>>,
    hosts: FastMap<Box<str>, Vec<Rc<RouteRule>>>,
    services: FastMap<ServiceName, Rc<ServiceRule>>,
    keys: FastMap<Box<str>, Rc<CustomerRule>>,
    customers: FastSet<CustomerId>,
    needs_keys: bool,
    longest_time_limit_ms: u64,
}

impl ServeConfig {
    /// Indexes a configuration; where a key occurs twice, its last owner counts.
    pub fn new(parts: ConfigParts) -> Self {
        let mut hosts: FastMap<Box<str>, Vec<Rc<RouteRule>>> = FastMap::default();
        let time_limits = parts.routes.iter().map(|route| route.time_limit_ms);
        let longest_time_limit_ms = time_limits.max().unwrap_or(0);
        for route in parts.routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter().map(|rule| (rule.name.clone(), Rc::new(rule)));
        let needs_keys = parts.customers.is_some();
        let mut keys = FastMap::default();
        let mut customers = FastSet::default();
        for (customer, own_keys) in parts.customers.unwrap_or_default() {
            customers.insert(customer.name.clone());
            let customer = Rc::new(customer);
            keys.extend(own_keys.into_iter().map(|key| (key, Rc::clone(&customer))));
        }
        Self {
            version: parts.version,
            limits: parts.limits,
            stores: parts.stores.into_iter().map(Rc::new).collect(),
            hosts,
            services: services.collect(),
            keys,
            customers,
            needs_keys,
            longest_time_limit_ms,
        }
    }

    /// The longest time limit of all routes, in milliseconds; 0 if there is no route.
    pub fn longest_time_limit_ms(&self) -> u64 {
        self.longest_time_limit_ms
    }

    /// The host's route with the longest prefix of the path; `None` if there is none.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The rule of a service; `None` if the configuration does not contain it.
    pub fn service(&self, name: &ServiceName) -> Option<&Rc<ServiceRule>> {
        self.services.get(name)
    }

    /// Rules of all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Rc<ServiceRule>> {
        self.services.values()
    }

    /// Whether streams of a service may be taken up.
    pub fn has_resumable_streams(&self, service: &ServiceName) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| {
            let is_resumable = route.repeat == RepeatRule::ResumableStream;
            is_resumable && route.services.iter().any(|(name, _)| name == service)
        })
    }

    /// Whether the configuration contains a customer.
    pub fn has_customer(&self, name: &CustomerId) -> bool {
        self.customers.contains(name)
    }

    /// Whether callers authenticate by key, so that keys must not be forwarded to upstreams.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Identity of a caller on a route; `None` if it may not use the route.
    pub fn identify(&self, route: &RouteRule, key: Option<&str>) -> Option<CallerIdentity> {
        if !self.needs_keys {
            return Some(CallerIdentity::Anonymous);
        }
        let customer = key.and_then(|key| self.keys.get(key));
        match customer {
            Some(customer) => Some(CallerIdentity::Customer(Rc::clone(customer))),
            None if route.is_public => Some(CallerIdentity::Anonymous),
            None => None,
        }
    }
}

/// The configuration in force: the highest version that was ever offered.
///
/// Reads of the store and copies from peers may be seconds old. Applying one after a newer one would
/// restore a revoked key or a removed route, and answers to callers would change back and forth. So a
/// lower version never replaces a higher one while the process runs.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    current: Option<Rc<ServeConfig>>,
}

impl CurrentConfig {
    /// Puts a configuration in force if its version is higher; returns whether it did.
    pub fn offer(&mut self, config: ServeConfig) -> bool {
        let is_newer = self.current.as_ref().is_none_or(|current| current.version < config.version);
        if is_newer {
            self.current = Some(Rc::new(config));
        }
        is_newer
    }

    /// The configuration in force; `None` before the first one.
    pub fn current(&self) -> Option<&Rc<ServeConfig>> {
        self.current.as_ref()
    }
}
