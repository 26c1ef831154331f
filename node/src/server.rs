//! The client side: connections, how long they may take, and which of them make way.

mod connection;
mod handler;
mod transfer;

use crate::body::budget::Budget;
use crate::driver::Driver;
use crate::figures::Metrics;
use crate::guard::Violation;
use crate::logging::LimitedLog;
use crate::meter::{Metered, HEAD_BYTES};
use crate::reasons::CloseReason;
use connection::{AbortReason, ClientConnection, EvictionRank, Phase, NEXT_REQUEST_GRACE};
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

/// A client that has taken nothing of its answer for so long is let go.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection on which nothing is asked for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections are looked over this often, and while a request waits: the end of its client's connection is told
/// at once by itself, this is for where it is not.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_INTERVAL_WAITING: Duration = Duration::from_millis(40);
/// In a drain, connections are closed by an answer at first, and those that are idle after so long at once:
/// by 2 s, so that no request taken later is in work at 4 s. One that has just come may be about to ask.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// How often, and how long each time, a new connection waits for another to make way: for longer in all than a head
/// may take before it makes way.
const MAX_ROOM_WAITS: u32 = 40;
const ROOM_WAIT: Duration = Duration::from_millis(10);

/// All client connections.
pub struct Server {
    driver: Driver,
    metrics: Rc<Metrics>,
    max_connections: Cell<usize>,
    /// It accepts; and another process of this gateway does when this one no longer does.
    accepting: Cell<bool>,
    successor_serving: Cell<bool>,
    body_budget: Budget,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    connection_closed: Notify,
    /// A request has begun to wait.
    request_waiting: Notify,
}

/// A connection's place among them, given up when its task ends in whatever way.
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

/// A connection that was accepted apart from the runtime.
fn into_stream(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

impl Server {
    pub fn new(driver: Driver, figures: Rc<Metrics>, most: usize, bodies: Budget) -> Rc<Self> {
        let (connections, next) = (RefCell::default(), Cell::new(0));
        let (left, waits) = (Notify::new(), Notify::new());
        let (most, open, succeeded) = (Cell::new(most), Cell::new(false), Cell::new(false));
        Rc::new(Server {
            driver,
            metrics: figures,
            max_connections: most,
            accepting: open,
            successor_serving: succeeded,
            body_budget: bodies,
            connections,
            next_id: next,
            connection_closed: left,
            request_waiting: waits,
        })
    }

    pub fn has_no_connections(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// From now on holds so many connections at most, as far as others can make way.
    pub fn set_max_connections(&self, most: usize) {
        self.max_connections.set(most);
    }

    /// Whether an answer is on its way.
    pub fn is_answering(&self) -> bool {
        self.connections.borrow().values().any(|c| c.is_answering())
    }

    /// Ends the answers that are not known to be long and of which nothing has come for so long: they never may end.
    /// A long one goes on for as long as its backend sends, and its client may take it slowly.
    pub fn abort_stalled_answers(&self, for_long: Duration) {
        let connections = self.connections.borrow();
        let unproven = connections.values().filter(|c| !c.answer_is_long());
        unproven.filter(|c| c.answer_stalled(for_long)).for_each(|c| c.abort(AbortReason::ProcessEnded));
    }

    /// Connections held.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Another process of this gateway serves from now on.
    pub fn set_successor_serving(&self) {
        self.successor_serving.set(true);
    }

    /// Closes what has been between requests for so long; what has begun gets its answer, and goes then.
    pub fn close_idle(&self, for_long: Duration, why: CloseReason) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|c| matches!(c.phase(), Phase::New | Phase::Idle));
        let idle = idle.filter(|c| c.phase_age() >= for_long.max(NEXT_REQUEST_GRACE));
        let idle = idle.filter(|c| !c.is_answering() && c.nothing_received());
        idle.for_each(|c| c.close_gracefully(why));
    }

    /// Closes each connection that an answer is on its way on, once that is written.
    pub fn close_after_answers(&self) {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|c| c.phase() == Phase::Responding)
            .for_each(|c| c.close_gracefully(CloseReason::Ending));
    }

    /// Accepts until it is told that it was the last. Danger: a connection that has come is owed an answer, also
    /// one that waits for its place or in the listener's line, which ends with the listener: it is emptied, unless
    /// another process goes on with it.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, mut last: watch::Receiver<bool>) {
        let troubles = LimitedLog::new(1);
        self.accepting.set(true);
        loop {
            let stops = *last.borrow();
            let come = if stops && self.successor_serving.get() {
                return;
            } else if stops {
                // The runtime may not have been told yet of one that the kernel holds: the kernel is asked.
                match SockRef::from(listener).accept() {
                    Ok((socket, _)) => into_stream(socket),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    Err(e) => Err(e),
                }
            } else {
                tokio::select! {
                    come = listener.accept() => come.map(|(stream, _)| stream),
                    _ = last.changed() => continue,
                }
            };
            let trouble = match come {
                Ok(stream) if self.wait_for_room().await => {
                    self.spawn_connection(stream);
                    continue;
                }
                Ok(_) => "no connection can make way".to_owned(),
                // Out of descriptors, or the peer is gone already: a short pause, then again.
                Err(e) => {
                    sleep(ROOM_WAIT).await;
                    e.to_string()
                }
            };
            troubles.line(&format!("accept: {trouble}"));
        }
    }

    /// Waits for a place, which another may have to leave: the bound holds at every moment.
    async fn wait_for_room(&self) -> bool {
        for _ in 0..MAX_ROOM_WAITS {
            if self.connections.borrow().len() < self.max_connections.get() {
                return true;
            }
            self.evict_one();
            let _ = timeout(ROOM_WAIT, self.connection_closed.notified()).await;
        }
        self.connections.borrow().len() < self.max_connections.get()
    }

    /// The one that is missed least leaves: the silent before the idle, these before the slow. Danger: one that was
    /// told before may still be held up by an answer that its client does not take; it must not hold up the rest. And
    /// one that has just come may be about to ask; where these are many, they are soon silent, and nobody else leaves.
    fn evict_one(&self) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let stay = connections.values().filter(|c| !c.evicted.get());
        let mut line: Vec<_> = stay.filter_map(|c| Some((c.eviction_rank(now)?, c.since(), c))).collect();
        line.sort_by_key(|(rank, since, _)| (*rank, *since));
        let others = line.len();
        let begun = |rank| matches!(rank, EvictionRank::SlowHead | EvictionRank::SlowBody);
        let leaves = line.into_iter().find(|(rank, _, c)| begun(*rank) || c.nothing_received());
        let fresh = connections.values().filter(|c| c.is_fresh(now)).count();
        let Some((rank, _, client)) =
            leaves.filter(|(rank, ..)| *rank == EvictionRank::Silent || fresh < others)
        else {
            return;
        };
        client.evicted.set(true);
        match rank {
            EvictionRank::Idle => client.close_gracefully(CloseReason::MadeWay),
            _ => client.abort(AbortReason::MadeWay),
        }
    }

    /// Looks the connections over, for as long as the program runs.
    pub async fn watch_connections(self: Rc<Self>) {
        let mut drained: Option<Instant> = None;
        loop {
            let waiting = || self.connections.borrow().values().any(|c| c.awaits_answer());
            if waiting() || timeout(WATCH_INTERVAL, self.request_waiting.notified()).await.is_ok() {
                sleep(WATCH_INTERVAL_WAITING).await;
            }
            drained = self.driver.draining().then(|| drained.unwrap_or_else(Instant::now));
            if drained.is_some_and(|at| at.elapsed() >= DRAIN_GRACE) {
                self.close_idle(NEXT_REQUEST_GRACE, CloseReason::Draining);
            }
            for _ in self.max_connections.get()..self.connections.borrow().len() {
                self.evict_one();
            }
            for client in self.connections.borrow().values() {
                let age = client.phase_age();
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
                    // The end of an answer that its client takes slowly is still on its way.
                    Phase::Idle if client.is_answering() => {}
                    Phase::Idle if age >= 2 * IDLE_TIMEOUT => client.abort(AbortReason::ClientStopped),
                    Phase::Idle if age >= IDLE_TIMEOUT && client.meter.quiet() => {
                        client.close_gracefully(CloseReason::Idle)
                    }
                    _ => {}
                }
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let client = ClientConnection::new(stream, self.driver.guard().clone());
        self.connections.borrow_mut().insert(id, client.clone());
        let (server, here, registration) = (self.clone(), client.clone(), Registration(self.clone(), id));
        let task = tokio::task::spawn_local(async move {
            let _registration = registration;
            server.serve_connection(&here).await;
        });
        client.set_serving_task(task.abort_handle());
    }

    async fn serve_connection(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let mut answer = server.answer(request, &client).await;
                let flows = matches!(answer.body(), Either::Right(_));
                client.begin_answer();
                client.enter_phase(if flows { Phase::Responding } else { Phase::Idle });
                if server.driver.shutting_down() || server.driver.draining() || client.meter.skipped() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                client.last_answer.set(answer.headers().contains_key(CONNECTION));
                Ok::<_, Infallible>(answer)
            }
        });
        let mut http = http1::Builder::new();
        // Times are kept by `watch`, over all connections at once.
        http.header_read_timeout(None).max_buf_size(HEAD_BYTES);
        let mut conn = pin!(http.serve_connection(TokioIo::new(Metered(client.meter.clone())), service));
        let mut departure = pin!(self.wait_for_client_close(client));
        let mut told = false;
        loop {
            tokio::select! {
                // The phase goes by what the connection does: it comes first.
                biased;
                // An error here is the client's: it broke off or sent no HTTP.
                _ = conn.as_mut() => return,
                () = departure.as_mut() => return,
                () = client.close_requested.notified(), if !told => {
                    told = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Waits until the client closes its connection while its request waits. Danger: the library reads no
    /// further than that request; of whose client has left is then sent on for nobody.
    async fn wait_for_client_close(&self, client: &ClientConnection) {
        let mut closed = pin!(client.meter.closed());
        poll_fn(|cx| match client.phase() {
            _ if !client.awaits_answer() => Poll::Pending,
            _ if closed.as_mut().poll(cx).is_ready() => Poll::Ready(()),
            phase => client.meter.poll_ahead(cx, &self.body_budget, phase == Phase::Processing),
        })
        .await
    }

    /// Whether this process serves and goes on to.
    pub fn is_ready(&self) -> bool {
        let ready = self.accepting.get()
            && self.driver.has_backend_list()
            && !self.driver.shutting_down()
            && !self.driver.draining();
        let too_soon = ready && (!self.accepting.get() || self.driver.shutting_down());
        if too_soon {
            self.driver.guard().record(Violation::ReadyTooSoon, "asked by an operator");
        }
        ready && !too_soon
    }

    /// Looks for requests that the end of the process leaves without an answer.
    pub fn check_unanswered_requests(&self) {
        for client in self.connections.borrow().values().filter(|c| c.phase() == Phase::Processing) {
            let (_, last) = client.requests();
            self.driver.guard().record(Violation::CloseOverRequest, &format!("request {last:?}, at the end"));
        }
    }

    /// Whether clients are wanted at this address: another process may serve there when this one ends.
    fn serving(&self) -> bool {
        let goes_on = !self.driver.shutting_down() || self.successor_serving.get();
        self.driver.has_backend_list() && goes_on && !self.driver.draining()
    }
}
