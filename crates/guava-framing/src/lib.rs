//! How the end of an answer is told from the end of its connection.
//!
//! Whoever reads a body without length or chunks takes the close of the connection for its end. So the
//! callers' connections are wrapped such that an incomplete answer without either ends in a reset.

mod answer_end;
mod caller_stream;
mod watched_body;

pub use answer_end::AnswerEnd;
pub use caller_stream::CallerStream;
pub use watched_body::WatchedBody;
