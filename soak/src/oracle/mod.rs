//! The oracle: checks the invariants of a run against its record, which holds only what was observed from outside.
//! It shares no code with the gateway.

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

/// A break's report names the troubles that were active at that time or had ended at most this long before.
const TROUBLE_END_SLACK: Duration = Duration::from_millis(400);
/// The number of requests that the report lists for one invariant.
const MAX_LISTED_REQUESTS: usize = 5;

/// The properties that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each request that a gateway has read gets one final answer in time.
    FinalAnswer,
    /// An answer with status 200 is complete and is that of a backend for this request.
    TrueAnswer,
    /// No request is repeated beyond what its class allows.
    NoRepeat,
    /// No request has more attempts, or more attempts at a time, than allowed.
    AttemptLimit,
    /// No attempt begins after its client has closed its connection.
    ClientLeft,
    /// Backends are told no more time than is left until the client's deadline.
    DeadlineTold,
    /// No new request goes to a backend that drains or was deleted.
    Drain,
    /// No new request goes to a backend that an operator has disabled.
    Ban,
    /// Backends that start cold are not overloaded.
    SlowStart,
    /// Customers get no more than their quotas over the whole fleet.
    Quota,
    /// No process ends without being told to, and each is ready in time.
    Process,
    /// Each gateway answers its operators and serves requests at the end.
    Serves,
    /// Descriptors, memory and tasks of a process do not grow without bound.
    Growth,
    /// The fleet serves the requests within their quotas again some time after the last trouble.
    Recovery,
    /// The gateways' runtime invariant checks found no violation, and nothing panicked.
    Guard,
    /// Peers that send no proper request get an error or have their connection closed in time.
    BadPeer,
}

/// An invariant that did not hold, with all its violations in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Break {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was first violated, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// What was observed at the first violation.
    #[serde(rename = "what")]
    pub description: String,
    /// The first requests concerned, by their ids in hexadecimal.
    pub requests: Vec<String>,
    /// The kinds of trouble around the first violation.
    pub troubles: Vec<String>,
    /// The number of violations.
    #[serde(rename = "times")]
    pub occurrences: usize,
}

/// A single violation of an invariant, as its check finds it.
pub struct Violation {
    invariant: Invariant,
    at: Moment,
    description: String,
    request: Option<u64>,
}

impl Violation {
    fn new(invariant: Invariant, at: Moment, description: String) -> Self {
        Violation { invariant, at, description, request: None }
    }

    fn for_request(invariant: Invariant, at: Moment, request: u64, description: String) -> Self {
        Violation { invariant, at, description, request: Some(request) }
    }
}

/// Returns the invariants that did not hold, one `Break` for each. `entries` is the run's record in order of time.
pub fn find_breaks(entries: &[Entry], scenario: &Scenario) -> Vec<Break> {
    let view = View::new(entries, scenario);
    let mut found = Vec::new();
    requests::check(&view, &mut found);
    drains::check(&view, &mut found);
    limits::check(&view, &mut found);
    health::check(&view, &mut found);
    found.sort_by_key(|violation| (violation.invariant, violation.at));
    let mut breaks: Vec<Break> = Vec::new();
    for violation in found {
        let request = violation.request.map(|id| format!("{id:016x}"));
        match breaks.last_mut().filter(|b| b.invariant == violation.invariant) {
            Some(last) => {
                last.occurrences += 1;
                last.requests.extend(request.filter(|_| last.occurrences <= MAX_LISTED_REQUESTS));
            }
            None => breaks.push(Break {
                invariant: violation.invariant,
                at_ms: violation.at.as_millis() as u64,
                troubles: active_troubles(entries, scenario, violation.at),
                description: violation.description,
                requests: request.into_iter().collect(),
                occurrences: 1,
            }),
        }
    }
    breaks
}

/// Returns the share, from 0 to 1, of the requests within their quotas that was served during the measurement at the
/// end; `None` if the run did not get there.
pub fn recovered_share(entries: &[Entry], scenario: &Scenario) -> Option<f64> {
    health::recovered_share(&View::new(entries, scenario))
}

/// Returns the kinds of the troubles that were active at `at` or had ended shortly before.
fn active_troubles(entries: &[Entry], scenario: &Scenario, at: Moment) -> Vec<String> {
    let first_time =
        |wanted: &dyn Fn(&Event) -> bool| entries.iter().find(|e| wanted(&e.event)).map(|e| e.at);
    let active = |index: &usize| {
        let began = first_time(&|e| matches!(e, Event::TroubleBegan(n) if n == index));
        let ended = first_time(&|e| matches!(e, Event::TroubleEnded(n) if n == index));
        began.is_some_and(|b| b <= at) && ended.is_none_or(|e| e + TROUBLE_END_SLACK >= at)
    };
    let active = (0..scenario.troubles.len()).filter(active);
    active.map(|index| scenario.troubles[index].kind.name()).collect()
}
