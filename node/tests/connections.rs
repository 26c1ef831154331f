//! Connections to backends whose ends cross with other events. Each test makes one bad order happen every time.

mod common;

use common::*;
use std::collections::HashMap;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn scene(entries: Vec<String>, changes: &'static [(&'static str, &'static str)]) -> Fixture {
    Fixture::new(&GatewayOptions { changes, ..GatewayOptions::default() }, entries, fake_counter())
}

/// A backend that answers a request with a name once it is told to.
fn holding(name: &'static str) -> (FakeServer, Sender<()>) {
    let (go, wait) = channel();
    let wait = Mutex::new(wait);
    let fake = FakeServer::start(move |_| {
        wait.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
        ok(name)
    });
    (fake, go)
}

const LATE: &[(&str, &str)] = &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000")];

/// Guards against a connection of the process before being used for the one that has come in its place: an
/// attempt ends well after its backend was told to have restarted or moved, and its connection is done with.
#[test]
fn a_connection_from_before_a_restart_is_not_used_after_it() {
    for moves in [false, true] {
        let ((old, go), new) = (holding("old"), FakeServer::start(|_| ok("new")));
        let scene = scene(serving_entries(&[&old]), &[]);
        let (mut first, mut second) = (scene.gateway.client(), scene.gateway.client());
        first.send(&request("orden-nueva", 7, 3000));
        assert_eq!(old.next_request().connection, 0);
        let (address, since) = if moves { (new.address, 0) } else { (old.address, 1) };
        scene.discovery.set(vec![entry_since("s-0", address, "SERVING", since)]);
        scene.discovery.wait_until_list_received();
        go.send(()).expect("the backend waits");
        assert_eq!(first.read_answer().expect("an answer").body, b"old");
        second.send(&request("orden-nueva", 7, 3000));
        if moves {
            assert_eq!(second.read_answer().expect("an answer").body, b"new");
        } else {
            assert_eq!(
                old.next_request().connection,
                1,
                "the old process's connection is used for the new one"
            );
        }
    }
}

/// Guards against the same while a connection is being made: the one that comes up leads to the old place.
#[test]
fn a_connection_to_where_a_backend_no_longer_is_carries_nothing() {
    let (old, new) = (FullBacklogListener::start(), FakeServer::start(|_| ok("new")));
    let scene = scene(vec![entry("s-0", old.address, "SERVING")], LATE);
    let mut client = scene.gateway.client();
    client.send(&request("orden-nueva", 7, 4000));
    while scene.gateway.metrics()["in_progress"] != 1 {}
    scene.discovery.set(vec![entry("s-0", new.address, "SERVING")]);
    scene.discovery.wait_until_list_received();
    let old = old.start_accepting(|_| ok("old"));
    assert_eq!(client.read_answer().expect("an answer").body, b"new");
    assert_eq!(old.requests.try_iter().count(), 0);
}

/// Guards against a backend that is told of time that has passed while its connection came up.
#[test]
fn a_late_connection_s_time_is_not_told_as_left() {
    // Where this machine is busy elsewhere, the connection may be begun after the other side has opened: then anew.
    for _ in 0..20 {
        let late = FullBacklogListener::start();
        let scene = scene(vec![entry("s-0", late.address, "SERVING")], LATE);
        let began = Instant::now();
        let mut client = scene.gateway.client();
        client.send(&request("orden-nueva", 7, 4000));
        while scene.gateway.metrics()["in_progress"] != 1 {}
        let late = late.start_accepting(|_| ok("x"));
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
        let seen = late.next_request();
        let left = seen.header("x-time-left-ms").and_then(|v| v.parse().ok()).expect("a time");
        let gone = seen.received_at.duration_since(began);
        assert!(Duration::from_millis(left) + gone < Duration::from_millis(4050), "{left} ms after {gone:?}");
        if gone > Duration::from_millis(100) {
            return;
        }
    }
    panic!("it came up at once, each time");
}

/// Guards against a second answer to one request that is taken for the answer to the next: it comes up to 4 ms
/// after the first, on a connection that looked well when it was used again.
#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_request() {
    const LATE: Duration = Duration::from_millis(4);
    let last: Mutex<HashMap<usize, (String, Instant)>> = Mutex::default();
    let backend = FakeServer::start(move |seen| {
        let id = seen.header("x-correlation-id").expect("an id").to_owned();
        let mut last = last.lock().expect("unpoisoned");
        let before = last.insert(seen.connection, (id.clone(), Instant::now()));
        // On its way as this request was written.
        let second = before.filter(|(_, at)| at.elapsed() < LATE).map(|(id, _)| answer("200 OK", "", &id));
        Reaction::Answer(second.unwrap_or_default() + &answer("200 OK", "", &id))
    });
    let scene = scene(serving_entries(&[&backend]), &[]);
    let mut client = scene.gateway.client();
    for _ in 0..40 {
        let text = request("orden-nueva", 7, 3000);
        let got = String::from_utf8(client.ask(&text).body).expect("an id");
        assert!(text.contains(&format!("x-correlation-id: {got}\r\n")), "the answer to {got} for {text}");
    }
}
