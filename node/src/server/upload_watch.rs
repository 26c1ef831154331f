//! Watching a request body that is read only as fast as its backend takes it.

use super::connection::ClientConnection;
use crate::body::answer_limit::STALL_TIMEOUT;
use crate::body::budget::Budget;
use crate::body::upload::UploadSource;
use caperwind::Micros;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The interval between checks of a body.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// What has been found of a body that is still being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UploadState {
    /// The whole request has arrived at this machine, so that its client waits for the answer.
    Arrived,
    /// The backend takes nothing of what has arrived, and the rest, if the client has sent it, can't arrive.
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
    /// The progress at the last check, and since when it has been the same.
    last_progress: Option<(Progress, Instant)>,
}

impl UploadWatch {
    /// Starts to watch `source`, received from `client`. `budget` provides the memory for looking into the socket. A
    /// body stalls after the client's own `time_limit` in microseconds, but not before a backend's answer would.
    pub(super) fn new(
        client: &Rc<ClientConnection>,
        source: Rc<UploadSource>,
        budget: Budget,
        time_limit: Micros,
    ) -> Self {
        UploadWatch {
            client: Rc::downgrade(client),
            source,
            budget,
            stall_timeout: STALL_TIMEOUT.max(Duration::from_micros(time_limit)),
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
        if !waits_for_backend || progress != last || since.elapsed() < self.stall_timeout {
            return None;
        }
        self.last_progress = None;
        Some(UploadState::Stalled)
    }
}
