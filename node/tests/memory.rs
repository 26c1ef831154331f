//! The memory of a process with the least memory and the most descriptors that a gateway gets, filled with hundreds of
//! clients that hold as much as they can.

mod common;

use common::*;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// Hundreds of clients: nearly all that the descriptors are for.
const CLIENTS: usize = 480;
/// How often the clients come anew.
const WAVES: usize = 2;
/// How long a wave of clients stays: longer than any request may take to be received.
const WAVE_TIME: Duration = Duration::from_secs(3);
const LONG_ANSWER_BYTES: usize = 4 << 20;

/// What the clients send.
type Behaviour = fn(usize) -> Vec<u8>;

/// The head of a request with a long body and with this many further fields, each with a value of this length.
fn long_request_head(fields: usize, value_bytes: usize) -> String {
    let value = "v".repeat(value_bytes);
    let fields: String = (0..fields).map(|n| format!("a{n}:{value}\r\n")).collect();
    upload_head("orden-nueva", 4_000, Some(1_000_000)).replace("\r\n\r\n", &format!("\r\n{fields}\r\n"))
}

/// A long request of which this many bytes of the body are sent.
fn stopped_body(head: String, bytes: usize) -> Vec<u8> {
    [head.into_bytes(), vec![b'x'; bytes]].concat()
}

/// A customer that no request has named before.
fn new_customer() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1_000);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

const BEHAVIOURS: [(&str, Behaviour); 7] = [
    ("stop half way through a large request", |n| {
        let sent = [2_150, 8_150, 32_156, 65_687, 130_200, 261_277, 500_000];
        stopped_body(long_request_head(0, 0), sent[n % sent.len()])
    }),
    ("stop behind a head of many short fields", |_| stopped_body(long_request_head(85, 1), 500)),
    ("stop behind a head of many fields", |_| stopped_body(long_request_head(85, 150), 8_000)),
    ("stop in a head", |_| {
        let head = long_request_head(85, 170);
        head.trim_end().as_bytes().to_vec()
    }),
    ("send many requests at once and read nothing", |_| {
        (0..50).map(|n| request("consulta", n, 2_000)).collect::<String>().into_bytes()
    }),
    ("send many requests of ever new customers", |_| {
        (0..100).map(|_| request("consulta", new_customer(), 2_000)).collect::<String>().into_bytes()
    }),
    ("read nothing of a long answer", |n| request("modificar", n as u64 % 50, 2_000).into_bytes()),
];

/// Connects a client with a small receive buffer, which sends as much of `bytes` as its socket takes.
fn start_client(gateway: &Gateway, bytes: &[u8]) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("an option");
    socket.connect(&gateway.address.into()).expect("the gateway listens");
    let mut stream = TcpStream::from(socket);
    stream.set_nonblocking(true).expect("an option");
    let (mut sent, began) = (0, Instant::now());
    while sent < bytes.len() && began.elapsed() < Duration::from_millis(2) {
        match stream.write(&bytes[sent..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
            Err(_) => break,
        }
    }
    stream
}

/// The limits of the gateway, on a platform that holds its listening socket, or without one.
fn options(platform: Option<Platform>) -> GatewayOptions {
    GatewayOptions { memory_mb: MEMORY_MB, sockets: SOCKETS, platform, ..GatewayOptions::default() }
}

/// Starts a gateway with these entries of discovery's list.
fn fixture_with(entries: Vec<String>) -> Fixture {
    Fixture::new(&options(None), entries, fake_counter())
}

/// Starts a backend that sends a long answer to requests of the class `modificar`.
fn backend() -> FakeServer {
    let long_answer = answer("200 OK", "", &"z".repeat(LONG_ANSWER_BYTES));
    FakeServer::start(move |request| match request.path().contains("modificar") {
        true => Reaction::Answer(long_answer.clone()),
        false => ok("x"),
    })
}

/// Starts a gateway, and its backend.
fn fixture() -> (Fixture, FakeServer) {
    let backend = backend();
    (fixture_with(serving_entries(&[&backend])), backend)
}

/// Starts a wave of clients, whose behaviours take turns.
fn start_mixed_wave(gateway: &Gateway) -> Vec<TcpStream> {
    (0..CLIENTS).map(|n| start_client(gateway, &BEHAVIOURS[n % BEHAVIOURS.len()].1(n))).collect()
}

/// Listens on a free port, and leaves the connections that the kernel accepts alone.
fn hanging_backend() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let address: SocketAddr = format!("{}:0", unique_loopback_ip()).parse().expect("an address");
    socket.set_recv_buffer_size(4_096).expect("an option");
    socket.bind(&address.into()).expect("a free port");
    socket.listen(CLIENTS as i32).expect("a listener");
    socket.into()
}

/// Guards against a process that is killed because clients make it hold more than its memory: slow or stopped ones, or
/// such that read nothing. A proper request is served all the while.
#[test]
fn hundreds_of_clients_fit_the_least_memory() {
    let _exclusive = exclusive_test_lock();
    for (name, behaviour) in BEHAVIOURS {
        let (fixture, _backend) = fixture();
        let gateway = &fixture.gateway;
        let mut peaks = Vec::new();
        for _ in 0..WAVES {
            let _clients: Vec<_> = (0..CLIENTS).map(|n| start_client(gateway, &behaviour(n))).collect();
            std::thread::sleep(WAVE_TIME);
            peaks.push(gateway.peak_memory_mb());
        }
        let answer = gateway.client().ask(&request("consulta", 1, 2_000));
        assert_eq!(answer.status(), 200, "{name}");
        println!("{name}: {peaks:?} MB");
        assert!(peaks.iter().all(|peak| *peak < u64::from(MEMORY_MB)), "clients that {name}: {peaks:?} MB");
    }
}

/// The same with all behaviours at once.
#[test]
fn clients_of_all_kinds_fit_the_least_memory() {
    let _exclusive = exclusive_test_lock();
    let (fixture, _backend) = fixture();
    for _ in 0..WAVES {
        let _clients = start_mixed_wave(&fixture.gateway);
        std::thread::sleep(WAVE_TIME);
        let peak = fixture.gateway.peak_memory_mb();
        assert!(peak < u64::from(MEMORY_MB), "{peak} MB");
    }
}

/// How long the old process of an upgrade is filled, and how long a wave stays while both processes run.
const UPGRADE_WAVE_TIME: Duration = Duration::from_millis(800);
/// The number of waves while both processes run.
const UPGRADE_WAVES: usize = 4;

/// Guards against an upgrade in which both processes are killed, since each keeps to the limit alone and both together
/// hold more: the old one does not give back what it held, and the new one takes its share besides.
#[test]
fn two_processes_of_an_upgrade_fit_the_least_memory() {
    let _exclusive = exclusive_test_lock();
    let (backend, counter) = (backend(), fake_counter());
    let discovery = FakeDiscovery::start(serving_entries(&[&backend]));
    let options = options(Some(Platform::new()));
    let old = Gateway::start(&options, discovery.server.address, counter.address);
    let first_wave = start_mixed_wave(&old);
    std::thread::sleep(UPGRADE_WAVE_TIME);
    let new = Gateway::launch(&options, discovery.server.address, counter.address);
    let mut peak_kb = 0;
    std::thread::scope(|scope| {
        let waves = scope.spawn(|| {
            new.wait_until_serving();
            drop(first_wave);
            old.terminate();
            for _ in 0..UPGRADE_WAVES {
                let _clients = start_mixed_wave(&new);
                std::thread::sleep(UPGRADE_WAVE_TIME);
            }
        });
        while !waves.is_finished() {
            peak_kb = peak_kb.max(old.resident_kb() + new.resident_kb());
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let peak_mb = peak_kb / 1024;
    println!("{peak_mb} MB");
    assert!(peak_mb < u64::from(MEMORY_MB), "{peak_mb} MB");
}

/// How many clients send a body slowly: more requests than the memory holds.
const SLOW_CLIENTS: usize = 300;
/// The length of the body, and how many bytes of it are sent at a time.
const SLOW_BODY_BYTES: usize = 10_000;
const SLOW_PIECE: [u8; 64] = [b'x'; 64];
/// The pause between two pieces.
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// The number of pieces that slow clients send, with one request asked behind each. They are cut off after 2.4 s.
const SLOW_PIECES: u64 = 15;

/// Guards against refusing requests that have arrived whole since those whose clients take their time hold all of the
/// memory for requests.
#[test]
fn requests_are_served_beside_slow_uploads() {
    let _exclusive = exclusive_test_lock();
    let (fixture, _backend) = fixture();
    let head = upload_head("orden-nueva", 4_000, Some(SLOW_BODY_BYTES));
    let mut uploads: Vec<_> =
        (0..SLOW_CLIENTS).map(|_| start_client(&fixture.gateway, head.as_bytes())).collect();
    let mut statuses = Vec::new();
    for customer in 0..SLOW_PIECES {
        // The gateway closes those that it refuses.
        uploads.retain_mut(|upload| upload.write(&SLOW_PIECE).is_ok());
        std::thread::sleep(SLOW_PAUSE);
        statuses.push(fixture.gateway.client().ask(&request("consulta", customer, 2_000)).status());
    }
    println!("{} slow uploads stay", uploads.len());
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against the same as the first test where the backends of large requests take nothing of them.
#[test]
fn large_requests_at_hanging_backends_fit_the_least_memory() {
    let _exclusive = exclusive_test_lock();
    let backends = [hanging_backend(), hanging_backend(), hanging_backend(), hanging_backend()];
    let entries = backends
        .iter()
        .enumerate()
        .map(|(n, backend)| entry(&format!("s-{n}"), backend.local_addr().expect("an address"), "SERVING"));
    let fixture = fixture_with(entries.collect());
    for _ in 0..WAVES {
        let request = stopped_body(upload_head("orden-nueva", 4_000, Some(300_000)), 300_000);
        let _clients: Vec<_> = (0..CLIENTS).map(|_| start_client(&fixture.gateway, &request)).collect();
        std::thread::sleep(WAVE_TIME);
        let peak = fixture.gateway.peak_memory_mb();
        assert!(peak < u64::from(MEMORY_MB), "{peak} MB");
    }
}
