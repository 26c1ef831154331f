//! What a process leaves as it ends: what it knows to the next one, and what it has spent to that one or the counter.

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
    pub(crate) backends: Vec<(BackendId, Cold)>,
    /// By class: latency, its least, and answers that these rest on.
    pub(crate) classes: Vec<(f64, f64, u32)>,
    pub(crate) mix: [f64; 2],
}

impl HandoverState {
    /// What of it holds under these settings. Danger: plans and classes are told by their places; where these
    /// mean others, a customer would come under another one's plan.
    pub(crate) fn fitting(mut self, cfg: &Config) -> Self {
        let [plans, classes] = cfg.names();
        if self.names[0] != plans || self.customers.iter().any(|(_, c)| c.plan >= plans.len()) {
            self.customers.clear();
        }
        if self.names[1] != classes {
            (self.classes, self.mix) = (Vec::new(), [0.0; 2]);
        }
        self
    }
}

/// What the budget for a cold backend goes by.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Cold {
    pub(crate) started: Option<Micros>,
    pub(crate) guessed: Option<Micros>,
    pub(crate) sent: VecDeque<Micros>,
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
    fn has_unsent(&self) -> bool {
        self.cur.unsent != 0.0 || self.prev.unsent != 0.0
    }
}

impl Gateway {
    /// Returns the state to hand over to the next process of this gateway. Units that are not on the counter
    /// yet are included as if they were, as this process still adds them.
    pub fn handover_state(&self) -> HandoverState {
        let heir = |c: &Customer| {
            let mut c = Customer { pending: Vec::new(), sync_at: None, out: 0, ..c.clone() };
            for t in [&mut c.cur, &mut c.prev] {
                // What is not on the counter yet is known here as spent, and told there by this process.
                let own = std::mem::take(&mut t.unsent)
                    + std::mem::take(&mut t.fix)
                    + std::mem::take(&mut t.in_call);
                (t.total, t.others, t.calling) = (t.total + own, t.others + own, false);
            }
            c
        };
        let cold = |b: &Backend| Cold { started: b.started, guessed: b.guessed, sent: b.sent.clone() };
        let classes = self.class_lat.iter().zip(&self.class_base).zip(&self.class_seen);
        HandoverState {
            names: self.cfg.names(),
            customers: self.customers.iter().map(|(id, c)| (*id, heir(c))).collect(),
            backends: self.backends.iter().filter(|(_, b)| b.listed).map(|(id, b)| (*id, cold(b))).collect(),
            classes: classes.map(|((lat, base), seen)| (*lat, *base, *seen)).collect(),
            mix: [self.mix_lat, self.mix_base],
        }
    }

    /// Removes and returns the units that this process has not sent to the counter, for another process to
    /// add.
    pub fn take_unsynced_units(&mut self) -> Vec<UnsyncedUnits> {
        let mut all = Vec::new();
        for (id, c) in &mut self.customers {
            for (t, window) in [(&mut c.cur, c.window), (&mut c.prev, c.window.wrapping_sub(1))] {
                let units = std::mem::take(&mut t.unsent) + std::mem::take(&mut t.fix);
                if units != 0.0 {
                    let (customer, plan) = (id.under(c.plan), self.cfg.plans[c.plan].name.clone());
                    all.push(UnsyncedUnits { customer, plan, spread: c.spread, window, units });
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
        unsent.into_iter().for_each(|id| self.schedule(id, 0.0));
        self.pump_syncs();
        actions.append(&mut self.acts);
    }

    /// Takes over what answers take, by class and over all.
    pub(crate) fn inherit_latencies(&mut self, classes: Vec<(f64, f64, u32)>, mix: [f64; 2]) {
        for (i, (lat, base, seen)) in classes.into_iter().enumerate().take(self.class_lat.len()) {
            (self.class_lat[i], self.class_base[i], self.class_seen[i]) = (lat, base, seen);
        }
        [self.mix_lat, self.mix_base] = mix;
    }
}
