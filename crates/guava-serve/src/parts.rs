//! Prompt parts: the index of where they are cached, their transfers, and the task that follows
//! stores.

pub(crate) mod cache_salt;
pub(crate) mod part_admission;
pub(crate) mod part_eviction;
pub(crate) mod part_index;
pub(crate) mod part_key;
pub(crate) mod part_task;
pub(crate) mod part_transfers;
pub(crate) mod partial_saves;
pub(crate) mod retirement;
pub(crate) mod retirement_ledger;
pub(crate) mod retirement_word;
pub(crate) mod save_ledger;
pub(crate) mod sent_prompt;
pub(crate) mod settled_start;
pub(crate) mod store_links;
pub(crate) mod store_starts;
