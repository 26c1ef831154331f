//! The clients, and the front that spreads their requests over the gateways.

use crate::http::{read_body, read_head, Buffered, PlainStream};
use crate::scenario::{Scenario, GREEDY_CUSTOMER, GREEDY_PLAN, USUAL_PLAN};
use crate::trace::{ClientOutcome, Effect, Event, RequestId, SentRequest, Trace};
use fastrand::Rng;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A client waits so much longer than it says before it holds an answer to be missing.
const SILENCE: Duration = Duration::from_millis(1_500);
/// An answer that goes on past its time is waited for so long.
const LONG_ANSWER_TIME: Duration = Duration::from_secs(15);
/// After a close, the reset that tells of unread bytes comes within this.
const RESET_FOLLOWS: Duration = Duration::from_millis(15);
/// A connection is given up that is not up by then.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections kept to one gateway.
const MAX_IDLE: usize = 24;
/// Bad peers are owed an end within 3 s; they stay so long.
const BAD_PEER_STAYS: Duration = Duration::from_millis(4_000);

/// Whether the front sends requests to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Admission {
    /// Not at all.
    Closed,
    /// Over connections that are there.
    KeptConnections,
    /// Also over new ones.
    Open,
}

/// What clients do in a thousand requests, beside usual ones.
#[derive(Default)]
pub struct Moods {
    /// They leave while they wait.
    pub leave: AtomicU32,
    /// They stop in the middle of a request.
    pub stop: AtomicU32,
    /// They send much at once and go.
    pub flood: AtomicU32,
    /// They have very little time.
    pub hurry: AtomicU32,
    /// They send or ask for long bodies.
    pub long: AtomicU32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Usual,
    Leaves {
        after: Duration,
        resets: bool,
    },
    Hurries,
    /// It asks on a connection that has rested for long.
    Rests,
    Uploads {
        bytes: usize,
        slowly: bool,
    },
    Downloads {
        bytes: usize,
        pause_ms: u64,
    },
}

struct Gate {
    address: SocketAddr,
    admission: AtomicU8,
    idle: Mutex<Vec<PlainStream>>,
}

/// All clients.
pub struct Clients {
    trace: Arc<Trace>,
    scenario: Arc<Scenario>,
    gates: Vec<Gate>,
    next_id: AtomicU64,
    out: AtomicUsize,
    /// What they do.
    pub moods: Moods,
    /// No more requests are sent.
    pub stopped: AtomicBool,
    /// None but proper requests are sent.
    pub proper_only: AtomicBool,
}

struct Planned {
    gateway: usize,
    customer: u64,
    effect: Effect,
    units: u32,
    manner: Manner,
}

impl Clients {
    /// Clients of the gateways at these addresses, none of which is admitted yet.
    pub fn new(trace: Arc<Trace>, scenario: Arc<Scenario>, addresses: &[SocketAddr]) -> Arc<Self> {
        let gate = |address: &SocketAddr| Gate {
            address: *address,
            admission: AtomicU8::new(Admission::Closed as u8),
            idle: Mutex::default(),
        };
        let next_id = AtomicU64::new(scenario.seed << 32);
        let gates = addresses.iter().map(gate).collect();
        let (out, moods) = (AtomicUsize::new(0), Moods::default());
        let (stopped, proper_only) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Clients { trace, scenario, gates, next_id, out, moods, stopped, proper_only })
    }

    /// Sends requests to a gateway from now on in this way.
    pub fn admit(&self, gateway: usize, admission: Admission) {
        self.gates[gateway].admission.store(admission as u8, Ordering::Relaxed);
    }

    /// Lets go of the connections to a gateway.
    pub fn drop_connections(&self, gateway: usize) {
        self.idle(gateway).clear();
    }

    fn idle(&self, gateway: usize) -> std::sync::MutexGuard<'_, Vec<PlainStream>> {
        self.gates[gateway].idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_open(&self, gateway: usize) -> bool {
        self.gates[gateway].admission.load(Ordering::Relaxed) == Admission::Open as u8
    }

    /// Whether a request can go to a gateway at all.
    fn reachable(&self, gateway: usize) -> bool {
        self.may_open(gateway) || !self.idle(gateway).is_empty()
    }

    /// Requests that are out.
    pub fn out(&self) -> usize {
        self.out.load(Ordering::Relaxed)
    }

    /// Sends requests until stopped: arrivals are drawn, and wait for nobody.
    pub async fn run(self: Arc<Self>, seed: u64) {
        let mut random = Rng::with_seed(seed);
        let traffic = self.scenario.traffic.clone();
        let rate = traffic.usual_rate + traffic.greedy_rate;
        let mut at = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            at += Duration::from_secs_f64(-random.f64().max(1e-9).ln() / rate);
            sleep_until(at).await;
            let greedy = random.f64() * rate < traffic.greedy_rate;
            let Some(planned) = self.plan(&mut random, greedy) else { continue };
            let (clients, seed) = (self.clone(), random.u64(..));
            tokio::spawn(async move {
                clients.out.fetch_add(1, Ordering::Relaxed);
                clients.issue(planned, Rng::with_seed(seed)).await;
                clients.out.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// The gateways of a customer's set that can be reached, one of them chosen unevenly.
    fn plan(&self, random: &mut Rng, greedy: bool) -> Option<Planned> {
        let gateways = self.gates.len();
        let customers = self.scenario.traffic.usual_customers;
        let customer = if greedy { GREEDY_CUSTOMER } else { 100 + random.u64(..customers) };
        let (first, spread) = self.set_of(customer);
        let reachable = |place: &usize| self.reachable((first + place) % gateways);
        let places: Vec<usize> = (0..spread).filter(reachable).collect();
        let uneven = random.f64() * random.f64();
        let place = places.get((uneven * places.len() as f64) as usize)?;
        let effect = match random.f64() {
            lot if lot < 0.55 => Effect::Pure,
            lot if lot < 0.8 => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let units = if greedy { 1 } else { random.u32(1..=3) };
        let manner = if greedy { Manner::Usual } else { self.manner(random, effect) };
        Some(Planned { gateway: (first + place) % gateways, customer, effect, units, manner })
    }

    fn set_of(&self, customer: u64) -> (usize, usize) {
        let first = (customer.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % self.gates.len();
        (first, self.scenario.traffic.spread)
    }

    fn manner(&self, random: &mut Rng, effect: Effect) -> Manner {
        let mut lot = random.u32(..1000);
        let mut drawn = |mood: &AtomicU32| {
            let part = mood.load(Ordering::Relaxed);
            let drawn = lot < part;
            lot = lot.saturating_sub(part);
            drawn
        };
        if drawn(&self.moods.leave) {
            let after = Duration::from_millis(random.u64(..150));
            return Manner::Leaves { after, resets: random.bool() };
        }
        if drawn(&self.moods.hurry) {
            return Manner::Hurries;
        }
        if drawn(&self.moods.long) {
            let bytes = random.usize(20_000..600_000);
            return match effect {
                Effect::Pure => Manner::Downloads { bytes, pause_ms: random.u64(..20) },
                _ => Manner::Uploads { bytes, slowly: random.bool() },
            };
        }
        Manner::Usual
    }

    /// A new connection to a gateway.
    async fn open(&self, gateway: usize) -> Option<TcpStream> {
        let connect = TcpStream::connect(self.gates[gateway].address);
        timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()
    }

    /// Takes a connection that rests, or opens one; also whether it had been used before.
    async fn connection(&self, gateway: usize, random: &mut Rng) -> Option<(PlainStream, bool)> {
        loop {
            let kept = {
                let mut idle = self.idle(gateway);
                let count = idle.len();
                (count > 0).then(|| idle.swap_remove(random.usize(..count)))
            };
            let Some(kept) = kept else { break };
            // One that the gateway has closed is not used again.
            match kept.stream.try_read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some((kept, true)),
                _ => {}
            }
        }
        if !self.may_open(gateway) {
            return None;
        }
        let stream = self.open(gateway).await?;
        let _ = stream.set_nodelay(true);
        Some((PlainStream::new(stream), false))
    }

    async fn issue(&self, planned: Planned, mut random: Rng) {
        let Some((stream, used)) = self.connection(planned.gateway, &mut random).await else { return };
        let end = self.send(&planned, stream, &mut random).await;
        // A request that crossed the end of a resting connection is sent once more.
        if end == ClientOutcome::Unread && used && self.may_open(planned.gateway) {
            if let Some(stream) = self.open(planned.gateway).await {
                self.send(&planned, PlainStream::new(stream), &mut random).await;
            }
        }
    }

    fn wait(&self, planned: &Planned, random: &mut Rng) -> Duration {
        let deadlines = self.scenario.settings.deadlines_ms;
        let deadline = deadlines[planned.effect as usize];
        match planned.manner {
            Manner::Hurries => Duration::from_millis(random.u64(5..80)),
            _ => Duration::from_millis(deadline),
        }
    }

    fn head(&self, planned: &Planned, id: RequestId, wait: Duration, length: usize) -> String {
        let (method, class, key) = match planned.effect {
            Effect::Pure => ("GET", "search", String::new()),
            Effect::Keyed => ("POST", "update", format!("Idempotency-Key: k{id:x}\r\n")),
            Effect::Unsafe => ("POST", "book", String::new()),
        };
        let query = match planned.manner {
            Manner::Downloads { bytes, pause_ms } => format!("?size={bytes}&pause_ms={pause_ms}"),
            _ => String::new(),
        };
        let plan = if planned.customer == GREEDY_CUSTOMER { GREEDY_PLAN.0 } else { USUAL_PLAN.0 };
        let (first, spread) = self.set_of(planned.customer);
        let length = if method == "POST" { format!("Content-Length: {length}\r\n") } else { String::new() };
        format!(
            "{method} /{class}/{:016x}{query} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             Plan: {plan}\r\nX-Time-Left-Ms: {}\r\n{key}{length}Quota-Info: units={},spread={spread},first={first}\r\n\r\n",
            planned.customer,
            wait.as_millis(),
            planned.units,
        )
    }

    /// Sends one request and waits for what comes of it.
    async fn send(&self, planned: &Planned, mut stream: PlainStream, random: &mut Rng) -> ClientOutcome {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let wait = self.wait(planned, random);
        let body = match planned.manner {
            Manner::Uploads { bytes, .. } => bytes,
            _ => 64,
        };
        let head = self.head(planned, id, wait, body);
        let body = vec![b'b'; if planned.effect == Effect::Pure { 0 } else { body }];
        let slowly = matches!(planned.manner, Manner::Uploads { slowly: true, .. });
        if let Err(end) = self.write_request(&mut stream, head.as_bytes(), &body, slowly).await {
            // Not whole: the gateway owes nothing, but may have answered.
            return end;
        }
        let usual = planned.manner == Manner::Usual && planned.customer != GREEDY_CUSTOMER;
        let long_answer = matches!(planned.manner, Manner::Downloads { .. });
        self.trace.record(Event::RequestSent(SentRequest {
            id,
            gateway: planned.gateway,
            effect: planned.effect,
            customer: planned.customer,
            timeout: wait,
            long_answer,
            counts_for_recovery: usual,
        }));
        if let Manner::Leaves { after, resets } = planned.manner {
            if let Ok(answered) = timeout(after, self.answer(id, &mut stream)).await {
                self.trace.record(Event::RequestEnded { id, end: answered.clone() });
                return answered;
            }
            if resets {
                let _ = stream.stream.set_zero_linger();
            }
            drop(stream);
            self.trace.record(Event::ClientLeft { id });
            self.trace.record(Event::RequestEnded { id, end: ClientOutcome::Left });
            return ClientOutcome::Left;
        }
        let patience = if long_answer { LONG_ANSWER_TIME } else { wait + SILENCE };
        let end = timeout(patience, self.answer(id, &mut stream)).await.unwrap_or(ClientOutcome::NoAnswer);
        if matches!(end, ClientOutcome::Answered { .. }) {
            let mut idle = self.idle(planned.gateway);
            if idle.len() < MAX_IDLE {
                idle.push(stream);
            }
        }
        self.trace.record(Event::RequestEnded { id, end: end.clone() });
        end
    }

    async fn write_request(
        &self,
        stream: &mut PlainStream,
        head: &[u8],
        body: &[u8],
        slowly: bool,
    ) -> Result<(), ClientOutcome> {
        let mut message = head.to_vec();
        let pieces: Vec<&[u8]> = body.chunks(16 * 1024).collect();
        if pieces.len() <= 1 {
            message.extend_from_slice(body);
        }
        stream.stream.write_all(&message).await.map_err(|_| ClientOutcome::Unread)?;
        if pieces.len() > 1 {
            for piece in pieces {
                stream.stream.write_all(piece).await.map_err(|_| ClientOutcome::Truncated)?;
                if slowly {
                    sleep(Duration::from_millis(30)).await;
                }
            }
        }
        Ok(())
    }

    /// Reads an answer to its end, whatever that is.
    async fn answer(&self, id: RequestId, stream: &mut PlainStream) -> ClientOutcome {
        let head = match read_head(stream).await {
            Ok(Some(head)) => head,
            Ok(None) => return how_closed(stream).await,
            Err(e) if stream.buffer().is_empty() && is_reset(&e) => return ClientOutcome::Unread,
            Err(_) => return ClientOutcome::Truncated,
        };
        match read_body(stream, &head, head.status() == 200).await {
            Ok(seen) => {
                let body_fits = head.status() != 200 || seen.beginning == format!("{id:016x}").into_bytes();
                ClientOutcome::Answered { status: head.status(), body_fits }
            }
            Err(_) => ClientOutcome::Truncated,
        }
    }

    /// Peers that send no proper request, for as long as clients have that mood.
    pub async fn bad_peers(self: Arc<Self>, seed: u64) {
        let mut random = Rng::with_seed(seed);
        while !self.proper_only.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(random.u64(10..60))).await;
            let gateway = random.usize(..self.gates.len());
            if !self.may_open(gateway) {
                continue;
            }
            let stops = random.u32(..1000) < self.moods.stop.load(Ordering::Relaxed);
            let floods = random.u32(..1000) < self.moods.flood.load(Ordering::Relaxed);
            let (clients, seed) = (self.clone(), random.u64(..));
            if stops {
                tokio::spawn(async move { clients.stop_in_request(gateway, Rng::with_seed(seed)).await });
            } else if floods {
                tokio::spawn(async move { clients.flood(gateway, Rng::with_seed(seed)).await });
            }
        }
    }

    fn some_request(&self, gateway: usize, bytes: usize) -> (RequestId, String) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let planned = Planned {
            gateway,
            customer: 100 + id % self.scenario.traffic.usual_customers,
            effect: Effect::Unsafe,
            units: 1,
            manner: Manner::Usual,
        };
        let wait = Duration::from_millis(self.scenario.settings.deadlines_ms[2]);
        (id, self.head(&planned, id, wait, bytes))
    }

    /// Sends a part of a request, and stays.
    async fn stop_in_request(&self, gateway: usize, mut random: Rng) {
        let Some(stream) = self.open(gateway).await else { return };
        let (mut stream, began) = (PlainStream::new(stream), Instant::now());
        let (_, head) = self.some_request(gateway, 4096);
        let part = &head.as_bytes()[..random.usize(0..=head.len())];
        let _ = stream.stream.write_all(part).await;
        let ended = timeout(BAD_PEER_STAYS, stream.fill()).await.is_ok();
        let ended_after = ended.then(|| began.elapsed());
        self.trace.record(Event::BadPeer { gateway, ended_after });
    }

    /// Sends many requests at once over one connection, and leaves at once.
    async fn flood(&self, gateway: usize, mut random: Rng) {
        let Some(mut stream) = self.open(gateway).await else { return };
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for _ in 0..random.usize(2..12) {
            let (id, head) = self.some_request(gateway, 64);
            bytes.extend_from_slice(head.as_bytes());
            bytes.extend_from_slice(&[b'f'; 64]);
            ids.push(id);
        }
        if stream.write_all(&bytes).await.is_ok() {
            sleep(Duration::from_millis(random.u64(..40))).await;
        }
        if random.bool() {
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        ids.into_iter().for_each(|id| self.trace.record(Event::ClientLeft { id }));
    }

    /// Clients that rest on a connection just as long as a gateway keeps one, and ask then.
    pub async fn resters(self: Arc<Self>, rest: Duration, seed: u64) {
        let mut random = Rng::with_seed(seed);
        while !self.proper_only.load(Ordering::Relaxed) {
            let gateway = random.usize(..self.gates.len());
            sleep(Duration::from_millis(random.u64(20..200))).await;
            if !self.may_open(gateway) {
                continue;
            }
            let (clients, seed) = (self.clone(), random.u64(..));
            tokio::spawn(async move { clients.rest(gateway, rest, Rng::with_seed(seed)).await });
        }
    }

    async fn rest(&self, gateway: usize, rest: Duration, mut random: Rng) {
        let Some((stream, _)) = self.connection(gateway, &mut random).await else { return };
        let off = Duration::from_millis(random.u64(..110));
        sleep(rest + off).await;
        let planned = Planned {
            gateway,
            customer: 100 + random.u64(..self.scenario.traffic.usual_customers),
            effect: Effect::Unsafe,
            units: 1,
            manner: Manner::Rests,
        };
        self.send(&planned, stream, &mut random).await;
    }
}

fn is_reset(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
}

/// Whether a connection that was closed had unread bytes: a reset follows the close then.
async fn how_closed(stream: &mut PlainStream) -> ClientOutcome {
    sleep(RESET_FOLLOWS).await;
    match stream.stream.take_error() {
        Ok(Some(e)) if is_reset(&e) => ClientOutcome::Unread,
        _ => ClientOutcome::Closed,
    }
}
