//! Backends: a few slots of work, cold after a start, and all that can be wrong with one.

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

/// Requests that wait for a slot at the most.
const MAX_WAITING: u64 = 16;
/// The usual length of the line of connections that have not been accepted.
const BACKLOG: u32 = 1024;
/// Connections that fill the shortest such line.
const FILLERS: usize = 4;
/// An answer is written in pieces of so many bytes.
const PIECE: usize = 16 * 1024;

/// What is wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendMode {
    /// Nothing.
    Healthy,
    /// It takes requests and answers none.
    Hangs,
    /// It resets half of the connections under requests.
    Resets,
    /// It answers most requests with an error.
    Errs,
    /// It turns everything away.
    Rejects,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Listening {
    Open,
    /// No process is there.
    Down,
    /// The line is full: connections do not come up.
    Stuck,
}

/// One backend, as all gateways reach it.
pub struct Backend {
    index: usize,
    trace: Arc<Trace>,
    attempts: Arc<AtomicU64>,
    slots: Semaphore,
    waiting: AtomicU64,
    work: Duration,
    cold_from: f64,
    warm_up: Duration,
    started: Mutex<Option<Instant>>,
    mode: watch::Sender<BackendMode>,
    listening: watch::Sender<Listening>,
    idle_close: watch::Sender<Duration>,
    usual_idle_close: Duration,
    /// The link to each gateway.
    links: Vec<Arc<Link>>,
}

impl Backend {
    /// A warm backend that gateways at these addresses reach; also its address for each of them.
    pub async fn start(
        index: usize,
        scenario: &Scenario,
        ips: &[IpAddr],
        trace: Arc<Trace>,
        attempts: Arc<AtomicU64>,
    ) -> anyhow::Result<(Arc<Self>, Vec<SocketAddr>)> {
        let settings = &scenario.settings;
        let usual_idle_close = Duration::from_millis(settings.idle_close_ms);
        let backend = Arc::new(Backend {
            index,
            trace,
            attempts,
            slots: Semaphore::new(scenario.slots),
            waiting: AtomicU64::new(0),
            work: Duration::from_secs_f64(scenario.work_ms / 1e3),
            cold_from: settings.cold_capacity,
            warm_up: Duration::from_millis(settings.warm_up_ms),
            started: Mutex::new(None),
            mode: watch::channel(BackendMode::Healthy).0,
            listening: watch::channel(Listening::Open).0,
            idle_close: watch::channel(usual_idle_close).0,
            usual_idle_close,
            links: ips.iter().map(|_| Arc::default()).collect(),
        });
        let mut addresses = Vec::new();
        for (gateway, ip) in ips.iter().enumerate() {
            let listener = listen((*ip, 0).into(), BACKLOG)?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(backend.clone().accept(gateway, listener));
        }
        Ok((backend, addresses))
    }

    /// Whatever is wrong with it, it goes on in this way.
    pub fn set_mode(&self, mode: BackendMode) {
        self.mode.send_replace(mode);
    }

    /// Closes connections that have been idle for so long; `None`: for as long as usual.
    pub fn set_idle_close(&self, idle: Option<Duration>) {
        self.idle_close.send_replace(idle.unwrap_or(self.usual_idle_close));
    }

    /// Its process dies: connections are reset, new ones refused.
    pub fn crash(&self) {
        self.listening.send_replace(Listening::Down);
        self.links.iter().for_each(|link| link.reset());
    }

    /// A new process starts, cold.
    pub fn start_cold(&self) {
        *self.started.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.trace.record(Event::BackendStarted { backend: self.index });
        self.mode.send_replace(BackendMode::Healthy);
        self.listening.send_replace(Listening::Open);
    }

    /// New connections do not come up, or do so again.
    pub fn set_backlog_full(&self, stuck: bool) {
        self.listening.send_if_modified(|listening| {
            let next = match (*listening, stuck) {
                (Listening::Open, true) => Listening::Stuck,
                (Listening::Stuck, false) => Listening::Open,
                (same, _) => same,
            };
            std::mem::replace(listening, next) != next
        });
    }

    /// Its link to a gateway.
    pub fn link(&self, gateway: usize) -> &Link {
        &self.links[gateway]
    }

    fn warmth(&self) -> f64 {
        let started = *self.started.lock().unwrap_or_else(PoisonError::into_inner);
        let warm = |at: Instant| at.elapsed().as_secs_f64() / self.warm_up.as_secs_f64();
        started.map_or(1.0, |at| (self.cold_from + (1.0 - self.cold_from) * warm(at)).min(1.0))
    }

    async fn accept(self: Arc<Self>, gateway: usize, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        let mut state = self.listening.subscribe();
        let mut listener = Some(listener);
        loop {
            let now = *state.borrow_and_update();
            match now {
                Listening::Down => {
                    listener = None;
                    let _ = state.changed().await;
                    continue;
                }
                Listening::Stuck => {
                    drop(listener.take());
                    listener = listen(address, 1).ok();
                    let fillers = fill_line(address).await;
                    let _ = state.changed().await;
                    drop(fillers);
                    continue;
                }
                Listening::Open => {}
            }
            let Some(open) = listener.as_ref() else {
                listener = listen(address, BACKLOG).ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            tokio::select! {
                _ = state.changed() => {}
                come = open.accept() => if let Ok((stream, _)) = come {
                    let stream = LinkStream::new(stream, &self.links[gateway]);
                    tokio::spawn(self.clone().converse(gateway, stream));
                }
            }
        }
    }

    async fn converse(self: Arc<Self>, gateway: usize, mut stream: LinkStream) {
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
            match self.attempt(gateway, &mut stream, &head, first_byte).await {
                Ok(Next::KeepOpen) => {}
                Ok(Next::Close) | Err(_) => return,
                Ok(Next::Reset) => return stream.reset(),
            }
        }
    }

    async fn attempt(
        &self,
        gateway: usize,
        stream: &mut LinkStream,
        head: &Head,
        first_byte: Duration,
    ) -> io::Result<Next> {
        let id = head.field("x-correlation-id").and_then(|v| u64::from_str_radix(v, 16).ok());
        let Some(id) = id else {
            self.trace.record(Event::AttemptWithoutId { backend: self.index });
            return Ok(Next::Close);
        };
        let told = head.field("x-time-left-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let backend = self.index;
        self.trace.record(Event::AttemptBegan {
            id,
            backend,
            gateway,
            first_byte,
            stated_time_left: told,
            attempt,
        });
        let (end, next) = self.work_on(id, stream, head).await;
        self.trace.record(Event::AttemptEnded { attempt, end });
        Ok(next)
    }

    async fn work_on(&self, id: u64, stream: &mut LinkStream, head: &Head) -> (AttemptOutcome, Next) {
        let lot = fastrand::f64();
        let mode = *self.mode.borrow();
        match mode {
            BackendMode::Hangs => {
                let mut mode = self.mode.subscribe();
                return tokio::select! {
                    () = stream.wait_closed() => (AttemptOutcome::Cancelled, Next::Close),
                    _ = mode.wait_for(|mode| *mode != BackendMode::Hangs) => (AttemptOutcome::Aborted, Next::Reset),
                };
            }
            BackendMode::Resets if lot < 0.5 => {
                return tokio::select! {
                    () = stream.wait_closed() => (AttemptOutcome::Cancelled, Next::Close),
                    () = sleep(self.work.mul_f64(2.0 * lot)) => (AttemptOutcome::Aborted, Next::Reset),
                };
            }
            BackendMode::Errs if lot < 0.7 => {
                return self.say(stream, "500 Internal Server Error", "", AttemptOutcome::Error).await;
            }
            BackendMode::Rejects => return self.turn_away(stream).await,
            _ => {}
        }
        if self.waiting.load(Ordering::Relaxed) >= MAX_WAITING {
            return self.turn_away(stream).await;
        }
        let work = self.work.mul_f64(-fastrand::f64().max(1e-3).ln() / self.warmth());
        let worked = async {
            self.waiting.fetch_add(1, Ordering::Relaxed);
            let waits = WaitingGuard(&self.waiting);
            let slot = self.slots.acquire().await;
            drop(waits);
            sleep(work).await;
            drop(slot);
        };
        tokio::select! {
            () = stream.wait_closed() => return (AttemptOutcome::Cancelled, Next::Close),
            () = worked => {}
        }
        self.serve(id, stream, head, lot).await
    }

    async fn turn_away(&self, stream: &mut LinkStream) -> (AttemptOutcome, Next) {
        self.say(stream, "503 Service Unavailable", "x-unprocessed: 1\r\n", AttemptOutcome::Rejected).await
    }

    async fn say(
        &self,
        stream: &mut LinkStream,
        status: &str,
        fields: &str,
        end: AttemptOutcome,
    ) -> (AttemptOutcome, Next) {
        let answer = format!("HTTP/1.1 {status}\r\n{fields}content-length: 0\r\n\r\n");
        match stream.write_all(answer.as_bytes()).await {
            Ok(()) => (end, Next::KeepOpen),
            Err(_) => (AttemptOutcome::Aborted, Next::Close),
        }
    }

    /// Answers with the request's own id and as many bytes as it asks for, in one of three framings.
    async fn serve(&self, id: u64, stream: &mut LinkStream, head: &Head, lot: f64) -> (AttemptOutcome, Next) {
        let size = query_value(head.target(), "size").and_then(|v| v.parse::<usize>().ok()).unwrap_or(16);
        let pause =
            query_value(head.target(), "pause_ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
        let mut body = format!("{id:016x}").into_bytes();
        body.resize(size.max(16), b'x');
        let framing = match lot {
            lot if lot < 0.8 => Framing::Length,
            lot if lot < 0.9 => Framing::Chunks,
            _ => Framing::ToEnd,
        };
        let fields = match framing {
            Framing::Length => format!("content-length: {}\r\n", body.len()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::ToEnd => "connection: close\r\n".to_owned(),
        };
        match self.write_answer(stream, fields, &body, framing, pause).await {
            Ok(()) if framing == Framing::ToEnd => (AttemptOutcome::Served, Next::Close),
            Ok(()) => (AttemptOutcome::Served, Next::KeepOpen),
            Err(_) => (AttemptOutcome::Cancelled, Next::Close),
        }
    }

    async fn write_answer(
        &self,
        stream: &mut LinkStream,
        fields: String,
        body: &[u8],
        framing: Framing,
        pause: Option<Duration>,
    ) -> io::Result<()> {
        let mut bytes = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
        for piece in body.chunks(PIECE) {
            if framing == Framing::Chunks {
                bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            }
            bytes.extend_from_slice(piece);
            if framing == Framing::Chunks {
                bytes.extend_from_slice(b"\r\n");
            }
            stream.write_all(&bytes).await?;
            bytes.clear();
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
        if framing == Framing::Chunks {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

struct WaitingGuard<'a>(&'a AtomicU64);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length,
    Chunks,
    ToEnd,
}

enum Next {
    KeepOpen,
    Close,
    Reset,
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Connections that fill a line of the shortest length.
async fn fill_line(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        if let Ok(Ok(filler)) = timeout(Duration::from_millis(30), TcpStream::connect(address)).await {
            fillers.push(filler);
        }
    }
    fillers
}
