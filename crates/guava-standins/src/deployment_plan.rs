//! What a deployment consists of.

use std::path::{Path, PathBuf};

/// Where the two programs are.
#[derive(Clone, Debug)]
pub struct ProgramPaths {
    /// The shipped binary.
    pub guavatiller: PathBuf,
    /// The stand-ins.
    pub standins: PathBuf,
}

impl ProgramPaths {
    /// Both from the folder of one of them.
    pub fn in_folder_of(program: &Path) -> Self {
        Self {
            guavatiller: program.with_file_name("guavatiller"),
            standins: program.with_file_name("standins"),
        }
    }
}

/// An engine to start.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Prefill in tokens a second.
    pub prefill: u64,
    /// Milliseconds for a generated token.
    pub decode_ms: u64,
    /// Requests at one time.
    pub slots: u32,
    /// Cache in tokens.
    pub cache_tokens: u64,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
}

impl Default for EnginePlan {
    fn default() -> Self {
        Self { prefill: 20_000, decode_ms: 5, slots: 8, cache_tokens: 20_000, checks_fencing: true }
    }
}

/// What to start.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Daemons, spread over three data centres.
    pub daemons: usize,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Instances of the service `board`.
    pub services: usize,
    /// Stores.
    pub stores: usize,
    /// Rate of each store's link in bytes a second.
    pub link: u64,
    /// Bytes that fit into a store.
    pub store_capacity: u64,
    /// Whether proxies stand before the servers.
    pub proxies: bool,
    /// Milliseconds of a weight load.
    pub load_ms: u64,
    /// Further settings, as lines of the settings file.
    pub settings: Vec<String>,
    /// Weights of the measures: first token, recompute, link.
    pub weights: [u32; 3],
    /// Authorities of the daemons' certificates, if the settings have TLS.
    pub authorities: Option<PathBuf>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: vec![EnginePlan::default(); 2],
            services: 2,
            stores: 1,
            link: 5_000_000,
            store_capacity: 200_000_000,
            proxies: true,
            load_ms: 300,
            settings: vec!["\"address_keep_ms\": 500".into()],
            weights: [10, 1, 1],
            authorities: None,
        }
    }
}
