//! The line of long prompts that wait here until an engine has memory for them.
//!
//! An engine that is sent more prompts than its memory holds fetches the parts of those that wait,
//! drops them again for the next ones, and reads them in the end; or preempts runs, whose prompts it
//! reads anew. In a burst of three times the load half of all tokens read had been read before. Here
//! a prompt costs nothing while it waits, keeps its place by rank, and can be refused truthfully.

use guava_types::Moment;

/// A prompt in line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinePlace {
    rank: u8,
    arrived: Moment,
    ticket: u64,
}

/// The line of one daemon.
#[derive(Clone, Debug, Default)]
pub struct WaitingLine {
    places: Vec<LinePlace>,
    next_ticket: u64,
}

impl WaitingLine {
    /// Takes a place: behind those of the same rank that arrived earlier. The ticket names it.
    pub fn join(&mut self, rank: u8, arrived: Moment) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let place = LinePlace { rank, arrived, ticket };
        let index = self.places.partition_point(|other| *other < place);
        self.places.insert(index, place);
        ticket
    }

    /// Gives a place up.
    pub fn leave(&mut self, ticket: u64) {
        self.places.retain(|place| place.ticket != ticket);
    }

    /// Whether it is a place's turn.
    pub fn is_first(&self, ticket: u64) -> bool {
        self.places.first().is_some_and(|place| place.ticket == ticket)
    }

    /// How many wait before a place.
    pub fn ahead_of(&self, ticket: u64) -> usize {
        self.places.iter().take_while(|place| place.ticket != ticket).count()
    }
}
