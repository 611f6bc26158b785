//! Admission: finds a request's route and caller by the current configuration.

use crate::request::refusal_reason::RefusalReason;
use crate::serve_config::{CallerIdentity, RouteRule};
use crate::serve_context::ServeContext;
use guava_types::Moment;
use std::rc::Rc;

/// Longest time since the configuration was last confirmed for which an unknown route or key is final,
/// in milliseconds. Afterwards it may have been added in the meantime. Changes are in force within
/// about two seconds.
const MAX_CONFIRMATION_AGE_MS: u64 = 3_000;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// The request did not run; the caller may retry it at another daemon.
    NotRun(RefusalReason),
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoKey,
}

/// Route and caller of an admitted request.
#[derive(Clone, Debug)]
pub struct AdmittedCaller {
    /// Route that matched the host and path.
    pub route: Rc<RouteRule>,
    /// Customer of the key, or anonymous where no key is required.
    pub caller: CallerIdentity,
}

/// Admits a request by its host in lower case, its path and its key.
///
/// A daemon without a configuration, or with a stale one, must not report a route or key as unknown,
/// since the caller would treat that as final. It answers that the request did not run, so that the
/// caller retries at another daemon.
pub fn admit(
    context: &ServeContext,
    host: &str,
    path: &str,
    key: Option<&str>,
    now: Moment,
) -> Result<AdmittedCaller, AdmitRefusal> {
    let current_config = context.config.borrow();
    let Some(config) = current_config.current() else {
        return Err(AdmitRefusal::NotRun(RefusalReason::NotReady));
    };
    let is_confirmed = now.millis_since(context.config_confirmed.get()) <= MAX_CONFIRMATION_AGE_MS;
    let refusal_if_confirmed = |refusal| {
        if is_confirmed { refusal } else { AdmitRefusal::NotRun(RefusalReason::NotReady) }
    };
    let route =
        config.find_route(host, path).ok_or_else(|| refusal_if_confirmed(AdmitRefusal::NoRoute))?;
    let caller =
        config.identify(route, key).ok_or_else(|| refusal_if_confirmed(AdmitRefusal::NoKey))?;
    Ok(AdmittedCaller { route: Rc::clone(route), caller })
}
