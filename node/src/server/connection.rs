//! A client's connection: what it is doing, and how long it may take for that.

use crate::body::answer_limit::{LengthClass, STALL_TIMEOUT};
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
const SLOW_REQUEST: Duration = Duration::from_millis(300);
/// An answer that was given less than this ago may still be on its way.
const ANSWER_SETTLES: Duration = Duration::from_millis(20);
/// One that has just come may be about to ask.
pub const ABOUT_TO_ASK: Duration = Duration::from_millis(50);

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No whole request has come yet.
    New,
    /// A later request has begun to come.
    Coming,
    /// A request was let in whose body is still coming.
    Body,
    /// A request is in work.
    Work,
    /// An answer is on its way.
    Reply,
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
pub enum CutReason {
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

impl CutReason {
    /// What this means for an answer that was on its way.
    pub fn of_answer(self) -> AnswerInterruption {
        match self {
            CutReason::ClientStopped => AnswerInterruption::ClientStopped,
            CutReason::ProcessEnded => AnswerInterruption::ProcessEnded,
            CutReason::RequestTooSlow | CutReason::ClientClosed | CutReason::MadeWay => {
                AnswerInterruption::ClientClosed
            }
        }
    }

    /// What this means for a body that was still coming.
    pub fn of_upload(self) -> UploadInterruption {
        match self {
            CutReason::RequestTooSlow => UploadInterruption::TooSlow,
            CutReason::MadeWay => UploadInterruption::MadeWay,
            CutReason::ClientClosed | CutReason::ClientStopped | CutReason::ProcessEnded => {
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
    since: Cell<Instant>,
    read_before: Cell<u64>,
    /// What had been written when that last changed, and when.
    write_progress: Cell<(u64, Instant)>,
    /// What has come of the answer that it passes on.
    pub progress: Cell<Option<Progress>>,
    /// How long its body was held up by this side.
    pub backpressure: Rc<Backpressure>,
    /// Its request's body is still coming, though the answer is known.
    pub uploading: Cell<bool>,
    /// Told to end between requests.
    pub close: Notify,
    /// It has been told to make way.
    pub leaving: Cell<bool>,
    cut_reason: Cell<Option<CutReason>>,
    dismissed: Cell<Option<CloseReason>>,
    /// The connection ends with the answer that is on its way.
    pub last_answer: Cell<bool>,
    /// Requests that have come, and the client's name for the last of them.
    requests: Cell<u64>,
    last_request: RefCell<Option<Rc<str>>>,
    guard: Rc<Guard>,
    task: OnceCell<AbortHandle>,
}

impl ClientConnection {
    /// A connection on which nothing has come yet.
    pub fn new(stream: TcpStream, guard: Rc<Guard>) -> Rc<Self> {
        let connection = ClientConnection {
            meter: Meter::new(stream),
            phase: Cell::new(Phase::New),
            since: Cell::new(Instant::now()),
            read_before: Cell::new(0),
            write_progress: Cell::new((0, Instant::now())),
            backpressure: Rc::default(),
            uploading: Cell::new(false),
            progress: Cell::new(None),
            close: Notify::new(),
            leaving: Cell::new(false),
            cut_reason: Cell::new(None),
            dismissed: Cell::new(None),
            last_answer: Cell::new(false),
            requests: Cell::new(0),
            last_request: RefCell::new(None),
            guard,
            task: OnceCell::new(),
        };
        connection.meter.record_next_head();
        Rc::new(connection)
    }

    /// Names the task that serves it.
    pub fn served_by(&self, task: AbortHandle) {
        let _ = self.task.set(task);
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// How long it has been doing that.
    pub fn age(&self) -> Duration {
        self.since.get().elapsed()
    }

    /// When the phase began.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.read_before.set(self.meter.read());
        // What holds up a body goes on to while its request is in work, or is answered early.
        if !matches!(phase, Phase::Work | Phase::Reply) {
            self.backpressure.reset();
        }
        if phase == Phase::Idle {
            self.meter.record_next_head();
        }
    }

    /// Begins to take a body: what has been read counts from the head on, and so does its time.
    pub fn enter_body(&self) {
        self.phase.set(Phase::Body);
    }

    /// Bytes read since the phase began.
    pub fn read_in_phase(&self) -> u64 {
        self.meter.read().saturating_sub(self.read_before.get())
    }

    /// Whether its request should have come by now; what this side holds up is not its fault, nor what has come and
    /// has not been read. While the answer before is still on its way, nothing is due.
    pub fn overdue(&self) -> bool {
        let by_bytes = Duration::from_secs_f64(self.read_in_phase() as f64 / MIN_UPLOAD_RATE);
        let late = self.age() >= REQUEST_TIMEOUT + by_bytes + self.backpressure.paused();
        late && !self.meter.write_blocked() && self.meter.is_open_and_empty()
    }

    /// Begins to watch how an answer is taken.
    pub fn begin_answer(&self) {
        self.write_progress.set((self.meter.written(), Instant::now()));
    }

    /// Whether an answer is on its way: one that is passed on, or one that its client has not taken yet.
    pub fn answering(&self) -> bool {
        self.phase() == Phase::Reply || self.meter.write_blocked()
    }

    /// Whether its client has taken nothing for so long of what is to be written.
    pub fn client_stopped(&self, for_long: Duration) -> bool {
        let (written, at) = self.write_progress.get();
        if self.meter.written() != written || !self.meter.write_blocked() {
            self.begin_answer();
            return false;
        }
        at.elapsed() >= for_long
    }

    /// Whether it passes on an answer of which nothing has come for so long.
    pub fn answer_stopped(&self, for_long: Duration) -> bool {
        let progress = self.progress.get().filter(|_| self.phase() == Phase::Reply);
        progress.is_some_and(|progress| progress.last_received.elapsed() >= for_long)
    }

    /// Whether the answer that it passes on is known to be long.
    pub fn answer_is_long(&self) -> bool {
        self.progress.get().is_some_and(|progress| progress.length_class == LengthClass::Long)
    }

    /// Whether its client has stopped sending a body that was answered early, and nothing comes of that answer
    /// either. One who stops for the answer, and reads that, is let be.
    pub fn upload_abandoned(&self) -> bool {
        self.uploading.get() && self.overdue() && self.answer_stopped(STALL_TIMEOUT)
    }

    /// Its request waits for an answer, or for more of itself.
    pub fn waiting(&self) -> bool {
        matches!(self.phase(), Phase::Body | Phase::Work)
    }

    /// Nothing has been read since the phase began.
    pub fn untouched(&self) -> bool {
        self.meter.read() == self.read_before.get()
    }

    /// Nothing has come, read or not: closing it cuts nothing that has begun.
    pub fn nothing_begun(&self) -> bool {
        self.untouched() && self.meter.is_open_and_empty()
    }

    /// It has just come, has said nothing, and may be about to ask.
    pub fn fresh(&self, now: Instant) -> bool {
        self.phase() == Phase::New && self.untouched() && now - self.since.get() < ABOUT_TO_ASK
    }

    /// Where it stands in the line of those that make way; `None` for those that do not.
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let age = now - self.since.get();
        match self.phase() {
            Phase::New if self.untouched() => (age >= ABOUT_TO_ASK).then_some(EvictionRank::Silent),
            Phase::Idle | Phase::Coming if self.meter.write_blocked() => None,
            Phase::Idle if self.untouched() && age >= ANSWER_SETTLES => Some(EvictionRank::Idle),
            Phase::New | Phase::Coming if age >= SLOW_REQUEST => Some(EvictionRank::SlowHead),
            Phase::Body if age >= SLOW_REQUEST => Some(EvictionRank::SlowBody),
            _ => None,
        }
    }

    /// Ends what is between requests, once its last answer is written.
    pub fn dismiss(&self, why: CloseReason) {
        self.dismissed.set(Some(why));
        self.close.notify_one();
    }

    /// Takes in that a request has come.
    pub fn take_request(&self, name: &Rc<str>) {
        self.requests.set(self.requests.get() + 1);
        *self.last_request.borrow_mut() = Some(name.clone());
    }

    /// Requests that have come, and the client's name for the last of them.
    pub fn requests(&self) -> (u64, Option<Rc<str>>) {
        (self.requests.get(), self.last_request.borrow().clone())
    }

    /// Why it ended.
    pub fn close_reason(&self) -> CloseReason {
        match self.cut_reason.get() {
            Some(CutReason::RequestTooSlow) => CloseReason::RequestTooSlow,
            Some(CutReason::ClientClosed) => CloseReason::ClientLeft,
            Some(CutReason::ClientStopped) => CloseReason::ClientStopped,
            Some(CutReason::MadeWay) => CloseReason::MadeWay,
            Some(CutReason::ProcessEnded) => CloseReason::Ending,
            None if self.waiting() => CloseReason::ClientLeft,
            None if self.last_answer.get() => CloseReason::LastAnswer,
            None => self.dismissed.get().unwrap_or(CloseReason::Client),
        }
    }

    /// Ends it at once.
    pub fn cut(&self, why: CutReason) {
        let client_gone = matches!(why, CutReason::ClientClosed | CutReason::ClientStopped);
        if self.phase() == Phase::Work && !client_gone {
            let what = format!("request {:?}, {why:?}", self.last_request.borrow());
            return self.guard.record(Violation::CloseOverRequest, &what);
        }
        self.cut_reason.set(Some(why));
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    /// Why it ended: where this side did not, its client did.
    pub fn cut_reason(&self) -> CutReason {
        self.cut_reason.get().unwrap_or(CutReason::ClientClosed)
    }
}
