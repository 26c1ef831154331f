//! Clients that disconnect while their request is pending: the gateway cancels the request at once, wherever it waits
//! and however the client disconnects, and sends nothing of it to a backend afterwards.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time limit for the cancellation. An attempt that begins more than 0.1 s after the client's close violates an
/// invariant.
const CANCEL_TIME_LIMIT: Duration = Duration::from_millis(60);
/// The clients' time to the deadline, in milliseconds.
const CLIENT_WAIT_MS: u64 = 5_000;
/// The delay from the first attempt to its hedge: 0.45 of the class's target latency.
const HEDGE_DELAY: Duration = Duration::from_millis(360);
/// How long before the hedge the client disconnects.
const MARGIN_BEFORE_HEDGE: Duration = Duration::from_millis(30);

/// Replacements in the text of the settings: old and new text.
type SettingChanges = &'static [(&'static str, &'static str)];

const LONG_CONNECT_TIMEOUT: (&str, &str) =
    ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000");
const LONG_COUNTER_TIMEOUT: (&str, &str) = ("\"count_limit_us\":80000", "\"count_limit_us\":5000000");

/// Starts a gateway with a quota of 0.2 units/s and a burst of 2 units.
fn start_fixture(entries: Vec<String>, counter: FakeServer, changes: SettingChanges) -> Fixture {
    Fixture::new(
        &GatewayOptions { rate: 0.2, burst: 2.0, changes, ..GatewayOptions::default() },
        entries,
        counter,
    )
}

/// A client whose request is pending in the gateway, and what the request waits for.
struct PendingRequest {
    fixture: Fixture,
    client: Option<Client>,
    /// The request's correlation id.
    correlation_id: String,
    /// Clients that stay connected.
    other_clients: Vec<Client>,
    /// Returns whether the gateway has cancelled the request.
    is_cancelled: Box<dyn Fn(&Gateway) -> bool>,
    /// Brings about what the request waits for; returns the backends that the request could be sent to from then on.
    release: Box<dyn FnOnce() -> Vec<FakeServer>>,
}

/// Returns the correlation id and the text of a new request for customer 7.
fn request_with_id(class: &str) -> (String, String) {
    let text = request(class, 7, CLIENT_WAIT_MS);
    let id = text.split("x-correlation-id: ").nth(1).and_then(|t| t.split("\r\n").next());
    (id.expect("an id").to_owned(), text)
}

/// Waits until the condition holds, for at most half of `CLIENT_WAIT_MS`; returns how long that took.
fn wait_until(description: &str, condition: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_millis(CLIENT_WAIT_MS / 2), "{description}");
        std::thread::sleep(Duration::from_millis(2));
    }
    began.elapsed()
}

fn in_progress(gateway: &Gateway) -> u64 {
    gateway.metrics()["in_progress"].as_u64().expect("a number")
}

fn wait_until_in_progress(gateway: &Gateway) {
    wait_until("the request is in progress", || in_progress(gateway) == 1);
}

fn none_in_progress(gateway: &Gateway) -> bool {
    in_progress(gateway) == 0
}

/// Starts a server that holds its answers until the sender is used or dropped. Each message releases one request; a
/// dropped sender releases all.
fn blocking_server(
    react: impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static,
) -> (FakeServer, Sender<()>) {
    let (unblock, unblocked) = channel::<()>();
    let unblocked = Mutex::new(unblocked);
    let server = FakeServer::start(move |request| {
        // Fails once the sender is dropped: requests are then answered at once.
        let _ = unblocked.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        react(request)
    });
    (server, unblock)
}

/// Returns a backend's rejection that says that the request was not processed.
fn rejection() -> Reaction {
    Reaction::Answer(answer("503 Service Unavailable", "x-unprocessed: 1\r\n", ""))
}

/// The request is at a backend that holds it and then rejects it. A retry could go to a second backend.
fn waiting_at_backend() -> PendingRequest {
    let (first, unblock) = blocking_server(|_| rejection());
    let fixture = start_fixture(vec![entry("s-0", first.address, "SERVING")], fake_counter(), &[]);
    let (mut client, (correlation_id, text)) = (fixture.gateway.client(), request_with_id("orden-nueva"));
    client.send(&text);
    assert_eq!(first.next_request().header("x-correlation-id"), Some(&*correlation_id));
    let second = FakeServer::start(|_| ok("x"));
    let both = vec![entry("s-0", first.address, "SERVING"), entry("s-1", second.address, "SERVING")];
    fixture.discovery.set(both);
    fixture.discovery.wait_until_list_received();
    let release = Box::new(move || {
        drop(unblock);
        vec![first, second]
    });
    PendingRequest {
        fixture,
        client: Some(client),
        correlation_id,
        other_clients: vec![],
        is_cancelled: Box::new(none_in_progress),
        release,
    }
}

/// The request's class, and how the backend of its first attempt reacts.
type FirstAttempt = (&'static str, fn() -> Reaction);

/// The request waits for a connection that is not established: that of its first attempt to the only backend, or that
/// of a retry where `first` is given.
fn waiting_for_connection_after(first: Option<FirstAttempt>) -> PendingRequest {
    let unaccepting = FullBacklogListener::start();
    let (class, react) = first.unwrap_or(("orden-nueva", rejection));
    let (first_backend, unblock) = blocking_server(move |_| react());
    let initial_address = if first.is_some() { first_backend.address } else { unaccepting.address };
    let fixture = start_fixture(
        vec![entry("s-0", initial_address, "SERVING")],
        fake_counter(),
        &[LONG_CONNECT_TIMEOUT],
    );
    let (mut client, (correlation_id, text)) = (fixture.gateway.client(), request_with_id(class));
    client.send(&text);
    if first.is_some() {
        first_backend.next_request();
        let entries = vec![
            entry("s-0", first_backend.address, "SERVING"),
            entry("s-1", unaccepting.address, "SERVING"),
        ];
        fixture.discovery.set(entries);
        fixture.discovery.wait_until_list_received();
        drop(unblock);
        // The retry has begun by then, at the other backend.
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(first_backend.requests.try_iter().count(), 0, "a second attempt at the first backend");
    }
    wait_until_in_progress(&fixture.gateway);
    let release = Box::new(|| vec![unaccepting.start_accepting(|_| ok("x")), first_backend]);
    PendingRequest {
        fixture,
        client: Some(client),
        correlation_id,
        other_clients: vec![],
        is_cancelled: Box::new(none_in_progress),
        release,
    }
}

fn waiting_for_connection() -> PendingRequest {
    waiting_for_connection_after(None)
}

fn waiting_for_retry_after_rejection() -> PendingRequest {
    waiting_for_connection_after(Some(("orden-nueva", rejection)))
}

fn waiting_for_retry_after_failure() -> PendingRequest {
    waiting_for_connection_after(Some(("consulta", || Reaction::Close)))
}

/// The request waits for a fresh total: an earlier request has used up the gateway's share of the customer's quota, and
/// the counter does not answer. With `behind`, the request has to wait for a later call to the counter, because a call
/// for another request is in flight.
fn waiting_for_total_behind(behind: bool) -> PendingRequest {
    let (counter, unblock) = blocking_server(|_| ok("0"));
    let backend = FakeServer::start(|_| ok("x"));
    let fixture =
        start_fixture(vec![entry("s-0", backend.address, "SERVING")], counter, &[LONG_COUNTER_TIMEOUT]);
    assert_eq!(fixture.gateway.client().ask(&request("consulta", 7, CLIENT_WAIT_MS)).status(), 200);
    backend.next_request();
    let mut other_clients = vec![];
    if behind {
        let mut other = fixture.gateway.client();
        other.send(&request("consulta", 7, CLIENT_WAIT_MS));
        other_clients.push(other);
        wait_until("the other request is in progress", || in_progress(&fixture.gateway) == 1);
    }
    let (mut client, (correlation_id, text)) = (fixture.gateway.client(), request_with_id("consulta"));
    client.send(&text);
    let others = other_clients.len() as u64;
    wait_until("the request is in progress", || in_progress(&fixture.gateway) == others + 1);
    fixture.counter.next_request();
    let is_cancelled = Box::new(move |gateway: &Gateway| in_progress(gateway) <= others);
    let release = Box::new(|| {
        drop(unblock);
        vec![backend]
    });
    PendingRequest { fixture, client: Some(client), correlation_id, other_clients, is_cancelled, release }
}

fn waiting_for_total() -> PendingRequest {
    waiting_for_total_behind(false)
}

fn waiting_for_later_counter_call() -> PendingRequest {
    waiting_for_total_behind(true)
}

/// The request is at a silent backend, shortly before its hedge is due.
fn waiting_for_hedge() -> PendingRequest {
    loop {
        let hedging: SettingChanges = &[("\"second_copies\":false", "\"second_copies\":true")];
        let answers = Arc::new(AtomicBool::new(false));
        let start_backend = || {
            let answers = answers.clone();
            FakeServer::start(
                move |_| if answers.load(Ordering::SeqCst) { ok("x") } else { Reaction::Silence },
            )
        };
        let backends = [start_backend(), start_backend()];
        let entries =
            vec![entry("s-0", backends[0].address, "SERVING"), entry("s-1", backends[1].address, "SERVING")];
        let fixture = start_fixture(entries, fake_counter(), hedging);
        let (mut client, (correlation_id, text)) = (fixture.gateway.client(), request_with_id("consulta"));
        let began = Instant::now();
        client.send(&text);
        wait_until_in_progress(&fixture.gateway);
        std::thread::sleep((HEDGE_DELAY - MARGIN_BEFORE_HEDGE).saturating_sub(began.elapsed()));
        let attempts_seen = backends.iter().map(|b| b.requests.try_iter().count()).sum::<usize>();
        // The machine was too busy to reach this state in time: try again.
        if began.elapsed() > HEDGE_DELAY - MARGIN_BEFORE_HEDGE / 2 || attempts_seen != 1 {
            continue;
        }
        let release = Box::new(move || {
            std::thread::sleep((2 * HEDGE_DELAY).saturating_sub(began.elapsed()));
            answers.store(true, Ordering::SeqCst);
            backends.into()
        });
        return PendingRequest {
            fixture,
            client: Some(client),
            correlation_id,
            other_clients: vec![],
            is_cancelled: Box::new(none_in_progress),
            release,
        };
    }
}

/// The request waits for the rest of its body: `sent` of its 70,000 bytes have been sent, and the connection to the
/// backend is not established.
fn waiting_for_body_after(sent: usize) -> PendingRequest {
    let unaccepting = FullBacklogListener::start();
    // Without the counter, whose connections would change the number of descriptors.
    let changes: SettingChanges =
        &[LONG_CONNECT_TIMEOUT, ("\"shared_counter\":true", "\"shared_counter\":false")];
    let fixture = start_fixture(vec![entry("s-0", unaccepting.address, "SERVING")], fake_counter(), changes);
    let descriptors = |gateway: &Gateway| gateway.open_descriptors();
    let steady = || {
        descriptors(&fixture.gateway)
            == (0..20).map(|_| descriptors(&fixture.gateway)).max().unwrap_or_default()
    };
    wait_until("earlier connections are closed", || {
        std::thread::sleep(Duration::from_millis(20));
        steady()
    });
    let baseline = descriptors(&fixture.gateway);
    let (mut client, (correlation_id, text)) = (fixture.gateway.client(), request_with_id("orden-nueva"));
    let body = format!("content-length: 70000\r\n\r\n{}", "y".repeat(sent));
    client.send(&text.replace("content-length: 4\r\n\r\n{42}", &body));
    if sent > 65_536 {
        wait_until("the long body is admitted", || descriptors(&fixture.gateway) >= baseline + 2);
    } else {
        wait_until("the request arrives", || descriptors(&fixture.gateway) > baseline);
    }
    let is_cancelled = Box::new(move |gateway: &Gateway| descriptors(gateway) <= baseline);
    let release = Box::new(|| vec![unaccepting.start_accepting(|_| ok("x"))]);
    PendingRequest {
        fixture,
        client: Some(client),
        correlation_id,
        other_clients: vec![],
        is_cancelled,
        release,
    }
}

fn waiting_for_buffered_body() -> PendingRequest {
    waiting_for_body_after(40_000)
}

fn waiting_for_unrequested_body() -> PendingRequest {
    waiting_for_body_after(70_000)
}

/// Sends SIGTERM to the gateway, and waits until it has handled the signal.
fn after_sigterm(pending: PendingRequest) -> PendingRequest {
    pending.fixture.gateway.terminate();
    wait_until("the signal is handled", || pending.fixture.gateway.health() == Some(503));
    pending
}

fn waiting_at_backend_in_shutdown() -> PendingRequest {
    after_sigterm(waiting_at_backend())
}

fn waiting_for_connection_in_shutdown() -> PendingRequest {
    after_sigterm(waiting_for_connection())
}

fn waiting_for_total_in_shutdown() -> PendingRequest {
    after_sigterm(waiting_for_total())
}

/// Checks that nothing of the cancelled request is sent to a backend, also after what it waited for has happened.
fn assert_nothing_sent(description: &str, pending: PendingRequest) {
    let PendingRequest { mut fixture, correlation_id, other_clients, release, .. } = pending;
    let backends = release();
    if fixture.gateway.health() == Some(200) {
        // Once a later request has been served, the cancelled one would have been sent.
        wait_until(description, || {
            fixture.gateway.client().ask(&request("consulta", 8, CLIENT_WAIT_MS)).status() == 200
        });
    } else {
        drop(other_clients);
        assert!(fixture.gateway.wait_for_exit().success(), "{description}");
    }
    let received: Vec<_> = backends.iter().flat_map(|b| b.requests.try_iter()).collect();
    let sent_on = received.iter().filter(|s| s.header("x-correlation-id") == Some(&correlation_id)).count();
    assert_eq!(sent_on, 0, "{description}: sent on");
}

/// Checks that the gateway cancels the request within `CANCEL_TIME_LIMIT` of the disconnect. As the machine may be
/// busy, the fastest of three rounds counts.
fn assert_cancelled_in_time(place: &str, how: Disconnect, begin: impl Fn() -> PendingRequest) {
    let (mut fastest, description) = (Duration::MAX, format!("{place}, {how:?}"));
    for _ in 0..3 {
        let mut pending = begin();
        pending.client.take().expect("a client").disconnect(how);
        fastest = fastest.min(wait_until(&description, || (pending.is_cancelled)(&pending.fixture.gateway)));
        assert_nothing_sent(&description, pending);
        if fastest < CANCEL_TIME_LIMIT {
            break;
        }
    }
    eprintln!("{description}: cancelled after {:.1} ms", fastest.as_secs_f64() * 1e3);
    assert!(fastest < CANCEL_TIME_LIMIT, "{description}: cancelled only after {fastest:?}");
}

/// Checks the cancellation where the gateway sees two things at once: the client has disconnected and what its request
/// waits for has happened, both while the process was stopped.
fn assert_cancelled_at_same_time(place: &str, how: Disconnect, begin: impl Fn() -> PendingRequest) {
    let (mut pending, description) = (begin(), format!("{place}, {how:?}, both at once"));
    pending.fixture.gateway.signal("-STOP");
    pending.client.take().expect("a client").disconnect(how);
    let backends = (std::mem::replace(&mut pending.release, Box::new(Vec::new)))();
    std::thread::sleep(Duration::from_millis(20));
    pending.fixture.gateway.signal("-CONT");
    wait_until(&description, || (pending.is_cancelled)(&pending.fixture.gateway));
    pending.release = Box::new(|| backends);
    assert_nothing_sent(&description, pending);
}

macro_rules! places {
    ($($place:ident: $test:ident)*) => {
        $(#[test]
        fn $test() {
            for how in DISCONNECTS {
                assert_cancelled_in_time(stringify!($place), how, $place);
                assert_cancelled_at_same_time(stringify!($place), how, $place);
            }
        })*
    };
}

places! {
    waiting_at_backend: who_leaves_at_a_backend
    waiting_for_later_counter_call: who_leaves_before_the_module_has_made_its_call
    waiting_for_total: who_leaves_before_a_total_has_come
    waiting_for_connection: who_leaves_before_a_connection_is_up
    waiting_for_retry_after_rejection: who_leaves_before_a_further_attempt
    waiting_for_retry_after_failure: who_leaves_before_a_further_attempt_after_a_failure
    waiting_for_hedge: who_leaves_before_a_second_copy
    waiting_for_buffered_body: who_leaves_with_its_body_under_way
    waiting_for_unrequested_body: who_leaves_before_its_body_is_asked_for
    waiting_at_backend_in_shutdown: who_leaves_at_a_backend_in_shutdown
    waiting_for_connection_in_shutdown: who_leaves_before_a_connection_is_up_in_shutdown
    waiting_for_total_in_shutdown: who_leaves_before_a_total_has_come_in_shutdown
}

/// Guards against a missed disconnect behind more bytes than the socket buffers hold. The end reaches the gateway's
/// machine only as the gateway reads, so it can't coincide with another event while the process is stopped.
#[test]
fn who_leaves_behind_more_than_the_sockets_hold() {
    for (name, place) in [
        ("waiting_at_backend", waiting_at_backend as fn() -> PendingRequest),
        ("waiting_for_total", waiting_for_total),
    ] {
        for max_bytes in [8 << 20, 64 << 20] {
            assert_cancelled_in_time(name, Disconnect::CloseAfterFilling(max_bytes), place);
        }
    }
}

/// Guards against taking a client for disconnected because it has sent a second request behind the pending one.
#[test]
fn who_stays_is_served() {
    let (backend, unblock) = blocking_server(|_| ok("late"));
    let fixture = start_fixture(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = fixture.gateway.client();
    client.send(&format!(
        "{}{}",
        request("consulta", 7, CLIENT_WAIT_MS),
        request("consulta", 8, CLIENT_WAIT_MS)
    ));
    backend.next_request();
    std::thread::sleep(Duration::from_millis(250));
    drop(unblock);
    for _ in 0..2 {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
}

/// Guards against requests lost when a client pipelines many of them: all are answered, in order.
#[test]
fn who_sends_two_hundred_requests_at_once_is_served() {
    let (backend, unblock) =
        blocking_server(|request| ok(request.header("x-correlation-id").expect("an id")));
    let fixture = start_fixture(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = fixture.gateway.client();
    let (ids, texts): (Vec<_>, Vec<_>) = (0..200)
        .map(|n| request_with_id(if n % 2 == 0 { "consulta" } else { "orden-nueva" }))
        .enumerate()
        .map(|(n, (correlation_id, text))| {
            (correlation_id, text.replace(&format!("{:016x}", 7), &format!("{:016x}", 100 + n)))
        })
        .unzip();
    client.send(&texts.concat());
    backend.next_request();
    std::thread::sleep(Duration::from_millis(50));
    drop(unblock);
    for id in ids {
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, id.into_bytes()));
    }
}

/// Guards against a lost answer when a client sends more behind its request than the gateway reads ahead. The request
/// is answered, and the answer says that it is the last on its connection.
#[test]
fn who_stays_with_too_much_behind_its_request_gets_its_answer() {
    let (backend, unblock) = blocking_server(|_| ok("late"));
    let fixture = start_fixture(vec![entry("s-0", backend.address, "SERVING")], fake_counter(), &[]);
    let mut client = fixture.gateway.client();
    client.send(&request("consulta", 7, CLIENT_WAIT_MS));
    backend.next_request();
    client.send(&request("consulta", 8, CLIENT_WAIT_MS).repeat(4_000));
    std::thread::sleep(Duration::from_millis(50));
    drop(unblock);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.at_eof());
    assert_eq!(backend.requests.try_iter().count(), 0);
}

/// Guards against running a request with an effect a second time where its id comes again after its client has left. It is
/// answered as failed: a refusal would say that it has not run.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_sent_on() {
    for class in ["orden-nueva", "modificar"] {
        let backend = FakeServer::start(|_| Reaction::Silence);
        let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
        let text = request(class, 7, 1_000);
        let mut client = fixture.gateway.client();
        client.send(&text);
        backend.next_request();
        client.disconnect(Disconnect::Close);
        backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
        let again = fixture.gateway.client().ask(&text);
        assert_eq!(again.status(), 409, "{class}: {}", fixture.gateway.log());
        assert_eq!(backend.requests.try_iter().count(), 0, "{class}: it was sent on once more");
    }
}
