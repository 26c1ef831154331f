//! Repeats of keyed requests, whose window ends while a connection comes up.

mod common;

use common::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(700);

/// Guards against a repeat that is decided on within its window and begins after it, because the connection to the
/// next backend took long to come up.
#[test]
fn no_repeat_begins_after_its_window() {
    let start = GatewayOptions {
        changes: &[
            (r#""deadline_us":1200000,"effect":"token""#, r#""deadline_us":4500000,"effect":"token""#),
            (r#""window_us":1200000"#, r#""window_us":700000"#),
            (r#""connect_timeout_us":250000"#, r#""connect_timeout_us":3000000"#),
        ],
        ..GatewayOptions::default()
    };
    let first = FakeServer::start(|_| Reaction::PiecesAndReset(vec![(500, String::new())]));
    let late = FullBacklogListener::start();
    let scene = Fixture::new(&start, serving_entries(&[&first]), fake_counter());
    let mut client = scene.gateway.client();
    client.send(&request("modificar", 9, 4_500));
    let began = first.next_request().received_at;
    let entries = vec![entry("s-0", first.address, "SERVING"), entry("s-1", late.address, "SERVING")];
    scene.discovery.set(entries);
    // The connection is asked for at 500 ms, and comes up as the system asks once more, a second later.
    std::thread::sleep(Duration::from_millis(900));
    let late = late.start_accepting(|_| ok("late"));
    let answer = client.read_answer().expect("an answer");
    let answered = began.elapsed();
    std::thread::sleep(Duration::from_millis(1_800).saturating_sub(began.elapsed()));
    let repeated = late.requests.try_recv().ok().map(|seen| seen.received_at - began);
    assert_eq!(repeated, None, "the window is {WINDOW:?}");
    assert_ne!(answer.status(), 200);
    assert!(answered < WINDOW + Duration::from_millis(400), "answered after {answered:?}");
}
