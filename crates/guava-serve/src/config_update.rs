//! Applies a configuration: puts it in force if it is newer than the current one, and updates the
//! table of upstreams and the metrics that depend on it.

use crate::events;
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_types::{FastSet, ServiceName};

/// Puts a configuration in force if its version is higher than the current one; else logs and
/// ignores it.
pub fn apply_config(context: &ServeContext, config: ServeConfig) {
    let version = config.version;
    let services: FastSet<ServiceName> =
        config.services().map(|service| service.name.clone()).collect();
    if !context.config.borrow_mut().offer(config) {
        log_event!(info, events::CONFIG_IGNORED, config = version);
        return;
    }
    context.queues.borrow_mut().retain(|service| services.contains(service));
    context.customer_ledgers.borrow_mut().retain(|service, _| services.contains(service));
    context.upstreams.borrow_mut().note_services(services);
    context.metrics.note_config(version.0);
    log_event!(info, events::CONFIG_APPLIED, config = version);
}
