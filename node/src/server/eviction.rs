//! Making room at the limits of connections and of memory: which connection makes way for another, or for a request.

use super::connection::{AbortReason, EvictionRank};
use super::{Server, ROOM_WAIT};
use crate::body::budget::Reservation;
use crate::reasons::CloseReason;
use tokio::time::{sleep, timeout, Instant};

/// How often a new connection waits for room, for [`ROOM_WAIT`] each time. In total, this is longer than the time
/// after which a connection can be evicted for a slow request head.
const MAX_ROOM_WAITS: u32 = 40;
/// How often a request waits for memory, for [`ROOM_WAIT`] each time.
const MAX_MEMORY_WAITS: u32 = 3;

impl Server {
    /// Waits for room for a new connection and evicts others for it, so that the limit is never exceeded. Returns
    /// whether there is room.
    pub(super) async fn wait_for_room(&self) -> bool {
        for _ in 0..MAX_ROOM_WAITS {
            if self.connections.borrow().len() < self.max_connections.get() {
                return true;
            }
            self.evict_one();
            let _ = timeout(ROOM_WAIT, self.connection_closed.notified()).await;
        }
        self.connections.borrow().len() < self.max_connections.get()
    }

    /// Evicts one connection if possible: one without any data first, then an idle one, then one with a slow request.
    /// Connections that have been evicted before are skipped: one stays open until its client reads its last answer,
    /// and must not block the eviction of others. New connections are spared because they may be about to send a
    /// request. If they are at least as many as the candidates, only a connection without data is evicted: some of the
    /// new ones will soon have been without data for long enough to be candidates themselves.
    pub(super) fn evict_one(&self) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let remaining = connections.values().filter(|c| !c.evicted.get());
        let mut candidates: Vec<_> =
            remaining.filter_map(|c| Some((c.eviction_rank(now)?, c.phase_began(), c))).collect();
        candidates.sort_by_key(|(rank, phase_began, _)| (*rank, *phase_began));
        let candidate_count = candidates.len();
        let evictable = candidates.into_iter().find(|(rank, _, c)| match rank {
            EvictionRank::SlowHead => true,
            // Its backend rather than its client may be slow.
            EvictionRank::SlowBody => !c.body_arrived(&self.budgets.bodies),
            EvictionRank::Silent | EvictionRank::Idle => c.nothing_received(),
        });
        let fresh_count = connections.values().filter(|c| c.is_fresh(now)).count();
        let Some((rank, _, client)) =
            evictable.filter(|(rank, ..)| *rank == EvictionRank::Silent || fresh_count < candidate_count)
        else {
            return;
        };
        client.evicted.set(true);
        match rank {
            EvictionRank::Idle => client.close_gracefully(CloseReason::MadeWay),
            _ => client.abort(AbortReason::MadeWay),
        }
    }

    /// Reserves the memory for a request. If it is used up, requests whose clients have stopped sending their bodies make
    /// way. Returns `None` if there is no room all the same.
    pub(super) async fn reserve_request(&self, bytes: usize) -> Option<Reservation> {
        for _ in 0..MAX_MEMORY_WAITS {
            if let Some(reservation) = self.budgets.requests.reserve(bytes) {
                return Some(reservation);
            }
            self.evict_stopped_upload();
            sleep(ROOM_WAIT).await;
        }
        self.budgets.requests.reserve(bytes)
    }

    /// Evicts the connection whose client has sent nothing of its request's body for the longest time, if there is one.
    fn evict_stopped_upload(&self) {
        if self.last_memory_eviction.get().is_some_and(|at| at.elapsed() < ROOM_WAIT) {
            return;
        }
        self.last_memory_eviction.set(Some(Instant::now()));
        let connections = self.connections.borrow();
        let stopped = connections.values().filter(|c| !c.evicted.get() && c.upload_stopped());
        let longest = stopped.max_by_key(|c| c.meter.since_last_data());
        if let Some(client) = longest.filter(|c| !c.body_arrived(&self.budgets.bodies)) {
            client.evicted.set(true);
            client.abort(AbortReason::MadeWay);
        }
    }
}
