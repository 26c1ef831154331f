//! Several processes of one gateway, on loopback sockets: takeover, shared operators' decisions, and units handed over.

mod common;

use common::*;
use std::fs::Permissions;
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One gateway whose processes share the clients' listener, discovery and the counter.
struct GatewayFixture {
    options: GatewayOptions,
    discovery: FakeDiscovery,
    counter: FakeServer,
    totals: CounterTotals,
    /// If not 0, the counter rejects calls, each after this many milliseconds.
    reject_after_ms: Arc<AtomicU64>,
}

impl GatewayFixture {
    fn new(backends: &[&FakeServer]) -> Self {
        let entries =
            backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
        // A quota window of a minute.
        let options = GatewayOptions {
            platform: Some(Platform::new()),
            rate: 100.0,
            burst: 6000.0,
            ..GatewayOptions::default()
        };
        let (totals, reject_after_ms) = (CounterTotals::default(), Arc::<AtomicU64>::default());
        let (recorded, rejecting) = (totals.clone(), reject_after_ms.clone());
        let counter = FakeServer::start(move |call| match rejecting.load(Ordering::SeqCst) {
            0 => ok(&recorded.add(call)),
            delay_ms => Reaction::Pieces(vec![(delay_ms, answer("503 No", "", ""))]),
        });
        GatewayFixture {
            options,
            discovery: FakeDiscovery::start(entries.collect()),
            counter,
            totals,
            reject_after_ms,
        }
    }

    /// Starts one more process of the gateway, and waits until it serves.
    fn start_process(&self) -> Gateway {
        let process = Gateway::launch(&self.options, self.discovery.server.address, self.counter.address);
        process.wait_until_serving();
        process
    }

    /// Returns the path of the hand-over socket.
    fn socket(&self) -> std::path::PathBuf {
        let address = self.options.platform.as_ref().expect("a platform").address();
        self.folder().join(format!("{address}.sock"))
    }

    /// Returns the folder of the hand-over socket.
    fn folder(&self) -> &std::path::Path {
        &self.options.platform.as_ref().expect("a platform").folder
    }
}

/// Guards against requests lost between two processes, and against the ending process keeping its clients' connections.
#[test]
fn a_new_process_takes_over_from_one_that_serves() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = GatewayFixture::new(&[&backend]);
    let mut old = fixture.start_process();
    let mut kept = old.client();
    assert_eq!(kept.ask(&request("consulta", 1, 2000)).status(), 200);
    let new = fixture.start_process();
    old.terminate();
    // Only the operators' address shows that the old process ends; both processes answer on the clients' address.
    while old.ops_request("GET /ready").status() == 200 {}
    assert_eq!(new.health(), Some(200));
    let answer = kept.ask(&request("consulta", 2, 2000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    for n in 3..9 {
        let answer = new.client().ask(&request("consulta", n, 2000));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    assert!(old.wait_for_exit().success());
    assert_eq!(new.client().ask(&request("consulta", 9, 2000)).status(), 200);
}

/// Guards against a process that goes on using a backend, or accepting clients, after operators disabled the backend or
/// began the drain at the other process.
#[test]
fn a_backend_out_by_hand_is_out_for_both_and_a_drain_too() {
    let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
    let fixture = GatewayFixture::new(&[&backends[0], &backends[1]]);
    let old = fixture.start_process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    let new = fixture.start_process();
    let wait_for_skipped =
        |process: &Gateway, count: u32| while process.metrics()["skipped_backends"] != count {};
    wait_for_skipped(&new, 1);
    assert_eq!(new.ops_request("PUT /backends/enable?id=s-0").status(), 200);
    wait_for_skipped(&old, 0);
    assert_eq!(new.ops_request("PUT /backends/disable?id=s-1").status(), 200);
    wait_for_skipped(&old, 1);
    assert_eq!(old.ops_request("PUT /drain").status(), 200);
    while new.ops_request("GET /ready").status() == 200 {}
    assert_eq!(new.ops_request("PUT /undrain").status(), 200);
    while old.ops_request("GET /ready").status() != 200 {}
}

/// Guards against a disabled backend or a drain that reaches the direct neighbour of the process that was told, but not
/// the third process of the gateway.
#[test]
fn all_of_three_processes_are_told_of_bans_and_drains() {
    let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
    let fixture = GatewayFixture::new(&[&backends[0], &backends[1]]);
    let processes: Vec<Gateway> = (0..3).map(|_| fixture.start_process()).collect();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let wait_for_skipped = |count: u32| {
        for process in &processes {
            while process.metrics()["skipped_backends"] != count {
                assert!(Instant::now() < deadline, "{} {}", process.metrics(), process.log());
            }
        }
    };
    for (disabled_at, enabled_at) in [(0, 2), (1, 1), (2, 0)] {
        assert_eq!(processes[disabled_at].ops_request("PUT /backends/disable?id=s-0").status(), 200);
        wait_for_skipped(1);
        assert_eq!(processes[enabled_at].ops_request("PUT /backends/enable?id=s-0").status(), 200);
        wait_for_skipped(0);
    }
    let wait_for_readiness = |status: u16| {
        for process in &processes {
            while process.ops_request("GET /ready").status() != status {
                assert!(Instant::now() < deadline, "{}", process.log());
            }
        }
    };
    assert_eq!(processes[2].ops_request("PUT /drain").status(), 200);
    wait_for_readiness(503);
    assert_eq!(processes[0].ops_request("PUT /undrain").status(), 200);
    wait_for_readiness(200);
}

/// Guards against a start that fails because of a stale socket, or because the process at the hand-over socket sends
/// nothing, an incomplete line or invalid messages.
#[test]
fn odd_state_does_not_keep_a_process_from_its_start() {
    let backend = FakeServer::start(|_| ok("x"));
    for message in [None, Some(&b""[..]), Some(b"{\"state\":{\"list\":"), Some(b"[1,2]\n{}\n")] {
        let fixture = GatewayFixture::new(&[&backend]);
        let listener = UnixListener::bind(fixture.socket()).expect("a socket");
        // Without a thread that accepts, the socket is stale.
        let sender = message.map(|text| {
            std::thread::spawn(move || {
                let (mut sender, _) = listener.accept().expect("a caller");
                sender.write_all(text).expect("it listens");
            })
        });
        let process = fixture.start_process();
        assert_eq!(process.client().ask(&request("consulta", 1, 2000)).status(), 200);
        sender.into_iter().for_each(|thread| thread.join().expect("the thread ends"));
    }
}

/// Guards against unsynced units of an ending process that are never added to the counter, or added twice: over
/// consecutive upgrades, and when the middle one of three processes ends first.
#[test]
fn what_a_process_leaves_is_added_once() {
    for three_processes in [false, true] {
        let backend = FakeServer::start(|_| ok("x"));
        let fixture = GatewayFixture::new(&[&backend]);
        let mut spent_units = 0.0;
        let mut ask = |client: &mut Client| {
            assert_eq!(client.ask(&request("consulta", 1, 3000)).status(), 200);
            spent_units += 1.0;
            spent_units
        };
        let mut first = fixture.start_process();
        ask(&mut first.client());
        let mut middle = fixture.start_process();
        if !three_processes {
            first.terminate();
            assert!(first.wait_for_exit().success());
        }
        // Connect until the middle process accepts: the processes share the listener.
        let passed = || middle.metrics()["passed"]["consulta"].as_u64();
        let mut client = loop {
            let (mut client, before) = (middle.client(), passed());
            ask(&mut client);
            if passed() > before {
                break client;
            }
        };
        let last = fixture.start_process();
        fixture.totals.wait_for_sum(ask(&mut client));
        // The middle process ends with units that it could not add to the counter.
        fixture.reject_after_ms.store(1, Ordering::SeqCst);
        let spent_units = ask(&mut client);
        middle.terminate();
        assert!(middle.wait_for_exit().success());
        fixture.reject_after_ms.store(0, Ordering::SeqCst);
        fixture.totals.wait_for_sum(spent_units);
        std::thread::sleep(Duration::from_millis(1_500));
        assert_eq!(fixture.totals.sum(), spent_units, "three processes: {three_processes}");
        assert_eq!(last.ops_request("GET /ready").status(), 200);
    }
}

/// Guards against a hand-over that other connections to its socket prevent, by silence or by invalid messages. The next
/// process still receives the state, and later operators' decisions reach both processes.
#[test]
fn odd_talkers_do_not_keep_the_next_process_from_being_told() {
    let cases: [(&str, Vec<u8>); 6] = [
        ("nothing", Vec::new()),
        ("an incomplete line", b"{\"bar\":{\"name\":\"s-0\",\"out\":tr".to_vec()),
        ("an unknown message", b"[1,2]\n".to_vec()),
        ("bytes that are not UTF-8", vec![0xff; 1000]),
        (
            "a state",
            b"{\"state\":{\"list\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\"barred\":[]}}\n"
                .to_vec(),
        ),
        ("a long line", vec![b' '; 9 << 20]),
    ];
    for (case, message) in cases {
        for stays_open in [false, true] {
            let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
            let fixture = GatewayFixture::new(&[&backends[0], &backends[1]]);
            let old = fixture.start_process();
            let connections: Vec<UnixStream> = (0..3)
                .map(|_| {
                    let mut connection = UnixStream::connect(fixture.socket()).expect("it listens");
                    // The process may close the connection before it has read everything.
                    let _ = connection.write_all(&message);
                    connection
                })
                .filter(|_| stays_open)
                .collect();
            let new = fixture.start_process();
            assert!(new.log().contains("another process of this gateway serves"), "{case}: {}", new.log());
            assert_eq!(old.ops_request("PUT /backends/disable?id=s-1").status(), 200);
            let deadline = Instant::now() + TEST_TIMEOUT;
            while new.metrics()["skipped_backends"] != 1 {
                assert!(Instant::now() < deadline, "{case}: the new process does not receive the change");
            }
            assert_eq!(new.client().ask(&request("consulta", 1, 2000)).body, b"0", "{case}");
            drop(connections);
        }
    }
}

/// Guards against a process that does not start or does not serve because its hand-over socket can't be created.
#[test]
fn a_process_serves_without_a_place_to_meet() {
    let backend = FakeServer::start(|_| ok("x"));
    let prevent_socket: [fn(&GatewayFixture); 4] = [
        |fixture| std::fs::remove_dir(fixture.folder()).expect("it is empty"),
        |fixture| {
            std::fs::set_permissions(fixture.folder(), Permissions::from_mode(0o555)).expect("it is ours")
        },
        |fixture| std::fs::create_dir(fixture.socket()).expect("it is ours"),
        |fixture| std::fs::write(fixture.socket(), "no socket").expect("it is ours"),
    ];
    for prevent_socket in prevent_socket {
        let fixture = GatewayFixture::new(&[&backend]);
        prevent_socket(&fixture);
        let mut process = fixture.start_process();
        assert_eq!(process.client().ask(&request("consulta", 1, 2000)).status(), 200);
        process.terminate();
        assert!(process.wait_for_exit().success());
    }
}

/// Guards against requests lost when the old process gets SIGTERM before the new one is ready.
#[test]
fn an_old_process_that_ends_too_soon_loses_nothing() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = GatewayFixture::new(&[&backend]);
    let mut old = fixture.start_process();
    let new = Gateway::launch(&fixture.options, fixture.discovery.server.address, fixture.counter.address);
    old.terminate();
    // The requests go on until well after the old process has ended and the new one serves.
    for customer in 0..400 {
        let answer = new.client().ask(&request("consulta", customer, 2000));
        assert_eq!(answer.status(), 200, "{}{}", new.log(), old.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(old.wait_for_exit().success());
    new.wait_until_serving();
}

/// Guards against half of the gateway's share staying reserved for a process that hangs: the connection of a silent
/// process is closed after a time that is longer than a process may take to become ready.
#[test]
fn a_talker_that_says_nothing_is_let_go() {
    let fixture = GatewayFixture::new(&[]);
    let began = Instant::now();
    let _process =
        Gateway::start(&fixture.options, fixture.discovery.server.address, fixture.counter.address);
    let mut connection = UnixStream::connect(fixture.socket()).expect("it listens");
    connection.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let mut received = String::new();
    connection.read_to_string(&mut received).expect("it ends");
    assert!(received.starts_with("{\"state\":") && received.ends_with('\n'), "{received}");
    assert!(began.elapsed() > Duration::from_secs(6), "{:?}", began.elapsed());
}

/// Guards against units lost with counter calls that are in flight as a process ends and are then rejected: the
/// remaining process adds those units.
#[test]
fn what_is_turned_away_as_a_process_ends_is_added() {
    let backend = FakeServer::start(|_| ok("x"));
    let mut fixture = GatewayFixture::new(&[&backend]);
    // A call may take longer than the end of the process.
    fixture.options.changes = &[("\"count_limit_us\":80000", "\"count_limit_us\":2000000")];
    let mut old = fixture.start_process();
    let mut client = old.client();
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    (0..8).for_each(&mut ask);
    fixture.totals.wait_for_sum(8.0);
    let _new = fixture.start_process();
    fixture.counter.requests.try_iter().for_each(drop);
    fixture.reject_after_ms.store(1_500, Ordering::SeqCst);
    (0..40).for_each(|n| ask(n % 8));
    fixture.counter.next_request();
    old.terminate();
    assert!(old.wait_for_exit().success());
    fixture.reject_after_ms.store(0, Ordering::SeqCst);
    fixture.totals.wait_for_sum(48.0);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fixture.totals.sum(), 48.0);
}

/// Guards against lost units of customers whose first request came after the state had been sent to the next process.
#[test]
fn units_of_customers_that_only_the_ending_process_has_met_are_added() {
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = GatewayFixture::new(&[&backend]);
    let mut old = fixture.start_process();
    let mut client = old.client();
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    ask(1);
    fixture.totals.wait_for_sum(1.0);
    let _new = fixture.start_process();
    fixture.reject_after_ms.store(1, Ordering::SeqCst);
    (1..9).for_each(&mut ask);
    old.terminate();
    assert!(old.wait_for_exit().success());
    fixture.reject_after_ms.store(0, Ordering::SeqCst);
    fixture.totals.wait_for_sum(9.0);
}

/// Guards against units lost because their hand-over waits for the end of a long answer, and SIGKILL comes before that.
#[test]
fn units_are_handed_over_before_a_long_answer_ends() {
    let backend = backend_slow_for_customer_nine();
    let fixture = GatewayFixture::new(&[&backend]);
    let old = fixture.start_process();
    let (mut client, mut long_client) = (old.client(), old.client());
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    ask(1);
    fixture.totals.wait_for_sum(1.0);
    let _new = fixture.start_process();
    fixture.reject_after_ms.store(1, Ordering::SeqCst);
    long_client.send(&request("orden-nueva", 9, 5000));
    assert_eq!(long_client.read_line(), "HTTP/1.1 200 OK");
    (1..9).for_each(&mut ask);
    let signalled_at = Instant::now();
    old.terminate();
    // The earliest time of SIGKILL after SIGTERM.
    std::thread::sleep(Duration::from_millis(3_700).saturating_sub(signalled_at.elapsed()));
    old.signal("-KILL");
    fixture.reject_after_ms.store(0, Ordering::SeqCst);
    fixture.totals.wait_for_sum(10.0);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fixture.totals.sum(), 10.0);
}

/// Waits until the file exists.
fn wait_for_file(path: &std::path::Path) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !path.exists() {
        assert!(Instant::now() < deadline, "{} does not exist", path.display());
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a process that gets no state after an earlier upgrade has failed. The second new process did not know
/// the disabled backends, and each of the two processes spent the gateway's whole share of the quota.
#[test]
fn the_process_that_follows_a_failed_one_is_told_of_bans() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let fixture = GatewayFixture::new(&[&one, &other]);
    let old = fixture.start_process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    // The new process is killed, like a version that fails after its start.
    drop(fixture.start_process());
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !old.log().contains("the other process is gone") {
        assert!(Instant::now() < deadline, "the end of the other process is not noticed: {}", old.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    let new = fixture.start_process();
    assert_eq!(new.metrics()["skipped_backends"], 1, "{}", new.log());
    assert!(new.log().contains("another process of this gateway serves"), "{}", new.log());
}

/// Guards against a process that later ones can't find because a clean-up of the folder removed its hand-over socket.
#[test]
fn the_place_to_meet_is_made_again_where_it_is_removed() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let fixture = GatewayFixture::new(&[&one, &other]);
    let old = fixture.start_process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    std::fs::remove_file(fixture.socket()).expect("a socket");
    wait_for_file(&fixture.socket());
    assert_eq!(fixture.start_process().metrics()["skipped_backends"], 1);
}

/// Guards against a hand-over socket that can't be created at the start and is not tried again.
#[test]
fn the_place_to_meet_is_made_once_its_folder_is_there() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let fixture = GatewayFixture::new(&[&one, &other]);
    std::fs::remove_dir_all(fixture.folder()).expect("a folder");
    let old = fixture.start_process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    std::fs::create_dir_all(fixture.folder()).expect("a folder");
    wait_for_file(&fixture.socket());
    assert_eq!(fixture.start_process().metrics()["skipped_backends"], 1);
}

/// Guards against running a request with an effect a second time where its id comes again at the other process of an upgrade:
/// one that was sent on before the new process started, and one after that, in either process.
#[test]
fn an_id_that_comes_again_at_the_other_process_is_not_sent_on() {
    let backend = FakeServer::start(|_| Reaction::Silence);
    let fixture = GatewayFixture::new(&[&backend]);
    // Sends a request to one process, alone at the listener, and leaves.
    let begin = |stopped: Option<&Gateway>, text: &str, process: &Gateway| {
        stopped.iter().for_each(|other| other.signal("-STOP"));
        let mut client = process.client();
        client.send(text);
        backend.next_request();
        client.disconnect(Disconnect::Close);
        backend.closed_by_peer.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
        stopped.iter().for_each(|other| other.signal("-CONT"));
    };
    let repeat = |stopped: &Gateway, text: &str, process: &Gateway| {
        // What one process has told stands in the other one's socket before that is asked.
        stopped.signal("-STOP");
        assert_eq!(process.client().ask(text).status(), 409, "{}", process.log());
        stopped.signal("-CONT");
        assert_eq!(backend.requests.try_iter().count(), 0, "it was sent on once more");
    };
    let texts = [(); 3].map(|()| request("orden-nueva", 7, 1_000));
    let old = fixture.start_process();
    begin(None, &texts[0], &old);
    let new = fixture.start_process();
    repeat(&old, &texts[0], &new);
    begin(Some(&new), &texts[1], &old);
    repeat(&old, &texts[1], &new);
    begin(Some(&old), &texts[2], &new);
    repeat(&new, &texts[2], &old);
}
