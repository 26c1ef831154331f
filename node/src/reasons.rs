//! Why requests are refused and attempts repeated, and why clients' connections end: counted by reason, and told of each
//! request at the log's `debug` level.

use caperwind::{Outcome, RefusalReason, SendReason};
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Why this side refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The decisions say so.
    Decided(RefusalReason),
    /// As many requests are open as may be.
    TooManyOpen,
    /// Bodies take all the memory that they may.
    BodiesFull,
}

impl Refused {
    fn name(self) -> &'static str {
        match self {
            Refused::Decided(why) => why.name(),
            Refused::TooManyOpen => "too_many_open",
            Refused::BodiesFull => "bodies_full",
        }
    }
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client closed it, or what came could not be read as HTTP.
    Client,
    /// An answer was the last one on it.
    LastAnswer,
    /// Nothing was asked on it for long.
    Idle,
    /// Operators drain this process.
    Draining,
    /// This process ends.
    Ending,
    /// It made way for another one.
    MadeWay,
    /// Its request came too slowly.
    RequestTooSlow,
    /// Its client was seen to have gone while its request waited.
    ClientLeft,
    /// Its client took nothing of an answer.
    ClientStopped,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::LastAnswer => "last_answer",
            CloseReason::Idle => "idle",
            CloseReason::Draining => "draining",
            CloseReason::Ending => "ending",
            CloseReason::MadeWay => "made_way",
            CloseReason::RequestTooSlow => "request_too_slow",
            CloseReason::ClientLeft => "client_left",
            CloseReason::ClientStopped => "client_stopped",
        }
    }
}

/// An attempt's outcome as logs and metrics name it.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

fn send_reason_name(why: SendReason) -> &'static str {
    match why {
        SendReason::First => "first",
        SendReason::Retry(outcome) => outcome_name(outcome),
        SendReason::Hedge => "hedge",
    }
}

/// Counts under names, of which those that have come up are told.
#[derive(Default)]
pub struct CountsByName(RefCell<BTreeMap<&'static str, u64>>);

impl CountsByName {
    /// Counts one more.
    pub fn count(&self, name: &'static str) {
        *self.0.borrow_mut().entry(name).or_default() += 1;
    }

    /// All counts.
    pub fn report(&self) -> Map<String, Value> {
        self.0.borrow().iter().map(|(name, n)| ((*name).to_owned(), (*n).into())).collect()
    }
}

/// Counts since the process began.
#[derive(Default)]
pub struct ReasonCounts {
    refused: CountsByName,
    repeated: CountsByName,
    closed: CountsByName,
}

impl ReasonCounts {
    /// A request was refused.
    pub fn refused(&self, request: &str, why: Refused) {
        self.refused.count(why.name());
        log::debug!("request {request:?} refused: {}", why.name());
    }

    /// An attempt of a request is begun; the first one is none of those that repeat it.
    pub fn sent(&self, request: &str, attempt: u8, backend: &dyn std::fmt::Debug, why: SendReason) {
        if why != SendReason::First {
            self.repeated.count(send_reason_name(why));
        }
        log::debug!("request {request:?} attempt {attempt} to {backend:?}: {}", send_reason_name(why));
    }

    /// A client's connection has ended, after so many requests.
    pub fn closed(&self, connection: u64, requests: u64, last: Option<&str>, why: CloseReason) {
        self.closed.count(why.name());
        log::debug!("connection {connection} closed: {}; {requests} requests, the last {last:?}", why.name());
    }

    /// Refusals by reason.
    pub fn refused_report(&self) -> Map<String, Value> {
        self.refused.report()
    }

    /// Further attempts, by how the one before ended; `hedge` beside one that is out.
    pub fn repeated_report(&self) -> Map<String, Value> {
        self.repeated.report()
    }

    /// Ends of clients' connections by reason.
    pub fn closed_report(&self) -> Map<String, Value> {
        self.closed.report()
    }
}
