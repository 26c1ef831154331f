//! The client side: connections, how long they may take, and which of them make way.

mod connection;
mod handler;
mod transfer;

use crate::body::budget::Budget;
use crate::driver::Driver;
use crate::figures::Metrics;
use crate::guard::Violation;
use crate::logging::LimitedLog;
use crate::meter::{MeteredStream, MAX_HEAD_BYTES};
use crate::reasons::CloseReason;
use connection::{ClientConnection, CutReason, EvictionRank, Phase, ABOUT_TO_ASK};
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
const CLIENT_STOPPED: Duration = Duration::from_secs(15);
/// A connection on which nothing is asked for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections are looked over this often, and while a request waits: the end of its client's connection is told
/// at once by itself, this is for where it is not.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_INTERVAL_WAITING: Duration = Duration::from_millis(40);
/// In a drain, connections are closed by an answer at first, and those that are idle after so long at once:
/// by 2 s, so that no request taken later is in work at 4 s. One that has just come may be about to ask.
const DRAIN_BY_ANSWER: Duration = Duration::from_millis(1_000);
/// How often, and how long each time, a new connection waits for another to make way: for longer in all than a head
/// may take before it makes way.
const ROOM_LOOKS: u32 = 40;
const ROOM_WAIT: Duration = Duration::from_millis(10);

/// All client connections.
pub struct Server {
    driver: Driver,
    figures: Rc<Metrics>,
    most: Cell<usize>,
    /// It accepts; and another process of this gateway does when this one no longer does.
    open: Cell<bool>,
    succeeded: Cell<bool>,
    bodies: Budget,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
    left: Notify,
    /// A request has begun to wait.
    waits: Notify,
}

/// A connection's place among them, given up when its task ends in whatever way.
struct Registration(Rc<Server>, u64);

impl Drop for Registration {
    fn drop(&mut self) {
        let client = self.0.connections.borrow_mut().remove(&self.1);
        if let Some(client) = client {
            let (requests, last) = client.requests();
            self.0.figures.reasons.closed(self.1, requests, last.as_deref(), client.close_reason());
        }
        self.0.left.notify_one();
    }
}

/// A connection that was accepted apart from the runtime.
fn take(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

impl Server {
    pub fn new(driver: Driver, figures: Rc<Metrics>, most: usize, bodies: Budget) -> Rc<Self> {
        let (connections, next) = (RefCell::default(), Cell::new(0));
        let (left, waits) = (Notify::new(), Notify::new());
        let (most, open, succeeded) = (Cell::new(most), Cell::new(false), Cell::new(false));
        Rc::new(Server { driver, figures, most, open, succeeded, bodies, connections, next, left, waits })
    }

    pub fn has_no_connections(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// From now on holds so many connections at most, as far as others can make way.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
    }

    /// Whether an answer is on its way.
    pub fn is_answering(&self) -> bool {
        self.connections.borrow().values().any(|c| c.answering())
    }

    /// Ends the answers that are not known to be long and of which nothing has come for so long: they never may end.
    /// A long one goes on for as long as its backend sends, and its client may take it slowly.
    pub fn abort_stalled_answers(&self, for_long: Duration) {
        let connections = self.connections.borrow();
        let unproven = connections.values().filter(|c| !c.answer_is_long());
        unproven.filter(|c| c.answer_stopped(for_long)).for_each(|c| c.cut(CutReason::ProcessEnded));
    }

    /// Connections held.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Another process of this gateway serves from now on.
    pub fn set_successor_serving(&self) {
        self.succeeded.set(true);
    }

    /// Closes what has been between requests for so long; what has begun gets its answer, and goes then.
    pub fn close_idle(&self, for_long: Duration, why: CloseReason) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|c| matches!(c.phase(), Phase::New | Phase::Idle));
        let idle = idle.filter(|c| c.age() >= for_long.max(ABOUT_TO_ASK));
        let idle = idle.filter(|c| !c.answering() && c.nothing_begun());
        idle.for_each(|c| c.dismiss(why));
    }

    /// Closes each connection that an answer is on its way on, once that is written.
    pub fn close_after_answers(&self) {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|c| c.phase() == Phase::Reply)
            .for_each(|c| c.dismiss(CloseReason::Ending));
    }

    /// Accepts until it is told that it was the last. Danger: a connection that has come is owed an answer, also
    /// one that waits for its place or in the listener's line, which ends with the listener: it is emptied, unless
    /// another process goes on with it.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, mut last: watch::Receiver<bool>) {
        let troubles = LimitedLog::new(1);
        self.open.set(true);
        loop {
            let stops = *last.borrow();
            let come = if stops && self.succeeded.get() {
                return;
            } else if stops {
                // The runtime may not have been told yet of one that the kernel holds: the kernel is asked.
                match SockRef::from(listener).accept() {
                    Ok((socket, _)) => take(socket),
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
                Ok(stream) if self.room().await => {
                    self.welcome(stream);
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
    async fn room(&self) -> bool {
        for _ in 0..ROOM_LOOKS {
            if self.connections.borrow().len() < self.most.get() {
                return true;
            }
            self.make_way();
            let _ = timeout(ROOM_WAIT, self.left.notified()).await;
        }
        self.connections.borrow().len() < self.most.get()
    }

    /// The one that is missed least leaves: the silent before the idle, these before the slow. Danger: one that was
    /// told before may still be held up by an answer that its client does not take; it must not hold up the rest. And
    /// one that has just come may be about to ask; where these are many, they are soon silent, and nobody else leaves.
    fn make_way(&self) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let stay = connections.values().filter(|c| !c.leaving.get());
        let mut line: Vec<_> = stay.filter_map(|c| Some((c.eviction_rank(now)?, c.since(), c))).collect();
        line.sort_by_key(|(rank, since, _)| (*rank, *since));
        let others = line.len();
        let begun = |rank| matches!(rank, EvictionRank::SlowHead | EvictionRank::SlowBody);
        let leaves = line.into_iter().find(|(rank, _, c)| begun(*rank) || c.nothing_begun());
        let fresh = connections.values().filter(|c| c.fresh(now)).count();
        let Some((rank, _, client)) =
            leaves.filter(|(rank, ..)| *rank == EvictionRank::Silent || fresh < others)
        else {
            return;
        };
        client.leaving.set(true);
        match rank {
            EvictionRank::Idle => client.dismiss(CloseReason::MadeWay),
            _ => client.cut(CutReason::MadeWay),
        }
    }

    /// Looks the connections over, for as long as the program runs.
    pub async fn watch_connections(self: Rc<Self>) {
        let mut drained: Option<Instant> = None;
        loop {
            let waiting = || self.connections.borrow().values().any(|c| c.waiting());
            if waiting() || timeout(WATCH_INTERVAL, self.waits.notified()).await.is_ok() {
                sleep(WATCH_INTERVAL_WAITING).await;
            }
            drained = self.driver.draining().then(|| drained.unwrap_or_else(Instant::now));
            if drained.is_some_and(|at| at.elapsed() >= DRAIN_BY_ANSWER) {
                self.close_idle(ABOUT_TO_ASK, CloseReason::Draining);
            }
            for _ in self.most.get()..self.connections.borrow().len() {
                self.make_way();
            }
            for client in self.connections.borrow().values() {
                let age = client.age();
                match client.phase() {
                    Phase::New | Phase::Coming | Phase::Body if client.overdue() => {
                        client.cut(CutReason::RequestTooSlow)
                    }
                    Phase::Body | Phase::Work if client.meter.peer_closed() => {
                        client.cut(CutReason::ClientClosed)
                    }
                    Phase::Reply if client.upload_abandoned() => client.cut(CutReason::RequestTooSlow),
                    _ if client.answering() && client.client_stopped(CLIENT_STOPPED) => {
                        client.cut(CutReason::ClientStopped)
                    }
                    Phase::Idle if !client.untouched() => client.enter(Phase::Coming),
                    // The end of an answer that its client takes slowly is still on its way.
                    Phase::Idle if client.answering() => {}
                    Phase::Idle if age >= 2 * IDLE_TIMEOUT => client.cut(CutReason::ClientStopped),
                    Phase::Idle if age >= IDLE_TIMEOUT && client.meter.is_open_and_empty() => {
                        client.dismiss(CloseReason::Idle)
                    }
                    _ => {}
                }
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next.replace(self.next.get() + 1);
        let client = ClientConnection::new(stream, self.driver.guard().clone());
        self.connections.borrow_mut().insert(id, client.clone());
        let (server, here, registration) = (self.clone(), client.clone(), Registration(self.clone(), id));
        let task = tokio::task::spawn_local(async move {
            let _registration = registration;
            server.serve(&here).await;
        });
        client.served_by(task.abort_handle());
    }

    async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let mut answer = server.answer(request, &client).await;
                let flows = matches!(answer.body(), Either::Right(_));
                client.begin_answer();
                client.enter(if flows { Phase::Reply } else { Phase::Idle });
                if server.driver.shutting_down() || server.driver.draining() || client.meter.has_discarded() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                client.last_answer.set(answer.headers().contains_key(CONNECTION));
                Ok::<_, Infallible>(answer)
            }
        });
        let mut http = http1::Builder::new();
        // Times are kept by `watch`, over all connections at once.
        http.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        let mut conn =
            pin!(http.serve_connection(TokioIo::new(MeteredStream(client.meter.clone())), service));
        let mut departure = pin!(self.departure(client));
        let mut told = false;
        loop {
            tokio::select! {
                // The phase goes by what the connection does: it comes first.
                biased;
                // An error here is the client's: it broke off or sent no HTTP.
                _ = conn.as_mut() => return,
                () = departure.as_mut() => return,
                () = client.close.notified(), if !told => {
                    told = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Waits until the client closes its connection while its request waits. Danger: the library reads no
    /// further than that request; of whose client has left is then sent on for nobody.
    async fn departure(&self, client: &ClientConnection) {
        let mut closed = pin!(client.meter.wait_peer_closed());
        poll_fn(|cx| match client.phase() {
            _ if !client.waiting() => Poll::Pending,
            _ if closed.as_mut().poll(cx).is_ready() => Poll::Ready(()),
            phase => client.meter.poll_read_ahead(cx, &self.bodies, phase == Phase::Work),
        })
        .await
    }

    /// Whether this process serves and goes on to.
    pub fn is_ready(&self) -> bool {
        let ready =
            self.open.get() && self.driver.ready() && !self.driver.shutting_down() && !self.driver.draining();
        let too_soon = ready && (!self.open.get() || self.driver.shutting_down());
        if too_soon {
            self.driver.guard().record(Violation::ReadyTooSoon, "asked by an operator");
        }
        ready && !too_soon
    }

    /// Looks for requests that the end of the process leaves without an answer.
    pub fn check_unanswered_requests(&self) {
        for client in self.connections.borrow().values().filter(|c| c.phase() == Phase::Work) {
            let (_, last) = client.requests();
            self.driver.guard().record(Violation::CloseOverRequest, &format!("request {last:?}, at the end"));
        }
    }

    /// Whether clients are wanted at this address: another process may serve there when this one ends.
    fn serving(&self) -> bool {
        let goes_on = !self.driver.shutting_down() || self.succeeded.get();
        self.driver.ready() && goes_on && !self.driver.draining()
    }
}
