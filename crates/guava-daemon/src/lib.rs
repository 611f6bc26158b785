//! One daemon: its duties, a thread each, and what they share.

#[macro_use]
pub mod events;

mod address;
mod admission_queue;
mod append_commit;
mod append_ring;
mod cache_duty;
mod cache_index;
mod cache_messages;
mod call_dispatch;
mod call_forward;
mod call_table;
mod completion;
mod context;
mod decision_log;
mod engine_choice;
mod event_stream;
mod export_ring;
mod front;
mod gossip_codec;
mod gossip_duty;
mod leaving_table;
mod listener;
mod log_duty;
mod metrics;
mod object_codec;
mod operator_server;
mod order_duty;
mod outcome;
mod peer_links;
mod peer_server;
mod peer_table;
mod readiness;
mod report_table;
mod run_feed;
mod service_front;
mod settings;
mod settings_check;
mod shared_state;
mod shutdown;
mod snapshot_turn;
mod start;
mod stream_id;
mod tls;
mod watch_duty;
mod work_gauge;

pub use admission_queue::daemon_slots;
pub use cache_index::{CacheIndex, GRANT_MS, PrefixFound, ReadGrant, SealedEntry, SeenBefore};
pub use leaving_table::{LeavingSource, LeavingTable};
pub use outcome::{CallOutcome, Refusal, RefusalKind};
pub use peer_table::{PeerEntry, PeerIdentity, PeerTable};
pub use settings::{DaemonSettings, ListenSettings, PlatformSettings, TlsFiles};
pub use settings_check::{SettingsError, SettingsErrors};
pub use start::{StartError, run_daemon};
pub use stream_id::{SecretError, StreamPlace, StreamSecret, token_hash};
