//! SIGTERM at a bad moment. Each test makes one bad order happen every time: whatever was taken gets its one final
//! answer, and the process ends by itself, well.

mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// SIGKILL comes no sooner after SIGTERM, with a longest deadline of 3 s or more.
const KILL: Duration = Duration::from_millis(3_700);

fn scene(start: &GatewayOptions, entries: Vec<String>) -> Fixture {
    Fixture::new(start, entries, fake_counter())
}

/// A backend that answers once it is told to.
fn holding() -> (FakeServer, Sender<()>) {
    let (go, wait) = channel();
    let wait = Mutex::new(wait);
    let fake = FakeServer::start(move |_| {
        let _ = wait.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        ok("x")
    });
    (fake, go)
}

fn ends_well(gateway: &mut Gateway, told: Instant) {
    assert!(gateway.wait_for_exit().success());
    assert!(told.elapsed() < KILL, "{:?}", told.elapsed());
}

/// Guards against connections that are let in and never heard, as the process stops to accept: they come for as
/// long as there is one that has work, and each is answered.
#[test]
fn connections_are_answered_for_as_long_as_they_come() {
    let (backend, go) = holding();
    let mut scene = scene(&GatewayOptions::default(), serving_entries(&[&backend]));
    let mut first = scene.gateway.client();
    first.send(&request("orden-nueva", 7, 5000));
    backend.next_request();
    let told = Instant::now();
    scene.gateway.terminate();
    let mut served = 0;
    // Well past the time for which the front goes on.
    while told.elapsed() < Duration::from_millis(1_500) {
        let mut client = scene.gateway.client();
        client.send("GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n");
        assert!(client.read_answer().is_some(), "unheard {:?} after SIGTERM", told.elapsed());
        served += 1;
    }
    assert!(served > 0);
    go.send(()).expect("the backend waits");
    assert_eq!(first.read_answer().expect("an answer").status(), 200);
    ends_well(&mut scene.gateway, told);
}

/// Guards against connections lost in the listener's line as the process ends: those that have come up while it
/// could not run are accepted and answered before.
#[test]
fn connections_in_the_listener_s_line_are_answered() {
    let backend = FakeServer::start(|_| ok("x"));
    let mut scene = scene(&GatewayOptions::default(), serving_entries(&[&backend]));
    let told = Instant::now();
    scene.gateway.terminate();
    while scene.gateway.health() == Some(200) {}
    // It stands still from before it would stop to accept until after it.
    scene.gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..8).map(|_| scene.gateway.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&request("consulta", 7, 3000)));
    std::thread::sleep(Duration::from_millis(900).saturating_sub(told.elapsed()));
    scene.gateway.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
    ends_well(&mut scene.gateway, told);
}

/// Guards against signals that end the process, or are lost, at its start, together or twice.
#[test]
fn signals_at_the_start_together_and_twice() {
    let backend = FakeServer::start(|_| ok("x"));
    let (discovery, counter) = (FakeDiscovery::start(serving_entries(&[&backend])), fake_counter());
    for signals in [&["-TERM"][..], &["-HUP", "-TERM"], &["-TERM", "-HUP"], &["-TERM", "-TERM"]] {
        let start = GatewayOptions {
            known: Some(list(1, true, &serving_entries(&[&backend]))),
            ..GatewayOptions::default()
        };
        let mut gateway = Gateway::launch(&start, discovery.server.address, counter.address);
        // Its handlers are in place before it listens.
        let mut client = gateway.client_once_listening();
        let told = Instant::now();
        signals.iter().for_each(|s| gateway.signal(s));
        assert_eq!(client.ask(&request("consulta", 7, 3000)).status(), 200, "{signals:?}");
        ends_well(&mut gateway, told);
    }
}

/// Guards against an upload, a connection that does not come up, or silent peers keeping a restart from its end,
/// and against what was taken meanwhile going without its answer.
#[test]
fn what_is_under_way_has_its_answer_before_the_end() {
    let (holds, go) = holding();
    let never = FullBacklogListener::start();
    let silent = FakeServer::start(|_| Reaction::Silence);
    let entries = vec![entry("s-0", holds.address, "SERVING"), entry("s-1", never.address, "SERVING")];
    let mut scene = scene(&GatewayOptions { rate: 0.2, burst: 2.0, ..GatewayOptions::default() }, entries);
    let mut clients: Vec<Client> = (0..6)
        .map(|n| {
            let mut client = scene.gateway.client();
            client.send(&request("orden-nueva", n, 5000));
            client
        })
        .collect();
    let mut upload = scene.gateway.client();
    let text = request("orden-nueva", 9, 5000);
    upload.send(&text.replace("content-length: 4\r\n\r\n{42}", "content-length: 200000\r\n\r\n"));
    while scene.gateway.metrics()["in_progress"] != 6 {}
    // Discovery and counter fall silent just then.
    scene.gateway.reload(silent.address, silent.address);
    silent.next_request();
    let told = Instant::now();
    scene.gateway.terminate();
    upload.send(&"y".repeat(200_000));
    (0..3).for_each(|_| go.send(()).expect("the backend waits"));
    for client in clients.iter_mut().chain([&mut upload]) {
        let answer = client.read_answer().expect("an answer");
        assert!(matches!(answer.status(), 200 | 503 | 504), "{answer:?}");
        assert!(client.at_eof());
    }
    ends_well(&mut scene.gateway, told);
    drop((scene.discovery, scene.counter));
}

/// Guards against work begun for nobody as the last moment for answers comes: what is cut short then is not sent
/// elsewhere, though its class and its client's time allow that.
#[test]
fn what_is_cut_short_at_the_end_is_not_sent_elsewhere() {
    let backends = [FakeServer::start(|_| Reaction::Silence), FakeServer::start(|_| Reaction::Silence)];
    let entries = backends.iter().zip(["s-0", "s-1"]).map(|(b, name)| entry(name, b.address, "SERVING"));
    let changes =
        &[("\"deadline_us\":3000000,\"effect\":\"pure\"", "\"deadline_us\":9000000,\"effect\":\"pure\"")];
    let mut scene = scene(&GatewayOptions { changes, ..GatewayOptions::default() }, entries.collect());
    // Retries are earned by first tries.
    let mut clients: Vec<Client> = (0..12)
        .map(|n| {
            let mut client = scene.gateway.client();
            client.send(&request("consulta", n, 9000));
            client
        })
        .collect();
    let mut tries = 0;
    while tries < clients.len() {
        tries += backends.iter().map(|b| b.requests.try_iter().count()).sum::<usize>();
    }
    let told = Instant::now();
    scene.gateway.terminate();
    for client in &mut clients {
        assert!(matches!(client.read_answer().expect("an answer").status(), 503 | 504));
    }
    ends_well(&mut scene.gateway, told);
    assert_eq!(backends.iter().map(|b| b.requests.try_iter().count()).sum::<usize>(), 0, "sent elsewhere");
}

/// Guards against a long answer cut off by the end of its process: one whose backend rests between its pieces, and one
/// whose client reads nothing for a while, both for longer than any short answer may still take.
#[test]
fn long_answers_flow_on_past_the_last_moment_for_short_ones() {
    const LENGTH: usize = 24 << 20;
    let piece = "z".repeat(20_000);
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let mut pieces = vec![(0, head(160_000))];
    pieces.extend((0..8).map(|_| (700, piece.clone())));
    let rests = FakeServer::start(move |_| Reaction::Pieces(pieces.clone()));
    let at_once = FakeServer::start(move |_| Reaction::Answer(head(LENGTH) + &"z".repeat(LENGTH)));
    for (backend, length) in [(rests, 160_000), (at_once, LENGTH)] {
        let mut scene = scene(&GatewayOptions::default(), serving_entries(&[&backend]));
        let mut client = scene.gateway.client();
        client.send(&request("orden-nueva", 7, 5000));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        let told = Instant::now();
        scene.gateway.terminate();
        if length == LENGTH {
            // SIGKILL may come by then, and need not.
            std::thread::sleep(KILL + Duration::from_millis(300));
        }
        while !client.read_line().is_empty() {}
        assert_eq!(client.read_bytes(length).len(), length);
        assert!(client.at_eof());
        assert!(scene.gateway.wait_for_exit().success());
        assert!(told.elapsed() > KILL, "{:?}", told.elapsed());
    }
}

/// Guards against units lost with a process that has none beside it: the counter is told of them before the end, also
/// where it turns calls away for a moment.
#[test]
fn units_of_a_lone_process_are_told_before_its_end() {
    for away in [0, 3] {
        let backend = FakeServer::start(|_| ok("x"));
        let numbers = CounterTotals::default();
        let (adds, turned_away) = (numbers.clone(), AtomicUsize::new(0));
        let counter = FakeServer::start(move |call| {
            if turned_away.fetch_add(1, Ordering::SeqCst) < away {
                return Reaction::Answer(answer("503 No", "", ""));
            }
            ok(&adds.add(call))
        });
        let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
        let start = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
        let mut gateway = Gateway::start(&start, discovery.server.address, counter.address);
        discovery.wait_until_list_received();
        let mut client = gateway.client();
        for customer in 0..20 {
            assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
        }
        let told = Instant::now();
        gateway.terminate();
        ends_well(&mut gateway, told);
        assert_eq!(numbers.sum(), 20.0, "{away} calls turned away");
    }
}

/// Guards against the same where a long answer flows as SIGKILL comes.
#[test]
fn units_of_a_lone_process_are_told_while_a_long_answer_flows() {
    let backend = backend_slow_for_customer_nine();
    let numbers = CounterTotals::default();
    let (adds, began) = (numbers.clone(), Instant::now());
    // It turns all calls away until the last moments.
    let counter = FakeServer::start(move |call| match began.elapsed() < Duration::from_secs(3) {
        true => Reaction::Answer(answer("503 No", "", "")),
        false => ok(&adds.add(call)),
    });
    let start = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let mut scene = Fixture::new(&start, serving_entries(&[&backend]), counter);
    let (mut client, mut long) = (scene.gateway.client(), scene.gateway.client());
    long.send(&request("orden-nueva", 9, 5000));
    assert_eq!(long.read_line(), "HTTP/1.1 200 OK");
    for customer in 0..8 {
        assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    }
    let told = Instant::now();
    scene.gateway.terminate();
    std::thread::sleep(KILL.saturating_sub(told.elapsed()));
    scene.gateway.signal("-KILL");
    let _ = scene.gateway.wait_for_exit();
    assert_eq!(numbers.sum(), 9.0);
}

/// Guards against a reload that comes as the process ends: what it has not told the counter went to the address that
/// had been left.
#[test]
fn a_reload_counts_also_while_the_process_ends() {
    let backend = FakeServer::start(|_| ok("x"));
    let (left, numbers) =
        (FakeServer::start(|_| Reaction::Answer(answer("503 No", "", ""))), CounterTotals::default());
    let adds = numbers.clone();
    let moved = FakeServer::start(move |call| ok(&adds.add(call)));
    let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
    let start = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let mut gateway = Gateway::start(&start, discovery.server.address, left.address);
    discovery.wait_until_list_received();
    let mut client = gateway.client();
    for customer in 0..8 {
        assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    }
    let told = Instant::now();
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(100));
    gateway.reload(discovery.server.address, moved.address);
    ends_well(&mut gateway, told);
    assert_eq!(numbers.sum(), 8.0, "{}", numbers.sum());
}
