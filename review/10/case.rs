//! A drain by an operator while a long answer is on its way: the connection is used again afterwards.

use crate::common::*;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The long answer: 64 kB a second, in pieces.
const PIECE: usize = 16 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(250);
/// How long the answer takes in all, and when the drain begins, in pieces.
const PIECES: usize = 13;
/// How long the backend works on the next request.
const WORK: Duration = Duration::from_millis(2_200);

fn ask(class: &str, id: &str) -> Vec<u8> {
    let body: &[u8] = if class == "book" { b"space 12" } else { b"" };
    let time_left_ms = if class == "book" { 8000 } else { 2500 };
    Ask { class, id, plan: "pro", customer: 77, units: 1, spread: 1, first: 0, time_left_ms, body }.bytes()
}

/// Asks `GET /healthz` as the front does, every 0.1 s; returns when the first no came.
fn watch_health(case: &Case, gateway: &Gateway) -> thread::JoinHandle<f64> {
    let (record, address) = (case.record.clone(), gateway.listen);
    thread::spawn(move || {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let health = Connection::open(address).and_then(|mut connection| {
                connection
                    .send(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
                connection.read_answer(Duration::from_secs(1))
            });
            if !health.is_ok_and(|answer| answer.status == 200) {
                record.line("the first no to GET /healthz");
                return record.now();
            }
            thread::sleep(Duration::from_millis(100));
        }
        f64::INFINITY
    })
}

pub fn run(case: &Case) {
    let backends = Backends::start(
        &case.record,
        3,
        Arc::new(|arrived, _, stream| {
            if arrived.id == "long" {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PIECES * PIECE);
                stream.write_all(head.as_bytes())?;
                for _ in 0..PIECES {
                    stream.write_all(&[b'a'; PIECE])?;
                    thread::sleep(PIECE_PAUSE);
                }
                return Ok(());
            }
            if arrived.id == "next" {
                thread::sleep(WORK);
            }
            write_answer(stream, "200 OK", "Billed-Units: 1\r\n", b"done\n")
        }),
    );
    let discovery = Discovery::of_backends(&backends);
    let counter = start_counter();
    let tariffs = quota_plan("pro", 200.0, 1000.0);
    let limits = r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#;
    let gateway = Gateway::new(case, 0, false, &settings(0, 3, &tariffs), limits, &discovery, counter);
    let process = {
        let gateway = &gateway;
        gateway.start(case, "n0")
    };
    process.wait_until_ready(case);
    thread::sleep(Duration::from_millis(500));
    let mut connection = Connection::open(gateway.listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
    drop(connection.send(&ask("search", "long")));
    case.record.line("the client has asked for the long answer");
    // The answer is on its way when the drain begins, and ends between 2 and 3 s later.
    thread::sleep(Duration::from_millis(700));
    let health = case.trouble.then(|| watch_health(case, &gateway));
    let called_at = case.record.now();
    if case.trouble {
        let status = process.operate("PUT", "/drain");
        case.record.line(&format!("PUT /drain: {status}"));
        if status != 200 {
            cannot_run("the drain could not be begun");
        }
    }
    let long = connection.read_answer(Duration::from_secs(3));
    let long = long.unwrap_or_else(|e| cannot_run(&format!("the long answer: {e}")));
    case.record.line(&format!("the long answer is whole: {} bytes, status {}", long.body.len(), long.status));
    // The client keeps its connection and uses it again at once.
    let sent = if long.closes {
        Err(std::io::ErrorKind::NotConnected.into())
    } else {
        connection.send(&ask("book", "next"))
    };
    let sent_at = case.record.now();
    case.record.line(&format!("the next request on the same connection: {sent:?}"));
    let mut broken = Vec::new();
    let first_no = health.map_or(f64::INFINITY, |health| health.join().unwrap_or(f64::INFINITY));
    if case.trouble && first_no.is_infinite() {
        cannot_run("there was no no to GET /healthz");
    }
    // At 4 s, and 50 ms, counted from the later of the call and the first no.
    let check_at = first_no.max(called_at) + 4.05;
    if case.trouble {
        thread::sleep(Duration::from_secs_f64((check_at - case.record.now()).max(0.0)));
        let held = sent.is_ok() && !connection.is_closed();
        let mut byte = [0];
        drop(connection.stream.set_nonblocking(true));
        let unanswered = connection.stream.peek(&mut byte).is_err();
        drop(connection.stream.set_nonblocking(false));
        let arrived = backends.arrivals().into_iter().find(|arrival| arrival.id == "next");
        case.record.line(&format!(
            "4.05 s after the first no: connection open {held}, request unanswered {unanswered}, sent on {:?}",
            arrived.map(|a| a.at)
        ));
        let age = first_no.min(called_at) + 4.0 - sent_at;
        if held && unanswered && age < 2.0 {
            broken.push(format!(
                "4 s after the drain began the client's connection is held with a request that came {:.2} s into the drain",
                sent_at - called_at
            ));
        }
    }
    if sent.is_ok() {
        let next = connection.read_answer(Duration::from_secs(6));
        case.record.line(&format!(
            "the next request's answer: {:?}",
            next.map(|answer| (answer.status, answer.closes))
        ));
    }
    drop(process);
    case.finish(&broken);
}
