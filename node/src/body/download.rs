//! Streaming a backend's response to the client.

use super::answer_limit::{AnswerLimit, LengthClass};
use super::interruption::AnswerInterruption;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// How long to wait at a time for bytes that have arrived in the socket but have not been read yet.
const UNREAD_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request's deadline, shared by its clones. It moves when a streamed request body is complete, since the client's
/// wait counts from there, and when the process shuts down.
#[derive(Clone)]
pub struct Deadline(Rc<DeadlineState>);

struct DeadlineState {
    at: Cell<Instant>,
    /// Wakes the task that waits for a response until the deadline.
    waiter: Cell<Option<Waker>>,
}

impl Deadline {
    /// Creates a deadline at `at`.
    pub fn new(at: Instant) -> Self {
        Deadline(Rc::new(DeadlineState { at: Cell::new(at), waiter: Cell::new(None) }))
    }

    /// Returns the current deadline.
    pub fn get(&self) -> Instant {
        self.0.at.get()
    }

    /// Moves the deadline and wakes the task that waits for it.
    pub fn set(&self, at: Instant) {
        self.0.at.set(at);
        if let Some(waiter) = self.0.waiter.take() {
            waiter.wake();
        }
    }

    /// Returns the current deadline and registers the task to be woken when it moves.
    fn poll_get(&self, cx: &Context<'_>) -> Instant {
        self.0.waiter.set(Some(cx.waker().clone()));
        self.get()
    }
}

/// The connection on which a response is received. Dropping it closes the connection.
pub trait AnswerConnection {
    /// Returns the backend's address.
    fn backend(&self) -> SocketAddr;
    /// Returns whether bytes of the response, or its end, have arrived but have not been read yet.
    fn has_unread(&self) -> bool;
    /// Returns the connection to its pool for reuse. Called when the response has been read to its end.
    fn release(self: Box<Self>);
}

/// The body of a response to a client: buffered whole, or streamed from a backend.
pub type AnswerBody = Either<Full<Bytes>, Download>;

/// How much of a streamed response has been received.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The address of the backend that sends the response.
    pub backend: SocketAddr,
    /// What is known so far of the response's length.
    pub length_class: LengthClass,
    /// The number of body bytes received so far.
    pub received: u64,
    /// When the last of these bytes were received.
    pub last_received: Instant,
}

/// A response body that is streamed to the client. Dropping it before its end closes the backend's connection.
pub struct Download {
    first: Option<Bytes>,
    rest: Incoming,
    connection: Option<Box<dyn AnswerConnection>>,
    backend: SocketAddr,
    limit: AnswerLimit,
    deadline: Deadline,
    last_received: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Download {
    /// Creates a streamed body from the bytes received already (`first`) and the unread `rest`. `deadline` is the
    /// request's deadline.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        deadline: Deadline,
        connection: Box<dyn AnswerConnection>,
    ) -> Self {
        let received = first.len() as u64;
        let length = rest.size_hint().exact().map(|left| left + received);
        Download {
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            backend: connection.backend(),
            connection: Some(connection),
            limit: AnswerLimit::new(length, received),
            timer: Box::pin(sleep_until(deadline.get())),
            deadline,
            last_received: Instant::now(),
        }
    }

    /// Returns how much has been received so far.
    pub fn progress(&self) -> Progress {
        let (backend, last_received) = (self.backend, self.last_received);
        let (length_class, received) = (self.limit.length_class(), self.limit.received());
        Progress { backend, length_class, received, last_received }
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Closes the backend's connection and ends the body with an error.
    fn interrupt(
        &mut self,
        reason: AnswerInterruption,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterruption>>> {
        self.connection = None;
        Poll::Ready(Some(Err(reason)))
    }

    /// Ready with the reason once the wait for more bytes has timed out. The timer may fire before the task that
    /// reads the connection has run, so bytes that are still unread in the socket count as received in time.
    fn poll_give_up(&mut self, cx: &mut Context<'_>) -> Poll<AnswerInterruption> {
        let (mut give_up_at, reason) = self.limit.wait(Instant::now(), self.deadline.poll_get(cx));
        loop {
            if self.timer.deadline() != give_up_at {
                self.timer.as_mut().reset(give_up_at);
            }
            ready!(self.timer.as_mut().poll(cx));
            if !self.connection.as_ref().is_some_and(|connection| connection.has_unread()) {
                return Poll::Ready(reason);
            }
            give_up_at = Instant::now() + UNREAD_RECHECK_INTERVAL;
        }
    }

    fn receive(&mut self, bytes: usize) -> Result<(), AnswerInterruption> {
        self.last_received = Instant::now();
        self.limit.receive(self.last_received, self.deadline.get(), bytes)
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = AnswerInterruption;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterruption>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    return match self.poll_give_up(cx) {
                        Poll::Ready(reason) => self.interrupt(reason),
                        Poll::Pending => Poll::Pending,
                    };
                }
                Poll::Ready(None) => {
                    self.release();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return self.interrupt(AnswerInterruption::BackendBroke),
                Poll::Ready(Some(Ok(frame))) => {
                    if let Err(reason) = self.receive(frame.data_ref().map_or(0, Bytes::len)) {
                        return self.interrupt(reason);
                    }
                    // Trailers apply only to the connection that they arrived on and are not forwarded.
                    if frame.is_trailers() {
                        continue;
                    }
                    if self.rest.is_end_stream() {
                        self.release();
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let rest = self.rest.size_hint().exact();
        rest.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(first + rest))
    }
}
