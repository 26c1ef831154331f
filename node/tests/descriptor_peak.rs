//! The most descriptors that a gateway holds at any moment, on loopback sockets. Danger: a process's table of
//! descriptors begins as large as that of the one that starts it, and tells nothing where that is larger than the
//! limit: these tests have a process of their own, and few connections when they start a gateway.

mod common;

use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// The smallest limit that the terms promise, and the places for clients that come of it.
const LIMIT: usize = 256;
const PLACES: usize = 102;
/// As many as a listener's line takes at least.
const CALLERS: usize = 120;

/// Guards against more descriptors than the limit while operators' callers come all at once: each that is too
/// many makes way before the next one is let in, and one that says what it wants is heard among them.
#[test]
fn callers_at_the_door_that_come_at_once_take_no_more_than_their_part() {
    let _alone = exclusive_test_lock();
    let backends: Vec<_> = (0..60).map(|_| FakeServer::start(|_| Reaction::Silence)).collect();
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    assert!(gateway.descriptor_slots() <= LIMIT, "the measure tells nothing");
    discovery.wait_until_list_received();
    // Places of clients are full, and backends have work that lasts.
    let mut held: Vec<_> = (0..PLACES).map(|_| connect(gateway.address)).collect();
    for client in &mut held[..40] {
        client.get_mut().write_all(request("consulta", 7, 3000).as_bytes()).expect("a request");
    }
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.open_descriptors() < PLACES + 40 {
        assert!(Instant::now() < until, "{} descriptors held", gateway.open_descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    // All of them stand in the line when the process goes on.
    gateway.signal("-STOP");
    let mut caller = connect(gateway.ops);
    caller.get_mut().write_all(b"GET /ready HTTP/1.1\r\nhost: t\r\n\r\n").expect("a call");
    let callers: Vec<_> = (0..CALLERS).map(|_| connect(gateway.ops)).collect();
    gateway.signal("-CONT");
    assert_eq!(read_message(&mut caller, 0).map(|a| a.status()), Some(200));
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
    let slots = gateway.descriptor_slots();
    assert!(slots <= LIMIT, "{slots} slots");
    drop((held, callers));
}
