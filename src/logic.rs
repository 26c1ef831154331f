//! The decisions of a gateway on the events and actions of `src/api.rs`: quota, choice of backend, health of
//! backends, attempts and the limits that protect backends. Times are `f64` microseconds unless they are
//! [`Micros`].

use crate::api::*;
use crate::state::*;

/// One second, in microseconds.
const SECOND: f64 = 1e6;
/// The usual interval between two syncs of a customer with the counter, in microseconds.
const SYNC_INTERVAL: f64 = 1e6;
/// The smallest remaining fraction of a quota that the delay of a sync is computed with. It bounds how soon a
/// sync follows when the quota has nearly run out.
const MIN_REMAINING_FRACTION: f64 = 0.05;
/// The delay of a sync as a fraction of `SYNC_INTERVAL` for use above `LOW_USE_FRACTION`. It is multiplied by
/// the square of the remaining fraction of the quota.
const NEAR_QUOTA_SYNC_FRACTION: f64 = 0.25;
/// The fraction of a window's limit below which a customer is synced at the slowest pace.
const LOW_USE_FRACTION: f64 = 0.2;
/// The largest number of due syncs that are compared to find the most valuable one.
const MAX_SYNC_CANDIDATES: usize = 64;
/// The longest lifetime of a key on the counter, in microseconds: the counter's own limit.
const MAX_KEY_LIFETIME: f64 = 60e6;
/// The largest number of counter calls in flight at once. Up to this number of gateways start at the full
/// pace of calls, before the counter has answered.
const MAX_CALLS_IN_FLIGHT: f64 = 16.0;
/// The fraction by which the pace of calls falls when even a window of one call is congested.
const PACE_DECREASE: f64 = 0.25;
/// The fraction by which the pace of calls rises per second, at the least. It rises faster the longer ago the
/// last congestion was.
const PACE_INCREASE: f64 = 0.1;
/// The lowest pace of calls. Some calls have to be made to find out how the counter is.
const MIN_PACE: f64 = 0.1;
/// The fraction of its time-out above which the duration of a call is taken as a sign of congestion.
const LATE_FRACTION: f64 = 0.75;
/// The number of consecutive time-out periods with failed calls and no answer after which the counter is
/// taken to be down.
const MAX_COUNTER_FAILURES: u32 = 3;
/// The fraction of recent calls without an answer in time from which the counter is not relied on.
const MAX_UNANSWERED_CALL_RATE: f64 = 0.3;
/// The number of sampled requests that a window must hold for its total to be meaningful.
const MIN_SAMPLES: f64 = 2.0;
/// The time constant, in microseconds, with which observations of customers and backends lose their weight.
const DECAY_TIME: f64 = 10e6;
/// The initial probabilities of being over quota: of a new customer and of a returning one.
const INITIAL_OVER_QUOTA_RATES: [f64; 2] = [0.3, 0.6];
/// The least probability of being over quota of a returning customer where there is no counter and
/// `UNEVEN_FACTOR` times this gateway's share of the quota holds less than two requests.
const UNCOUNTED_PROBABILITY: f64 = 0.7;
/// The fraction of its quota from which a customer's next request may well be over the quota.
const NEAR_QUOTA_USE: f64 = 0.5;
/// The multiple of this gateway's share that may be admitted on the probability of being over quota alone, as
/// traffic is spread unevenly over the gateways.
const UNEVEN_FACTOR: f64 = 4.0;
/// The fraction by which full counts ease the refusal of customers that are probably over their quota when
/// capacity is short. It applies at the full pace of calls, when all units are counted, and less below that.
const EXACT_COUNT_DISCOUNT: f64 = 0.7;
/// How long a customer without requests is remembered, in microseconds, if this is longer than four windows:
/// many customers come only once. Also the time constant with which `warm_throughput` falls.
const RETENTION_TIME: f64 = 15e6;
/// The interval of the housekeeping, in microseconds.
const HOUSEKEEPING_INTERVAL: u64 = 50_000;
/// The time constant, in microseconds, with which the rates of sends and completions are smoothed.
const RATE_SMOOTHING_TIME: f64 = 1.5e6;
/// The age that load reports are assumed to have, in microseconds.
const LOAD_REPORT_AGE: f64 = 500_000.0;
/// An attempt is stalled once its backend has answered one that was sent this many usual latencies later.
const STALLED_LATENCY_FACTOR: f64 = 4.0;
/// The multiple of the mean latency that limits the latency sample of a time-out.
const MAX_TIMEOUT_FACTOR: f64 = 2.0;
/// The weight of a new sample in slowly changing means.
const MEAN_GAIN: f64 = 0.1;
/// The number of consecutive failures at which a time-out ejects a backend.
const TIMEOUTS_BEFORE_EJECTION: u32 = 3;
/// The number of consecutive failures at which a failed or broken connection has the backend probed, or
/// ejected where probes are not allowed.
const MAX_CONNECTION_FAILURES: u32 = 2;
/// The delay of that probe, in microseconds. It is short, as a backend that has only lost connections is soon
/// back in use.
const CONNECTION_PROBE_DELAY: f64 = 50_000.0;
/// How long a backend that seems to have restarted is taken for cold, in microseconds. By then the list of
/// backends tells whether it has.
const PRESUMED_COLD_TIME: f64 = 5e6;
/// The fraction of errors among recent responses above which a backend is ejected.
const EJECTION_ERROR_RATE: f64 = 0.4;
/// The first wait before an ejected backend is tried again, in microseconds. It doubles up to 8 times this
/// value.
const BASE_EJECTION_TIME: f64 = 500_000.0;
/// The fractions of its target latency that a request's completion may be expected to take: at the least and
/// at the greatest worth.
const QUEUE_FRACTIONS: (f64, f64) = (0.35, 0.6);
/// The multiple of the latency of idle backends above which the expected latency has a request of mean worth
/// refused.
const MAX_IDLE_LATENCY_FACTOR: f64 = 7.0;
/// The number of requests at the mean latency that the measured throughput is weighed against.
const PRIOR_REQUESTS: f64 = 2.0;
/// The number of further attempts that each first attempt adds to the retry budget.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The fraction of the best admission rate of all classes that each class is admitted at, at the least.
const MIN_RELATIVE_ADMISSION: f64 = 0.3;
/// The earliest and the latest time of a hedged attempt, as fractions of the target latency.
const HEDGE_FRACTIONS: (f64, f64) = (0.45, 0.7);
/// The number of a class's first responses whose mean is taken for the latency of idle backends.
const BASELINE_SAMPLES: u32 = 20;
/// By how many times a backend's load is raised in the choice of backend if all its connections break: for
/// requests that may be sent again and for those that may not.
const RESET_PENALTIES: [f64; 2] = [1.0, 8.0];
/// By how many times a backend's load is raised in the choice of backend if it has just answered `full`.
const FULL_PENALTY: f64 = 8.0;
/// The multiple of the mean of this gateway's requests per backend above which a backend gets no more.
const MAX_LOAD_IMBALANCE: f64 = 2.0;
/// The mean number of backends that one gateway uses, as long as one of them will do.
const SUBSET_SIZE: f64 = 16.0;
/// The factor on the load of a backend in another zone.
const REMOTE_ZONE_PENALTY: f64 = 1.03;
/// The largest random part added to a backend's score, as a fraction, so that gateways do not all choose the
/// same backend.
const SCORE_JITTER: f64 = 0.15;
/// The fraction that a gateway uses of its share of the load under which a cold backend collapses.
const SLOW_START_FRACTION: f64 = 0.55;

impl Customer {
    /// Returns the sliding estimate of the customer's units over all gateways: the previous window counts
    /// with its part that has not expired yet. `elapsed_fraction` is the elapsed part of the current window,
    /// 0 to 1.
    fn estimate(&self, elapsed_fraction: f64) -> f64 {
        self.previous.total_estimate() * (1.0 - elapsed_fraction) + self.current.total_estimate()
    }

    /// Returns this gateway's fraction of the quota: its smoothed fraction of the customer's traffic, and an
    /// even part at the least.
    fn quota_share(&self) -> f64 {
        self.traffic_share.max(1.0 / self.spread)
    }

    /// Returns the same estimate as [`Customer::estimate`] of the units admitted by this gateway only.
    fn own_estimate(&self, elapsed_fraction: f64) -> f64 {
        self.previous.admitted * (1.0 - elapsed_fraction) + self.current.admitted
    }
}

impl Backend {
    /// Updates the smoothed number of this gateway's attempts to the present time. Must be called before
    /// `in_flight` changes.
    fn update_in_flight_mean(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.in_flight_mean_at) as f64;
        self.in_flight_mean +=
            (self.in_flight as f64 - self.in_flight_mean) * (1.0 - (-elapsed / LOAD_REPORT_AGE).exp());
        self.in_flight_mean_at = now;
    }
}

impl Gateway {
    /// Creates a gateway without backends or customers. `seed` seeds its random choices. Fails on an invalid
    /// setting.
    pub fn new(cfg: Config, seed: u64) -> Result<Self, ConfigError> {
        cfg.validate()?;
        let (random, classes) = (Random(hash(seed) | 1), cfg.classes.len());
        let (over_quota_rates, retry_tokens) = (vec![INITIAL_OVER_QUOTA_RATES; cfg.plans.len()], 1.0);
        let call_pace = (MAX_CALLS_IN_FLIGHT / cfg.gateways as f64).clamp(0.3, 1.0);
        Ok(Gateway {
            cfg,
            random,
            over_quota_rates,
            call_pace,
            max_calls: MAX_CALLS_IN_FLIGHT,
            fast_growth_limit: MAX_CALLS_IN_FLIGHT,
            retry_tokens,
            ..Self::for_classes(classes)
        })
    }

    /// Handles an event at the time `now`, which must not go back, and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_at.is_none() {
            (self.started_at, self.rates_updated_at, self.list_requested_at) = (Some(now), now, now);
            self.set_timer(HOUSEKEEPING_INTERVAL, Task::Housekeeping);
            if let Discovery::OnRequest { .. } = self.cfg.discovery {
                self.actions.push(Action::Subscribe { on: true });
            }
        }
        match event {
            Event::Backends { kind, rows, .. } => self.on_backend_list(kind, rows),
            Event::Request(arrival) => self.on_request(arrival),
            // The client gets the stream that began first, so work on other attempts is wasted.
            Event::StreamStarted { id, attempt, .. } => {
                self.requests.entry(id).and_modify(|r| r.streaming = true);
                self.cancel_attempts(id, Some(attempt));
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::BodyArrived { id, deadline } => self.set_deadline(id, deadline),
            Event::Uploaded { id, deadline } => self.on_uploaded(id, deadline),
            Event::ClientGone { id } => self.close(id),
            Event::BackendDisabled { backend, disabled } => self.on_backend_disabled(backend, disabled),
            Event::Drain { on } => self.draining = on,
            Event::HandoverReceived(state) => self.on_handover_received(*state),
            Event::UnsyncedUnits(all) => all.into_iter().for_each(|u| self.on_unsynced_units(u)),
            Event::OtherProcess { serving } => self.other_process_serving = serving,
            Event::Timer { token } => match self.timers.remove(&token.0) {
                Some(Task::Housekeeping) => self.run_housekeeping(),
                Some(Task::Deadlines) => self.on_deadlines(token),
                Some(Task::Hedge(id)) => self.on_hedge(id),
                Some(Task::OverdueCall(id)) => self.settle_overdue_call(id, false),
                _ => {}
            },
            Event::Probed { backend, outcome, load, .. } => {
                self.record_load_report(backend, load);
                match self.backends.get_mut(&backend) {
                    Some(b) if outcome == Outcome::Ok => b.readmit(self.now),
                    // The probe was never sent and says nothing about the backend, which is probed again.
                    Some(Backend { health, .. }) if outcome == Outcome::NotSent => {
                        if let Health::Trial { backoff, dead } = *health {
                            *health = Health::Ejected { until: self.now + backoff as Micros, backoff, dead };
                        }
                    }
                    // A backend that responds is alive, even with an error: it does not come back cold.
                    _ => self.eject(backend, !matches!(outcome, Outcome::Error | Outcome::Full)),
                }
            }
            Event::Message { .. } => {}
            Event::CounterCallEnded { key, result, elapsed } => {
                self.on_counter_call_ended(key, result, elapsed as f64)
            }
            Event::OverdueCallEnded { key, amount, result } => {
                self.on_overdue_call_ended(key, amount, result)
            }
        }
        self.send_due_syncs();
        actions.append(&mut self.actions);
    }

    // ---------------------------------------------------------------- quota

    /// Returns the length of a quota window in microseconds: burst / rate, the time in which the bucket
    /// fills. It is at most a third of the longest lifetime of a key, as keys live for three windows.
    fn window_length(&self, plan: usize) -> f64 {
        let plan = &self.cfg.plans[plan];
        (plan.burst / plan.rate * SECOND).clamp(SECOND / 100.0, MAX_KEY_LIFETIME / 3.0)
    }

    /// Returns the units that a window may hold: rate x window length.
    fn window_limit(&self, plan: usize) -> f64 {
        self.cfg.plans[plan].rate * self.window_length(plan) / SECOND
    }

    /// Returns the number of a customer's current window and its elapsed fraction. The windows of different
    /// customers begin at different times.
    fn window_position(&self, id: CustomerId, plan: usize) -> (u64, f64) {
        let position = self.now as f64 / self.window_length(plan) + to_fraction(hash(id.for_plan(plan).0));
        (position as u64, position.fract())
    }

    /// Returns the key on the counter of a customer's window.
    fn counter_key(&self, id: CustomerId, plan: usize, window: u64) -> CounterKey {
        // The index among the plans with windows of the same length: only these number their windows alike,
        // so that their keys have to be told apart.
        let index = (0..plan).filter(|p| self.window_length(*p) == self.window_length(plan)).count();
        CounterKey(hash(hash(id.for_plan(plan).for_plan(index).0).wrapping_add(window)))
    }

    /// Brings a customer's windows and buckets up to the present time. Returns the elapsed fraction of its
    /// current window.
    fn advance_windows(&mut self, id: CustomerId) -> f64 {
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
    fn counter_is_healthy(&self) -> bool {
        self.cfg.counter.is_some()
            && self.counter_failures < MAX_COUNTER_FAILURES
            && self.unanswered_call_rate < MAX_UNANSWERED_CALL_RATE
    }

    /// Returns whether a call to the counter may be sent now. A counter that does not answer gets single
    /// trial calls, so that it does not meet a backlog when it comes back.
    fn may_call_counter(&self) -> bool {
        let available = self.cfg.counter.is_some() && self.counter_failures < MAX_COUNTER_FAILURES;
        let max_calls = if available { self.max_calls } else { 1.0 };
        self.calls_in_flight < max_calls && (available || self.now >= self.next_trial_call_at)
    }

    /// Decides whether a request is within its customer's quota: by the sliding estimate against the limit of
    /// the window, and by this gateway's share of what is left.
    fn decide_quota(&mut self, id: CustomerId, units: f64) -> QuotaDecision {
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
    fn over_quota_probability(&self, customer: &Customer) -> f64 {
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
    fn record_quota_use(&mut self, id: CustomerId, used: f64, returning: Option<bool>) {
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
    fn record_units(&mut self, id: CustomerId, units: f64, count: bool) {
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
    fn sync(&mut self, id: CustomerId) {
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
    fn on_counter_call_ended(&mut self, key: CounterKey, result: CounterResult, elapsed: f64) {
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
    fn on_overdue_call_ended(&mut self, key: CounterKey, amount: f64, result: CounterResult) {
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
    fn settle_overdue_call(&mut self, id: CustomerId, has_total: bool) {
        let Some(customer) = self.customers.get(&id) else { return };
        if !customer.current.call_in_flight
            && !customer.previous.call_in_flight
            && customer.pending.iter().any(|h| h.covered)
        {
            self.settle_held_requests(id, has_total);
        }
    }

    /// Takes over the state that another process of this gateway handed over. What does not fit the settings
    /// is ignored.
    fn on_handover_received(&mut self, state: HandoverState) {
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
    fn customer_entry(&mut self, id: CustomerId, plan: usize, spread: f64) -> &mut Customer {
        let window = if self.cfg.plans[plan].rate > 0.0 { self.window_position(id, plan).0 } else { 0 };
        let (burst, now) = (self.cfg.plans[plan].burst, self.now);
        self.customers.entry(id).or_insert_with(|| Customer::new(plan, window, spread, burst, now))
    }

    /// Takes over units that another process of this gateway has admitted and cannot add to the counter any
    /// more. Customers that it met after it handed over its state are not known here yet and are added.
    fn on_unsynced_units(&mut self, unsynced: UnsyncedUnits) {
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
    fn settle_held_requests(&mut self, id: CustomerId, has_total: bool) {
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

    /// Handles the arrival of a request: admits, holds or refuses it.
    fn on_request(&mut self, arrival: Arrival) {
        let (id, class, plan, now) =
            (arrival.id, arrival.class.0 as usize, arrival.plan.0 as usize, self.now);
        if class >= self.cfg.classes.len() || plan >= self.cfg.plans.len() {
            self.actions.push(Action::Refuse { id, retry_after: 0, reason: RefusalReason::Unknown });
            return;
        }
        // Units that are not a positive number count as the largest request, or they would be admitted
        // without limit.
        let units = if arrival.units.is_finite() && arrival.units > 0.0 {
            arrival.units
        } else {
            self.cfg.max_units.max(1.0)
        };
        let (spread, deadline, body_pending) =
            (self.bounded_spread(arrival.spread), arrival.deadline, arrival.body_pending);
        // State kept per customer alone would apply what one plan grants or refuses to another plan.
        let customer_id = arrival.customer.for_plan(plan);
        let request =
            Request { class, customer: customer_id, deadline, units, body_pending, ..Request::default() };
        self.requests.insert(id, request);
        self.deadlines.insert((arrival.deadline, id));
        self.arm_deadline_timer();
        let customer = self.customer_entry(customer_id, plan, spread);
        let gateway_set = (spread, arrival.first_gateway);
        if customer.gateway_set.replace(gateway_set) != Some(gateway_set) {
            // The share of the traffic seen with another set of gateways says nothing about this set.
            (customer.spread, customer.traffic_share) = (spread, 1.0 / spread);
        }
        customer.last_seen_at = now;
        let decision = self.decide_quota(customer_id, units);
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        let returning =
            std::mem::replace(&mut customer.current.request_seen, true) || customer.previous.request_seen;
        // A customer with room by the totals counts as within its quota. If a probability replaced what is
        // known, such customers would be refused, ask again under new ids and get even higher probabilities.
        let over_quota = match decision {
            QuotaDecision::Admit(_, over_quota) => over_quota,
            QuotaDecision::Hold(_) => self.over_quota_probability(&self.customers[&customer_id]),
            QuotaDecision::Refuse(..) => 0.0,
        };
        if !matches!(decision, QuotaDecision::Refuse(..)) && !self.has_capacity(id, over_quota) {
            // Clients that get no advice come back at once, so they are told the expected latency as a wait.
            return self.refuse_unsent(id, RefusalReason::Overloaded, self.expected_latency() as Micros);
        }
        match decision {
            QuotaDecision::Admit(count, _) if self.send_attempt(id) => {
                self.record_units(customer_id, units, count)
            }
            QuotaDecision::Admit(..) => {
                self.refuse_unsent(id, RefusalReason::NoBackend, self.expected_latency() as Micros)
            }
            QuotaDecision::Hold(counted) => {
                // A sampled request carries the units of many. If they were counted now and the request then
                // refused, they would shut other requests out. So they are counted once it has been sent.
                let Some(customer) = self.customers.get_mut(&customer_id) else { return };
                let (counted, deferred) = if counted < 2.0 * units { (counted, 0.0) } else { (0.0, counted) };
                customer.current.unsent += counted;
                customer.pending.push(HeldRequest {
                    id,
                    units,
                    counted,
                    deferred,
                    returning,
                    covered: false,
                });
                if !customer.current.call_in_flight {
                    self.schedule_sync(customer_id, 0.0);
                }
            }
            QuotaDecision::Refuse(reason, wait) => {
                self.refuse_unsent(id, reason, wait);
                if self.call_pace >= 1.0 {
                    self.schedule_sync(customer_id, SYNC_INTERVAL);
                }
            }
        }
    }

    // ---------------------------------------------------------------- choice of backend

    /// Records what a load report says about the requests of the other gateways at a backend.
    fn record_load_report(&mut self, id: BackendId, load: LoadReport) {
        let (now, fields) = (self.now, &self.cfg.load_fields);
        let value = |field: LoadField| {
            let at = fields.iter().take(load.len as usize).position(|&x| x == field)?;
            Some(load.values[at] as f64).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let (served_rate, service_ms) = (value(LoadField::ServedPerSecond), value(LoadField::ServiceTimeMs));
        let in_service = served_rate.zip(service_ms).map_or(0.0, |(rate, ms)| rate * ms / 1e3);
        let reported = value(LoadField::Active).or(value(LoadField::Waiting).map(|q| q + in_service));
        if let (Some(reported), Some(backend)) = (reported, self.backends.get_mut(&id)) {
            // A report is older than this gateway's own count. If the present number of own attempts were
            // subtracted, a backend would look idle, so their number is smoothed over the age of the reports.
            backend.update_in_flight_mean(now);
            let others = (reported - backend.in_flight_mean).max(0.0);
            let (mean, at) = backend.reported_others.unwrap_or((others, now));
            let gain = 1.0 - (-(now.saturating_sub(at) as f64) / LOAD_REPORT_AGE).exp();
            backend.reported_others = Some((mean + (others - mean) * gain.max(MEAN_GAIN), now));
        }
    }

    /// Returns the fraction of its full capacity that a backend is assumed to have, up to 1. It grows
    /// linearly while the backend warms up.
    fn capacity(&self, backend: &Backend) -> f64 {
        // If a restart that is only presumed counted for the whole warm-up, a healthy backend would stay cold
        // for that long.
        let presumed = backend.presumed_started_at.filter(|at| self.since(*at) < PRESUMED_COLD_TIME);
        let Some(started_at) = backend.started_at.max(presumed) else { return 1.0 };
        let warm_up = self.cfg.warm_up.max(1) as f64;
        let cold = self.cfg.cold_capacity.clamp(0.0, 1.0);
        (cold + (1.0 - cold) * self.since(started_at) / warm_up).min(1.0)
    }

    /// Returns whether a backend may get new requests: listed as ready, healthy and not disabled.
    pub(crate) fn is_usable(&self, backend: &Backend) -> bool {
        let ready =
            backend.listed && backend.row.state == BackendState::Ready && backend.health == Health::Healthy;
        ready && !self.disabled_backends.contains_key(&backend.row.backend)
    }

    /// Returns the number of usable backends, at least 1.
    fn usable_count(&self) -> f64 {
        self.backends.values().filter(|b| self.is_usable(b)).count().max(1) as f64
    }

    /// Chooses the backend of a request's next attempt; `None` if it may not be sent to any.
    fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let usable = self.usable_count();
        let known: Vec<f64> = self.backends.values().filter_map(|b| b.reported_others.map(|o| o.0)).collect();
        let mean_others = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // A backend that answers its first few requests fast would attract a queue before its latency shows
        // it.
        let max_active = MAX_LOAD_IMBALANCE * (self.active_attempts() / usable.min(SUBSET_SIZE)) + 1.0;
        let tried = |b: &Backend| self.requests[&id].attempts.iter().any(|a| a.backend == b.row.backend);
        let allowed = |b: &Backend| !tried(b) && self.may_send(id, b) && self.slow_start_allows(b, usable);
        let eligible = |b: &Backend| self.is_usable(b) && b.active_attempts() <= max_active && allowed(b);
        // This gateway's turn at a cold backend is used when it is due: the other gateways, which wait for
        // theirs, count on that.
        let due = |b: &&Backend| b.turn_progress >= 1.0 && self.capacity(b) < 1.0 && eligible(b);
        let due = self.backends.values().filter(due);
        let mut scored: Vec<_> = due.map(|b| (self.score(id, b, mean_others), b.row.backend)).collect();
        let mut subset_fraction = (SUBSET_SIZE / usable).min(1.0);
        // Hundreds of gateways that each used every backend would fill its connections, and none would learn
        // much about any backend. So each uses a subset of its own, widened while no backend in it will do.
        while scored.is_empty() && subset_fraction < 2.0 {
            let subset = self
                .backends
                .values()
                .filter(|b| self.hash_fraction(b.row.key()) < subset_fraction && eligible(b));
            scored.extend(subset.map(|b| (self.score(id, b, mean_others), b.row.backend)));
            subset_fraction *= 2.0;
        }
        scored.iter_mut().for_each(|s| s.0 *= 1.0 + SCORE_JITTER * self.random.next());
        scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|s| s.1)
    }

    /// Returns the load of a backend relative to its size and speed; the lowest score is the best. As a load
    /// report gets older, its value approaches the mean over all backends, `mean_others`. Without a report,
    /// the other gateways are assumed to choose as this one does. A live weight is the size divided by the
    /// load, so the load of others is not added.
    fn score(&self, id: RequestId, backend: &Backend, mean_others: f64) -> f64 {
        let unreported = (mean_others + backend.active_attempts() * (self.cfg.gateways as f64 - 1.0)) / 2.0;
        let others = match self.cfg.weights {
            WeightKind::Live => 0.0,
            _ => backend.reported_others.map_or(unreported, |(n, at)| {
                mean_others + (n - mean_others) * self.decay(at, LOAD_REPORT_AGE)
            }),
        };
        let slow = 1.0 + (backend.latency_ratio - 1.0) * self.decay(backend.latency_ratio_at, DECAY_TIME);
        let last_full_at = self.class_and_plan(id).iter().filter_map(|k| backend.last_full_at.get(k)).max();
        let full = 1.0 + FULL_PENALTY * last_full_at.map_or(0.0, |at| self.decay(*at, DECAY_TIME));
        let size = if self.cfg.weights == WeightKind::Off { 1.0 } else { backend.row.weight.max(1e-3) };
        let no_repeat = self.cfg.classes[self.requests[&id].class].effect == Effect::Unsafe;
        let resets = 1.0
            + RESET_PENALTIES[usize::from(no_repeat)]
                * backend.reset_rate
                * self.decay(backend.last_reset_at, DECAY_TIME);
        let remote = if backend.row.zone == self.cfg.zone { 1.0 } else { REMOTE_ZONE_PENALTY };
        (backend.active_attempts() + others + 1.0) * slow * full * resets * remote
            / (size * self.capacity(backend))
    }

    /// Returns whether a new request can be expected to complete within its target latency. Requests of
    /// little worth for their work are refused first. `over_quota` is the probability that its customer is
    /// over its quota.
    fn has_capacity(&mut self, id: RequestId, over_quota: f64) -> bool {
        let (request, class, expected) =
            (&self.requests[&id], self.requests[&id].class, self.expected_latency());
        let worth = self.worth_per_work(class) * self.cfg.plans[self.customers[&request.customer].plan].price;
        update_mean(&mut self.mean_worth, worth, MEAN_GAIN / 10.0);
        if self.mean_latency <= 0.0 {
            return true;
        }
        let rank = worth / (worth + self.mean_worth);
        // The queue of a class with a long target makes the other classes' requests late. So its limit is
        // halfway between its own target and the shortest one.
        let shortest_target = self.cfg.classes.iter().map(|c| c.target_latency).min().unwrap_or(0);
        // If a client gives up before the target latency, work sent on too late for it is wasted.
        let target = ((self.cfg.classes[class].target_latency + shortest_target) / 2)
            .min(request.deadline.saturating_sub(self.now));
        let limit = target as f64 * (QUEUE_FRACTIONS.0 + (QUEUE_FRACTIONS.1 - QUEUE_FRACTIONS.0) * rank);
        // Backends with long queues serve less, so the expected latency is also limited to a few times that
        // of idle backends.
        let idle_latency = if self.mean_idle_latency > 0.0 { self.mean_idle_latency } else { SECOND };
        let limit = limit.min(idle_latency * MAX_IDLE_LATENCY_FACTOR * (0.5 + rank));
        // Customers that are probably within their quota are served first when capacity is short.
        let limit =
            limit * (1.0 - over_quota * (1.0 - EXACT_COUNT_DISCOUNT * self.call_pace * self.call_pace));
        // A few requests are always allowed. If each gateway had a number of its own, all of them together
        // would overload the backends. So it is two per backend over all gateways, which take turns.
        let always_allowed =
            self.round_by_hash(2.0 * self.backends.len() as f64 / self.cfg.gateways as f64, SECOND, 0);
        // A class that is refused while others fill the queue would be served nowhere, and its latency never
        // measured.
        let best_ratio = self.class_admission.iter().map(DecayingRatio::ratio).fold(0.0, f64::max);
        let in_time = self.class_idle_latency[class] <= target as f64 * QUEUE_FRACTIONS.1;
        let starved = in_time && self.class_admission[class].ratio() < MIN_RELATIVE_ADMISSION * best_ratio;
        let admitted = expected <= limit || self.active_attempts() < always_allowed || starved;
        self.class_admission[class].record(admitted);
        admitted
    }

    /// Returns the expected time to completion of a new request in microseconds, by Little's law. One of
    /// hundreds of gateways has few requests in flight and few completions per second, which are too little
    /// to go by. So they are weighed against `PRIOR_REQUESTS` at the mean latency.
    pub(crate) fn expected_latency(&self) -> f64 {
        let mean_seconds = (self.mean_latency / SECOND).max(1e-3);
        (self.active_attempts() + PRIOR_REQUESTS) / (self.completion_rate + PRIOR_REQUESTS / mean_seconds)
            * SECOND
    }

    /// Marks the attempts that no backend seems to work on, as they were lost on the way. Such an attempt is
    /// in flight until its deadline, many times as long as a response takes. Counted as queued work, a few of
    /// them would make a healthy fleet look overloaded and lead to refusals. An attempt is stalled if one
    /// that was sent to the same backend well after it has been answered: a queue would have kept the order.
    fn mark_stalled_attempts(&mut self) {
        for request in self.requests.values_mut().filter(|r| !r.streaming) {
            // `mean_latency` includes time-outs: with it, the more attempts stall, the later they would be
            // found.
            let latency = self.class_latency[request.class];
            let gap = STALLED_LATENCY_FACTOR * if latency > 0.0 { latency } else { self.mean_latency };
            for attempt in request.attempts.iter_mut().filter(|a| a.outcome.is_none() && !a.stalled) {
                let backend = self.backends.get_mut(&attempt.backend);
                if let Some(b) = backend.filter(|b| b.newest_answered as f64 > attempt.sent_at as f64 + gap) {
                    (attempt.stalled, b.stalled, self.stalled) = (true, b.stalled + 1, self.stalled + 1);
                }
            }
        }
    }

    /// Returns the worth of a class per microsecond of work.
    fn worth_per_work(&self, class: usize) -> f64 {
        let settings = &self.cfg.classes[class];
        let idle_latency = self.class_idle_latency[class];
        settings.worth / if idle_latency > 0.0 { idle_latency } else { settings.target_latency as f64 / 4.0 }
    }

    // ---------------------------------------------------------------- health

    /// Handles a list of backends.
    fn on_backend_list(&mut self, kind: ListKind, rows: Vec<BackendRow>) {
        let now = self.now;
        self.list_failed = kind == ListKind::Failed;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.backends.values_mut().for_each(|b| b.listed = false);
        }
        for row in rows {
            let is_cold = row.started_at > 0 && self.since(row.started_at) < self.cfg.warm_up as f64;
            let turn_progress = self.initial_turn(&row);
            let new = || Backend {
                row,
                turn_progress,
                latency_ratio: 1.0,
                last_answer_at: now,
                ..Backend::default()
            };
            let backend = self.backends.entry(row.backend).or_insert_with(new);
            if row.started_at != backend.row.started_at {
                // What was known of the previous process says nothing about the new one.
                (
                    backend.health,
                    backend.latency_ratio,
                    backend.failures,
                    backend.error_rate,
                    backend.reported_others,
                ) = (Health::Healthy, 1.0, 0, 0.0, None);
                backend.started_at = backend.started_at.filter(|_| !is_cold);
            }
            (backend.row, backend.listed) = (row, row.state != BackendState::Gone);
            backend.started_at =
                if is_cold { backend.started_at.max(Some(row.started_at)) } else { backend.started_at };
        }
    }

    /// Handles the disabling or enabling of a backend by an operator. The backend may have been restarted in
    /// between, and the list may tell that late. So what was known of the old process is dropped, and the
    /// backend is taken to start when it is enabled.
    fn on_backend_disabled(&mut self, backend: BackendId, disabled: bool) {
        if disabled {
            self.disabled_backends.entry(backend).or_insert(self.now);
        } else if let (Some(since), Some(b)) =
            (self.disabled_backends.remove(&backend), self.backends.get_mut(&backend))
        {
            (b.health, b.latency_ratio, b.failures, b.error_rate, b.reset_rate) =
                (Health::Healthy, 1.0, 0, 0.0, 0.0);
            b.started_at = if b.row.started_at >= since { b.started_at } else { Some(self.now) };
        }
    }

    /// Ejects a backend; one whose process seems to have ended (`dead`) comes back cold. Where all backends
    /// are slow none is an outlier: once a third of the fleet is ejected, only dead ones are.
    fn eject(&mut self, id: BackendId, dead: bool) {
        let unhealthy = self.backends.values().filter(|b| b.listed && b.health != Health::Healthy).count();
        let few_unhealthy = 3 * unhealthy < self.backends.len();
        // An ejection that ended before the backend's next request would have come would keep none away.
        let request_interval =
            (2.0 * self.usable_count().min(SUBSET_SIZE) / self.send_rate * SECOND).min(DECAY_TIME);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let (backoff, dead) = match backend.health {
            Health::Trial { backoff, dead: was_dead } => {
                ((backoff * 2.0).min(8.0 * BASE_EJECTION_TIME), dead || was_dead)
            }
            Health::Healthy if dead => (BASE_EJECTION_TIME, dead),
            Health::Healthy if few_unhealthy => (
                BASE_EJECTION_TIME
                    .max(request_interval)
                    .max((2.0 * backend.last_backoff).min(8.0 * BASE_EJECTION_TIME)),
                dead,
            ),
            _ => return,
        };
        backend.health = Health::Ejected { until: self.now + backoff as Micros, backoff, dead };
        (backend.failures, backend.last_backoff) = (0, backoff);
    }

    /// Does the periodic work: updates rates and means, tries ejected backends again, asks again for a list
    /// that failed, and forgets idle customers and unlisted backends.
    fn run_housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_INTERVAL, Task::Housekeeping);
        let calm_seconds = self.since(self.last_congestion_at.max(self.started_at.unwrap_or(0))) / SECOND;
        // A window of calls that has opened again shows that the counter has room. If the pace rose only
        // slowly then, requests would be refused meanwhile.
        let window_factor = 1.0 + self.max_calls / 2.0;
        let rise = if self.counter_is_healthy() {
            PACE_INCREASE * window_factor * (1.0 + calm_seconds) * HOUSEKEEPING_INTERVAL as f64 / SECOND
        } else {
            0.0
        };
        self.call_pace = (self.call_pace * (1.0 + rise)).min(1.0);
        let elapsed = self.since(self.rates_updated_at);
        let gain = (elapsed / RATE_SMOOTHING_TIME).min(1.0);
        self.completion_rate += (self.completions / elapsed.max(1.0) * SECOND - self.completion_rate) * gain;
        self.send_rate += (self.sends / elapsed.max(1.0) * SECOND - self.send_rate) * gain;
        (self.completions, self.sends, self.rates_updated_at) = (0.0, 0.0, self.now);
        self.class_admission.iter_mut().for_each(|r| r.decay((elapsed / DECAY_TIME).min(1.0)));
        self.mark_stalled_attempts();
        self.update_warm_throughput();
        self.advance_slow_start_turns(elapsed);
        let now = self.now;
        let ready = |b: &Backend| b.listed && b.row.state == BackendState::Ready;
        let disabled = &self.disabled_backends;
        for (id, backend) in self.backends.iter_mut().filter(|(id, b)| ready(b) && !disabled.contains_key(id))
        {
            match backend.health {
                Health::Ejected { until, backoff, dead } if now >= until => {
                    backend.health = Health::Trial { backoff, dead }
                }
                _ => continue,
            }
            match self.cfg.may_probe {
                true => self.actions.push(Action::Probe { backend: *id }),
                false => backend.readmit(now),
            }
        }
        if let Discovery::OnRequest { ask_interval } = self.cfg.discovery {
            // A fleet that asks for whole lists in addition to its subscriptions would overload discovery and
            // keep it from sending updates.
            let wait = ask_interval as f64 / 3.0 * (0.5 + self.hash_fraction(now / SECOND as u64));
            if self.list_failed && self.since(self.list_requested_at) > wait {
                (self.list_requested_at, self.list_failed) = (now, false);
                self.actions.push(Action::Subscribe { on: true });
            }
        }
        if now % (20 * HOUSEKEEPING_INTERVAL) < HOUSEKEEPING_INTERVAL {
            // New backends keep coming with new ids, so one that is not listed any more is forgotten once its
            // last attempt has ended.
            self.backends.retain(|_, b| b.listed || b.in_flight > 0);
            let windows: Vec<f64> = (0..self.cfg.plans.len()).map(|i| self.window_length(i)).collect();
            let (queue, plans) = (&mut self.sync_queue, &self.cfg.plans);
            self.customers.retain(|id, c| {
                let retention = RETENTION_TIME.max(4.0 * windows[c.plan]);
                let idle = now.saturating_sub(c.last_seen_at) as f64 > retention
                    && c.pending.is_empty()
                    && c.in_flight == 0;
                let drop = idle && plans[c.plan].ceiling.is_none();
                c.sync_at.filter(|_| drop).map(|t| queue.remove(&(t, *id)));
                !drop
            });
            let customers = &self.customers;
            self.counter_keys.retain(|_, (id, w)| customers.get(id).is_some_and(|c| *w + 2 >= c.window));
        }
    }

    // ---------------------------------------------------------------- attempts

    /// Sends a request's next attempt. Returns false if it may not be sent or no backend is eligible.
    fn send_attempt(&mut self, id: RequestId) -> bool {
        let (now, request) = (self.now, &self.requests[&id]);
        let (first, customer_id, class) = (request.attempts.is_empty(), request.customer, request.class);
        let ceiling = self.ceiling_level(customer_id).filter(|_| first).map(|level| level - request.units);
        if ceiling.is_some_and(|left| left < 0.0) {
            return false;
        }
        let Some(backend) = self.choose_backend(id) else { return false };
        if let Some(customer) = self.customers.get_mut(&customer_id) {
            customer.in_flight += 1;
            customer.ceiling = ceiling.map(|left| (left, now)).or(customer.ceiling);
        }
        // A backend does not work on a request whose body is still being received.
        let body_pending = self.requests[&id].body_pending;
        self.stalled += u32::from(body_pending);
        if let Some(b) = self.backends.get_mut(&backend) {
            b.update_in_flight_mean(now);
            b.in_flight += 1;
            b.turn_progress = if b.turn_progress >= 1.0 { 0.0 } else { b.turn_progress };
            b.stalled += u32::from(body_pending);
            record_time(&mut b.recent_sends, now, self.cfg.collapse_after);
        }
        self.in_flight += 1;
        self.sends += 1.0;
        let (begin_by, reason) = (self.repeat_window_end(id), self.send_reason(id));
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.attempts.push(Attempt { backend, sent_at: now, outcome: None, stalled: body_pending });
        self.actions.push(Action::Send { id, backend, timeout: None, begin_by, reason });
        if first {
            self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(1.0 / RETRY_BUDGET_RATIO);
            if self.cfg.hedging {
                let target = self.cfg.classes[class].target_latency as f64;
                let delay = (3.0 * self.class_latency[class])
                    .clamp(target * HEDGE_FRACTIONS.0, target * HEDGE_FRACTIONS.1);
                self.set_timer(delay as Micros, Task::Hedge(id));
            }
        }
        true
    }

    /// Hedges a request whose first attempt is late, if the retry budget allows it and the backends are not
    /// overloaded.
    fn on_hedge(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let waits = !request.done && !request.streaming && request.attempts.len() == 1;
        let overloaded = self.expected_latency()
            > self.cfg.classes[request.class].target_latency as f64 * QUEUE_FRACTIONS.0 * HEDGE_FRACTIONS.1;
        if waits && self.retry_tokens >= 1.0 && !overloaded && self.send_attempt(id) {
            self.retry_tokens -= 1.0;
        }
    }

    /// Handles the end of an attempt: records its result, and retries or answers the request if needed.
    fn on_attempt_ended(&mut self, result: AttemptResult) {
        self.record_load_report(result.backend, result.load);
        let (id, outcome) = (result.id, result.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(result.attempt.0 as usize);
        let Some(attempt) = attempt.filter(|a| a.outcome.is_none()) else { return };
        attempt.outcome = Some(outcome);
        let (backend_id, class, customer_id, units) =
            (attempt.backend, request.class, request.customer, request.units);
        let (stalled, sent_at) = (attempt.stalled, attempt.sent_at);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.stalled = self.stalled.saturating_sub(u32::from(stalled));
        if let Some(b) = self.backends.get_mut(&backend_id) {
            b.stalled = b.stalled.saturating_sub(u32::from(stalled));
            b.newest_answered =
                if outcome == Outcome::Ok { b.newest_answered.max(sent_at) } else { b.newest_answered };
        }
        if let Some(customer) = self.customers.get_mut(&customer_id) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            // The first successful response tells the true units of a request.
            let is_billed = self.cfg.billed_on_response && outcome == Outcome::Ok && !request.done;
            let correction = result.billed_units.filter(|_| is_billed).map_or(0.0, |billed| billed - units);
            // Where calls are limited, calls for corrections alone would take most of them. So corrections
            // are added by calls made for other reasons.
            *if self.call_pace < 1.0 {
                &mut customer.current.correction
            } else {
                &mut customer.current.unsent
            } += correction;
        }
        request.done |= result.request_done;
        request.body_consumed |= result.body_consumed;
        let metered = result.quota_use.filter(|used| used.is_finite() && self.cfg.meter_period > 0);
        metered.inspect(|&used| self.record_quota_use(customer_id, used, None));
        // The time-out of a stalled attempt says nothing about its backend or a queue there.
        let recorded = if stalled && outcome == Outcome::Timeout { Outcome::Cancelled } else { outcome };
        self.record_outcome(backend_id, class, self.class_and_plan(id), recorded, result.elapsed as f64);
        let request = &self.requests[&id];
        if request.done {
            return self.finish(id);
        }
        let none_in_flight = request.attempts.iter().all(|a| a.outcome.is_some());
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
        let time_left = request.deadline.saturating_sub(self.now) as f64 > self.class_idle_latency[class];
        let may_retry = time_left && outcome != Outcome::NotSent && (never_ran || self.retry_tokens >= 1.0);
        match none_in_flight {
            true if may_retry && self.send_attempt(id) => {
                self.retry_tokens = (self.retry_tokens - 1.0).max(0.0)
            }
            true => self.give_up(id),
            false => {}
        }
    }

    /// Records the outcome of an attempt for its backend and class, and ejects the backend if need be.
    /// `elapsed` is the time since the attempt was sent, in microseconds.
    fn record_outcome(
        &mut self,
        id: BackendId,
        class: usize,
        class_and_plan: ClassAndPlan,
        outcome: Outcome,
        elapsed: f64,
    ) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.update_in_flight_mean(now);
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            // The longer ago the last response came, the more weight the new one has. With a small fixed
            // weight it would take five errors at each of a hundred gateways, hundreds of requests, to see a
            // fault.
            let gain = MEAN_GAIN
                .max(1.0 - (-(now.saturating_sub(backend.last_answer_at) as f64) * 2.0 / DECAY_TIME).exp());
            backend.error_rate +=
                (f64::from(u8::from(outcome == Outcome::Error)) - backend.error_rate) * gain;
            backend.last_answer_at = now;
            self.completions += 1.0;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Reset) {
            backend.reset_rate +=
                (f64::from(u8::from(outcome == Outcome::Reset)) - backend.reset_rate) * MEAN_GAIN;
            backend.last_reset_at = if outcome == Outcome::Reset { now } else { backend.last_reset_at };
        }
        match outcome {
            Outcome::Ok => {
                (backend.failures, backend.last_backoff) = (0, backend.last_backoff / 2.0);
                record_time(&mut backend.recent_completions, now, self.cfg.collapse_after);
                backend.last_full_at.retain(|k, _| !class_and_plan.contains(k));
                let (latency, idle_latency) =
                    (&mut self.class_latency[class], &mut self.class_idle_latency[class]);
                let samples = &mut self.class_samples[class];
                *samples = (*samples + 1).min(BASELINE_SAMPLES);
                if *samples == 1 {
                    *latency = elapsed;
                }
                let ratio = (elapsed / *latency).min(10.0);
                *latency += (elapsed - *latency) * (MEAN_GAIN / 4.0).max(1.0 / f64::from(*samples));
                // Requests differ much in their work. If a short one that came first set the idle latency, it
                // would be too low for a long time.
                if *samples < BASELINE_SAMPLES {
                    *idle_latency = *latency;
                }
                // The idle latency falls with the mean and rises a hundred times more slowly, so that it does
                // not follow an overload.
                *idle_latency += (*latency - *idle_latency)
                    * if *latency < *idle_latency { MEAN_GAIN / 2.0 } else { MEAN_GAIN / 200.0 };
                update_mean(&mut self.mean_latency, elapsed, MEAN_GAIN);
                update_mean(&mut self.mean_idle_latency, *idle_latency, MEAN_GAIN / 5.0);
                backend.latency_ratio += (ratio - backend.latency_ratio) * MEAN_GAIN * 0.4;
                backend.latency_ratio_at = now;
            }
            Outcome::Timeout => {
                backend.failures += 1;
                backend.latency_ratio += (5.0 - backend.latency_ratio).max(0.0) * MEAN_GAIN;
                // A time-out is a lower bound of the latency, so that an overload shows in time-outs too. It
                // lasts many times as long as a response takes. Counted in full, a few would have all
                // requests refused for good, as no response could then correct the mean.
                let max_sample = if self.mean_idle_latency > 0.0 {
                    MAX_TIMEOUT_FACTOR * self.mean_latency
                } else {
                    elapsed
                };
                self.mean_latency += (elapsed.min(max_sample) - self.mean_latency).max(0.0) * MEAN_GAIN;
                backend.latency_ratio_at = now;
                if backend.failures >= TIMEOUTS_BEFORE_EJECTION {
                    self.eject(id, false);
                }
            }
            Outcome::Error if backend.error_rate > EJECTION_ERROR_RATE => self.eject(id, false),
            // One broken response or connection, as any backend may have, does not mean that the process has
            // ended: a healthy backend that is taken for dead would come back cold. If the process has ended,
            // the next connection breaks too.
            Outcome::ConnectFailed | Outcome::Reset => {
                backend.failures += 1;
                // Where the network breaks connections, all backends seem to have ended. If they all came
                // back cold, the budget for cold backends would leave the fleet without capacity. So only a
                // backend that does not respond to a probe either is taken to have ended. This misses a
                // process that restarts within `CONNECTION_PROBE_DELAY`.
                if backend.failures >= MAX_CONNECTION_FAILURES && !self.cfg.may_probe {
                    self.eject(id, true);
                } else if backend.failures >= MAX_CONNECTION_FAILURES && backend.health == Health::Healthy {
                    let until = now + CONNECTION_PROBE_DELAY as Micros;
                    (backend.health, backend.failures) =
                        (Health::Ejected { until, backoff: BASE_EJECTION_TIME / 2.0, dead: false }, 0);
                }
            }
            // `full` may concern one class or plan although there is room for others, so it is recorded for
            // each of them.
            Outcome::Full => backend.last_full_at.extend(class_and_plan.map(|k| (k, now))),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Gives the final answer to a request that was not served: refused if it did not run or may run again,
    /// else failed.
    fn give_up(&mut self, id: RequestId) {
        if self.may_refuse(id) {
            // Clients that get no advice come back at once and meet the same problem.
            return self.refuse(id, RefusalReason::GivenUp, self.expected_latency() as Micros);
        }
        self.answer(id, Action::Fail { id });
    }

    /// Refuses a request of which no attempt has been sent, and counts the refusal.
    fn refuse_unsent(&mut self, id: RequestId, reason: RefusalReason, wait: Micros) {
        self.refusals.count(reason);
        self.refuse(id, reason, wait);
    }

    /// Refuses a request. `wait` is the advice to the client, which the settings limit.
    fn refuse(&mut self, id: RequestId, reason: RefusalReason, wait: Micros) {
        let wait = if self.cfg.send_retry_after { wait.min(self.cfg.max_retry_after) } else { 0 };
        self.answer(id, Action::Refuse { id, retry_after: wait, reason });
    }

    /// Gives a request its final answer, unless it has had one.
    fn answer(&mut self, id: RequestId, action: Action) {
        if self.requests.get(&id).is_some_and(|r| !r.done) {
            self.actions.push(action);
            self.close(id);
        }
    }

    /// Ends a request that has its final answer or whose client has left.
    fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.done = true;
            self.drop_held_request(id);
            self.finish(id);
        }
    }

    /// Sets a request's deadline anew, as its whole body has arrived and its client waits from there.
    fn set_deadline(&mut self, id: RequestId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.deadlines.remove(&(request.deadline, id));
        request.deadline = deadline;
        self.deadlines.insert((deadline, id));
        self.arm_deadline_timer();
    }

    /// Handles the end of an upload. From here on the backend works on the request.
    fn on_uploaded(&mut self, id: RequestId, deadline: Micros) {
        self.set_deadline(id, deadline);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.body_pending = false;
        for attempt in request.attempts.iter_mut().filter(|a| a.stalled && a.outcome.is_none()) {
            (attempt.stalled, attempt.sent_at, self.stalled) =
                (false, self.now, self.stalled.saturating_sub(1));
            let backend = self.backends.get_mut(&attempt.backend);
            backend.into_iter().for_each(|b| b.stalled = b.stalled.saturating_sub(1));
        }
    }

    /// Sets the timer for the earliest deadline. One timer serves all open requests, so that the deadlines of
    /// finished ones cost nothing.
    fn arm_deadline_timer(&mut self) {
        let Some(&(first, _)) = self.deadlines.first() else { return };
        if self.deadline_timer.is_none_or(|(at, _)| first < at) {
            self.set_timer(first.saturating_sub(self.now), Task::Deadlines);
            self.deadline_timer = Some((first, self.last_timer_token));
        }
    }

    /// Gives up the requests whose deadlines have passed, except those whose response is being streamed.
    fn on_deadlines(&mut self, token: TimerToken) {
        if self.deadline_timer.is_some_and(|(_, t)| t == token.0) {
            self.deadline_timer = None;
        }
        while let Some(&(at, id)) = self.deadlines.first().filter(|d| d.0 <= self.now) {
            self.deadlines.remove(&(at, id));
            if self.requests.get(&id).is_some_and(|r| !r.streaming) {
                self.give_up(id);
            }
        }
        self.arm_deadline_timer();
    }

    /// Cancels the attempts of a request that are in flight, except `keep`.
    fn cancel_attempts(&mut self, id: RequestId, keep: Option<AttemptIndex>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.cfg.may_cancel) else { return };
        let in_flight =
            (0..).zip(&request.attempts).filter(|(_, a)| a.outcome.is_none()).map(|(i, _)| AttemptIndex(i));
        let cancels = in_flight.filter(|i| Some(*i) != keep).map(|attempt| Action::Cancel { id, attempt });
        self.actions.extend(cancels);
    }

    /// Forgets a request that is done once all of its attempts have ended, and cancels those in flight.
    fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().all(|a| a.outcome.is_some()) {
            self.deadlines.remove(&(request.deadline, id));
            self.requests.remove(&id);
        } else if !request.streaming {
            self.cancel_attempts(id, None);
        }
    }

    // ---------------------------------------------------------------- limits that protect backends

    /// Returns whether a backend's slow start allows another attempt now. A cold backend collapses when it is
    /// sent more than `collapse_multiple` times its present capacity throughout `collapse_after`. So the
    /// sends to it are limited to this gateway's share of that load. The full capacity is not told; what each
    /// warm backend serves of this gateway's requests is at most that.
    fn slow_start_allows(&self, backend: &Backend, usable: f64) -> bool {
        if self.capacity(backend) >= 1.0 {
            return true;
        }
        let budget = self.slow_start_budget(backend, usable);
        // With less than one attempt per `collapse_after`, the gateways take turns.
        if budget < 1.0 {
            return backend.turn_progress >= 1.0 && backend.in_flight == 0;
        }
        let budget = self.round_by_hash(budget, self.cfg.collapse_after as f64, backend.row.key());
        self.recent_count(&backend.recent_sends).max(backend.in_flight as f64) < budget
    }

    /// Returns the number of attempts that this gateway may send to a cold backend within `collapse_after`; 0
    /// if the backend is not in its subset. `usable` is the number of usable backends.
    fn slow_start_budget(&self, backend: &Backend, usable: f64) -> f64 {
        let (period, subset_fraction) = (self.cfg.collapse_after as f64, (SUBSET_SIZE / usable).min(1.0));
        let throughput = self.warm_throughput.max(self.completion_rate / usable * period / SECOND);
        let in_subset = f64::from(u8::from(self.hash_fraction(backend.row.key()) < subset_fraction));
        SLOW_START_FRACTION * self.cfg.collapse_multiple * self.capacity(backend) * throughput * in_subset
            / subset_fraction
    }

    /// Brings this gateway's turns at cold backends nearer by the time `elapsed`, in microseconds. If the
    /// turns were drawn anew in each period, they would often fall to gateways that have no request then or
    /// choose another backend. Cold backends would stay idle while the warm ones are overloaded.
    fn advance_slow_start_turns(&mut self, elapsed: f64) {
        let usable = self.usable_count();
        let is_cold = |b: &Backend| self.is_usable(b) && self.capacity(b) < 1.0;
        // Turns only advance while a backend is cold and in use. Otherwise they would be due at all gateways
        // at the moment when it comes back cold.
        let turn = |b: &Backend| {
            let budget = is_cold(b).then(|| self.slow_start_budget(b, usable)).filter(|n| *n < 1.0);
            let advanced =
                budget.map(|n| (b.turn_progress + n * elapsed / self.cfg.collapse_after as f64).min(1.0));
            advanced.unwrap_or_else(|| self.initial_turn(&b.row))
        };
        let turns: Vec<_> = self.backends.values().map(turn).collect();
        self.backends.values_mut().zip(turns).for_each(|(b, turn)| b.turn_progress = turn);
    }

    /// Updates the estimate of what a backend at its full capacity serves, from what warm backends serve.
    ///
    /// A mean that included cold backends would fall with the load that they are kept from. They would stay
    /// idle while the warm ones are overloaded and clients are refused. Sends are no measure either, as an
    /// overload increases them: a few warm backends were sent 2.5 times what they bear, and much of it was
    /// rejected and sent again. A budget based on that would have made cold backends collapse.
    fn update_warm_throughput(&mut self) {
        let usable: Vec<_> = self.backends.values().filter(|b| self.is_usable(b)).collect();
        let warm: Vec<_> = usable.iter().filter(|b| self.capacity(b) >= 1.0).collect();
        if warm.len() * 3 >= usable.len().max(1) {
            // The estimate falls slowly, as backends also serve less when they are sent less.
            let served = warm.iter().map(|b| self.recent_count(&b.recent_completions)).sum::<f64>();
            // Few completions peak by chance, so one standard deviation is subtracted.
            let throughput = (served - served.sqrt()) / warm.len() as f64;
            self.warm_throughput =
                throughput.max(self.warm_throughput * (1.0 - HOUSEKEEPING_INTERVAL as f64 / RETENTION_TIME));
        }
    }

    /// Returns the units left in this gateway's even share of a customer's ceiling, if its plan has one.
    /// First attempts must never overdraw the ceiling, and with even shares those of all gateways together do
    /// not. The bucket starts empty, as a process that has restarted does not know what was spent before.
    fn ceiling_level(&self, id: CustomerId) -> Option<f64> {
        let customer = &self.customers[&id];
        let ceiling = self.cfg.plans[customer.plan].ceiling?;
        let (level, at) = customer.ceiling.unwrap_or((0.0, self.started_at.unwrap_or(self.now)));
        Some(
            (level + ceiling.rate / customer.spread * self.since(at) / SECOND)
                .min(ceiling.burst / customer.spread),
        )
    }
}
