//! Clients of the external services: log service, VM list, weight store, store VMs, engines, plain
//! services.
//!
//! Each interface has its own module, so that a wire format can be replaced without changing the
//! code that makes decisions. All clients use HTTP/1.1 with a new connection for each request: by
//! the requirements, open connections can go silent permanently while new ones work.

mod attempt_ledger;
mod engine;
mod http_link;
mod kv_store;
mod log_service;
mod plain_service;
mod vm_list;
mod weight_store;

pub use attempt_ledger::{AttemptLedger, SendError, SendPermit};
pub use engine::{
    CacheEvent, CacheEvents, CompletionOrder, EngineClient, EngineEvent, EngineReport,
    EngineStream, ExportOrder, ExportReceipt, ImportOrder, LoadOrder, OrderAnswer, RUN_HEADER,
    Usage,
};
pub use http_link::{
    HttpError, LOADED_HEADER, collect_body, connect, exchange, get_json, is_listening, post_json,
    send, set_source,
};
pub use kv_store::{BlockState, StoreClient, StoreReport};
pub use log_service::{LogClient, LogPage, PageRecord};
pub use plain_service::{ServiceAnswer, ServiceCall, ServiceClient};
pub use vm_list::{ListedVm, VmListClient};
pub use weight_store::WeightStoreClient;
