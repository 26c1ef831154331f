//! The gateway process on loopback sockets, between fake servers. Each test guards against one failure.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn fixture(backends: &[&FakeServer]) -> Fixture {
    fixture_with(GatewayOptions::default(), serving_entries(backends), fake_counter())
}

fn fixture_with(options: GatewayOptions, entries: Vec<String>, counter: FakeServer) -> Fixture {
    Fixture::new(&options, entries, counter)
}

/// The header field of an answer to a request that the backend has not processed.
const UNPROCESSED: &str = "x-unprocessed: 1\r\n";

/// Guards against altering a request or an answer.
#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend = FakeServer::start(|_| ok("served!"));
    let fixture = fixture(&[&backend]);
    let mut client = fixture.gateway.client();
    let text = request("modificar", 7, 1000).replace(" HTTP/1.1", "?a=1&b=%20 HTTP/1.1");
    let answer = client.ask(&text);
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"served!"[..]));
    let received = backend.next_request();
    assert_eq!(received.start_line, "POST /modificar/0000000000000007?a=1&b=%20 HTTP/1.1");
    assert_eq!(received.body, b"{42}");
    assert_eq!(received.header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert!(text
        .contains(&format!("x-correlation-id: {}\r\n", received.header("x-correlation-id").expect("an id"))));
    let left_ms: u64 = received.header("x-time-left-ms").and_then(|v| v.parse().ok()).expect("a time");
    assert!(left_ms > 0 && left_ms <= 1000, "{left_ms}");
}

/// Guards against truncating bodies at the largest length that is held whole, 64 kiB, and against passing on a request
/// target in absolute form.
#[test]
fn the_largest_bodies_and_absolute_targets_go_through() {
    let large = "y".repeat(64 * 1024);
    let answer_body = large.clone();
    let backend = FakeServer::start(move |_| ok(&answer_body));
    let fixture = fixture(&[&backend]);
    let text = request("orden-nueva", 7, 2000).replace("POST /", "POST http://backend.local/");
    let text =
        text.replace("content-length: 4\r\n\r\n{42}", &format!("content-length: 65536\r\n\r\n{large}"));
    let answer = fixture.gateway.client().ask(&text);
    assert_eq!((answer.status(), answer.body.len()), (200, large.len()));
    let received = backend.next_request();
    assert_eq!((received.path(), received.body.len()), ("/orden-nueva/0000000000000007", large.len()));
}

/// Guards against probing an ejected backend over an earlier connection, which says nothing about new ones: the probe
/// uses a new connection although an older one is idle.
#[test]
fn an_ejected_backend_is_probed_over_a_new_connection() {
    let barrier = std::sync::Barrier::new(3);
    let request_count = AtomicUsize::new(0);
    let backend = FakeServer::start(move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
        0..3 => {
            barrier.wait();
            ok("x")
        }
        3 | 4 => Reaction::Close,
        _ => ok("x"),
    });
    let fixture = fixture(&[&backend]);
    let mut clients = [(); 3].map(|()| fixture.gateway.client());
    // Three requests at the same time need three connections, and leave all of them idle.
    clients.iter_mut().for_each(|c| c.send(&request("consulta", 7, 2000)));
    clients.iter_mut().for_each(|c| assert_eq!(c.read_answer().expect("an answer").status(), 200));
    // Two connections break in a row, which ejects the backend.
    clients[..2].iter_mut().for_each(|c| drop(c.ask(&request("consulta", 7, 2000))));
    let probe =
        std::iter::from_fn(|| Some(backend.next_request())).find(|r| r.path() == "/load").expect("a probe");
    assert!(probe.connection >= 3, "probed over connection {}", probe.connection);
}

/// Guards against an unsafe request that takes effect twice. If its connection breaks after it was written, or the
/// answer does not say that it was not processed, it may have run: it is not sent again, and not answered as a refusal.
#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let reactions: [fn() -> Reaction; 3] = [
        || Reaction::Close,
        || Reaction::Answer(answer("500 Internal Server Error", "", "")),
        // A 503 without `x-unprocessed` does not prove that the request did not run.
        || Reaction::Answer(answer("503 Service Unavailable", "", "")),
    ];
    for react in reactions {
        let (a, b) = (FakeServer::start(move |_| react()), FakeServer::start(move |_| react()));
        let fixture = fixture(&[&a, &b]);
        assert_eq!(fixture.gateway.client().ask(&request("orden-nueva", 7, 2000)).status(), 504);
        let attempts = a.requests.try_iter().chain(b.requests.try_iter()).count();
        assert_eq!(attempts, 1);
    }
}

/// Guards against failing a request of which no attempt can have run: after a refused connection, or an answer with
/// `x-unprocessed`, even an unsafe request is sent to another backend.
#[test]
fn an_unsafe_request_that_cannot_have_run_goes_elsewhere() {
    let working = FakeServer::start(|_| ok("done"));
    let overloaded =
        FakeServer::start(|_| Reaction::Answer(answer("503 Service Unavailable", UNPROCESSED, "")));
    let timed_out = FakeServer::start(|_| Reaction::Answer(answer("504 Gateway Timeout", UNPROCESSED, "")));
    for other in [unused_address(), overloaded.address, timed_out.address] {
        let entries = vec![entry("s-0", other, "SERVING"), entry("s-1", working.address, "SERVING")];
        let fixture = fixture_with(GatewayOptions::default(), entries, fake_counter());
        let mut client = fixture.gateway.client();
        for _ in 0..12 {
            assert_eq!(client.ask(&request("orden-nueva", 7, 2000)).status(), 200);
        }
    }
    assert!(overloaded.requests.try_iter().count() > 0 && timed_out.requests.try_iter().count() > 0);
}

/// Guards against losing a safe request with the connection of its first attempt: with hedging enabled, a second
/// attempt goes to another backend while the first is in flight, its answer is passed on, and the first is cancelled.
#[test]
fn a_late_first_attempt_gets_its_second_copy_and_the_first_is_called_off() {
    let attempt_count = Arc::new(AtomicUsize::new(0));
    let start_backend = |attempt_count: Arc<AtomicUsize>| {
        FakeServer::start(move |_| match attempt_count.fetch_add(1, Ordering::SeqCst) {
            0 => Reaction::Silence,
            _ => ok("copy"),
        })
    };
    let backends = [start_backend(attempt_count.clone()), start_backend(attempt_count)];
    let changes = &[("\"second_copies\":false", "\"second_copies\":true")];
    let options = GatewayOptions { changes, ..GatewayOptions::default() };
    let fixture = fixture_with(options, serving_entries(&[&backends[0], &backends[1]]), fake_counter());
    let answer = fixture.gateway.client().ask(&request("consulta", 7, 3000));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"copy"[..]));
    let received = backends.each_ref().map(FakeServer::next_request);
    assert_eq!(received[0].header("x-correlation-id"), received[1].header("x-correlation-id"));
    let silent = usize::from(received[1].received_at < received[0].received_at);
    backends[silent].closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the silent attempt is cancelled");
}

/// Guards against counting estimated units: if units are settled after the answer, those that the answer bills are sent
/// to the counter.
#[test]
fn the_units_that_an_answer_bills_are_what_the_counter_is_told() {
    let react = |_: &HttpMessage| Reaction::Answer(answer("200 OK", "billed-units: 4\r\n", "x"));
    let backend = FakeServer::start(react);
    let (counted, total_changed) = (Arc::new(Mutex::new(0.0)), Arc::new(std::sync::Condvar::new()));
    let (sum, changed) = (counted.clone(), total_changed.clone());
    let counter = FakeServer::start(move |call| {
        let delta = call.path().split("delta=").nth(1).and_then(|d| d.split('&').next()?.parse::<f64>().ok());
        let mut sum = sum.lock().expect("unpoisoned");
        *sum += delta.expect("an amount");
        changed.notify_all();
        ok(&sum.to_string())
    });
    let changes = &[("\"units_top\":1", "\"units_top\":6,\"cost_after\":true")];
    let options = GatewayOptions { rate: 10.0, burst: 100.0, changes, ..GatewayOptions::default() };
    let fixture = fixture_with(options, serving_entries(&[&backend]), counter);
    let mut client = fixture.gateway.client();
    for _ in 0..5 {
        assert_eq!(client.ask(&request("consulta", 7, 2000)).status(), 200);
    }
    let sum = counted.lock().expect("unpoisoned");
    let (sum, _) =
        total_changed.wait_timeout_while(sum, TEST_TIMEOUT, |sum| *sum != 20.0).expect("unpoisoned");
    assert_eq!(*sum, 20.0, "five requests, estimated at one unit and billed four each");
}

/// Guards against answers after the client's deadline, and against attempts that stay open after it: an attempt is
/// cancelled by closing its connection.
#[test]
fn a_silent_backend_means_a_failure_in_time_and_a_closed_connection() {
    let backend = FakeServer::start(|_| Reaction::Silence);
    let fixture = fixture(&[&backend]);
    let started = Instant::now();
    assert_eq!(fixture.gateway.client().ask(&request("orden-nueva", 7, 400)).status(), 504);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(350) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
}

/// Guards against work and memory that are kept for clients that have disconnected.
#[test]
fn a_client_that_leaves_takes_its_attempt_with_it() {
    let backend = FakeServer::start(|_| Reaction::Silence);
    let fixture = fixture(&[&backend]);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, 3000));
    let sent = backend.next_request().received_at;
    drop(client);
    backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
    assert!(sent.elapsed() < Duration::from_millis(2500), "only the deadline ended it");
}

/// Guards against malformed input that reaches the decision module or the backends, or that stops the process.
#[test]
fn malformed_requests_get_a_4xx_and_go_nowhere() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = fixture(&[&backend]);
    let (get, keyed, post) =
        (request("consulta", 7, 900), request("modificar", 7, 900), request("orden-nueva", 7, 900));
    let cases = [
        get.replace("/consulta/", "/desconocida/"),
        get.replace("/consulta/0000000000000007", "/"),
        get.replace("0000000000000007", "7"),
        get.replace("0000000000000007", "000000000000000g"),
        get.replace("0000000000000007", "+000000000000007"),
        get.replace("0000000000000007", "0000000200000000"),
        get.replace("plan: llano", "plan: otro"),
        get.replace("plan: llano\r\n", ""),
        get.replace("x-time-left-ms: 900", "x-time-left-ms: -1"),
        get.replace("x-time-left-ms: 900", "x-time-left-ms: 99999999999999999999"),
        get.replace("x-time-left-ms: 900\r\n", ""),
        get.replace("units=1", "units=NaN"),
        get.replace("units=1", "units=-1"),
        get.replace("units=1,", ""),
        get.replace("spread=2", "spread=0"),
        get.replace("quota-info: units=1,spread=2,first=0\r\n", ""),
        get.replace("x-correlation-id", "x-other"),
        get.replace("GET", "POST"),
        get.replace("GET", "BREW"),
        post.replace("POST", "GET"),
        keyed.replace("idempotency-key", "x-other"),
        post.replace("content-length: 4", "idempotency-key: k\r\ncontent-length: 4"),
        post.replace(
            "content-length: 4\r\n\r\n{42}",
            &format!("content-length: {}\r\n\r\n{}", (40 << 20) + 1, "x".repeat(65537)),
        ),
        "nonsense\r\n\r\n".to_owned(),
        format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(40_000)),
    ];
    for case in cases {
        let answer = fixture.gateway.client().ask(&case);
        let head = &case[..case.len().min(300)];
        assert!(
            (400..500).contains(&answer.status()) && answer.status() != 429,
            "{} for {head}",
            answer.start_line
        );
    }
    assert_eq!(fixture.gateway.client().ask(&get).status(), 200);
    assert_eq!(backend.requests.try_iter().count(), 1);
}

/// Guards against new requests to a backend that is draining or deleted, as reported by a change or by a whole list
/// without it, also over a connection that is already open.
#[test]
fn a_backend_that_drains_or_is_gone_gets_nothing_new() {
    let (remaining, leaving) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    for last_status in [Some("DRAINING"), Some("DELETED"), None] {
        let fixture = fixture(&[&remaining, &leaving]);
        let mut client = fixture.gateway.client();
        let mut sent = 0;
        while leaving.requests.try_recv().is_err() {
            assert_eq!(client.ask(&request("consulta", 7, 2000)).status(), 200);
            sent += 1;
            assert!(sent < 500, "the second backend is never used");
        }
        leaving.requests.try_iter().for_each(drop);
        let mut entries = vec![entry("s-0", remaining.address, "SERVING")];
        entries.extend(last_status.map(|status| entry("s-1", leaving.address, status)));
        fixture.discovery.set(entries);
        if last_status.is_none() {
            // A change can't leave out an entry; the whole list that follows an invalid answer does.
            fixture.discovery.wait_until_list_received();
            fixture.discovery.send_invalid_list_once();
        }
        leaving.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the idle connection is closed");
        for _ in 0..40 {
            assert_eq!(client.ask(&request("consulta", 7, 2000)).status(), 200);
        }
        assert_eq!(leaving.requests.try_iter().count(), 0);
    }
}

/// Guards against a time without a watch, and against treating an invalid answer as an empty list.
#[test]
fn watches_follow_one_another_and_rubbish_changes_nothing() {
    let backend = FakeServer::start(|_| ok("x"));
    let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    let mut calls = vec![discovery.server.next_request(), discovery.server.next_request()];
    let changed_at = Instant::now();
    discovery.set(serving_entries(&[&backend]));
    calls.push(discovery.server.next_request());
    assert!(changed_at.elapsed() < Duration::from_secs(2), "no watch is open when the list changes");
    let paths: Vec<_> =
        calls.iter().map(|c| c.path().split('&').next().expect("a path").to_owned()).collect();
    assert_eq!(paths, ["/v1/servers", "/v1/servers?index=1", "/v1/servers?index=2"].map(str::to_owned));
    discovery.wait_until_list_received();
    discovery.send_invalid_list_once();
    while discovery.server.next_request().path() != "/v1/servers" {}
    assert_eq!(gateway.client().ask(&request("consulta", 7, 2000)).status(), 200);
}

/// Guards against a fleet that keeps discovery busy with whole lists: after a rejected call, a gateway asks for the
/// changes since its current list, also if that is the one it was started with.
#[test]
fn a_gateway_that_discovery_turns_away_goes_on_from_the_list_in_hand() {
    let backend = FakeServer::start(|_| ok("x"));
    let changes = list(8, false, &serving_entries(&[&backend]));
    let call_count = AtomicUsize::new(0);
    let discovery = FakeServer::start(move |_| match call_count.fetch_add(1, Ordering::SeqCst) {
        0 | 1 | 3 => Reaction::Answer(answer("503 Service Unavailable", "", "")),
        2 => ok(&changes),
        _ => Reaction::Silence,
    });
    let deleted = entry("s-gone", unused_address(), "SERVING");
    let options = GatewayOptions { known: Some(list(7, true, &[deleted])), ..GatewayOptions::default() };
    let gateway = Gateway::start(&options, discovery.address, unused_address());
    let paths: Vec<_> = (0..5).map(|_| discovery.next_request().path().to_owned()).collect();
    let paths: Vec<_> = paths.iter().map(|path| path.split("&wait=").next().expect("a path")).collect();
    assert_eq!(paths, [7, 7, 7, 8, 8].map(|index| format!("/v1/servers?index={index}")));
    assert_eq!(gateway.client().ask(&request("consulta", 7, 2000)).status(), 200);
}

/// Guards against being ready before there is a list, and against waiting for the counter.
#[test]
fn a_gateway_is_ready_once_it_has_a_list() {
    let backend = FakeServer::start(|_| ok("x"));
    let silent = FakeServer::start(|_| Reaction::Silence);
    let options = GatewayOptions::default();
    let mut gateway = Gateway::launch(&options, silent.address, unused_address());
    assert_eq!(silent.next_request().path(), "/v1/servers");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while gateway.health() != Some(503) {
        assert!(Instant::now() < deadline && gateway.health() != Some(200));
    }
    let known = Some(list(3, true, &serving_entries(&[&backend])));
    gateway = Gateway::start(&GatewayOptions { known, ..options }, silent.address, unused_address());
    assert_eq!(gateway.client().ask(&request("consulta", 7, 2000)).status(), 200);
}

/// Guards against gateways that use different counter keys for the same window of a customer: windows must begin at the
/// same times on all gateways.
#[test]
fn gateways_name_a_customers_window_alike() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    // A window of 20 s ends at most once between these few calls, and the next one has a new key.
    let options =
        |own_index| GatewayOptions { own_index, rate: 0.1, burst: 2.0, ..GatewayOptions::default() };
    let gateways = [0, 1]
        .map(|own_index| Gateway::start(&options(own_index), discovery.server.address, counter.address));
    let key = |call: HttpMessage| call.path().split('?').next().expect("a key").to_owned();
    let mut keys: [Vec<String>; 2] = Default::default();
    for _ in 0..3 {
        for (gateway, keys) in gateways.iter().zip(&mut keys) {
            gateway.client().ask(&request("consulta", 7, 2000));
            keys.push(key(counter.next_request()));
        }
    }
    assert!(keys[0].iter().any(|key| keys[1].contains(key)), "{keys:?}");
}

/// Guards against quotas that are not enforced, and against refusals without `retry-after`.
#[test]
fn a_customer_over_its_quota_is_refused_at_once_with_advice() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = fixture_with(
        GatewayOptions { rate: 0.2, burst: 4.0, ..GatewayOptions::default() },
        serving_entries(&[&backend]),
        fake_counter(),
    );
    let mut client = fixture.gateway.client();
    let answers: Vec<HttpMessage> = (0..20).map(|_| client.ask(&request("consulta", 7, 2000))).collect();
    let refused: Vec<&HttpMessage> = answers.iter().filter(|a| a.status() == 429).collect();
    let served = answers.iter().filter(|a| a.status() == 200).count();
    assert!((1..=8).contains(&served), "{served} served of a burst of 4");
    assert_eq!(served + refused.len(), 20);
    let retry_after_s =
        refused.last().and_then(|a| a.header("retry-after")).and_then(|v| v.parse::<f64>().ok());
    assert!(retry_after_s.is_some_and(|s| s > 0.0 && s <= 2.0), "{retry_after_s:?}");
    assert_eq!(backend.requests.try_iter().count(), served);
    assert!(fixture.counter.requests.try_iter().count() > 0);
}

/// Guards against requests that wait for a silent counter, and against taking a late answer for that of the next call:
/// a connection is not reused before its answer has been received.
#[test]
fn a_silent_counter_holds_nothing_up_and_its_connections_are_not_reused() {
    let backend = FakeServer::start(|_| ok("x"));
    let silent = FakeServer::start(|_| Reaction::Silence);
    let options = GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() };
    let fixture = fixture_with(options, serving_entries(&[&backend]), silent);
    let mut client = fixture.gateway.client();
    for customer in 0..12 {
        for _ in 0..2 {
            let started = Instant::now();
            assert!(matches!(client.ask(&request("consulta", customer, 3000)).status(), 200 | 429));
            assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
        }
    }
    let mut connections: Vec<usize> =
        fixture.counter.requests.try_iter().map(|call| call.connection).collect();
    let calls = connections.len();
    connections.sort_unstable();
    connections.dedup();
    assert!(calls > 0 && connections.len() == calls, "{calls} calls on {} connections", connections.len());
}

/// Guards against a new connection for each request, which costs a handshake, and against requests that are lost
/// because the backend has closed an idle connection.
#[test]
fn connections_are_reused_unless_the_backend_has_ended_them() {
    let closing = Arc::new(AtomicBool::new(false));
    let close_after_answer = closing.clone();
    let backend = FakeServer::start(move |_| match close_after_answer.load(Ordering::SeqCst) {
        true => Reaction::AnswerAndClose(answer("200 OK", "", "x")),
        false => ok("x"),
    });
    let fixture = fixture(&[&backend]);
    let mut client = fixture.gateway.client();
    for _ in 0..10 {
        assert_eq!(client.ask(&request("orden-nueva", 7, 2000)).status(), 200);
        std::thread::sleep(CONNECTION_REUSE_DELAY);
    }
    assert_eq!(backend.connection_count.load(Ordering::SeqCst), 1);
    closing.store(true, Ordering::SeqCst);
    for _ in 0..10 {
        assert_eq!(client.ask(&request("orden-nueva", 7, 2000)).status(), 200);
        // A request that is written before the gateway has seen the end of the stream may be answered by a reset.
        backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the gateway ends the connection too");
    }
}

/// Guards against a planned restart that loses accepted requests: requests in progress are finished, connections that
/// still arrive are served, and then the process exits by itself.
#[test]
fn a_planned_restart_answers_all_that_was_taken() {
    let hold = Arc::new((Mutex::new(true), std::sync::Condvar::new()));
    let (held, attempts) = (hold.clone(), Arc::new(AtomicUsize::new(0)));
    let attempt_count = attempts.clone();
    let backend = FakeServer::start(move |_| {
        attempt_count.fetch_add(1, Ordering::SeqCst);
        let waiting = held.0.lock().expect("unpoisoned");
        drop(held.1.wait_while(waiting, |w| *w).expect("unpoisoned"));
        ok("done")
    });
    let mut fixture = fixture(&[&backend]);
    let (mut first, mut idle) = (fixture.gateway.client(), fixture.gateway.client());
    first.send(&request("orden-nueva", 7, 3000));
    while attempts.load(Ordering::SeqCst) == 0 {
        std::thread::yield_now();
    }
    let terminated_at = Instant::now();
    fixture.gateway.terminate();
    // Once it is not ready, the process has handled the signal.
    while fixture.gateway.health() == Some(200) {}
    let mut second = fixture.gateway.client();
    second.send(&request("orden-nueva", 7, 3000));
    idle.send(&request("orden-nueva", 7, 3000));
    while attempts.load(Ordering::SeqCst) < 3 {
        std::thread::yield_now();
    }
    *hold.0.lock().expect("unpoisoned") = false;
    hold.1.notify_all();
    for client in [&mut first, &mut second, &mut idle] {
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.at_eof());
    }
    assert!(fixture.gateway.wait_for_exit().success());
    assert!(terminated_at.elapsed() < Duration::from_millis(3700), "{:?}", terminated_at.elapsed());
}

/// Guards against a restart that waits for requests until SIGKILL: requests that are not finished by then get a failure
/// in time.
#[test]
fn a_planned_restart_does_not_wait_for_the_longest_work() {
    let backend = FakeServer::start(|_| Reaction::Silence);
    let mut fixture = fixture(&[&backend]);
    let mut client = fixture.gateway.client();
    client.send(&request("orden-nueva", 7, 5000));
    backend.next_request();
    let terminated_at = Instant::now();
    fixture.gateway.terminate();
    assert_eq!(client.read_answer().expect("an answer").status(), 504);
    assert!(fixture.gateway.wait_for_exit().success());
    assert!(terminated_at.elapsed() < Duration::from_millis(3700), "{:?}", terminated_at.elapsed());
}
