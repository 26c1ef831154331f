//! How long a call to discovery may take, and when the next one is made after one that told nothing.
//!
//! What discovery has to tell counts as told 6 s after it had it and could be reached, whatever became of the calls
//! before. So every wait here is bounded on its own, whatever the size of the fleet: a call that is swallowed just
//! before discovery comes back ends within `LONGEST_CALL`, or the next one begins within one and a half
//! `LONGEST_INTERVAL` of its beginning, and that one is answered.

use super::Terms;
use caperwind::Discovery;
use std::time::Duration;

/// The longest that a call may last after failures, and the longest interval between the beginnings of two calls, but
/// for the half that chance adds.
pub const LONGEST_CALL: Duration = Duration::from_secs(4);
pub const LONGEST_INTERVAL: Duration = Duration::from_secs(3);
/// An answer over the loopback is never overdue sooner.
const AT_ONCE: Duration = Duration::from_millis(50);
/// The least wait after a failure.
const LEAST: Duration = Duration::from_millis(20);
/// The longest interval of few gateways where discovery has to be asked.
const FEW: Duration = Duration::from_millis(400);
/// The same for each gateway of a fleet, and the first interval of each: after a call that was turned away, and
/// after one that broke. Danger: discovery's line has a bound, and what waits there too long is worked on in vain.
const EACH: Duration = Duration::from_millis(80);
const TURNED_AWAY: Duration = Duration::from_millis(20);
const BROKE: Duration = Duration::from_millis(2);
/// The first calls of a fleet that has started together with a list in hand are spread over so long for each, and
/// so long in all.
const SPREAD: (Duration, Duration) = (Duration::from_millis(20), LONGEST_INTERVAL);

/// Why a call told nothing, as far as the next one goes by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Discovery has more calls than it bears.
    TurnedAway,
    /// No answer in time.
    Silent,
    /// It broke off, was refused or said what is no list.
    Broke,
}

/// Time limits of calls. Danger: what an agent of this machine has counts as told, whatever its watch does, and a
/// watch that has fallen silent is told from one without news by its end alone. Where lists are pushed a call
/// costs nothing: the end of a silent one, and the next one's answer, come within the shortest grace. Where
/// discovery is asked, calls are few and wait in its line; what is told counts 2 s after that wait at the latest.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    pub connect: Duration,
    /// A watch waits this long for news; an answer is overdue this long after it should have come.
    pub wait: Duration,
    pub overdue: Duration,
    pub whole: Duration,
}

/// Where discovery has to be asked.
const ASKED: Patience = Patience {
    connect: Duration::from_millis(500),
    wait: Duration::from_millis(3_500),
    overdue: Duration::from_millis(1_500),
    whole: Duration::from_millis(2_500),
};

impl Patience {
    pub fn of(terms: Terms) -> Self {
        if let Discovery::OnRequest { .. } = terms.mode {
            return ASKED;
        }
        let soon = pushed_soon(terms.drain_grace);
        let wait = (terms.drain_grace / 2).clamp(AT_ONCE, ASKED.wait);
        Patience { connect: soon, wait, overdue: soon, whole: soon }
    }

    /// The same after so many silent calls in a row. Danger: a discovery that is slow would never be heard by one
    /// that gives it up at the same point again and again, and would work for it in vain.
    pub fn after(self, silences: u32) -> Self {
        let longer =
            |limit: Duration| limit.saturating_mul(1 << silences.min(8)).min(LONGEST_CALL.max(limit));
        let connect = longer(self.connect).min(LONGEST_CALL / 2);
        Patience { connect, wait: self.wait, overdue: longer(self.overdue), whole: longer(self.whole) }
    }
}

fn pushed_soon(grace: Duration) -> Duration {
    (grace / 4).clamp(AT_ONCE, ASKED.connect)
}

/// When calls are made while they tell nothing: exponential backoff of their beginnings, with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    turned_away: Duration,
    broke: Duration,
    longest: Duration,
}

impl Backoff {
    /// Where lists are pushed, the agent belongs to this gateway alone and is asked at no cost: it is asked again
    /// within the grace. Where discovery is asked, its callers are the fleet: intervals grow with that, up to a
    /// bound that they keep whatever its size; there a fleet that is turned away makes no more than a sixth more
    /// calls than one that is served (intervals of 3 s on the mean, watches of 3.5 s).
    pub fn of(terms: Terms) -> Self {
        if let Discovery::Pushed = terms.mode {
            return Backoff { turned_away: LEAST, broke: LEAST, longest: pushed_soon(terms.drain_grace) / 2 };
        }
        let fleet = |each: Duration| each.saturating_mul(terms.gateways);
        let longest = fleet(EACH).clamp(FEW, LONGEST_INTERVAL);
        Backoff { turned_away: fleet(TURNED_AWAY), broke: fleet(BROKE).max(LEAST), longest }
    }

    /// How long to wait after the last of so many failures in a row, whose call had lasted so long; `jitter` is from
    /// 0 to 1. Danger: gateways whose calls fail together come back together, so each waits for a time of its own.
    pub fn wait(&self, why: Trouble, failures: u32, lasted: Duration, jitter: f64) -> Duration {
        let first = if why == Trouble::TurnedAway { self.turned_away } else { self.broke };
        let interval = self.longest.min(first.saturating_mul(1 << failures.saturating_sub(1).min(10)));
        let jitter = 0.5 + jitter;
        interval.mul_f64(jitter).saturating_sub(lasted).max(LEAST.mul_f64(jitter))
    }
}

/// How long a gateway that starts with a list in hand waits before it asks for news, at `lot` of the spread.
/// Danger: what the agent holds counts as told at once. Where changes are pushed to it, asking it costs
/// nothing, and a gateway that waits sends to backends that have long been draining.
pub fn first_wait(terms: Terms, lot: f64) -> Duration {
    match terms.mode {
        Discovery::Pushed => Duration::ZERO,
        Discovery::OnRequest { .. } => SPREAD.0.saturating_mul(terms.gateways).min(SPREAD.1).mul_f64(lot),
    }
}
