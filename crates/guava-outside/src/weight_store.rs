//! Client of the platform's weight store, used only to check whether a version is present.

use crate::http_link::{self, HttpError};
use guava_types::{Deadline, ModelName, VersionName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Serialize, Deserialize)]
struct VersionAnswer {
    present: bool,
}

/// Client of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreClient {
    /// Where it listens.
    pub address: SocketAddr,
}

impl WeightStoreClient {
    /// Whether the store holds a version.
    pub async fn has_version(
        &self,
        model: &ModelName,
        version: &VersionName,
        deadline: Deadline,
    ) -> Result<bool, HttpError> {
        let path = format!("/versions/{model}/{version}");
        let answer: VersionAnswer = http_link::get_json(self.address, &path, deadline).await?;
        Ok(answer.present)
    }
}
