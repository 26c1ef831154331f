//! Answers and bodies that end before they are whole: each way has a name, a log line and a figure.

mod common;

use common::*;
use std::time::{Duration, Instant};

fn scene(backend: &FakeServer) -> Fixture {
    scene_with(&GatewayOptions::default(), backend)
}

fn scene_with(start: &GatewayOptions, backend: &FakeServer) -> Fixture {
    Fixture::new(start, serving_entries(&[backend]), fake_counter())
}

impl Fixture {
    /// Waits until one body has ended in this way, and checks that it alone is counted and told.
    fn expect(&self, figure: &str, why: &str) {
        let until = Instant::now() + TEST_TIMEOUT;
        let count = || self.gateway.metrics()[figure].clone();
        while count()[why] != 1 {
            assert!(Instant::now() < until, "{why}: {} {}", count(), self.gateway.log());
            std::thread::sleep(Duration::from_millis(5));
        }
        let counts = count();
        let all: u64 = counts.as_object().expect("counts").values().filter_map(|n| n.as_u64()).sum();
        assert_eq!(all, 1, "{counts}");
        self.expect_line(if figure.starts_with("answers") { "answer" } else { "upload" }, why);
    }

    fn expect_line(&self, kind: &str, why: &str) {
        let line = format!("{kind} interrupted: {why}; request \"id-");
        assert!(self.gateway.log().contains(&line), "{line:?} is not in {}", self.gateway.log());
    }
}

/// The beginning of a long answer.
fn begun(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{}", "z".repeat(70_000))
}

#[test]
fn an_answer_whose_backend_breaks_off() {
    let backend =
        FakeServer::start(|_| Reaction::PiecesAndReset(vec![(0, begun(200_000)), (30, "z".into())]));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 2000));
    assert!(client.read_answer().is_none());
    scene.expect("answers_interrupted", "backend_broke");
}

#[test]
fn an_answer_that_is_too_long() {
    let chunk = format!("100000\r\n{}\r\n", "z".repeat(1 << 20));
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let backend = FakeServer::start(move |_| {
        let chunks = (0..41).map(|_| (0, chunk.clone()));
        Reaction::Pieces([(0, head.clone())].into_iter().chain(chunks).collect())
    });
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 2000));
    assert!(client.read_answer().is_none());
    scene.expect("answers_interrupted", "too_long");
}

#[test]
fn an_answer_that_is_late() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let backend = FakeServer::start(move |_| Reaction::Answer(text.to_owned()));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 600));
    assert!(client.read_answer().is_none());
    scene.expect("answers_interrupted", "late");
}

#[test]
fn an_answer_that_stalls() {
    let backend = FakeServer::start(|_| Reaction::Answer(begun(200_000)));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 600));
    assert!(client.read_answer().is_none());
    scene.expect("answers_interrupted", "stalled");
}

#[test]
fn an_answer_whose_client_leaves() {
    for how in [Disconnect::Close, Disconnect::Reset] {
        let backend = FakeServer::start(|_| Reaction::Answer(begun(200_000)));
        let scene = scene(&backend);
        let mut client = scene.gateway.client();
        client.send(&request("consulta", 7, 2000));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        client.disconnect(how);
        scene.expect("answers_interrupted", "client_closed");
        assert_eq!(scene.gateway.metrics()["bad_gateway"]["consulta"], 0);
    }
}

#[test]
fn an_answer_that_trickles() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let bytes = (0..200).map(|_| (100, "1\r\nz\r\n".to_owned()));
    let pieces: Vec<_> = [(0, head)].into_iter().chain(bytes).collect();
    let backend = FakeServer::start(move |_| Reaction::Pieces(pieces.clone()));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    let began = Instant::now();
    client.send(&request("consulta", 7, 600));
    assert!(client.read_answer().is_none());
    assert!(began.elapsed() > Duration::from_secs(10), "{:?}", began.elapsed());
    scene.expect("answers_interrupted", "too_slow");
}

#[test]
fn an_answer_of_which_the_client_takes_nothing() {
    let length = 32 << 20;
    let backend = FakeServer::start(move |_| ok(&"z".repeat(length)));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, 2000));
    scene.expect("answers_interrupted", "client_stopped");
}

#[test]
fn an_answer_that_does_not_end_as_the_process_does() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let backend = FakeServer::start(move |_| Reaction::Answer(text.to_owned()));
    let mut scene = scene(&backend);
    let mut client = scene.gateway.client();
    client.send(&request("orden-nueva", 7, 5000));
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    scene.gateway.terminate();
    assert!(scene.gateway.wait_for_exit().success());
    scene.expect_line("answer", "process_ended");
}

#[test]
fn an_upload_that_makes_way() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene_with(&GatewayOptions { sockets: 100, ..GatewayOptions::default() }, &backend);
    let whole = request("orden-nueva", 7, 2000);
    let mut clients = Vec::new();
    let until = Instant::now() + TEST_TIMEOUT;
    let made_way = || scene.gateway.metrics()["uploads_interrupted"]["made_way"].as_u64();
    // Slow bodies, one more every now and then, until one has to leave for the next.
    while made_way() == Some(0) {
        assert!(Instant::now() < until && clients.len() < 100, "{}", scene.gateway.log());
        let mut client = scene.gateway.client();
        client.send_ignoring_errors(&whole[..whole.len() - 2]);
        clients.push(client);
        std::thread::sleep(Duration::from_millis(20));
    }
    scene.expect_line("upload", "made_way");
}

#[test]
fn an_upload_whose_client_leaves() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    let whole = request("orden-nueva", 7, 2000);
    client.send(&whole[..whole.len() - 2]);
    // Nothing tells that the head has come; this is long for that.
    std::thread::sleep(Duration::from_millis(50));
    client.disconnect(Disconnect::Close);
    scene.expect("uploads_interrupted", "client_broke");
}

#[test]
fn an_upload_that_comes_too_slowly() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    let whole = request("orden-nueva", 7, 2000);
    client.send(&whole[..whole.len() - 2]);
    assert!(client.closed_or_error());
    scene.expect("uploads_interrupted", "too_slow");
}

#[test]
fn an_upload_that_is_too_long() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(&backend);
    let mut client = scene.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", "transfer-encoding: chunked\r\n\r\n"));
    let chunk = format!("100000\r\n{}\r\n", "y".repeat(1 << 20));
    (0..41).for_each(|_| client.send_ignoring_errors(&chunk));
    scene.expect("uploads_interrupted", "too_long");
}

#[test]
fn an_upload_that_is_answered_early() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(&backend);
    // Nothing can be sent anywhere: the answer does not wait for the body.
    assert_eq!(scene.gateway.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    let mut client = scene.gateway.client();
    let text = request("orden-nueva", 7, 2000);
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", "content-length: 200000\r\n\r\n"));
    client.send(&"y".repeat(100_000));
    assert!(client.read_answer().is_some_and(|a| a.status() >= 400));
    scene.expect("uploads_interrupted", "answered_early");
}
