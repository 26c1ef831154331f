//! Bodies on their way: held whole where they are small, else passed on as they come. Nothing here holds more
//! than a frame beyond what was gathered; who reads on one side waits for who writes on the other.

use crate::admission::Held;
use crate::backend::{Conn, Pool};
use crate::metered::Meter;
use bytes::{Bytes, BytesMut};
use caperwind::BackendId;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

/// A body up to this long is held whole, so that it can be sent again.
pub const SMALL: usize = 64 * 1024;
/// A body longer than this is none that may come.
pub const MOST_BODY: u64 = 40 << 20;

/// A long answer of which nothing has come for so long, past its request's time, comes no more: what is held back
/// for 2 s is lost.
const STALLED: Duration = Duration::from_secs(2);

pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// What a request is sent with, and what an answer is passed on with.
pub type Outbound = Either<Full<Bytes>, Upload>;
pub type Answered = Either<Full<Bytes>, Flow>;

/// What came of gathering a body.
pub enum Gathered {
    Whole(Bytes),
    /// What has come, and the rest.
    Part(Bytes, Incoming),
    Broken,
}

/// Reads a body until it is whole, is longer than `SMALL`, or the time is up.
pub async fn gather(mut body: Incoming, until: Option<Instant>) -> Gathered {
    // Most bodies come in one frame, which is kept as it is.
    let (mut first, mut all) = (Bytes::new(), BytesMut::new());
    loop {
        if body.is_end_stream() {
            return Gathered::Whole(if all.is_empty() { first } else { all.freeze() });
        }
        let come = if all.is_empty() { first.len() } else { all.len() };
        if come > SMALL {
            return Gathered::Part(if all.is_empty() { first } else { all.freeze() }, body);
        }
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Gathered::Part(if all.is_empty() { first } else { all.freeze() }, body),
            },
        };
        match frame {
            None => return Gathered::Whole(if all.is_empty() { first } else { all.freeze() }),
            Some(Err(_)) => return Gathered::Broken,
            // Trailers are for this connection's end.
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if come == 0 => first = data,
                Ok(data) => {
                    if all.is_empty() {
                        all.extend_from_slice(&first);
                    }
                    all.extend_from_slice(&data);
                }
                Err(_trailers) => {}
            },
        }
    }
}

/// How long this side, not the client, has held a body up: while nobody asks for more of it.
#[derive(Default)]
pub struct Pace {
    held_up: Cell<Duration>,
    passed: Cell<Option<Instant>>,
}

impl Pace {
    pub fn begin(&self) {
        self.held_up.set(Duration::ZERO);
        self.passed.set(None);
    }

    pub fn held_up(&self) -> Duration {
        self.held_up.get() + self.passed.get().map_or(Duration::ZERO, |at| at.elapsed())
    }

    fn asked(&self) {
        self.held_up.set(self.held_up());
        self.passed.set(None);
    }

    fn passed(&self) {
        self.passed.set(Some(Instant::now()));
    }
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Open,
    Whole,
    Broken,
}

/// A client's body that goes on as it comes, once.
pub struct Source {
    state: RefCell<State>,
    /// As the client told it; unknown where it comes in chunks.
    pub length: Option<u64>,
    begun: Cell<bool>,
    end: Cell<End>,
    lent: Cell<bool>,
    /// Bytes that have come, and what they take on the way to a backend with their framing.
    come: Cell<u64>,
    framed: Cell<u64>,
    /// Told how many bytes the request takes in all, once that is known.
    goal: RefCell<Option<Goal>>,
    pace: Rc<Pace>,
    changed: Notify,
}

struct State {
    first: Option<(Bytes, Option<Held>)>,
    rest: Incoming,
}

struct Goal {
    meter: Rc<Meter>,
    tries: Rc<Cell<u64>>,
    /// Where the body begins, in bytes written.
    base: u64,
}

impl Source {
    pub fn new(
        first: Bytes,
        held: Option<Held>,
        rest: Incoming,
        length: Option<u64>,
        pace: Rc<Pace>,
    ) -> Rc<Self> {
        let come = Cell::new(first.len() as u64);
        let state = RefCell::new(State { first: Some((first, held)), rest });
        Rc::new(Source {
            state,
            length,
            begun: Cell::new(false),
            end: Cell::new(End::Open),
            lent: Cell::new(false),
            come,
            framed: Cell::new(0),
            goal: RefCell::default(),
            pace,
            changed: Notify::new(),
        })
    }

    /// Whether some of it has been passed on, so that it can't be sent from its beginning.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// Bytes that the whole body takes on the way to a backend; `None` until that is known.
    pub fn framed(&self) -> Option<u64> {
        (self.end.get() == End::Whole).then(|| self.framed.get())
    }

    /// Waits for its end; false where the client does not send what it said.
    pub async fn ended(&self) -> bool {
        loop {
            match self.end.get() {
                End::Open => self.changed.notified().await,
                end => return end == End::Whole,
            }
        }
    }

    /// Counts the request that it is sent with once its last byte is written.
    pub fn count_in(&self, meter: Rc<Meter>, tries: Rc<Cell<u64>>, base: u64) {
        *self.goal.borrow_mut() = Some(Goal { meter, tries, base });
        self.tell_goal();
    }

    fn tell_goal(&self) {
        let mut goal = self.goal.borrow_mut();
        if let (Some(framed), Some(Goal { meter, tries, base })) =
            (self.framed(), goal.take_if(|_| self.framed().is_some()))
        {
            meter.aim(base + framed, tries);
        }
    }

    /// Reads what nobody wants any more: closed before, the connection would be reset, and the client might
    /// lose its answer.
    pub async fn drain(&self) {
        while self.end.get() == End::Open {
            if self.lent.get() {
                self.changed.notified().await;
            } else if std::future::poll_fn(|cx| self.poll(cx)).await.is_none() {
                break;
            }
        }
    }

    fn finish(&self, end: End) {
        // The last chunk, which is empty.
        let closing = if self.length.is_none() { 5 } else { 0 };
        self.framed.set(self.framed.get() + closing);
        self.end.set(end);
        self.changed.notify_one();
        self.tell_goal();
    }

    fn pass(&self, data: Bytes) -> Poll<Option<Bytes>> {
        let framing = if self.length.is_none() { format!("{:x}", data.len()).len() + 4 } else { 0 };
        self.framed.set(self.framed.get() + (data.len() + framing) as u64);
        self.pace.passed();
        if self.state.borrow().rest.is_end_stream() {
            self.finish(End::Whole);
        }
        Poll::Ready(Some(data))
    }

    /// The next bytes; `None` at the end. Danger: a client that breaks off is no fault of the backend's: nothing
    /// more comes then, and the attempt is called off with the request.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.end.get() != End::Open {
            return if self.end.get() == End::Whole { Poll::Ready(None) } else { Poll::Pending };
        }
        self.begun.set(true);
        self.pace.asked();
        let first = self.state.borrow_mut().first.take();
        if let Some((first, _)) = first.filter(|f| !f.0.is_empty()) {
            return self.pass(first);
        }
        loop {
            let next = Pin::new(&mut self.state.borrow_mut().rest).poll_frame(cx);
            let data = match next {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.finish(End::Whole);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => None,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if data.is_empty() => continue,
                    Ok(data) => Some(data),
                    Err(_trailers) => continue,
                },
            };
            let come = self.come.get() + data.as_ref().map_or(0, |d| d.len() as u64);
            self.come.set(come);
            let Some(data) = data.filter(|_| come <= MOST_BODY) else {
                self.finish(End::Broken);
                return Poll::Pending;
            };
            return self.pass(data);
        }
    }
}

/// A source, lent to the one attempt that sends it.
pub struct Upload(Rc<Source>);

impl Upload {
    pub fn new(source: Rc<Source>) -> Self {
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
        self.0.end.get() == End::Whole
    }

    fn size_hint(&self) -> SizeHint {
        self.0.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A backend's answer that goes on as it comes. Dropped before its end, it closes the backend's connection.
pub struct Flow {
    first: Option<Bytes>,
    rest: Incoming,
    conn: Option<(Rc<Pool>, BackendId, Conn)>,
    /// It is long, as far as is known: then it may take longer than its request's time.
    long: bool,
    come: u64,
    /// When it breaks off if no more has come: first at the end of its request's time.
    last: Instant,
    breaks: Pin<Box<Sleep>>,
    waits: bool,
}

impl Flow {
    pub fn new(
        first: Bytes,
        rest: Incoming,
        last: Instant,
        (pool, id, conn): (Rc<Pool>, BackendId, Conn),
    ) -> Self {
        let long = rest.size_hint().exact().is_some();
        let (come, breaks) = (first.len() as u64, Box::pin(sleep_until(last)));
        let (first, conn) = (Some(first).filter(|f| !f.is_empty()), Some((pool, id, conn)));
        Flow { first, rest, conn, long, come, last, breaks, waits: false }
    }

    fn release(&mut self) {
        if let Some((pool, id, conn)) = self.conn.take() {
            pool.put_back(id, conn);
        }
    }

    /// Whether it is waited for in vain. Danger: a short one that does not end in its request's time never
    /// may; a long one takes what time it takes for as long as more of it comes.
    fn overdue(&mut self, cx: &mut Context<'_>) -> bool {
        if !std::mem::replace(&mut self.waits, true) && self.long {
            let until = self.last.max(Instant::now() + STALLED);
            self.breaks.as_mut().reset(until);
        }
        self.breaks.as_mut().poll(cx).is_ready()
    }

    fn count(&mut self, come: usize) -> bool {
        self.waits = false;
        self.come += come as u64;
        self.long |= self.come > SMALL as u64;
        self.come <= MOST_BODY
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            let next = Pin::new(&mut self.rest).poll_frame(cx);
            let in_bounds = match &next {
                Poll::Pending => !self.overdue(cx),
                Poll::Ready(Some(Ok(frame))) => self.count(frame.data_ref().map_or(0, Bytes::len)),
                Poll::Ready(_) => true,
            };
            if !in_bounds {
                self.conn = None;
                return Poll::Ready(Some(Err("an answer that does not end".into())));
            }
            match &next {
                // Trailers are for the backend's connection.
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => continue,
                Poll::Ready(None) => self.release(),
                Poll::Ready(Some(Err(_))) => self.conn = None,
                Poll::Ready(Some(Ok(_))) if self.rest.is_end_stream() => self.release(),
                _ => {}
            }
            return next.map_err(BoxError::from);
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |f| f.len() as u64);
        self.rest.size_hint().exact().map_or_else(SizeHint::default, |n| SizeHint::with_exact(first + n))
    }
}
