//! Bodies that go through as they come, on loopback sockets. Each test guards against one way to go wrong.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn gateway(backends: &[&FakeServer], memory_mb: u32) -> Fixture {
    Fixture::new(
        &GatewayOptions { memory_mb, ..GatewayOptions::default() },
        serving_entries(backends),
        fake_counter(),
    )
}

const LARGE: usize = 24 << 20;

/// A request whose body comes in another form.
fn form(fields: &str, body: &str) -> String {
    request("orden-nueva", 7, 4000)
        .replace("content-length: 4\r\n\r\n{42}", &format!("{fields}\r\n\r\n{body}"))
}

/// Guards against bodies cut, altered or held in memory, both ways.
#[test]
fn long_bodies_go_through_in_little_memory() {
    let answer = "z".repeat(LARGE);
    let backend = FakeServer::start(move |_| ok(&answer));
    let scene = gateway(&[&backend], 32);
    let text = form(&format!("content-length: {LARGE}"), &"y".repeat(LARGE));
    let answer = scene.gateway.client().ask(&text);
    assert_eq!((answer.status(), answer.body.len()), (200, LARGE));
    assert!(answer.body.iter().all(|b| *b == b'z'));
    let seen = backend.next_request();
    assert!(seen.body.len() == LARGE && seen.body.iter().all(|b| *b == b'y'));
    assert!(scene.gateway.peak_memory_mb() < 16, "{} MB", scene.gateway.peak_memory_mb());
    let figures = scene.gateway.metrics();
    assert_eq!((&figures["passed"]["orden-nueva"], &figures["upstream_tries"]), (&1.into(), &1.into()));
}

/// Guards against a client that takes its answer slowly being held in memory, or cut off.
#[test]
fn an_answer_waits_for_its_client() {
    let answer = "z".repeat(LARGE);
    let backend = FakeServer::start(move |_| ok(&answer));
    let scene = gateway(&[&backend], 32);
    let mut slow: Vec<Client> = (0..4).map(|_| scene.gateway.client()).collect();
    slow.iter_mut().enumerate().for_each(|(n, c)| c.send(&request("consulta", n as u64, 2000)));
    for client in &mut slow {
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    }
    assert_eq!(scene.gateway.metrics()["in_progress"], 4);
    assert!(scene.gateway.peak_memory_mb() < 16, "{} MB", scene.gateway.peak_memory_mb());
    for client in &mut slow {
        while !client.read_line().is_empty() {}
        assert!(client.read_bytes(LARGE).iter().all(|b| *b == b'z'));
    }
    while scene.gateway.metrics()["in_progress"] != 0 {}
    assert_eq!(scene.gateway.metrics()["passed"]["consulta"], 4);
}

/// Guards against proper requests turned away for their form.
#[test]
fn every_form_of_a_body_is_served() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = gateway(&[&backend], 32);
    let mut client = scene.gateway.client();
    let mut chunks = String::new();
    (0..40).for_each(|_| chunks.push_str(&format!("1000;ext=1\r\n{}\r\n", "y".repeat(4096))));
    let cases = [
        (form("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n"), 4),
        (
            form(
                "Transfer-Encoding: Chunked\r\ntrailer: x-sum",
                "2\r\n{4\r\n2\r\n2}\r\n0\r\nx-sum: 1\r\n\r\n",
            ),
            4,
        ),
        (form("transfer-encoding: chunked", &format!("{chunks}0\r\n\r\n")), 40 * 4096),
        (form("content-length: 0", ""), 0),
        (
            request("consulta", 7, 2000)
                .replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            0,
        ),
    ];
    for (text, length) in cases {
        assert_eq!(client.ask(&text).status(), 200, "{:.400}", text);
        let seen = backend.next_request();
        assert_eq!((seen.body.len(), seen.header("trailer")), (length, None), "{:.400}", text);
    }
    // The body is sent once it has been asked for.
    let text = form("content-length: 4\r\nexpect: 100-continue", "{42}");
    let (head, body) = text.split_at(text.len() - 4);
    client.send(head);
    assert_eq!((client.read_line(), client.read_line()), ("HTTP/1.1 100 Continue".to_owned(), String::new()));
    assert_eq!(client.ask(body).status(), 200);
    assert_eq!(backend.next_request().header("expect"), None);
    // Cut anywhere.
    for byte in form("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n").chars() {
        client.send(&byte.to_string());
    }
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
}

/// Guards against a second copy of what can't be sent from its beginning again, and against a refusal that is
/// lost while its client is still sending.
#[test]
fn a_body_that_was_begun_is_not_sent_again() {
    let count = Arc::new(AtomicUsize::new(0));
    let asked = count.clone();
    let full = move |_: &HttpMessage| {
        asked.fetch_add(1, Ordering::SeqCst);
        Reaction::Answer(answer("503 Service Unavailable", "x-unprocessed: 1\r\n", ""))
    };
    let backends = [FakeServer::start(full.clone()), FakeServer::start(full)];
    let scene = gateway(&[&backends[0], &backends[1]], 32);
    let mut client = scene.gateway.client();
    let refused = client.ask(&form(&format!("content-length: {LARGE}"), &"y".repeat(LARGE)));
    assert!(refused.status() == 503 && refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(count.load(Ordering::SeqCst), 1);
    // What is held whole goes again, also where it came in chunks.
    client.ask(&form("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n"));
    assert_eq!(count.load(Ordering::SeqCst), 3);
}

/// Guards against half an answer that looks whole.
#[test]
fn an_answer_that_breaks_off_is_seen_to() {
    let half = |fields: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{body}");
    let (length, chunk) = (200_000, "z".repeat(100_000));
    let texts = [
        half(&format!("content-length: {length}"), &chunk),
        half("transfer-encoding: chunked", &format!("186a0\r\n{chunk}\r\n")),
    ];
    for text in texts {
        let backend = FakeServer::start(move |_| Reaction::AnswerAndClose(text.clone()));
        let scene = gateway(&[&backend], 32);
        let mut client = scene.gateway.client();
        client.send(&request("consulta", 1, 2000));
        assert!(client.read_answer().is_none());
        while scene.gateway.metrics()["bad_gateway"]["consulta"] != 1 {}
    }
}

/// An answer in chunks of which one comes, and no more.
const ENDLESS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";

/// Whether what is left to read is the beginning of an answer and no more.
fn breaks_off(client: &mut Client) -> bool {
    loop {
        match client.read_available() {
            Some(rest) if rest.ends_with(b"0\r\n\r\n") => return false,
            Some(rest) if !rest.is_empty() => continue,
            _ => return true,
        }
    }
}

/// Guards against an answer without end that is passed on without end: it breaks off as its request's time is up.
#[test]
fn an_answer_that_does_not_end_breaks_off_in_the_request_s_time() {
    let backend = FakeServer::start(|_| Reaction::Answer(ENDLESS.to_owned()));
    let scene = gateway(&[&backend], 64);
    let began = Instant::now();
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 900));
    assert!(breaks_off(&mut client), "passed on as if whole");
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1400), "{took:?}");
    backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
}

/// Guards against the same at a restart: nobody is left waiting for SIGKILL.
#[test]
fn an_answer_that_does_not_end_does_not_hold_up_a_restart() {
    let backend = FakeServer::start(|_| Reaction::Answer(ENDLESS.to_owned()));
    let mut scene = gateway(&[&backend], 64);
    let mut client = scene.gateway.client();
    client.send(&request("orden-nueva", 7, 5000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    let told = Instant::now();
    scene.gateway.terminate();
    assert!(breaks_off(&mut client), "passed on as if whole");
    assert!(scene.gateway.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
}
