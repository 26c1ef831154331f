//! How long the next bytes of an answer are waited for.

use super::interruption::AnswerInterruption;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// A long answer of which nothing has come for so long comes no more.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What is known of an answer's length, and what follows for the time that it has.
pub struct AnswerLimit {
    length: Option<u64>,
    received: u64,
}

impl AnswerLimit {
    /// The limit for an answer of which so much has come; its length is `None` where the backend tells none.
    pub fn new(length: Option<u64>, received: u64) -> Self {
        AnswerLimit { length, received }
    }

    /// Bytes that have come.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Counts bytes that have come; an error where no body may be that long.
    pub fn receive(&mut self, bytes: usize) -> Result<(), AnswerInterruption> {
        self.received += bytes as u64;
        if self.received > MAX_BODY_BYTES {
            return Err(AnswerInterruption::TooLong);
        }
        Ok(())
    }

    /// Whether it is known to be a long answer, which may take longer than its request's time.
    pub fn is_long(&self) -> bool {
        self.length.is_some() || self.received > MAX_BUFFERED_BYTES as u64
    }

    /// When its next bytes, waited for since `waiting_since`, are given up, and why.
    pub fn give_up(&self, deadline: Instant, waiting_since: Instant) -> (Instant, AnswerInterruption) {
        if self.is_long() {
            (deadline.max(waiting_since + STALL_TIMEOUT), AnswerInterruption::Stalled)
        } else {
            (deadline, AnswerInterruption::Late)
        }
    }
}
