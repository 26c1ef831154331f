//! A client's body that is passed on to a backend as it comes.

use super::budget::Reservation;
use super::interruption::UploadInterruption;
use super::MAX_BODY_BYTES;
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The empty chunk that ends a body in chunks takes so many bytes.
const LAST_CHUNK_BYTES: u64 = 5;

/// The body of a request to a backend: held whole, or passed on as it comes.
pub type RequestBody = Either<Full<Bytes>, Upload>;

/// How long this side, not the client, has held a body up: while nobody asks for more of it.
#[derive(Default)]
pub struct Backpressure {
    paused: Cell<Duration>,
    pausing_since: Cell<Option<Instant>>,
}

impl Backpressure {
    /// Begins anew, for the next body.
    pub fn reset(&self) {
        self.paused.set(Duration::ZERO);
        self.pausing_since.set(None);
    }

    /// The time in which nobody asked for more.
    pub fn paused(&self) -> Duration {
        self.paused.get() + self.pausing_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn resume(&self) {
        self.paused.set(self.paused());
        self.pausing_since.set(None);
    }

    fn pause(&self) {
        self.pausing_since.set(Some(Instant::now()));
    }
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Open,
    Whole,
    Interrupted(UploadInterruption),
}

/// A client's body that goes on as it comes, once.
pub struct UploadSource {
    incoming: RefCell<SourceBody>,
    /// As the client told it; unknown where it comes in chunks.
    pub length: Option<u64>,
    begun: Cell<bool>,
    state: Cell<State>,
    lent: Cell<bool>,
    /// Bytes that have come, and what they take on the way to a backend with their framing.
    received: Cell<u64>,
    framed: Cell<u64>,
    /// Told how many bytes the request takes in all, once that is known.
    goal: RefCell<Option<WriteGoal>>,
    backpressure: Rc<Backpressure>,
    changed: Notify,
}

struct SourceBody {
    first: Option<(Bytes, Option<Reservation>)>,
    rest: Incoming,
}

struct WriteGoal {
    meter: Rc<Meter>,
    attempts_written: Rc<Cell<u64>>,
    /// Where the body begins, in bytes written.
    base: u64,
}

impl UploadSource {
    /// A body of which `first` has come.
    pub fn new(
        first: Bytes,
        reservation: Option<Reservation>,
        rest: Incoming,
        length: Option<u64>,
        backpressure: Rc<Backpressure>,
    ) -> Rc<Self> {
        let received = Cell::new(first.len() as u64);
        Rc::new(UploadSource {
            incoming: RefCell::new(SourceBody { first: Some((first, reservation)), rest }),
            length,
            begun: Cell::new(false),
            state: Cell::new(State::Open),
            lent: Cell::new(false),
            received,
            framed: Cell::new(0),
            goal: RefCell::default(),
            backpressure,
            changed: Notify::new(),
        })
    }

    /// Whether some of it has been passed on, so that it can't be sent from its beginning.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// Bytes that have come from the client.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Bytes that the whole body takes on the way to a backend; `None` until that is known.
    pub fn framed(&self) -> Option<u64> {
        (self.state.get() == State::Whole).then(|| self.framed.get())
    }

    /// Waits for its end; an error where the client does not send what it said.
    pub async fn wait_end(&self) -> Result<(), UploadInterruption> {
        loop {
            match self.state.get() {
                State::Open => self.changed.notified().await,
                State::Whole => return Ok(()),
                State::Interrupted(why) => return Err(why),
            }
        }
    }

    /// Counts the request that it is sent with once its last byte is written.
    pub fn count_in(&self, meter: Rc<Meter>, attempts_written: Rc<Cell<u64>>, base: u64) {
        *self.goal.borrow_mut() = Some(WriteGoal { meter, attempts_written, base });
        self.tell_goal();
    }

    fn tell_goal(&self) {
        let Some(framed) = self.framed() else { return };
        if let Some(WriteGoal { meter, attempts_written, base }) = self.goal.borrow_mut().take() {
            meter.aim(base + framed, attempts_written);
        }
    }

    /// Reads what nobody wants any more: closed before, the connection would be reset, and the client might
    /// lose its answer.
    pub async fn drain(&self) {
        while self.state.get() == State::Open {
            if self.lent.get() {
                self.changed.notified().await;
            } else {
                std::future::poll_fn(|cx| self.poll_drain(cx)).await;
            }
        }
    }

    /// Ready after each piece that has been read, and at the end, whichever it is.
    fn poll_drain(&self, cx: &mut Context<'_>) -> Poll<()> {
        let next = self.poll(cx);
        if next.is_ready() || self.state.get() != State::Open {
            return Poll::Ready(());
        }
        Poll::Pending
    }

    fn finish(&self, state: State) {
        let closing = if self.length.is_none() { LAST_CHUNK_BYTES } else { 0 };
        self.framed.set(self.framed.get() + closing);
        self.state.set(state);
        self.changed.notify_one();
        self.tell_goal();
    }

    fn pass(&self, data: Bytes) -> Poll<Option<Bytes>> {
        let framing = if self.length.is_none() { format!("{:x}", data.len()).len() + 4 } else { 0 };
        self.framed.set(self.framed.get() + (data.len() + framing) as u64);
        self.backpressure.pause();
        if self.incoming.borrow().rest.is_end_stream() {
            self.finish(State::Whole);
        }
        Poll::Ready(Some(data))
    }

    /// The next bytes; `None` at the end. A client that breaks off is no fault of the backend's: nothing more
    /// comes then, and the attempt is called off with the request.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        match self.state.get() {
            State::Open => {}
            State::Whole => return Poll::Ready(None),
            State::Interrupted(_) => return Poll::Pending,
        }
        self.begun.set(true);
        self.backpressure.resume();
        let first = self.incoming.borrow_mut().first.take();
        if let Some((first, _)) = first.filter(|(first, _)| !first.is_empty()) {
            return self.pass(first);
        }
        loop {
            let next = Pin::new(&mut self.incoming.borrow_mut().rest).poll_frame(cx);
            let data = match next {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.finish(State::Whole);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => {
                    self.finish(State::Interrupted(UploadInterruption::ClientBroke));
                    return Poll::Pending;
                }
                // Trailers concern the connection that they came on, and go no further.
                Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            self.received.set(self.received.get() + data.len() as u64);
            if self.received.get() > MAX_BODY_BYTES {
                self.finish(State::Interrupted(UploadInterruption::TooLong));
                return Poll::Pending;
            }
            if !data.is_empty() {
                return self.pass(data);
            }
        }
    }
}

/// A source, lent to the one attempt that sends it.
pub struct Upload(Rc<UploadSource>);

impl Upload {
    /// Lends the source to an attempt, until this is dropped.
    pub fn new(source: Rc<UploadSource>) -> Self {
        source.lent.set(true);
        Upload(source)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.lent.set(false);
        self.0.changed.notify_one();
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.0.poll(cx).map(|data| data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.state.get() == State::Whole
    }

    fn size_hint(&self) -> SizeHint {
        self.0.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
