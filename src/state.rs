//! What a gateway remembers: plain data, no decisions. `src/logic.rs` decides on it.

use crate::api::*;
pub(crate) use crate::random::{hash, to_fraction, Random};
pub(crate) use crate::succession::HandoverState;
pub(crate) use crate::vitals::RefusalCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A customer's count in one window.
#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WindowCount {
    /// Global units as last told by the counter.
    pub(crate) total: f64,
    #[serde(rename = "told_at")]
    pub(crate) total_received_at: Option<Micros>,
    /// This gateway's units known or believed to be on the counter.
    pub(crate) added: f64,
    /// Units not sent yet, and units in the call that is out.
    pub(crate) unsent: f64,
    /// True units less the guesses, where no call is made for them alone.
    #[serde(default)]
    #[serde(rename = "fix")]
    pub(crate) correction: f64,
    pub(crate) in_call: f64,
    #[serde(rename = "calling")]
    pub(crate) call_in_flight: bool,
    /// A request came here in this window.
    #[serde(rename = "asked")]
    pub(crate) request_seen: bool,
    /// Units that went on here.
    #[serde(rename = "passed")]
    pub(crate) admitted: f64,
    pub(crate) restored: bool,
    /// Others' units in the last total, as taken from the store.
    #[serde(rename = "others")]
    pub(crate) others_units: f64,
}

/// A request held for a fresh total.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldRequest {
    pub(crate) id: RequestId,
    pub(crate) units: f64,
    /// What is counted for it: more than its units where it stands for others not counted.
    pub(crate) counted: f64,
    /// What is to be counted once it has gone on.
    pub(crate) deferred: f64,
    /// Its customer had come here within two windows.
    pub(crate) returning: bool,
    /// The call that is out carries it.
    pub(crate) covered: bool,
}

#[derive(Default, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    /// The set of its last request: how many gateways, and the first of them.
    #[serde(default)]
    #[serde(rename = "set")]
    pub(crate) gateway_set: Option<(f64, f64)>,
    pub(crate) window: u64,
    #[serde(rename = "cur")]
    pub(crate) current: WindowCount,
    #[serde(rename = "prev")]
    pub(crate) previous: WindowCount,
    #[serde(rename = "prev_reads")]
    pub(crate) previous_reads: u32,
    /// Share of the customer's traffic that comes through here, smoothed.
    #[serde(rename = "share")]
    pub(crate) traffic_share: f64,
    /// Units a window that come through the others, smoothed.
    #[serde(rename = "others")]
    pub(crate) others_units: f64,
    #[serde(skip)]
    pub(crate) sync_at: Option<Micros>,
    #[serde(skip)]
    pub(crate) held: Vec<HeldRequest>,
    /// How often fresh totals found it over its quota, lately, and when last; 0: never judged.
    #[serde(rename = "over")]
    pub(crate) over_quota_rate: f64,
    #[serde(rename = "judged_at")]
    pub(crate) quota_checked_at: Micros,
    #[serde(skip)]
    pub(crate) in_flight: u32,
    pub(crate) ceiling: Option<(f64, Micros)>,
    #[serde(rename = "seen")]
    pub(crate) last_seen_at: Micros,
    /// The store that the counts leave, replayed: a lower bound of what the customer may still use.
    #[serde(rename = "store")]
    pub(crate) bucket_level: f64,
    #[serde(rename = "store_at")]
    pub(crate) bucket_updated_at: Micros,
    /// This gateway's traffic-weighted part of that store, for it alone; it holds one request at the least.
    #[serde(rename = "slice")]
    pub(crate) own_bucket_level: f64,
}

#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// Ejected as an outlier until then; the wait to follow if the trial fails.
    Ejected { until: Micros, backoff: f64, dead: bool },
    /// A probe or a single trial attempt is out.
    Trial { backoff: f64, dead: bool },
}

#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) row: BackendRow,
    pub(crate) listed: bool,
    pub(crate) in_flight: u32,
    /// Of these, attempts that got lost, and when the last one that it has answered was sent.
    pub(crate) stalled: u32,
    pub(crate) newest_answered: Micros,
    /// Latency against the fleet's for the same class: 1 is usual.
    pub(crate) latency_ratio: f64,
    pub(crate) latency_ratio_at: Micros,
    /// Own requests out, smoothed over the age that reports have.
    pub(crate) in_flight_mean: f64,
    pub(crate) in_flight_mean_at: Micros,
    /// Others' requests there as reported, smoothed, and when.
    pub(crate) reported_others: Option<(f64, Micros)>,
    /// When it last answered `full` to a class (0, index) or plan (1, index), unless served since.
    pub(crate) last_full_at: BTreeMap<(u8, usize), Micros>,
    pub(crate) failures: u32,
    pub(crate) error_rate: f64,
    /// When its last answer came, or when it was first listed.
    pub(crate) last_answer_at: Micros,
    /// How long it was last ejected; halved by each request served since.
    pub(crate) last_backoff: f64,
    /// Part of the attempts, of late, whose connection broke, and when one last did.
    pub(crate) reset_rate: f64,
    pub(crate) last_reset_at: Micros,
    pub(crate) health: Health,
    /// When it started as told, and when it came back from what looked like its death.
    pub(crate) started_at: Option<Micros>,
    pub(crate) presumed_started_at: Option<Micros>,
    /// Sends within the fall span, and answers.
    pub(crate) recent_sends: VecDeque<Micros>,
    pub(crate) recent_completions: VecDeque<Micros>,
    /// How near this gateway's next turn is, where many share a cold one: due at 1.
    pub(crate) turn_progress: f64,
}

/// Errors after which one more ejects a backend; below the part for that, `SICK_ERRORS`.
pub(crate) const MAX_READMITTED_ERROR_RATE: f64 = 0.36;

pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Micros,
    /// How it ended; `None` while out.
    pub(crate) outcome: Option<Outcome>,
    /// Others that were sent there well after it have been answered, or its request is still coming: no work
    /// waits with it.
    pub(crate) stalled: bool,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) customer: CustomerId,
    pub(crate) deadline: Micros,
    pub(crate) units: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
    /// Its body is still coming; and it can't be sent again.
    pub(crate) body_pending: bool,
    pub(crate) body_consumed: bool,
}

#[derive(Clone, Copy)]
pub(crate) enum Task {
    Housekeeping,
    Deadlines,
    Hedge(RequestId),
    /// A call for this customer was overdue one time-out ago.
    OverdueCall(CustomerId),
}

/// The decision module of one gateway. The default value has no classes and refuses every request.
#[derive(Default)]
pub struct Gateway {
    pub(crate) cfg: Config,
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Random,
    pub(crate) now: Micros,
    pub(crate) started_at: Option<Micros>,
    pub(crate) timers: BTreeMap<u64, Task>,
    pub(crate) last_timer_token: u64,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) counter_keys: BTreeMap<CounterKey, (CustomerId, u64)>,
    pub(crate) sync_queue: BTreeSet<(Micros, CustomerId)>,
    /// Calls that the counter has or may have in its line, also those given up: an overdue one is out until
    /// its end is known.
    pub(crate) calls_in_flight: f64,
    /// Calls that may be out at once, and below what it opens fast again (congestion window, slow start).
    pub(crate) max_calls: f64,
    pub(crate) fast_growth_limit: f64,
    /// When the counter last answered well in time.
    pub(crate) counter_answered_at: Micros,
    /// Part of the calls wanted that the counter is seen to bear, and when it last fell.
    pub(crate) call_pace: f64,
    pub(crate) last_congestion_at: Micros,
    /// Part of the customers not met before that turned out over their quota, by plan, and again
    /// of those that had come within two windows.
    pub(crate) over_quota_rates: Vec<[f64; 2]>,
    /// Mean worth of what a call may decide.
    pub(crate) mean_call_value: f64,
    /// Time-outs' spans in a row in which calls failed and none was answered, and when last counted.
    pub(crate) counter_failures: u32,
    pub(crate) counter_failed_at: Micros,
    /// Part of the calls, of late, that got no answer in time, and when the last one ended.
    pub(crate) unanswered_call_rate: f64,
    pub(crate) last_call_ended_at: Micros,
    pub(crate) next_trial_call_at: Micros,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// Backends out by hand, listed or not, and since when.
    pub(crate) disabled_backends: BTreeMap<BackendId, Micros>,
    /// What a warm backend serves from here within a fall span, as far as last known.
    pub(crate) warm_throughput: f64,
    pub(crate) draining: bool,
    /// Another process of this gateway serves, too: each spends half of its part.
    pub(crate) other_process_serving: bool,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// When open requests end, and the one timer that is set for them: when, and its token.
    pub(crate) deadlines: BTreeSet<(Micros, RequestId)>,
    pub(crate) deadline_timer: Option<(Micros, u64)>,
    /// Mean latency of each class, microseconds, and its least recent value.
    pub(crate) class_latency: Vec<f64>,
    pub(crate) class_idle_latency: Vec<f64>,
    /// Answers of each that these rest on, up to the first few.
    pub(crate) class_samples: Vec<u32>,
    /// Of the requests of each that asked for room of late, the part let in.
    pub(crate) class_admission: Vec<DecayingRatio>,
    /// Completions a second (smoothed), for the bound on what is out.
    pub(crate) completion_rate: f64,
    pub(crate) completions: f64,
    pub(crate) rates_updated_at: Micros,
    pub(crate) send_rate: f64,
    pub(crate) sends: f64,
    pub(crate) in_flight: u32,
    /// Attempts out that got lost on the way: no work waits with them.
    pub(crate) stalled: u32,
    pub(crate) retry_tokens: f64,
    pub(crate) mean_worth: f64,
    pub(crate) mean_idle_latency: f64,
    /// Mean latency of late, all classes.
    pub(crate) mean_latency: f64,
    pub(crate) list_requested_at: Micros,
    pub(crate) list_failed: bool,
    pub(crate) refusals: RefusalCounts,
}

pub(crate) enum QuotaDecision {
    /// Goes on; whether it is to be counted, and the odds that it is over its quota.
    Admit(bool, f64),
    /// Held for a fresh total, with what is counted for it.
    Hold(f64),
    /// Refused for this reason, with how long to stay away.
    Refuse(RefusalReason, Micros),
}

/// A part of what came of late, in counts that fade.
#[derive(Default, Clone)]
pub(crate) struct DecayingRatio {
    total: f64,
    hits: f64,
}

impl DecayingRatio {
    pub(crate) fn record(&mut self, hit: bool) {
        (self.total, self.hits) = (self.total + 1.0, self.hits + f64::from(u8::from(hit)));
    }

    /// Forgets this part of what was counted.
    pub(crate) fn decay(&mut self, part: f64) {
        (self.total, self.hits) = (self.total * (1.0 - part), self.hits * (1.0 - part));
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.hits / self.total.max(1.0)
    }
}

/// Adds an instant and forgets those that are over a span old.
pub(crate) fn record_time(times: &mut VecDeque<Micros>, now: Micros, span: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|&t| now.saturating_sub(t) > span) {
        times.pop_front();
    }
}

/// Moves a running mean; one not begun takes the first sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, gain: f64) {
    *mean += (sample - *mean) * if *mean > 0.0 { gain } else { 1.0 };
}

impl WindowCount {
    pub(crate) fn own_units(&self) -> f64 {
        self.added + self.unsent + self.in_call
    }
    pub(crate) fn total_estimate(&self) -> f64 {
        (self.total + self.unsent + self.in_call).max(self.own_units())
    }
}

impl Customer {
    /// One that has not been met: a full store, and an even part of the traffic.
    pub(crate) fn new(plan: usize, window: u64, spread: f64, store: f64, now: Micros) -> Self {
        let share = 1.0 / spread;
        let (others, slice) = (store * (1.0 - share), store * share);
        Customer {
            plan,
            spread,
            window,
            traffic_share: share,
            others_units: others,
            bucket_level: store,
            bucket_updated_at: now,
            own_bucket_level: slice,
            ..Customer::default()
        }
    }

    /// Books what goes on here: in this gateway's own count and in the replayed store.
    pub(crate) fn record_admitted(&mut self, units: f64) {
        self.current.admitted += units;
        self.bucket_level = (self.bucket_level - units).max(0.0);
        self.own_bucket_level = (self.own_bucket_level - units).max(-units);
    }

    /// The count of the present window or the last.
    pub(crate) fn window_count(&mut self, window: u64) -> Option<&mut WindowCount> {
        match self.window.checked_sub(window)? {
            0 => Some(&mut self.current),
            1 => Some(&mut self.previous),
            _ => None,
        }
    }

    /// Takes in a total, and in the store what others were found to use.
    pub(crate) fn record_total(&mut self, window: u64, total: f64, now: Micros) {
        let Some(t) = self.window_count(window) else { return };
        let others = (total - t.added).max(0.0);
        let before = std::mem::replace(&mut t.others_units, others);
        (t.total, t.total_received_at) = (total, Some(now));
        self.bucket_level = (self.bucket_level - (others - before)).max(0.0);
    }

    /// When a total of either window last came.
    pub(crate) fn total_received_at(&self) -> Option<Micros> {
        self.current.total_received_at.or(self.previous.total_received_at)
    }
}

impl Backend {
    /// Takes a backend on trial back into use, cold if its process had ended.
    pub(crate) fn readmit(&mut self, now: Micros) {
        if let Health::Trial { dead, .. } = self.health {
            // One that was ejected for its errors is again at the next one.
            (self.health, self.error_rate, self.latency_ratio) =
                (Health::Healthy, self.error_rate.min(MAX_READMITTED_ERROR_RATE), 1.0);
            self.presumed_started_at = if dead { Some(now) } else { self.presumed_started_at };
        }
    }
}

impl CustomerId {
    /// What is kept of a customer under one of its plans goes by this; twice, it is the customer's own number
    /// again. Customers are numbers below 2^33.
    pub(crate) fn for_plan(self, plan: usize) -> Self {
        CustomerId(self.0 ^ (plan as u64) << 33)
    }
}

impl Backend {
    /// Own requests that wait for their turn there, as far as is known.
    pub(crate) fn active_attempts(&self) -> f64 {
        self.in_flight.saturating_sub(self.stalled) as f64
    }
}

/// A request's class (0, index) and plan (1, index).
pub(crate) type ClassAndPlan = [(u8, usize); 2];

impl Gateway {
    /// One that has seen nothing yet of so many classes.
    pub(crate) fn for_classes(n: usize) -> Self {
        let (class_lat, class_base, class_seen) = (vec![0.0; n], vec![0.0; n], vec![0; n]);
        Gateway {
            class_latency: class_lat,
            class_idle_latency: class_base,
            class_samples: class_seen,
            class_admission: vec![DecayingRatio::default(); n],
            ..Self::default()
        }
    }

    /// How many gateways a customer's requests come through, where it says so: one at the least.
    pub(crate) fn bounded_spread(&self, told: f64) -> f64 {
        told.max(1.0).min(self.cfg.gateways as f64)
    }

    /// Attempts out that work waits with, as far as is known.
    pub(crate) fn active_attempts(&self) -> f64 {
        self.in_flight.saturating_sub(self.stalled) as f64
    }

    /// Returns whether an operator drains this gateway.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// What is left of news of then: 1 now, fading `over` this long.
    pub(crate) fn decay(&self, at: Micros, over: f64) -> f64 {
        (-self.since(at) / over).exp()
    }

    pub(crate) fn class_and_plan(&self, id: RequestId) -> ClassAndPlan {
        let r = &self.requests[&id];
        [(0, r.class), (1, self.customers[&r.customer].plan)]
    }

    pub(crate) fn set_timer(&mut self, after: Micros, task: Task) {
        self.last_timer_token += 1;
        self.timers.insert(self.last_timer_token, task);
        let (token, after) = (TimerToken(self.last_timer_token), after.min(3_600_000_000));
        self.actions.push(Action::SetTimer { token, after });
    }

    pub(crate) fn since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64
    }

    /// A whole number for a part: in each slot of time, of all gateways those that the lot picks get one
    /// more.
    pub(crate) fn round_by_lot(&self, part: f64, slot: f64, of: u64) -> f64 {
        let lot = self.hash_fraction(hash(of) ^ (self.now as f64 / slot) as u64);
        part.floor() + f64::from(u8::from(lot < part.fract()))
    }

    /// This gateway's lot in 0..1 in a matter.
    pub(crate) fn hash_fraction(&self, of: u64) -> f64 {
        to_fraction(hash(hash(u64::from(self.cfg.own_index.0)) ^ of))
    }

    /// How many of these were within the fall span.
    pub(crate) fn recent_count(&self, times: &VecDeque<Micros>) -> f64 {
        times.iter().filter(|&&t| self.since(t) <= self.cfg.collapse_after as f64).count() as f64
    }

    /// How near its first turn at a backend that becomes cold is: anywhere, as all gateways learn of a start
    /// at nearly the same time.
    pub(crate) fn initial_turn(&self, row: &BackendRow) -> f64 {
        self.hash_fraction(hash(row.key()))
    }

    /// Lets go of a request held for a total, with what was to be counted for it.
    pub(crate) fn drop_held_request(&mut self, id: RequestId) {
        let Some(cid) = self.requests.get(&id).map(|r| r.customer) else { return };
        let Some(c) = self.customers.get_mut(&cid) else { return };
        let at = c.held.iter().position(|h| h.id == id);
        c.current.unsent -= at.map_or(0.0, |at| c.held.remove(at).counted);
    }

    /// Brings a customer's next sync forward to `after` from now; an earlier one stays.
    pub(crate) fn schedule_sync(&mut self, id: CustomerId, after: f64) {
        let at = self.now + after as Micros;
        let Some(c) = self.customers.get_mut(&id) else { return };
        if c.sync_at.is_none_or(|t| t > at) {
            c.sync_at.map(|t| self.sync_queue.remove(&(t, id)));
            c.sync_at = Some(at);
            self.sync_queue.insert((at, id));
        }
    }
}

impl BackendRow {
    /// The backend's address as a number.
    pub(crate) fn key(&self) -> u64 {
        let port = u64::from(self.backend.port);
        u64::from(u32::from_be_bytes(self.backend.address)) << 16 | port
    }
}
