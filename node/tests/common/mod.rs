//! The program under test between small fake peers on free loopback ports. Fakes say what they have
//! seen over channels, so that tests wait for what happens and not for time to pass.
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

/// Long enough for any busy machine; only a failing test waits for all of it.
pub const LONG: Duration = Duration::from_secs(20);

/// A connection to a backend may be used again this long after its last answer.
pub const SETTLED: Duration = Duration::from_millis(15);

/// A message as it came.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The first line: a request's or an answer's.
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the connection it came on, by peer.
    pub conn: usize,
    pub at: Instant,
}

impl Seen {
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).expect("a path")
    }
}

/// Reads one message; `None` where the connection ended first.
pub fn read_message(from: &mut BufReader<TcpStream>, conn: usize) -> Option<Seen> {
    let mut text = String::new();
    let mut next = |from: &mut BufReader<TcpStream>| {
        text.clear();
        from.read_line(&mut text).ok().filter(|n| *n > 0)?;
        Some(text.trim_end().to_owned())
    };
    let line = next(from)?;
    let mut headers = HashMap::new();
    loop {
        let field = next(from)?;
        let Some((name, value)) = field.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if headers.get("transfer-encoding").is_some_and(|c| c == "chunked") {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(&next(from)?, 16).expect("a chunk's length");
            let at = body.len();
            body.resize(at + size, 0);
            from.read_exact(&mut body[at..]).ok()?;
            if next(from)?.is_empty() && size == 0 {
                return Some(Seen { line, headers, body, conn, at: Instant::now() });
            }
        }
    }
    let length = headers.get("content-length").map_or(0, |l: &String| l.parse().expect("a length"));
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Seen { line, headers, body, conn, at: Instant::now() })
}

/// What a fake does with a request.
pub enum Reaction {
    Answer(String),
    /// Ends the connection with no answer.
    Break,
    /// Says nothing until the other side ends the connection, and tells when it has.
    Silence,
    /// Answers, ends its sending, and tells when the other side has ended the connection.
    AnswerAndClose(String),
    /// Writes each piece so many milliseconds after the one before, then goes on.
    Pieces(Vec<(u64, String)>),
    /// The same, and ends its sending.
    PiecesAndClose(Vec<(u64, String)>),
    /// The same, and resets the connection.
    PiecesAndReset(Vec<(u64, String)>),
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

pub fn ok(body: &str) -> Reaction {
    Reaction::Answer(answer("200 OK", "", body))
}

/// A loopback address of this test's own, so that a port freed here is not taken elsewhere.
pub fn own_address() -> String {
    /// Those of one process, and processes that are told apart.
    const MOST: u32 = 4_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(n < MOST, "no address is left");
    let [_, a, b, c] = (0x0001_0000 + std::process::id() % MOST * MOST + n).to_be_bytes();
    format!("127.{a}.{b}.{c}")
}

/// One test of a file at a time. Danger: a child's table of descriptors begins as large as this process's, and tells
/// nothing of the child where that is larger than the limit.
pub fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection that is read until `LONG`.
pub fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    BufReader::new(stream)
}

/// A backend that gives customer 9 a long answer for twenty seconds, a little at a time, and all others a short one.
pub fn long_for_customer_nine() -> Fake {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n".to_owned() + &"z".repeat(100_000);
    let rest = (0..200).map(|_| (100, "z".repeat(500)));
    let pieces: Vec<_> = [(0, head)].into_iter().chain(rest).collect();
    Fake::start(move |seen| match seen.path().ends_with('9') {
        true => Reaction::Pieces(pieces.clone()),
        false => ok("x"),
    })
}

/// A listener whose connections are served by a function, a thread each.
pub struct Fake {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
    /// Connections that the other side has ended.
    pub ended: Receiver<usize>,
    pub connections: Arc<AtomicUsize>,
    /// Connections open at once: now, and the most there were.
    pub open: Arc<(AtomicUsize, AtomicUsize)>,
}

impl Fake {
    pub fn start(react: impl Fn(&Seen) -> Reaction + Send + Sync + 'static) -> Self {
        Self::over(TcpListener::bind((own_address(), 0)).expect("a free port"), react)
    }

    pub fn over(listener: TcpListener, react: impl Fn(&Seen) -> Reaction + Send + Sync + 'static) -> Self {
        let address = listener.local_addr().expect("an address");
        let ((tell, seen), (tell_end, ended)) = (channel(), channel());
        let (react, connections) = (Arc::new(react), Arc::new(AtomicUsize::new(0)));
        let (count, open) = (connections.clone(), Arc::<(AtomicUsize, AtomicUsize)>::default());
        let held = open.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let conn = count.fetch_add(1, Ordering::SeqCst);
                let (react, tell, tell_end) = (react.clone(), tell.clone(), tell_end.clone());
                let held = held.clone();
                held.1.fetch_max(held.0.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let left = serve(stream.expect("a connection"), conn, &*react, &tell);
                    held.0.fetch_sub(1, Ordering::SeqCst);
                    let _ = left.then(|| tell_end.send(conn));
                });
            }
        });
        Fake { address, seen, ended, connections, open }
    }

    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(LONG).expect("the fake was asked")
    }
}

/// An address at which connections do not come up until `open`.
pub struct Mute {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What fills its line.
    line: Vec<TcpStream>,
}

impl Mute {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let own: SocketAddr = format!("{}:0", own_address()).parse().expect("an address");
        socket.bind(&own.into()).expect("a free port");
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let mut line = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            line.push(stream);
        }
        Mute { address, listener, line }
    }

    /// From now on connections come up, also those that have been waiting, and are served.
    pub fn open(self, react: impl Fn(&Seen) -> Reaction + Send + Sync + 'static) -> Fake {
        drop(self.line);
        Fake::over(self.listener, react)
    }
}

/// Serves a connection; returns whether it was the other side that ended it.
fn serve(stream: TcpStream, conn: usize, react: &dyn Fn(&Seen) -> Reaction, tell: &Sender<Seen>) -> bool {
    let mut out = stream.try_clone().expect("a second handle");
    out.set_nodelay(true).expect("an option");
    let mut from = BufReader::new(stream);
    let write = |mut out: &TcpStream, pieces: Vec<(u64, String)>| {
        for (after, text) in pieces {
            std::thread::sleep(Duration::from_millis(after));
            let _ = out.write_all(text.as_bytes());
        }
    };
    while let Some(seen) = read_message(&mut from, conn) {
        let _ = tell.send(seen.clone());
        match react(&seen) {
            Reaction::Answer(text) => drop(out.write_all(text.as_bytes())),
            Reaction::Break => return false,
            Reaction::Silence => continue,
            Reaction::AnswerAndClose(text) => {
                let _ = out.write_all(text.as_bytes());
                let _ = out.shutdown(std::net::Shutdown::Write);
            }
            Reaction::Pieces(pieces) => write(&out, pieces),
            Reaction::PiecesAndClose(pieces) => {
                write(&out, pieces);
                let _ = out.shutdown(std::net::Shutdown::Write);
            }
            Reaction::PiecesAndReset(pieces) => {
                write(&out, pieces);
                SockRef::from(&out).set_linger(Some(Duration::ZERO)).expect("an option");
                return false;
            }
        }
    }
    true
}

/// Discovery: a list that tests change, and watches that wait for that.
pub struct Discovery {
    pub fake: Fake,
    list: Arc<(Mutex<Listing>, Condvar)>,
}

#[derive(Default)]
struct Listing {
    index: u64,
    entries: Vec<String>,
    rubbish: bool,
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    entry_since(name, address, status, 0)
}

/// The same for a process that started then.
pub fn entry_since(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Self {
        let list: Arc<(Mutex<Listing>, Condvar)> = Arc::default();
        list.0.lock().expect("unpoisoned").index = 1;
        list.0.lock().expect("unpoisoned").entries = entries;
        let held = list.clone();
        let fake = Fake::start(move |seen| {
            let (lock, changed) = &*held;
            let mut now = lock.lock().expect("unpoisoned");
            let path = seen.path().to_owned();
            let index =
                path.split_once("index=").and_then(|(_, rest)| rest.split('&').next()?.parse::<u64>().ok());
            if let Some(index) = index {
                let wait = path.split_once("wait=").and_then(|(_, w)| w.parse().ok()).expect("a wait");
                let news = |l: &mut Listing| l.index <= index && !l.rubbish;
                now =
                    changed.wait_timeout_while(now, Duration::from_millis(wait), news).expect("unpoisoned").0;
            }
            if std::mem::take(&mut now.rubbish) {
                return ok("{\"index\":\"no list\"}");
            }
            let changed = if index.is_some_and(|i| i >= now.index) { &[][..] } else { &now.entries[..] };
            ok(&self::list(now.index, index.is_none(), changed))
        });
        Discovery { fake, list }
    }

    /// Changes the list; the next watch is told.
    pub fn set(&self, entries: Vec<String>) {
        let mut now = self.list.0.lock().expect("unpoisoned");
        now.index += 1;
        now.entries = entries;
        self.list.1.notify_all();
    }

    /// Puts another list in its place, of whatever version; the next watch is told.
    pub fn replace(&self, index: u64, entries: Vec<String>) {
        let mut now = self.list.0.lock().expect("unpoisoned");
        (now.index, now.entries) = (index, entries);
        self.list.1.notify_all();
    }

    /// Answers one call with what is no list.
    pub fn babble(&self) {
        self.list.0.lock().expect("unpoisoned").rubbish = true;
        self.list.1.notify_all();
    }

    /// Waits until a watch for the present list is out: all of it has then been told and taken in.
    pub fn settled(&self) {
        let index = self.list.0.lock().expect("unpoisoned").index;
        let sign = format!("index={index}&");
        while !self.fake.next().path().contains(&sign) {}
    }
}

/// What a counter keeps, under whatever addresses.
#[derive(Clone, Default)]
pub struct Numbers(Arc<Mutex<HashMap<String, f64>>>);

impl Numbers {
    /// Carries out a call; returns the total.
    pub fn add(&self, call: &Seen) -> String {
        let (name, query) = call.path().split_once('?').expect("a query");
        let delta = query.split('&').find_map(|p| p.strip_prefix("delta=")).expect("an amount");
        let mut numbers = self.0.lock().expect("unpoisoned");
        let total = numbers.entry(name.to_owned()).or_default();
        *total += delta.parse::<f64>().expect("a number");
        total.to_string()
    }

    /// Waits until all numbers together come to so much.
    pub fn come_to(&self, sum: f64) {
        let until = Instant::now() + LONG;
        while self.sum() != sum {
            assert!(Instant::now() < until, "{} of {sum} units", self.sum());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn sum(&self) -> f64 {
        self.0.lock().expect("unpoisoned").values().sum()
    }
}

/// A counter that keeps numbers and answers as it should.
pub fn counter() -> Fake {
    let numbers = Numbers::default();
    Fake::start(move |seen| ok(&numbers.add(seen)))
}

/// Settings as the first message gives them; the plan `llano` has the rate and burst given.
pub fn settings(me: u32, rate: f64, burst: f64) -> String {
    format!(
        r#"{{"balancers":2,"me":{me},"zone":0,"zones":["a","b"],"kinds":["k"],"discovery":"pushed","weights":"off",
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

/// What outlives a process of a gateway: the clients' socket and a folder.
pub struct Platform {
    listener: TcpListener,
    pub folder: std::path::PathBuf,
}

impl Platform {
    pub fn new() -> Self {
        let listener = TcpListener::bind((own_address(), 0)).expect("a free port");
        let ip = listener.local_addr().expect("an address").ip();
        let folder = std::env::temp_dir().join(format!("gw-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener, folder }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a gateway is started with.
pub struct Start {
    pub me: u32,
    pub rate: f64,
    pub burst: f64,
    pub known: Option<String>,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The process's own limit on descriptors, where it is not the one of the tests.
    pub descriptors: Option<u32>,
    /// Gateways whose addresses the configuration gives.
    pub peers: u32,
    /// The platform's part, where it holds the clients' socket.
    pub platform: Option<Platform>,
    /// Where its log goes, if not into a file of the test's.
    pub log: Option<std::os::fd::OwnedFd>,
    /// Its log tells of each request.
    pub debug_log: bool,
    /// Changes to the settings: what is replaced, and by what.
    pub changes: &'static [(&'static str, &'static str)],
}

impl Default for Start {
    fn default() -> Self {
        Start {
            me: 0,
            rate: 1000.0,
            burst: 1000.0,
            known: None,
            memory_mb: 192,
            sockets: 256,
            descriptors: None,
            peers: 0,
            platform: None,
            log: None,
            debug_log: false,
            changes: &[],
        }
    }
}

fn with_peers(text: &str, discovery: SocketAddr, counter: SocketAddr) -> String {
    text.replace("DISCOVERY", &discovery.to_string()).replace("COUNTER", &counter.to_string())
}

/// Where nothing listens, on an address that no other test uses. Danger: a port is not found by taking and freeing
/// one: a child that another test is starting holds a copy of what was open then, and the port is still taken.
pub fn free_port() -> SocketAddr {
    format!("{}:8081", own_address()).parse().expect("an address")
}

/// The program, running.
pub struct Gateway {
    pub address: SocketAddr,
    pub ops: SocketAddr,
    child: Child,
    config: std::path::PathBuf,
    /// What the file says, with places for the peers' addresses.
    text: String,
    /// Health checks that were answered, each on a connection of its own that the check then closed.
    answered_health_checks: AtomicU64,
}

/// Where a gateway is to listen.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub clients: SocketAddr,
    pub ops: SocketAddr,
}

impl Gateway {
    /// Addresses that nobody uses yet.
    pub fn next_addresses() -> Addresses {
        Addresses { clients: free_port(), ops: free_port() }
    }

    pub fn launch(start: &Start, discovery: SocketAddr, counter: SocketAddr) -> Self {
        let mut addresses = Self::next_addresses();
        if let Some(platform) = &start.platform {
            addresses.clients = platform.address();
        }
        Self::launch_at(start, addresses, discovery, counter)
    }

    /// Launches a gateway that is to listen there.
    pub fn launch_at(start: &Start, at: Addresses, discovery: SocketAddr, counter: SocketAddr) -> Self {
        let Addresses { clients: address, ops } = at;
        let known = start.known.as_ref().map(|k| format!("\"known\":{k},")).unwrap_or_default();
        let config = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.json", ops.ip()));
        let mut settings = settings(start.me, start.rate, start.burst);
        for (old, new) in start.changes {
            assert!(settings.contains(old), "{old} is not in the settings");
            settings = settings.replace(old, new);
        }
        let peers: Vec<_> =
            (0..start.peers).map(|n| format!("\"127.9.{}.{}:7946\"", n / 250, n % 250)).collect();
        let peers = peers.join(",");
        let text = format!(
            r#"{{"name":"n{}","listen":"{address}","discovery":"DISCOVERY","seed":"8c1f30d27a5be964","peers":[{peers}],
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"COUNTER",{known}"settings":{}}}"#,
            start.me, start.memory_mb, start.sockets, settings
        );
        std::fs::write(&config, with_peers(&text, discovery, counter))
            .expect("a place for the configuration");
        let program = env!("CARGO_BIN_EXE_badgerglade");
        let mut command = Command::new(program);
        if let Some(limit) = start.descriptors {
            command = Command::new("sh");
            command.args(["-c", "ulimit -n \"$1\" && exec \"$0\"", program, &limit.to_string()]);
        }
        command.env_remove("TMPDIR");
        if let Some(platform) = &start.platform {
            // Without unsafe code, the one descriptor that a test can hand down is the standard input.
            let socket = platform.listener.try_clone().expect("a second handle");
            command.stdin(std::os::fd::OwnedFd::from(socket)).env("NODE_FD", "0");
            command.env("TMPDIR", &platform.folder);
        }
        let log = match &start.log {
            Some(log) => log.try_clone().expect("a second handle"),
            None => std::fs::File::create(config.with_extension("log")).expect("a place for the log").into(),
        };
        let child = command
            .env("NODE_CONFIG", &config)
            .env("NODE_LOG", if start.debug_log { "debug" } else { "info" })
            .env("NODE_NAME", format!("n{}", start.me))
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_OPS", ops.to_string())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Gateway { address, ops, child, config, text, answered_health_checks: AtomicU64::new(0) }
    }

    /// Replaces the file by one that names these peers, and says so.
    pub fn reload(&self, discovery: SocketAddr, counter: SocketAddr) {
        self.reload_text(&with_peers(&self.text, discovery, counter));
    }

    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a place for the configuration");
        self.signal("-HUP");
    }

    /// The most memory that it has held, in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("a status");
        let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a figure");
        line.trim().trim_end_matches("kB").trim().parse::<u64>().expect("a number") / 1024
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("a list").count()
    }

    /// Slots that the kernel has set up for its descriptors: a power of two that only grows. As the lowest free
    /// slot is taken each time, the process has never held more descriptors at once than this, not for a moment.
    pub fn descriptor_slots(&self) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("a status");
        let line = text.lines().find_map(|l| l.strip_prefix("FDSize:")).expect("a figure");
        line.trim().parse().expect("a number")
    }

    /// What it has written to its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).expect("a log")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start(start: &Start, discovery: SocketAddr, counter: SocketAddr) -> Self {
        let gateway = Self::launch(start, discovery, counter);
        let until = Instant::now() + LONG;
        while gateway.health() != Some(200) {
            let log = || std::fs::read_to_string(gateway.config.with_extension("log"));
            assert!(Instant::now() < until, "the gateway does not become ready: {:?}", log());
            std::thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    /// Waits until the door says that this process serves.
    pub fn serves(&self) {
        let until = Instant::now() + LONG;
        let ready = || TcpStream::connect(self.ops).is_ok() && self.call("GET /ready").status() == 200;
        while !ready() {
            assert!(Instant::now() < until, "the process does not serve");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What `/healthz` says; `None` while nothing listens.
    pub fn health(&self) -> Option<u16> {
        let stream = TcpStream::connect(self.address).ok()?;
        let mut client = Client::over(stream);
        client.send("GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n");
        let status = client.answer().map(|a| a.status());
        self.answered_health_checks.fetch_add(u64::from(status.is_some()), Ordering::Relaxed);
        status
    }

    /// The number of health checks that were answered, those of the start included.
    pub fn answered_health_checks(&self) -> u64 {
        self.answered_health_checks.load(Ordering::Relaxed)
    }

    /// One call at the operators' door.
    pub fn call(&self, call: &str) -> Seen {
        let mut client = self.caller();
        client.ask(&format!("{call} HTTP/1.1\r\nhost: t\r\n\r\n"))
    }

    pub fn caller(&self) -> Client {
        Client::over(TcpStream::connect(self.ops).expect("the door opens"))
    }

    /// The figures, as the door tells them.
    pub fn figures(&self) -> serde_json::Value {
        serde_json::from_slice(&self.call("GET /metrics").body).expect("figures")
    }

    pub fn client(&self) -> Client {
        Client::over(TcpStream::connect(self.address).expect("the gateway accepts"))
    }

    /// A connection as soon as there is one who listens.
    pub fn first_client(&self) -> Client {
        let until = Instant::now() + LONG;
        loop {
            if let Ok(stream) = TcpStream::connect(self.address) {
                return Client::over(stream);
            }
            assert!(Instant::now() < until, "nobody listens: {}", self.log());
            std::thread::yield_now();
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, which: &str) {
        let done = Command::new("kill").arg(which).arg(self.child.id().to_string()).status();
        assert!(done.expect("kill runs").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(Instant::now() < until, "the gateway does not end");
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

/// Discovery's entries for backends that serve: `s-0`, `s-1` and so on.
pub fn serving(backends: &[&Fake]) -> Vec<String> {
    let backends = backends.iter().enumerate();
    backends.map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING")).collect()
}

/// A gateway that serves, with its discovery and its counter.
pub struct Scene {
    pub gateway: Gateway,
    pub discovery: Discovery,
    pub counter: Fake,
}

impl Scene {
    /// Starts a gateway that has been told this list, and waits until it has taken it in.
    pub fn new(start: &Start, entries: Vec<String>, counter: Fake) -> Self {
        let discovery = Discovery::start(entries);
        let gateway = Gateway::start(start, discovery.fake.address, counter.address);
        discovery.settled();
        Scene { gateway, discovery, counter }
    }
}

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
pub enum Leave {
    Close,
    Reset,
    /// With so many bytes sent that nobody has asked for.
    CloseBehind(usize),
    ResetBehind(usize),
    /// With as many bytes sent, up to so many, as the sockets take.
    CloseFull(usize),
}

/// Few bytes end in the gateway's hands, many stay in the socket.
pub const LEAVES: [Leave; 6] = [
    Leave::Close,
    Leave::Reset,
    Leave::CloseBehind(20),
    Leave::CloseBehind(20_000),
    Leave::ResetBehind(20),
    Leave::ResetBehind(20_000),
];

pub struct Client {
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { from: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: &str) {
        self.from.get_mut().write_all(text.as_bytes()).expect("the gateway reads");
    }

    /// Sends as much as is taken: the other side may have answered and closed.
    pub fn push(&mut self, text: &str) {
        let _ = self.from.get_mut().write_all(text.as_bytes());
    }

    /// Sends so many bytes at most, until nothing more is taken for a while.
    fn fill(&mut self, most: usize) {
        let (stream, bytes) = (self.from.get_mut(), [b'x'; 65_536]);
        stream.set_nonblocking(true).expect("an option");
        let (mut sent, mut last) = (0, Instant::now());
        while sent < most && last.elapsed() < Duration::from_millis(20) {
            match stream.write(&bytes) {
                Ok(n) => (sent, last) = (sent + n, Instant::now()),
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    pub fn leave(mut self, how: Leave) {
        if let Leave::CloseBehind(n) | Leave::ResetBehind(n) = how {
            self.send(&"x".repeat(n));
        }
        if let Leave::CloseFull(most) = how {
            self.fill(most);
        }
        if let Leave::Reset | Leave::ResetBehind(_) = how {
            SockRef::from(self.from.get_ref()).set_linger(Some(Duration::ZERO)).expect("an option");
        }
    }

    /// The next line, without its end.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.from.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    }

    /// Reads so many bytes.
    pub fn take(&mut self, bytes: usize) -> Vec<u8> {
        let mut taken = vec![0; bytes];
        self.from.read_exact(&mut taken).expect("bytes");
        taken
    }

    /// What comes next, as it comes; `None` where the connection broke.
    pub fn rest(&mut self) -> Option<Vec<u8>> {
        let come = self.from.fill_buf().ok()?.to_vec();
        self.from.consume(come.len());
        Some(come)
    }

    /// Reads all that comes until the connection ends, in whatever way.
    pub fn read_to_end(&mut self) {
        while self.rest().is_some_and(|rest| !rest.is_empty()) {}
    }

    pub fn answer(&mut self) -> Option<Seen> {
        read_message(&mut self.from, 0)
    }

    pub fn ask(&mut self, text: &str) -> Seen {
        self.send(text);
        self.answer().expect("an answer")
    }

    /// Whether the gateway ends the connection, in whatever way, or answers with an error.
    pub fn ended_or_failed(&mut self) -> bool {
        match self.from.fill_buf() {
            Ok([]) => true,
            Ok(_) => self.answer().is_some_and(|a| a.status() >= 400),
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Whether the gateway has ended the connection.
    pub fn at_end(&mut self) -> bool {
        self.from.fill_buf().is_ok_and(|rest| rest.is_empty())
    }
}

/// A well-formed request for a class of the settings above.
pub fn request(class: &str, customer: u64, wait_ms: u64) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, more, body) = match class {
        "consulta" => ("GET", "", ""),
        "modificar" => ("POST", "idempotency-key: 5c0f6e1a2b3d4c59\r\ncontent-length: 4\r\n", "{42}"),
        _ => ("POST", "content-length: 4\r\n", "{42}"),
    };
    format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nhost: backend.local\r\nx-correlation-id: id-{id}\r\nplan: llano\r\n\
         x-time-left-ms: {wait_ms}\r\nquota-info: units=1,spread=2,first=0\r\n{more}\r\n{body}"
    )
}
