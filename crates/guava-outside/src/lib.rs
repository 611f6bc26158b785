//! Adapters to everything outside: log service, VM list, weight store, store VMs, engines, plain
//! services.
//!
//! One module an interface; a wire format can be swapped in its module without touching a
//! decision. All speak HTTP/1.1 over a connection of their own for each request: the brief says
//! that open connections go silent for good while new ones work, and a fresh one can't have.

mod engine;
mod http_link;
mod kv_store;
mod log_service;
mod plain_service;
mod vm_list;
mod weight_store;

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
