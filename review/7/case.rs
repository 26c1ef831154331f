//! The hard ceiling of a customer, over an upgrade of one of its two gateways.

use crate::common::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const RATE: f64 = 4.0;
const BURST: f64 = 40.0;
/// A tenth of the burst.
const SLACK: f64 = 4.0;
const CUSTOMER: u64 = 0x7a;
/// The connections that the front keeps to each gateway, and the requests of the customer that come over them in a row.
const KEPT: usize = 30;

fn ask(id: &str, plan: &str, customer: u64) -> Vec<u8> {
    Ask { class: "search", id, plan, customer, units: 1, spread: 2, first: 0, time_left_ms: 2500, body: b"" }
        .bytes()
}

/// Sends one request of the customer over each connection, 5 ms apart, and reads the answers.
fn burst(case: &Case, name: &str, connections: &mut [Connection]) {
    for (n, connection) in connections.iter_mut().enumerate() {
        drop(connection.send(&ask(&format!("{name}-{n}"), "capped", CUSTOMER)));
        thread::sleep(Duration::from_millis(5));
    }
    let mut statuses = Vec::new();
    for connection in connections.iter_mut() {
        statuses.push(connection.read_answer(Duration::from_secs(3)).map_or(0, |answer| answer.status));
    }
    let served = statuses.iter().filter(|s| **s == 200).count();
    case.record
        .line(&format!("{name}: {} requests of the customer, {served} served; {statuses:?}", statuses.len()));
}

/// Opens the front's connections, and sends a request of another customer over each.
fn open_kept(case: &Case, gateway: &Gateway, name: &str) -> Vec<Connection> {
    let mut connections = Vec::new();
    for n in 0..KEPT {
        let mut connection = Connection::open(gateway.listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
        drop(connection.send(&ask(&format!("open-{name}-{n}"), "plain", 500 + n as u64)));
        let answer = connection.read_answer(Duration::from_secs(3));
        // The customer, too, has come to each of its gateways before.
        if n == 0 {
            drop(connection.send(&ask(&format!("early-{name}"), "capped", CUSTOMER)));
            drop(connection.read_answer(Duration::from_secs(3)));
        }
        if !answer.as_ref().is_ok_and(|answer| answer.status == 200 && !answer.closes) {
            cannot_run(&format!("a request before the upgrade got {answer:?}"));
        }
        connections.push(connection);
    }
    case.record.line(&format!("{KEPT} connections to {} are open", gateway.name));
    connections
}

pub fn run(case: &Case) {
    let backends = Backends::start(
        &case.record,
        10,
        Arc::new(|_, _, stream| {
            thread::sleep(Duration::from_millis(4));
            write_answer(stream, "200 OK", "Billed-Units: 1\r\n", b"found\n")
        }),
    );
    let discovery = Discovery::of_backends(&backends);
    let counter = start_counter();
    let capped = format!(
        r#"{{"at_once": 0, "beyond_costs": 0.5, "ceiling_burst": {BURST:?}, "hard_rate": {RATE:?}, "hard_slack": {SLACK:?}, "name": "capped", "over_worth": 0.0, "peak_units": 0.0, "price": 1.0, "quota_rate": 0.0}}"#
    );
    let tariffs = format!("{capped}, {}", quota_plan("plain", 50.0, 200.0));
    let limits = r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#;
    let gateway =
        |index| Gateway::new(case, index, true, &settings(index, 2, &tariffs), limits, &discovery, counter);
    let (first, second) = (gateway(0), gateway(1));
    // The store is full from here on.
    let full_since = case.record.now();
    let old = first.start(case, "n0-old");
    let other = second.start(case, "n1");
    old.wait_until_ready(case);
    other.wait_until_ready(case);
    let load = Load::start(first.listen, "plain", 8, Duration::from_millis(100));
    // Each gateway saves up its share of the burst, at its share of the rate: in 10 s.
    thread::sleep(Duration::from_secs(11));
    let mut to_old = open_kept(case, &first, "n0");
    let mut to_other = open_kept(case, &second, "n1");
    let (mut new, mut ending) = (None, None);
    if case.trouble {
        let process = first.start(case, "n0-new");
        process.wait_until_ready(case);
        new = Some(process);
        ending = Some(terminate(case, old));
    } else {
        new.replace(old);
    }
    // The customer presses: over the connections that the front has, and over new ones.
    burst(case, "kept", &mut to_old);
    let mut fresh: Vec<Connection> = (0..KEPT).filter_map(|_| Connection::open(first.listen).ok()).collect();
    burst(case, "fresh", &mut fresh);
    burst(case, "other", &mut to_other);
    let (asked, served) = load.stop();
    case.record.line(&format!("the other customers asked {asked} times, {served} were served"));
    ending.into_iter().for_each(|ending| drop(ending.join()));
    drop((new, other));

    // The store, as the rule has it: the first attempt of each request takes its units.
    let (mut level, mut at, mut lowest, mut seen) = (BURST, full_since, BURST, BTreeSet::new());
    let mine = format!("/search/{CUSTOMER:016x}");
    let mut arrivals = backends.arrivals();
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for arrival in arrivals.iter().filter(|arrival| arrival.target == mine) {
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
    case.record.line(&format!(
        "{} requests of the customer sent on, store at least {lowest:.2}, allowed -{SLACK}",
        seen.len()
    ));
    let mut broken = Vec::new();
    // Every time limit is 50 ms longer: the store gets that much more.
    if lowest < -SLACK - RATE * 0.05 {
        broken.push(format!("the customer's ceiling fell to {lowest:.2}; it may not fall below -{SLACK}"));
    }
    case.finish(&broken);
}
