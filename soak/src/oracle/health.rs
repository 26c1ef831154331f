//! Checks of the gateways' processes, of their use of resources, and of the recovery after the last trouble.

use super::view::View;
use super::{Invariant, Violation};
use crate::trace::{ClientOutcome, Entry, Event, Moment, SentRequest};
use std::time::Duration;

/// The longest time that a process may take to become ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
/// The least share of requests that the whole fleet serves after the recovery time.
const MIN_FLEET_SERVED_SHARE: f64 = 0.9;
/// The least share of requests that each gateway serves after the recovery time.
const MIN_GATEWAY_SERVED_SHARE: f64 = 0.5;
/// With fewer requests than this the share served is not judged.
const MIN_REQUESTS: usize = 8;
/// Descriptors that a process may hold at the end in addition to those it held once it was ready.
const MAX_DESCRIPTOR_GROWTH: usize = 12;
/// Resident memory in kB that a process may hold at the end in addition to what it held once it was ready.
const MAX_MEMORY_GROWTH_KB: u64 = 48 * 1024;
/// Tasks that may be alive in a process without clients.
const MAX_TASKS: u64 = 60;

/// Checks the events of processes and the recovery of the fleet.
pub fn check(view: &View<'_>, found: &mut Vec<Violation>) {
    for Entry { at, event } in view.entries {
        check_event(*at, event, found);
    }
    check_recovery(view, found);
}

fn check_event(at: Moment, event: &Event, found: &mut Vec<Violation>) {
    let mut report = |invariant, description| found.push(Violation::new(invariant, at, description));
    match event {
        Event::ProcessExited { gateway, pid, exit_status, expected: false } => report(
            Invariant::Process,
            format!("process {pid} of gateway {gateway} ended by itself: {exit_status}"),
        ),
        Event::ProcessReady { pid, after } if after.is_none_or(|after| after > MAX_STARTUP_TIME) => report(
            Invariant::Process,
            format!("process {pid} was not ready within {MAX_STARTUP_TIME:?}: time to ready {after:?}"),
        ),
        Event::FinalMetricsMissing { gateway } => {
            report(Invariant::Serves, format!("gateway {gateway} does not answer its operators"))
        }
        Event::LogAlarm { line } => report(Invariant::Guard, line.clone()),
        Event::FinalMetrics {
            gateway,
            violations,
            descriptors,
            descriptors_when_ready,
            memory_kb,
            tasks,
            healthy,
        } => {
            if !healthy {
                report(Invariant::Serves, format!("gateway {gateway} is not ready at the end"));
            }
            if *violations > 0 {
                report(Invariant::Guard, format!("gateway {gateway} counted {violations} violations"));
            }
            if *descriptors > descriptors_when_ready + MAX_DESCRIPTOR_GROWTH {
                let description = format!(
                    "gateway {gateway} holds {descriptors} descriptors, {descriptors_when_ready} once ready"
                );
                report(Invariant::Growth, description);
            }
            if memory_kb.0 > memory_kb.1 + MAX_MEMORY_GROWTH_KB {
                let description =
                    format!("gateway {gateway} holds {} kB, {} once ready", memory_kb.0, memory_kb.1);
                report(Invariant::Growth, description);
            }
            if tasks.is_some_and(|tasks| tasks > MAX_TASKS) {
                report(
                    Invariant::Growth,
                    format!("gateway {gateway} has {tasks:?} tasks alive without a client"),
                );
            }
        }
        _ => {}
    }
}

/// The requests within their quotas that were sent during the measurement; `None` if it did not take place.
fn measured_requests<'a>(view: &View<'a>) -> Option<Vec<&'a SentRequest>> {
    let (from, to) = view.measurement?;
    let requests =
        view.sent.values().filter(|(at, request)| request.counts_for_recovery && *at >= from && *at < to);
    Some(requests.map(|(_, request)| *request).collect())
}

/// The share of the given requests that was answered with status 200; 0 if there are none.
fn served_share(view: &View<'_>, requests: &[&SentRequest]) -> f64 {
    let served = |request: &&&SentRequest| {
        matches!(view.ended.get(&request.id), Some((_, ClientOutcome::Answered { status: 200, .. })))
    };
    requests.iter().filter(served).count() as f64 / requests.len().max(1) as f64
}

/// The share of the requests within their quotas that was served during the measurement; `None` if it did not take
/// place.
pub fn recovered_share(view: &View<'_>) -> Option<f64> {
    measured_requests(view).map(|requests| served_share(view, &requests))
}

fn check_recovery(view: &View<'_>, found: &mut Vec<Violation>) {
    let (Some((_, to)), Some(requests)) = (view.measurement, measured_requests(view)) else { return };
    let share = served_share(view, &requests);
    if requests.len() >= MIN_REQUESTS && share < MIN_FLEET_SERVED_SHARE {
        let description =
            format!("a share of {share:.2} of {} requests within their quotas served", requests.len());
        found.push(Violation::new(Invariant::Recovery, to, description));
    }
    for gateway in 0..view.scenario.gateways {
        let gateway_requests: Vec<_> =
            requests.iter().copied().filter(|request| request.gateway == gateway).collect();
        let share = served_share(view, &gateway_requests);
        if gateway_requests.len() >= MIN_REQUESTS && share < MIN_GATEWAY_SERVED_SHARE {
            let description = format!(
                "gateway {gateway} served a share of {share:.2} of {} requests",
                gateway_requests.len()
            );
            found.push(Violation::new(Invariant::Serves, to, description));
        }
    }
}
