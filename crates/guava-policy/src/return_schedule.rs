//! When refused callers come back: one after the other, as fast as the queue drains.
//!
//! Callers that were refused in the same burst and told the same delay return as a burst and are
//! refused again. So each is given the next free moment of a schedule that advances, by what each
//! of them costs, at the rate at which the queue drains.

use guava_types::Moment;
use std::collections::VecDeque;

/// Shortest time until a refused caller returns, in milliseconds: an immediate return costs a
/// connection and changes nothing.
pub const MIN_RETURN_MS: u64 = 50;
/// Longest time until a refused caller returns, in milliseconds. Callers wait some seconds in all; one
/// for whom there is no room by then asks again.
pub const MAX_RETURN_MS: u64 = 5_000;
/// Shortest delay, and its random spread, while it is not known how fast the queue drains, in
/// milliseconds: a burst that fills all upstreams lasts for seconds.
const UNKNOWN_RETURN_MS: u64 = 1_000;
/// Most bookings that are kept to find the place of a caller that is refused again.
const MAX_BOOKINGS: usize = 256;

/// A moment that a caller was told.
#[derive(Clone, Copy, Debug)]
struct ReturnBooking {
    arrived: Moment,
    return_ms: f64,
}

/// Moments at which refused callers are told to return, in milliseconds on the clock of `Moment`
/// with a fraction: a fast queue drains more than one request in a millisecond.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// The latest bookings, by arrival and by return.
    bookings: VecDeque<ReturnBooking>,
    /// The next moment after all bookings.
    next_ms: f64,
    /// The next moment for callers whose turn to return is over. They waited, or returned as told,
    /// and go before those that come now.
    next_overdue_ms: f64,
}

impl ReturnSchedule {
    /// Books the return of a caller whose first attempt came at `arrived`. It is in `room_ms` at the
    /// earliest, and the `spacing_ms` after it are its own. Returns the delay in milliseconds.
    pub fn book(&mut self, arrived: Moment, room_ms: f64, spacing_ms: f64, now: Moment) -> u64 {
        let now_ms = now.0 as f64;
        // A rate that was low for a moment must not close the schedule for long.
        let spacing_ms = spacing_ms.min(MAX_RETURN_MS as f64);
        let earliest_ms = now_ms + room_ms.max(MIN_RETURN_MS as f64);
        let is_last = self.bookings.back().is_none_or(|last| last.arrived <= arrived);
        let earlier = self.bookings.iter().rev().find(|other| other.arrived <= arrived);
        let own_ms = earlier.map(|earlier| earlier.return_ms).filter(|own_ms| *own_ms > now_ms);
        let next_ms = match own_ms {
            _ if is_last => self.next_ms,
            Some(own_ms) => own_ms,
            None => self.next_overdue_ms,
        };
        let return_ms = earliest_ms.max(next_ms);
        if return_ms - now_ms > MAX_RETURN_MS as f64 {
            return MAX_RETURN_MS;
        }
        if is_last {
            self.push(ReturnBooking { arrived, return_ms });
        } else if own_ms.is_none() {
            self.next_overdue_ms = return_ms + spacing_ms;
        }
        // A caller that returns before its turn has its moment already.
        if is_last || own_ms.is_none() {
            self.next_ms = self.next_ms.max(return_ms) + spacing_ms;
        }
        (return_ms - now_ms).ceil() as u64
    }

    fn push(&mut self, booking: ReturnBooking) {
        self.bookings.push_back(booking);
        if self.bookings.len() > MAX_BOOKINGS {
            self.bookings.pop_front();
        }
    }
}

/// The delay for a caller while the rate is not known, in milliseconds.
pub fn unscheduled_return_ms(draw: u64) -> u64 {
    UNKNOWN_RETURN_MS + draw % UNKNOWN_RETURN_MS
}
