//! Discovery: a full list, then one watch after another; what it tells goes to the driver in order.

use crate::endpoints::List;
use bytes::Bytes;
use caperwind::Discovery;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// How long calls take. Danger: what an agent of this machine has counts as told, whatever its watch does, and a
/// watch that has fallen silent is told from one without news by its end alone. Where lists are pushed a call
/// costs nothing: the end of a silent one, and the next one's answer, come within the shortest grace. Where
/// discovery is asked, calls are few and wait in its line; what is told counts 2 s after that wait at the latest.
struct Patience {
    connect: Duration,
    /// A watch waits this long for news; an answer is overdue this long after it should have come.
    wait: Duration,
    overdue: Duration,
    whole: Duration,
    /// The longest wait between tries while the agent does not answer.
    backoff: Duration,
}

const ASKED: Patience = Patience {
    connect: Duration::from_millis(500),
    wait: Duration::from_secs(4),
    overdue: Duration::from_millis(1_500),
    whole: Duration::from_millis(2_500),
    backoff: Duration::from_millis(400),
};
/// An answer over the loopback is never overdue sooner.
const AT_ONCE: Duration = Duration::from_millis(50);

impl Patience {
    fn of(mode: Discovery, grace: Duration) -> Self {
        if let Discovery::OnRequest { .. } = mode {
            return ASKED;
        }
        let soon = (grace / 4).clamp(AT_ONCE, ASKED.connect);
        let (wait, backoff) = ((grace / 2).clamp(AT_ONCE, ASKED.wait), soon / 2);
        Patience { connect: soon, wait, overdue: soon, whole: soon, backoff }
    }
}

/// The first wait between tries while the agent does not answer.
const BACKOFF: Duration = Duration::from_millis(20);
/// What goes wrong all the time is logged this often.
const LOG_EVERY: Duration = Duration::from_secs(5);
/// The same while discovery turns calls away, for each gateway that asks. Danger: its line has a bound, and
/// what waits there too long is worked on in vain. A fleet that soon asks again keeps that line so long that
/// nobody is answered in time, for as long as this goes on.
const TURNED_AWAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// Where discovery has to be asked, the first calls of a fleet that has started together with a list in hand
/// are spread over so long for each, and so long in all: 6 s on, what it has to tell counts as told.
const SPREAD: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(4));
const MOST_BYTES: usize = 4 << 20;

struct Agent {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

/// A connection that has fallen silent is closed with its last call.
impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Agent {
    async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let stream = timeout(limit, TcpStream::connect(address)).await.map_err(|_| "connect: no answer")?;
        let stream = stream.map_err(|e| format!("connect: {e}"))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(conn).abort_handle();
        Ok(Agent { address, sender, task })
    }

    async fn ask(&mut self, path: &str, limit: Duration) -> Result<List, Failure> {
        let request = hyper::Request::get(path).header("host", self.address.to_string());
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let call = async {
            self.sender.ready().await.map_err(|e| e.to_string())?;
            let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
            match answer.status() {
                StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    return Err(Failure::TurnedAway(answer.status()))
                }
                other => return Err(Failure::Other(format!("status {other}"))),
            }
            let body = Limited::new(answer.into_body(), MOST_BYTES).collect().await;
            Ok(body.map_err(|e| e.to_string())?.to_bytes())
        };
        let body = timeout(limit, call).await.map_err(|_| "no answer in time".to_owned())??;
        serde_json::from_slice(&body).map_err(|e| Failure::Unreadable(format!("unreadable list: {e}")))
    }
}

/// Why a call told nothing.
enum Failure {
    /// Discovery has more calls than it bears.
    TurnedAway(StatusCode),
    /// What came is no list: what is held may not be what the agent holds it to be.
    Unreadable(String),
    Other(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Self {
        Failure::Other(why)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::TurnedAway(status) => write!(f, "turned away: {status}"),
            Failure::Unreadable(why) | Failure::Other(why) => f.write_str(why),
        }
    }
}

/// Who is told what discovery says.
pub trait Subscriber {
    /// A list, which may be `older` than what is held; true where the whole one is wanted next.
    fn told(&self, list: List, older: bool) -> bool;
    /// A call told nothing: what is held stays in force.
    fn failed(&self);
}

/// How the settings want the list followed.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub mode: Discovery,
    /// Of the whole fleet.
    pub gateways: u32,
    /// Nothing new may go to a backend so long after word of its drain.
    pub drain_grace: Duration,
}

impl Terms {
    pub fn of(module: &caperwind::Config) -> Self {
        let drain_grace = Duration::from_micros(module.drain_grace);
        Terms { mode: module.discovery, gateways: module.gateways, drain_grace }
    }
}

/// What is held of discovery's list, and the wait before the next try.
struct Follower<S> {
    subscriber: S,
    terms: Terms,
    /// The version that is held; `None`: the whole list is due.
    held: Option<u64>,
    /// The last version that this agent has told; `None`: nothing yet.
    newest: Option<u64>,
    patience: Patience,
    failures: u32,
    logged: Option<Instant>,
    random: fastrand::Rng,
}

/// Follows the list for as long as the program runs, at the address that holds at the time. `held` is the
/// version of the list that the program began with.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    subscriber: impl Subscriber,
    terms: Terms,
    held: Option<u64>,
    seed: u64,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    let patience = Patience::of(terms.mode, terms.drain_grace);
    if held.is_some() {
        tokio::time::sleep(first_wait(terms.mode, terms.gateways, random.f64())).await;
    }
    let (newest, failures, logged) = (held, 0, None);
    let mut follower = Follower { subscriber, terms, held, newest, patience, failures, logged, random };
    loop {
        let at = *address.borrow_and_update();
        let try_one = async {
            let Err(why) = follower.session(at).await;
            // Danger: silence or rubbish is no empty list; what is held stays in force.
            follower.subscriber.failed();
            if follower.logged.is_none_or(|at| at.elapsed() >= LOG_EVERY) {
                eprintln!("discovery: {why}");
                follower.logged = Some(Instant::now());
            }
            if let Failure::Unreadable(_) = why {
                follower.held = None;
            }
            tokio::time::sleep(follower.wait(&why)).await;
        };
        tokio::select! {
            () = try_one => {}
            // Danger: what the new agent has counts as told soon, so neither an open watch at the old one nor
            // a wait is sat out. It may number its versions in its own way.
            Ok(()) = address.changed() => {
                (follower.held, follower.newest, follower.failures) = (None, None, 0);
            }
        }
    }
}

/// How long a gateway that starts with a list in hand waits before it asks for news, at `lot` of the spread.
/// Danger: what the agent holds counts as told at once. Where changes are pushed to it, asking it costs
/// nothing, and a gateway that waits sends to backends that have long been draining.
fn first_wait(mode: Discovery, gateways: u32, lot: f64) -> Duration {
    match mode {
        Discovery::Pushed => Duration::ZERO,
        Discovery::OnRequest { .. } => SPREAD.0.saturating_mul(gateways).min(SPREAD.1).mul_f64(lot),
    }
}

impl<S: Subscriber> Follower<S> {
    /// Doubles with each failure. Danger: gateways that are turned away together come back together, so
    /// each waits for a time of its own.
    fn wait(&mut self, why: &Failure) -> Duration {
        let (first, longest) = match why {
            Failure::TurnedAway(_) => {
                (TURNED_AWAY.0 * self.terms.gateways, TURNED_AWAY.1 * self.terms.gateways)
            }
            _ => (BACKOFF, self.patience.backoff),
        };
        let wait = longest.min(first.saturating_mul(1 << self.failures.min(10)));
        self.failures += 1;
        wait.mul_f64(0.5 + self.random.f64())
    }

    /// One connection's worth: the whole list where none is held, then watches from the version that is.
    /// Danger: a whole list costs discovery work for each of its lines, a hundred of them more than it can do.
    async fn session(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, Failure> {
        let mut agent = Agent::connect(address, self.patience.connect).await?;
        loop {
            let list = match self.held {
                // The next call goes out at once: within 200 ms it continues the watch.
                Some(index) => {
                    let wait = self.watch();
                    let path = format!("/v1/servers?index={index}&wait={}", wait.as_millis());
                    agent.ask(&path, wait + self.patience.overdue).await?
                }
                None => {
                    let list = agent.ask("/v1/servers", self.patience.whole).await?;
                    List { snapshot: true, ..list }
                }
            };
            // One that has gone back counts from anew: changes to what it held before mean nothing, and a whole
            // one may be older than what is held, as that of another agent may be.
            let back = self.newest.is_none_or(|newest| list.index < newest);
            self.failures = 0;
            self.held = Some(list.index).filter(|_| list.snapshot || !back);
            if self.held.is_some() {
                self.newest = self.held;
                if self.subscriber.told(list, back) {
                    self.held = None;
                }
            }
        }
    }

    /// How long a watch is to wait. Danger: an agent that was silent may have had news meanwhile, and what it has
    /// by its return counts at once: it is asked without waiting until it answers.
    fn watch(&self) -> Duration {
        match self.terms.mode {
            Discovery::Pushed if self.failures > 0 => Duration::from_millis(1),
            _ => self.patience.wait,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pushed_list_is_asked_for_at_once_and_others_before_they_count_as_told() {
        let asked = Discovery::OnRequest { ask_every: 10_000_000 };
        for gateways in [1, 300, 1024] {
            assert_eq!(first_wait(Discovery::Pushed, gateways, 0.99), Duration::ZERO, "{gateways} gateways");
            let longest = first_wait(asked, gateways, 1.0);
            assert!(longest + ASKED.overdue < Duration::from_secs(6), "{gateways} gateways: {longest:?}");
        }
        assert!(first_wait(asked, 300, 0.9) > first_wait(asked, 300, 0.1), "calls are spread");
    }

    #[test]
    fn silence_is_found_within_the_grace_or_before_what_is_missed_counts_as_told() {
        for grace in [500, 1_000, 2_000, 60_000].map(Duration::from_millis) {
            let p = Patience::of(Discovery::Pushed, grace);
            // The end of a silent watch, a connection that does not come up, a wait, and a call that is answered.
            let anew = p.overdue + p.connect + p.backoff.mul_f64(1.5);
            assert!(p.wait + p.overdue < grace && anew < grace, "{grace:?}");
            assert!(p.wait + anew < Duration::from_secs(6), "{grace:?}");
        }
        let p = Patience::of(Discovery::OnRequest { ask_every: 10_000_000 }, Duration::from_secs(1));
        assert!(p.wait + p.overdue < Duration::from_secs(6));
    }
}
