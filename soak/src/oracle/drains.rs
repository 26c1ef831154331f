//! Backends that drain, are gone, or were taken out by hand.

use super::view::{AttemptSeen, View, SOCKET_SLACK, TOLERANCE};
use super::{Found, Invariant};
use crate::trace::{BackendState, Entry, Event, GatewayIndex, Moment};
use std::time::Duration;

/// What discovery had counts as told when it could be reached for so long.
const TOLD_AT_THE_LATEST: Duration = Duration::from_secs(6);

pub fn check(view: &View<'_>, found: &mut Vec<Found>) {
    let grace = Duration::from_millis(view.scenario.settings.drain_grace_ms) + SOCKET_SLACK + TOLERANCE;
    let timelines: Vec<_> = (0..view.scenario.gateways)
        .map(|gateway| {
            (0..view.scenario.backends).map(|backend| Timeline::of(view, gateway, backend)).collect()
        })
        .collect::<Vec<Vec<_>>>();
    for attempt in &view.attempts {
        let timeline = &timelines[attempt.gateway][attempt.backend];
        if let Some(since) = timeline.unwanted_since(attempt.first_byte, view.scenario.settings.pushed) {
            report(attempt, since, grace, Invariant::Drain, "was told that it drains or is gone", found);
        }
        if let Some(since) = timeline.banned_since(attempt.first_byte) {
            report(attempt, since, grace, Invariant::Ban, "had taken it out by hand", found);
        }
    }
}

fn report(
    attempt: &AttemptSeen,
    since: Moment,
    grace: Duration,
    invariant: Invariant,
    why: &str,
    found: &mut Vec<Found>,
) {
    let gap = attempt.first_byte.saturating_sub(since);
    if gap > grace {
        let what =
            format!("gateway {} sent to backend {} {gap:?} after it {why}", attempt.gateway, attempt.backend);
        found.push(Found::of_request(invariant, attempt.first_byte, attempt.id, what));
    }
}

/// What one gateway was told of one backend.
struct Timeline {
    /// States as written to it, and as known to discovery.
    told: Vec<(Moment, BackendState)>,
    published: Vec<(Moment, BackendState)>,
    /// When its discovery could be reached, or no longer.
    well: Vec<(Moment, bool)>,
    /// Processes of the gateway.
    starts: Vec<Moment>,
    bans: Vec<(Moment, bool)>,
}

impl Timeline {
    fn of(view: &View<'_>, gateway: GatewayIndex, backend: usize) -> Self {
        let mut timeline =
            Timeline { told: vec![], published: vec![], well: vec![], starts: vec![], bans: vec![] };
        for Entry { at, event } in view.entries {
            match event {
                Event::StateDelivered { gateway: g, backend: b, state } if (*g, *b) == (gateway, backend) => {
                    timeline.told.push((*at, *state))
                }
                Event::StatePublished { backend: b, state } if *b == backend => {
                    timeline.published.push((*at, *state))
                }
                Event::DiscoveryAvailability { gateway: g, available: well } if *g == gateway => {
                    timeline.well.push((*at, *well))
                }
                Event::ProcessStarted { gateway: g, .. } if *g == gateway => timeline.starts.push(*at),
                Event::BackendDisabled { gateway: g, backend: b, disabled: out }
                    if (*g, *b) == (gateway, backend) =>
                {
                    timeline.bans.push((*at, *out))
                }
                _ => {}
            }
        }
        timeline.end_bans_with_the_last_process(view, gateway);
        timeline
    }

    /// A gateway restarts from nothing: a ban goes on over an upgrade, and ends where no process is left to know it.
    fn end_bans_with_the_last_process(&mut self, view: &View<'_>, gateway: GatewayIndex) {
        let mut running = 0;
        for Entry { at, event } in view.entries {
            match event {
                Event::ProcessStarted { gateway: g, .. } if *g == gateway => running += 1,
                Event::ProcessExited { gateway: g, .. } if *g == gateway => {
                    running -= 1;
                    if running == 0 {
                        self.bans.push((*at, false));
                    }
                }
                _ => {}
            }
        }
        self.bans.sort_by_key(|(at, _)| *at);
    }

    /// Since when it has counted as told that nothing new is wanted; `None` where it has not.
    fn unwanted_since(&self, at: Moment, pushed: bool) -> Option<Moment> {
        let last_start = self.starts.iter().rev().find(|start| **start <= at).copied().unwrap_or_default();
        let written = unwanted_run(&self.told, at).filter(|since| pushed || *since >= last_start);
        let published = unwanted_run(&self.published, at).and_then(|since| self.reached_for(since, at));
        let since = match (written, published) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        // Danger: a backend that discovery knows to serve again may be used on word of it.
        unwanted_run(&self.published, at)?;
        // A new process is told by its agent from its first moment on, if that speaks.
        let since = since.max(last_start);
        match self.well.iter().rev().find(|(t, _)| *t <= at) {
            Some((_, false)) if last_start >= since => None,
            Some((back, true)) if last_start >= since => Some(since.max(*back)),
            _ => Some(since),
        }
    }

    /// The moment at which discovery had been reachable for the longest time that word may take.
    fn reached_for(&self, since: Moment, until: Moment) -> Option<Moment> {
        let (mut reached, mut from, mut well) = (Duration::ZERO, since, true);
        for (at, now_well) in self.well.iter().filter(|(at, _)| *at <= until) {
            if *at <= since {
                well = *now_well;
                continue;
            }
            if well {
                reached += *at - from;
                if reached >= TOLD_AT_THE_LATEST {
                    return Some(*at - (reached - TOLD_AT_THE_LATEST));
                }
            } else {
                reached = Duration::ZERO;
            }
            (from, well) = (*at, *now_well);
        }
        let last = if well { reached + until.saturating_sub(from) } else { Duration::ZERO };
        (last >= TOLD_AT_THE_LATEST).then(|| until - (last - TOLD_AT_THE_LATEST))
    }

    fn banned_since(&self, at: Moment) -> Option<Moment> {
        self.bans.iter().rev().find(|(t, _)| *t <= at).filter(|(_, out)| *out).map(|(t, _)| *t)
    }
}

/// The beginning of the run of states other than serving that is in force then.
fn unwanted_run(states: &[(Moment, BackendState)], at: Moment) -> Option<Moment> {
    let before: Vec<_> = states.iter().filter(|(t, _)| *t <= at).collect();
    let run = before.iter().rev().take_while(|(_, state)| *state != BackendState::Serving);
    run.last().map(|(t, _)| *t)
}
