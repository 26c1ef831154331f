//! Runtime invariant checks right before steps that cannot be undone: sending a request, repeating it, closing a
//! client's connection, and reporting readiness.
//!
//! The decision module and the code that carries out its decisions keep these rules themselves. The guard checks the
//! same facts again, in one place, immediately before the step. A violation means that this program has a fault: the
//! step is not taken, the violation is counted and logged, and the process goes on.

use crate::logging::LimitedLog;
use caperwind::{Effect, Micros, Outcome};
use serde_json::{Map, Value};
use std::cell::Cell;
use std::time::Duration;

/// By how much the time announced to a backend may exceed the time left, as it is rounded up to a millisecond.
const ANNOUNCED_TIME_SLACK: Duration = Duration::from_millis(2);

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Sending: the client has closed its connection.
    SendForClosedClient,
    /// Sending: the backend is draining, gone, at another address, or disabled by an operator.
    SendToUnwantedBackend,
    /// Sending: no time is left.
    SendAfterDeadline,
    /// Sending: the time announced to the backend exceeds the time left.
    SendWithTooMuchTime,
    /// Repeating: a backend may have processed an earlier attempt, and the class does not allow repeats.
    RepeatOfUnsafe,
    /// Repeating: a backend may have processed an earlier attempt, and the time window for repeats has passed.
    RepeatAfterWindow,
    /// Repeating: the maximum number of attempts has been made.
    TooManyAttempts,
    /// Repeating: another attempt is in flight, and hedging is disabled.
    SecondCopy,
    /// Closing: the request on the connection has been read and has no answer.
    CloseOverRequest,
    /// Readiness: the process would report itself ready while it does not accept connections or is shutting down.
    ReadyTooSoon,
    /// A task that must run as long as the process has panicked.
    TaskPanicked,
}

impl Violation {
    /// All violations, in the order of their discriminants.
    pub const ALL: [Self; 11] = [
        Self::SendForClosedClient,
        Self::SendToUnwantedBackend,
        Self::SendAfterDeadline,
        Self::SendWithTooMuchTime,
        Self::RepeatOfUnsafe,
        Self::RepeatAfterWindow,
        Self::TooManyAttempts,
        Self::SecondCopy,
        Self::CloseOverRequest,
        Self::ReadyTooSoon,
        Self::TaskPanicked,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SendForClosedClient => "send_for_closed_client",
            Self::SendToUnwantedBackend => "send_to_unwanted_backend",
            Self::SendAfterDeadline => "send_after_deadline",
            Self::SendWithTooMuchTime => "send_with_too_much_time",
            Self::RepeatOfUnsafe => "repeat_of_unsafe",
            Self::RepeatAfterWindow => "repeat_after_window",
            Self::TooManyAttempts => "too_many_attempts",
            Self::SecondCopy => "second_copy",
            Self::CloseOverRequest => "close_over_request",
            Self::ReadyTooSoon => "ready_too_soon",
            Self::TaskPanicked => "task_panicked",
        }
    }
}

/// The facts checked right before a request is written to a backend.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// Whether the client has closed its connection.
    pub client_closed: bool,
    /// Whether the backend is in service and the connection leads to it.
    pub backend_in_service: bool,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The time limit that the request header announces to the backend.
    pub announced_time: Duration,
}

impl SendFacts {
    /// Returns the violation if the request must not be written.
    pub fn check(&self) -> Result<(), Violation> {
        if self.client_closed {
            return Err(Violation::SendForClosedClient);
        }
        if !self.backend_in_service {
            return Err(Violation::SendToUnwantedBackend);
        }
        if self.time_left.is_zero() {
            return Err(Violation::SendAfterDeadline);
        }
        if self.announced_time > self.time_left + ANNOUNCED_TIME_SLACK {
            return Err(Violation::SendWithTooMuchTime);
        }
        Ok(())
    }
}

/// An attempt that was begun earlier.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When the attempt was begun.
    pub started_at: Micros,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl EarlierAttempt {
    /// Whether the backend may have processed the request.
    fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

/// The facts checked right before an attempt is begun.
#[derive(Clone, Copy, Debug)]
pub struct RepeatFacts<'a> {
    /// Whether requests of the class may be repeated.
    pub effect: Effect,
    /// The earlier attempts of the request.
    pub earlier: &'a [EarlierAttempt],
    /// The current time.
    pub now: Micros,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts may be in flight at the same time.
    pub hedging: bool,
}

impl RepeatFacts<'_> {
    /// Returns the violation if the attempt must not be begun.
    pub fn check(&self) -> Result<(), Violation> {
        if self.earlier.len() >= self.max_attempts as usize {
            return Err(Violation::TooManyAttempts);
        }
        if !self.hedging && self.earlier.iter().any(|a| a.outcome.is_none()) {
            return Err(Violation::SecondCopy);
        }
        let Some(earlier) = self.earlier.iter().find(|a| a.may_have_run()) else { return Ok(()) };
        match self.effect {
            Effect::Pure => Ok(()),
            Effect::Unsafe => Err(Violation::RepeatOfUnsafe),
            Effect::Keyed { window, .. } if self.now < earlier.started_at.saturating_add(window) => Ok(()),
            Effect::Keyed { .. } => Err(Violation::RepeatAfterWindow),
        }
    }
}

/// Counts and logs violations.
#[derive(Default)]
pub struct Guard {
    counts: [Cell<u64>; Violation::ALL.len()],
    log: LimitedLog,
}

impl Guard {
    /// Counts a violation and logs it with a description of the refused step.
    pub fn record(&self, violation: Violation, step: &str) {
        let count = &self.counts[violation as usize];
        count.set(count.get() + 1);
        self.log.line(&format!("guard: {}: {step}", violation.name()));
    }

    /// The number of times that a violation has occurred since the process started.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts[violation as usize].get()
    }

    /// The counts of all violations by name.
    pub fn report(&self) -> Map<String, Value> {
        Violation::ALL.iter().map(|v| (v.name().to_owned(), self.count(*v).into())).collect()
    }
}
