//! Discovery: a full list, then one watch after another; what it tells goes to the driver in order.

use crate::driver::Shared;
use bytes::Bytes;
use caperwind::{BackendState, Discovery, ListKind};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// A watch waits this long for news. Danger: what is told counts as told 2 s after that wait whether
/// it arrived or not, so a long wait lets a silent agent hide drains for longer.
const WAIT: Duration = Duration::from_secs(4);
/// An answer is overdue this long after it should have come.
const OVERDUE: Duration = Duration::from_millis(1_500);
/// A whole list may wait in discovery's line first.
const WHOLE: Duration = Duration::from_millis(2_500);
const CONNECT: Duration = Duration::from_millis(500);
/// Waits between tries while the agent does not answer: the first, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(400));
/// The same while discovery turns calls away, for each gateway that asks. Danger: its line has a bound, and
/// what waits there too long is worked on in vain. A fleet that soon asks again keeps that line so long that
/// nobody is answered in time, for as long as this goes on.
const TURNED_AWAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// Where discovery has to be asked, the first calls of a fleet that has started together with a list in hand
/// are spread over so long for each, and so long in all: 6 s on, what it has to tell counts as told.
const SPREAD: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(4));
const MOST_BYTES: usize = 4 << 20;

/// A list of backends in discovery's form.
#[derive(Serialize, Deserialize)]
pub struct List {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Serialize, Deserialize)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default)]
    pub group: u16,
    pub status: Status,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Serialize, Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

impl From<Status> for BackendState {
    fn from(s: Status) -> Self {
        match s {
            Status::Serving => BackendState::Ready,
            Status::Draining => BackendState::Draining,
            Status::Deleted => BackendState::Gone,
        }
    }
}

struct Agent {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
}

impl Agent {
    async fn connect(address: SocketAddr) -> Result<Self, String> {
        let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| "connect: no answer")?;
        let stream = stream.map_err(|e| format!("connect: {e}"))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        tokio::task::spawn_local(conn);
        Ok(Agent { address, sender })
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

/// What is held of discovery's list, and the wait before the next try.
struct Follower {
    driver: Shared,
    /// The version that is held; `None`: the whole list is due.
    held: Option<u64>,
    failures: u32,
    gateways: u32,
    random: fastrand::Rng,
}

/// Follows the list for as long as the program runs, at the address that holds at the time. `held` is the
/// version of the list that the program began with.
pub async fn follow(mut address: watch::Receiver<SocketAddr>, driver: Shared, held: Option<u64>, seed: u64) {
    let (gateways, mut random) = (driver.module().gateways, fastrand::Rng::with_seed(seed));
    if held.is_some() {
        tokio::time::sleep(first_wait(driver.module().discovery, gateways, random.f64())).await;
    }
    let mut follower = Follower { driver, held, failures: 0, gateways, random };
    loop {
        let at = *address.borrow_and_update();
        let try_one = async {
            let Err(why) = follower.session(at).await;
            // Danger: silence or rubbish is no empty list; what is held stays in force.
            follower.driver.backends_failed(&why.to_string());
            if let Failure::Unreadable(_) = why {
                follower.held = None;
            }
            tokio::time::sleep(follower.wait(&why)).await;
        };
        tokio::select! {
            () = try_one => {}
            // Danger: what the new agent has counts as told soon, so neither an open watch at the old one nor
            // a wait is sat out. It may number its versions in its own way.
            Ok(()) = address.changed() => (follower.held, follower.failures) = (None, 0),
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

impl Follower {
    /// Doubles with each failure. Danger: gateways that are turned away together come back together, so
    /// each waits for a time of its own.
    fn wait(&mut self, why: &Failure) -> Duration {
        let (first, longest) = match why {
            Failure::TurnedAway(_) => (TURNED_AWAY.0 * self.gateways, TURNED_AWAY.1 * self.gateways),
            _ => BACKOFF,
        };
        let wait = longest.min(first.saturating_mul(1 << self.failures.min(10)));
        self.failures += 1;
        wait.mul_f64(0.5 + self.random.f64())
    }

    /// One connection's worth: the whole list where none is held, then watches from the version that is.
    /// Danger: a whole list costs discovery work for each of its lines, a hundred of them more than it can do.
    async fn session(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, Failure> {
        let mut agent = Agent::connect(address).await?;
        loop {
            let list = match self.held {
                // The next call goes out at once: within 200 ms it continues the watch.
                Some(index) => {
                    let path = format!("/v1/servers?index={index}&wait={}", WAIT.as_millis());
                    agent.ask(&path, WAIT + OVERDUE).await?
                }
                None => {
                    let list = agent.ask("/v1/servers", WHOLE).await?;
                    List { snapshot: true, ..list }
                }
            };
            // One that has gone back counts from anew: changes to what it held before mean nothing.
            let back = !list.snapshot && self.held.is_some_and(|held| list.index < held);
            (self.held, self.failures) = (Some(list.index).filter(|_| !back), 0);
            if !back && self.driver.backends_told(list) {
                self.held = None;
            }
        }
    }
}

/// How the module is to read a list.
pub fn list_kind(list: &List) -> ListKind {
    if list.snapshot {
        ListKind::Full
    } else {
        ListKind::Delta
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
            assert!(longest + OVERDUE < Duration::from_secs(6), "{gateways} gateways: {longest:?}");
        }
        assert!(first_wait(asked, 300, 0.9) > first_wait(asked, 300, 0.1), "calls are spread");
    }
}
