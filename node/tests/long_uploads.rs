//! Long request bodies on their way to a backend, and answers that arrive before the body is complete.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// The clients' time from the end of the body to the deadline, in milliseconds.
const CLIENT_WAIT_MS: u64 = 700;

/// Starts a gateway with one backend at this address.
fn start_fixture(backend: SocketAddr) -> Fixture {
    Fixture::new(&GatewayOptions::default(), vec![entry("s-0", backend, "SERVING")], fake_counter())
}

/// Starts a backend that serves its connections with this function, one after the other. The channel receives a message
/// for each connection.
fn raw_backend(serve: impl Fn(BufReader<TcpStream>) + Send + 'static) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (connection_sender, connections) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = connection_sender.send(());
            serve(BufReader::new(stream.expect("a connection")));
        }
    });
    (address, connections)
}

/// Reads up to the end of a request's head.
fn read_head(reader: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
        line.clear();
    }
}

/// Writes this text, ignoring errors.
fn write(stream: &BufReader<TcpStream>, text: &str) {
    let _ = stream.get_ref().write_all(text.as_bytes());
}

/// Returns the head of a request with a body of this length in bytes, or, without a length, with a chunked body.
fn head(length: Option<usize>) -> String {
    upload_head("orden-nueva", CLIENT_WAIT_MS, length)
}

/// Returns a piece of a body, as a chunk if `chunked`.
fn piece(chunked: bool, bytes: usize) -> String {
    body_piece(chunked, &"y".repeat(bytes))
}

/// Guards against cutting off the body of a client that pauses but keeps to 64 kB/s on average, whatever the size, the
/// pieces and the framing.
#[test]
fn a_client_that_rests_within_its_body() {
    // Each entry: the delay before each piece in milliseconds, the number of pieces, and the bytes of each piece.
    let scripts: [&[(u64, usize, usize)]; 4] = [
        &[(0, 1, 65_535)],
        &[(0, 1, 60_000), (1_900, 1, 5_537)],
        &[(0, 1, 200_000), (1_900, 2, 1), (0, 1, 800_000)],
        &[(0, 50, 1), (250, 12, 16_000)],
    ];
    let backend = FakeServer::start(|received| ok(&received.body.len().to_string()));
    let fixture = start_fixture(backend.address);
    std::thread::scope(|scope| {
        for (script, chunked) in scripts.iter().flat_map(|s| [(s, false), (s, true)]) {
            let gateway = &fixture.gateway;
            scope.spawn(move || {
                let length: usize = script.iter().map(|(_, pieces, bytes)| pieces * bytes).sum();
                let mut client = gateway.client();
                client.send(&head((!chunked).then_some(length)));
                for (delay_ms, pieces, bytes) in *script {
                    for _ in 0..*pieces {
                        std::thread::sleep(Duration::from_millis(*delay_ms));
                        client.send(&piece(chunked, *bytes));
                    }
                }
                if chunked {
                    client.send("0\r\n\r\n");
                }
                let answer = client.read_answer().expect("an answer");
                let received = (answer.status(), String::from_utf8(answer.body).expect("a number"));
                assert_eq!(received, (200, length.to_string()), "{script:?} {chunked}: {}", gateway.log());
            });
        }
    });
}

/// Guards against blaming the client for a stalled upload whose backend does not read.
#[test]
fn a_backend_that_reads_slowly() {
    let length = 24 << 20;
    let (address, _connections) = raw_backend(move |mut reader| {
        read_head(&mut reader);
        std::thread::sleep(Duration::from_millis(3_500));
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_ok() {
            write(&reader, &answer("200 OK", "", "x"));
        }
    });
    let fixture = start_fixture(address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(length)));
    client.send(&"y".repeat(length));
    let answer = client.read_answer().expect("an answer");
    assert_eq!(answer.status(), 200, "{}", fixture.gateway.log());
}

/// Starts a backend that answers each request once it has read the head, and then reads the body.
fn early_answering_backend(text: String) -> (SocketAddr, Receiver<()>) {
    raw_backend(move |mut reader| {
        read_head(&mut reader);
        write(&reader, &text);
        let _ = std::io::copy(&mut reader, &mut std::io::sink());
    })
}

/// The length of a body, in bytes.
const BODY_BYTES: usize = 400_000;

/// Guards against reusing a connection to which the last request is still being written: the next one would wait behind
/// it.
#[test]
fn an_answer_that_comes_before_the_body_is_whole() {
    let text = "z".repeat(200_000);
    let first = AtomicBool::new(true);
    let (address, connections) = raw_backend(move |mut reader| {
        let first = first.swap(false, Ordering::SeqCst);
        let text = text.clone();
        std::thread::spawn(move || {
            read_head(&mut reader);
            write(&reader, &answer("200 OK", "", &text));
            // The first request's body is never read; the other requests have no body.
            if first {
                std::thread::sleep(TEST_TIMEOUT);
            }
            while reader.fill_buf().is_ok_and(|rest| !rest.is_empty()) {
                read_head(&mut reader);
                write(&reader, &answer("200 OK", "", "x"));
            }
        });
    });
    let fixture = start_fixture(address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(BODY_BYTES)));
    client.send(&"y".repeat(100_000));
    let first = client.read_answer().expect("an answer");
    assert_eq!((first.status(), first.body.len()), (200, 200_000), "{}", fixture.gateway.log());
    // The client goes on sending its body; the next request, on any connection, does not wait for that.
    let next = fixture.gateway.client().ask(&request("consulta", 8, 2000));
    assert_eq!(next.status(), 200);
    assert_eq!(connections.iter().take(2).count(), 2);
    client.send(&"y".repeat(BODY_BYTES - 100_000));
    assert_eq!(client.ask(&request("consulta", 9, 2000)).status(), 200);
}

/// Returns a client whose request has been answered after the first 100,000 bytes of its body.
fn client_with_early_answer() -> (Fixture, Client) {
    let (address, _connections) = raw_backend(|mut reader| {
        std::thread::spawn(move || {
            read_head(&mut reader);
            write(&reader, &answer("200 OK", "", "x"));
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
        });
    });
    let fixture = start_fixture(address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(BODY_BYTES)));
    client.send(&"y".repeat(100_000));
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    (fixture, client)
}

/// Guards against refusing a chunked request, as if it also had a length, because it follows a body that was answered
/// before it was complete.
#[test]
fn a_chunked_request_behind_a_body_that_was_answered_early() {
    let (fixture, mut client) = client_with_early_answer();
    client.send(&"y".repeat(BODY_BYTES - 100_000));
    client.send(&head(None));
    let answer = client.ask(&(piece(true, 10) + "0\r\n\r\n"));
    assert_eq!(answer.status(), 200, "{}", fixture.gateway.log());
}

/// Guards against taking a request for one that has arrived, and so never cutting its client off, because an earlier one
/// on its connection was answered before its body had come.
#[test]
fn a_client_that_stops_in_a_body_behind_one_that_was_answered_early() {
    let (fixture, mut client) = client_with_early_answer();
    // The rest of the body comes in pieces, so that its end is seen while it is being discarded.
    for _ in 0..30 {
        client.send(&"y".repeat(10_000));
        std::thread::sleep(Duration::from_millis(10));
    }
    client.send(&head(Some(1_000)));
    client.send(&"y".repeat(500));
    let stopped_at = Instant::now();
    client.read_to_end();
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(3_500), "{elapsed:?} {}", fixture.gateway.log());
}

/// Returns a client that has sent a part of its body, and has received the beginning of an answer that never ends.
fn client_with_partial_answer() -> (Fixture, Client) {
    let (address, _connections) = early_answering_backend(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned(),
    );
    let fixture = start_fixture(address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(BODY_BYTES)));
    client.send(&"y".repeat(100_000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    (fixture, client)
}

/// Guards against an answer without end that began before the body was complete: its time limit counts from the end of
/// the body, like that of any other answer.
#[test]
fn an_early_answer_that_never_ends() {
    let (fixture, mut client) = client_with_partial_answer();
    let body_sent_at = Instant::now();
    client.send(&"y".repeat(BODY_BYTES - 100_000));
    client.read_to_end();
    let elapsed = body_sent_at.elapsed();
    assert!(elapsed < Duration::from_millis(CLIENT_WAIT_MS + 500), "{elapsed:?} {}", fixture.gateway.log());
    assert_eq!(fixture.gateway.metrics()["answers_interrupted"]["late"], 1);
}

/// Guards against a client that keeps its connection for ever by not sending the rest of its body after an early
/// answer.
#[test]
fn an_early_answer_whose_client_stops_sending() {
    let (fixture, mut client) = client_with_partial_answer();
    let began = Instant::now();
    client.read_to_end();
    let (elapsed, log) = (began.elapsed(), fixture.gateway.log());
    assert!(
        elapsed > Duration::from_millis(2_000) && elapsed < Duration::from_millis(5_500),
        "{elapsed:?} {log}"
    );
}

/// Guards against cutting off an early answer whose client stops sending the body but goes on reading.
#[test]
fn an_early_answer_whose_client_only_reads_on() {
    let (address, _connections) = raw_backend(|mut reader| {
        read_head(&mut reader);
        write(&reader, "HTTP/1.1 200 OK\r\ncontent-length: 130000\r\n\r\n");
        for _ in 0..13 {
            write(&reader, &"z".repeat(10_000));
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    let fixture = start_fixture(address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(BODY_BYTES)));
    client.send(&"y".repeat(100_000));
    let answer = client.read_answer().map(|a| (a.status(), a.body.len()));
    assert_eq!(answer, Some((200, 130_000)), "{}", fixture.gateway.log());
}

/// Guards against sending a backend a time left that includes the longest possible upload. An attempt that begins
/// before the body is complete states the time that the client waits after the last byte.
#[test]
fn a_backend_is_told_what_the_client_waits_after_its_body() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(backend.address);
    let mut client = fixture.gateway.client();
    client.send(&head(Some(BODY_BYTES)));
    assert_eq!(client.ask(&"y".repeat(BODY_BYTES)).status(), 200);
    let time_left_ms = backend.next_request().header("x-time-left-ms").and_then(|v| v.parse::<u64>().ok());
    assert!(time_left_ms.is_some_and(|ms| ms <= CLIENT_WAIT_MS), "{time_left_ms:?}");
}
