//! A body that tells when it is complete.

use crate::answer_end::AnswerEnd;
use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of an answer, and the state of its connection if only that ends it.
#[derive(Debug)]
pub struct WatchedBody<B> {
    body: Pin<Box<B>>,
    end: Option<AnswerEnd>,
}

/// Prepares an answer to a request of this method and version: if its body has neither length nor
/// chunks, it is watched to its end.
pub fn watch_answer<B: Body>(
    end: &AnswerEnd,
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
        end.note_begun();
    }
    answer.map(|body| WatchedBody::new(body, is_unframed.then(|| end.clone())))
}

impl<B: Body> WatchedBody<B> {
    fn new(body: B, end: Option<AnswerEnd>) -> Self {
        let watched = Self { body: Box::pin(body), end };
        watched.note_end();
        watched
    }

    fn note_end(&self) {
        if self.body.is_end_stream() {
            self.end.iter().for_each(AnswerEnd::note_complete);
        }
    }
}

impl<B: Body> Body for WatchedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let watched = self.get_mut();
        let polled = watched.body.as_mut().poll_frame(context);
        match polled {
            Poll::Ready(None) => watched.end.iter().for_each(AnswerEnd::note_complete),
            Poll::Ready(Some(Ok(_))) => watched.note_end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
