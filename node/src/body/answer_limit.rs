//! How long the next bytes of an answer are waited for.
//!
//! A short answer has to be whole in its request's time, a long one may take longer for as long as its backend goes on
//! sending. Where the backend tells no length, an answer may prove to be either: it is taken for a short one that never
//! ends once nothing has come of it since its request's time, and is waited for like a long one as long as more comes.
//! Only the time in which this side asks for more counts, not that in which the client does not read.

use super::interruption::AnswerInterruption;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// After its request's time, an answer that is not known to be long has so much longer to go on: its client has to be
/// told within half a second that no more comes.
pub const LATE_GRACE: Duration = Duration::from_millis(400);
/// A long answer of which nothing has come for so long comes no more. Four lost segments in a row, which TCP sends
/// again after 0.2 s, 0.4 s, 0.8 s and 1.6 s, do not interrupt it.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Waiting in all, after its request's time, for an answer that has still not proved to be long.
pub const MAX_UNKNOWN_LENGTH_WAIT: Duration = Duration::from_secs(10);
/// Waiting in all, after its request's time, for a long answer.
pub const MAX_LONG_WAIT: Duration = Duration::from_secs(900);

/// What is known of an answer's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LengthClass {
    /// The backend told a length that is held whole elsewhere.
    Short,
    /// No length was told, and not enough has come to know.
    Unknown,
    /// A longer length was told, or has come.
    Long,
}

/// The time that an answer has.
pub struct AnswerLimit {
    length: Option<u64>,
    received: u64,
    /// Since when its next bytes are waited for; `None` while nobody asks for them.
    waiting_since: Option<Instant>,
    /// Waiting after its request's time that has ended with bytes.
    waited_late: Duration,
}

impl AnswerLimit {
    /// The limit for an answer of which so much has come; its length is `None` where the backend tells none.
    pub fn new(length: Option<u64>, received: u64) -> Self {
        AnswerLimit { length, received, waiting_since: None, waited_late: Duration::ZERO }
    }

    /// Bytes that have come.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Counts bytes that have come; an error where no body may be that long.
    pub fn receive(
        &mut self,
        now: Instant,
        deadline: Instant,
        bytes: usize,
    ) -> Result<(), AnswerInterruption> {
        if let Some(since) = self.waiting_since.take() {
            self.waited_late += now.saturating_duration_since(since.max(deadline));
        }
        self.received += bytes as u64;
        if self.received > MAX_BODY_BYTES {
            return Err(AnswerInterruption::TooLong);
        }
        Ok(())
    }

    /// What is known of its length by now.
    pub fn length_class(&self) -> LengthClass {
        let long = |bytes: u64| bytes > MAX_BUFFERED_BYTES as u64;
        match self.length {
            Some(length) if long(length) => LengthClass::Long,
            Some(_) => LengthClass::Short,
            None if long(self.received) => LengthClass::Long,
            None => LengthClass::Unknown,
        }
    }

    /// Waits for its next bytes, from `now` on if it did not wait before; tells when they are given up, and why.
    pub fn wait(&mut self, now: Instant, deadline: Instant) -> (Instant, AnswerInterruption) {
        let since = *self.waiting_since.get_or_insert(now);
        let late = (deadline + LATE_GRACE, AnswerInterruption::Late);
        let stalled = (deadline.max(since + STALL_TIMEOUT), AnswerInterruption::Stalled);
        match self.length_class() {
            LengthClass::Short => late,
            LengthClass::Unknown if since <= deadline => late,
            LengthClass::Unknown => self.sooner(stalled, since, deadline, MAX_UNKNOWN_LENGTH_WAIT),
            LengthClass::Long => self.sooner(stalled, since, deadline, MAX_LONG_WAIT),
        }
    }

    /// The sooner of a limit and the end of all waiting.
    fn sooner(
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
