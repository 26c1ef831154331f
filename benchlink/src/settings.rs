//! Parses the settings (JSON) of a new gateway. Unknown keys are ignored. Names that end in `_us` are times
//! in microseconds.

use crate::codes;
use caperwind::{
    Ceiling, Class, Config, CounterSettings, Discovery, Effect, GatewayIndex, KeyGroup, LoadReportSource,
    Plan, WeightKind, ZoneIndex,
};
use serde::Deserialize;

/// The settings of a gateway.
#[derive(Deserialize)]
struct Settings {
    balancers: u32,
    me: u32,
    zone: u8,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    classes: Vec<ClassInfo>,
    tariffs: Vec<Tariff>,
    discovery: String,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    load_info: LoadInfo,
    extra: Extra,
    policy_limits: Limits,
    invariants: Invariants,
    tick_us: u64,
}

/// A class of requests.
#[derive(Deserialize)]
struct ClassInfo {
    name: String,
    aim_us: u64,
    deadline_us: u64,
    #[serde(default)]
    aim_stretch: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_us: u64,
    #[serde(default)]
    stream: bool,
}

/// A plan.
#[derive(Deserialize)]
struct Tariff {
    name: String,
    quota_rate: f64,
    peak_units: f64,
    #[serde(default)]
    at_once: u32,
    price: f64,
    #[serde(default)]
    over_worth: f64,
    #[serde(default)]
    beyond_costs: f64,
    #[serde(default)]
    hard_rate: f64,
    #[serde(default)]
    ceiling_burst: f64,
    #[serde(default)]
    hard_slack: f64,
}

/// The load reports of backends.
#[derive(Deserialize, Default)]
struct LoadInfo {
    #[serde(default)]
    names: Vec<String>,
    #[serde(default)]
    via: String,
}

/// The counter, the usage meter and units.
#[derive(Deserialize)]
struct Extra {
    #[serde(default)]
    shared_counter: bool,
    #[serde(default)]
    call_price: f64,
    #[serde(default)]
    count_limit_us: u64,
    #[serde(default)]
    use_period_us: u64,
    units_top: f64,
    #[serde(default)]
    cost_after: bool,
}

/// What a gateway may do.
#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: u64,
    max_attempts: u32,
    connect_timeout_us: u64,
}

/// The times and bounds that a gateway must keep to.
#[derive(Deserialize)]
struct Invariants {
    answer_slack_us: u64,
    #[serde(default)]
    ask_every_us: u64,
    drain_grace_us: u64,
    cold_from: f64,
    warm_up_us: u64,
    fall_multiple: f64,
    tip_after_us: u64,
}

/// Returns the error for a value that a setting does not have.
fn unknown_value(setting: &str, value: &str) -> String {
    format!("setting {setting}: unknown value {value:?}")
}

fn class(info: ClassInfo) -> Result<Class, String> {
    let group = match info.group.as_str() {
        "all" | "" => KeyGroup::All,
        "zone" => KeyGroup::Zone,
        "cell" => KeyGroup::Cell,
        other => return Err(unknown_value("classes.group", other)),
    };
    let effect = match info.effect.as_str() {
        "pure" => Effect::Pure,
        "token" => Effect::Keyed { group, window: info.window_us },
        "side_effect" => Effect::Unsafe,
        other => return Err(unknown_value("classes.effect", other)),
    };
    Ok(Class {
        name: info.name,
        target_latency: info.aim_us,
        target_stretch: info.aim_stretch,
        deadline: info.deadline_us,
        worth: info.worth,
        late_worth: info.late_worth,
        effect,
        stream: info.stream,
    })
}

fn plan(tariff: Tariff) -> Plan {
    let ceiling = Ceiling { rate: tariff.hard_rate, burst: tariff.ceiling_burst, slack: tariff.hard_slack };
    Plan {
        name: tariff.name,
        rate: tariff.quota_rate,
        burst: tariff.peak_units,
        max_concurrent: tariff.at_once,
        price: tariff.price,
        over_worth: tariff.over_worth,
        over_cost: tariff.beyond_costs,
        ceiling: (tariff.hard_rate != 0.0).then_some(ceiling),
    }
}

/// Parses settings (JSON) into a [`Config`]. Fails if the text is not JSON, or if a setting is missing or has
/// an unknown value; the error is one line that names the setting. Ranges are checked by
/// [`Config::validate`].
pub fn parse(text: &[u8]) -> Result<Config, String> {
    let settings: Settings = serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
    let (limits, invariants, extra) = (settings.policy_limits, settings.invariants, settings.extra);
    let discovery = match settings.discovery.as_str() {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::OnRequest { ask_interval: invariants.ask_every_us },
        other => return Err(unknown_value("discovery", other)),
    };
    let weights = match settings.weights.as_str() {
        "nominal" => WeightKind::Nominal,
        "rough" => WeightKind::Rough,
        "live" => WeightKind::Live,
        "off" | "" => WeightKind::Off,
        other => return Err(unknown_value("weights", other)),
    };
    let load_report_source = match settings.load_info.via.as_str() {
        "inline" => LoadReportSource::Answers,
        "on_probe" => LoadReportSource::Probes,
        "off" | "" => LoadReportSource::Off,
        other => return Err(unknown_value("load_info.via", other)),
    };
    let counter = CounterSettings { timeout: extra.count_limit_us, call_price: extra.call_price };
    Ok(Config {
        own_index: GatewayIndex(settings.me),
        gateways: settings.balancers,
        zone: ZoneIndex(settings.zone),
        zones: settings.zones,
        machine_kinds: settings.kinds,
        classes: settings.classes.into_iter().map(class).collect::<Result<_, _>>()?,
        plans: settings.tariffs.into_iter().map(plan).collect(),
        discovery,
        weights,
        load_fields: settings.load_info.names.iter().map(|name| codes::load_field(name)).collect(),
        load_report_source,
        counter: extra.shared_counter.then_some(counter),
        meter_period: extra.use_period_us,
        max_units: extra.units_top,
        billed_on_response: extra.cost_after,
        tick: settings.tick_us,
        max_attempts: limits.max_attempts,
        may_cancel: limits.cancel,
        may_probe: limits.probes,
        hedging: limits.second_copies,
        send_retry_after: limits.retry_after,
        max_retry_after: limits.max_retry_after_us,
        connect_timeout: limits.connect_timeout_us,
        answer_slack: invariants.answer_slack_us,
        drain_grace: invariants.drain_grace_us,
        cold_capacity: invariants.cold_from,
        warm_up: invariants.warm_up_us,
        collapse_multiple: invariants.fall_multiple,
        collapse_after: invariants.tip_after_us,
        max_customers: usize::MAX,
    })
}
