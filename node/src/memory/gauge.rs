//! Whether there is memory left for more requests, measured on what all processes of this gateway hold.
//!
//! The limits of [`super::MemoryLimits`] are estimates for each purpose, made before the memory is used. Here the result
//! is measured, with all that no estimate covers: memory that the allocator can't reuse at the moment, and the other
//! process of an upgrade.

use super::resident::{release_free_memory, resident_bytes};
use crate::body::budget::Part;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// No more requests are taken while more than this part of the memory is held. The rest is for what requests that have
/// been taken already are still to hold, and for client connections.
const REQUEST_PART: Part = Part { pieces: 11, whole: 16 };
/// How long a measurement is used.
const MEASUREMENT_LIFE: Duration = Duration::from_millis(5);
/// How often freed memory is returned to the kernel at most. That takes about a millisecond.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// Measures the memory that is held.
pub struct MemoryGauge {
    /// The memory from which on no more requests are taken, in bytes.
    request_limit: usize,
    /// What the other process of this gateway holds, in bytes; 0 without one.
    held_by_other: Cell<usize>,
    /// What this process held when it was last measured, in bytes, and the time of that.
    measured: Cell<Option<(usize, Instant)>>,
    /// When freed memory was last returned to the kernel.
    released_at: Cell<Option<Instant>>,
}

impl MemoryGauge {
    /// Creates a gauge for processes that may hold `bytes` of memory together.
    pub fn new(bytes: usize) -> Self {
        MemoryGauge {
            request_limit: REQUEST_PART.of(bytes),
            held_by_other: Cell::new(0),
            measured: Cell::new(None),
            released_at: Cell::new(None),
        }
    }

    /// Records what the other process of this gateway holds, in bytes; 0 without one.
    pub fn set_held_by_other(&self, bytes: usize) {
        self.held_by_other.set(bytes);
    }

    /// Returns the memory that this process holds, in bytes; 0 if it can't be measured.
    pub fn held(&self) -> usize {
        if let Some((bytes, at)) = self.measured.get() {
            if at.elapsed() < MEASUREMENT_LIFE {
                return bytes;
            }
        }
        let bytes = resident_bytes().unwrap_or_default();
        self.measured.set(Some((bytes, Instant::now())));
        bytes
    }

    /// Returns whether one more request may be taken. Freed memory is returned to the kernel before that is denied.
    pub fn has_room(&self) -> bool {
        self.below_limit() || (self.release() && self.below_limit())
    }

    fn below_limit(&self) -> bool {
        self.held() + self.held_by_other.get() < self.request_limit
    }

    /// Returns freed memory to the kernel, unless that has been done shortly before. Returns whether it has been done.
    fn release(&self) -> bool {
        if self.released_at.get().is_some_and(|at| at.elapsed() < RELEASE_INTERVAL) {
            return false;
        }
        release_free_memory();
        self.released_at.set(Some(Instant::now()));
        self.measured.set(None);
        true
    }
}
