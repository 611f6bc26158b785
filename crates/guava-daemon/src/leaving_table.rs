//! Upstreams that are leaving: the union of what the list, their own reports and answers, and peers
//! say.
//!
//! Final for one incarnation of the upstream: a list that lags, or is frozen, may still call a
//! leaving one live, and taking its word would send new work to a server about to go. Only another
//! incarnation in the upstream's own report ends the notice. What operators drain is looked up in
//! the configuration itself.

use crate::events;
use guava_log::log_event;
use guava_types::{FastMap, UpstreamId};

/// Who said it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's list of VMs.
    List,
    /// The upstream's own report.
    Report,
    /// The head of one of its answers.
    Answer,
    /// Another daemon.
    Peer,
}

#[derive(Clone, Debug)]
struct LeavingNotice {
    instance: Box<str>,
    source: LeavingSource,
}

/// The notices, and each upstream's incarnation as last reported.
#[derive(Debug, Default)]
pub struct LeavingTable {
    notices: FastMap<UpstreamId, LeavingNotice>,
    instances: FastMap<UpstreamId, Box<str>>,
}

impl LeavingTable {
    /// Whether an upstream gets no new work.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.notices.contains_key(upstream)
    }

    fn notice(&mut self, upstream: &UpstreamId, instance: &str, source: LeavingSource) {
        if self.notices.contains_key(upstream) {
            return;
        }
        log_event!(
            info,
            events::UPSTREAM_LEAVING,
            upstream = upstream,
            source = format!("{source:?}")
        );
        self.notices.insert(upstream.clone(), LeavingNotice { instance: instance.into(), source });
    }

    /// The list calls it leaving.
    pub fn note_list(&mut self, upstream: &UpstreamId) {
        let instance = self.instances.get(upstream).cloned().unwrap_or_default();
        self.notice(upstream, &instance, LeavingSource::List);
    }

    /// One of its answers calls it leaving.
    pub fn note_answer(&mut self, upstream: &UpstreamId) {
        let instance = self.instances.get(upstream).cloned().unwrap_or_default();
        self.notice(upstream, &instance, LeavingSource::Answer);
    }

    /// A peer calls an incarnation of it leaving.
    pub fn note_peer(&mut self, upstream: &UpstreamId, instance: &str) {
        let current = self.instances.get(upstream);
        if current.is_none_or(|current| **current == *instance || instance.is_empty()) {
            self.notice(upstream, instance, LeavingSource::Peer);
        }
    }

    /// Its own report names its incarnation and whether that is leaving.
    pub fn note_report(&mut self, upstream: &UpstreamId, instance: &str, leaving: bool) {
        let is_new = self.instances.get(upstream).is_none_or(|current| **current != *instance);
        self.instances.insert(upstream.clone(), instance.into());
        let replaced =
            self.notices.get(upstream).is_some_and(|notice| *notice.instance != *instance);
        if is_new && replaced {
            log_event!(info, events::UPSTREAM_BACK, upstream = upstream);
            self.notices.remove(upstream);
        }
        if leaving {
            self.notice(upstream, instance, LeavingSource::Report);
        }
    }

    /// What this daemon learnt itself, to be gossiped.
    pub fn own_notices(&self) -> impl Iterator<Item = (&UpstreamId, &str)> {
        self.notices
            .iter()
            .filter(|(_, notice)| notice.source != LeavingSource::Peer)
            .map(|(upstream, notice)| (upstream, &*notice.instance))
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.notices.retain(|upstream, _| is_known(upstream));
        self.instances.retain(|upstream, _| is_known(upstream));
    }
}
