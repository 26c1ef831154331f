//! An answer that is passed on as it comes.

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

/// Bytes that have come, but not to here yet, are waited for this long at a time.
const UNREAD_WAIT: Duration = Duration::from_millis(10);

/// The end of a request's time. It moves where the time begins to count later.
#[derive(Clone)]
pub struct Deadline(Rc<DeadlineState>);

struct DeadlineState {
    at: Cell<Instant>,
    /// Who waits for an answer until then.
    waiter: Cell<Option<Waker>>,
}

impl Deadline {
    /// A deadline at this moment.
    pub fn new(at: Instant) -> Self {
        Deadline(Rc::new(DeadlineState { at: Cell::new(at), waiter: Cell::new(None) }))
    }

    /// When it is.
    pub fn get(&self) -> Instant {
        self.0.at.get()
    }

    /// Moves it; who waits is told.
    pub fn set(&self, at: Instant) {
        self.0.at.set(at);
        if let Some(waiter) = self.0.waiter.take() {
            waiter.wake();
        }
    }

    /// When it is; the task is woken where it moves.
    fn poll_get(&self, cx: &Context<'_>) -> Instant {
        self.0.waiter.set(Some(cx.waker().clone()));
        self.get()
    }
}

/// The connection that an answer comes on. Dropping it closes it.
pub trait AnswerConnection {
    /// The backend's address.
    fn backend(&self) -> SocketAddr;
    /// Whether something of the answer, or its end, has come that nobody has read yet.
    fn has_unread(&self) -> bool;
    /// Gives the connection back for further use: the answer has been read to its end.
    fn release(self: Box<Self>);
}

/// The body of an answer to a client: held whole, or passed on as it comes.
pub type AnswerBody = Either<Full<Bytes>, Download>;

/// What has come of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The backend that it comes from.
    pub backend: SocketAddr,
    /// What is known of its length.
    pub length_class: LengthClass,
    /// Bytes that have come from it.
    pub received: u64,
    /// When the last of them came.
    pub last_received: Instant,
}

/// An answer that is passed on as it comes. Dropped before its end, it closes the backend's connection.
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
    /// An answer of which `first` has come. `deadline` is the end of its request's time.
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

    /// What has come of it so far.
    pub fn progress(&self) -> Progress {
        let (backend, last_received) = (self.backend, self.last_received);
        let (extent, received) = (self.limit.length_class(), self.limit.received());
        Progress { backend, length_class: extent, received, last_received }
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Closes the backend's connection.
    fn interrupt(
        &mut self,
        why: AnswerInterruption,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterruption>>> {
        self.connection = None;
        Poll::Ready(Some(Err(why)))
    }

    /// Ready with the reason where the next bytes are waited for no longer. Danger: the timer may fire before the
    /// task that reads the connection has come to run: what stands in the socket has come in time.
    fn poll_give_up(&mut self, cx: &mut Context<'_>) -> Poll<AnswerInterruption> {
        let (mut give_up_at, why) = self.limit.wait(Instant::now(), self.deadline.poll_get(cx));
        loop {
            if self.timer.deadline() != give_up_at {
                self.timer.as_mut().reset(give_up_at);
            }
            ready!(self.timer.as_mut().poll(cx));
            if !self.connection.as_ref().is_some_and(|connection| connection.has_unread()) {
                return Poll::Ready(why);
            }
            give_up_at = Instant::now() + UNREAD_WAIT;
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
                        Poll::Ready(why) => self.interrupt(why),
                        Poll::Pending => Poll::Pending,
                    };
                }
                Poll::Ready(None) => {
                    self.release();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return self.interrupt(AnswerInterruption::BackendBroke),
                Poll::Ready(Some(Ok(frame))) => {
                    if let Err(why) = self.receive(frame.data_ref().map_or(0, Bytes::len)) {
                        return self.interrupt(why);
                    }
                    // Trailers concern the connection that they came on, and go no further.
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
