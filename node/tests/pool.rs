//! The pool of connections to backends and the parsing of backends' headers, tested without a gateway process.

mod common;

use badgerglade::backend::load_report::{parse_billed_units, parse_load_report};
use badgerglade::backend::pool::shortened_idle_timeout;
use badgerglade::backend::{AttemptLimits, ClientClosed, CompletedAttempt, Message, Payload, Pool};
use badgerglade::body::download::Deadline;
use badgerglade::config::{ConnectionLimits, Setup};
use badgerglade::memory::budget::Budget;
use badgerglade::memory::{MemoryLimits, IDLE_BACKEND_CONNECTION_BYTES};
use badgerglade::meter::Meter;
use caperwind::{BackendId, LoadField, Outcome};
use common::*;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::{timeout, Instant};

/// The id of the pool's only backend.
const ID: BackendId = BackendId { address: [127, 0, 0, 1], port: 1 };
/// The memory of the pool's process.
const MEMORY_BYTES: usize = 8 << 20;
/// The time limit for operations that must not wait.
const NO_WAIT_LIMIT: Duration = Duration::from_millis(60);

/// Runs a test on a current-thread runtime.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

/// Returns a pool with one backend and at most this many connections.
fn pool(backend: SocketAddr, max_connections: usize) -> Rc<Pool> {
    let limits = ConnectionLimits { clients: 8, backends: max_connections, counter: 1 };
    let decision_config =
        caperwind_benchlink::parse_settings(settings(0, 10.0, 10.0).as_bytes()).expect("settings");
    let pool = Pool::new(&Setup {
        name: String::new(),
        listen: backend,
        discovery: backend,
        counter: None,
        ops: None,
        seed: 0,
        initial_list: None,
        decision_config,
        max_descriptors: 256,
        solo_limits: limits,
        paired_limits: limits,
        inherited_listener_fd: None,
        handover_socket: None,
        max_operator_connections: 1,
        memory_bytes: MEMORY_BYTES,
        memory: MemoryLimits::divide(MEMORY_BYTES),
        backend_idle_timeout: TEST_TIMEOUT,
    });
    pool.update_backend(ID, backend, true, false);
    pool
}

/// Returns the client's end of a connection, and a message received on it.
async fn client() -> (std::net::TcpStream, Message) {
    let listener = TcpListener::bind((unique_loopback_ip(), 0)).await.expect("a free port");
    let client_end =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (gateway_end, _): (TcpStream, _) = listener.accept().await.expect("a connection");
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
        client: Meter::new(gateway_end),
        answered: Cell::new(false),
    };
    (client_end, message)
}

/// Returns limits with this deadline and no limit for the attempt's beginning.
fn limits(deadline: Instant) -> AttemptLimits {
    AttemptLimits { deadline: Deadline::new(deadline), begin_by: None }
}

/// Makes an attempt at the pool's backend, with a distant deadline.
async fn attempt(pool: &Rc<Pool>, message: &Message) -> Result<CompletedAttempt, ClientClosed> {
    pool.attempt(ID, message, &limits(Instant::now() + TEST_TIMEOUT)).await
}

/// Guards against refusing a request because its backend leaves the list after it has been chosen and before the attempt
/// begins: the outcome has to tell that another backend may take the request.
#[test]
fn an_attempt_at_a_backend_that_has_left_the_list_may_go_elsewhere() {
    run(async {
        let backend = FakeServer::start(|_| ok("x"));
        let pool = pool(backend.address, 8);
        let (_client, message) = client().await;
        pool.remove_backend(ID);
        assert!(attempt(&pool, &message).await.is_ok_and(|completed| completed.outcome == Outcome::Full));
        assert_eq!(backend.requests.try_iter().count(), 0);
    });
}

/// Guards against an attempt for a client that has just closed its connection, before the runtime has reported the
/// close. Nothing is sent over an idle connection, and no new connection is opened.
#[test]
fn no_attempt_begins_for_a_client_that_has_closed() {
    run(async {
        for has_idle_connection in [false, true] {
            let backend = FakeServer::start(|_| ok("x"));
            let pool = pool(backend.address, 8);
            if has_idle_connection {
                let (_client, message) = client().await;
                assert!(attempt(&pool, &message).await.is_ok_and(|f| f.outcome == Outcome::Ok));
                backend.next_request();
                tokio::time::sleep(CONNECTION_REUSE_DELAY).await;
            }
            let (client_end, message) = client().await;
            drop(client_end);
            assert!(
                attempt(&pool, &message).await.is_err(),
                "sent, with an idle connection: {has_idle_connection}"
            );
            // The idle connection stays available for the next attempt.
            assert_eq!(pool.open_connections(), usize::from(has_idle_connection));
            let (_client, message) = client().await;
            assert!(attempt(&pool, &message).await.is_ok_and(|f| f.outcome == Outcome::Ok));
            backend.next_request();
            assert_eq!(backend.requests.try_iter().count(), 0);
            assert_eq!(backend.connection_count.load(std::sync::atomic::Ordering::SeqCst), 1);
        }
    });
}

/// Guards against sending a request over a new connection after the client has closed while the connection was being
/// established.
#[test]
fn nothing_is_sent_over_a_new_connection_for_a_client_that_has_closed() {
    run(async {
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).await.expect("a free port");
        let pool = pool(listener.local_addr().expect("an address"), 8);
        let (client_end, message) = client().await;
        let limits = limits(Instant::now() + TEST_TIMEOUT);
        let mut attempt = std::pin::pin!(pool.attempt(ID, &message, &limits));
        // Polled once: the attempt has begun, but the runtime has not reported the connection yet.
        std::future::poll_fn(|cx| std::task::Poll::Ready(attempt.as_mut().poll(cx).is_pending())).await;
        drop(client_end);
        assert!(timeout(NO_WAIT_LIMIT, attempt).await.expect("no wait").is_err());
        let (mut backend_end, _) = listener.accept().await.expect("a connection");
        let read = timeout(TEST_TIMEOUT, backend_end.read_u8()).await.expect("an end");
        assert!(read.is_err(), "something was sent");
    });
}

/// Guards against requests that wait for a free connection of the pool: such an attempt could begin after its client
/// has disconnected. If all connections are in use, the attempt ends at once.
#[test]
fn no_attempt_waits_for_room() {
    run(async {
        let backend = FakeServer::start(|_| Reaction::Silence);
        let pool = pool(backend.address, 1);
        let ((_first_client, first), (_second_client, second)) = (client().await, client().await);
        let shared_pool = pool.clone();
        let in_flight = tokio::task::spawn_local(async move { attempt(&shared_pool, &first).await.is_ok() });
        while pool.attempts_written.get() == 0 {
            tokio::task::yield_now().await;
        }
        let second_result = timeout(NO_WAIT_LIMIT, attempt(&pool, &second)).await.expect("no wait");
        assert!(second_result.is_ok_and(|f| f.outcome == Outcome::NotSent));
        // Once the first attempt is aborted, its connection is released at once.
        in_flight.abort();
        assert!(in_flight.await.is_err());
        assert_eq!(pool.open_connections(), 0);
    });
}

/// Guards against connections that nobody uses and that hold more memory than is set aside for them: after a burst, the
/// pool kept all of them, up to the limit of descriptors.
#[test]
fn no_more_connections_stay_idle_than_the_memory_allows() {
    let max_idle =
        MemoryLimits::divide(MEMORY_BYTES).idle_backend_connections / IDLE_BACKEND_CONNECTION_BYTES;
    run(async {
        let backend = FakeServer::start(|_| Reaction::Pieces(vec![(100, answer("200 OK", "", "x"))]));
        let pool = pool(backend.address, 4 * max_idle);
        let burst = (0..3 * max_idle).map(|_| {
            let pool = pool.clone();
            tokio::task::spawn_local(async move {
                let (_client, message) = client().await;
                attempt(&pool, &message).await.is_ok_and(|completed| completed.outcome == Outcome::Ok)
            })
        });
        for served in burst.collect::<Vec<_>>() {
            assert!(served.await.expect("an end"));
        }
        assert!(backend.open_connections.1.load(std::sync::atomic::Ordering::SeqCst) > max_idle);
        assert_eq!(pool.open_connections(), max_idle);
        pool.set_memory_shared(true);
        assert_eq!(pool.open_connections(), max_idle / 2);
    });
}

/// Guards against losing one unsafe request after another on connections that the backend drops, unnoticed, a tenth of
/// a second after the last answer. A connection that breaks right after its last use does not shorten the idle timeout.
#[test]
fn connections_let_go_after_a_tenth_of_a_second_are_not_kept_for_longer() {
    let announced = Duration::from_secs(9);
    assert!(shortened_idle_timeout(announced, Duration::from_millis(120)) < Duration::from_millis(100));
    assert!(shortened_idle_timeout(announced, Duration::from_millis(400)) < Duration::from_millis(400));
    assert_eq!(shortened_idle_timeout(announced, Duration::from_millis(2)), announced);
}

/// Guards against a quota that is used up or refilled by invalid billed units, which no request can cost.
#[test]
fn billed_units_that_can_not_be_read_are_not_told() {
    assert_eq!(["3", " 2.5 ", "0"].map(|t| parse_billed_units(t, 6.0)), [Some(3.0), Some(2.5), Some(0.0)]);
    let invalid = ["", "x", "-1", "nan", "inf", "6.1", "1e300", "3,4"];
    assert!(invalid.iter().all(|t| parse_billed_units(t, 6.0).is_none()));
}

/// Guards against taking unreadable figures for load: neither they nor missing ones may reach the decision module as
/// numbers.
#[test]
fn a_load_figure_that_can_not_be_read_is_not_told() {
    let fields = [LoadField::ServiceTimeMs, LoadField::ServedPerSecond, LoadField::Waiting];
    let parsed = |text| {
        let load = parse_load_report(&fields, text);
        load.values.map(|v| v.is_finite().then_some(v))[..usize::from(load.len)].to_vec()
    };
    assert_eq!(parsed("TEXT avg_ms=7.5, rps=2, waiting=0"), [Some(7.5), Some(2.0), Some(0.0)]);
    assert_eq!(parsed("TEXT avg_ms=nan, rps=-1, waiting=3"), [None, None, Some(3.0)]);
    assert_eq!(parsed("TEXT avg_ms=inf, rps=1e30, waiting=x"), []);
    assert_eq!(parsed("\u{7f}=,=,waiting"), []);
}
