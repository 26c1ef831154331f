//! The reasons of refusals, repeats and closes, as the metrics and the log report them.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Waits until the metric `name` of `group` has this value.
fn wait_for(gateway: &Gateway, group: &str, name: &str, count: u64) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while gateway.metrics()[group][name] != count {
        assert!(Instant::now() < deadline, "{group} {name}: {}", gateway.metrics());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against refusals, repeats and closes whose reason can't be found out afterwards.
#[test]
fn refusals_repeats_and_closes_have_their_reasons() {
    let broken = FakeServer::start(|_| Reaction::Close);
    let options = GatewayOptions { rate: 1.0, burst: 4.0, debug_log: true, ..GatewayOptions::default() };
    let fixture = Fixture::new(&options, serving_entries(&[&broken]), fake_counter());
    let working = FakeServer::start(|_| ok("x"));
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 9, 2_000));
    broken.next_request();
    assert!(client.read_answer().expect("an answer").status() >= 429);
    // Add a second backend, which gets the requests that fail at the first one.
    fixture
        .discovery
        .set(vec![entry("s-0", broken.address, "SERVING"), entry("s-1", working.address, "SERVING")]);
    fixture.discovery.wait_until_list_received();
    let mut refused = 0;
    for _ in 0..12 {
        refused += u64::from(client.ask(&request("consulta", 8, 2_000)).status() == 429);
    }
    assert!(refused > 0, "{}", fixture.gateway.metrics());
    let metrics = fixture.gateway.metrics();
    assert_eq!(metrics["refused_by_reason"]["given_up"], 1, "{metrics}");
    drop(client);
    // Each health check at the start has closed its connection, too; on a busy machine there are several.
    let closed = 1 + fixture.gateway.answered_health_checks();
    wait_for(&fixture.gateway, "closed_by_reason", "client", closed);
    let metrics = fixture.gateway.metrics();
    let violations = metrics["guard_violations"].as_object().expect("guards");
    assert!(violations.values().all(|count| count == 0), "{metrics}");
    assert!(metrics["tasks"].as_u64().is_some_and(|tasks| tasks > 3), "{metrics}");
    let log = fixture.gateway.log();
    for part in ["attempt 0 to", "ended: reset after", "refused: given_up", "closed: client; 13 requests"] {
        assert!(log.contains(part), "{part:?} is not in {log}");
    }
}
