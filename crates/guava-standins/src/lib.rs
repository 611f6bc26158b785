//! Stand-ins for everything outside guavatiller, for tests, the demonstration and measurements.
//!
//! Never shipped. Each server is a small fake at its interface, faithful to what the brief says of
//! it: late and gapped events, lagging reports, lost answers, outages. `POST /fault` on each sets
//! what goes wrong; `GET /stats` tells what really happened there.

pub mod announced_headers;
pub mod baseline;
pub mod caller;
pub mod client_crowd;
pub mod compare;
pub mod demo;
pub mod deployment;
pub mod deployment_plan;
pub mod engine_cache;
pub mod engine_faults;
pub mod engine_server;
mod engine_stream;
pub mod fault_proxy;
pub mod harness;
pub mod list_server;
pub mod log_server;
pub mod measure;
pub mod overhead;
pub mod process_cost;
mod process_end;
pub mod process_watch;
pub mod serve;
pub mod service_server;
pub mod slopes;
pub mod store_server;
pub mod stream_crowd;
pub mod weight_server;
pub mod workload;
