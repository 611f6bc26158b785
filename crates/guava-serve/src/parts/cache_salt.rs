//! The text under which upstreams keep cached parts.
//!
//! Upstreams find a cached part only under the same text, and check nothing else. So whatever must
//! not share parts has texts that differ: weight versions, since a part computed with other
//! weights would silently spoil answers, and isolated customers, since cached parts would show one
//! customer by answers' times what another has asked.

use crate::serve_config::CallerIdentity;
use crate::upstreams::upstream_table::WeightVersion;
use guava_types::ModelName;

/// The text for a caller's parts of a model's version.
pub fn cache_salt(model: &ModelName, version: WeightVersion, caller: &CallerIdentity) -> Box<str> {
    match caller {
        CallerIdentity::Customer(customer) if customer.is_isolated => {
            format!("{model}/{version}/{}", customer.name).into()
        }
        _ => format!("{model}/{version}").into(),
    }
}

/// The model and version of a text made by [`cache_salt`].
pub fn salt_version(salt: &str) -> Option<(&str, WeightVersion)> {
    let mut fields = salt.split('/');
    let model = fields.next()?;
    let version = fields.next()?.parse().ok()?;
    Some((model, WeightVersion(version)))
}
