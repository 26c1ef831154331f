//! The requests that have been sent to a backend, by the hash of their correlation id: one that comes again under the same
//! id, as after its client has left, must not run a second time.

use caperwind::Micros;
use std::collections::{HashSet, VecDeque};

/// How long a request is remembered, in microseconds: far longer than any client waits.
const RETENTION_TIME: Micros = 60_000_000;
/// The maximum number of remembered requests. Beyond it, the oldest ones are forgotten.
const MAX_REQUESTS: usize = 8_192;

/// The requests that may not be sent again.
#[derive(Default)]
pub(super) struct BegunRequests {
    hashes: HashSet<u64>,
    /// When each was begun, the oldest first.
    order: VecDeque<(Micros, u64)>,
}

impl BegunRequests {
    /// Records that a request has been begun at `now`. Returns whether it was not known.
    pub(super) fn insert(&mut self, hash: u64, now: Micros) -> bool {
        self.forget_old(now);
        if !self.hashes.insert(hash) {
            return false;
        }
        self.order.push_back((now, hash));
        if self.order.len() > MAX_REQUESTS {
            self.forget_first();
        }
        true
    }

    /// Returns whether a request has been begun already.
    pub(super) fn contains(&mut self, hash: u64, now: Micros) -> bool {
        self.forget_old(now);
        self.hashes.contains(&hash)
    }

    /// Returns the hashes of all remembered requests, the oldest first.
    pub(super) fn all(&self) -> Vec<u64> {
        self.order.iter().map(|(_, hash)| *hash).collect()
    }

    fn forget_old(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RETENTION_TIME) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, hash)) = self.order.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}
