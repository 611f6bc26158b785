//! Finds out whether upstreams ended under requests.

use crate::end_watch::BreakStep;
use crate::events;
use crate::serve_parts::ServeParts;
use guava_log::log_event;
use guava_types::{Moment, RequestDigest, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before the look, in milliseconds: a process that ends closes its connections one after the
/// other, and its listener may come last.
const LOOK_MS: u64 = 5;

/// Takes in that a send broke off after its upstream may have begun to run the request.
pub fn note_break(parts: &Rc<ServeParts>, upstream: &UpstreamId, request: RequestDigest) {
    let step = parts.ends.borrow_mut().note_break(upstream, request, Moment::now());
    match step {
        BreakStep::Wait => {}
        BreakStep::Ended => note_crash(parts, upstream, &[request]),
        BreakStep::Look => {
            drop(tokio::task::spawn_local(look(Rc::clone(parts), upstream.clone())));
        }
    }
}

/// Takes in that nobody listens at an upstream's address.
pub fn note_refused(parts: &ServeParts, upstream: &UpstreamId) {
    let (requests, is_news) = parts.ends.borrow_mut().note_ended(upstream, Moment::now());
    if is_news {
        note_crash(parts, upstream, &requests);
    }
}

async fn look(parts: Rc<ServeParts>, upstream: UpstreamId) {
    sleep(Duration::from_millis(LOOK_MS)).await;
    let address = parts.upstreams.borrow().entry(&upstream).map(|entry| entry.address);
    let is_listening = match address {
        Some(address) => parts.pool.is_listening(address).await,
        None => None,
    };
    match is_listening {
        Some(false) => note_refused(&parts, &upstream),
        Some(true) | None => parts.ends.borrow_mut().note_living(&upstream),
    }
}

fn note_crash(_parts: &ServeParts, upstream: &UpstreamId, requests: &[RequestDigest]) {
    let list: Vec<String> = requests.iter().map(RequestDigest::to_string).collect();
    log_event!(
        info,
        events::UPSTREAM_ENDED,
        upstream = upstream,
        under = list.len(),
        digests = list.join(" ")
    );
}
