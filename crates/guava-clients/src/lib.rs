//! What clients hold of a process: one budget of bytes and places, for all listeners together.
//!
//! Every connection has an account from the moment it is accepted. What its client makes the process
//! hold is charged there, from the first byte read until the client has taken the answer, and given
//! back wherever that ends. If the budget is short, the connection whose client has kept most waiting
//! for longest is closed.

mod account_state;
mod budget_table;
mod budgeted_stream;
mod client_budget;
mod client_limits;
mod close_reason;
mod connection_account;
mod connection_entry;
pub mod events;
mod eviction;
mod held_body;
mod held_bytes;
mod run_clock;
mod turn_gate;

pub use budget_table::BudgetLevels;
pub use budgeted_stream::BudgetedStream;
pub use client_budget::ClientBudget;
pub use client_limits::{
    CONNECTION_BYTES, ClientLimits, ClientTimes, ListenerPlaces, REQUEST_BYTES,
};
pub use close_reason::CloseReason;
pub use connection_account::{BodyRead, ConnectionAccount, RequestService};
pub use held_body::{AnswerBytes, BodyRefusal, RequestBytes};
pub use held_bytes::HeldBytes;
pub use turn_gate::TurnGate;
