//! The way to the backends, without a gateway round it.

mod common;

use badgerglade::backend::load_report::{parse_billed_units, parse_load_report};
use badgerglade::backend::pool::shortened_idle_timeout;
use badgerglade::backend::{AttemptLimits, ClientClosed, CompletedAttempt, Message, Payload, Pool};
use badgerglade::body::budget::Budget;
use badgerglade::body::download::Deadline;
use badgerglade::config::{ConnectionLimits, Setup};
use badgerglade::meter::Meter;
use caperwind::{BackendId, LoadField, Outcome};
use common::*;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::{timeout, Instant};

const ID: BackendId = BackendId { address: [127, 0, 0, 1], port: 1 };
/// Nothing here waits for anybody.
const AT_ONCE: Duration = Duration::from_millis(60);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

/// A pool of one backend, with room for so many connections.
fn pool(backend: SocketAddr, most: usize) -> Rc<Pool> {
    let bounds = ConnectionLimits { clients: 8, backends: most, counter: 1 };
    let module = caperwind_benchlink::parse_settings(settings(0, 10.0, 10.0).as_bytes()).expect("settings");
    let pool = Pool::new(&Setup {
        name: String::new(),
        listen: backend,
        discovery: backend,
        counter: None,
        ops: None,
        seed: 0,
        initial_list: None,
        decision_config: module,
        max_descriptors: 256,
        solo_limits: bounds,
        paired_limits: bounds,
        inherited_listener_fd: None,
        handover_socket: None,
        max_operator_connections: 1,
        max_body_bytes: 1 << 20,
        backend_idle_timeout: TEST_TIMEOUT,
    });
    pool.update_backend(ID, backend, true, false);
    pool
}

/// A client's connection, and a message that came on it.
async fn client() -> (std::net::TcpStream, Message) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).await.expect("a free port");
    let there =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (here, _): (TcpStream, _) = listener.accept().await.expect("a connection");
    let reservation = Budget::new(1024).reserve(0).expect("room");
    let body = Payload::Whole { body: "{42}".into(), _reservation: reservation };
    let headers = [("host", "b"), ("x-correlation-id", "9b1f")];
    let headers = headers.map(|(k, v)| (k.parse().expect("a name"), v.parse().expect("a value")));
    let (method, target) = (hyper::Method::POST, "/orden-nueva/0000000000000007".parse().expect("a path"));
    let message = Message {
        method,
        target,
        headers: headers.into_iter().collect(),
        body,
        client_wait: TEST_TIMEOUT,
        client: Meter::new(here),
    };
    (there, message)
}

fn limits(deadline: Instant) -> AttemptLimits {
    AttemptLimits { deadline: Deadline::new(deadline), begin_by: None }
}

async fn attempt(pool: &Rc<Pool>, message: &Message) -> Result<CompletedAttempt, ClientClosed> {
    pool.attempt(ID, message, &limits(Instant::now() + TEST_TIMEOUT)).await
}

/// Guards against an attempt for a client that has just closed its connection, of which the runtime has not been
/// told yet: nothing is sent, neither over a connection that is at hand nor over a new one, and none is made.
#[test]
fn no_attempt_begins_for_a_client_that_has_closed() {
    run(async {
        for at_hand in [false, true] {
            let backend = FakeServer::start(|_| ok("x"));
            let pool = pool(backend.address, 8);
            if at_hand {
                let (_stays, message) = client().await;
                assert!(attempt(&pool, &message).await.is_ok_and(|f| f.outcome == Outcome::Ok));
                backend.next_request();
                tokio::time::sleep(CONNECTION_REUSE_DELAY).await;
            }
            let (goes, message) = client().await;
            drop(goes);
            assert!(attempt(&pool, &message).await.is_err(), "sent on, a connection at hand: {at_hand}");
            // The connection at hand is still there for the next one.
            assert_eq!(pool.open_connections(), usize::from(at_hand));
            let (_stays, message) = client().await;
            assert!(attempt(&pool, &message).await.is_ok_and(|f| f.outcome == Outcome::Ok));
            backend.next_request();
            assert_eq!(backend.requests.try_iter().count(), 0);
            assert_eq!(backend.connection_count.load(std::sync::atomic::Ordering::SeqCst), 1);
        }
    });
}

/// Guards against the same where the client closes while the connection comes up.
#[test]
fn nothing_is_sent_over_a_new_connection_for_a_client_that_has_closed() {
    run(async {
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).await.expect("a free port");
        let pool = pool(listener.local_addr().expect("an address"), 8);
        let (goes, message) = client().await;
        let last = limits(Instant::now() + TEST_TIMEOUT);
        let mut begun = std::pin::pin!(pool.attempt(ID, &message, &last));
        // Begun, and no further: the runtime has not been told of the connection.
        std::future::poll_fn(|cx| std::task::Poll::Ready(begun.as_mut().poll(cx).is_pending())).await;
        drop(goes);
        assert!(timeout(AT_ONCE, begun).await.expect("no wait").is_err());
        let (mut there, _) = listener.accept().await.expect("a connection");
        let read = timeout(TEST_TIMEOUT, there.read_u8()).await.expect("an end");
        assert!(read.is_err(), "something was sent");
    });
}

/// Guards against requests that wait for room in the pool: where all connections are taken, none is waited for, so
/// that none can begin later for a client that has left meanwhile.
#[test]
fn no_attempt_waits_for_room() {
    run(async {
        let backend = FakeServer::start(|_| Reaction::Silence);
        let pool = pool(backend.address, 1);
        let ((_one, first), (_other, second)) = (client().await, client().await);
        let taken = pool.clone();
        let out = tokio::task::spawn_local(async move { attempt(&taken, &first).await.is_ok() });
        while pool.attempts_written.get() == 0 {
            tokio::task::yield_now().await;
        }
        let found = timeout(AT_ONCE, attempt(&pool, &second)).await.expect("no wait");
        assert!(found.is_ok_and(|f| f.outcome == Outcome::NotSent));
        // Given up, the first one's room is free at once.
        out.abort();
        assert!(out.await.is_err());
        assert_eq!(pool.open_connections(), 0);
    });
}

/// Guards against unsafe requests lost one after another to connections that are let go, unseen, a tenth of a
/// second after their last answer; one that broke in full use tells nothing of that.
#[test]
fn connections_let_go_after_a_tenth_of_a_second_are_not_kept_for_longer() {
    let told = Duration::from_secs(9);
    assert!(shortened_idle_timeout(told, Duration::from_millis(120)) < Duration::from_millis(100));
    assert!(shortened_idle_timeout(told, Duration::from_millis(400)) < Duration::from_millis(400));
    assert_eq!(shortened_idle_timeout(told, Duration::from_millis(2)), told);
}

/// Guards against a quota emptied or filled by units that no request can take.
#[test]
fn billed_units_that_can_not_be_read_are_not_told() {
    assert_eq!(["3", " 2.5 ", "0"].map(|t| parse_billed_units(t, 6.0)), [Some(3.0), Some(2.5), Some(0.0)]);
    let odd = ["", "x", "-1", "nan", "inf", "6.1", "1e300", "3,4"];
    assert!(odd.iter().all(|t| parse_billed_units(t, 6.0).is_none()));
}

/// Guards against figures that can't be read being taken for load: neither they nor what is missing
/// may reach the module as a number.
#[test]
fn a_load_figure_that_can_not_be_read_is_not_told() {
    let fields = [LoadField::ServiceTimeMs, LoadField::ServedPerSecond, LoadField::Waiting];
    let told = |text| {
        let load = parse_load_report(&fields, text);
        load.values.map(|v| v.is_finite().then_some(v))[..usize::from(load.len)].to_vec()
    };
    assert_eq!(told("TEXT avg_ms=7.5, rps=2, waiting=0"), [Some(7.5), Some(2.0), Some(0.0)]);
    assert_eq!(told("TEXT avg_ms=nan, rps=-1, waiting=3"), [None, None, Some(3.0)]);
    assert_eq!(told("TEXT avg_ms=inf, rps=1e30, waiting=x"), []);
    assert_eq!(told("\u{7f}=,=,waiting"), []);
}
