//! The client's changes: each takes the object as it is and makes the new one.

use crate::args::{
    CustomerArgs, DataCentreArgs, ModelAction, ModelArgs, ServiceArgs, UpstreamArgs, WeightsArgs,
};
use guava_schema::operators::object::Value;
use guava_schema::operators::service::Rule;
use guava_schema::operators::upstream::Kind;
use guava_schema::operators::{Customer, DataCentre, Model, Object, Profile, Service, Upstream};

const DEFAULT_RATE: u64 = 100;
const DEFAULT_CONCURRENCY: u32 = 64;

/// An object with a value.
fn object(value: Value) -> Option<Object> {
    Some(Object { value: Some(value) })
}

fn key_hash(path: &std::path::Path) -> Result<String, String> {
    let key = std::fs::read_to_string(path)
        .map_err(|error| format!("add-key-file: {}: {error}", path.display()))?;
    let key = key.trim();
    if key.len() < 8 {
        return Err("add-key-file: a key of at least 8 bytes".into());
    }
    Ok(guava_daemon::token_hash(key))
}

/// A customer with new limits or keys.
pub fn customer(args: &CustomerArgs, current: Option<Value>) -> Result<Option<Object>, String> {
    let mut customer = match current {
        Some(Value::Customer(customer)) => customer,
        _ => Customer {
            requests_per_second: DEFAULT_RATE,
            concurrency: DEFAULT_CONCURRENCY,
            key_hashes: Vec::new(),
        },
    };
    customer.requests_per_second = args.rate.unwrap_or(customer.requests_per_second);
    customer.concurrency = args.concurrency.unwrap_or(customer.concurrency);
    let removed = |hash: &String| args.remove_key.iter().any(|start| hash.starts_with(start));
    customer.key_hashes.retain(|hash| !removed(hash));
    for path in &args.add_key_file {
        customer.key_hashes.push(key_hash(path)?);
    }
    customer.key_hashes.sort();
    customer.key_hashes.dedup();
    Ok(object(Value::Customer(customer)))
}

fn rule(text: &str, idempotent: bool) -> Result<Rule, String> {
    match text.split_once(' ') {
        Some((method, path)) if path.starts_with('/') => {
            Ok(Rule { method: method.into(), path: path.into(), idempotent })
        }
        _ => Err(format!("rule: found {text:?}, expected \"METHOD /path\"")),
    }
}

/// A service with these rules; the non-idempotent ones come first.
pub fn service(args: &ServiceArgs) -> Result<Option<Object>, String> {
    let once = args.non_idempotent.iter().map(|text| rule(text, false));
    let repeated = args.idempotent.iter().map(|text| rule(text, true));
    let rules = once.chain(repeated).collect::<Result<_, _>>()?;
    Ok(object(Value::Service(Service { rules })))
}

/// A model with a version published, rolled out or rolled back.
pub fn model(args: &ModelArgs, current: Option<Value>) -> Result<Option<Object>, String> {
    let mut model = match current {
        Some(Value::Model(model)) => model,
        _ => Model::default(),
    };
    let version = || args.version.clone().ok_or("version: missing");
    match args.action {
        ModelAction::Publish => {
            let version = version()?;
            if model.current.is_empty() {
                model.current.clone_from(&version);
            }
            if !model.versions.contains(&version) {
                model.versions.push(version);
            }
        }
        ModelAction::RollOut => {
            let version = version()?;
            if !model.versions.contains(&version) {
                return Err(format!("version: {version} is not published"));
            }
            if model.current != version {
                model.previous = std::mem::replace(&mut model.current, version);
            }
        }
        ModelAction::RollBack => {
            if model.previous.is_empty() {
                return Err("model: no previous version".into());
            }
            std::mem::swap(&mut model.current, &mut model.previous);
        }
    }
    Ok(object(Value::Model(model)))
}

fn kind(text: &str) -> Result<Kind, String> {
    match text {
        "engine" => Ok(Kind::Engine),
        "service" => Ok(Kind::Service),
        "store" => Ok(Kind::Store),
        _ => Err(format!("kind: found {text:?}, allowed: engine, service, store")),
    }
}

/// An upstream with the given fields set anew.
pub fn upstream(args: &UpstreamArgs, current: Option<Value>) -> Result<Option<Object>, String> {
    let mut upstream = match current {
        Some(Value::Upstream(upstream)) => upstream,
        _ => Upstream::default(),
    };
    if let Some(text) = &args.kind {
        upstream.set_kind(kind(text)?);
    }
    if let Some(address) = args.address {
        upstream.address = address.to_string();
    }
    if let Some(data_centre) = &args.data_centre {
        upstream.data_centre.clone_from(data_centre);
    }
    if let Some(service) = &args.service {
        upstream.service.clone_from(service);
    }
    if let Some(model) = &args.model {
        upstream.model.clone_from(model);
    }
    upstream.checks_fencing = args.checks_fencing.unwrap_or(upstream.checks_fencing);
    upstream.draining = args.drain.unwrap_or(upstream.draining);
    upstream.prefill_tokens_per_second = args.prefill.unwrap_or(upstream.prefill_tokens_per_second);
    upstream.link_bytes_per_second = args.link.unwrap_or(upstream.link_bytes_per_second);
    upstream.slots = args.slots.unwrap_or(upstream.slots);
    Ok(object(Value::Upstream(upstream)))
}

/// A data centre, drained or taken back.
pub fn data_centre(args: &DataCentreArgs) -> Option<Object> {
    object(Value::DataCentre(DataCentre { drained: args.drain }))
}

/// The weights.
pub fn weights(args: &WeightsArgs) -> Option<Object> {
    object(Value::Profile(Profile {
        first_token: args.first_token,
        recompute: args.recompute,
        link: args.link,
    }))
}
