//! The state of a gateway: plain data without decisions, on which `src/logic.rs` decides. Times of type `f64`
//! are microseconds.

use crate::api::*;
pub(crate) use crate::random::{hash, to_fraction, Random};
use crate::settings::*;
pub(crate) use crate::succession::HandoverState;
pub(crate) use crate::vitals::RefusalCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A customer's units in one quota window.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WindowCount {
    /// The units of all gateways by the counter's last total, plus own units that are assumed to be added.
    pub(crate) total: f64,
    /// When the last total was received.
    #[serde(rename = "told_at")]
    pub(crate) total_received_at: Option<Micros>,
    /// This gateway's units that are known or assumed to be on the counter.
    pub(crate) added: f64,
    /// Units to be added by the next call; negative if too many were counted.
    pub(crate) unsent: f64,
    /// Billed less estimated units, to be added by the next call. No call is made for them alone.
    #[serde(default)]
    #[serde(rename = "fix")]
    pub(crate) correction: f64,
    /// Units in the call in flight.
    pub(crate) in_call: f64,
    /// Whether a call for this window is in flight.
    #[serde(rename = "calling")]
    pub(crate) call_in_flight: bool,
    /// Whether this gateway received a request in this window.
    #[serde(rename = "asked")]
    pub(crate) request_seen: bool,
    /// Units of the requests that this gateway sent on.
    #[serde(rename = "passed")]
    pub(crate) admitted: f64,
    /// Whether units that were missing from a total have been added again, which is done once.
    pub(crate) restored: bool,
    /// The other gateways' units in the last total, which have been taken from the bucket.
    #[serde(rename = "others")]
    pub(crate) others_units: f64,
}

/// A request held for a fresh total.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldRequest {
    pub(crate) id: RequestId,
    pub(crate) units: f64,
    /// The units counted for it: more than its own where it stands for others that are not counted.
    pub(crate) counted: f64,
    /// The units to be counted once it has been sent.
    pub(crate) deferred: f64,
    /// Whether its customer had come within two windows.
    pub(crate) returning: bool,
    /// Whether the call in flight includes it.
    pub(crate) covered: bool,
}

/// The state of a customer under one of its plans.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Customer {
    /// The index of the plan.
    pub(crate) plan: usize,
    /// The number of gateways that the customer's requests come through.
    pub(crate) spread: f64,
    /// The gateways that its last request named: their number, and the number of the first one.
    #[serde(default)]
    #[serde(rename = "set")]
    pub(crate) gateway_set: Option<(f64, f64)>,
    /// The number of the current window.
    pub(crate) window: u64,
    /// The units of the current window.
    #[serde(rename = "cur")]
    pub(crate) current: WindowCount,
    /// The units of the previous window.
    #[serde(rename = "prev")]
    pub(crate) previous: WindowCount,
    /// The number of calls for the previous window since it ended.
    #[serde(rename = "prev_reads")]
    pub(crate) previous_reads: u32,
    /// The fraction of the customer's traffic that comes through this gateway, smoothed.
    #[serde(rename = "share")]
    pub(crate) traffic_share: f64,
    /// The units per window that come through the other gateways, smoothed.
    #[serde(rename = "others")]
    pub(crate) others_units: f64,
    /// When its next sync is due, if one is scheduled.
    #[serde(skip)]
    pub(crate) sync_at: Option<Micros>,
    /// The requests held for a fresh total.
    #[serde(skip)]
    pub(crate) pending: Vec<HeldRequest>,
    /// How often fresh totals have recently found it over its quota, 0 to 1.
    #[serde(rename = "over")]
    pub(crate) over_quota_rate: f64,
    /// When `over_quota_rate` was last updated; 0 for never.
    #[serde(rename = "judged_at")]
    pub(crate) quota_checked_at: Micros,
    /// The number of attempts in flight.
    #[serde(skip, rename = "out")]
    pub(crate) in_flight: u32,
    /// The units left under this gateway's share of the ceiling, and the time to which they refer.
    pub(crate) ceiling: Option<(f64, Micros)>,
    /// When its last request, or units of it from another process, arrived.
    #[serde(rename = "seen")]
    pub(crate) last_seen_at: Micros,
    /// The level of the quota's token bucket as the counts show it: a lower bound of the units left.
    #[serde(rename = "store")]
    pub(crate) bucket_level: f64,
    /// When the bucket levels were last brought up to date.
    #[serde(rename = "store_at")]
    pub(crate) bucket_updated_at: Micros,
    /// The level of this gateway's own part of the bucket, which it shares with no other. Its size is the
    /// gateway's share of the quota, but one request at the least.
    #[serde(rename = "slice")]
    pub(crate) own_bucket_level: f64,
}

/// The health of a backend.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum Health {
    /// The backend may get requests.
    #[default]
    Healthy,
    /// Ejected until a point in time. `backoff` is the wait in microseconds that doubles if the trial fails;
    /// `dead` says that the process seems to have ended.
    Ejected { until: Micros, backoff: f64, dead: bool },
    /// A probe is in flight.
    Trial { backoff: f64, dead: bool },
}

/// The state of a backend.
#[derive(Default)]
pub(crate) struct Backend {
    /// The last row received for it.
    pub(crate) row: BackendRow,
    /// Whether the list has it, and not as gone.
    pub(crate) listed: bool,
    /// The number of attempts in flight.
    pub(crate) in_flight: u32,
    /// The number of attempts in flight that are stalled.
    pub(crate) stalled: u32,
    /// When the latest sent of the attempts that it has answered was sent.
    pub(crate) newest_answered: Micros,
    /// Its latency relative to the mean latency of the same classes at all backends; 1 is usual.
    pub(crate) latency_ratio: f64,
    /// When `latency_ratio` was last updated.
    pub(crate) latency_ratio_at: Micros,
    /// The number of this gateway's attempts in flight, smoothed over the age of load reports.
    pub(crate) in_flight_mean: f64,
    /// When `in_flight_mean` was last updated.
    pub(crate) in_flight_mean_at: Micros,
    /// The number of other gateways' requests as reported, smoothed, and the time of the last report.
    pub(crate) reported_others: Option<(f64, Micros)>,
    /// When it last answered `full` to a class (0, index) or plan (1, index), unless it has served one since.
    pub(crate) last_full_at: BTreeMap<(u8, usize), Micros>,
    /// The number of failures in a row.
    pub(crate) failures: u32,
    /// The fraction of errors among recent responses.
    pub(crate) error_rate: f64,
    /// When its last response came, or when it was first listed.
    pub(crate) last_answer_at: Micros,
    /// The length of its last ejection in microseconds, halved by each request served since.
    pub(crate) last_backoff: f64,
    /// The fraction of recent attempts whose connection broke.
    pub(crate) reset_rate: f64,
    /// When a connection last broke.
    pub(crate) last_reset_at: Micros,
    /// Its health.
    pub(crate) health: Health,
    /// When it started, if it was listed as cold, or when an operator enabled it.
    pub(crate) started_at: Option<Micros>,
    /// When it came back after its process seemed to have ended.
    pub(crate) presumed_started_at: Option<Micros>,
    /// When attempts were sent to it, within the last [`Config::collapse_after`].
    pub(crate) recent_sends: VecDeque<Micros>,
    /// When it served requests, within the last [`Config::collapse_after`].
    pub(crate) recent_completions: VecDeque<Micros>,
    /// How near this gateway's next turn to send is, where many gateways share a cold backend; due at 1.
    pub(crate) turn_progress: f64,
}

/// The highest error rate of a backend that is readmitted. One more error brings it above the rate at which
/// backends are ejected (`EJECTION_ERROR_RATE`).
pub(crate) const MAX_READMITTED_ERROR_RATE: f64 = 0.36;

/// An attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    /// When it was sent, or, for a body that was forwarded as it arrived, when the body was complete.
    pub(crate) sent_at: Micros,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Whether no backend seems to work on it: attempts sent to the same backend well after it have been
    /// answered, or the body of the request is still being received.
    pub(crate) stalled: bool,
}

/// The state of a request.
#[derive(Default)]
pub(crate) struct Request {
    /// The index of its class.
    pub(crate) class: usize,
    /// Its customer and plan; see [`CustomerId::for_plan`].
    pub(crate) customer: CustomerId,
    pub(crate) deadline: Micros,
    pub(crate) units: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it has its final answer or its client has left.
    pub(crate) done: bool,
    /// Whether a streamed response has begun.
    pub(crate) streaming: bool,
    /// Whether its body is still being received.
    pub(crate) body_pending: bool,
    /// Whether a part of its body was forwarded that cannot be sent again.
    pub(crate) body_consumed: bool,
}

/// What to do when a timer expires.
#[derive(Clone, Copy)]
pub(crate) enum Task {
    /// The periodic housekeeping.
    Housekeeping,
    /// Giving up the requests whose deadlines have passed.
    Deadlines,
    /// Hedging a request.
    Hedge(RequestId),
    /// Deciding without a total for this customer: one of its calls became overdue one time-out ago.
    OverdueCall(CustomerId),
}

/// The decision module of one gateway. The default value has no classes and refuses every request.
#[derive(Default)]
pub struct Gateway {
    pub(crate) cfg: Config,
    /// Actions not yet passed to the caller.
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Random,
    /// The time of the last event.
    pub(crate) now: Micros,
    /// The time of the first event.
    pub(crate) started_at: Option<Micros>,
    /// The timers set, by token.
    pub(crate) timers: BTreeMap<u64, Task>,
    pub(crate) last_timer_token: u64,
    /// Customers by their id for a plan; see [`CustomerId::for_plan`].
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// When customers may be looked for again that make way for new ones.
    pub(crate) next_eviction_at: Micros,
    /// The customer and the window of each counter key in use.
    pub(crate) counter_keys: BTreeMap<CounterKey, (CustomerId, u64)>,
    /// The syncs that are scheduled, by the time when they are due.
    pub(crate) sync_queue: BTreeSet<(Micros, CustomerId)>,
    /// The number of calls that are or may be queued at the counter. Overdue calls are included until their
    /// final result is known.
    pub(crate) calls_in_flight: f64,
    /// The number of calls that may be in flight at once: the counter's congestion window.
    pub(crate) max_calls: f64,
    /// The value of `max_calls` below which each answer raises it by one, as in the slow start of TCP.
    pub(crate) fast_growth_limit: f64,
    /// When the counter last answered without signs of congestion.
    pub(crate) counter_answered_at: Micros,
    /// The fraction of the wanted calls that the counter can bear, above 0 to 1.
    pub(crate) call_pace: f64,
    /// When congestion of the counter was last noticed.
    pub(crate) last_congestion_at: Micros,
    /// The fraction of customers that turned out to be over their quota at their first check, by plan: of new
    /// ones and of those that had come within two windows.
    pub(crate) over_quota_rates: Vec<[f64; 2]>,
    /// The mean worth of what a call decides.
    pub(crate) mean_call_value: f64,
    /// The number of consecutive time-out periods in which calls failed and none was answered.
    pub(crate) counter_failures: u32,
    /// When `counter_failures` last rose.
    pub(crate) counter_failed_at: Micros,
    /// The fraction of recent calls without an answer in time.
    pub(crate) unanswered_call_rate: f64,
    /// When the last call ended.
    pub(crate) last_call_ended_at: Micros,
    /// When the next trial call may be made to a counter that does not answer.
    pub(crate) next_trial_call_at: Micros,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// The backends disabled by an operator, listed or not, and since when.
    pub(crate) disabled_backends: BTreeMap<BackendId, Micros>,
    /// The number of this gateway's requests that a warm backend serves within [`Config::collapse_after`], as
    /// last known.
    pub(crate) warm_throughput: f64,
    /// Whether an operator drains this gateway.
    pub(crate) draining: bool,
    /// Whether another process of this gateway serves too: each spends half of the gateway's share.
    pub(crate) other_process_serving: bool,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// The deadlines of open requests.
    pub(crate) deadlines: BTreeSet<(Micros, RequestId)>,
    /// The one timer set for `deadlines`: its time and its token.
    pub(crate) deadline_timer: Option<(Micros, u64)>,
    /// The mean latency of each class, in microseconds.
    pub(crate) class_latency: Vec<f64>,
    /// The latency of each class at idle backends, in microseconds: the lowest recent value of the mean.
    pub(crate) class_idle_latency: Vec<f64>,
    /// The number of responses on which the latencies of each class rest, up to `BASELINE_SAMPLES`.
    pub(crate) class_samples: Vec<u32>,
    /// The fraction admitted of each class's recent requests that needed capacity.
    pub(crate) class_admission: Vec<DecayingRatio>,
    /// Completions per second, smoothed.
    pub(crate) completion_rate: f64,
    /// Completions since the rates were last updated.
    pub(crate) completions: f64,
    /// When the rates were last updated.
    pub(crate) rates_updated_at: Micros,
    /// Attempts sent per second, smoothed.
    pub(crate) send_rate: f64,
    /// Attempts sent since the rates were last updated.
    pub(crate) sends: f64,
    /// The number of attempts in flight.
    pub(crate) in_flight: u32,
    /// The number of attempts in flight that are stalled.
    pub(crate) stalled: u32,
    /// The retry budget, in attempts.
    pub(crate) retry_tokens: f64,
    /// The mean worth of requests per microsecond of work.
    pub(crate) mean_worth: f64,
    /// The mean latency over all classes at idle backends, in microseconds.
    pub(crate) mean_idle_latency: f64,
    /// The recent mean latency over all classes, in microseconds.
    pub(crate) mean_latency: f64,
    /// When the list of backends was last requested.
    pub(crate) list_requested_at: Micros,
    /// Whether the last request for the list failed or the subscription broke.
    pub(crate) list_failed: bool,
    pub(crate) refusals: RefusalCounts,
}

/// The decision on a request by its customer's quota.
pub(crate) enum QuotaDecision {
    /// Send it on; whether to count its units, and the probability that the customer is over its quota.
    Admit(bool, f64),
    /// Hold it for a fresh total; the units to count for it.
    Hold(f64),
    /// Refuse it; the reason, and how long the client should wait.
    Refuse(RefusalReason, Micros),
}

/// The fraction of recent events that were hits, from counts that decay.
#[derive(Default, Clone)]
pub(crate) struct DecayingRatio {
    total: f64,
    hits: f64,
}

impl DecayingRatio {
    /// Adds an event.
    pub(crate) fn record(&mut self, hit: bool) {
        (self.total, self.hits) = (self.total + 1.0, self.hits + f64::from(u8::from(hit)));
    }

    /// Reduces the counts by a fraction.
    pub(crate) fn decay(&mut self, fraction: f64) {
        (self.total, self.hits) = (self.total * (1.0 - fraction), self.hits * (1.0 - fraction));
    }

    /// Returns the fraction of hits.
    pub(crate) fn ratio(&self) -> f64 {
        self.hits / self.total.max(1.0)
    }
}

/// Appends a time and removes those that are older than `max_age`.
pub(crate) fn record_time(times: &mut VecDeque<Micros>, now: Micros, max_age: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|&t| now.saturating_sub(t) > max_age) {
        times.pop_front();
    }
}

/// Updates an exponential moving mean; the first sample sets it.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, gain: f64) {
    *mean += (sample - *mean) * if *mean > 0.0 { gain } else { 1.0 };
}

impl WindowCount {
    /// Returns the units counted by this gateway, sent or not.
    pub(crate) fn own_units(&self) -> f64 {
        self.added + self.unsent + self.in_call
    }

    /// Returns the estimated units of all gateways.
    pub(crate) fn total_estimate(&self) -> f64 {
        (self.total + self.unsent + self.in_call).max(self.own_units())
    }
}

impl Customer {
    /// Returns the state of a new customer: a full bucket, and an even share of the traffic.
    pub(crate) fn new(plan: usize, window: u64, spread: f64, burst: f64, now: Micros) -> Self {
        let traffic_share = 1.0 / spread;
        let (others_units, own_bucket_level) = (burst * (1.0 - traffic_share), burst * traffic_share);
        Customer {
            plan,
            spread,
            window,
            traffic_share,
            others_units,
            bucket_level: burst,
            bucket_updated_at: now,
            own_bucket_level,
            ..Customer::default()
        }
    }

    /// Records the units of a request that is sent on, in this gateway's own count and in the buckets.
    pub(crate) fn record_admitted(&mut self, units: f64) {
        self.current.admitted += units;
        self.bucket_level = (self.bucket_level - units).max(0.0);
        self.own_bucket_level = (self.own_bucket_level - units).max(-units);
    }

    /// Returns the count of a window, if it is the current or the previous one.
    pub(crate) fn window_count(&mut self, window: u64) -> Option<&mut WindowCount> {
        match self.window.checked_sub(window)? {
            0 => Some(&mut self.current),
            1 => Some(&mut self.previous),
            _ => None,
        }
    }

    /// Records a total of the counter, and takes from the bucket what the other gateways have used since the
    /// one before.
    pub(crate) fn record_total(&mut self, window: u64, total: f64, now: Micros) {
        let Some(count) = self.window_count(window) else { return };
        let others_units = (total - count.added).max(0.0);
        let before = std::mem::replace(&mut count.others_units, others_units);
        (count.total, count.total_received_at) = (total, Some(now));
        self.bucket_level = (self.bucket_level - (others_units - before)).max(0.0);
    }

    /// Returns when the last total of the current window was received, or else of the previous one.
    pub(crate) fn total_received_at(&self) -> Option<Micros> {
        self.current.total_received_at.or(self.previous.total_received_at)
    }
}

impl Backend {
    /// Returns a backend on trial to use, cold if its process seemed to have ended.
    pub(crate) fn readmit(&mut self, now: Micros) {
        if let Health::Trial { dead, .. } = self.health {
            // A backend that was ejected for its errors is ejected again at the next one.
            (self.health, self.error_rate, self.latency_ratio) =
                (Health::Healthy, self.error_rate.min(MAX_READMITTED_ERROR_RATE), 1.0);
            self.presumed_started_at = if dead { Some(now) } else { self.presumed_started_at };
        }
    }
}

impl CustomerId {
    /// Returns the id under which the state of a customer under one of its plans is kept. Applied to that id,
    /// it returns the customer's own id again. Ids of customers are below 2^33.
    pub(crate) fn for_plan(self, plan: usize) -> Self {
        CustomerId(self.0 ^ (plan as u64) << 33)
    }
}

impl Backend {
    /// Returns the number of this gateway's attempts in flight that the backend seems to work on.
    pub(crate) fn active_attempts(&self) -> f64 {
        self.in_flight.saturating_sub(self.stalled) as f64
    }
}

/// A request's class (0, index) and plan (1, index).
pub(crate) type ClassAndPlan = [(u8, usize); 2];

impl Gateway {
    /// Returns the initial state for a number of classes.
    pub(crate) fn for_classes(classes: usize) -> Self {
        let (class_latency, class_idle_latency, class_samples) =
            (vec![0.0; classes], vec![0.0; classes], vec![0; classes]);
        Gateway {
            class_latency,
            class_idle_latency,
            class_samples,
            class_admission: vec![DecayingRatio::default(); classes],
            ..Self::default()
        }
    }

    /// Limits the number of gateways that a customer's requests are said to come through to the number that
    /// exists, and to one at the least.
    pub(crate) fn bounded_spread(&self, spread: f64) -> f64 {
        spread.max(1.0).min(self.cfg.gateways as f64)
    }

    /// Returns the number of attempts in flight that backends seem to work on.
    pub(crate) fn active_attempts(&self) -> f64 {
        self.in_flight.saturating_sub(self.stalled) as f64
    }

    /// Returns whether an operator drains this gateway.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the weight of an observation made at `at`: 1 now, falling exponentially. `time_constant` is in
    /// microseconds.
    pub(crate) fn decay(&self, at: Micros, time_constant: f64) -> f64 {
        (-self.since(at) / time_constant).exp()
    }

    /// Returns the class and the plan of a request.
    pub(crate) fn class_and_plan(&self, id: RequestId) -> ClassAndPlan {
        let request = &self.requests[&id];
        [(0, request.class), (1, self.customers[&request.customer].plan)]
    }

    /// Sets a timer, for at most an hour.
    pub(crate) fn set_timer(&mut self, after: Micros, task: Task) {
        self.last_timer_token += 1;
        self.timers.insert(self.last_timer_token, task);
        let (token, after) = (TimerToken(self.last_timer_token), after.min(3_600_000_000));
        self.actions.push(Action::SetTimer { token, after });
    }

    /// Returns the time since `at` in microseconds; 0 if it is in the future.
    pub(crate) fn since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64
    }

    /// Rounds a value that all gateways have in common to a whole number, so that its sum over all gateways
    /// is about right: in each period, in microseconds, a hash decides which of them round up. `key` tells
    /// different values apart.
    pub(crate) fn round_by_hash(&self, value: f64, period: f64, key: u64) -> f64 {
        let threshold = self.hash_fraction(hash(key) ^ (self.now as f64 / period) as u64);
        value.floor() + f64::from(u8::from(threshold < value.fract()))
    }

    /// Returns a hash of this gateway's number and `key` in 0..1.
    pub(crate) fn hash_fraction(&self, key: u64) -> f64 {
        to_fraction(hash(hash(u64::from(self.cfg.own_index.0)) ^ key))
    }

    /// Returns how many of the times are within the last [`Config::collapse_after`].
    pub(crate) fn recent_count(&self, times: &VecDeque<Micros>) -> f64 {
        times.iter().filter(|&&t| self.since(t) <= self.cfg.collapse_after as f64).count() as f64
    }

    /// Returns the initial `turn_progress` at a backend that becomes cold. It differs between the gateways,
    /// as all of them learn of a start at nearly the same time.
    pub(crate) fn initial_turn(&self, row: &BackendRow) -> f64 {
        self.hash_fraction(hash(row.key()))
    }

    /// Removes a request from those held for a total, and the units counted for it.
    pub(crate) fn drop_held_request(&mut self, id: RequestId) {
        let Some(customer_id) = self.requests.get(&id).map(|r| r.customer) else { return };
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        let index = customer.pending.iter().position(|h| h.id == id);
        customer.current.unsent -= index.map_or(0.0, |index| customer.pending.remove(index).counted);
    }

    /// Schedules a customer's next sync in `after` microseconds, unless an earlier one is scheduled.
    pub(crate) fn schedule_sync(&mut self, id: CustomerId, after: f64) {
        let at = self.now + after as Micros;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if customer.sync_at.is_none_or(|t| t > at) {
            customer.sync_at.map(|t| self.sync_queue.remove(&(t, id)));
            customer.sync_at = Some(at);
            self.sync_queue.insert((at, id));
        }
    }
}

impl BackendRow {
    /// Returns the backend's address and port as one number, to hash it.
    pub(crate) fn key(&self) -> u64 {
        let port = u64::from(self.backend.port);
        u64::from(u32::from_be_bytes(self.backend.address)) << 16 | port
    }
}
