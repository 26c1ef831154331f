//! An answer that is passed on as it comes.

use super::answer_limit::AnswerLimit;
use super::interruption::AnswerInterruption;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::{sleep_until, Instant, Sleep};

/// The connection that an answer comes on. Dropping it closes it.
pub trait AnswerConnection {
    /// The backend's address.
    fn backend(&self) -> SocketAddr;
    /// Gives the connection back for further use: the answer has been read to its end.
    fn release(self: Box<Self>);
}

/// The body of an answer to a client: held whole, or passed on as it comes.
pub type AnswerBody = Either<Full<Bytes>, Download>;

/// What has come of an answer, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The backend that it comes from.
    pub backend: SocketAddr,
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
    deadline: Instant,
    last_received: Instant,
    /// Since when the next bytes have been waited for; `None` while nobody asks for them.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl Download {
    /// An answer of which `first` has come. `deadline` is the end of its request's time.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        deadline: Instant,
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
            deadline,
            last_received: Instant::now(),
            waiting_since: None,
            timer: Box::pin(sleep_until(deadline)),
        }
    }

    /// What has come of it so far.
    pub fn progress(&self) -> Progress {
        let (backend, last_received) = (self.backend, self.last_received);
        Progress { backend, received: self.limit.received(), last_received }
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

    /// Ready with the reason where the next bytes are waited for no longer.
    fn poll_give_up(&mut self, cx: &mut Context<'_>) -> Poll<AnswerInterruption> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let (give_up_at, why) = self.limit.give_up(self.deadline, waiting_since);
        if self.timer.deadline() != give_up_at {
            self.timer.as_mut().reset(give_up_at);
        }
        self.timer.as_mut().poll(cx).map(|()| why)
    }

    fn receive(&mut self, bytes: usize) -> Result<(), AnswerInterruption> {
        self.waiting_since = None;
        self.last_received = Instant::now();
        self.limit.receive(bytes)
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
