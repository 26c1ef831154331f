//! Clients that leave while their request waits: it is called off at once, wherever it waits and however they
//! leave, and nothing of it is sent on afterwards.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Called off this soon: an attempt that begins more than 0.1 s after the close is a break.
const SOON: Duration = Duration::from_millis(60);
const WAIT_MS: u64 = 5_000;
/// The first attempt's copy follows after 0.45 of the aim of its class; a client leaves so long before that.
const COPY: Duration = Duration::from_millis(360);
const BEFORE_COPY: Duration = Duration::from_millis(30);

type Changes = &'static [(&'static str, &'static str)];

const SLOW_CONNECT: (&str, &str) = ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000");
const SLOW_COUNT: (&str, &str) = ("\"count_limit_us\":80000", "\"count_limit_us\":5000000");

fn scene(entries: Vec<String>, counter: FakeServer, changes: Changes) -> Fixture {
    Fixture::new(
        &GatewayOptions { rate: 0.2, burst: 2.0, changes, ..GatewayOptions::default() },
        entries,
        counter,
    )
}

/// A client whose request waits somewhere.
struct Waiting {
    scene: Fixture,
    client: Option<Client>,
    /// What the client calls it.
    id: String,
    /// Others, who stay.
    stay: Vec<Client>,
    called_off: Box<dyn Fn(&Gateway) -> bool>,
    /// What it waits for comes; the backends that it might go to from then on.
    release: Box<dyn FnOnce() -> Vec<FakeServer>>,
}

/// A request to be told apart from all others.
fn named(class: &str) -> (String, String) {
    let text = request(class, 7, WAIT_MS);
    let id = text.split("x-correlation-id: ").nth(1).and_then(|t| t.split("\r\n").next());
    (id.expect("an id").to_owned(), text)
}

/// Waits until what is asked for holds, and tells how long that took.
fn until(what: &str, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_millis(WAIT_MS / 2), "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
    began.elapsed()
}

fn in_progress(gateway: &Gateway) -> u64 {
    gateway.metrics()["in_progress"].as_u64().expect("a number")
}

fn in_work(gateway: &Gateway) {
    until("it is taken", || in_progress(gateway) == 1);
}

fn none_in_work(gateway: &Gateway) -> bool {
    in_progress(gateway) == 0
}

/// A peer that holds what it is asked until it is told to go on, and all answers from then on.
fn holding(then: impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static) -> (FakeServer, Sender<()>) {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let fake = FakeServer::start(move |seen| {
        // An error: there is no one left to tell.
        let _ = wait.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        then(seen)
    });
    (fake, go)
}

fn turned_away() -> Reaction {
    Reaction::Answer(answer("503 Service Unavailable", "x-unprocessed: 1\r\n", ""))
}

/// At a backend that holds it and then turns it away: a further attempt could go to another one.
fn at_a_backend() -> Waiting {
    let (first, go) = holding(|_| turned_away());
    let scene = scene(vec![entry("s-0", first.address, "SERVING")], fake_counter(), &[]);
    let (mut client, (id, text)) = (scene.gateway.client(), named("orden-nueva"));
    client.send(&text);
    assert_eq!(first.next_request().header("x-correlation-id"), Some(&*id));
    let second = FakeServer::start(|_| ok("x"));
    let both = vec![entry("s-0", first.address, "SERVING"), entry("s-1", second.address, "SERVING")];
    scene.discovery.set(both);
    scene.discovery.wait_until_list_received();
    let release = Box::new(move || {
        drop(go);
        vec![first, second]
    });
    Waiting { scene, client: Some(client), id, stay: vec![], called_off: Box::new(none_in_work), release }
}

/// A class, and how its first attempt ends.
type First = (&'static str, fn() -> Reaction);

/// For a connection that does not come up: the only backend's, or that of a further attempt after the first.
fn for_a_connection_after(first: Option<First>) -> Waiting {
    let late = FullBacklogListener::start();
    let (class, ends) = first.unwrap_or(("orden-nueva", turned_away));
    let (busy, go) = holding(move |_| ends());
    let begin = if first.is_some() { busy.address } else { late.address };
    let scene = scene(vec![entry("s-0", begin, "SERVING")], fake_counter(), &[SLOW_CONNECT]);
    let (mut client, (id, text)) = (scene.gateway.client(), named(class));
    client.send(&text);
    if first.is_some() {
        busy.next_request();
        let both = vec![entry("s-0", busy.address, "SERVING"), entry("s-1", late.address, "SERVING")];
        scene.discovery.set(both);
        scene.discovery.wait_until_list_received();
        drop(go);
        // The next attempt is out by then, and not at the first backend.
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(busy.requests.try_iter().count(), 0, "a second attempt at the first backend");
    }
    in_work(&scene.gateway);
    let release = Box::new(|| vec![late.start_accepting(|_| ok("x")), busy]);
    Waiting { scene, client: Some(client), id, stay: vec![], called_off: Box::new(none_in_work), release }
}

fn for_a_connection() -> Waiting {
    for_a_connection_after(None)
}

fn for_a_further_attempt_turned_away() -> Waiting {
    for_a_connection_after(Some(("orden-nueva", turned_away)))
}

fn for_a_further_attempt_failed() -> Waiting {
    for_a_connection_after(Some(("consulta", || Reaction::Close)))
}

/// For a total: the part of its customer is spent by a first one, and the counter does not answer. With `behind`,
/// it waits for the module to make a further call, as one for another request is out.
fn for_a_total_behind(behind: bool) -> Waiting {
    let (counter, go) = holding(|_| ok("0"));
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(vec![entry("s-0", backend.address, "SERVING")], counter, &[SLOW_COUNT]);
    assert_eq!(scene.gateway.client().ask(&request("consulta", 7, WAIT_MS)).status(), 200);
    backend.next_request();
    let mut stay = vec![];
    if behind {
        let mut other = scene.gateway.client();
        other.send(&request("consulta", 7, WAIT_MS));
        stay.push(other);
        until("the other one is taken", || in_progress(&scene.gateway) == 1);
    }
    let (mut client, (id, text)) = (scene.gateway.client(), named("consulta"));
    client.send(&text);
    let others = stay.len() as u64;
    until("it is taken", || in_progress(&scene.gateway) == others + 1);
    scene.counter.next_request();
    let called_off = Box::new(move |gateway: &Gateway| in_progress(gateway) <= others);
    let release = Box::new(|| {
        drop(go);
        vec![backend]
    });
    Waiting { scene, client: Some(client), id, stay, called_off, release }
}

fn for_a_total() -> Waiting {
    for_a_total_behind(false)
}

fn for_the_module() -> Waiting {
    for_a_total_behind(true)
}

/// For its second copy, which is due shortly.
fn for_a_second_copy() -> Waiting {
    loop {
        let copies: Changes = &[("\"second_copies\":false", "\"second_copies\":true")];
        let answers = Arc::new(AtomicBool::new(false));
        let backend = || {
            let answers = answers.clone();
            FakeServer::start(
                move |_| if answers.load(Ordering::SeqCst) { ok("x") } else { Reaction::Silence },
            )
        };
        let both = [backend(), backend()];
        let entries =
            vec![entry("s-0", both[0].address, "SERVING"), entry("s-1", both[1].address, "SERVING")];
        let scene = scene(entries, fake_counter(), copies);
        let (mut client, (id, text)) = (scene.gateway.client(), named("consulta"));
        let began = Instant::now();
        client.send(&text);
        in_work(&scene.gateway);
        std::thread::sleep((COPY - BEFORE_COPY).saturating_sub(began.elapsed()));
        let seen = both.iter().map(|b| b.requests.try_iter().count()).sum::<usize>();
        // This machine was busy elsewhere.
        if began.elapsed() > COPY - BEFORE_COPY / 2 || seen != 1 {
            continue;
        }
        let release = Box::new(move || {
            std::thread::sleep((2 * COPY).saturating_sub(began.elapsed()));
            answers.store(true, Ordering::SeqCst);
            both.into()
        });
        return Waiting {
            scene,
            client: Some(client),
            id,
            stay: vec![],
            called_off: Box::new(none_in_work),
            release,
        };
    }
}

/// For its body: so much of a long one has come, and the backend's connection does not come up.
fn for_its_body_of(sent: usize) -> Waiting {
    let late = FullBacklogListener::start();
    // No counter, whose connections come and go.
    let changes: Changes = &[SLOW_CONNECT, ("\"shared_counter\":true", "\"shared_counter\":false")];
    let scene = scene(vec![entry("s-0", late.address, "SERVING")], fake_counter(), changes);
    let held = |gateway: &Gateway| gateway.open_descriptors();
    let same = || held(&scene.gateway) == (0..20).map(|_| held(&scene.gateway)).max().unwrap_or_default();
    until("earlier connections are closed", || {
        std::thread::sleep(Duration::from_millis(20));
        same()
    });
    let before = held(&scene.gateway);
    let (mut client, (id, text)) = (scene.gateway.client(), named("orden-nueva"));
    let body = format!("content-length: 70000\r\n\r\n{}", "y".repeat(sent));
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", &body));
    if sent > 65_536 {
        until("it is let in", || held(&scene.gateway) >= before + 2);
    } else {
        until("it begins", || held(&scene.gateway) > before);
    }
    let called_off = Box::new(move |gateway: &Gateway| held(gateway) <= before);
    let release = Box::new(|| vec![late.start_accepting(|_| ok("x"))]);
    Waiting { scene, client: Some(client), id, stay: vec![], called_off, release }
}

fn for_a_body_that_comes() -> Waiting {
    for_its_body_of(40_000)
}

fn for_a_body_that_is_not_asked_for() -> Waiting {
    for_its_body_of(70_000)
}

/// The same after SIGTERM.
fn terminated(waiting: Waiting) -> Waiting {
    waiting.scene.gateway.terminate();
    until("the signal is taken", || waiting.scene.gateway.health() == Some(503));
    waiting
}

fn at_a_backend_in_shutdown() -> Waiting {
    terminated(at_a_backend())
}

fn for_a_connection_in_shutdown() -> Waiting {
    terminated(for_a_connection())
}

fn for_a_total_in_shutdown() -> Waiting {
    terminated(for_a_total())
}

/// Nothing of it is sent on, also once what it has waited for has come.
fn nothing_is_sent(what: &str, waiting: Waiting) {
    let Waiting { mut scene, id, stay, release, .. } = waiting;
    let backends = release();
    if scene.gateway.health() == Some(200) {
        // The next one is served; what was to come before it has come by then.
        until(what, || scene.gateway.client().ask(&request("consulta", 8, WAIT_MS)).status() == 200);
    } else {
        drop(stay);
        assert!(scene.gateway.wait_for_exit().success(), "{what}");
    }
    let seen: Vec<_> = backends.iter().flat_map(|b| b.requests.try_iter()).collect();
    let its = seen.iter().filter(|s| s.header("x-correlation-id") == Some(&id)).count();
    assert_eq!(its, 0, "{what}: sent on");
}

/// The machine may have been busy elsewhere: of three rounds the fastest counts.
fn called_off_soon(place: &str, how: Disconnect, waiting: impl Fn() -> Waiting) {
    let (mut took, what) = (Duration::MAX, format!("{place}, {how:?}"));
    for _ in 0..3 {
        let mut waiting = waiting();
        waiting.client.take().expect("a client").disconnect(how);
        took = took.min(until(&what, || (waiting.called_off)(&waiting.scene.gateway)));
        nothing_is_sent(&what, waiting);
        if took < SOON {
            break;
        }
    }
    eprintln!("{what}: called off after {:.1} ms", took.as_secs_f64() * 1e3);
    assert!(took < SOON, "{what}: called off after {took:?} only");
}

/// The client leaves and what its request waits for comes while the gateway stands still: it finds both at once.
fn both_at_once(place: &str, how: Disconnect, waiting: impl Fn() -> Waiting) {
    let (mut waiting, what) = (waiting(), format!("{place}, {how:?}, both at once"));
    waiting.scene.gateway.signal("-STOP");
    waiting.client.take().expect("a client").disconnect(how);
    let backends = (std::mem::replace(&mut waiting.release, Box::new(Vec::new)))();
    std::thread::sleep(Duration::from_millis(20));
    waiting.scene.gateway.signal("-CONT");
    until(&what, || (waiting.called_off)(&waiting.scene.gateway));
    waiting.release = Box::new(|| backends);
    nothing_is_sent(&what, waiting);
}

macro_rules! places {
    ($($place:ident: $test:ident)*) => {
        $(#[test]
        fn $test() {
            for how in DISCONNECTS {
                called_off_soon(stringify!($place), how, $place);
                both_at_once(stringify!($place), how, $place);
            }
        })*
    };
}

places! {
    at_a_backend: who_leaves_at_a_backend
    for_the_module: who_leaves_before_the_module_has_made_its_call
    for_a_total: who_leaves_before_a_total_has_come
    for_a_connection: who_leaves_before_a_connection_is_up
    for_a_further_attempt_turned_away: who_leaves_before_a_further_attempt
    for_a_further_attempt_failed: who_leaves_before_a_further_attempt_after_a_failure
    for_a_second_copy: who_leaves_before_a_second_copy
    for_a_body_that_comes: who_leaves_with_its_body_under_way
    for_a_body_that_is_not_asked_for: who_leaves_before_its_body_is_asked_for
    at_a_backend_in_shutdown: who_leaves_at_a_backend_in_shutdown
    for_a_connection_in_shutdown: who_leaves_before_a_connection_is_up_in_shutdown
    for_a_total_in_shutdown: who_leaves_before_a_total_has_come_in_shutdown
}

/// Guards against an end that is not seen because it stands behind more than the sockets hold. It comes to the
/// gateway's machine only as the gateway reads: there is no such order as both at once.
#[test]
fn who_leaves_behind_more_than_the_sockets_hold() {
    for (name, place) in [("at_a_backend", at_a_backend as fn() -> Waiting), ("for_a_total", for_a_total)] {
        for most in [8 << 20, 64 << 20] {
            called_off_soon(name, Disconnect::CloseAfterFilling(most), place);
        }
    }
}

/// One that stays is served, whatever it has sent behind its request.
#[test]
fn who_stays_is_served() {
    let (backend, go) = holding(|_| ok("late"));
    let scene = scene(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = scene.gateway.client();
    client.send(&format!("{}{}", request("consulta", 7, WAIT_MS), request("consulta", 8, WAIT_MS)));
    backend.next_request();
    std::thread::sleep(Duration::from_millis(250));
    drop(go);
    for _ in 0..2 {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
}

/// Guards against requests that are lost because many were sent at once: all are answered, in order.
#[test]
fn who_sends_two_hundred_requests_at_once_is_served() {
    let (backend, go) = holding(|seen| ok(seen.header("x-correlation-id").expect("an id")));
    let scene = scene(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = scene.gateway.client();
    let (ids, texts): (Vec<_>, Vec<_>) = (0..200)
        .map(|n| named(if n % 2 == 0 { "consulta" } else { "orden-nueva" }))
        .enumerate()
        .map(|(n, (id, text))| (id, text.replace(&format!("{:016x}", 7), &format!("{:016x}", 100 + n))))
        .unzip();
    client.send(&texts.concat());
    backend.next_request();
    std::thread::sleep(Duration::from_millis(50));
    drop(go);
    for id in ids {
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, id.into_bytes()));
    }
}

/// Who has sent more behind a request than is read ahead gets that request's answer, which says that it is the
/// last on its connection.
#[test]
fn who_stays_with_too_much_behind_its_request_gets_its_answer() {
    let (backend, go) = holding(|_| ok("late"));
    let scene = scene(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = scene.gateway.client();
    client.send(&request("consulta", 7, WAIT_MS));
    backend.next_request();
    client.send(&request("consulta", 8, WAIT_MS).repeat(4_000));
    std::thread::sleep(Duration::from_millis(50));
    drop(go);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.at_eof());
    assert_eq!(backend.requests.try_iter().count(), 0);
}
