//! How far an answer had come when it ended.

use std::fmt;

/// The part of an answer in which it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// No byte of it came.
    None,
    /// Its head came in part, or only interim answers did.
    Head,
    /// Its head came.
    Body,
}

impl fmt::Display for AnswerPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::None => "none",
            Self::Head => "head",
            Self::Body => "body",
        })
    }
}
