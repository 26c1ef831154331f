//! Time limits on waiting for the next bytes of an answer, checked with instants that the test computes.

use badgerglade::body::answer_limit::{
    AnswerLimit, LengthClass, LATE_GRACE, MAX_LONG_WAIT, MAX_UNKNOWN_LENGTH_WAIT, STALL_TIMEOUT,
};
use badgerglade::body::interruption::AnswerInterruption;
use badgerglade::body::MAX_BUFFERED_BYTES;
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const MAX_BUFFERED: u64 = MAX_BUFFERED_BYTES as u64;

/// Receives `bytes` after each pause until the limit ends the answer; returns the time since the start and the reason.
fn trickle(mut limit: AnswerLimit, pause: Duration, bytes: usize) -> (Duration, AnswerInterruption) {
    let start = Instant::now();
    let deadline = start + SECOND;
    let mut now = start;
    loop {
        let (give_up_at, reason) = limit.wait(now, deadline);
        if give_up_at < now + pause {
            return (give_up_at - start, reason);
        }
        now += pause;
        if let Err(reason) = limit.receive(now, deadline, bytes) {
            return (now - start, reason);
        }
    }
}

#[test]
fn what_is_known_of_a_length() {
    let length_class_of = |length, received| AnswerLimit::new(length, received).length_class();
    assert_eq!(length_class_of(Some(MAX_BUFFERED), 0), LengthClass::Short);
    assert_eq!(length_class_of(Some(MAX_BUFFERED + 1), 0), LengthClass::Long);
    assert_eq!(length_class_of(None, MAX_BUFFERED), LengthClass::Unknown);
    assert_eq!(length_class_of(None, MAX_BUFFERED + 1), LengthClass::Long);
}

#[test]
fn a_short_answer_has_its_request_s_time_and_a_grace() {
    let short = AnswerLimit::new(Some(1_000), 1);
    assert_eq!(trickle(short, SECOND / 10, 1), (SECOND + LATE_GRACE, AnswerInterruption::Late));
    let silent = AnswerLimit::new(None, 1);
    assert_eq!(trickle(silent, 9 * SECOND, 1), (SECOND + LATE_GRACE, AnswerInterruption::Late));
}

/// Guards against an answer that is passed on without end because a byte arrives now and then.
#[test]
fn an_answer_that_trickles_is_given_up() {
    let (after, reason) = trickle(AnswerLimit::new(None, 1), SECOND / 5, 1);
    assert_eq!((after, reason), (SECOND + MAX_UNKNOWN_LENGTH_WAIT, AnswerInterruption::TooSlow));
    let (after, reason) = trickle(AnswerLimit::new(Some(30 << 20), 1), SECOND, 1);
    assert_eq!((after, reason), (SECOND + MAX_LONG_WAIT, AnswerInterruption::TooSlow));
}

/// Guards against treating a slow backend as a stalled one.
#[test]
fn an_answer_that_keeps_coming_is_waited_for() {
    // At 16 kB/s the time limit ends the answer, at 1 MB/s the largest length of a body.
    let (after, reason) = trickle(AnswerLimit::new(None, 0), SECOND / 4, 4_000);
    assert_eq!(reason, AnswerInterruption::TooSlow);
    assert!(after >= MAX_LONG_WAIT, "{after:?}");
    let (_, reason) = trickle(AnswerLimit::new(None, 0), SECOND / 100, 10_000);
    assert_eq!(reason, AnswerInterruption::TooLong);
}

#[test]
fn a_long_answer_may_rest() {
    let mut limit = AnswerLimit::new(None, MAX_BUFFERED + 1);
    let start = Instant::now();
    let deadline = start + SECOND;
    let (give_up_at, reason) = limit.wait(start, deadline);
    assert_eq!((give_up_at, reason), (start + STALL_TIMEOUT, AnswerInterruption::Stalled));
    // Time in which the client does not ask for more bytes does not count.
    assert!(limit.receive(start + 3 * SECOND, deadline, 1).is_ok());
    let asked_at = start + 60 * SECOND;
    assert_eq!(limit.wait(asked_at, deadline).0, asked_at + STALL_TIMEOUT);
    assert_eq!(limit.wait(asked_at + SECOND, deadline).0, asked_at + STALL_TIMEOUT);
}
