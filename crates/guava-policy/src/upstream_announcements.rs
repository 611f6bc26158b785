//! Announcements of an upstream in the headers of an answer.
//!
//! The values are parsed here, in the same way for every protocol. Each protocol's client decides
//! which header holds which value.

use guava_types::{Deadline, LimitRate, Moment};
use std::time::SystemTime;

/// Length to which an unreadable value is cut for logs, in characters.
const MAX_UNREADABLE_CHARS: usize = 40;
/// Longest back-off that is accepted, in milliseconds: a mistaken value must not close an upstream
/// for good.
const MAX_BACKOFF_MS: f64 = 600_000.0;
/// A back-off is extended by at most its length divided by this number, so that daemons refused at
/// the same time do not all send again at the same time.
const BACKOFF_JITTER_DIVISOR: u64 = 8;

/// The rate limit in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// The answer names no limit.
    #[default]
    None,
    /// The answer names this limit.
    Named(LimitRate),
    /// The answer names a limit that can't be parsed, so the last known limit stays in force.
    Unreadable,
}

/// The announcements in one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamAnnouncements {
    /// The limit on the requests of all daemons together.
    pub limit: AnnouncedLimit,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// End of the back-off that it asks of this daemon, if it refused with a `Retry-After`.
    pub backoff_until: Option<Deadline>,
    /// Requests that it can turn away in a second without crashing, if it is brittle.
    pub brittle: Option<u32>,
    /// The last value that can't be parsed, cut for logs, if there is one.
    pub unreadable: Option<Box<str>>,
}

impl UpstreamAnnouncements {
    /// Parses the values of the header that names a limit, in requests per second. Of several
    /// values the lowest applies.
    pub fn read_limit<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            let rate = text.trim().parse().ok().and_then(LimitRate::per_second);
            self.limit = match (rate, self.limit) {
                (Some(rate), AnnouncedLimit::Named(known)) => {
                    AnnouncedLimit::Named(rate.min(known))
                }
                (Some(rate), _) => AnnouncedLimit::Named(rate),
                (None, AnnouncedLimit::None) => AnnouncedLimit::Unreadable,
                (None, known) => known,
            };
            if rate.is_none() {
                self.note_unreadable(&text);
            }
        }
    }

    /// Parses the values of the header that announces that an upstream is leaving: `1`, `true`, `0`
    /// or `false`.
    pub fn read_leaving<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            match value.trim_ascii() {
                b"1" | b"true" => self.is_leaving = true,
                b"0" | b"false" => {}
                other => self.note_unreadable(&String::from_utf8_lossy(other)),
            }
        }
    }

    /// Parses the values of the header that announces that an upstream is brittle: the number of
    /// requests that it can turn away in a second. Of several values the lowest applies; one that
    /// can't be parsed counts as none at all.
    pub fn read_brittle<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            let refusals = text.trim().parse::<u32>();
            if refusals.is_err() {
                self.note_unreadable(&text);
            }
            let refusals = refusals.unwrap_or_default();
            self.brittle = Some(self.brittle.map_or(refusals, |known| known.min(refusals)));
        }
    }

    /// Parses the values of a refusal's `Retry-After`: seconds, also fractions of one, or an HTTP
    /// date. Of several values the longest applies.
    pub fn read_retry_after<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>, now: Moment) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            match backoff_ms(text.trim()) {
                None => self.note_unreadable(&text),
                Some(0) => {}
                Some(millis) => {
                    self.backoff_until = self.backoff_until.max(Some(Deadline::after(now, millis)));
                }
            }
        }
    }

    fn note_unreadable(&mut self, text: &str) {
        self.unreadable = Some(text.chars().take(MAX_UNREADABLE_CHARS).collect::<String>().into());
    }
}

fn backoff_ms(text: &str) -> Option<u64> {
    let millis = match text.parse::<f64>() {
        Ok(seconds) => seconds * 1_000.0,
        // A date in the past asks for no back-off.
        Err(_) => {
            let date = httpdate::parse_http_date(text).ok()?;
            date.duration_since(SystemTime::now()).unwrap_or_default().as_millis() as f64
        }
    };
    (millis >= 0.0).then(|| millis.min(MAX_BACKOFF_MS).ceil() as u64)
}

/// The end of a back-off, extended by up to one eighth of the time left; `draw` is a random number.
pub fn jitter_backoff(until: Deadline, now: Moment, draw: u64) -> Deadline {
    let max_jitter_ms = until.millis_left(now) / BACKOFF_JITTER_DIVISOR;
    Deadline::after(until.0, draw % (max_jitter_ms + 1))
}
