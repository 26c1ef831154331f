//! Making room at the limits of connections and of memory: which connection makes way for another, or for a request.

use super::connection::{AbortReason, EvictionRank};
use super::{Server, ROOM_WAIT};
use crate::memory::budget::{Part, Reservation};
use crate::memory::gauge::Purpose;
use crate::memory::STREAMED_BODY_BYTES;
use crate::reasons::CloseReason;
use std::cmp::Reverse;
use tokio::time::{sleep, timeout, Instant};

/// How often a new connection waits for room, for [`ROOM_WAIT`] each time. In total, this is longer than the time
/// after which a connection can be evicted for a slow request head.
const MAX_ROOM_WAITS: u32 = 40;
/// How often a request waits for memory, for [`ROOM_WAIT`] each time.
const MAX_MEMORY_WAITS: u32 = 3;
/// The part of the memory for requests that is given out however much memory is held, so that the process always serves.
const ASSURED_PART: Part = Part { pieces: 1, whole: 8 };
/// The part of the memory for requests that those whose bodies are still to come may take.
const UPLOAD_PART: Part = Part { pieces: 3, whole: 4 };
/// How many connections are evicted at a time where the memory for requests is used up.
const MAX_MEMORY_EVICTIONS: usize = 4;

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
    pub(super) async fn reserve_request(&self, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        if let Some(reservation) = self.budgets.requests.reserve_within(ASSURED_PART, bytes) {
            return Some(reservation);
        }
        for _ in 0..MAX_MEMORY_WAITS {
            if let Some(reservation) = self.try_reserve(purpose, bytes) {
                return Some(reservation);
            }
            self.make_way_in_memory();
            if !self.budgets.gauge.has_room(purpose) {
                return None;
            }
            sleep(ROOM_WAIT).await;
        }
        self.try_reserve(purpose, bytes)
    }

    /// Reserves more memory for a request whose body is to be streamed. Returns whether there was room.
    pub(super) fn extend_for_upload(&self, reservation: &mut Reservation) -> bool {
        let added = self.try_reserve(Purpose::Upload, STREAMED_BODY_BYTES);
        added.map(|added| reservation.merge(added)).is_some()
    }

    fn try_reserve(&self, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let requests = &self.budgets.requests;
        let reservation = match purpose {
            Purpose::Request => requests.reserve(bytes),
            Purpose::Upload => requests.reserve_within(UPLOAD_PART, bytes),
        };
        reservation.filter(|_| self.budgets.gauge.has_room(purpose))
    }

    /// Frees memory while this process and another one of its gateway hold too much together: what is free here is room
    /// for the other one only once the kernel has it, and no request that comes here may ask for it any more.
    pub fn relieve_memory(&self) {
        if !self.budgets.gauge.has_room(Purpose::Request) {
            self.make_way_in_memory();
        }
    }

    /// Evicts the connections whose clients have sent nothing of their request's body for the longest time, if there are
    /// any, a few at a time.
    fn make_way_in_memory(&self) {
        if self.last_memory_eviction.get().is_some_and(|at| at.elapsed() < ROOM_WAIT) {
            return;
        }
        self.last_memory_eviction.set(Some(Instant::now()));
        let connections = self.connections.borrow();
        let mut stopped: Vec<_> =
            connections.values().filter(|c| !c.evicted.get() && c.upload_stopped()).collect();
        stopped.sort_by_key(|client| Reverse(client.meter.since_last_data()));
        let incomplete = stopped.into_iter().filter(|client| !client.body_arrived(&self.budgets.bodies));
        for client in incomplete.take(MAX_MEMORY_EVICTIONS) {
            client.evicted.set(true);
            client.abort(AbortReason::MadeWay);
        }
    }
}
