//! Whether there is memory left for more requests: what all processes of this gateway hold, as the kernel counts it.
//!
//! The limits of [`super::MemoryLimits`] are estimates for each purpose, made before the memory is used. Here the result
//! is measured, with all that no estimate covers: memory that the allocator can't reuse at the moment, and the other
//! process of an upgrade.

use super::resident::{release_free_memory, resident_bytes};
use crate::memory::budget::Part;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// No more requests are taken while more than this part of the memory is held. The rest is for what requests that have
/// been taken already are still to hold, and for client connections.
const REQUEST_PART: Part = Part { pieces: 5, whole: 8 };
/// The same for requests whose bodies are still to come.
const UPLOAD_PART: Part = Part { pieces: 1, whole: 2 };
/// The part that another process is taken to hold at least: it may not have told yet, or not be able to tell.
const OTHER_PROCESS_PART: Part = Part { pieces: 1, whole: 8 };
/// How long a measurement is used.
const MEASUREMENT_LIFE: Duration = Duration::from_millis(5);
/// How often freed memory is returned to the kernel at most. That walks through the whole heap.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// What memory is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has arrived whole.
    Request,
    /// A request of which a part is still to come, however long its client takes. It leaves room for those that have
    /// arrived.
    Upload,
}

/// Measures the memory that is held.
pub struct MemoryGauge {
    /// The memory that all processes of this gateway may hold together, in bytes.
    memory: usize,
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
            memory: bytes,
            held_by_other: Cell::new(0),
            measured: Cell::new(None),
            released_at: Cell::new(None),
        }
    }

    /// Records what the other process of this gateway says that it holds, in bytes; `None` without one.
    pub fn set_held_by_other(&self, bytes: Option<usize>) {
        let least = OTHER_PROCESS_PART.of(self.memory);
        self.held_by_other.set(bytes.map_or(0, |bytes| bytes.max(least)));
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

    /// Returns whether memory for one more use may be given out. Freed memory is returned to the kernel before that is
    /// denied.
    pub fn has_room(&self, purpose: Purpose) -> bool {
        let part = match purpose {
            Purpose::Request => REQUEST_PART,
            Purpose::Upload => UPLOAD_PART,
        };
        let limit = part.of(self.memory);
        self.holds_less_than(limit) || (self.release() && self.holds_less_than(limit))
    }

    fn holds_less_than(&self, bytes: usize) -> bool {
        self.held() + self.held_by_other.get() < bytes
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
