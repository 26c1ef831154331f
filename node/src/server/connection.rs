//! A client connection: its phase, its timeouts and its eviction rank.

use crate::body::answer_limit::{LengthClass, STALL_TIMEOUT};
use crate::body::download::Progress;
use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::body::upload::Backpressure;
use crate::guard::{Guard, Violation};
use crate::memory::budget::Budget;
use crate::meter::Meter;
use crate::reasons::CloseReason;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A request must have been received this long after its connection was opened or, for a later request, after its
/// first byte; a long one has more time in proportion to its bytes. Clients may take 2 s to send a head and send
/// bodies at 64 kB/s; an incomplete request must not hold its connection for 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The minimum rate of a request body, in bytes per second.
const MIN_UPLOAD_RATE: f64 = 40_000.0;
/// A connection whose request takes longer than this to arrive can be evicted at the connection limit.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(300);
/// A body whose reader has waited for more for this long, although all that has arrived is read, is not complete.
const READER_WAIT: Duration = Duration::from_millis(300);
/// An answer younger than this may still be on its way to the client.
const ANSWER_SETTLE_TIME: Duration = Duration::from_millis(20);
/// A connection that has been open or idle for less than this may be about to send a request.
pub const NEXT_REQUEST_GRACE: Duration = Duration::from_millis(50);

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The connection is new, and no request head has been received completely.
    New,
    /// A later request has begun to arrive.
    ReceivingHead,
    /// A request was admitted, and its body is still being received.
    ReceivingBody,
    /// A request has been received completely and waits for its answer.
    Processing,
    /// The answer of a backend is being streamed to the client.
    Responding,
    /// The connection is between requests.
    Idle,
}

/// The order in which connections are evicted at the connection limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// No byte has been received.
    Silent,
    /// The connection is between requests.
    Idle,
    /// The request head arrives slowly.
    SlowHead,
    /// The request body arrives slowly.
    SlowBody,
}

/// Why this process aborted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The request arrives too slowly.
    RequestTooSlow,
    /// The client has closed it.
    ClientClosed,
    /// The client has stopped reading an answer.
    ClientStopped,
    /// It was evicted in favour of another connection.
    MadeWay,
    /// This process is shutting down.
    ProcessEnded,
}

impl AbortReason {
    /// The matching reason for an answer that was being streamed.
    pub fn answer_interruption(self) -> AnswerInterruption {
        match self {
            AbortReason::ClientStopped => AnswerInterruption::ClientStopped,
            AbortReason::ProcessEnded => AnswerInterruption::ProcessEnded,
            AbortReason::RequestTooSlow | AbortReason::ClientClosed | AbortReason::MadeWay => {
                AnswerInterruption::ClientClosed
            }
        }
    }

    /// The matching reason for a request body that was still being received.
    pub fn upload_interruption(self) -> UploadInterruption {
        match self {
            AbortReason::RequestTooSlow => UploadInterruption::TooSlow,
            AbortReason::MadeWay => UploadInterruption::MadeWay,
            AbortReason::ClientClosed | AbortReason::ClientStopped | AbortReason::ProcessEnded => {
                UploadInterruption::ClientBroke
            }
        }
    }
}

/// The state of a client connection, shared between its task and the server.
pub struct ClientConnection {
    /// The socket with its counts of bytes read and written.
    pub meter: Rc<Meter>,
    phase: Cell<Phase>,
    /// When the phase began.
    phase_began: Cell<Instant>,
    /// The number of bytes read before the phase began.
    read_before_phase: Cell<u64>,
    /// The number of bytes written when that number last changed, and the time of that.
    write_progress: Cell<(u64, Instant)>,
    /// The progress of the answer that is being streamed.
    pub answer_progress: Cell<Option<Progress>>,
    /// How long this process has paused receiving the request body.
    pub backpressure: Rc<Backpressure>,
    /// Whether the request body is still being received although the request has been answered.
    pub draining_upload: Cell<bool>,
    /// Whether the whole body has been found to have arrived, in the phase in which it is received. That holds only
    /// until its reader turns out to wait for more.
    body_arrived: Cell<bool>,
    /// Notified when the connection is to close after its current answer.
    pub close_requested: Notify,
    /// Whether the connection has been evicted.
    pub evicted: Cell<bool>,
    /// Why it was aborted.
    abort_reason: Cell<Option<AbortReason>>,
    /// Why it was told to close gracefully.
    graceful_close_reason: Cell<Option<CloseReason>>,
    /// Whether the connection closes after the answer that is being sent.
    pub last_answer: Cell<bool>,
    /// The number of requests received.
    request_count: Cell<u64>,
    /// The correlation id of the last request.
    last_correlation_id: RefCell<Option<Rc<str>>>,
    guard: Rc<Guard>,
    serving_task: OnceCell<AbortHandle>,
}

impl ClientConnection {
    /// Creates the state of a connection on which nothing has been received.
    pub fn new(stream: TcpStream, guard: Rc<Guard>) -> Rc<Self> {
        let connection = ClientConnection {
            meter: Meter::new(stream),
            phase: Cell::new(Phase::New),
            phase_began: Cell::new(Instant::now()),
            read_before_phase: Cell::new(0),
            write_progress: Cell::new((0, Instant::now())),
            backpressure: Rc::default(),
            draining_upload: Cell::new(false),
            body_arrived: Cell::new(false),
            answer_progress: Cell::new(None),
            close_requested: Notify::new(),
            evicted: Cell::new(false),
            abort_reason: Cell::new(None),
            graceful_close_reason: Cell::new(None),
            last_answer: Cell::new(false),
            request_count: Cell::new(0),
            last_correlation_id: RefCell::new(None),
            guard,
            serving_task: OnceCell::new(),
        };
        connection.meter.track_requests();
        Rc::new(connection)
    }

    /// Sets the task that serves the connection.
    pub fn set_serving_task(&self, task: AbortHandle) {
        let _ = self.serving_task.set(task);
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// How long the current phase has lasted.
    pub fn phase_age(&self) -> Duration {
        self.phase_began.get().elapsed()
    }

    /// When the current phase began.
    pub fn phase_began(&self) -> Instant {
        self.phase_began.get()
    }

    /// Enters a phase: restarts its clock and its count of bytes read.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_began.set(Instant::now());
        self.read_before_phase.set(self.meter.read());
        // The time for which a body was paused still counts while its request is processed or is answered early.
        if !matches!(phase, Phase::Processing | Phase::Responding) {
            self.backpressure.reset();
        }
    }

    /// Records that the body of a request that was answered early has been read to its end, if one is being read: the
    /// next request's time and bytes count from here.
    pub fn end_draining(&self) {
        if self.draining_upload.replace(false) && matches!(self.phase(), Phase::Idle | Phase::ReceivingHead) {
            let head_begun = self.meter.next_head_begun();
            self.enter_phase(if head_begun { Phase::ReceivingHead } else { Phase::Idle });
        }
    }

    /// Enters the phase in which a body is received. The time and the bytes read count from the start of the head.
    pub fn enter_body_phase(&self) {
        self.phase.set(Phase::ReceivingBody);
        self.body_arrived.set(false);
    }

    /// Whether the current request's body has arrived whole at this machine, so that the request must get its answer
    /// although a part of it may still be unread. `budget` provides the memory for looking into the socket.
    pub fn body_arrived(&self, budget: &Budget) -> bool {
        let arrived = self.meter.body_arrived(budget) && !self.reader_waits();
        if arrived && self.phase() == Phase::ReceivingBody {
            self.body_arrived.set(true);
        }
        arrived || self.request_taken()
    }

    /// Whether a request that has not been answered is known to have arrived whole. Its connection must not be closed.
    pub fn request_taken(&self) -> bool {
        match self.phase() {
            Phase::Processing => true,
            Phase::ReceivingBody => self.body_arrived.get() && !self.reader_waits(),
            _ => false,
        }
    }

    /// Whether the reader of a body goes on waiting for more although all that has arrived is read. It does not take
    /// the body for complete then, so the request may be answered or closed like any that is not complete.
    fn reader_waits(&self) -> bool {
        self.meter.since_last_read() >= READER_WAIT
            && !self.backpressure.is_paused()
            && self.meter.is_open_and_empty()
    }

    /// The number of bytes read since the phase began.
    pub fn read_in_phase(&self) -> u64 {
        self.meter.read().saturating_sub(self.read_before_phase.get())
    }

    /// Whether the request should have been received by now. Time for which this process paused the body does not
    /// count, and a request is not overdue while received bytes are unread or the previous answer is still being
    /// written.
    pub fn request_overdue(&self) -> bool {
        let by_bytes = Duration::from_secs_f64(self.read_in_phase() as f64 / MIN_UPLOAD_RATE);
        let late = self.phase_age() >= REQUEST_TIMEOUT + by_bytes + self.backpressure.paused();
        late && !self.request_taken() && !self.meter.write_blocked() && self.meter.is_open_and_empty()
    }

    /// Restarts the clock that measures whether the client reads an answer.
    pub fn begin_answer(&self) {
        self.write_progress.set((self.meter.written(), Instant::now()));
    }

    /// Whether an answer is being sent: one that is being streamed, or one that is not completely written yet.
    pub fn is_answering(&self) -> bool {
        self.phase() == Phase::Responding || self.meter.write_blocked()
    }

    /// Whether the client has read nothing of the pending output for `stall_time`.
    pub fn client_stalled(&self, stall_time: Duration) -> bool {
        let (written, at) = self.write_progress.get();
        if self.meter.written() != written || !self.meter.write_blocked() {
            self.begin_answer();
            return false;
        }
        at.elapsed() >= stall_time
    }

    /// Whether an answer is being streamed of which the backend has sent nothing for `stall_time`.
    pub fn answer_stalled(&self, stall_time: Duration) -> bool {
        let progress = self.answer_progress.get().filter(|_| self.phase() == Phase::Responding);
        progress.is_some_and(|progress| progress.last_received.elapsed() >= stall_time)
    }

    /// Whether the answer that is being streamed is known to be long.
    pub fn answer_is_long(&self) -> bool {
        self.answer_progress.get().is_some_and(|progress| progress.length_class == LengthClass::Long)
    }

    /// Whether the client has stopped sending a body that was answered early and the answer has stalled, too. A
    /// client that stops sending in order to read the answer does not count.
    pub fn upload_abandoned(&self) -> bool {
        self.draining_upload.get() && self.request_overdue() && self.answer_stalled(STALL_TIMEOUT)
    }

    /// Whether a request waits for its answer or for the rest of its body.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.phase(), Phase::ReceivingBody | Phase::Processing)
    }

    /// Whether nothing has been read since the phase began.
    pub fn nothing_read(&self) -> bool {
        self.meter.read() == self.read_before_phase.get()
    }

    /// Whether nothing has been received since the phase began, read or unread, so that closing interrupts no
    /// request.
    pub fn nothing_received(&self) -> bool {
        self.nothing_read() && self.meter.is_open_and_empty()
    }

    /// Whether the connection is new, has received nothing and may be about to send a request.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.phase() == Phase::New && self.nothing_read() && now - self.phase_began.get() < NEXT_REQUEST_GRACE
    }

    /// Whether the client has stopped in the middle of a request's body.
    pub fn upload_stopped(&self) -> bool {
        self.phase() == Phase::ReceivingBody
            && self.phase_age() >= SLOW_REQUEST_AGE
            && self.meter.since_last_data() >= SLOW_REQUEST_AGE
    }

    /// The eviction rank; `None` if the connection must not be evicted.
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let phase_age = now - self.phase_began.get();
        match self.phase() {
            Phase::New if self.nothing_read() => {
                (phase_age >= NEXT_REQUEST_GRACE).then_some(EvictionRank::Silent)
            }
            Phase::Idle | Phase::ReceivingHead if self.meter.write_blocked() => None,
            Phase::Idle if self.nothing_read() && phase_age >= ANSWER_SETTLE_TIME => Some(EvictionRank::Idle),
            Phase::New | Phase::ReceivingHead if phase_age >= SLOW_REQUEST_AGE => {
                Some(EvictionRank::SlowHead)
            }
            Phase::ReceivingBody if phase_age >= SLOW_REQUEST_AGE => Some(EvictionRank::SlowBody),
            _ => None,
        }
    }

    /// Closes the connection once no request is in progress and the last answer is written.
    pub fn close_gracefully(&self, reason: CloseReason) {
        self.graceful_close_reason.set(Some(reason));
        self.close_requested.notify_one();
    }

    /// Records that a request has been received.
    pub fn record_request(&self, correlation_id: &Rc<str>) {
        self.request_count.set(self.request_count.get() + 1);
        *self.last_correlation_id.borrow_mut() = Some(correlation_id.clone());
    }

    /// The number of requests received, and the correlation id of the last one.
    pub fn requests(&self) -> (u64, Option<Rc<str>>) {
        (self.request_count.get(), self.last_correlation_id.borrow().clone())
    }

    /// Why the connection ended.
    pub fn close_reason(&self) -> CloseReason {
        match self.abort_reason.get() {
            Some(AbortReason::RequestTooSlow) => CloseReason::RequestTooSlow,
            Some(AbortReason::ClientClosed) => CloseReason::ClientLeft,
            Some(AbortReason::ClientStopped) => CloseReason::ClientStopped,
            Some(AbortReason::MadeWay) => CloseReason::MadeWay,
            Some(AbortReason::ProcessEnded) => CloseReason::Ending,
            None if self.awaits_answer() => CloseReason::ClientLeft,
            None if self.last_answer.get() => CloseReason::LastAnswer,
            None => self.graceful_close_reason.get().unwrap_or(CloseReason::Client),
        }
    }

    /// Closes the connection at once. The guard refuses this while a request waits for its answer, unless the client
    /// is gone.
    pub fn abort(&self, reason: AbortReason) {
        let client_gone = matches!(reason, AbortReason::ClientClosed | AbortReason::ClientStopped);
        if self.request_taken() && !client_gone {
            let step = format!("request {:?}, {reason:?}", self.last_correlation_id.borrow());
            return self.guard.record(Violation::CloseOverRequest, &step);
        }
        self.abort_reason.set(Some(reason));
        if let Some(task) = self.serving_task.get() {
            task.abort();
        }
    }

    /// Why the connection was aborted. If this process did not abort it, the client closed it.
    pub fn abort_reason(&self) -> AbortReason {
        self.abort_reason.get().unwrap_or(AbortReason::ClientClosed)
    }
}
