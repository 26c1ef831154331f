//! The runtime invariant checks, each with a step that it has to refuse.

use badgerglade::guard::{EarlierAttempt, Guard, RepeatFacts, SendFacts, Violation};
use caperwind::{Effect, KeyGroup, Outcome};
use std::time::Duration;

/// Facts under which an attempt may be sent.
const ALLOWED: SendFacts = SendFacts {
    client_closed: false,
    backend_in_service: true,
    time_left: Duration::from_millis(500),
    announced_time: Duration::from_millis(500),
};
/// An effect that allows repeats within a window of 1,000 us.
const KEYED: Effect = Effect::Keyed { group: KeyGroup::All, window: 1_000 };

/// Guards against an attempt that is sent although one of its conditions is violated.
#[test]
fn an_attempt_goes_out_only_while_all_of_it_is_sound() {
    assert_eq!(ALLOWED.check(), Ok(()));
    let forbidden = [
        (SendFacts { client_closed: true, ..ALLOWED }, Violation::SendForClosedClient),
        (SendFacts { backend_in_service: false, ..ALLOWED }, Violation::SendToUnwantedBackend),
        (
            SendFacts { time_left: Duration::ZERO, announced_time: Duration::ZERO, ..ALLOWED },
            Violation::SendAfterDeadline,
        ),
        (SendFacts { announced_time: Duration::from_millis(503), ..ALLOWED }, Violation::SendWithTooMuchTime),
    ];
    for (facts, violation) in forbidden {
        assert_eq!(facts.check(), Err(violation), "{facts:?}");
    }
}

/// Guards against repeats of unsafe requests, and of keyed ones after their window, where an earlier attempt may have
/// run.
#[test]
fn a_repeat_is_held_to_its_class_and_its_window() {
    let check = |effect, outcome, now| {
        let earlier = [EarlierAttempt { started_at: 0, outcome }];
        RepeatFacts { effect, earlier: &earlier, now, max_attempts: 3, hedging: true }.check()
    };
    for outcome in [None, Some(Outcome::Reset), Some(Outcome::Timeout), Some(Outcome::Error)] {
        assert_eq!(check(Effect::Pure, outcome, 5_000), Ok(()));
        assert_eq!(check(Effect::Unsafe, outcome, 1), Err(Violation::RepeatOfUnsafe));
        assert_eq!(check(KEYED, outcome, 999), Ok(()));
        assert_eq!(check(KEYED, outcome, 1_000), Err(Violation::RepeatAfterWindow));
    }
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::NotSent] {
        assert_eq!(check(Effect::Unsafe, Some(outcome), 1), Ok(()));
        assert_eq!(check(KEYED, Some(outcome), 1_000), Ok(()));
    }
}

/// Guards against too many attempts of a request, and against a second copy where hedging is off.
#[test]
fn attempts_are_bounded_in_all_and_at_once() {
    let in_flight = EarlierAttempt { started_at: 0, outcome: None };
    let ended = EarlierAttempt { started_at: 0, outcome: Some(Outcome::Reset) };
    let check = |earlier: &[EarlierAttempt], hedging| {
        let effect = Effect::Pure;
        RepeatFacts { effect, earlier, now: 1, max_attempts: 2, hedging }.check()
    };
    assert_eq!(check(&[in_flight], true), Ok(()));
    assert_eq!(check(&[in_flight], false), Err(Violation::SecondCopy));
    assert_eq!(check(&[ended], false), Ok(()));
    assert_eq!(check(&[ended, ended], false), Err(Violation::TooManyAttempts));
}

/// Guards against violations that are counted under a wrong name.
#[test]
fn violations_are_counted_by_name() {
    let guard = Guard::default();
    guard.record(Violation::SecondCopy, "request \"7\"");
    guard.record(Violation::SecondCopy, "request \"8\"");
    assert_eq!(guard.count(Violation::SecondCopy), 2);
    assert_eq!(guard.report()["second_copy"], 2);
    assert_eq!(guard.report()["repeat_of_unsafe"], 0);
    assert!(Violation::ALL.iter().enumerate().all(|(index, v)| *v as usize == index));
}
