//! Idle clients that use up the descriptors, on loopback sockets. Each test guards against one failure.

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The smallest descriptor limit that the platform guarantees to a gateway.
const DESCRIPTOR_LIMIT: u32 = 256;
/// The number of client connections that the gateway accepts with that limit.
const MAX_CLIENTS: usize = 102;
/// The time within which a pushed list must be applied: the drain grace of 500 ms in the settings, and the 50 ms that
/// the protocol allows beyond it.
const LIST_GRACE: Duration = Duration::from_millis(550);
/// The first part of a request head.
const PARTIAL_HEAD: &str = "GET /consulta/0000000000000007 HTTP/1.1\r\nhost: backend.lo";

/// Sends a request and returns the status of its answer; `None` if the connection ends first.
fn ask(stream: &mut BufReader<TcpStream>, text: &str) -> Option<u16> {
    stream.get_mut().write_all(text.as_bytes()).ok()?;
    read_message(stream, 0).map(|a| a.status())
}

/// As `ask`, with a request of this class on a new connection.
fn ask_on_new_connection(address: SocketAddr, class: &str) -> Option<u16> {
    ask(&mut connect(address), &request(class, 7, 1100))
}

/// A client that keeps its connection, and sends on a new one if that has been closed between requests.
/// The fields are the gateway's address and the connection, if there is one.
struct PersistentClient(SocketAddr, Option<BufReader<TcpStream>>);

impl PersistentClient {
    fn ask(&mut self, class: &str) -> Option<u16> {
        let text = request(class, 9, 1100);
        let status = self.1.as_mut().and_then(|stream| ask(stream, &text));
        status.or_else(|| ask(self.1.insert(connect(self.0)), &text))
    }
}

/// A flood of clients that connect without end and stay: a third are silent, a third send a partial head, and a third
/// stay idle after an answered request.
struct ClientFlood {
    stop: Arc<AtomicBool>,
    /// Returns the number of requests sent, and the statuses other than 200 (`None`: no answer).
    thread: JoinHandle<(usize, Vec<Option<u16>>)>,
}

/// The number of connections that a flood keeps open on its side.
const FLOOD_CONNECTIONS: usize = 300;

impl ClientFlood {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let (mut open, end) = (VecDeque::new(), Instant::now() + 2 * TEST_TIMEOUT);
            let (mut sent, mut unserved) = (0, Vec::new());
            for n in 0.. {
                if stopped.load(Ordering::SeqCst) || Instant::now() > end {
                    break;
                }
                let mut client = connect(address);
                match n % 3 {
                    0 => {}
                    // The gateway may have closed the connection already.
                    1 => drop(client.get_mut().write_all(PARTIAL_HEAD.as_bytes())),
                    _ => {
                        sent += 1;
                        let status = ask(&mut client, &request("consulta", 8, 1100));
                        unserved.extend((status != Some(200)).then_some(status));
                    }
                }
                open.push_back(client);
                if open.len() > FLOOD_CONNECTIONS {
                    open.pop_front();
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            (sent, unserved)
        });
        ClientFlood { stop, thread }
    }

    /// Stops the flood; returns the number of requests sent, and the statuses other than 200 (`None`: no answer).
    fn end(self) -> (usize, Vec<Option<u16>>) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("the flood ends")
    }
}

/// How discovery is unavailable.
#[derive(Debug, Clone, Copy)]
enum Outage {
    /// Connections are refused.
    Refused,
    /// Calls get no answer.
    Silent,
    /// Connections are not established.
    NotEstablished,
}

/// Discovery that is unavailable until `restore` is called with the list that it then serves.
struct UnavailableDiscovery {
    address: SocketAddr,
    restore: Box<dyn FnOnce(Vec<String>) -> FakeServer>,
}

/// Returns discovery's reactions with one list, which has index 7 and does not change.
fn serve_list(entries: Vec<String>) -> impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static {
    move |request| match request.path().contains("index=7&") {
        false => ok(&list(7, true, &entries)),
        true => {
            std::thread::sleep(Duration::from_millis(200));
            ok(&list(7, false, &[]))
        }
    }
}

impl UnavailableDiscovery {
    fn start(outage: Outage) -> Self {
        match outage {
            Outage::Refused => {
                let address = unused_address();
                let listen = move || TcpListener::bind(address).expect("a free port");
                UnavailableDiscovery {
                    address,
                    restore: Box::new(move |entries| {
                        FakeServer::with_listener(listen(), serve_list(entries))
                    }),
                }
            }
            Outage::NotEstablished => {
                let listener = FullBacklogListener::start();
                UnavailableDiscovery {
                    address: listener.address,
                    restore: Box::new(move |entries| listener.start_accepting(serve_list(entries))),
                }
            }
            Outage::Silent => {
                let restored: Arc<Mutex<Option<Vec<String>>>> = Arc::default();
                let served = restored.clone();
                let server =
                    FakeServer::start(move |request| match served.lock().expect("unpoisoned").clone() {
                        Some(entries) => serve_list(entries)(request),
                        None => Reaction::Silence,
                    });
                let address = server.address;
                let restore = move |entries| {
                    *restored.lock().expect("unpoisoned") = Some(entries);
                    server
                };
                UnavailableDiscovery { address, restore: Box::new(restore) }
            }
        }
    }
}

/// Waits until the flood has all connections that the gateway accepts.
fn wait_until_full(gateway: &Gateway) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while gateway.open_descriptors() < MAX_CLIENTS + 10 {
        assert!(
            Instant::now() < deadline,
            "{} descriptors held: {}",
            gateway.open_descriptors(),
            gateway.log()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Checks that a gateway whose descriptors are used up by idle clients serves new and persistent clients and operators,
/// follows a reload, and applies discovery's list after this outage. The process's own descriptor limit is 256;
/// `sockets` is the one in the configuration.
fn idle_clients_fill_the_descriptors(outage: Outage, sockets: u32) {
    let _lock = exclusive_test_lock();
    // Each request of the class `modificar` needs a backend connection of its own.
    let backend = |body: &'static str| {
        FakeServer::start(move |request| {
            // With this many backends at 5 ms per request, none is near its capacity.
            std::thread::sleep(Duration::from_millis(5));
            match request.path().starts_with("/modificar") {
                true => Reaction::AnswerAndClose(answer("200 OK", "connection: close\r\n", body)),
                false => ok(body),
            }
        })
    };
    let (old, new) = ([(); 4].map(|()| backend("a")), [(); 4].map(|()| backend("b")));
    let entries_of = |name: &'static str, backends: &[FakeServer], status: &'static str| -> Vec<_> {
        let numbered = backends.iter().enumerate();
        numbered.map(|(i, b)| entry(&format!("{name}-{i}"), b.address, status)).collect()
    };
    let connections_made = || old.iter().map(|b| b.connection_count.load(Ordering::SeqCst)).sum::<usize>();
    let discovery = FakeDiscovery::start(entries_of("a", &old, "SERVING"));
    let (counter, next_counter) = (fake_counter(), common::fake_counter());
    let options =
        GatewayOptions { sockets, descriptor_limit: Some(DESCRIPTOR_LIMIT), ..GatewayOptions::default() };
    let gateway = Gateway::start(&options, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let flood = ClientFlood::start(gateway.address);
    wait_until_full(&gateway);

    // A new configuration is read and applied.
    let unavailable = UnavailableDiscovery::start(outage);
    gateway.reload(unavailable.address, next_counter.address);
    let (mut persistent, mut max_descriptors, started) =
        (PersistentClient(gateway.address, None), 0, Instant::now());
    let (before, mut sent) = (connections_made(), 0);
    while started.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(
            ask_on_new_connection(gateway.address, "modificar"),
            Some(200),
            "{} {}",
            gateway.log(),
            gateway.metrics()
        );
        assert_eq!(persistent.ask("modificar"), Some(200), "{} {}", gateway.log(), gateway.metrics());
        sent += 2;
        let called_at = Instant::now();
        assert_eq!(gateway.ops_request("GET /ready").status(), 200);
        assert!(called_at.elapsed() < Duration::from_secs(1), "an ops call took {:?}", called_at.elapsed());
        max_descriptors = max_descriptors.max(gateway.open_descriptors());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(gateway.log().contains("reloaded: "), "{} {}", gateway.log(), gateway.metrics());
    next_counter.next_request();
    let made = connections_made() - before;
    assert!(made >= sent / 2, "{made} connections for {sent} requests");

    // Discovery is available again, and its list is applied.
    let entries = [entries_of("a", &old, "DRAINING"), entries_of("b", &new, "SERVING")].concat();
    let take_requests =
        |backends: &[FakeServer]| -> Vec<_> { backends.iter().flat_map(|b| b.requests.try_iter()).collect() };
    take_requests(&old);
    let restored_at = Instant::now();
    let _discovery = (unavailable.restore)(entries);
    while restored_at.elapsed() < 3 * LIST_GRACE {
        assert_eq!(
            ask_on_new_connection(gateway.address, "consulta"),
            Some(200),
            "{} {}",
            gateway.log(),
            gateway.metrics()
        );
        assert_eq!(persistent.ask("consulta"), Some(200), "{} {}", gateway.log(), gateway.metrics());
        max_descriptors = max_descriptors.max(gateway.open_descriptors());
    }
    let time_after = |r: HttpMessage| r.received_at.saturating_duration_since(restored_at);
    let last_to_old = take_requests(&old).into_iter().map(time_after).max();
    assert!(
        last_to_old.is_none_or(|at| at < LIST_GRACE),
        "sent to a backend that drains {last_to_old:?} after the return"
    );
    let first_to_new = take_requests(&new).into_iter().map(time_after).min();
    assert!(
        first_to_new.is_some_and(|at| at < LIST_GRACE),
        "the new backends are first used after {first_to_new:?}"
    );

    let (sent, unserved) = flood.end();
    assert!(unserved.is_empty(), "{} of {sent} unserved: {unserved:?}", unserved.len());
    assert!(max_descriptors <= DESCRIPTOR_LIMIT as usize, "{max_descriptors} descriptors held");
    let log = gateway.log();
    assert!(!log.contains("os error 24"), "out of descriptors: {log}");
}

#[test]
fn discovery_that_refused_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Outage::Refused, DESCRIPTOR_LIMIT);
}

#[test]
fn discovery_that_was_silent_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Outage::Silent, DESCRIPTOR_LIMIT);
}

#[test]
fn discovery_that_did_not_come_up_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Outage::NotEstablished, DESCRIPTOR_LIMIT);
}

/// Guards against a configured limit above that of the process: nothing would be left for discovery and operators.
#[test]
fn the_lower_of_the_files_limit_and_the_process_s_own_holds() {
    idle_clients_fill_the_descriptors(Outage::Refused, 1024);
}

/// Guards against closing a new client that is about to send its request while others are idle or have sent a partial
/// head long ago.
#[test]
fn a_client_that_is_about_to_ask_does_not_make_way_for_the_next() {
    let _lock = exclusive_test_lock();
    for idle in [true, false] {
        let backend = FakeServer::start(|_| ok("x"));
        let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
        let counter = fake_counter();
        let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
        discovery.wait_until_list_received();
        let mut old: Vec<_> = (0..MAX_CLIENTS).map(|_| connect(gateway.address)).collect();
        for client in &mut old {
            match idle {
                true => assert_eq!(ask(client, &request("consulta", 7, 1100)), Some(200)),
                false => client.get_mut().write_all(PARTIAL_HEAD.as_bytes()).expect("a partial head"),
            }
        }
        // After this time each of them may be closed to make room.
        std::thread::sleep(Duration::from_millis(350));
        let mut new: Vec<_> = (0..20).map(|_| connect(gateway.address)).collect();
        std::thread::sleep(Duration::from_millis(10));
        let answers: Vec<_> = new.iter_mut().map(|c| ask(c, &request("consulta", 7, 1100))).collect();
        assert_eq!(answers, [Some(200); 20], "others idle: {idle}; {}", gateway.log());
    }
}

/// Guards against closing a client before its request is read because all others have connected only just before:
/// connections with partial heads must be closed first, even if they all arrive at once.
#[test]
fn half_heads_that_come_at_once_cost_no_proper_client_its_answer() {
    let _lock = exclusive_test_lock();
    let backend = FakeServer::start(|_| ok("x"));
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let send_partial_head = || {
        let mut client = connect(gateway.address);
        client.get_mut().write_all(PARTIAL_HEAD.as_bytes()).expect("a partial head");
        client
    };
    let partial: Vec<_> = (0..MAX_CLIENTS).map(|_| send_partial_head()).collect();
    let answers: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..10).map(|_| scope.spawn(|| ask_on_new_connection(gateway.address, "modificar"))).collect();
        threads.into_iter().map(|t| t.join().expect("a client")).collect()
    });
    assert_eq!(answers, [Some(200); 10], "{}", gateway.log());
    drop(partial);
}

/// Guards against one client that reads nothing of its answer, and so can't be closed after it, keeping all others from
/// being closed to make room.
#[test]
fn a_client_that_does_not_read_its_answer_keeps_no_other_from_making_way() {
    let _lock = exclusive_test_lock();
    let large = "y".repeat(64 * 1024);
    let backend = FakeServer::start(move |r| if r.path().ends_with("5") { ok(&large) } else { ok("x") });
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    // Find out how many requests the gateway reads of a client that reads no answers.
    let mut first = connect_with_small_buffer(gateway.address);
    let mut reads = 0;
    loop {
        first.write_all(request("consulta", 5, 1100).as_bytes()).expect("a request");
        if backend.requests.recv_timeout(Duration::from_millis(300)).is_err() {
            break;
        }
        reads += 1;
    }
    drop(first);
    // The next client sends no more than that: no request is left unread, and the gateway holds the last answer.
    let mut not_reading = connect_with_small_buffer(gateway.address);
    for _ in 0..reads {
        not_reading.write_all(request("consulta", 5, 1100).as_bytes()).expect("a request");
        backend.next_request();
    }
    std::thread::sleep(Duration::from_millis(50));
    let mut idle: Vec<_> = (1..MAX_CLIENTS).map(|_| connect(gateway.address)).collect();
    for client in &mut idle {
        assert_eq!(ask(client, &request("consulta", 7, 1100)), Some(200));
    }
    std::thread::sleep(Duration::from_millis(50));
    let answers: Vec<_> = (0..10).map(|_| ask_on_new_connection(gateway.address, "consulta")).collect();
    assert_eq!(answers, [Some(200); 10], "{}", gateway.log());
}

/// Opens a connection with a small receive buffer.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.connect(&address.into()).expect("a connection");
    socket.into()
}

/// Guards against starting with a descriptor limit that can't be kept: the start fails with an error of one line.
#[test]
fn a_limit_that_is_too_low_ends_the_start_with_one_plain_line() {
    let _lock = exclusive_test_lock();
    for (sockets, descriptor_limit) in [(64, None), (1024, Some(64))] {
        let options = GatewayOptions { sockets, descriptor_limit, ..GatewayOptions::default() };
        let mut gateway = Gateway::launch(&options, unused_address(), unused_address());
        assert!(!gateway.wait_for_exit().success());
        let log = gateway.log();
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains("descriptors"), "{log}");
    }
}
