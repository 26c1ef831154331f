//! The largest number of descriptors that a gateway has open at any moment, on loopback sockets. It is read from the
//! size of the process's descriptor table, which starts as large as that of the parent process and says nothing if that
//! is larger than the limit. So these tests have a process of their own, with few connections when a gateway starts.

mod common;

use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// The smallest descriptor limit that the platform guarantees to a gateway.
const DESCRIPTOR_LIMIT: usize = 256;
/// The number of client connections that the gateway accepts with that limit.
const MAX_CLIENTS: usize = 102;
/// The number of operators' connections: at least as many as a listener's accept queue takes.
const OPS_CONNECTIONS: usize = 120;

/// Guards against exceeding the descriptor limit when many operators connect at once: the server closes a surplus
/// connection before it accepts the next one. Also guards against an operator that goes unanswered among silent ones.
#[test]
fn callers_at_the_door_that_come_at_once_take_no_more_than_their_part() {
    let _lock = exclusive_test_lock();
    let backends: Vec<_> = (0..60).map(|_| FakeServer::start(|_| Reaction::Silence)).collect();
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    assert!(
        gateway.descriptor_slots() <= DESCRIPTOR_LIMIT,
        "the descriptor table is already larger than the limit"
    );
    discovery.wait_until_list_received();
    // All client connections are in use, and backends hold requests open.
    let mut clients: Vec<_> = (0..MAX_CLIENTS).map(|_| connect(gateway.address)).collect();
    for client in &mut clients[..40] {
        client.get_mut().write_all(request("consulta", 7, 3000).as_bytes()).expect("a request");
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    while gateway.open_descriptors() < MAX_CLIENTS + 40 {
        assert!(Instant::now() < deadline, "{} descriptors held", gateway.open_descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    // All of these connections are in the accept queue when the process continues.
    gateway.signal("-STOP");
    let mut ops_client = connect(gateway.ops);
    ops_client.get_mut().write_all(b"GET /ready HTTP/1.1\r\nhost: t\r\n\r\n").expect("a call");
    let silent_clients: Vec<_> = (0..OPS_CONNECTIONS).map(|_| connect(gateway.ops)).collect();
    gateway.signal("-CONT");
    assert_eq!(read_message(&mut ops_client, 0).map(|a| a.status()), Some(200));
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
    let slots = gateway.descriptor_slots();
    assert!(slots <= DESCRIPTOR_LIMIT, "{slots} slots");
    drop((clients, silent_clients));
}
