//! Streaming a client's request body to a backend.

use super::interruption::UploadInterruption;
use super::MAX_BODY_BYTES;
use crate::memory::budget::Reservation;
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

/// The length of the empty chunk that ends a chunked body (`0\r\n\r\n`).
const LAST_CHUNK_BYTES: u64 = 5;

/// The body of a request to a backend: buffered whole, or streamed from the client.
pub type RequestBody = Either<Full<Bytes>, Upload>;

/// Measures how long the gateway rather than the client has delayed a request body: the time in which nothing asks
/// for more of it.
#[derive(Default)]
pub struct Backpressure {
    paused: Cell<Duration>,
    pausing_since: Cell<Option<Instant>>,
}

impl Backpressure {
    /// Restarts the measurement for the next body.
    pub fn reset(&self) {
        self.paused.set(Duration::ZERO);
        self.pausing_since.set(None);
    }

    /// Returns the total time in which nothing asked for more bytes.
    pub fn paused(&self) -> Duration {
        self.paused.get() + self.pausing_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns whether nothing asks for more bytes now.
    pub fn is_paused(&self) -> bool {
        self.pausing_since.get().is_some()
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

/// A client's request body that is streamed to a backend. It can be sent only once.
pub struct UploadSource {
    incoming: RefCell<SourceBody>,
    /// The length in bytes that the client declared; `None` for a chunked body.
    pub length: Option<u64>,
    started: Cell<bool>,
    state: Cell<State>,
    /// Whether an attempt currently sends it.
    in_use: Cell<bool>,
    /// Bytes received from the client.
    received: Cell<u64>,
    /// Bytes that the forwarded part takes on the wire to a backend, including chunk framing.
    framed_bytes: Cell<u64>,
    /// Where to count the attempt as written; used once the length of the whole request is known.
    write_target: RefCell<Option<WriteTarget>>,
    backpressure: Rc<Backpressure>,
    /// Notified when `state` or `in_use` changes.
    changed: Notify,
}

struct SourceBody {
    first: Bytes,
    /// The memory reserved for `first`. It is released when more is asked for, as `first` has been written then.
    reservation: Option<Reservation>,
    rest: Incoming,
}

impl SourceBody {
    /// Takes the bytes received at first, unless they have been taken already.
    fn take_first(&mut self) -> Option<Bytes> {
        if self.first.is_empty() {
            self.reservation = None;
            return None;
        }
        Some(std::mem::take(&mut self.first))
    }
}

struct WriteTarget {
    meter: Rc<Meter>,
    attempts_written: Rc<Cell<u64>>,
    /// The connection's count of written bytes at which the body begins.
    body_start: u64,
}

impl UploadSource {
    /// Creates a source from the bytes received already (`first`, with the memory reserved for them) and the unread
    /// `rest`. `length` is the body's declared length in bytes, `None` for a chunked body.
    pub fn new(
        first: Bytes,
        reservation: Option<Reservation>,
        rest: Incoming,
        length: Option<u64>,
        backpressure: Rc<Backpressure>,
    ) -> Rc<Self> {
        let received = Cell::new(first.len() as u64);
        // Nothing asks for the rest until an attempt sends the body.
        backpressure.pause();
        Rc::new(UploadSource {
            incoming: RefCell::new(SourceBody { first, reservation, rest }),
            length,
            started: Cell::new(false),
            state: Cell::new(State::Open),
            in_use: Cell::new(false),
            received,
            framed_bytes: Cell::new(0),
            write_target: RefCell::default(),
            backpressure,
            changed: Notify::new(),
        })
    }

    /// Returns whether reading has started, so that the body can no longer be sent from its beginning.
    pub fn started(&self) -> bool {
        self.started.get()
    }

    /// Returns the number of bytes received from the client.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Returns the number of bytes that the backend's machine has acknowledged on the connection over which the body is
    /// sent; 0 before it is sent.
    pub fn acknowledged(&self) -> u64 {
        let write_target = self.write_target.borrow();
        write_target.as_ref().map_or(0, |target| target.meter.acknowledged())
    }

    /// Returns the number of bytes that the whole body takes on the wire to a backend; `None` until it is complete.
    pub fn framed_length(&self) -> Option<u64> {
        (self.state.get() == State::Whole).then(|| self.framed_bytes.get())
    }

    /// Waits until the whole body has been read.
    ///
    /// # Errors
    ///
    /// Returns the reason if the client does not send a complete, valid body.
    pub async fn wait_end(&self) -> Result<(), UploadInterruption> {
        loop {
            match self.state.get() {
                State::Open => self.changed.notified().await,
                State::Whole => return Ok(()),
                State::Interrupted(reason) => return Err(reason),
            }
        }
    }

    /// Increments `attempts_written` once the last byte of the request that carries this body has been written to the
    /// socket of `meter`. `body_start` is that socket's count of written bytes at which the body begins.
    pub fn count_when_written(&self, meter: Rc<Meter>, attempts_written: Rc<Cell<u64>>, body_start: u64) {
        *self.write_target.borrow_mut() = Some(WriteTarget { meter, attempts_written, body_start });
        self.apply_write_target();
    }

    /// Passes the write target on to the meter if the length of the whole request is known.
    fn apply_write_target(&self) {
        let Some(framed_length) = self.framed_length() else { return };
        if let Some(WriteTarget { meter, attempts_written, body_start }) =
            self.write_target.borrow_mut().take()
        {
            meter.count_when_written(body_start + framed_length, attempts_written);
        }
    }

    /// Reads and discards the rest of a body that is no longer needed, so that no attempt can take it any more.
    /// Closing the connection with unread data would reset it, and the client might lose its response.
    pub async fn drain(&self) {
        self.started.set(true);
        while self.state.get() == State::Open {
            if self.in_use.get() {
                self.changed.notified().await;
            } else {
                std::future::poll_fn(|cx| self.poll_drain(cx)).await;
            }
        }
    }

    /// Polls for the next piece of data and discards it. Ready after each piece, and once the body is complete or
    /// interrupted.
    fn poll_drain(&self, cx: &mut Context<'_>) -> Poll<()> {
        let next = self.poll_data(cx);
        if next.is_ready() || self.state.get() != State::Open {
            return Poll::Ready(());
        }
        Poll::Pending
    }

    /// Ends the body in `state` and notifies the waiting task.
    fn finish(&self, state: State) {
        let last_chunk = if self.length.is_none() { LAST_CHUNK_BYTES } else { 0 };
        self.framed_bytes.set(self.framed_bytes.get() + last_chunk);
        self.state.set(state);
        self.backpressure.resume();
        self.changed.notify_one();
        self.apply_write_target();
    }

    /// Accounts for `data` as forwarded and returns it.
    fn forward(&self, data: Bytes) -> Poll<Option<Bytes>> {
        // A chunk is preceded by its length in hexadecimal digits and CRLF, and followed by CRLF.
        let framing = if self.length.is_none() { format!("{:x}", data.len()).len() + 4 } else { 0 };
        self.framed_bytes.set(self.framed_bytes.get() + (data.len() + framing) as u64);
        self.backpressure.pause();
        if self.incoming.borrow().rest.is_end_stream() {
            self.finish(State::Whole);
        }
        Poll::Ready(Some(data))
    }

    /// Polls for the next bytes; `None` at the end. If the client breaks off, this stays pending rather than failing
    /// the attempt, since the backend is not at fault; the attempt is then cancelled together with its request.
    fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        match self.state.get() {
            State::Open => {}
            State::Whole => return Poll::Ready(None),
            State::Interrupted(_) => return Poll::Pending,
        }
        self.started.set(true);
        self.backpressure.resume();
        let first = self.incoming.borrow_mut().take_first();
        if let Some(first) = first {
            return self.forward(first);
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
                // Trailers apply only to the connection that they arrived on and are not forwarded.
                Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            self.received.set(self.received.get() + data.len() as u64);
            if self.received.get() > MAX_BODY_BYTES {
                self.finish(State::Interrupted(UploadInterruption::TooLong));
                return Poll::Pending;
            }
            if !data.is_empty() {
                return self.forward(data);
            }
        }
    }
}

/// The body of the one attempt that currently sends an [`UploadSource`].
pub struct Upload(Rc<UploadSource>);

impl Upload {
    /// Takes the body for an attempt. The source counts as in use until the returned value is dropped. Returns `None`
    /// if reading has started or another attempt has taken the body: what is left of it is not what the client sent.
    pub fn claim(source: &Rc<UploadSource>) -> Option<Self> {
        if source.started() || source.in_use.replace(true) {
            return None;
        }
        Some(Upload(source.clone()))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.in_use.set(false);
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
        self.0.poll_data(cx).map(|data| data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.state.get() == State::Whole
    }

    fn size_hint(&self) -> SizeHint {
        self.0.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
