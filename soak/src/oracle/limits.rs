//! Checks of the whole fleet: slow start and quotas.

use super::view::View;
use super::{Invariant, Violation};
use crate::scenario::{GREEDY_CUSTOMER, GREEDY_PLAN};
use crate::trace::{AttemptOutcome, BackendIndex, BackendState, Entry, Event, GatewayIndex, Moment};
use std::time::Duration;

/// The share of the attempts on an overloaded cold backend that must have come from gateways that discovery had told
/// of its start. With fewer the gateways could not have known that it is cold.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// The factor by which a customer may exceed its quota without troubles. A sliding estimate that is synced once a
/// second lets some units beyond the rate through.
const MAX_OVERUSE_WITHOUT_TROUBLES: f64 = 1.35;
/// The factor by which a customer may exceed its quota over a run with troubles.
const MAX_OVERUSE_WITH_TROUBLES: f64 = 2.0;

/// Checks slow start after each start of a backend, and the quota of the greedy customer.
pub fn check(view: &View<'_>, found: &mut Vec<Violation>) {
    for Entry { at, event } in view.entries {
        if let Event::BackendStarted { backend } = event {
            check_slow_start(view, *backend, *at, found);
        }
    }
    check_quota(view, found);
}

/// The number of requests that counts as too many where N are expected: N + 3 * sqrt(N) + 3 for N below 30, and
/// N + 2 * sqrt(N) + 2 from there on.
fn collapse_bound(expected_requests: f64) -> f64 {
    if expected_requests < 30.0 {
        expected_requests + 3.0 * expected_requests.sqrt() + 3.0
    } else {
        expected_requests + 2.0 * expected_requests.sqrt() + 2.0
    }
}

/// Checks that a cold backend gets no more attempts in any collapse window than its present capacity allows, until it
/// is warm or starts again. Reports the first excess only.
fn check_slow_start(view: &View<'_>, backend: BackendIndex, start: Moment, found: &mut Vec<Violation>) {
    let settings = &view.scenario.settings;
    let collapse_window = Duration::from_millis(settings.collapse_after_ms);
    let warm_up = Duration::from_millis(settings.warm_up_ms);
    let capacity = view.scenario.slots as f64 * 1e3 / view.scenario.work_ms;
    let next = view.entries.iter().filter(|e| e.at > start);
    let next = next.filter(|e| matches!(e.event, Event::BackendStarted { backend: b } if b == backend));
    let end = next.map(|e| e.at).next().unwrap_or(Duration::MAX).min(start + warm_up);
    let attempts: Vec<_> = view
        .attempts
        .iter()
        .filter(|a| a.backend == backend && a.began >= start && a.began < end)
        .map(|a| (a.began, was_informed_of_start(view, a.gateway, backend, start, a.first_byte)))
        .collect();
    for (last, (at, _)) in attempts.iter().enumerate() {
        let capacity_share = settings.cold_capacity
            + (1.0 - settings.cold_capacity) * (*at - start).as_secs_f64() / warm_up.as_secs_f64();
        let bound = collapse_bound(
            settings.collapse_multiple * capacity_share.min(1.0) * capacity * collapse_window.as_secs_f64(),
        );
        let in_window = attempts[..=last].iter().filter(|(t, _)| *t + collapse_window > *at);
        let (all, informed) = in_window.fold((0, 0), |(all, informed), (_, was_informed)| {
            (all + 1, informed + usize::from(*was_informed))
        });
        if all as f64 > bound && informed as f64 > all as f64 * MIN_INFORMED_SHARE {
            let description = format!("backend {backend}, started {:?} ago: {all} attempts in {collapse_window:?}, {informed} of them by gateways told of the start, {bound:.1} allowed", *at - start);
            found.push(Violation::new(Invariant::SlowStart, *at, description));
            return;
        }
    }
}

/// Whether discovery told the gateway between `start` and `at` that the backend serves.
fn was_informed_of_start(
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

/// When the greedy customer's requests, one unit each, were first sent to a backend, in order.
fn greedy_first_attempts(view: &View<'_>) -> Vec<Moment> {
    let mut attempts: Vec<Moment> = view
        .sent
        .iter()
        .filter(|(_, (_, request))| request.customer == GREEDY_CUSTOMER)
        .filter_map(|(id, _)| {
            view.attempts_by_request.get(id)?.first().map(|index| view.attempts[*index].began)
        })
        .collect();
    attempts.sort();
    attempts
}

/// Checks that the greedy customer gets no more than its quota over the whole run and during the measurement, and at
/// least half of its quota during the measurement.
fn check_quota(view: &View<'_>, found: &mut Vec<Violation>) {
    let attempts = greedy_first_attempts(view);
    let (_, rate, burst) = GREEDY_PLAN;
    let asked = view.sent.values().filter(|(_, request)| request.customer == GREEDY_CUSTOMER);
    let (Some(first), Some(last)) = (asked.clone().map(|(at, _)| *at).min(), asked.map(|(at, _)| *at).max())
    else {
        return;
    };
    let max_units = MAX_OVERUSE_WITH_TROUBLES * (rate * (last - first).as_secs_f64() + burst);
    if attempts.len() as f64 > max_units {
        let description =
            format!("{} units in {:?}, {rate} per second are allowed", attempts.len(), last - first);
        found.push(Violation::new(Invariant::Quota, last, description));
    }
    let Some((from, to)) = view.measurement else { return };
    let measured = attempts.iter().filter(|at| **at >= from && **at < to).count() as f64;
    let allowed_units = rate * (to - from).as_secs_f64();
    if measured > MAX_OVERUSE_WITHOUT_TROUBLES * allowed_units + burst / 3.0 {
        let description =
            format!("{measured} units in {:?} without troubles, {rate} per second are allowed", to - from);
        found.push(Violation::new(Invariant::Quota, to, description));
    }
    let served = view.attempts.iter().filter(|a| a.began >= from && a.began < to);
    let served = served.filter(|a| matches!(a.end, Some((_, AttemptOutcome::Served))));
    let greedy = |id| view.sent.get(&id).is_some_and(|(_, request)| request.customer == GREEDY_CUSTOMER);
    let served = served.filter(|a| greedy(a.id)).count() as f64;
    if served < 0.5 * allowed_units {
        let description = format!(
            "only {served} units of a customer over its quota served, its quota allows {allowed_units:.0}"
        );
        found.push(Violation::new(Invariant::Recovery, to, description));
    }
}
