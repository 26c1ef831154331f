//! Checks that a gateway sends nothing new to a backend that drains, was deleted or was disabled by an operator.

use super::view::{ObservedAttempt, View, SOCKET_SLACK, TOLERANCE};
use super::{Invariant, Violation};
use crate::trace::{BackendState, Entry, Event, GatewayIndex, Moment};
use std::time::Duration;

/// A published state counts as known to a gateway whose discovery agent has been available for this long without a
/// break since then.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(6);

/// Reports attempts that began after the drain grace time of a backend that their gateway must not use.
pub fn check(view: &View<'_>, found: &mut Vec<Violation>) {
    let grace = Duration::from_millis(view.scenario.settings.drain_grace_ms) + SOCKET_SLACK + TOLERANCE;
    let timelines: Vec<_> = (0..view.scenario.gateways)
        .map(|gateway| {
            (0..view.scenario.backends).map(|backend| Timeline::new(view, gateway, backend)).collect()
        })
        .collect::<Vec<Vec<_>>>();
    for attempt in &view.attempts {
        let timeline = &timelines[attempt.gateway][attempt.backend];
        if let Some(since) = timeline.unwanted_since(attempt.first_byte, view.scenario.settings.pushed) {
            check_send(
                attempt,
                since,
                grace,
                Invariant::Drain,
                "must have learnt that the backend drains or was deleted",
                found,
            );
        }
        if let Some(since) = timeline.disabled_since(attempt.first_byte) {
            check_send(
                attempt,
                since,
                grace,
                Invariant::Ban,
                "was told by an operator to disable the backend",
                found,
            );
        }
    }
}

/// Reports an attempt whose first byte came more than `grace` after `since`. `reason` says what happened at `since`.
fn check_send(
    attempt: &ObservedAttempt,
    since: Moment,
    grace: Duration,
    invariant: Invariant,
    reason: &str,
    found: &mut Vec<Violation>,
) {
    let gap = attempt.first_byte.saturating_sub(since);
    if gap > grace {
        let description = format!(
            "gateway {} sent a request to backend {}, {gap:?} after it {reason}",
            attempt.gateway, attempt.backend
        );
        found.push(Violation::for_request(invariant, attempt.first_byte, attempt.id, description));
    }
}

/// What one gateway was told about one backend, in order of time.
struct Timeline {
    /// States that discovery wrote to the gateway.
    delivered: Vec<(Moment, BackendState)>,
    /// States that the registry published.
    published: Vec<(Moment, BackendState)>,
    /// When its discovery agent became available (`true`) or unavailable.
    availability: Vec<(Moment, bool)>,
    /// Starts of the gateway's processes.
    starts: Vec<Moment>,
    /// When an operator disabled (`true`) or enabled the backend.
    disabled_changes: Vec<(Moment, bool)>,
}

impl Timeline {
    fn new(view: &View<'_>, gateway: GatewayIndex, backend: usize) -> Self {
        let mut timeline = Timeline {
            delivered: vec![],
            published: vec![],
            availability: vec![],
            starts: vec![],
            disabled_changes: vec![],
        };
        for Entry { at, event } in view.entries {
            match event {
                Event::StateDelivered { gateway: g, backend: b, state } if (*g, *b) == (gateway, backend) => {
                    timeline.delivered.push((*at, *state))
                }
                Event::StatePublished { backend: b, state } if *b == backend => {
                    timeline.published.push((*at, *state))
                }
                Event::DiscoveryAvailability { gateway: g, available } if *g == gateway => {
                    timeline.availability.push((*at, *available))
                }
                Event::ProcessStarted { gateway: g, .. } if *g == gateway => timeline.starts.push(*at),
                Event::BackendDisabled { gateway: g, backend: b, disabled }
                    if (*g, *b) == (gateway, backend) =>
                {
                    timeline.disabled_changes.push((*at, *disabled))
                }
                _ => {}
            }
        }
        timeline.enable_after_last_exit(view, gateway);
        timeline
    }

    /// Records the backend as enabled when the gateway's last running process exits. A process hands the disabled
    /// backends over to its successor in an upgrade, but a process that starts without a predecessor knows of none.
    fn enable_after_last_exit(&mut self, view: &View<'_>, gateway: GatewayIndex) {
        let mut running_processes = 0;
        for Entry { at, event } in view.entries {
            match event {
                Event::ProcessStarted { gateway: g, .. } if *g == gateway => running_processes += 1,
                Event::ProcessExited { gateway: g, .. } if *g == gateway => {
                    running_processes -= 1;
                    if running_processes == 0 {
                        self.disabled_changes.push((*at, false));
                    }
                }
                _ => {}
            }
        }
        self.disabled_changes.sort_by_key(|(at, _)| *at);
    }

    /// The time from which the gateway must know, at `at`, that the backend takes nothing new; `None` if it need not
    /// know. `pushed`: discovery pushes its lists.
    fn unwanted_since(&self, at: Moment, pushed: bool) -> Option<Moment> {
        let last_start = self.starts.iter().rev().find(|start| **start <= at).copied().unwrap_or_default();
        let delivered_since =
            not_serving_since(&self.delivered, at).filter(|since| pushed || *since >= last_start);
        let published_since =
            not_serving_since(&self.published, at).and_then(|since| self.propagated_at(since, at));
        let since = match (delivered_since, published_since) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        // Once the registry has published that the backend serves again, the gateway may have received that before
        // the delivery was recorded.
        not_serving_since(&self.published, at)?;
        // A new process gets the list from its agent as it starts, if the agent is available then; otherwise it gets
        // the list once the agent is available again.
        let since = since.max(last_start);
        match self.availability.iter().rev().find(|(t, _)| *t <= at) {
            Some((_, false)) if last_start >= since => None,
            Some((available_again, true)) if last_start >= since => Some(since.max(*available_again)),
            _ => Some(since),
        }
    }

    /// The time at which discovery had been available for `MAX_PROPAGATION_TIME` without a break after `since`;
    /// `None` if that was not reached before `until`.
    fn propagated_at(&self, since: Moment, until: Moment) -> Option<Moment> {
        let (mut available_for, mut from, mut available) = (Duration::ZERO, since, true);
        for (at, now_available) in self.availability.iter().filter(|(at, _)| *at <= until) {
            if *at <= since {
                available = *now_available;
                continue;
            }
            if available {
                available_for += *at - from;
                if available_for >= MAX_PROPAGATION_TIME {
                    return Some(*at - (available_for - MAX_PROPAGATION_TIME));
                }
            } else {
                available_for = Duration::ZERO;
            }
            (from, available) = (*at, *now_available);
        }
        let uninterrupted =
            if available { available_for + until.saturating_sub(from) } else { Duration::ZERO };
        (uninterrupted >= MAX_PROPAGATION_TIME).then(|| until - (uninterrupted - MAX_PROPAGATION_TIME))
    }

    /// The time at which an operator disabled the backend, if it is still disabled at `at`.
    fn disabled_since(&self, at: Moment) -> Option<Moment> {
        self.disabled_changes
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .filter(|(_, disabled)| *disabled)
            .map(|(t, _)| *t)
    }
}

/// The time from which a backend has been in states other than serving; `None` if it serves at `at`.
fn not_serving_since(states: &[(Moment, BackendState)], at: Moment) -> Option<Moment> {
    let before: Vec<_> = states.iter().filter(|(t, _)| *t <= at).collect();
    let run = before.iter().rev().take_while(|(_, state)| *state != BackendState::Serving);
    run.last().map(|(t, _)| *t)
}
