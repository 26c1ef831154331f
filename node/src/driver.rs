//! Owns the decision module and the table of open requests: events in, actions out, timers between.
//! It decides nothing.

mod actions;
mod backend_list;
mod report;
mod timers;

use crate::admission::{Fault, Terms};
use crate::backend::{Message, Payload, Pool};
use crate::body::download::{AnswerBody, Deadline};
use crate::clock::Clock;
use crate::counter::{CallObserver, Counter};
use crate::discovery::Subscriber;
use crate::endpoints::{Endpoint, EndpointList};
use crate::guard::{EarlierAttempt, Guard};
use crate::reasons::{ReasonCounts, Refused};
use backend_list::{BackendList, Listed, MAX_BACKENDS};
use caperwind::{
    Action, Arrival, BackendId, BackendRow, BackendState, Config, CounterKey, CounterResult, Effect, Event,
    Gateway, HandoverState, ListKind, Micros, RefusalReason, RequestId, UnsyncedUnits,
};
use hyper::{Response, StatusCode};
use report::Tally;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use timers::{Due, SWEEP};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// Requests open at once; further ones are refused unseen.
const MOST_OPEN: usize = 4096;
/// Danger: an answer that crosses the client's deadline on its way is lost. The way is up to a few
/// milliseconds, and on a core that others share a request may have stood unread for some more.
const DEADLINE_MARGIN: Micros = 20_000;
/// A body that is still coming is given so long, if its client keeps sending; its time counts from its end.
const UPLOAD: Micros = 900_000_000;
/// The final answer to a request.
pub enum Reply {
    Served(Box<Response<AnswerBody>>),
    /// Trying again is harmless; when to, in microseconds (0: no advice), and whether it was tried.
    Refused {
        wait: Micros,
        tried: bool,
        why: RefusalReason,
    },
    /// No promise.
    Failed,
    /// None: the client was found to have closed its connection.
    ClientClosed,
}

struct Out {
    attempt: u8,
    backend: BackendId,
    sent: Micros,
    task: AbortHandle,
}

struct Open {
    /// The client's own name for it.
    name: Rc<str>,
    message: Rc<Message>,
    /// Gone once the request has its final answer.
    reply: Option<oneshot::Sender<Reply>>,
    deadline: Micros,
    /// The same, for those at work on it.
    last: Deadline,
    /// When its last byte had come; 0: it is still coming.
    whole: Micros,
    attempts: u8,
    /// What may be done with requests of its class.
    effect: Effect,
    /// All attempts so far, by their numbers.
    history: Vec<EarlierAttempt>,
    /// The attempts that are out: where the settings allow second copies, there may be two.
    out: Vec<Out>,
}

struct Core {
    gateway: Gateway,
    requests: HashMap<RequestId, Open>,
    last_id: u32,
    /// The clients' names of open requests.
    open: HashSet<Rc<str>>,
    timers: BTreeSet<(Micros, Due)>,
    events: VecDeque<Event>,
    acts: Vec<Action>,
    backends: BackendList,
    refetch: bool,
    tally: Tally,
}

struct Inner {
    core: RefCell<Core>,
    module: Config,
    clock: Clock,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
    reasons: Rc<ReasonCounts>,
    wake: Notify,
    ready: Cell<bool>,
    /// Discovery itself has told a list.
    told: Notify,
    closing: Cell<Option<Micros>>,
}

impl Core {
    /// Lets go of a request that is over, and of all that was kept for it.
    fn forget(&mut self, id: RequestId) {
        if let Some(open) = self.requests.remove(&id) {
            self.open.remove(&open.name);
            self.timers.remove(&(open.deadline, Due::Deadline(id)));
        }
    }
}

/// The driver, as its users hold it. Borrows of its state never cross an await.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

/// A place in the table; dropping it before the answer has come means that the client has gone.
pub struct Ticket {
    driver: Driver,
    id: RequestId,
    answer: oneshot::Receiver<Reply>,
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
        let core = Core {
            gateway,
            requests: HashMap::new(),
            last_id: 0,
            open: HashSet::new(),
            timers: BTreeSet::from([(clock.now() + SWEEP, Due::Sweep)]),
            events: VecDeque::new(),
            acts: Vec::new(),
            backends: BackendList::default(),
            refetch: false,
            tally: Tally::default(),
        };
        Ok(Driver(Rc::new(Inner {
            core: RefCell::new(core),
            module,
            clock,
            pool,
            counter,
            reasons,
            wake: Notify::new(),
            ready: Cell::new(false),
            told: Notify::new(),
            closing: Cell::new(None),
        })))
    }

    pub fn config(&self) -> &Config {
        &self.0.module
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
    pub fn ready(&self) -> bool {
        self.0.ready.get()
    }

    pub fn shutting_down(&self) -> bool {
        self.0.closing.get().is_some()
    }

    /// From now on, no answer may come later than `span` from now.
    pub fn begin_shutdown(&self, span: Micros) {
        let last = self.0.clock.now() + span;
        self.0.closing.set(Some(last));
        let (mut core, mut moved) = (self.0.core.borrow_mut(), Vec::new());
        // Danger: an attempt that ends then must not be followed by another.
        for (id, open) in &mut core.requests {
            if open.deadline > last {
                moved.push((std::mem::replace(&mut open.deadline, last), *id));
                open.last.set(self.0.clock.instant(last));
            }
        }
        for (before, id) in moved {
            core.timers.remove(&(before, Due::Deadline(id)));
            core.timers.insert((last, Due::Deadline(id)));
        }
        self.0.wake.notify_one();
    }

    pub fn is_idle(&self) -> bool {
        self.0.core.borrow().requests.is_empty()
    }

    /// Takes a request in, unless too many are open.
    pub fn request(&self, message: Message, terms: Terms) -> Result<Ticket, Fault> {
        let mut core = self.0.core.borrow_mut();
        if core.requests.len() >= MOST_OPEN {
            self.0.reasons.refused(&terms.id, Refused::TooManyOpen);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "too many requests open\n"));
        }
        // Danger: backends know a request by this name: a second one would be taken for a copy of the first.
        if !core.open.insert(terms.id.clone()) {
            return Err((StatusCode::CONFLICT, "a request of this X-Correlation-Id is open\n"));
        }
        let now = self.0.clock.now();
        let coming = matches!(message.body, Payload::Streamed(_));
        let whole = if coming { 0 } else { now };
        let wait = terms.wait.saturating_sub(DEADLINE_MARGIN) + if coming { UPLOAD } else { 0 };
        let mut deadline = now + wait;
        deadline = self.0.closing.get().map_or(deadline, |last| deadline.min(last));
        let id = loop {
            core.last_id = core.last_id.wrapping_add(1);
            let id = RequestId(core.last_id);
            if !core.requests.contains_key(&id) {
                break id;
            }
        };
        let (reply, answer) = oneshot::channel();
        let (name, message) = (terms.id, Rc::new(message));
        let (reply, last) = (Some(reply), Deadline::new(self.0.clock.instant(deadline)));
        let ends = last.clone();
        let effect = self.0.module.classes[usize::from(terms.class.0)].effect;
        let (history, out) = (Vec::new(), Vec::new());
        let open = Open { name, message, reply, deadline, last, whole, attempts: 0, effect, history, out };
        core.requests.insert(id, open);
        core.timers.insert((deadline, Due::Deadline(id)));
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
        Ok(Ticket { driver: self.clone(), id, answer, deadline: ends, done: false })
    }

    /// Whether a backend of that name is listed or out by hand.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.0.core.borrow().backends.knows(name)
    }

    /// The last byte of a request that was still coming has come: its time counts from here.
    pub fn uploaded(&self, ticket: &Ticket, wait: Micros) {
        let mut core = self.0.core.borrow_mut();
        let (id, now) = (ticket.id, self.0.clock.now());
        let wanted = now + wait.saturating_sub(DEADLINE_MARGIN);
        let deadline = self.0.closing.get().map_or(wanted, |last| wanted.min(last));
        // Danger: an answer that came early may still be passed on, though its request is settled.
        ticket.deadline.set(self.0.clock.instant(deadline));
        let Some(open) = core.requests.get_mut(&id) else { return };
        let before = std::mem::replace(&mut open.deadline, deadline);
        open.whole = now;
        core.timers.remove(&(before, Due::Deadline(id)));
        core.timers.insert((deadline, Due::Deadline(id)));
        core.events.push_back(Event::Uploaded { id, deadline });
        self.0.wake.notify_one();
        self.run(&mut core, now);
    }

    /// Takes a backend out by hand, or back in; one that is not listed yet, too.
    pub fn set_backend_disabled(&self, name: &str, out: bool) {
        let mut core = self.0.core.borrow_mut();
        let backend = core.backends.bar(name, out);
        self.0.pool.set_disabled(backend, out);
        core.events.push_back(Event::BackendDisabled { backend, disabled: out });
        self.run(&mut core, self.0.clock.now());
    }

    /// What the next process of this gateway is to know beside what the module knows.
    pub fn backend_snapshot(&self) -> (EndpointList, Vec<String>) {
        self.0.core.borrow().backends.snapshot()
    }

    pub fn handover_state(&self) -> HandoverState {
        self.0.core.borrow().gateway.handover_state()
    }

    pub fn take_unsynced_units(&self) -> Vec<UnsyncedUnits> {
        self.0.core.borrow_mut().gateway.take_unsynced_units()
    }

    /// Whether units are to be told to the counter still.
    pub fn has_unsynced_units(&self) -> bool {
        self.0.core.borrow().gateway.has_unsynced_units()
    }

    /// Whether units are told to a counter at all.
    pub fn uses_counter(&self) -> bool {
        self.0.module.counter.is_some()
    }

    pub fn receive_handover(&self, legacy: HandoverState) {
        self.feed(Event::HandoverReceived(Box::new(legacy)));
    }

    pub fn add_unsynced_units(&self, spent: Vec<UnsyncedUnits>) {
        self.feed(Event::UnsyncedUnits(spent));
    }

    pub fn set_other_process_serving(&self, on: bool) {
        self.feed(Event::OtherProcess { serving: on });
    }

    /// Waits until discovery has told a list.
    pub async fn wait_for_first_list(&self) {
        self.0.told.notified().await;
    }

    pub fn set_draining(&self, on: bool) {
        self.feed(Event::Drain { on });
    }

    pub fn draining(&self) -> bool {
        self.0.core.borrow().gateway.draining()
    }

    /// Backends listed, and of these the ones that get nothing new; and attempts written whole.
    pub fn backend_counts(&self) -> (usize, usize, u64) {
        let v = self.0.core.borrow().gateway.diagnostics();
        (v.listed_backends, v.skipped_backends, self.0.pool.attempts_written.get())
    }

    /// The list kept from an earlier life.
    pub fn apply_cached_list(&self, list: EndpointList) {
        if !list.endpoints.is_empty() {
            self.0.ready.set(true);
        }
        self.take_list(list, ListKind::Cached);
    }

    fn take_list(&self, list: EndpointList, kind: ListKind) {
        let core = &mut *self.0.core.borrow_mut();
        if kind != ListKind::Delta {
            let left_out = core.backends.left_out(&list);
            left_out.iter().for_each(|name| self.leaves(core, name));
        }
        let named = list.endpoints.len();
        let rows = list.endpoints.into_iter().filter_map(|e| self.row(core, e));
        let rows: Vec<BackendRow> = rows.collect();
        if rows.len() < named {
            let passed_over = named - rows.len();
            log::warn!("{passed_over} backends of a list are passed over: {MAX_BACKENDS} are known");
        }
        core.events.push_back(Event::Backends { kind, version: list.index, rows });
        self.run(core, self.0.clock.now());
    }

    /// A backend is gone.
    fn leaves(&self, core: &mut Core, name: &str) {
        if let Some(id) = core.backends.remove(name, self.0.clock.now()) {
            self.0.pool.remove_backend(id);
        }
    }

    /// A backend as the module knows it; `None` for one more than may be remembered.
    fn row(&self, core: &mut Core, endpoint: Endpoint) -> Option<BackendRow> {
        let Listed { row, endpoint, same_process } = core.backends.take_in(endpoint, &self.0.module)?;
        if row.state == BackendState::Gone {
            self.leaves(core, &endpoint.name);
        } else {
            let ready = row.state == BackendState::Ready;
            self.0.pool.update_backend(row.backend, endpoint.address, ready, same_process);
        }
        Some(row)
    }

    fn feed(&self, event: Event) {
        let mut core = self.0.core.borrow_mut();
        core.events.push_back(event);
        self.run(&mut core, self.0.clock.now());
    }
}

impl Subscriber for Driver {
    /// News from discovery; true where the module has asked for the whole list.
    fn list_received(&self, mut list: EndpointList, older: bool) -> bool {
        self.0.ready.set(true);
        self.0.told.notify_one();
        if older {
            let core = self.0.core.borrow();
            list.endpoints.retain_mut(|e| core.backends.stays(e));
        }
        let kind = list.kind();
        self.take_list(list, kind);
        std::mem::take(&mut self.0.core.borrow_mut().refetch)
    }

    fn call_failed(&self) {
        self.feed(Event::Backends { kind: ListKind::Failed, version: 0, rows: Vec::new() });
    }

    fn knows_any_backend(&self) -> bool {
        !self.0.core.borrow().backends.is_empty()
    }
}

impl CallObserver for Driver {
    fn call_ended(&self, name: CounterKey, result: CounterResult, elapsed: Micros) {
        self.0.core.borrow_mut().tally.call(result);
        self.feed(Event::CounterCallEnded { key: name, result, elapsed });
    }

    fn overdue_call_ended(&self, name: CounterKey, amount: f64, result: CounterResult) {
        self.0.core.borrow_mut().tally.late_call(result);
        self.feed(Event::OverdueCallEnded { key: name, amount, result });
    }
}

impl Ticket {
    pub async fn answer(&mut self) -> Reply {
        let reply = (&mut self.answer).await.unwrap_or(Reply::Failed);
        self.done = true;
        reply
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.done {
            self.driver.gone(self.id);
        }
    }
}
