//! Where a daemon is in its life.

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonPhase {
    /// No state yet.
    Starting,
    /// Takes work.
    Serving,
    /// Its addresses are no longer handed out; still takes work from those who hold them.
    Leaving,
    /// Takes no new work; finishes what runs.
    Draining,
}

impl DaemonPhase {
    /// The phase as gossiped.
    pub fn code(self) -> u8 {
        match self {
            Self::Starting => 0,
            Self::Serving => 1,
            Self::Leaving => 2,
            Self::Draining => 3,
        }
    }

    /// The phase of a gossiped code.
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Self::Serving,
            2 => Self::Leaving,
            3 => Self::Draining,
            _ => Self::Starting,
        }
    }

    /// Its name for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
        }
    }
}
