//! Peers that end a chunked body wrongly and stay: they keep every connection of the gateway for as long as they like.

use crate::common::*;
use std::io::Read;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of bad peers. The gateway has 256 descriptors.
const PEERS: usize = 120;
/// How long each bad peer stays, at most.
const STAY: Duration = Duration::from_secs(24);
/// By when each is owed an error or a close: 3 s, and 50 ms.
const OWED: Duration = Duration::from_millis(3_050);
/// The proper requests, one after another, each on a new connection.
const REQUESTS: usize = 8;

/// How one bad peer fared: after how long it got an answer or a close, or `None` if it got neither while it stayed.
fn bad_peer(address: std::net::SocketAddr, n: usize) -> Option<Duration> {
    let began = Instant::now();
    let head = format!(
        "POST /book/{:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: bad-{n}\r\nPlan: pro\r\nX-Time-Left-Ms: 8000\r\n\
         Transfer-Encoding: chunked\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n",
        9_000 + n
    );
    let mut connection = Connection::open(address).ok()?;
    // The last line ends without a carriage return: this is no proper end of a chunked body.
    drop(connection.send(format!("{head}8\r\nspace 12\r\n0\r\n\n").as_bytes()));
    drop(connection.stream.set_read_timeout(Some(STAY)));
    let mut byte = [0];
    match connection.stream.read(&mut byte) {
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => None,
        _ => Some(began.elapsed()),
    }
}

/// Sends a proper request on a new connection, and once more on another one if the first is closed over it unread, as
/// clients do. Returns the status.
fn proper(case: &Case, address: std::net::SocketAddr, n: usize) -> Option<u16> {
    let id = format!("proper-{n}");
    let ask = Ask {
        class: "search",
        id: &id,
        plan: "pro",
        customer: 50 + n as u64,
        units: 1,
        spread: 1,
        first: 0,
        time_left_ms: 2500,
        body: b"",
    };
    let began = Instant::now();
    for attempt in 1..=2 {
        let answer = Connection::open(address).and_then(|mut connection| {
            connection.send(&ask.bytes())?;
            // Up to half a second after its time an answer only earns nothing.
            connection.read_answer(
                Duration::from_millis(3_050).saturating_sub(began.elapsed()).max(Duration::from_millis(1)),
            )
        });
        let text = answer.as_ref().map_or_else(|e| e.to_string(), |answer| answer.status.to_string());
        case.record.line(&format!(
            "{id}, connection {attempt}: {text} after {:.2} s",
            began.elapsed().as_secs_f64()
        ));
        if let Ok(answer) = answer {
            return Some(answer.status);
        }
    }
    None
}

pub fn run(case: &Case) {
    let backends = Backends::start(
        &case.record,
        4,
        Arc::new(|_, _, stream| write_answer(stream, "200 OK", "Billed-Units: 1\r\n", b"found\n")),
    );
    let discovery = Discovery::of_backends(&backends);
    let counter = start_counter();
    let tariffs = quota_plan("pro", 200.0, 1000.0);
    let limits = r#"{"cores": 1.0, "memory_mb": 64, "sockets": 256}"#;
    let gateway = Gateway::new(case, 0, false, &settings(0, 3, &tariffs), limits, &discovery, counter);
    let mut process = gateway.start(case, "n0");
    process.wait_until_ready(case);
    thread::sleep(Duration::from_millis(500));
    let (address, ended) = (gateway.listen, Arc::<Mutex<Vec<Option<Duration>>>>::default());
    let peers: Vec<_> = (0..if case.trouble { PEERS } else { 0 })
        .map(|n| {
            let ended = ended.clone();
            thread::sleep(Duration::from_millis(8));
            thread::spawn(move || {
                let fared = bad_peer(address, n);
                lock(&ended).push(fared);
            })
        })
        .collect();
    case.record.line(&format!("{} bad peers have connected", peers.len()));
    // By then each of them is owed its error or its close.
    thread::sleep(OWED);
    let mut unanswered = 0;
    for n in 0..REQUESTS {
        unanswered += usize::from(proper(case, address, n).is_none());
        thread::sleep(Duration::from_millis(500));
    }
    let ready = process.operate("GET", "/ready");
    case.record.line(&format!(
        "the operators' address says {ready} to GET /ready; exited: {}",
        process.has_exited()
    ));
    peers.into_iter().for_each(|peer| drop(peer.join()));
    let ended = lock(&ended).clone();
    let ignored = ended.iter().filter(|fared| fared.is_none_or(|after| after > OWED)).count();
    case.record
        .line(&format!("{ignored} of {} bad peers got neither an error nor a close in time", ended.len()));
    case.record.line(&format!("{unanswered} of {REQUESTS} proper requests were never answered"));
    let arrivals = backends.arrivals();
    let from_peers = arrivals.iter().filter(|arrival| arrival.id.starts_with("bad-")).count();
    case.record
        .line(&format!("{} requests came to backends, {from_peers} of them from bad peers", arrivals.len()));
    drop(process);
    let mut broken = Vec::new();
    if unanswered > 0 {
        broken.push(format!(
            "{unanswered} of {REQUESTS} proper requests were never answered, from {:.2} s after the last bad peer on; {ignored} bad peers still held their connections",
            OWED.as_secs_f64()
        ));
    }
    case.finish(&broken);
}
