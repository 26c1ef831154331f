//! A client's connection: what it is doing, and how long it may take for that.

use crate::body::answer_limit::{Extent, STALL_TIMEOUT};
use crate::body::download::Progress;
use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::body::upload::Backpressure;
use crate::guard::{Guard, Violation};
use crate::meter::Meter;
use crate::reasons::CloseReason;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A whole request must have come this long after the connection or, on a later one, its first byte; a long one
/// has more time by its bytes. Heads may take 2 s and bodies come at 64 kB/s; 3 s is for none that is not whole.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The slowest that a body may come, in bytes a second.
const MIN_UPLOAD_RATE: f64 = 40_000.0;
/// A request that takes longer than this to come gives way where connections run short.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(300);
/// An answer that was given less than this ago may still be on its way.
const ANSWER_SETTLE_TIME: Duration = Duration::from_millis(20);
/// One that has just come may be about to ask.
pub const NEXT_REQUEST_GRACE: Duration = Duration::from_millis(50);

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No whole request has come yet.
    New,
    /// A later request has begun to come.
    ReceivingHead,
    /// A request was let in whose body is still coming.
    ReceivingBody,
    /// A request is in work.
    Processing,
    /// An answer is on its way.
    Responding,
    /// Between requests.
    Idle,
}

/// Which connections make way first, where they run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It has said nothing.
    Silent,
    /// It is between requests.
    Idle,
    /// The head of its request comes slowly.
    SlowHead,
    /// The body of its request comes slowly.
    SlowBody,
}

/// Why this side ended a connection at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// Its request comes too slowly.
    RequestTooSlow,
    /// Its client was seen to have closed it.
    ClientClosed,
    /// Its client takes nothing of an answer.
    ClientStopped,
    /// It made way for another one.
    MadeWay,
    /// This process ends.
    ProcessEnded,
}

impl AbortReason {
    /// What this means for an answer that was on its way.
    pub fn answer_interruption(self) -> AnswerInterruption {
        match self {
            AbortReason::ClientStopped => AnswerInterruption::ClientStopped,
            AbortReason::ProcessEnded => AnswerInterruption::ProcessEnded,
            AbortReason::RequestTooSlow | AbortReason::ClientClosed | AbortReason::MadeWay => {
                AnswerInterruption::ClientClosed
            }
        }
    }

    /// What this means for a body that was still coming.
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

/// A client's connection as the others see it.
pub struct ClientConnection {
    /// Its socket.
    pub meter: Rc<Meter>,
    phase: Cell<Phase>,
    /// When the phase began, and what had been read by then.
    phase_began: Cell<Instant>,
    read_before_phase: Cell<u64>,
    /// What had been written when that last changed, and when.
    write_progress: Cell<(u64, Instant)>,
    /// What has come of the answer that it passes on.
    pub answer_progress: Cell<Option<Progress>>,
    /// How long its body was held up by this side.
    pub backpressure: Rc<Backpressure>,
    /// Its request's body is still coming, though the answer is known.
    pub draining_upload: Cell<bool>,
    /// Told to end between requests.
    pub close_requested: Notify,
    /// It has been told to make way.
    pub evicted: Cell<bool>,
    abort_reason: Cell<Option<AbortReason>>,
    graceful_close_reason: Cell<Option<CloseReason>>,
    /// The connection ends with the answer that is on its way.
    pub last_answer: Cell<bool>,
    /// Requests that have come, and the client's name for the last of them.
    request_count: Cell<u64>,
    last_correlation_id: RefCell<Option<Rc<str>>>,
    guard: Rc<Guard>,
    serving_task: OnceCell<AbortHandle>,
}

impl ClientConnection {
    /// A connection on which nothing has come yet.
    pub fn new(stream: TcpStream, guard: Rc<Guard>) -> Rc<Self> {
        let connection = ClientConnection {
            meter: Meter::new(stream),
            phase: Cell::new(Phase::New),
            phase_began: Cell::new(Instant::now()),
            read_before_phase: Cell::new(0),
            write_progress: Cell::new((0, Instant::now())),
            backpressure: Rc::default(),
            draining_upload: Cell::new(false),
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
        connection.meter.listen();
        Rc::new(connection)
    }

    /// Names the task that serves it.
    pub fn set_serving_task(&self, task: AbortHandle) {
        let _ = self.serving_task.set(task);
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// How long it has been doing that.
    pub fn phase_age(&self) -> Duration {
        self.phase_began.get().elapsed()
    }

    /// When the phase began.
    pub fn since(&self) -> Instant {
        self.phase_began.get()
    }

    /// Begins a phase.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_began.set(Instant::now());
        self.read_before_phase.set(self.meter.read());
        // What holds up a body goes on to while its request is in work, or is answered early.
        if !matches!(phase, Phase::Processing | Phase::Responding) {
            self.backpressure.reset();
        }
        if phase == Phase::Idle {
            self.meter.listen();
        }
    }

    /// Begins to take a body: what has been read counts from the head on, and so does its time.
    pub fn enter_body_phase(&self) {
        self.phase.set(Phase::ReceivingBody);
    }

    /// Bytes read since the phase began.
    pub fn read_in_phase(&self) -> u64 {
        self.meter.read().saturating_sub(self.read_before_phase.get())
    }

    /// Whether its request should have come by now; what this side holds up is not its fault, nor what has come and
    /// has not been read. While the answer before is still on its way, nothing is due.
    pub fn request_overdue(&self) -> bool {
        let by_bytes = Duration::from_secs_f64(self.read_in_phase() as f64 / MIN_UPLOAD_RATE);
        let late = self.phase_age() >= REQUEST_TIMEOUT + by_bytes + self.backpressure.paused();
        late && !self.meter.write_blocked() && self.meter.quiet()
    }

    /// Begins to watch how an answer is taken.
    pub fn begin_answer(&self) {
        self.write_progress.set((self.meter.written(), Instant::now()));
    }

    /// Whether an answer is on its way: one that is passed on, or one that its client has not taken yet.
    pub fn is_answering(&self) -> bool {
        self.phase() == Phase::Responding || self.meter.write_blocked()
    }

    /// Whether its client has taken nothing for so long of what is to be written.
    pub fn client_stalled(&self, for_long: Duration) -> bool {
        let (written, at) = self.write_progress.get();
        if self.meter.written() != written || !self.meter.write_blocked() {
            self.begin_answer();
            return false;
        }
        at.elapsed() >= for_long
    }

    /// Whether it passes on an answer of which nothing has come for so long.
    pub fn answer_stalled(&self, for_long: Duration) -> bool {
        let progress = self.answer_progress.get().filter(|_| self.phase() == Phase::Responding);
        progress.is_some_and(|progress| progress.last_received.elapsed() >= for_long)
    }

    /// Whether the answer that it passes on is known to be long.
    pub fn answer_is_long(&self) -> bool {
        self.answer_progress.get().is_some_and(|progress| progress.extent == Extent::Long)
    }

    /// Whether its client has stopped sending a body that was answered early, and nothing comes of that answer
    /// either. One who stops for the answer, and reads that, is let be.
    pub fn upload_abandoned(&self) -> bool {
        self.draining_upload.get() && self.request_overdue() && self.answer_stalled(STALL_TIMEOUT)
    }

    /// Its request waits for an answer, or for more of itself.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.phase(), Phase::ReceivingBody | Phase::Processing)
    }

    /// Nothing has been read since the phase began.
    pub fn nothing_read(&self) -> bool {
        self.meter.read() == self.read_before_phase.get()
    }

    /// Nothing has come, read or not: closing it cuts nothing that has begun.
    pub fn nothing_received(&self) -> bool {
        self.nothing_read() && self.meter.quiet()
    }

    /// It has just come, has said nothing, and may be about to ask.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.phase() == Phase::New && self.nothing_read() && now - self.phase_began.get() < NEXT_REQUEST_GRACE
    }

    /// Where it stands in the line of those that make way; `None` for those that do not.
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let age = now - self.phase_began.get();
        match self.phase() {
            Phase::New if self.nothing_read() => (age >= NEXT_REQUEST_GRACE).then_some(EvictionRank::Silent),
            Phase::Idle | Phase::ReceivingHead if self.meter.write_blocked() => None,
            Phase::Idle if self.nothing_read() && age >= ANSWER_SETTLE_TIME => Some(EvictionRank::Idle),
            Phase::New | Phase::ReceivingHead if age >= SLOW_REQUEST_AGE => Some(EvictionRank::SlowHead),
            Phase::ReceivingBody if age >= SLOW_REQUEST_AGE => Some(EvictionRank::SlowBody),
            _ => None,
        }
    }

    /// Ends what is between requests, once its last answer is written.
    pub fn close_gracefully(&self, why: CloseReason) {
        self.graceful_close_reason.set(Some(why));
        self.close_requested.notify_one();
    }

    /// Takes in that a request has come.
    pub fn record_request(&self, name: &Rc<str>) {
        self.request_count.set(self.request_count.get() + 1);
        *self.last_correlation_id.borrow_mut() = Some(name.clone());
    }

    /// Requests that have come, and the client's name for the last of them.
    pub fn requests(&self) -> (u64, Option<Rc<str>>) {
        (self.request_count.get(), self.last_correlation_id.borrow().clone())
    }

    /// Why it ended.
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

    /// Ends it at once.
    pub fn abort(&self, why: AbortReason) {
        let client_gone = matches!(why, AbortReason::ClientClosed | AbortReason::ClientStopped);
        if self.phase() == Phase::Processing && !client_gone {
            let what = format!("request {:?}, {why:?}", self.last_correlation_id.borrow());
            return self.guard.record(Violation::CloseOverRequest, &what);
        }
        self.abort_reason.set(Some(why));
        if let Some(task) = self.serving_task.get() {
            task.abort();
        }
    }

    /// Why it ended: where this side did not, its client did.
    pub fn cut_reason(&self) -> AbortReason {
        self.abort_reason.get().unwrap_or(AbortReason::ClientClosed)
    }
}
