//! Timeouts of calls to discovery, and the backoff after calls that failed.
//!
//! A gateway is expected to know a change 6 s after discovery has it and can be reached, whatever became of earlier
//! calls. So every wait here has a bound of its own that does not depend on the size of the fleet: a call that is
//! lost just before discovery comes back ends within `MAX_CALL_DURATION`, or the next call begins within one and a
//! half `MAX_CALL_INTERVAL` of the start of the lost one, and that next call is answered.

use super::FollowSettings;
use caperwind::Discovery;
use std::time::Duration;

/// The longest that a call may last after failures.
pub const MAX_CALL_DURATION: Duration = Duration::from_secs(4);
/// The longest interval between the starts of two calls, before jitter, which adds up to half of it.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_secs(3);
/// The shortest timeout of calls to a local agent, and the shortest wait of a watch there: a response over the
/// loopback takes no longer than this.
const MIN_PUSHED_TIMEOUT: Duration = Duration::from_millis(50);
/// The shortest wait after a failed call, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest interval between failing calls on request, before jitter, for a fleet too small for
/// `MAX_INTERVAL_PER_GATEWAY` to give more.
const SMALL_FLEET_MAX_INTERVAL: Duration = Duration::from_millis(400);
/// The longest interval between failing calls on request, per gateway of the fleet. Discovery's queue is bounded, and a
/// call that waits there too long is worked on in vain, so intervals grow with the fleet.
const MAX_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(80);
/// The first interval after a call that discovery rejected, per gateway of the fleet.
const OVERLOADED_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(20);
/// The first interval after a call that failed otherwise, per gateway of the fleet.
const ERROR_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(2);
/// The time over which a fleet spreads its first calls if its gateways start together with a list in hand: the time
/// per gateway, and the maximum in all.
const FIRST_CALL_SPREAD: (Duration, Duration) = (Duration::from_millis(20), MAX_CALL_INTERVAL);

/// The kind of a failed call, which decides when the next one is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Discovery rejected the call because it is overloaded.
    Overloaded,
    /// No answer within the time limit.
    TimedOut,
    /// The connection was refused or broke, or the response was not a list.
    Error,
}

/// The time limits of calls.
///
/// In pushed mode, the gateway is expected to know the state of its local agent whatever becomes of its watch, and
/// until a watch ends, one that will never be answered looks like one without news. Calls cost nothing there, so a
/// watch without an answer ends, and the next call is answered, within the shortest drain grace. On request, calls
/// are few and wait in discovery's queue; a change is expected to be known at the latest 2 s after that wait.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// The limit on connecting.
    pub connect: Duration,
    /// How long a watch asks discovery to wait for news.
    pub watch_wait: Duration,
    /// How long after `watch_wait` a watch without a response is given up.
    pub watch_margin: Duration,
    /// The limit on reading the full list.
    pub full_list: Duration,
}

/// The timeouts of calls on request.
const ON_REQUEST_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    watch_wait: Duration::from_millis(3_500),
    watch_margin: Duration::from_millis(1_500),
    full_list: Duration::from_millis(2_500),
};

impl CallTimeouts {
    /// Returns the timeouts while calls succeed.
    pub fn new(settings: FollowSettings) -> Self {
        if let Discovery::OnRequest { .. } = settings.mode {
            return ON_REQUEST_TIMEOUTS;
        }
        let timeout = pushed_timeout(settings.drain_grace);
        let watch_wait = (settings.drain_grace / 2).clamp(MIN_PUSHED_TIMEOUT, ON_REQUEST_TIMEOUTS.watch_wait);
        CallTimeouts { connect: timeout, watch_wait, watch_margin: timeout, full_list: timeout }
    }

    /// Returns the timeouts after so many consecutive timeouts, each of which doubles them up to
    /// `MAX_CALL_DURATION` (half of it for connecting). With fixed timeouts, a slow discovery would be given up at the
    /// same point each time, would never be heard and would work in vain.
    pub fn after_timeouts(self, consecutive_timeouts: u32) -> Self {
        let extended = |limit: Duration| {
            limit.saturating_mul(1 << consecutive_timeouts.min(8)).min(MAX_CALL_DURATION.max(limit))
        };
        let connect = extended(self.connect).min(MAX_CALL_DURATION / 2);
        CallTimeouts {
            connect,
            watch_wait: self.watch_wait,
            watch_margin: extended(self.watch_margin),
            full_list: extended(self.full_list),
        }
    }
}

/// Returns the timeout of calls to a local agent.
fn pushed_timeout(drain_grace: Duration) -> Duration {
    (drain_grace / 4).clamp(MIN_PUSHED_TIMEOUT, ON_REQUEST_TIMEOUTS.connect)
}

/// Exponential backoff with jitter after failed calls. Intervals are counted between the starts of calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The first interval after a call that discovery rejected.
    overloaded_interval: Duration,
    /// The first interval after a call that failed otherwise.
    error_interval: Duration,
    /// The longest interval, before jitter.
    max_interval: Duration,
}

impl Backoff {
    /// Returns the backoff for a mode and size of fleet.
    ///
    /// In pushed mode, the agent serves this gateway alone and calls cost nothing: it is called again within the
    /// drain grace. On request, the whole fleet calls discovery: intervals grow with the fleet, up to a bound
    /// that does not depend on its size. A fleet whose calls are rejected then makes at most a sixth more calls
    /// than one that is served (intervals of 3 s on average, watches of 3.5 s).
    pub fn new(settings: FollowSettings) -> Self {
        if let Discovery::Pushed = settings.mode {
            return Backoff {
                overloaded_interval: MIN_RETRY_DELAY,
                error_interval: MIN_RETRY_DELAY,
                max_interval: pushed_timeout(settings.drain_grace) / 2,
            };
        }
        let per_fleet = |per_gateway: Duration| per_gateway.saturating_mul(settings.gateways);
        let max_interval =
            per_fleet(MAX_INTERVAL_PER_GATEWAY).clamp(SMALL_FLEET_MAX_INTERVAL, MAX_CALL_INTERVAL);
        Backoff {
            overloaded_interval: per_fleet(OVERLOADED_INTERVAL_PER_GATEWAY),
            error_interval: per_fleet(ERROR_INTERVAL_PER_GATEWAY).max(MIN_RETRY_DELAY),
            max_interval,
        }
    }

    /// Returns how long to wait after the latest of `consecutive_failures` (at least 1), a call that lasted for
    /// `call_duration`; `jitter` is from 0 to 1. The jitter keeps gateways whose calls failed together from
    /// calling again together.
    pub fn wait(
        &self,
        kind: FailureKind,
        consecutive_failures: u32,
        call_duration: Duration,
        jitter: f64,
    ) -> Duration {
        let first_interval =
            if kind == FailureKind::Overloaded { self.overloaded_interval } else { self.error_interval };
        let interval = self
            .max_interval
            .min(first_interval.saturating_mul(1 << consecutive_failures.saturating_sub(1).min(10)));
        let jitter = 0.5 + jitter;
        interval.mul_f64(jitter).saturating_sub(call_duration).max(MIN_RETRY_DELAY.mul_f64(jitter))
    }
}

/// Returns how long a gateway that starts with a list in hand waits before its first call, at `fraction` (0 to 1)
/// of the spread. In pushed mode it does not wait: the gateway is expected to know the agent's state at once, calls
/// cost nothing, and a gateway that waits would send to backends that have long been draining.
pub fn initial_delay(settings: FollowSettings, fraction: f64) -> Duration {
    match settings.mode {
        Discovery::Pushed => Duration::ZERO,
        Discovery::OnRequest { .. } => {
            FIRST_CALL_SPREAD.0.saturating_mul(settings.gateways).min(FIRST_CALL_SPREAD.1).mul_f64(fraction)
        }
    }
}
