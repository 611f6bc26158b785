//! What a daemon tells its peers, and what it takes from their messages.

use crate::events;
use crate::member_table::MemberNote;
use crate::peer_message::{PeerMessage, PublishedVersion};
use crate::serve_parts::ServeParts;
use guava_log::log_event;
use guava_types::{Deadline, Moment, UpstreamId};

/// How long an upstream counts as loading after a peer said so, in milliseconds; it says so again
/// four times a second.
const LOADING_MS: u64 = 600;

/// What to tell the peers now.
pub fn compose_message(
    parts: &ServeParts,
    note: MemberNote,
    loading: Vec<UpstreamId>,
    now: Moment,
) -> PeerMessage {
    let work = parts.work.borrow();
    let shares = work.own_shares().map(|(id, share)| (id.clone(), share)).collect();
    let targets = parts.targets.borrow();
    let published = targets.iter().map(|(model, target)| PublishedVersion {
        model: model.clone(),
        version: target.version,
        age_ms: now.millis_since(target.learned),
    });
    PeerMessage {
        note,
        shares,
        sent: std::mem::take(&mut parts.sent_prompts.borrow_mut()),
        loading,
        targets: published.collect(),
    }
}

/// Takes a peer's message in.
pub fn take_message(parts: &ServeParts, message: PeerMessage, now: Moment) {
    let name = message.note.name.clone();
    if name == parts.identity.name {
        return;
    }
    let address = message.note.peer_address;
    let is_ready = message.note.is_ready;
    if parts.members.borrow_mut().note_heard(message.note, now) {
        log_event!(info, events::MEMBER_HEARD, member = name, address = address, ready = is_ready);
        let count = parts.members.borrow().count();
        parts.retries.borrow_mut().note_daemons(count);
    }
    parts.work.borrow_mut().note_peer(&name, message.shares, now);
    for sent in &message.sent {
        parts.parts.borrow_mut().note_sent(&sent.engine, &sent.parts, sent.tokens);
    }
    for id in &message.loading {
        let until = Deadline::after(now, LOADING_MS);
        parts.upstreams.borrow_mut().note_loading(id, until);
    }
    for target in message.targets {
        let learned = now.minus_millis(target.age_ms);
        take_version(parts, &target.model, target.version, learned, "peer");
    }
}

/// Takes in that weights were published by some moment at the latest.
pub fn take_version(
    parts: &ServeParts,
    model: &guava_types::ModelName,
    version: crate::WeightVersion,
    learned: Moment,
    source: &str,
) {
    if parts.targets.borrow_mut().offer(model, version, learned) {
        log_event!(
            info,
            events::VERSION_PUBLISHED,
            model = model,
            version = version,
            source = source
        );
    }
}
