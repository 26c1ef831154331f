//! Repeats of keyed requests, whose window ends while a connection comes up.

mod common;

use common::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(700);

/// Guards against a repeat that is decided on within its window and begins after it, because the connection to the
/// next backend took long to come up.
#[test]
fn no_repeat_begins_after_its_window() {
    let start = Start {
        changes: &[
            (r#""deadline_us":1200000,"effect":"token""#, r#""deadline_us":4500000,"effect":"token""#),
            (r#""window_us":1200000"#, r#""window_us":700000"#),
            (r#""connect_timeout_us":250000"#, r#""connect_timeout_us":3000000"#),
        ],
        ..Start::default()
    };
    let first = Fake::start(|_| Reaction::PiecesAndReset(vec![(500, String::new())]));
    let late = Mute::start();
    let scene = Scene::new(&start, serving(&[&first]), counter());
    let mut client = scene.gateway.client();
    client.send(&request("modificar", 9, 4_500));
    let began = first.next().at;
    let entries = vec![entry("s-0", first.address, "SERVING"), entry("s-1", late.address, "SERVING")];
    scene.discovery.set(entries);
    // The connection is asked for at 500 ms, and comes up as the system asks once more, a second later.
    std::thread::sleep(Duration::from_millis(900));
    let late = late.open(|_| ok("late"));
    let answer = client.answer().expect("an answer");
    let answered = began.elapsed();
    std::thread::sleep(Duration::from_millis(1_800).saturating_sub(began.elapsed()));
    let repeated = late.seen.try_recv().ok().map(|seen| seen.at - began);
    assert_eq!(repeated, None, "the window is {WINDOW:?}");
    assert_ne!(answer.status(), 200);
    assert!(answered < WINDOW + Duration::from_millis(400), "answered after {answered:?}");
}
