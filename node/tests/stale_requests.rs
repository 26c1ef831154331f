//! Requests that have waited unread: in the listener's line, or while the process was held up.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// What a backend may be told beyond what the client has left.
const SLACK: Duration = Duration::from_millis(150);

/// Checks what the next attempt was told against what its client has left.
fn told_at_most(backend: &FakeServer, sent: Instant, wait: Duration) {
    let seen = backend.next_request();
    let told = seen.header("x-time-left-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let left = wait.saturating_sub(seen.received_at - sent);
    assert!(told.expect("a time") <= left + SLACK, "told {told:?}, {left:?} are left");
}

/// Guards against a deadline that counts from when a request is read, not from when it came: the platform holds the
/// clients' socket, and requests come before the process that is to take them.
#[test]
fn time_in_the_listeners_line_counts() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let platform = Platform::new();
    let wait = Duration::from_secs(3);
    let mut early =
        Client::from_stream(std::net::TcpStream::connect(platform.address()).expect("a place in the line"));
    early.send(&request("consulta", 9, 3_000));
    let sent = Instant::now();
    let mut late =
        Client::from_stream(std::net::TcpStream::connect(platform.address()).expect("a place in the line"));
    late.send(&request("consulta", 8, 300));
    std::thread::sleep(Duration::from_millis(900));
    let known = Some(list(1, true, &serving_entries(&[&backend])));
    let start = GatewayOptions { platform: Some(platform), known, ..GatewayOptions::default() };
    let _gateway = Gateway::launch(&start, discovery.server.address, counter.address);
    assert_eq!(early.read_answer().expect("an answer").status(), 200);
    told_at_most(&backend, sent, wait);
    // Its time was over before it was read.
    assert_ne!(late.read_answer().expect("an answer").status(), 200);
    assert!(backend.requests.try_recv().is_err(), "a request went on whose time was over");
}

/// The same where the process is held up.
#[test]
fn time_in_which_the_process_was_held_up_counts() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let mut client = scene.gateway.client();
    assert_eq!(client.ask(&request("consulta", 9, 3_000)).status(), 200);
    backend.next_request();
    scene.gateway.signal("-STOP");
    client.send(&request("consulta", 9, 1_000));
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    scene.gateway.signal("-CONT");
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    told_at_most(&backend, sent, Duration::from_secs(1));
}
