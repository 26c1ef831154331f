//! The record of a run: everything that was observed, in order, on one monotonic clock. The oracle reads nothing else.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time since the start of the run.
pub type Moment = Duration;
/// The id of one request of a client. A request that the client sends again gets a new id.
pub type RequestId = u64;
/// A gateway's index in the fleet.
pub type GatewayIndex = usize;
/// A backend's index in the list of backends.
pub type BackendIndex = usize;

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Free of side effects: may be repeated at any time.
    Pure,
    /// Carries an idempotency key: may be repeated within the key's window.
    Keyed,
    /// Has side effects: must run at most once.
    Unsafe,
}

/// A request as a client sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The id.
    pub id: RequestId,
    /// The gateway that it was sent to.
    pub gateway: GatewayIndex,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// The customer that it belongs to.
    pub customer: u64,
    /// How long the client waits for the answer, as stated in the request.
    pub timeout: Duration,
    /// Whether it asks for a long answer, which may go on after the timeout.
    pub long_answer: bool,
    /// Whether it counts for the share of requests that must be served after the recovery time: it is within its
    /// customer's quota, with the usual timeout, and from a client that waits.
    pub counts_for_recovery: bool,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// A complete answer came.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body is that of a backend for this request; always true for a status other than 200.
        body_fits: bool,
    },
    /// The connection ended in the middle of the answer, or of the request's body.
    Truncated,
    /// The connection was reset before any answer, or closed with bytes unread: the gateway had not read the request.
    Unread,
    /// The connection was closed without an answer after the gateway had read the request.
    Closed,
    /// The connection stayed open without a complete answer until long after the client's timeout.
    NoAnswer,
    /// The client closed the connection before the answer came.
    Left,
}

/// How a backend ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend wrote a complete answer with status 200.
    Served,
    /// The backend answered with an error.
    Error,
    /// The backend rejected the request without processing it.
    Rejected,
    /// The backend ended the connection without a complete answer.
    Aborted,
    /// The gateway closed the connection before the answer was complete.
    Cancelled,
}

/// The state of a backend in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// In service.
    Serving,
    /// Takes no new requests.
    Draining,
    /// No longer there.
    Deleted,
}

/// One observation.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote the last byte of a request.
    RequestSent(SentRequest),
    /// A request ended for its client.
    RequestEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: ClientOutcome,
    },
    /// A client closed its connection while it waited for an answer, or in the middle of a request.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A peer sent no proper request, and the gateway answered or closed its connection, or failed to do so.
    BadPeer {
        /// The gateway.
        gateway: GatewayIndex,
        /// The time until the gateway answered or closed the connection; `None` if it did neither.
        ended_after: Option<Duration>,
    },
    /// A backend received the last byte of an attempt.
    AttemptBegan {
        /// The request.
        id: RequestId,
        /// The backend.
        backend: BackendIndex,
        /// The gateway that sent it.
        gateway: GatewayIndex,
        /// When its first byte was received.
        first_byte: Moment,
        /// The time left until the deadline as the request's header states it; `None` without that header.
        stated_time_left: Option<Duration>,
        /// The attempt's number, unique in the run.
        attempt: u64,
    },
    /// An attempt ended at its backend.
    AttemptEnded {
        /// The attempt's number.
        attempt: u64,
        /// How it ended.
        end: AttemptOutcome,
    },
    /// A backend received an attempt without a request id.
    AttemptWithoutId {
        /// The backend.
        backend: BackendIndex,
    },
    /// Discovery wrote a backend's state to a gateway.
    StateDelivered {
        /// The gateway.
        gateway: GatewayIndex,
        /// The backend.
        backend: BackendIndex,
        /// Its state.
        state: BackendState,
    },
    /// The registry took in a backend's new state, and tells it to all gateways that call discovery from then on.
    StatePublished {
        /// The backend.
        backend: BackendIndex,
        /// Its state.
        state: BackendState,
    },
    /// A gateway's discovery agent became available or unavailable.
    DiscoveryAvailability {
        /// The gateway.
        gateway: GatewayIndex,
        /// Whether it can be reached and answers as it should.
        available: bool,
    },
    /// An operator disabled a backend at a gateway, which confirmed it, or is about to enable it again.
    BackendDisabled {
        /// The gateway.
        gateway: GatewayIndex,
        /// The backend.
        backend: BackendIndex,
        /// Whether it was disabled; otherwise it is enabled.
        disabled: bool,
    },
    /// A backend's process started, cold.
    BackendStarted {
        /// The backend.
        backend: BackendIndex,
    },
    /// A gateway's process was started.
    ProcessStarted {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// A gateway's process said that it is ready, or did not become ready.
    ProcessReady {
        /// The process.
        pid: u32,
        /// The time from the first readiness check; `None` if the process did not become ready.
        after: Option<Duration>,
    },
    /// A gateway's process was sent SIGKILL.
    ProcessKilled {
        /// The gateway.
        gateway: GatewayIndex,
        /// Whether it had been sent SIGTERM before.
        planned: bool,
    },
    /// A gateway's processes were paused with SIGSTOP and have just been continued.
    ProcessPaused {
        /// The gateway.
        gateway: GatewayIndex,
        /// The length of the pause.
        duration: Duration,
    },
    /// A gateway's process ended.
    ProcessExited {
        /// The gateway.
        gateway: GatewayIndex,
        /// The process.
        pid: u32,
        /// The exit status or the signal, as text.
        exit_status: String,
        /// Whether it had been sent SIGTERM or SIGKILL.
        expected: bool,
    },
    /// The state of a gateway's process at the end of the run, from its metrics and from the operating system.
    FinalMetrics {
        /// The gateway.
        gateway: GatewayIndex,
        /// Violations that its runtime invariant checks have counted.
        violations: u64,
        /// Open descriptors.
        descriptors: usize,
        /// Descriptors that were open when the process had become ready.
        descriptors_when_ready: usize,
        /// Resident memory in kB: now, and when the process had become ready.
        memory_kb: (u64, u64),
        /// Live tasks, if its metrics have that number.
        tasks: Option<u64>,
        /// Whether it answers `/ready` with 200.
        healthy: bool,
    },
    /// A gateway has no process at the end, or one that does not return its metrics.
    FinalMetricsMissing {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// A gateway's log has a line about a violated runtime check or a panic.
    LogAlarm {
        /// The line, with the gateway and the process.
        line: String,
    },
    /// A trouble began. The number is its index in the scenario.
    TroubleBegan(usize),
    /// A trouble ended. The number is its index in the scenario.
    TroubleEnded(usize),
    /// The measurement after the recovery time began.
    MeasureBegan,
    /// The measurement ended.
    MeasureEnded,
}

/// An event and the time at which it was observed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time of the event.
    pub at: Moment,
    /// The event.
    pub event: Event,
}

/// The record of a run, shared by all that observe something.
pub struct Trace {
    started_at: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Trace {
    fn default() -> Self {
        Trace { started_at: Instant::now(), entries: Mutex::default() }
    }
}

impl Trace {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Moment {
        self.started_at.elapsed()
    }

    /// Appends an event with the present time.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.started_at.elapsed();
        entries.push(Entry { at, event });
    }

    /// Returns a copy of all events so far, in order of time.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
