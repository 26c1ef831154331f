//! What the fleet as a whole must keep to: slow start and quotas.

use super::view::View;
use super::{Found, Invariant};
use crate::scenario::{GREEDY_CUSTOMER, GREEDY_PLAN};
use crate::trace::{AttemptOutcome, BackendIndex, BackendState, Entry, Event, GatewayIndex, Moment};
use std::time::Duration;

/// Of a fall, this part must have come from gateways that had been told of the start.
const TOLD_PART: f64 = 2.0 / 3.0;
/// What a sliding estimate that is synced once a second may let through when all is well, over the rate.
const WELL: f64 = 1.35;
/// The same over a run with troubles.
const TROUBLED: f64 = 2.0;

pub fn check(view: &View<'_>, found: &mut Vec<Found>) {
    for Entry { at, event } in view.entries {
        if let Event::BackendStarted { backend } = event {
            check_slow_start(view, *backend, *at, found);
        }
    }
    check_quota(view, found);
}

/// N + 3 x root of N + 3 where N is under 30, N + 2 x root of N + 2 from there on.
fn fall_bound(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

fn check_slow_start(view: &View<'_>, backend: BackendIndex, start: Moment, found: &mut Vec<Found>) {
    let settings = &view.scenario.settings;
    let span = Duration::from_millis(settings.collapse_after_ms);
    let warm_up = Duration::from_millis(settings.warm_up_ms);
    let capacity = view.scenario.slots as f64 * 1e3 / view.scenario.work_ms;
    let next = view.entries.iter().filter(|e| e.at > start);
    let next = next.filter(|e| matches!(e.event, Event::BackendStarted { backend: b } if b == backend));
    let until = next.map(|e| e.at).next().unwrap_or(Duration::MAX).min(start + warm_up);
    let sends: Vec<_> = view
        .attempts
        .iter()
        .filter(|a| a.backend == backend && a.began >= start && a.began < until)
        .map(|a| (a.began, told_of_start(view, a.gateway, backend, start, a.first_byte)))
        .collect();
    for (last, (at, _)) in sends.iter().enumerate() {
        let warmth = settings.cold_capacity
            + (1.0 - settings.cold_capacity) * (*at - start).as_secs_f64() / warm_up.as_secs_f64();
        let bound = fall_bound(settings.collapse_multiple * warmth.min(1.0) * capacity * span.as_secs_f64());
        let within = sends[..=last].iter().filter(|(t, _)| *t + span > *at);
        let (all, told) = within.fold((0, 0), |(all, told), (_, knew)| (all + 1, told + usize::from(*knew)));
        if all as f64 > bound && told as f64 > all as f64 * TOLD_PART {
            let what = format!("backend {backend}, cold for {:?}: {all} in {span:?}, {told} of them told, {bound:.1} allowed", *at - start);
            found.push(Found::new(Invariant::SlowStart, *at, what));
            return;
        }
    }
}

fn told_of_start(
    view: &View<'_>,
    gateway: GatewayIndex,
    backend: BackendIndex,
    start: Moment,
    at: Moment,
) -> bool {
    let serving = BackendState::Serving;
    view.entries.iter().filter(|e| e.at >= start && e.at <= at).any(|e| {
        matches!(&e.event, Event::StateDelivered { gateway: g, backend: b, state } if (*g, *b, *state) == (gateway, backend, serving))
    })
}

/// Units of the customer that asks for too much, as they are first sent on.
fn greedy_sends(view: &View<'_>) -> Vec<Moment> {
    let mut sends: Vec<Moment> = view
        .sent
        .iter()
        .filter(|(_, (_, request))| request.customer == GREEDY_CUSTOMER)
        .filter_map(|(id, _)| view.by_request.get(id)?.first().map(|place| view.attempts[*place].began))
        .collect();
    sends.sort();
    sends
}

fn check_quota(view: &View<'_>, found: &mut Vec<Found>) {
    let sends = greedy_sends(view);
    let (_, rate, burst) = GREEDY_PLAN;
    let asked = view.sent.values().filter(|(_, request)| request.customer == GREEDY_CUSTOMER);
    let (Some(first), Some(last)) = (asked.clone().map(|(at, _)| *at).min(), asked.map(|(at, _)| *at).max())
    else {
        return;
    };
    let all = TROUBLED * (rate * (last - first).as_secs_f64() + burst);
    if sends.len() as f64 > all {
        let what = format!("{} units in {:?}, {rate} a second are allowed", sends.len(), last - first);
        found.push(Found::new(Invariant::Quota, last, what));
    }
    let Some((from, to)) = view.measure else { return };
    let measured = sends.iter().filter(|at| **at >= from && **at < to).count() as f64;
    let fits = rate * (to - from).as_secs_f64();
    if measured > WELL * fits + burst / 3.0 {
        let what =
            format!("{measured} units in {:?} with no trouble, {rate} a second are allowed", to - from);
        found.push(Found::new(Invariant::Quota, to, what));
    }
    let served = view.attempts.iter().filter(|a| a.began >= from && a.began < to);
    let served = served.filter(|a| matches!(a.end, Some((_, AttemptOutcome::Served))));
    let greedy = |id| view.sent.get(&id).is_some_and(|(_, request)| request.customer == GREEDY_CUSTOMER);
    let served = served.filter(|a| greedy(a.id)).count() as f64;
    if served < 0.5 * fits {
        let what = format!("{served} units of a customer over its quota served, of {fits:.0} that fit");
        found.push(Found::new(Invariant::Recovery, to, what));
    }
}
