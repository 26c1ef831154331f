//! The largest number of descriptors that a gateway has open at any moment, on loopback sockets. This test has a
//! process of its own, for the reason given in `descriptor_peak`.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The smallest descriptor limit that the platform guarantees to a gateway.
const DESCRIPTOR_LIMIT: usize = 256;
/// The number of client connections that the gateway accepts with that limit.
const MAX_CLIENTS: usize = 102;
/// The number of requests that are admitted at once, of `MAX_CLIENTS`, at least.
const MIN_ADMITTED: usize = 80;

/// Guards against exceeding the descriptor limit with many backends: idle connections to them are closed to make room
/// for new ones, all at once, while all client connections are in use and bodies are being sent.
#[test]
fn connections_to_many_backends_that_make_way_at_once_take_no_more_than_their_part() {
    let released: Arc<(Mutex<bool>, Condvar)> = Arc::default();
    let start_backend = || {
        let released = released.clone();
        FakeServer::start(move |_| {
            let is_released = released.0.lock().expect("unpoisoned");
            drop(
                released
                    .1
                    .wait_timeout_while(is_released, TEST_TIMEOUT, |is_released| !*is_released)
                    .expect("unpoisoned"),
            );
            ok("x")
        })
    };
    let backends: Vec<_> = (0..60).map(|_| start_backend()).collect();
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    assert!(
        gateway.descriptor_slots() <= DESCRIPTOR_LIMIT,
        "the descriptor table is already larger than the limit"
    );
    discovery.wait_until_list_received();
    // Requests at the same time leave as many idle connections behind.
    let mut clients: Vec<_> = (0..MAX_CLIENTS).map(|_| connect(gateway.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.get_mut().write_all(request("consulta", n as u64, 3000).as_bytes()).expect("a request");
    }
    let connections_made =
        || backends.iter().map(|b| b.connection_count.load(Ordering::SeqCst)).sum::<usize>();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while connections_made() < MIN_ADMITTED {
        assert!(Instant::now() < deadline, "{} connections", connections_made());
        std::thread::sleep(Duration::from_millis(5));
    }
    *released.0.lock().expect("unpoisoned") = true;
    released.1.notify_all();
    clients.iter_mut().for_each(|c| drop(read_message(c, 0).expect("an answer")));
    // Requests that can't be sent twice use new connections only; idle ones are closed to make room.
    let earlier = connections_made();
    let long_body = "content-length: 200000\r\n\r\n".to_owned() + &"y".repeat(100_000);
    gateway.signal("-STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        let text =
            request("orden-nueva", n as u64, 4000).replace("content-length: 4\r\n\r\n{42}", &long_body);
        client.get_mut().write_all(text.as_bytes()).expect("half a body");
    }
    gateway.signal("-CONT");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while connections_made() < earlier + MIN_ADMITTED {
        assert!(Instant::now() < deadline, "{} new connections", connections_made() - earlier);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
    let slots = gateway.descriptor_slots();
    assert!(slots <= DESCRIPTOR_LIMIT, "{slots} slots");
    let remaining_body = "y".repeat(100_000);
    clients.iter_mut().for_each(|c| drop(c.get_mut().write_all(remaining_body.as_bytes())));
    let served = clients.iter_mut().filter_map(|c| read_message(c, 0)).filter(|a| a.status() == 200).count();
    assert!(served >= MIN_ADMITTED, "{served} served");
}
