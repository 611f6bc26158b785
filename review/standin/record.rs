//! What was sent, answered and run, line by line with the time in milliseconds.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{at} {text}"));
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Writes the verdict, then all lines.
    pub fn write(&self, path: &Path, verdict: &str) {
        let lines = self.lines.lock().unwrap();
        let text = format!("{verdict}\n\n{}\n", lines.join("\n"));
        if let Err(error) = fs::write(path, text) {
            eprintln!("{}: {error}", path.display());
        }
    }
}
