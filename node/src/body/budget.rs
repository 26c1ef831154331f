//! The memory budget that all buffered bodies share.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes; clones share it.
#[derive(Clone)]
pub struct Budget {
    available: Rc<Cell<usize>>,
    total: usize,
}

/// Bytes reserved from a [`Budget`], returned to it on drop.
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `bytes`, all of them available.
    pub fn new(bytes: usize) -> Self {
        Budget { available: Rc::new(Cell::new(bytes)), total: bytes }
    }

    /// Reserves `bytes`; returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.available.set(self.available.get().checked_sub(bytes)?);
        Some(Reservation { budget: self.clone(), bytes })
    }

    /// Reserves `bytes` for a use less urgent than bodies; returns `None` if less than half of the budget would stay
    /// available to bodies.
    pub fn reserve_spare(&self, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes).filter(|_| self.available.get() >= self.total / 2)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let available = &self.budget.available;
        available.set(available.get() + self.bytes);
    }
}
