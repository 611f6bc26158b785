//! Client of the platform's list of live and leaving VMs, which lags behind the actual state.

use crate::http_link::{self, HttpError};
use guava_types::Deadline;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One process on a listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}

/// Client of the list.
#[derive(Clone, Copy, Debug)]
pub struct VmListClient {
    /// Where it is served.
    pub address: SocketAddr,
}

impl VmListClient {
    /// The complete list.
    pub async fn fetch(&self, deadline: Deadline) -> Result<Vec<ListedVm>, HttpError> {
        http_link::get_json(self.address, "/vms", deadline).await
    }
}
