//! The pool of connections to backends: idle ones are kept for reuse, and the total is bounded.

use super::local_failure::{local_error, LocalFailures, FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE, MAX_RETRY_TIME};
use crate::config::Setup;
use crate::guard::Guard;
use crate::link::{Link, REUSE_DELAY};
use crate::memory::budget::{Budget, Reservation};
use crate::memory::IDLE_BACKEND_CONNECTION_BYTES;
use caperwind::{BackendId, LoadField, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// The shortest idle timeout. When an idle connection fails at its next request, the idle timeout is shortened, down
/// to this: some backends, or proxies in front of them, close idle connections after 100 ms. A failure after a
/// shorter idle time has another cause.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// The factor by which a shortened idle timeout grows back with each [`Pool::sweep`], once a second.
const IDLE_TIMEOUT_GROWTH: f64 = 1.1;

struct BackendEntry {
    address: SocketAddr,
    /// Neither draining nor gone.
    in_service: bool,
    /// Changes whenever the connections opened before must not be used any more.
    generation: u64,
    /// Idle connections, the longest idle first.
    idle: Vec<IdleConnection>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    /// When it became idle.
    since: Instant,
    _memory: Reservation,
}

/// A connection to a backend, counted against the pool's bound until it is dropped.
pub struct Connection {
    pub(super) link: Link,
    /// The backend's address.
    pub(super) address: SocketAddr,
    /// The backend's generation when the connection was opened.
    pub(super) generation: u64,
    _permit: Permit,
}

/// One unit of the pool's connection bound; holds the count of open connections and decrements it on drop.
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The connections to all backends.
pub struct Pool {
    backends: RefCell<HashMap<BackendId, BackendEntry>>,
    /// The generation assigned last, over all backends.
    last_generation: Cell<u64>,
    /// The number of open connections, idle or in use.
    open: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    /// The memory for idle connections. Those in use are limited by the memory of their requests.
    idle_budget: Budget,
    /// The configured idle timeout, the upper limit of `idle_timeout`.
    max_idle_time: Duration,
    /// How long connections are currently kept idle; shortened when an idle connection turns out to be closed.
    pub(super) idle_timeout: Cell<Duration>,
    connect_timeout: Duration,
    pub(super) load_fields: Vec<LoadField>,
    /// The most units that a request can cost.
    pub(super) max_units: f64,
    /// The memory for buffering responses.
    pub(super) body_budget: Budget,
    /// Backends disabled by an operator, whether they are listed or not.
    disabled: RefCell<HashSet<BackendId>>,
    /// The number of attempts whose last byte has been written.
    pub attempts_written: Rc<Cell<u64>>,
    /// Checks each attempt before it is sent.
    pub guard: Rc<Guard>,
    /// Counts connections that could not be opened because of an error of this machine.
    pub local_failures: LocalFailures,
}

impl Pool {
    /// Creates an empty pool with the connection bound of a process that serves alone.
    pub fn new(setup: &Setup) -> Rc<Self> {
        Rc::new(Pool {
            backends: RefCell::default(),
            last_generation: Cell::new(0),
            open: Rc::default(),
            max_connections: Cell::new(setup.solo_limits.backends),
            idle_budget: Budget::new(setup.memory.idle_backend_connections),
            max_idle_time: setup.backend_idle_timeout,
            idle_timeout: Cell::new(setup.backend_idle_timeout),
            connect_timeout: Duration::from_micros(setup.decision_config.connect_timeout),
            load_fields: setup.decision_config.load_fields.clone(),
            max_units: setup.decision_config.max_units.max(1.0),
            body_budget: Budget::new(setup.memory.response_bodies),
            disabled: RefCell::default(),
            attempts_written: Rc::default(),
            guard: Rc::default(),
            local_failures: LocalFailures::default(),
        })
    }

    /// Adds or updates a listed backend. Idle connections are closed, and those in use are not reused, if the backend
    /// is not in service, has moved to another address, or is not the same process as before.
    pub fn update_backend(&self, id: BackendId, address: SocketAddr, in_service: bool, same_process: bool) {
        let mut backends = self.backends.borrow_mut();
        let new =
            || BackendEntry { address, in_service, generation: self.next_generation(), idle: Vec::new() };
        let backend = backends.entry(id).or_insert_with(new);
        if !in_service || !same_process || backend.address != address {
            self.invalidate_connections(backend);
        }
        (backend.address, backend.in_service) = (address, in_service);
    }

    fn next_generation(&self) -> u64 {
        self.last_generation.set(self.last_generation.get() + 1);
        self.last_generation.get()
    }

    /// Closes the idle connections to a backend and begins a new generation. The attempts in flight hold connections
    /// to the previous process or machine, which must not return to the pool and be used for the new one.
    fn invalidate_connections(&self, backend: &mut BackendEntry) {
        backend.idle.clear();
        backend.generation = self.next_generation();
    }

    /// Removes a backend that is no longer listed. Its attempts in flight keep their connections.
    pub fn remove_backend(&self, id: BackendId) {
        self.backends.borrow_mut().remove(&id);
    }

    /// Closes the idle connections to a backend; those in use are not reused.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&id) {
            self.invalidate_connections(backend);
        }
    }

    /// Closes connections that have been idle for too long or were closed by the peer. To be called once a second.
    pub fn sweep(&self) {
        self.idle_timeout.set(self.idle_timeout.get().mul_f64(IDLE_TIMEOUT_GROWTH).min(self.max_idle_time));
        let keep = |idle: &IdleConnection| {
            idle.connection.link.usable() && idle.since.elapsed() < self.idle_timeout.get()
        };
        self.backends.borrow_mut().values_mut().for_each(|backend| backend.idle.retain(keep));
    }

    /// Disables a backend for an operator, closing its idle connections, or enables it again.
    pub fn set_disabled(&self, id: BackendId, disabled: bool) {
        let mut disabled_backends = self.disabled.borrow_mut();
        if disabled {
            disabled_backends.insert(id);
            self.close_idle(id);
        } else {
            disabled_backends.remove(&id);
        }
    }

    /// Returns the generation of a backend; `None` if it is disabled or not in service.
    pub(super) fn generation(&self, id: BackendId) -> Option<u64> {
        let generation = self.backends.borrow().get(&id).filter(|b| b.in_service).map(|b| b.generation);
        generation.filter(|_| !self.disabled.borrow().contains(&id))
    }

    /// Takes the most recently used idle connection that has been idle for at least [`REUSE_DELAY`], and returns it
    /// with its idle time. Preferring the most recently used one lets the others reach the idle timeout.
    pub(super) fn take_idle(&self, id: BackendId) -> Option<(Connection, Duration)> {
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(&id)?.idle;
        while let Some(index) = idle.iter().rposition(|idle| idle.since.elapsed() >= REUSE_DELAY) {
            let IdleConnection { connection, since, .. } = idle.remove(index);
            let idle_time = since.elapsed();
            if connection.link.usable() && idle_time < self.idle_timeout.get() {
                return Some((connection, idle_time));
            }
        }
        None
    }

    /// Closes the connection that has been idle for the longest time; returns `None` if no connection is idle.
    fn close_oldest_idle(&self) -> Option<()> {
        let mut backends = self.backends.borrow_mut();
        let oldest = backends.values_mut().filter(|b| !b.idle.is_empty()).min_by_key(|b| b.idle[0].since)?;
        oldest.idle.remove(0);
        Some(())
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Sets whether another process of this gateway shares the memory.
    pub fn set_memory_shared(&self, shared: bool) {
        self.body_budget.set_shared(shared);
        self.idle_budget.set_shared(shared);
        while self.idle_budget.is_exceeded() && self.close_oldest_idle().is_some() {}
    }

    /// Reserves the memory for one more idle connection, closing those that have been idle for the longest time to make
    /// room; returns `None` if there is no room all the same.
    fn reserve_idle(&self) -> Option<Reservation> {
        loop {
            let reservation = self.idle_budget.reserve(IDLE_BACKEND_CONNECTION_BYTES);
            if reservation.is_some() {
                return reservation;
            }
            self.close_oldest_idle()?;
        }
    }

    /// Sets the bound of open connections, closing idle ones to get below it. Connections in use stay open.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open.get() > max_connections && self.close_oldest_idle().is_some() {}
    }

    /// Returns a permit for one more connection. At the bound, the longest idle connections are closed to make room;
    /// returns `None` if none is idle.
    fn acquire_permit(&self) -> Option<Permit> {
        while self.open.get() >= self.max_connections.get() {
            self.close_oldest_idle()?;
        }
        self.open.set(self.open.get() + 1);
        Some(Permit(self.open.clone()))
    }

    /// Opens a connection to a backend, retrying for up to [`MAX_RETRY_TIME`] while this fails because of an error of
    /// this machine.
    ///
    /// # Errors
    ///
    /// Returns [`Outcome::ConnectFailed`] if the backend can't be reached, and [`Outcome::NotSent`] if it is unknown,
    /// the connection bound is reached or the error is this machine's.
    pub(super) async fn open_connection(&self, id: BackendId) -> Result<Connection, Outcome> {
        let (started, mut pause) = (Instant::now(), FIRST_RETRY_PAUSE);
        loop {
            let backend = self.backends.borrow().get(&id).map(|b| (b.address, b.generation));
            let (address, generation) = backend.ok_or(Outcome::NotSent)?;
            // Reaching this process's connection bound says nothing about the backend; as `ConnectFailed` it would get
            // the backend ejected.
            let permit = self.acquire_permit().ok_or(Outcome::NotSent)?;
            let local_failure = match timeout(self.connect_timeout, Link::connect(address)).await {
                Ok(Ok(link)) => return Ok(Connection { link, address, generation, _permit: permit }),
                Ok(Err(e)) => local_error(&e),
                Err(_) => None,
            };
            self.local_failures.record(local_failure.ok_or(Outcome::ConnectFailed)?);
            if started.elapsed() >= MAX_RETRY_TIME {
                return Err(Outcome::NotSent);
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Returns a connection to the pool for the next request, or closes it if it can't be reused.
    pub fn put_back(&self, id: BackendId, connection: Connection) {
        let keep = self.generation(id) == Some(connection.generation) && connection.link.usable();
        let Some(_memory) = keep.then(|| self.reserve_idle()).flatten() else { return };
        if let Some(backend) = self.backends.borrow_mut().get_mut(&id) {
            backend.idle.push(IdleConnection { connection, since: Instant::now(), _memory });
        }
    }
}

/// Returns the idle timeout to use after a connection that had been idle for `idle_time` failed at its next request.
pub fn shortened_idle_timeout(idle_timeout: Duration, idle_time: Duration) -> Duration {
    if idle_time < MIN_IDLE_TIMEOUT {
        idle_timeout
    } else {
        idle_timeout.min(MIN_IDLE_TIMEOUT.max(idle_time / 2))
    }
}
