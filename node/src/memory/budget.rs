//! Memory budgets that all uses of one kind share.

use std::cell::Cell;
use std::rc::Rc;

/// A part of an amount of memory.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The number of equal pieces in the part.
    pub pieces: usize,
    /// The number of pieces in the whole.
    pub whole: usize,
}

impl Part {
    /// Returns this part of `bytes`.
    pub fn of(self, bytes: usize) -> usize {
        bytes / self.whole * self.pieces
    }
}

/// A budget of bytes; clones share it.
#[derive(Clone)]
pub struct Budget(Rc<BudgetState>);

struct BudgetState {
    used: Cell<usize>,
    configured: usize,
    /// The bytes that may be used now.
    total: Cell<usize>,
}

/// Bytes reserved from a [`Budget`], returned to it on drop.
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `bytes`, all of them available.
    pub fn new(bytes: usize) -> Self {
        Budget(Rc::new(BudgetState { used: Cell::new(0), configured: bytes, total: Cell::new(bytes) }))
    }

    /// Leaves all of the budget to this process, or half of it while another one shares it. What is reserved already
    /// stays reserved.
    pub fn set_shared(&self, shared: bool) {
        let processes = if shared { 2 } else { 1 };
        self.0.total.set(self.0.configured / processes);
    }

    /// Returns the number of bytes that are available.
    fn available(&self) -> usize {
        self.0.total.get().saturating_sub(self.0.used.get())
    }

    /// Returns whether more is reserved than may be used now, since another process has come to share the budget.
    pub fn is_exceeded(&self) -> bool {
        self.0.used.get() > self.0.total.get()
    }

    /// Reserves `bytes`; returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        if bytes > self.available() {
            return None;
        }
        self.0.used.set(self.0.used.get() + bytes);
        Some(Reservation { budget: self.clone(), bytes })
    }

    /// Reserves `bytes` for a use that must leave room for others: returns `None` if more than `part` of the budget would
    /// be reserved.
    pub fn reserve_within(&self, part: Part, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes).filter(|_| self.0.used.get() <= part.of(self.0.total.get()))
    }
}

impl Reservation {
    /// Adds another reservation from the same budget to this one.
    pub fn merge(&mut self, mut other: Reservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = &self.budget.0.used;
        used.set(used.get() - self.bytes);
    }
}
