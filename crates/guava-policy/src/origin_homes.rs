//! Which daemons remember where a stream began.
//!
//! A daemon that begins a stream tells a few others, found by rendezvous hashing of the stream, so that
//! any daemon at which the stream is taken up finds them without knowing who began it. What a stream
//! costs does not depend on the number of daemons.

/// Peers that are told where a stream began, besides the daemon that began it. Several daemons, or all
/// of a data centre, may be lost at the same moment.
pub const ORIGIN_COPIES: usize = 3;
/// Daemons that are asked. The daemon that began a stream may be one of the first, and takes no copy;
/// one more may have been lost, or be back, since then.
pub const ASKED_HOMES: usize = ORIGIN_COPIES + 2;

/// The first homes of a stream: the heaviest candidates, by their rendezvous weights.
pub fn first_homes<T>(mut candidates: Vec<(T, f64)>, count: usize) -> impl Iterator<Item = T> {
    let heavier_first = |one: &(T, f64), other: &(T, f64)| other.1.total_cmp(&one.1);
    if count < candidates.len() {
        // One of these is computed for nearly each stream, so not all candidates are sorted.
        candidates.select_nth_unstable_by(count, heavier_first);
        candidates.truncate(count);
    }
    candidates.sort_unstable_by(heavier_first);
    candidates.into_iter().map(|(candidate, _)| candidate)
}
