//! Follows discovery's list of backends: reads the full list, then makes one watch (long-poll) call after another
//! and passes each list to the subscriber in order. Each list has an index, its version number; a watch names the
//! index that is held and is answered when there is a newer list, or after its wait time.

mod agent;
pub mod patience;

use crate::endpoints::EndpointList;
use agent::{Connection, Failure};
use caperwind::Discovery;
use patience::{initial_delay, Backoff, CallTimeouts, FailureKind};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The minimum time between two log lines about failed calls.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// The wait time asked for in a watch that discovery is to answer at once.
const IMMEDIATE_WAIT: Duration = Duration::from_millis(1);

/// Receives the lists that discovery sends.
pub trait Subscriber {
    /// Called with each list. `regressed` says that the list's index is below the newest one seen, or that nothing
    /// has been received from this agent yet, so that the list may be older than what is held. Returns true if
    /// the full list is to be read next.
    fn list_received(&self, list: EndpointList, regressed: bool) -> bool;
    /// Called when a call returned no list; the lists received so far stay in force.
    fn call_failed(&self);
    /// Returns whether any backend is known, from whichever list.
    fn knows_any_backend(&self) -> bool;
}

/// How discovery is to be followed, as taken from the configuration.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// How changes reach this gateway: pushed to a local agent, or read from discovery on request.
    pub mode: Discovery,
    /// The number of gateways in the whole fleet.
    pub gateways: u32,
    /// The time after the notice of a backend's drain from which nothing new may be sent to it.
    pub drain_grace: Duration,
}

impl FollowSettings {
    /// Extracts these settings from the decision module's configuration.
    pub fn from_config(config: &caperwind::Config) -> Self {
        let drain_grace = Duration::from_micros(config.drain_grace);
        FollowSettings { mode: config.discovery, gateways: config.gateways, drain_grace }
    }
}

/// The state of following the list: what is held of it, and how the last calls ended.
struct Follower<S> {
    subscriber: S,
    settings: FollowSettings,
    /// The index of the list that is held; `None` if the full list has to be read.
    held_index: Option<u64>,
    /// The last index received from this agent; `None` if nothing has been received yet.
    newest_index: Option<u64>,
    timeouts: CallTimeouts,
    backoff: Backoff,
    /// When the last call began, including the time to connect.
    call_started_at: Instant,
    /// The number of consecutive calls that returned no list.
    consecutive_failures: u32,
    /// The number of consecutive timeouts up to the last call; 0 if it ended in any other way.
    consecutive_timeouts: u32,
    last_logged_at: Option<Instant>,
    rng: fastrand::Rng,
}

/// Follows the list for as long as the process runs, at the address that `address` holds at the time.
/// `held_index` is the index of the list that the process started with, if any. `seed` seeds the jitter of the delays.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    subscriber: impl Subscriber,
    settings: FollowSettings,
    held_index: Option<u64>,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    if held_index.is_some() {
        tokio::time::sleep(initial_delay(settings, rng.f64())).await;
    }
    let mut follower = Follower {
        subscriber,
        settings,
        held_index,
        newest_index: held_index,
        timeouts: CallTimeouts::new(settings),
        backoff: Backoff::new(settings),
        call_started_at: Instant::now(),
        consecutive_failures: 0,
        consecutive_timeouts: 0,
        last_logged_at: None,
        rng,
    };
    loop {
        let current_address = *address.borrow_and_update();
        let session_and_backoff = async {
            let Err(failure) = follower.run_session(current_address).await;
            tokio::time::sleep(follower.record_failure(&failure)).await;
        };
        tokio::select! {
            () = session_and_backoff => {}
            // After a change of address, the gateway is soon expected to know the new agent's list, so neither a watch
            // open at the old address nor a backoff delay is waited out. The new agent may number its lists
            // differently.
            Ok(()) = address.changed() => {
                (follower.held_index, follower.newest_index) = (None, None);
                (follower.consecutive_failures, follower.consecutive_timeouts) = (0, 0);
            }
        }
    }
}

impl<S: Subscriber> Follower<S> {
    /// Records a call that returned no list; returns how long to wait before the next call.
    fn record_failure(&mut self, failure: &Failure) -> Duration {
        // A timeout or an unreadable response is not an empty list: the lists held stay in force.
        self.subscriber.call_failed();
        if self.last_logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            log::warn!("discovery: {failure}");
            self.last_logged_at = Some(Instant::now());
        }
        if let Failure::Unreadable(_) = failure {
            self.held_index = None;
        }
        self.consecutive_failures += 1;
        self.consecutive_timeouts =
            if failure.kind() == FailureKind::TimedOut { self.consecutive_timeouts + 1 } else { 0 };
        self.backoff.wait(
            failure.kind(),
            self.consecutive_failures,
            self.call_started_at.elapsed(),
            self.rng.f64(),
        )
    }

    /// Uses one connection until it fails: reads the full list if none is held, then watches from the index that
    /// is held. A full list costs discovery work for each of its lines, and a hundred full lists are more than
    /// discovery can serve, so it is read only when needed.
    async fn run_session(&mut self, address: SocketAddr) -> Result<Infallible, Failure> {
        self.call_started_at = Instant::now();
        let mut connection = Connection::connect(address, self.next_timeouts().connect).await?;
        loop {
            let timeouts = self.next_timeouts();
            let list = match self.held_index {
                // Each watch is sent at once after the last response: within 200 ms it continues the watch before it.
                Some(index) => {
                    let wait = self.watch_wait();
                    let path = format!("/v1/servers?index={index}&wait={}", wait.as_millis());
                    connection.fetch_list(&path, wait + timeouts.watch_margin).await?
                }
                None => {
                    let list = connection.fetch_list("/v1/servers", timeouts.full_list).await?;
                    EndpointList { snapshot: true, ..list }
                }
            };
            // After the index has gone back, changes relative to an earlier list mean nothing, and a full list
            // may be older than the one held; the same is true of a full list from another agent.
            let regressed = self.newest_index.is_none_or(|newest| list.index < newest);
            (self.consecutive_failures, self.consecutive_timeouts) = (0, 0);
            self.held_index = Some(list.index).filter(|_| list.snapshot || !regressed);
            if self.held_index.is_some() {
                self.newest_index = self.held_index;
                if self.subscriber.list_received(list, regressed) {
                    self.held_index = None;
                }
            }
            self.call_started_at = Instant::now();
        }
    }

    /// Returns the timeouts of the next call. In pushed mode, the gateway is expected to know of drains that happened
    /// while the agent was silent as soon as the agent is back, so the timeouts grow only while no backend is known
    /// that might drain.
    fn next_timeouts(&self) -> CallTimeouts {
        match self.settings.mode {
            Discovery::Pushed if self.subscriber.knows_any_backend() => self.timeouts,
            _ => self.timeouts.after_timeouts(self.consecutive_timeouts),
        }
    }

    /// Returns how long the next watch is to wait. Discovery may have had news while a call timed out, so watches ask
    /// for an immediate answer until one comes, and continued silence shows soon. A discovery that rejects calls is
    /// responsive; on request, where it serves the whole fleet, a rejection is no reason to call it more often.
    fn watch_wait(&self) -> Duration {
        let immediate = match self.settings.mode {
            Discovery::Pushed => self.consecutive_failures > 0,
            Discovery::OnRequest { .. } => self.consecutive_timeouts > 0,
        };
        if immediate {
            IMMEDIATE_WAIT
        } else {
            self.timeouts.watch_wait
        }
    }
}
