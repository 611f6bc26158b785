//! Who a daemon is, and where others reach it.

use guava_types::{CoreShare, DataCentre, MemberName};
use std::net::SocketAddr;

/// Identity, addresses and readiness of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDescriptor {
    /// Name, unique among all daemons.
    pub name: MemberName,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentre,
    /// Address at which it receives datagrams of other daemons.
    pub peer_address: SocketAddr,
    /// Address at which it accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
    /// Processor share of its VM.
    pub capacity: CoreShare,
}

impl MemberDescriptor {
    /// Address at which it answers peers and operators over HTTP.
    pub fn status_address(&self) -> SocketAddr {
        status_address(self.peer_address)
    }
}

/// Address at which a daemon answers peers and operators over HTTP: the port after the one for
/// datagrams.
pub(crate) fn status_address(peer_address: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer_address.ip(), peer_address.port().saturating_add(1))
}
