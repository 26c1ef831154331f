//! A long answer in chunks, given at 60 KiB a second, whose first bytes come in time.

use crate::common::*;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long the clients wait, and how long the backend works before it answers.
const TIME_LEFT_MS: u32 = 4_000;
const WORK: Duration = Duration::from_millis(3_500);
/// The answer: pieces of 60 KiB, one a second.
const PIECE: usize = 60 * 1024;
const PIECES: usize = 4;
const PIECE_PAUSE: Duration = Duration::from_secs(1);
const REQUESTS: u64 = 4;

/// Asks once and reads the answer; returns what is broken.
fn ask(case: &Case, address: std::net::SocketAddr, n: u64, expected: &[u8]) -> Option<String> {
    let (id, record) = (format!("book-{n}"), &case.record);
    let ask = Ask {
        class: "book",
        id: &id,
        plan: "pro",
        customer: 40 + n,
        units: 1,
        spread: 1,
        first: 0,
        time_left_ms: TIME_LEFT_MS,
        body: b"space 12",
    };
    let mut connection = Connection::open(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    drop(connection.send(&ask.bytes()));
    record.line(&format!("client: {id} is asked"));
    match connection.read_answer(Duration::from_secs(8)) {
        Ok(answer) if answer.status == 200 && answer.body == expected => {
            record.line(&format!("client: {id} is whole, {} bytes", answer.body.len()));
            None
        }
        Ok(answer) => {
            record.line(&format!("client: {id} got {} with {} bytes", answer.status, answer.body.len()));
            (answer.status == 200).then(|| format!("{id}: a body that no backend sent"))
        }
        Err(e) => {
            record.line(&format!("client: {id} breaks off: {e}"));
            Some(format!("{id}: the answer was cut off while its backend was giving it"))
        }
    }
}

pub fn run(case: &Case) {
    let pause = if case.trouble { PIECE_PAUSE } else { Duration::ZERO };
    let record = case.record.clone();
    let backends = Backends::start(
        &case.record,
        4,
        Arc::new(move |arrived, _, stream| {
            thread::sleep(WORK);
            let mut give = || -> std::io::Result<()> {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nBilled-Units: 1\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                for n in 0..PIECES {
                    if n > 0 {
                        thread::sleep(pause);
                    }
                    let mut piece = format!("{PIECE:x}\r\n").into_bytes();
                    piece.extend_from_slice(&[b'a' + n as u8; PIECE]);
                    piece.extend_from_slice(b"\r\n");
                    stream.write_all(&piece)?;
                    record.line(&format!("backend: piece {} of {} is written", n + 1, arrived.id));
                }
                stream.write_all(b"0\r\n\r\n")
            };
            give().inspect_err(|e| {
                record.line(&format!("backend: {} is cut off by the gateway: {e}", arrived.id))
            })
        }),
    );
    let discovery = Discovery::of_backends(&backends);
    let counter = start_counter();
    let tariffs = quota_plan("pro", 200.0, 1000.0);
    let limits = r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#;
    let gateway = Gateway::new(case, 0, false, &settings(0, 3, &tariffs), limits, &discovery, counter);
    let process = gateway.start(case, "n0");
    process.wait_until_ready(case);
    thread::sleep(Duration::from_millis(500));
    let expected: Vec<u8> = (0..PIECES).flat_map(|n| [b'a' + n as u8; PIECE]).collect();
    let (address, expected) = (gateway.listen, &expected);
    let broken = thread::scope(|scope| {
        let clients: Vec<_> = (0..REQUESTS)
            .map(|n| {
                thread::sleep(Duration::from_millis(50));
                scope.spawn(move || ask(case, address, n, expected))
            })
            .collect();
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect::<Vec<_>>()
    });
    drop(process);
    case.finish(&broken);
}
