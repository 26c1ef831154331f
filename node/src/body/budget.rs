//! The memory that bodies may hold together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that bodies may hold together.
#[derive(Clone)]
pub struct Budget {
    available: Rc<Cell<usize>>,
    total: usize,
}

/// A part of the budget, returned when it is dropped.
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// A budget of so many bytes, all of them available.
    pub fn new(bytes: usize) -> Self {
        Budget { available: Rc::new(Cell::new(bytes)), total: bytes }
    }

    /// Reserves so many bytes; `None` where fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.available.set(self.available.get().checked_sub(bytes)?);
        Some(Reservation { budget: self.clone(), bytes })
    }

    /// The same for what is less urgent than bodies: half of the budget is left to these.
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
