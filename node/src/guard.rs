//! The last check before a step that can't be taken back: sending, repeating, closing, starting.
//!
//! The rules are kept by the decisions and by the code that carries them out. A guard looks at the same facts once
//! more, in one place, right before the step. Where it has to refuse, this program has a fault: the step is not taken,
//! counted and logged, and the process goes on.

use crate::logging::LimitedLog;
use caperwind::{Effect, Micros, Outcome};
use serde_json::{Map, Value};
use std::cell::Cell;
use std::time::Duration;

/// The time told to a backend may be so much more than is left: it is rounded up to a millisecond.
const TOLD_SLACK: Duration = Duration::from_millis(2);

/// A step that breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Sending: the client has closed its connection.
    SendForClosedClient,
    /// Sending: the backend drains, is gone, elsewhere, or out by hand.
    SendToUnwantedBackend,
    /// Sending: no time is left.
    SendAfterDeadline,
    /// Sending: the backend would be told more time than is left.
    SendWithTooMuchTime,
    /// Repeating: an attempt before it may have run, and the class does not allow another.
    RepeatOfUnsafe,
    /// Repeating: an attempt before it may have run, and the window for another is over.
    RepeatAfterWindow,
    /// Repeating: there have been as many attempts as are allowed.
    TooManyAttempts,
    /// Repeating: another attempt is out, and the settings allow one.
    SecondCopy,
    /// Closing: the connection's request has been read, and has no answer.
    CloseOverRequest,
    /// Starting: the process would call itself ready with no list of backends, or while it ends.
    ReadyTooSoon,
    /// A task that has to last has panicked.
    TaskPanicked,
}

impl Violation {
    /// All of them, in the order of their discriminants.
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

    /// Its name in logs and metrics.
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

/// What holds as an attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The client has closed its connection.
    pub client_closed: bool,
    /// The backend is in service, and the connection leads to it.
    pub backend_in_service: bool,
    /// What is left of the request's time.
    pub time_left: Duration,
    /// The time that the backend is told.
    pub announced_time: Duration,
}

impl SendFacts {
    /// Whether the attempt may be written.
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
        if self.announced_time > self.time_left + TOLD_SLACK {
            return Err(Violation::SendWithTooMuchTime);
        }
        Ok(())
    }
}

/// An attempt that has been made.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When it was begun.
    pub started_at: Micros,
    /// How it ended; `None` while it is out.
    pub outcome: Option<Outcome>,
}

impl EarlierAttempt {
    fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

/// What holds as an attempt is about to be begun.
#[derive(Clone, Copy, Debug)]
pub struct RepeatFacts<'a> {
    /// What may be done with requests of its class.
    pub effect: Effect,
    /// The attempts before it.
    pub earlier: &'a [EarlierAttempt],
    /// Now.
    pub now: Micros,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// Whether two may be out.
    pub hedging: bool,
}

impl RepeatFacts<'_> {
    /// Whether the attempt may be begun.
    pub fn check(&self) -> Result<(), Violation> {
        if self.earlier.len() >= self.max_attempts as usize {
            return Err(Violation::TooManyAttempts);
        }
        if !self.hedging && self.earlier.iter().any(|a| a.outcome.is_none()) {
            return Err(Violation::SecondCopy);
        }
        let Some(ran) = self.earlier.iter().find(|a| a.may_have_run()) else { return Ok(()) };
        match self.effect {
            Effect::Pure => Ok(()),
            Effect::Unsafe => Err(Violation::RepeatOfUnsafe),
            Effect::Keyed { window, .. } if self.now < ran.started_at.saturating_add(window) => Ok(()),
            Effect::Keyed { .. } => Err(Violation::RepeatAfterWindow),
        }
    }
}

/// Counts and logs the steps that were refused.
#[derive(Default)]
pub struct Guard {
    counts: [Cell<u64>; Violation::ALL.len()],
    log: LimitedLog,
}

impl Guard {
    /// Takes in that a step was refused, and what it was.
    pub fn record(&self, violation: Violation, what: &str) {
        let count = &self.counts[violation as usize];
        count.set(count.get() + 1);
        self.log.line(&format!("guard: {}: {what}", violation.name()));
    }

    /// How often it was refused since the start.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts[violation as usize].get()
    }

    /// All counts by name.
    pub fn report(&self) -> Map<String, Value> {
        Violation::ALL.iter().map(|v| (v.name().to_owned(), self.count(*v).into())).collect()
    }
}
