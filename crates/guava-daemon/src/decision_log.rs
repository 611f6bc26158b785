//! The latest routing decisions, for operators who ask why.

use crate::lock::locked;
use std::collections::VecDeque;
use std::sync::Mutex;

const KEPT: usize = 2_048;

/// Decision lines by request, oldest out first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    lines: Mutex<VecDeque<(Box<str>, Box<str>)>>,
}

impl DecisionLog {
    /// Keeps a line.
    pub fn note(&self, request: &str, line: String) {
        let mut lines = locked(&self.lines);
        if lines.len() == KEPT {
            lines.pop_front();
        }
        lines.push_back((request.into(), line.into()));
    }

    /// The lines of a request, oldest first.
    pub fn lines(&self, request: &str) -> Vec<Box<str>> {
        let lines = locked(&self.lines);
        lines
            .iter()
            .filter(|(other, _)| &**other == request)
            .map(|(_, line)| line.clone())
            .collect()
    }
}
