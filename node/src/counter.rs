//! The client of the counter service. A connection carries one call at a time, so that a late answer is never
//! taken for that of another call.

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

/// How long an idle connection is kept. The counter closes connections that have been idle for about 10 s, or for
/// less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is kept for an answer that is already late. Until then it counts against the limit on
/// connections, since the counter may still be working on the call; a connection that never answers is counted
/// for this long.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a closing client checks whether calls are still in flight.
const END_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 1024;

/// Receives the results of calls to the counter.
pub trait CallObserver {
    /// Called exactly once for each call, with its result and the time that it took in microseconds.
    fn call_ended(&self, key: CounterKey, result: CounterResult, elapsed: Micros);
    /// Called with the final result of a call that was reported as overdue. `amount` is the number of units that
    /// it was to add.
    fn overdue_call_ended(&self, key: CounterKey, amount: f64, result: CounterResult);
}

/// A pool of connections to the counter.
pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    /// The number of times that the address has changed.
    address_changes: Cell<u64>,
    call_timeout: Duration,
    max_connections: Cell<usize>,
    /// The number of connections that are connecting or carry a call.
    open: Cell<usize>,
    /// The number of calls whose result has not been reported.
    in_flight: Cell<usize>,
    /// Whether no more calls may start.
    closed: Cell<bool>,
    /// Idle connections, oldest first, with the time since which each has been idle. All were opened since the
    /// address last changed.
    idle: RefCell<Vec<(Link, Instant)>>,
}

/// A place among the connections in use, given back when dropped.
struct Permit(Rc<Counter>);

impl Permit {
    /// Takes a place; `None` if all are taken or the client is closed.
    fn acquire(counter: &Rc<Counter>) -> Option<Self> {
        let open = counter.open.get() + counter.idle.borrow().len();
        (open < counter.max_connections.get() && !counter.closed.get()).then(|| {
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
    /// Creates a client for the counter at `address`; without an address, every call fails. Each call may take
    /// for as long as `limits` says, 80 ms without `limits`.
    pub fn new(address: Option<SocketAddr>, limits: Option<Limits>, max_connections: usize) -> Rc<Self> {
        let call_timeout = Duration::from_micros(limits.map_or(80_000, |l| l.timeout));
        let (address, max_connections) = (Cell::new(address), Cell::new(max_connections));
        let (open, in_flight, closed, idle) =
            (Cell::new(0), Cell::new(0), Cell::new(false), RefCell::default());
        Rc::new(Counter {
            address,
            address_changes: Cell::new(0),
            call_timeout,
            max_connections,
            open,
            in_flight,
            closed,
            idle,
        })
    }

    /// Limits the number of connections. Calls in flight are not cut off, so there may be more until they have
    /// ended.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.idle.borrow_mut().truncate(max_connections.saturating_sub(self.open.get()));
    }

    /// Sends later calls to this address. Calls in flight end on their connections and are not repeated. The old
    /// address soon closes its connections, so none opened before the change is used again, not even after a
    /// change back.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(Some(address)) != Some(address) {
            self.address_changes.set(self.address_changes.get() + 1);
            self.idle.borrow_mut().clear();
        }
    }

    /// Starts no more calls, and waits for those in flight, at most for one call's timeout and no longer than
    /// `until`.
    pub async fn finish(&self, until: Instant) {
        self.closed.set(true);
        let until = until.min(Instant::now() + self.call_timeout);
        while self.busy() && Instant::now() < until {
            sleep(END_POLL_INTERVAL).await;
        }
    }

    /// Returns whether calls are in flight whose result has not been reported.
    pub fn busy(&self) -> bool {
        self.in_flight.get() > 0
    }

    /// Starts a call that adds `amount` units to a key and reads its total. The counter forgets the key after
    /// `lifetime` (in microseconds). The result is reported to `observer`.
    pub fn call<R>(self: &Rc<Self>, observer: R, clock: Clock, key: CounterKey, amount: f64, lifetime: Micros)
    where
        R: CallObserver + 'static,
    {
        let (counter, began) = (self.clone(), clock.now());
        self.in_flight.set(self.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            let until = Instant::now() + counter.call_timeout;
            let path =
                format!("/v2/numbers/{:016x}?delta={amount}&life_ms={}", key.0, (lifetime / 1000).max(1));
            let report = |result| {
                counter.in_flight.set(counter.in_flight.get() - 1);
                observer.call_ended(key, result, clock.now().saturating_sub(began));
            };
            let Some((permit, link)) = counter.checkout(until).await else {
                return report(CounterResult::NotAdded);
            };
            let address_changes = counter.address_changes.get();
            let call = send_call(link, &path);
            tokio::pin!(call);
            // An answer that comes after the call was given up must not be taken for that of the next call, so
            // the connection is not used again before the answer has come.
            let in_time = timeout_at(until, &mut call).await;
            let link = match in_time {
                Ok((result, link)) => {
                    report(result);
                    link
                }
                Err(_) => {
                    report(CounterResult::Overdue);
                    let (result, link) =
                        timeout(LATE_ANSWER_TIMEOUT, call).await.unwrap_or((CounterResult::Unanswered, None));
                    observer.overdue_call_ended(key, amount, result);
                    link
                }
            };
            drop(permit);
            let has_room = counter.open.get() + counter.idle.borrow().len() < counter.max_connections.get();
            let reusable = link
                .filter(|link| has_room && link.usable() && counter.address_changes.get() == address_changes);
            counter.idle.borrow_mut().extend(reusable.map(|link| (link, Instant::now())));
        });
    }

    /// Takes the settled connection (idle for at least [`REUSE_DELAY`]) that has been idle longest. Use in turn gives
    /// each the longest time to settle and keeps open all that a burst needs. A new connection would cost the call
    /// a round trip, and might never come up.
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

    /// Returns an idle connection or a new one; `None` if there is none by `until`.
    async fn checkout(self: &Rc<Self>, until: Instant) -> Option<(Permit, Link)> {
        loop {
            if let Some(link) = self.reuse() {
                return Some((Permit::acquire(self)?, link));
            }
            if let Some(permit) = Permit::acquire(self) {
                let (address_changes, address) = (self.address_changes.get(), self.address.get()?);
                let connected = timeout_at(until, Link::connect(address)).await.ok()?;
                // A connection that came up after a change of address leads to the old one, where no new call may
                // go.
                if address_changes != self.address_changes.get() {
                    continue;
                }
                return Some((permit, connected.ok()?));
            }
            // The counter sees it only some time later when a connection is closed to make room for another, and
            // would then hold more than its limit. If connections that have not settled take all places, the call
            // waits for the first of them instead.
            let settled = self.idle.borrow().first().map(|(_, since)| *since + REUSE_DELAY)?;
            timeout_at(until, sleep_until(settled)).await.ok()?;
        }
    }

    /// Drops idle connections before the counter closes them.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|(link, since)| link.usable() && since.elapsed() < IDLE_TIMEOUT);
    }
}

/// Makes one call; also returns the connection if it may be used again.
async fn send_call(mut link: Link, path: &str) -> (CounterResult, Option<Link>) {
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
        // An answer without a readable total is corrupt. The amount was added, but whatever else arrives on this
        // connection can't be assigned to a call.
        _ => (CounterResult::Unanswered, None),
    }
}
