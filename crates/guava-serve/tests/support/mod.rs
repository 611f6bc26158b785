//! Fixtures of the request path's tests.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

pub mod load_simulation;
pub mod named_upstream;
pub mod scripted;
pub mod served;

use guava_clients::ClientLimits;
use guava_serve::{
    AcceptedRequest, AnswerMarks, CallerIdentity, ConfigParts, ConfigVersion, CustomerRule,
    Dialect, EngineTraits, ListRevision, MemberDescriptor, OwnSummary, PromptPart, PromptShape,
    PublicationSource, RepeatRule, RequestHead, RetryLimit, RouteRule, ServeBounds, ServeConfig,
    ServeContext, ServeIdentity, ServiceRule, StoreTraits, UpstreamEntry, VersionLimits,
    VersionTarget, WeightVersion,
};
use guava_types::{
    CoreShare, Deadline, FastMap, LinkRate, ModelName, Moment, TokenCount, UpstreamId,
};
use std::net::SocketAddr;
use std::rc::Rc;

pub fn id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

pub fn model() -> ModelName {
    "m0".parse().unwrap()
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn upstream(name: &str, service: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id(name),
        revision: ListRevision::default(),
        service: service.parse().unwrap(),
        address: address(9),
        data_centre: "east".parse().unwrap(),
        software: Some("v1".parse().unwrap()),
        slots: 8,
        is_leaving: false,
        cold_until: Deadline::default(),
        versions: FastMap::default(),
    }
}

pub fn engine(name: &str, version: u64) -> UpstreamEntry {
    let mut entry = upstream(name, "llm");
    entry.versions.insert(model(), WeightVersion(version));
    entry
}

/// Weights that this daemon read of at the moment of their publication.
pub fn published(version: u64, at: Moment) -> VersionTarget {
    let version = WeightVersion(version);
    let source = PublicationSource::Store;
    VersionTarget { version, published: at, heard: at, source, is_recorded: false }
}

pub fn leaving(mut entry: UpstreamEntry) -> UpstreamEntry {
    entry.is_leaving = true;
    entry
}

pub fn route(prefix: &str, service: &str, repeat: RepeatRule) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        services: vec![(service.parse().unwrap(), 1)],
        repeat,
        time_limit_ms: 2_000,
        objective_ms: 400,
        priority: 1,
        max_attempts: 2,
        is_public: false,
    }
}

pub fn customer(name: &str, is_isolated: bool) -> CustomerRule {
    CustomerRule { name: name.parse().unwrap(), priority: None, is_isolated }
}

pub fn engine_traits() -> EngineTraits {
    EngineTraits {
        slots: 64,
        memory: TokenCount(64_000),
        token_bytes: 18_432,
        bytes_per_s: 20_000_000_000,
        models: vec![model()],
    }
}

pub fn store(name: &str, port: u16) -> Rc<StoreTraits> {
    Rc::new(StoreTraits {
        name: name.parse().unwrap(),
        address: address(port),
        data_centre: "east".parse().unwrap(),
        memory: TokenCount(100_000),
        bytes_per_s: 5_000_000_000,
        first_byte_ms: 1.0,
        is_managed: true,
    })
}

/// A configuration with an engine service `llm`, a plain service `app`, and two customers.
pub fn config_parts(version: u64) -> ConfigParts {
    ConfigParts {
        version: ConfigVersion(version),
        routes: vec![
            route("/llm/", "llm", RepeatRule::ResumableStream),
            route("/llm/once/", "llm", RepeatRule::Stream),
            route("/app/", "app", RepeatRule::NonIdempotent),
            route("/get/", "app", RepeatRule::Idempotent),
        ],
        services: vec![
            ServiceRule { name: "llm".parse().unwrap(), engine: Some(engine_traits()), cold: None },
            ServiceRule { name: "app".parse().unwrap(), engine: None, cold: None },
        ],
        customers: Some(vec![
            (customer("acme", false), vec!["key-acme".into()]),
            (customer("walled", true), vec!["key-walled".into()]),
        ]),
        ..ConfigParts::default()
    }
}

pub fn config(version: u64) -> ServeConfig {
    ServeConfig::new(config_parts(version))
}

pub fn part(id: &str, tokens: u64) -> PromptPart {
    PromptPart { id: id.into(), tokens: TokenCount(tokens) }
}

/// A prompt of one shared part and one of its own.
pub fn prompt(shared: &str, tokens: u64, own: u64) -> PromptShape {
    PromptShape {
        model: model(),
        parts: vec![part(shared, tokens), part("own", own)],
        input: TokenCount(tokens + own),
        output: TokenCount(20),
    }
}

pub fn request(route: RouteRule) -> AcceptedRequest {
    let now = Moment::now();
    AcceptedRequest {
        id: "r1".into(),
        deadline: Deadline::after(now, route.time_limit_ms),
        caller_deadline: Deadline::after(now, route.time_limit_ms),
        route: Rc::new(route),
        caller: CallerIdentity::Customer(Rc::new(customer("acme", false))),
        arrived: now,
        prompt: None,
        resume_after: None,
        resumes: None,
        head: RequestHead {
            method: http::Method::POST,
            target: "/x".parse().unwrap(),
            headers: http::HeaderMap::new(),
        },
        body: bytes::Bytes::from_static(b"body"),
        credential: None,
        is_forwarded: false,
        run_limit: None,
    }
}

/// Shared state of a daemon that knows no peers.
pub fn serve_context(name: &str) -> ServeContext {
    let identity = ServeIdentity {
        name: name.parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        source: None,
    };
    let bounds = ServeBounds {
        version_limits: VersionLimits { stretch_ms: 10_000, total_ms: 14_000 },
        leave_limit_ms: 2_000,
        config_limit_ms: 2_000,
        retries: RetryLimit { ratio: 0.2, slack: 50.0, is_first_start: false },
        cold_times: 1.0,
        clients: ClientLimits { bytes: 1 << 20, connections: 100, socket_buffer_bytes: 64 << 10 },
        renewal_ms: 1_200,
        link: LinkRate(125_000_000),
    };
    let dialect = Dialect {
        encode: |_, _| http::Request::default(),
        forward: |_, _| http::Request::default(),
        marks: |_, _| AnswerMarks::default(),
        strip: |_| {},
    };
    ServeContext::new(identity, bounds, dialect)
}

/// Descriptor of a daemon in data centre `east`.
pub fn note(name: &str) -> MemberDescriptor {
    MemberDescriptor {
        name: name.parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        peer_address: address(1),
        caller_address: address(2),
        is_ready: true,
        capacity: CoreShare(250),
    }
}

/// Summary of a daemon without background tasks.
pub fn news(name: &str) -> OwnSummary {
    OwnSummary {
        member: note(name),
        loading: Vec::new(),
        loaded: Vec::new(),
        followed: Vec::new(),
        number: 1,
    }
}
