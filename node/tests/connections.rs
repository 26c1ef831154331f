//! Connections to backends that end or are established while other events happen. Each test forces one unfavourable
//! order of events every time.

mod common;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn fixture(entries: Vec<String>, changes: &'static [(&'static str, &'static str)]) -> Fixture {
    Fixture::new(&GatewayOptions { changes, ..GatewayOptions::default() }, entries, fake_counter())
}

/// Starts a backend that answers each request with its name, once the test sends a signal for it.
fn backend_with_held_answers(name: &'static str) -> (FakeServer, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let backend = FakeServer::start(move |_| {
        released.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
        ok(name)
    });
    (backend, release)
}

/// Raises the time limit on connecting to a backend from 250 ms to 5 s.
const LONG_CONNECT_TIMEOUT: &[(&str, &str)] =
    &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000")];

/// Guards against reusing a connection to an earlier process of a backend: an attempt succeeds after discovery has
/// reported that its backend restarted or moved, and its connection must not be used for later attempts.
#[test]
fn a_connection_from_before_a_restart_is_not_used_after_it() {
    for moves in [false, true] {
        let ((old, release), new) = (backend_with_held_answers("old"), FakeServer::start(|_| ok("new")));
        let fixture = fixture(serving_entries(&[&old]), &[]);
        let (mut first, mut second) = (fixture.gateway.client(), fixture.gateway.client());
        first.send(&request("orden-nueva", 7, 3000));
        assert_eq!(old.next_request().connection, 0);
        let (address, since_ms) = if moves { (new.address, 0) } else { (old.address, 1) };
        fixture.discovery.set(vec![entry_since("s-0", address, "SERVING", since_ms)]);
        fixture.discovery.wait_until_list_received();
        release.send(()).expect("the backend waits");
        assert_eq!(first.read_answer().expect("an answer").body, b"old");
        second.send(&request("orden-nueva", 7, 3000));
        if moves {
            assert_eq!(second.read_answer().expect("an answer").body, b"new");
        } else {
            assert_eq!(
                old.next_request().connection,
                1,
                "a connection to the old process is used for the new one"
            );
        }
    }
}

/// Guards against using a connection that was begun before the backend moved and that is established afterwards: it
/// leads to the old address.
#[test]
fn a_connection_to_where_a_backend_no_longer_is_carries_nothing() {
    let (old, new) = (FullBacklogListener::start(), FakeServer::start(|_| ok("new")));
    let fixture = fixture(vec![entry("s-0", old.address, "SERVING")], LONG_CONNECT_TIMEOUT);
    let mut client = fixture.gateway.client();
    client.send(&request("orden-nueva", 7, 4000));
    while fixture.gateway.metrics()["in_progress"] != 1 {}
    fixture.discovery.set(vec![entry("s-0", new.address, "SERVING")]);
    fixture.discovery.wait_until_list_received();
    let old = old.start_accepting(|_| ok("old"));
    assert_eq!(client.read_answer().expect("an answer").body, b"new");
    assert_eq!(old.requests.try_iter().count(), 0);
}

/// Guards against telling a backend a remaining time that still includes the time already spent connecting to it.
#[test]
fn a_late_connection_s_time_is_not_told_as_left() {
    // On a busy machine the connection attempt may begin after the listener has started to accept: then try again.
    for _ in 0..20 {
        let listener = FullBacklogListener::start();
        let fixture = fixture(vec![entry("s-0", listener.address, "SERVING")], LONG_CONNECT_TIMEOUT);
        let started = Instant::now();
        let mut client = fixture.gateway.client();
        client.send(&request("orden-nueva", 7, 4000));
        while fixture.gateway.metrics()["in_progress"] != 1 {}
        let backend = listener.start_accepting(|_| ok("x"));
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
        let sent = backend.next_request();
        let left_ms = sent.header("x-time-left-ms").and_then(|v| v.parse().ok()).expect("a time");
        let elapsed = sent.received_at.duration_since(started);
        assert!(
            Duration::from_millis(left_ms) + elapsed < Duration::from_millis(4050),
            "{left_ms} ms after {elapsed:?}"
        );
        if elapsed > Duration::from_millis(100) {
            return;
        }
    }
    panic!("the connection was established at once, each time");
}

/// Guards against taking a second answer to one request for the answer to the next: it arrives up to 4 ms after the
/// first, on a connection that looked idle when it was reused.
#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_request() {
    const MAX_SECOND_ANSWER_DELAY: Duration = Duration::from_millis(4);
    // The last request's correlation id and time, by connection.
    let last_requests: Mutex<HashMap<usize, (String, Instant)>> = Mutex::default();
    let backend = FakeServer::start(move |received| {
        let id = received.header("x-correlation-id").expect("an id").to_owned();
        let mut last_requests = last_requests.lock().expect("unpoisoned");
        let previous = last_requests.insert(received.connection, (id.clone(), Instant::now()));
        // Arrives as if it had been on its way when this request was written.
        let second_answer = previous
            .filter(|(_, at)| at.elapsed() < MAX_SECOND_ANSWER_DELAY)
            .map(|(id, _)| answer("200 OK", "", &id));
        Reaction::Answer(second_answer.unwrap_or_default() + &answer("200 OK", "", &id))
    });
    let fixture = fixture(serving_entries(&[&backend]), &[]);
    let mut client = fixture.gateway.client();
    for _ in 0..40 {
        let text = request("orden-nueva", 7, 3000);
        let answered_id = String::from_utf8(client.ask(&text).body).expect("an id");
        assert!(
            text.contains(&format!("x-correlation-id: {answered_id}\r\n")),
            "the answer to {answered_id} for {text}"
        );
    }
}

/// Guards against sending a request that has its final answer, where attempts are not cancelled: the first attempt's
/// connection comes up after the hedged one has been answered.
#[test]
fn a_late_connection_does_not_carry_a_request_that_has_been_answered() {
    let late = FullBacklogListener::start();
    let late_entry = entry("late", late.address, "SERVING");
    let other = FakeServer::start(|_| ok("other"));
    let options = GatewayOptions {
        changes: &[
            ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000"),
            ("\"second_copies\":false", "\"second_copies\":true"),
            ("\"cancel\":true", "\"cancel\":false"),
        ],
        debug_log: true,
        ..GatewayOptions::default()
    };
    let fixture = Fixture::new(&options, vec![late_entry.clone()], fake_counter());
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 3000));
    while !fixture.gateway.log().contains(" attempt 0 to ") {}
    fixture.discovery.set(vec![late_entry, entry("other", other.address, "SERVING")]);
    assert_eq!(client.read_answer().expect("an answer").body, b"other");
    let queued_connections = late.queued_connections();
    let (late, began) = (late.start_accepting(|_| ok("late")), Instant::now());
    // The connection is established when the kernel repeats its SYN, by 3 s after the first one.
    while late.connection_count.load(Ordering::SeqCst) <= queued_connections
        && began.elapsed() < Duration::from_millis(3_500)
    {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(late.requests.try_iter().count(), 0);
}
