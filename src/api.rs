//! The types of the decision module's interface: its settings ([`Config`]), its input ([`Event`]) and its
//! output ([`Action`]). Times are microseconds on the caller's monotonic event clock.

use crate::succession::HandoverState;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A point on the event clock, or a duration, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a request of this gateway. Ids are never reused.
    RequestId(u32);
    /// Identifies a customer. Quotas are kept per customer and plan.
    CustomerId(u64);
    /// An index into [`Config::classes`].
    ClassIndex(u16);
    /// An index into [`Config::plans`].
    PlanIndex(u16);
    /// An index into [`Config::zones`].
    ZoneIndex(u8);
    /// An index into [`Config::machine_kinds`].
    MachineKindIndex(u8);
    /// Identifies a cell: a set of backends that share the idempotency keys they have seen.
    CellIndex(u16);
    /// The number of an attempt within its request, from 0 in the order of sending.
    AttemptIndex(u8);
    /// The number of a gateway within the fleet, from 0.
    GatewayIndex(u32);
    /// The key of a number on the shared counter.
    CounterKey(u64);
    /// Identifies a timer. Chosen by the decision module.
    TimerToken(u64);
}

/// Identifies a backend by its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct BackendId {
    /// The IPv4 address, in network byte order.
    pub address: [u8; 4],
    /// The port.
    pub port: u16,
}

/// Whether requests of a class may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Requests may be repeated without limit.
    Pure,
    /// Requests carry an idempotency key: the backends of a group discard repeats for a limited time.
    Keyed {
        /// The backends that discard each other's repeats.
        group: KeyGroup,
        /// How long they remember a key, from the sending of the first attempt that may have run.
        window: Micros,
    },
    /// Requests must never run twice.
    Unsafe,
}

/// The backends that discard repeats of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyGroup {
    /// All backends.
    All,
    /// The backends in the zone of the first attempt's backend.
    Zone,
    /// The backends in the cell of the first attempt's backend.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name, used in messages and to compare the settings of two processes.
    pub name: String,
    /// A response within this time earns the full worth.
    pub target_latency: Micros,
    /// The target latency grows by this multiple of the request's own service time.
    pub target_stretch: f64,
    /// How long a client waits in total, over all its tries.
    pub deadline: Micros,
    /// The worth of a request answered within the target latency.
    pub worth: f64,
    /// The fraction of the worth that a response earns between target latency and deadline.
    pub late_worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Whether the response is streamed.
    pub stream: bool,
}

impl Class {
    /// Returns a class of requests that may be repeated, with a worth of 1 and nothing for late responses.
    pub fn pure(name: &str, target_latency: Micros, deadline: Micros) -> Self {
        Class {
            name: name.into(),
            target_latency,
            target_stretch: 0.0,
            deadline,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Pure,
            stream: false,
        }
    }
}

/// A plan: the quotas of each of its customers, over all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The name, used in messages and to match the plans of two processes.
    pub name: String,
    /// The sustained rate in units per second; 0 for no rate quota.
    pub rate: f64,
    /// The capacity of the quota in units; it starts full.
    pub burst: f64,
    /// The largest number of concurrent attempts; 0 for no such quota.
    pub max_concurrent: u32,
    /// A factor on the worth of this plan's requests.
    pub price: f64,
    /// The fraction of the worth that a request beyond the quota earns.
    pub over_worth: f64,
    /// The fraction of the worth that sending a request beyond the quota costs.
    pub over_cost: f64,
    /// The hard ceiling, if the plan has one.
    pub ceiling: Option<Ceiling>,
}

impl Plan {
    /// Returns a plan with a rate (units per second) and a burst (units) as its only quota.
    pub fn with_rate(name: &str, rate: f64, burst: f64) -> Self {
        Plan {
            name: name.into(),
            rate,
            burst,
            max_concurrent: 0,
            price: 1.0,
            over_worth: 0.0,
            over_cost: 1.0,
            ceiling: None,
        }
    }
}

/// A second token bucket, which first attempts must never overdraw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ceiling {
    /// The refill rate in units per second.
    pub rate: f64,
    /// The capacity in units; the bucket starts full.
    pub burst: f64,
    /// How many units below 0 the bucket may go.
    pub slack: f64,
}

/// How a gateway learns the list of backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed to the gateway.
    Pushed,
    /// Lists arrive only after [`Action::Subscribe`] or [`Action::FetchList`].
    OnRequest {
        /// A gateway that has not asked for the list for this long is judged as if it knew the present one.
        ask_interval: Micros,
    },
}

/// The meaning of the weight in a list of backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightKind {
    /// No weights: always 1.
    Off,
    /// The registered size of the backend.
    Nominal,
    /// An approximate size.
    Rough,
    /// The size divided by 1 + load, as of some time ago.
    Live,
}

/// The meaning of a value in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// The number of requests in progress.
    Active,
    /// The number of requests queued.
    Waiting,
    /// The fraction of the CPU in use.
    Cpu,
    /// The recent service time in milliseconds.
    ServiceTimeMs,
    /// Requests served per second.
    ServedPerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// A value that this library does not use.
    Other,
}

/// Where load reports are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReportSource {
    /// In the responses to attempts and probes.
    Answers,
    /// In the responses to probes only.
    Probes,
    /// There are no load reports.
    Off,
}

/// The settings of the shared counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterSettings {
    /// A call that is not answered within this time is overdue.
    pub timeout: Micros,
    /// The cost, in points of worth, of one call per first attempt.
    pub call_price: f64,
}

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The number of this gateway within the fleet.
    pub own_index: GatewayIndex,
    /// The number of gateways in the fleet.
    pub gateways: u32,
    /// The zone of this gateway.
    pub zone: ZoneIndex,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    pub machine_kinds: Vec<String>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans of customers.
    pub plans: Vec<Plan>,
    /// How the list of backends is learnt.
    pub discovery: Discovery,
    /// The meaning of listed weights.
    pub weights: WeightKind,
    /// The values of a load report, in their order.
    pub load_fields: Vec<LoadField>,
    /// Where load reports are found.
    pub load_report_source: LoadReportSource,
    /// The shared counter, if there is one.
    pub counter: Option<CounterSettings>,
    /// The period of the usage meter; 0 for no meter.
    pub meter_period: Micros,
    /// The largest number of units that one request takes.
    pub max_units: f64,
    /// Whether the units of a request are an estimate, which the response corrects.
    pub billed_on_response: bool,
    /// The interval at which batches of events are delivered.
    pub tick: Micros,
    /// The largest number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether backends may be probed.
    pub may_probe: bool,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Whether refused clients are told how long to wait.
    pub send_retry_after: bool,
    /// The longest wait that clients honour; none longer is told.
    pub max_retry_after: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// How long after its deadline a client still takes a response.
    pub answer_slack: Micros,
    /// How long a backend may still get attempts after it has been listed as draining or gone.
    pub drain_grace: Micros,
    /// The smallest fraction of its capacity that a backend has when it starts, 0 to 1.
    pub cold_capacity: f64,
    /// The time after its start by which a backend has its full capacity.
    pub warm_up: Micros,
    /// A cold backend collapses when it is sent more than this multiple of its present capacity
    /// throughout [`Config::collapse_after`].
    pub collapse_multiple: f64,
    /// How long a cold backend bears that overload before it collapses.
    pub collapse_after: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            own_index: GatewayIndex(0),
            gateways: 1,
            zone: ZoneIndex(0),
            zones: Vec::new(),
            machine_kinds: Vec::new(),
            classes: Vec::new(),
            plans: Vec::new(),
            discovery: Discovery::Pushed,
            weights: WeightKind::Off,
            load_fields: Vec::new(),
            load_report_source: LoadReportSource::Off,
            counter: None,
            meter_period: 0,
            max_units: 1.0,
            billed_on_response: false,
            tick: 1_000,
            max_attempts: 3,
            may_cancel: true,
            may_probe: true,
            hedging: true,
            send_retry_after: true,
            max_retry_after: 1_000_000,
            connect_timeout: 250_000,
            answer_slack: 8_000,
            drain_grace: 250_000,
            cold_capacity: 0.2,
            warm_up: 15_000_000,
            collapse_multiple: 2.0,
            collapse_after: 2_000_000,
        }
    }
}

/// A setting that is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the setting.
    pub setting: String,
    /// What is wrong with the setting.
    pub problem: &'static str,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for ConfigError {}

impl Config {
    /// Checks that a gateway can work with these settings; the error names the first one that is invalid.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let invalid = |setting: String, problem| Err(ConfigError { setting, problem });
        if self.classes.is_empty() {
            return invalid("classes".into(), "must not be empty");
        }
        if self.plans.is_empty() {
            return invalid("plans".into(), "must not be empty");
        }
        if self.gateways == 0 {
            return invalid("gateways".into(), "must be at least 1");
        }
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        // Each number with its name in the settings file.
        let numbers = [
            ("cold_from", self.cold_capacity),
            ("fall_multiple", self.collapse_multiple),
            ("units_top", self.max_units),
        ];
        for (name, value) in numbers {
            if !is_valid(value) {
                return invalid(name.into(), "must be finite and not negative");
            }
        }
        for class in &self.classes {
            if class.deadline == 0 || class.target_latency == 0 {
                return invalid(
                    format!("classes.{}", class.name),
                    "target latency (aim_us) and deadline (deadline_us) must be above 0",
                );
            }
            if ![class.worth, class.late_worth, class.target_stretch].into_iter().all(is_valid) {
                return invalid(
                    format!("classes.{}", class.name),
                    "worth, late_worth and aim_stretch must be finite and not negative",
                );
            }
        }
        for plan in &self.plans {
            let (rate, burst, slack) = plan.ceiling.map_or((0.0, 0.0, 0.0), |c| (c.rate, c.burst, c.slack));
            let numbers =
                [plan.rate, plan.burst, plan.price, plan.over_worth, plan.over_cost, rate, burst, slack];
            if !numbers.into_iter().all(is_valid) {
                return invalid(format!("plans.{}", plan.name), "numbers must be finite and not negative");
            }
            if plan.rate > 0.0 && plan.burst <= 0.0 {
                return invalid(
                    format!("plans.{}.burst", plan.name),
                    "a rate (quota_rate) needs a burst (peak_units) above 0",
                );
            }
        }
        Ok(())
    }
}

/// The contents of a list of backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the rows that have changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known, which may be stale.
    Cached,
    /// No rows: the call failed or the subscription broke.
    Failed,
}

/// The listed state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendState {
    /// The backend takes requests.
    #[default]
    Ready,
    /// The backend finishes its work and takes no new requests.
    Draining,
    /// The backend has been removed.
    Gone,
}

/// A row of a list of backends.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BackendRow {
    /// The backend.
    pub backend: BackendId,
    /// Its state.
    pub state: BackendState,
    /// Its cell.
    pub cell: CellIndex,
    /// Its machine kind.
    pub kind: MachineKindIndex,
    /// Its zone.
    pub zone: ZoneIndex,
    /// When its process last started, on the event clock; 0 for a start long ago.
    pub started_at: Micros,
    /// Its weight; see [`WeightKind`].
    pub weight: f64,
}

impl BackendRow {
    /// Returns the row of a backend of weight 1 that started long ago.
    pub fn new(backend: BackendId, state: BackendState) -> Self {
        BackendRow { backend, state, weight: 1.0, ..BackendRow::default() }
    }
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// The backend had no room and rejected the request, which did not run.
    Full,
    /// No response came in time; the request may have run.
    Timeout,
    /// No connection was established in time; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// The result of a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterResult {
    /// The total after the call, in units.
    Total(f64),
    /// Nothing was added: the call was rejected, or the counter was not reached.
    NotAdded,
    /// No answer came; the amount may have been added.
    Unanswered,
    /// No answer came in time; an [`Event::OverdueCallEnded`] with the final result follows.
    Overdue,
}

/// A backend's load report: values in the order of [`Config::load_fields`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The number of values, 0 to 4; 0 for no report.
    pub len: u8,
    /// The values; those from `len` on are unset.
    pub values: [f32; 4],
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIndex,
    /// The plan of its customer.
    pub plan: PlanIndex,
    /// Its customer.
    pub customer: CustomerId,
    /// When its client gives up this try, on the event clock.
    pub deadline: Micros,
    /// The units that it takes from the quota.
    pub units: f64,
    /// The number of gateways that the customer's requests come through.
    pub spread: f64,
    /// The number of the first of these gateways; the others follow in sequence.
    pub first_gateway: f64,
    /// Whether the client marked it as a repeat.
    pub client_repeat: bool,
    /// Whether the client marked it as a write.
    pub write: bool,
    /// Whether its body is still being received, and forwarded as it arrives; an [`Event::Uploaded`] follows.
    pub body_pending: bool,
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// The backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the client has got its final answer.
    pub request_done: bool,
    /// The customer's metered use over all gateways, as a fraction of its quota, if it is reported.
    pub quota_use: Option<f64>,
    /// The units that the backend billed, if the response tells them.
    pub billed_units: Option<f64>,
    /// The backend's load report.
    pub load: LoadReport,
    /// Whether a part of the body was forwarded that cannot be sent again, so that no attempt may follow.
    pub body_consumed: bool,
}

/// Units of a customer in a quota window that have not been added to the counter yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnsyncedUnits {
    /// The customer.
    pub customer: CustomerId,
    /// The name of the customer's plan, as the index may differ between processes. Empty if it comes from a
    /// version that does not send it.
    #[serde(default)]
    pub plan: String,
    /// The number of gateways that the customer's requests come through.
    #[serde(default)]
    pub spread: f64,
    /// The number of the quota window.
    pub window: u64,
    /// The units; negative if too many were added.
    pub units: f64,
}

/// An input of the decision module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A list of backends arrived.
    Backends {
        /// What the list contains.
        kind: ListKind,
        /// The version of the list.
        version: u64,
        /// The rows.
        rows: Vec<BackendRow>,
    },
    /// A client's request arrived. It gets exactly one final answer.
    Request(Arrival),
    /// The whole body of a request that arrived with `body_pending` has reached this gateway's machine, though
    /// not all of it has been forwarded. The client's wait counts from here.
    BodyArrived {
        /// The request.
        id: RequestId,
        /// When its client gives up this try, on the event clock.
        deadline: Micros,
    },
    /// The body of a request that arrived with `body_pending` is complete and has been forwarded. Its latency
    /// counts from here.
    Uploaded {
        /// The request.
        id: RequestId,
        /// When its client gives up this try, on the event clock.
        deadline: Micros,
    },
    /// A streamed response has begun.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The backend.
        backend: BackendId,
        /// The time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended. Exactly one such event follows each [`Action::Send`].
    AttemptEnded(AttemptResult),
    /// The client left, or its deadline passed without an answer.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// An operator disabled or enabled a backend. This holds whatever the list says.
    BackendDisabled {
        /// The backend.
        backend: BackendId,
        /// True if disabled, false if enabled again.
        disabled: bool,
    },
    /// An operator began or ended the drain of this gateway.
    Drain {
        /// True if the drain began.
        on: bool,
    },
    /// The predecessor process of this gateway handed over its state.
    HandoverReceived(Box<HandoverState>),
    /// Another process of this gateway handed over units for this one to add to the counter.
    UnsyncedUnits(Vec<UnsyncedUnits>),
    /// Another process of this gateway began or stopped serving beside this one.
    OtherProcess {
        /// True while both processes serve.
        serving: bool,
    },
    /// A timer expired.
    Timer {
        /// The token given in [`Action::SetTimer`].
        token: TimerToken,
    },
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The time since the probe was sent.
        elapsed: Micros,
        /// The backend's load report.
        load: LoadReport,
    },
    /// Another gateway sent a message.
    Message {
        /// The sender.
        from: GatewayIndex,
        /// The bytes of the message.
        payload: Vec<u8>,
    },
    /// A call to the counter ended or became overdue.
    CounterCallEnded {
        /// The key of the number.
        key: CounterKey,
        /// How it ended.
        result: CounterResult,
        /// The time since the call was made.
        elapsed: Micros,
    },
    /// A call that was reported as [`CounterResult::Overdue`] ended.
    OverdueCallEnded {
        /// The key of the number.
        key: CounterKey,
        /// The units that the call was to add.
        amount: f64,
        /// The final result; `Unanswered` if its answer is no longer waited for.
        result: CounterResult,
    },
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendReason {
    /// The first attempt of the request.
    First,
    /// The previous attempt ended with this outcome and left the client without an answer.
    Retry(Outcome),
    /// The attempt in flight is late.
    Hedge,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The customer's estimated use is over its quota.
    OverQuota,
    /// There is no fresh total from the counter, and the use seen here is over this gateway's share of the
    /// quota.
    NoFreshTotal,
    /// The backends are estimated to be too busy.
    Overloaded,
    /// There is no backend that the request may be sent to.
    NoBackend,
    /// The request was sent or waited to be sent, and no further attempt is possible.
    GivenUp,
    /// The request's class or plan does not exist.
    Unknown,
}

impl RefusalReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::OverQuota,
        Self::NoFreshTotal,
        Self::Overloaded,
        Self::NoBackend,
        Self::GivenUp,
        Self::Unknown,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OverQuota => "over_quota",
            Self::NoFreshTotal => "blind",
            Self::Overloaded => "pressed",
            Self::NoBackend => "no_backend",
            Self::GivenUp => "given_up",
            Self::Unknown => "unknown",
        }
    }
}

/// An output of the decision module, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The backend.
        backend: BackendId,
        /// The time-out of the attempt; `None` to wait for as long as the client does.
        timeout: Option<Micros>,
        /// The attempt may not begin at this time or later, on the event clock; `None` for no limit but the
        /// client's deadline.
        begin_by: Option<Micros>,
        /// Why the attempt is sent.
        reason: SendReason,
    },
    /// Give the final answer "refused": the request did not run or may run again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client is told to wait; 0 for no advice.
        retry_after: Micros,
        /// Why the request is refused.
        reason: RefusalReason,
    },
    /// Give the final answer "failed": the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Deliver an [`Event::Timer`] later.
    SetTimer {
        /// The token to deliver.
        token: TimerToken,
        /// The delay from now.
        after: Micros,
    },
    /// Probe a backend.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Close the idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Send a message to another gateway, or to all others.
    SendMessage {
        /// The receiver; `None` for all other gateways.
        to: Option<GatewayIndex>,
        /// The bytes of the message, at most 256.
        payload: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
    /// Subscribe to the list of backends, or end the subscription.
    Subscribe {
        /// True to subscribe.
        on: bool,
    },
    /// Request the complete list of backends once.
    FetchList,
    /// Add to a number on the counter and read its total.
    CallCounter {
        /// The key of the number.
        key: CounterKey,
        /// The units to add; 0 to only read the total, negative to subtract.
        amount: f64,
        /// How long the counter keeps a key that is new to it.
        lifetime: Micros,
    },
}
