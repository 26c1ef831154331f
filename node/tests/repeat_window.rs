//! Attempts of keyed requests whose window ends while a connection is being established.

mod common;

use common::*;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The window within which a keyed request may be repeated, as in the settings below.
const WINDOW: Duration = Duration::from_millis(700);

/// Guards against a repeat that is decided within its window but begins after it, because the connection to the next
/// backend took long to establish.
#[test]
fn no_repeat_begins_after_its_window() {
    let options = GatewayOptions {
        changes: &[
            (r#""deadline_us":1200000,"effect":"token""#, r#""deadline_us":4500000,"effect":"token""#),
            (r#""window_us":1200000"#, r#""window_us":700000"#),
            (r#""connect_timeout_us":250000"#, r#""connect_timeout_us":3000000"#),
        ],
        ..GatewayOptions::default()
    };
    let first = FakeServer::start(|_| Reaction::PiecesAndReset(vec![(500, String::new())]));
    let slow_backend = FullBacklogListener::start();
    let fixture = Fixture::new(&options, serving_entries(&[&first]), fake_counter());
    let mut client = fixture.gateway.client();
    client.send(&request("modificar", 9, 4_500));
    let began = first.next_request().received_at;
    let entries = vec![entry("s-0", first.address, "SERVING"), entry("s-1", slow_backend.address, "SERVING")];
    fixture.discovery.set(entries);
    // The gateway begins to connect at 500 ms; the connection is established when the kernel repeats its SYN, a second
    // later.
    std::thread::sleep(Duration::from_millis(900));
    let slow_backend = slow_backend.start_accepting(|_| ok("late"));
    let answer = client.read_answer().expect("an answer");
    let answered = began.elapsed();
    std::thread::sleep(Duration::from_millis(1_800).saturating_sub(began.elapsed()));
    let repeated = slow_backend.requests.try_recv().ok().map(|request| request.received_at - began);
    assert_eq!(repeated, None, "the window is {WINDOW:?}");
    assert_ne!(answer.status(), 200);
    assert!(answered < WINDOW + Duration::from_millis(400), "answered after {answered:?}");
}

/// Guards against a first attempt that begins after the window of the hedged one: its connection took so long to
/// establish that the hedged attempt was sent before it.
#[test]
fn no_first_attempt_begins_after_the_window_of_the_hedged_one() {
    let options = GatewayOptions {
        changes: &[
            (r#""second_copies":false"#, r#""second_copies":true"#),
            (r#""deadline_us":1200000,"effect":"token""#, r#""deadline_us":4500000,"effect":"token""#),
            (r#""window_us":1200000"#, r#""window_us":700000"#),
            (r#""connect_timeout_us":250000"#, r#""connect_timeout_us":4000000"#),
        ],
        debug_log: true,
        ..GatewayOptions::default()
    };
    let slow_backend = FullBacklogListener::start();
    let slow_entry = entry("s-1", slow_backend.address, "SERVING");
    let hedged = FakeServer::start(|_| Reaction::Silence);
    let fixture = Fixture::new(&options, vec![slow_entry.clone()], fake_counter());
    let mut client = fixture.gateway.client();
    client.send(&request("modificar", 9, 4_500));
    while !fixture.gateway.log().contains(" attempt 0 to ") {}
    fixture.discovery.set(vec![entry("s-0", hedged.address, "SERVING"), slow_entry]);
    let began = hedged.next_request().received_at;
    // The connection is established when the kernel repeats its SYN, by 3 s after the first one.
    std::thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(began.elapsed()));
    let queued_connections = slow_backend.queued_connections();
    let slow_backend = slow_backend.start_accepting(|_| ok("late"));
    while slow_backend.connection_count.load(Ordering::SeqCst) <= queued_connections
        && began.elapsed() < Duration::from_millis(3_500)
    {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(200));
    let late = slow_backend.requests.try_recv().ok().map(|request| request.received_at - began);
    assert_eq!(late, None, "the window is {WINDOW:?}");
    assert_ne!(client.read_answer().expect("an answer").status(), 200);
}
