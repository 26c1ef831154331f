//! The gateway process on loopback sockets, with misbehaving peers, changing configurations and scarce resources.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Guards against SIGHUP ending the process, against a delay before the new file's discovery and counter are used, and
/// against an invalid file replacing the old settings.
#[test]
fn a_new_configuration_moves_to_its_discovery_and_counter() {
    let (before, after) = (FakeServer::start(|_| ok("before")), FakeServer::start(|_| ok("after")));
    let options = GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() };
    let fixture = Fixture::new(&options, serving_entries(&[&before]), fake_counter());
    let mut client = fixture.gateway.client();
    assert_eq!(client.ask(&request("consulta", 1, 2000)).body, b"before");

    fixture.gateway.reload_text("{ no file");
    assert_eq!(client.ask(&request("consulta", 2, 2000)).body, b"before");

    let (discovery, counter) =
        (FakeDiscovery::start(vec![entry("s-9", after.address, "SERVING")]), fake_counter());
    let reloaded_at = Instant::now();
    fixture.gateway.reload(discovery.server.address, counter.address);
    // The whole list is requested first: the old index means nothing to the new discovery.
    assert_eq!(discovery.server.next_request().path(), "/v1/servers");
    discovery.wait_until_list_received();
    assert!(
        reloaded_at.elapsed() < Duration::from_secs(2),
        "the reload waited for the end of an open watch: {:?}",
        reloaded_at.elapsed()
    );
    fixture.counter.requests.try_iter().for_each(drop);
    for customer in 10..14 {
        for _ in 0..3 {
            let answer = client.ask(&request("consulta", customer, 2000));
            assert!(answer.status() == 429 || answer.body == b"after", "{answer:?}");
        }
    }
    counter.next_request();
    assert_eq!(fixture.counter.requests.try_iter().count(), 0);
}

/// Guards against one malformed answer that takes its backend out of use, against a retry of a request that may have
/// run, and against reusing the connection of the malformed answer.
#[test]
fn a_spoilt_answer_is_a_failed_attempt_that_may_have_run() {
    let malformed = [
        "\u{1}\u{2}noise\r\n\r\nnoise".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxy".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\nwxyz".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-length: 3221225472\r\n\r\nabc".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx-long: {}", "h".repeat(40_000)),
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n".to_owned(),
    ];
    for text in malformed {
        let request_count = AtomicUsize::new(0);
        let shown = text.chars().take(60).collect::<String>();
        let backend = FakeServer::start(move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
            1 => Reaction::Answer(text.clone()),
            _ => ok("well"),
        });
        let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
        let mut client = fixture.gateway.client();
        let statuses = [(); 3].map(|()| {
            std::thread::sleep(CONNECTION_REUSE_DELAY);
            client.ask(&request("orden-nueva", 7, 3000)).status()
        });
        assert_eq!(statuses, [200, 504, 200], "{shown}");
        let connections: Vec<usize> = backend.requests.try_iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0, 0, 1], "{shown}");
    }
}

/// Guards against taking extra bytes behind an answer for the answer to the next request. The connection is not reused.
#[test]
fn what_stands_behind_an_answer_is_no_answer() {
    let backend = FakeServer::start(|request| {
        let own = answer("200 OK", "", request.header("x-correlation-id").expect("an id"));
        Reaction::Answer(format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{own}{own}"))
    });
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let mut client = fixture.gateway.client();
    for _ in 0..20 {
        std::thread::sleep(CONNECTION_REUSE_DELAY);
        let text = request("orden-nueva", 7, 3000);
        let answer = client.ask(&text);
        assert_eq!(answer.status(), 200);
        let id = String::from_utf8(answer.body).expect("the id");
        assert!(text.contains(&format!("x-correlation-id: {id}\r\n")), "{id} for {text}");
    }
    assert_eq!(backend.connection_count.load(Ordering::SeqCst), 20);
}

/// Guards against taking backends whose connections broke for restarted ones. As cold backends they all got almost no
/// requests, although each of them answered its probe.
#[test]
fn backends_that_answer_a_probe_are_not_taken_for_restarted_ones() {
    const BACKENDS: usize = 4;
    let closed = Arc::new(AtomicUsize::new(0));
    let fakes: Vec<FakeServer> = (0..BACKENDS)
        .map(|_| {
            let (own_closed, closed) = (AtomicUsize::new(0), closed.clone());
            FakeServer::start(move |request| {
                if request.path().starts_with("/consulta") && own_closed.fetch_add(1, Ordering::SeqCst) < 2 {
                    closed.fetch_add(1, Ordering::SeqCst);
                    return Reaction::Close;
                }
                ok("x")
            })
        })
        .collect();
    let name = |(i, f): (usize, &FakeServer)| entry(&format!("s-{i}"), f.address, "SERVING");
    let fixture = Fixture::new(
        &GatewayOptions::default(),
        fakes.iter().enumerate().map(name).collect(),
        fake_counter(),
    );
    let mut client = fixture.gateway.client();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while closed.load(Ordering::SeqCst) < 2 * BACKENDS {
        assert!(Instant::now() < deadline, "not every backend has closed two connections");
        client.ask(&request("consulta", 7, 3000));
        std::thread::sleep(Duration::from_millis(2));
    }
    // All backends have been probed. Now send more requests at once than cold backends would get.
    fakes.iter().for_each(|f| while f.next_request().path() != "/load" {});
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.gateway.client()).collect();
    let mut served = 0;
    for _ in 0..8 {
        std::thread::sleep(Duration::from_millis(20));
        clients.iter_mut().for_each(|c| c.send(&request("consulta", 7, 3000)));
        let successes =
            clients.iter_mut().filter_map(|c| c.read_answer()).filter(|a| a.status() == 200).count();
        served += successes;
    }
    assert!(served >= 60, "only {served} of 64 requests are served");
}

/// Guards against bursts of calls to a counter that has become slow. Each call then waits behind the others, none is
/// answered in time, and the counter's work is wasted.
#[test]
fn a_slow_counter_is_called_a_few_at_a_time() {
    /// The number of calls after which the gateway has to know that the counter is slow.
    const LEARNING_CALLS: usize = 40;
    /// The number of calls after which the test ends.
    const TOTAL_CALLS: usize = 70;
    let (one_at_a_time, waiting) = (Mutex::new(0), AtomicUsize::new(0));
    let (calls, max_waiting) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (call_count, max_seen) = (calls.clone(), max_waiting.clone());
    let slow = FakeServer::start(move |_| {
        let now_waiting = waiting.fetch_add(1, Ordering::SeqCst) + 1;
        if call_count.fetch_add(1, Ordering::SeqCst) >= LEARNING_CALLS {
            max_seen.fetch_max(now_waiting, Ordering::SeqCst);
        }
        let turn = one_at_a_time.lock().expect("unpoisoned");
        std::thread::sleep(Duration::from_millis(30));
        drop(turn);
        waiting.fetch_sub(1, Ordering::SeqCst);
        ok("1")
    });
    let backend = FakeServer::start(|_| ok("x"));
    let options = GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() };
    let fixture = Fixture::new(&options, serving_entries(&[&backend]), slow);
    let deadline = Instant::now() + TEST_TIMEOUT;
    std::thread::scope(|threads| {
        for first in 0..24 {
            let (mut client, calls) = (fixture.gateway.client(), &calls);
            threads.spawn(move || {
                // Each customer's second request needs a fresh total.
                let mut customer = first * 1_000_000;
                while calls.load(Ordering::SeqCst) < TOTAL_CALLS && Instant::now() < deadline {
                    customer += 1;
                    for _ in 0..2 {
                        assert!(matches!(
                            client.ask(&request("consulta", customer, 3000)).status(),
                            200 | 429
                        ));
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
    });
    assert!(calls.load(Ordering::SeqCst) >= TOTAL_CALLS, "a slow counter is not called any more");
    assert!(max_waiting.load(Ordering::SeqCst) <= 6, "{max_waiting:?} calls wait at the counter at once");
}

/// Guards against discarding the total of a late counter answer: it is as valid as one that arrives in time.
#[test]
fn a_late_total_counts() {
    let (release, held) = channel();
    let (held, calls) = (Mutex::new(held), AtomicUsize::new(0));
    // No call is answered in time. The first call's answer is late, and its total says that others have used much.
    let counter = FakeServer::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => {
            held.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
            ok("1000000")
        }
        _ => Reaction::Silence,
    });
    let backend = FakeServer::start(|_| ok("x"));
    // The gateway's share is 100 units, of which few are used: only that total can cause a refusal.
    let options = GatewayOptions { rate: 10.0, burst: 200.0, ..GatewayOptions::default() };
    let fixture = Fixture::new(&options, serving_entries(&[&backend]), counter);
    let mut client = fixture.gateway.client();
    (0..5).for_each(|_| assert_eq!(client.ask(&request("consulta", 3, 3000)).status(), 200));
    fixture.counter.next_request();
    // The call times out about now; other requests are served meanwhile.
    std::thread::sleep(Duration::from_millis(150));
    assert_eq!(client.ask(&request("consulta", 3, 3000)).status(), 200);
    release.send(()).expect("the counter waits");
    // By its own use alone the gateway would admit these requests, and more.
    let refused = (0..60).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        client.ask(&request("consulta", 3, 3000)).status() == 429
    });
    assert!(refused, "the late total, which says that the quota is used up, is ignored");
}

/// Guards against reusing a counter connection after an answer without a number: what arrives on it next can't be
/// trusted.
#[test]
fn a_counter_s_connection_ends_with_an_answer_that_has_no_number() {
    let backend = FakeServer::start(|_| ok("x"));
    let options = GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() };
    let fixture =
        Fixture::new(&options, serving_entries(&[&backend]), FakeServer::start(|_| ok("\u{7f}nothing")));
    let mut client = fixture.gateway.client();
    for customer in 0..6 {
        for _ in 0..2 {
            assert!(matches!(client.ask(&request("consulta", customer, 3000)).status(), 200 | 429));
        }
    }
    let mut connections: Vec<usize> =
        fixture.counter.requests.try_iter().map(|call| call.connection).collect();
    let calls = connections.len();
    connections.dedup();
    assert!(calls > 0 && connections.len() == calls, "{calls} calls on connections {connections:?}");
}

/// Guards against clients that stay connected without sending a whole request: each gets an error or a close within 3 s
/// of connecting.
#[test]
fn silent_and_slow_clients_are_let_go_in_time() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let began = Instant::now();
    let incomplete_requests = [
        String::new(),
        "GET /consulta/00000000".to_owned(),
        request("orden-nueva", 7, 3000).replace("content-length: 4", "content-length: 400"),
    ];
    let mut clients = incomplete_requests.map(|text| {
        let mut client = fixture.gateway.client();
        client.send(&text);
        client
    });
    // The same limit holds for an incomplete later request on a connection that has served one before.
    let mut later = fixture.gateway.client();
    assert_eq!(later.ask(&request("consulta", 7, 2000)).status(), 200);
    later.send("GET /consulta/00000000");
    for client in clients.iter_mut().chain([&mut later]) {
        assert!(client.closed_or_error());
    }
    assert!(began.elapsed() < Duration::from_millis(2_900), "{:?}", began.elapsed());
    assert_eq!(backend.requests.try_iter().count(), 1);
}

/// Guards against reading bodies that are too long, and against ambiguous lengths (request smuggling): a request hidden
/// in a body must not be passed on.
#[test]
fn a_length_that_can_not_be_trusted_ends_the_connection() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let post = request("orden-nueva", 7, 2000);
    let hidden = format!("0\r\n\r\n{}", request("consulta", 8, 2000));
    let with_hidden_request =
        |fields: &str| post.replace("content-length: 4\r\n\r\n{42}", &format!("{fields}\r\n\r\n{hidden}"));
    let length = hidden.len();
    let cases = [
        (post.replace("content-length: 4\r\n\r\n{42}", "content-length: 60000000\r\n\r\n"), 413),
        (with_hidden_request(&format!("content-length: {length}\r\ntransfer-encoding: chunked")), 400),
        (with_hidden_request(&format!("transfer-encoding: chunked\r\nContent-Length : {length}")), 400),
        (with_hidden_request(&format!("Transfer-Encoding: chunked\r\nContent-Length: {length}")), 400),
        (with_hidden_request("transfer-encoding: gzip, chunked"), 501),
        (with_hidden_request("x-none: 1"), 411),
        (with_hidden_request("content-length: 3\r\ncontent-length: 5"), 400),
        (post.replace("content-length: 4", "content-length: -4"), 400),
        (post.replace("plan: llano", "plan: llano\r\nplan: llano"), 400),
        (post.replace("units=1,spread=2,first=0", "units=1,units=1,spread=2,first=0"), 400),
        (post.replace("units=1,", "units=1.5,"), 400),
        (post.replace("units=1,", "units=40000,"), 400),
        (post.replace("spread=2", "spread=3"), 400),
        (post.replace("first=0", "first=2"), 400),
    ];
    for (text, status) in cases {
        let mut client = fixture.gateway.client();
        client.send(&text);
        let answer = client.read_answer().expect("an error");
        assert_eq!(answer.status(), status, "{text}");
        assert!(client.closed_or_error(), "still open after {text}");
    }
    assert_eq!(fixture.gateway.client().ask(&request("consulta", 7, 2000)).status(), 200);
    assert_eq!(backend.requests.try_iter().count(), 1);
}

/// Guards against two open requests with the same correlation id: backends would take one for a copy of the other.
#[test]
fn the_id_of_an_open_request_is_not_let_in_again() {
    let (unblock, unblocked) = std::sync::mpsc::channel::<()>();
    let unblocked = std::sync::Mutex::new(unblocked);
    let backend = FakeServer::start(move |_| {
        let _ = unblocked.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        ok("own")
    });
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let text = request("consulta", 7, 3000);
    let mut first = fixture.gateway.client();
    first.send(&text);
    backend.next_request();
    assert_eq!(fixture.gateway.client().ask(&text).status(), 409);
    unblock.send(()).expect("the backend waits");
    assert_eq!(first.read_answer().expect("an answer").body, b"own");
    unblock.send(()).expect("the backend waits");
    assert_eq!(
        fixture.gateway.client().ask(&text).status(),
        200,
        "a finished request's id may be used again"
    );
}

/// Guards against unlimited descriptors, and against silent connections that take the place of active ones. With far
/// more silent connections than the limit, requests on new and on kept connections are still served.
#[test]
fn silent_connections_make_way_and_descriptors_stay_within_the_limit() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = Fixture::new(
        &GatewayOptions { sockets: 256, ..GatewayOptions::default() },
        serving_entries(&[&backend]),
        fake_counter(),
    );
    let mut kept = fixture.gateway.client();
    assert_eq!(kept.ask(&request("consulta", 7, 2000)).status(), 200);
    let mut silent = Vec::new();
    for round in 0..6 {
        silent.extend((0..60).map(|_| fixture.gateway.client()));
        assert_eq!(fixture.gateway.client().ask(&request("consulta", 7, 2000)).status(), 200, "{round}");
        assert_eq!(kept.ask(&request("consulta", 7, 2000)).status(), 200, "{round}");
        let open = std::fs::read_dir(format!("/proc/{}/fd", fixture.gateway.pid())).expect("a list").count();
        assert!(open <= 256 / 2 + 24, "{open} descriptors with {} silent connections", silent.len());
    }
}

/// Guards against unlimited memory for buffered bodies: bodies beyond the configured share of the memory are refused,
/// small ones are served, and memory that has been released can be used again.
#[test]
fn bodies_in_hand_stay_within_their_part_of_the_memory() {
    let backend = FakeServer::start(|_| ok("x"));
    // This leaves 256 KiB for bodies: four of the longest.
    let fixture = Fixture::new(
        &GatewayOptions { memory_mb: 2, ..GatewayOptions::default() },
        serving_entries(&[&backend]),
        fake_counter(),
    );
    let long = request("orden-nueva", 7, 3000)
        .replace("content-length: 4\r\n\r\n{42}", "content-length: 65536\r\n\r\n");
    let incomplete: Vec<Client> = (0..8)
        .map(|i| {
            let mut client = fixture.gateway.client();
            client.send(&long.replace("x-correlation-id: ", &format!("x-correlation-id: {i}")));
            client
        })
        .collect();
    let refused = incomplete.into_iter().filter_map(|mut c| c.read_answer()).collect::<Vec<_>>();
    assert!(refused.len() >= 4 && refused.iter().all(|a| a.status() == 503), "{refused:?}");
    let complete = format!("{long}{}", "y".repeat(65536));
    assert_eq!(fixture.gateway.client().ask(&complete).status(), 200);
}

/// Guards against requests lost on idle connections that a backend drops, unnoticed, sooner than announced. Once one
/// has broken at its next request, the others are not kept for as long.
#[test]
fn idle_connections_that_break_are_kept_shorter() {
    let both_received = std::sync::Barrier::new(2);
    let request_count = AtomicUsize::new(0);
    let backend = FakeServer::start(move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => {
            both_received.wait();
            ok("x")
        }
        2 => Reaction::Close,
        _ => ok("x"),
    });
    let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
    let mut clients = [fixture.gateway.client(), fixture.gateway.client()];
    // Two requests at once need two connections, and leave both idle.
    clients.iter_mut().for_each(|c| c.send(&request("orden-nueva", 7, 2000)));
    clients.iter_mut().for_each(|c| assert_eq!(c.read_answer().expect("an answer").status(), 200));
    // A break right after the last use would have another reason; wait so that this one counts as an idle one.
    std::thread::sleep(Duration::from_millis(1_100));
    assert_eq!(clients[0].ask(&request("orden-nueva", 7, 2000)).status(), 504);
    // The other connection is closed well before the 18 s that the settings allow.
    backend.closed_by_peer.recv_timeout(Duration::from_secs(5)).expect("the other connection is closed");
    assert_eq!(clients[0].ask(&request("orden-nueva", 7, 2000)).status(), 200);
}

/// Guards against lists of a large fleet that are truncated, that exhaust the memory or the descriptors of the smallest
/// gateway, or that prevent its start, its reload or its exit.
#[test]
fn a_thousand_backends_and_hundreds_of_peers_fit_the_smallest_gateway() {
    let backend = FakeServer::start(|_| ok("x"));
    let name = |n: u32| format!("s-{n:08x}");
    let entries = |from: u32| (from..from + 1024).map(|n| entry(&name(n), backend.address, "SERVING"));
    let options = GatewayOptions {
        known: Some(list(1, true, &entries(0).collect::<Vec<_>>())),
        memory_mb: 32,
        peer_count: 350,
        changes: &[(r#""balancers":2"#, r#""balancers":350"#)],
        ..GatewayOptions::default()
    };
    let mut fixture = Fixture::new(&options, entries(0).collect(), fake_counter());
    let mut client = fixture.gateway.client();
    assert_eq!(fixture.gateway.metrics()["known_backends"], 1024);
    assert_eq!(client.ask(&request("consulta", 1, 2000)).status(), 200);

    let (discovery, counter) = (FakeDiscovery::start(entries(512).collect()), fake_counter());
    fixture.gateway.reload(discovery.server.address, counter.address);
    assert_eq!(discovery.server.next_request().path(), "/v1/servers");
    discovery.wait_until_list_received();
    assert_eq!(fixture.gateway.metrics()["known_backends"], 1024);
    for customer in 10..40 {
        assert_eq!(client.ask(&request("consulta", customer, 2000)).status(), 200);
    }
    // All but one of the remaining backends drain; that one alone serves.
    let draining = (512..1535).map(|n| entry(&name(n), backend.address, "DRAINING"));
    discovery.set(draining.chain([entry(&name(1535), backend.address, "SERVING")]).collect());
    discovery.wait_until_list_received();
    assert_eq!(fixture.gateway.metrics()["skipped_backends"], 1023);
    assert_eq!(client.ask(&request("consulta", 50, 2000)).status(), 200);
    assert!(fixture.gateway.peak_memory_mb() < 32, "{} MB", fixture.gateway.peak_memory_mb());
    let open = std::fs::read_dir(format!("/proc/{}/fd", fixture.gateway.pid())).expect("a list").count();
    assert!(open < 256, "{open} descriptors");
    fixture.gateway.terminate();
    assert!(fixture.gateway.wait_for_exit().success());
}

/// Guards against a process that starts, crashes or logs nothing although its configuration is invalid. It has to log
/// one plain line and exit with an error.
#[test]
fn a_configuration_that_can_not_be_used_is_one_plain_line_and_no_start() {
    let (discovery, counter) = (unused_address(), unused_address());
    let invalid: [&[(&str, &str)]; 6] = [
        &[(r#""balancers":2"#, r#""balancers":0"#)],
        &[(r#""aim_us":800000"#, r#""aim_us":0"#)],
        &[(r#""quota_rate":1000"#, r#""quota_rate":-1"#)],
        &[(r#""effect":"pure""#, r#""effect":"odd""#)],
        &[(r#""classes":["#, r#""classes":7,"others":["#)],
        &[(r#"{"balancers""#, r#"nothing"balancers""#)],
    ];
    for changes in invalid {
        let mut gateway =
            Gateway::launch(&GatewayOptions { changes, ..GatewayOptions::default() }, discovery, counter);
        let status = gateway.wait_for_exit();
        let log = gateway.log();
        assert!(!status.success() && status.code().is_some(), "{changes:?}: {status}");
        assert_eq!(log.lines().count(), 1, "{changes:?}: {log}");
        assert!(!log.contains("panicked"), "{log}");
    }
}
