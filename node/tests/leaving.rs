//! Clients that leave while their request waits: it is called off well within 0.3 s, wherever it waits and
//! however they leave, and nothing of it is sent on afterwards.

mod common;

use common::*;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Called off this soon; without any look at the connection only the deadline would.
const SOON: Duration = Duration::from_millis(250);
const WAIT_MS: u64 = 5_000;

struct Scene {
    gateway: Gateway,
    _discovery: Discovery,
    counter: Fake,
}

fn scene(entries: Vec<String>, counter: Fake, changes: &'static [(&'static str, &'static str)]) -> Scene {
    let discovery = Discovery::start(entries);
    let start = Start { rate: 0.2, burst: 2.0, changes, ..Start::default() };
    let gateway = Gateway::start(&start, discovery.fake.address, counter.address);
    discovery.settled();
    Scene { gateway, _discovery: discovery, counter }
}

/// Waits until what is asked for holds, and tells how long that took.
fn until(what: &str, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_millis(WAIT_MS / 2), "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
    began.elapsed()
}

fn in_progress(gateway: &Gateway) -> u64 {
    gateway.figures()["in_progress"].as_u64().expect("a number")
}

/// The machine may have been busy elsewhere: of three rounds the fastest counts.
fn fastest_is_soon(how: Leave, round: impl Fn(Leave) -> Duration) {
    let mut took = Duration::MAX;
    for _ in 0..3 {
        took = took.min(round(how));
        if took < SOON {
            return;
        }
    }
    panic!("{how:?}: called off after {took:?} only");
}

/// A backend that holds every request until it is told.
fn holding() -> (Fake, Sender<()>) {
    let (go, wait) = channel();
    let wait = Mutex::new(wait);
    let fake = Fake::start(move |_| {
        let _ = wait.lock().expect("unpoisoned").recv_timeout(LONG);
        ok("late")
    });
    (fake, go)
}

/// At a backend: its attempt is closed, and no further one follows though its class allows that. The same
/// after SIGTERM.
#[test]
fn at_a_backend_and_during_shutdown() {
    let round = |terminate: bool| {
        move |how| {
            let (first, second) = (Fake::start(|_| Reaction::Silence), Fake::start(|_| Reaction::Silence));
            let entries =
                vec![entry("s-0", first.address, "SERVING"), entry("s-1", second.address, "SERVING")];
            let mut scene = scene(entries, counter(), &[]);
            let mut client = scene.gateway.client();
            client.send(&request("consulta", 7, WAIT_MS));
            let tries = || first.seen.try_iter().chain(second.seen.try_iter()).count();
            until("it is sent on", || tries() == 1);
            if terminate {
                scene.gateway.terminate();
                until("the signal is taken", || scene.gateway.health() == Some(503));
            }
            client.leave(how);
            let took = until(&format!("{how:?}: it is called off"), || in_progress(&scene.gateway) == 0);
            if terminate {
                assert!(scene.gateway.wait().success());
            }
            assert_eq!(tries(), 0, "{how:?}: a further attempt");
            took
        }
    };
    for how in LEAVES {
        fastest_is_soon(how, round(false));
        fastest_is_soon(how, round(true));
    }
}

/// For a connection: once that comes up, nothing of it is sent. The first try was turned away or has not been
/// made, whichever backend was chosen first.
#[test]
fn for_a_connection_or_a_further_attempt() {
    for how in LEAVES {
        fastest_is_soon(how, |how| {
            let full = answer("503 Service Unavailable", "x-unprocessed: 1\r\n", "");
            let full = Fake::start(move |_| Reaction::Answer(full.clone()));
            let late = Mute::start();
            let entries = vec![entry("s-0", full.address, "SERVING"), entry("s-1", late.address, "SERVING")];
            let long = &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000")];
            let scene = scene(entries, counter(), long);
            let mut client = scene.gateway.client();
            client.send(&request("orden-nueva", 7, WAIT_MS));
            until("it is taken", || in_progress(&scene.gateway) == 1);
            client.leave(how);
            let took = until(&format!("{how:?}: it is called off"), || in_progress(&scene.gateway) == 0);
            // The next one is the first that this backend sees.
            let late = late.open(|_| ok("x"));
            let mut next = scene.gateway.client();
            while late.seen.try_recv().map(|seen| assert!(seen.path().ends_with("8"))).is_err() {
                assert_eq!(next.ask(&request("orden-nueva", 8, WAIT_MS)).status(), 200);
            }
            took
        });
    }
}

/// For the module, which waits for a fresh total.
#[test]
fn for_a_total() {
    for how in LEAVES {
        fastest_is_soon(how, |how| {
            let (go, wait) = channel();
            let wait = Mutex::new(wait);
            let silent = Fake::start(move |_| {
                let _ = wait.lock().expect("unpoisoned").recv_timeout(LONG);
                ok("1")
            });
            let backend = Fake::start(|_| ok("x"));
            let long = &[("\"count_limit_us\":80000", "\"count_limit_us\":5000000")];
            let scene = scene(vec![entry("s-0", backend.address, "SERVING")], silent, long);
            // The part is spent by the first; the second one waits.
            assert_eq!(scene.gateway.client().ask(&request("consulta", 7, WAIT_MS)).status(), 200);
            let mut client = scene.gateway.client();
            client.send(&request("consulta", 7, WAIT_MS));
            scene.counter.next();
            until("it is taken", || in_progress(&scene.gateway) == 1);
            client.leave(how);
            let took = until(&format!("{how:?}: it is called off"), || in_progress(&scene.gateway) == 0);
            (0..8).for_each(|_| go.send(()).expect("the counter waits"));
            assert_eq!(scene.gateway.client().ask(&request("consulta", 9, WAIT_MS)).status(), 200);
            let seen: Vec<_> = backend.seen.try_iter().map(|s| s.path().to_owned()).collect();
            assert!(seen.len() == 2 && seen[1].ends_with('9'), "{how:?}: {seen:?}");
            took
        });
    }
}

/// While its body is not asked for: a long one, all of it sent, whose backend's connection does not come up.
#[test]
fn for_its_body() {
    for how in LEAVES {
        fastest_is_soon(how, |how| {
            let late = Mute::start();
            // No counter, whose connections come and go.
            let long = &[
                ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000"),
                ("\"shared_counter\":true", "\"shared_counter\":false"),
            ];
            let scene = scene(vec![entry("s-0", late.address, "SERVING")], counter(), long);
            let held = || scene.gateway.descriptors();
            let same = || held() == std::iter::repeat_with(held).take(20).max().unwrap_or_default();
            until("earlier connections are closed", || {
                std::thread::sleep(Duration::from_millis(20));
                same()
            });
            let before = held();
            let mut client = scene.gateway.client();
            let text = request("orden-nueva", 7, WAIT_MS);
            let body = format!("content-length: 70000\r\n\r\n{}", "y".repeat(70_000));
            client.send(&text.replace("content-length: 4\r\n\r\n{42}", &body));
            until("it is let in", || held() >= before + 2);
            client.leave(how);
            let took = until(&format!("{how:?}: it is called off"), || held() <= before);
            let late = late.open(|_| ok("x"));
            assert_eq!(scene.gateway.client().ask(&request("orden-nueva", 8, WAIT_MS)).status(), 200);
            assert!(late.next().path().ends_with('8'), "{how:?}");
            took
        });
    }
}

/// One that stays is served, whatever it has sent behind its request.
#[test]
fn who_stays_is_served() {
    let (backend, go) = holding();
    let scene = scene(vec![entry("s-0", backend.address, "SERVING")], counter(), &[]);
    let mut client = scene.gateway.client();
    client.send(&format!("{}{}", request("consulta", 7, WAIT_MS), request("consulta", 8, WAIT_MS)));
    backend.next();
    std::thread::sleep(SOON);
    (0..2).for_each(|_| go.send(()).expect("the backend waits"));
    for _ in 0..2 {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}
