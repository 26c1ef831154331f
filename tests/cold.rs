//! Tests of rule 4 over all gateways together: what a cold backend gets in any collapse span
//! (`collapse_after`) stays within the N requests of mean work that the settings allow, plus 2 x sqrt(N) + 2
//! for chance. A fleet is simulated on a clock that the test moves; settings, load, traffic and failures are
//! drawn from seeds. `COLD_DRAWS=10` runs ten times as many draws.

use caperwind::*;
use fastrand::Rng;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
/// A gateway counts as informed of a backend's start after this time, whether or not the update has arrived.
const INFORMED_AFTER: Micros = 6 * SEC;
/// The work of a probe, in requests of mean work.
const PROBE_WORK: f64 = 0.1;
/// The network delay of a response or of a refused connection.
const NETWORK_DELAY: Micros = MS;
/// The number of requests of mean work queued per core above which a backend answers `full`.
const MAX_QUEUE_PER_CORE: Micros = 10;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// Some backends restart at once.
    Restart,
    /// Six to nine in ten backends are replaced by others within 7 s.
    Replace,
    /// Some backends restart, and each gateway is killed 0.2 to 3 s later and comes back within 0.5 s.
    GatewaysKilled,
    /// Some backends restart while some of the others hang, which causes time-outs, hedges and retries.
    BackendsHang,
    /// Some backends are disabled by an operator, restart and are enabled again; lists show the restart up to
    /// 12 s late.
    DisabledByOperator,
    /// Some backends restart, and some gateways learn of it late.
    LateUpdates,
    /// Some backends restart at a low load, which a burst ends.
    Burst,
    /// Some backends are down for 5 s and return cold.
    Outage,
}

/// A scheduled event of the simulation. Gateways and backends are given by index.
enum SimEvent {
    /// A client's request arrives.
    Arrival,
    /// A timer expires: gateway, its generation, token.
    Timer(usize, u32, TimerToken),
    /// An attempt ends: gateway, request, attempt, outcome.
    AttemptEnds(usize, u32, u8, Outcome),
    /// A probe ends: gateway, its generation, backend, outcome.
    ProbeEnds(usize, u32, usize, Outcome),
    /// A backend goes up (true) or down.
    BackendUp(usize, bool),
    /// A backend begins to hang (true) or works again.
    BackendHangs(usize, bool),
    /// A gateway gets a row of the list of backends.
    ListUpdate(usize, BackendRow),
    /// A gateway goes up (true) or down.
    GatewayUp(usize, bool),
    /// An operator disables (true) or enables a backend at a gateway: gateway, backend.
    BackendDisabled(usize, usize, bool),
    /// The load changes to this fraction of the fleet's capacity.
    Load(f64),
    /// The traffic weights of the gateways are shuffled.
    ShuffleTraffic,
}

/// A request or probe that a backend received: when, its work in requests of mean work, and whether its
/// gateway had been informed of the backend's start.
type Received = (Micros, f64, bool);

struct SimBackend {
    row: BackendRow,
    up: bool,
    hangs: bool,
    /// When each core has finished its queue.
    cores: Vec<Micros>,
    /// What it received since its last start.
    received: Vec<Received>,
}

struct SimGateway {
    /// The gateway, unless it is down.
    process: Option<Gateway>,
    /// The number of its starts and stops, which identifies the events of its present process.
    generation: u32,
    /// Its part of the traffic, relative to the others.
    traffic_weight: f64,
    /// The list of backends as its discovery agent has it, which outlives the process.
    list: BTreeMap<BackendId, BackendRow>,
    /// When this agent learnt of each start, by backend and time of the start.
    informed_at: BTreeMap<(BackendId, Micros), Micros>,
}

struct Simulation {
    rng: Rng,
    config: Config,
    now: Micros,
    /// The scheduled events, by time and sequence number.
    events: BTreeMap<(Micros, u64), SimEvent>,
    /// The last sequence number.
    sequence: u64,
    gateways: Vec<SimGateway>,
    backends: Vec<SimBackend>,
    /// The attempts in flight: gateway, request and attempt; backend, the gateway's generation and when it
    /// was sent.
    in_flight: BTreeMap<(usize, u32, u8), (usize, u32, Micros)>,
    /// The number of attempts of each request.
    attempts: BTreeMap<u32, u8>,
    /// The mean work of a request, in microseconds of a core at full capacity.
    mean_work_us: f64,
    /// The load, as a fraction of the capacity of [`Simulation::cores`].
    load: f64,
    /// The number of cores of the fleet.
    cores: f64,
    /// The number of attempts sent.
    attempts_sent: u32,
    /// The number of requests that have arrived, and the id of the last one.
    requests: u32,
}

/// The collapse span of a simulation in which a cold backend received most, relative to its bound.
#[derive(Clone, Copy, Debug, Default)]
struct WorstSpan {
    /// The work received, divided by the bound.
    ratio: f64,
    /// The work received, in requests of mean work.
    sum: f64,
    /// The work that the settings allow, in requests of mean work.
    allowed: f64,
    /// The end of the span, from the start of the backend.
    end: Micros,
    backend: usize,
}

/// The results of a simulation.
struct Measurement {
    /// The worst span by what all gateways sent.
    from_all: WorstSpan,
    /// The worst span by what the gateways sent that had been informed of the start.
    from_informed: WorstSpan,
    /// The number of spans with more work than the bound, over two thirds of it from informed gateways.
    violations: usize,
    /// The used fraction of the capacity of cold backends, divided by that of warm ones.
    relative_use: f64,
}

impl std::fmt::Display for WorstSpan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (end_s, WorstSpan { sum, allowed, backend, .. }) = (self.end as f64 / SEC as f64, *self);
        write!(
            f,
            "{sum:.1} requests to backend {backend} in the span up to {end_s:.2} s after its start, \
             {allowed:.1} allowed"
        )
    }
}

fn backend_id(index: usize) -> BackendId {
    BackendId { address: [10, 0, (index / 250) as u8, (index % 250) as u8], port: 7000 }
}

impl Simulation {
    fn new(
        gateway_count: usize,
        backend_count: usize,
        even: bool,
        rng: Rng,
        config: Config,
        mean_work_us: f64,
    ) -> Self {
        let row = |n| BackendRow::new(backend_id(n), BackendState::Ready);
        let sim_backend =
            |n| SimBackend { row: row(n), up: true, hangs: false, cores: vec![0; 2], received: Vec::new() };
        let sim_gateway = |n: usize| SimGateway {
            process: None,
            generation: 0,
            // Some gateways get several times the mean traffic.
            traffic_weight: if even { 1.0 } else { (n as f64 + 1.0).powf(-0.5) },
            list: (0..backend_count).map(|n| (backend_id(n), row(n))).collect(),
            informed_at: BTreeMap::new(),
        };
        let gateways = (0..gateway_count).map(sim_gateway).collect();
        let mut simulation = Simulation {
            rng,
            config: Config { gateways: gateway_count as u32, ..config },
            now: 100 * SEC,
            events: BTreeMap::new(),
            sequence: 0,
            gateways,
            backends: (0..backend_count).map(sim_backend).collect(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            mean_work_us,
            load: 0.0,
            cores: 2.0 * backend_count as f64,
            attempts_sent: 0,
            requests: 0,
        };
        simulation.shuffle_traffic();
        (0..gateway_count).for_each(|gateway| simulation.start_gateway(gateway));
        simulation.schedule(0, SimEvent::Arrival);
        simulation
    }

    /// Schedules an event after `wait`.
    fn schedule(&mut self, wait: Micros, event: SimEvent) {
        self.sequence += 1;
        self.events.insert((self.now + wait, self.sequence), event);
    }

    /// Shuffles the traffic weights, so that other gateways are busy.
    fn shuffle_traffic(&mut self) {
        let mut weights: Vec<f64> = self.gateways.iter().map(|gateway| gateway.traffic_weight).collect();
        self.rng.shuffle(&mut weights);
        self.gateways
            .iter_mut()
            .zip(weights)
            .for_each(|(gateway, traffic_weight)| gateway.traffic_weight = traffic_weight);
    }

    /// Starts the process of a gateway.
    fn start_gateway(&mut self, gateway: usize) {
        let config = Config { own_index: GatewayIndex(gateway as u32), ..self.config.clone() };
        self.gateways[gateway].process =
            Some(Gateway::new(config, self.rng.u64(..)).expect("valid settings"));
        self.gateways[gateway].generation += 1;
        let rows = self.gateways[gateway].list.values().copied().collect();
        self.feed(gateway, Event::Backends { kind: ListKind::Cached, version: 1, rows });
    }

    /// Returns the fraction of its capacity that a backend has at the time `at` according to the settings.
    fn capacity_fraction(&self, row: &BackendRow, at: Micros) -> f64 {
        let (cold_capacity, warm_up) = (self.config.cold_capacity, self.config.warm_up as f64);
        let age = at.saturating_sub(row.started_at) as f64;
        if row.started_at == 0 {
            1.0
        } else {
            (cold_capacity + (1.0 - cold_capacity) * age / warm_up).min(1.0)
        }
    }

    /// Passes an event to a gateway if it is up and carries out the resulting actions.
    fn feed(&mut self, gateway: usize, event: Event) {
        let (now, mut actions) = (self.now, Vec::new());
        let Some(process) = &mut self.gateways[gateway].process else { return };
        process.handle(now, event, &mut actions);
        let generation = self.gateways[gateway].generation;
        for action in actions {
            match action {
                Action::SetTimer { token, after } => {
                    self.schedule(after, SimEvent::Timer(gateway, generation, token))
                }
                Action::Send { id, backend, .. } => self.send(gateway, id.0, backend),
                Action::Cancel { id, attempt } => self.schedule(
                    NETWORK_DELAY,
                    SimEvent::AttemptEnds(gateway, id.0, attempt.0, Outcome::Cancelled),
                ),
                Action::Probe { backend } => {
                    let index = self.backend_index(backend);
                    let end = self.add_work(gateway, index, PROBE_WORK);
                    let (wait, outcome) = end.unwrap_or((SEC, Outcome::Timeout));
                    self.schedule(wait, SimEvent::ProbeEnds(gateway, generation, index, outcome));
                }
                _ => {}
            }
        }
    }

    /// Returns the index of a backend.
    fn backend_index(&self, backend: BackendId) -> usize {
        usize::from(backend.address[2]) * 250 + usize::from(backend.address[3])
    }

    /// Sends an attempt.
    fn send(&mut self, gateway: usize, request: u32, backend: BackendId) {
        let index = self.backend_index(backend);
        let attempt_count = self.attempts.entry(request).or_default();
        let attempt = std::mem::replace(attempt_count, *attempt_count + 1);
        self.attempts_sent += 1;
        self.in_flight
            .insert((gateway, request, attempt), (index, self.gateways[gateway].generation, self.now));
        let work = 0.4 + 1.2 * self.rng.f64();
        if let Some((wait, outcome)) = self.add_work(gateway, index, work) {
            self.schedule(wait, SimEvent::AttemptEnds(gateway, request, attempt, outcome));
        }
    }

    /// Gives `work` (in requests of mean work) from a gateway to a backend. Returns the time until it ends
    /// and how it ends, or `None` if it never does.
    fn add_work(&mut self, gateway: usize, index: usize, work: f64) -> Option<(Micros, Outcome)> {
        let (now, row) = (self.now, self.backends[index].row);
        if !self.backends[index].up {
            return Some((NETWORK_DELAY, Outcome::ConnectFailed));
        }
        let informed =
            self.gateways[gateway].informed_at.get(&(row.backend, row.started_at)).is_some_and(|t| *t <= now);
        let informed = informed || row.started_at == 0 || now >= row.started_at + INFORMED_AFTER;
        let speed = self.capacity_fraction(&row, now);
        let receiver = &mut self.backends[index];
        receiver.received.push((now, work, informed));
        if receiver.hangs {
            return None;
        }
        let core = receiver.cores.iter_mut().min().expect("a backend has cores");
        if core.saturating_sub(now) > MAX_QUEUE_PER_CORE * self.mean_work_us as Micros {
            return Some((2 * NETWORK_DELAY, Outcome::Full));
        }
        *core = now.max(*core) + (work * self.mean_work_us / speed) as Micros;
        Some((*core - now + 2 * NETWORK_DELAY, Outcome::Ok))
    }

    /// Runs the simulation until the time `until`.
    fn run_until(&mut self, until: Micros) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.apply(event);
        }
        self.now = until;
    }

    /// Carries out a scheduled event.
    fn apply(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => {
                let rate = (self.load * self.cores / self.mean_work_us).max(1e-9);
                let wait = (-(1.0 - self.rng.f64()).ln() / rate).min(1e9);
                self.schedule(wait as Micros, SimEvent::Arrival);
                if self.load > 0.0 {
                    self.request_arrives();
                }
            }
            SimEvent::Timer(gateway, generation, token)
                if self.gateways[gateway].generation == generation =>
            {
                self.feed(gateway, Event::Timer { token })
            }
            SimEvent::AttemptEnds(gateway, request, attempt, outcome) => {
                let Some((index, generation, sent)) = self.in_flight.remove(&(gateway, request, attempt))
                else {
                    return;
                };
                if self.gateways[gateway].generation == generation {
                    self.feed(
                        gateway,
                        Event::AttemptEnded(AttemptResult {
                            id: RequestId(request),
                            attempt: AttemptIndex(attempt),
                            backend: backend_id(index),
                            outcome,
                            elapsed: self.now - sent,
                            request_done: outcome == Outcome::Ok,
                            quota_use: None,
                            billed_units: None,
                            load: LoadReport::default(),
                            body_consumed: false,
                        }),
                    );
                }
            }
            SimEvent::ProbeEnds(gateway, generation, index, outcome)
                if self.gateways[gateway].generation == generation =>
            {
                let (backend, load) = (backend_id(index), LoadReport::default());
                self.feed(gateway, Event::Probed { backend, outcome, elapsed: NETWORK_DELAY, load });
            }
            SimEvent::BackendUp(index, up) => {
                let (now, backend) = (self.now, &mut self.backends[index]);
                (backend.up, backend.hangs) = (up, false);
                backend.cores.fill(now);
                if up {
                    (backend.row.started_at, backend.row.state) = (now, BackendState::Ready);
                    backend.received.clear();
                }
                let broken: Vec<_> =
                    self.in_flight.iter().filter(|o| o.1 .0 == index).map(|o| *o.0).collect();
                broken.into_iter().for_each(|(gateway, request, attempt)| {
                    self.schedule(0, SimEvent::AttemptEnds(gateway, request, attempt, Outcome::Reset))
                });
            }
            SimEvent::BackendHangs(index, hanging) => self.backends[index].hangs = hanging,
            SimEvent::ListUpdate(gateway, row) => {
                self.gateways[gateway].list.insert(row.backend, row);
                self.gateways[gateway].informed_at.insert((row.backend, row.started_at), self.now);
                self.feed(gateway, Event::Backends { kind: ListKind::Delta, version: 2, rows: vec![row] });
            }
            SimEvent::GatewayUp(gateway, true) => self.start_gateway(gateway),
            SimEvent::GatewayUp(gateway, false) => {
                self.gateways[gateway].process = None;
                self.gateways[gateway].generation += 1;
            }
            SimEvent::BackendDisabled(gateway, index, disabled) => {
                self.feed(gateway, Event::BackendDisabled { backend: backend_id(index), disabled })
            }
            SimEvent::Load(load) => self.load = load,
            SimEvent::ShuffleTraffic => self.shuffle_traffic(),
            _ => {}
        }
    }

    /// A client's request arrives at a gateway drawn by its traffic weight.
    fn request_arrives(&mut self) {
        let up = |candidate: &&SimGateway| candidate.process.is_some();
        let mut remaining_weight = self.rng.f64()
            * self.gateways.iter().filter(up).map(|candidate| candidate.traffic_weight).sum::<f64>();
        let drawn = self.gateways.iter().position(|candidate| {
            remaining_weight -= if candidate.process.is_some() { candidate.traffic_weight } else { 0.0 };
            candidate.process.is_some() && remaining_weight <= 0.0
        });
        let Some(gateway) = drawn else { return };
        self.requests += 1;
        let request = self.requests;
        let deadline = self.now + 2 * SEC;
        self.feed(
            gateway,
            Event::Request(Arrival {
                id: RequestId(request),
                class: ClassIndex(0),
                plan: PlanIndex(0),
                customer: CustomerId(u64::from(request)),
                deadline,
                units: 1.0,
                spread: f64::from(self.config.gateways),
                first_gateway: 0.0,
                client_repeat: false,
                write: false,
                body_pending: false,
            }),
        );
        for attempt in 0..4 {
            self.schedule(2 * SEC, SimEvent::AttemptEnds(gateway, request, attempt, Outcome::Timeout));
        }
    }

    /// Discovery announces this row at the time `at`; each gateway gets it within `max_delay`.
    fn announce(&mut self, at: Micros, row: BackendRow, max_delay: Micros) {
        for gateway in 0..self.gateways.len() {
            let delay = at - self.now + self.rng.u64(0..=max_delay);
            self.schedule(delay, SimEvent::ListUpdate(gateway, row));
        }
    }

    /// Restarts a backend after `wait`; it is up at once. Gateways learn of it within `max_list_delay`.
    fn restart(&mut self, index: usize, wait: Micros, max_list_delay: Micros) {
        self.schedule(wait, SimEvent::BackendUp(index, true));
        let at = self.now + wait;
        self.announce(at, BackendRow { started_at: at, ..self.backends[index].row }, max_list_delay);
    }

    /// Schedules the events of a scenario from now on.
    fn begin_scenario(&mut self, scenario: Scenario) {
        let backend_count = self.backends.len();
        let cold_part = 0.2 + 0.4 * self.rng.f64();
        let cold_count = ((cold_part * backend_count as f64) as usize).max(1);
        match scenario {
            Scenario::Restart => (0..cold_count).for_each(|index| self.restart(index, 0, 50 * MS)),
            Scenario::Replace => {
                let replaced_count = ((0.6 + 0.3 * self.rng.f64()) * backend_count as f64) as usize;
                for index in 0..replaced_count {
                    let leaves_after = self.rng.u64(0..7 * SEC);
                    let new_index = self.backends.len();
                    let row = BackendRow::new(backend_id(new_index), BackendState::Ready);
                    self.backends.push(SimBackend {
                        row,
                        up: false,
                        hangs: false,
                        cores: vec![0; 2],
                        received: Vec::new(),
                    });
                    let draining_row =
                        BackendRow { state: BackendState::Draining, ..self.backends[index].row };
                    let draining_at = self.now + leaves_after;
                    self.announce(draining_at, draining_row, 50 * MS);
                    let joins_after = leaves_after + self.rng.u64(0..SEC);
                    self.restart(new_index, joins_after, 50 * MS);
                }
            }
            Scenario::GatewaysKilled => {
                (0..cold_count).for_each(|index| self.restart(index, 0, 50 * MS));
                for gateway in 0..self.gateways.len() {
                    let killed_after = self.rng.u64(200 * MS..3 * SEC);
                    self.schedule(killed_after, SimEvent::GatewayUp(gateway, false));
                    let up_after = killed_after + self.rng.u64(10 * MS..500 * MS);
                    self.schedule(up_after, SimEvent::GatewayUp(gateway, true));
                }
            }
            Scenario::BackendsHang => {
                (0..cold_count).for_each(|index| self.restart(index, 0, 50 * MS));
                let hanging = cold_count..(cold_count + backend_count / 5).min(backend_count);
                hanging.for_each(|index| self.schedule(0, SimEvent::BackendHangs(index, true)));
            }
            Scenario::DisabledByOperator => {
                for index in 0..cold_count {
                    let (enabled_after, max_list_delay) = (3 * SEC, self.rng.u64(0..12 * SEC));
                    for gateway in 0..self.gateways.len() {
                        let (disabled_after, delay) = (self.rng.u64(0..500 * MS), self.rng.u64(0..200 * MS));
                        self.schedule(disabled_after, SimEvent::BackendDisabled(gateway, index, true));
                        self.schedule(
                            enabled_after + delay,
                            SimEvent::BackendDisabled(gateway, index, false),
                        );
                    }
                    let restarted_after = enabled_after - self.rng.u64(0..2 * SEC);
                    self.restart(index, restarted_after, max_list_delay);
                }
            }
            Scenario::LateUpdates => {
                let max_list_delay = self.rng.u64(SEC..8 * SEC);
                (0..cold_count).for_each(|index| self.restart(index, 0, max_list_delay));
            }
            Scenario::Burst => {
                let load = self.load;
                self.load = 0.02;
                (0..cold_count).for_each(|index| self.restart(index, 0, 50 * MS));
                let low_load_time = self.rng.u64(SEC..9 * SEC);
                self.schedule(low_load_time, SimEvent::Load((1.5 * load).min(1.2)));
            }
            Scenario::Outage => {
                for index in 0..cold_count {
                    self.schedule(0, SimEvent::BackendUp(index, false));
                    self.restart(index, 5 * SEC, 100 * MS);
                }
            }
        }
        let shuffled_after = self.rng.u64(0..2 * SEC);
        self.schedule(shuffled_after, SimEvent::ShuffleTraffic);
    }

    /// Measures every collapse span since `from` that ends when a cold backend receives something.
    fn measure(&self, from: Micros) -> Measurement {
        let mut measurement = Measurement {
            from_all: WorstSpan::default(),
            from_informed: WorstSpan::default(),
            violations: 0,
            relative_use: 0.0,
        };
        let (span, full_rate) = (self.config.collapse_after, 2.0 * SEC as f64 / self.mean_work_us);
        let (mut cold, mut warm) = ([0.0; 2], [0.0; 2]);
        for (index, backend) in self.backends.iter().enumerate().filter(|entry| entry.1.up && !entry.1.hangs)
        {
            let row = &backend.row;
            let usage = if row.started_at > 0 { &mut cold } else { &mut warm };
            let since = from.max(row.started_at);
            let mean_fraction =
                (self.capacity_fraction(row, since) + self.capacity_fraction(row, self.now)) / 2.0;
            // Draining backends get no more requests, so they are left out.
            if row.started_at > 0
                || self.gateways[0].list.get(&row.backend).is_some_and(|listed| listed.state == row.state)
            {
                usage[0] += backend
                    .received
                    .iter()
                    .filter(|received| received.0 >= since)
                    .map(|received| received.1)
                    .sum::<f64>();
                usage[1] += mean_fraction * full_rate * (self.now - since) as f64 / SEC as f64;
            }
            if row.started_at == 0 {
                continue;
            }
            let mut oldest = 0;
            let (mut from_all, mut from_informed) = (0.0, 0.0);
            for &(at, work, informed) in &backend.received {
                from_all += work;
                from_informed += if informed { work } else { 0.0 };
                while backend.received[oldest].0 + span <= at {
                    let (_, work, informed) = backend.received[oldest];
                    from_all -= work;
                    from_informed -= if informed { work } else { 0.0 };
                    oldest += 1;
                }
                let span_start = at.saturating_sub(span).max(row.started_at);
                let fraction =
                    (self.capacity_fraction(row, span_start) + self.capacity_fraction(row, at)) / 2.0;
                if at >= row.started_at + self.config.warm_up {
                    break;
                }
                let allowed = self.config.collapse_multiple * fraction * full_rate * span as f64 / SEC as f64;
                let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
                for (worst, sum) in
                    [(&mut measurement.from_all, from_all), (&mut measurement.from_informed, from_informed)]
                {
                    if sum / bound > worst.ratio {
                        *worst = WorstSpan {
                            ratio: sum / bound,
                            sum,
                            allowed,
                            end: at - row.started_at,
                            backend: index,
                        };
                    }
                }
                measurement.violations +=
                    usize::from(from_all > bound && from_informed > from_all * 2.0 / 3.0);
            }
        }
        measurement.relative_use = (cold[0] / cold[1]) / (warm[0] / warm[1]);
        measurement
    }
}

/// Runs a scenario in a fleet whose settings, load and traffic are drawn from `seed`. `even` tells whether
/// all gateways get the same traffic.
fn run_scenario(scenario: Scenario, gateways: usize, even: bool, seed: u64) -> Measurement {
    let mut rng = Rng::with_seed(seed);
    let config = Config {
        classes: vec![Class::pure("read", 800 * MS, 2 * SEC)],
        plans: vec![Plan::with_rate("open", 0.0, 0.0)],
        cold_capacity: 0.15 + 0.15 * rng.f64(),
        warm_up: rng.u64(8 * SEC..=25 * SEC),
        collapse_multiple: 1.5 + rng.f64(),
        collapse_after: rng.u64(SEC..=3 * SEC),
        ..Config::default()
    };
    let (backends, mean_work_us) = match gateways {
        1..=3 => (rng.usize(5..15), rng.u64(40 * MS..100 * MS)),
        4..=99 => (rng.usize(10..30), rng.u64(60 * MS..200 * MS)),
        _ => (rng.usize(40..60), rng.u64(100 * MS..300 * MS)),
    };
    // A guess that backends are warm, or an overload of the few that are left, shows only at a high load.
    let min_load =
        if matches!(scenario, Scenario::Replace | Scenario::DisabledByOperator) { 0.8 } else { 0.4 };
    let load = min_load + (0.95 - min_load) * rng.f64();
    let mut simulation = Simulation::new(gateways, backends, even, rng, config, mean_work_us as f64);
    simulation.load = load;
    let [settle_s, span_s] = if gateways > 99 { [3, 7] } else { [4, 10] };
    simulation.run_until(simulation.now + settle_s * SEC);
    let from = simulation.now;
    simulation.begin_scenario(scenario);
    simulation.run_until(from + span_s * SEC);
    simulation.measure(from)
}

/// Runs a scenario for fleets of several sizes. Fails if a cold backend gets more than its bound (with
/// `LateUpdates`: from informed gateways), if informed gateways sent over two thirds of the work in a span
/// that exceeds it, or if the mean relative use of cold backends is below `min_use`.
fn check_scenario(scenario: Scenario, min_use: f64) {
    let draw_factor = std::env::var("COLD_DRAWS").ok().and_then(|v| v.parse::<u64>().ok()).unwrap_or(1);
    let (mut failed, mut all_uses) = (Vec::new(), Vec::new());
    for (gateways, seeds) in [(1, 1..4), (3, 3..6), (20, 1..3), (30, 1..3), (300, 2..3)] {
        let (mut max_ratios, mut over_bound) = ([0.0f64; 2], 0);
        let mut uses = Vec::new();
        for seed in seeds.start..seeds.start + (seeds.end - seeds.start) * draw_factor {
            let even = seed % 2 == 1;
            let measurement = run_scenario(scenario, gateways, even, seed);
            let checked = if scenario == Scenario::LateUpdates {
                measurement.from_informed
            } else {
                measurement.from_all
            };
            max_ratios = [
                max_ratios[0].max(measurement.from_all.ratio),
                max_ratios[1].max(measurement.from_informed.ratio),
            ];
            if checked.ratio > 1.0 || measurement.violations > 0 {
                over_bound += 1;
                let traffic = if even { "even" } else { "uneven" };
                failed.push(format!(
                    "{gateways} gateways, {traffic} traffic, seed {seed}: {checked}, {} violations",
                    measurement.violations
                ));
            }
            uses.push(measurement.relative_use);
        }
        let mean = uses.iter().sum::<f64>() / uses.len() as f64;
        let [from_all, from_informed] = max_ratios;
        println!(
            "{scenario:?}, {gateways} gateways: {over_bound} of {} over the bound, at most {from_all:.2} of \
             it ({from_informed:.2} from informed gateways), relative use {mean:.2}",
            uses.len()
        );
        all_uses.extend(uses);
    }
    let mean = all_uses.iter().sum::<f64>() / all_uses.len() as f64;
    println!("{scenario:?}: relative use {mean:.3}");
    assert!(
        failed.is_empty(),
        "{scenario:?}, {} of {} draws failed:\n{}",
        failed.len(),
        all_uses.len(),
        failed.join("\n")
    );
    assert!(mean >= min_use, "cold backends get {mean:.2} of what warm ones get for the same capacity");
}

#[test]
fn cold_backends_bear_what_all_gateways_send_when_many_join() {
    check_scenario(Scenario::Restart, 0.6);
}

#[test]
fn cold_backends_bear_it_when_most_of_the_fleet_is_replaced() {
    check_scenario(Scenario::Replace, 0.78);
}

#[test]
fn cold_backends_bear_it_when_all_gateways_are_killed() {
    check_scenario(Scenario::GatewaysKilled, 0.5);
}

#[test]
fn cold_backends_bear_it_beside_ones_that_hang() {
    check_scenario(Scenario::BackendsHang, 0.65);
}

#[test]
fn cold_backends_bear_it_when_put_back_by_hand() {
    check_scenario(Scenario::DisabledByOperator, 0.54);
}

#[test]
fn cold_backends_bear_what_those_send_that_were_told_in_time() {
    check_scenario(Scenario::LateUpdates, 0.68);
}

#[test]
fn cold_backends_bear_a_burst_after_a_lull() {
    check_scenario(Scenario::Burst, 0.95);
}

#[test]
fn cold_backends_bear_it_when_a_zone_returns() {
    check_scenario(Scenario::Outage, 0.6);
}
