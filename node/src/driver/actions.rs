//! What the module says, carried out: attempts are begun and ended, requests get their final answers.

use super::timers::TimerKind;
use super::{Driver, DriverState, InFlightAttempt, Reply};
use crate::backend::{AttemptLimits, ClientClosed, Finish};
use crate::guard::{EarlierAttempt, RepeatFacts};
use crate::reasons::outcome_name;
use caperwind::{
    Action, AttemptIndex, AttemptResult, BackendId, Event, Micros, Outcome, RequestId, SendReason,
};

/// An attempt that the module wants.
struct SendOrder {
    id: RequestId,
    backend: BackendId,
    timeout: Option<Micros>,
    begin_by: Option<Micros>,
    reason: SendReason,
}

impl Driver {
    /// Tells the counter of as many units as it bears: the process ends.
    pub fn flush(&self) {
        let mut core = self.0.state.borrow_mut();
        let (now, mut acts) = (self.0.clock.now(), Vec::new());
        core.gateway.flush(now, &mut acts);
        acts.into_iter().for_each(|action| self.execute(&mut core, now, action));
        self.run(&mut core, now);
    }

    /// Hands waiting events to the module and carries out what it says, until there are none.
    pub(super) fn run(&self, core: &mut DriverState, now: Micros) {
        let next = core.timers.first().map(|t| t.0);
        while let Some(event) = core.events.pop_front() {
            let mut acts = std::mem::take(&mut core.actions);
            core.gateway.handle(now, event, &mut acts);
            acts.drain(..).for_each(|action| self.execute(core, now, action));
            core.actions = acts;
        }
        if core.timers.first().map(|t| t.0) < next || next.is_none() {
            self.0.wake.notify_one();
        }
    }

    fn execute(&self, core: &mut DriverState, now: Micros, action: Action) {
        match action {
            Action::Send { id, backend, timeout, begin_by, reason: why } => {
                let order = SendOrder { id, backend, timeout, begin_by, reason: why };
                self.start_attempt(core, now, order);
            }
            Action::Refuse { id, retry_after: wait, reason: why } => {
                let tried = core.requests.get(&id).is_some_and(|r| r.attempts > 0);
                self.send_reply(
                    core,
                    id,
                    Reply::Refused { retry_after: wait, attempted: tried, reason: why },
                );
            }
            Action::Fail { id } => self.send_reply(core, id, Reply::Failed),
            Action::Cancel { id, attempt } => {
                self.end_attempt(core, now, id, attempt.0, Outcome::Cancelled.into());
            }
            Action::SetTimer { token, after } => {
                core.timers.insert((now + after, TimerKind::Module(token)));
            }
            Action::Probe { backend } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    let Finish { outcome, load, .. } = driver.0.pool.probe(backend).await;
                    let elapsed = driver.0.clock.now().saturating_sub(now);
                    driver.handle_event(Event::Probed { backend, outcome, elapsed, load });
                });
            }
            Action::CloseIdle { backend } => self.0.pool.close_idle(backend),
            Action::CallCounter { key: name, amount, lifetime: keep } => {
                self.0.counter.call(self.clone(), self.0.clock, name, amount, keep);
            }
            Action::Log { line } => log::info!("{line}"),
            // The list is followed all the time: a subscription adds nothing to that.
            Action::Subscribe { .. } => {}
            Action::FetchList => core.refetch_list = true,
            // Gateways share nothing but the counter.
            Action::SendMessage { .. } => {}
        }
    }

    fn start_attempt(&self, core: &mut DriverState, now: Micros, order: SendOrder) {
        let SendOrder { id, backend, timeout, begin_by, reason: why } = order;
        let Some(open) = core.requests.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts = attempt.saturating_add(1);
        let spent = open.message.spent();
        let facts = RepeatFacts {
            effect: open.effect,
            earlier: &open.history,
            now,
            max_attempts: self.0.config.max_attempts,
            hedging: self.0.config.hedging,
        };
        let allowed = facts.check();
        if let Err(violation) = allowed {
            self.guard().record(violation, &format!("request {:?}, attempt {attempt}", open.correlation_id));
        }
        let may_begin = allowed.is_ok() && open.reply.is_some() && !spent && now < open.deadline;
        let outcome = if may_begin { None } else { Some(Outcome::NotSent) };
        open.history.push(EarlierAttempt { started_at: now, outcome });
        if !may_begin {
            let moot = Outcome::NotSent.into();
            core.events.push_back(attempt_ended_event(
                id,
                attempt,
                backend,
                0,
                open.reply.is_none(),
                spent,
                moot,
            ));
            return;
        }
        self.0.reason_counts.record_attempt(&open.correlation_id, attempt, &backend, why);
        if let Some(limit) = timeout {
            core.timers.insert((now + limit, TimerKind::AttemptTimeout(id, attempt)));
        }
        let (driver, message) = (self.clone(), open.message.clone());
        let begin_by = begin_by.map(|by| self.0.clock.instant(by));
        let limits = AttemptLimits { deadline: open.shared_deadline.clone(), begin_by };
        let task = tokio::task::spawn_local(async move {
            let finish = driver.0.pool.attempt(backend, &message, &limits).await;
            let mut core = driver.0.state.borrow_mut();
            let now = driver.0.clock.now();
            match finish {
                Ok(finish) => driver.end_attempt(&mut core, now, id, attempt, finish),
                Err(ClientClosed) => driver.abandon_request(&mut core, now, id),
            }
            driver.run(&mut core, now);
        });
        open.in_flight.push(InFlightAttempt { attempt, backend, started_at: now, task: task.abort_handle() });
    }

    /// The one end of an attempt that is out. A task that still runs is stopped, which closes its connection.
    pub(super) fn end_attempt(
        &self,
        core: &mut DriverState,
        now: Micros,
        id: RequestId,
        attempt: u8,
        finish: Finish,
    ) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        let Some(at) = open.in_flight.iter().position(|o| o.attempt == attempt) else { return };
        let out = open.in_flight.swap_remove(at);
        out.task.abort();
        if let Some(earlier) = open.history.get_mut(usize::from(attempt)) {
            earlier.outcome = Some(finish.outcome);
        }
        log::debug!(
            "request {:?} attempt {attempt} ended: {} after {} us",
            open.correlation_id,
            outcome_name(finish.outcome),
            now.saturating_sub(out.started_at)
        );
        let Finish { outcome, load, billed, answer } = finish;
        if let (Some(answer), Some(reply)) = (answer, open.reply.take_if(|_| outcome == Outcome::Ok)) {
            drop(reply.send(Reply::Served(Box::new(answer))));
        }
        let (settled, last) = (open.reply.is_none(), open.in_flight.is_empty());
        // A backend begins once it has all of a request.
        let (spent, began) = (open.message.spent(), out.started_at.max(open.received_at));
        core.report_counts.count_attempt(outcome);
        if settled && last {
            core.remove_request(id);
        }
        let finish = Finish { outcome, load, billed, answer: None };
        let elapsed = now.saturating_sub(began);
        core.events.push_back(attempt_ended_event(
            id,
            out.attempt,
            out.backend,
            elapsed,
            settled,
            spent,
            finish,
        ));
    }

    /// Ends all attempts that are out for a request.
    pub(super) fn end_all_attempts(
        &self,
        core: &mut DriverState,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
    ) {
        while let Some(attempt) = core.requests.get(&id).and_then(|r| r.in_flight.first()).map(|o| o.attempt)
        {
            self.end_attempt(core, now, id, attempt, outcome.into());
        }
    }

    fn send_reply(&self, core: &mut DriverState, id: RequestId, reply: Reply) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        if let Some(to) = open.reply.take() {
            drop(to.send(reply));
        }
        if open.in_flight.is_empty() {
            core.remove_request(id);
        }
    }

    pub(super) fn client_gone(&self, id: RequestId) {
        let mut core = self.0.state.borrow_mut();
        let now = self.0.clock.now();
        self.abandon_request(&mut core, now, id);
        self.run(&mut core, now);
    }

    /// Nobody waits for this request any more: the module is told, what is out is closed.
    pub(super) fn abandon_request(&self, core: &mut DriverState, now: Micros, id: RequestId) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        if let Some(to) = open.reply.take() {
            drop(to.send(Reply::ClientClosed));
            core.events.push_back(Event::ClientGone { id });
        }
        if open.in_flight.is_empty() {
            core.remove_request(id);
        } else {
            self.end_all_attempts(core, now, id, Outcome::Cancelled);
        }
    }
}

fn attempt_ended_event(
    id: RequestId,
    attempt: u8,
    backend: BackendId,
    elapsed: Micros,
    settled: bool,
    spent: bool,
    f: Finish,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: AttemptIndex(attempt),
        backend,
        outcome: f.outcome,
        elapsed,
        request_done: settled,
        quota_use: None,
        billed_units: f.billed,
        load: f.load,
        body_consumed: spent,
    })
}
