//! The reasons why streaming a body was interrupted before its end.

use std::fmt;

/// Why a response ended before its client had received all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerInterruption {
    /// The backend closed or reset its connection, or sent a malformed body.
    BackendBroke,
    /// The body is longer than [`MAX_BODY_BYTES`](super::MAX_BODY_BYTES).
    TooLong,
    /// The response is not known to be long and was not complete by its request's deadline.
    Late,
    /// The response goes on after the deadline, but its backend has sent nothing for too long.
    Stalled,
    /// The backend kept sending, but the total time allowed after the deadline has passed.
    TooSlow,
    /// The client closed its connection.
    ClientClosed,
    /// The client kept its connection open but read nothing for too long.
    ClientStopped,
    /// This process is shutting down, and the response was not complete in time.
    ProcessEnded,
}

impl AnswerInterruption {
    /// All variants, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::BackendBroke,
        Self::TooLong,
        Self::Late,
        Self::Stalled,
        Self::TooSlow,
        Self::ClientClosed,
        Self::ClientStopped,
        Self::ProcessEnded,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BackendBroke => "backend_broke",
            Self::TooLong => "too_long",
            Self::Late => "late",
            Self::Stalled => "stalled",
            Self::TooSlow => "too_slow",
            Self::ClientClosed => "client_closed",
            Self::ClientStopped => "client_stopped",
            Self::ProcessEnded => "process_ended",
        }
    }
}

impl fmt::Display for AnswerInterruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for AnswerInterruption {}

/// Why a request's body ended, or was no longer needed, before all of it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadInterruption {
    /// The client closed its connection or sent a malformed body.
    ClientBroke,
    /// The body is longer than [`MAX_BODY_BYTES`](super::MAX_BODY_BYTES).
    TooLong,
    /// The client sends the body too slowly.
    TooSlow,
    /// The client's connection was evicted in favour of another one.
    MadeWay,
    /// The request got its final response before its body was complete.
    AnsweredEarly,
}

impl UploadInterruption {
    /// All variants, in the order of their discriminants.
    pub const ALL: [Self; 5] =
        [Self::ClientBroke, Self::TooLong, Self::TooSlow, Self::MadeWay, Self::AnsweredEarly];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientBroke => "client_broke",
            Self::TooLong => "too_long",
            Self::TooSlow => "too_slow",
            Self::MadeWay => "made_way",
            Self::AnsweredEarly => "answered_early",
        }
    }
}

impl fmt::Display for UploadInterruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
