//! Streamed requests that have two attempts in flight. Each test forces one unfavourable order of events every time.

mod common;

use common::*;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Long time limits, and hedged attempts.
const CHANGES: &[(&str, &str)] = &[
    ("\"second_copies\":false", "\"second_copies\":true"),
    ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":9000000"),
    ("\"aim_us\":500000,\"deadline_us\":1200000", "\"aim_us\":1500000,\"deadline_us\":15000000"),
    ("\"window_us\":1200000", "\"window_us\":14000000"),
];
/// How long an attempt that is sent wrongly has to reach its backend.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// When the client sends the second half of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondHalf {
    /// Before the late connection comes up, so that the hedged attempt has taken the whole body.
    Before,
    /// After it, so that both attempts could read it.
    After,
}

/// Polls until `condition` holds.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Returns the head of a keyed request and two halves of its body in wire form: with a length, or in chunks.
fn upload(body: &str, chunked: bool) -> (String, [String; 2]) {
    let (first, second) = body.split_at(body.len() / 2);
    let end = if chunked { LAST_CHUNK } else { "" };
    let halves = [body_piece(chunked, first), body_piece(chunked, second) + end];
    (upload_head("modificar", 14_000, (!chunked).then_some(body.len())), halves)
}

/// Guards against sending a request to a backend with a part of its body or without it: the first attempt's connection
/// comes up after the hedged attempt has begun to take the body, which can be read only once.
#[test]
fn a_connection_that_comes_up_late_does_not_carry_what_is_left_of_a_body() {
    let body: String = (0..30_000).map(|n| format!("{n:05} ")).collect();
    let cases = [true, false].into_iter().flat_map(|chunked| {
        [SecondHalf::Before, SecondHalf::After].map(|second_half| (chunked, second_half))
    });
    std::thread::scope(|scope| {
        for (chunked, second_half) in cases {
            let body = &body;
            scope.spawn(move || check_late_connection(body, chunked, second_half));
        }
    });
}

fn check_late_connection(body: &str, chunked: bool, second_half: SecondHalf) {
    let late = FullBacklogListener::start();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let other = FakeServer::start(move |_| {
        let _ = released.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        ok("other")
    });
    let late_entry = entry("late", late.address, "SERVING");
    let options = GatewayOptions { changes: CHANGES, debug_log: true, ..GatewayOptions::default() };
    let fixture = Fixture::new(&options, vec![late_entry.clone()], fake_counter());
    let gateway = &fixture.gateway;
    let case = format!("chunked: {chunked}, second half: {second_half:?}");

    // The first attempt can only go to the late backend, and the hedged one only to the other.
    let (head, [first, second]) = upload(body, chunked);
    let mut client = gateway.client();
    client.send(&(head + &first));
    wait_until("a first attempt", || gateway.log().contains(" attempt 0 to "));
    fixture.discovery.set(vec![late_entry, entry("other", other.address, "SERVING")]);
    wait_until("a hedged attempt", || gateway.log().contains(" attempt 1 to "));
    if second_half == SecondHalf::Before {
        client.send(&second);
    }
    std::thread::sleep(SETTLE_TIME);

    let queued_connections = late.queued_connections();
    let late = late.start_accepting(|_| ok("late"));
    wait_until("a late connection", || late.connection_count.load(Ordering::SeqCst) > queued_connections);
    std::thread::sleep(SETTLE_TIME);
    if second_half == SecondHalf::After {
        client.send(&second);
        std::thread::sleep(SETTLE_TIME);
    }

    let sent_late: Vec<usize> = late.requests.try_iter().map(|received| received.body.len()).collect();
    assert!(sent_late.is_empty(), "{case}: requests of {sent_late:?} bytes at the late backend");
    assert!(other.next_request().body == body.as_bytes(), "{case}");
    drop(release);
    let answer = client.read_answer().map(|answer| answer.body);
    assert_eq!(answer.as_deref(), Some(&b"other"[..]), "{case}: {}", gateway.log());
    assert_eq!(gateway.metrics()["upstream_tries"], 1, "{case}");
}
