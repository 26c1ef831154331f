//! Reasons of refusals, repeats and closes, as the operators' figures and the log tell them.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Waits until a figure is there.
fn wait_for(gateway: &Gateway, group: &str, name: &str, count: u64) {
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.metrics()[group][name] != count {
        assert!(Instant::now() < until, "{group} {name}: {}", gateway.metrics());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against steps whose reason nobody can tell afterwards.
#[test]
fn refusals_repeats_and_closes_have_their_reasons() {
    let broken = FakeServer::start(|_| Reaction::Close);
    let start = GatewayOptions { rate: 1.0, burst: 4.0, debug_log: true, ..GatewayOptions::default() };
    let scene = Fixture::new(&start, serving_entries(&[&broken]), fake_counter());
    let whole = FakeServer::start(|_| ok("x"));
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 9, 2_000));
    broken.next_request();
    assert!(client.read_answer().expect("an answer").status() >= 429);
    // A second backend: what the first one breaks goes there.
    scene
        .discovery
        .set(vec![entry("s-0", broken.address, "SERVING"), entry("s-1", whole.address, "SERVING")]);
    scene.discovery.wait_until_list_received();
    let mut refused = 0;
    for _ in 0..12 {
        refused += u64::from(client.ask(&request("consulta", 8, 2_000)).status() == 429);
    }
    assert!(refused > 0, "{}", scene.gateway.metrics());
    let figures = scene.gateway.metrics();
    assert_eq!(figures["refused_by_reason"]["given_up"], 1, "{figures}");
    drop(client);
    // Each health check of the start has closed its connection as well; on a busy machine there are several.
    let closed = 1 + scene.gateway.answered_health_checks();
    wait_for(&scene.gateway, "closed_by_reason", "client", closed);
    let figures = scene.gateway.metrics();
    let guards = figures["guard_violations"].as_object().expect("guards");
    assert!(guards.values().all(|count| count == 0), "{figures}");
    assert!(figures["tasks"].as_u64().is_some_and(|tasks| tasks > 3), "{figures}");
    let log = scene.gateway.log();
    for part in ["attempt 0 to", "ended: reset after", "refused: given_up", "closed: client; 13 requests"] {
        assert!(log.contains(part), "{part:?} is not in {log}");
    }
}
