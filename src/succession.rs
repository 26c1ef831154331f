//! What a process leaves as it ends: what it knows to the next one, and what it has spent to that one or the
//! counter.

use crate::api::*;
use crate::state::{Backend, Customer, Gateway};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The state that a process of this gateway hands over to its successor. Times are on the event clock, which
/// both processes share.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names of the plans and classes that its figures mean.
    #[serde(default)]
    pub(crate) names: [Vec<String>; 2],
    pub(crate) customers: Vec<(CustomerId, Customer)>,
    pub(crate) backends: Vec<(BackendId, SlowStartState)>,
    /// By class: latency, its least, and answers that these rest on.
    pub(crate) classes: Vec<(f64, f64, u32)>,
    #[serde(rename = "mix")]
    pub(crate) mean_latencies: [f64; 2],
}

impl HandoverState {
    /// What of it holds under these settings. Danger: plans and classes are told by their places; where these
    /// mean others, a customer would come under another one's plan.
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

/// What the budget for a cold backend goes by.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlowStartState {
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Micros>,
    #[serde(rename = "guessed")]
    pub(crate) presumed_started_at: Option<Micros>,
    #[serde(rename = "sent")]
    pub(crate) recent_sends: VecDeque<Micros>,
}

impl Config {
    /// The names of plans and classes, by their places.
    fn names(&self) -> [Vec<String>; 2] {
        let plans = self.plans.iter().map(|p| p.name.clone()).collect();
        [plans, self.classes.iter().map(|c| c.name.clone()).collect()]
    }
}

impl Customer {
    /// Whether it has units that the counter has not been told of.
    fn has_unsent_units(&self) -> bool {
        self.current.unsent != 0.0 || self.previous.unsent != 0.0
    }
}

impl Gateway {
    /// Returns the state to hand over to the next process of this gateway. Units that are not on the counter
    /// yet are included as if they were, as this process still adds them.
    pub fn handover_state(&self) -> HandoverState {
        let heir = |c: &Customer| {
            let mut c = Customer { held: Vec::new(), sync_at: None, in_flight: 0, ..c.clone() };
            for t in [&mut c.current, &mut c.previous] {
                // What is not on the counter yet is known here as spent, and told there by this process.
                let own = std::mem::take(&mut t.unsent)
                    + std::mem::take(&mut t.correction)
                    + std::mem::take(&mut t.in_call);
                (t.total, t.others_units, t.call_in_flight) = (t.total + own, t.others_units + own, false);
            }
            c
        };
        let cold = |b: &Backend| SlowStartState {
            started_at: b.started_at,
            presumed_started_at: b.presumed_started_at,
            recent_sends: b.recent_sends.clone(),
        };
        let classes = self.class_latency.iter().zip(&self.class_idle_latency).zip(&self.class_samples);
        HandoverState {
            names: self.cfg.names(),
            customers: self.customers.iter().map(|(id, c)| (*id, heir(c))).collect(),
            backends: self.backends.iter().filter(|(_, b)| b.listed).map(|(id, b)| (*id, cold(b))).collect(),
            classes: classes.map(|((lat, base), seen)| (*lat, *base, *seen)).collect(),
            mean_latencies: [self.mean_latency, self.mean_idle_latency],
        }
    }

    /// Removes and returns the units that this process has not sent to the counter, for another process to
    /// add.
    pub fn take_unsynced_units(&mut self) -> Vec<UnsyncedUnits> {
        let mut all = Vec::new();
        for (id, c) in &mut self.customers {
            for (t, window) in [(&mut c.current, c.window), (&mut c.previous, c.window.wrapping_sub(1))] {
                let units = std::mem::take(&mut t.unsent) + std::mem::take(&mut t.correction);
                if units != 0.0 {
                    let (customer, plan) = (id.for_plan(c.plan), self.cfg.plans[c.plan].name.clone());
                    all.push(UnsyncedUnits { customer, plan, spread: c.spread, window, units });
                }
            }
        }
        all
    }

    /// Returns whether there are units that have not been sent to the counter.
    pub fn has_unsynced_units(&self) -> bool {
        self.customers.values().any(Customer::has_unsent_units)
    }

    /// Makes all syncs with unsent units due, for a process that ends, and appends as many counter calls as
    /// the counter can bear now. The caller repeats this until no unsent units are left.
    pub fn flush(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let unsent = self.customers.iter().filter(|(_, c)| c.has_unsent_units());
        let unsent: Vec<CustomerId> = unsent.map(|(id, _)| *id).collect();
        unsent.into_iter().for_each(|id| self.schedule_sync(id, 0.0));
        self.send_due_syncs();
        actions.append(&mut self.actions);
    }

    /// Takes over what answers take, by class and over all.
    pub(crate) fn restore_latencies(&mut self, classes: Vec<(f64, f64, u32)>, mix: [f64; 2]) {
        for (i, (lat, base, seen)) in classes.into_iter().enumerate().take(self.class_latency.len()) {
            (self.class_latency[i], self.class_idle_latency[i], self.class_samples[i]) = (lat, base, seen);
        }
        [self.mean_latency, self.mean_idle_latency] = mix;
    }
}
