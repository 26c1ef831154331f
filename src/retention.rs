//! Which customers' state is kept: idle customers are forgotten, and others make way for new ones where as many are known as
//! may be.

use crate::api::*;
use crate::logic::RETENTION_TIME;
use crate::state::*;
use std::collections::BTreeSet;

/// The part of the known customers that makes way at once, as one of this many parts.
const EVICTED_PART: usize = 8;
/// How long no other customer is looked for, in microseconds, after too few could make way.
const EVICTION_PAUSE: Micros = 10_000;

impl Customer {
    /// Returns whether nothing is lost if this state is forgotten, apart from what the counter's totals tell again: no
    /// request and no units are under way.
    fn is_settled(&self) -> bool {
        let counts = [&self.current, &self.previous];
        self.pending.is_empty()
            && self.in_flight == 0
            && counts.iter().all(|count| count.unsent == 0.0 && !count.call_in_flight)
    }
}

impl Gateway {
    /// Returns whether a customer that is forgotten would get no more of its ceiling than is left to it now.
    fn ceiling_is_full(&self, customer: &Customer) -> bool {
        let fresh = Customer { plan: customer.plan, spread: customer.spread, ..Customer::default() };
        match (self.ceiling_level(customer), self.ceiling_level(&fresh)) {
            (Some(level), Some(fresh_level)) => level >= fresh_level,
            _ => true,
        }
    }

    /// Forgets customers that have sent no request for long.
    pub(crate) fn forget_idle_customers(&mut self) {
        let windows: Vec<f64> = (0..self.cfg.plans.len()).map(|i| self.window_length(i)).collect();
        let idle = |(id, customer): (&CustomerId, &Customer)| {
            let retention = RETENTION_TIME.max(4.0 * windows[customer.plan]);
            let idle = self.since(customer.last_seen_at) > retention
                && customer.pending.is_empty()
                && customer.in_flight == 0;
            (idle && self.ceiling_is_full(customer)).then_some(*id)
        };
        let forgotten: Vec<CustomerId> = self.customers.iter().filter_map(idle).collect();
        self.forget_customers(&forgotten);
    }

    /// Returns whether a request of this customer may be decided on: it is known, or there is room for its state.
    pub(crate) fn has_room_for(&mut self, id: CustomerId) -> bool {
        let full = |gateway: &Self| gateway.customers.len() >= gateway.cfg.max_customers;
        if !full(self) || self.customers.contains_key(&id) {
            return true;
        }
        if self.now >= self.next_eviction_at {
            self.evict_customers();
        }
        !full(self)
    }

    /// Forgets a part of the customers: those first that came in one window only, so that ever new customers don't displace
    /// the ones that return, and of these the ones that were last seen the longest time ago.
    fn evict_customers(&mut self) {
        let busy: BTreeSet<CustomerId> = self.requests.values().map(|request| request.customer).collect();
        let settled = self.customers.iter().filter(|(id, c)| c.is_settled() && !busy.contains(id));
        let evictable = settled.filter(|(_, customer)| self.ceiling_is_full(customer));
        let mut evicted: Vec<_> =
            evictable.map(|(id, c)| (c.previous.request_seen, c.last_seen_at, *id)).collect();
        evicted.sort_unstable();
        evicted.truncate(self.cfg.max_customers.div_ceil(EVICTED_PART));
        if evicted.len() < self.cfg.max_customers / EVICTED_PART / 2 {
            self.next_eviction_at = self.now + EVICTION_PAUSE;
        }
        let evicted: Vec<CustomerId> = evicted.into_iter().map(|(_, _, id)| id).collect();
        self.forget_customers(&evicted);
    }

    fn forget_customers(&mut self, ids: &[CustomerId]) {
        for id in ids {
            if let Some(at) = self.customers.remove(id).and_then(|customer| customer.sync_at) {
                self.sync_queue.remove(&(at, *id));
            }
        }
        let customers = &self.customers;
        self.counter_keys.retain(|_, (id, w)| customers.get(id).is_some_and(|c| *w + 2 >= c.window));
    }
}
