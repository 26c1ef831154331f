//! Diagnostics of a gateway, for the log and the metrics.

use crate::api::RefusalReason;
use crate::state::{Gateway, Health};

/// Counts of refusals by reason since the process started.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalCounts {
    /// The customer's estimated use was over its quota.
    pub over_quota: u64,
    /// There was no fresh total from the counter, and the use seen here was over this gateway's share of the
    /// quota.
    pub no_fresh_total: u64,
    /// The backends were estimated to be too busy.
    pub overloaded: u64,
    /// There was no backend that the request might be sent to.
    pub no_backend: u64,
}

/// A snapshot of the state that decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Diagnostics {
    /// Counts of refusals by reason since the process started.
    pub refusals: RefusalCounts,
    /// The expected time to completion of a new request, in microseconds.
    pub expected_latency_us: f64,
    /// The mean latency over all classes when backends are idle, in microseconds; 0 before the first
    /// response.
    pub idle_latency_us: f64,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The number of attempts in flight that no backend seems to work on: later ones to the same backend have
    /// been answered, or the body of the request is still being received.
    pub stalled: u32,
    /// The number of listed backends.
    pub listed_backends: usize,
    /// The number of listed backends that are ejected for their health or on trial.
    pub ejected_backends: usize,
    /// The number of listed backends that get no new requests: disabled by an operator, draining, ejected or
    /// on trial.
    pub skipped_backends: usize,
    /// The number of customers held in memory, each plan of a customer counted apart.
    pub customers: usize,
    /// The number of counter keys held in memory.
    pub counter_keys: usize,
    /// The number of requests held in memory, including those with a final answer and an attempt in flight.
    pub requests: usize,
    /// The number of timers set.
    pub timers: usize,
    /// The number of backends held in memory, listed or not.
    pub known_backends: usize,
    /// The fraction of the wanted counter calls that the counter can bear, above 0 to 1.
    pub call_pace: f64,
    /// The number of counter calls that may be in flight at once.
    pub max_calls: f64,
}

impl RefusalCounts {
    /// Counts a refusal, unless its reason is `GivenUp` or `Unknown`.
    pub(crate) fn count(&mut self, reason: RefusalReason) {
        *match reason {
            RefusalReason::OverQuota => &mut self.over_quota,
            RefusalReason::NoFreshTotal => &mut self.no_fresh_total,
            RefusalReason::Overloaded => &mut self.overloaded,
            RefusalReason::NoBackend => &mut self.no_backend,
            RefusalReason::GivenUp | RefusalReason::Unknown | RefusalReason::TooManyCustomers => return,
        } += 1;
    }
}

impl Gateway {
    /// Returns a snapshot of the state that decisions depend on. The log shows it to tell the causes of
    /// refusals apart.
    pub fn diagnostics(&self) -> Diagnostics {
        let listed = self.backends.values().filter(|b| b.listed);
        Diagnostics {
            refusals: self.refusals,
            expected_latency_us: self.expected_latency(),
            idle_latency_us: self.mean_idle_latency,
            in_flight: self.in_flight,
            stalled: self.stalled,
            listed_backends: listed.clone().count(),
            ejected_backends: listed.clone().filter(|b| b.health != Health::Healthy).count(),
            skipped_backends: listed.filter(|b| !self.is_usable(b)).count(),
            customers: self.customers.len(),
            counter_keys: self.counter_keys.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
            known_backends: self.backends.len(),
            call_pace: self.call_pace,
            max_calls: self.max_calls,
        }
    }
}
