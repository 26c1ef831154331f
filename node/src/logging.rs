//! The log: lines on standard error. Writing them never blocks the process and never ends it.
//!
//! One thread serves all clients, so it must neither wait for the reader of the log nor fail when there is none.
//! A line that can't be written at once is dropped and counted, and the next line that is written says how many
//! were lost.
//!
//! `NODE_LOG` sets the level: `error`, `warn`, `info` (the default) or `debug`, which logs each request.

use log::{LevelFilter, Log, Metadata, Record};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::cell::Cell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The number of lines that a [`LimitedLog`] writes in a second by default.
const MAX_LINES_PER_SECOND: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);
/// The size of a line, including its end, that a writable pipe takes at once (`PIPE_BUF` on Linux). A longer line
/// is cut.
const MAX_LINE_BYTES: usize = 4096;
/// The end of a line that has been cut.
const CUT_MARK: &str = " ... (cut)";
/// The environment variable that sets the level.
const LEVEL_VARIABLE: &str = "NODE_LOG";

/// The number of lines that could not be written since the start.
static LOST: AtomicU64 = AtomicU64::new(0);
/// The number of lost lines that no written line has reported yet.
static LOST_UNREPORTED: AtomicU64 = AtomicU64::new(0);

/// The logger that writes to standard error.
struct StandardError;

impl Log for StandardError {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unreported = LOST_UNREPORTED.swap(0, Ordering::Relaxed);
        let line = match unreported {
            0 => record.args().to_string(),
            lost => format!("{} ({lines} lines lost before this one)", record.args(), lines = lost),
        };
        if write_line(line).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
            LOST_UNREPORTED.fetch_add(unreported + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes a line if that does not block; fails otherwise.
fn write_line(mut line: String) -> io::Result<()> {
    truncate(&mut line);
    line.push('\n');
    let stderr = io::stderr();
    let mut ready = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    poll(&mut ready, PollTimeout::ZERO)?;
    let writable = ready[0].revents().is_some_and(|events| events.contains(PollFlags::POLLOUT));
    if !writable {
        return Err(io::ErrorKind::WouldBlock.into());
    }
    stderr.lock().write_all(line.as_bytes())
}

/// Cuts a line to the maximum size and marks it as cut.
fn truncate(line: &mut String) {
    let max_bytes = MAX_LINE_BYTES - 1;
    if line.len() > max_bytes {
        let mut end = max_bytes - CUT_MARK.len();
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
        line.push_str(CUT_MARK);
    }
}

/// Starts to write all log lines, including those of panics, to standard error.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|text| text.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    if log::set_logger(&StandardError).is_ok() {
        // The default hook would block until the reader of the log has taken the message.
        std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    }
}

/// Returns the number of lines that could not be written since the start.
pub fn lines_lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Limits the lines of one kind written in a second, and says how many were left out.
pub struct LimitedLog {
    max_lines: u32,
    second_began: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl Default for LimitedLog {
    fn default() -> Self {
        Self::new(MAX_LINES_PER_SECOND)
    }
}

impl LimitedLog {
    /// Creates a log of at most `max_lines` lines a second.
    pub fn new(max_lines: u32) -> Self {
        LimitedLog {
            max_lines,
            second_began: Cell::default(),
            written: Cell::default(),
            suppressed: Cell::default(),
        }
    }

    /// Writes a warning, unless too many have been written in this second.
    pub fn line(&self, text: &str) {
        if let Some(line) = self.admit(text) {
            log::warn!("{line}");
        }
    }

    /// Returns the line to be written; `None` if it exceeds the limit.
    fn admit(&self, text: &str) -> Option<String> {
        if self.second_began.get().is_none_or(|began| began.elapsed() >= SECOND) {
            self.second_began.set(Some(Instant::now()));
            self.written.set(0);
        }
        if self.written.get() >= self.max_lines {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        match self.suppressed.take() {
            0 => Some(text.to_owned()),
            n => Some(format!("{text} ({n} lines left out)")),
        }
    }
}
