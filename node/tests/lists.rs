//! Lists that are late, old or never come. Each test makes one bad order happen every time.

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// By then nothing new may go to a backend that discovery's agent knows to drain: the settings' grace.
const GRACE: Duration = Duration::from_millis(1_000);
const WITH_GRACE: &[(&str, &str)] = &[("\"drain_grace_us\":500000", "\"drain_grace_us\":1000000")];

fn gateway(start: &GatewayOptions, discovery: std::net::SocketAddr) -> (Gateway, FakeServer) {
    let counter = fake_counter();
    (Gateway::start(start, discovery, counter.address), counter)
}

fn asked(gateway: &Gateway, times: u64) {
    let mut client = gateway.client();
    for customer in 0..times {
        assert_eq!(client.ask(&request("consulta", customer, 2000)).status(), 200);
    }
}

/// Guards against a list that is older than the one in hand bringing back what drains or has gone: one that has
/// gone back in its version, and one of another agent, who may know less. What has started anew is used, and
/// so is what a later change takes back.
#[test]
fn an_older_list_does_not_bring_back_what_was_told_to_go() {
    let (stays, leaves) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let entries = |status: &str, since| {
        vec![entry("s-0", stays.address, "SERVING"), entry_since("s-1", leaves.address, status, since)]
    };
    for moves in [false, true] {
        for last in ["DRAINING", "DELETED"] {
            let discovery = FakeDiscovery::start(entries("SERVING", 0));
            let (gateway, counter) = gateway(&GatewayOptions::default(), discovery.server.address);
            discovery.wait_until_list_received();
            (0..5).for_each(|_| discovery.set(entries("SERVING", 0)));
            discovery.wait_until_list_received();
            discovery.set(entries(last, 0));
            discovery.wait_until_list_received();
            leaves.requests.try_iter().for_each(drop);
            // The same backends as before, all of them well.
            let other = FakeDiscovery::start(entries("SERVING", 0));
            let now = if moves {
                gateway.reload(other.server.address, counter.address);
                &other
            } else {
                discovery.replace(3, entries("SERVING", 0));
                &discovery
            };
            while now.server.next_request().path() != "/v1/servers" {}
            now.wait_until_list_received();
            asked(&gateway, 60);
            assert_eq!(leaves.requests.try_iter().count(), 0, "{last} was taken back, agent moves: {moves}");
            // A process that started since, or word of it that comes later.
            now.set(entries("SERVING", u64::from(!moves)));
            now.wait_until_list_received();
            // The other one may have been the faster for a while: it is not found slower at once.
            let back = Instant::now();
            while leaves.requests.try_recv().is_err() {
                assert!(back.elapsed() < TEST_TIMEOUT, "{last} for good, agent moves: {moves}");
                asked(&gateway, 1);
            }
        }
    }
}

/// What a discovery does with one connection's first call after another.
#[derive(Clone, Copy, Debug)]
enum Silence {
    /// It is not accepted.
    Line,
    Head,
    MidHead,
    MidBody,
}

/// A discovery that serves its calls by a script, then falls silent in that way for so many calls, and then
/// tells its last list. The channel tells when it fell silent.
fn silent(
    first: Vec<String>,
    how: Silence,
    times: usize,
    then: String,
) -> (std::net::SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tell, fell) = channel();
    std::thread::spawn(move || {
        let (mut first, mut silent, mut kept) = (VecDeque::from(first), 0, Vec::new());
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let mut out = stream.try_clone().expect("a second handle");
            if let (Silence::Line, true, true) = (how, first.is_empty(), silent < times) {
                silent += 1;
                let _ = tell.send(Instant::now());
                kept.push(out);
                continue;
            }
            let mut from = std::io::BufReader::new(stream);
            while read_message(&mut from, 0).is_some() {
                let whole = |text: &str| answer("200 OK", "", text);
                if let Some(text) = first.pop_front() {
                    let _ = out.write_all(whole(&text).as_bytes());
                } else if silent < times && !matches!(how, Silence::Line) {
                    silent += 1;
                    let text = whole(&then);
                    let part = match how {
                        Silence::MidHead => 10,
                        Silence::MidBody => text.len() - 20,
                        _ => 0,
                    };
                    let _ = out.write_all(&text.as_bytes()[..part]);
                    let _ = tell.send(Instant::now());
                } else if out.write_all(whole(&then).as_bytes()).is_ok() {
                    // Watches that follow are held: there is no more news.
                    kept.push(out);
                    break;
                }
            }
        }
    });
    (address, fell)
}

/// Guards against silence that hides a drain: at a watch's start, in its head or body, or as a connection is made;
/// once, and for a while after which the agent speaks again. The agent knows of the drain all the time.
#[test]
fn a_silent_watch_is_opened_anew_within_the_grace() {
    for how in [Silence::Head, Silence::MidHead, Silence::MidBody, Silence::Line] {
        for times in [1, 3] {
            let (stays, leaves) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
            let entries =
                |status| vec![entry("s-0", stays.address, "SERVING"), entry("s-1", leaves.address, status)];
            let first =
                if let Silence::Line = how { vec![] } else { vec![list(1, true, &entries("SERVING"))] };
            let (discovery, fell) = silent(first, how, times, list(2, true, &entries("DRAINING")));
            let known = Some(list(1, true, &entries("SERVING")));
            let start = GatewayOptions { known, changes: WITH_GRACE, ..GatewayOptions::default() };
            let (gateway, _counter) = gateway(&start, discovery);
            let mut last = Instant::now();
            (0..times).for_each(|_| last = fell.recv_timeout(TEST_TIMEOUT).expect("it falls silent"));
            while gateway.metrics()["skipped_backends"] != 1 {
                assert!(last.elapsed() < TEST_TIMEOUT, "{how:?} {times}: never");
            }
            assert!(last.elapsed() < GRACE, "{how:?} {times}: {:?} after the last silence", last.elapsed());
            asked(&gateway, 20);
        }
    }
}

/// Guards against a new agent that is silent at first, right after SIGHUP.
#[test]
fn silence_right_after_a_new_configuration_is_not_sat_out() {
    let (before, after) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let old = FakeDiscovery::start(vec![entry("s-0", before.address, "SERVING")]);
    let (gateway, counter) = gateway(&GatewayOptions::default(), old.server.address);
    old.wait_until_list_received();
    let then = list(7, true, &[entry("s-9", after.address, "SERVING")]);
    let (new, fell) = silent(vec![], Silence::Head, 2, then);
    let told = Instant::now();
    gateway.reload(new, counter.address);
    let silences = (0..2).map_while(|_| fell.recv_timeout(TEST_TIMEOUT).ok()).count();
    assert_eq!(silences, 2);
    while gateway.metrics()["known_backends"] != 1 || after.requests.try_recv().is_err() {
        asked(&gateway, 1);
        assert!(told.elapsed() < Duration::from_secs(4), "what it has counts as told by now");
    }
}

/// Guards against a list that is read only in the form that is usual.
#[test]
fn an_indented_list_is_read_and_half_a_one_changes_nothing() {
    let (first, second) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let text = |backend: &FakeServer| list(1, true, &[entry("s-0", backend.address, "SERVING")]);
    let parsed: serde_json::Value = serde_json::from_str(&text(&second)).expect("a list");
    let indented = serde_json::to_string_pretty(&parsed);
    let (half, indented) = (text(&second), indented.expect("a list"));
    let calls = AtomicUsize::new(0);
    let known = text(&first);
    let discovery = FakeServer::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => ok(&half[..half.len() / 2]),
        1 => ok(&indented),
        _ => Reaction::Silence,
    });
    let start = GatewayOptions { known: Some(known), ..GatewayOptions::default() };
    let (gateway, _counter) = gateway(&start, discovery.address);
    discovery.next_request();
    assert_eq!(discovery.next_request().path(), "/v1/servers", "the whole list is asked for");
    discovery.next_request();
    asked(&gateway, 3);
    assert_eq!(second.requests.try_iter().count(), 3);
}
