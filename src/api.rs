//! The types of the decision module's interface: its input ([`Event`]) and its output ([`Action`]). Times are
//! microseconds on the caller's monotonic event clock. `src/settings.rs` has its settings.

use crate::succession::HandoverState;
use serde::{Deserialize, Serialize};

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
    /// An index into [`crate::Config::classes`].
    ClassIndex(u16);
    /// An index into [`crate::Config::plans`].
    PlanIndex(u16);
    /// An index into [`crate::Config::zones`].
    ZoneIndex(u8);
    /// An index into [`crate::Config::machine_kinds`].
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
    /// Its weight; see [`crate::WeightKind`].
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

/// A backend's load report: values in the order of [`crate::Config::load_fields`].
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
    /// The customer is new, and as many customers are known as may be.
    TooManyCustomers,
}

impl RefusalReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 7] = [
        Self::OverQuota,
        Self::NoFreshTotal,
        Self::Overloaded,
        Self::NoBackend,
        Self::GivenUp,
        Self::Unknown,
        Self::TooManyCustomers,
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
            Self::TooManyCustomers => "too_many_customers",
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
