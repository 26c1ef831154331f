//! Checks of single requests: final answers, repeats, attempts after the client has left, and deadlines.

use super::view::{ObservedAttempt, View, SOCKET_SLACK, TOLERANCE};
use super::{Invariant, Violation};
use crate::trace::{AttemptOutcome, ClientOutcome, Effect, Event, Moment, RequestId, SentRequest};
use crate::trouble::TroubleKind;
use std::time::Duration;

/// The longest time between a client's timeout and its answer; an answer that comes later counts as missing.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// The longest time between a client's departure and the start of an attempt for it.
const MAX_START_AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// How far the time left that a backend is told may exceed the time that the client still waits.
const STATED_TIME_SLACK: Duration = Duration::from_millis(150);
/// The longest time until a backend sees that the gateway has cancelled an attempt.
const CANCEL_DELAY: Duration = Duration::from_millis(50);
/// The time within which a gateway must answer or close the connection of a peer that sends no proper request.
const BAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Checks every request, its attempts, and the events of peers that send no proper request.
pub fn check(view: &View<'_>, found: &mut Vec<Violation>) {
    for (id, (sent, request)) in &view.sent {
        check_final_answer(view, *id, *sent, request, found);
    }
    for indices in view.attempts_by_request.values() {
        let attempts: Vec<&ObservedAttempt> = indices.iter().map(|index| &view.attempts[*index]).collect();
        check_attempts(view, &attempts, found);
    }
    for entry in view.entries {
        match &entry.event {
            Event::AttemptWithoutId { backend } => {
                let description = format!("backend {backend} got a request without an id");
                found.push(Violation::new(Invariant::TrueAnswer, entry.at, description));
            }
            Event::BadPeer { gateway, ended_after } => {
                let limit = BAD_PEER_TIMEOUT
                    + TOLERANCE
                    + view.longest_pause(*gateway, entry.at.saturating_sub(BAD_PEER_TIMEOUT), entry.at);
                let began = entry.at.saturating_sub(ended_after.unwrap_or(BAD_PEER_TIMEOUT));
                let killed = view.was_killed(*gateway, began, entry.at);
                if !killed && ended_after.is_none_or(|after| after > limit) {
                    let description = format!(
                        "gateway {gateway} did not answer or close a bad peer's connection within {limit:?}: it took {ended_after:?}"
                    );
                    found.push(Violation::new(Invariant::BadPeer, entry.at, description));
                }
            }
            _ => {}
        }
    }
}

/// Checks that a client got a complete answer of its own in time, unless its gateway was killed in between.
fn check_final_answer(
    view: &View<'_>,
    id: RequestId,
    sent: Moment,
    request: &SentRequest,
    found: &mut Vec<Violation>,
) {
    let attempts = view.attempts_by_request.get(&id).map_or(0, Vec::len);
    let mut report = |invariant, at, description: &str| {
        let description =
            format!("gateway {}, {:?}, {attempts} attempts: {description}", request.gateway, request.effect);
        found.push(Violation::for_request(invariant, at, id, description));
    };
    let Some((at, end)) = view.ended.get(&id) else {
        return report(Invariant::FinalAnswer, sent, "its client recorded no outcome");
    };
    if view.was_killed(request.gateway, sent, *at) {
        return;
    }
    let due = sent
        + request.timeout
        + MAX_ANSWER_DELAY
        + TOLERANCE
        + view.longest_pause(request.gateway, sent, *at);
    match end {
        ClientOutcome::Answered { status: 200, body_fits: false } => {
            report(Invariant::TrueAnswer, *at, "the body is not that of a backend for this request")
        }
        ClientOutcome::Answered { .. } if *at > due && !request.long_answer => {
            let late = at.saturating_sub(sent + request.timeout);
            report(Invariant::FinalAnswer, *at, &format!("answered {late:?} after the client's timeout"))
        }
        ClientOutcome::Answered { .. } | ClientOutcome::Left => {}
        ClientOutcome::NoAnswer => {
            report(Invariant::FinalAnswer, *at, "no answer, and the connection stayed open")
        }
        ClientOutcome::Closed => report(
            Invariant::FinalAnswer,
            *at,
            "the request was read and the connection closed without an answer",
        ),
        ClientOutcome::Unread if attempts > 0 => report(
            Invariant::FinalAnswer,
            *at,
            "the request was forwarded and the connection reset without an answer",
        ),
        ClientOutcome::Unread => {}
        ClientOutcome::Truncated if !view.has_link_trouble() && all_served(view, id) => report(
            Invariant::TrueAnswer,
            *at,
            "the answer was truncated although its backend wrote all of it",
        ),
        ClientOutcome::Truncated => {}
    }
}

/// Whether the request has attempts and all of them were served.
fn all_served(view: &View<'_>, id: RequestId) -> bool {
    let attempts = view.attempts_by_request.get(&id);
    let served = |index: &usize| matches!(view.attempts[*index].end, Some((_, AttemptOutcome::Served)));
    attempts.is_some_and(|all| all.iter().all(served))
}

/// Checks all attempts of one request: their number, repeats, stated deadlines and the client's departure.
fn check_attempts(view: &View<'_>, attempts: &[&ObservedAttempt], found: &mut Vec<Violation>) {
    let Some(first) = attempts.first() else { return };
    let settings = &view.scenario.settings;
    if attempts.len() > settings.max_attempts as usize {
        let description = format!("{} attempts, {} are allowed", attempts.len(), settings.max_attempts);
        found.push(Violation::for_request(Invariant::AttemptLimit, first.began, first.id, description));
    }
    if let Some((sent, request)) = view.sent.get(&first.id) {
        for (index, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..index] {
                check_attempt_pair(view, request, earlier, later, found);
            }
        }
        // When connections are established late, the gateway can write to one that the backend's side has not
        // established yet. The stated time left then arrives too late to be compared.
        if !view.has_any(&[TroubleKind::BackendConnectsLate]) {
            attempts.iter().for_each(|attempt| check_deadline(attempt, *sent, request, found));
        }
    }
    if let Some(left) = view.client_left_at.get(&first.id) {
        for attempt in attempts {
            let paused = view.longest_pause(attempt.gateway, *left, attempt.first_byte);
            if attempt.first_byte > *left + MAX_START_AFTER_CLIENT_LEFT + TOLERANCE + paused {
                let late = attempt.first_byte - *left;
                let description = format!(
                    "an attempt from gateway {} began {late:?} after its client left",
                    attempt.gateway
                );
                found.push(Violation::for_request(
                    Invariant::ClientLeft,
                    attempt.first_byte,
                    attempt.id,
                    description,
                ));
            }
        }
    }
}

/// Checks that a later attempt was an allowed repeat of an earlier one, and that the two did not overlap unless
/// hedging is enabled.
fn check_attempt_pair(
    view: &View<'_>,
    request: &SentRequest,
    earlier: &ObservedAttempt,
    later: &ObservedAttempt,
    found: &mut Vec<Violation>,
) {
    let ended = earlier.end.filter(|(at, _)| *at <= later.began);
    let never_ran = matches!(ended, Some((_, AttemptOutcome::Rejected)));
    let gap = later.began.saturating_sub(earlier.began);
    let window = Duration::from_millis(view.scenario.settings.key_window_ms);
    let forbidden = match request.effect {
        Effect::Pure => None,
        Effect::Unsafe if !never_ran => Some("unsafe request".to_owned()),
        Effect::Keyed if !never_ran && gap > window + SOCKET_SLACK + TOLERANCE / 2 => {
            Some(format!("keyed request with a window of {window:?}"))
        }
        _ => None,
    };
    if let Some(request_kind) = forbidden {
        let (from, to) = (earlier.backend, later.backend);
        let description = format!(
            "{request_kind}: an attempt at backend {to} began {gap:?} after one at backend {from} ({:?})",
            earlier.end
        );
        found.push(Violation::for_request(Invariant::NoRepeat, later.began, later.id, description));
    }
    let still_in_flight = earlier.end.is_none_or(|(at, _)| at > later.began + CANCEL_DELAY);
    if still_in_flight && !view.scenario.settings.hedging && !view.has_link_trouble() {
        let description =
            format!("two attempts at once, at backends {} and {}", earlier.backend, later.backend);
        found.push(Violation::for_request(Invariant::AttemptLimit, later.began, later.id, description));
    }
}

/// Checks that the backend was not told more time than the client still waits. An attempt that states no time counts
/// as unlimited.
fn check_deadline(
    attempt: &ObservedAttempt,
    sent: Moment,
    request: &SentRequest,
    found: &mut Vec<Violation>,
) {
    let time_left = (sent + request.timeout).saturating_sub(attempt.began);
    let stated = attempt.stated_time_left.unwrap_or(Duration::MAX);
    if stated > time_left + STATED_TIME_SLACK + TOLERANCE / 2 {
        let description =
            format!("backend {} was told {stated:?}, the client has {time_left:?} left", attempt.backend);
        found.push(Violation::for_request(Invariant::DeadlineTold, attempt.began, attempt.id, description));
    }
}
