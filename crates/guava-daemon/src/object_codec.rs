//! Configured objects between the operators' schema and the state's types.

use guava_schema::operators::object::Value;
use guava_schema::operators::service::Rule;
use guava_schema::operators::upstream::Kind;
use guava_schema::operators::{Customer, DataCentre, Model, Object, Profile, Service, Upstream};
use guava_state::{
    ConfigObject, CustomerSpec, DataCentreSpec, MethodRule, ModelSpec, ServiceSpec, UpstreamKind,
    UpstreamSpec, WeightProfile,
};
use guava_types::{LinkRate, RequestRate, TokenRate};
use snafu::Snafu;
use std::fmt::Display;
use std::str::FromStr;

/// Why a message is no object.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{field}: {reason}"))]
pub struct CodecError {
    field: &'static str,
    reason: Box<str>,
}

fn error(field: &'static str, reason: impl Display) -> CodecError {
    CodecError { field, reason: reason.to_string().into() }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T, CodecError>
where
    T::Err: Display,
{
    text.parse().map_err(|reason| error(field, reason))
}

fn parse_optional<T: FromStr>(field: &'static str, text: &str) -> Result<Option<T>, CodecError>
where
    T::Err: Display,
{
    if text.is_empty() { Ok(None) } else { parse(field, text).map(Some) }
}

fn text_of<T: ToString>(value: Option<&T>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

fn customer_of(message: Customer) -> CustomerSpec {
    CustomerSpec {
        key_hashes: message.key_hashes.into_iter().map(Into::into).collect(),
        rate: RequestRate(message.requests_per_second),
        concurrency: message.concurrency,
    }
}

fn service_of(message: Service) -> ServiceSpec {
    let rules = message.rules.into_iter().map(|rule| MethodRule {
        method: rule.method.into(),
        path: rule.path.into(),
        idempotent: rule.idempotent,
    });
    ServiceSpec { rules: rules.collect() }
}

fn model_of(message: &Model) -> Result<ModelSpec, CodecError> {
    let versions = message.versions.iter().map(|version| parse("versions", version));
    Ok(ModelSpec {
        versions: versions.collect::<Result<_, _>>()?,
        current: parse("current", &message.current)?,
        previous: parse_optional("previous", &message.previous)?,
    })
}

fn upstream_of(message: &Upstream) -> Result<UpstreamSpec, CodecError> {
    let kind = match message.kind() {
        Kind::Engine => UpstreamKind::Engine,
        Kind::Service => UpstreamKind::Service,
        Kind::Store => UpstreamKind::Store,
        Kind::Unspecified => return Err(error("kind", "expected engine, service or store")),
    };
    Ok(UpstreamSpec {
        kind,
        address: parse("address", &message.address)?,
        data_centre: parse("data_centre", &message.data_centre)?,
        checks_fencing: message.checks_fencing,
        draining: message.draining,
        service: parse_optional("service", &message.service)?,
        model: parse_optional("model", &message.model)?,
        prefill: TokenRate(message.prefill_tokens_per_second),
        link: LinkRate(message.link_bytes_per_second),
        slots: message.slots,
    })
}

/// The state's object of a message.
pub fn object_of(message: Object) -> Result<ConfigObject, CodecError> {
    match message.value {
        Some(Value::Customer(customer)) => Ok(ConfigObject::Customer(customer_of(customer))),
        Some(Value::Service(service)) => Ok(ConfigObject::Service(service_of(service))),
        Some(Value::Model(model)) => Ok(ConfigObject::Model(model_of(&model)?)),
        Some(Value::Upstream(upstream)) => Ok(ConfigObject::Upstream(upstream_of(&upstream)?)),
        Some(Value::Profile(profile)) => Ok(ConfigObject::Profile(WeightProfile {
            first_token: profile.first_token,
            recompute: profile.recompute,
            link: profile.link,
        })),
        Some(Value::DataCentre(centre)) => {
            Ok(ConfigObject::DataCentre(DataCentreSpec { drained: centre.drained }))
        }
        None => Err(error("value", "expected an object")),
    }
}

fn upstream_message(spec: &UpstreamSpec) -> Upstream {
    let kind = match spec.kind {
        UpstreamKind::Engine => Kind::Engine,
        UpstreamKind::Service => Kind::Service,
        UpstreamKind::Store => Kind::Store,
    };
    Upstream {
        kind: kind.into(),
        address: spec.address.to_string(),
        data_centre: spec.data_centre.to_string(),
        checks_fencing: spec.checks_fencing,
        draining: spec.draining,
        service: text_of(spec.service.as_ref()),
        model: text_of(spec.model.as_ref()),
        prefill_tokens_per_second: spec.prefill.0,
        link_bytes_per_second: spec.link.0,
        slots: spec.slots,
    }
}

/// The message of a state's object.
pub fn message_of(object: &ConfigObject) -> Object {
    let value = match object {
        ConfigObject::Customer(spec) => Value::Customer(Customer {
            key_hashes: spec.key_hashes.iter().map(ToString::to_string).collect(),
            requests_per_second: spec.rate.0,
            concurrency: spec.concurrency,
        }),
        ConfigObject::Service(spec) => {
            let rules = spec.rules.iter().map(|rule| Rule {
                method: rule.method.to_string(),
                path: rule.path.to_string(),
                idempotent: rule.idempotent,
            });
            Value::Service(Service { rules: rules.collect() })
        }
        ConfigObject::Model(spec) => Value::Model(Model {
            versions: spec.versions.iter().map(ToString::to_string).collect(),
            current: spec.current.to_string(),
            previous: text_of(spec.previous.as_ref()),
        }),
        ConfigObject::Upstream(spec) => Value::Upstream(upstream_message(spec)),
        ConfigObject::Profile(profile) => Value::Profile(Profile {
            first_token: profile.first_token,
            recompute: profile.recompute,
            link: profile.link,
        }),
        ConfigObject::DataCentre(spec) => Value::DataCentre(DataCentre { drained: spec.drained }),
    };
    Object { value: Some(value) }
}
