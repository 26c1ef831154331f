//! Two processes of one gateway, on loopback sockets. Each test guards against one way to go wrong.

mod common;

use common::*;
use std::os::unix::net::UnixListener;

struct Scene {
    start: Start,
    discovery: Discovery,
    counter: Fake,
}

impl Scene {
    fn new(backends: &[&Fake]) -> Self {
        let entries =
            backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "SERVING"));
        let start = Start { platform: Some(Platform::new()), ..Start::default() };
        Scene { start, discovery: Discovery::start(entries.collect()), counter: counter() }
    }

    /// One more process of the gateway.
    fn process(&self) -> Gateway {
        let process = Gateway::launch(&self.start, self.discovery.fake.address, self.counter.address);
        process.serves();
        process
    }

    fn folder(&self) -> &std::path::Path {
        &self.start.platform.as_ref().expect("a platform").folder
    }
}

/// Guards against requests lost between two processes, and against clients held by the one that ends.
#[test]
fn a_new_process_takes_over_from_one_that_serves() {
    let backend = Fake::start(|_| ok("x"));
    let scene = Scene::new(&[&backend]);
    let mut old = scene.process();
    let mut kept = old.client();
    assert_eq!(kept.ask(&request("consulta", 1, 2000)).status(), 200);
    let new = scene.process();
    old.terminate();
    // Its other address tells that it ends; the clients' address serves on, whoever answers there.
    while old.call("GET /ready").status() == 200 {}
    assert_eq!(new.health(), Some(200));
    let answer = kept.ask(&request("consulta", 2, 2000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    for n in 3..9 {
        let answer = new.client().ask(&request("consulta", n, 2000));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    assert!(old.wait().success());
    assert_eq!(new.client().ask(&request("consulta", 9, 2000)).status(), 200);
}

/// Guards against a backend that operators restart being used by the process that was not told.
#[test]
fn a_backend_out_by_hand_is_out_for_both_and_a_drain_too() {
    let backends = [Fake::start(|_| ok("0")), Fake::start(|_| ok("1"))];
    let scene = Scene::new(&[&backends[0], &backends[1]]);
    let old = scene.process();
    assert_eq!(old.call("PUT /backends/disable?id=s-0").status(), 200);
    let new = scene.process();
    let skipped = |p: &Gateway, n: u32| while p.figures()["skipped_backends"] != n {};
    skipped(&new, 1);
    assert_eq!(new.call("PUT /backends/enable?id=s-0").status(), 200);
    skipped(&old, 0);
    assert_eq!(new.call("PUT /backends/disable?id=s-1").status(), 200);
    skipped(&old, 1);
    assert_eq!(old.call("PUT /drain").status(), 200);
    while new.call("GET /ready").status() == 200 {}
    assert_eq!(new.call("PUT /undrain").status(), 200);
    while old.call("GET /ready").status() != 200 {}
}

/// Guards against a start that fails for what another process left, or does not say.
#[test]
fn odd_state_does_not_keep_a_process_from_its_start() {
    let backend = Fake::start(|_| ok("x"));
    for odd in [None, Some(&b""[..]), Some(b"{\"state\":{\"list\":"), Some(b"[1,2]\n{}\n")] {
        let scene = Scene::new(&[&backend]);
        let address = scene.start.platform.as_ref().expect("a platform").address();
        let other = UnixListener::bind(scene.folder().join(format!("{address}.sock"))).expect("a socket");
        // A stale one is in the folder with nobody behind it.
        let talk = odd.map(|text| {
            std::thread::spawn(move || {
                let (mut talk, _) = other.accept().expect("a caller");
                std::io::Write::write_all(&mut talk, text).expect("it listens");
            })
        });
        let process = scene.process();
        assert_eq!(process.client().ask(&request("consulta", 1, 2000)).status(), 200);
        talk.into_iter().for_each(|t| t.join().expect("the talk"));
    }
}
