//! A test harness for one gateway: passes events to it, records its actions and fires its timers on a clock
//! that the test moves.
#![allow(dead_code)]

use caperwind::*;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SEC: Micros = 1_000_000;

/// A gateway with its clock, its timers and the properties of the requests that it gets.
pub struct Harness {
    pub gateway: Gateway,
    /// The time on the event clock, from 100 s.
    pub now: Micros,
    /// The actions of the gateway since its start or since the test last took or cleared them.
    pub actions: Vec<Action>,
    /// The timers that are set: when each fires, and its token.
    timers: Vec<(Micros, TimerToken)>,
    /// The time from the arrival of a request to its deadline.
    pub request_timeout: Micros,
    /// The number of gateways that the requests of a customer come through.
    pub spread: f64,
    /// The index of the plan of all customers.
    pub plan: u16,
}

/// Returns the id of backend `n`.
pub fn backend_id(n: u8) -> BackendId {
    BackendId { address: [10, 0, 0, n], port: 7000 }
}

/// Returns the settings of one of two gateways with a shared counter, one class and one plan: a rate of 4
/// units/s and a burst of 8 units.
pub fn config() -> Config {
    Config {
        gateways: 2,
        classes: vec![Class::pure("read", SEC, 2 * SEC)],
        plans: vec![Plan::with_rate("plan", 4.0, 8.0)],
        counter: Some(CounterSettings { timeout: 50 * MS, call_price: 0.01 }),
        ..Config::default()
    }
}

/// Returns [`config`] with one class, which has this effect.
pub fn with_effect(effect: Effect) -> Config {
    Config { classes: vec![Class { effect, ..Class::pure("c", SEC, 2 * SEC) }], ..config() }
}

impl Harness {
    /// Starts a gateway that knows `backends` backends, all ready.
    pub fn new(config: Config, backends: u8) -> Self {
        let gateway = Gateway::new(config, 1).expect("valid settings");
        let (actions, timers) = (Vec::new(), Vec::new());
        let mut harness = Harness {
            gateway,
            now: 100 * SEC,
            actions,
            timers,
            request_timeout: 2 * SEC,
            spread: 2.0,
            plan: 0,
        };
        let rows = (0..backends).map(|n| BackendRow::new(backend_id(n), BackendState::Ready)).collect();
        harness.feed(Event::Backends { kind: ListKind::Cached, version: 1, rows });
        harness
    }

    /// Passes an event to the gateway and returns the resulting actions.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { token, after } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Moves the clock forward by `span`, firing timers in order, and returns the resulting actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((fires_at, token)) if fires_at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(fires_at);
                    actions.extend(self.feed(Event::Timer { token }));
                }
                _ => break,
            }
        }
        self.now = end;
        actions
    }

    /// A request of one unit and class 0 arrives. Returns the resulting actions.
    pub fn request(&mut self, id: u32, customer: u64) -> Vec<Action> {
        self.request_units(id, customer, 1.0)
    }

    /// A request of `units` units and class 0 arrives. Returns the resulting actions.
    pub fn request_units(&mut self, id: u32, customer: u64, units: f64) -> Vec<Action> {
        self.request_with(id, customer, 0, units)
    }

    /// A request of one unit and this class arrives. Returns the resulting actions.
    pub fn request_class(&mut self, id: u32, customer: u64, class: usize) -> Vec<Action> {
        self.request_with(id, customer, class, 1.0)
    }

    fn request_with(&mut self, id: u32, customer: u64, class: usize, units: f64) -> Vec<Action> {
        self.feed(Event::Request(Arrival {
            id: RequestId(id),
            class: ClassIndex(class as _),
            plan: PlanIndex(self.plan),
            customer: CustomerId(customer),
            deadline: self.now + self.request_timeout,
            units,
            spread: self.spread,
            first_gateway: 0.0,
            client_repeat: false,
            write: false,
            body_pending: false,
        }))
    }

    /// An attempt ends after `elapsed_ms` milliseconds, and the backend reports neither its load nor a cost.
    /// Returns the resulting actions.
    pub fn end_attempt(
        &mut self,
        id: u32,
        attempt: u8,
        backend: BackendId,
        outcome: Outcome,
        elapsed_ms: u64,
    ) -> Vec<Action> {
        self.attempt_ended(AttemptResult {
            id: RequestId(id),
            attempt: AttemptIndex(attempt),
            backend,
            outcome,
            elapsed: elapsed_ms * MS,
            request_done: outcome == Outcome::Ok,
            quota_use: None,
            billed_units: None,
            load: LoadReport::default(),
            body_consumed: false,
        })
    }

    /// An attempt ends with this result. Returns the resulting actions.
    pub fn attempt_ended(&mut self, result: AttemptResult) -> Vec<Action> {
        self.feed(Event::AttemptEnded(result))
    }

    /// A counter call ends after 2 ms. Returns the resulting actions.
    pub fn counter_call_ended(&mut self, key: CounterKey, result: CounterResult) -> Vec<Action> {
        self.feed(Event::CounterCallEnded { key, result, elapsed: 2 * MS })
    }
}

/// Returns the attempts that are sent: request and backend.
pub fn sent(actions: &[Action]) -> Vec<(u32, BackendId)> {
    let pick = |action: &Action| match action {
        Action::Send { id, backend, .. } => Some((id.0, *backend)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Returns the calls to the counter: key and units to add.
pub fn counter_calls(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    let pick = |action: &Action| match action {
        Action::CallCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Returns the requests that are refused or failed, and whether they are refused.
pub fn final_answers(actions: &[Action]) -> Vec<(u32, bool)> {
    let pick = |action: &Action| match action {
        Action::Refuse { id, .. } => Some((id.0, true)),
        Action::Fail { id } => Some((id.0, false)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
