//! Processes that are restarted together become ready in time, with any initial list and any state of discovery.

mod common;

use common::*;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// The number of processes of each case.
const PROCESSES: usize = 10;
/// How long discovery is unavailable at first, in the states `Refused` and `Silent`.
const UNAVAILABLE_FOR: Duration = Duration::from_secs(4);
/// The time limit for nine in ten processes to become ready.
const READY_TIME_LIMIT: Duration = Duration::from_secs(10);
/// Settings for 300 gateways and lists pushed by discovery.
const PUSHED: &[(&str, &str)] = &[("\"balancers\":2", "\"balancers\":300")];
/// Settings for 300 gateways and lists requested from discovery.
const REQUESTED: &[(&str, &str)] =
    &[("\"balancers\":2", "\"balancers\":300"), ("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\"")];

/// The state of discovery while the processes start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryState {
    /// Each answer comes at once.
    Up,
    /// Each answer takes this long.
    Slow(Duration),
    /// Connections are refused at first.
    Refused,
    /// Calls that arrive at first are never answered.
    Silent,
}

/// Starts discovery in this state, with this list.
fn start_discovery(address: SocketAddr, state: DiscoveryState, text: String) -> FakeServer {
    let began = Instant::now();
    if state == DiscoveryState::Refused {
        std::thread::sleep(UNAVAILABLE_FOR);
    }
    FakeServer::with_listener(TcpListener::bind(address).expect("a free port"), move |request| {
        let unavailable = state == DiscoveryState::Silent && began.elapsed() < UNAVAILABLE_FOR;
        if let DiscoveryState::Slow(delay) = state {
            std::thread::sleep(delay);
        }
        // A watch from this list on gets no answer: there is no later list.
        if unavailable || request.path().contains("index=7&") {
            return Reaction::Silence;
        }
        ok(&text)
    })
}

/// Guards against processes that stay out of service after all have been restarted: with 300 gateways in the settings,
/// with an old list, an empty one or none, while discovery is up, slow, or unavailable for some seconds.
#[test]
fn nine_in_ten_processes_restarted_together_are_ready_within_10_s() {
    let backend = FakeServer::start(|_| ok("x"));
    let serving = [entry("s-0", backend.address, "SERVING")];
    let known = [("old", Some(list(3, true, &serving))), ("empty", Some(list(3, true, &[]))), ("no", None)];
    let states = [
        DiscoveryState::Up,
        DiscoveryState::Slow(Duration::from_millis(1_500)),
        DiscoveryState::Refused,
        DiscoveryState::Silent,
    ];
    let mut cases = Vec::new();
    for (mode, changes) in [("pushed", PUSHED), ("requested", REQUESTED)] {
        for state in states {
            for (name, known) in &known {
                cases.push((format!("{mode}, {name} list, {state:?}"), changes, state, known.clone()));
            }
        }
    }
    let current = list(7, true, &serving);
    let results: Vec<(String, Vec<Duration>)> = std::thread::scope(|scope| {
        let case = |(name, changes, state, known)| {
            let (current, address) = (current.clone(), unused_address());
            scope.spawn(move || {
                let began = Instant::now();
                let discovery_thread = std::thread::spawn(move || start_discovery(address, state, current));
                let options = GatewayOptions { known, changes, ..GatewayOptions::default() };
                let launch = |_| (Gateway::launch(&options, address, unused_address()), None);
                let mut gateways: Vec<(Gateway, Option<Duration>)> = (0..PROCESSES).map(launch).collect();
                while gateways.iter().any(|g| g.1.is_none()) && began.elapsed() < 3 * READY_TIME_LIMIT {
                    for (gateway, ready) in gateways.iter_mut().filter(|g| g.1.is_none()) {
                        *ready = (gateway.health() == Some(200)).then(|| began.elapsed());
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                drop(discovery_thread.join());
                let mut times: Vec<_> = gateways.iter().map(|g| g.1.unwrap_or(Duration::MAX)).collect();
                times.sort();
                (name, times)
            })
        };
        let running: Vec<_> = cases.into_iter().map(case).collect();
        running.into_iter().map(|r| r.join().expect("it ends")).collect()
    });
    for (name, times) in &results {
        println!(
            "{name}: half ready after {:.1?}, all after {:.1?}",
            times[PROCESSES / 2],
            times[PROCESSES - 1]
        );
    }
    for (name, times) in &results {
        assert!(times[PROCESSES * 9 / 10 - 1] < READY_TIME_LIMIT, "{name}: {times:?}");
    }
}
