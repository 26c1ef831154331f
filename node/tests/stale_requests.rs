//! Requests that have waited unread, in the listener's accept queue or while the process could not run.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// How much the time left that a backend receives may exceed the client's time left.
const MAX_EXCESS: Duration = Duration::from_millis(150);

/// Checks the time left that the backend's next request states against that of the client, which has sent its request
/// at `sent` and waits for `wait` in all.
fn assert_time_left(backend: &FakeServer, sent: Instant, wait: Duration) {
    let attempt = backend.next_request();
    let stated = attempt.header("x-time-left-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let left = wait.saturating_sub(attempt.received_at - sent);
    assert!(
        stated.expect("a time") <= left + MAX_EXCESS,
        "the backend is told {stated:?}, the client has {left:?} left"
    );
}

/// Guards against a deadline that counts from when a request is read instead of from when it arrived. The platform
/// holds the clients' listener, so that requests arrive before the process starts.
#[test]
fn time_in_the_listeners_line_counts() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let platform = Platform::new();
    let wait = Duration::from_secs(3);
    let mut long_deadline =
        Client::from_stream(std::net::TcpStream::connect(platform.address()).expect("a place in the line"));
    long_deadline.send(&request("consulta", 9, 3_000));
    let sent = Instant::now();
    let mut short_deadline =
        Client::from_stream(std::net::TcpStream::connect(platform.address()).expect("a place in the line"));
    short_deadline.send(&request("consulta", 8, 300));
    std::thread::sleep(Duration::from_millis(900));
    let known = Some(list(1, true, &serving_entries(&[&backend])));
    let options = GatewayOptions { platform: Some(platform), known, ..GatewayOptions::default() };
    let _gateway = Gateway::launch(&options, discovery.server.address, counter.address);
    assert_eq!(long_deadline.read_answer().expect("an answer").status(), 200);
    assert_time_left(&backend, sent, wait);
    // The deadline of this request had passed before the process read it.
    assert_ne!(short_deadline.read_answer().expect("an answer").status(), 200);
    assert!(backend.requests.try_recv().is_err(), "a request was sent to a backend after its deadline");
}

/// Guards against a deadline that leaves out the time in which the process could not run.
#[test]
fn time_in_which_the_process_was_held_up_counts() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let mut client = fixture.gateway.client();
    assert_eq!(client.ask(&request("consulta", 9, 3_000)).status(), 200);
    backend.next_request();
    fixture.gateway.signal("-STOP");
    client.send(&request("consulta", 9, 1_000));
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    fixture.gateway.signal("-CONT");
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    assert_time_left(&backend, sent, Duration::from_secs(1));
}
