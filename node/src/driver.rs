//! Connects the decision module to sockets, timers and the counter.
//!
//! The driver keeps the table of open requests, passes events to the decision module and carries out the actions
//! that it returns. It makes no decisions of its own.

mod actions;
mod backend_list;
mod begun_requests;
mod deadlines;
mod report;
mod timers;

use crate::admission::{Rejection, RequestMetadata};
use crate::backend::{Message, Payload, Pool};
use crate::body::download::{AnswerBody, Deadline};
use crate::clock::Clock;
use crate::counter::{CallObserver, Counter};
use crate::discovery::Subscriber;
use crate::endpoints::{Endpoint, EndpointList};
use crate::guard::{EarlierAttempt, Guard};
use crate::hash::fnv1a;
use crate::reasons::{ReasonCounts, RefusalCause};
use backend_list::{BackendList, UpdatedBackend, MAX_BACKENDS};
use begun_requests::BegunRequests;
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

/// The maximum number of open requests. The driver refuses further ones without asking the decision module.
const MAX_OPEN_REQUESTS: usize = 4096;
/// The time, in microseconds, by which a request's deadline here precedes the client's. A response that arrives after
/// the client's deadline is lost: the network takes up to a few milliseconds, and on a shared core a request may have
/// waited unread for some more.
const DEADLINE_MARGIN: Micros = 20_000;
/// The maximum time, in microseconds, for receiving a request body from a client that keeps sending. The request's
/// own time limit starts when the whole body has arrived.
const MAX_UPLOAD_TIME: Micros = 900_000_000;

/// The final result of a request.
pub enum Reply {
    /// The response of a backend.
    Served(Box<Response<AnswerBody>>),
    /// The request was refused; repeating it is safe.
    Refused {
        /// The time after which the client should retry, in microseconds; 0 if there is no advice.
        retry_after: Micros,
        /// Whether an attempt was begun.
        attempted: bool,
        /// Why the request was refused.
        reason: RefusalReason,
    },
    /// The request failed; a backend may have processed it.
    Failed,
    /// The client has closed its connection, so nothing is sent to it.
    ClientClosed,
}

/// An attempt that has not ended yet.
struct InFlightAttempt {
    attempt: u8,
    backend: BackendId,
    started_at: Micros,
    task: AbortHandle,
}

/// A request without a final result, or with attempts in flight.
struct OpenRequest {
    /// The value of its `X-Correlation-Id` header.
    correlation_id: Rc<str>,
    message: Rc<Message>,
    /// `None` once the final result has been sent.
    reply: Option<oneshot::Sender<Reply>>,
    deadline: Micros,
    /// The same deadline, shared with the attempts and with the transfer of the response.
    shared_deadline: Deadline,
    /// When its last byte was received; 0 while the body is still being received.
    received_at: Micros,
    attempts: u8,
    /// Whether requests of its class may be repeated.
    effect: Effect,
    /// All attempts so far, indexed by attempt number.
    history: Vec<EarlierAttempt>,
    /// The attempts in flight; there may be two if hedging is enabled.
    in_flight: Vec<InFlightAttempt>,
}

impl OpenRequest {
    /// Returns the sender of the final result, unless that has been sent. No attempt is sent from here on.
    fn take_reply(&mut self) -> Option<oneshot::Sender<Reply>> {
        self.message.answered.set(true);
        self.reply.take()
    }
}

/// The mutable state of the driver.
struct DriverState {
    gateway: Gateway,
    requests: HashMap<RequestId, OpenRequest>,
    last_id: u32,
    /// The correlation ids of open requests.
    open_correlation_ids: HashSet<Rc<str>>,
    /// The requests of classes with an effect that have been sent to a backend, by this or another process.
    begun_requests: BegunRequests,
    /// The timers, ordered by the time at which they are due.
    timers: BTreeSet<(Micros, TimerKind)>,
    /// Events that have not been passed to the decision module.
    events: VecDeque<Event>,
    /// An empty buffer for actions, kept for reuse.
    actions: Vec<Action>,
    backends: BackendList,
    /// Whether the decision module asks for the whole list of backends.
    refetch_list: bool,
    report_counts: ReportCounts,
}

/// The parts of the driver that all its handles share.
struct Inner {
    state: RefCell<DriverState>,
    config: Config,
    clock: Clock,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
    reason_counts: Rc<ReasonCounts>,
    /// Wakes the timer task, as the next timer may be due earlier than before.
    wake: Notify,
    has_backend_list: Cell<bool>,
    /// Notified when discovery delivers a list; a cached list or one handed over does not count.
    list_received: Notify,
    /// When every request must be finished; `None` before the shutdown.
    shutdown_deadline: Cell<Option<Micros>>,
    /// Is told of each request of a class with an effect that is sent to a backend, by the hash of its correlation id.
    begun_observer: RefCell<Option<BegunObserver>>,
}

/// Is told of a request by the hash of its correlation id.
type BegunObserver = Box<dyn Fn(u64)>;

impl DriverState {
    /// Removes a finished request with its correlation id and its deadline timer.
    fn remove_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.open_correlation_ids.remove(&request.correlation_id);
            self.timers.remove(&(request.deadline, TimerKind::Deadline(id)));
        }
    }
}

/// A cheaply cloned handle to the driver. No borrow of its state may be held across an await.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

/// An open request whose final result is awaited. Dropping it before the result has arrived abandons the request: its
/// client has gone.
pub struct PendingReply {
    driver: Driver,
    id: RequestId,
    receiver: oneshot::Receiver<Reply>,
    /// The request's deadline. It also limits the transfer of a response that goes on after the final result.
    deadline: Deadline,
    done: bool,
}

impl Driver {
    /// Creates a driver with an empty list of backends. Returns an error if the decision module rejects `config`.
    pub fn new(
        config: Config,
        seed: u64,
        pool: Rc<Pool>,
        counter: Rc<Counter>,
        reason_counts: Rc<ReasonCounts>,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        let gateway = Gateway::new(config.clone(), seed).map_err(|e| e.to_string())?;
        let state = DriverState {
            gateway,
            requests: HashMap::new(),
            last_id: 0,
            open_correlation_ids: HashSet::new(),
            begun_requests: BegunRequests::default(),
            timers: BTreeSet::from([(clock.now() + SWEEP_INTERVAL, TimerKind::Sweep)]),
            events: VecDeque::new(),
            actions: Vec::new(),
            backends: BackendList::default(),
            refetch_list: false,
            report_counts: ReportCounts::default(),
        };
        Ok(Driver(Rc::new(Inner {
            state: RefCell::new(state),
            config,
            clock,
            pool,
            counter,
            reason_counts,
            wake: Notify::new(),
            has_backend_list: Cell::new(false),
            list_received: Notify::new(),
            shutdown_deadline: Cell::new(None),
            begun_observer: RefCell::new(None),
        })))
    }

    /// The configuration of the decision module.
    pub fn config(&self) -> &Config {
        &self.0.config
    }

    /// The guard that counts refused steps.
    pub fn guard(&self) -> &Rc<Guard> {
        &self.0.pool.guard
    }

    /// The number of times that opening a connection to a backend failed because of an error on this machine (such as
    /// `EMFILE`), by error name.
    pub fn local_failures(&self) -> serde_json::Map<String, serde_json::Value> {
        self.0.pool.local_failures.report()
    }

    /// Whether a list of backends is known: a non-empty cached one, or any from discovery.
    pub fn has_backend_list(&self) -> bool {
        self.0.has_backend_list.get()
    }

    /// Whether this process is shutting down.
    pub fn shutting_down(&self) -> bool {
        self.0.shutdown_deadline.get().is_some()
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.0.state.borrow().requests.is_empty()
    }

    /// Adds a request to the table and passes it to the decision module. Returns a rejection if too many requests are
    /// open or one with the same correlation id is.
    pub fn submit(&self, message: Message, metadata: RequestMetadata) -> Result<PendingReply, Rejection> {
        let mut state = self.0.state.borrow_mut();
        if state.requests.len() >= MAX_OPEN_REQUESTS {
            self.0.reason_counts.record_refusal(&metadata.correlation_id, RefusalCause::TooManyOpen);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "too many requests open\n"));
        }
        // Backends identify a request by its correlation id: they would take a second one for a repeat of the first.
        if state.open_correlation_ids.contains(&metadata.correlation_id) {
            return Err((StatusCode::CONFLICT, "a request of this X-Correlation-Id is open\n"));
        }
        let now = self.0.clock.now();
        let effect = self.0.config.classes[usize::from(metadata.class.0)].effect;
        let mut has_begun = || state.begun_requests.contains(fnv1a(metadata.correlation_id.as_bytes()), now);
        if effect != Effect::Pure && has_begun() {
            return Err((StatusCode::CONFLICT, "a request of this X-Correlation-Id has been sent on\n"));
        }
        state.open_correlation_ids.insert(metadata.correlation_id.clone());
        let body_pending = matches!(message.body, Payload::Streamed(_));
        let received_at = if body_pending { 0 } else { now };
        let time_left = metadata.time_limit.saturating_sub(DEADLINE_MARGIN)
            + if body_pending { MAX_UPLOAD_TIME } else { 0 };
        let mut deadline = now + time_left;
        deadline = self.0.shutdown_deadline.get().map_or(deadline, |limit| deadline.min(limit));
        let id = loop {
            state.last_id = state.last_id.wrapping_add(1);
            let id = RequestId(state.last_id);
            if !state.requests.contains_key(&id) {
                break id;
            }
        };
        let (reply, receiver) = oneshot::channel();
        let (correlation_id, message) = (metadata.correlation_id, Rc::new(message));
        let (reply, shared_deadline) = (Some(reply), Deadline::new(self.0.clock.instant(deadline)));
        let reply_deadline = shared_deadline.clone();
        let (history, in_flight) = (Vec::new(), Vec::new());
        let request = OpenRequest {
            correlation_id,
            message,
            reply,
            deadline,
            shared_deadline,
            received_at,
            attempts: 0,
            effect,
            history,
            in_flight,
        };
        state.requests.insert(id, request);
        state.timers.insert((deadline, TimerKind::Deadline(id)));
        state.events.push_back(Event::Request(Arrival {
            id,
            class: metadata.class,
            plan: metadata.plan,
            customer: metadata.customer,
            deadline,
            units: metadata.units,
            spread: metadata.spread,
            first_gateway: metadata.first_gateway,
            client_repeat: metadata.client_repeat,
            write: false,
            body_pending,
        }));
        self.run(&mut state, now);
        Ok(PendingReply { driver: self.clone(), id, receiver, deadline: reply_deadline, done: false })
    }

    /// The requests of classes with an effect that have been sent to a backend, by the hash of their correlation id.
    pub fn begun_requests(&self) -> Vec<u64> {
        self.0.state.borrow().begun_requests.all()
    }

    /// Records requests that another process of this gateway has sent to a backend.
    pub fn add_begun_requests(&self, hashes: &[u64]) {
        let (mut state, now) = (self.0.state.borrow_mut(), self.0.clock.now());
        for hash in hashes {
            state.begun_requests.insert(*hash, now);
        }
    }

    /// Sets who is told of each request that is sent to a backend, as [`Driver::begun_requests`] has them.
    pub fn observe_begun_requests(&self, observer: impl Fn(u64) + 'static) {
        *self.0.begun_observer.borrow_mut() = Some(Box::new(observer));
    }

    /// Whether a backend of that name is listed or disabled by an operator.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.0.state.borrow().backends.knows_backend(name)
    }

    /// Disables or enables a backend for an operator. The backend need not be listed.
    pub fn set_backend_disabled(&self, name: &str, disabled: bool) {
        let mut state = self.0.state.borrow_mut();
        let backend = state.backends.set_disabled(name, disabled);
        self.0.pool.set_disabled(backend, disabled);
        state.events.push_back(Event::BackendDisabled { backend, disabled });
        self.run(&mut state, self.0.clock.now());
    }

    /// The listed backends and the names of those that an operator has disabled, for the next process of this
    /// gateway.
    pub fn backend_snapshot(&self) -> (EndpointList, Vec<String>) {
        self.0.state.borrow().backends.snapshot()
    }

    /// The state of the decision module for the next process of this gateway.
    pub fn handover_state(&self) -> HandoverState {
        self.0.state.borrow().gateway.handover_state()
    }

    /// Removes and returns the units that have not been added to the counter, so that another process can add them.
    pub fn take_unsynced_units(&self) -> Vec<UnsyncedUnits> {
        self.0.state.borrow_mut().gateway.take_unsynced_units()
    }

    /// Whether there are units that have not been added to the counter.
    pub fn has_unsynced_units(&self) -> bool {
        self.0.state.borrow().gateway.has_unsynced_units()
    }

    /// Whether a counter is configured.
    pub fn uses_counter(&self) -> bool {
        self.0.config.counter.is_some()
    }

    /// Applies the state that another process of this gateway has handed over.
    pub fn receive_handover(&self, handed_over: HandoverState) {
        self.handle_event(Event::HandoverReceived(Box::new(handed_over)));
    }

    /// Takes over the units that an ending process of this gateway has not added to the counter.
    pub fn add_unsynced_units(&self, units: Vec<UnsyncedUnits>) {
        self.handle_event(Event::UnsyncedUnits(units));
    }

    /// Records whether another process of this gateway runs beside this one.
    pub fn set_other_process_serving(&self, serving: bool) {
        self.handle_event(Event::OtherProcess { serving });
    }

    /// Waits until discovery delivers a list.
    pub async fn wait_for_first_list(&self) {
        self.0.list_received.notified().await;
    }

    /// Starts or ends a drain for an operator.
    pub fn set_draining(&self, on: bool) {
        self.handle_event(Event::Drain { on });
    }

    /// Whether this gateway is draining.
    pub fn draining(&self) -> bool {
        self.0.state.borrow().gateway.draining()
    }

    /// The number of listed backends, how many of these get no new requests, and the number of attempts written
    /// whole.
    pub fn backend_counts(&self) -> (usize, usize, u64) {
        let diagnostics = self.0.state.borrow().gateway.diagnostics();
        (diagnostics.listed_backends, diagnostics.skipped_backends, self.0.pool.attempts_written.get())
    }

    /// Applies a list of backends that this gateway kept from an earlier process or was handed over.
    pub fn apply_cached_list(&self, list: EndpointList) {
        if !list.endpoints.is_empty() {
            self.0.has_backend_list.set(true);
        }
        self.apply_list(list, ListKind::Cached);
    }

    /// Applies a list of backends and passes the change to the decision module.
    fn apply_list(&self, list: EndpointList, kind: ListKind) {
        let state = &mut *self.0.state.borrow_mut();
        if kind != ListKind::Delta {
            let missing = state.backends.missing_from(&list);
            missing.iter().for_each(|name| self.remove_backend(state, name));
        }
        let listed = list.endpoints.len();
        let rows = list.endpoints.into_iter().filter_map(|e| self.update_backend(state, e));
        let rows: Vec<BackendRow> = rows.collect();
        if rows.len() < listed {
            let ignored = listed - rows.len();
            log::warn!(
                "backend list: {ignored} new backends ignored, the limit of {MAX_BACKENDS} listed backends is reached"
            );
        }
        state.events.push_back(Event::Backends { kind, version: list.index, rows });
        self.run(state, self.0.clock.now());
    }

    /// Removes a backend that is gone, with its idle connections.
    fn remove_backend(&self, state: &mut DriverState, name: &str) {
        if let Some(id) = state.backends.remove(name, self.0.clock.now()) {
            self.0.pool.remove_backend(id);
        }
    }

    /// Updates a backend in the list and in the pool. Returns its row for the decision module, or `None` if it is new
    /// and [`MAX_BACKENDS`] are listed.
    fn update_backend(&self, state: &mut DriverState, endpoint: Endpoint) -> Option<BackendRow> {
        let UpdatedBackend { row, endpoint, same_process } =
            state.backends.update(endpoint, &self.0.config)?;
        if row.state == BackendState::Gone {
            self.remove_backend(state, &endpoint.name);
        } else {
            let ready = row.state == BackendState::Ready;
            self.0.pool.update_backend(row.backend, endpoint.address, ready, same_process);
        }
        Some(row)
    }

    /// Passes an event to the decision module and carries out the resulting actions.
    fn handle_event(&self, event: Event) {
        let mut state = self.0.state.borrow_mut();
        state.events.push_back(event);
        self.run(&mut state, self.0.clock.now());
    }
}

impl Subscriber for Driver {
    /// Applies a list from discovery. Returns true if the decision module asks for the whole list.
    fn list_received(&self, mut list: EndpointList, regressed: bool) -> bool {
        self.0.has_backend_list.set(true);
        self.0.list_received.notify_one();
        if regressed {
            let state = self.0.state.borrow();
            list.endpoints.retain_mut(|e| state.backends.merge_possibly_stale(e));
        }
        let kind = list.kind();
        self.apply_list(list, kind);
        std::mem::take(&mut self.0.state.borrow_mut().refetch_list)
    }

    fn call_failed(&self) {
        self.handle_event(Event::Backends { kind: ListKind::Failed, version: 0, rows: Vec::new() });
    }

    fn knows_any_backend(&self) -> bool {
        !self.0.state.borrow().backends.is_empty()
    }
}

impl CallObserver for Driver {
    fn call_ended(&self, key: CounterKey, result: CounterResult, elapsed: Micros) {
        self.0.state.borrow_mut().report_counts.count_call(result);
        self.handle_event(Event::CounterCallEnded { key, result, elapsed });
    }

    fn overdue_call_ended(&self, key: CounterKey, amount: f64, result: CounterResult) {
        self.0.state.borrow_mut().report_counts.count_overdue_call(result);
        self.handle_event(Event::OverdueCallEnded { key, amount, result });
    }
}

impl PendingReply {
    /// Waits for the final result of the request.
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
