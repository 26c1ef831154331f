//! The way to the backends: connections kept for reuse, attempts, probes, load reports.

use crate::admission::{Budget, Held};
use crate::config::Setup;
use crate::flow::{gather, Answered, Flow, Gathered, Outbound, Source, Upload, MOST_BODY, SMALL};
use crate::metered::{self, Broken, Link, Meter, SETTLE};
use bytes::Bytes;
use caperwind::{BackendId, LoadField, LoadReport, Outcome};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// An answer in chunks, whose length is not told, is held for so long; what is not whole then is passed on.
const GATHER: Duration = Duration::from_millis(25);
/// A probe unanswered by then has failed.
const PROBE: Duration = Duration::from_millis(250);
/// Idle connections that break at their next request are kept for a shorter time from then on, down to
/// this; it grows back by this factor a second. Danger: backends, or what stands before them, were seen to let
/// go after a tenth of a second; a break after less idleness than this has another reason.
const LEAST_IDLE: Duration = Duration::from_millis(20);
const REGAIN: f64 = 1.1;
/// A figure above this in a load report can't be read for what it is.
const MOST_LOAD: f32 = 1e6;
/// This process, and this machine, is out of descriptors.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const LOAD_HEADER: &str = "x-backend-load";
const BILLED: &str = "billed-units";
const NOT_RUN: &str = "x-unprocessed";
/// Fields that concern one connection only and go no further.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Takes out of a message what concerns its own connection alone, and its framing.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get(CONNECTION).and_then(|v| v.to_str().ok()).map(str::to_owned);
    for name in named.iter().flat_map(|v| v.split(',')) {
        headers.remove(name.trim());
    }
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(*name)));
    headers.remove(CONTENT_LENGTH);
}

struct Peer {
    address: SocketAddr,
    /// In service: neither draining nor gone.
    ready: bool,
    /// Changes with all that makes connections from before useless.
    era: u64,
    idle: Vec<(Conn, Instant)>,
}

/// A connection, counted for as long as it lives.
pub struct Conn {
    link: Link,
    /// Its backend's when it was begun.
    era: u64,
    _seat: Seat,
}

struct Seat(Rc<Cell<usize>>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Connections to all backends.
pub struct Pool {
    peers: RefCell<HashMap<BackendId, Peer>>,
    /// The last era of any backend.
    last_era: Cell<u64>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    /// The longest that a connection may stand idle, as told, and as far as it has proved to hold.
    retire: Duration,
    holds: Cell<Duration>,
    connect: Duration,
    load_fields: Vec<LoadField>,
    /// The most units that a request counts for.
    units_top: f64,
    /// What answers may hold while they are read.
    bodies: Budget,
    /// Out by hand, listed or not.
    barred: RefCell<HashSet<BackendId>>,
    /// Attempts written whole.
    pub tries: Rc<Cell<u64>>,
}

/// What came of an attempt or a probe.
pub struct Finish {
    pub outcome: Outcome,
    pub load: LoadReport,
    /// The true units of what was served, where the answer tells them.
    pub billed: Option<f64>,
    /// The answer, where it was served.
    pub answer: Option<Response<Answered>>,
}

impl From<Outcome> for Finish {
    fn from(outcome: Outcome) -> Self {
        Finish { outcome, load: LoadReport::default(), billed: None, answer: None }
    }
}

/// What is passed on of a client's request.
pub struct Message {
    pub method: Method,
    pub target: hyper::Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// The connection that it came on.
    pub client: Rc<Meter>,
}

/// The client has closed its connection: nothing was sent.
pub struct ClientClosed;

/// A client's body.
pub enum Payload {
    /// With its part of what bodies may hold.
    Whole { body: Bytes, _held: Held },
    /// Still on its way; it can be sent once.
    Coming(Rc<Source>),
}

impl Pool {
    pub fn new(setup: &Setup) -> Rc<Self> {
        Rc::new(Pool {
            peers: RefCell::default(),
            last_era: Cell::new(0),
            open: Rc::default(),
            most: Cell::new(setup.alone.backends),
            retire: setup.idle_retire,
            holds: Cell::new(setup.idle_retire),
            connect: Duration::from_micros(setup.module.connect_timeout),
            load_fields: setup.module.load_fields.clone(),
            units_top: setup.module.units_top.max(1.0),
            bodies: Budget::new(setup.body_bytes),
            barred: RefCell::default(),
            tries: Rc::default(),
        })
    }

    /// Takes in a listed backend; connections to a process that is no more in service are dropped.
    pub fn set(&self, id: BackendId, address: SocketAddr, ready: bool, same_process: bool) {
        let mut peers = self.peers.borrow_mut();
        let new = || Peer { address, ready, era: self.next_era(), idle: Vec::new() };
        let peer = peers.entry(id).or_insert_with(new);
        if !ready || !same_process || peer.address != address {
            self.renew(peer);
        }
        (peer.address, peer.ready) = (address, ready);
    }

    fn next_era(&self) -> u64 {
        self.last_era.set(self.last_era.get() + 1);
        self.last_era.get()
    }

    /// Lets go of all connections to a backend. Danger: attempts that are out hold some, too; these lead to the
    /// process or the machine of before, and must not come back for the new one.
    fn renew(&self, peer: &mut Peer) {
        peer.idle.clear();
        peer.era = self.next_era();
    }

    /// A backend that is no longer listed. Attempts that are out there hold their own connections.
    pub fn forget(&self, id: BackendId) {
        self.peers.borrow_mut().remove(&id);
    }

    pub fn close_idle(&self, id: BackendId) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&id) {
            self.renew(peer);
        }
    }

    /// Lets go of what has stood idle long enough or was closed by the other side.
    pub fn sweep(&self) {
        self.holds.set(self.holds.get().mul_f64(REGAIN).min(self.retire));
        let keep = |c: &(Conn, Instant)| c.0.link.usable() && c.1.elapsed() < self.holds.get();
        self.peers.borrow_mut().values_mut().for_each(|p| p.idle.retain(keep));
    }

    /// Takes a backend out by hand, or back in; connections are kept to none that is out.
    pub fn bar(&self, id: BackendId, out: bool) {
        let mut barred = self.barred.borrow_mut();
        if out {
            barred.insert(id);
            self.close_idle(id);
        } else {
            barred.remove(&id);
        }
    }

    /// The era of a backend in service; `None` for one that is not.
    fn era(&self, id: BackendId) -> Option<u64> {
        let era = self.peers.borrow().get(&id).filter(|p| p.ready).map(|p| p.era);
        era.filter(|_| !self.barred.borrow().contains(&id))
    }

    /// The most recently used idle connection that has settled: the others are left to retire.
    fn reuse(&self, id: BackendId) -> Option<(Conn, Duration)> {
        let mut peers = self.peers.borrow_mut();
        let idle = &mut peers.get_mut(&id)?.idle;
        while let Some(at) = idle.iter().rposition(|(_, since)| since.elapsed() >= SETTLE) {
            let (conn, since) = idle.remove(at);
            let idle = since.elapsed();
            if conn.link.usable() && idle < self.holds.get() {
                return Some((conn, idle));
            }
        }
        None
    }

    /// Drops the longest idle connection; `None` where none is idle.
    fn drop_oldest(&self) -> Option<()> {
        let mut peers = self.peers.borrow_mut();
        let oldest = peers.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1)?;
        oldest.idle.remove(0);
        Some(())
    }

    /// Connections held.
    pub fn held(&self) -> usize {
        self.open.get()
    }

    /// From now on holds so many connections at most, as far as idle ones can make way.
    pub fn hold(&self, most: usize) {
        self.most.set(most);
        while self.open.get() > most && self.drop_oldest().is_some() {}
    }

    /// Room for one more connection; at the bound, the longest idle one makes way.
    fn seat(&self) -> Option<Seat> {
        while self.open.get() >= self.most.get() {
            self.drop_oldest()?;
        }
        self.open.set(self.open.get() + 1);
        Some(Seat(self.open.clone()))
    }

    async fn open(&self, id: BackendId) -> Result<Conn, Outcome> {
        let (address, era) = self.peers.borrow().get(&id).map(|p| (p.address, p.era)).ok_or(Outcome::Moot)?;
        // Danger: want of a descriptor here is no news of the backend, which would be ejected for it.
        let seat = self.seat().ok_or(Outcome::Moot)?;
        match timeout(self.connect, Link::connect(address)).await {
            Ok(Ok(link)) => Ok(Conn { link, era, _seat: seat }),
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => Err(Outcome::Moot),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    pub fn put_back(&self, id: BackendId, conn: Conn) {
        let keep = self.era(id) == Some(conn.era) && conn.link.usable();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&id).filter(|_| keep) {
            peer.idle.push((conn, Instant::now()));
        }
    }

    /// One attempt: the message goes once, over one connection. Dropping the future closes that
    /// connection, which is how an attempt is given up. Its answer is waited for until `last`.
    pub async fn attempt(
        self: &Rc<Self>,
        id: BackendId,
        message: &Message,
        last: &Cell<Instant>,
    ) -> Result<Finish, ClientClosed> {
        // Danger: an attempt that begins after its client has closed is work for nobody, and counts.
        if message.client.peer_closed() {
            return Err(ClientClosed);
        }
        // What can be sent once takes no chance with a connection that may have died unseen.
        let once = matches!(message.body, Payload::Coming(_));
        let mut reused = if once { None } else { self.reuse(id) };
        loop {
            let idle = reused.as_ref().map(|r| r.1);
            let mut conn = match reused.take() {
                Some((conn, _)) => conn,
                None => match self.open(id).await {
                    Ok(_) if message.client.peer_closed() => return Err(ClientClosed),
                    Ok(conn) => conn,
                    Err(outcome) => return Ok(outcome.into()),
                },
            };
            // Danger: the backend may have begun to drain, or be elsewhere, since the connection was begun.
            match self.era(id) {
                None => return Ok(Outcome::Full.into()),
                Some(era) if era != conn.era => continue,
                Some(_) => {}
            }
            let request = message.request(last.get().saturating_duration_since(Instant::now()));
            let (head, before) = (metered::head_length(&request), conn.link.written());
            let length = || message.body.framed().map(|body| head + body);
            match (&message.body, length()) {
                (Payload::Whole { .. }, Some(n)) => conn.link.meter().aim(before + n, self.tries.clone()),
                (Payload::Coming(source), _) => {
                    source.count_in(conn.link.meter(), self.tries.clone(), before + head)
                }
                _ => {}
            }
            match conn.link.send(request, length).await {
                Ok(answer) => {
                    let sent = || message.body.framed().is_some();
                    return Ok(self.read(id, conn, answer, Some(last.get()), sent).await);
                }
                Err(Broken { written: true }) => {
                    // Danger: some let go of an idle connection sooner than they say, and unseen; what is
                    // written to it may have run for all that is known here.
                    self.holds.set(idle.map_or(self.holds.get(), |idle| shorter(self.holds.get(), idle)));
                    return Ok(Outcome::Reset.into());
                }
                // Not a byte went out on a connection that had died unseen: the attempt is yet to begin.
                Err(_) if idle.is_some() && conn.link.written() == before => continue,
                Err(_) => return Ok(Outcome::ConnectFailed.into()),
            }
        }
    }

    /// Reads an answer: to its end where it is small, else its beginning, with the rest to flow. A spoilt one
    /// may have run. One that flows has to end by `flows`. `sent` tells whether all of the request has gone: the connection is of no use before.
    async fn read(
        self: &Rc<Self>,
        id: BackendId,
        conn: Conn,
        answer: Response<Incoming>,
        flows: Option<Instant>,
        sent: impl Fn() -> bool,
    ) -> Finish {
        let (mut head, body) = answer.into_parts();
        let load = self.load(head.headers.get(LOAD_HEADER).map(|v| v.as_bytes()));
        let length = body.size_hint().exact();
        // No end is waited for that can't be kept, and no other protocol follows what was no offer of one.
        if length.is_some_and(|n| n > MOST_BODY) || head.status.is_informational() {
            return Finish { load, ..Outcome::Reset.into() };
        }
        let flows = flows.filter(|_| head.status == StatusCode::OK);
        let small = length.is_none_or(|n| n <= SMALL as u64);
        let most = length.and_then(|n| usize::try_from(n).ok()).unwrap_or(SMALL);
        let held = if small { self.bodies.take(most) } else { None };
        let until = flows.filter(|_| length.is_none()).map(|_| Instant::now() + GATHER);
        let body = match held {
            Some(_) => gather(body, until).await,
            None => Gathered::Part(Bytes::new(), body),
        };
        let not_run = head.headers.get(NOT_RUN).is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            // Danger: without that field a 503 may come from a backend that did the work.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
            _ => Outcome::Error,
        };
        let billed = head.headers.get(BILLED).filter(|_| outcome == Outcome::Ok);
        let billed = billed.and_then(|v| parse_billed(v.to_str().ok()?, self.units_top));
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(LOAD_HEADER);
        let body = match body {
            Gathered::Whole(body) => {
                if sent() {
                    self.put_back(id, conn);
                }
                Either::Left(Full::new(body))
            }
            Gathered::Part(first, rest) => match flows {
                Some(last) => Either::Right(Flow::new(first, rest, last, (self.clone(), id, conn))),
                // What an answer that is none of ours to pass on has to say is not waited for.
                None if outcome != Outcome::Ok => Either::Left(Full::default()),
                None => return Finish { load, ..Outcome::Reset.into() },
            },
            Gathered::Broken => return Finish { load, ..Outcome::Reset.into() },
        };
        let answer = (outcome == Outcome::Ok).then(|| Response::from_parts(head, body));
        Finish { outcome, load, billed, answer }
    }

    /// Asks a backend how it is, over a new connection. Danger: one is probed because it was ejected,
    /// and what was open to it may lead to a machine that was cut off: silent, whatever the new one says.
    pub async fn probe(self: &Rc<Self>, id: BackendId) -> Finish {
        self.close_idle(id);
        let ask = async {
            let mut conn = match self.open(id).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            let request =
                Request::get("/load").header(HOST, "backend.local").body(Either::Left(Full::default()));
            let Ok(request) = request else { return Outcome::Moot.into() };
            let length = metered::head_length(&request);
            let answer = match conn.link.send(request, || Some(length)).await {
                Ok(answer) => answer,
                Err(Broken { written: true }) => return Outcome::Reset.into(),
                Err(_) => return Outcome::ConnectFailed.into(),
            };
            let mut finish = self.read(id, conn, answer, None, || true).await;
            let report = finish.answer.take().filter(|_| finish.load.len == 0);
            if let Some(Either::Left(report)) = report.map(|r| r.into_body()) {
                let text = report.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
                finish.load = self.load(Some(&text));
            }
            finish
        };
        timeout(PROBE, ask).await.unwrap_or_else(|_| Outcome::Timeout.into())
    }

    /// A load report: `TEXT name=value, name=value`. Fields that the settings do not name are passed over.
    fn load(&self, text: Option<&[u8]>) -> LoadReport {
        parse_load(&self.load_fields, text.and_then(|t| std::str::from_utf8(t).ok()).unwrap_or(""))
    }
}

/// How long idle connections are kept once one has broken at its next request after standing idle so long.
pub fn shorter(holds: Duration, idle: Duration) -> Duration {
    if idle < LEAST_IDLE {
        holds
    } else {
        holds.min(LEAST_IDLE.max(idle / 2))
    }
}

/// The units that an answer tells. Danger: what is no amount that a request can take would empty or fill
/// its customer's quota at one stroke; it is passed over, and the guess stands.
pub fn parse_billed(text: &str, most: f64) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|units| (0.0..=most).contains(units))
}

/// A load report: `TEXT name=value, name=value`. Fields that are not asked for are passed over.
pub fn parse_load(fields: &[LoadField], text: &str) -> LoadReport {
    // A value that is not told is no number: the module must not take it for a zero.
    let mut report = LoadReport { len: 0, values: [f32::NAN; 4] };
    let text = text.trim().trim_start_matches("TEXT");
    for (name, value) in text.split([',', ' ']).filter_map(|pair| pair.split_once('=')) {
        let field = match name.trim() {
            "inflight" | "active" => LoadField::Active,
            "queue" | "waiting" => LoadField::Waiting,
            "util" | "cpu" => LoadField::Cpu,
            "latency_ms" | "avg_ms" => LoadField::ServiceMs,
            "qps" | "rps" => LoadField::ServedPerS,
            "eps" | "err_rps" => LoadField::ErrorsPerS,
            _ => continue,
        };
        let place = fields.iter().take(report.values.len()).position(|f| *f == field);
        let value = value.trim().parse::<f32>().ok().filter(|v| (0.0..=MOST_LOAD).contains(v));
        if let (Some(at), Some(value)) = (place, value) {
            report.values[at] = value;
            report.len = report.len.max(at as u8 + 1);
        }
    }
    report
}

impl Payload {
    /// Bytes that it takes on the wire; `None` until that is known.
    fn framed(&self) -> Option<u64> {
        match self {
            Payload::Whole { body, .. } => Some(body.len() as u64),
            Payload::Coming(source) => source.framed(),
        }
    }
}

impl Message {
    /// Whether it can't be sent from its beginning any more.
    pub fn spent(&self) -> bool {
        matches!(&self.body, Payload::Coming(source) if source.begun())
    }

    fn request(&self, left: Duration) -> Request<Outbound> {
        let (body, length) = match &self.body {
            Payload::Whole { body, .. } => (Either::Left(Full::new(body.clone())), Some(body.len() as u64)),
            Payload::Coming(source) => (Either::Right(Upload::new(source.clone())), source.length),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let left_ms = left.as_micros().div_ceil(1000) as u64;
        headers.insert("x-time-left-ms", left_ms.into());
        match length {
            Some(length) if self.method == Method::POST => {
                drop(headers.insert(CONTENT_LENGTH, length.into()))
            }
            Some(_) => {}
            None => drop(headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        }
        request
    }
}
