//! Sockets that know what goes through them and when the other side has ended.

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

const LONG: Duration = Duration::from_secs(20);

fn post(body: Vec<u8>) -> Request<RequestBody> {
    let request = Request::post("/orden-nueva/0000000000000007?a=b").header("host", "backend.local");
    let request = request.header("X-Correlation-Id", "9b1f").header("content-length", body.len().to_string());
    request.body(Either::Left(Full::new(Bytes::from(body)))).expect("a request")
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

async fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (link, peer) = tokio::join!(Link::connect(address), listener.accept());
    (link.expect("a connection"), peer.expect("a connection").0)
}

/// Guards against a request that was written to its last byte being taken for one that was not: its
/// length must be what the library really writes.
#[test]
fn the_length_is_what_is_written_and_a_break_after_it_may_have_run() {
    run(async {
        let (mut link, mut peer) = pair().await;
        let length = head_length(&post(b"{42}".to_vec())) + 4;
        let reads = async {
            let mut got = Vec::new();
            while !got.ends_with(b"{42}") {
                assert!(peer.read_buf(&mut got).await.expect("bytes") > 0);
            }
            drop(peer);
            got.len() as u64
        };
        let (answer, got) = tokio::join!(link.send(post(b"{42}".to_vec()), || Some(length)), reads);
        assert_eq!((got, link.written()), (length, length));
        assert!(matches!(answer, Err(SendError { fully_written: true })));
    });
}

/// Guards against a failure where a retry is safe: a request that broke off before its last byte was
/// written has never run.
#[test]
fn a_break_before_the_last_byte_never_ran() {
    run(async {
        let (mut link, mut peer) = pair().await;
        // More than the sockets' buffers hold.
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

/// A client's side, and the meter of ours.
async fn client() -> (std::net::TcpStream, std::rc::Rc<Meter>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let there = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (there.expect("a connection"), Meter::new(listener.accept().await.expect("a connection").0))
}

/// Guards against a client that is taken to be there because the runtime has not been told of its end yet.
#[test]
fn an_end_is_known_before_the_runtime_is_told() {
    run(async {
        for reset in [false, true] {
            let (there, meter) = client().await;
            assert!(!meter.peer_closed());
            if reset {
                SockRef::from(&there).set_linger(Some(Duration::ZERO)).expect("an option");
            }
            drop(there);
            assert!(meter.peer_closed(), "reset: {reset}");
        }
    });
}

/// Guards against an end that nobody is told of because of what stands unread before it.
#[test]
fn an_end_is_told_whatever_stands_unread_before_it() {
    run(async {
        for bytes in [0, 20, 20_000] {
            let (mut there, meter) = client().await;
            there.write_all(&vec![b'x'; bytes]).expect("room");
            assert!(timeout(Duration::from_millis(20), meter.wait_peer_closed()).await.is_err());
            assert!(!meter.peer_closed());
            drop(there);
            timeout(LONG, meter.wait_peer_closed()).await.expect("the end is told");
            assert!(meter.peer_closed(), "{bytes} bytes before it");
        }
    });
}
