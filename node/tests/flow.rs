//! Bodies that are streamed through the gateway, on loopback sockets. Each test guards against one failure.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn fixture(backends: &[&FakeServer], memory_mb: u32) -> Fixture {
    Fixture::new(
        &GatewayOptions { memory_mb, ..GatewayOptions::default() },
        serving_entries(backends),
        fake_counter(),
    )
}

/// 24 MiB, more than the memory that the tests allow the gateway to use.
const LARGE_BODY_BYTES: usize = 24 << 20;

/// Formats a request with these header fields and this body instead of the usual body.
fn request_with_body(fields: &str, body: &str) -> String {
    request("orden-nueva", 7, 4000)
        .replace("content-length: 4\r\n\r\n{42}", &format!("{fields}\r\n\r\n{body}"))
}

/// Guards against request and answer bodies that are cut, altered or held in memory.
#[test]
fn long_bodies_go_through_in_little_memory() {
    let answer = "z".repeat(LARGE_BODY_BYTES);
    let backend = FakeServer::start(move |_| ok(&answer));
    let fixture = fixture(&[&backend], 32);
    let text =
        request_with_body(&format!("content-length: {LARGE_BODY_BYTES}"), &"y".repeat(LARGE_BODY_BYTES));
    let answer = fixture.gateway.client().ask(&text);
    assert_eq!((answer.status(), answer.body.len()), (200, LARGE_BODY_BYTES));
    assert!(answer.body.iter().all(|b| *b == b'z'));
    let received = backend.next_request();
    assert!(received.body.len() == LARGE_BODY_BYTES && received.body.iter().all(|b| *b == b'y'));
    assert!(fixture.gateway.peak_memory_mb() < 16, "{} MB", fixture.gateway.peak_memory_mb());
    let metrics = fixture.gateway.metrics();
    assert_eq!((&metrics["passed"]["orden-nueva"], &metrics["upstream_tries"]), (&1.into(), &1.into()));
}

/// Guards against holding a slow client's answer in memory, and against cutting it off.
#[test]
fn an_answer_waits_for_its_client() {
    let answer = "z".repeat(LARGE_BODY_BYTES);
    let backend = FakeServer::start(move |_| ok(&answer));
    let fixture = fixture(&[&backend], 32);
    let mut slow_clients: Vec<Client> = (0..4).map(|_| fixture.gateway.client()).collect();
    slow_clients.iter_mut().enumerate().for_each(|(n, c)| c.send(&request("consulta", n as u64, 2000)));
    for client in &mut slow_clients {
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    }
    assert_eq!(fixture.gateway.metrics()["in_progress"], 4);
    assert!(fixture.gateway.peak_memory_mb() < 16, "{} MB", fixture.gateway.peak_memory_mb());
    for client in &mut slow_clients {
        while !client.read_line().is_empty() {}
        assert!(client.read_bytes(LARGE_BODY_BYTES).iter().all(|b| *b == b'z'));
    }
    while fixture.gateway.metrics()["in_progress"] != 0 {}
    assert_eq!(fixture.gateway.metrics()["passed"]["consulta"], 4);
}

/// Guards against rejecting valid requests for the framing of their body.
#[test]
fn every_form_of_a_body_is_served() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = fixture(&[&backend], 32);
    let mut client = fixture.gateway.client();
    let mut chunks = String::new();
    (0..40).for_each(|_| chunks.push_str(&format!("1000;ext=1\r\n{}\r\n", "y".repeat(4096))));
    let cases = [
        (request_with_body("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n"), 4),
        (
            request_with_body(
                "Transfer-Encoding: Chunked\r\ntrailer: x-sum",
                "2\r\n{4\r\n2\r\n2}\r\n0\r\nx-sum: 1\r\n\r\n",
            ),
            4,
        ),
        (request_with_body("transfer-encoding: chunked", &format!("{chunks}0\r\n\r\n")), 40 * 4096),
        (request_with_body("content-length: 0", ""), 0),
        (
            request("consulta", 7, 2000)
                .replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            0,
        ),
    ];
    for (text, length) in cases {
        assert_eq!(client.ask(&text).status(), 200, "{:.400}", text);
        let received = backend.next_request();
        assert_eq!((received.body.len(), received.header("trailer")), (length, None), "{:.400}", text);
    }
    // The client sends the body once it has received 100 Continue.
    let text = request_with_body("content-length: 4\r\nexpect: 100-continue", "{42}");
    let (head, body) = text.split_at(text.len() - 4);
    client.send(head);
    assert_eq!((client.read_line(), client.read_line()), ("HTTP/1.1 100 Continue".to_owned(), String::new()));
    assert_eq!(client.ask(body).status(), 200);
    assert_eq!(backend.next_request().header("expect"), None);
    // One byte at a time.
    for byte in request_with_body("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n").chars() {
        client.send(&byte.to_string());
    }
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
}

/// Guards against a second attempt whose body can't be sent from its beginning again, and against a refusal that is
/// lost while its client is still sending.
#[test]
fn a_body_that_was_begun_is_not_sent_again() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = attempts.clone();
    let react_overloaded = move |_: &HttpMessage| {
        counted.fetch_add(1, Ordering::SeqCst);
        Reaction::Answer(answer("503 Service Unavailable", "x-unprocessed: 1\r\n", ""))
    };
    let backends = [FakeServer::start(react_overloaded.clone()), FakeServer::start(react_overloaded)];
    let fixture = fixture(&[&backends[0], &backends[1]], 32);
    let mut client = fixture.gateway.client();
    let refused = client.ask(&request_with_body(
        &format!("content-length: {LARGE_BODY_BYTES}"),
        &"y".repeat(LARGE_BODY_BYTES),
    ));
    assert!(refused.status() == 503 && refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(attempts.load(Ordering::SeqCst), 1);
    // A body that is held whole is sent again, also if it was chunked.
    client.ask(&request_with_body("transfer-encoding: chunked", "4\r\n{42}\r\n0\r\n\r\n"));
    assert_eq!(attempts.load(Ordering::SeqCst), 3);
}

/// Guards against passing on a truncated answer as if it were complete.
#[test]
fn an_answer_that_breaks_off_is_seen_to() {
    let truncated = |fields: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{body}");
    let (length, chunk) = (200_000, "z".repeat(100_000));
    let texts = [
        truncated(&format!("content-length: {length}"), &chunk),
        truncated("transfer-encoding: chunked", &format!("186a0\r\n{chunk}\r\n")),
    ];
    for text in texts {
        let backend = FakeServer::start(move |_| Reaction::AnswerAndClose(text.clone()));
        let fixture = fixture(&[&backend], 32);
        let mut client = fixture.gateway.client();
        client.send(&request("consulta", 1, 2000));
        assert!(client.read_answer().is_none());
        while fixture.gateway.metrics()["bad_gateway"]["consulta"] != 1 {}
    }
}

/// A chunked answer that stops after its first chunk, with the connection open.
const ENDLESS_ANSWER: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";

/// Reads to the end of the connection or of a chunked answer; returns whether the answer is incomplete.
fn is_truncated(client: &mut Client) -> bool {
    loop {
        match client.read_available() {
            Some(bytes) if bytes.ends_with(b"0\r\n\r\n") => return false,
            Some(bytes) if !bytes.is_empty() => continue,
            _ => return true,
        }
    }
}

/// Guards against passing on an endless answer without end: the gateway ends it shortly after the request's deadline.
#[test]
fn an_answer_that_does_not_end_breaks_off_in_the_request_s_time() {
    let backend = FakeServer::start(|_| Reaction::Answer(ENDLESS_ANSWER.to_owned()));
    let fixture = fixture(&[&backend], 64);
    let started = Instant::now();
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 900));
    assert!(is_truncated(&mut client), "passed on as if complete");
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(1400), "{elapsed:?}");
    backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
}

/// Guards against an endless answer that holds up a restart until SIGKILL.
#[test]
fn an_answer_that_does_not_end_does_not_hold_up_a_restart() {
    let backend = FakeServer::start(|_| Reaction::Answer(ENDLESS_ANSWER.to_owned()));
    let mut fixture = fixture(&[&backend], 64);
    let mut client = fixture.gateway.client();
    client.send(&request("orden-nueva", 7, 5000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    let terminated_at = Instant::now();
    fixture.gateway.terminate();
    assert!(is_truncated(&mut client), "passed on as if complete");
    assert!(fixture.gateway.wait_for_exit().success());
    assert!(terminated_at.elapsed() < Duration::from_millis(3700), "{:?}", terminated_at.elapsed());
}
