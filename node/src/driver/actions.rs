//! Carries out the actions of the decision module: starts and ends attempts and sends final results.

use super::timers::TimerKind;
use super::{Driver, DriverState, InFlightAttempt, Reply};
use crate::backend::{AttemptLimits, ClientClosed, CompletedAttempt};
use crate::guard::{EarlierAttempt, RepeatFacts};
use crate::hash::fnv1a;
use crate::reasons::outcome_name;
use caperwind::{
    Action, AttemptIndex, AttemptResult, BackendId, Effect, Event, Micros, Outcome, RequestId, SendReason,
};

/// An attempt that the decision module has ordered.
struct SendOrder {
    id: RequestId,
    backend: BackendId,
    /// How long the attempt may take, in microseconds; `None` for no limit but the request's deadline.
    timeout: Option<Micros>,
    /// The attempt may only begin before this time; `None` for no limit but the request's deadline.
    begin_by: Option<Micros>,
    reason: SendReason,
}

impl Driver {
    /// Sends unsynced units to the counter, as many calls at once as are allowed. Called while the process ends.
    pub fn flush(&self) {
        let mut state = self.0.state.borrow_mut();
        let (now, mut actions) = (self.0.clock.now(), Vec::new());
        state.gateway.flush(now, &mut actions);
        actions.into_iter().for_each(|action| self.execute(&mut state, now, action));
        self.run(&mut state, now);
    }

    /// Passes queued events to the decision module and carries out the resulting actions until the queue is empty.
    /// Wakes the timer task if the next timer is due earlier than before.
    pub(super) fn run(&self, state: &mut DriverState, now: Micros) {
        let next_due = state.timers.first().map(|t| t.0);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(state, now, action));
            state.actions = actions;
        }
        if state.timers.first().map(|t| t.0) < next_due || next_due.is_none() {
            self.0.wake.notify_one();
        }
    }

    /// Carries out one action of the decision module.
    fn execute(&self, state: &mut DriverState, now: Micros, action: Action) {
        match action {
            Action::Send { id, backend, timeout, begin_by, reason } => {
                let order = SendOrder { id, backend, timeout, begin_by, reason };
                self.start_attempt(state, now, order);
            }
            Action::Refuse { id, retry_after, reason } => {
                let attempted = state.requests.get(&id).is_some_and(|r| r.attempts > 0);
                self.send_reply(state, id, Reply::Refused { retry_after, attempted, reason });
            }
            Action::Fail { id } => self.send_reply(state, id, Reply::Failed),
            Action::Cancel { id, attempt } => {
                self.end_attempt(state, now, id, attempt.0, Outcome::Cancelled.into());
            }
            Action::SetTimer { token, after } => {
                state.timers.insert((now + after, TimerKind::Module(token)));
            }
            Action::Probe { backend } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    let CompletedAttempt { outcome, load, .. } = driver.0.pool.probe(backend).await;
                    let elapsed = driver.0.clock.now().saturating_sub(now);
                    driver.handle_event(Event::Probed { backend, outcome, elapsed, load });
                });
            }
            Action::CloseIdle { backend } => self.0.pool.close_idle(backend),
            Action::CallCounter { key, amount, lifetime } => {
                self.0.counter.call(self.clone(), self.0.clock, key, amount, lifetime);
            }
            Action::Log { line } => log::info!("{line}"),
            // The driver follows the list all the time, so a subscription changes nothing.
            Action::Subscribe { .. } => {}
            Action::FetchList => state.refetch_list = true,
            // Gateways exchange no messages; they share only the counter.
            Action::SendMessage { .. } => {}
        }
    }

    /// Starts an attempt in its own task. If the guard refuses it or it can no longer succeed, it ends at once as not
    /// sent.
    fn start_attempt(&self, state: &mut DriverState, now: Micros, order: SendOrder) {
        let SendOrder { id, backend, timeout, begin_by, reason } = order;
        let Some(request) = state.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts = attempt.saturating_add(1);
        let body_consumed = request.message.body_consumed();
        let facts = RepeatFacts {
            effect: request.effect,
            earlier: &request.history,
            now,
            max_attempts: self.0.config.max_attempts,
            hedging: self.0.config.hedging,
        };
        let allowed = facts.check();
        if let Err(violation) = allowed {
            self.guard()
                .record(violation, &format!("request {:?}, attempt {attempt}", request.correlation_id));
        }
        let may_begin =
            allowed.is_ok() && request.reply.is_some() && !body_consumed && now < request.deadline;
        let outcome = if may_begin { None } else { Some(Outcome::NotSent) };
        request.history.push(EarlierAttempt { started_at: now, outcome });
        if !may_begin {
            let not_sent = Outcome::NotSent.into();
            state.events.push_back(attempt_ended_event(
                id,
                attempt,
                backend,
                0,
                request.reply.is_none(),
                body_consumed,
                not_sent,
            ));
            return;
        }
        self.0.reason_counts.record_attempt(&request.correlation_id, attempt, &backend, reason);
        if request.effect != Effect::Pure {
            let hash = fnv1a(request.correlation_id.as_bytes());
            if state.begun_requests.insert(hash, now) {
                self.0.begun_observer.borrow().iter().for_each(|observer| observer(hash));
            }
        }
        if let Some(limit) = timeout {
            state.timers.insert((now + limit, TimerKind::AttemptTimeout(id, attempt)));
        }
        let (driver, message) = (self.clone(), request.message.clone());
        let begin_by = begin_by.map(|time| self.0.clock.instant(time));
        let limits = AttemptLimits { deadline: request.shared_deadline.clone(), begin_by };
        let task = tokio::task::spawn_local(async move {
            let completed = driver.0.pool.attempt(backend, &message, &limits).await;
            let mut state = driver.0.state.borrow_mut();
            let now = driver.0.clock.now();
            match completed {
                Ok(completed) => driver.end_attempt(&mut state, now, id, attempt, completed),
                Err(ClientClosed) => driver.abandon_request(&mut state, now, id),
            }
            driver.run(&mut state, now);
        });
        request.in_flight.push(InFlightAttempt {
            attempt,
            backend,
            started_at: now,
            task: task.abort_handle(),
        });
    }

    /// Ends an attempt in flight; every attempt that was started ends here, whatever the reason. Stops its task if it
    /// still runs, which closes its connection.
    pub(super) fn end_attempt(
        &self,
        state: &mut DriverState,
        now: Micros,
        id: RequestId,
        attempt: u8,
        completed: CompletedAttempt,
    ) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        let Some(index) = request.in_flight.iter().position(|a| a.attempt == attempt) else { return };
        let ended = request.in_flight.swap_remove(index);
        ended.task.abort();
        if let Some(earlier) = request.history.get_mut(usize::from(attempt)) {
            earlier.outcome = Some(completed.outcome);
        }
        log::debug!(
            "request {:?} attempt {attempt} ended: {} after {} us",
            request.correlation_id,
            outcome_name(completed.outcome),
            now.saturating_sub(ended.started_at)
        );
        let CompletedAttempt { outcome, load, billed_units, answer } = completed;
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Ok) {
            if let Some(reply) = request.take_reply() {
                drop(reply.send(Reply::Served(Box::new(answer))));
            }
        }
        let (request_done, none_in_flight) = (request.reply.is_none(), request.in_flight.is_empty());
        // A backend starts to work when it has received the whole request.
        let (body_consumed, work_began) =
            (request.message.body_consumed(), ended.started_at.max(request.received_at));
        state.report_counts.count_attempt(outcome);
        if request_done && none_in_flight {
            state.remove_request(id);
        }
        let completed = CompletedAttempt { outcome, load, billed_units, answer: None };
        let elapsed = now.saturating_sub(work_began);
        state.events.push_back(attempt_ended_event(
            id,
            ended.attempt,
            ended.backend,
            elapsed,
            request_done,
            body_consumed,
            completed,
        ));
    }

    /// Ends all attempts of a request that are in flight.
    pub(super) fn end_all_attempts(
        &self,
        state: &mut DriverState,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
    ) {
        while let Some(attempt) = state.requests.get(&id).and_then(|r| r.in_flight.first()).map(|a| a.attempt)
        {
            self.end_attempt(state, now, id, attempt, outcome.into());
        }
    }

    /// Sends the final result of a request unless it has been sent, and removes the request if no attempt is in
    /// flight.
    fn send_reply(&self, state: &mut DriverState, id: RequestId, reply: Reply) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        if let Some(sender) = request.take_reply() {
            drop(sender.send(reply));
        }
        if request.in_flight.is_empty() {
            state.remove_request(id);
        }
    }

    /// Abandons a request whose client has gone.
    pub(super) fn client_gone(&self, id: RequestId) {
        let mut state = self.0.state.borrow_mut();
        let now = self.0.clock.now();
        self.abandon_request(&mut state, now, id);
        self.run(&mut state, now);
    }

    /// Abandons a request that no client waits for: informs the decision module and cancels the attempts in flight.
    pub(super) fn abandon_request(&self, state: &mut DriverState, now: Micros, id: RequestId) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        if let Some(sender) = request.take_reply() {
            drop(sender.send(Reply::ClientClosed));
            state.events.push_back(Event::ClientGone { id });
        }
        if request.in_flight.is_empty() {
            state.remove_request(id);
        } else {
            self.end_all_attempts(state, now, id, Outcome::Cancelled);
        }
    }
}

/// Returns the event that reports the end of an attempt to the decision module. `elapsed` is in microseconds.
fn attempt_ended_event(
    id: RequestId,
    attempt: u8,
    backend: BackendId,
    elapsed: Micros,
    request_done: bool,
    body_consumed: bool,
    completed: CompletedAttempt,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: AttemptIndex(attempt),
        backend,
        outcome: completed.outcome,
        elapsed,
        request_done,
        quota_use: None,
        billed_units: completed.billed_units,
        load: completed.load,
        body_consumed,
    })
}
