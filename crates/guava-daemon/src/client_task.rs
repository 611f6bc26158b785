//! Keeps the budget of what clients hold: its time, its metrics, and the descriptors that the system
//! allows.

use crate::context::DaemonContext;
use crate::settings::DaemonSettings;
use guava_clients::{BudgetLevels, ClientLimits, CloseReason};
use guava_types::Moment;
use rustix::process::{Resource, getrlimit};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two sweeps, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 250;
/// Kernel buffers of a client's connection, each: long bodies also come from far away.
const SOCKET_BUFFER_BYTES: usize = 256 << 10;
/// Descriptors that clients' connections leave to files, and to connections to the log, peers and
/// upstreams that serve no request.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Descriptors of a request: its caller's connection and one to an upstream.
const DESCRIPTORS_PER_REQUEST: u64 = 2;

/// What clients may hold, by settings.
pub fn client_limits(settings: &DaemonSettings) -> ClientLimits {
    let bytes = settings.client_memory_mb.saturating_mul(1 << 20);
    ClientLimits {
        bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
        connections: allowed_connections(settings),
        socket_buffer_bytes: SOCKET_BUFFER_BYTES,
    }
}

/// Connections that may be open, by settings and by what the system allows at the moment.
fn allowed_connections(settings: &DaemonSettings) -> usize {
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let by_system = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_REQUEST;
    usize::try_from(settings.client_connections.min(by_system)).unwrap_or(usize::MAX)
}

/// Sweeps until the process ends.
pub async fn run(context: Arc<DaemonContext>) {
    let mut told = BudgetLevels::default();
    loop {
        context.clients.set_connections(allowed_connections(&context.settings));
        context.clients.sweep(Moment::now());
        let levels = context.clients.levels();
        tell_metrics(&context, &told, &levels);
        told = levels;
        sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
    }
}

fn tell_metrics(context: &DaemonContext, told: &BudgetLevels, levels: &BudgetLevels) {
    context.metrics.gauge("clients.connections", levels.connections as u64);
    context.metrics.gauge("clients.bytes", levels.bytes as u64);
    for (index, reason) in CloseReason::ALL.into_iter().enumerate() {
        let more = levels.closed[index].saturating_sub(told.closed[index]);
        if more > 0 {
            context.metrics.count_many(&format!("clients.closed.{reason}"), more);
        }
    }
}
