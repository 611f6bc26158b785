//! Who may send what: route and caller of a request, by the configuration in force.

use crate::request::outcome::RefusalReason;
use crate::serve_config::{CallerIdentity, RouteRule};
use crate::serve_context::ServeContext;
use guava_types::Moment;
use std::rc::Rc;

/// Once the configuration was not confirmed for so long, an unknown route or key may just have
/// been added, in milliseconds. Changes are in force within about two seconds.
const CONFIRMED_MS: u64 = 3_000;

/// Why a request gets no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// Not now; it has not run.
    NotRun(RefusalReason),
    /// There is no such route.
    NoRoute,
    /// The route needs a key, and this is none.
    NoKey,
}

/// Whose request it is and where it goes.
#[derive(Clone, Debug)]
pub struct AdmittedCaller {
    /// Its route.
    pub route: Rc<RouteRule>,
    /// Who sent it.
    pub caller: CallerIdentity,
}

/// Admits a request by its host in lower case, its path, and its key.
///
/// A daemon that knows no configuration, or an old one, must not call a route or key unknown: the
/// caller would take that for final. It says that the request has not run, and the caller tries
/// another daemon.
pub fn admit(
    context: &ServeContext,
    host: &str,
    path: &str,
    key: Option<&str>,
    now: Moment,
) -> Result<AdmittedCaller, AdmitRefusal> {
    let keeper = context.config.borrow();
    let Some(config) = keeper.current() else {
        return Err(AdmitRefusal::NotRun(RefusalReason::NotReady));
    };
    let is_confirmed = now.millis_since(context.config_confirmed.get()) <= CONFIRMED_MS;
    let or_not_ready = |refusal| {
        if is_confirmed { refusal } else { AdmitRefusal::NotRun(RefusalReason::NotReady) }
    };
    let route = config.find_route(host, path).ok_or_else(|| or_not_ready(AdmitRefusal::NoRoute))?;
    let caller = config.identify(route, key).ok_or_else(|| or_not_ready(AdmitRefusal::NoKey))?;
    Ok(AdmittedCaller { route: Rc::clone(route), caller })
}

/// Bytes of a request that are held in memory; given back when this is dropped.
pub struct HeldBytes {
    context: Rc<ServeContext>,
    count: usize,
}

impl HeldBytes {
    /// Holds nothing yet.
    pub fn new(context: &Rc<ServeContext>) -> Self {
        Self { context: Rc::clone(context), count: 0 }
    }

    /// Holds more bytes, if there is room.
    ///
    /// A process over its memory limit is killed with all its requests; refusing some keeps the
    /// others.
    pub fn grow(&mut self, count: usize) -> bool {
        let held = self.context.held_bytes.get() + count;
        if held > self.context.bounds.held_bytes {
            return false;
        }
        self.context.held_bytes.set(held);
        self.count += count;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = self.context.held_bytes.get();
        self.context.held_bytes.set(held.saturating_sub(self.count));
    }
}
