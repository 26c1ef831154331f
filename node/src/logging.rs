//! The log: lines on standard error, which never hold the process up and never end it.
//!
//! One thread serves all clients, so it may neither wait for whoever reads the log nor fail where nobody does: a line
//! that can't be written at once is lost and counted, and the next one that gets through tells how many were.
//!
//! `NODE_LOG` sets the level: `error`, `warn`, `info` (if it is not set) or `debug`, which tells of each request.

use log::{LevelFilter, Log, Metadata, Record};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::cell::Cell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Lines a second, of one kind.
const MAX_LINES_PER_SECOND: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);
/// A pipe that can be written to takes so many bytes at once (`PIPE_BUF` on Linux). A longer line is cut.
const MAX_LINE_BYTES: usize = 4096;
const CUT_MARK: &str = " ... (cut)";
/// The environment variable with the level.
const LEVEL_VARIABLE: &str = "NODE_LOG";

/// Lines that could not be written since the start, and those that no line has told of.
static LOST: AtomicU64 = AtomicU64::new(0);
static LOST_UNREPORTED: AtomicU64 = AtomicU64::new(0);

struct StandardError;

impl Log for StandardError {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let untold = LOST_UNREPORTED.swap(0, Ordering::Relaxed);
        let line = match untold {
            0 => record.args().to_string(),
            lost => format!("{} ({lines} lines lost before this one)", record.args(), lines = lost),
        };
        if write_line(line).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
            LOST_UNREPORTED.fetch_add(untold + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes a line, if that takes no waiting.
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

fn truncate(line: &mut String) {
    let most = MAX_LINE_BYTES - 1;
    if line.len() > most {
        let mut end = most - CUT_MARK.len();
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
        line.push_str(CUT_MARK);
    }
}

/// Sends all lines, those of panics as well, to standard error from now on.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|text| text.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    if log::set_logger(&StandardError).is_ok() {
        // The usual hook waits for the reader of the log.
        std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    }
}

/// Lines that could not be written since the start.
pub fn lines_lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Writes so many lines a second at most, and says how many were left out.
pub struct LimitedLog {
    max_lines: u32,
    second_began: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Default for LimitedLog {
    fn default() -> Self {
        Self::new(MAX_LINES_PER_SECOND)
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
            log::warn!("{line}");
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
