//! SIGTERM at an unfavourable moment. Each test forces one order of events: every accepted request gets its one final
//! answer, and the process exits by itself with success.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The shortest time from SIGTERM to SIGKILL, where the longest deadline is 3 s or more.
const MIN_TIME_TO_SIGKILL: Duration = Duration::from_millis(3_700);

/// Starts a gateway with these options and a fake counter.
fn start_fixture(options: &GatewayOptions, entries: Vec<String>) -> Fixture {
    Fixture::new(options, entries, fake_counter())
}

/// Starts a backend that answers one request for each message of the sender.
fn blocking_backend() -> (FakeServer, Sender<()>) {
    let (unblock, unblocked) = channel();
    let unblocked = Mutex::new(unblocked);
    let server = FakeServer::start(move |_| {
        let _ = unblocked.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        ok("x")
    });
    (server, unblock)
}

/// Checks that the process exits with success, before SIGKILL would come.
fn assert_exits_in_time(gateway: &mut Gateway, signalled_at: Instant) {
    assert!(gateway.wait_for_exit().success());
    assert!(signalled_at.elapsed() < MIN_TIME_TO_SIGKILL, "{:?}", signalled_at.elapsed());
}

/// Guards against connections that are accepted but never answered as the process stops accepting. New connections are
/// served for as long as a request is in progress.
#[test]
fn connections_are_answered_for_as_long_as_they_come() {
    let (backend, unblock) = blocking_backend();
    let mut fixture = start_fixture(&GatewayOptions::default(), serving_entries(&[&backend]));
    let mut first = fixture.gateway.client();
    first.send(&request("orden-nueva", 7, 5000));
    backend.next_request();
    let signalled_at = Instant::now();
    fixture.gateway.terminate();
    let mut served = 0;
    // Well past the time for which the load balancer goes on opening connections.
    while signalled_at.elapsed() < Duration::from_millis(1_500) {
        let mut client = fixture.gateway.client();
        client.send("GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n");
        assert!(client.read_answer().is_some(), "no answer {:?} after SIGTERM", signalled_at.elapsed());
        served += 1;
    }
    assert!(served > 0);
    unblock.send(()).expect("the backend waits");
    assert_eq!(first.read_answer().expect("an answer").status(), 200);
    assert_exits_in_time(&mut fixture.gateway, signalled_at);
}

/// Guards against connections lost in the listener's accept queue as the process ends. Connections that were
/// established while the process could not run are accepted and answered first.
#[test]
fn connections_in_the_listener_s_line_are_answered() {
    let backend = FakeServer::start(|_| ok("x"));
    let mut fixture = start_fixture(&GatewayOptions::default(), serving_entries(&[&backend]));
    let signalled_at = Instant::now();
    fixture.gateway.terminate();
    while fixture.gateway.health() == Some(200) {}
    // The process is stopped from before the time at which it would stop accepting until after that time.
    fixture.gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.gateway.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&request("consulta", 7, 3000)));
    std::thread::sleep(Duration::from_millis(900).saturating_sub(signalled_at.elapsed()));
    fixture.gateway.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
    assert_exits_in_time(&mut fixture.gateway, signalled_at);
}

/// Guards against signals that kill the process or are lost because they arrive at its start, together or twice.
#[test]
fn signals_at_the_start_together_and_twice() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    for signals in [&["-TERM"][..], &["-HUP", "-TERM"], &["-TERM", "-HUP"], &["-TERM", "-TERM"]] {
        let options = GatewayOptions {
            known: Some(list(1, true, &serving_entries(&[&backend]))),
            ..GatewayOptions::default()
        };
        let mut gateway = Gateway::launch(&options, discovery.server.address, counter.address);
        // The process installs its signal handlers before it listens.
        let mut client = gateway.client_once_listening();
        let signalled_at = Instant::now();
        signals.iter().for_each(|s| gateway.signal(s));
        assert_eq!(client.ask(&request("consulta", 7, 3000)).status(), 200, "{signals:?}");
        assert_exits_in_time(&mut gateway, signalled_at);
    }
}

/// Guards against a shutdown that is held up by an upload, a connection that is not established or silent peers, and
/// against requests in progress that get no answer.
#[test]
fn what_is_under_way_has_its_answer_before_the_end() {
    let (blocking, unblock) = blocking_backend();
    let unaccepting = FullBacklogListener::start();
    let silent = FakeServer::start(|_| Reaction::Silence);
    let entries =
        vec![entry("s-0", blocking.address, "SERVING"), entry("s-1", unaccepting.address, "SERVING")];
    let mut fixture =
        start_fixture(&GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() }, entries);
    let mut clients: Vec<Client> = (0..6)
        .map(|n| {
            let mut client = fixture.gateway.client();
            client.send(&request("orden-nueva", n, 5000));
            client
        })
        .collect();
    let mut upload = fixture.gateway.client();
    let text = request("orden-nueva", 9, 5000);
    upload.send(&text.replace("content-length: 4\r\n\r\n{42}", "content-length: 200000\r\n\r\n"));
    while fixture.gateway.metrics()["in_progress"] != 6 {}
    // Discovery and the counter stop answering just before SIGTERM.
    fixture.gateway.reload(silent.address, silent.address);
    silent.next_request();
    let signalled_at = Instant::now();
    fixture.gateway.terminate();
    upload.send(&"y".repeat(200_000));
    (0..3).for_each(|_| unblock.send(()).expect("the backend waits"));
    for client in clients.iter_mut().chain([&mut upload]) {
        let answer = client.read_answer().expect("an answer");
        assert!(matches!(answer.status(), 200 | 503 | 504), "{answer:?}");
        assert!(client.at_eof());
    }
    assert_exits_in_time(&mut fixture.gateway, signalled_at);
    drop((fixture.discovery, fixture.counter));
}

/// Guards against retries that begin at the last moment for answers and can't be used any more. Attempts that are cut
/// short then are not retried at another backend, though the class and the client's time allow it.
#[test]
fn what_is_cut_short_at_the_end_is_not_sent_elsewhere() {
    let backends = [FakeServer::start(|_| Reaction::Silence), FakeServer::start(|_| Reaction::Silence)];
    let entries = backends.iter().zip(["s-0", "s-1"]).map(|(b, name)| entry(name, b.address, "SERVING"));
    let changes =
        &[("\"deadline_us\":3000000,\"effect\":\"pure\"", "\"deadline_us\":9000000,\"effect\":\"pure\"")];
    let mut fixture =
        start_fixture(&GatewayOptions { changes, ..GatewayOptions::default() }, entries.collect());
    // First attempts fill the retry budget.
    let mut clients: Vec<Client> = (0..12)
        .map(|n| {
            let mut client = fixture.gateway.client();
            client.send(&request("consulta", n, 9000));
            client
        })
        .collect();
    let mut attempts = 0;
    while attempts < clients.len() {
        attempts += backends.iter().map(|b| b.requests.try_iter().count()).sum::<usize>();
    }
    let signalled_at = Instant::now();
    fixture.gateway.terminate();
    for client in &mut clients {
        assert!(matches!(client.read_answer().expect("an answer").status(), 503 | 504));
    }
    assert_exits_in_time(&mut fixture.gateway, signalled_at);
    assert_eq!(
        backends.iter().map(|b| b.requests.try_iter().count()).sum::<usize>(),
        0,
        "retried at another backend"
    );
}

/// Guards against a long answer cut off by the end of its process: one whose backend pauses between the pieces, and one
/// whose client reads nothing for a while, both for longer than any short answer may still take.
#[test]
fn long_answers_flow_on_past_the_last_moment_for_short_ones() {
    const LENGTH: usize = 24 << 20;
    let piece = "z".repeat(20_000);
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let mut pieces = vec![(0, head(160_000))];
    pieces.extend((0..8).map(|_| (700, piece.clone())));
    let pausing = FakeServer::start(move |_| Reaction::Pieces(pieces.clone()));
    let immediate = FakeServer::start(move |_| Reaction::Answer(head(LENGTH) + &"z".repeat(LENGTH)));
    for (backend, length) in [(pausing, 160_000), (immediate, LENGTH)] {
        let mut fixture = start_fixture(&GatewayOptions::default(), serving_entries(&[&backend]));
        let mut client = fixture.gateway.client();
        client.send(&request("orden-nueva", 7, 5000));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        let signalled_at = Instant::now();
        fixture.gateway.terminate();
        if length == LENGTH {
            // SIGKILL may, but need not, come by then.
            std::thread::sleep(MIN_TIME_TO_SIGKILL + Duration::from_millis(300));
        }
        while !client.read_line().is_empty() {}
        assert_eq!(client.read_bytes(length).len(), length);
        assert!(client.at_eof());
        assert!(fixture.gateway.wait_for_exit().success());
        assert!(signalled_at.elapsed() > MIN_TIME_TO_SIGKILL, "{:?}", signalled_at.elapsed());
    }
}

/// Guards against units lost with the only process of a gateway: it adds them to the counter before it exits, also
/// where the counter rejects calls for a moment.
#[test]
fn units_of_a_lone_process_are_told_before_its_end() {
    for rejected_calls in [0, 3] {
        let backend = FakeServer::start(|_| ok("x"));
        let totals = CounterTotals::default();
        let (recorded, call_count) = (totals.clone(), AtomicUsize::new(0));
        let counter = FakeServer::start(move |call| {
            if call_count.fetch_add(1, Ordering::SeqCst) < rejected_calls {
                return Reaction::Answer(answer("503 No", "", ""));
            }
            ok(&recorded.add(call))
        });
        let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
        let options = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
        let mut gateway = Gateway::start(&options, discovery.server.address, counter.address);
        discovery.wait_until_list_received();
        let mut client = gateway.client();
        for customer in 0..20 {
            assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
        }
        let signalled_at = Instant::now();
        gateway.terminate();
        assert_exits_in_time(&mut gateway, signalled_at);
        assert_eq!(totals.sum(), 20.0, "{rejected_calls} calls rejected");
    }
}

/// Guards against units lost with the only process of a gateway because a long answer still flows as SIGKILL comes.
#[test]
fn units_of_a_lone_process_are_told_while_a_long_answer_flows() {
    let backend = backend_slow_for_customer_nine();
    let totals = CounterTotals::default();
    let (recorded, began) = (totals.clone(), Instant::now());
    // The counter rejects all calls until the last moments.
    let counter = FakeServer::start(move |call| match began.elapsed() < Duration::from_secs(3) {
        true => Reaction::Answer(answer("503 No", "", "")),
        false => ok(&recorded.add(call)),
    });
    let options = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let mut fixture = Fixture::new(&options, serving_entries(&[&backend]), counter);
    let (mut client, mut long_client) = (fixture.gateway.client(), fixture.gateway.client());
    long_client.send(&request("orden-nueva", 9, 5000));
    assert_eq!(long_client.read_line(), "HTTP/1.1 200 OK");
    for customer in 0..8 {
        assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    }
    let signalled_at = Instant::now();
    fixture.gateway.terminate();
    std::thread::sleep(MIN_TIME_TO_SIGKILL.saturating_sub(signalled_at.elapsed()));
    fixture.gateway.signal("-KILL");
    let _ = fixture.gateway.wait_for_exit();
    assert_eq!(totals.sum(), 9.0);
}

/// Guards against ignoring a reload while the process ends: its unsynced units went to the counter's old address.
#[test]
fn a_reload_counts_also_while_the_process_ends() {
    let backend = FakeServer::start(|_| ok("x"));
    let (old_counter, totals) =
        (FakeServer::start(|_| Reaction::Answer(answer("503 No", "", ""))), CounterTotals::default());
    let recorded = totals.clone();
    let new_counter = FakeServer::start(move |call| ok(&recorded.add(call)));
    let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
    let options = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let mut gateway = Gateway::start(&options, discovery.server.address, old_counter.address);
    discovery.wait_until_list_received();
    let mut client = gateway.client();
    for customer in 0..8 {
        assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    }
    let signalled_at = Instant::now();
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(100));
    gateway.reload(discovery.server.address, new_counter.address);
    assert_exits_in_time(&mut gateway, signalled_at);
    assert_eq!(totals.sum(), 8.0, "{}", totals.sum());
}
