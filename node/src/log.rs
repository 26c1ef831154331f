//! Log lines about what may happen at full speed.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Lines a second, of one kind.
const MAX_LINES: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);

/// Writes so many lines a second at most, and says how many were left out.
pub struct LimitedLog {
    max_lines: u32,
    second_began: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Default for LimitedLog {
    fn default() -> Self {
        Self::new(MAX_LINES)
    }
}

impl LimitedLog {
    /// A log of so many lines a second.
    pub fn new(max_lines: u32) -> Self {
        LimitedLog {
            max_lines,
            second_began: Cell::default(),
            written: Cell::default(),
            left_out: Cell::default(),
        }
    }

    /// Writes a line, unless there have been too many in this second.
    pub fn line(&self, text: &str) {
        if let Some(line) = self.admit(text) {
            eprintln!("{line}");
        }
    }

    /// The line as it is to be written; `None` where it is one too many.
    fn admit(&self, text: &str) -> Option<String> {
        if self.second_began.get().is_none_or(|began| began.elapsed() >= SECOND) {
            self.second_began.set(Some(Instant::now()));
            self.written.set(0);
        }
        if self.written.get() >= self.max_lines {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        match self.left_out.take() {
            0 => Some(text.to_owned()),
            n => Some(format!("{text} ({n} lines left out)")),
        }
    }
}
