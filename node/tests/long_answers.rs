//! Long answers that their backend goes on giving: none is cut off, whatever the size, the framing, the pieces and the
//! pauses, and wherever in them the time of the request ends. What may never end is told to the client in time.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const KIB: usize = 1024;
/// The most that is held whole.
const BUFFERED: usize = 64 * KIB;
/// What clients are told to have, in milliseconds.
const WAIT: u64 = 700;
/// An answer that is not whole, and may be a short one, is final so long after its request's time at the latest.
const GRACE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// The end of the connection is the end of the body.
    Close,
}

/// Pieces of a body: how many milliseconds after the one before, how many pieces, of how many bytes each.
type Script = Vec<(u64, usize, usize)>;

#[derive(Clone, Debug)]
struct Case {
    what: &'static str,
    framing: Framing,
    script: Script,
}

fn case(what: &'static str, framing: Framing, script: &[(u64, usize, usize)]) -> Case {
    Case { what, framing, script: script.to_vec() }
}

/// Bytes that tell where they belong: the period is no divisor of any buffer's size.
fn body(length: usize) -> String {
    const PERIOD: usize = 9_973;
    let period: String = (0..PERIOD).map(|i| char::from(b'a' + (i * i / 7 % 26) as u8)).collect();
    let mut text = period.repeat(length / PERIOD + 1);
    text.truncate(length);
    text
}

impl Case {
    fn length(&self) -> usize {
        self.script.iter().map(|(_, pieces, bytes)| pieces * bytes).sum()
    }

    fn reaction(&self) -> Reaction {
        let fields = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.length()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Close => "connection: close\r\n".to_owned(),
        };
        let mut pieces = vec![(0, format!("HTTP/1.1 200 OK\r\n{fields}\r\n"))];
        let (whole, mut at) = (body(self.length()), 0);
        for (after, count, bytes) in &self.script {
            for _ in 0..*count {
                let data = &whole[at..at + bytes];
                at += bytes;
                let text = match self.framing {
                    Framing::Chunks => format!("{bytes:x}\r\n{data}\r\n"),
                    _ => data.to_owned(),
                };
                pieces.push((*after, text));
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

/// A gateway and its backends.
struct Play {
    scene: Fixture,
    backends: Vec<FakeServer>,
}

impl Play {
    /// Backends that react by the number of the customer who asks.
    fn new(react: impl Fn(u64) -> Reaction + Send + Sync + 'static, backends: usize) -> Self {
        let react = Arc::new(react);
        let by_customer = || {
            let react = react.clone();
            FakeServer::start(move |seen| {
                let customer = seen.path().rsplit('/').next().expect("a customer");
                react(u64::from_str_radix(customer, 16).expect("a number"))
            })
        };
        let backends: Vec<FakeServer> = (0..backends).map(|_| by_customer()).collect();
        let entries = serving_entries(&backends.iter().collect::<Vec<_>>());
        Play { scene: Fixture::new(&GatewayOptions::default(), entries, fake_counter()), backends }
    }

    fn one(reaction: impl Fn() -> Reaction + Send + Sync + 'static) -> Self {
        Self::new(move |_| reaction(), 1)
    }

    fn gateway(&self) -> &Gateway {
        &self.scene.gateway
    }

    fn none_interrupted(&self) {
        let interrupted = self.gateway().metrics()["answers_interrupted"].to_string();
        assert_eq!(interrupted.matches(":0").count(), 8, "{interrupted}");
    }

    fn begin(&self, customer: u64) -> Client {
        let mut client = self.gateway().client();
        client.send(&request("consulta", customer, WAIT));
        client
    }
}

/// Plays all cases at once, a client each, and checks that each answer comes whole.
fn all_come_whole(cases: Vec<Case>) {
    let cases: HashMap<u64, Case> = (1..).zip(cases).collect();
    let scripts = cases.clone();
    let play = Play::new(move |customer| scripts[&customer].reaction(), cases.len());
    let clients: Vec<(Case, Client)> =
        cases.into_iter().map(|(customer, case)| (case, play.begin(customer))).collect();
    let failed: Vec<String> = std::thread::scope(|scope| {
        let check = |(case, mut client): (Case, Client)| {
            let answer = client.read_answer();
            let whole = answer
                .as_ref()
                .is_some_and(|a| a.status() == 200 && a.body == body(case.length()).as_bytes());
            let seen = answer.map(|a| (a.start_line, a.body.len()));
            (!whole).then(|| format!("{} {:?}: {seen:?} of {}", case.what, case.framing, case.length()))
        };
        let checks: Vec<_> = clients.into_iter().map(|c| scope.spawn(move || check(c))).collect();
        checks.into_iter().filter_map(|c| c.join().expect("a check")).collect()
    });
    assert!(failed.is_empty(), "{failed:#?}\n{}", play.gateway().log());
    play.none_interrupted();
}

const ALL: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// Guards against what was lost on the operators' days: an answer without a length of which 64 KiB have not come by
/// the end of its request's time, and which its backend is still giving.
#[test]
fn an_answer_that_proves_to_be_long_after_its_request_s_time() {
    let cases = |framing| {
        [
            case("just over, the rest right after the time", framing, &[(0, 1, 62_901), (800, 1, 2_636)]),
            case(
                "1 MB, pieces across the time",
                framing,
                &[(0, 1, 30_000), (60, 14, 1_000), (0, 1, 1 << 20)],
            ),
            case("a byte at a time, across the time", framing, &[(20, 50, 1), (0, 3, 30_000)]),
            case(
                "a byte after the time, then a rest",
                framing,
                &[(0, 1, 50_000), (900, 1, 1), (1_900, 1, 90_000)],
            ),
        ]
    };
    all_come_whole([Framing::Chunks, Framing::Close].into_iter().flat_map(cases).collect());
}

#[test]
fn an_answer_that_is_known_to_be_long() {
    let cases = |framing| {
        [
            case("just over at once, then a rest", framing, &[(0, 1, BUFFERED + 1), (1_900, 2, 5)]),
            case("1 MB with rests", framing, &[(0, 1, 80_000), (1_900, 2, 1_000), (0, 14, BUFFERED)]),
            case("1 MB in small pieces", framing, &[(0, 1, BUFFERED + 1), (10, 200, 500), (0, 1, 1 << 20)]),
        ]
    };
    all_come_whole(ALL.into_iter().flat_map(cases).collect());
}

/// A length tells that an answer is long before anything of it has come.
#[test]
fn a_long_answer_that_rests_after_its_head() {
    all_come_whole(vec![
        case("just over", Framing::Length, &[(1_900, 1, 1), (1_900, 1, BUFFERED)]),
        case("1 MB", Framing::Length, &[(1_500, 1, 10), (1_900, 1, 1 << 20)]),
    ]);
}

/// Short answers that come in time, just under what is held whole, in pieces.
#[test]
fn a_short_answer_in_pieces() {
    let cases = |framing| {
        [
            case("just under", framing, &[(0, 1, 1), (30, 4, 10_000), (30, 1, BUFFERED - 1 - 40_000 - 1)]),
            case("as much as is held", framing, &[(100, 2, BUFFERED / 2)]),
            case("a byte at a time", framing, &[(5, 60, 1)]),
        ]
    };
    all_come_whole(ALL.into_iter().flat_map(cases).collect());
}

#[test]
fn the_longest_answers() {
    let cases = |framing| [case("32 MB", framing, &[(0, 16, 1 << 20), (900, 1, 1), (0, 16, 1 << 20)])];
    all_come_whole(ALL.into_iter().flat_map(cases).collect());
}

/// Guards against an answer without a length whose head comes so late that gathering it would end its request's time.
#[test]
fn an_answer_whose_head_comes_just_in_time() {
    let case = case("late", Framing::Chunks, &[(0, 1, 10_000), (60, 1, 90_000)]);
    let play = Play::one(move || match case.reaction() {
        Reaction::Pieces(mut pieces) => {
            // 20 ms of its time are kept for the way; gathering takes up to 25 ms.
            pieces[0].0 = WAIT - 35;
            Reaction::Pieces(pieces)
        }
        other => other,
    });
    let answer = play.begin(1).read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, 100_000), "{}", play.gateway().log());
}

/// Guards against a timer that fires before what stands in the socket is read: the process could not run meanwhile.
#[test]
fn bytes_that_have_come_while_the_process_could_not_run() {
    for (first, length) in [(60_000, "transfer-encoding: chunked"), (70_000, "content-length: 170000")] {
        let chunked = length.starts_with("transfer");
        let (go, wait) = channel::<()>();
        let wait = std::sync::Mutex::new(wait);
        let piece = move |n: usize| match chunked {
            true => format!("{n:x}\r\n{}\r\n", "z".repeat(n)),
            false => "z".repeat(n),
        };
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let backend = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
            read_message(&mut from, 0).expect("a request");
            let head = format!("HTTP/1.1 200 OK\r\n{length}\r\n\r\n");
            stream.write_all((head + &piece(first)).as_bytes()).expect("the gateway reads");
            wait.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
            let end = if chunked { "0\r\n\r\n" } else { "" };
            stream.write_all((piece(170_000 - first) + end).as_bytes()).expect("the kernel takes it");
            let _ = from.read(&mut [0]);
        });
        let entries = vec![entry("s-0", address, "SERVING")];
        let Fixture { gateway, discovery, counter } =
            Fixture::new(&GatewayOptions::default(), entries, fake_counter());
        let mut client = gateway.client();
        let began = Instant::now();
        client.send(&request("consulta", 1, WAIT));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        gateway.signal("-STOP");
        // Longer than any of its time limits.
        let frozen = Duration::from_millis(4_500);
        std::thread::sleep(Duration::from_millis(200));
        go.send(()).expect("the backend waits");
        std::thread::sleep(frozen.saturating_sub(began.elapsed()));
        gateway.signal("-CONT");
        while !client.read_line().is_empty() {}
        let mut rest = Vec::new();
        while rest.len() < 170_000 {
            let more = client.read_available().filter(|more| !more.is_empty());
            rest.extend(
                more.unwrap_or_else(|| panic!("{} bytes, then the end: {}", rest.len(), gateway.log())),
            );
        }
        drop((client, gateway, discovery, counter));
        backend.join().expect("the backend ends");
    }
}

/// Reads as an answer comes; returns the bytes of the body's framing and all, and whether it ended as it should.
fn read_slowly(client: &mut Client, piece: usize, pause: Duration) -> Vec<u8> {
    let mut taken = Vec::new();
    while let Some(more) = client.read_available().filter(|more| !more.is_empty()) {
        let before = taken.len() / piece;
        taken.extend(more);
        if taken.len() / piece > before {
            std::thread::sleep(pause);
        }
    }
    taken
}

/// Guards against time limits that run while the client does not read: an answer that stands still on its side is
/// not the backend's.
#[test]
fn an_answer_whose_client_reads_slowly() {
    let length = 24 << 20;
    for framing in [Framing::Length, Framing::Chunks] {
        let case = case("slow reader", framing, &[(0, 24, 1 << 20)]);
        let play = Play::one(move || case.reaction());
        let mut client = play.gateway().client();
        let text = request("consulta", 1, WAIT).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        client.send(&text);
        // Nothing is read for longer than a backend may rest.
        std::thread::sleep(Duration::from_millis(5_000));
        let taken = read_slowly(&mut client, 4 << 20, Duration::from_millis(300));
        let letters = taken.iter().filter(|b| b.is_ascii_lowercase()).count();
        assert!(letters >= length, "{letters} of {length}: {}", play.gateway().log());
        play.none_interrupted();
    }
}

/// Guards against an answer that is passed on as if whole, or waited for too long, where it never may end: its
/// client is told within half a second of its time.
#[test]
fn an_answer_that_may_be_short_and_stops() {
    let head = |fields: &str, data: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{data}");
    let part = "z".repeat(30_000);
    let texts = [
        head("transfer-encoding: chunked", &format!("{:x}\r\n{part}\r\n", part.len())),
        head("transfer-encoding: chunked", "4\r\nhal"),
        head("connection: close", &part),
        head("content-length: 60000", &part),
    ];
    let count = texts.len() as u64;
    let play = Play::new(move |n| Reaction::Answer(texts[n as usize - 1].clone()), 4);
    let clients: Vec<_> = (1..=count).map(|n| (n, Instant::now(), play.begin(n))).collect();
    for (n, began, mut client) in clients {
        let answer = client.read_answer();
        let took = began.elapsed();
        assert!(answer.is_none_or(|a| a.status() >= 400), "answer {n} was passed on as if whole");
        let (least, most) = (Duration::from_millis(WAIT - 60), Duration::from_millis(WAIT) + GRACE);
        assert!(took > least && took < most, "answer {n} took {took:?}");
    }
}

/// Guards against a long answer that stops and holds its client for ever.
#[test]
fn a_long_answer_that_stops() {
    let texts = ["content-length: 200000\r\n\r\n", "transfer-encoding: chunked\r\n\r\n11170\r\n"];
    let play = Play::new(
        move |n| {
            Reaction::Answer(format!("HTTP/1.1 200 OK\r\n{}{}", texts[n as usize - 1], "z".repeat(70_000)))
        },
        2,
    );
    let clients: Vec<_> = (1..=2).map(|n| (Instant::now(), play.begin(n))).collect();
    for (began, mut client) in clients {
        assert!(client.read_answer().is_none(), "passed on as if whole");
        let took = began.elapsed();
        // A backend may rest for almost 4 s.
        assert!(took > Duration::from_millis(3_900) && took < Duration::from_millis(5_500), "{took:?}");
    }
    assert_eq!(play.gateway().metrics()["answers_interrupted"]["stalled"], 2);
}

/// Guards against an end of the backend's service that cuts off the answers it is still giving.
#[test]
fn a_backend_that_goes_while_its_answer_flows() {
    type Trouble = fn(&Play);
    let troubles: [(&str, Trouble); 6] = [
        ("out by hand", |s| {
            assert_eq!(s.gateway().ops_request("PUT /backends/disable?id=s-0").status(), 200)
        }),
        ("draining", |s| s.scene.discovery.set(vec![entry("s-0", s.backends[0].address, "DRAINING")])),
        ("deleted", |s| s.scene.discovery.set(vec![entry("s-0", s.backends[0].address, "DELETED")])),
        ("left out of the list", |s| s.scene.discovery.replace(9, vec![])),
        ("restarted elsewhere", |s| {
            s.scene.discovery.set(vec![entry_since("s-0", unused_address(), "SERVING", 5)])
        }),
        ("the gateway drained", |s| assert_eq!(s.gateway().ops_request("PUT /drain").status(), 200)),
    ];
    std::thread::scope(|scope| {
        for (what, trouble) in troubles {
            scope.spawn(move || {
                let case = case(what, Framing::Chunks, &[(0, 1, 20_000), (500, 4, 20_000), (500, 2, 5)]);
                let length = case.length();
                let play = Play::one(move || case.reaction());
                let mut client = play.begin(1);
                play.backends[0].next_request();
                trouble(&play);
                let answer = client.read_answer();
                let seen = answer.map(|a| (a.status(), a.body.len()));
                assert_eq!(seen, Some((200, length)), "{what}: {}", play.gateway().log());
            });
        }
    });
}

/// Guards against a backend that closes its connection behind its last byte, or resets it later.
#[test]
fn a_backend_that_closes_right_behind_its_answer() {
    let whole = "z".repeat(100_000);
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n{whole}");
    let chunks =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n{whole}\r\n0\r\n\r\n");
    for text in [length, chunks] {
        let play = Play::one(move || Reaction::PiecesAndClose(vec![(0, text.clone())]));
        let answer = play.begin(1).read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body.len()), (200, 100_000));
    }
}

/// Guards against SIGHUP, and its new addresses, cutting what flows.
#[test]
fn a_reload_while_an_answer_flows() {
    let case = case("reload", Framing::Chunks, &[(0, 1, 20_000), (400, 5, 20_000)]);
    let play = Play::one(move || case.reaction());
    let mut client = play.begin(1);
    play.backends[0].next_request();
    let (elsewhere, counter) = (FakeDiscovery::start(vec![]), fake_counter());
    play.gateway().reload(elsewhere.server.address, counter.address);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, 120_000), "{}", play.gateway().log());
}
