//! Discovery lists that are late, outdated or missing. Each test forces one order of events.

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// The settings' drain grace: the time from when discovery's agent knows of a drain until the backend may get no new
/// requests.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Sets the drain grace to `DRAIN_GRACE`.
const WITH_DRAIN_GRACE: &[(&str, &str)] = &[("\"drain_grace_us\":500000", "\"drain_grace_us\":1000000")];

/// Starts a gateway and a counter.
fn gateway(options: &GatewayOptions, discovery: std::net::SocketAddr) -> (Gateway, FakeServer) {
    let counter = fake_counter();
    (Gateway::start(options, discovery, counter.address), counter)
}

/// Sends this many requests, and checks that each is served.
fn assert_served(gateway: &Gateway, times: u64) {
    let mut client = gateway.client();
    for customer in 0..times {
        assert_eq!(client.ask(&request("consulta", customer, 2000)).status(), 200);
    }
}

/// Guards against an outdated list that puts a draining or deleted backend back into service: a list whose index has
/// gone back, or a list of another agent, which may know less. A backend that has started again since then is used, and
/// so is one that a later change puts back into service.
#[test]
fn an_older_list_does_not_bring_back_what_was_told_to_go() {
    let (stays, leaves) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let entries = |status: &str, since| {
        vec![entry("s-0", stays.address, "SERVING"), entry_since("s-1", leaves.address, status, since)]
    };
    for new_agent in [false, true] {
        for last_status in ["DRAINING", "DELETED"] {
            let discovery = FakeDiscovery::start(entries("SERVING", 0));
            let (gateway, counter) = gateway(&GatewayOptions::default(), discovery.server.address);
            discovery.wait_until_list_received();
            (0..5).for_each(|_| discovery.set(entries("SERVING", 0)));
            discovery.wait_until_list_received();
            discovery.set(entries(last_status, 0));
            discovery.wait_until_list_received();
            leaves.requests.try_iter().for_each(drop);
            // The outdated list has the same backends, all serving.
            let other_discovery = FakeDiscovery::start(entries("SERVING", 0));
            let discovery_now = if new_agent {
                gateway.reload(other_discovery.server.address, counter.address);
                &other_discovery
            } else {
                discovery.replace(3, entries("SERVING", 0));
                &discovery
            };
            while discovery_now.server.next_request().path() != "/v1/servers" {}
            discovery_now.wait_until_list_received();
            assert_served(&gateway, 60);
            assert_eq!(
                leaves.requests.try_iter().count(),
                0,
                "a request went to a backend that is {last_status}, new agent: {new_agent}"
            );
            // A process of the backend that started later, or a later change of the list.
            discovery_now.set(entries("SERVING", u64::from(!new_agent)));
            discovery_now.wait_until_list_received();
            // The other backend may have been faster for a while, so the first request may take some time to come.
            let restored_at = Instant::now();
            while leaves.requests.try_recv().is_err() {
                assert!(
                    restored_at.elapsed() < TEST_TIMEOUT,
                    "{last_status} backend is not used again, new agent: {new_agent}"
                );
                assert_served(&gateway, 1);
            }
        }
    }
}

/// Where in a connection or call discovery falls silent.
#[derive(Clone, Copy, Debug)]
enum Silence {
    /// The connection is accepted, but its calls are not read.
    NewConnection,
    /// Before the answer.
    Head,
    /// Within the answer's head.
    MidHead,
    /// Within the answer's body.
    MidBody,
}

/// Starts a discovery that answers the first calls with `first_lists`, falls silent in this way for the next `times`
/// calls, and then answers with `last_list`. The channel receives the time of each silence.
fn silent_discovery(
    first_lists: Vec<String>,
    silence: Silence,
    times: usize,
    last_list: String,
) -> (std::net::SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (silence_sender, silences) = channel();
    std::thread::spawn(move || {
        let (mut first_lists, mut silence_count, mut open_streams) =
            (VecDeque::from(first_lists), 0, Vec::new());
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let mut writer = stream.try_clone().expect("a second handle");
            if let (Silence::NewConnection, true, true) =
                (silence, first_lists.is_empty(), silence_count < times)
            {
                silence_count += 1;
                let _ = silence_sender.send(Instant::now());
                open_streams.push(writer);
                continue;
            }
            let mut reader = std::io::BufReader::new(stream);
            while read_message(&mut reader, 0).is_some() {
                let full_answer = |text: &str| answer("200 OK", "", text);
                if let Some(text) = first_lists.pop_front() {
                    let _ = writer.write_all(full_answer(&text).as_bytes());
                } else if silence_count < times && !matches!(silence, Silence::NewConnection) {
                    silence_count += 1;
                    let text = full_answer(&last_list);
                    let part = match silence {
                        Silence::MidHead => 10,
                        Silence::MidBody => text.len() - 20,
                        _ => 0,
                    };
                    let _ = writer.write_all(&text.as_bytes()[..part]);
                    let _ = silence_sender.send(Instant::now());
                } else if writer.write_all(full_answer(&last_list).as_bytes()).is_ok() {
                    // Later watches get no answer: there is no further change.
                    open_streams.push(writer);
                    break;
                }
            }
        }
    });
    (address, silences)
}

/// Guards against a silent agent that hides a drain: at the start of a watch, in the answer's head or body, or on a new
/// connection, once or several times before the agent answers again. The agent knows of the drain all the time.
#[test]
fn a_silent_watch_is_opened_anew_within_the_grace() {
    for how in [Silence::Head, Silence::MidHead, Silence::MidBody, Silence::NewConnection] {
        for times in [1, 3] {
            let (stays, leaves) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
            let entries =
                |status| vec![entry("s-0", stays.address, "SERVING"), entry("s-1", leaves.address, status)];
            let first = if let Silence::NewConnection = how {
                vec![]
            } else {
                vec![list(1, true, &entries("SERVING"))]
            };
            let (discovery, silences) =
                silent_discovery(first, how, times, list(2, true, &entries("DRAINING")));
            let known = Some(list(1, true, &entries("SERVING")));
            let options = GatewayOptions { known, changes: WITH_DRAIN_GRACE, ..GatewayOptions::default() };
            let (gateway, _counter) = gateway(&options, discovery);
            let mut last_silence = Instant::now();
            (0..times).for_each(|_| {
                last_silence = silences.recv_timeout(TEST_TIMEOUT).expect("discovery falls silent")
            });
            while gateway.metrics()["skipped_backends"] != 1 {
                assert!(last_silence.elapsed() < TEST_TIMEOUT, "{how:?} {times}: the drain is never noticed");
            }
            assert!(
                last_silence.elapsed() < DRAIN_GRACE,
                "{how:?} {times}: {:?} after the last silence",
                last_silence.elapsed()
            );
            assert_served(&gateway, 20);
        }
    }
}

/// Guards against waiting for a new agent that is silent at first, right after a reload (SIGHUP).
#[test]
fn silence_right_after_a_new_configuration_is_not_sat_out() {
    let (before, after) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let old_discovery = FakeDiscovery::start(vec![entry("s-0", before.address, "SERVING")]);
    let (gateway, counter) = gateway(&GatewayOptions::default(), old_discovery.server.address);
    old_discovery.wait_until_list_received();
    let new_list = list(7, true, &[entry("s-9", after.address, "SERVING")]);
    let (new_discovery, silence_times) = silent_discovery(vec![], Silence::Head, 2, new_list);
    let reloaded_at = Instant::now();
    gateway.reload(new_discovery, counter.address);
    let silences = (0..2).map_while(|_| silence_times.recv_timeout(TEST_TIMEOUT).ok()).count();
    assert_eq!(silences, 2);
    while gateway.metrics()["known_backends"] != 1 || after.requests.try_recv().is_err() {
        assert_served(&gateway, 1);
        assert!(reloaded_at.elapsed() < Duration::from_secs(4), "the new list has not been applied by now");
    }
}

/// Guards against rejecting a list with unusual white space, and against applying an incomplete one.
#[test]
fn an_indented_list_is_read_and_half_a_one_changes_nothing() {
    let (first, second) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let text = |backend: &FakeServer| list(1, true, &[entry("s-0", backend.address, "SERVING")]);
    let parsed: serde_json::Value = serde_json::from_str(&text(&second)).expect("a list");
    let indented = serde_json::to_string_pretty(&parsed);
    let (complete, indented) = (text(&second), indented.expect("a list"));
    let calls = AtomicUsize::new(0);
    let known = text(&first);
    let discovery = FakeServer::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => ok(&complete[..complete.len() / 2]),
        1 => ok(&indented),
        _ => Reaction::Silence,
    });
    let options = GatewayOptions { known: Some(known), ..GatewayOptions::default() };
    let (gateway, _counter) = gateway(&options, discovery.address);
    discovery.next_request();
    assert_eq!(discovery.next_request().path(), "/v1/servers", "the whole list is asked for");
    discovery.next_request();
    assert_served(&gateway, 3);
    assert_eq!(second.requests.try_iter().count(), 3);
}
