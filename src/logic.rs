//! The decisions of a gateway on the events and actions of `src/api.rs`: admission, health of backends and
//! attempts. `src/backend_choice.rs` chooses backends, `src/quota.rs` decides on quotas, `src/slow_start.rs`
//! on cold backends, `src/repeats.rs` on repeats. Times are `f64` microseconds unless they are [`Micros`].

use crate::api::*;
use crate::backend_choice::SUBSET_SIZE;
use crate::settings::*;
use crate::state::*;

/// One second, in microseconds.
pub(crate) const SECOND: f64 = 1e6;
/// The usual interval between two syncs of a customer with the counter, in microseconds.
pub(crate) const SYNC_INTERVAL: f64 = 1e6;
/// The largest number of counter calls in flight at once. Up to this number of gateways start at the full
/// pace of calls, before the counter has answered.
pub(crate) const MAX_CALLS_IN_FLIGHT: f64 = 16.0;
/// The fraction by which the pace of calls rises per second, at the least. It rises faster the longer ago the
/// last congestion was.
const PACE_INCREASE: f64 = 0.1;
/// The time constant, in microseconds, with which observations of customers and backends lose their weight.
pub(crate) const DECAY_TIME: f64 = 10e6;
/// The initial probabilities of being over quota: of a new customer and of a returning one.
const INITIAL_OVER_QUOTA_RATES: [f64; 2] = [0.3, 0.6];
/// The fraction by which full counts ease the refusal of customers that are probably over their quota when
/// capacity is short. It applies at the full pace of calls, when all units are counted, and less below that.
const EXACT_COUNT_DISCOUNT: f64 = 0.7;
/// How long a customer without requests is remembered, in microseconds, if this is longer than four windows:
/// many customers come only once. Also the time constant with which `warm_throughput` falls.
pub(crate) const RETENTION_TIME: f64 = 15e6;
/// The interval of the housekeeping, in microseconds.
pub(crate) const HOUSEKEEPING_INTERVAL: u64 = 50_000;
/// The time constant, in microseconds, with which the rates of sends and completions are smoothed.
const RATE_SMOOTHING_TIME: f64 = 1.5e6;
/// An attempt is stalled once its backend has answered one that was sent this many usual latencies later.
const STALLED_LATENCY_FACTOR: f64 = 4.0;
/// The multiple of the mean latency that limits the latency sample of a time-out.
const MAX_TIMEOUT_FACTOR: f64 = 2.0;
/// The weight of a new sample in slowly changing means.
pub(crate) const MEAN_GAIN: f64 = 0.1;
/// The number of consecutive failures at which a time-out ejects a backend.
const TIMEOUTS_BEFORE_EJECTION: u32 = 3;
/// The number of consecutive failures at which a failed or broken connection has the backend probed, or
/// ejected where probes are not allowed.
const MAX_CONNECTION_FAILURES: u32 = 2;
/// The delay of that probe, in microseconds. It is short, as a backend that has only lost connections is soon
/// back in use.
const CONNECTION_PROBE_DELAY: f64 = 50_000.0;
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
        if !self.has_room_for(customer_id) {
            let (retry_after, reason) = (self.expected_latency() as Micros, RefusalReason::TooManyCustomers);
            self.actions.push(Action::Refuse { id, retry_after, reason });
            return;
        }
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
            self.forget_idle_customers();
        }
    }

    // ---------------------------------------------------------------- attempts

    /// Sends a request's next attempt. Returns false if it may not be sent or no backend is eligible.
    pub(crate) fn send_attempt(&mut self, id: RequestId) -> bool {
        let (now, request) = (self.now, &self.requests[&id]);
        let (first, customer_id, class) = (request.attempts.is_empty(), request.customer, request.class);
        let ceiling = self
            .ceiling_level(&self.customers[&customer_id])
            .filter(|_| first)
            .map(|level| level - request.units);
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
    pub(crate) fn refuse_unsent(&mut self, id: RequestId, reason: RefusalReason, wait: Micros) {
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
}
