//! The daemons: which are members, the messages between them, and the state that they share.

pub(crate) mod config_copy;
pub(crate) mod core_group;
pub(crate) mod list_change_gossip;
pub(crate) mod list_copy;
pub(crate) mod list_reader;
pub(crate) mod list_sync;
pub(crate) mod lost_messages;
pub(crate) mod member_descriptor;
pub(crate) mod member_table;
pub(crate) mod message_split;
pub(crate) mod origin_exchange;
pub(crate) mod origin_message;
pub(crate) mod origin_search;
pub(crate) mod peer_copy;
pub(crate) mod peer_exchange;
pub(crate) mod peer_key;
pub(crate) mod peer_message;
pub(crate) mod peer_task;
pub(crate) mod queue_exchange;
pub(crate) mod queue_message;
pub(crate) mod retry_pause;
pub(crate) mod return_gossip;
pub(crate) mod shared_reads;
pub(crate) mod transfer_budget;
pub(crate) mod use_gossip;
