//! A log that can't be written: the gateway serves all the same.

mod common;

use common::*;
use std::fs::File;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// A gateway whose log goes there, with one backend.
fn scene(log: OwnedFd, backend: &FakeServer) -> Fixture {
    let start = GatewayOptions { log: Some(log), ..GatewayOptions::default() };
    Fixture::new(&start, serving_entries(&[backend]), fake_counter())
}

/// Guards against a process that ends because its log's disk is full.
#[test]
fn a_log_on_a_full_disk_ends_nothing() {
    let full = File::options().write(true).open("/dev/full").expect("a disk that is full");
    let backend = FakeServer::start(|_| ok("x"));
    let mut scene = scene(full.into(), &backend);
    // Each reload is told in the log.
    for _ in 0..3 {
        scene.gateway.reload(scene.discovery.server.address, scene.counter.address);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(scene.gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
    scene.gateway.terminate();
    assert!(scene.gateway.wait_for_exit().success());
}

/// Guards against timers that stop with the first report that nobody reads: no deadline would be kept any more.
#[test]
fn deadlines_are_kept_after_the_reader_of_the_log_has_gone() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let silent_for_nine = |seen: &HttpMessage| match seen.path().ends_with('9') {
        true => Reaction::Silence,
        false => ok("x"),
    };
    let backend = FakeServer::start(silent_for_nine);
    let scene = scene(writer.into(), &backend);
    drop(reader);
    // The report comes every 5 s with traffic.
    let until = Instant::now() + Duration::from_millis(6_500);
    while Instant::now() < until {
        assert_eq!(scene.gateway.client().ask(&request("consulta", 8, 1_000)).status(), 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    let asked = Instant::now();
    assert_eq!(scene.gateway.client().ask(&request("orden-nueva", 9, 300)).status(), 504);
    assert!(asked.elapsed() < Duration::from_secs(1), "answered after {:?}", asked.elapsed());
}

/// Guards against a process that waits for the reader of its log, and lets all clients wait with it.
#[test]
fn a_log_that_nobody_reads_holds_up_nobody() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    let filler = writer.try_clone().expect("a second handle");
    // Once it is full, the last write waits for good.
    std::thread::spawn(move || while writer.write_all(&[b'x'; 4096]).is_ok() {});
    std::thread::sleep(Duration::from_millis(200));
    let backend = FakeServer::start(|_| ok("x"));
    let scene = scene(filler.into(), &backend);
    assert_eq!(scene.gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
}
