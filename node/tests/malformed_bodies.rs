//! Peers that end a chunked body in a wrong way and stay connected.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// More peers than the gateway has client connections with the descriptor limit of the tests.
const PEERS: usize = 120;
/// Within this time of connecting, each peer is owed an error or a close; every time limit is 50 ms longer on sockets.
const PEER_TIME_LIMIT: Duration = Duration::from_millis(3_050);
/// Ends of a chunked body with bare line feeds, and one whose trailer section never ends.
const WRONG_ENDS: [&str; 5] =
    ["0\r\n\n", "0\r\nfield: value\n\n", "0\r\nfield: value\n\r\n", "0\n\r\n", "0\r\nfield: value\r\n"];

/// Connects a peer with this end of its body; its thread returns how long it had its connection without an answer.
fn start_peer(gateway: &Gateway, end: &str) -> std::thread::JoinHandle<Duration> {
    let began = Instant::now();
    let mut client = gateway.client();
    client.send_ignoring_errors(&(upload_head("orden-nueva", 5_000, None) + "8\r\nspace 12\r\n" + end));
    std::thread::spawn(move || {
        assert!(client.closed_or_error(), "served, or silent for {TEST_TIMEOUT:?}");
        began.elapsed()
    })
}

/// Guards against peers that hold their connections for ever, and keep proper clients out, because the gateway takes
/// their bodies for complete while the HTTP library waits for more: each is closed in time.
#[test]
fn peers_with_a_wrong_end_of_their_body_are_closed_in_time() {
    for ends in [&WRONG_ENDS[..1], &WRONG_ENDS[1..2], &WRONG_ENDS] {
        let backend = FakeServer::start(|_| ok("x"));
        let fixture = Fixture::new(&GatewayOptions::default(), serving_entries(&[&backend]), fake_counter());
        let gateway = &fixture.gateway;
        let peers: Vec<_> = ends.iter().cycle().take(PEERS).map(|end| start_peer(gateway, end)).collect();
        for peer in peers {
            let after = peer.join().expect("a peer that is closed");
            assert!(after < PEER_TIME_LIMIT, "{ends:?}: {after:?}");
        }
        let answer = gateway.client().ask(&request("consulta", 1, 2_000));
        assert_eq!(answer.status(), 200, "{}", gateway.log());
        assert_eq!(backend.requests.try_iter().count(), 1, "{ends:?}: a malformed request was sent on");
        assert_eq!(gateway.metrics()["guard_violations"]["close_over_request"], 0);
    }
}
