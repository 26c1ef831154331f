//! The operators' server of the gateway process, on loopback sockets.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Starts a gateway with these backends, its discovery and its counter.
fn gateway(backends: &[&FakeServer]) -> (Gateway, FakeDiscovery, FakeServer) {
    let Fixture { gateway, discovery, counter } =
        Fixture::new(&GatewayOptions::default(), serving_entries(backends), fake_counter());
    (gateway, discovery, counter)
}

/// Guards against requests sent to a backend that operators have disabled, also after a list has removed it and a later
/// one has named it again.
#[test]
fn a_backend_taken_out_gets_nothing_until_it_is_put_back() {
    let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
    let (gateway, discovery, _counter) = gateway(&[&backends[0], &backends[1]]);
    let mut client = gateway.client();
    let mut successful_bodies = || -> Vec<Vec<u8>> {
        (0..12).map(|n| client.ask(&request("consulta", n, 2000)).body).filter(|b| b.len() == 1).collect()
    };
    for _ in 0..2 {
        assert_eq!(gateway.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    }
    assert!(successful_bodies().iter().all(|b| b == b"1"));
    discovery.set(vec![entry("s-1", backends[1].address, "SERVING")]);
    discovery.wait_until_list_received();
    discovery.set((0..2).map(|i| entry(&format!("s-{i}"), backends[i].address, "SERVING")).collect());
    discovery.wait_until_list_received();
    assert!(successful_bodies().iter().all(|b| b == b"1"));
    assert_eq!(gateway.metrics()["skipped_backends"], 1);
    assert_eq!(gateway.ops_request("PUT /backends/enable?id=s-0").status(), 200);
    assert_eq!(gateway.metrics()["skipped_backends"], 0);
    assert_eq!(gateway.ops_request("PUT /backends/disable?id=s-1").status(), 200);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !successful_bodies().contains(&b"0".to_vec()) {
        assert!(Instant::now() < deadline, "a backend that was enabled again stays unused");
    }
}

/// Guards against a success status for a call that was not carried out.
#[test]
fn what_is_no_call_is_owed_a_no() {
    let backend = FakeServer::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let invalid_calls = [
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
    for (call, status) in invalid_calls {
        assert_eq!(gateway.ops_request(call).status(), status, "{call}");
    }
    // An incomplete call has no effect.
    gateway.ops_client().send("PUT /drain HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nab");
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
}

/// Guards against connections without a request that lock the operators out.
#[test]
fn silent_callers_delay_no_other() {
    let backend = FakeServer::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let _silent: Vec<_> = (0..60).map(|_| gateway.ops_client()).collect();
    let began = Instant::now();
    assert_eq!(gateway.ops_request("GET /ready").status(), 200);
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// Guards against clients that keep their connections to a draining gateway, and against a drain that can't be undone.
#[test]
fn a_drain_sends_clients_away_until_its_end() {
    let backend = FakeServer::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(idle.ask(&request("consulta", 1, 2000)).header("connection"), None);
    assert_eq!(gateway.ops_request("PUT /drain").status(), 200);
    assert_eq!((gateway.health(), gateway.ops_request("GET /ready").status()), (Some(503), 503));
    // A request during the drain is served, and is the last on its connection.
    let answer = busy.ask(&request("consulta", 2, 2000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(busy.at_eof() && idle.at_eof());
    assert_eq!(gateway.ops_request("PUT /undrain").status(), 200);
    assert_eq!((gateway.health(), gateway.ops_request("GET /ready").status()), (Some(200), 200));
    let mut client = gateway.client();
    for _ in 0..2 {
        assert_eq!(client.ask(&request("consulta", 3, 2000)).header("connection"), None);
    }
}

/// Guards against a connection that stays in use through a drain because an answer was on its way when the drain began.
#[test]
fn a_drain_closes_connections_behind_answers_on_their_way() {
    let piece = "z".repeat(25_000);
    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
    let last_chunk = (0, LAST_CHUNK.to_owned());
    let answers = [
        ("content-length: 100000", vec![(300, piece); 4]),
        ("transfer-encoding: chunked", [vec![(300, chunk); 4], vec![last_chunk]].concat()),
    ];
    for (field, mut pieces) in answers {
        pieces[0].1 = format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n{}", pieces[0].1);
        pieces[0].0 = 0;
        let pieces = std::sync::Arc::new(pieces);
        let backend = FakeServer::start(move |_| Reaction::Pieces(pieces.to_vec()));
        let (gateway, _discovery, _counter) = gateway(&[&backend]);
        let mut client = gateway.client();
        client.send(&request("consulta", 1, 3_000));
        client.wait_for_bytes();
        assert_eq!(gateway.ops_request("PUT /drain").status(), 200);
        // The client reads on once the drain is in force for each connection.
        std::thread::sleep(Duration::from_millis(200));
        assert_eq!(
            client.read_answer().map(|answer| answer.status()),
            Some(200),
            "{field}: {}",
            gateway.log()
        );
        // As clients do with the connections that they keep, it is used again at once.
        client.send_ignoring_errors(&request("consulta", 1, 2_000));
        let next = client.read_answer().map(|answer| answer.status());
        assert_eq!(next, None, "{field}: the connection is still in use");
        assert_eq!(backend.requests.try_iter().count(), 1, "{field}: the next request was sent on");
    }
}

/// Guards against metrics that don't show the results of requests and attempts.
#[test]
fn the_figures_count_each_request_once() {
    let backend = FakeServer::start(|request| match request.path() {
        path if path.contains("orden") => Reaction::Close,
        path if path.ends_with("9") => Reaction::Silence,
        _ => ok("x"),
    });
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    let mut client = gateway.client();
    for n in 0..3 {
        assert_eq!(client.ask(&request("consulta", n, 2000)).status(), 200);
    }
    assert_eq!(client.ask(&request("orden-nueva", 4, 2000)).status(), 504);
    let mut waiting_client = gateway.client();
    waiting_client.send(&request("consulta", 9, 2500));
    while !backend.next_request().path().ends_with("9") {}
    let metrics = gateway.metrics();
    assert_eq!(metrics["passed"], serde_json::json!({"consulta": 3, "modificar": 0, "orden-nueva": 0}));
    assert_eq!(metrics["bad_gateway"]["orden-nueva"], 1);
    assert_eq!(metrics["dropped"]["consulta"], 0);
    assert_eq!((&metrics["upstream_tries"], &metrics["in_progress"]), (&5.into(), &1.into()));
    assert_eq!((&metrics["known_backends"], &metrics["skipped_backends"]), (&1.into(), &0.into()));
    gateway.ops_request("PUT /backends/disable?id=s-0");
    assert!(client.ask(&request("consulta", 5, 2000)).status() >= 429);
    assert_eq!(gateway.metrics()["dropped"]["consulta"], 1);
}

/// Guards against closing the connection of a call before the call is read. The process was stopped while the call and
/// many connections without a request entered the accept queue of the operators' server.
#[test]
fn a_call_that_came_before_silent_callers_is_answered() {
    let backend = FakeServer::start(|_| ok("x"));
    let (gateway, _discovery, _counter) = gateway(&[&backend]);
    gateway.signal("-STOP");
    let mut calls: Vec<Client> = (0..3).map(|_| gateway.ops_client()).collect();
    calls.iter_mut().for_each(|c| c.send("GET /ready HTTP/1.1\r\nhost: t\r\n\r\n"));
    let mut silent: Vec<Client> = (0..60).map(|_| gateway.ops_client()).collect();
    let mut last = gateway.ops_client();
    last.send("GET /ready HTTP/1.1\r\nhost: t\r\n\r\n");
    silent.extend((0..3).map(|_| gateway.ops_client()));
    let began = Instant::now();
    gateway.signal("-CONT");
    for (n, call) in calls.iter_mut().chain([&mut last]).enumerate() {
        assert_eq!(call.read_answer().map(|a| a.status()), Some(200), "call {n}");
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// Guards against calls that are read in part, twice or not at all, and against answers that the caller can't read,
/// where a call comes in pieces, is too long or has an unusual form.
#[test]
fn odd_calls_get_their_one_answer_and_do_only_what_they_say() {
    let backend = FakeServer::start(|_| ok("x"));
    let (gateway, discovery, _counter) = gateway(&[&backend]);
    let call = |line: &str, fields_and_body: &str| format!("{line} HTTP/1.1\r\nhost: t\r\n{fields_and_body}");
    let long_id = "y".repeat(7000);
    let cases = [
        // Bytes behind a call are not taken for another call.
        (call("GET /ready", "\r\n") + &call("PUT /drain", "\r\n"), 200),
        (call("GET /ready", "\r\n").repeat(3000), 200),
        (call("GET /ready", "content-length: 1024\r\n\r\n") + &"x".repeat(1024), 200),
        (call("PUT /drain", "content-length: 1025\r\n\r\n") + &"x".repeat(1025), 400),
        (call("PUT /drain", "content-length: 4000000\r\n\r\n") + &"x".repeat(4_000_000), 400),
        (
            call("PUT /drain", "transfer-encoding: chunked\r\n\r\n400\r\n")
                + &"x".repeat(1024)
                + "\r\n1\r\nx\r\n0\r\n\r\n",
            400,
        ),
        (call("PUT /drain", "transfer-encoding: chunked\r\n\r\nzz\r\n"), 400),
        (call("PUT /drain", "content-length: 0\r\ncontent-length: 5\r\n\r\n"), 400),
        (call("PUT /backends/disable?id=s-0&id=s-0", "\r\n"), 400),
        (call("PUT /backends/disable?id=", "\r\n"), 404),
        (call("PUT /backends/disable?ID=s-0", "\r\n"), 400),
        (call("PUT /backends/disable?id=s-0%00", "\r\n"), 404),
        (call("PUT /backends/disable?id=%ff%zz", "\r\n"), 404),
        (call(&format!("PUT /backends/disable?id={long_id}"), "\r\n"), 404),
        (call(&format!("PUT /backends/disable?id={long_id}{long_id}"), "\r\n"), 431),
        (call("PUT /backends/enable?id=s-0", "\r\n"), 200),
        (call("PUT /backends/enable?x=1&id=s%2D0", "\r\n"), 200),
        (call("PUT /drain/", "\r\n"), 404),
        (call("PUT http://t/undrain", "\r\n"), 200),
    ];
    for (text, status) in cases {
        let shown = &text[..text.len().min(80)];
        let began = Instant::now();
        let mut caller = gateway.ops_client();
        caller.send_ignoring_errors(&text);
        assert_eq!(caller.read_answer().map(|a| a.status()), Some(status), "{shown}");
        assert!(caller.at_eof(), "{shown}: the connection is not closed properly");
        assert!(began.elapsed() < Duration::from_secs(1), "{shown}: {:?}", began.elapsed());
        assert_eq!(gateway.ops_request("GET /ready").status(), 200, "{shown}");
        assert_eq!(gateway.metrics()["skipped_backends"], 0, "{shown}");
    }
    // The first call arrives in pieces over 2.5 s, beside silent callers; the second is closed, incomplete, after 3 s.
    let mut callers = [gateway.ops_client(), gateway.ops_client()];
    let text = call("PUT /backends/disable?id=s-0", "content-length: 2\r\n\r\nxy");
    let _silent: Vec<Client> = (0..6).map(|_| gateway.ops_client()).collect();
    for piece in text.as_bytes().chunks(text.len() / 10 + 1) {
        let piece = String::from_utf8_lossy(piece);
        callers[0].send(&piece);
        callers[1].send(&piece[..piece.len() - 1]);
        std::thread::sleep(Duration::from_millis(240));
    }
    assert_eq!(callers[0].read_answer().map(|a| a.status()), Some(200));
    assert!(callers[1].closed_or_error());
    assert_eq!(gateway.metrics()["skipped_backends"], 1);
    // A disabled backend that has gone can be enabled once; later calls don't find it.
    discovery.set(vec![entry("s-0", backend.address, "DELETED")]);
    discovery.wait_until_list_received();
    let statuses = ["disable", "enable", "enable", "disable"]
        .map(|what| gateway.ops_request(&format!("PUT /backends/{what}?id=s-0")).status());
    assert_eq!(statuses, [200, 200, 404, 404]);
}

/// Guards against a drain that stays in force after it is undone, and against calls that make an ending process ready
/// again: calls in quick succession, up to the last moment of the process, while clients are served.
#[test]
fn calls_in_quick_turns_and_at_the_end() {
    let backend = FakeServer::start(|_| ok("x"));
    let (mut gateway, _discovery, _counter) = gateway(&[&backend]);
    for round in 0..50 {
        assert_eq!(gateway.ops_request("PUT /drain").status(), 200);
        assert_eq!(gateway.client().ask(&request("consulta", round, 2000)).status(), 200);
        assert_eq!(gateway.ops_request("PUT /undrain").status(), 200);
        assert_eq!((gateway.health(), gateway.ops_request("GET /ready").status()), (Some(200), 200));
    }
    gateway.terminate();
    while gateway.ops_request("GET /ready").status() == 200 {}
    let (mut answered, mut cut_off) = (0, 0);
    while let Ok(stream) = std::net::TcpStream::connect(gateway.ops) {
        let mut caller = Client::from_stream(stream);
        caller.send_ignoring_errors(&format!(
            "{} HTTP/1.1\r\nhost: t\r\n\r\n",
            ["PUT /undrain", "GET /ready"][answered % 2]
        ));
        match caller.read_answer() {
            Some(answer) => assert_eq!(answer.status(), [200, 503][answered % 2]),
            None => cut_off += 1,
        }
        answered += 1;
    }
    assert!(gateway.wait_for_exit().success());
    // One call may still be open when the process exits.
    assert!(answered > 20 && cut_off <= 1, "{cut_off} of {answered} cut off");
}
