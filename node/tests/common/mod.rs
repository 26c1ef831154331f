//! Test support: starts the gateway process between fake servers (backends, discovery, counter) on free loopback
//! ports. The fake servers report what they receive over channels, so that tests wait for events and not for a time.
#![allow(dead_code)]

use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The time limit for an expected event. It is long enough for any busy machine; only a failing test waits for all
/// of it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The time after an answer from which the gateway may use the connection to the backend or the counter again.
pub const CONNECTION_REUSE_DELAY: Duration = Duration::from_millis(15);

/// A received HTTP request or answer.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// Header fields by name in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The number of the connection that it was received on, counted from 0 by the receiving server.
    pub connection: usize,
    /// When the whole message had been received.
    pub received_at: Instant,
}

impl HttpMessage {
    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

    /// Returns the value of a header field; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the target of a request: its path and query.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).expect("a path")
    }
}

/// Reads one message; returns `None` if the connection ends first.
pub fn read_message(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<HttpMessage> {
    let mut text = String::new();
    let mut next_line = |reader: &mut BufReader<TcpStream>| {
        text.clear();
        reader.read_line(&mut text).ok().filter(|n| *n > 0)?;
        Some(text.trim_end().to_owned())
    };
    let start_line = next_line(reader)?;
    let mut headers = HashMap::new();
    loop {
        let field = next_line(reader)?;
        let Some((name, value)) = field.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if headers.get("transfer-encoding").is_some_and(|c| c == "chunked") {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(&next_line(reader)?, 16).expect("a chunk's length");
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            if next_line(reader)?.is_empty() && size == 0 {
                return Some(HttpMessage {
                    start_line,
                    headers,
                    body,
                    connection,
                    received_at: Instant::now(),
                });
            }
        }
    }
    let length = headers.get("content-length").map_or(0, |l: &String| l.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { start_line, headers, body, connection, received_at: Instant::now() })
}

/// How a fake server reacts to a request.
pub enum Reaction {
    /// Sends this text.
    Answer(String),
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing, and goes on reading the connection.
    Silence,
    /// Sends this text, shuts down its sending side, and goes on reading.
    AnswerAndClose(String),
    /// Sends pieces of text, each after a delay in milliseconds since the one before, and goes on reading.
    Pieces(Vec<(u64, String)>),
    /// As `Pieces`, then shuts down its sending side.
    PiecesAndClose(Vec<(u64, String)>),
    /// As `Pieces`, then resets the connection.
    PiecesAndReset(Vec<(u64, String)>),
}

/// Formats an answer. `status` is a code and a reason; `headers` are whole lines, each with its CRLF.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// Returns a 200 answer with this body.
pub fn ok(body: &str) -> Reaction {
    Reaction::Answer(answer("200 OK", "", body))
}

/// Returns a loopback IP address that no other test uses, so that a port that is freed on it is not taken by another
/// test.
pub fn unique_loopback_ip() -> String {
    /// The number of addresses of one test process, and the number of processes that get separate addresses.
    const MAX_ADDRESSES: u32 = 4_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(n < MAX_ADDRESSES, "all loopback addresses of this process are used");
    let [_, a, b, c] = (0x0001_0000 + std::process::id() % MAX_ADDRESSES * MAX_ADDRESSES + n).to_be_bytes();
    format!("127.{a}.{b}.{c}")
}

/// Returns a lock that lets the tests of one file run one at a time. A child's descriptor table starts as large as
/// that of the test process. If other tests enlarged that beyond the limit under test, the size of the table would
/// say nothing about the child.
pub fn exclusive_test_lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens a connection whose reads time out after `TEST_TIMEOUT`.
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    BufReader::new(stream)
}

/// Starts a backend that sends customer 9 a long answer in small pieces over twenty seconds, and all others a short
/// one.
pub fn backend_slow_for_customer_nine() -> FakeServer {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n".to_owned() + &"z".repeat(100_000);
    let remaining_pieces = (0..200).map(|_| (100, "z".repeat(500)));
    let pieces: Vec<_> = [(0, head)].into_iter().chain(remaining_pieces).collect();
    FakeServer::start(move |request| match request.path().ends_with('9') {
        true => Reaction::Pieces(pieces.clone()),
        false => ok("x"),
    })
}

/// A test double of an HTTP server. It serves each connection on a thread of its own, with one function.
pub struct FakeServer {
    pub address: SocketAddr,
    /// Receives each request, before it is answered.
    pub requests: Receiver<HttpMessage>,
    /// Receives the number of each connection that the other side has closed.
    pub closed_by_peer: Receiver<usize>,
    /// The number of connections accepted so far.
    pub connection_count: Arc<AtomicUsize>,
    /// The number of open connections: now, and at most so far.
    pub open_connections: Arc<(AtomicUsize, AtomicUsize)>,
}

impl FakeServer {
    /// Starts a server on a free port that reacts to each request as `react` says.
    pub fn start(react: impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static) -> Self {
        Self::with_listener(TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port"), react)
    }

    /// As `start`, on this listener.
    pub fn with_listener(
        listener: TcpListener,
        react: impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let ((request_sender, requests), (closed_sender, closed_by_peer)) = (channel(), channel());
        let (react, connection_count) = (Arc::new(react), Arc::new(AtomicUsize::new(0)));
        let (accepted, open_connections) =
            (connection_count.clone(), Arc::<(AtomicUsize, AtomicUsize)>::default());
        let open_gauge = open_connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let connection = accepted.fetch_add(1, Ordering::SeqCst);
                let (react, request_sender, closed_sender) =
                    (react.clone(), request_sender.clone(), closed_sender.clone());
                let open_gauge = open_gauge.clone();
                open_gauge.1.fetch_max(open_gauge.0.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let closed_by_other_side =
                        serve(stream.expect("a connection"), connection, &*react, &request_sender);
                    open_gauge.0.fetch_sub(1, Ordering::SeqCst);
                    let _ = closed_by_other_side.then(|| closed_sender.send(connection));
                });
            }
        });
        FakeServer { address, requests, closed_by_peer, connection_count, open_connections }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> HttpMessage {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("the fake server receives a request")
    }
}

/// A listener whose accept queue is full: further connection attempts hang until `start_accepting`.
pub struct FullBacklogListener {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the accept queue.
    queued: Vec<TcpStream>,
}

impl FullBacklogListener {
    /// Listens on a free port and fills the accept queue.
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let bind_address: SocketAddr = format!("{}:0", unique_loopback_ip()).parse().expect("an address");
        socket.bind(&bind_address.into()).expect("a free port");
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        FullBacklogListener { address, listener, queued }
    }

    /// The number of connections that fill the accept queue. They are the first ones to be accepted.
    pub fn queued_connections(&self) -> usize {
        self.queued.len()
    }

    /// Accepts and serves connections from now on, also those that have been waiting.
    pub fn start_accepting(
        self,
        react: impl Fn(&HttpMessage) -> Reaction + Send + Sync + 'static,
    ) -> FakeServer {
        drop(self.queued);
        FakeServer::with_listener(self.listener, react)
    }
}

/// Serves a connection; returns whether the other side closed it.
fn serve(
    stream: TcpStream,
    connection: usize,
    react: &dyn Fn(&HttpMessage) -> Reaction,
    request_sender: &Sender<HttpMessage>,
) -> bool {
    let mut writer = stream.try_clone().expect("a second handle");
    writer.set_nodelay(true).expect("an option");
    let mut reader = BufReader::new(stream);
    let write_pieces = |mut writer: &TcpStream, pieces: Vec<(u64, String)>| {
        for (delay_ms, text) in pieces {
            std::thread::sleep(Duration::from_millis(delay_ms));
            let _ = writer.write_all(text.as_bytes());
        }
    };
    while let Some(request) = read_message(&mut reader, connection) {
        let _ = request_sender.send(request.clone());
        match react(&request) {
            Reaction::Answer(text) => drop(writer.write_all(text.as_bytes())),
            Reaction::Close => return false,
            Reaction::Silence => continue,
            Reaction::AnswerAndClose(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(std::net::Shutdown::Write);
            }
            Reaction::Pieces(pieces) => write_pieces(&writer, pieces),
            Reaction::PiecesAndClose(pieces) => {
                write_pieces(&writer, pieces);
                let _ = writer.shutdown(std::net::Shutdown::Write);
            }
            Reaction::PiecesAndReset(pieces) => {
                write_pieces(&writer, pieces);
                SockRef::from(&writer).set_linger(Some(Duration::ZERO)).expect("an option");
                return false;
            }
        }
    }
    true
}

/// A test double of discovery: a list that the test changes, and watches that wait for a change.
pub struct FakeDiscovery {
    pub server: FakeServer,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

#[derive(Default)]
struct DiscoveryState {
    index: u64,
    entries: Vec<String>,
    /// Whether the open watch, or else the next call, gets an invalid list.
    invalid_answer: bool,
}

/// Formats one endpoint of a discovery list, for a process that started at time 0.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    entry_since(name, address, status, 0)
}

/// Formats one endpoint of a discovery list, for a process that started `since_ms` milliseconds after the epoch.
pub fn entry_since(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

/// Formats a discovery list.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

impl FakeDiscovery {
    /// Starts discovery with this list, at index 1.
    pub fn start(entries: Vec<String>) -> Self {
        let state: Arc<(Mutex<DiscoveryState>, Condvar)> = Arc::default();
        state.0.lock().expect("unpoisoned").index = 1;
        state.0.lock().expect("unpoisoned").entries = entries;
        let shared = state.clone();
        let server = FakeServer::start(move |request| {
            let (lock, changed) = &*shared;
            let mut current = lock.lock().expect("unpoisoned");
            let path = request.path().to_owned();
            let index =
                path.split_once("index=").and_then(|(_, rest)| rest.split('&').next()?.parse::<u64>().ok());
            if let Some(index) = index {
                let wait = path.split_once("wait=").and_then(|(_, w)| w.parse().ok()).expect("a wait");
                let unchanged = |s: &mut DiscoveryState| s.index <= index && !s.invalid_answer;
                current = changed
                    .wait_timeout_while(current, Duration::from_millis(wait), unchanged)
                    .expect("unpoisoned")
                    .0;
            }
            if std::mem::take(&mut current.invalid_answer) {
                return ok("{\"index\":\"no list\"}");
            }
            let entries =
                if index.is_some_and(|i| i >= current.index) { &[][..] } else { &current.entries[..] };
            ok(&self::list(current.index, index.is_none(), entries))
        });
        FakeDiscovery { server, state }
    }

    /// Replaces the entries and increments the index; the open watch, or else the next call, gets the new list.
    pub fn set(&self, entries: Vec<String>) {
        let mut current = self.state.0.lock().expect("unpoisoned");
        current.index += 1;
        current.entries = entries;
        self.state.1.notify_all();
    }

    /// Replaces the list by one with any index. An open watch gets it only if that index is larger than its own.
    pub fn replace(&self, index: u64, entries: Vec<String>) {
        let mut current = self.state.0.lock().expect("unpoisoned");
        (current.index, current.entries) = (index, entries);
        self.state.1.notify_all();
    }

    /// Answers the open watch, or else the next call, with an invalid list.
    pub fn send_invalid_list_once(&self) {
        self.state.0.lock().expect("unpoisoned").invalid_answer = true;
        self.state.1.notify_all();
    }

    /// Waits until the gateway has sent a watch with the current list's index: it has then received and applied that
    /// list.
    pub fn wait_until_list_received(&self) {
        let index = self.state.0.lock().expect("unpoisoned").index;
        let watch_query = format!("index={index}&");
        while !self.server.next_request().path().contains(&watch_query) {}
    }
}

/// The totals of a counter service by key. Clones share them, so that several servers can keep one set.
#[derive(Clone, Default)]
pub struct CounterTotals(Arc<Mutex<HashMap<String, f64>>>);

impl CounterTotals {
    /// Adds the amount of a call; returns the new total.
    pub fn add(&self, call: &HttpMessage) -> String {
        let (key, query) = call.path().split_once('?').expect("a query");
        let delta = query.split('&').find_map(|p| p.strip_prefix("delta=")).expect("an amount");
        let mut totals = self.0.lock().expect("unpoisoned");
        let total = totals.entry(key.to_owned()).or_default();
        *total += delta.parse::<f64>().expect("a number");
        total.to_string()
    }

    /// Waits until the sum of all totals is `sum`.
    pub fn wait_for_sum(&self, sum: f64) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.sum() != sum {
            assert!(Instant::now() < deadline, "{} of {sum} units", self.sum());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the sum of all totals.
    pub fn sum(&self) -> f64 {
        self.0.lock().expect("unpoisoned").values().sum()
    }
}

/// Starts a counter service that works as specified.
pub fn fake_counter() -> FakeServer {
    let totals = CounterTotals::default();
    FakeServer::start(move |call| ok(&totals.add(call)))
}

/// Formats the settings as the first message of the simulator gives them. The plan `llano` gets this rate (units per
/// second) and burst (units).
pub fn settings(own_index: u32, rate: f64, burst: f64) -> String {
    format!(
        r#"{{"balancers":2,"me":{own_index},"zone":0,"zones":["a","b"],"kinds":["k"],"discovery":"pushed","weights":"off",
"tick_us":2000,"layers":["n"],"stage":0,"load_info":{{"names":["avg_ms","rps","waiting"],"via":"inline"}},
"classes":[
{{"name":"consulta","aim_us":800000,"deadline_us":3000000,"effect":"pure","group":"all","worth":1.0,"window_us":0}},
{{"name":"modificar","aim_us":500000,"deadline_us":1200000,"effect":"token","group":"all","worth":3.0,"window_us":1200000}},
{{"name":"orden-nueva","aim_us":1500000,"deadline_us":5000000,"effect":"side_effect","group":"all","worth":5.0,"window_us":0}}],
"tariffs":[{{"name":"llano","quota_rate":{rate},"peak_units":{burst},"price":1.0,"beyond_costs":1.0}}],
"extra":{{"shared_counter":true,"call_price":0.01,"count_limit_us":80000,"units_top":1}},
"policy_limits":{{"cancel":true,"probes":true,"second_copies":false,"retry_after":true,"max_retry_after_us":2000000,
"max_attempts":5,"connect_timeout_us":250000,"idle_close_us":30000000}},
"invariants":{{"answer_slack_us":8000,"ask_every_us":0,"drain_grace_us":500000,"cold_from":0.19,"warm_up_us":18000000,
"fall_multiple":2.0,"tip_after_us":3000000}}}}"#
    )
}

/// What a platform keeps across the processes of one gateway: the listening socket for clients and a folder.
pub struct Platform {
    listener: TcpListener,
    /// The folder that processes get as `TMPDIR`.
    pub folder: std::path::PathBuf,
}

impl Platform {
    /// Opens the socket and creates the folder.
    pub fn new() -> Self {
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).expect("a free port");
        let ip = listener.local_addr().expect("an address").ip();
        let folder = std::env::temp_dir().join(format!("gw-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener, folder }
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// How a gateway is started.
pub struct GatewayOptions {
    /// The index of the gateway in its fleet.
    pub own_index: u32,
    /// The quota rate of the plan `llano`, in units per second.
    pub rate: f64,
    /// The largest burst of the plan `llano`, in units.
    pub burst: f64,
    /// The discovery list in the configuration.
    pub known: Option<String>,
    /// The memory limit in the configuration, in MB.
    pub memory_mb: u32,
    /// The descriptor limit in the configuration.
    pub sockets: u32,
    /// The process's own descriptor limit (`ulimit -n`), if it differs from that of the tests.
    pub descriptor_limit: Option<u32>,
    /// The number of gateways whose addresses are in the configuration.
    pub peer_count: u32,
    /// The platform, if that holds the listening socket for clients.
    pub platform: Option<Platform>,
    /// The descriptor that the log is written to, if it is not a file of the test.
    pub log: Option<std::os::fd::OwnedFd>,
    /// Whether the log has a line for each request.
    pub debug_log: bool,
    /// Replacements in the text of the settings: (old, new).
    pub changes: &'static [(&'static str, &'static str)],
}

impl Default for GatewayOptions {
    fn default() -> Self {
        GatewayOptions {
            own_index: 0,
            rate: 1000.0,
            burst: 1000.0,
            known: None,
            memory_mb: 192,
            sockets: 256,
            descriptor_limit: None,
            peer_count: 0,
            platform: None,
            log: None,
            debug_log: false,
            changes: &[],
        }
    }
}

/// Replaces the placeholders of discovery's and the counter's address in a configuration.
fn with_addresses(text: &str, discovery: SocketAddr, counter: SocketAddr) -> String {
    text.replace("DISCOVERY", &discovery.to_string()).replace("COUNTER", &counter.to_string())
}

/// Returns an address where nothing listens and that no other test uses. The port is not found by binding and closing
/// a socket: a child that another test starts meanwhile inherits a copy of that socket, and the port stays taken.
pub fn unused_address() -> SocketAddr {
    format!("{}:8081", unique_loopback_ip()).parse().expect("an address")
}

/// A running gateway process.
pub struct Gateway {
    /// The address for clients.
    pub address: SocketAddr,
    /// The address for operators.
    pub ops: SocketAddr,
    child: Child,
    config: std::path::PathBuf,
    /// The configuration, with placeholders for the addresses of discovery and the counter.
    config_template: String,
    /// The number of answered health checks. Each used a connection of its own and closed it.
    answered_health_checks: AtomicU64,
}

/// The addresses where a gateway listens.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub clients: SocketAddr,
    pub ops: SocketAddr,
}

impl Gateway {
    /// Returns addresses that are not in use.
    pub fn unused_addresses() -> Addresses {
        Addresses { clients: unused_address(), ops: unused_address() }
    }

    /// Starts a gateway process, without waiting until it is ready.
    pub fn launch(options: &GatewayOptions, discovery: SocketAddr, counter: SocketAddr) -> Self {
        let mut addresses = Self::unused_addresses();
        if let Some(platform) = &options.platform {
            addresses.clients = platform.address();
        }
        Self::launch_at(options, addresses, discovery, counter)
    }

    /// As `launch`, with these addresses to listen on.
    pub fn launch_at(
        options: &GatewayOptions,
        addresses: Addresses,
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let Addresses { clients: address, ops } = addresses;
        let known = options.known.as_ref().map(|k| format!("\"known\":{k},")).unwrap_or_default();
        let config = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.json", ops.ip()));
        let mut settings = settings(options.own_index, options.rate, options.burst);
        for (old, new) in options.changes {
            assert!(settings.contains(old), "{old} is not in the settings");
            settings = settings.replace(old, new);
        }
        let peers: Vec<_> =
            (0..options.peer_count).map(|n| format!("\"127.9.{}.{}:7946\"", n / 250, n % 250)).collect();
        let peers = peers.join(",");
        let config_template = format!(
            r#"{{"name":"n{}","listen":"{address}","discovery":"DISCOVERY","seed":"8c1f30d27a5be964","peers":[{peers}],
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"COUNTER",{known}"settings":{}}}"#,
            options.own_index, options.memory_mb, options.sockets, settings
        );
        std::fs::write(&config, with_addresses(&config_template, discovery, counter))
            .expect("a place for the configuration");
        let program = env!("CARGO_BIN_EXE_badgerglade");
        let mut command = Command::new(program);
        if let Some(limit) = options.descriptor_limit {
            command = Command::new("sh");
            command.args(["-c", "ulimit -n \"$1\" && exec \"$0\"", program, &limit.to_string()]);
        }
        command.env_remove("TMPDIR");
        if let Some(platform) = &options.platform {
            // Without unsafe code, the one descriptor that a test can hand down is the standard input.
            let socket = platform.listener.try_clone().expect("a second handle");
            command.stdin(std::os::fd::OwnedFd::from(socket)).env("NODE_FD", "0");
            command.env("TMPDIR", &platform.folder);
        }
        let log = match &options.log {
            Some(log) => log.try_clone().expect("a second handle"),
            None => std::fs::File::create(config.with_extension("log")).expect("a place for the log").into(),
        };
        let child = command
            .env("NODE_CONFIG", &config)
            .env("NODE_LOG", if options.debug_log { "debug" } else { "info" })
            .env("NODE_NAME", format!("n{}", options.own_index))
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_OPS", ops.to_string())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Gateway { address, ops, child, config, config_template, answered_health_checks: AtomicU64::new(0) }
    }

    /// Rewrites the configuration file with these addresses, and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr, counter: SocketAddr) {
        self.reload_text(&with_addresses(&self.config_template, discovery, counter));
    }

    /// Replaces the configuration file by this text, and sends SIGHUP.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a place for the configuration");
        self.signal("-HUP");
    }

    /// Returns the largest resident set size of the process so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        self.memory_kb("VmHWM:").expect("a figure") / 1024
    }

    /// Returns the resident set size of the process, in KB; 0 once it has ended.
    pub fn resident_kb(&self) -> u64 {
        self.memory_kb("VmRSS:").unwrap_or_default()
    }

    /// Returns a figure of the process's status, in KB; `None` once it has ended.
    fn memory_kb(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Returns the number of descriptors that the process has open now.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("a list").count()
    }

    /// Returns the size of the process's descriptor table, a power of two that only grows. As the kernel assigns the
    /// lowest free descriptor each time, the process has never had more descriptors open at once than this.
    pub fn descriptor_slots(&self) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("a status");
        let line = text.lines().find_map(|l| l.strip_prefix("FDSize:")).expect("a figure");
        line.trim().parse().expect("a number")
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).expect("a log")
    }

    /// Waits until the log contains `text`.
    pub fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.log().contains(text) {
            assert!(Instant::now() < deadline, "the log lacks {text:?}: {}", self.log());
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start(options: &GatewayOptions, discovery: SocketAddr, counter: SocketAddr) -> Self {
        let gateway = Self::launch(options, discovery, counter);
        let deadline = Instant::now() + TEST_TIMEOUT;
        while gateway.health() != Some(200) {
            let log = || std::fs::read_to_string(gateway.config.with_extension("log"));
            assert!(Instant::now() < deadline, "the gateway does not become ready: {:?}", log());
            std::thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    /// Waits until the operators' server of this process answers `/ready` with 200.
    pub fn wait_until_serving(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let ready = || TcpStream::connect(self.ops).is_ok() && self.ops_request("GET /ready").status() == 200;
        while !ready() {
            assert!(Instant::now() < deadline, "the process does not serve");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the status of `/healthz`; `None` while nothing listens or the connection ends without an answer.
    pub fn health(&self) -> Option<u16> {
        let stream = TcpStream::connect(self.address).ok()?;
        let mut client = Client::from_stream(stream);
        client.send("GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n");
        let status = client.read_answer().map(|a| a.status());
        self.answered_health_checks.fetch_add(u64::from(status.is_some()), Ordering::Relaxed);
        status
    }

    /// Returns the number of answered health checks, including those of the start.
    pub fn answered_health_checks(&self) -> u64 {
        self.answered_health_checks.load(Ordering::Relaxed)
    }

    /// Sends one request to the operators' server; `call` is a method and a target.
    pub fn ops_request(&self, call: &str) -> HttpMessage {
        let mut client = self.ops_client();
        client.ask(&format!("{call} HTTP/1.1\r\nhost: t\r\n\r\n"))
    }

    /// Connects to the operators' server.
    pub fn ops_client(&self) -> Client {
        Client::from_stream(TcpStream::connect(self.ops).expect("the operators' server accepts"))
    }

    /// Returns the metrics that the operators' server reports.
    pub fn metrics(&self) -> serde_json::Value {
        serde_json::from_slice(&self.ops_request("GET /metrics").body).expect("metrics")
    }

    /// Connects as a client.
    pub fn client(&self) -> Client {
        Client::from_stream(TcpStream::connect(self.address).expect("the gateway accepts"))
    }

    /// Connects as a client as soon as something listens.
    pub fn client_once_listening(&self) -> Client {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.address) {
                return Client::from_stream(stream);
            }
            assert!(Instant::now() < deadline, "nothing listens: {}", self.log());
            std::thread::yield_now();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(Instant::now() < deadline, "the gateway does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("log"));
    }
}

/// Formats discovery's entries for serving backends, named `s-0`, `s-1` and so on.
pub fn serving_entries(backends: &[&FakeServer]) -> Vec<String> {
    let backends = backends.iter().enumerate();
    backends.map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING")).collect()
}

/// A serving gateway with its discovery and its counter.
pub struct Fixture {
    pub gateway: Gateway,
    pub discovery: FakeDiscovery,
    pub counter: FakeServer,
}

impl Fixture {
    /// Starts a gateway with this discovery list, and waits until it has received and applied the list.
    pub fn new(options: &GatewayOptions, entries: Vec<String>, counter: FakeServer) -> Self {
        let discovery = FakeDiscovery::start(entries);
        let gateway = Gateway::start(options, discovery.server.address, counter.address);
        discovery.wait_until_list_received();
        Fixture { gateway, discovery, counter }
    }
}

/// How a client disconnects.
#[derive(Debug, Clone, Copy)]
pub enum Disconnect {
    Close,
    Reset,
    /// Sends this many bytes beyond its request, then closes.
    CloseAfterBytes(usize),
    /// Sends this many bytes beyond its request, then resets.
    ResetAfterBytes(usize),
    /// Sends as many bytes as the socket buffers take, up to about this many, then closes.
    CloseAfterFilling(usize),
}

/// Disconnects without extra bytes, with few, which the gateway reads, and with many, which stay in the socket.
pub const DISCONNECTS: [Disconnect; 6] = [
    Disconnect::Close,
    Disconnect::Reset,
    Disconnect::CloseAfterBytes(20),
    Disconnect::CloseAfterBytes(20_000),
    Disconnect::ResetAfterBytes(20),
    Disconnect::ResetAfterBytes(20_000),
];

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Takes over a connection; its reads time out after `TEST_TIMEOUT`.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { reader: BufReader::new(stream) }
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("the gateway reads");
    }

    /// Sends this text, ignoring errors: the other side may have answered and closed.
    pub fn send_ignoring_errors(&mut self, text: &str) {
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Sends until `max_bytes` are reached or the socket takes nothing for 20 ms.
    fn fill_buffers(&mut self, max_bytes: usize) {
        let (stream, bytes) = (self.reader.get_mut(), [b'x'; 65_536]);
        stream.set_nonblocking(true).expect("an option");
        let (mut sent, mut last_sent_at) = (0, Instant::now());
        while sent < max_bytes && last_sent_at.elapsed() < Duration::from_millis(20) {
            match stream.write(&bytes) {
                Ok(n) => (sent, last_sent_at) = (sent + n, Instant::now()),
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends the connection in this way.
    pub fn disconnect(mut self, how: Disconnect) {
        if let Disconnect::CloseAfterBytes(n) | Disconnect::ResetAfterBytes(n) = how {
            self.send(&"x".repeat(n));
        }
        if let Disconnect::CloseAfterFilling(max_bytes) = how {
            self.fill_buffers(max_bytes);
        }
        if let Disconnect::Reset | Disconnect::ResetAfterBytes(_) = how {
            SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).expect("an option");
        }
    }

    /// Reads the next line and returns it without its line end.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    }

    /// Reads exactly this many bytes.
    pub fn read_bytes(&mut self, bytes: usize) -> Vec<u8> {
        let mut buffer = vec![0; bytes];
        self.reader.read_exact(&mut buffer).expect("bytes");
        buffer
    }

    /// Waits for bytes and returns those that are available; empty at the end of the stream, `None` on an error.
    pub fn read_available(&mut self) -> Option<Vec<u8>> {
        let bytes = self.reader.fill_buf().ok()?.to_vec();
        self.reader.consume(bytes.len());
        Some(bytes)
    }

    /// Waits for bytes, which remain to be read.
    pub fn wait_for_bytes(&mut self) {
        assert!(!self.reader.fill_buf().expect("bytes").is_empty(), "the connection ends");
    }

    /// Reads until the connection ends, by a close or an error.
    pub fn read_to_end(&mut self) {
        while self.read_available().is_some_and(|bytes| !bytes.is_empty()) {}
    }

    /// Reads an answer; returns `None` if the connection ends first.
    pub fn read_answer(&mut self) -> Option<HttpMessage> {
        read_message(&mut self.reader, 0)
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, text: &str) -> HttpMessage {
        self.send(text);
        self.read_answer().expect("an answer")
    }

    /// Waits for the next bytes or the end; returns whether the gateway closes or resets the connection, or answers
    /// with an error status.
    pub fn closed_or_error(&mut self) -> bool {
        match self.reader.fill_buf() {
            Ok([]) => true,
            Ok(_) => self.read_answer().is_some_and(|a| a.status() >= 400),
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Waits for the next bytes or the end; returns whether the gateway has closed the connection.
    pub fn at_eof(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(|rest| rest.is_empty())
    }
}

/// Formats a valid request of a class of `settings`, with a correlation id of its own and `time_left_ms` to its
/// deadline.
pub fn request(class: &str, customer: u64, time_left_ms: u64) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, extra_headers, body) = match class {
        "consulta" => ("GET", "", ""),
        "modificar" => ("POST", "idempotency-key: 5c0f6e1a2b3d4c59\r\ncontent-length: 4\r\n", "{42}"),
        _ => ("POST", "content-length: 4\r\n", "{42}"),
    };
    format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nhost: backend.local\r\nx-correlation-id: id-{id}\r\nplan: llano\r\n\
         x-time-left-ms: {time_left_ms}\r\nquota-info: units=1,spread=2,first=0\r\n{extra_headers}\r\n{body}"
    )
}

/// Formats the head of a request of a class with a body: of this length in bytes or, without one, in chunks.
pub fn upload_head(class: &str, time_left_ms: u64, length: Option<usize>) -> String {
    let field = match length {
        Some(length) => format!("content-length: {length}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    request(class, 7, time_left_ms).replace("content-length: 4\r\n\r\n{42}", &format!("{field}\r\n\r\n"))
}

/// The empty chunk that ends a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Formats a piece of a body in wire form: as a chunk if `chunked`.
pub fn body_piece(chunked: bool, data: &str) -> String {
    if chunked {
        format!("{:x}\r\n{data}\r\n", data.len())
    } else {
        data.to_owned()
    }
}
