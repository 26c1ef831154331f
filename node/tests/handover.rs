//! Two processes of one gateway, on loopback sockets. Each test guards against one way to go wrong.

mod common;

use common::*;
use std::fs::Permissions;
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Scene {
    start: GatewayOptions,
    discovery: FakeDiscovery,
    counter: FakeServer,
    numbers: CounterTotals,
    /// Where it is not 0, the counter turns calls away, so many milliseconds after each came.
    away: Arc<AtomicU64>,
}

impl Scene {
    fn new(backends: &[&FakeServer]) -> Self {
        let entries =
            backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
        // A window of a minute.
        let start = GatewayOptions {
            platform: Some(Platform::new()),
            rate: 100.0,
            burst: 6000.0,
            ..GatewayOptions::default()
        };
        let (numbers, away) = (CounterTotals::default(), Arc::<AtomicU64>::default());
        let (adds, turns) = (numbers.clone(), away.clone());
        let counter = FakeServer::start(move |call| match turns.load(Ordering::SeqCst) {
            0 => ok(&adds.add(call)),
            after => Reaction::Pieces(vec![(after, answer("503 No", "", ""))]),
        });
        Scene { start, discovery: FakeDiscovery::start(entries.collect()), counter, numbers, away }
    }

    /// One more process of the gateway.
    fn process(&self) -> Gateway {
        let process = Gateway::launch(&self.start, self.discovery.server.address, self.counter.address);
        process.wait_until_serving();
        process
    }

    /// Where its processes meet.
    fn socket(&self) -> std::path::PathBuf {
        let address = self.start.platform.as_ref().expect("a platform").address();
        self.folder().join(format!("{address}.sock"))
    }

    fn folder(&self) -> &std::path::Path {
        &self.start.platform.as_ref().expect("a platform").folder
    }
}

/// Guards against requests lost between two processes, and against clients held by the one that ends.
#[test]
fn a_new_process_takes_over_from_one_that_serves() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = Scene::new(&[&backend]);
    let mut old = scene.process();
    let mut kept = old.client();
    assert_eq!(kept.ask(&request("consulta", 1, 2000)).status(), 200);
    let new = scene.process();
    old.terminate();
    // Its other address tells that it ends; the clients' address serves on, whoever answers there.
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

/// Guards against a backend that operators restart being used by the process that was not told.
#[test]
fn a_backend_out_by_hand_is_out_for_both_and_a_drain_too() {
    let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
    let scene = Scene::new(&[&backends[0], &backends[1]]);
    let old = scene.process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    let new = scene.process();
    let skipped = |p: &Gateway, n: u32| while p.metrics()["skipped_backends"] != n {};
    skipped(&new, 1);
    assert_eq!(new.ops_request("PUT /backends/enable?id=s-0").status(), 200);
    skipped(&old, 0);
    assert_eq!(new.ops_request("PUT /backends/disable?id=s-1").status(), 200);
    skipped(&old, 1);
    assert_eq!(old.ops_request("PUT /drain").status(), 200);
    while new.ops_request("GET /ready").status() == 200 {}
    assert_eq!(new.ops_request("PUT /undrain").status(), 200);
    while old.ops_request("GET /ready").status() != 200 {}
}

/// Guards against a ban or a drain that reaches the process beside the one that was told, and not the one behind that.
#[test]
fn all_of_three_processes_are_told_of_bans_and_drains() {
    let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
    let scene = Scene::new(&[&backends[0], &backends[1]]);
    let processes: Vec<Gateway> = (0..3).map(|_| scene.process()).collect();
    let until = Instant::now() + TEST_TIMEOUT;
    let skipped = |n: u32| {
        for process in &processes {
            while process.metrics()["skipped_backends"] != n {
                assert!(Instant::now() < until, "{} {}", process.metrics(), process.log());
            }
        }
    };
    for (told, taken_back) in [(0, 2), (1, 1), (2, 0)] {
        assert_eq!(processes[told].ops_request("PUT /backends/disable?id=s-0").status(), 200);
        skipped(1);
        assert_eq!(processes[taken_back].ops_request("PUT /backends/enable?id=s-0").status(), 200);
        skipped(0);
    }
    let ready = |status: u16| {
        for process in &processes {
            while process.ops_request("GET /ready").status() != status {
                assert!(Instant::now() < until, "{}", process.log());
            }
        }
    };
    assert_eq!(processes[2].ops_request("PUT /drain").status(), 200);
    ready(503);
    assert_eq!(processes[0].ops_request("PUT /undrain").status(), 200);
    ready(200);
}

/// Guards against a start that fails for what another process left, or does not say.
#[test]
fn odd_state_does_not_keep_a_process_from_its_start() {
    let backend = FakeServer::start(|_| ok("x"));
    for odd in [None, Some(&b""[..]), Some(b"{\"state\":{\"list\":"), Some(b"[1,2]\n{}\n")] {
        let scene = Scene::new(&[&backend]);
        let other = UnixListener::bind(scene.socket()).expect("a socket");
        // A stale one is in the folder with nobody behind it.
        let talk = odd.map(|text| {
            std::thread::spawn(move || {
                let (mut talk, _) = other.accept().expect("a caller");
                talk.write_all(text).expect("it listens");
            })
        });
        let process = scene.process();
        assert_eq!(process.client().ask(&request("consulta", 1, 2000)).status(), 200);
        talk.into_iter().for_each(|t| t.join().expect("the talk"));
    }
}

/// Guards against units that a process leaves and nobody adds, or two do: over upgrades in a row, and where the one
/// in the middle of three ends first.
#[test]
fn what_a_process_leaves_is_added_once() {
    for three in [false, true] {
        let backend = FakeServer::start(|_| ok("x"));
        let scene = Scene::new(&[&backend]);
        let mut spent = 0.0;
        let mut ask = |client: &mut Client| {
            assert_eq!(client.ask(&request("consulta", 1, 3000)).status(), 200);
            spent += 1.0;
            spent
        };
        let mut first = scene.process();
        ask(&mut first.client());
        let mut middle = scene.process();
        if !three {
            first.terminate();
            assert!(first.wait_for_exit().success());
        }
        // A connection that the middle one has accepted.
        let passed = || middle.metrics()["passed"]["consulta"].as_u64();
        let mut client = loop {
            let (mut client, before) = (middle.client(), passed());
            ask(&mut client);
            if passed() > before {
                break client;
            }
        };
        let last = scene.process();
        scene.numbers.wait_for_sum(ask(&mut client));
        // It ends with units that it could not tell the counter.
        scene.away.store(1, Ordering::SeqCst);
        let spent = ask(&mut client);
        middle.terminate();
        assert!(middle.wait_for_exit().success());
        scene.away.store(0, Ordering::SeqCst);
        scene.numbers.wait_for_sum(spent);
        std::thread::sleep(Duration::from_millis(1_500));
        assert_eq!(scene.numbers.sum(), spent, "three: {three}");
        assert_eq!(last.ops_request("GET /ready").status(), 200);
    }
}

/// Guards against a handover that others on its socket prevent, whatever they say or leave out: the next process is
/// told all the same, and what operators say then reaches both.
#[test]
fn odd_talkers_do_not_keep_the_next_process_from_being_told() {
    let talkers: [(&str, Vec<u8>); 6] = [
        ("silence", Vec::new()),
        ("half a line", b"{\"bar\":{\"name\":\"s-0\",\"out\":tr".to_vec()),
        ("no word", b"[1,2]\n".to_vec()),
        ("no text", vec![0xff; 1000]),
        (
            "a state",
            b"{\"state\":{\"list\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\"barred\":[]}}\n"
                .to_vec(),
        ),
        ("a long line", vec![b' '; 9 << 20]),
    ];
    for (what, words) in talkers {
        for stays in [false, true] {
            let backends = [FakeServer::start(|_| ok("0")), FakeServer::start(|_| ok("1"))];
            let scene = Scene::new(&[&backends[0], &backends[1]]);
            let old = scene.process();
            let talks: Vec<UnixStream> = (0..3)
                .map(|_| {
                    let mut talk = UnixStream::connect(scene.socket()).expect("it listens");
                    // It may be cut off in the middle.
                    let _ = talk.write_all(&words);
                    talk
                })
                .filter(|_| stays)
                .collect();
            let new = scene.process();
            assert!(new.log().contains("another process of this gateway serves"), "{what}: {}", new.log());
            assert_eq!(old.ops_request("PUT /backends/disable?id=s-1").status(), 200);
            let until = Instant::now() + TEST_TIMEOUT;
            while new.metrics()["skipped_backends"] != 1 {
                assert!(Instant::now() < until, "{what}: the new one is not told");
            }
            assert_eq!(new.client().ask(&request("consulta", 1, 2000)).body, b"0", "{what}");
            drop(talks);
        }
    }
}

/// Guards against a start that fails, or work that is not done, for want of a place to meet.
#[test]
fn a_process_serves_without_a_place_to_meet() {
    let backend = FakeServer::start(|_| ok("x"));
    let spoil: [fn(&Scene); 4] = [
        |scene| std::fs::remove_dir(scene.folder()).expect("it is empty"),
        |scene| std::fs::set_permissions(scene.folder(), Permissions::from_mode(0o555)).expect("it is ours"),
        |scene| std::fs::create_dir(scene.socket()).expect("it is ours"),
        |scene| std::fs::write(scene.socket(), "no socket").expect("it is ours"),
    ];
    for spoil in spoil {
        let scene = Scene::new(&[&backend]);
        spoil(&scene);
        let mut process = scene.process();
        assert_eq!(process.client().ask(&request("consulta", 1, 2000)).status(), 200);
        process.terminate();
        assert!(process.wait_for_exit().success());
    }
}

/// Guards against requests lost where the old process is told to end before the new one is ready.
#[test]
fn an_old_process_that_ends_too_soon_loses_nothing() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = Scene::new(&[&backend]);
    let mut old = scene.process();
    let new = Gateway::launch(&scene.start, scene.discovery.server.address, scene.counter.address);
    old.terminate();
    // Until well after the one has ended and the other serves.
    for customer in 0..400 {
        let answer = new.client().ask(&request("consulta", customer, 2000));
        assert_eq!(answer.status(), 200, "{}{}", new.log(), old.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(old.wait_for_exit().success());
    new.wait_until_serving();
}

/// Guards against half of the quota left unused for a process that hangs: it is given longer than it may take to be
/// ready, and let go.
#[test]
fn a_talker_that_says_nothing_is_let_go() {
    let scene = Scene::new(&[]);
    let began = Instant::now();
    let _process = Gateway::start(&scene.start, scene.discovery.server.address, scene.counter.address);
    let mut talk = UnixStream::connect(scene.socket()).expect("it listens");
    talk.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let mut told = String::new();
    talk.read_to_string(&mut told).expect("it ends");
    assert!(told.starts_with("{\"state\":") && told.ends_with('\n'), "{told}");
    assert!(began.elapsed() > Duration::from_secs(6), "{:?}", began.elapsed());
}

/// Guards against units lost with calls that are out as a process ends: turned away then, they are added by the one
/// that goes on.
#[test]
fn what_is_turned_away_as_a_process_ends_is_added() {
    let backend = FakeServer::start(|_| ok("x"));
    let mut scene = Scene::new(&[&backend]);
    // A call may be out for longer than the end takes.
    scene.start.changes = &[("\"count_limit_us\":80000", "\"count_limit_us\":2000000")];
    let mut old = scene.process();
    let mut client = old.client();
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    (0..8).for_each(&mut ask);
    scene.numbers.wait_for_sum(8.0);
    let _new = scene.process();
    scene.counter.requests.try_iter().for_each(drop);
    scene.away.store(1_500, Ordering::SeqCst);
    (0..40).for_each(|n| ask(n % 8));
    scene.counter.next_request();
    old.terminate();
    assert!(old.wait_for_exit().success());
    scene.away.store(0, Ordering::SeqCst);
    scene.numbers.wait_for_sum(48.0);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(scene.numbers.sum(), 48.0);
}

/// Guards against units lost of customers that came first after the next process had been told what is known.
#[test]
fn units_of_customers_that_only_the_ending_process_has_met_are_added() {
    let backend = FakeServer::start(|_| ok("x"));
    let scene = Scene::new(&[&backend]);
    let mut old = scene.process();
    let mut client = old.client();
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    ask(1);
    scene.numbers.wait_for_sum(1.0);
    let _new = scene.process();
    scene.away.store(1, Ordering::SeqCst);
    (1..9).for_each(&mut ask);
    old.terminate();
    assert!(old.wait_for_exit().success());
    scene.away.store(0, Ordering::SeqCst);
    scene.numbers.wait_for_sum(9.0);
}

/// Guards against units that wait for the end of a long answer to be handed over, and are lost as SIGKILL comes first.
#[test]
fn units_are_handed_over_before_a_long_answer_ends() {
    let backend = backend_slow_for_customer_nine();
    let scene = Scene::new(&[&backend]);
    let old = scene.process();
    let (mut client, mut long) = (old.client(), old.client());
    let mut ask = |customer| assert_eq!(client.ask(&request("consulta", customer, 3000)).status(), 200);
    ask(1);
    scene.numbers.wait_for_sum(1.0);
    let _new = scene.process();
    scene.away.store(1, Ordering::SeqCst);
    long.send(&request("orden-nueva", 9, 5000));
    assert_eq!(long.read_line(), "HTTP/1.1 200 OK");
    (1..9).for_each(&mut ask);
    let told = Instant::now();
    old.terminate();
    // SIGKILL comes no sooner.
    std::thread::sleep(Duration::from_millis(3_700).saturating_sub(told.elapsed()));
    old.signal("-KILL");
    scene.away.store(0, Ordering::SeqCst);
    scene.numbers.wait_for_sum(10.0);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(scene.numbers.sum(), 10.0);
}

/// Waits until the file is there.
fn exists(path: &std::path::Path) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !path.exists() {
        assert!(Instant::now() < until, "{} is not there", path.display());
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against an upgrade that fails and is begun again: the second new process knew of no ban, and both processes
/// spent the whole of the gateway's part.
#[test]
fn the_process_that_follows_a_failed_one_is_told_of_bans() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let scene = Scene::new(&[&one, &other]);
    let old = scene.process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    // Killed, as a version is that does not come up well.
    drop(scene.process());
    let until = Instant::now() + TEST_TIMEOUT;
    while !old.log().contains("the other process is gone") {
        assert!(Instant::now() < until, "the end of the other process is not seen: {}", old.log());
        std::thread::sleep(Duration::from_millis(5));
    }
    let new = scene.process();
    assert_eq!(new.metrics()["skipped_backends"], 1, "{}", new.log());
    assert!(new.log().contains("another process of this gateway serves"), "{}", new.log());
}

/// Guards against a folder that is cleaned up: a process could not be found any more.
#[test]
fn the_place_to_meet_is_made_again_where_it_is_removed() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let scene = Scene::new(&[&one, &other]);
    let old = scene.process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    std::fs::remove_file(scene.socket()).expect("a socket");
    exists(&scene.socket());
    assert_eq!(scene.process().metrics()["skipped_backends"], 1);
}

/// Guards against a place to meet that can't be had at the start, and is not looked for again.
#[test]
fn the_place_to_meet_is_made_once_its_folder_is_there() {
    let (one, other) = (FakeServer::start(|_| ok("x")), FakeServer::start(|_| ok("x")));
    let scene = Scene::new(&[&one, &other]);
    std::fs::remove_dir_all(scene.folder()).expect("a folder");
    let old = scene.process();
    assert_eq!(old.ops_request("PUT /backends/disable?id=s-0").status(), 200);
    std::fs::create_dir_all(scene.folder()).expect("a folder");
    exists(&scene.socket());
    assert_eq!(scene.process().metrics()["skipped_backends"], 1);
}
