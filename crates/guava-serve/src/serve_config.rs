//! The effective configuration as the request path sees it, whoever published it.

use guava_policy::ColdRule;
use guava_types::{CustomerId, DataCentre, FastMap, ModelName, ServiceName, TokenCount};
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

/// Whether and how a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    NonIdempotent,
    /// A stream of events that can't be taken up again: once at most.
    Stream,
    /// A stream of events that another upstream can take up after any event.
    ResumableStream,
}

impl RepeatRule {
    /// Whether a run whose outcome is unknown may be followed by another one.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// For logs.
    pub name: Box<str>,
    /// Host that it belongs to, in lower case.
    pub host: Box<str>,
    /// Beginning of the paths that it takes.
    pub prefix: Box<str>,
    /// Services that share its requests, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub time_limit_ms: u64,
    /// Time in which an answer should come, in milliseconds; of streams the first event.
    pub objective_ms: u64,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// What is known of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests that one decodes at a time.
    pub slots: u32,
    /// Cache memory of one, in tokens.
    pub memory: TokenCount,
    /// Bytes of cache for one token.
    pub token_bytes: u64,
    /// Throughput of one's link in bytes a second.
    pub bytes_per_s: u64,
    /// Models that they serve.
    pub models: Vec<ModelName>,
}

/// A store of cached prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreTraits {
    /// Its name.
    pub name: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it can hold.
    pub memory: TokenCount,
    /// Throughput of its link in bytes a second.
    pub bytes_per_s: u64,
    /// Time before the first byte of a transfer, in milliseconds.
    pub first_byte_ms: f64,
    /// Whether it frees nothing by itself.
    pub is_managed: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// What its engines have in common; nothing for a plain service.
    pub engine: Option<EngineTraits>,
    /// What its upstreams bear while they are cold; nothing if that is no matter.
    pub cold: Option<ColdRule>,
}

/// One customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Its name.
    pub name: CustomerId,
    /// Rank that replaces the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached part with any other customer.
    pub is_isolated: bool,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds in which a head must be in.
    pub header_ms: u64,
    /// Milliseconds for which a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// What a configuration is made of.
#[derive(Clone, Debug, Default)]
pub struct ConfigParts {
    /// Which one.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services that take requests.
    pub services: Vec<ServiceRule>,
    /// All stores of cached parts.
    pub stores: Vec<StoreTraits>,
    /// Customers with the keys that they may use; nothing if callers need no key at all.
    pub customers: Option<Vec<(CustomerRule, Vec<Box<str>>)>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Who a caller is.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// A customer, by its key.
    Customer(Rc<CustomerRule>),
    /// Nobody in particular: no key is needed.
    Anonymous,
}

/// One published configuration, indexed for the request path.
#[derive(Clone, Debug, Default)]
pub struct ServeConfig {
    /// Which one.
    pub version: ConfigVersion,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Stores of cached parts.
    pub stores: Vec<Rc<StoreTraits>>,
    hosts: FastMap<Box<str>, Vec<Rc<RouteRule>>>,
    services: FastMap<ServiceName, Rc<ServiceRule>>,
    keys: FastMap<Box<str>, Rc<CustomerRule>>,
    needs_keys: bool,
}

impl ServeConfig {
    /// Indexes a configuration.
    pub fn new(parts: ConfigParts) -> Self {
        let mut hosts: FastMap<Box<str>, Vec<Rc<RouteRule>>> = FastMap::default();
        for route in parts.routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter().map(|rule| (rule.name.clone(), Rc::new(rule)));
        let needs_keys = parts.customers.is_some();
        let mut keys = FastMap::default();
        for (customer, own_keys) in parts.customers.unwrap_or_default() {
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
            needs_keys,
        }
    }

    /// The route of a request: the longest prefix among its host's.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Rc<ServiceRule>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<ServiceRule>> {
        self.services.values()
    }

    /// Whether callers' keys mean anything, so that they must not be passed on.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Who a caller on a route is; nothing if it may not use the route.
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

/// The configuration in force: the newest that was ever seen.
///
/// Reads of the store and peers' copies may be seconds old. Taking one in after a newer one would
/// bring a revoked key or a removed route back; callers would notice answers that change back and
/// forth. So a lower version never replaces a higher one while the process lives.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    current: Option<Rc<ServeConfig>>,
}

impl CurrentConfig {
    /// Takes a configuration in; whether it is newer than the one in force.
    pub fn offer(&mut self, config: ServeConfig) -> bool {
        let is_newer = self.current.as_ref().is_none_or(|current| current.version < config.version);
        if is_newer {
            self.current = Some(Rc::new(config));
        }
        is_newer
    }

    /// The one in force, if any is known.
    pub fn current(&self) -> Option<&Rc<ServeConfig>> {
        self.current.as_ref()
    }
}
