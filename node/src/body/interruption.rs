//! Why a body that was being passed on ended before it was whole.

use std::fmt;

/// Why an answer ended before its client had all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerInterruption {
    /// The backend ended or reset its connection, or sent what is no proper body.
    BackendBroke,
    /// It is longer than any body may be.
    TooLong,
    /// It is short, or has not proved to be long, and was not whole in its request's time.
    Late,
    /// It is a long one, and its backend has sent nothing for too long.
    Stalled,
    /// Its backend goes on sending, but too little for a long answer.
    TooSlow,
    /// The client closed its connection.
    ClientClosed,
    /// The client kept its connection and read nothing for too long.
    ClientStopped,
    /// This process ends, and the answer did not come to its end in time.
    ProcessEnded,
}

impl AnswerInterruption {
    /// All of them, in the order of their discriminants.
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

    /// Its name in the log and in the metrics.
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

/// Why a request's body ended, or was no longer wanted, before all of it had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadInterruption {
    /// The client closed its connection, or sent what is no proper body.
    ClientBroke,
    /// It is longer than any body may be.
    TooLong,
    /// It comes too slowly.
    TooSlow,
    /// Its connection made way for another one.
    MadeWay,
    /// The request had its final answer before its body was whole.
    AnsweredEarly,
}

impl UploadInterruption {
    /// All of them, in the order of their discriminants.
    pub const ALL: [Self; 5] =
        [Self::ClientBroke, Self::TooLong, Self::TooSlow, Self::MadeWay, Self::AnsweredEarly];

    /// Its name in the log and in the metrics.
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
