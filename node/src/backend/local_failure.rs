//! Connections that could not be begun for reasons of this machine: they say nothing of the backend.

use crate::logging::LimitedLog;
use crate::reasons::CountsByName;
use serde_json::{Map, Value};
use std::io;
use std::time::Duration;

/// Such a failure is waited out for so long in all, in pauses from the first to the longest.
pub const MAX_WAIT: Duration = Duration::from_millis(400);
/// See `MAX_WAIT`.
pub const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// See `MAX_WAIT`.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(40);

/// The errors that `socket` and `connect` give before anything has left this machine, with their names.
const LOCAL: [(i32, &str); 8] = [
    (libc::EMFILE, "EMFILE"),
    (libc::ENFILE, "ENFILE"),
    (libc::ENOBUFS, "ENOBUFS"),
    (libc::ENOMEM, "ENOMEM"),
    (libc::EADDRNOTAVAIL, "EADDRNOTAVAIL"),
    (libc::ENETUNREACH, "ENETUNREACH"),
    (libc::EAGAIN, "EAGAIN"),
    (libc::EINTR, "EINTR"),
];

/// The name of an error that is this machine's own; `None` for one that the other side, or the way there, gave.
pub fn local_error(e: &io::Error) -> Option<&'static str> {
    let code = e.raw_os_error()?;
    LOCAL.iter().find(|(local, _)| *local == code).map(|(_, name)| *name)
}

/// Counts such failures by error.
#[derive(Default)]
pub struct LocalFailures {
    counts: CountsByName,
    log: LimitedLog,
}

impl LocalFailures {
    /// Takes in one.
    pub fn note(&self, name: &'static str) {
        self.counts.count(name);
        self.log.line(&format!("no connection to a backend could be begun: {name}"));
    }

    /// All counts by the error's name.
    pub fn report(&self) -> Map<String, Value> {
        self.counts.report()
    }
}
