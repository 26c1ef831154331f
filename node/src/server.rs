//! Client connections: accepting and serving them, their timeouts, and the eviction of connections at the limit.

mod connection;
mod eviction;
mod handler;
mod transfer;
mod upload_watch;

use crate::config::ProcessUsage;
use crate::driver::Driver;
use crate::figures::Metrics;
use crate::guard::Violation;
use crate::logging::LimitedLog;
use crate::memory::budget::Budget;
use crate::memory::gauge::MemoryGauge;
use crate::meter::{MeteredStream, MAX_HEAD_BYTES};
use crate::reasons::CloseReason;
use connection::{AbortReason, ClientConnection, Phase, NEXT_REQUEST_GRACE};
use http_body_util::Either;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, Instant};

/// A connection is closed if its client has read nothing of a pending answer for this long.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval between checks of all connections.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between checks while a request waits for its answer. Usually the runtime reports at once that the
/// client has closed its connection; the checks find the cases that the runtime does not report.
const WATCH_INTERVAL_WAITING: Duration = Duration::from_millis(40);
/// During a drain, connections close after their next answer; this long after its start, idle ones are closed as
/// well, except new ones that may be about to send a request. All must be closed within 2 s of the start, so that no
/// request accepted after that is still in progress 4 s after the start.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// How long a new connection or a request waits before it tries again to evict another. Also the pause after a failed
/// accept.
const ROOM_WAIT: Duration = Duration::from_millis(10);

/// The memory that requests of clients may hold.
#[derive(Clone)]
pub struct Budgets {
    /// For buffered request bodies.
    pub bodies: Budget,
    /// For requests in progress, apart from their bodies.
    pub requests: Budget,
    /// Measures what is held in all.
    pub gauge: Rc<MemoryGauge>,
}

/// The server for client connections.
pub struct Server {
    driver: Driver,
    metrics: Rc<Metrics>,
    max_connections: Cell<usize>,
    /// Whether this process has begun to accept connections.
    accepting: Cell<bool>,
    /// Whether another process of this gateway serves and goes on after this one.
    successor_serving: Cell<bool>,
    budgets: Budgets,
    /// When a connection was last evicted because the memory for requests was used up.
    last_memory_eviction: Cell<Option<Instant>>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// Notified when a connection is closed.
    connection_closed: Notify,
    /// Notified when a request begins to wait for its answer.
    request_waiting: Notify,
}

/// The registration of a connection, by its id, with the server. It is removed when the task of the connection ends,
/// even by a panic.
struct Registration(Rc<Server>, u64);

impl Drop for Registration {
    fn drop(&mut self) {
        let client = self.0.connections.borrow_mut().remove(&self.1);
        if let Some(client) = client {
            let (requests, last) = client.requests();
            self.0.metrics.reasons.record_close(self.1, requests, last.as_deref(), client.close_reason());
        }
        self.0.connection_closed.notify_one();
    }
}

/// Passes a socket that was accepted without the runtime to the runtime.
fn into_stream(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

impl Server {
    /// Creates a server that holds at most `max_connections` connections and takes its memory from `budgets`.
    pub fn new(driver: Driver, metrics: Rc<Metrics>, max_connections: usize, budgets: Budgets) -> Rc<Self> {
        let (connections, next_id) = (RefCell::default(), Cell::new(0));
        let (connection_closed, request_waiting) = (Notify::new(), Notify::new());
        let (max_connections, accepting, successor_serving) =
            (Cell::new(max_connections), Cell::new(false), Cell::new(false));
        Rc::new(Server {
            driver,
            metrics,
            max_connections,
            accepting,
            successor_serving,
            budgets,
            last_memory_eviction: Cell::new(None),
            connections,
            next_id,
            connection_closed,
            request_waiting,
        })
    }

    /// Whether no connection is open.
    pub fn has_no_connections(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Sets the maximum number of connections. Connections above it are evicted as soon as that is possible.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Sets what another process of this gateway holds of the memory that both share; `None` without one.
    pub fn set_other_process(&self, other: Option<ProcessUsage>) {
        self.budgets.bodies.set_shared(other.is_some());
        self.budgets.requests.set_shared(other.is_some());
        self.budgets.gauge.set_held_by_other(other.map(|other| other.resident_bytes));
    }

    /// Whether an answer is being sent on any connection.
    pub fn is_answering(&self) -> bool {
        self.connections.borrow().values().any(|c| c.is_answering())
    }

    /// Aborts the answers that are not known to be long and of which the backend has sent nothing for `stall_time`:
    /// they may never end. A long answer goes on for as long as its backend sends, and its client may read it slowly.
    pub fn abort_stalled_answers(&self, stall_time: Duration) {
        let connections = self.connections.borrow();
        let not_long = connections.values().filter(|c| !c.answer_is_long());
        not_long.filter(|c| c.answer_stalled(stall_time)).for_each(|c| c.abort(AbortReason::ProcessEnded));
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Records that another process of this gateway serves from now on.
    pub fn set_successor_serving(&self) {
        self.successor_serving.set(true);
    }

    /// Closes the connections that have had no request for `min_idle`, and at least for [`NEXT_REQUEST_GRACE`]. One
    /// on which a request has begun is left open: it closes with the answer, as this is called only during a drain or
    /// a shutdown.
    pub fn close_idle(&self, min_idle: Duration, reason: CloseReason) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|c| matches!(c.phase(), Phase::New | Phase::Idle));
        let idle = idle.filter(|c| c.phase_age() >= min_idle.max(NEXT_REQUEST_GRACE));
        let idle = idle.filter(|c| !c.is_answering() && c.nothing_received());
        idle.for_each(|c| c.close_gracefully(reason));
    }

    /// Closes each connection on which an answer is being sent, once the answer is written. One from which bytes of a
    /// further request have been read, or may be read together with the end of a body, closes with its next answer.
    pub fn close_after_answers(&self, reason: CloseReason) {
        let connections = self.connections.borrow();
        let answering = connections.values().filter(|c| c.is_answering() && !c.awaits_answer());
        let last = answering.filter(|c| !c.meter.next_head_begun() && !c.draining_upload.get());
        last.for_each(|c| c.close_gracefully(reason));
    }

    /// Accepts connections until `stop` is true. Connections in the listen queue would be reset when the listener is
    /// closed, so the queue is emptied first, unless another process goes on with it. A connection that waits for
    /// room is served, too.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, mut stop: watch::Receiver<bool>) {
        let failure_log = LimitedLog::new(1);
        self.accepting.set(true);
        loop {
            let stopping = *stop.borrow();
            let accepted = if stopping && self.successor_serving.get() {
                return;
            } else if stopping {
                // The runtime may not know yet of a connection in the listen queue, so the kernel is asked directly.
                match SockRef::from(listener).accept() {
                    Ok((socket, _)) => into_stream(socket),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    Err(e) => Err(e),
                }
            } else {
                tokio::select! {
                    accepted = listener.accept() => accepted.map(|(stream, _)| stream),
                    _ = stop.changed() => continue,
                }
            };
            let failure = match accepted {
                Ok(stream) if self.wait_for_room().await => {
                    self.spawn_connection(stream);
                    continue;
                }
                Ok(_) => "new connection closed: the connection limit is reached and no other can be evicted"
                    .to_owned(),
                // The process is out of descriptors, or the client has gone already: retry after a short pause.
                Err(e) => {
                    sleep(ROOM_WAIT).await;
                    format!("cannot accept a connection: {e}")
                }
            };
            failure_log.line(&format!("accept: {failure}"));
        }
    }

    /// Checks all connections periodically and closes those that exceed a timeout. Never returns.
    pub async fn watch_connections(self: Rc<Self>) {
        let mut drain_began: Option<Instant> = None;
        loop {
            let any_waiting = || self.connections.borrow().values().any(|c| c.awaits_answer());
            if any_waiting() || timeout(WATCH_INTERVAL, self.request_waiting.notified()).await.is_ok() {
                sleep(WATCH_INTERVAL_WAITING).await;
            }
            drain_began = self.driver.draining().then(|| drain_began.unwrap_or_else(Instant::now));
            if drain_began.is_some() {
                // Answers whose head was written before the drain do not announce the end of their connection.
                self.close_after_answers(CloseReason::Draining);
            }
            if drain_began.is_some_and(|at| at.elapsed() >= DRAIN_GRACE) {
                self.close_idle(NEXT_REQUEST_GRACE, CloseReason::Draining);
            }
            for _ in self.max_connections.get()..self.connections.borrow().len() {
                self.evict_one();
            }
            for client in self.connections.borrow().values() {
                let phase_age = client.phase_age();
                match client.phase() {
                    Phase::New | Phase::ReceivingHead | Phase::ReceivingBody if client.request_overdue() => {
                        client.abort(AbortReason::RequestTooSlow)
                    }
                    Phase::ReceivingBody | Phase::Processing if client.meter.peer_closed() => {
                        client.abort(AbortReason::ClientClosed)
                    }
                    Phase::Responding if client.upload_abandoned() => {
                        client.abort(AbortReason::RequestTooSlow)
                    }
                    _ if client.is_answering() && client.client_stalled(CLIENT_STALL_TIMEOUT) => {
                        client.abort(AbortReason::ClientStopped)
                    }
                    Phase::Idle if !client.nothing_read() => client.enter_phase(Phase::ReceivingHead),
                    // The end of an answer is still to be written to a slow client.
                    Phase::Idle if client.is_answering() => {}
                    Phase::Idle if phase_age >= 2 * IDLE_TIMEOUT => client.abort(AbortReason::ClientStopped),
                    Phase::Idle if phase_age >= IDLE_TIMEOUT && client.meter.is_open_and_empty() => {
                        client.close_gracefully(CloseReason::Idle)
                    }
                    _ => {}
                }
            }
        }
    }

    /// Registers a connection and serves it in its own task.
    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let client = ClientConnection::new(stream, self.driver.guard().clone());
        self.connections.borrow_mut().insert(id, client.clone());
        let (server, served, registration) = (self.clone(), client.clone(), Registration(self.clone(), id));
        let task = tokio::task::spawn_local(async move {
            let _registration = registration;
            server.serve_connection(&served).await;
        });
        client.set_serving_task(task.abort_handle());
    }

    /// Serves the requests on a connection until it ends.
    async fn serve_connection(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let mut answer = server.answer(request, &client).await;
                let streamed = matches!(answer.body(), Either::Right(_));
                client.begin_answer();
                client.enter_phase(if streamed { Phase::Responding } else { Phase::Idle });
                if server.driver.shutting_down() || server.driver.draining() || client.meter.has_discarded() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                client.last_answer.set(answer.headers().contains_key(CONNECTION));
                Ok::<_, Infallible>(answer)
            }
        });
        let mut http = http1::Builder::new();
        // `watch_connections` enforces the timeouts of all connections.
        http.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        let mut conn =
            pin!(http.serve_connection(TokioIo::new(MeteredStream(client.meter.clone())), service));
        let mut client_closed = pin!(self.wait_for_client_close(client));
        let mut shutdown_requested = false;
        loop {
            tokio::select! {
                // The connection sets the phase that `wait_for_client_close` depends on, so it is polled first.
                biased;
                // An error here is caused by the client: it closed the connection or sent invalid HTTP.
                _ = conn.as_mut() => return,
                () = client_closed.as_mut() => return,
                () = client.close_requested.notified(), if !shutdown_requested => {
                    shutdown_requested = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Waits until the client closes its connection while its request waits for its answer. The HTTP library does not
    /// read beyond the request and would not notice the close, so the requests of clients that have left would be sent
    /// to backends.
    async fn wait_for_client_close(&self, client: &ClientConnection) {
        let mut closed = pin!(client.meter.wait_peer_closed());
        poll_fn(|cx| match client.phase() {
            _ if !client.awaits_answer() => Poll::Pending,
            _ if closed.as_mut().poll(cx).is_ready() => Poll::Ready(()),
            phase => client.meter.poll_read_ahead(cx, &self.budgets.bodies, phase == Phase::Processing),
        })
        .await
    }

    /// Whether this process serves clients and will go on to do so.
    pub fn is_ready(&self) -> bool {
        let ready = self.accepting.get()
            && self.driver.has_backend_list()
            && !self.driver.shutting_down()
            && !self.driver.draining();
        let not_serving = ready && (!self.accepting.get() || self.driver.shutting_down());
        if not_serving {
            self.driver.guard().record(Violation::ReadyTooSoon, "readiness reported to an operator");
        }
        ready && !not_serving
    }

    /// Reports to the guard the requests that the end of the process leaves without an answer.
    pub fn check_unanswered_requests(&self) {
        for client in self.connections.borrow().values().filter(|c| c.request_taken()) {
            let (_, correlation_id) = client.requests();
            self.driver.guard().record(
                Violation::CloseOverRequest,
                &format!("request {correlation_id:?} unanswered as the process ends"),
            );
        }
    }

    /// Whether clients should use this address: when this process ends, another one may serve there.
    fn serving(&self) -> bool {
        let continues = !self.driver.shutting_down() || self.successor_serving.get();
        self.driver.has_backend_list() && continues && !self.driver.draining()
    }
}
