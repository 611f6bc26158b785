//! Takes a configuration in: puts it in force if it is newer, and tells those who depend on it.

use crate::events;
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use guava_log::log_event;

/// Takes a configuration in as it was read.
pub fn take_config(parts: &ServeContext, config: ServeConfig) {
    let version = config.version;
    let services = config.services().map(|service| service.name.clone()).collect();
    if !parts.config.borrow_mut().offer(config) {
        log_event!(info, events::CONFIG_OLD, config = version);
        return;
    }
    parts.upstreams.borrow_mut().note_services(services);
    parts.metrics.note_config(version.0);
    log_event!(info, events::CONFIG_TAKEN, config = version);
}
