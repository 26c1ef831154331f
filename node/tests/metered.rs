//! Metered sockets: the number of bytes written, and whether the peer has closed.

use badgerglade::body::upload::RequestBody;
use badgerglade::link::{head_length, Link, SendError};
use badgerglade::meter::Meter;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::Request;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::timeout;

/// The time limit for an expected event, long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a POST request with this body.
fn post(body: Vec<u8>) -> Request<RequestBody> {
    let request = Request::post("/orden-nueva/0000000000000007?a=b").header("host", "backend.local");
    let request = request.header("X-Correlation-Id", "9b1f").header("content-length", body.len().to_string());
    request.body(Either::Left(Full::new(Bytes::from(body)))).expect("a request")
}

/// Runs a test on a current-thread runtime.
fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

/// Returns a link and the peer's end of its connection.
async fn connected_pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (link, peer) = tokio::join!(Link::connect(address), listener.accept());
    (link.expect("a connection"), peer.expect("a connection").0)
}

/// Guards against taking a request that was written completely for an incomplete one, which would allow an unsafe
/// retry: the computed length must be what the HTTP library really writes.
#[test]
fn the_length_is_what_is_written_and_a_break_after_it_may_have_run() {
    run(async {
        let (mut link, mut peer) = connected_pair().await;
        let length = head_length(&post(b"{42}".to_vec())) + 4;
        let reads = async {
            let mut received = Vec::new();
            while !received.ends_with(b"{42}") {
                assert!(peer.read_buf(&mut received).await.expect("bytes") > 0);
            }
            drop(peer);
            received.len() as u64
        };
        let (answer, received) = tokio::join!(link.send(post(b"{42}".to_vec()), || Some(length)), reads);
        assert_eq!((received, link.written()), (length, length));
        assert!(matches!(answer, Err(SendError { fully_written: true })));
    });
}

/// Guards against refusing a safe retry: a request whose connection broke before its last byte was written has never
/// run.
#[test]
fn a_break_before_the_last_byte_never_ran() {
    run(async {
        let (mut link, mut peer) = connected_pair().await;
        // More than the socket buffers hold.
        let request = post(vec![b'x'; 64 << 20]);
        let length = head_length(&request) + (64 << 20);
        let breaks = async {
            peer.read_u8().await.expect("a byte");
            drop(peer);
        };
        let (answer, ()) = tokio::join!(link.send(request, || Some(length)), breaks);
        assert!(link.written() > 0 && link.written() < length);
        assert!(matches!(answer, Err(SendError { fully_written: false })));
    });
}

/// Returns the client's end of a connection, and the meter of the gateway's end.
async fn client() -> (std::net::TcpStream, std::rc::Rc<Meter>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client_end = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (client_end.expect("a connection"), Meter::new(listener.accept().await.expect("a connection").0))
}

/// Guards against taking a client for connected because the runtime has not reported its close yet.
#[test]
fn an_end_is_known_before_the_runtime_is_told() {
    run(async {
        for reset in [false, true] {
            let (client_end, meter) = client().await;
            assert!(!meter.peer_closed());
            if reset {
                SockRef::from(&client_end).set_linger(Some(Duration::ZERO)).expect("an option");
            }
            drop(client_end);
            assert!(meter.peer_closed(), "reset: {reset}");
        }
    });
}

/// Guards against a close that is not noticed because unread bytes precede it.
#[test]
fn an_end_is_told_whatever_stands_unread_before_it() {
    run(async {
        for bytes in [0, 20, 20_000] {
            let (mut client_end, meter) = client().await;
            client_end.write_all(&vec![b'x'; bytes]).expect("room");
            assert!(timeout(Duration::from_millis(20), meter.wait_peer_closed()).await.is_err());
            assert!(!meter.peer_closed());
            drop(client_end);
            timeout(TEST_TIMEOUT, meter.wait_peer_closed()).await.expect("the close is noticed");
            assert!(meter.peer_closed(), "{bytes} bytes before it");
        }
    });
}
