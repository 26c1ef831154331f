//! Deciding when the beginning of a response without a declared length may be passed on to the client.
//!
//! Once bytes have been passed on, the client can no longer be told that its request has failed: the response can
//! only be cut off. Whether a response that rests at the deadline goes on is not known, so one that begins shortly
//! before the deadline is buffered until that can be told. Passed on, it goes on at its backend's own pace.

use super::answer_limit::{AnswerLimit, LengthClass};
use std::time::Duration;
use tokio::time::Instant;

/// How long a response may be buffered before the deadline. What a backend has sent must reach the client within 2 s.
pub const MAX_HOLD: Duration = Duration::from_millis(1_750);
/// A response that has made this many rests, and for at least this time, is taken to go on as before.
const STEADY_RESTS: u32 = 3;
const STEADY_TIME: Duration = Duration::from_millis(500);

/// What to do with a response that is buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Pass it on.
    Now,
    /// Go on buffering until more bytes arrive or this time is reached.
    Undecided(Instant),
    /// Tell the client that its request has failed: there is no time left.
    GiveUp,
}

/// The conditions under which one response is passed on.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingPolicy {
    /// When its first bytes arrived.
    pub began_at: Instant,
    /// How long after the deadline it is still waited for.
    pub late_grace: Duration,
}

impl ForwardingPolicy {
    /// Decides about a response of which `limit` tells what has been received, the last bytes at `last_received`.
    pub fn decide(
        &self,
        limit: &AnswerLimit,
        last_received: Instant,
        now: Instant,
        deadline: Instant,
    ) -> Forwarding {
        let known_to_go_on = limit.length_class() != LengthClass::Unknown || last_received > deadline;
        if known_to_go_on || deadline > self.began_at + MAX_HOLD {
            return Forwarding::Now;
        }
        let (rests, give_up_at) = (limit.rests(), deadline + self.late_grace);
        let rest_ends = rests.end_expected(last_received);
        let as_before = rests.count > 0 && now <= rest_ends;
        let steady = as_before && rests.count >= STEADY_RESTS && now >= self.began_at + STEADY_TIME;
        match now < deadline {
            _ if steady => Forwarding::Now,
            true => Forwarding::Undecided(deadline),
            false if as_before && rest_ends < give_up_at => Forwarding::Now,
            false if now < give_up_at => Forwarding::Undecided(give_up_at),
            false => Forwarding::GiveUp,
        }
    }
}
