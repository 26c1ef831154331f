//! Streaming a backend's response to the client.

use super::answer_limit::{AnswerLimit, LengthClass};
use super::forwarding::{Forwarding, ForwardingPolicy};
use super::gather::Buffer;
use super::interruption::AnswerInterruption;
use crate::memory::budget::Reservation;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::future::{poll_fn, Future};
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
    /// When its first bytes were received.
    pub began: Instant,
    /// The number of body bytes received so far.
    pub received: u64,
    /// When the last of these bytes were received.
    pub last_received: Instant,
}

/// A response body that is streamed to the client. Dropping it before its end closes the backend's connection.
pub struct Download {
    first: Option<Bytes>,
    /// The memory reserved for `first`, which a response without it can't be buffered in.
    reservation: Option<Reservation>,
    rest: Incoming,
    connection: Option<Box<dyn AnswerConnection>>,
    backend: SocketAddr,
    limit: AnswerLimit,
    deadline: Deadline,
    began: Instant,
    last_received: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Download {
    /// Creates a streamed body from the bytes received already (`first`, with the memory reserved for buffering) and the
    /// unread `rest`. `deadline` is the request's deadline.
    pub fn new(
        first: Bytes,
        reservation: Option<Reservation>,
        rest: Incoming,
        deadline: Deadline,
        connection: Box<dyn AnswerConnection>,
    ) -> Self {
        let received = first.len() as u64;
        let length = rest.size_hint().exact().map(|left| left + received);
        Download {
            first: Some(first).filter(|first| !first.is_empty()),
            reservation,
            rest,
            backend: connection.backend(),
            connection: Some(connection),
            limit: AnswerLimit::new(length, received),
            timer: Box::pin(sleep_until(deadline.get())),
            deadline,
            began: Instant::now(),
            last_received: Instant::now(),
        }
    }

    /// Returns how much has been received so far.
    pub fn progress(&self) -> Progress {
        Progress {
            backend: self.backend,
            length_class: self.limit.length_class(),
            began: self.began,
            received: self.limit.received(),
            last_received: self.last_received,
        }
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Closes the backend's connection and ends the body with an error.
    fn interrupt(&mut self, reason: AnswerInterruption) -> Poll<Option<Result<Bytes, AnswerInterruption>>> {
        self.connection = None;
        Poll::Ready(Some(Err(reason)))
    }

    /// Ready with the reason once the wait for more bytes has timed out. The timer may fire before the task that
    /// reads the connection has run, so bytes that are still unread in the socket count as received in time.
    fn poll_give_up(&mut self, cx: &mut Context<'_>) -> Poll<AnswerInterruption> {
        let (mut give_up_at, reason) = self.limit.wait(Instant::now(), self.deadline.poll_get(cx));
        loop {
            ready!(self.poll_timer(cx, give_up_at));
            if !self.has_unread() {
                return Poll::Ready(reason);
            }
            give_up_at = Instant::now() + UNREAD_RECHECK_INTERVAL;
        }
    }

    fn receive(&mut self, bytes: usize) -> Result<(), AnswerInterruption> {
        self.last_received = Instant::now();
        self.limit.receive(self.last_received, self.deadline.get(), bytes)
    }

    /// Polls for the next bytes from the backend, without a time limit; `None` at the end. An error closes the
    /// backend's connection.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AnswerInterruption>>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.release();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return self.interrupt(AnswerInterruption::BackendBroke),
                Some(Ok(frame)) => frame,
            };
            if let Err(reason) = self.receive(frame.data_ref().map_or(0, Bytes::len)) {
                return self.interrupt(reason);
            }
            // Trailers apply only to the connection that they arrived on and are not forwarded.
            if let Ok(data) = frame.into_data() {
                if self.rest.is_end_stream() {
                    self.release();
                }
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }

    /// Buffers the response until it may be passed on to the client, which then gets what has been buffered as its
    /// first bytes. It is waited for up to `late_grace` after the deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason if the response has broken off or is not waited for any longer. The client has got nothing of
    /// it.
    pub async fn hold(&mut self, late_grace: Duration) -> Result<(), AnswerInterruption> {
        // Without memory for buffering it, the response is passed on as it comes.
        if self.reservation.is_none() {
            return Ok(());
        }
        let policy = ForwardingPolicy { began_at: self.began, late_grace };
        let mut buffer = Buffer::default();
        buffer.push(self.first.take().unwrap_or_default());
        let held = poll_fn(|cx| self.poll_hold(cx, &policy, &mut buffer)).await;
        self.first = Some(buffer.into_bytes()).filter(|first| !first.is_empty());
        held
    }

    /// Ready once the response may be passed on, or has failed.
    fn poll_hold(
        &mut self,
        cx: &mut Context<'_>,
        policy: &ForwardingPolicy,
        buffer: &mut Buffer,
    ) -> Poll<Result<(), AnswerInterruption>> {
        loop {
            let (now, deadline) = (Instant::now(), self.deadline.poll_get(cx));
            if self.rest.is_end_stream() {
                return Poll::Ready(Ok(()));
            }
            let decision = policy.decide(&self.limit, self.last_received, now, deadline);
            if decision == Forwarding::Now {
                return Poll::Ready(Ok(()));
            }
            match self.poll_receive(cx) {
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Ready(Some(Ok(data))) => {
                    buffer.push(data);
                    continue;
                }
                Poll::Ready(Some(Err(reason))) => return Poll::Ready(Err(reason)),
                Poll::Pending => {}
            }
            self.limit.wait(now, deadline);
            let until = match decision {
                Forwarding::Undecided(until) => until,
                _ if self.has_unread() => now + UNREAD_RECHECK_INTERVAL,
                _ => {
                    self.connection = None;
                    return Poll::Ready(Err(AnswerInterruption::Late));
                }
            };
            ready!(self.poll_timer(cx, until));
        }
    }

    /// Ready once `until` has come.
    fn poll_timer(&mut self, cx: &mut Context<'_>, until: Instant) -> Poll<()> {
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        self.timer.as_mut().poll(cx)
    }

    /// Returns whether bytes of the response, or its end, have arrived but have not been read yet.
    fn has_unread(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.has_unread())
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
        // More is asked for only when the first bytes have been written.
        self.reservation = None;
        if let Poll::Ready(received) = self.poll_receive(cx) {
            return Poll::Ready(received.map(|data| data.map(Frame::data)));
        }
        let reason = ready!(self.poll_give_up(cx));
        self.interrupt(reason).map(|end| end.map(|data| data.map(Frame::data)))
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
