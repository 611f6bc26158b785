//! Data centres whose upstreams are to get nothing, by the operator's word.
//!
//! A drain travels as a change of the configuration does. It is a state as of a position in the
//! operator's log, and the word of the highest position holds, whoever brings it: a read, or a peer
//! for a daemon that can't reach the log. Runs that are under way end in peace.
//!
//! Upstreams of a data centre that is taken back have rested, and count as cold from the moment at
//! which this daemon hears of it; filled at once by all daemons, they would end. A daemon that has
//! just started can't tell how long ago that was, and takes it for now.

use guava_types::{DataCentre, FastMap, Moment};

/// Whether a data centre is drained, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// Which.
    pub data_centre: DataCentre,
    /// Position in the operator's log up to which this is known.
    pub as_of: u64,
    /// Whether its upstreams are to get nothing.
    pub is_drained: bool,
}

#[derive(Clone, Copy, Debug)]
struct CentreState {
    as_of: u64,
    is_drained: bool,
    changed: Moment,
}

/// The data centres that were ever drained.
#[derive(Debug, Default)]
pub struct DrainTable {
    centres: FastMap<DataCentre, CentreState>,
}

impl DrainTable {
    /// Takes a word in; whether it changes anything.
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

    /// What follows from a read of all that is drained as of a position: what is known to be drained
    /// and was not read is taken back.
    pub fn notices_from_read(&self, drained: &[DataCentre], as_of: u64) -> Vec<DrainNotice> {
        let notice = |data_centre: &DataCentre, is_drained: bool| DrainNotice {
            data_centre: data_centre.clone(),
            as_of,
            is_drained,
        };
        let is_gone = |(centre, state): &(&DataCentre, &CentreState)| {
            state.is_drained && !drained.contains(centre)
        };
        let gone = self.centres.iter().filter(is_gone).map(|(centre, _)| notice(centre, false));
        drained.iter().map(|centre| notice(centre, true)).chain(gone).collect()
    }

    /// All that is known, for peers.
    pub fn notices(&self) -> Vec<DrainNotice> {
        let notice = |(data_centre, state): (&DataCentre, &CentreState)| DrainNotice {
            data_centre: data_centre.clone(),
            as_of: state.as_of,
            is_drained: state.is_drained,
        };
        self.centres.iter().map(notice).collect()
    }

    /// Whether a data centre's upstreams are to get nothing.
    pub fn is_drained(&self, data_centre: &DataCentre) -> bool {
        self.centres.get(data_centre).is_some_and(|state| state.is_drained)
    }

    /// Since when a data centre is taken back, if it ever was drained.
    pub fn undrained_since(&self, data_centre: &DataCentre) -> Option<Moment> {
        let state = self.centres.get(data_centre).filter(|state| !state.is_drained)?;
        Some(state.changed)
    }
}
