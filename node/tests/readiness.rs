//! Processes that are restarted together: how long until they serve, whatever list they have and whatever discovery
//! does meanwhile.

mod common;

use common::*;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Processes of each case.
const PROCESSES: usize = 10;
const AWAY: Duration = Duration::from_secs(4);
/// Nine in ten are ready by then.
const READY: Duration = Duration::from_secs(10);
const PUSHED: &[(&str, &str)] = &[("\"balancers\":2", "\"balancers\":300")];
const ASKED: &[(&str, &str)] =
    &[("\"balancers\":2", "\"balancers\":300"), ("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\"")];

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Up,
    /// Each answer takes so long.
    Slow(Duration),
    /// Nobody listens at first.
    Refused,
    /// Calls made at first are never answered.
    Silent,
}

fn discovery(address: SocketAddr, state: State, text: String) -> FakeServer {
    let began = Instant::now();
    if state == State::Refused {
        std::thread::sleep(AWAY);
    }
    FakeServer::with_listener(TcpListener::bind(address).expect("a free port"), move |seen| {
        let away = state == State::Silent && began.elapsed() < AWAY;
        if let State::Slow(by) = state {
            std::thread::sleep(by);
        }
        // Who holds this list hears of no other.
        if away || seen.path().contains("index=7&") {
            return Reaction::Silence;
        }
        ok(&text)
    })
}

/// Guards against processes that stay out of service after a restart of all: 300 gateways in the settings, from an
/// old list, an empty one and none, while discovery is up, slow, or comes back after some seconds.
#[test]
fn nine_in_ten_processes_restarted_together_are_ready_within_10_s() {
    let backend = FakeServer::start(|_| ok("x"));
    let serving = [entry("s-0", backend.address, "SERVING")];
    let known = [("old", Some(list(3, true, &serving))), ("empty", Some(list(3, true, &[]))), ("no", None)];
    let states = [State::Up, State::Slow(Duration::from_millis(1_500)), State::Refused, State::Silent];
    let mut cases = Vec::new();
    for (mode, changes) in [("pushed", PUSHED), ("asked", ASKED)] {
        for state in states {
            for (name, known) in &known {
                cases.push((format!("{mode}, {name} list, {state:?}"), changes, state, known.clone()));
            }
        }
    }
    let current = list(7, true, &serving);
    let all: Vec<(String, Vec<Duration>)> = std::thread::scope(|scope| {
        let case = |(name, changes, state, known)| {
            let (current, at) = (current.clone(), unused_address());
            scope.spawn(move || {
                let began = Instant::now();
                let started = std::thread::spawn(move || discovery(at, state, current));
                let start = GatewayOptions { known, changes, ..GatewayOptions::default() };
                let launch = |_| (Gateway::launch(&start, at, unused_address()), None);
                let mut gateways: Vec<(Gateway, Option<Duration>)> = (0..PROCESSES).map(launch).collect();
                while gateways.iter().any(|g| g.1.is_none()) && began.elapsed() < 3 * READY {
                    for (gateway, ready) in gateways.iter_mut().filter(|g| g.1.is_none()) {
                        *ready = (gateway.health() == Some(200)).then(|| began.elapsed());
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                drop(started.join());
                let mut times: Vec<_> = gateways.iter().map(|g| g.1.unwrap_or(Duration::MAX)).collect();
                times.sort();
                (name, times)
            })
        };
        let running: Vec<_> = cases.into_iter().map(case).collect();
        running.into_iter().map(|r| r.join().expect("it ends")).collect()
    });
    for (name, times) in &all {
        println!(
            "{name}: half ready after {:.1?}, all after {:.1?}",
            times[PROCESSES / 2],
            times[PROCESSES - 1]
        );
    }
    for (name, times) in &all {
        assert!(times[PROCESSES * 9 / 10 - 1] < READY, "{name}: {times:?}");
    }
}
