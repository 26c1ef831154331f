//! Requests: final answers, repeats, departures, deadlines.

use super::view::{AttemptSeen, View, SOCKET_SLACK, TOLERANCE};
use super::{Found, Invariant};
use crate::trace::{AttemptOutcome, ClientOutcome, Effect, Event, Moment, RequestId, SentRequest};
use crate::trouble::TroubleKind;
use std::time::Duration;

/// An answer may come so long after its request's time; later, it is lost.
const LATE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const DEPARTURE: Duration = Duration::from_millis(100);
/// The time told to a backend may be so much more than is left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A backend sees the end of an attempt that was given up within this.
const GIVING_UP: Duration = Duration::from_millis(50);
/// Peers that send no proper request are owed an end by then.
const BAD_PEER: Duration = Duration::from_secs(3);

pub fn check(view: &View<'_>, found: &mut Vec<Found>) {
    for (id, (sent, request)) in &view.sent {
        check_final_answer(view, *id, *sent, request, found);
    }
    for places in view.by_request.values() {
        let attempts: Vec<&AttemptSeen> = places.iter().map(|place| &view.attempts[*place]).collect();
        check_attempts(view, &attempts, found);
    }
    for entry in view.entries {
        match &entry.event {
            Event::AttemptWithoutId { backend } => {
                let what = format!("backend {backend} got a request without an id");
                found.push(Found::new(Invariant::TrueAnswer, entry.at, what));
            }
            Event::BadPeer { gateway, ended_after } => {
                let most =
                    BAD_PEER + TOLERANCE + view.paused(*gateway, entry.at.saturating_sub(BAD_PEER), entry.at);
                let began = entry.at.saturating_sub(ended_after.unwrap_or(BAD_PEER));
                let gone = view.killed(*gateway, began, entry.at);
                if !gone && ended_after.is_none_or(|after| after > most) {
                    let what = format!("gateway {gateway} ended a bad peer after {ended_after:?}");
                    found.push(Found::new(Invariant::BadPeer, entry.at, what));
                }
            }
            _ => {}
        }
    }
}

fn check_final_answer(
    view: &View<'_>,
    id: RequestId,
    sent: Moment,
    request: &SentRequest,
    found: &mut Vec<Found>,
) {
    let attempts = view.by_request.get(&id).map_or(0, Vec::len);
    let mut lost = |invariant, at, what: &str| {
        let what = format!("gateway {}, {:?}, {attempts} attempts: {what}", request.gateway, request.effect);
        found.push(Found::of_request(invariant, at, id, what));
    };
    let Some((at, end)) = view.ended.get(&id) else {
        return lost(Invariant::FinalAnswer, sent, "its client saw no end of it");
    };
    if view.killed(request.gateway, sent, *at) {
        return;
    }
    let due = sent + request.timeout + LATE + TOLERANCE + view.paused(request.gateway, sent, *at);
    match end {
        ClientOutcome::Answered { status: 200, body_fits: false } => {
            lost(Invariant::TrueAnswer, *at, "the answer is not that of a backend for it")
        }
        ClientOutcome::Answered { .. } if *at > due && !request.long_answer => {
            let late = at.saturating_sub(sent + request.timeout);
            lost(Invariant::FinalAnswer, *at, &format!("answered {late:?} after its time"))
        }
        ClientOutcome::Answered { .. } | ClientOutcome::Left => {}
        ClientOutcome::NoAnswer => {
            lost(Invariant::FinalAnswer, *at, "no answer, and the connection stayed open")
        }
        ClientOutcome::Closed => {
            lost(Invariant::FinalAnswer, *at, "read, and the connection closed with no answer")
        }
        ClientOutcome::Unread if attempts > 0 => {
            lost(Invariant::FinalAnswer, *at, "sent on, and the connection reset with no answer")
        }
        ClientOutcome::Unread => {}
        ClientOutcome::Truncated if !view.has_link_trouble() && all_served(view, id) => {
            lost(Invariant::TrueAnswer, *at, "cut off, though its backend gave all of it")
        }
        ClientOutcome::Truncated => {}
    }
}

fn all_served(view: &View<'_>, id: RequestId) -> bool {
    let attempts = view.by_request.get(&id);
    let served = |place: &usize| matches!(view.attempts[*place].end, Some((_, AttemptOutcome::Served)));
    attempts.is_some_and(|all| all.iter().all(served))
}

fn check_attempts(view: &View<'_>, attempts: &[&AttemptSeen], found: &mut Vec<Found>) {
    let Some(first) = attempts.first() else { return };
    let settings = &view.scenario.settings;
    if attempts.len() > settings.max_attempts as usize {
        let what = format!("{} attempts, {} are allowed", attempts.len(), settings.max_attempts);
        found.push(Found::of_request(Invariant::AttemptLimit, first.began, first.id, what));
    }
    if let Some((sent, request)) = view.sent.get(&first.id) {
        for (place, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..place] {
                check_pair(view, request, earlier, later, found);
            }
        }
        // Danger: what is written to a connection that has come up for the gateway alone gets there later.
        if !view.has_any(&[TroubleKind::BackendConnectsLate]) {
            attempts.iter().for_each(|attempt| check_deadline(attempt, *sent, request, found));
        }
    }
    if let Some(left) = view.left.get(&first.id) {
        for attempt in attempts {
            let paused = view.paused(attempt.gateway, *left, attempt.first_byte);
            if attempt.first_byte > *left + DEPARTURE + TOLERANCE + paused {
                let late = attempt.first_byte - *left;
                let what = format!(
                    "an attempt from gateway {} began {late:?} after its client left",
                    attempt.gateway
                );
                found.push(Found::of_request(Invariant::ClientLeft, attempt.first_byte, attempt.id, what));
            }
        }
    }
}

fn check_pair(
    view: &View<'_>,
    request: &SentRequest,
    earlier: &AttemptSeen,
    later: &AttemptSeen,
    found: &mut Vec<Found>,
) {
    let ended = earlier.end.filter(|(at, _)| *at <= later.began);
    let never_ran = matches!(ended, Some((_, AttemptOutcome::Rejected)));
    let gap = later.began.saturating_sub(earlier.began);
    let window = Duration::from_millis(view.scenario.settings.key_window_ms);
    let broken = match request.effect {
        Effect::Pure => None,
        Effect::Unsafe if !never_ran => Some("an unsafe one".to_owned()),
        Effect::Keyed if !never_ran && gap > window + SOCKET_SLACK + TOLERANCE / 2 => {
            Some(format!("a keyed one, whose window is {window:?},"))
        }
        _ => None,
    };
    if let Some(which) = broken {
        let (from, to) = (earlier.backend, later.backend);
        let what = format!("{which} began at backend {to} {gap:?} after one at {from} ({:?})", earlier.end);
        found.push(Found::of_request(Invariant::NoRepeat, later.began, later.id, what));
    }
    let still_out = earlier.end.is_none_or(|(at, _)| at > later.began + GIVING_UP);
    if still_out && !view.scenario.settings.hedging && !view.has_link_trouble() {
        let what = format!("two attempts at once, at backends {} and {}", earlier.backend, later.backend);
        found.push(Found::of_request(Invariant::AttemptLimit, later.began, later.id, what));
    }
}

fn check_deadline(attempt: &AttemptSeen, sent: Moment, request: &SentRequest, found: &mut Vec<Found>) {
    let left = (sent + request.timeout).saturating_sub(attempt.began);
    let told = attempt.told.unwrap_or(Duration::MAX);
    if told > left + TOLD_SLACK + TOLERANCE / 2 {
        let what = format!("backend {} was told {told:?}, its client has {left:?} left", attempt.backend);
        found.push(Found::of_request(Invariant::DeadlineTold, attempt.began, attempt.id, what));
    }
}
