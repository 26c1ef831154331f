//! The stand-in for backends: they work on a few requests at a time, are slow after a cold start, and can fail in the
//! ways of `BackendMode`.

use crate::http::{query_value, read_body, read_head, Buffered, Head};
use crate::link::{Link, LinkStream};
use crate::scenario::Scenario;
use crate::trace::{AttemptOutcome, Event, Trace};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// The number of requests that may wait for a slot; further ones are rejected.
const MAX_WAITING: u64 = 16;
/// The usual backlog of a listener: connections that the kernel establishes before they are accepted.
const BACKLOG: u32 = 1024;
/// Connections that are opened to fill the shortest backlog.
const BACKLOG_FILLERS: usize = 4;
/// The size of the pieces in which a body is written.
const BODY_PIECE_BYTES: usize = 16 * 1024;

/// What is wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendMode {
    /// Nothing: it answers all requests.
    Healthy,
    /// It reads requests and answers none.
    Hangs,
    /// It resets half of the connections on which it gets a request.
    Resets,
    /// It answers most requests with an error.
    Errs,
    /// It rejects all requests as not processed.
    Rejects,
}

/// The state of a backend's listeners.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListenState {
    Accepting,
    /// Connections are refused, as without a process.
    Closed,
    /// The backlog is full: new connections are not established.
    BacklogFull,
}

/// One backend, with an address of its own for each gateway.
pub struct Backend {
    index: usize,
    trace: Arc<Trace>,
    /// The number of the next attempt, shared by all backends of the run.
    attempts: Arc<AtomicU64>,
    slots: Semaphore,
    /// Requests that wait for a slot.
    waiting: AtomicU64,
    /// The mean time of work on a request when warm.
    mean_work: Duration,
    /// The share of its capacity that the backend has at a cold start.
    cold_capacity: f64,
    /// The time from a cold start to full capacity.
    warm_up: Duration,
    /// When the backend last started cold; `None` if it is warm from the beginning.
    started_at: Mutex<Option<Instant>>,
    mode: watch::Sender<BackendMode>,
    listen_state: watch::Sender<ListenState>,
    /// The time after which an idle connection is closed.
    idle_close: watch::Sender<Duration>,
    default_idle_close: Duration,
    /// The link to each gateway.
    links: Vec<Arc<Link>>,
}

impl Backend {
    /// Starts a warm backend and returns it with its address for each gateway. `ips` has the gateways' addresses, and
    /// `attempts` is the counter from which all backends of the run number attempts. Fails if no socket can be bound.
    pub async fn start(
        index: usize,
        scenario: &Scenario,
        ips: &[IpAddr],
        trace: Arc<Trace>,
        attempts: Arc<AtomicU64>,
    ) -> anyhow::Result<(Arc<Self>, Vec<SocketAddr>)> {
        let settings = &scenario.settings;
        let default_idle_close = Duration::from_millis(settings.idle_close_ms);
        let backend = Arc::new(Backend {
            index,
            trace,
            attempts,
            slots: Semaphore::new(scenario.slots),
            waiting: AtomicU64::new(0),
            mean_work: Duration::from_secs_f64(scenario.work_ms / 1e3),
            cold_capacity: settings.cold_capacity,
            warm_up: Duration::from_millis(settings.warm_up_ms),
            started_at: Mutex::new(None),
            mode: watch::channel(BackendMode::Healthy).0,
            listen_state: watch::channel(ListenState::Accepting).0,
            idle_close: watch::channel(default_idle_close).0,
            default_idle_close,
            links: ips.iter().map(|_| Arc::default()).collect(),
        });
        let mut addresses = Vec::new();
        for (gateway, ip) in ips.iter().enumerate() {
            let listener = bind_listener((*ip, 0).into(), BACKLOG)?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(backend.clone().accept_loop(gateway, listener));
        }
        Ok((backend, addresses))
    }

    /// Sets what is wrong with the backend.
    pub fn set_mode(&self, mode: BackendMode) {
        self.mode.send_replace(mode);
    }

    /// Sets the time after which idle connections are closed; `None` restores the usual one. A connection that is idle
    /// already keeps its time.
    pub fn set_idle_close(&self, idle: Option<Duration>) {
        self.idle_close.send_replace(idle.unwrap_or(self.default_idle_close));
    }

    /// Simulates the death of the backend's process: resets all connections and refuses new ones.
    pub fn crash(&self) {
        self.listen_state.send_replace(ListenState::Closed);
        self.links.iter().for_each(|link| link.reset());
    }

    /// Simulates the cold start of a new process, with nothing wrong with it.
    pub fn start_cold(&self) {
        *self.started_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.trace.record(Event::BackendStarted { backend: self.index });
        self.mode.send_replace(BackendMode::Healthy);
        self.listen_state.send_replace(ListenState::Accepting);
    }

    /// Fills the backlog, so that new connections are not established, or empties it again. Has no effect while the
    /// backend is down.
    pub fn set_backlog_full(&self, full: bool) {
        self.listen_state.send_if_modified(|listen_state| {
            let new_state = match (*listen_state, full) {
                (ListenState::Accepting, true) => ListenState::BacklogFull,
                (ListenState::BacklogFull, false) => ListenState::Accepting,
                (same, _) => same,
            };
            std::mem::replace(listen_state, new_state) != new_state
        });
    }

    /// Returns the link to a gateway.
    pub fn link(&self, gateway: usize) -> &Link {
        &self.links[gateway]
    }

    /// The present share of full capacity: from `cold_capacity` at a cold start to 1 after `warm_up`.
    fn capacity_share(&self) -> f64 {
        let started_at = *self.started_at.lock().unwrap_or_else(PoisonError::into_inner);
        let warm = |at: Instant| at.elapsed().as_secs_f64() / self.warm_up.as_secs_f64();
        started_at.map_or(1.0, |at| (self.cold_capacity + (1.0 - self.cold_capacity) * warm(at)).min(1.0))
    }

    /// Accepts a gateway's connections and follows the listeners' state.
    async fn accept_loop(self: Arc<Self>, gateway: usize, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        let mut state = self.listen_state.subscribe();
        let mut listener = Some(listener);
        loop {
            let current = *state.borrow_and_update();
            match current {
                ListenState::Closed => {
                    listener = None;
                    let _ = state.changed().await;
                    continue;
                }
                ListenState::BacklogFull => {
                    drop(listener.take());
                    listener = bind_listener(address, 1).ok();
                    let fillers = fill_backlog(address).await;
                    let _ = state.changed().await;
                    drop(fillers);
                    continue;
                }
                ListenState::Accepting => {}
            }
            let Some(active) = listener.as_ref() else {
                listener = bind_listener(address, BACKLOG).ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            tokio::select! {
                _ = state.changed() => {}
                accepted = active.accept() => if let Ok((stream, _)) = accepted {
                    let stream = LinkStream::new(stream, &self.links[gateway]);
                    tokio::spawn(self.clone().serve_connection(gateway, stream));
                }
            }
        }
    }

    /// Serves requests on a connection until it ends or has been idle for too long.
    async fn serve_connection(self: Arc<Self>, gateway: usize, mut stream: LinkStream) {
        loop {
            let idle_close = *self.idle_close.borrow();
            if stream.buffer.is_empty() {
                match timeout(idle_close, stream.fill()).await {
                    Ok(Ok(n)) if n > 0 => {}
                    _ => return,
                }
            }
            let first_byte = self.trace.now();
            let Ok(Some(head)) = read_head(&mut stream).await else { return };
            if read_body(&mut stream, &head, false).await.is_err() {
                return;
            }
            let path = head.target().split('?').next().unwrap_or_default();
            if matches!(path, "/load" | "/healthz") {
                if *self.mode.borrow() == BackendMode::Hangs {
                    return stream.wait_closed().await;
                }
                if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.is_err() {
                    return;
                }
                continue;
            }
            match self.handle_attempt(gateway, &mut stream, &head, first_byte).await {
                Ok(ConnectionAction::KeepOpen) => {}
                Ok(ConnectionAction::Close) | Err(_) => return,
                Ok(ConnectionAction::Reset) => return stream.reset(),
            }
        }
    }

    /// Records an attempt and its end, and answers it. An attempt without a request id is recorded as such, and its
    /// connection is closed.
    async fn handle_attempt(
        &self,
        gateway: usize,
        stream: &mut LinkStream,
        head: &Head,
        first_byte: Duration,
    ) -> io::Result<ConnectionAction> {
        let id = head.field("x-correlation-id").and_then(|v| u64::from_str_radix(v, 16).ok());
        let Some(id) = id else {
            self.trace.record(Event::AttemptWithoutId { backend: self.index });
            return Ok(ConnectionAction::Close);
        };
        let stated_time_left =
            head.field("x-time-left-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let backend = self.index;
        self.trace.record(Event::AttemptBegan {
            id,
            backend,
            gateway,
            first_byte,
            stated_time_left,
            attempt,
        });
        let (end, action) = self.process_request(id, stream, head).await;
        self.trace.record(Event::AttemptEnded { attempt, end });
        Ok(action)
    }

    /// Waits for a slot, works on a request and answers it, unless the backend's mode makes it fail. Returns how the
    /// attempt ended and what becomes of its connection.
    async fn process_request(
        &self,
        id: u64,
        stream: &mut LinkStream,
        head: &Head,
    ) -> (AttemptOutcome, ConnectionAction) {
        let draw = fastrand::f64();
        let mode = *self.mode.borrow();
        match mode {
            BackendMode::Hangs => {
                let mut mode = self.mode.subscribe();
                return tokio::select! {
                    () = stream.wait_closed() => (AttemptOutcome::Cancelled, ConnectionAction::Close),
                    _ = mode.wait_for(|mode| *mode != BackendMode::Hangs) => (AttemptOutcome::Aborted, ConnectionAction::Reset),
                };
            }
            BackendMode::Resets if draw < 0.5 => {
                return tokio::select! {
                    () = stream.wait_closed() => (AttemptOutcome::Cancelled, ConnectionAction::Close),
                    () = sleep(self.mean_work.mul_f64(2.0 * draw)) => (AttemptOutcome::Aborted, ConnectionAction::Reset),
                };
            }
            BackendMode::Errs if draw < 0.7 => {
                return self
                    .write_empty_answer(stream, "500 Internal Server Error", "", AttemptOutcome::Error)
                    .await;
            }
            BackendMode::Rejects => return self.reject(stream).await,
            _ => {}
        }
        if self.waiting.load(Ordering::Relaxed) >= MAX_WAITING {
            return self.reject(stream).await;
        }
        let work = self.mean_work.mul_f64(-fastrand::f64().max(1e-3).ln() / self.capacity_share());
        let work_done = async {
            self.waiting.fetch_add(1, Ordering::Relaxed);
            let waiting_guard = WaitingGuard(&self.waiting);
            let permit = self.slots.acquire().await;
            drop(waiting_guard);
            sleep(work).await;
            drop(permit);
        };
        tokio::select! {
            () = stream.wait_closed() => return (AttemptOutcome::Cancelled, ConnectionAction::Close),
            () = work_done => {}
        }
        self.answer_request(id, stream, head, draw).await
    }

    /// Answers that the request was not processed.
    async fn reject(&self, stream: &mut LinkStream) -> (AttemptOutcome, ConnectionAction) {
        self.write_empty_answer(
            stream,
            "503 Service Unavailable",
            "x-unprocessed: 1\r\n",
            AttemptOutcome::Rejected,
        )
        .await
    }

    /// Writes an answer without a body. `status` is the status line's code and reason, `fields` are whole header lines,
    /// and `end` is the attempt's outcome if the write succeeds.
    async fn write_empty_answer(
        &self,
        stream: &mut LinkStream,
        status: &str,
        fields: &str,
        end: AttemptOutcome,
    ) -> (AttemptOutcome, ConnectionAction) {
        let answer = format!("HTTP/1.1 {status}\r\n{fields}content-length: 0\r\n\r\n");
        match stream.write_all(answer.as_bytes()).await {
            Ok(()) => (end, ConnectionAction::KeepOpen),
            Err(_) => (AttemptOutcome::Aborted, ConnectionAction::Close),
        }
    }

    /// Answers with a body that begins with the request's id and has the size that the request asks for. `draw`, from 0
    /// to 1, selects the framing.
    async fn answer_request(
        &self,
        id: u64,
        stream: &mut LinkStream,
        head: &Head,
        draw: f64,
    ) -> (AttemptOutcome, ConnectionAction) {
        let size = query_value(head.target(), "size").and_then(|v| v.parse::<usize>().ok()).unwrap_or(16);
        let pause =
            query_value(head.target(), "pause_ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
        let mut body = format!("{id:016x}").into_bytes();
        body.resize(size.max(16), b'x');
        let framing = match draw {
            draw if draw < 0.8 => Framing::ContentLength,
            draw if draw < 0.9 => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        let fields = match framing {
            Framing::ContentLength => format!("content-length: {}\r\n", body.len()),
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => "connection: close\r\n".to_owned(),
        };
        match self.write_answer(stream, fields, &body, framing, pause).await {
            Ok(()) if framing == Framing::UntilClose => (AttemptOutcome::Served, ConnectionAction::Close),
            Ok(()) => (AttemptOutcome::Served, ConnectionAction::KeepOpen),
            Err(_) => (AttemptOutcome::Cancelled, ConnectionAction::Close),
        }
    }

    /// Writes an answer with status 200. `fields` are the header lines of its framing, and `pause` is the time between
    /// pieces of the body.
    async fn write_answer(
        &self,
        stream: &mut LinkStream,
        fields: String,
        body: &[u8],
        framing: Framing,
        pause: Option<Duration>,
    ) -> io::Result<()> {
        let mut bytes = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
        for piece in body.chunks(BODY_PIECE_BYTES) {
            if framing == Framing::Chunked {
                bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            }
            bytes.extend_from_slice(piece);
            if framing == Framing::Chunked {
                bytes.extend_from_slice(b"\r\n");
            }
            stream.write_all(&bytes).await?;
            bytes.clear();
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
        if framing == Framing::Chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// Takes a request out of the count of waiting ones when dropped.
struct WaitingGuard<'a>(&'a AtomicU64);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    ContentLength,
    Chunked,
    UntilClose,
}

/// What becomes of a connection after an attempt.
enum ConnectionAction {
    KeepOpen,
    Close,
    Reset,
}

/// Binds a listener whose address can be bound again at once.
fn bind_listener(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Opens connections to a listener with the shortest backlog until it is full, and returns them.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    for _ in 0..BACKLOG_FILLERS {
        if let Ok(Ok(filler)) = timeout(Duration::from_millis(30), TcpStream::connect(address)).await {
            fillers.push(filler);
        }
    }
    fillers
}
