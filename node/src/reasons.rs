//! Reasons of refused requests, repeated attempts and closed client connections: counted by reason, and logged for
//! each request at level `debug`.

use caperwind::{Outcome, RefusalReason, SendReason};
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Why this process refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The decision module refused it.
    Decided(RefusalReason),
    /// The maximum number of requests is open.
    TooManyOpen,
    /// The memory budget for bodies is used up.
    BodiesFull,
    /// The memory budget for requests is used up.
    RequestsFull,
}

impl RefusalCause {
    fn name(self) -> &'static str {
        match self {
            RefusalCause::Decided(reason) => reason.name(),
            RefusalCause::TooManyOpen => "too_many_open",
            RefusalCause::BodiesFull => "bodies_full",
            RefusalCause::RequestsFull => "requests_full",
        }
    }
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it or sent invalid HTTP.
    Client,
    /// An answer carried `Connection: close`.
    LastAnswer,
    /// No request came within the idle timeout.
    Idle,
    /// An operator is draining this process.
    Draining,
    /// This process is shutting down.
    Ending,
    /// It was evicted in favour of another connection.
    MadeWay,
    /// The request was received too slowly.
    RequestTooSlow,
    /// The client closed it while a request was waiting for its answer.
    ClientLeft,
    /// The client stopped reading an answer.
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

/// The name of an attempt's outcome in logs and metrics.
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

/// The name of the reason for an attempt in logs and metrics.
fn send_reason_name(reason: SendReason) -> &'static str {
    match reason {
        SendReason::First => "first",
        SendReason::Retry(outcome) => outcome_name(outcome),
        SendReason::Hedge => "hedge",
    }
}

/// Counts by name. Only names that have been counted are reported.
#[derive(Default)]
pub struct CountsByName(RefCell<BTreeMap<&'static str, u64>>);

impl CountsByName {
    /// Increments the count of `name`.
    pub fn count(&self, name: &'static str) {
        *self.0.borrow_mut().entry(name).or_default() += 1;
    }

    /// Returns all counts.
    pub fn report(&self) -> Map<String, Value> {
        self.0.borrow().iter().map(|(name, n)| ((*name).to_owned(), (*n).into())).collect()
    }
}

/// The counts by reason since the process started.
#[derive(Default)]
pub struct ReasonCounts {
    refused: CountsByName,
    repeated: CountsByName,
    closed: CountsByName,
}

impl ReasonCounts {
    /// Counts and logs a refused request, given by its correlation id.
    pub fn record_refusal(&self, request: &str, reason: RefusalCause) {
        self.refused.count(reason.name());
        log::debug!("request {request:?} refused: {}", reason.name());
    }

    /// Logs an attempt that is begun, and counts it unless it is the first one of its request. `request` is the
    /// correlation id of the request.
    pub fn record_attempt(
        &self,
        request: &str,
        attempt: u8,
        backend: &dyn std::fmt::Debug,
        reason: SendReason,
    ) {
        if reason != SendReason::First {
            self.repeated.count(send_reason_name(reason));
        }
        log::debug!("request {request:?} attempt {attempt} to {backend:?}: {}", send_reason_name(reason));
    }

    /// Counts and logs a client connection that has ended, with its number of requests and the correlation id of the
    /// last.
    pub fn record_close(&self, connection: u64, requests: u64, last: Option<&str>, reason: CloseReason) {
        self.closed.count(reason.name());
        log::debug!(
            "connection {connection} closed: {}; {requests} requests, the last {last:?}",
            reason.name()
        );
    }

    /// The counts of refused requests by reason.
    pub fn refused_report(&self) -> Map<String, Value> {
        self.refused.report()
    }

    /// The counts of repeated attempts by the outcome of the attempt before; `hedge` for a hedged attempt.
    pub fn repeated_report(&self) -> Map<String, Value> {
        self.repeated.report()
    }

    /// The counts of closed client connections by reason.
    pub fn closed_report(&self) -> Map<String, Value> {
        self.closed.report()
    }
}
