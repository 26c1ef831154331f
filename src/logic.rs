//! The decisions of a gateway on the events and actions of `src/api.rs`: quota, choice of backend, health of
//! backends, attempts and the limits that protect backends. Times are `f64` microseconds unless they are
//! [`Micros`].

use crate::api::*;
use crate::state::*;

/// One second, in microseconds.
const SECOND: f64 = 1e6;
/// The usual interval between two syncs of a customer with the counter, in microseconds.
const SYNC_INTERVAL: f64 = 1e6;
/// The smallest remaining fraction of a quota that the delay of a sync is computed with.
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
const LATE_ANSWER_FRACTION: f64 = 0.75;
/// The number of consecutive time-out periods with failed calls and no answer after which the counter may be
/// down.
const MAX_COUNTER_FAILURES: u32 = 3;
/// The fraction of recent calls without an answer in time from which the counter is not relied on.
const MAX_UNANSWERED_CALL_RATE: f64 = 0.3;
/// The number of sampled requests that a window must hold for its total to be meaningful.
const MIN_SAMPLES_PER_WINDOW: f64 = 2.0;
/// The time constant, in microseconds, with which observations of customers and backends lose their weight.
const OBSERVATION_DECAY_TIME: f64 = 10e6;
/// The initial probabilities of being over quota: of a new customer and of a returning one.
const INITIAL_OVER_QUOTA_RATES: [f64; 2] = [0.3, 0.6];
/// The least probability of being over quota of a returning customer where there is no counter and an uneven
/// share of the quota holds less than two requests.
const UNCOUNTED_OVER_QUOTA_PROBABILITY: f64 = 0.7;
/// The fraction of its quota from which a customer's next request may well be over the quota.
const NEAR_QUOTA_USE: f64 = 0.5;
/// The multiple of this gateway's share that may be admitted on the probability of being over quota alone, as
/// traffic is spread unevenly over the gateways.
const UNEVEN_TRAFFIC_FACTOR: f64 = 4.0;
/// The fraction of the penalty for a probable excess of the quota that is waived at the full pace of calls,
/// when all units are counted.
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
const MAX_TIMEOUT_SAMPLE_FACTOR: f64 = 2.0;
/// The weight of a new sample in slowly changing means.
const SMOOTHING_GAIN: f64 = 0.1;
/// The number of consecutive failures at which a time-out ejects a backend.
const TIMEOUTS_BEFORE_EJECTION: u32 = 3;
/// The number of consecutive failures at which a failed or broken connection has the backend probed, or
/// ejected where probes are not allowed.
const CONNECTION_FAILURES_BEFORE_PROBE: u32 = 2;
/// The delay of that probe, in microseconds. It is short, as a backend that has only lost connections is soon
/// back in use.
const CONNECTION_PROBE_DELAY: f64 = 50_000.0;
/// How long a backend that seems to have restarted is taken for cold, in microseconds. By then the list of
/// backends tells whether it has.
const PRESUMED_COLD_TIME: f64 = 5e6;
/// The fraction of errors among recent responses above which a backend is ejected.
const EJECTION_ERROR_RATE: f64 = 0.4;
/// The first wait before an ejected backend is tried again, in microseconds. It doubles up to 8 times this.
const BASE_EJECTION_TIME: f64 = 500_000.0;
/// The fractions of its target latency that a request's completion may be expected to take: at the least and
/// at the greatest worth.
const QUEUE_TIME_FRACTIONS: (f64, f64) = (0.35, 0.6);
/// The multiple of the latency of idle backends above which the expected latency leads to refusals.
const MAX_IDLE_LATENCY_FACTOR: f64 = 7.0;
/// The number of requests at the mean latency that the measured throughput is weighed against.
const PRIOR_REQUESTS: f64 = 2.0;
/// The number of further attempts that each first attempt adds to the retry budget.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The fraction of the best admission rate of all classes that each class is admitted at, at the least.
const MIN_RELATIVE_ADMISSION: f64 = 0.3;
/// The earliest and the latest time of a hedged attempt, as fractions of the target latency.
const HEDGE_DELAY_FRACTIONS: (f64, f64) = (0.45, 0.7);
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
const SLOW_START_BUDGET_FRACTION: f64 = 0.55;

impl Customer {
    /// The design's weighted sliding estimate at part `x` of the window, of all and of own.
    fn estimate(&self, x: f64) -> f64 {
        self.previous.total_estimate() * (1.0 - x) + self.current.total_estimate()
    }
    /// This gateway's traffic-weighted part, an even one at the least.
    fn quota_share(&self) -> f64 {
        self.traffic_share.max(1.0 / self.spread)
    }
    fn own_estimate(&self, x: f64) -> f64 {
        self.previous.admitted * (1.0 - x) + self.current.admitted
    }
}

impl Backend {
    /// Brings the smoothed count of own requests up to now; to be called before `out` changes.
    fn update_in_flight_mean(&mut self, now: Micros) {
        let dt = now.saturating_sub(self.in_flight_mean_at) as f64;
        self.in_flight_mean +=
            (self.in_flight as f64 - self.in_flight_mean) * (1.0 - (-dt / LOAD_REPORT_AGE).exp());
        self.in_flight_mean_at = now;
    }
}

impl Gateway {
    /// Creates a gateway without backends or customers. `seed` seeds its random choices. Fails on an invalid
    /// setting.
    pub fn new(cfg: Config, seed: u64) -> Result<Self, ConfigError> {
        cfg.validate()?;
        let (rng, classes) = (Random(hash(seed) | 1), cfg.classes.len());
        let (over_seen, retry_tokens) = (vec![INITIAL_OVER_QUOTA_RATES; cfg.plans.len()], 1.0);
        let pace = (MAX_CALLS_IN_FLIGHT / cfg.gateways as f64).clamp(0.3, 1.0);
        Ok(Gateway {
            cfg,
            random: rng,
            over_quota_rates: over_seen,
            call_pace: pace,
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
            Event::Request(a) => self.on_request(a),
            // A begun stream is the client's: other copies only waste work.
            Event::StreamStarted { id, attempt, .. } => {
                self.requests.entry(id).and_modify(|r| r.streaming = true);
                self.cancel_attempts(id, Some(attempt));
            }
            Event::AttemptEnded(e) => self.on_attempt_ended(e),
            Event::Uploaded { id, deadline } => self.on_uploaded(id, deadline),
            Event::ClientGone { id } => self.close(id),
            Event::BackendDisabled { backend, disabled: out } => self.on_backend_disabled(backend, out),
            Event::Drain { on } => self.draining = on,
            Event::HandoverReceived(legacy) => self.on_handover_received(*legacy),
            Event::UnsyncedUnits(all) => all.into_iter().for_each(|s| self.on_unsynced_units(s)),
            Event::OtherProcess { serving: on } => self.other_process_serving = on,
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
                    // Never sent: no news of the backend, which is asked again.
                    Some(Backend { health, .. }) if outcome == Outcome::NotSent => {
                        if let Health::Trial { wait, dead } = *health {
                            *health = Health::Ejected { until: self.now + wait as Micros, wait, dead };
                        }
                    }
                    // One that answers lives, though it is not well: it does not come back cold.
                    _ => self.eject(backend, !matches!(outcome, Outcome::Error | Outcome::Full)),
                }
            }
            Event::Message { .. } => {}
            Event::CounterCallEnded { key: name, result, elapsed } => {
                self.on_counter_call_ended(name, result, elapsed as f64)
            }
            Event::OverdueCallEnded { key: name, amount, result } => {
                self.on_overdue_call_ended(name, amount, result)
            }
        }
        self.send_due_syncs();
        actions.append(&mut self.actions);
    }

    // ---------------------------------------------------------------- quota

    /// Window length in microseconds: burst / rate, the time the store takes to fill.
    fn window_length(&self, plan: usize) -> f64 {
        let p = &self.cfg.plans[plan];
        (p.burst / p.rate * SECOND).clamp(SECOND / 100.0, MAX_KEY_LIFETIME / 3.0)
    }

    /// What a window may hold: rate x window.
    fn window_limit(&self, plan: usize) -> f64 {
        self.cfg.plans[plan].rate * self.window_length(plan) / SECOND
    }

    /// A customer's window and the part of it passed; customers roll over at different instants.
    fn window_position(&self, id: CustomerId, plan: usize) -> (u64, f64) {
        let x = self.now as f64 / self.window_length(plan) + to_fraction(hash(id.for_plan(plan).0));
        (x as u64, x.fract())
    }

    fn counter_key(&self, id: CustomerId, plan: usize, window: u64) -> CounterKey {
        // Plans whose windows are as long number them alike.
        let alike = (0..plan).filter(|p| self.window_length(*p) == self.window_length(plan)).count();
        CounterKey(hash(hash(id.for_plan(plan).for_plan(alike).0).wrapping_add(window)))
    }

    /// Brings a customer's windows and store up to now; returns the part of the window passed.
    fn advance_windows(&mut self, id: CustomerId) -> f64 {
        let plan = self.customers[&id].plan;
        if self.cfg.plans[plan].rate <= 0.0 {
            return 0.0;
        }
        let ((window, x), limit) = (self.window_position(id, plan), self.window_limit(plan));
        let old = self.counter_key(id, plan, window.wrapping_sub(2));
        let Some(c) = self.customers.get_mut(&id) else { return x };
        let gained = self.cfg.plans[plan].rate * self.now.saturating_sub(c.bucket_updated_at) as f64 / SECOND;
        (c.bucket_level, c.bucket_updated_at) = ((c.bucket_level + gained).min(limit), self.now);
        let part = c.quota_share();
        c.own_bucket_level =
            (c.own_bucket_level + gained * part).min((limit * part).max(self.cfg.max_units.max(1.0)));
        if window != c.window {
            if c.current.total_received_at.is_some() && c.current.total_estimate() > 0.0 {
                c.traffic_share += ((c.current.own_units() / c.current.total_estimate()).clamp(0.0, 1.0)
                    - c.traffic_share)
                    * 0.5;
                c.other_gateways_units +=
                    (c.current.total_estimate() - c.current.own_units() - c.other_gateways_units) * 0.5;
            }
            let last = std::mem::take(&mut c.current);
            c.previous = if window == c.window + 1 { last } else { WindowCount::default() };
            (c.window, c.previous_reads) = (window, 0);
            let owes =
                if self.call_pace < 1.0 { c.previous.unsent != 0.0 } else { c.previous.own_units() > 0.0 };
            self.counter_keys.remove(&old);
            if owes {
                self.schedule_sync(id, 0.3 * SYNC_INTERVAL);
            }
        }
        x
    }

    /// Whether its totals are fresh enough to spend parts of them. Danger: one that is slow is not silent;
    /// parts of totals that come seconds late flood the quotas.
    fn counter_is_healthy(&self) -> bool {
        self.cfg.counter.is_some()
            && self.counter_failures < MAX_COUNTER_FAILURES
            && self.unanswered_call_rate < MAX_UNANSWERED_CALL_RATE
    }

    /// A silent counter gets single trial calls, so that it is not met by a pile-up.
    fn may_call_counter(&self) -> bool {
        let hears = self.cfg.counter.is_some() && self.counter_failures < MAX_COUNTER_FAILURES;
        let most = if hears { self.max_calls } else { 1.0 };
        self.calls_in_flight < most && (hears || self.now >= self.next_trial_call_at)
    }

    /// The design's estimate against rate x window, and this gateway's part of the room, decide.
    fn decide_quota(&mut self, id: CustomerId, units: f64) -> QuotaDecision {
        let x = self.advance_windows(id);
        let c = &self.customers[&id];
        let (p, even) = (&self.cfg.plans[c.plan], 1.0 / c.spread);
        // Two processes of this gateway go by the same total: each spends half of the part.
        let share = c.quota_share() * if self.other_process_serving { 0.5 } else { 1.0 };
        if p.max_concurrent > 0 && c.in_flight as f64 >= (p.max_concurrent as f64 * share).max(1.0).floor() {
            return QuotaDecision::Refuse(RefusalReason::OverQuota, 0);
        }
        if p.rate <= 0.0 {
            return QuotaDecision::Admit(true, 0.0);
        }
        let (limit, rate) = (self.window_limit(c.plan), p.rate);
        let over = |why, excess: f64| QuotaDecision::Refuse(why, (excess / rate * SECOND).max(0.0) as Micros);
        let (batches, recent) =
            (limit * share >= units, c.total_received_at().is_some_and(|t| self.since(t) <= SYNC_INTERVAL));
        let known =
            c.previous.total.max(c.previous.own_units()) * (1.0 - x) + c.current.total.max(c.current.added);
        if self.counter_is_healthy() || recent {
            let fresh = c.current.unsent + c.current.in_call;
            if fresh + units <= (limit - known) * share {
                return QuotaDecision::Admit(true, 0.0);
            }
            // The window spreads a burst over its whole length; the store behind it has refilled since.
            // Where the store or the estimate has room and only the part is spent, a fresh total settles it.
            let excess = c.estimate(x) + units - limit;
            if excess > 0.0 && c.bucket_level < units {
                return over(RefusalReason::OverQuota, excess.max(units * even));
            }
            let chance = self.call_probability(id, units);
            if self.counter_is_healthy() && self.may_call_counter() && self.random.next() < chance {
                return QuotaDecision::Hold(if batches { units } else { units / chance });
            }
            // Danger: a spent part is no spent quota. Where no call may settle it, own use decides below.
        }
        // Those drawn for a call are counted for those that were not.
        if self.decide_without_total(id, units) {
            QuotaDecision::Admit(
                !self.counter_is_healthy() || batches,
                self.over_quota_probability(&self.customers[&id]),
            )
        } else {
            over(RefusalReason::NoFreshTotal, units)
        }
    }

    /// The odds of being over quota: by what the customer was last seen to be, or how such others were.
    fn over_quota_probability(&self, c: &Customer) -> f64 {
        let age = self.decay(c.quota_checked_at, OBSERVATION_DECAY_TIME);
        let again = c.current.request_seen || c.previous.request_seen;
        c.over_quota_rate * age + self.over_quota_rates[c.plan][usize::from(again)] * (1.0 - age)
    }

    /// Where the counter does not bear all calls, they go where the answer is worth most.
    fn call_probability(&mut self, id: CustomerId, units: f64) -> f64 {
        let c = &self.customers[&id];
        let (odds, plan) = (self.over_quota_probability(c), &self.cfg.plans[c.plan]);
        let gain = (odds * plan.over_cost).min(1.0 - odds).max(SMOOTHING_GAIN / 10.0) * plan.price * units;
        update_mean(&mut self.mean_call_value, gain, SMOOTHING_GAIN / 5.0);
        let chance = self.call_pace.powf(self.mean_call_value / gain);
        // Danger: a count that stands for many fills a small quota by itself and shuts its customer out.
        let tells = chance * self.window_limit(self.customers[&id].plan) >= MIN_SAMPLES_PER_WINDOW * units;
        Some(chance).filter(|_| tells).unwrap_or(0.0)
    }

    /// Decides without a fresh total: the counter is silent or bears no more calls.
    fn decide_without_total(&self, id: CustomerId, units: f64) -> bool {
        let c = &self.customers[&id];
        let (x, limit, w) =
            (self.window_position(id, c.plan).1, self.window_limit(c.plan), self.window_length(c.plan));
        let told = c.total_received_at();
        // Danger: frozen totals refuse or grant for ever. Own traffic is held against the remembered
        // share, which leans to an even split with age.
        let lean = told.map_or(1.0, |t| (self.since(t) / w).min(1.0));
        // Others' last known use leaves the rest to this gateway: calm customers are not cut.
        let others =
            c.other_gateways_units.max(c.previous.other_gateways_units).max(c.current.other_gateways_units);
        let lately = (c.traffic_share * limit).max(limit - 1.25 * others);
        // A remembered share of the traffic is right for longer than totals are; all gateways' make one.
        let trust = told.map_or(0.0, |t| self.decay(t, OBSERVATION_DECAY_TIME));
        let split = limit * (c.traffic_share * trust + (1.0 - trust) / c.spread);
        let part = lately * (1.0 - lean) + split * lean;
        let own = c.own_estimate(x) + units;
        // Danger: a window's estimate forgets a lone request only at the end of the next one, and halves
        // a part of a unit or two. This gateway's part is saved up as the store is, until it holds a request.
        // It hurts where all gateways' shares and slices are asked for at once: up to the quota once
        // more.
        if own <= part || c.own_bucket_level >= units || part >= units {
            return own <= part || c.own_bucket_level >= units;
        }
        // Danger: parts below one request strand a small quota, one from each floods it: the odds decide.
        // One that comes again asks for its second: uneven parts that hold no two are no sign of room for it.
        let again =
            (c.current.request_seen || c.previous.request_seen) && UNEVEN_TRAFFIC_FACTOR * part < 2.0 * units;
        let odds = self.over_quota_probability(c).max(if again && self.cfg.counter.is_none() {
            UNCOUNTED_OVER_QUOTA_PROBABILITY
        } else {
            0.0
        });
        own <= units.max(UNEVEN_TRAFFIC_FACTOR * part)
            && (1.0 - odds) > odds * self.cfg.plans[c.plan].over_cost
    }

    /// Takes in how near its quota a customer was found, by the meter or a total (had it come `again`?).
    fn record_quota_use(&mut self, id: CustomerId, used: f64, again: Option<bool>) {
        let Some(c) = self.customers.get_mut(&id) else { return };
        let over = ((used - NEAR_QUOTA_USE) / (1.0 - NEAR_QUOTA_USE)).clamp(0.0, 1.0);
        if let Some(again) = again.filter(|_| c.quota_checked_at == 0) {
            let seen = &mut self.over_quota_rates[c.plan][usize::from(again)];
            *seen += (over - *seen) * SMOOTHING_GAIN;
        }
        c.over_quota_rate += (over - c.over_quota_rate) * if c.quota_checked_at == 0 { 1.0 } else { 0.5 };
        c.quota_checked_at = self.now;
    }

    /// Counts units that go on without a call of their own; where calls are short, a drawn part of them
    /// for the rest: the totals stay right on the whole.
    fn record_units(&mut self, id: CustomerId, units: f64, counts: bool) {
        let x = self.advance_windows(id);
        let (draw, limit) = (self.random.next(), self.window_limit(self.customers[&id].plan));
        let Some(c) = self.customers.get_mut(&id) else { return };
        c.record_admitted(units);
        // Where the part is a request and more, counts wait for one another instead.
        let pace = if limit * c.quota_share() >= units { 1.0 } else { self.call_pace };
        let drawn = counts && draw < pace;
        if drawn && self.cfg.plans[c.plan].rate > 0.0 {
            c.current.unsent += units / pace;
            let (est, own) = (c.estimate(x), c.current.own_units() * c.spread);
            let left = (1.0 - est / limit).clamp(MIN_REMAINING_FRACTION, 1.0);
            let calm = est.max(own) < LOW_USE_FRACTION * limit || pace < 1.0;
            self.schedule_sync(
                id,
                SYNC_INTERVAL / self.call_pace
                    * if calm { 1.0 } else { left * left * NEAR_QUOTA_SYNC_FRACTION },
            );
        }
    }

    /// The due sync that is worth most. Where the counter bears all, that is the one that is due; where it is
    /// slow, what waits longest may be a small customer's, while dear units go on that nobody knows of.
    fn next_sync(&self) -> Option<(Micros, CustomerId)> {
        let due = self.sync_queue.iter().take_while(|s| s.0 <= self.now).take(MAX_SYNC_CANDIDATES);
        let worth = |id: &CustomerId| {
            let c = &self.customers[id];
            (c.current.unsent + c.previous.unsent + c.held.len() as f64) * self.cfg.plans[c.plan].price
        };
        due.copied().max_by(|a, b| worth(&a.1).total_cmp(&worth(&b.1)))
    }

    /// Sends due syncs within what the counter is seen to bear.
    pub(crate) fn send_due_syncs(&mut self) {
        while self.may_call_counter() {
            let Some((at, id)) = self.next_sync() else { break };
            self.sync_queue.remove(&(at, id));
            if let (Some(c), true) = (self.customers.get_mut(&id), self.cfg.counter.is_some()) {
                c.sync_at = None;
                self.advance_windows(id);
                self.sync(id);
            }
        }
    }

    /// Adds what is unsent and reads totals, one call out per name; the last window's can no longer grow.
    fn sync(&mut self, id: CustomerId) {
        let (window, plan) = (self.customers[&id].window, self.customers[&id].plan);
        let before = window.wrapping_sub(1);
        let names =
            [(self.counter_key(id, plan, before), before), (self.counter_key(id, plan, window), window)];
        let (keep, ample) = (
            (3.0 * self.window_length(plan)).min(MAX_KEY_LIFETIME) as Micros,
            LOW_USE_FRACTION * self.window_limit(plan),
        );
        // Danger: where no part holds a request all need calls, also while the counter seems to have room.
        let spare =
            self.call_pace >= 1.0 && self.window_limit(plan) * self.customers[&id].quota_share() >= 1.0;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let (tight, busy) =
            (c.previous.total_estimate() > ample && spare, c.current.total_estimate() > ample && spare);
        // Danger: the others may have used up the last window while nothing came through here. Who
        // waits for a fresh total gets both; where calls are short, only when the first does not settle it.
        let (waits, first) = (!c.held.is_empty(), c.held.iter().any(|h| !h.covered_by_call));
        let unread = waits && c.previous.total_received_at.is_none() && (spare || !first);
        let wanted = [(tight || unread) && c.previous_reads == 0, tight || busy || first];
        for (i, t) in [&mut c.previous, &mut c.current].into_iter().enumerate() {
            if t.call_in_flight || (t.unsent == 0.0 && !wanted[i]) {
                continue;
            }
            (t.in_call, t.unsent, t.correction, t.call_in_flight) = (t.unsent + t.correction, 0.0, 0.0, true);
            c.previous_reads += u32::from(i == 0);
            c.held.iter_mut().for_each(|h| h.covered_by_call |= i == 1);
            let (name, window) = names[i];
            self.counter_keys.insert(name, (id, window));
            self.calls_in_flight += 1.0;
            self.actions.push(Action::CallCounter { key: name, amount: t.in_call, lifetime: keep });
        }
    }

    fn on_counter_call_ended(&mut self, name: CounterKey, result: CounterResult, elapsed: f64) {
        if result != CounterResult::Overdue {
            self.calls_in_flight = (self.calls_in_flight - 1.0).max(0.0);
        }
        let answered = matches!(result, CounterResult::Total(v) if v.is_finite());
        let timeout = self.cfg.counter.map_or(SECOND, |c| c.timeout as f64);
        // Danger: an answer that came in time and can't be read tells nothing of how much is asked.
        // One call alone that is overdue while later ones are answered hangs on its own connection.
        let alone = result == CounterResult::Overdue && self.since(self.counter_answered_at) < timeout / 2.0;
        let crowded = result == CounterResult::NotAdded || elapsed > timeout * LATE_ANSWER_FRACTION && !alone;
        if answered && !crowded {
            self.counter_answered_at = self.now;
        }
        // Danger: gateways that all ask at once get answers for none. A burst of late ones counts once.
        if crowded && self.since(self.last_congestion_at) > timeout {
            self.last_congestion_at = self.now;
            // A counter that has become slow bears few calls at once: with more, each waits behind the others
            // until none comes in time. The window shrinks until they do, as a sender's on a jammed path;
            // the same holds for one that stalls, restarts, or is shared with more gateways. Danger: lone
            // delays on a well counter shrink it too; it opens again with a few answers.
            self.fast_growth_limit = (self.max_calls / 2.0).max(1.0);
            self.max_calls = if answered { self.fast_growth_limit } else { 1.0 };
            // Fewer are wanted only where a window at its least is still too much.
            if self.fast_growth_limit <= 1.0 {
                self.call_pace = (self.call_pace * (1.0 - PACE_DECREASE)).max(MIN_PACE);
            }
        } else if answered && !crowded {
            let step = if self.max_calls < self.fast_growth_limit { 1.0 } else { 1.0 / self.max_calls };
            self.max_calls = (self.max_calls + step).min(MAX_CALLS_IN_FLIGHT);
        }
        if result != CounterResult::Overdue {
            self.record_call_result(!answered);
        }
        // Danger: a burst whose calls all fail together is one failure, not a dead counter.
        if answered {
            self.counter_failures = 0;
        } else if self.counter_failures == 0 || self.since(self.counter_failed_at) > timeout {
            (self.counter_failures, self.counter_failed_at) = (self.counter_failures + 1, self.now);
        }
        // A sick counter's trial calls are spaced the wider the more of them fail.
        let wait = (0.1 * f64::from(self.counter_failures)).min(1.0) * SYNC_INTERVAL;
        self.next_trial_call_at = self.now + wait as Micros;
        let Some(&(id, window)) = self.counter_keys.get(&name) else { return };
        self.advance_windows(id);
        let Some(c) = self.customers.get_mut(&id) else { return };
        let Some(t) = c.window_count(window) else { return };
        let amount = std::mem::take(&mut t.in_call);
        t.call_in_flight = false;
        match result {
            CounterResult::Total(total) if answered => {
                t.added += amount;
                // Danger: a name forgotten by the counter, or an add that never reached it, would grant
                // afresh what was used. A total short of what was added here puts that back, once.
                let (short, mut told) = (t.added - total, total);
                if short > 0.5 && !t.restored {
                    (t.restored, t.unsent, t.added) = (true, t.unsent + short, t.added - short);
                    told = t.total;
                }
                c.record_total(window, told, self.now);
            }
            // It may have been added: counted as if it was, until a total tells otherwise.
            CounterResult::Unanswered | CounterResult::Overdue => {
                (t.added, t.total) = (t.added + amount, t.total + amount);
            }
            _ => t.unsent += amount,
        }
        let calling = c.current.call_in_flight || c.previous.call_in_flight;
        if result == CounterResult::Overdue {
            // Danger: a crowded counter's late total still settles it; decided without, its call was in vain.
            self.set_timer(timeout as Micros, Task::OverdueCall(id));
        } else if !calling {
            self.settle_held_requests(id, answered);
        }
        let c = &self.customers[&id];
        if c.held.iter().any(|h| !h.covered_by_call) && !c.current.call_in_flight {
            self.schedule_sync(id, 0.0);
        } else if c.current.unsent != 0.0 || c.previous.unsent != 0.0 {
            self.schedule_sync(id, if answered && self.call_pace < 1.0 { 0.0 } else { SYNC_INTERVAL * 0.5 });
        }
    }

    /// Danger: of few calls each tells much, or an outage outlasts itself. The longer ago the last, the more.
    fn record_call_result(&mut self, lost: bool) {
        let gain = (1.0 - (-self.since(self.last_call_ended_at) / (2.0 * SYNC_INTERVAL)).exp())
            .clamp(SMOOTHING_GAIN, 0.9 * MAX_UNANSWERED_CALL_RATE);
        self.unanswered_call_rate += (f64::from(u8::from(lost)) - self.unanswered_call_rate) * gain;
        self.last_call_ended_at = self.now;
    }

    /// What became of an overdue call: its total is as true as one in time, and one turned away has not been
    /// added after all.
    fn on_overdue_call_ended(&mut self, name: CounterKey, amount: f64, result: CounterResult) {
        self.calls_in_flight = (self.calls_in_flight - 1.0).max(0.0);
        let total =
            if let CounterResult::Total(v) = result { Some(v).filter(|v| v.is_finite()) } else { None };
        self.record_call_result(total.is_none());
        let Some(&(id, window)) = self.counter_keys.get(&name) else { return };
        self.advance_windows(id);
        let now = self.now;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let Some(t) = c.window_count(window) else { return };
        if let Some(total) = total {
            // It lives, and is slow: that is for the window of calls to meet.
            self.counter_failures = 0;
            // A later call's units may still be on their way: what is believed to be there counts.
            let total = total.max(t.added);
            c.record_total(window, total, now);
        } else if result == CounterResult::NotAdded {
            let back = amount.min(t.added);
            (t.added, t.total, t.unsent) = (t.added - back, t.total - back, t.unsent + back);
            self.schedule_sync(id, SYNC_INTERVAL * 0.5);
        }
        self.settle_overdue_call(id, total.is_some());
    }

    /// Answers what an overdue call left waiting, once its total has come or has been waited for in vain.
    fn settle_overdue_call(&mut self, id: CustomerId, told: bool) {
        let Some(c) = self.customers.get(&id) else { return };
        if !c.current.call_in_flight && !c.previous.call_in_flight && c.held.iter().any(|h| h.covered_by_call)
        {
            self.settle_held_requests(id, told);
        }
    }

    /// Takes over what another process of this gateway knows. What can't be is passed over.
    fn on_handover_received(&mut self, legacy: HandoverState) {
        let (legacy, gateways) = (legacy.compatible_with(&self.cfg), self.cfg.gateways as f64);
        for (id, mut c) in legacy.customers.into_iter().filter(|(_, c)| c.window <= self.now) {
            (c.spread, c.traffic_share) = (c.spread.clamp(1.0, gateways), c.traffic_share.clamp(0.0, 1.0));
            (c.last_seen_at, c.bucket_updated_at) =
                (c.last_seen_at.min(self.now), c.bucket_updated_at.min(self.now));
            self.customers.entry(id).or_insert(c);
        }
        for (id, cold) in legacy.backends {
            let Some(b) = self.backends.get_mut(&id) else { continue };
            (b.started_at, b.presumed_started_at) =
                (b.started_at.max(cold.started_at), b.presumed_started_at.max(cold.presumed_started_at));
            b.recent_sends.extend(cold.recent_sends);
        }
        self.restore_latencies(legacy.classes, legacy.mean_latencies);
    }

    /// A customer under one of its plans, with nothing known of it where it has not been met.
    fn customer_entry(&mut self, id: CustomerId, plan: usize, spread: f64) -> &mut Customer {
        let window = if self.cfg.plans[plan].rate > 0.0 { self.window_position(id, plan).0 } else { 0 };
        let (store, now) = (self.cfg.plans[plan].burst, self.now);
        self.customers.entry(id).or_insert_with(|| Customer::new(plan, window, spread, store, now))
    }

    /// Tells the counter of what another process of this gateway has spent and can not tell any more. Danger:
    /// it may have met customers since it told this one of those that it knew.
    fn on_unsynced_units(&mut self, spent: UnsyncedUnits) {
        let plan = self.cfg.plans.iter().position(|p| p.name == spent.plan);
        let Some(plan) = plan.filter(|_| spent.units.is_finite()) else { return };
        let id = spent.customer.for_plan(plan);
        self.customer_entry(id, plan, self.bounded_spread(spent.spread)).last_seen_at = self.now;
        self.advance_windows(id);
        let Some(t) = self.customers.get_mut(&id).and_then(|c| c.window_count(spent.window)) else { return };
        t.unsent += spent.units;
        self.schedule_sync(id, 0.3 * SYNC_INTERVAL);
    }

    /// Answers the requests whose units the last call carried: a total read milliseconds ago
    /// includes them, so it is the estimate (or the store), not the part, that judges them.
    fn settle_held_requests(&mut self, id: CustomerId, told: bool) {
        let x = self.advance_windows(id);
        let (limit, window) =
            (self.window_limit(self.customers[&id].plan), self.window_length(self.customers[&id].plan));
        let Some(c) = self.customers.get_mut(&id) else { return };
        let asks = c.held.iter().map(|h| h.units).fold(0.0, f64::max);
        let unread = c.previous.total_received_at.is_none() && c.previous_reads == 0;
        let (covered, later): (Vec<_>, Vec<_>) = c.held.drain(..).partition(|h| h.covered_by_call || !told);
        let reserved: f64 = covered.iter().chain(&later).map(|h| h.counted_units).sum();
        // The last window, if full, may still stand in the way: read only where that would decide.
        let cur = c.current.total_estimate() - reserved + asks;
        if told && unread && !covered.is_empty() && cur > limit * x && cur <= limit {
            c.held = covered.into_iter().chain(later).collect();
            self.sync(id);
            return;
        }
        c.held = later;
        let both = c.previous.total_received_at.is_some();
        let mut est = c.estimate(x) - reserved;
        for h in covered {
            let store = self.customers[&id].bucket_level;
            let fits = est + h.units <= limit || (both && store >= h.units);
            let room = if told { fits } else { self.decide_without_total(id, h.units) };
            if told {
                // Full counts tell it outright; drawn ones only how near it is.
                let used =
                    if self.call_pace < 1.0 { (est + h.units) / limit } else { f64::from(u8::from(!room)) };
                self.record_quota_use(id, used, Some(h.returning_customer));
            }
            let sent = room && self.send_attempt(h.id);
            let Some(c) = self.customers.get_mut(&id) else { return };
            if sent {
                c.record_admitted(h.units);
                c.current.unsent += h.deferred_units;
                est += h.counted_units + h.deferred_units;
            } else {
                c.current.unsent -= h.counted_units;
                let seen = if told { RefusalReason::OverQuota } else { RefusalReason::NoFreshTotal };
                let why = if room { RefusalReason::NoBackend } else { seen };
                let wait = (est + h.units - limit).max(h.units) / limit * window;
                self.reject(h.id, why, wait as Micros);
            }
        }
    }

    fn on_request(&mut self, a: Arrival) {
        let (id, class, plan, now) = (a.id, a.class.0 as usize, a.plan.0 as usize, self.now);
        if class >= self.cfg.classes.len() || plan >= self.cfg.plans.len() {
            self.actions.push(Action::Refuse { id, retry_after: 0, reason: RefusalReason::Unknown });
            return;
        }
        // Units that are no number must not be granted without bound.
        let units = if a.units.is_finite() && a.units > 0.0 { a.units } else { self.cfg.max_units.max(1.0) };
        let (spread, deadline, coming) = (self.bounded_spread(a.spread), a.deadline, a.body_pending);
        // Danger: kept for the customer alone, what one plan grants or refuses would be another's.
        let cid = a.customer.for_plan(plan);
        let r = Request { class, customer: cid, deadline, units, body_pending: coming, ..Request::default() };
        self.requests.insert(id, r);
        self.deadlines.insert((a.deadline, id));
        self.arm_deadline_timer();
        let c = self.customer_entry(cid, plan, spread);
        let set = (spread, a.first_gateway);
        if c.gateway_set.replace(set) != Some(set) {
            // What came through here of another set's traffic says nothing of this one's.
            (c.spread, c.traffic_share) = (spread, 1.0 / spread);
        }
        c.last_seen_at = now;
        let verdict = self.decide_quota(cid, units);
        let Some(c) = self.customers.get_mut(&cid) else { return };
        let again = std::mem::replace(&mut c.current.request_seen, true) || c.previous.request_seen;
        // Danger: odds in place of what is known refuse those with room, who ask again under new ids and look
        // the more suspicious. Who has room by the totals is under no suspicion.
        let odds = match verdict {
            QuotaDecision::Admit(_, odds) => odds,
            QuotaDecision::Hold(_) => self.over_quota_probability(&self.customers[&cid]),
            QuotaDecision::Refuse(..) => 0.0,
        };
        if !matches!(verdict, QuotaDecision::Refuse(..)) && !self.has_capacity(id, odds) {
            // Clients told nothing come back at once: they are told what the queue takes.
            return self.reject(id, RefusalReason::Overloaded, self.expected_latency() as Micros);
        }
        match verdict {
            QuotaDecision::Admit(counts, _) if self.send_attempt(id) => self.record_units(cid, units, counts),
            QuotaDecision::Admit(..) => {
                self.reject(id, RefusalReason::NoBackend, self.expected_latency() as Micros)
            }
            QuotaDecision::Hold(counted) => {
                // Danger: units counted for requests then refused shut others out: many are counted after.
                let Some(c) = self.customers.get_mut(&cid) else { return };
                let (counted, later) = if counted < 2.0 * units { (counted, 0.0) } else { (0.0, counted) };
                c.current.unsent += counted;
                c.held.push(HeldRequest {
                    id,
                    units,
                    counted_units: counted,
                    deferred_units: later,
                    returning_customer: again,
                    covered_by_call: false,
                });
                if !c.current.call_in_flight {
                    self.schedule_sync(cid, 0.0);
                }
            }
            QuotaDecision::Refuse(why, wait) => {
                self.reject(id, why, wait);
                if self.call_pace >= 1.0 {
                    self.schedule_sync(cid, SYNC_INTERVAL);
                }
            }
        }
    }

    // ---------------------------------------------------------------- choice of backend

    fn record_load_report(&mut self, id: BackendId, load: LoadReport) {
        let (now, fields) = (self.now, &self.cfg.load_fields);
        let value = |f: LoadField| {
            let at = fields.iter().take(load.len as usize).position(|&x| x == f)?;
            Some(load.values[at] as f64).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let (rps, ms) = (value(LoadField::ServedPerSecond), value(LoadField::ServiceTimeMs));
        let busy = rps.zip(ms).map_or(0.0, |(r, m)| r * m / 1e3);
        let held = value(LoadField::Active).or(value(LoadField::Waiting).map(|q| q + busy));
        if let (Some(held), Some(b)) = (held, self.backends.get_mut(&id)) {
            // Danger: a report is older than the own count beside it, and would look idle less own requests
            // of now; both are smoothed alike.
            b.update_in_flight_mean(now);
            let seen = (held - b.in_flight_mean).max(0.0);
            let (old, at) = b.reported_others.unwrap_or((seen, now));
            let gain = 1.0 - (-(now.saturating_sub(at) as f64) / LOAD_REPORT_AGE).exp();
            b.reported_others = Some((old + (seen - old) * gain.max(SMOOTHING_GAIN), now));
        }
    }

    fn capacity_fraction(&self, b: &Backend) -> f64 {
        // Danger: a start that is only guessed would keep a well backend cold for the whole warm-up.
        let guessed = b.presumed_started_at.filter(|at| self.since(*at) < PRESUMED_COLD_TIME);
        let Some(at) = b.started_at.max(guessed) else { return 1.0 };
        let warm = self.cfg.warm_up.max(1) as f64;
        let from = self.cfg.cold_capacity.clamp(0.0, 1.0);
        (from + (1.0 - from) * self.since(at) / warm).min(1.0)
    }

    pub(crate) fn is_usable(&self, b: &Backend) -> bool {
        let wanted = b.listed && b.row.state == BackendState::Ready && b.health == Health::Healthy;
        wanted && !self.disabled_backends.contains_key(&b.row.backend)
    }

    fn usable_count(&self) -> f64 {
        self.backends.values().filter(|b| self.is_usable(b)).count().max(1) as f64
    }

    fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let usable = self.usable_count();
        let known: Vec<f64> = self.backends.values().filter_map(|b| b.reported_others.map(|o| o.0)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // Danger: a backend that answers its first few fast gathers a queue before it shows.
        let crowd = MAX_LOAD_IMBALANCE * (self.waiting() / usable.min(SUBSET_SIZE)) + 1.0;
        let tried = |b: &Backend| self.requests[&id].attempts.iter().any(|a| a.backend == b.row.backend);
        let may = |b: &Backend| !tried(b) && self.may_send(id, b) && self.slow_start_allows(b, usable);
        let fits = |b: &Backend| self.is_usable(b) && b.active_attempts() <= crowd && may(b);
        // A turn at a cold backend is used when it comes: the others count on its being used.
        let due = |b: &&Backend| b.turn_progress >= 1.0 && self.capacity_fraction(b) < 1.0 && fits(b);
        let due = self.backends.values().filter(due);
        let mut scored: Vec<_> = due.map(|b| (self.score(id, b, mean), b.row.backend)).collect();
        let mut keep = (SUBSET_SIZE / usable).min(1.0);
        // Danger: hundreds of gateways that each use every backend fill its connections, and none learns
        // much of any. Each keeps to a subset of its own, widened while none of these will do.
        while scored.is_empty() && keep < 2.0 {
            let lot = self.backends.values().filter(|b| self.hash_fraction(b.row.key()) < keep && fits(b));
            scored.extend(lot.map(|b| (self.score(id, b, mean), b.row.backend)));
            keep *= 2.0;
        }
        scored.iter_mut().for_each(|s| s.0 *= 1.0 + SCORE_JITTER * self.random.next());
        scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|s| s.1)
    }

    /// Load of a backend for its size and speed. Reports fade to the fleet's mean; siblings choose alike,
    /// so unreported others mirror own requests. A live weight is size over load already.
    fn score(&self, id: RequestId, b: &Backend, mean: f64) -> f64 {
        let alike = (mean + b.active_attempts() * (self.cfg.gateways as f64 - 1.0)) / 2.0;
        let others = match self.cfg.weights {
            WeightKind::Live => 0.0,
            _ => {
                b.reported_others.map_or(alike, |(n, at)| mean + (n - mean) * self.decay(at, LOAD_REPORT_AGE))
            }
        };
        let slow = 1.0 + (b.latency_ratio - 1.0) * self.decay(b.latency_ratio_at, OBSERVATION_DECAY_TIME);
        let last_full = self.class_and_plan(id).iter().filter_map(|k| b.last_full_at.get(k)).max();
        let full = 1.0 + FULL_PENALTY * last_full.map_or(0.0, |at| self.decay(*at, OBSERVATION_DECAY_TIME));
        let size = if self.cfg.weights == WeightKind::Off { 1.0 } else { b.row.weight.max(1e-3) };
        let once = self.cfg.classes[self.requests[&id].class].effect == Effect::Unsafe;
        let breaks = 1.0
            + RESET_PENALTIES[usize::from(once)]
                * b.reset_rate
                * self.decay(b.last_reset_at, OBSERVATION_DECAY_TIME);
        let far = if b.row.zone == self.cfg.zone { 1.0 } else { REMOTE_ZONE_PENALTY };
        (b.active_attempts() + others + 1.0) * slow * full * breaks * far / (size * self.capacity_fraction(b))
    }

    /// Whether new work can be done within its aim; the least worth for its work gives way first.
    fn has_capacity(&mut self, id: RequestId, odds: f64) -> bool {
        let (r, class, expected) = (&self.requests[&id], self.requests[&id].class, self.expected_latency());
        let worth = self.worth_per_work(class) * self.cfg.plans[self.customers[&r.customer].plan].price;
        update_mean(&mut self.mean_worth, worth, SMOOTHING_GAIN / 10.0);
        if self.mean_latency <= 0.0 {
            return true;
        }
        let rank = worth / (worth + self.mean_worth);
        // A patient class's queue makes the others' work late: it is bounded halfway to the shortest aim.
        let least = self.cfg.classes.iter().map(|c| c.target_latency).min().unwrap_or(0);
        // Danger: a client that gives up sooner than the aim makes waste of work sent on too late for it.
        let aim =
            ((self.cfg.classes[class].target_latency + least) / 2).min(r.deadline.saturating_sub(self.now));
        let within =
            aim as f64 * (QUEUE_TIME_FRACTIONS.0 + (QUEUE_TIME_FRACTIONS.1 - QUEUE_TIME_FRACTIONS.0) * rank);
        // Held too long, servers do less: the queue is kept to a few times what idle ones take.
        let idle = if self.mean_idle_latency > 0.0 { self.mean_idle_latency } else { SECOND };
        let within = within.min(idle * MAX_IDLE_LATENCY_FACTOR * (0.5 + rank));
        // Room that is short goes to those likely inside their quota first.
        let within = within * (1.0 - odds * (1.0 - EXACT_COUNT_DISCOUNT * self.call_pace * self.call_pace));
        // Danger: a floor that each gateway may fill jams the fleet: two a backend in all, taken in turns.
        let floor = self.round_by_lot(2.0 * self.backends.len() as f64 / self.cfg.gateways as f64, SECOND, 0);
        // Danger: a class that is refused while others fill the queue is served nowhere, and never measured.
        let best = self.class_admission.iter().map(DecayingRatio::ratio).fold(0.0, f64::max);
        let in_time = self.class_idle_latency[class] <= aim as f64 * QUEUE_TIME_FRACTIONS.1;
        let starved = in_time && self.class_admission[class].ratio() < MIN_RELATIVE_ADMISSION * best;
        let room = expected <= within || self.waiting() < floor || starved;
        self.class_admission[class].record(room);
        room
    }

    /// Time to completion by Little's law. Danger: one of hundreds of gateways has one request out and few
    /// completions a second; they are weighed against `PRIOR` requests at the latency of late.
    pub(crate) fn expected_latency(&self) -> f64 {
        let late = (self.mean_latency / SECOND).max(1e-3);
        (self.waiting() + PRIOR_REQUESTS) / (self.completion_rate + PRIOR_REQUESTS / late) * SECOND
    }

    /// Finds attempts that got lost on the way. Danger: each stays out until its deadline, many times what an
    /// answer takes; taken for work that queues, a few make a well fleet look jammed, and refusals follow.
    /// One sent there well after it and answered has overtaken it: a queue would have kept their order.
    fn mark_stalled_attempts(&mut self) {
        for r in self.requests.values_mut().filter(|r| !r.streaming) {
            // Danger: `mix_lat` holds time-outs as well. The more get lost, the later they would be found.
            let lat = self.class_latency[r.class];
            let ahead = STALLED_LATENCY_FACTOR * if lat > 0.0 { lat } else { self.mean_latency };
            for a in r.attempts.iter_mut().filter(|a| a.outcome.is_none() && !a.stalled) {
                let b = self.backends.get_mut(&a.backend);
                if let Some(b) = b.filter(|b| b.latest_answered_sent_at as f64 > a.sent_at as f64 + ahead) {
                    (a.stalled, b.stalled, self.stalled) = (true, b.stalled + 1, self.stalled + 1);
                }
            }
        }
    }

    /// Worth of a class for the work it takes.
    fn worth_per_work(&self, class: usize) -> f64 {
        let c = &self.cfg.classes[class];
        let base = self.class_idle_latency[class];
        c.worth / if base > 0.0 { base } else { c.target_latency as f64 / 4.0 }
    }

    // ---------------------------------------------------------------- health

    fn on_backend_list(&mut self, kind: ListKind, rows: Vec<BackendRow>) {
        let now = self.now;
        self.list_failed = kind == ListKind::Failed;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.backends.values_mut().for_each(|b| b.listed = false);
        }
        for row in rows {
            let fresh = row.started_at > 0 && self.since(row.started_at) < self.cfg.warm_up as f64;
            let turn = self.initial_turn(&row);
            let new = || Backend {
                row,
                turn_progress: turn,
                latency_ratio: 1.0,
                last_answer_at: now,
                ..Backend::default()
            };
            let b = self.backends.entry(row.backend).or_insert_with(new);
            if row.started_at != b.row.started_at {
                // A new process: what was known of the old one says nothing.
                (b.health, b.latency_ratio, b.consecutive_failures, b.error_rate, b.reported_others) =
                    (Health::Healthy, 1.0, 0, 0.0, None);
                b.started_at = b.started_at.filter(|_| !fresh);
            }
            (b.row, b.listed) = (row, row.state != BackendState::Gone);
            b.started_at = if fresh { b.started_at.max(Some(row.started_at)) } else { b.started_at };
        }
    }

    /// Takes a backend out by hand, or back in. Danger: it was restarted meanwhile, and the list may tell
    /// that late: what was known of the old process is dropped, and the new one is taken to start only now.
    fn on_backend_disabled(&mut self, backend: BackendId, out: bool) {
        if out {
            self.disabled_backends.entry(backend).or_insert(self.now);
        } else if let (Some(since), Some(b)) =
            (self.disabled_backends.remove(&backend), self.backends.get_mut(&backend))
        {
            (b.health, b.latency_ratio, b.consecutive_failures, b.error_rate, b.reset_rate) =
                (Health::Healthy, 1.0, 0, 0.0, 0.0);
            b.started_at = if b.row.started_at >= since { b.started_at } else { Some(self.now) };
        }
    }

    /// Takes a backend out of use; one taken to be dead returns cold. Danger: where all are slow none is
    /// an outlier; only the dead are ejected once a third of the fleet is.
    fn eject(&mut self, id: BackendId, dead: bool) {
        let lost = self.backends.values().filter(|b| b.listed && b.health != Health::Healthy).count();
        let few = 3 * lost < self.backends.len();
        // Danger: back before its next request would have come, it has been spared nothing.
        let lull = (2.0 * self.usable_count().min(SUBSET_SIZE) / self.send_rate * SECOND)
            .min(OBSERVATION_DECAY_TIME);
        let Some(b) = self.backends.get_mut(&id) else { return };
        let (wait, dead) = match b.health {
            Health::Trial { wait, dead: was } => ((wait * 2.0).min(8.0 * BASE_EJECTION_TIME), dead || was),
            Health::Healthy if dead => (BASE_EJECTION_TIME, dead),
            Health::Healthy if few => {
                (BASE_EJECTION_TIME.max(lull).max((2.0 * b.last_backoff).min(8.0 * BASE_EJECTION_TIME)), dead)
            }
            _ => return,
        };
        b.health = Health::Ejected { until: self.now + wait as Micros, wait, dead };
        (b.consecutive_failures, b.last_backoff) = (0, wait);
    }

    fn run_housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_INTERVAL, Task::Housekeeping);
        let calm = self.since(self.last_congestion_at.max(self.started_at.unwrap_or(0))) / SECOND;
        // Danger: a window that has opened again tells of room; a pace that only creeps up refuses meanwhile.
        let opens = 1.0 + self.max_calls / 2.0;
        let rise = if self.counter_is_healthy() {
            PACE_INCREASE * opens * (1.0 + calm) * HOUSEKEEPING_INTERVAL as f64 / SECOND
        } else {
            0.0
        };
        self.call_pace = (self.call_pace * (1.0 + rise)).min(1.0);
        let span = self.since(self.rates_updated_at);
        let gain = (span / RATE_SMOOTHING_TIME).min(1.0);
        self.completion_rate += (self.completions / span.max(1.0) * SECOND - self.completion_rate) * gain;
        self.send_rate += (self.sends / span.max(1.0) * SECOND - self.send_rate) * gain;
        (self.completions, self.sends, self.rates_updated_at) = (0.0, 0.0, self.now);
        self.class_admission.iter_mut().for_each(|p| p.decay((span / OBSERVATION_DECAY_TIME).min(1.0)));
        self.mark_stalled_attempts();
        self.update_warm_throughput();
        self.advance_slow_start_turns(span);
        let now = self.now;
        let ready = |b: &Backend| b.listed && b.row.state == BackendState::Ready;
        let barred = &self.disabled_backends;
        for (id, b) in self.backends.iter_mut().filter(|(id, b)| ready(b) && !barred.contains_key(id)) {
            match b.health {
                Health::Ejected { until, wait, dead } if now >= until => {
                    b.health = Health::Trial { wait, dead }
                }
                _ => continue,
            }
            match self.cfg.may_probe {
                true => self.actions.push(Action::Probe { backend: *id }),
                false => b.readmit(now),
            }
        }
        if let Discovery::OnRequest { ask_interval: ask_every } = self.cfg.discovery {
            // Danger: a fleet that asks for whole lists beside what it is told keeps discovery from telling.
            let wait = ask_every as f64 / 3.0 * (0.5 + self.hash_fraction(now / SECOND as u64));
            if self.list_failed && self.since(self.list_requested_at) > wait {
                (self.list_requested_at, self.list_failed) = (now, false);
                self.actions.push(Action::Subscribe { on: true });
            }
        }
        if now % (20 * HOUSEKEEPING_INTERVAL) < HOUSEKEEPING_INTERVAL {
            // Ids are ever new: what is gone is forgotten with its last attempt.
            self.backends.retain(|_, b| b.listed || b.in_flight > 0);
            let windows: Vec<f64> = (0..self.cfg.plans.len()).map(|i| self.window_length(i)).collect();
            let (queue, plans) = (&mut self.sync_queue, &self.cfg.plans);
            self.customers.retain(|id, c| {
                let kept = RETENTION_TIME.max(4.0 * windows[c.plan]);
                let idle =
                    now.saturating_sub(c.last_seen_at) as f64 > kept && c.held.is_empty() && c.in_flight == 0;
                let drop = idle && plans[c.plan].ceiling.is_none();
                c.sync_at.filter(|_| drop).map(|t| queue.remove(&(t, *id)));
                !drop
            });
            let customers = &self.customers;
            self.counter_keys.retain(|_, (id, w)| customers.get(id).is_some_and(|c| *w + 2 >= c.window));
        }
    }

    // ---------------------------------------------------------------- attempts

    /// Sends a request on; false where it may not go or has nowhere to.
    fn send_attempt(&mut self, id: RequestId) -> bool {
        let (now, r) = (self.now, &self.requests[&id]);
        let (first, cid, class) = (r.attempts.is_empty(), r.customer, r.class);
        let ceiling = self.ceiling_level(cid).filter(|_| first).map(|level| level - r.units);
        if ceiling.is_some_and(|left| left < 0.0) {
            return false;
        }
        let Some(backend) = self.choose_backend(id) else { return false };
        if let Some(c) = self.customers.get_mut(&cid) {
            c.in_flight += 1;
            c.ceiling = ceiling.map(|left| (left, now)).or(c.ceiling);
        }
        // No work waits with one whose body is still coming.
        let coming = self.requests[&id].body_pending;
        self.stalled += u32::from(coming);
        if let Some(b) = self.backends.get_mut(&backend) {
            b.update_in_flight_mean(now);
            b.in_flight += 1;
            b.turn_progress = if b.turn_progress >= 1.0 { 0.0 } else { b.turn_progress };
            b.stalled += u32::from(coming);
            note(&mut b.recent_sends, now, self.cfg.collapse_after);
        }
        self.in_flight += 1;
        self.sends += 1.0;
        let (begin_by, why) = (self.repeat_window_end(id), self.send_reason(id));
        let Some(r) = self.requests.get_mut(&id) else { return false };
        r.attempts.push(Attempt { backend, sent_at: now, outcome: None, stalled: coming });
        self.actions.push(Action::Send { id, backend, timeout: None, begin_by, reason: why });
        if first {
            self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(1.0 / RETRY_BUDGET_RATIO);
            if self.cfg.hedging {
                let aim = self.cfg.classes[class].target_latency as f64;
                let after = (3.0 * self.class_latency[class])
                    .clamp(aim * HEDGE_DELAY_FRACTIONS.0, aim * HEDGE_DELAY_FRACTIONS.1);
                self.set_timer(after as Micros, Task::Hedge(id));
            }
        }
        true
    }

    /// A first attempt is late: one copy elsewhere, while retries have budget and the fleet is not pressed.
    fn on_hedge(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let waits = !r.done && !r.streaming && r.attempts.len() == 1;
        let pressed = self.expected_latency()
            > self.cfg.classes[r.class].target_latency as f64
                * QUEUE_TIME_FRACTIONS.0
                * HEDGE_DELAY_FRACTIONS.1;
        if waits && self.retry_tokens >= 1.0 && !pressed && self.send_attempt(id) {
            self.retry_tokens -= 1.0;
        }
    }

    fn on_attempt_ended(&mut self, e: AttemptResult) {
        self.record_load_report(e.backend, e.load);
        let (id, outcome) = (e.id, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt = r.attempts.get_mut(e.attempt.0 as usize);
        let Some(a) = attempt.filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        let (bid, class, cid, units) = (a.backend, r.class, r.customer, r.units);
        let (lost, sent) = (a.stalled, a.sent_at);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.stalled = self.stalled.saturating_sub(u32::from(lost));
        if let Some(b) = self.backends.get_mut(&bid) {
            b.stalled = b.stalled.saturating_sub(u32::from(lost));
            b.latest_answered_sent_at = if outcome == Outcome::Ok {
                b.latest_answered_sent_at.max(sent)
            } else {
                b.latest_answered_sent_at
            };
        }
        if let Some(c) = self.customers.get_mut(&cid) {
            c.in_flight = c.in_flight.saturating_sub(1);
            // Settled costs: the first good answer tells the true units.
            let settles = self.cfg.billed_on_response && outcome == Outcome::Ok && !r.done;
            let fix = e.billed_units.filter(|_| settles).map_or(0.0, |b| b - units);
            // Danger: where calls are short, one for each correction took most of them: these go along.
            *if self.call_pace < 1.0 { &mut c.current.correction } else { &mut c.current.unsent } += fix;
        }
        r.done |= e.request_done;
        r.body_consumed |= e.body_consumed;
        let metered = e.quota_use.filter(|used| used.is_finite() && self.cfg.meter_period > 0);
        metered.inspect(|&used| self.record_quota_use(cid, used, None));
        // That one lost on the way was waited for in vain tells nothing of its backend, nor of a queue.
        let news = if lost && outcome == Outcome::Timeout { Outcome::Cancelled } else { outcome };
        self.record_outcome(bid, class, self.class_and_plan(id), news, e.elapsed as f64);
        let r = &self.requests[&id];
        if r.done {
            return self.finish(id);
        }
        let idle = r.attempts.iter().all(|a| a.outcome.is_some());
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
        let time_left = r.deadline.saturating_sub(self.now) as f64 > self.class_idle_latency[class];
        let again = time_left && outcome != Outcome::NotSent && (never_ran || self.retry_tokens >= 1.0);
        match idle {
            true if again && self.send_attempt(id) => self.retry_tokens = (self.retry_tokens - 1.0).max(0.0),
            true => self.give_up(id),
            false => {}
        }
    }

    fn record_outcome(
        &mut self,
        bid: BackendId,
        class: usize,
        kinds: ClassAndPlan,
        outcome: Outcome,
        elapsed: f64,
    ) {
        let now = self.now;
        let Some(b) = self.backends.get_mut(&bid) else { return };
        b.update_in_flight_mean(now);
        b.in_flight = b.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            // Danger: five errors before it shows, at each of a hundred gateways, are hundreds of requests.
            // The longer ago the last answer came, the more this one tells.
            let gain = SMOOTHING_GAIN.max(
                1.0 - (-(now.saturating_sub(b.last_answer_at) as f64) * 2.0 / OBSERVATION_DECAY_TIME).exp(),
            );
            b.error_rate += (f64::from(u8::from(outcome == Outcome::Error)) - b.error_rate) * gain;
            b.last_answer_at = now;
            self.completions += 1.0;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Reset) {
            b.reset_rate += (f64::from(u8::from(outcome == Outcome::Reset)) - b.reset_rate) * SMOOTHING_GAIN;
            b.last_reset_at = if outcome == Outcome::Reset { now } else { b.last_reset_at };
        }
        match outcome {
            Outcome::Ok => {
                (b.consecutive_failures, b.last_backoff) = (0, b.last_backoff / 2.0);
                note(&mut b.recent_completions, now, self.cfg.collapse_after);
                b.last_full_at.retain(|k, _| !kinds.contains(k));
                let (lat, base) = (&mut self.class_latency[class], &mut self.class_idle_latency[class]);
                let seen = &mut self.class_samples[class];
                *seen = (*seen + 1).min(BASELINE_SAMPLES);
                if *seen == 1 {
                    *lat = elapsed;
                }
                let rel = (elapsed / *lat).min(10.0);
                *lat += (elapsed - *lat) * (SMOOTHING_GAIN / 4.0).max(1.0 / f64::from(*seen));
                // Danger: works differ much. A short one that came first would stand for idleness all day.
                if *seen < BASELINE_SAMPLES {
                    *base = *lat;
                }
                // Falls with the mean, rises a hundred times more slowly: a jam is not taken for idleness.
                *base +=
                    (*lat - *base) * if *lat < *base { SMOOTHING_GAIN / 2.0 } else { SMOOTHING_GAIN / 200.0 };
                update_mean(&mut self.mean_latency, elapsed, SMOOTHING_GAIN);
                update_mean(&mut self.mean_idle_latency, *base, SMOOTHING_GAIN / 5.0);
                b.latency_ratio += (rel - b.latency_ratio) * SMOOTHING_GAIN * 0.4;
                b.latency_ratio_at = now;
            }
            Outcome::Timeout => {
                b.consecutive_failures += 1;
                b.latency_ratio += (5.0 - b.latency_ratio).max(0.0) * SMOOTHING_GAIN;
                // It took this long at the least: a jam shows in time-outs too. Danger: each lasts many times
                // what answers take. In full, a few shut all out for good: then no answer tells otherwise.
                let most = if self.mean_idle_latency > 0.0 {
                    MAX_TIMEOUT_SAMPLE_FACTOR * self.mean_latency
                } else {
                    elapsed
                };
                self.mean_latency += (elapsed.min(most) - self.mean_latency).max(0.0) * SMOOTHING_GAIN;
                b.latency_ratio_at = now;
                if b.consecutive_failures >= TIMEOUTS_BEFORE_EJECTION {
                    self.eject(bid, false);
                }
            }
            Outcome::Error if b.error_rate > EJECTION_ERROR_RATE => self.eject(bid, false),
            // Danger: one answer that is spoilt or one connection that breaks, as any backend's may, is no
            // death; a well one would return as a cold one. A process that has ended breaks the next, too.
            Outcome::ConnectFailed | Outcome::Reset => {
                b.consecutive_failures += 1;
                // Danger: where a network breaks connections all backends look dead; coming back cold, the
                // whole fleet was starved by the budget for cold ones. Only who does not answer a probe
                // either has ended. It hurts where one ends and starts again within `ASKED`.
                if b.consecutive_failures >= CONNECTION_FAILURES_BEFORE_PROBE && !self.cfg.may_probe {
                    self.eject(bid, true);
                } else if b.consecutive_failures >= CONNECTION_FAILURES_BEFORE_PROBE
                    && b.health == Health::Healthy
                {
                    let until = now + CONNECTION_PROBE_DELAY as Micros;
                    (b.health, b.consecutive_failures) =
                        (Health::Ejected { until, wait: BASE_EJECTION_TIME / 2.0, dead: false }, 0);
                }
            }
            // Danger: a `full` may concern one class or plan though there is room: kept for each apart.
            Outcome::Full => b.last_full_at.extend(kinds.map(|k| (k, now))),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// The final answer where none was served: a refusal where that is true, else a failure.
    fn give_up(&mut self, id: RequestId) {
        if self.may_refuse(id) {
            // Clients told nothing come back at once, into what turned this one away.
            return self.refuse(id, RefusalReason::GivenUp, self.expected_latency() as Micros);
        }
        self.answer(id, Action::Fail { id });
    }

    /// Refuses one that has not been sent anywhere.
    fn reject(&mut self, id: RequestId, why: RefusalReason, wait: Micros) {
        self.refusals.count(why);
        self.refuse(id, why, wait);
    }

    fn refuse(&mut self, id: RequestId, why: RefusalReason, wait: Micros) {
        let wait = if self.cfg.send_retry_after { wait.min(self.cfg.max_retry_after) } else { 0 };
        self.answer(id, Action::Refuse { id, retry_after: wait, reason: why });
    }

    fn answer(&mut self, id: RequestId, action: Action) {
        if self.requests.get(&id).is_some_and(|r| !r.done) {
            self.actions.push(action);
            self.close(id);
        }
    }

    fn close(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.done = true;
            self.drop_held_request(id);
            self.finish(id);
        }
    }

    /// The backend has all of a request from now on, and its client waits.
    fn on_uploaded(&mut self, id: RequestId, deadline: Micros) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        self.deadlines.remove(&(r.deadline, id));
        (r.deadline, r.body_pending) = (deadline, false);
        for a in r.attempts.iter_mut().filter(|a| a.stalled && a.outcome.is_none()) {
            (a.stalled, a.sent_at, self.stalled) = (false, self.now, self.stalled.saturating_sub(1));
            let b = self.backends.get_mut(&a.backend);
            b.into_iter().for_each(|b| b.stalled = b.stalled.saturating_sub(1));
        }
        self.deadlines.insert((deadline, id));
        self.arm_deadline_timer();
    }

    /// Deadlines of requests that are over cost nothing: one timer stands for all that are open.
    fn arm_deadline_timer(&mut self) {
        let Some(&(first, _)) = self.deadlines.first() else { return };
        if self.deadline_timer.is_none_or(|(at, _)| first < at) {
            self.set_timer(first.saturating_sub(self.now), Task::Deadlines);
            self.deadline_timer = Some((first, self.last_timer_token));
        }
    }

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

    /// Calls off what is still out for a request, but for an attempt to keep.
    fn cancel_attempts(&mut self, id: RequestId, keep: Option<AttemptIndex>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.cfg.may_cancel) else { return };
        let out = (0..).zip(&r.attempts).filter(|(_, a)| a.outcome.is_none()).map(|(i, _)| AttemptIndex(i));
        let calls = out.filter(|i| Some(*i) != keep).map(|attempt| Action::Cancel { id, attempt });
        self.actions.extend(calls);
    }

    /// Lets go of a request that is over; its id is kept until all attempts have ended.
    fn finish(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.attempts.iter().all(|a| a.outcome.is_some()) {
            self.deadlines.remove(&(r.deadline, id));
            self.requests.remove(&id);
        } else if !r.streaming {
            self.cancel_attempts(id, None);
        }
    }

    // ---------------------------------------------------------------- rule guards

    /// Rule 4: this gateway's share of the fall budget of a cold backend bounds its sends.
    /// Full capacity is not told; what each warm backend serves from here is at most that.
    fn slow_start_allows(&self, b: &Backend, usable: f64) -> bool {
        if self.capacity_fraction(b) >= 1.0 {
            return true;
        }
        let budget = self.slow_start_budget(b, usable);
        // Below one a span, gateways take turns: each when its own is due.
        if budget < 1.0 {
            return b.turn_progress >= 1.0 && b.in_flight == 0;
        }
        let budget = self.round_by_lot(budget, self.cfg.collapse_after as f64, b.row.key());
        self.recent_count(&b.recent_sends).max(b.in_flight as f64) < budget
    }

    /// What this gateway may send within a fall span to a cold backend of its subset; others are not.
    fn slow_start_budget(&self, b: &Backend, usable: f64) -> f64 {
        let (span, keep) = (self.cfg.collapse_after as f64, (SUBSET_SIZE / usable).min(1.0));
        let usual = self.warm_throughput.max(self.completion_rate / usable * span / SECOND);
        let in_subset = f64::from(u8::from(self.hash_fraction(b.row.key()) < keep));
        SLOW_START_BUDGET_FRACTION
            * self.cfg.collapse_multiple
            * self.capacity_fraction(b)
            * usual
            * in_subset
            / keep
    }

    /// Lets turns at cold backends come nearer. Danger: a lot drawn anew for each span went to gateways that
    /// had no request then or chose another backend: cold ones stayed idle while the warm ones were jammed.
    fn advance_slow_start_turns(&mut self, passed: f64) {
        let usable = self.usable_count();
        let cold = |b: &Backend| self.is_usable(b) && self.capacity_fraction(b) < 1.0;
        // Danger: turns that came near while it was warm, or out of use, were due at all gateways in the
        // moment in which it came back cold.
        let turn = |b: &Backend| {
            let budget = cold(b).then(|| self.slow_start_budget(b, usable)).filter(|all| *all < 1.0);
            let near =
                budget.map(|all| (b.turn_progress + all * passed / self.cfg.collapse_after as f64).min(1.0));
            near.unwrap_or_else(|| self.initial_turn(&b.row))
        };
        let turns: Vec<_> = self.backends.values().map(turn).collect();
        self.backends.values_mut().zip(turns).for_each(|(b, turn)| b.turn_progress = turn);
    }

    /// What warm backends serve tells what a full one can do. Danger: the mean over all, cold ones too, falls
    /// with what these are kept from: they stay idle while the warm ones are jammed and clients are refused.
    /// Danger: a jam makes more sends, not more work. A few warm ones were sent 2.5 times what they bear, of
    /// which much was turned away and sent on again, and cold ones would have fallen by that.
    fn update_warm_throughput(&mut self) {
        let usable: Vec<_> = self.backends.values().filter(|b| self.is_usable(b)).collect();
        let warm: Vec<_> = usable.iter().filter(|b| self.capacity_fraction(b) >= 1.0).collect();
        if warm.len() * 3 >= usable.len().max(1) {
            // It does less while it is asked for less, which is no news of what it can do.
            let all = warm.iter().map(|b| self.recent_count(&b.recent_completions)).sum::<f64>();
            // Danger: of a few, chance alone makes peaks: no more is counted than is sure to be usual.
            let now = (all - all.sqrt()) / warm.len() as f64;
            self.warm_throughput =
                now.max(self.warm_throughput * (1.0 - HOUSEKEEPING_INTERVAL as f64 / RETENTION_TIME));
        }
    }

    /// Rule 5: an even split of the ceiling's store, empty at the start: a restart knows of no spending.
    fn ceiling_level(&self, id: CustomerId) -> Option<f64> {
        let c = &self.customers[&id];
        let top = self.cfg.plans[c.plan].ceiling?;
        let (level, at) = c.ceiling.unwrap_or((0.0, self.started_at.unwrap_or(self.now)));
        Some((level + top.rate / c.spread * self.since(at) / SECOND).min(top.burst / c.spread))
    }
}
