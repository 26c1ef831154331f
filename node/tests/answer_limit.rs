//! How long the next bytes of an answer are waited for, by the clock of the test.

use badgerglade::body::answer_limit::{
    AnswerLimit, LengthClass, LATE_GRACE, MAX_LONG_WAIT, MAX_UNKNOWN_LENGTH_WAIT, STALL_TIMEOUT,
};
use badgerglade::body::interruption::AnswerInterruption;
use badgerglade::body::MAX_BUFFERED_BYTES;
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const MAX_BUFFERED: u64 = MAX_BUFFERED_BYTES as u64;

/// Receives a piece after each pause, until the answer is given up; tells how long after its beginning, and why.
fn trickle(mut limit: AnswerLimit, pause: Duration, bytes: usize) -> (Duration, AnswerInterruption) {
    let began = Instant::now();
    let deadline = began + SECOND;
    let mut now = began;
    loop {
        let (give_up_at, why) = limit.wait(now, deadline);
        if give_up_at < now + pause {
            return (give_up_at - began, why);
        }
        now += pause;
        if let Err(why) = limit.receive(now, deadline, bytes) {
            return (now - began, why);
        }
    }
}

#[test]
fn what_is_known_of_a_length() {
    let extent = |length, received| AnswerLimit::new(length, received).length_class();
    assert_eq!(extent(Some(MAX_BUFFERED), 0), LengthClass::Short);
    assert_eq!(extent(Some(MAX_BUFFERED + 1), 0), LengthClass::Long);
    assert_eq!(extent(None, MAX_BUFFERED), LengthClass::Unknown);
    assert_eq!(extent(None, MAX_BUFFERED + 1), LengthClass::Long);
}

#[test]
fn a_short_answer_has_its_request_s_time_and_a_grace() {
    let short = AnswerLimit::new(Some(1_000), 1);
    assert_eq!(trickle(short, SECOND / 10, 1), (SECOND + LATE_GRACE, AnswerInterruption::Late));
    let silent = AnswerLimit::new(None, 1);
    assert_eq!(trickle(silent, 9 * SECOND, 1), (SECOND + LATE_GRACE, AnswerInterruption::Late));
}

/// Guards against an answer that trickles for ever: a byte now and then proves nothing.
#[test]
fn an_answer_that_trickles_is_given_up() {
    let (after, why) = trickle(AnswerLimit::new(None, 1), SECOND / 5, 1);
    assert_eq!((after, why), (SECOND + MAX_UNKNOWN_LENGTH_WAIT, AnswerInterruption::TooSlow));
    let (after, why) = trickle(AnswerLimit::new(Some(30 << 20), 1), SECOND, 1);
    assert_eq!((after, why), (SECOND + MAX_LONG_WAIT, AnswerInterruption::TooSlow));
}

/// Guards against a slow backend taken for one that has stopped.
#[test]
fn an_answer_that_keeps_coming_is_waited_for() {
    // 16 kB/s until it is one byte too long.
    let (after, why) = trickle(AnswerLimit::new(None, 0), SECOND / 4, 4_000);
    assert_eq!(why, AnswerInterruption::TooSlow);
    assert!(after >= MAX_LONG_WAIT, "{after:?}");
    let (_, why) = trickle(AnswerLimit::new(None, 0), SECOND / 100, 10_000);
    assert_eq!(why, AnswerInterruption::TooLong);
}

#[test]
fn a_long_answer_may_rest() {
    let mut limit = AnswerLimit::new(None, MAX_BUFFERED + 1);
    let began = Instant::now();
    let deadline = began + SECOND;
    let (give_up_at, why) = limit.wait(began, deadline);
    assert_eq!((give_up_at, why), (began + STALL_TIMEOUT, AnswerInterruption::Stalled));
    // The time in which nobody asks for more does not count.
    assert!(limit.receive(began + 3 * SECOND, deadline, 1).is_ok());
    let asked = began + 60 * SECOND;
    assert_eq!(limit.wait(asked, deadline).0, asked + STALL_TIMEOUT);
    assert_eq!(limit.wait(asked + SECOND, deadline).0, asked + STALL_TIMEOUT);
}
