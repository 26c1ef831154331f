//! What a process needs at its start and can't have for a moment.

mod common;

use common::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// An address is taken for so long after the gateway's start.
const TAKEN: Duration = Duration::from_millis(1_200);

/// Guards against a process that refuses to start because the one before still holds its address, or because this
/// machine is out of something for a moment.
#[test]
fn the_clients_address_is_waited_for() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let (start, before) = (GatewayOptions::default(), Gateway::unused_addresses());
    let holder = TcpListener::bind(before.clients).expect("the address");
    let gateway = Gateway::launch_at(&start, before, discovery.server.address, counter.address);
    std::thread::sleep(TAKEN);
    drop(holder);
    // The front admits a gateway once it says that it is ready; before, it may not have a list.
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.health() != Some(200) {
        assert!(Instant::now() < until, "the gateway does not become ready: {}", gateway.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
}

/// The same for the operators' address, which clients need not wait for.
#[test]
fn the_operators_address_is_waited_for_while_clients_are_served() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let (start, before) = (GatewayOptions::default(), Gateway::unused_addresses());
    let holder = TcpListener::bind(before.ops).expect("the address");
    let gateway = Gateway::launch_at(&start, before, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    assert_eq!(gateway.client_once_listening().ask(&request("consulta", 9, 1_000)).status(), 200);
    drop(holder);
    gateway.wait_until_serving();
}
