//! The client side: connections and how long they may take, the final answer on its way out.

use crate::admission::{admit, Budget};
use crate::backend::{strip_hop_by_hop, Message, Payload};
use crate::driver::{Reply, Shared};
use crate::figures::{Ending, Figures, Taken};
use crate::flow::{gather, BoxError, Flow, Gathered, Pace, Source, SMALL};
use crate::metered::{Meter, Metered, HEAD_BYTES};
use bytes::Bytes;
use caperwind::ClassIx;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// A whole request must have come this long after the connection or, on a later one, its first byte; a long one
/// has more time by its bytes. Heads may take 2 s and bodies come at 64 kB/s; 3 s is for none that is not whole.
const REQUEST_WAIT: Duration = Duration::from_millis(2_400);
const SLOWEST: f64 = 40_000.0;
/// A client that has taken nothing of its answer for so long is let go.
const STUCK: Duration = Duration::from_secs(15);
/// A connection on which nothing is asked for longer is closed.
const IDLE_WAIT: Duration = Duration::from_secs(5);
/// Connections are looked over this often, and while a request waits: the end of its client's connection is told
/// at once by itself, this is for where it is not.
const LOOK: Duration = Duration::from_millis(100);
const LOOK_WAITING: Duration = Duration::from_millis(40);
/// A request that takes longer than this to come gives way where connections run short; an answer that
/// was given less than `SETTLE` ago may still be on its way.
const SLOW: Duration = Duration::from_millis(300);
const SETTLE: Duration = Duration::from_millis(20);
/// In a drain, connections are closed by an answer at first, and those that are idle after so long at once:
/// by 2 s, so that no request taken later is in work at 4 s. One that has just come may be about to ask.
const BY_ANSWER: Duration = Duration::from_millis(1_000);
const ABOUT_TO_ASK: Duration = Duration::from_millis(50);
/// How often, and how long each time, a new connection waits for another to make way: for longer than `SLOW` in all,
/// as heads that have all just begun do not make way sooner.
const ROOM: (u32, Duration) = (40, Duration::from_millis(10));
/// One line a second at most of what may go wrong at full speed.
const LOG_EVERY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, PartialEq)]
enum Phase {
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
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Silent,
    Idle,
    SlowHead,
    SlowBody,
}

/// A client's connection as the others see it.
struct Guest {
    meter: Rc<Meter>,
    phase: Cell<Phase>,
    /// When the phase began, and what had been read by then.
    since: Cell<Instant>,
    read: Cell<u64>,
    /// What had been written when that last changed, and when.
    wrote: Cell<(u64, Instant)>,
    pace: Rc<Pace>,
    close: Notify,
    /// It has been told to make way.
    leaving: Cell<bool>,
    task: OnceCell<AbortHandle>,
}

impl Guest {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.read.set(self.meter.read());
        if phase != Phase::Work {
            self.pace.begin();
        }
        if phase == Phase::Idle {
            self.meter.listen();
        }
    }

    /// Whether its request should have come by now; what this side holds up is not its fault.
    fn overdue(&self) -> bool {
        let come = self.meter.read().saturating_sub(self.read.get()) as f64;
        let may = REQUEST_WAIT + Duration::from_secs_f64(come / SLOWEST) + self.pace.held_up();
        self.since.get().elapsed() >= may
    }

    /// Whether its answer has stood still for so long.
    fn stuck(&self, for_long: Duration) -> bool {
        let (written, at) = self.wrote.get();
        if self.meter.written() != written {
            self.wrote.set((self.meter.written(), Instant::now()));
        }
        self.meter.written() == written && at.elapsed() >= for_long
    }

    /// Its request waits for an answer, or for more of itself.
    fn waiting(&self) -> bool {
        matches!(self.phase.get(), Phase::Body | Phase::Work)
    }

    /// Nothing has been read since the phase began.
    fn untouched(&self) -> bool {
        self.meter.read() == self.read.get()
    }

    /// Nothing has come, read or not: closing it cuts nothing that has begun.
    fn nothing_begun(&self) -> bool {
        self.untouched() && self.meter.quiet()
    }

    /// It has just come, has said nothing, and may be about to ask.
    fn fresh(&self, now: Instant) -> bool {
        self.phase.get() == Phase::New && self.untouched() && now - self.since.get() < ABOUT_TO_ASK
    }

    /// Where it stands in the line of those that make way; `None` for those that do not.
    fn rank(&self, now: Instant) -> Option<Rank> {
        let age = now - self.since.get();
        match self.phase.get() {
            Phase::New if self.untouched() => (age >= ABOUT_TO_ASK).then_some(Rank::Silent),
            Phase::Idle if self.untouched() && age >= SETTLE => Some(Rank::Idle),
            Phase::New | Phase::Coming if age >= SLOW => Some(Rank::SlowHead),
            Phase::Body if age >= SLOW => Some(Rank::SlowBody),
            _ => None,
        }
    }

    /// Ends what is between requests, once its last answer is written.
    fn dismiss(&self) {
        self.close.notify_one();
    }

    fn cut(&self) {
        self.task.get().inspect(|t| t.abort());
    }
}

/// All client connections.
pub struct Server {
    driver: Shared,
    figures: Rc<Figures>,
    most: Cell<usize>,
    /// It accepts; and another process of this gateway does when this one no longer does.
    open: Cell<bool>,
    succeeded: Cell<bool>,
    bodies: Budget,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
    next: Cell<u64>,
    left: Notify,
    /// A request has begun to wait.
    waits: Notify,
}

/// A guest's place, given up when its task ends in whatever way.
struct Place(Rc<Server>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.guests.borrow_mut().remove(&self.1);
        self.0.left.notify_one();
    }
}

type Answer = Response<Either<Full<Bytes>, Outgoing>>;

/// An answer on its way, counted by how it ends; one whose client has left is not.
struct Outgoing {
    flow: Flow,
    guest: Rc<Guest>,
    figures: Rc<Figures>,
    class: ClassIx,
    taken: Option<Taken>,
}

impl Outgoing {
    fn end(&mut self, ending: Ending) {
        if self.taken.take().is_some() {
            self.figures.settle(self.class, ending);
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let next = Pin::new(&mut self.flow).poll_frame(cx);
        match &next {
            Poll::Ready(Some(Err(_))) => self.end(Ending::Failed),
            Poll::Ready(_) if self.flow.is_end_stream() => self.end(Ending::Passed),
            Poll::Ready(None) => self.end(Ending::Passed),
            _ => {}
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        self.flow.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.flow.size_hint()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.guest.enter(Phase::Idle);
    }
}

/// A connection that was accepted apart from the runtime.
fn take(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    answer
}

/// An answer after which nothing more is read.
fn last(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

impl Server {
    pub fn new(driver: Shared, figures: Rc<Figures>, most: usize, bodies: Budget) -> Rc<Self> {
        let (guests, next) = (RefCell::default(), Cell::new(0));
        let (left, waits) = (Notify::new(), Notify::new());
        let (most, open, succeeded) = (Cell::new(most), Cell::new(false), Cell::new(false));
        Rc::new(Server { driver, figures, most, open, succeeded, bodies, guests, next, left, waits })
    }

    pub fn empty(&self) -> bool {
        self.guests.borrow().is_empty()
    }

    /// From now on holds so many connections at most, as far as others can make way.
    pub fn hold(&self, most: usize) {
        self.most.set(most);
    }

    /// Whether an answer is on its way.
    pub fn flowing(&self) -> bool {
        self.guests.borrow().values().any(|g| g.phase.get() == Phase::Reply)
    }

    /// Breaks off the answers that have stood still for so long.
    pub fn cut_stuck(&self, for_long: Duration) {
        let guests = self.guests.borrow();
        let replies = guests.values().filter(|g| g.phase.get() == Phase::Reply);
        replies.filter(|g| g.stuck(for_long)).for_each(|g| g.cut());
    }

    /// Connections held.
    pub fn held(&self) -> usize {
        self.guests.borrow().len()
    }

    /// Another process of this gateway serves from now on.
    pub fn succeeded(&self) {
        self.succeeded.set(true);
    }

    /// Closes what has been between requests for so long; what has begun gets its answer, and goes then.
    pub fn close_idle(&self, for_long: Duration) {
        let guests = self.guests.borrow();
        let idle = guests.values().filter(|g| matches!(g.phase.get(), Phase::New | Phase::Idle));
        let idle = idle.filter(|g| g.since.get().elapsed() >= for_long.max(ABOUT_TO_ASK));
        idle.filter(|g| g.nothing_begun()).for_each(|g| g.dismiss());
    }

    /// Accepts until it is told that it was the last. Danger: a connection that has come is owed an answer, also
    /// one that waits for its place or in the listener's line, which ends with the listener: it is emptied, unless
    /// another process goes on with it.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, mut last: watch::Receiver<bool>) {
        let mut logged: Option<Instant> = None;
        self.open.set(true);
        loop {
            let stops = *last.borrow();
            let come = if stops && self.succeeded.get() {
                return;
            } else if stops {
                // The runtime may not have been told yet of one that the kernel holds: the kernel is asked.
                match SockRef::from(&listener).accept() {
                    Ok((socket, _)) => take(socket),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    Err(e) => Err(e),
                }
            } else {
                tokio::select! {
                    come = listener.accept() => come.map(|(stream, _)| stream),
                    _ = last.changed() => continue,
                }
            };
            let trouble = match come {
                Ok(stream) if self.room().await => {
                    self.welcome(stream);
                    continue;
                }
                Ok(_) => "no connection can make way".to_owned(),
                // Out of descriptors, or the peer is gone already: a short pause, then again.
                Err(e) => {
                    sleep(ROOM.1).await;
                    e.to_string()
                }
            };
            if logged.is_none_or(|at| at.elapsed() >= LOG_EVERY) {
                eprintln!("accept: {trouble}");
                logged = Some(Instant::now());
            }
        }
    }

    /// Waits for a place, which another may have to leave: the bound holds at every moment.
    async fn room(&self) -> bool {
        for _ in 0..ROOM.0 {
            if self.guests.borrow().len() < self.most.get() {
                return true;
            }
            self.make_way();
            let _ = timeout(ROOM.1, self.left.notified()).await;
        }
        self.guests.borrow().len() < self.most.get()
    }

    /// The one that is missed least leaves: the silent before the idle, these before the slow. Danger: one that was
    /// told before may still be held up by an answer that its client does not take; it must not hold up the rest. And
    /// one that has just come may be about to ask; where these are many, they are soon silent, and nobody else leaves.
    fn make_way(&self) {
        let (guests, now) = (self.guests.borrow(), Instant::now());
        let stay = guests.values().filter(|g| !g.leaving.get());
        let mut line: Vec<_> = stay.filter_map(|g| Some((g.rank(now)?, g.since.get(), g))).collect();
        line.sort_by_key(|(rank, since, _)| (*rank, *since));
        let others = line.len();
        let begun = |rank| matches!(rank, Rank::SlowHead | Rank::SlowBody);
        let leaves = line.into_iter().find(|(rank, _, g)| begun(*rank) || g.nothing_begun());
        let fresh = guests.values().filter(|g| g.fresh(now)).count();
        let Some((rank, _, guest)) = leaves.filter(|(rank, ..)| *rank == Rank::Silent || fresh < others)
        else {
            return;
        };
        guest.leaving.set(true);
        match rank {
            Rank::Idle => guest.dismiss(),
            _ => guest.cut(),
        }
    }

    /// Looks the connections over, for as long as the program runs.
    pub async fn watch(self: Rc<Self>) {
        let mut drained: Option<Instant> = None;
        loop {
            let waiting = || self.guests.borrow().values().any(|g| g.waiting());
            if waiting() || timeout(LOOK, self.waits.notified()).await.is_ok() {
                sleep(LOOK_WAITING).await;
            }
            drained = self.driver.draining().then(|| drained.unwrap_or_else(Instant::now));
            if drained.is_some_and(|at| at.elapsed() >= BY_ANSWER) {
                self.close_idle(ABOUT_TO_ASK);
            }
            for _ in self.most.get()..self.guests.borrow().len() {
                self.make_way();
            }
            for guest in self.guests.borrow().values() {
                let age = guest.since.get().elapsed();
                match guest.phase.get() {
                    Phase::New | Phase::Coming | Phase::Body if guest.overdue() => guest.cut(),
                    Phase::Body | Phase::Work if guest.meter.peer_closed() => guest.cut(),
                    Phase::Reply if guest.stuck(STUCK) => guest.cut(),
                    Phase::Idle if !guest.untouched() => guest.enter(Phase::Coming),
                    // An answer that is not read either.
                    Phase::Idle if age >= 2 * IDLE_WAIT => guest.cut(),
                    Phase::Idle if age >= IDLE_WAIT && guest.meter.quiet() => guest.dismiss(),
                    _ => {}
                }
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next.replace(self.next.get() + 1);
        let guest = Rc::new(Guest {
            meter: Meter::new(stream),
            phase: Cell::new(Phase::New),
            since: Cell::new(Instant::now()),
            read: Cell::new(0),
            wrote: Cell::new((0, Instant::now())),
            pace: Rc::default(),
            close: Notify::new(),
            leaving: Cell::new(false),
            task: OnceCell::new(),
        });
        guest.meter.listen();
        self.guests.borrow_mut().insert(id, guest.clone());
        let (server, here, place) = (self.clone(), guest.clone(), Place(self.clone(), id));
        let task = tokio::task::spawn_local(async move {
            let _place = place;
            server.serve(&here).await;
        });
        let _ = guest.task.set(task.abort_handle());
    }

    async fn serve(self: &Rc<Self>, guest: &Rc<Guest>) {
        let service = service_fn(|request| {
            let (server, guest) = (self.clone(), guest.clone());
            async move {
                let mut answer = server.answer(request, &guest).await;
                let flows = matches!(answer.body(), Either::Right(_));
                guest.wrote.set((guest.meter.written(), Instant::now()));
                guest.enter(if flows { Phase::Reply } else { Phase::Idle });
                if server.driver.closing() || server.driver.draining() || guest.meter.skipped() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut http = http1::Builder::new();
        // Times are kept by `watch`, over all connections at once.
        http.header_read_timeout(None).max_buf_size(HEAD_BYTES);
        let mut conn = pin!(http.serve_connection(TokioIo::new(Metered(guest.meter.clone())), service));
        let mut departure = pin!(self.departure(guest));
        let mut told = false;
        loop {
            tokio::select! {
                // The phase goes by what the connection does: it comes first.
                biased;
                // An error here is the client's: it broke off or sent no HTTP.
                _ = conn.as_mut() => return,
                () = departure.as_mut() => return,
                () = guest.close.notified(), if !told => {
                    told = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Waits until the client closes its connection while its request waits. Danger: the library reads no
    /// further than that request; of whose client has left is then sent on for nobody.
    async fn departure(&self, guest: &Guest) {
        let mut closed = pin!(guest.meter.closed());
        poll_fn(|cx| match guest.phase.get() {
            _ if !guest.waiting() => Poll::Pending,
            _ if closed.as_mut().poll(cx).is_ready() => Poll::Ready(()),
            phase => guest.meter.poll_ahead(cx, &self.bodies, phase == Phase::Work),
        })
        .await
    }

    /// Whether this process serves and goes on to.
    pub fn ready(&self) -> bool {
        self.open.get() && self.driver.ready() && !self.driver.closing() && !self.driver.draining()
    }

    /// Whether clients are wanted at this address: another process may serve there when this one ends.
    fn serving(&self) -> bool {
        let goes_on = !self.driver.closing() || self.succeeded.get();
        self.driver.ready() && goes_on && !self.driver.draining()
    }

    async fn answer(&self, request: Request<Incoming>, guest: &Rc<Guest>) -> Answer {
        if guest.phase.get() == Phase::Idle {
            guest.enter(Phase::Coming);
        }
        if request.uri().path() == "/healthz" {
            return match (request.method() == Method::GET, self.serving()) {
                (false, _) => last(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
                (_, true) => plain(StatusCode::OK, "ready\n"),
                (_, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        let (head, body) = request.into_parts();
        let (terms, length) = match admit(&head, self.driver.module()) {
            Ok(admitted) => admitted,
            // Where it is wrong in one thing, its end may be elsewhere than it says, too.
            Err((status, text)) => return last(status, text),
        };
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        // Danger: what one reader takes for a body may hold a request for another, who goes by the length.
        if chunked && guest.meter.names("content-length") != Some(false) {
            return last(StatusCode::BAD_REQUEST, "two lengths\n");
        }
        // What has been read counts from the head on, and so does its time.
        guest.phase.set(Phase::Body);
        self.waits.notify_one();
        let small = length.filter(|n| *n <= SMALL as u64).and_then(|n| usize::try_from(n).ok());
        let held = self.bodies.take(small.unwrap_or(SMALL));
        if held.is_none() && small.is_some() {
            self.figures.settle(terms.class, Ending::Dropped);
            return last(StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n");
        }
        let gathered = match &held {
            Some(_) => gather(body, None).await,
            None => Gathered::Part(Bytes::new(), body),
        };
        let (class, wait) = (terms.class, terms.wait);
        let (mut taken, mut source) = (None, None);
        let body = match (gathered, held) {
            (Gathered::Whole(body), Some(held)) => {
                if head.method == Method::GET && !body.is_empty() {
                    return last(StatusCode::BAD_REQUEST, "GET takes no body\n");
                }
                guest.enter(Phase::Work);
                taken = Some(self.figures.take());
                Payload::Whole { body, _held: held }
            }
            (Gathered::Part(..), _) if head.method == Method::GET => {
                return last(StatusCode::BAD_REQUEST, "GET takes no body\n");
            }
            (Gathered::Part(first, rest), held) => {
                let coming = Source::new(first, held, rest, length, guest.pace.clone());
                source = Some(coming.clone());
                Payload::Coming(coming)
            }
            _ => return last(StatusCode::BAD_REQUEST, "broken body\n"),
        };
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        // A target in absolute form goes on as a path, as backends expect it.
        let target = head.uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()));
        let message = Message { method: head.method, target, headers, body, client: guest.meter.clone() };
        // The request's time counts from here, if its last byte has come.
        let mut ticket = match self.driver.request(message, terms) {
            Ok(ticket) => ticket,
            Err((status, text)) => {
                self.figures.settle(class, Ending::of(status));
                return last(status, text);
            }
        };
        let mut reply = None;
        if let Some(source) = &source {
            tokio::select! {
                settled = ticket.answer() => reply = Some(settled),
                whole = source.ended() => {
                    if !whole {
                        return last(StatusCode::BAD_REQUEST, "broken body\n");
                    }
                    guest.enter(Phase::Work);
                    taken = Some(self.figures.take());
                    self.driver.uploaded(&ticket, wait);
                }
            }
        }
        let reply = match reply {
            Some(reply) => reply,
            None => ticket.answer().await,
        };
        if let Some(source) = source {
            tokio::task::spawn_local(async move { source.drain().await });
        }
        match reply {
            Reply::Served(answer) => {
                let (head, body) = answer.into_parts();
                let body = match body {
                    Either::Left(body) => {
                        self.figures.settle(class, Ending::Passed);
                        Either::Left(body)
                    }
                    Either::Right(flow) => {
                        let (guest, figures) = (guest.clone(), self.figures.clone());
                        let taken = taken.or_else(|| Some(self.figures.take()));
                        Either::Right(Outgoing { flow, guest, figures, class, taken })
                    }
                };
                Response::from_parts(head, body)
            }
            Reply::Refused { wait, tried } => {
                self.figures.settle(class, Ending::Dropped);
                let status =
                    if tried { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
                let mut answer = plain(status, "refused\n");
                if wait > 0 {
                    let seconds = format!("{:.3}", wait as f64 / 1e6);
                    if let Ok(value) = HeaderValue::from_str(&seconds) {
                        answer.headers_mut().insert(RETRY_AFTER, value);
                    }
                }
                answer
            }
            Reply::Failed => {
                self.figures.settle(class, Ending::Failed);
                plain(StatusCode::GATEWAY_TIMEOUT, "failed\n")
            }
            Reply::ClientClosed => {
                guest.cut();
                std::future::pending().await
            }
        }
    }
}
