//! Judges a run by what was seen from outside. It shares no code with the gateway.

mod drains;
mod health;
mod limits;
mod requests;
mod view;

use crate::scenario::Scenario;
use crate::trace::{Entry, Event, Moment};
use serde::Serialize;
use std::time::Duration;
use view::View;

/// Troubles this close to a break are named with it.
const NEAR: Duration = Duration::from_millis(400);
/// Breaks of one invariant that are told.
const MAX_TOLD: usize = 5;

/// What a run must keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each request that was taken gets one final answer in time.
    FinalAnswer,
    /// A good answer is that of a backend for this request, and whole.
    TrueAnswer,
    /// Nothing goes again beyond its class.
    NoRepeat,
    /// No more attempts than allowed, and as many at once.
    AttemptLimit,
    /// No attempt begins after its client has left.
    ClientLeft,
    /// Backends are told no more time than clients have.
    DeadlineTold,
    /// Nothing new to a backend that drains or is gone.
    Drain,
    /// Nothing new to a backend that an operator has taken out.
    Ban,
    /// Backends that start cold are not pushed over.
    SlowStart,
    /// Quotas hold for the fleet.
    Quota,
    /// No process ends by itself, and each is ready in time.
    Process,
    /// No gateway serves nobody.
    Serves,
    /// What is held does not grow.
    Growth,
    /// All is well again some time after the last trouble.
    Recovery,
    /// The gateway's own guards refused nothing, and nothing panicked.
    Guard,
    /// Peers that send no proper request get an error or a close.
    BadPeer,
}

/// An invariant that did not hold.
#[derive(Clone, Debug, Serialize)]
pub struct Break {
    /// Which.
    pub invariant: Invariant,
    /// When, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// What was seen.
    #[serde(rename = "what")]
    pub description: String,
    /// The requests that it was seen with.
    pub requests: Vec<String>,
    /// Troubles at that time.
    pub troubles: Vec<String>,
    /// How often this invariant broke.
    #[serde(rename = "times")]
    pub occurrences: usize,
}

/// One break as an invariant's check finds it.
pub struct Found {
    invariant: Invariant,
    at: Moment,
    what: String,
    request: Option<u64>,
}

impl Found {
    fn new(invariant: Invariant, at: Moment, what: String) -> Self {
        Found { invariant, at, what, request: None }
    }

    fn of_request(invariant: Invariant, at: Moment, request: u64, what: String) -> Self {
        Found { invariant, at, what, request: Some(request) }
    }
}

/// All that did not hold, a line for each invariant.
pub fn find_breaks(entries: &[Entry], scenario: &Scenario) -> Vec<Break> {
    let view = View::of(entries, scenario);
    let mut found = Vec::new();
    requests::check(&view, &mut found);
    drains::check(&view, &mut found);
    limits::check(&view, &mut found);
    health::check(&view, &mut found);
    found.sort_by_key(|f| (f.invariant, f.at));
    let mut breaks: Vec<Break> = Vec::new();
    for f in found {
        let request = f.request.map(|id| format!("{id:016x}"));
        match breaks.last_mut().filter(|b| b.invariant == f.invariant) {
            Some(last) => {
                last.occurrences += 1;
                last.requests.extend(request.filter(|_| last.occurrences <= MAX_TOLD));
            }
            None => breaks.push(Break {
                invariant: f.invariant,
                at_ms: f.at.as_millis() as u64,
                troubles: troubles_at(entries, scenario, f.at),
                description: f.what,
                requests: request.into_iter().collect(),
                occurrences: 1,
            }),
        }
    }
    breaks
}

/// The part of the requests inside their quotas that is served at the end; `None` where the run did not get there.
pub fn recovered_share(entries: &[Entry], scenario: &Scenario) -> Option<f64> {
    health::recovered(&View::of(entries, scenario))
}

fn troubles_at(entries: &[Entry], scenario: &Scenario, at: Moment) -> Vec<String> {
    let edge = |wanted: &dyn Fn(&Event) -> bool| entries.iter().find(|e| wanted(&e.event)).map(|e| e.at);
    let there = |place: &usize| {
        let began = edge(&|e| matches!(e, Event::TroubleBegan(n) if n == place));
        let ended = edge(&|e| matches!(e, Event::TroubleEnded(n) if n == place));
        began.is_some_and(|b| b <= at) && ended.is_none_or(|e| e + NEAR >= at)
    };
    let there = (0..scenario.troubles.len()).filter(there);
    there.map(|place| scenario.troubles[place].kind.name()).collect()
}
