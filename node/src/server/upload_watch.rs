//! Watching a request body that is read only as fast as its backend takes it.

use super::connection::ClientConnection;
use crate::body::answer_limit::STALL_TIMEOUT;
use crate::body::upload::UploadSource;
use crate::memory::budget::Budget;
use caperwind::Micros;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The interval between checks of a body.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// How much of a request its client's machine may hold at most, in bytes: the usual limit of a socket's send buffer. A client
/// that has no more than this left may have written all of its request.
const CLIENT_BUFFER_BYTES: u64 = 4 << 20;
/// The shortest time after which a body that its client may have written whole has stalled.
const MIN_HELD_UP_TIME: Duration = Duration::from_millis(500);

/// What has been found of a body that is still being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UploadState {
    /// The whole request has arrived at this machine, so that its client waits for the answer.
    Arrived,
    /// The backend takes nothing of what has arrived, or takes it too slowly for a client that may wait for its answer
    /// already: the rest, if the client has sent it, can't arrive.
    Stalled,
}

/// The bytes that have moved so far.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Progress {
    /// Bytes that have arrived from the client, read or unread.
    received: u64,
    /// Bytes that the backend's machine has acknowledged.
    acknowledged: u64,
}

/// Watches the body of one request.
pub(super) struct UploadWatch {
    /// A weak reference, as a strong one would keep the socket open after the connection has ended.
    client: Weak<ClientConnection>,
    source: Rc<UploadSource>,
    budget: Budget,
    stall_timeout: Duration,
    /// How long a body that its client may have written whole may be held up by its backend.
    held_up_timeout: Duration,
    /// Since when it may have been written whole and has been held up.
    held_up_since: Option<Instant>,
    /// The progress at the last check, and since when it has been the same.
    last_progress: Option<(Progress, Instant)>,
}

impl UploadWatch {
    /// Starts to watch `source`, received from `client`. `budget` provides the memory for looking into the socket. A
    /// body of which nothing moves stalls after the client's own `time_limit` in microseconds, but not before a backend's
    /// answer would; one that the client may have written whole stalls after that time limit also if it moves.
    pub(super) fn new(
        client: &Rc<ClientConnection>,
        source: Rc<UploadSource>,
        budget: Budget,
        time_limit: Micros,
    ) -> Self {
        let time_limit = Duration::from_micros(time_limit);
        UploadWatch {
            client: Rc::downgrade(client),
            source,
            budget,
            stall_timeout: STALL_TIMEOUT.max(time_limit),
            held_up_timeout: MIN_HELD_UP_TIME.max(time_limit),
            held_up_since: None,
            last_progress: None,
        }
    }

    /// Waits until the body has arrived or has stalled. Never returns if the connection ends first.
    pub(super) async fn next(&mut self) -> UploadState {
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(client) = self.client.upgrade() else { return std::future::pending().await };
            if let Some(state) = self.check(&client) {
                return state;
            }
        }
    }

    fn check(&mut self, client: &ClientConnection) -> Option<UploadState> {
        let progress =
            Progress { received: client.meter.received(), acknowledged: self.source.acknowledged() };
        let (last, since) = *self.last_progress.get_or_insert((progress, Instant::now()));
        // The end is not looked for while bytes still arrive.
        let resting = progress.received == last.received;
        if progress != last {
            self.last_progress = None;
        }
        if resting && client.body_arrived(&self.budget) {
            return Some(UploadState::Arrived);
        }
        let waits_for_backend = progress.received > client.meter.read();
        let stalled = waits_for_backend && progress == last && since.elapsed() >= self.stall_timeout;
        if !stalled && !self.held_up_too_long(client, waits_for_backend) {
            return None;
        }
        (self.last_progress, self.held_up_since) = (None, None);
        Some(UploadState::Stalled)
    }

    /// Whether the client may have written all of its request for as long as it waits for an answer, while the backend
    /// holds up the rest. How much is left is known only of a body with a declared length.
    fn held_up_too_long(&mut self, client: &ClientConnection, waits_for_backend: bool) -> bool {
        let to_come = client.meter.body_bytes_to_come();
        if !waits_for_backend || to_come.is_none_or(|bytes| bytes > CLIENT_BUFFER_BYTES) {
            self.held_up_since = None;
            return false;
        }
        self.held_up_since.get_or_insert_with(Instant::now).elapsed() >= self.held_up_timeout
    }
}
