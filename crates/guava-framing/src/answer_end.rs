//! State of the answer on a caller's connection whose end only the connection's end tells.

use crate::watched_body::WatchedBody;
use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode, Version};
use http_body::Body;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Debug, Default)]
struct EndState {
    has_begun: AtomicBool,
    is_complete: AtomicBool,
}

/// Whether a connection carries an answer that only its close ends, and whether that is complete;
/// clones share it.
///
/// Such an answer is the last one on its connection.
#[derive(Clone, Debug, Default)]
pub struct AnswerEnd(Arc<EndState>);

impl AnswerEnd {
    /// Prepares an answer to a request of this method and version: if its body has neither length nor
    /// chunks, it is watched to its end.
    pub fn watch<B: Body>(
        &self,
        method: &Method,
        version: Version,
        answer: Response<B>,
    ) -> Response<WatchedBody<B>> {
        let has_body = *method != Method::HEAD
            && !matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let has_length = answer.body().size_hint().exact().is_some()
            || answer.headers().contains_key(CONTENT_LENGTH);
        let is_unframed = version <= Version::HTTP_10 && has_body && !has_length;
        if is_unframed {
            self.0.has_begun.store(true, Ordering::Release);
        }
        let end = is_unframed.then(|| self.clone());
        answer.map(|body| WatchedBody::new(body, end))
    }

    pub(crate) fn note_complete(&self) {
        self.0.is_complete.store(true, Ordering::Release);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.0.has_begun.load(Ordering::Acquire)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Acquire)
    }
}
