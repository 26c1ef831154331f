//! What the module says, carried out: attempts are begun and ended, requests get their final answers.

use super::timers::Due;
use super::{Core, Driver, Out, Reply};
use crate::backend::{AttemptLimits, ClientClosed, CompletedAttempt};
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
    why: SendReason,
}

impl Driver {
    /// Tells the counter of as many units as it bears: the process ends.
    pub fn flush(&self) {
        let mut core = self.0.core.borrow_mut();
        let (now, mut acts) = (self.0.clock.now(), Vec::new());
        core.gateway.flush(now, &mut acts);
        acts.into_iter().for_each(|action| self.act(&mut core, now, action));
        self.run(&mut core, now);
    }

    /// Hands waiting events to the module and carries out what it says, until there are none.
    pub(super) fn run(&self, core: &mut Core, now: Micros) {
        let next = core.timers.first().map(|t| t.0);
        while let Some(event) = core.events.pop_front() {
            let mut acts = std::mem::take(&mut core.acts);
            core.gateway.handle(now, event, &mut acts);
            acts.drain(..).for_each(|action| self.act(core, now, action));
            core.acts = acts;
        }
        if core.timers.first().map(|t| t.0) < next || next.is_none() {
            self.0.wake.notify_one();
        }
    }

    fn act(&self, core: &mut Core, now: Micros, action: Action) {
        match action {
            Action::Send { id, backend, timeout, begin_by, reason: why } => {
                let order = SendOrder { id, backend, timeout, begin_by, why };
                self.send(core, now, order);
            }
            Action::Refuse { id, retry_after: wait, reason: why } => {
                let tried = core.requests.get(&id).is_some_and(|r| r.attempts > 0);
                self.answer(core, id, Reply::Refused { wait, tried, why });
            }
            Action::Fail { id } => self.answer(core, id, Reply::Failed),
            Action::Cancel { id, attempt } => {
                self.end(core, now, id, attempt.0, Outcome::Cancelled.into());
            }
            Action::SetTimer { token, after } => {
                core.timers.insert((now + after, Due::Module(token)));
            }
            Action::Probe { backend } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    let CompletedAttempt { outcome, load, .. } = driver.0.pool.probe(backend).await;
                    let elapsed = driver.0.clock.now().saturating_sub(now);
                    driver.feed(Event::Probed { backend, outcome, elapsed, load });
                });
            }
            Action::CloseIdle { backend } => self.0.pool.close_idle(backend),
            Action::CallCounter { key: name, amount, lifetime: keep } => {
                self.0.counter.call(self.clone(), self.0.clock, name, amount, keep);
            }
            Action::Log { line } => log::info!("{line}"),
            // The list is followed all the time: a subscription adds nothing to that.
            Action::Subscribe { .. } => {}
            Action::FetchList => core.refetch = true,
            // Gateways share nothing but the counter.
            Action::SendMessage { .. } => {}
        }
    }

    fn send(&self, core: &mut Core, now: Micros, order: SendOrder) {
        let SendOrder { id, backend, timeout, begin_by, why } = order;
        let Some(open) = core.requests.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts = attempt.saturating_add(1);
        let spent = open.message.body_consumed();
        let facts = RepeatFacts {
            effect: open.effect,
            earlier: &open.history,
            now,
            max_attempts: self.0.module.max_attempts,
            hedging: self.0.module.hedging,
        };
        let allowed = facts.check();
        if let Err(violation) = allowed {
            self.guard().record(violation, &format!("request {:?}, attempt {attempt}", open.name));
        }
        let may_begin = allowed.is_ok() && open.reply.is_some() && !spent && now < open.deadline;
        let outcome = if may_begin { None } else { Some(Outcome::NotSent) };
        open.history.push(EarlierAttempt { started_at: now, outcome });
        if !may_begin {
            let moot = Outcome::NotSent.into();
            core.events.push_back(ended(id, attempt, backend, 0, open.reply.is_none(), spent, moot));
            return;
        }
        self.0.reasons.sent(&open.name, attempt, &backend, why);
        if let Some(limit) = timeout {
            core.timers.insert((now + limit, Due::Attempt(id, attempt)));
        }
        let (driver, message) = (self.clone(), open.message.clone());
        let begin_by = begin_by.map(|by| self.0.clock.instant(by));
        let limits = AttemptLimits { deadline: open.last.clone(), begin_by };
        let task = tokio::task::spawn_local(async move {
            let finish = driver.0.pool.attempt(backend, &message, &limits).await;
            let mut core = driver.0.core.borrow_mut();
            let now = driver.0.clock.now();
            match finish {
                Ok(finish) => driver.end(&mut core, now, id, attempt, finish),
                Err(ClientClosed) => driver.drop_request(&mut core, now, id),
            }
            driver.run(&mut core, now);
        });
        open.out.push(Out { attempt, backend, sent: now, task: task.abort_handle() });
    }

    /// The one end of an attempt that is out. A task that still runs is stopped, which closes its connection.
    pub(super) fn end(
        &self,
        core: &mut Core,
        now: Micros,
        id: RequestId,
        attempt: u8,
        finish: CompletedAttempt,
    ) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|o| o.attempt == attempt) else { return };
        let out = open.out.swap_remove(at);
        out.task.abort();
        if let Some(earlier) = open.history.get_mut(usize::from(attempt)) {
            earlier.outcome = Some(finish.outcome);
        }
        log::debug!(
            "request {:?} attempt {attempt} ended: {} after {} us",
            open.name,
            outcome_name(finish.outcome),
            now.saturating_sub(out.sent)
        );
        let CompletedAttempt { outcome, load, billed_units: billed, answer } = finish;
        if let (Some(answer), Some(reply)) = (answer, open.reply.take_if(|_| outcome == Outcome::Ok)) {
            drop(reply.send(Reply::Served(Box::new(answer))));
        }
        let (settled, last) = (open.reply.is_none(), open.out.is_empty());
        // A backend begins once it has all of a request.
        let (spent, began) = (open.message.body_consumed(), out.sent.max(open.whole));
        core.tally.attempt(outcome);
        if settled && last {
            core.forget(id);
        }
        let finish = CompletedAttempt { outcome, load, billed_units: billed, answer: None };
        let elapsed = now.saturating_sub(began);
        core.events.push_back(ended(id, out.attempt, out.backend, elapsed, settled, spent, finish));
    }

    /// Ends all attempts that are out for a request.
    pub(super) fn end_all(&self, core: &mut Core, now: Micros, id: RequestId, outcome: Outcome) {
        while let Some(attempt) = core.requests.get(&id).and_then(|r| r.out.first()).map(|o| o.attempt) {
            self.end(core, now, id, attempt, outcome.into());
        }
    }

    fn answer(&self, core: &mut Core, id: RequestId, reply: Reply) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        if let Some(to) = open.reply.take() {
            drop(to.send(reply));
        }
        if open.out.is_empty() {
            core.forget(id);
        }
    }

    pub(super) fn gone(&self, id: RequestId) {
        let mut core = self.0.core.borrow_mut();
        let now = self.0.clock.now();
        self.drop_request(&mut core, now, id);
        self.run(&mut core, now);
    }

    /// Nobody waits for this request any more: the module is told, what is out is closed.
    pub(super) fn drop_request(&self, core: &mut Core, now: Micros, id: RequestId) {
        let Some(open) = core.requests.get_mut(&id) else { return };
        if let Some(to) = open.reply.take() {
            drop(to.send(Reply::ClientClosed));
            core.events.push_back(Event::ClientGone { id });
        }
        if open.out.is_empty() {
            core.forget(id);
        } else {
            self.end_all(core, now, id, Outcome::Cancelled);
        }
    }
}

fn ended(
    id: RequestId,
    attempt: u8,
    backend: BackendId,
    elapsed: Micros,
    settled: bool,
    spent: bool,
    f: CompletedAttempt,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: AttemptIndex(attempt),
        backend,
        outcome: f.outcome,
        elapsed,
        request_done: settled,
        quota_use: None,
        billed_units: f.billed_units,
        load: f.load,
        body_consumed: spent,
    })
}
