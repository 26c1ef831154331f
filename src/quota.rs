//! Quotas: the sliding estimate of a customer's units over all gateways, its sync with the counter, the
//! requests that are held for a total, and the ceiling. Times are `f64` microseconds unless they are
//! [`Micros`].

use crate::api::*;
use crate::logic::{DECAY_TIME, MEAN_GAIN, SECOND, SYNC_INTERVAL};
use crate::state::*;

/// The smallest remaining fraction of a quota that the delay of a sync is computed with. It bounds how soon a
/// sync follows when the quota has nearly run out.
const MIN_REMAINING_FRACTION: f64 = 0.05;
/// The delay of a sync as a fraction of `SYNC_INTERVAL` for use above `LOW_USE_FRACTION`. It is multiplied by
/// the square of the remaining fraction of the quota.
const NEAR_QUOTA_SYNC_FRACTION: f64 = 0.25;
/// The fraction of a window's limit below which a customer is synced at the slowest pace.
pub(crate) const LOW_USE_FRACTION: f64 = 0.2;
/// The longest lifetime of a key on the counter, in microseconds: the counter's own limit.
pub(crate) const MAX_KEY_LIFETIME: f64 = 60e6;
/// The number of consecutive time-out periods with failed calls and no answer after which the counter is
/// taken to be down.
const MAX_COUNTER_FAILURES: u32 = 3;
/// The fraction of recent calls without an answer in time from which the counter is not relied on.
pub(crate) const MAX_UNANSWERED_CALL_RATE: f64 = 0.3;
/// The number of sampled requests that a window must hold for its total to be meaningful.
const MIN_SAMPLES: f64 = 2.0;
/// The least probability of being over quota of a returning customer where there is no counter and
/// `UNEVEN_FACTOR` times this gateway's share of the quota holds less than two requests.
const UNCOUNTED_PROBABILITY: f64 = 0.7;
/// The fraction of its quota from which a customer's next request may well be over the quota.
const NEAR_QUOTA_USE: f64 = 0.5;
/// The multiple of this gateway's share that may be admitted on the probability of being over quota alone, as
/// traffic is spread unevenly over the gateways.
const UNEVEN_FACTOR: f64 = 4.0;

impl Customer {
    /// Returns the sliding estimate of the customer's units over all gateways: the previous window counts
    /// with its part that has not expired yet. `elapsed_fraction` is the elapsed part of the current window,
    /// 0 to 1.
    fn estimate(&self, elapsed_fraction: f64) -> f64 {
        self.previous.total_estimate() * (1.0 - elapsed_fraction) + self.current.total_estimate()
    }

    /// Returns this gateway's fraction of the quota: its smoothed fraction of the customer's traffic, and an
    /// even part at the least.
    pub(crate) fn quota_share(&self) -> f64 {
        self.traffic_share.max(1.0 / self.spread)
    }

    /// Returns the same estimate as [`Customer::estimate`] of the units admitted by this gateway only.
    fn own_estimate(&self, elapsed_fraction: f64) -> f64 {
        self.previous.admitted * (1.0 - elapsed_fraction) + self.current.admitted
    }
}

impl Gateway {
    /// Returns the length of a quota window in microseconds: burst / rate, the time in which the bucket
    /// fills. It is at most a third of the longest lifetime of a key, as keys live for three windows.
    pub(crate) fn window_length(&self, plan: usize) -> f64 {
        let plan = &self.cfg.plans[plan];
        (plan.burst / plan.rate * SECOND).clamp(SECOND / 100.0, MAX_KEY_LIFETIME / 3.0)
    }

    /// Returns the units that a window may hold: rate x window length.
    pub(crate) fn window_limit(&self, plan: usize) -> f64 {
        self.cfg.plans[plan].rate * self.window_length(plan) / SECOND
    }

    /// Returns the number of a customer's current window and its elapsed fraction. The windows of different
    /// customers begin at different times.
    fn window_position(&self, id: CustomerId, plan: usize) -> (u64, f64) {
        let position = self.now as f64 / self.window_length(plan) + to_fraction(hash(id.for_plan(plan).0));
        (position as u64, position.fract())
    }

    /// Returns the key on the counter of a customer's window.
    pub(crate) fn counter_key(&self, id: CustomerId, plan: usize, window: u64) -> CounterKey {
        // The index among the plans with windows of the same length: only these number their windows alike,
        // so that their keys have to be told apart.
        let index = (0..plan).filter(|p| self.window_length(*p) == self.window_length(plan)).count();
        CounterKey(hash(hash(id.for_plan(plan).for_plan(index).0).wrapping_add(window)))
    }

    /// Brings a customer's windows and buckets up to the present time. Returns the elapsed fraction of its
    /// current window.
    pub(crate) fn advance_windows(&mut self, id: CustomerId) -> f64 {
        let plan = self.customers[&id].plan;
        if self.cfg.plans[plan].rate <= 0.0 {
            return 0.0;
        }
        let ((window, elapsed_fraction), limit) = (self.window_position(id, plan), self.window_limit(plan));
        let expired_key = self.counter_key(id, plan, window.wrapping_sub(2));
        let Some(customer) = self.customers.get_mut(&id) else { return elapsed_fraction };
        let refill =
            self.cfg.plans[plan].rate * self.now.saturating_sub(customer.bucket_updated_at) as f64 / SECOND;
        (customer.bucket_level, customer.bucket_updated_at) =
            ((customer.bucket_level + refill).min(limit), self.now);
        let share = customer.quota_share();
        customer.own_bucket_level = (customer.own_bucket_level + refill * share)
            .min((limit * share).max(self.cfg.max_units.max(1.0)));
        if window != customer.window {
            if customer.current.total_received_at.is_some() && customer.current.total_estimate() > 0.0 {
                customer.traffic_share +=
                    ((customer.current.own_units() / customer.current.total_estimate()).clamp(0.0, 1.0)
                        - customer.traffic_share)
                        * 0.5;
                customer.others_units += (customer.current.total_estimate()
                    - customer.current.own_units()
                    - customer.others_units)
                    * 0.5;
            }
            let last = std::mem::take(&mut customer.current);
            customer.previous = if window == customer.window + 1 { last } else { WindowCount::default() };
            (customer.window, customer.previous_reads) = (window, 0);
            let needs_sync = if self.call_pace < 1.0 {
                customer.previous.unsent != 0.0
            } else {
                customer.previous.own_units() > 0.0
            };
            self.counter_keys.remove(&expired_key);
            if needs_sync {
                self.schedule_sync(id, 0.3 * SYNC_INTERVAL);
            }
        }
        elapsed_fraction
    }

    /// Returns whether the counter's totals are fresh enough to spend a share of what they leave. A counter
    /// that is slow but not silent is not healthy either: shares of totals that are seconds old exceed the
    /// quotas by far.
    pub(crate) fn counter_is_healthy(&self) -> bool {
        self.cfg.counter.is_some()
            && self.counter_failures < MAX_COUNTER_FAILURES
            && self.unanswered_call_rate < MAX_UNANSWERED_CALL_RATE
    }

    /// Returns whether a call to the counter may be sent now. A counter that does not answer gets single
    /// trial calls, so that it does not meet a backlog when it comes back.
    pub(crate) fn may_call_counter(&self) -> bool {
        let available = self.cfg.counter.is_some() && self.counter_failures < MAX_COUNTER_FAILURES;
        let max_calls = if available { self.max_calls } else { 1.0 };
        self.calls_in_flight < max_calls && (available || self.now >= self.next_trial_call_at)
    }

    /// Decides whether a request is within its customer's quota: by the sliding estimate against the limit of
    /// the window, and by this gateway's share of what is left.
    pub(crate) fn decide_quota(&mut self, id: CustomerId, units: f64) -> QuotaDecision {
        let elapsed_fraction = self.advance_windows(id);
        let customer = &self.customers[&id];
        let (plan, even_share) = (&self.cfg.plans[customer.plan], 1.0 / customer.spread);
        // Two processes of this gateway use the same total: each spends half of the share.
        let share = customer.quota_share() * if self.other_process_serving { 0.5 } else { 1.0 };
        if plan.max_concurrent > 0
            && customer.in_flight as f64 >= (plan.max_concurrent as f64 * share).max(1.0).floor()
        {
            return QuotaDecision::Refuse(RefusalReason::OverQuota, 0);
        }
        if plan.rate <= 0.0 {
            return QuotaDecision::Admit(true, 0.0);
        }
        let (limit, rate) = (self.window_limit(customer.plan), plan.rate);
        let refuse =
            |reason, excess: f64| QuotaDecision::Refuse(reason, (excess / rate * SECOND).max(0.0) as Micros);
        let (share_holds_request, has_recent_total) = (
            limit * share >= units,
            customer.total_received_at().is_some_and(|t| self.since(t) <= SYNC_INTERVAL),
        );
        let synced = customer.previous.total.max(customer.previous.own_units()) * (1.0 - elapsed_fraction)
            + customer.current.total.max(customer.current.added);
        if self.counter_is_healthy() || has_recent_total {
            let unsynced = customer.current.unsent + customer.current.in_call;
            if unsynced + units <= (limit - synced) * share {
                return QuotaDecision::Admit(true, 0.0);
            }
            // The estimate spreads a burst over the whole length of the window, although the bucket has been
            // refilled since. Where the bucket or the estimate has room and only the share is spent, a fresh
            // total decides.
            let excess = customer.estimate(elapsed_fraction) + units - limit;
            if excess > 0.0 && customer.bucket_level < units {
                return refuse(RefusalReason::OverQuota, excess.max(units * even_share));
            }
            let probability = self.call_probability(id, units);
            if self.counter_is_healthy() && self.may_call_counter() && self.random.next() < probability {
                return QuotaDecision::Hold(if share_holds_request { units } else { units / probability });
            }
            // No call can be made. A spent share does not mean that the quota is spent, so this gateway's own
            // use decides below.
        }
        // The sampled requests that are held for a call are counted for those that are admitted here.
        if self.decide_without_total(id, units) {
            QuotaDecision::Admit(
                !self.counter_is_healthy() || share_holds_request,
                self.over_quota_probability(&self.customers[&id]),
            )
        } else {
            refuse(RefusalReason::NoFreshTotal, units)
        }
    }

    /// Returns the probability that a customer is over its quota: by the last observations of this customer,
    /// or, as these get old, by those of other new or returning customers of its plan.
    pub(crate) fn over_quota_probability(&self, customer: &Customer) -> f64 {
        let weight = self.decay(customer.quota_checked_at, DECAY_TIME);
        let returning = customer.current.request_seen || customer.previous.request_seen;
        customer.over_quota_rate * weight
            + self.over_quota_rates[customer.plan][usize::from(returning)] * (1.0 - weight)
    }

    /// Returns the probability with which a request is held for a counter call. Where the counter cannot bear
    /// all calls, they are made for the requests for which the answer is worth most.
    fn call_probability(&mut self, id: CustomerId, units: f64) -> f64 {
        let customer = &self.customers[&id];
        let (over_quota, plan) = (self.over_quota_probability(customer), &self.cfg.plans[customer.plan]);
        let value =
            (over_quota * plan.over_cost).min(1.0 - over_quota).max(MEAN_GAIN / 10.0) * plan.price * units;
        update_mean(&mut self.mean_call_value, value, MEAN_GAIN / 5.0);
        let probability = self.call_pace.powf(self.mean_call_value / value);
        // A sampled request is counted for many others. In a small quota one alone would fill the window and
        // shut its customer out, so no calls are made where a window holds too few samples.
        let meaningful = probability * self.window_limit(self.customers[&id].plan) >= MIN_SAMPLES * units;
        Some(probability).filter(|_| meaningful).unwrap_or(0.0)
    }

    /// Decides whether to admit a request without a fresh total, as the counter is silent or can bear no more
    /// calls.
    fn decide_without_total(&self, id: CustomerId, units: f64) -> bool {
        let customer = &self.customers[&id];
        let (elapsed_fraction, limit, window) = (
            self.window_position(id, customer.plan).1,
            self.window_limit(customer.plan),
            self.window_length(customer.plan),
        );
        let received_at = customer.total_received_at();
        // An old total would refuse or admit all requests for ever. This gateway's own traffic is compared
        // with the remembered share of the quota, which moves towards an even split as the total gets older.
        let staleness = received_at.map_or(1.0, |t| (self.since(t) / window).min(1.0));
        // What the other gateways were last known to use leaves the rest to this one, so that customers with
        // little traffic are not refused.
        let others =
            customer.others_units.max(customer.previous.others_units).max(customer.current.others_units);
        let recent_share = (customer.traffic_share * limit).max(limit - 1.25 * others);
        // The remembered fraction of the traffic stays right for longer than totals do, and the fractions of
        // all gateways add up to one.
        let trust = received_at.map_or(0.0, |t| self.decay(t, DECAY_TIME));
        let split_share = limit * (customer.traffic_share * trust + (1.0 - trust) / customer.spread);
        let share = recent_share * (1.0 - staleness) + split_share * staleness;
        let own = customer.own_estimate(elapsed_fraction) + units;
        // The sliding estimate forgets a lone request only at the end of the next window, which halves what
        // is admitted of a share of a unit or two. So this gateway's share is also saved up in a bucket until
        // it holds a request. If all gateways' shares and buckets are spent at once, a customer gets up to
        // its quota once more.
        if own <= share || customer.own_bucket_level >= units || share >= units {
            return own <= share || customer.own_bucket_level >= units;
        }
        // The share is below one request. Refusing all such requests would leave a small quota unused, and
        // one request from each gateway would exceed it by far: the probability of being over quota decides.
        // A returning customer asks for its second request at least. Where not even `UNEVEN_FACTOR` times the
        // share holds two, there is no sign of room for it.
        let returning = (customer.current.request_seen || customer.previous.request_seen)
            && UNEVEN_FACTOR * share < 2.0 * units;
        let over_quota = self
            .over_quota_probability(customer)
            .max(if returning && self.cfg.counter.is_none() { UNCOUNTED_PROBABILITY } else { 0.0 });
        own <= units.max(UNEVEN_FACTOR * share)
            && (1.0 - over_quota) > over_quota * self.cfg.plans[customer.plan].over_cost
    }

    /// Records how much of its quota a customer was found to use, as a fraction of it. `returning` says
    /// whether the customer had come within two windows; it is `None` if the meter and not a total told the
    /// use.
    pub(crate) fn record_quota_use(&mut self, id: CustomerId, used: f64, returning: Option<bool>) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let over = ((used - NEAR_QUOTA_USE) / (1.0 - NEAR_QUOTA_USE)).clamp(0.0, 1.0);
        if let Some(returning) = returning.filter(|_| customer.quota_checked_at == 0) {
            let rate = &mut self.over_quota_rates[customer.plan][usize::from(returning)];
            *rate += (over - *rate) * MEAN_GAIN;
        }
        customer.over_quota_rate +=
            (over - customer.over_quota_rate) * if customer.quota_checked_at == 0 { 1.0 } else { 0.5 };
        customer.quota_checked_at = self.now;
    }

    /// Records the units of a request that is sent on without a call of its own. Where calls are limited, a
    /// random sample of the requests is counted for the others too, which keeps the totals right on average.
    /// `count` is false if the request is not to be counted at all.
    pub(crate) fn record_units(&mut self, id: CustomerId, units: f64, count: bool) {
        let elapsed_fraction = self.advance_windows(id);
        let (draw, limit) = (self.random.next(), self.window_limit(self.customers[&id].plan));
        let Some(customer) = self.customers.get_mut(&id) else { return };
        customer.record_admitted(units);
        // Where the share holds a request or more, units are not sampled but collected for a later call.
        let sampling = if limit * customer.quota_share() >= units { 1.0 } else { self.call_pace };
        let sampled = count && draw < sampling;
        if sampled && self.cfg.plans[customer.plan].rate > 0.0 {
            customer.current.unsent += units / sampling;
            let (estimate, own) =
                (customer.estimate(elapsed_fraction), customer.current.own_units() * customer.spread);
            let remaining = (1.0 - estimate / limit).clamp(MIN_REMAINING_FRACTION, 1.0);
            let low_use = estimate.max(own) < LOW_USE_FRACTION * limit || sampling < 1.0;
            self.schedule_sync(
                id,
                SYNC_INTERVAL / self.call_pace
                    * if low_use { 1.0 } else { remaining * remaining * NEAR_QUOTA_SYNC_FRACTION },
            );
        }
    }

    /// Takes over the state that another process of this gateway handed over. What does not fit the settings
    /// is ignored.
    pub(crate) fn on_handover_received(&mut self, state: HandoverState) {
        let (state, gateways) = (state.compatible_with(&self.cfg), self.cfg.gateways as f64);
        for (id, mut customer) in state.customers.into_iter().filter(|(_, c)| c.window <= self.now) {
            (customer.spread, customer.traffic_share) =
                (customer.spread.clamp(1.0, gateways), customer.traffic_share.clamp(0.0, 1.0));
            (customer.last_seen_at, customer.bucket_updated_at) =
                (customer.last_seen_at.min(self.now), customer.bucket_updated_at.min(self.now));
            self.customers.entry(id).or_insert(customer);
        }
        for (id, slow_start) in state.backends {
            let Some(backend) = self.backends.get_mut(&id) else { continue };
            (backend.started_at, backend.presumed_started_at) = (
                backend.started_at.max(slow_start.started_at),
                backend.presumed_started_at.max(slow_start.presumed_started_at),
            );
            backend.recent_sends.extend(slow_start.recent_sends);
        }
        self.restore_latencies(state.classes, state.mean_latencies);
    }

    /// Returns the state of a customer under one of its plans. A customer that is not known is added with
    /// initial values.
    pub(crate) fn customer_entry(&mut self, id: CustomerId, plan: usize, spread: f64) -> &mut Customer {
        let window = if self.cfg.plans[plan].rate > 0.0 { self.window_position(id, plan).0 } else { 0 };
        let (burst, now) = (self.cfg.plans[plan].burst, self.now);
        self.customers.entry(id).or_insert_with(|| Customer::new(plan, window, spread, burst, now))
    }

    /// Takes over units that another process of this gateway has admitted and cannot add to the counter any
    /// more. Customers that it met after it handed over its state are not known here yet and are added.
    pub(crate) fn on_unsynced_units(&mut self, unsynced: UnsyncedUnits) {
        let plan = self.cfg.plans.iter().position(|p| p.name == unsynced.plan);
        let Some(plan) = plan.filter(|_| unsynced.units.is_finite()) else { return };
        let id = unsynced.customer.for_plan(plan);
        self.customer_entry(id, plan, self.bounded_spread(unsynced.spread)).last_seen_at = self.now;
        self.advance_windows(id);
        let Some(count) = self.customers.get_mut(&id).and_then(|c| c.window_count(unsynced.window)) else {
            return;
        };
        count.unsent += unsynced.units;
        self.schedule_sync(id, 0.3 * SYNC_INTERVAL);
    }

    /// Decides on the requests whose units the last call has added; all of them if the call failed. A total
    /// read milliseconds ago includes them, so the estimate or the bucket decides, and not this gateway's
    /// share.
    pub(crate) fn settle_held_requests(&mut self, id: CustomerId, has_total: bool) {
        let elapsed_fraction = self.advance_windows(id);
        let (limit, window) =
            (self.window_limit(self.customers[&id].plan), self.window_length(self.customers[&id].plan));
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let largest_units = customer.pending.iter().map(|h| h.units).fold(0.0, f64::max);
        let previous_unread = customer.previous.total_received_at.is_none() && customer.previous_reads == 0;
        let (covered, later): (Vec<_>, Vec<_>) =
            customer.pending.drain(..).partition(|h| h.covered || !has_total);
        let reserved: f64 = covered.iter().chain(&later).map(|h| h.counted).sum();
        // The total of the previous window, if it is full, may still rule the requests out. It is read only
        // where that decides.
        let current = customer.current.total_estimate() - reserved + largest_units;
        if has_total
            && previous_unread
            && !covered.is_empty()
            && current > limit * elapsed_fraction
            && current <= limit
        {
            customer.pending = covered.into_iter().chain(later).collect();
            self.sync(id);
            return;
        }
        customer.pending = later;
        let both_totals = customer.previous.total_received_at.is_some();
        let mut estimate = customer.estimate(elapsed_fraction) - reserved;
        for held in covered {
            let bucket_level = self.customers[&id].bucket_level;
            let fits = estimate + held.units <= limit || (both_totals && bucket_level >= held.units);
            let admit = if has_total { fits } else { self.decide_without_total(id, held.units) };
            if has_total {
                // With all units counted, the decision itself tells whether the customer is over its quota.
                // With sampled units, only the distance from the quota is known.
                let used = if self.call_pace < 1.0 {
                    (estimate + held.units) / limit
                } else {
                    f64::from(u8::from(!admit))
                };
                self.record_quota_use(id, used, Some(held.returning));
            }
            let sent = admit && self.send_attempt(held.id);
            let Some(customer) = self.customers.get_mut(&id) else { return };
            if sent {
                customer.record_admitted(held.units);
                customer.current.unsent += held.deferred;
                estimate += held.counted + held.deferred;
            } else {
                customer.current.unsent -= held.counted;
                let quota_reason =
                    if has_total { RefusalReason::OverQuota } else { RefusalReason::NoFreshTotal };
                let reason = if admit { RefusalReason::NoBackend } else { quota_reason };
                let wait = (estimate + held.units - limit).max(held.units) / limit * window;
                self.refuse_unsent(held.id, reason, wait as Micros);
            }
        }
    }

    /// Returns the units left in this gateway's even share of `customer`'s ceiling, if its plan has one.
    /// First attempts must never overdraw the ceiling, and with even shares those of all gateways together do
    /// not. The bucket starts empty, as a process that has restarted does not know what was spent before.
    pub(crate) fn ceiling_level(&self, customer: &Customer) -> Option<f64> {
        let ceiling = self.cfg.plans[customer.plan].ceiling?;
        let (level, at) = customer.ceiling.unwrap_or((0.0, self.started_at.unwrap_or(self.now)));
        Some(
            (level + ceiling.rate / customer.spread * self.since(at) / SECOND)
                .min(ceiling.burst / customer.spread),
        )
    }
}
