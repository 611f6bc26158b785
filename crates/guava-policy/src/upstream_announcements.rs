//! What an upstream says of itself in the head of an answer.
//!
//! The values are read here, the same for every protocol; which header holds which is the
//! protocol's.

use guava_types::{Deadline, LimitRate, Moment};
use std::time::SystemTime;

/// Length at which an unreadable value is cut, in characters.
const SHOWN: usize = 40;
/// Longest rest that is granted, in milliseconds: a mistaken value must not take an upstream away for
/// good.
const LONGEST_REST_MS: f64 = 600_000.0;
/// Part of a rest by which its end is put off at most, so that those who were refused together don't
/// return together.
const SPREAD_PART: u64 = 8;

/// A limit as an answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// It names none.
    #[default]
    None,
    /// The rate that it names.
    Named(LimitRate),
    /// It names one that can't be read, so what was known holds.
    Unread,
}

/// What an answer says of its upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamAnnouncements {
    /// The limit on the requests of all daemons together.
    pub limit: AnnouncedLimit,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Until when it wants nothing from this daemon, if it refused and asks for rest.
    pub backoff_until: Option<Deadline>,
    /// A value that can't be read, if there is one.
    pub unread: Option<Box<str>>,
}

impl UpstreamAnnouncements {
    /// Reads the values of the header that names a limit, in requests a second. Of several the lowest
    /// holds.
    pub fn read_limit<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            let rate = text.trim().parse().ok().and_then(LimitRate::per_second);
            self.limit = match (rate, self.limit) {
                (Some(rate), AnnouncedLimit::Named(known)) => {
                    AnnouncedLimit::Named(rate.min(known))
                }
                (Some(rate), _) => AnnouncedLimit::Named(rate),
                (None, AnnouncedLimit::None) => AnnouncedLimit::Unread,
                (None, known) => known,
            };
            if rate.is_none() {
                self.note_unread(&text);
            }
        }
    }

    /// Reads the values of the header that says that an upstream leaves.
    pub fn read_leaving<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            match value.trim_ascii() {
                b"1" | b"true" => self.is_leaving = true,
                b"0" | b"false" => {}
                other => self.note_unread(&String::from_utf8_lossy(other)),
            }
        }
    }

    /// Reads the values of a refusal's `Retry-After`: seconds, also in fractions, or a date. Of several
    /// the longest holds.
    pub fn read_retry_after<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>, now: Moment) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            match rest_ms(text.trim()) {
                None => self.note_unread(&text),
                Some(0) => {}
                Some(millis) => {
                    self.backoff_until = self.backoff_until.max(Some(Deadline::after(now, millis)));
                }
            }
        }
    }

    fn note_unread(&mut self, text: &str) {
        self.unread = Some(text.chars().take(SHOWN).collect::<String>().into());
    }
}

fn rest_ms(text: &str) -> Option<u64> {
    let millis = match text.parse::<f64>() {
        Ok(seconds) => seconds * 1_000.0,
        // A date that is over asks for nothing.
        Err(_) => {
            let date = httpdate::parse_http_date(text).ok()?;
            date.duration_since(SystemTime::now()).unwrap_or_default().as_millis() as f64
        }
    };
    (millis >= 0.0).then(|| millis.min(LONGEST_REST_MS).ceil() as u64)
}

/// The end of a rest, put off by a part of it that a random number draws.
pub fn jitter_backoff(until: Deadline, now: Moment, draw: u64) -> Deadline {
    let most_ms = until.millis_left(now) / SPREAD_PART;
    Deadline::after(until.0, draw % (most_ms + 1))
}
