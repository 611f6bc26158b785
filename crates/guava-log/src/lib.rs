//! Structured logs: numbered events, one JSON object a line, in bounded volume.
//!
//! Each crate that logs declares its events with [`events!`] and writes them with [`log_event!`];
//! it depends on `spdlog-rs` as well, whose macros name their crate.

mod line_budget;
mod line_buffer;
mod line_clip;
mod set_up;

pub use line_budget::LineBudget;
pub use line_buffer::{LineBuffer, LineCounts};
pub use set_up::{LogError, LogHandle, set_up_logging};

/// One kind of log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Its number, never reused.
    pub code: &'static str,
    /// Its text.
    pub text: &'static str,
}

/// Declares a crate's events: `NAME "code" "text";` for each.
#[macro_export]
macro_rules! events {
    ($($name:ident $code:literal $text:literal;)*) => {
        $(
            #[doc = $text]
            pub const $name: $crate::LogEvent = $crate::LogEvent { code: $code, text: $text };
        )*

        /// All events of this crate.
        pub const CATALOGUE: &[$crate::LogEvent] = &[$($name),*];
    };
}

/// Writes one event with its fields as a structured log line.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {
        ::spdlog::$level!(
            "{}", $event.text,
            kv: { event = $event.code $(, $key: = $value)* }
        )
    };
}

events! {
    LINES_DROPPED "G1007" "log lines were dropped";
}
