//! A start of a part store of which no fetch by what it held before is left.

use std::net::SocketAddr;

/// A start of a part store that is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettledStart {
    /// Address of the store.
    pub store: SocketAddr,
    /// Its epoch since then.
    pub epoch: u64,
}
