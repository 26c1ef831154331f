//! Repeats of keyed requests whose window ends while a connection is being established.

mod common;

use common::*;
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
