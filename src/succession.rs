//! The hand-over from a process that ends: its state goes to its successor, and the units that it has not
//! sent to the counter go to the successor or are sent before it ends.

use crate::api::*;
use crate::settings::*;
use crate::state::{Backend, Customer, Gateway};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The state that a process of this gateway hands over to its successor. Times are on the event clock, which
/// both processes share.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names of the plans and of the classes, in the order of their indices.
    #[serde(default)]
    pub(crate) names: [Vec<String>; 2],
    /// The customers, by their id for a plan.
    pub(crate) customers: Vec<(CustomerId, Customer)>,
    /// The listed backends.
    pub(crate) backends: Vec<(BackendId, SlowStartState)>,
    /// For each class: the mean latency and the latency at idle backends, in microseconds, and the number of
    /// responses on which these rest.
    pub(crate) classes: Vec<(f64, f64, u32)>,
    /// Over all classes: the mean latency and the latency at idle backends, in microseconds.
    #[serde(rename = "mix")]
    pub(crate) mean_latencies: [f64; 2],
}

impl HandoverState {
    /// Removes what does not fit these settings. Plans and classes are identified by their indices. Where
    /// these have another meaning here, a customer would get the quota of another plan.
    pub(crate) fn compatible_with(mut self, cfg: &Config) -> Self {
        let [plans, classes] = cfg.names();
        if self.names[0] != plans || self.customers.iter().any(|(_, c)| c.plan >= plans.len()) {
            self.customers.clear();
        }
        if self.names[1] != classes {
            (self.classes, self.mean_latencies) = (Vec::new(), [0.0; 2]);
        }
        self
    }
}

/// The state of a backend that its slow start depends on.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlowStartState {
    /// See [`Backend::started_at`].
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Micros>,
    /// See [`Backend::presumed_started_at`].
    #[serde(rename = "guessed")]
    pub(crate) presumed_started_at: Option<Micros>,
    /// See [`Backend::recent_sends`].
    #[serde(rename = "sent")]
    pub(crate) recent_sends: VecDeque<Micros>,
}

impl Config {
    /// Returns the names of the plans and of the classes, in the order of their indices.
    fn names(&self) -> [Vec<String>; 2] {
        let plans = self.plans.iter().map(|p| p.name.clone()).collect();
        [plans, self.classes.iter().map(|c| c.name.clone()).collect()]
    }
}

impl Customer {
    /// Returns whether there are units that have not been sent to the counter.
    fn has_unsent(&self) -> bool {
        self.current.unsent != 0.0 || self.previous.unsent != 0.0
    }
}

impl Gateway {
    /// Returns the state to hand over to the next process of this gateway. Units that are not on the counter
    /// yet are included as if they were, as this process still adds them.
    pub fn handover_state(&self) -> HandoverState {
        let handed_over = |customer: &Customer| {
            let mut copy = Customer { pending: Vec::new(), sync_at: None, in_flight: 0, ..customer.clone() };
            for count in [&mut copy.current, &mut copy.previous] {
                // Units that are not on the counter yet are spent for the successor; this process adds them.
                let own = std::mem::take(&mut count.unsent)
                    + std::mem::take(&mut count.correction)
                    + std::mem::take(&mut count.in_call);
                (count.total, count.others_units, count.call_in_flight) =
                    (count.total + own, count.others_units + own, false);
            }
            copy
        };
        let slow_start = |b: &Backend| SlowStartState {
            started_at: b.started_at,
            presumed_started_at: b.presumed_started_at,
            recent_sends: b.recent_sends.clone(),
        };
        let classes = self.class_latency.iter().zip(&self.class_idle_latency).zip(&self.class_samples);
        HandoverState {
            names: self.cfg.names(),
            customers: self.customers.iter().map(|(id, c)| (*id, handed_over(c))).collect(),
            backends: self
                .backends
                .iter()
                .filter(|(_, b)| b.listed)
                .map(|(id, b)| (*id, slow_start(b)))
                .collect(),
            classes: classes.map(|((mean, idle), samples)| (*mean, *idle, *samples)).collect(),
            mean_latencies: [self.mean_latency, self.mean_idle_latency],
        }
    }

    /// Removes and returns the units that this process has not sent to the counter, for another process to
    /// add.
    pub fn take_unsynced_units(&mut self) -> Vec<UnsyncedUnits> {
        let mut all = Vec::new();
        for (id, state) in &mut self.customers {
            for (count, window) in
                [(&mut state.current, state.window), (&mut state.previous, state.window.wrapping_sub(1))]
            {
                let units = std::mem::take(&mut count.unsent) + std::mem::take(&mut count.correction);
                if units != 0.0 {
                    let (customer, plan) = (id.for_plan(state.plan), self.cfg.plans[state.plan].name.clone());
                    all.push(UnsyncedUnits { customer, plan, spread: state.spread, window, units });
                }
            }
        }
        all
    }

    /// Returns whether there are units that have not been sent to the counter.
    pub fn has_unsynced_units(&self) -> bool {
        self.customers.values().any(Customer::has_unsent)
    }

    /// Makes all syncs with unsent units due, for a process that ends, and appends as many counter calls as
    /// the counter can bear now. The caller repeats this until no unsent units are left.
    pub fn flush(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let unsent = self.customers.iter().filter(|(_, c)| c.has_unsent());
        let unsent: Vec<CustomerId> = unsent.map(|(id, _)| *id).collect();
        unsent.into_iter().for_each(|id| self.schedule_sync(id, 0.0));
        self.send_due_syncs();
        actions.append(&mut self.actions);
    }

    /// Takes over the latencies of each class and over all classes; see [`HandoverState`].
    pub(crate) fn restore_latencies(&mut self, classes: Vec<(f64, f64, u32)>, mean_latencies: [f64; 2]) {
        for (i, (mean, idle, samples)) in classes.into_iter().enumerate().take(self.class_latency.len()) {
            (self.class_latency[i], self.class_idle_latency[i], self.class_samples[i]) =
                (mean, idle, samples);
        }
        [self.mean_latency, self.mean_idle_latency] = mean_latencies;
    }
}
