//! Long answers that the backend keeps sending are not cut off, whatever their size, framing, pieces and pauses, and
//! wherever the request's deadline falls. For an answer that may never end, the client gets an error in time.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const KIB: usize = 1024;
/// The largest answer, in bytes, that the gateway holds as a whole before it passes it on.
const MAX_BUFFERED_BYTES: usize = 64 * KIB;
/// The clients' time to the deadline, in milliseconds.
const CLIENT_WAIT_MS: u64 = 700;
/// The time limit, after the request's deadline, for an error in place of an incomplete answer that may be a short one.
const ERROR_TIME_LIMIT: Duration = Duration::from_millis(500);

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// The end of the connection marks the end of the body.
    Close,
}

/// The pieces of a body. Each entry: the delay before each piece in milliseconds, the number of pieces, and the bytes
/// of each piece.
type Script = Vec<(u64, usize, usize)>;

/// An answer that a backend sends.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    framing: Framing,
    script: Script,
}

fn case(name: &'static str, framing: Framing, script: &[(u64, usize, usize)]) -> Case {
    Case { name, framing, script: script.to_vec() }
}

/// Returns a body whose bytes show lost or swapped parts: its period doesn't divide any buffer's size.
fn body(length: usize) -> String {
    const PERIOD: usize = 9_973;
    let period: String = (0..PERIOD).map(|i| char::from(b'a' + (i * i / 7 % 26) as u8)).collect();
    let mut text = period.repeat(length / PERIOD + 1);
    text.truncate(length);
    text
}

impl Case {
    /// Returns the length of the body in bytes.
    fn length(&self) -> usize {
        self.script.iter().map(|(_, pieces, bytes)| pieces * bytes).sum()
    }

    /// Returns the fake backend's reaction that sends this answer.
    fn reaction(&self) -> Reaction {
        let fields = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.length()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Close => "connection: close\r\n".to_owned(),
        };
        let mut pieces = vec![(0, format!("HTTP/1.1 200 OK\r\n{fields}\r\n"))];
        let (full_body, mut offset) = (body(self.length()), 0);
        for (delay_ms, count, bytes) in &self.script {
            for _ in 0..*count {
                let piece = &full_body[offset..offset + bytes];
                offset += bytes;
                let text = match self.framing {
                    Framing::Chunks => format!("{bytes:x}\r\n{piece}\r\n"),
                    _ => piece.to_owned(),
                };
                pieces.push((*delay_ms, text));
            }
        }
        match self.framing {
            Framing::Length => Reaction::Pieces(pieces),
            Framing::Chunks => {
                pieces.push((0, "0\r\n\r\n".to_owned()));
                Reaction::Pieces(pieces)
            }
            Framing::Close => Reaction::PiecesAndClose(pieces),
        }
    }
}

/// A gateway with its backends.
struct LongAnswerFixture {
    gateway_fixture: Fixture,
    backends: Vec<FakeServer>,
}

impl LongAnswerFixture {
    /// Starts this many backends, which choose their reaction by the customer's number.
    fn new(react: impl Fn(u64) -> Reaction + Send + Sync + 'static, backends: usize) -> Self {
        let react = Arc::new(react);
        let by_customer = || {
            let react = react.clone();
            FakeServer::start(move |request| {
                let customer = request.path().rsplit('/').next().expect("a customer");
                react(u64::from_str_radix(customer, 16).expect("a number"))
            })
        };
        let backends: Vec<FakeServer> = (0..backends).map(|_| by_customer()).collect();
        let entries = serving_entries(&backends.iter().collect::<Vec<_>>());
        LongAnswerFixture {
            gateway_fixture: Fixture::new(&GatewayOptions::default(), entries, fake_counter()),
            backends,
        }
    }

    /// Starts one backend that reacts to all requests in the same way.
    fn with_one_backend(reaction: impl Fn() -> Reaction + Send + Sync + 'static) -> Self {
        Self::new(move |_| reaction(), 1)
    }

    fn gateway(&self) -> &Gateway {
        &self.gateway_fixture.gateway
    }

    /// Checks that the gateway has counted no interrupted answer.
    fn assert_none_interrupted(&self) {
        let interrupted = self.gateway().metrics()["answers_interrupted"].to_string();
        assert_eq!(interrupted.matches(":0").count(), 8, "{interrupted}");
    }

    /// Sends a request of this customer; returns its client.
    fn send_request(&self, customer: u64) -> Client {
        let mut client = self.gateway().client();
        client.send(&request("consulta", customer, CLIENT_WAIT_MS));
        client
    }
}

/// Runs all cases at once, with one client each, and checks that each answer arrives whole.
fn assert_all_arrive_whole(cases: Vec<Case>) {
    let cases: HashMap<u64, Case> = (1..).zip(cases).collect();
    let scripts = cases.clone();
    let fixture = LongAnswerFixture::new(move |customer| scripts[&customer].reaction(), cases.len());
    let clients: Vec<(Case, Client)> =
        cases.into_iter().map(|(customer, case)| (case, fixture.send_request(customer))).collect();
    let failed: Vec<String> = std::thread::scope(|scope| {
        let check = |(case, mut client): (Case, Client)| {
            let answer = client.read_answer();
            let whole = answer
                .as_ref()
                .is_some_and(|a| a.status() == 200 && a.body == body(case.length()).as_bytes());
            let received = answer.map(|a| (a.start_line, a.body.len()));
            (!whole).then(|| format!("{} {:?}: {received:?} of {}", case.name, case.framing, case.length()))
        };
        let checks: Vec<_> = clients.into_iter().map(|c| scope.spawn(move || check(c))).collect();
        checks.into_iter().filter_map(|c| c.join().expect("a check")).collect()
    });
    assert!(failed.is_empty(), "{failed:#?}\n{}", fixture.gateway().log());
    fixture.assert_none_interrupted();
}

const ALL_FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// Guards against cutting off an answer without a length that its backend is still sending, because fewer than 64 KiB
/// of it have arrived by the request's deadline. The operators lost such answers.
#[test]
fn an_answer_that_proves_to_be_long_after_its_request_s_time() {
    let cases = |framing| {
        [
            case("just over, the rest right after the deadline", framing, &[(0, 1, 62_901), (800, 1, 2_636)]),
            case(
                "1 MB, pieces across the deadline",
                framing,
                &[(0, 1, 30_000), (60, 14, 1_000), (0, 1, 1 << 20)],
            ),
            case("a byte at a time, across the deadline", framing, &[(20, 50, 1), (0, 3, 30_000)]),
            case(
                "a byte after the deadline, then a pause",
                framing,
                &[(0, 1, 50_000), (900, 1, 1), (1_900, 1, 90_000)],
            ),
        ]
    };
    assert_all_arrive_whole([Framing::Chunks, Framing::Close].into_iter().flat_map(cases).collect());
}

/// Guards against cutting off an answer, of which more than 64 KiB have arrived, that pauses across the deadline.
#[test]
fn an_answer_that_is_known_to_be_long() {
    let cases = |framing| {
        [
            case("just over at once, then pauses", framing, &[(0, 1, MAX_BUFFERED_BYTES + 1), (1_900, 2, 5)]),
            case(
                "1 MB with pauses",
                framing,
                &[(0, 1, 80_000), (1_900, 2, 1_000), (0, 14, MAX_BUFFERED_BYTES)],
            ),
            case(
                "1 MB in small pieces",
                framing,
                &[(0, 1, MAX_BUFFERED_BYTES + 1), (10, 200, 500), (0, 1, 1 << 20)],
            ),
        ]
    };
    assert_all_arrive_whole(ALL_FRAMINGS.into_iter().flat_map(cases).collect());
}

/// Guards against cutting off an answer that pauses after its head: its content-length shows that it is long before any
/// byte of the body arrives.
#[test]
fn a_long_answer_that_rests_after_its_head() {
    assert_all_arrive_whole(vec![
        case("just over", Framing::Length, &[(1_900, 1, 1), (1_900, 1, MAX_BUFFERED_BYTES)]),
        case("1 MB", Framing::Length, &[(1_500, 1, 10), (1_900, 1, 1 << 20)]),
    ]);
}

/// Guards against losing parts of short answers that arrive in time and in pieces, up to the size that is held whole.
#[test]
fn a_short_answer_in_pieces() {
    let cases = |framing| {
        [
            case(
                "just under",
                framing,
                &[(0, 1, 1), (30, 4, 10_000), (30, 1, MAX_BUFFERED_BYTES - 1 - 40_000 - 1)],
            ),
            case("as much as is held", framing, &[(100, 2, MAX_BUFFERED_BYTES / 2)]),
            case("a byte at a time", framing, &[(5, 60, 1)]),
        ]
    };
    assert_all_arrive_whole(ALL_FRAMINGS.into_iter().flat_map(cases).collect());
}

/// Guards against cutting off very long answers (32 MB) that pause in the middle, after the deadline.
#[test]
fn the_longest_answers() {
    let cases = |framing| [case("32 MB", framing, &[(0, 16, 1 << 20), (900, 1, 1), (0, 16, 1 << 20)])];
    assert_all_arrive_whole(ALL_FRAMINGS.into_iter().flat_map(cases).collect());
}

/// Guards against cutting off an answer without a length that begins shortly before its deadline and rests across it:
/// its client has to get an error in time rather than a part of it.
#[test]
fn an_answer_that_begins_shortly_before_its_deadline_and_rests() {
    let cases: HashMap<u64, Case> = (1..)
        .zip([Framing::Chunks, Framing::Close].into_iter().flat_map(|framing| {
            [
                case("nearly long", framing, &[(250, 1, 60_000), (1_100, 2, 60_000)]),
                case("small pieces", framing, &[(400, 1, 10), (1_000, 10, 10_000)]),
                case("from the start", framing, &[(0, 1, 30_000), (1_500, 3, 30_000)]),
                case("several pieces, then a rest", framing, &[(30, 3, 10_000), (1_500, 3, 30_000)]),
            ]
        }))
        .collect();
    let scripts = cases.clone();
    let fixture = LongAnswerFixture::new(move |customer| scripts[&customer].reaction(), cases.len());
    let began = Instant::now();
    let clients: Vec<_> = cases.into_iter().map(|(n, case)| (case, fixture.send_request(n))).collect();
    for (case, mut client) in clients {
        let answer = client.read_answer().map(|answer| answer.status());
        assert_eq!(answer, Some(504), "{} {:?}: {}", case.name, case.framing, fixture.gateway().log());
        assert!(began.elapsed() < Duration::from_millis(CLIENT_WAIT_MS) + ERROR_TIME_LIMIT);
    }
}

/// Guards against cutting off an answer without a length whose backend rests as regularly after the deadline as before,
/// and against passing on such an answer too late.
#[test]
fn an_answer_in_regular_pieces() {
    let wait_ms = [CLIENT_WAIT_MS, 2_900];
    let pieces: [&[(u64, usize, usize)]; 2] =
        [&[(100, 1, 6_000), (250, 13, 6_000)], &[(0, 1, 10_000), (1_200, 6, 12_000)]];
    for framing in [Framing::Chunks, Framing::Close] {
        let cases = pieces.map(|script| case("regular", framing, script));
        let scripts = cases.clone();
        let fixture =
            LongAnswerFixture::new(move |customer| scripts[customer as usize].reaction(), cases.len());
        let clients = (0..).zip(cases).zip(wait_ms).map(|((customer, case), wait_ms)| {
            let mut client = fixture.gateway().client();
            client.send(&request("consulta", customer, wait_ms));
            (case, client, Instant::now() + Duration::from_millis(wait_ms))
        });
        let clients: Vec<_> = clients.collect();
        let ask = |(case, mut client, deadline): (Case, Client, Instant)| {
            client.wait_for_bytes();
            let in_time = Instant::now() < deadline;
            (case.length(), in_time, client.read_answer().map(|answer| (answer.status(), answer.body.len())))
        };
        let answers: Vec<_> = clients.into_iter().map(|c| std::thread::spawn(move || ask(c))).collect();
        for answer in answers {
            let (length, in_time, received) = answer.join().expect("a client");
            assert_eq!((in_time, received), (true, Some((200, length))), "{}", fixture.gateway().log());
        }
        fixture.assert_none_interrupted();
    }
}

/// Guards against a timeout for an answer without a length whose head arrives so late that buffering its beginning goes
/// past the request's deadline.
#[test]
fn an_answer_whose_head_comes_just_in_time() {
    let case = case("late", Framing::Chunks, &[(0, 1, 10_000), (60, 1, 90_000)]);
    let fixture = LongAnswerFixture::with_one_backend(move || match case.reaction() {
        Reaction::Pieces(mut pieces) => {
            // 20 ms of the client's time are reserved for the network; buffering takes up to 25 ms.
            pieces[0].0 = CLIENT_WAIT_MS - 35;
            Reaction::Pieces(pieces)
        }
        other => other,
    });
    let answer = fixture.send_request(1).read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, 100_000), "{}", fixture.gateway().log());
}

/// Guards against a timer that fires, after the process could not run for a while, before the gateway reads the bytes
/// that have arrived meanwhile.
#[test]
fn bytes_that_have_come_while_the_process_could_not_run() {
    for (first_bytes, framing_field) in
        [(60_000, "transfer-encoding: chunked"), (70_000, "content-length: 170000")]
    {
        let chunked = framing_field.starts_with("transfer");
        let (resume, resumed) = channel::<()>();
        let resumed = std::sync::Mutex::new(resumed);
        let piece = move |bytes: usize| match chunked {
            true => format!("{bytes:x}\r\n{}\r\n", "z".repeat(bytes)),
            false => "z".repeat(bytes),
        };
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let backend = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            read_message(&mut reader, 0).expect("a request");
            let head = format!("HTTP/1.1 200 OK\r\n{framing_field}\r\n\r\n");
            stream.write_all((head + &piece(first_bytes)).as_bytes()).expect("the gateway reads");
            resumed.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
            let last_chunk = if chunked { "0\r\n\r\n" } else { "" };
            stream
                .write_all((piece(170_000 - first_bytes) + last_chunk).as_bytes())
                .expect("the kernel takes it");
            let _ = reader.read(&mut [0]);
        });
        let entries = vec![entry("s-0", address, "SERVING")];
        let options = GatewayOptions { debug_log: true, ..GatewayOptions::default() };
        let Fixture { gateway, discovery, counter } = Fixture::new(&options, entries, fake_counter());
        let mut client = gateway.client();
        let began = Instant::now();
        client.send(&request("consulta", 1, CLIENT_WAIT_MS));
        // The first bytes have arrived; whether the client has got any yet depends on the framing.
        gateway.wait_for_log("attempt 0 ended: ok");
        gateway.signal("-STOP");
        // Longer than any time limit of the answer.
        let stopped_for = Duration::from_millis(4_500);
        std::thread::sleep(Duration::from_millis(200));
        resume.send(()).expect("the backend waits");
        std::thread::sleep(stopped_for.saturating_sub(began.elapsed()));
        gateway.signal("-CONT");
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK", "{}", gateway.log());
        while !client.read_line().is_empty() {}
        let mut received = Vec::new();
        while received.len() < 170_000 {
            let more = client.read_available().filter(|more| !more.is_empty());
            received.extend(
                more.unwrap_or_else(|| panic!("{} bytes, then the end: {}", received.len(), gateway.log())),
            );
        }
        drop((client, gateway, discovery, counter));
        backend.join().expect("the backend's thread ends");
    }
}

/// Reads until the connection ends, with a pause after each `piece` bytes; returns all bytes, with the body's framing.
fn read_slowly(client: &mut Client, piece: usize, pause: Duration) -> Vec<u8> {
    let mut received = Vec::new();
    while let Some(bytes) = client.read_available().filter(|bytes| !bytes.is_empty()) {
        let pieces_before = received.len() / piece;
        received.extend(bytes);
        if received.len() / piece > pieces_before {
            std::thread::sleep(pause);
        }
    }
    received
}

/// Guards against the backend's time limits running while the client does not read: such a stall is not the backend's.
#[test]
fn an_answer_whose_client_reads_slowly() {
    let length = 24 << 20;
    for framing in [Framing::Length, Framing::Chunks] {
        let case = case("slow reader", framing, &[(0, 24, 1 << 20)]);
        let fixture = LongAnswerFixture::with_one_backend(move || case.reaction());
        let mut client = fixture.gateway().client();
        let text =
            request("consulta", 1, CLIENT_WAIT_MS).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        client.send(&text);
        // The client reads nothing for longer than a backend may pause.
        std::thread::sleep(Duration::from_millis(5_000));
        let received = read_slowly(&mut client, 4 << 20, Duration::from_millis(300));
        let letters = received.iter().filter(|b| b.is_ascii_lowercase()).count();
        assert!(letters >= length, "{letters} of {length}: {}", fixture.gateway().log());
        fixture.assert_none_interrupted();
    }
}

/// Guards against passing on an incomplete answer as if it were whole, and against waiting too long for its rest: the
/// client gets an error within half a second of the deadline.
#[test]
fn an_answer_that_may_be_short_and_stops() {
    let head = |fields: &str, data: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{data}");
    let incomplete = "z".repeat(30_000);
    let texts = [
        head("transfer-encoding: chunked", &format!("{:x}\r\n{incomplete}\r\n", incomplete.len())),
        head("transfer-encoding: chunked", "4\r\nhal"),
        head("connection: close", &incomplete),
        head("content-length: 60000", &incomplete),
    ];
    let count = texts.len() as u64;
    let fixture =
        LongAnswerFixture::new(move |customer| Reaction::Answer(texts[customer as usize - 1].clone()), 4);
    let clients: Vec<_> =
        (1..=count).map(|customer| (customer, Instant::now(), fixture.send_request(customer))).collect();
    for (customer, began, mut client) in clients {
        let answer = client.read_answer();
        let elapsed = began.elapsed();
        assert!(answer.is_none_or(|a| a.status() >= 400), "answer {customer} was passed on as if whole");
        let (min, max) = (
            Duration::from_millis(CLIENT_WAIT_MS - 60),
            Duration::from_millis(CLIENT_WAIT_MS) + ERROR_TIME_LIMIT,
        );
        assert!(elapsed > min && elapsed < max, "answer {customer} took {elapsed:?}");
    }
}

/// Guards against a long answer that stops and keeps its client waiting for ever.
#[test]
fn a_long_answer_that_stops() {
    let texts = ["content-length: 200000\r\n\r\n", "transfer-encoding: chunked\r\n\r\n11170\r\n"];
    let fixture = LongAnswerFixture::new(
        move |customer| {
            Reaction::Answer(format!(
                "HTTP/1.1 200 OK\r\n{}{}",
                texts[customer as usize - 1],
                "z".repeat(70_000)
            ))
        },
        2,
    );
    let clients: Vec<_> = (1..=2).map(|customer| (Instant::now(), fixture.send_request(customer))).collect();
    for (began, mut client) in clients {
        assert!(client.read_answer().is_none(), "passed on as if whole");
        let elapsed = began.elapsed();
        // A backend may pause for almost 4 s.
        assert!(
            elapsed > Duration::from_millis(3_900) && elapsed < Duration::from_millis(5_500),
            "{elapsed:?}"
        );
    }
    assert_eq!(fixture.gateway().metrics()["answers_interrupted"]["stalled"], 2);
}

/// Guards against cutting off the answers that a backend is still sending when it is disabled, drains, is removed from
/// the list or restarts, or when the gateway drains.
#[test]
fn a_backend_that_goes_while_its_answer_flows() {
    type Change = fn(&LongAnswerFixture);
    let changes: [(&str, Change); 6] = [
        ("disabled by an operator", |fixture| {
            assert_eq!(fixture.gateway().ops_request("PUT /backends/disable?id=s-0").status(), 200)
        }),
        ("draining", |fixture| {
            fixture.gateway_fixture.discovery.set(vec![entry("s-0", fixture.backends[0].address, "DRAINING")])
        }),
        ("deleted", |fixture| {
            fixture.gateway_fixture.discovery.set(vec![entry("s-0", fixture.backends[0].address, "DELETED")])
        }),
        ("left out of the list", |fixture| fixture.gateway_fixture.discovery.replace(9, vec![])),
        ("restarted elsewhere", |fixture| {
            fixture.gateway_fixture.discovery.set(vec![entry_since("s-0", unused_address(), "SERVING", 5)])
        }),
        ("the gateway drained", |fixture| {
            assert_eq!(fixture.gateway().ops_request("PUT /drain").status(), 200)
        }),
    ];
    std::thread::scope(|scope| {
        for (name, change) in changes {
            scope.spawn(move || {
                let case = case(name, Framing::Chunks, &[(0, 1, 20_000), (500, 4, 20_000), (500, 2, 5)]);
                let length = case.length();
                let fixture = LongAnswerFixture::with_one_backend(move || case.reaction());
                let mut client = fixture.send_request(1);
                fixture.backends[0].next_request();
                change(&fixture);
                let answer = client.read_answer();
                let received = answer.map(|a| (a.status(), a.body.len()));
                assert_eq!(received, Some((200, length)), "{name}: {}", fixture.gateway().log());
            });
        }
    });
}

/// Guards against losing the end of an answer whose backend closes the connection right after the last byte.
#[test]
fn a_backend_that_closes_right_behind_its_answer() {
    let body = "z".repeat(100_000);
    let with_length = format!("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n{body}");
    let in_chunks =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n{body}\r\n0\r\n\r\n");
    for text in [with_length, in_chunks] {
        let fixture =
            LongAnswerFixture::with_one_backend(move || Reaction::PiecesAndClose(vec![(0, text.clone())]));
        let answer = fixture.send_request(1).read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body.len()), (200, 100_000));
    }
}

/// Guards against a reload (SIGHUP) with new addresses that cuts off an answer in progress.
#[test]
fn a_reload_while_an_answer_flows() {
    let case = case("reload", Framing::Chunks, &[(0, 1, 20_000), (400, 5, 20_000)]);
    let fixture = LongAnswerFixture::with_one_backend(move || case.reaction());
    let mut client = fixture.send_request(1);
    fixture.backends[0].next_request();
    let (new_discovery, counter) = (FakeDiscovery::start(vec![]), fake_counter());
    fixture.gateway().reload(new_discovery.server.address, counter.address);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, 120_000), "{}", fixture.gateway().log());
}
