//! Discovery: a full list, then one watch after another; what it tells goes to the subscriber in order.

mod agent;
pub mod patience;

use crate::endpoints::EndpointList;
use agent::{Agent, Failure};
use caperwind::Discovery;
use patience::{first_wait, Backoff, Patience, Trouble};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What goes wrong all the time is logged this often.
const LOG_EVERY: Duration = Duration::from_secs(5);
/// Such a watch is answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Who is told what discovery says.
pub trait Subscriber {
    /// A list, which may be `older` than what is held; true where the whole one is wanted next.
    fn list_received(&self, list: EndpointList, older: bool) -> bool;
    /// A call told nothing: what is held stays in force.
    fn call_failed(&self);
    /// Whether any backend is known, of whatever list.
    fn knows_any_backend(&self) -> bool;
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

/// What is held of discovery's list, and what its last calls came to.
struct Follower<S> {
    subscriber: S,
    terms: Terms,
    /// The version that is held; `None`: the whole list is due.
    held: Option<u64>,
    /// The last version that this agent has told; `None`: nothing yet.
    newest: Option<u64>,
    patience: Patience,
    backoff: Backoff,
    /// When the last call began, connections included.
    began: Instant,
    /// Calls in a row that told nothing, and of these the last ones in a row that fell silent.
    failures: u32,
    silences: u32,
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
    if held.is_some() {
        tokio::time::sleep(first_wait(terms, random.f64())).await;
    }
    let mut follower = Follower {
        subscriber,
        terms,
        held,
        newest: held,
        patience: Patience::of(terms),
        backoff: Backoff::of(terms),
        began: Instant::now(),
        failures: 0,
        silences: 0,
        logged: None,
        random,
    };
    loop {
        let at = *address.borrow_and_update();
        let try_one = async {
            let Err(why) = follower.session(at).await;
            tokio::time::sleep(follower.failed(&why)).await;
        };
        tokio::select! {
            () = try_one => {}
            // Danger: what the new agent has counts as told soon, so neither an open watch at the old one nor
            // a wait is sat out. It may number its versions in its own way.
            Ok(()) = address.changed() => {
                (follower.held, follower.newest) = (None, None);
                (follower.failures, follower.silences) = (0, 0);
            }
        }
    }
}

impl<S: Subscriber> Follower<S> {
    /// Takes in that a call told nothing; returns how long to wait before the next one.
    fn failed(&mut self, why: &Failure) -> Duration {
        // Danger: silence or rubbish is no empty list; what is held stays in force.
        self.subscriber.call_failed();
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_EVERY) {
            log::warn!("discovery: {why}");
            self.logged = Some(Instant::now());
        }
        if let Failure::Unreadable(_) = why {
            self.held = None;
        }
        self.failures += 1;
        self.silences = if why.trouble() == Trouble::Silent { self.silences + 1 } else { 0 };
        self.backoff.wait(why.trouble(), self.failures, self.began.elapsed(), self.random.f64())
    }

    /// One connection's worth: the whole list where none is held, then watches from the version that is.
    /// Danger: a whole list costs discovery work for each of its lines, a hundred of them more than it can do.
    async fn session(&mut self, address: SocketAddr) -> Result<Infallible, Failure> {
        self.began = Instant::now();
        let mut agent = Agent::connect(address, self.limits().connect).await?;
        loop {
            let limits = self.limits();
            let list = match self.held {
                // The next call goes out at once: within 200 ms it continues the watch.
                Some(index) => {
                    let wait = self.watch();
                    let path = format!("/v1/servers?index={index}&wait={}", wait.as_millis());
                    agent.ask(&path, wait + limits.overdue).await?
                }
                None => {
                    let list = agent.ask("/v1/servers", limits.whole).await?;
                    EndpointList { snapshot: true, ..list }
                }
            };
            // One that has gone back counts from anew: changes to what it held before mean nothing, and a whole
            // one may be older than what is held, as that of another agent may be.
            let back = self.newest.is_none_or(|newest| list.index < newest);
            (self.failures, self.silences) = (0, 0);
            self.held = Some(list.index).filter(|_| list.snapshot || !back);
            if self.held.is_some() {
                self.newest = self.held;
                if self.subscriber.list_received(list, back) {
                    self.held = None;
                }
            }
            self.began = Instant::now();
        }
    }

    /// The time limits of the next call. Danger: the agent's silence hides drains where a list is pushed, which count
    /// as told at its return: limits grow there only while no backend is known that might drain.
    fn limits(&self) -> Patience {
        match self.terms.mode {
            Discovery::Pushed if self.subscriber.knows_any_backend() => self.patience,
            _ => self.patience.after(self.silences),
        }
    }

    /// How long a watch is to wait. Danger: one that was silent may have had news meanwhile: it is asked without
    /// waiting until it answers, so that silence shows soon. One that turns calls away speaks; where it serves the
    /// fleet, it gets no call more than it needs.
    fn watch(&self) -> Duration {
        let at_once = match self.terms.mode {
            Discovery::Pushed => self.failures > 0,
            Discovery::OnRequest { .. } => self.silences > 0,
        };
        if at_once {
            NO_WAIT
        } else {
            self.patience.wait
        }
    }
}
