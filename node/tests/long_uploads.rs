//! Long bodies on their way to a backend, and answers that come before they are whole.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// What clients are told to have from the end of the body, in milliseconds.
const WAIT: u64 = 700;

fn scene(backend: SocketAddr) -> Fixture {
    Fixture::new(&GatewayOptions::default(), vec![entry("s-0", backend, "SERVING")], fake_counter())
}

/// A backend whose connections are served by a function, one after the other; tells how many there were.
fn raw_backend(serve: impl Fn(BufReader<TcpStream>) + Send + 'static) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tell, connections) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = tell.send(());
            serve(BufReader::new(stream.expect("a connection")));
        }
    });
    (address, connections)
}

fn read_head(from: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    while from.read_line(&mut line).is_ok_and(|n| n > 2) {
        line.clear();
    }
}

fn write(to: &BufReader<TcpStream>, text: &str) {
    let _ = to.get_ref().write_all(text.as_bytes());
}

/// The head of a request whose body is so long; without a length, it comes in chunks.
fn head(length: Option<usize>) -> String {
    let field = match length {
        Some(length) => format!("content-length: {length}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    request("orden-nueva", 7, WAIT).replace("content-length: 4\r\n\r\n{42}", &format!("{field}\r\n\r\n"))
}

fn piece(chunked: bool, bytes: usize) -> String {
    let data = "y".repeat(bytes);
    if chunked {
        format!("{bytes:x}\r\n{data}\r\n")
    } else {
        data
    }
}

/// Guards against bodies cut off for the pace and the rests of a client that keeps to 64 kB/s, whatever the size,
/// the pieces and the framing.
#[test]
fn a_client_that_rests_within_its_body() {
    // Milliseconds before each piece, how many pieces, and how long each.
    let scripts: [&[(u64, usize, usize)]; 4] = [
        &[(0, 1, 65_535)],
        &[(0, 1, 60_000), (1_900, 1, 5_537)],
        &[(0, 1, 200_000), (1_900, 2, 1), (0, 1, 800_000)],
        &[(0, 50, 1), (250, 12, 16_000)],
    ];
    let backend = FakeServer::start(|seen| ok(&seen.body.len().to_string()));
    let scene = scene(backend.address);
    std::thread::scope(|scope| {
        for (script, chunked) in scripts.iter().flat_map(|s| [(s, false), (s, true)]) {
            let gateway = &scene.gateway;
            scope.spawn(move || {
                let length: usize = script.iter().map(|(_, pieces, bytes)| pieces * bytes).sum();
                let mut client = gateway.client();
                client.send(&head((!chunked).then_some(length)));
                for (after, pieces, bytes) in *script {
                    for _ in 0..*pieces {
                        std::thread::sleep(Duration::from_millis(*after));
                        client.send(&piece(chunked, *bytes));
                    }
                }
                if chunked {
                    client.send("0\r\n\r\n");
                }
                let answer = client.read_answer().expect("an answer");
                let seen = (answer.status(), String::from_utf8(answer.body).expect("a number"));
                assert_eq!(seen, (200, length.to_string()), "{script:?} {chunked}: {}", gateway.log());
            });
        }
    });
}

/// Guards against a client blamed for what a backend does not read.
#[test]
fn a_backend_that_reads_slowly() {
    let length = 24 << 20;
    let (address, _connections) = raw_backend(move |mut from| {
        read_head(&mut from);
        std::thread::sleep(Duration::from_millis(3_500));
        let mut left = vec![0; length];
        if from.read_exact(&mut left).is_ok() {
            write(&from, &answer("200 OK", "", "x"));
        }
    });
    let scene = scene(address);
    let mut client = scene.gateway.client();
    client.send(&head(Some(length)));
    client.send(&"y".repeat(length));
    let answer = client.read_answer().expect("an answer");
    assert_eq!(answer.status(), 200, "{}", scene.gateway.log());
}

/// A backend that answers each request once its head has come, and then reads the body.
fn early(text: String) -> (SocketAddr, Receiver<()>) {
    raw_backend(move |mut from| {
        read_head(&mut from);
        write(&from, &text);
        let _ = std::io::copy(&mut from, &mut std::io::sink());
    })
}

const LENGTH: usize = 400_000;

/// Guards against a connection that is used again while the last request is still being written to it: the next
/// one would wait behind that.
#[test]
fn an_answer_that_comes_before_the_body_is_whole() {
    let text = "z".repeat(200_000);
    let first = AtomicBool::new(true);
    let (address, connections) = raw_backend(move |mut from| {
        let first = first.swap(false, Ordering::SeqCst);
        let text = text.clone();
        std::thread::spawn(move || {
            read_head(&mut from);
            write(&from, &answer("200 OK", "", &text));
            // The first request's body is never read, the other requests have none.
            if first {
                std::thread::sleep(TEST_TIMEOUT);
            }
            while from.fill_buf().is_ok_and(|rest| !rest.is_empty()) {
                read_head(&mut from);
                write(&from, &answer("200 OK", "", "x"));
            }
        });
    });
    let scene = scene(address);
    let mut client = scene.gateway.client();
    client.send(&head(Some(LENGTH)));
    client.send(&"y".repeat(100_000));
    let first = client.read_answer().expect("an answer");
    assert_eq!((first.status(), first.body.len()), (200, 200_000), "{}", scene.gateway.log());
    // The client goes on sending; the next request, on any connection, does not wait for that.
    let next = scene.gateway.client().ask(&request("consulta", 8, 2000));
    assert_eq!(next.status(), 200);
    assert_eq!(connections.iter().take(2).count(), 2);
    client.send(&"y".repeat(LENGTH - 100_000));
    assert_eq!(client.ask(&request("consulta", 9, 2000)).status(), 200);
}

/// A client that has sent a part of its body, and has the beginning of an answer that never ends.
fn half_sent_and_half_answered() -> (Fixture, Client) {
    let (address, _connections) =
        early("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned());
    let scene = scene(address);
    let mut client = scene.gateway.client();
    client.send(&head(Some(LENGTH)));
    client.send(&"y".repeat(100_000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    (scene, client)
}

/// Guards against an answer that began before the body was whole and never ends: its time counts from the body's
/// end, as that of any other one.
#[test]
fn an_early_answer_that_never_ends() {
    let (scene, mut client) = half_sent_and_half_answered();
    let whole = Instant::now();
    client.send(&"y".repeat(LENGTH - 100_000));
    client.read_to_end();
    let took = whole.elapsed();
    assert!(took < Duration::from_millis(WAIT + 500), "{took:?} {}", scene.gateway.log());
    assert_eq!(scene.gateway.metrics()["answers_interrupted"]["late"], 1);
}

/// Guards against a client that stops sending, holding its place behind an answer that came early.
#[test]
fn an_early_answer_whose_client_stops_sending() {
    let (scene, mut client) = half_sent_and_half_answered();
    let began = Instant::now();
    client.read_to_end();
    let (took, log) = (began.elapsed(), scene.gateway.log());
    assert!(took > Duration::from_millis(2_000) && took < Duration::from_millis(5_500), "{took:?} {log}");
}

/// Guards against an answer cut off as its client stops sending the body that it answers, and reads on.
#[test]
fn an_early_answer_whose_client_only_reads_on() {
    let (address, _connections) = raw_backend(|mut from| {
        read_head(&mut from);
        write(&from, "HTTP/1.1 200 OK\r\ncontent-length: 130000\r\n\r\n");
        for _ in 0..13 {
            write(&from, &"z".repeat(10_000));
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    let scene = scene(address);
    let mut client = scene.gateway.client();
    client.send(&head(Some(LENGTH)));
    client.send(&"y".repeat(100_000));
    let answer = client.read_answer().map(|a| (a.status(), a.body.len()));
    assert_eq!(answer, Some((200, 130_000)), "{}", scene.gateway.log());
}

/// Guards against a backend that is told to have until the longest upload would be over: an attempt that begins before
/// its request's body is whole tells what is left after the last byte.
#[test]
fn a_backend_is_told_what_the_client_waits_after_its_body() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(backend.address);
    let mut client = scene.gateway.client();
    client.send(&head(Some(LENGTH)));
    assert_eq!(client.ask(&"y".repeat(LENGTH)).status(), 200);
    let told = backend.next_request().header("x-time-left-ms").and_then(|v| v.parse::<u64>().ok());
    assert!(told.is_some_and(|ms| ms <= WAIT), "{told:?}");
}
