//! Failures to open a connection that are caused by this machine and say nothing about the backend.

use crate::logging::LimitedLog;
use crate::reasons::CountsByName;
use serde_json::{Map, Value};
use std::io;
use std::time::Duration;

/// How long opening a connection is retried after local failures.
pub const MAX_RETRY_TIME: Duration = Duration::from_millis(400);
/// The pause before the first retry; it doubles with each retry, up to [`MAX_RETRY_PAUSE`].
pub const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause between two retries.
pub const MAX_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// The errors with which `socket` and `connect` fail before anything has left this machine, and their names.
const LOCAL_ERRORS: [(i32, &str); 8] = [
    (libc::EMFILE, "EMFILE"),
    (libc::ENFILE, "ENFILE"),
    (libc::ENOBUFS, "ENOBUFS"),
    (libc::ENOMEM, "ENOMEM"),
    (libc::EADDRNOTAVAIL, "EADDRNOTAVAIL"),
    (libc::ENETUNREACH, "ENETUNREACH"),
    (libc::EAGAIN, "EAGAIN"),
    (libc::EINTR, "EINTR"),
];

/// Returns the name of an error that is caused by this machine; `None` for one caused by the peer or the network.
pub fn local_error(e: &io::Error) -> Option<&'static str> {
    let code = e.raw_os_error()?;
    LOCAL_ERRORS.iter().find(|(local_code, _)| *local_code == code).map(|(_, name)| *name)
}

/// Counts and logs local failures by error.
#[derive(Default)]
pub struct LocalFailures {
    counts: CountsByName,
    log: LimitedLog,
}

impl LocalFailures {
    /// Counts and logs one failure. `name` is a name returned by [`local_error`].
    pub fn record(&self, name: &'static str) {
        self.counts.count(name);
        self.log.line(&format!("connection to a backend failed with a local error: {name}"));
    }

    /// Returns the counts by error name.
    pub fn report(&self) -> Map<String, Value> {
        self.counts.report()
    }
}
