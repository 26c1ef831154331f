//! The operators' door, on loopback sockets. Each test guards against one way to go wrong.

mod common;

use common::*;
use std::time::{Duration, Instant};

fn gateway(backends: &[&Fake]) -> (Gateway, Discovery, Fake) {
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
    let (discovery, counter) = (Discovery::start(entries.collect()), counter());
    let gateway = Gateway::start(&Start::default(), discovery.fake.address, counter.address);
    discovery.settled();
    (gateway, discovery, counter)
}

/// Guards against work sent to a backend that operators restart, also after a list that names it anew.
#[test]
fn a_backend_taken_out_gets_nothing_until_it_is_put_back() {
    let backends = [Fake::start(|_| ok("0")), Fake::start(|_| ok("1"))];
    let (gateway, discovery, _counter) = gateway(&[&backends[0], &backends[1]]);
    let mut client = gateway.client();
    let mut served = || -> Vec<Vec<u8>> {
        (0..12).map(|n| client.ask(&request("consulta", n, 2000)).body).filter(|b| b.len() == 1).collect()
    };
    for _ in 0..2 {
        assert_eq!(gateway.call("PUT /backends/disable?id=s-0").status(), 200);
    }
    assert!(served().iter().all(|b| b == b"1"));
    discovery.set(vec![entry("s-1", backends[1].address, "SERVING")]);
    discovery.settled();
    discovery.set((0..2).map(|i| entry(&format!("s-{i}"), backends[i].address, "SERVING")).collect());
    discovery.settled();
    assert!(served().iter().all(|b| b == b"1"));
    assert_eq!(gateway.figures()["skipped_backends"], 1);
    assert_eq!(gateway.call("PUT /backends/enable?id=s-0").status(), 200);
    assert_eq!(gateway.figures()["skipped_backends"], 0);
    assert_eq!(gateway.call("PUT /backends/disable?id=s-1").status(), 200);
    let until = Instant::now() + LONG;
    while !served().contains(&b"0".to_vec()) {
        assert!(Instant::now() < until, "a backend that was put back stays unused");
    }
}

/// Guards against a yes to a call that was not carried out.
#[test]
fn what_is_no_call_is_owed_a_no() {
    let backend = Fake::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let wrong = [
        ("PUT /backends/disable?id=s-9", 404),
        ("PUT /backends/enable?id=s-9", 404),
        ("PUT /backends/disable", 400),
        ("PUT /backends/disable?id=s-0&id=s-1", 400),
        ("GET /drain", 405),
        ("POST /undrain", 405),
        ("PUT /metrics", 405),
        ("GET /", 404),
        ("nonsense", 400),
    ];
    for (call, status) in wrong {
        assert_eq!(gateway.call(call).status(), status, "{call}");
    }
    // Half a call does nothing.
    gateway.caller().send("PUT /drain HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nab");
    assert_eq!(gateway.call("GET /ready").status(), 200);
}

/// Guards against operators shut out by callers that say nothing.
#[test]
fn silent_callers_delay_no_other() {
    let backend = Fake::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let _silent: Vec<_> = (0..60).map(|_| gateway.caller()).collect();
    let began = Instant::now();
    assert_eq!(gateway.call("GET /ready").status(), 200);
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// Guards against clients that stay on a gateway in a drain, and against a drain that does not end.
#[test]
fn a_drain_sends_clients_away_until_its_end() {
    let backend = Fake::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(idle.ask(&request("consulta", 1, 2000)).header("connection"), None);
    assert_eq!(gateway.call("PUT /drain").status(), 200);
    assert_eq!((gateway.health(), gateway.call("GET /ready").status()), (Some(503), 503));
    // What comes still is served, and is the last on its connection.
    let answer = busy.ask(&request("consulta", 2, 2000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(busy.at_end() && idle.at_end());
    assert_eq!(gateway.call("PUT /undrain").status(), 200);
    assert_eq!((gateway.health(), gateway.call("GET /ready").status()), (Some(200), 200));
    let mut client = gateway.client();
    for _ in 0..2 {
        assert_eq!(client.ask(&request("consulta", 3, 2000)).header("connection"), None);
    }
}

/// Guards against figures that do not tell what became of requests and attempts.
#[test]
fn the_figures_count_each_request_once() {
    let backend = Fake::start(|seen| match seen.path() {
        path if path.contains("orden") => Reaction::Break,
        path if path.ends_with("9") => Reaction::Silence,
        _ => ok("x"),
    });
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let mut client = gateway.client();
    for n in 0..3 {
        assert_eq!(client.ask(&request("consulta", n, 2000)).status(), 200);
    }
    assert_eq!(client.ask(&request("orden-nueva", 4, 2000)).status(), 504);
    let mut waits = gateway.client();
    waits.send(&request("consulta", 9, 2500));
    while !backend.next().path().ends_with("9") {}
    let seen = gateway.figures();
    assert_eq!(seen["passed"], serde_json::json!({"consulta": 3, "modificar": 0, "orden-nueva": 0}));
    assert_eq!(seen["bad_gateway"]["orden-nueva"], 1);
    assert_eq!(seen["dropped"]["consulta"], 0);
    assert_eq!((&seen["upstream_tries"], &seen["in_progress"]), (&5.into(), &1.into()));
    assert_eq!((&seen["known_backends"], &seen["skipped_backends"]), (&1.into(), &0.into()));
    gateway.call("PUT /backends/disable?id=s-0");
    assert!(client.ask(&request("consulta", 5, 2000)).status() >= 429);
    assert_eq!(gateway.figures()["dropped"]["consulta"], 1);
}
