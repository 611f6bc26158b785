//! How the end of an answer is told from the end of its connection.
//!
//! Whoever reads a body without length or chunks takes the close of the connection for its end. Here
//! it is decided which answers have an end of their own, and callers' connections are wrapped such that
//! an incomplete answer without one ends in a reset.

mod answer_end;
mod caller_stream;
mod framed_headers;
mod watched_body;

pub use answer_end::AnswerEnd;
pub use caller_stream::CallerStream;
pub use framed_headers::{is_answer_status, is_framed, strip_codings};
pub use watched_body::{WatchedBody, watch_answer};
