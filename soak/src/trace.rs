//! What was seen during a run, in order, on one monotonic clock. The oracle reads nothing else.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time since the run began.
pub type Moment = Duration;
/// A client's request; each one has an id of its own, also when a client sends it once more.
pub type RequestId = u64;
/// A gateway's place in the fleet.
pub type GatewayIndex = usize;
/// A backend's place in the list.
pub type BackendIndex = usize;

/// What may be done with a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Pure,
    /// May be repeated within a window.
    Keyed,
    /// Runs at most once.
    Unsafe,
}

/// What a client sends.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its id.
    pub id: RequestId,
    /// The gateway it was sent to.
    pub gateway: GatewayIndex,
    /// What may be done with it.
    pub effect: Effect,
    /// Its customer.
    pub customer: u64,
    /// How long the client waits.
    pub timeout: Duration,
    /// The answer that it asks for may go on past its time.
    pub long_answer: bool,
    /// It asks within its quota, with usual time, and stays: such requests are to be served when all is well.
    pub counts_for_recovery: bool,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// The body is that of a backend for this request.
        body_fits: bool,
    },
    /// The connection ended within an answer.
    Truncated,
    /// The connection was reset, or closed over unread bytes: the request had not been read.
    Unread,
    /// The connection was closed after the request had been read, with no answer.
    Closed,
    /// Nothing came until long after the client's time.
    NoAnswer,
    /// The client left.
    Left,
}

/// How a backend ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole good answer was written.
    Served,
    /// An error was answered.
    Error,
    /// Turned away, not run.
    Rejected,
    /// The backend broke it off or left it without an answer.
    Aborted,
    /// The gateway ended the connection.
    Cancelled,
}

/// The state of a backend as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// In service.
    Serving,
    /// Wants nothing new.
    Draining,
    /// Gone.
    Deleted,
}

/// One thing seen.
#[derive(Clone, Debug)]
pub enum Event {
    /// The last byte of a request was written.
    RequestSent(SentRequest),
    /// A request ended for its client.
    RequestEnded {
        /// The request.
        id: RequestId,
        /// How.
        end: ClientOutcome,
    },
    /// A client closed its connection with a request out, or in the middle of one.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// Somebody that sends no proper request got an error or a close, or did not.
    BadPeer {
        /// The gateway.
        gateway: GatewayIndex,
        /// How long that took; `None`: it was not ended.
        ended_after: Option<Duration>,
    },
    /// The last byte of an attempt came to a backend.
    AttemptBegan {
        /// The request.
        id: RequestId,
        /// Where.
        backend: BackendIndex,
        /// From where.
        gateway: GatewayIndex,
        /// When its first byte came.
        first_byte: Moment,
        /// The time that it was told to have.
        stated_time_left: Option<Duration>,
        /// The number of the attempt, over all of the run.
        attempt: u64,
    },
    /// An attempt ended at its backend.
    AttemptEnded {
        /// The number of the attempt.
        attempt: u64,
        /// How.
        end: AttemptOutcome,
    },
    /// An attempt reached a backend that names no request.
    AttemptWithoutId {
        /// The backend.
        backend: BackendIndex,
    },
    /// Discovery has written to a gateway what state a backend is in.
    StateDelivered {
        /// The gateway.
        gateway: GatewayIndex,
        /// The backend.
        backend: BackendIndex,
        /// Its state.
        state: BackendState,
    },
    /// Discovery has learnt of a state, and can tell all gateways that reach it.
    StatePublished {
        /// The backend.
        backend: BackendIndex,
        /// Its state.
        state: BackendState,
    },
    /// A gateway's discovery can be reached and answers, or not.
    DiscoveryAvailability {
        /// The gateway.
        gateway: GatewayIndex,
        /// Whether it answers.
        available: bool,
    },
    /// An operator's call to take a backend out, or back in, was answered with yes.
    BackendDisabled {
        /// The gateway.
        gateway: GatewayIndex,
        /// The backend.
        backend: BackendIndex,
        /// Out or back in.
        disabled: bool,
    },
    /// A backend's process has started, cold.
    BackendStarted {
        /// The backend.
        backend: BackendIndex,
    },
    /// A gateway's process was started.
    ProcessStarted {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// It said that it is ready, or had not when it was asked last.
    ProcessReady {
        /// Its process.
        pid: u32,
        /// How long that took; `None`: it was not ready in time.
        after: Option<Duration>,
    },
    /// A process was killed; planned where it had been told to end before.
    ProcessKilled {
        /// The gateway.
        gateway: GatewayIndex,
        /// It had been told to end.
        planned: bool,
    },
    /// A process was stopped for a moment.
    ProcessPaused {
        /// The gateway.
        gateway: GatewayIndex,
        /// For how long.
        duration: Duration,
    },
    /// A process ended.
    ProcessExited {
        /// The gateway.
        gateway: GatewayIndex,
        /// Its process.
        pid: u32,
        /// How, in words.
        exit_status: String,
        /// It had been told to end or was killed.
        expected: bool,
    },
    /// What a process said of itself at the end.
    FinalMetrics {
        /// The gateway.
        gateway: GatewayIndex,
        /// Violations that its own guards have counted.
        violations: u64,
        /// Descriptors that it holds.
        descriptors: usize,
        /// Descriptors that it held once it was ready.
        descriptors_when_ready: usize,
        /// Memory that it holds, and held once it was ready, in kB.
        memory_kb: (u64, u64),
        /// Tasks alive, where it tells.
        tasks: Option<u64>,
        /// It answers `/healthz` with 200.
        healthy: bool,
    },
    /// A process does not answer its operators at the end.
    FinalMetricsMissing {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// A line of a log tells of a guard that refused a step, or of a panic.
    LogAlarm {
        /// The line, which names gateway and process.
        line: String,
    },
    /// A trouble began; its place in the scenario.
    TroubleBegan(usize),
    /// A trouble was over.
    TroubleEnded(usize),
    /// The time in which nine in ten requests are to be served.
    MeasureBegan,
    /// Its end.
    MeasureEnded,
}

/// An event and when it was seen.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// The record of a run.
pub struct Trace {
    began: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Trace {
    fn default() -> Self {
        Trace { began: Instant::now(), entries: Mutex::default() }
    }
}

impl Trace {
    /// Time since the run began.
    pub fn now(&self) -> Moment {
        self.began.elapsed()
    }

    /// Takes in what has been seen just now.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed();
        entries.push(Entry { at, event });
    }

    /// All that has been seen, in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
