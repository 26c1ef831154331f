//! Answers and uploads that end before they are complete: each cause has its reason, log line and metric.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Starts a gateway with one backend and default options.
fn start_fixture(backend: &FakeServer) -> Fixture {
    start_fixture_with(&GatewayOptions::default(), backend)
}

/// Starts a gateway with one backend.
fn start_fixture_with(options: &GatewayOptions, backend: &FakeServer) -> Fixture {
    Fixture::new(options, serving_entries(&[backend]), fake_counter())
}

impl Fixture {
    /// Waits until the metric has counted one interruption with this reason, and checks that it is the only one and
    /// that it is logged.
    fn expect_interruption(&self, metric: &str, reason: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let count = || self.gateway.metrics()[metric].clone();
        while count()[reason] != 1 {
            assert!(Instant::now() < deadline, "{reason}: {} {}", count(), self.gateway.log());
            std::thread::sleep(Duration::from_millis(5));
        }
        let counts = count();
        let all: u64 = counts.as_object().expect("counts").values().filter_map(|n| n.as_u64()).sum();
        assert_eq!(all, 1, "{counts}");
        self.expect_log_line(if metric.starts_with("answers") { "answer" } else { "upload" }, reason);
    }

    /// Checks that the log has an interruption of this kind (`answer` or `upload`) and reason.
    fn expect_log_line(&self, kind: &str, reason: &str) {
        let line = format!("{kind} interrupted: {reason}; request \"id-");
        assert!(self.gateway.log().contains(&line), "{line:?} is not in {}", self.gateway.log());
    }
}

/// Returns the head and the first 70,000 bytes of an answer of this length in bytes.
fn incomplete_answer(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{}", "z".repeat(70_000))
}

#[test]
fn an_answer_whose_backend_breaks_off() {
    let backend = FakeServer::start(|_| {
        Reaction::PiecesAndReset(vec![(0, incomplete_answer(200_000)), (30, "z".into())])
    });
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 2000));
    assert!(client.read_answer().is_none());
    fixture.expect_interruption("answers_interrupted", "backend_broke");
}

#[test]
fn an_answer_that_is_too_long() {
    let chunk = format!("100000\r\n{}\r\n", "z".repeat(1 << 20));
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let backend = FakeServer::start(move |_| {
        let chunks = (0..41).map(|_| (0, chunk.clone()));
        Reaction::Pieces([(0, head.clone())].into_iter().chain(chunks).collect())
    });
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 2000));
    assert!(client.read_answer().is_none());
    fixture.expect_interruption("answers_interrupted", "too_long");
}

/// One that begins shortly before its deadline is answered as failed; of one that begins earlier, its client has got a
/// part already.
#[test]
fn an_answer_that_is_late() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    for (client_wait_ms, status) in [(600, Some(504)), (2_400, None)] {
        let backend = FakeServer::start(move |_| Reaction::Answer(text.to_owned()));
        let fixture = start_fixture(&backend);
        let mut client = fixture.gateway.client();
        client.send(&request("consulta", 7, client_wait_ms));
        assert_eq!(client.read_answer().map(|answer| answer.status()), status);
        fixture.expect_interruption("answers_interrupted", "late");
    }
}

#[test]
fn an_answer_that_stalls() {
    let backend = FakeServer::start(|_| Reaction::Answer(incomplete_answer(200_000)));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 600));
    assert!(client.read_answer().is_none());
    fixture.expect_interruption("answers_interrupted", "stalled");
}

#[test]
fn an_answer_whose_client_leaves() {
    for how in [Disconnect::Close, Disconnect::Reset] {
        let backend = FakeServer::start(|_| Reaction::Answer(incomplete_answer(200_000)));
        let fixture = start_fixture(&backend);
        let mut client = fixture.gateway.client();
        client.send(&request("consulta", 7, 2000));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        client.disconnect(how);
        fixture.expect_interruption("answers_interrupted", "client_closed");
        assert_eq!(fixture.gateway.metrics()["bad_gateway"]["consulta"], 0);
    }
}

#[test]
fn an_answer_that_trickles() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let bytes = (0..200).map(|_| (100, "1\r\nz\r\n".to_owned()));
    let pieces: Vec<_> = [(0, head)].into_iter().chain(bytes).collect();
    let backend = FakeServer::start(move |_| Reaction::Pieces(pieces.clone()));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    let began = Instant::now();
    client.send(&request("consulta", 7, 600));
    assert!(client.read_answer().is_none());
    assert!(began.elapsed() > Duration::from_secs(10), "{:?}", began.elapsed());
    fixture.expect_interruption("answers_interrupted", "too_slow");
}

#[test]
fn an_answer_of_which_the_client_takes_nothing() {
    let length = 32 << 20;
    let backend = FakeServer::start(move |_| ok(&"z".repeat(length)));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 2000));
    fixture.expect_interruption("answers_interrupted", "client_stopped");
}

#[test]
fn an_answer_that_does_not_end_as_the_process_does() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let backend = FakeServer::start(move |_| Reaction::Answer(text.to_owned()));
    let mut fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    client.send(&request("orden-nueva", 7, 5000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    fixture.gateway.terminate();
    assert!(fixture.gateway.wait_for_exit().success());
    fixture.expect_log_line("answer", "process_ended");
}

#[test]
fn an_upload_that_makes_way() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture_with(&GatewayOptions { sockets: 100, ..GatewayOptions::default() }, &backend);
    let text = request("orden-nueva", 7, 2000);
    let mut clients = Vec::new();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let made_way = || fixture.gateway.metrics()["uploads_interrupted"]["made_way"].as_u64();
    // Add one more incomplete body from time to time, until one has to make way for the next.
    while made_way() == Some(0) {
        assert!(Instant::now() < deadline && clients.len() < 100, "{}", fixture.gateway.log());
        let mut client = fixture.gateway.client();
        client.send_ignoring_errors(&text[..text.len() - 2]);
        clients.push(client);
        std::thread::sleep(Duration::from_millis(20));
    }
    fixture.expect_log_line("upload", "made_way");
}

#[test]
fn an_upload_whose_client_leaves() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text[..text.len() - 2]);
    // Nothing shows that the head has arrived; this is long enough for it.
    std::thread::sleep(Duration::from_millis(50));
    client.disconnect(Disconnect::Close);
    fixture.expect_interruption("uploads_interrupted", "client_broke");
}

#[test]
fn an_upload_that_comes_too_slowly() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text[..text.len() - 2]);
    assert!(client.closed_or_error());
    fixture.expect_interruption("uploads_interrupted", "too_slow");
}

#[test]
fn an_upload_that_is_too_long() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(&backend);
    let mut client = fixture.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", "transfer-encoding: chunked\r\n\r\n"));
    let chunk = format!("100000\r\n{}\r\n", "y".repeat(1 << 20));
    (0..41).for_each(|_| client.send_ignoring_errors(&chunk));
    fixture.expect_interruption("uploads_interrupted", "too_long");
}

#[test]
fn an_upload_that_is_answered_early() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(&backend);
    // No backend is left to send the request to: the answer does not wait for the body.
    assert_eq!(fixture.gateway.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    let mut client = fixture.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", "content-length: 200000\r\n\r\n"));
    client.send(&"y".repeat(100_000));
    assert!(client.read_answer().is_some_and(|a| a.status() >= 400));
    fixture.expect_interruption("uploads_interrupted", "answered_early");
}
