//! The cache salt under which upstreams keep prompt parts.
//!
//! Upstreams look up a cached part by its salt and id, and check nothing else. Requests that must
//! not share parts therefore get different salts: those of different weight versions, since a part
//! computed with other weights would silently corrupt answers, and those of isolated customers,
//! since response times would reveal to one customer what another has asked.

use crate::serve_config::CallerIdentity;
use crate::upstreams::upstream_table::WeightVersion;
use guava_types::ModelName;

/// The salt for a caller's prompt parts: `model/version`, and the customer's name if it is isolated.
pub fn cache_salt(model: &ModelName, version: WeightVersion, caller: &CallerIdentity) -> Box<str> {
    match caller {
        CallerIdentity::Customer(customer) if customer.is_isolated => {
            format!("{model}/{version}/{}", customer.name).into()
        }
        _ => format!("{model}/{version}").into(),
    }
}

/// The model and version of a salt made by [`cache_salt`]; `None` for any other text.
pub fn salt_version(salt: &str) -> Option<(&str, WeightVersion)> {
    let mut fields = salt.split('/');
    let model = fields.next()?;
    let version = fields.next()?.parse().ok()?;
    Some((model, WeightVersion(version)))
}
