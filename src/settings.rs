//! The settings of the decision module ([`Config`]), and their validation.

use crate::api::*;
use std::fmt;

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
    /// The largest number of customers whose state is kept.
    pub max_customers: usize,
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
            max_customers: usize::MAX,
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
