//! Resources that a process needs at its start and that are unavailable for a moment.

mod common;

use common::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// How long the address stays in use after the gateway's start.
const IN_USE_FOR: Duration = Duration::from_millis(1_200);

/// Guards against a process that exits at its start because its predecessor still holds the clients' address, or
/// because the machine lacks a resource for a moment.
#[test]
fn the_clients_address_is_waited_for() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let (options, addresses) = (GatewayOptions::default(), Gateway::unused_addresses());
    let holder = TcpListener::bind(addresses.clients).expect("the address");
    let gateway = Gateway::launch_at(&options, addresses, discovery.server.address, counter.address);
    std::thread::sleep(IN_USE_FOR);
    drop(holder);
    // The load balancer admits a gateway once it reports that it is ready; before that, it may lack a list.
    let deadline = Instant::now() + TEST_TIMEOUT;
    while gateway.health() != Some(200) {
        assert!(Instant::now() < deadline, "the gateway does not become ready: {}", gateway.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
}

/// Guards against a process that exits, or keeps its clients waiting, because the operators' address is still in use.
#[test]
fn the_operators_address_is_waited_for_while_clients_are_served() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    let (options, addresses) = (GatewayOptions::default(), Gateway::unused_addresses());
    let holder = TcpListener::bind(addresses.ops).expect("the address");
    let gateway = Gateway::launch_at(&options, addresses, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    assert_eq!(gateway.client_once_listening().ask(&request("consulta", 9, 1_000)).status(), 200);
    drop(holder);
    gateway.wait_until_serving();
}
