//! Processes, what they hold, and whether all is well at the end.

use super::view::View;
use super::{Found, Invariant};
use crate::trace::{ClientOutcome, Entry, Event, Moment, SentRequest};
use std::time::Duration;

/// A process is ready by then.
const READY: Duration = Duration::from_secs(10);
/// Part of the requests that is served when all is well, over the fleet and at each gateway.
const RECOVERED: f64 = 0.9;
const SERVES: f64 = 0.5;
/// Requests at a gateway from which on its part tells anything.
const ENOUGH: usize = 8;
/// Descriptors, memory and tasks that may be held beside what a process held once it was ready.
const MORE_DESCRIPTORS: usize = 12;
const MORE_MEMORY_KB: u64 = 48 * 1024;
const MOST_TASKS: u64 = 60;

pub fn check(view: &View<'_>, found: &mut Vec<Found>) {
    for Entry { at, event } in view.entries {
        check_event(*at, event, found);
    }
    check_recovery(view, found);
}

fn check_event(at: Moment, event: &Event, found: &mut Vec<Found>) {
    let mut broke = |invariant, what| found.push(Found::new(invariant, at, what));
    match event {
        Event::ProcessExited { gateway, pid, exit_status: how, expected: false } => {
            broke(Invariant::Process, format!("process {pid} of gateway {gateway} ended by itself: {how}"))
        }
        Event::ProcessReady { pid, after } if after.is_none_or(|after| after > READY) => {
            broke(Invariant::Process, format!("process {pid} ready after {after:?}"))
        }
        Event::FinalMetricsMissing { gateway } => {
            broke(Invariant::Serves, format!("gateway {gateway} does not answer its operators"))
        }
        Event::LogAlarm { line } => broke(Invariant::Guard, line.clone()),
        Event::FinalMetrics {
            gateway,
            violations,
            descriptors,
            descriptors_when_ready: descriptors_ready,
            memory_kb,
            tasks,
            healthy,
        } => {
            if !healthy {
                broke(Invariant::Serves, format!("gateway {gateway} is not ready at the end"));
            }
            if *violations > 0 {
                broke(Invariant::Guard, format!("gateway {gateway} counted {violations} violations"));
            }
            if *descriptors > descriptors_ready + MORE_DESCRIPTORS {
                let what = format!(
                    "gateway {gateway} holds {descriptors} descriptors, {descriptors_ready} once ready"
                );
                broke(Invariant::Growth, what);
            }
            if memory_kb.0 > memory_kb.1 + MORE_MEMORY_KB {
                let what = format!("gateway {gateway} holds {} kB, {} once ready", memory_kb.0, memory_kb.1);
                broke(Invariant::Growth, what);
            }
            if tasks.is_some_and(|tasks| tasks > MOST_TASKS) {
                broke(
                    Invariant::Growth,
                    format!("gateway {gateway} has {tasks:?} tasks alive and no client"),
                );
            }
        }
        _ => {}
    }
}

/// Requests inside their quotas, sent in the time in which all is to be well again.
fn measured<'a>(view: &View<'a>) -> Option<Vec<&'a SentRequest>> {
    let (from, to) = view.measure?;
    let usual =
        view.sent.values().filter(|(at, request)| request.counts_for_recovery && *at >= from && *at < to);
    Some(usual.map(|(_, request)| *request).collect())
}

/// The part of some requests that was served.
fn part_served(view: &View<'_>, requests: &[&SentRequest]) -> f64 {
    let served = |request: &&&SentRequest| {
        matches!(view.ended.get(&request.id), Some((_, ClientOutcome::Answered { status: 200, .. })))
    };
    requests.iter().filter(served).count() as f64 / requests.len().max(1) as f64
}

/// The part of the requests inside their quotas that is served when all is to be well again.
pub fn recovered(view: &View<'_>) -> Option<f64> {
    measured(view).map(|usual| part_served(view, &usual))
}

fn check_recovery(view: &View<'_>, found: &mut Vec<Found>) {
    let (Some((_, to)), Some(usual)) = (view.measure, measured(view)) else { return };
    let part = part_served(view, &usual);
    if usual.len() >= ENOUGH && part < RECOVERED {
        let what = format!("{part:.2} of {} requests inside their quotas served", usual.len());
        found.push(Found::new(Invariant::Recovery, to, what));
    }
    for gateway in 0..view.scenario.gateways {
        let here: Vec<_> = usual.iter().copied().filter(|request| request.gateway == gateway).collect();
        let part = part_served(view, &here);
        if here.len() >= ENOUGH && part < SERVES {
            let what = format!("gateway {gateway} served {part:.2} of {} requests", here.len());
            found.push(Found::new(Invariant::Serves, to, what));
        }
    }
}
