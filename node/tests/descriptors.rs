//! Idle clients that fill the descriptors, on loopback sockets. Each test guards against one way to go wrong.

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The smallest limit that the terms promise, and the places for clients that come of it.
const LIMIT: u32 = 256;
const PLACES: usize = 102;
/// What a pushed list may take to be followed: the settings' grace, and the protocol page's slack.
const GRACE: Duration = Duration::from_millis(550);
const HALF_HEAD: &str = "GET /consulta/0000000000000007 HTTP/1.1\r\nhost: backend.lo";

/// The status that comes back; `None` where the connection ends first.
fn ask(on: &mut BufReader<TcpStream>, text: &str) -> Option<u16> {
    on.get_mut().write_all(text.as_bytes()).ok()?;
    read_message(on, 0).map(|a| a.status())
}

fn ask_new(to: SocketAddr, class: &str) -> Option<u16> {
    ask(&mut connect(to), &request(class, 7, 1100))
}

/// A client that keeps its connection: where that has ended between requests, it asks on a new one.
struct Regular(SocketAddr, Option<BufReader<TcpStream>>);

impl Regular {
    fn ask(&mut self, class: &str) -> Option<u16> {
        let text = request(class, 9, 1100);
        let kept = self.1.as_mut().and_then(|on| ask(on, &text));
        kept.or_else(|| ask(self.1.insert(connect(self.0)), &text))
    }
}

/// Clients that come without end and stay: a third say nothing, a third send half a head, a third rest after an
/// answered request. Of those that asked, it tells how many did and what came back instead of a 200.
struct Crowd {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<(usize, Vec<Option<u16>>)>,
}

/// Connections that a crowd keeps open at its end.
const CROWD: usize = 300;

impl Crowd {
    fn start(at: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let (mut held, until) = (VecDeque::new(), Instant::now() + 2 * TEST_TIMEOUT);
            let (mut asked, mut unserved) = (0, Vec::new());
            for n in 0.. {
                if stopped.load(Ordering::SeqCst) || Instant::now() > until {
                    break;
                }
                let mut client = connect(at);
                match n % 3 {
                    0 => {}
                    // The gateway may have shut it unread.
                    1 => drop(client.get_mut().write_all(HALF_HEAD.as_bytes())),
                    _ => {
                        asked += 1;
                        let status = ask(&mut client, &request("consulta", 8, 1100));
                        unserved.extend((status != Some(200)).then_some(status));
                    }
                }
                held.push_back(client);
                if held.len() > CROWD {
                    held.pop_front();
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            (asked, unserved)
        });
        Crowd { stop, thread }
    }

    fn end(self) -> (usize, Vec<Option<u16>>) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("the crowd")
    }
}

/// How discovery is away.
#[derive(Debug, Clone, Copy)]
enum Away {
    Refused,
    Silent,
    NotComingUp,
}

/// Discovery that is away, until it is back with a list of its own.
struct Absent {
    address: SocketAddr,
    back: Box<dyn FnOnce(Vec<String>) -> FakeServer>,
}

/// Discovery's answers with one list that does not change.
fn listing(entries: Vec<String>) -> impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static {
    move |seen| match seen.path().contains("index=7&") {
        false => ok(&list(7, true, &entries)),
        true => {
            std::thread::sleep(Duration::from_millis(200));
            ok(&list(7, false, &[]))
        }
    }
}

impl Absent {
    fn start(away: Away) -> Self {
        match away {
            Away::Refused => {
                let address = unused_address();
                let listen = move || TcpListener::bind(address).expect("a free port");
                Absent { address, back: Box::new(move |e| FakeServer::with_listener(listen(), listing(e))) }
            }
            Away::NotComingUp => {
                let mute = FullBacklogListener::start();
                Absent { address: mute.address, back: Box::new(move |e| mute.start_accepting(listing(e))) }
            }
            Away::Silent => {
                let entries: Arc<Mutex<Option<Vec<String>>>> = Arc::default();
                let held = entries.clone();
                let fake = FakeServer::start(move |seen| match held.lock().expect("unpoisoned").clone() {
                    Some(entries) => listing(entries)(seen),
                    None => Reaction::Silence,
                });
                let address = fake.address;
                let back = move |e| {
                    *entries.lock().expect("unpoisoned") = Some(e);
                    fake
                };
                Absent { address, back: Box::new(back) }
            }
        }
    }
}

/// Waits until the crowd holds all that the gateway lets it hold.
fn filled(gateway: &Gateway) {
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.open_descriptors() < PLACES + 10 {
        assert!(Instant::now() < until, "{} descriptors held: {}", gateway.open_descriptors(), gateway.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The whole term, with discovery away in this way: the process's own limit is 256, whatever the file allows.
fn idle_clients_fill_the_descriptors(away: Away, sockets: u32) {
    let _alone = exclusive_test_lock();
    // For one class, each request needs a connection of its own.
    let backend = |body: &'static str| {
        FakeServer::start(move |seen| {
            // As many as there are, and at this pace, they are far from busy.
            std::thread::sleep(Duration::from_millis(5));
            match seen.path().starts_with("/modificar") {
                true => Reaction::AnswerAndClose(answer("200 OK", "connection: close\r\n", body)),
                false => ok(body),
            }
        })
    };
    let (leave, stay) = ([(); 4].map(|()| backend("a")), [(); 4].map(|()| backend("b")));
    let named = |name: &'static str, backends: &[FakeServer], status: &'static str| -> Vec<_> {
        let each = backends.iter().enumerate();
        each.map(|(i, b)| entry(&format!("{name}-{i}"), b.address, status)).collect()
    };
    let made = || leave.iter().map(|b| b.connection_count.load(Ordering::SeqCst)).sum::<usize>();
    let discovery = FakeDiscovery::start(named("a", &leave, "SERVING"));
    let (counter, next_counter) = (fake_counter(), common::fake_counter());
    let start = GatewayOptions { sockets, descriptor_limit: Some(LIMIT), ..GatewayOptions::default() };
    let gateway = Gateway::start(&start, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let crowd = Crowd::start(gateway.address);
    filled(&gateway);

    // A new configuration is read and followed.
    let absent = Absent::start(away);
    gateway.reload(absent.address, next_counter.address);
    let (mut regular, mut most, began) = (Regular(gateway.address, None), 0, Instant::now());
    let (before, mut asked) = (made(), 0);
    while began.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(
            ask_new(gateway.address, "modificar"),
            Some(200),
            "{} {}",
            gateway.log(),
            gateway.metrics()
        );
        assert_eq!(regular.ask("modificar"), Some(200), "{} {}", gateway.log(), gateway.metrics());
        asked += 2;
        let called = Instant::now();
        assert_eq!(gateway.ops_request("GET /ready").status(), 200);
        assert!(called.elapsed() < Duration::from_secs(1), "an ops call took {:?}", called.elapsed());
        most = most.max(gateway.open_descriptors());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(gateway.log().contains("reloaded: "), "{} {}", gateway.log(), gateway.metrics());
    next_counter.next_request();
    let made = made() - before;
    assert!(made >= asked / 2, "{made} connections for {asked} requests");

    // Discovery returns, and the list is followed.
    let entries = [named("a", &leave, "DRAINING"), named("b", &stay, "SERVING")].concat();
    let seen =
        |backends: &[FakeServer]| -> Vec<_> { backends.iter().flat_map(|b| b.requests.try_iter()).collect() };
    seen(&leave);
    let back = Instant::now();
    let _returned = (absent.back)(entries);
    while back.elapsed() < 3 * GRACE {
        assert_eq!(
            ask_new(gateway.address, "consulta"),
            Some(200),
            "{} {}",
            gateway.log(),
            gateway.metrics()
        );
        assert_eq!(regular.ask("consulta"), Some(200), "{} {}", gateway.log(), gateway.metrics());
        most = most.max(gateway.open_descriptors());
    }
    let after = |s: HttpMessage| s.received_at.saturating_duration_since(back);
    let last = seen(&leave).into_iter().map(after).max();
    assert!(last.is_none_or(|at| at < GRACE), "sent to a backend that drains {last:?} after the return");
    let first = seen(&stay).into_iter().map(after).min();
    assert!(first.is_some_and(|at| at < GRACE), "the new backends are first used after {first:?}");

    let (asked, unserved) = crowd.end();
    assert!(unserved.is_empty(), "{} of {asked} unserved: {unserved:?}", unserved.len());
    assert!(most <= LIMIT as usize, "{most} descriptors held");
    let log = gateway.log();
    assert!(!log.contains("os error 24"), "out of descriptors: {log}");
}

#[test]
fn discovery_that_refused_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Away::Refused, LIMIT);
}

#[test]
fn discovery_that_was_silent_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Away::Silent, LIMIT);
}

#[test]
fn discovery_that_did_not_come_up_is_followed_at_its_return_though_idle_clients_fill_the_descriptors() {
    idle_clients_fill_the_descriptors(Away::NotComingUp, LIMIT);
}

/// Guards against a file that allows more than the process has: nothing is then left for discovery and operators.
#[test]
fn the_lower_of_the_files_limit_and_the_process_s_own_holds() {
    idle_clients_fill_the_descriptors(Away::Refused, 1024);
}

/// Guards against a proper client that is shut unread, though others rest or have long sent half a head: it has come
/// and is about to ask.
#[test]
fn a_client_that_is_about_to_ask_does_not_make_way_for_the_next() {
    let _alone = exclusive_test_lock();
    for rests in [true, false] {
        let backend = FakeServer::start(|_| ok("x"));
        let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
        let counter = fake_counter();
        let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
        discovery.wait_until_list_received();
        let mut held: Vec<_> = (0..PLACES).map(|_| connect(gateway.address)).collect();
        for client in &mut held {
            match rests {
                true => assert_eq!(ask(client, &request("consulta", 7, 1100)), Some(200)),
                false => client.get_mut().write_all(HALF_HEAD.as_bytes()).expect("half a head"),
            }
        }
        // Long enough for each of them to make way.
        std::thread::sleep(Duration::from_millis(350));
        let mut new: Vec<_> = (0..20).map(|_| connect(gateway.address)).collect();
        std::thread::sleep(Duration::from_millis(10));
        let answers: Vec<_> = new.iter_mut().map(|c| ask(c, &request("consulta", 7, 1100))).collect();
        assert_eq!(answers, [Some(200); 20], "others rest: {rests}; {}", gateway.log());
    }
}

/// Guards against a proper client that is shut unread because all others have only just begun: half heads that
/// come at once make way before it is given up.
#[test]
fn half_heads_that_come_at_once_cost_no_proper_client_its_answer() {
    let _alone = exclusive_test_lock();
    let backend = FakeServer::start(|_| ok("x"));
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let half = || {
        let mut client = connect(gateway.address);
        client.get_mut().write_all(HALF_HEAD.as_bytes()).expect("half a head");
        client
    };
    let halves: Vec<_> = (0..PLACES).map(|_| half()).collect();
    let answers: Vec<_> = std::thread::scope(|scope| {
        let asked: Vec<_> = (0..10).map(|_| scope.spawn(|| ask_new(gateway.address, "modificar"))).collect();
        asked.into_iter().map(|a| a.join().expect("a client")).collect()
    });
    assert_eq!(answers, [Some(200); 10], "{}", gateway.log());
    drop(halves);
}

/// Guards against one client that takes nothing of its answer, and so can't be closed by it, standing in the way of
/// all others that would make way.
#[test]
fn a_client_that_does_not_read_its_answer_keeps_no_other_from_making_way() {
    let _alone = exclusive_test_lock();
    let large = "y".repeat(64 * 1024);
    let backend =
        FakeServer::start(move |seen| if seen.path().ends_with("5") { ok(&large) } else { ok("x") });
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    let counter = fake_counter();
    let gateway = Gateway::start(&GatewayOptions::default(), discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    // So many requests does the gateway read of one that takes no answers.
    let mut first = deaf(gateway.address);
    let mut reads = 0;
    loop {
        first.write_all(request("consulta", 5, 1100).as_bytes()).expect("a request");
        if backend.requests.recv_timeout(Duration::from_millis(300)).is_err() {
            break;
        }
        reads += 1;
    }
    drop(first);
    // The next one asks no more than that: nothing stands unread, and the last answer stays with the gateway.
    let mut deaf = deaf(gateway.address);
    for _ in 0..reads {
        deaf.write_all(request("consulta", 5, 1100).as_bytes()).expect("a request");
        backend.next_request();
    }
    std::thread::sleep(Duration::from_millis(50));
    let mut resting: Vec<_> = (1..PLACES).map(|_| connect(gateway.address)).collect();
    for client in &mut resting {
        assert_eq!(ask(client, &request("consulta", 7, 1100)), Some(200));
    }
    std::thread::sleep(Duration::from_millis(50));
    let answers: Vec<_> = (0..10).map(|_| ask_new(gateway.address, "consulta")).collect();
    assert_eq!(answers, [Some(200); 10], "{}", gateway.log());
}

/// A connection that takes few bytes.
fn deaf(to: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.connect(&to.into()).expect("a connection");
    socket.into()
}

/// Guards against a limit that is silently gone over because it can't be kept: the error is one plain line.
#[test]
fn a_limit_that_is_too_low_ends_the_start_with_one_plain_line() {
    let _alone = exclusive_test_lock();
    for (sockets, descriptors) in [(64, None), (1024, Some(64))] {
        let start = GatewayOptions { sockets, descriptor_limit: descriptors, ..GatewayOptions::default() };
        let mut gateway = Gateway::launch(&start, unused_address(), unused_address());
        assert!(!gateway.wait_for_exit().success());
        let log = gateway.log();
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains("descriptors"), "{log}");
    }
}
