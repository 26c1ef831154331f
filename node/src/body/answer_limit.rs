//! Time limits for receiving a response from a backend.
//!
//! A short response has to be complete by its request's deadline. A long one may take longer, as long as its backend
//! keeps sending. A response of unknown length may turn out to be either: if no bytes arrive after the deadline, it
//! is treated as a short response that never ends, unless its backend has rested for as long before; while bytes keep
//! arriving, it is treated like a long one. Only the time in which the gateway is ready to read counts, not the time in
//! which the client does not accept data.

use super::interruption::AnswerInterruption;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// How long after the deadline a short response, or one of unknown length of which no bytes have arrived since the
/// deadline, is still waited for at least. The client has to be told within half a second of the deadline that the response is
/// interrupted.
pub const LATE_GRACE: Duration = Duration::from_millis(400);
/// A long response from which no bytes arrive for this time has stalled. Four consecutive losses of a segment, which
/// TCP retransmits after 0.2 s, 0.4 s, 0.8 s and 1.6 s, stay below it.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum total wait after the deadline for a response that keeps arriving but is still not known to be long.
pub const MAX_UNKNOWN_LENGTH_WAIT: Duration = Duration::from_secs(10);
/// The maximum total wait after the deadline for a long response.
pub const MAX_LONG_WAIT: Duration = Duration::from_secs(900);

/// What is known so far of a response's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LengthClass {
    /// The backend declared a length of at most [`MAX_BUFFERED_BYTES`].
    Short,
    /// The backend declared no length, and at most [`MAX_BUFFERED_BYTES`] have been received.
    Unknown,
    /// More than [`MAX_BUFFERED_BYTES`] have been declared or received.
    Long,
}

/// A wait for more bytes of at least this length counts as a rest of the backend. The network causes shorter ones.
const MIN_REST: Duration = Duration::from_millis(20);

/// The rests that a backend has made between pieces of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rests {
    /// The number of rests that ended with more bytes.
    pub count: u32,
    /// The longest of them.
    pub longest: Duration,
}

impl Rests {
    fn record(&mut self, wait: Duration) {
        if wait >= MIN_REST {
            self.count += 1;
            self.longest = self.longest.max(wait);
        }
    }

    /// Returns when a rest that began at `since` should have ended, if the response goes on as before: half as long
    /// again as the longest one.
    pub fn end_expected(&self, since: Instant) -> Instant {
        since + self.longest + self.longest / 2
    }
}

/// Tracks how long one response may still be waited for.
pub struct AnswerLimit {
    length: Option<u64>,
    received: u64,
    rests: Rests,
    /// When the current wait for more bytes began; `None` while nobody is waiting.
    waiting_since: Option<Instant>,
    /// The total of the waits after the deadline that ended with bytes received.
    waited_late: Duration,
}

impl AnswerLimit {
    /// Creates the limit for a response of which `received` bytes have arrived. `length` is its length in bytes,
    /// `None` if the backend declares none.
    pub fn new(length: Option<u64>, received: u64) -> Self {
        AnswerLimit {
            length,
            received,
            rests: Rests::default(),
            waiting_since: None,
            waited_late: Duration::ZERO,
        }
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the rests that the backend has made so far.
    pub fn rests(&self) -> Rests {
        self.rests
    }

    /// Records that `bytes` were received at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerInterruption::TooLong`] if the body exceeds [`MAX_BODY_BYTES`].
    pub fn receive(
        &mut self,
        now: Instant,
        deadline: Instant,
        bytes: usize,
    ) -> Result<(), AnswerInterruption> {
        if let Some(since) = self.waiting_since.take() {
            if self.received > 0 {
                self.rests.record(now.saturating_duration_since(since));
            }
            self.waited_late += now.saturating_duration_since(since.max(deadline));
        }
        self.received += bytes as u64;
        if self.received > MAX_BODY_BYTES {
            return Err(AnswerInterruption::TooLong);
        }
        Ok(())
    }

    /// Returns what is known of the length so far.
    pub fn length_class(&self) -> LengthClass {
        let is_long = |bytes: u64| bytes > MAX_BUFFERED_BYTES as u64;
        match self.length {
            Some(length) if is_long(length) => LengthClass::Long,
            Some(_) => LengthClass::Short,
            None if is_long(self.received) => LengthClass::Long,
            None => LengthClass::Unknown,
        }
    }

    /// Begins to wait for more bytes at `now`, unless a wait is already in progress. Returns when the wait is to be
    /// given up, and the reason for the interruption in that case.
    pub fn wait(&mut self, now: Instant, deadline: Instant) -> (Instant, AnswerInterruption) {
        let since = *self.waiting_since.get_or_insert(now);
        let late = (deadline + LATE_GRACE, AnswerInterruption::Late);
        let stalled = (deadline.max(since + STALL_TIMEOUT), AnswerInterruption::Stalled);
        match self.length_class() {
            LengthClass::Short => late,
            // A backend that has rested for as long before is taken to go on.
            LengthClass::Unknown if since <= deadline => {
                let rest_end = self.rests.end_expected(since).min(stalled.0);
                (late.0.max(rest_end), AnswerInterruption::Late)
            }
            LengthClass::Unknown => self.cap_total_wait(stalled, since, deadline, MAX_UNKNOWN_LENGTH_WAIT),
            LengthClass::Long => self.cap_total_wait(stalled, since, deadline, MAX_LONG_WAIT),
        }
    }

    /// Returns the earlier of `limit` and the time at which the total wait after the deadline reaches `max_wait`.
    fn cap_total_wait(
        &self,
        limit: (Instant, AnswerInterruption),
        since: Instant,
        deadline: Instant,
        max_wait: Duration,
    ) -> (Instant, AnswerInterruption) {
        let end = since.max(deadline) + max_wait.saturating_sub(self.waited_late);
        if end < limit.0 {
            (end, AnswerInterruption::TooSlow)
        } else {
            limit
        }
    }
}
