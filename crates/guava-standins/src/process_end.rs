//! Ends of a stand-in's process under requests.

use std::thread::{sleep, spawn};
use std::time::Duration;

/// How long the request runs that ends it.
const LAST_RUN: Duration = Duration::from_millis(30);

/// Ends this process soon, as a crash would, if what a request brings begins with a fatal text;
/// whether it does, and the request gets no answer.
pub(crate) fn ends_under(fatal: &str, content: &[u8]) -> bool {
    let is_fatal = !fatal.is_empty() && content.starts_with(fatal.as_bytes());
    if is_fatal {
        spawn(|| {
            sleep(LAST_RUN);
            std::process::exit(1);
        });
    }
    is_fatal
}
