//! The most descriptors that a gateway holds at any moment, on loopback sockets. As in `descriptor_peak`, and for the
//! same reason, this test has a process of its own.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The smallest limit that the terms promise, and the places for clients that come of it.
const LIMIT: usize = 256;
const PLACES: usize = 102;
/// Requests that are let in at once at least, of as many as there are places.
const MANY: usize = 80;

/// Guards against more descriptors than the limit where there are many backends: connections to them make way for new
/// ones, all at once, while clients fill their places and bodies are on their way.
#[test]
fn connections_to_many_backends_that_make_way_at_once_take_no_more_than_their_part() {
    let held: Arc<(Mutex<bool>, Condvar)> = Arc::default();
    let start = || {
        let held = held.clone();
        FakeServer::start(move |_| {
            let open = held.0.lock().expect("unpoisoned");
            drop(held.1.wait_timeout_while(open, TEST_TIMEOUT, |open| !*open).expect("unpoisoned"));
            ok("x")
        })
    };
    let backends: Vec<_> = (0..60).map(|_| start()).collect();
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    assert!(gateway.descriptor_slots() <= LIMIT, "the measure tells nothing");
    discovery.wait_until_list_received();
    // As many requests at once leave as many connections idle.
    let mut clients: Vec<_> = (0..PLACES).map(|_| connect(gateway.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.get_mut().write_all(request("consulta", n as u64, 3000).as_bytes()).expect("a request");
    }
    let made = || backends.iter().map(|b| b.connection_count.load(Ordering::SeqCst)).sum::<usize>();
    let until = Instant::now() + TEST_TIMEOUT;
    while made() < MANY {
        assert!(Instant::now() < until, "{} connections", made());
        std::thread::sleep(Duration::from_millis(5));
    }
    *held.0.lock().expect("unpoisoned") = true;
    held.1.notify_all();
    clients.iter_mut().for_each(|c| drop(read_message(c, 0).expect("an answer")));
    // What can't be sent twice goes over new connections alone; idle ones make way.
    let idle = made();
    let long = "content-length: 200000\r\n\r\n".to_owned() + &"y".repeat(100_000);
    gateway.signal("-STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        let text = request("orden-nueva", n as u64, 4000).replace("content-length: 4\r\n\r\n{42}", &long);
        client.get_mut().write_all(text.as_bytes()).expect("half a body");
    }
    gateway.signal("-CONT");
    let until = Instant::now() + TEST_TIMEOUT;
    while made() < idle + MANY {
        assert!(Instant::now() < until, "{} new connections", made() - idle);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
    let slots = gateway.descriptor_slots();
    assert!(slots <= LIMIT, "{slots} slots");
    let rest = "y".repeat(100_000);
    clients.iter_mut().for_each(|c| drop(c.get_mut().write_all(rest.as_bytes())));
    let served = clients.iter_mut().filter_map(|c| read_message(c, 0)).filter(|a| a.status() == 200).count();
    assert!(served >= MANY, "{served} served");
}
