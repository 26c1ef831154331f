//! What the decisions go by, for the log and the operators.

use crate::api::RefusalReason;
use crate::state::{Gateway, Health};

/// Refusals by their reason, since the start.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusals {
    /// The customer's estimate was over its quota.
    pub over: u64,
    /// No fresh total to go by, and own use was over this gateway's part.
    pub blind: u64,
    /// The fleet was taken to be too busy.
    pub pressed: u64,
    /// No backend might be sent to.
    pub nowhere: u64,
}

/// What the decisions go by at this moment, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Vitals {
    /// Refusals by their reason, since the start.
    pub refusals: Refusals,
    /// Time to completion as expected, and what it usually takes, microseconds.
    pub expected: f64,
    /// Mean latency of late where the fleet is idle.
    pub idle: f64,
    /// Attempts out.
    pub out: u32,
    /// Of these, attempts that got lost.
    pub lost: u32,
    /// Backends listed, and of these the ones that are not in use for their health.
    pub listed: usize,
    /// See `listed`.
    pub ejected: usize,
    /// Backends listed that get nothing new: out by hand, draining, or ejected for their health.
    pub skipped: usize,
    /// What is held: customers, names of counts, requests, timers, and backends listed or not.
    pub customers: usize,
    /// See `customers`.
    pub names: usize,
    /// See `customers`.
    pub requests: usize,
    /// See `customers`.
    pub timers: usize,
    /// See `customers`.
    pub backends: usize,
    /// Pace of calls to the counter, and how many may be out.
    pub pace: f64,
    /// See `pace`.
    pub calls_most: f64,
}

impl Refusals {
    pub(crate) fn count(&mut self, why: RefusalReason) {
        *match why {
            RefusalReason::OverQuota => &mut self.over,
            RefusalReason::Blind => &mut self.blind,
            RefusalReason::Pressed => &mut self.pressed,
            RefusalReason::NoBackend => &mut self.nowhere,
            RefusalReason::GivenUp | RefusalReason::Unknown => return,
        } += 1;
    }
}

impl Gateway {
    /// What the decisions go by at this moment: for the log, which tells one cause of refusals from another.
    pub fn vitals(&self) -> Vitals {
        let listed = self.backends.values().filter(|b| b.listed);
        Vitals {
            refusals: self.refusals,
            expected: self.expected(),
            idle: self.mix_base,
            out: self.out,
            lost: self.lost,
            listed: listed.clone().count(),
            ejected: listed.clone().filter(|b| b.health != Health::Well).count(),
            skipped: listed.filter(|b| !self.usable(b)).count(),
            customers: self.customers.len(),
            names: self.names.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
            backends: self.backends.len(),
            pace: self.pace,
            calls_most: self.calls_most,
        }
    }
}
