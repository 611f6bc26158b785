//! Addresses of the other daemons.

use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::lock::locked;
use guava_types::Moment;
use std::net::SocketAddr;

/// Addresses of the other daemons that hand theirs out.
pub fn other_addresses(context: &DaemonContext) -> Vec<SocketAddr> {
    let peers = locked(&context.peer_table);
    let serving = peers.alive(Moment::now());
    serving
        .filter(|(_, entry)| entry.phase == DaemonPhase::Serving)
        .map(|(_, entry)| entry.identity.caller_address)
        .collect()
}
