//! What an upstream says of itself in the head of an answer.
//!
//! The values are read here, the same for every protocol; which header holds which is the
//! protocol's.

use guava_types::LimitRate;

/// Length at which an unreadable value is cut, in characters.
const SHOWN: usize = 40;

/// A limit as an answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitWord {
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
pub struct AnswerWords {
    /// The limit on the requests of all daemons together.
    pub limit: LimitWord,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// A value that can't be read, if there is one.
    pub unread: Option<Box<str>>,
}

impl AnswerWords {
    /// Reads the values of the header that names a limit, in requests a second. Of several the lowest
    /// holds.
    pub fn read_limit<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        for value in values {
            let text = String::from_utf8_lossy(value);
            let rate = text.trim().parse().ok().and_then(LimitRate::per_second);
            self.limit = match (rate, self.limit) {
                (Some(rate), LimitWord::Named(known)) => LimitWord::Named(rate.min(known)),
                (Some(rate), _) => LimitWord::Named(rate),
                (None, LimitWord::None) => LimitWord::Unread,
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

    fn note_unread(&mut self, text: &str) {
        self.unread = Some(text.chars().take(SHOWN).collect::<String>().into());
    }
}
