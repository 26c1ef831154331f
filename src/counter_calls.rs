//! Calls to the counter: which customer's units are sent next, how many calls the counter bears, and what becomes of a call.

use crate::api::*;
use crate::logic::{MAX_CALLS_IN_FLIGHT, MEAN_GAIN, SECOND, SYNC_INTERVAL};
use crate::quota::{LOW_USE_FRACTION, MAX_KEY_LIFETIME, MAX_UNANSWERED_CALL_RATE};
use crate::state::*;

/// The largest number of due syncs that are compared to find the most valuable one.
const MAX_SYNC_CANDIDATES: usize = 64;
/// The fraction by which the pace of calls falls when even a window of one call is congested.
const PACE_DECREASE: f64 = 0.25;
/// The lowest pace of calls. Some calls have to be made to find out how the counter is.
const MIN_PACE: f64 = 0.1;
/// The fraction of its time-out above which the duration of a call is taken as a sign of congestion.
const LATE_FRACTION: f64 = 0.75;

impl Gateway {
    /// Returns the due sync that is worth most. Where the counter bears all calls, this is the one that is
    /// due. Where it is slow, the sync that has waited longest may be a small customer's, while expensive
    /// units are admitted that no other gateway knows of.
    fn next_sync(&self) -> Option<(Micros, CustomerId)> {
        let due = self.sync_queue.iter().take_while(|s| s.0 <= self.now).take(MAX_SYNC_CANDIDATES);
        let worth = |id: &CustomerId| {
            let c = &self.customers[id];
            (c.current.unsent + c.previous.unsent + c.pending.len() as f64) * self.cfg.plans[c.plan].price
        };
        due.copied().max_by(|a, b| worth(&a.1).total_cmp(&worth(&b.1)))
    }

    /// Sends due syncs, as many as the counter can bear now.
    pub(crate) fn send_due_syncs(&mut self) {
        while self.may_call_counter() {
            let Some((at, id)) = self.next_sync() else { break };
            self.sync_queue.remove(&(at, id));
            if let (Some(customer), true) = (self.customers.get_mut(&id), self.cfg.counter.is_some()) {
                customer.sync_at = None;
                self.advance_windows(id);
                self.sync(id);
            }
        }
    }

    /// Sends a customer's unsent units to the counter and reads its totals, with at most one call in flight
    /// per key. The total of the previous window is read only once, as no units of new requests are added.
    pub(crate) fn sync(&mut self, id: CustomerId) {
        let (window, plan) = (self.customers[&id].window, self.customers[&id].plan);
        let previous = window.wrapping_sub(1);
        let keys =
            [(self.counter_key(id, plan, previous), previous), (self.counter_key(id, plan, window), window)];
        let (lifetime, low_use) = (
            (3.0 * self.window_length(plan)).min(MAX_KEY_LIFETIME) as Micros,
            LOW_USE_FRACTION * self.window_limit(plan),
        );
        // Where the share does not hold a request, all requests need calls, even if the counter seems to have
        // room for more.
        let spare_calls =
            self.call_pace >= 1.0 && self.window_limit(plan) * self.customers[&id].quota_share() >= 1.0;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let (previous_high, current_high) = (
            customer.previous.total_estimate() > low_use && spare_calls,
            customer.current.total_estimate() > low_use && spare_calls,
        );
        // The other gateways may have used up the previous window while no request came here. So held
        // requests have both totals read, but where calls are limited, the previous one only if the current
        // one does not settle them.
        let (has_held, has_uncovered) =
            (!customer.pending.is_empty(), customer.pending.iter().any(|h| !h.covered));
        let previous_unread =
            has_held && customer.previous.total_received_at.is_none() && (spare_calls || !has_uncovered);
        let reads = [
            (previous_high || previous_unread) && customer.previous_reads == 0,
            previous_high || current_high || has_uncovered,
        ];
        for (i, count) in [&mut customer.previous, &mut customer.current].into_iter().enumerate() {
            if count.call_in_flight || (count.unsent == 0.0 && !reads[i]) {
                continue;
            }
            (count.in_call, count.unsent, count.correction, count.call_in_flight) =
                (count.unsent + count.correction, 0.0, 0.0, true);
            customer.previous_reads += u32::from(i == 0);
            customer.pending.iter_mut().for_each(|h| h.covered |= i == 1);
            let (key, window) = keys[i];
            self.counter_keys.insert(key, (id, window));
            self.calls_in_flight += 1.0;
            self.actions.push(Action::CallCounter { key, amount: count.in_call, lifetime });
        }
    }

    /// Handles the end of a counter call, or its time-out: adjusts the number of calls that may be in flight,
    /// the pace of calls and the customer's counts, and decides on the requests held for the call.
    pub(crate) fn on_counter_call_ended(&mut self, key: CounterKey, result: CounterResult, elapsed: f64) {
        if result != CounterResult::Overdue {
            self.calls_in_flight = (self.calls_in_flight - 1.0).max(0.0);
        }
        let answered = matches!(result, CounterResult::Total(v) if v.is_finite());
        let timeout = self.cfg.counter.map_or(SECOND, |c| c.timeout as f64);
        // An answer that came in time but cannot be read says nothing about the counter's load. A single call
        // that is overdue while later ones are answered is stuck on its own connection.
        let single = result == CounterResult::Overdue && self.since(self.counter_answered_at) < timeout / 2.0;
        let congested = result == CounterResult::NotAdded || elapsed > timeout * LATE_FRACTION && !single;
        if answered && !congested {
            self.counter_answered_at = self.now;
        }
        // If all gateways kept calling a congested counter, none would be answered in time. A burst of late
        // calls counts as one congestion.
        if congested && self.since(self.last_congestion_at) > timeout {
            self.last_congestion_at = self.now;
            // A counter that has become slow bears few calls at once: with more, each waits behind the others
            // until none is answered in time. The window of calls shrinks until they are, as the congestion
            // window of TCP does. This also covers a counter that stalls, restarts or is shared with more
            // gateways. A single delay on a healthy counter shrinks the window too, but a few answers open it
            // again.
            self.fast_growth_limit = (self.max_calls / 2.0).max(1.0);
            self.max_calls = if answered { self.fast_growth_limit } else { 1.0 };
            // The pace of calls is reduced only if even the smallest window is too much.
            if self.fast_growth_limit <= 1.0 {
                self.call_pace = (self.call_pace * (1.0 - PACE_DECREASE)).max(MIN_PACE);
            }
        } else if answered && !congested {
            let step = if self.max_calls < self.fast_growth_limit { 1.0 } else { 1.0 / self.max_calls };
            self.max_calls = (self.max_calls + step).min(MAX_CALLS_IN_FLIGHT);
        }
        if result != CounterResult::Overdue {
            self.record_call_result(!answered);
        }
        // A burst of calls that all fail together is one failure and does not mean that the counter is down.
        if answered {
            self.counter_failures = 0;
        } else if self.counter_failures == 0 || self.since(self.counter_failed_at) > timeout {
            (self.counter_failures, self.counter_failed_at) = (self.counter_failures + 1, self.now);
        }
        // The interval between trial calls grows with the number of failures.
        let wait = (0.1 * f64::from(self.counter_failures)).min(1.0) * SYNC_INTERVAL;
        self.next_trial_call_at = self.now + wait as Micros;
        let Some(&(id, window)) = self.counter_keys.get(&key) else { return };
        self.advance_windows(id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let Some(count) = customer.window_count(window) else { return };
        let amount = std::mem::take(&mut count.in_call);
        count.call_in_flight = false;
        match result {
            CounterResult::Total(total) if answered => {
                count.added += amount;
                // If the counter has lost the key, or an addition never reached it, the units used would be
                // granted again. When a total is lower than what this gateway has added, the difference is
                // sent again, at most once per window.
                let (missing, mut known_total) = (count.added - total, total);
                if missing > 0.5 && !count.restored {
                    (count.restored, count.unsent, count.added) =
                        (true, count.unsent + missing, count.added - missing);
                    known_total = count.total;
                }
                customer.record_total(window, known_total, self.now);
            }
            // The units may have been added, and count as added until a total shows otherwise.
            CounterResult::Unanswered | CounterResult::Overdue => {
                (count.added, count.total) = (count.added + amount, count.total + amount);
            }
            _ => count.unsent += amount,
        }
        let call_in_flight = customer.current.call_in_flight || customer.previous.call_in_flight;
        if result == CounterResult::Overdue {
            // The late total of a congested counter still decides on the held requests. If they were decided
            // on now, the call would be wasted.
            self.set_timer(timeout as Micros, Task::OverdueCall(id));
        } else if !call_in_flight {
            self.settle_held_requests(id, answered);
        }
        let customer = &self.customers[&id];
        if customer.pending.iter().any(|h| !h.covered) && !customer.current.call_in_flight {
            self.schedule_sync(id, 0.0);
        } else if customer.current.unsent != 0.0 || customer.previous.unsent != 0.0 {
            self.schedule_sync(id, if answered && self.call_pace < 1.0 { 0.0 } else { SYNC_INTERVAL * 0.5 });
        }
    }

    /// Updates the rate of unanswered calls. The longer ago the last call ended, the more weight the new
    /// result has: with few calls and a fixed weight, the rate would stay high long after an outage.
    fn record_call_result(&mut self, unanswered: bool) {
        let gain = (1.0 - (-self.since(self.last_call_ended_at) / (2.0 * SYNC_INTERVAL)).exp())
            .clamp(MEAN_GAIN, 0.9 * MAX_UNANSWERED_CALL_RATE);
        self.unanswered_call_rate += (f64::from(u8::from(unanswered)) - self.unanswered_call_rate) * gain;
        self.last_call_ended_at = self.now;
    }

    /// Handles the final result of an overdue call. Its total is as valid as one in time, and the units of a
    /// rejected call have not been added after all.
    pub(crate) fn on_overdue_call_ended(&mut self, key: CounterKey, amount: f64, result: CounterResult) {
        self.calls_in_flight = (self.calls_in_flight - 1.0).max(0.0);
        let total =
            if let CounterResult::Total(v) = result { Some(v).filter(|v| v.is_finite()) } else { None };
        self.record_call_result(total.is_none());
        let Some(&(id, window)) = self.counter_keys.get(&key) else { return };
        self.advance_windows(id);
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let Some(count) = customer.window_count(window) else { return };
        if let Some(total) = total {
            // The counter is up but slow, which the window of calls deals with.
            self.counter_failures = 0;
            // The units of a later call may still be on their way, so the total is at least what is believed
            // to have been added.
            let total = total.max(count.added);
            customer.record_total(window, total, now);
        } else if result == CounterResult::NotAdded {
            let returned = amount.min(count.added);
            (count.added, count.total, count.unsent) =
                (count.added - returned, count.total - returned, count.unsent + returned);
            self.schedule_sync(id, SYNC_INTERVAL * 0.5);
        }
        self.settle_overdue_call(id, total.is_some());
    }

    /// Decides on the requests held for an overdue call, once its total has been received or no longer is
    /// waited for.
    pub(crate) fn settle_overdue_call(&mut self, id: CustomerId, has_total: bool) {
        let Some(customer) = self.customers.get(&id) else { return };
        if !customer.current.call_in_flight
            && !customer.previous.call_in_flight
            && customer.pending.iter().any(|h| h.covered)
        {
            self.settle_held_requests(id, has_total);
        }
    }
}
