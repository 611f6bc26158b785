//! Data centres that the operator drained; their upstreams get no new requests.
//!
//! A drain is distributed like a configuration change: as the state at a position in the operator's
//! log. The state of the highest position applies, whether this daemon read it from the log or a
//! peer reported it to a daemon that can't reach the log. Requests in flight run to completion.
//!
//! When a data centre is undrained, its upstreams count as cold from the moment at which this
//! daemon learns of it, since they would crash if all daemons sent them their full load at once. A
//! daemon that has just started can't tell how long ago the data centre was undrained, and assumes
//! now.

use guava_types::{DataCentre, FastMap, Moment};

/// Whether a data centre is drained, as exchanged between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Position in the operator's log as of which this state holds.
    pub as_of: u64,
    /// Whether its upstreams get no new requests.
    pub is_drained: bool,
}

#[derive(Clone, Copy, Debug)]
struct CentreState {
    as_of: u64,
    is_drained: bool,
    changed: Moment,
}

/// State of each data centre that was drained at least once.
#[derive(Debug, Default)]
pub struct DrainTable {
    centres: FastMap<DataCentre, CentreState>,
}

impl DrainTable {
    /// Applies a notice unless a state of the same or a later position is known. Returns whether
    /// the data centre was drained or undrained by it.
    pub fn note(&mut self, notice: &DrainNotice, now: Moment) -> bool {
        let known = self.centres.get(&notice.data_centre);
        if known.is_some_and(|known| known.as_of >= notice.as_of) {
            return false;
        }
        let is_change = known.is_some_and(|known| known.is_drained) != notice.is_drained;
        let changed = known.filter(|_| !is_change).map_or(now, |known| known.changed);
        let state = CentreState { as_of: notice.as_of, is_drained: notice.is_drained, changed };
        self.centres.insert(notice.data_centre.clone(), state);
        is_change
    }

    /// Notices that follow from a complete read of the drained data centres as of a position. Those
    /// known as drained and missing from the read are undrained.
    pub fn notices_from_read(&self, drained: &[DataCentre], as_of: u64) -> Vec<DrainNotice> {
        let notice = |data_centre: &DataCentre, is_drained: bool| DrainNotice {
            data_centre: data_centre.clone(),
            as_of,
            is_drained,
        };
        let is_undrained = |(centre, state): &(&DataCentre, &CentreState)| {
            state.is_drained && !drained.contains(centre)
        };
        let undrained =
            self.centres.iter().filter(is_undrained).map(|(centre, _)| notice(centre, false));
        drained.iter().map(|centre| notice(centre, true)).chain(undrained).collect()
    }

    /// State of all data centres in the table, for the peers.
    pub fn notices(&self) -> Vec<DrainNotice> {
        let notice = |(data_centre, state): (&DataCentre, &CentreState)| DrainNotice {
            data_centre: data_centre.clone(),
            as_of: state.as_of,
            is_drained: state.is_drained,
        };
        self.centres.iter().map(notice).collect()
    }

    /// Whether a data centre's upstreams get no new requests.
    pub fn is_drained(&self, data_centre: &DataCentre) -> bool {
        self.centres.get(data_centre).is_some_and(|state| state.is_drained)
    }

    /// When this daemon learnt that a data centre was undrained; `None` if it is drained or never
    /// was.
    pub fn undrained_since(&self, data_centre: &DataCentre) -> Option<Moment> {
        let state = self.centres.get(data_centre).filter(|state| !state.is_drained)?;
        Some(state.changed)
    }
}
