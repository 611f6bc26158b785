//! The upstreams' last reports.

use guava_outside::EngineReport;
use guava_types::{FastMap, ModelName, Moment, UpstreamId, VersionName};

/// A report older than this says nothing any more, in milliseconds.
const FRESH_FOR_MS: u64 = 3_000;

/// A report and when it came.
#[derive(Clone, Debug)]
pub struct HeardReport {
    /// What it said.
    pub report: EngineReport,
    /// When it was asked for.
    pub heard: Moment,
}

/// Reports by upstream.
#[derive(Debug, Default)]
pub struct ReportTable {
    reports: FastMap<UpstreamId, HeardReport>,
}

impl ReportTable {
    /// Takes a report in.
    pub fn note(&mut self, upstream: &UpstreamId, report: EngineReport, heard: Moment) {
        self.reports.insert(upstream.clone(), HeardReport { report, heard });
    }

    /// A report, however old.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&HeardReport> {
        self.reports.get(upstream)
    }

    /// Whether an upstream reported lately.
    pub fn is_fresh(&self, upstream: &UpstreamId) -> bool {
        let now = Moment::now();
        self.get(upstream).is_some_and(|heard| now.millis_since(heard.heard) < FRESH_FOR_MS)
    }

    /// Whether any upstream reported lately, or none ever did.
    pub fn is_any_fresh(&self) -> bool {
        self.reports.is_empty() || self.reports.keys().any(|upstream| self.is_fresh(upstream))
    }

    /// The version of a model that an engine takes new requests for, as last reported.
    pub fn loaded(&self, upstream: &UpstreamId, model: &ModelName) -> Option<VersionName> {
        if !self.is_fresh(upstream) {
            return None;
        }
        self.get(upstream)?.report.loaded.get(model).cloned()
    }

    /// Notes that an engine refused a version: its report is out of date.
    pub fn forget_loaded(&mut self, upstream: &UpstreamId) {
        if let Some(heard) = self.reports.get_mut(upstream) {
            heard.report.loaded.clear();
        }
    }

    /// Notes which version an engine has loaded, by its own refusal of another.
    pub fn note_loaded(&mut self, upstream: &UpstreamId, model: &ModelName, version: VersionName) {
        if let Some(heard) = self.reports.get_mut(upstream) {
            heard.report.loaded.insert(model.clone(), version);
        }
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.reports.retain(|upstream, _| is_known(upstream));
    }
}
