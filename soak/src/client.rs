//! The clients of the gateways, and the front that distributes their requests over the gateways.

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

/// A client waits this much longer than the time that it states before the answer counts as missing.
const NO_ANSWER_MARGIN: Duration = Duration::from_millis(1_500);
/// The time that a client waits for a long answer, which may go on past the deadline.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The reset that signals unread bytes arrives within this time after the close.
const RESET_WAIT: Duration = Duration::from_millis(15);
/// The time limit for a connection to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of idle connections to one gateway.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// The time that a bad peer waits for the gateway to answer or close its connection. It is longer than the 3 s that the
/// oracle allows, so that a late gateway is seen.
const BAD_PEER_WAIT: Duration = Duration::from_millis(4_000);

/// How the front sends requests to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Admission {
    /// No request is sent.
    Closed,
    /// Requests are sent over existing connections only.
    ExistingConnections,
    /// Requests are sent over existing and new connections.
    Open,
}

/// The rates of unusual client behavior, each per thousand draws.
#[derive(Default)]
pub struct BehaviorRates {
    /// Clients that close the connection while they wait for the answer.
    pub leave_per_mille: AtomicU32,
    /// Clients that stop in the middle of a request and keep the connection open.
    pub stop_per_mille: AtomicU32,
    /// Clients that send many requests at once and close the connection.
    pub flood_per_mille: AtomicU32,
    /// Clients that state a very short time limit.
    pub hurry_per_mille: AtomicU32,
    /// Clients that send long bodies or ask for long answers.
    pub long_bodies_per_mille: AtomicU32,
}

/// How a client handles one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Usual,
    /// The client closes the connection after a while, with a reset if `resets` is set.
    Leaves {
        after: Duration,
        resets: bool,
    },
    /// The client states a very short time limit.
    ShortTimeout,
    /// The client sends the request over a connection that was idle for about as long as a gateway keeps one.
    ReusesIdle,
    /// The client sends a long body; if `slowly` is set, with a pause after each piece.
    Uploads {
        bytes: usize,
        slowly: bool,
    },
    /// The client asks for a long answer, whose pieces the backend sends with this pause.
    Downloads {
        bytes: usize,
        pause_ms: u64,
    },
}

/// The front's view of one gateway.
struct GatewayClient {
    address: SocketAddr,
    /// An [`Admission`].
    admission: AtomicU8,
    idle: Mutex<Vec<PlainStream>>,
}

/// All clients of a run, and the front.
pub struct Clients {
    trace: Arc<Trace>,
    scenario: Arc<Scenario>,
    gateways: Vec<GatewayClient>,
    next_id: AtomicU64,
    /// Requests in flight.
    in_flight: AtomicUsize,
    /// The rates of unusual behavior.
    pub behavior_rates: BehaviorRates,
    /// Set to end the traffic.
    pub stopped: AtomicBool,
    /// Set to end all traffic but that of `run`.
    pub well_formed_only: AtomicBool,
}

/// A request that was drawn and is to be sent.
struct PlannedRequest {
    gateway: usize,
    customer: u64,
    effect: Effect,
    units: u32,
    behavior: Behavior,
}

impl Clients {
    /// Creates the clients of the gateways at these addresses. No gateway is admitted yet.
    pub fn new(trace: Arc<Trace>, scenario: Arc<Scenario>, addresses: &[SocketAddr]) -> Arc<Self> {
        let gateway = |address: &SocketAddr| GatewayClient {
            address: *address,
            admission: AtomicU8::new(Admission::Closed as u8),
            idle: Mutex::default(),
        };
        let next_id = AtomicU64::new(scenario.seed << 32);
        let gateways = addresses.iter().map(gateway).collect();
        let (in_flight, behavior_rates) = (AtomicUsize::new(0), BehaviorRates::default());
        let (stopped, well_formed_only) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Clients {
            trace,
            scenario,
            gateways,
            next_id,
            in_flight,
            behavior_rates,
            stopped,
            well_formed_only,
        })
    }

    /// Sets how requests are sent to a gateway from now on.
    pub fn admit(&self, gateway: usize, admission: Admission) {
        self.gateways[gateway].admission.store(admission as u8, Ordering::Relaxed);
    }

    /// Closes the idle connections to a gateway.
    pub fn drop_connections(&self, gateway: usize) {
        self.idle_connections(gateway).clear();
    }

    fn idle_connections(&self, gateway: usize) -> std::sync::MutexGuard<'_, Vec<PlainStream>> {
        self.gateways[gateway].idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_connect(&self, gateway: usize) -> bool {
        self.gateways[gateway].admission.load(Ordering::Relaxed) == Admission::Open as u8
    }

    /// Whether a request can be sent to a gateway at all.
    fn can_reach(&self, gateway: usize) -> bool {
        self.may_connect(gateway) || !self.idle_connections(gateway).is_empty()
    }

    /// The number of requests in flight.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Sends requests until `stopped` is set. The traffic is an open loop: arrivals are drawn and do not wait for the
    /// answers to earlier requests.
    pub async fn run(self: Arc<Self>, seed: u64) {
        let mut random = Rng::with_seed(seed);
        let traffic = self.scenario.traffic.clone();
        let rate = traffic.usual_rate + traffic.greedy_rate;
        let mut at = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            at += Duration::from_secs_f64(-random.f64().max(1e-9).ln() / rate);
            sleep_until(at).await;
            let greedy = random.f64() * rate < traffic.greedy_rate;
            let Some(planned) = self.plan_request(&mut random, greedy) else { continue };
            let (clients, seed) = (self.clone(), random.u64(..));
            tokio::spawn(async move {
                clients.in_flight.fetch_add(1, Ordering::Relaxed);
                clients.send_with_retry(planned, Rng::with_seed(seed)).await;
                clients.in_flight.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Draws a request. Its gateway is drawn unevenly from those of the customer's set that can be reached; `None` if
    /// none can.
    fn plan_request(&self, random: &mut Rng, greedy: bool) -> Option<PlannedRequest> {
        let gateways = self.gateways.len();
        let customers = self.scenario.traffic.usual_customers;
        let customer = if greedy { GREEDY_CUSTOMER } else { 100 + random.u64(..customers) };
        let (first, spread) = self.gateway_set(customer);
        let reachable = |offset: &usize| self.can_reach((first + offset) % gateways);
        let offsets: Vec<usize> = (0..spread).filter(reachable).collect();
        let skewed = random.f64() * random.f64();
        let offset = offsets.get((skewed * offsets.len() as f64) as usize)?;
        let effect = match random.f64() {
            draw if draw < 0.55 => Effect::Pure,
            draw if draw < 0.8 => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let units = if greedy { 1 } else { random.u32(1..=3) };
        let behavior = if greedy { Behavior::Usual } else { self.draw_behavior(random, effect) };
        Some(PlannedRequest { gateway: (first + offset) % gateways, customer, effect, units, behavior })
    }

    /// The gateways that a customer's requests come through: the first one, and how many from there on.
    fn gateway_set(&self, customer: u64) -> (usize, usize) {
        let first = (customer.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % self.gateways.len();
        (first, self.scenario.traffic.spread)
    }

    /// Draws the behavior of a client; the rates are those at the time.
    fn draw_behavior(&self, random: &mut Rng, effect: Effect) -> Behavior {
        let mut remaining = random.u32(..1000);
        let mut drawn = |rate: &AtomicU32| {
            let per_mille = rate.load(Ordering::Relaxed);
            let drawn = remaining < per_mille;
            remaining = remaining.saturating_sub(per_mille);
            drawn
        };
        if drawn(&self.behavior_rates.leave_per_mille) {
            let after = Duration::from_millis(random.u64(..150));
            return Behavior::Leaves { after, resets: random.bool() };
        }
        if drawn(&self.behavior_rates.hurry_per_mille) {
            return Behavior::ShortTimeout;
        }
        if drawn(&self.behavior_rates.long_bodies_per_mille) {
            let bytes = random.usize(20_000..600_000);
            return match effect {
                Effect::Pure => Behavior::Downloads { bytes, pause_ms: random.u64(..20) },
                _ => Behavior::Uploads { bytes, slowly: random.bool() },
            };
        }
        Behavior::Usual
    }

    /// Opens a connection to a gateway; `None` on an error and after the time limit.
    async fn connect(&self, gateway: usize) -> Option<TcpStream> {
        let connect = TcpStream::connect(self.gateways[gateway].address);
        timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()
    }

    /// Takes an idle connection, or opens one if that is allowed. Also returns whether the connection was used before.
    async fn reuse_or_connect(&self, gateway: usize, random: &mut Rng) -> Option<(PlainStream, bool)> {
        loop {
            let reused = {
                let mut idle = self.idle_connections(gateway);
                let count = idle.len();
                (count > 0).then(|| idle.swap_remove(random.usize(..count)))
            };
            let Some(reused) = reused else { break };
            // A connection that the gateway has closed is not used again.
            match reused.stream.try_read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some((reused, true)),
                _ => {}
            }
        }
        if !self.may_connect(gateway) {
            return None;
        }
        let stream = self.connect(gateway).await?;
        let _ = stream.set_nodelay(true);
        Some((PlainStream::new(stream), false))
    }

    /// Sends a request, and once more if the gateway closed the reused connection while the request was on its way.
    async fn send_with_retry(&self, planned: PlannedRequest, mut random: Rng) {
        let Some((stream, used)) = self.reuse_or_connect(planned.gateway, &mut random).await else { return };
        let end = self.send(&planned, stream, &mut random).await;
        if end == ClientOutcome::Unread && used && self.may_connect(planned.gateway) {
            if let Some(stream) = self.connect(planned.gateway).await {
                self.send(&planned, PlainStream::new(stream), &mut random).await;
            }
        }
    }

    /// The time limit that the client states.
    fn client_timeout(&self, planned: &PlannedRequest, random: &mut Rng) -> Duration {
        let deadlines = self.scenario.settings.deadlines_ms;
        let deadline = deadlines[planned.effect as usize];
        match planned.behavior {
            Behavior::ShortTimeout => Duration::from_millis(random.u64(5..80)),
            _ => Duration::from_millis(deadline),
        }
    }

    /// The head of a request; `length` is that of the body in bytes.
    fn request_head(
        &self,
        planned: &PlannedRequest,
        id: RequestId,
        time_limit: Duration,
        length: usize,
    ) -> String {
        let (method, class, key) = match planned.effect {
            Effect::Pure => ("GET", "search", String::new()),
            Effect::Keyed => ("POST", "update", format!("Idempotency-Key: k{id:x}\r\n")),
            Effect::Unsafe => ("POST", "book", String::new()),
        };
        let query = match planned.behavior {
            Behavior::Downloads { bytes, pause_ms } => format!("?size={bytes}&pause_ms={pause_ms}"),
            _ => String::new(),
        };
        let plan = if planned.customer == GREEDY_CUSTOMER { GREEDY_PLAN.0 } else { USUAL_PLAN.0 };
        let (first, spread) = self.gateway_set(planned.customer);
        let length = if method == "POST" { format!("Content-Length: {length}\r\n") } else { String::new() };
        format!(
            "{method} /{class}/{:016x}{query} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             Plan: {plan}\r\nX-Time-Left-Ms: {}\r\n{key}{length}Quota-Info: units={},spread={spread},first={first}\r\n\r\n",
            planned.customer,
            time_limit.as_millis(),
            planned.units,
        )
    }

    /// Sends one request and waits for its end, which is recorded if the whole request could be written.
    async fn send(
        &self,
        planned: &PlannedRequest,
        mut stream: PlainStream,
        random: &mut Rng,
    ) -> ClientOutcome {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let time_limit = self.client_timeout(planned, random);
        let body = match planned.behavior {
            Behavior::Uploads { bytes, .. } => bytes,
            _ => 64,
        };
        let head = self.request_head(planned, id, time_limit, body);
        let body = vec![b'b'; if planned.effect == Effect::Pure { 0 } else { body }];
        let slowly = matches!(planned.behavior, Behavior::Uploads { slowly: true, .. });
        if let Err(end) = self.write_request(&mut stream, head.as_bytes(), &body, slowly).await {
            // The request was not written in full: no answer is due, though the gateway may have sent one.
            return end;
        }
        let counts_for_recovery = planned.behavior == Behavior::Usual && planned.customer != GREEDY_CUSTOMER;
        let long_answer = matches!(planned.behavior, Behavior::Downloads { .. });
        self.trace.record(Event::RequestSent(SentRequest {
            id,
            gateway: planned.gateway,
            effect: planned.effect,
            customer: planned.customer,
            timeout: time_limit,
            long_answer,
            counts_for_recovery,
        }));
        if let Behavior::Leaves { after, resets } = planned.behavior {
            if let Ok(end) = timeout(after, self.read_answer(id, &mut stream)).await {
                self.trace.record(Event::RequestEnded { id, end: end.clone() });
                return end;
            }
            if resets {
                let _ = stream.stream.set_zero_linger();
            }
            drop(stream);
            self.trace.record(Event::ClientLeft { id });
            self.trace.record(Event::RequestEnded { id, end: ClientOutcome::Left });
            return ClientOutcome::Left;
        }
        let answer_timeout = if long_answer { LONG_ANSWER_TIMEOUT } else { time_limit + NO_ANSWER_MARGIN };
        let end = timeout(answer_timeout, self.read_answer(id, &mut stream))
            .await
            .unwrap_or(ClientOutcome::NoAnswer);
        if matches!(end, ClientOutcome::Answered { .. }) {
            let mut idle = self.idle_connections(planned.gateway);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(stream);
            }
        }
        self.trace.record(Event::RequestEnded { id, end: end.clone() });
        end
    }

    /// Writes a request; a body of more than one piece is written piece by piece. Fails with the end that the error
    /// stands for.
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

    /// Reads the answer to a request and tells how it ended.
    async fn read_answer(&self, id: RequestId, stream: &mut PlainStream) -> ClientOutcome {
        let head = match read_head(stream).await {
            Ok(Some(head)) => head,
            Ok(None) => return classify_close(stream).await,
            Err(e) if stream.buffer().is_empty() && is_reset(&e) => return ClientOutcome::Unread,
            Err(_) => return ClientOutcome::Truncated,
        };
        match read_body(stream, &head, head.status() == 200).await {
            Ok(body) => {
                let body_fits = head.status() != 200 || body.prefix == format!("{id:016x}").into_bytes();
                ClientOutcome::Answered { status: head.status(), body_fits }
            }
            Err(_) => ClientOutcome::Truncated,
        }
    }

    /// Runs peers that send no proper request, as often as the rates say, until `well_formed_only` is set.
    pub async fn run_bad_peers(self: Arc<Self>, seed: u64) {
        let mut random = Rng::with_seed(seed);
        while !self.well_formed_only.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(random.u64(10..60))).await;
            let gateway = random.usize(..self.gateways.len());
            if !self.may_connect(gateway) {
                continue;
            }
            let stops = random.u32(..1000) < self.behavior_rates.stop_per_mille.load(Ordering::Relaxed);
            let floods = random.u32(..1000) < self.behavior_rates.flood_per_mille.load(Ordering::Relaxed);
            let (clients, seed) = (self.clone(), random.u64(..));
            if stops {
                tokio::spawn(async move { clients.stop_in_request(gateway, Rng::with_seed(seed)).await });
            } else if floods {
                tokio::spawn(async move { clients.flood(gateway, Rng::with_seed(seed)).await });
            }
        }
    }

    /// Draws a new id and returns it with the head of a usual request; `bytes` is the length of the body.
    fn usual_request_head(&self, gateway: usize, bytes: usize) -> (RequestId, String) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let planned = PlannedRequest {
            gateway,
            customer: 100 + id % self.scenario.traffic.usual_customers,
            effect: Effect::Unsafe,
            units: 1,
            behavior: Behavior::Usual,
        };
        let time_limit = Duration::from_millis(self.scenario.settings.deadlines_ms[2]);
        (id, self.request_head(&planned, id, time_limit, bytes))
    }

    /// Sends a part of a request, keeps the connection open, and records when the gateway ends it.
    async fn stop_in_request(&self, gateway: usize, mut random: Rng) {
        let Some(stream) = self.connect(gateway).await else { return };
        let (mut stream, began) = (PlainStream::new(stream), Instant::now());
        let (_, head) = self.usual_request_head(gateway, 4096);
        let part = &head.as_bytes()[..random.usize(0..=head.len())];
        let _ = stream.stream.write_all(part).await;
        let ended = timeout(BAD_PEER_WAIT, stream.fill()).await.is_ok();
        let ended_after = ended.then(|| began.elapsed());
        self.trace.record(Event::BadPeer { gateway, ended_after });
    }

    /// Sends several requests at once over one connection and closes it within 40 ms without reading an answer.
    async fn flood(&self, gateway: usize, mut random: Rng) {
        let Some(mut stream) = self.connect(gateway).await else { return };
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for _ in 0..random.usize(2..12) {
            let (id, head) = self.usual_request_head(gateway, 64);
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

    /// Runs clients that send a request over a connection that was idle for `idle_time` or slightly longer, until
    /// `well_formed_only` is set. Near a gateway's idle timeout, the request may cross the close of the connection.
    pub async fn run_idle_reuse(self: Arc<Self>, idle_time: Duration, seed: u64) {
        let mut random = Rng::with_seed(seed);
        while !self.well_formed_only.load(Ordering::Relaxed) {
            let gateway = random.usize(..self.gateways.len());
            sleep(Duration::from_millis(random.u64(20..200))).await;
            if !self.may_connect(gateway) {
                continue;
            }
            let (clients, seed) = (self.clone(), random.u64(..));
            tokio::spawn(
                async move { clients.send_after_idle(gateway, idle_time, Rng::with_seed(seed)).await },
            );
        }
    }

    /// Sends a request over a connection that was idle for `idle_time` and up to 110 ms.
    async fn send_after_idle(&self, gateway: usize, idle_time: Duration, mut random: Rng) {
        let Some((stream, _)) = self.reuse_or_connect(gateway, &mut random).await else { return };
        let jitter = Duration::from_millis(random.u64(..110));
        sleep(idle_time + jitter).await;
        let planned = PlannedRequest {
            gateway,
            customer: 100 + random.u64(..self.scenario.traffic.usual_customers),
            effect: Effect::Unsafe,
            units: 1,
            behavior: Behavior::ReusesIdle,
        };
        self.send(&planned, stream, &mut random).await;
    }
}

fn is_reset(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
}

/// Returns `Unread` if the gateway closed the connection over unread bytes, which a reset follows, else `Closed`.
async fn classify_close(stream: &mut PlainStream) -> ClientOutcome {
    sleep(RESET_WAIT).await;
    match stream.stream.take_error() {
        Ok(Some(e)) if is_reset(&e) => ClientOutcome::Unread,
        _ => ClientOutcome::Closed,
    }
}
