//! The counter client: one call out per connection, so that a late answer is never another call's.

use crate::clock::Clock;
use crate::link::{head_length, Link, SendError, REUSE_DELAY};
use bytes::Bytes;
use caperwind::{CounterKey, CounterResult, CounterSettings as Limits, Micros};
use http_body_util::{BodyExt, Either, Full, Limited};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// The counter closes what has stood idle for about 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is kept for an answer that is late already. Danger: until then the call counts as one
/// that the counter has: a connection that has gone silent holds its place that long.
const LINGER: Duration = Duration::from_secs(1);
/// How often the end looks whether calls are out.
const TURN: Duration = Duration::from_millis(2);
const MAX_ANSWER_BYTES: usize = 1024;

/// Who is told what became of calls.
pub trait CallObserver {
    /// A call's one result.
    fn call_ended(&self, name: CounterKey, result: CounterResult, elapsed: Micros);
    /// What became of a call that was told as overdue.
    fn overdue_call_ended(&self, name: CounterKey, amount: f64, result: CounterResult);
}

/// Connections to the counter.
pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    /// How often the address has changed.
    moves: Cell<u64>,
    limit: Duration,
    max_connections: Cell<usize>,
    open: Cell<usize>,
    /// Calls whose result has not been told.
    in_flight: Cell<usize>,
    /// Starts no more calls.
    ended: Cell<bool>,
    /// Made since the last move only.
    idle: RefCell<Vec<(Link, Instant)>>,
}

/// Counts a connection as open for as long as it lives.
struct Permit(Rc<Counter>);

impl Permit {
    fn acquire(counter: &Rc<Counter>) -> Option<Self> {
        let open = counter.open.get() + counter.idle.borrow().len();
        (open < counter.max_connections.get() && !counter.ended.get()).then(|| {
            counter.open.set(counter.open.get() + 1);
            Permit(counter.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, limits: Option<Limits>, max_connections: usize) -> Rc<Self> {
        let limit = Duration::from_micros(limits.map_or(80_000, |l| l.timeout));
        let (address, max_connections) = (Cell::new(address), Cell::new(max_connections));
        let (open, in_flight, ended, idle) =
            (Cell::new(0), Cell::new(0), Cell::new(false), RefCell::default());
        Rc::new(Counter {
            address,
            moves: Cell::new(0),
            limit,
            max_connections,
            open,
            in_flight,
            ended,
            idle,
        })
    }

    /// From now on holds so many connections at most, once the calls that are out have ended.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.idle.borrow_mut().truncate(max_connections.saturating_sub(self.open.get()));
    }

    /// Later calls go to this address. Calls that are out end where they are: none goes out again. Danger: an address
    /// that was left closes its connections soon: none of before is used again, also after a move back.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(Some(address)) != Some(address) {
            self.moves.set(self.moves.get() + 1);
            self.idle.borrow_mut().clear();
        }
    }

    /// Starts no more calls, and waits for those that are out, up to a call's time and no longer than `until`.
    pub async fn end(&self, until: Instant) {
        self.ended.set(true);
        let until = until.min(Instant::now() + self.limit);
        while self.busy() && Instant::now() < until {
            sleep(TURN).await;
        }
    }

    /// Whether calls are out whose result has not been told.
    pub fn busy(&self) -> bool {
        self.in_flight.get() > 0
    }

    /// Starts a call.
    pub fn call<R>(self: &Rc<Self>, results: R, clock: Clock, name: CounterKey, amount: f64, life: Micros)
    where
        R: CallObserver + 'static,
    {
        let (counter, began) = (self.clone(), clock.now());
        self.in_flight.set(self.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            let until = Instant::now() + counter.limit;
            let path = format!("/v2/numbers/{:016x}?delta={amount}&life_ms={}", name.0, (life / 1000).max(1));
            let tell = |result| {
                counter.in_flight.set(counter.in_flight.get() - 1);
                results.call_ended(name, result, clock.now().saturating_sub(began));
            };
            let Some((permit, link)) = counter.checkout(until).await else {
                return tell(CounterResult::NotAdded);
            };
            let moves = counter.moves.get();
            let call = ask(link, &path);
            tokio::pin!(call);
            // Danger: an answer that comes after the call was given up must not be taken for the next
            // one's: the connection is not used again before it has come.
            let in_time = timeout_at(until, &mut call).await;
            let link = match in_time {
                Ok((result, link)) => {
                    tell(result);
                    link
                }
                Err(_) => {
                    tell(CounterResult::Overdue);
                    let (end, link) =
                        timeout(LINGER, call).await.unwrap_or((CounterResult::Unanswered, None));
                    results.overdue_call_ended(name, amount, end);
                    link
                }
            };
            drop(permit);
            let room = counter.open.get() + counter.idle.borrow().len() < counter.max_connections.get();
            let again = link.filter(|link| room && link.usable() && counter.moves.get() == moves);
            counter.idle.borrow_mut().extend(again.map(|link| (link, Instant::now())));
        });
    }

    /// The longest idle connection that has settled: used in turn, they rest longest, and all that a burst needs stay
    /// open. A new one takes a round trip of its call's time, and may be one that never comes up.
    fn reuse(&self) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        while let Some(at) = idle.iter().position(|(_, since)| since.elapsed() >= REUSE_DELAY) {
            let (link, since) = idle.remove(at);
            if link.usable() && since.elapsed() < IDLE_TIMEOUT {
                return Some(link);
            }
        }
        None
    }

    /// A connection that may be used again, or a new one.
    async fn checkout(self: &Rc<Self>, until: Instant) -> Option<(Permit, Link)> {
        loop {
            if let Some(link) = self.reuse() {
                return Some((Permit::acquire(self)?, link));
            }
            if let Some(permit) = Permit::acquire(self) {
                let (moves, address) = (self.moves.get(), self.address.get()?);
                let made = timeout_at(until, Link::connect(address)).await.ok()?;
                // Danger: one that comes up after a move leads to where nothing new is to go.
                if moves != self.moves.get() {
                    continue;
                }
                return Some((permit, made.ok()?));
            }
            // Danger: one closed to make room for another is seen by the counter some time later: there would be more
            // than it holds. Where those that have not settled take up all places, the first of them is waited for.
            let settled = self.idle.borrow().first().map(|(_, since)| *since + REUSE_DELAY)?;
            timeout_at(until, sleep_until(settled)).await.ok()?;
        }
    }

    /// Drops idle connections before the counter closes them.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|(link, since)| link.usable() && since.elapsed() < IDLE_TIMEOUT);
    }
}

/// One call; also the connection, where it may be used again.
async fn ask(mut link: Link, path: &str) -> (CounterResult, Option<Link>) {
    let request = hyper::Request::post(path).header("host", "counter").header("content-length", "0");
    let Ok(request) = request.body(Either::Left(Full::new(Bytes::new()))) else {
        return (CounterResult::NotAdded, None);
    };
    let length = head_length(&request);
    let answer = match link.send(request, || Some(length)).await {
        Ok(answer) => answer,
        Err(SendError { fully_written: true }) => return (CounterResult::Unanswered, None),
        Err(_) => return (CounterResult::NotAdded, None),
    };
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await.ok().map(|b| b.to_bytes());
    let total = body.as_deref().and_then(|b| std::str::from_utf8(b).ok()?.trim().parse::<f64>().ok());
    match (status, total.filter(|v| v.is_finite())) {
        (503 | 400 | 404, _) => (CounterResult::NotAdded, body.is_some().then_some(link)),
        (200, Some(total)) => (CounterResult::Total(total), Some(link)),
        // Danger: an answer with no number is spoilt. The amount was added, and what else comes on that
        // connection is anyone's.
        _ => (CounterResult::Unanswered, None),
    }
}
