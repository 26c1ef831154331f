//! The hard ceiling of a customer whose clients send long bodies slowly, and go on asking meanwhile.

use crate::common::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The ceiling: units a second, units at the most, and how far below 0 it may fall (the largest request).
const RATE: f64 = 10.0;
const BURST: f64 = 40.0;
const SLACK: f64 = 6.0;
const CUSTOMER: u64 = 0x7a;
const GATEWAYS: usize = 2;
/// The long bodies at each gateway: 256 KiB at 64 kB a second.
const BODIES: usize = 20;
const BODY: usize = 256 * 1024;
const PIECE: usize = 8 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(128);
/// The short requests at each gateway, and when they come after the long ones began.
const SHORT: usize = 18;
const SHORT_AFTER: Duration = Duration::from_millis(3_500);

/// Sends one request with a body of `BODY` bytes, or without one, and returns the status.
fn ask(address: SocketAddr, id: &str, body: &[u8], pause: Duration) -> u16 {
    let class = if body.is_empty() { "search" } else { "book" };
    let time_left_ms = if body.is_empty() { 2500 } else { 8000 };
    let ask = Ask {
        class,
        id,
        plan: "capped",
        customer: CUSTOMER,
        units: 1,
        spread: GATEWAYS as u32,
        first: 0,
        time_left_ms,
        body,
    };
    let bytes = ask.bytes();
    let (head, body) = bytes.split_at(bytes.len() - body.len());
    let exchange = || -> std::io::Result<u16> {
        let mut connection = Connection::open(address)?;
        connection.send(head)?;
        for piece in body.chunks(PIECE) {
            connection.send(piece)?;
            thread::sleep(pause);
        }
        Ok(connection.read_answer(Duration::from_secs(9))?.status)
    };
    exchange().unwrap_or(0)
}

pub fn run(case: &Case) {
    let backends = Backends::start(
        &case.record,
        10,
        Arc::new(|_, _, stream| {
            thread::sleep(Duration::from_millis(4));
            write_answer(stream, "200 OK", "Billed-Units: 1\r\n", b"done\n")
        }),
    );
    let discovery = Discovery::of_backends(&backends);
    let counter = start_counter();
    let capped = format!(
        r#"{{"at_once": 0, "beyond_costs": 0.5, "ceiling_burst": {BURST:?}, "hard_rate": {RATE:?}, "hard_slack": {SLACK:?}, "name": "capped", "over_worth": 0.0, "peak_units": 0.0, "price": 1.0, "quota_rate": 0.0}}"#
    );
    let limits = r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#;
    // The store is full from here on.
    let full_since = case.record.now();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| Gateway::new(case, i, false, &settings(i, GATEWAYS, &capped), limits, &discovery, counter))
        .collect();
    let processes: Vec<Process> =
        gateways.iter().enumerate().map(|(i, gateway)| gateway.start(case, &format!("n{i}"))).collect();
    processes.iter().for_each(|process| process.wait_until_ready(case));
    // Each gateway saves up its share of the burst, at its share of the rate: in 4 s.
    thread::sleep(Duration::from_secs(5));
    let pause = if case.trouble { PIECE_PAUSE } else { Duration::ZERO };
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.listen).collect();
    let body = vec![b'x'; BODY];
    case.record.line(&format!(
        "{BODIES} long bodies begin at each gateway, with {} ms between pieces",
        pause.as_millis()
    ));
    let statuses = thread::scope(|scope| {
        let (mut clients, body) = (Vec::new(), &body);
        for n in 0..BODIES {
            for (i, address) in addresses.iter().copied().enumerate() {
                clients.push(scope.spawn(move || ask(address, &format!("long-{i}-{n}"), body, pause)));
            }
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(SHORT_AFTER);
        case.record.line(&format!("{SHORT} short requests at each gateway"));
        for n in 0..SHORT {
            for (i, address) in addresses.iter().copied().enumerate() {
                clients
                    .push(scope.spawn(move || ask(address, &format!("short-{i}-{n}"), b"", Duration::ZERO)));
            }
            thread::sleep(Duration::from_millis(5));
        }
        clients.into_iter().map(|client| client.join().unwrap_or(0)).collect::<Vec<u16>>()
    });
    let count = |status: u16| statuses.iter().filter(|s| **s == status).count();
    case.record.line(&format!(
        "{} requests: {} served, {} refused with 429",
        statuses.len(),
        count(200),
        count(429)
    ));
    drop(processes);

    // The store, as the rule has it: the first attempt of each request takes its units when it has come whole.
    let (mut level, mut at, mut lowest, mut seen) = (BURST, full_since, BURST, BTreeSet::new());
    let mut arrivals = backends.arrivals();
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for arrival in &arrivals {
        if !seen.insert(arrival.id.clone()) {
            continue;
        }
        level = (level + RATE * (arrival.at - at)).min(BURST) - 1.0;
        at = arrival.at;
        lowest = lowest.min(level);
        case.record.line(&format!(
            "at {:.3} {} at backend {}: store {level:.2}",
            arrival.at, arrival.id, arrival.backend
        ));
    }
    case.record
        .line(&format!("{} requests sent on, store at least {lowest:.2}, allowed -{SLACK}", seen.len()));
    let mut broken = Vec::new();
    // Every time limit is 50 ms longer: the store gets that much more.
    if lowest < -SLACK - RATE * 0.05 {
        broken.push(format!("the customer's ceiling fell to {lowest:.2}; it may not fall below -{SLACK}"));
    }
    case.finish(&broken);
}
