//! Owns the decision module and the table of open requests: events in, actions out, timers between.
//! It decides nothing.

mod actions;
mod backend_list;
mod report;
mod timers;

use crate::admission::{Rejection, RequestMetadata};
use crate::backend::{Message, Payload, Pool};
use crate::body::download::{AnswerBody, Deadline};
use crate::clock::Clock;
use crate::counter::{Counter, Results};
use crate::discovery::Subscriber;
use crate::endpoints::{Endpoint, List};
use crate::guard::{EarlierAttempt, Guard};
use crate::reasons::{ReasonCounts, RefusalCause};
use backend_list::{BackendList, UpdatedBackend, MAX_BACKENDS};
use caperwind::{
    Action, Arrival, BackendId, BackendRow, BackendState, Config, CounterKey, CounterResult, Effect, Event,
    Gateway, HandoverState, ListKind, Micros, RefusalReason, RequestId, UnsyncedUnits,
};
use hyper::{Response, StatusCode};
use report::ReportCounts;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use timers::{TimerKind, SWEEP_INTERVAL};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// Requests open at once; further ones are refused unseen.
const MAX_OPEN_REQUESTS: usize = 4096;
/// Danger: an answer that crosses the client's deadline on its way is lost. The way is up to a few
/// milliseconds, and on a core that others share a request may have stood unread for some more.
const DEADLINE_MARGIN: Micros = 20_000;
/// A body that is still coming is given so long, if its client keeps sending; its time counts from its end.
const MAX_UPLOAD_TIME: Micros = 900_000_000;
/// The final answer to a request.
pub enum Reply {
    Served(Box<Response<AnswerBody>>),
    /// Trying again is harmless; when to, in microseconds (0: no advice), and whether it was tried.
    Refused {
        retry_after: Micros,
        attempted: bool,
        reason: RefusalReason,
    },
    /// No promise.
    Failed,
    /// None: the client was found to have closed its connection.
    ClientClosed,
}

struct InFlightAttempt {
    attempt: u8,
    backend: BackendId,
    started_at: Micros,
    task: AbortHandle,
}

struct OpenRequest {
    /// The client's own name for it.
    correlation_id: Rc<str>,
    message: Rc<Message>,
    /// Gone once the request has its final answer.
    reply: Option<oneshot::Sender<Reply>>,
    deadline: Micros,
    /// The same, for those at work on it.
    shared_deadline: Deadline,
    /// When its last byte had come; 0: it is still coming.
    received_at: Micros,
    attempts: u8,
    /// What may be done with requests of its class.
    effect: Effect,
    /// All attempts so far, by their numbers.
    history: Vec<EarlierAttempt>,
    /// The attempts that are out: where the settings allow second copies, there may be two.
    in_flight: Vec<InFlightAttempt>,
}

struct DriverState {
    gateway: Gateway,
    requests: HashMap<RequestId, OpenRequest>,
    last_id: u32,
    /// The clients' names of open requests.
    open_correlation_ids: HashSet<Rc<str>>,
    timers: BTreeSet<(Micros, TimerKind)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    backends: BackendList,
    refetch_list: bool,
    report_counts: ReportCounts,
}

struct Inner {
    state: RefCell<DriverState>,
    config: Config,
    clock: Clock,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
    reason_counts: Rc<ReasonCounts>,
    wake: Notify,
    has_backend_list: Cell<bool>,
    /// Discovery itself has told a list.
    list_received: Notify,
    shutdown_deadline: Cell<Option<Micros>>,
}

impl DriverState {
    /// Lets go of a request that is over, and of all that was kept for it.
    fn remove_request(&mut self, id: RequestId) {
        if let Some(open) = self.requests.remove(&id) {
            self.open_correlation_ids.remove(&open.correlation_id);
            self.timers.remove(&(open.deadline, TimerKind::Deadline(id)));
        }
    }
}

/// The driver, as its users hold it. Borrows of its state never cross an await.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

/// A place in the table; dropping it before the answer has come means that the client has gone.
pub struct PendingReply {
    driver: Driver,
    id: RequestId,
    receiver: oneshot::Receiver<Reply>,
    /// The end of the request's time, also for an answer that is passed on after the request was settled.
    deadline: Deadline,
    done: bool,
}

impl Driver {
    pub fn new(
        module: Config,
        seed: u64,
        pool: Rc<Pool>,
        counter: Rc<Counter>,
        reasons: Rc<ReasonCounts>,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        let gateway = Gateway::new(module.clone(), seed).map_err(|e| e.to_string())?;
        let core = DriverState {
            gateway,
            requests: HashMap::new(),
            last_id: 0,
            open_correlation_ids: HashSet::new(),
            timers: BTreeSet::from([(clock.now() + SWEEP_INTERVAL, TimerKind::Sweep)]),
            events: VecDeque::new(),
            actions: Vec::new(),
            backends: BackendList::default(),
            refetch_list: false,
            report_counts: ReportCounts::default(),
        };
        Ok(Driver(Rc::new(Inner {
            state: RefCell::new(core),
            config: module,
            clock,
            pool,
            counter,
            reason_counts: reasons,
            wake: Notify::new(),
            has_backend_list: Cell::new(false),
            list_received: Notify::new(),
            shutdown_deadline: Cell::new(None),
        })))
    }

    pub fn config(&self) -> &Config {
        &self.0.config
    }

    /// Counts the steps that were refused.
    pub fn guard(&self) -> &Rc<Guard> {
        &self.0.pool.guard
    }

    /// Connections to backends that could not be begun here, by error.
    pub fn local_failures(&self) -> serde_json::Map<String, serde_json::Value> {
        self.0.pool.local_failures.report()
    }

    /// Whether a list of backends is in hand.
    pub fn has_backend_list(&self) -> bool {
        self.0.has_backend_list.get()
    }

    pub fn shutting_down(&self) -> bool {
        self.0.shutdown_deadline.get().is_some()
    }

    /// From now on, no answer may come later than `span` from now.
    pub fn begin_shutdown(&self, span: Micros) {
        let last = self.0.clock.now() + span;
        self.0.shutdown_deadline.set(Some(last));
        let (mut core, mut moved) = (self.0.state.borrow_mut(), Vec::new());
        // Danger: an attempt that ends then must not be followed by another.
        for (id, open) in &mut core.requests {
            if open.deadline > last {
                moved.push((std::mem::replace(&mut open.deadline, last), *id));
                open.shared_deadline.set(self.0.clock.instant(last));
            }
        }
        for (before, id) in moved {
            core.timers.remove(&(before, TimerKind::Deadline(id)));
            core.timers.insert((last, TimerKind::Deadline(id)));
        }
        self.0.wake.notify_one();
    }

    pub fn is_idle(&self) -> bool {
        self.0.state.borrow().requests.is_empty()
    }

    /// Takes a request in, unless too many are open.
    pub fn submit(&self, message: Message, terms: RequestMetadata) -> Result<PendingReply, Rejection> {
        let mut core = self.0.state.borrow_mut();
        if core.requests.len() >= MAX_OPEN_REQUESTS {
            self.0.reason_counts.record_refusal(&terms.correlation_id, RefusalCause::TooManyOpen);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "too many requests open\n"));
        }
        // Danger: backends know a request by this name: a second one would be taken for a copy of the first.
        if !core.open_correlation_ids.insert(terms.correlation_id.clone()) {
            return Err((StatusCode::CONFLICT, "a request of this X-Correlation-Id is open\n"));
        }
        let now = self.0.clock.now();
        let coming = matches!(message.body, Payload::Coming(_));
        let whole = if coming { 0 } else { now };
        let wait =
            terms.time_limit.saturating_sub(DEADLINE_MARGIN) + if coming { MAX_UPLOAD_TIME } else { 0 };
        let mut deadline = now + wait;
        deadline = self.0.shutdown_deadline.get().map_or(deadline, |last| deadline.min(last));
        let id = loop {
            core.last_id = core.last_id.wrapping_add(1);
            let id = RequestId(core.last_id);
            if !core.requests.contains_key(&id) {
                break id;
            }
        };
        let (reply, answer) = oneshot::channel();
        let (name, message) = (terms.correlation_id, Rc::new(message));
        let (reply, last) = (Some(reply), Deadline::new(self.0.clock.instant(deadline)));
        let ends = last.clone();
        let effect = self.0.config.classes[usize::from(terms.class.0)].effect;
        let (history, out) = (Vec::new(), Vec::new());
        let open = OpenRequest {
            correlation_id: name,
            message,
            reply,
            deadline,
            shared_deadline: last,
            received_at: whole,
            attempts: 0,
            effect,
            history,
            in_flight: out,
        };
        core.requests.insert(id, open);
        core.timers.insert((deadline, TimerKind::Deadline(id)));
        core.events.push_back(Event::Request(Arrival {
            id,
            class: terms.class,
            plan: terms.plan,
            customer: terms.customer,
            deadline,
            units: terms.units,
            spread: terms.spread,
            first_gateway: terms.first_gateway,
            client_repeat: terms.client_repeat,
            write: false,
            body_pending: coming,
        }));
        self.run(&mut core, now);
        Ok(PendingReply { driver: self.clone(), id, receiver: answer, deadline: ends, done: false })
    }

    /// Whether a backend of that name is listed or out by hand.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.0.state.borrow().backends.knows_backend(name)
    }

    /// The last byte of a request that was still coming has come: its time counts from here.
    pub fn body_received(&self, ticket: &PendingReply, wait: Micros) {
        let mut core = self.0.state.borrow_mut();
        let (id, now) = (ticket.id, self.0.clock.now());
        let wanted = now + wait.saturating_sub(DEADLINE_MARGIN);
        let deadline = self.0.shutdown_deadline.get().map_or(wanted, |last| wanted.min(last));
        // Danger: an answer that came early may still be passed on, though its request is settled.
        ticket.deadline.set(self.0.clock.instant(deadline));
        let Some(open) = core.requests.get_mut(&id) else { return };
        let before = std::mem::replace(&mut open.deadline, deadline);
        open.received_at = now;
        core.timers.remove(&(before, TimerKind::Deadline(id)));
        core.timers.insert((deadline, TimerKind::Deadline(id)));
        core.events.push_back(Event::Uploaded { id, deadline });
        self.0.wake.notify_one();
        self.run(&mut core, now);
    }

    /// Takes a backend out by hand, or back in; one that is not listed yet, too.
    pub fn set_backend_disabled(&self, name: &str, out: bool) {
        let mut core = self.0.state.borrow_mut();
        let backend = core.backends.set_disabled(name, out);
        self.0.pool.bar(backend, out);
        core.events.push_back(Event::BackendDisabled { backend, disabled: out });
        self.run(&mut core, self.0.clock.now());
    }

    /// What the next process of this gateway is to know beside what the module knows.
    pub fn backend_snapshot(&self) -> (List, Vec<String>) {
        self.0.state.borrow().backends.snapshot()
    }

    pub fn handover_state(&self) -> HandoverState {
        self.0.state.borrow().gateway.handover_state()
    }

    pub fn take_unsynced_units(&self) -> Vec<UnsyncedUnits> {
        self.0.state.borrow_mut().gateway.take_unsynced_units()
    }

    /// Whether units are to be told to the counter still.
    pub fn has_unsynced_units(&self) -> bool {
        self.0.state.borrow().gateway.has_unsynced_units()
    }

    /// Whether units are told to a counter at all.
    pub fn uses_counter(&self) -> bool {
        self.0.config.counter.is_some()
    }

    pub fn receive_handover(&self, legacy: HandoverState) {
        self.handle_event(Event::HandoverReceived(Box::new(legacy)));
    }

    pub fn add_unsynced_units(&self, spent: Vec<UnsyncedUnits>) {
        self.handle_event(Event::UnsyncedUnits(spent));
    }

    pub fn set_other_process_serving(&self, on: bool) {
        self.handle_event(Event::OtherProcess { serving: on });
    }

    /// Waits until discovery has told a list.
    pub async fn wait_for_first_list(&self) {
        self.0.list_received.notified().await;
    }

    pub fn set_draining(&self, on: bool) {
        self.handle_event(Event::Drain { on });
    }

    pub fn draining(&self) -> bool {
        self.0.state.borrow().gateway.draining()
    }

    /// Backends listed, and of these the ones that get nothing new; and attempts written whole.
    pub fn backend_counts(&self) -> (usize, usize, u64) {
        let v = self.0.state.borrow().gateway.diagnostics();
        (v.listed_backends, v.skipped_backends, self.0.pool.attempts_written.get())
    }

    /// The list kept from an earlier life.
    pub fn apply_cached_list(&self, list: List) {
        if !list.endpoints.is_empty() {
            self.0.has_backend_list.set(true);
        }
        self.apply_list(list, ListKind::Cached);
    }

    fn apply_list(&self, list: List, kind: ListKind) {
        let core = &mut *self.0.state.borrow_mut();
        if kind != ListKind::Delta {
            let left_out = core.backends.missing_from(&list);
            left_out.iter().for_each(|name| self.remove_backend(core, name));
        }
        let named = list.endpoints.len();
        let rows = list.endpoints.into_iter().filter_map(|e| self.update_backend(core, e));
        let rows: Vec<BackendRow> = rows.collect();
        if rows.len() < named {
            let passed_over = named - rows.len();
            log::warn!("{passed_over} backends of a list are passed over: {MAX_BACKENDS} are known");
        }
        core.events.push_back(Event::Backends { kind, version: list.index, rows });
        self.run(core, self.0.clock.now());
    }

    /// A backend is gone.
    fn remove_backend(&self, core: &mut DriverState, name: &str) {
        if let Some(id) = core.backends.remove(name, self.0.clock.now()) {
            self.0.pool.forget(id);
        }
    }

    /// A backend as the module knows it; `None` for one more than may be remembered.
    fn update_backend(&self, core: &mut DriverState, endpoint: Endpoint) -> Option<BackendRow> {
        let UpdatedBackend { row, endpoint, same_process } =
            core.backends.update(endpoint, &self.0.config)?;
        if row.state == BackendState::Gone {
            self.remove_backend(core, &endpoint.name);
        } else {
            let ready = row.state == BackendState::Ready;
            self.0.pool.set(row.backend, endpoint.address, ready, same_process);
        }
        Some(row)
    }

    fn handle_event(&self, event: Event) {
        let mut core = self.0.state.borrow_mut();
        core.events.push_back(event);
        self.run(&mut core, self.0.clock.now());
    }
}

impl Subscriber for Driver {
    /// News from discovery; true where the module has asked for the whole list.
    fn told(&self, mut list: List, older: bool) -> bool {
        self.0.has_backend_list.set(true);
        self.0.list_received.notify_one();
        if older {
            let core = self.0.state.borrow();
            list.endpoints.retain_mut(|e| core.backends.merge_possibly_stale(e));
        }
        let kind = list.kind();
        self.apply_list(list, kind);
        std::mem::take(&mut self.0.state.borrow_mut().refetch_list)
    }

    fn failed(&self) {
        self.handle_event(Event::Backends { kind: ListKind::Failed, version: 0, rows: Vec::new() });
    }

    fn knows_any(&self) -> bool {
        !self.0.state.borrow().backends.is_empty()
    }
}

impl Results for Driver {
    fn counted(&self, name: CounterKey, result: CounterResult, elapsed: Micros) {
        self.0.state.borrow_mut().report_counts.count_call(result);
        self.handle_event(Event::CounterCallEnded { key: name, result, elapsed });
    }

    fn counted_late(&self, name: CounterKey, amount: f64, result: CounterResult) {
        self.0.state.borrow_mut().report_counts.count_overdue_call(result);
        self.handle_event(Event::OverdueCallEnded { key: name, amount, result });
    }
}

impl PendingReply {
    pub async fn wait(&mut self) -> Reply {
        let reply = (&mut self.receiver).await.unwrap_or(Reply::Failed);
        self.done = true;
        reply
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if !self.done {
            self.driver.client_gone(self.id);
        }
    }
}
