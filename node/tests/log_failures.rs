//! The gateway serves although its log can't be written.

mod common;

use common::*;
use std::fs::File;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// Starts a gateway with this log and one backend.
fn start_fixture(log: OwnedFd, backend: &FakeServer) -> Fixture {
    let options = GatewayOptions { log: Some(log), ..GatewayOptions::default() };
    Fixture::new(&options, serving_entries(&[backend]), fake_counter())
}

/// Guards against a process that exits because the disk of its log is full.
#[test]
fn a_log_on_a_full_disk_ends_nothing() {
    let full = File::options().write(true).open("/dev/full").expect("a disk that is full");
    let backend = FakeServer::start(|_| ok("x"));
    let mut fixture = start_fixture(full.into(), &backend);
    // Each reload writes to the log.
    for _ in 0..3 {
        fixture.gateway.reload(fixture.discovery.server.address, fixture.counter.address);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(fixture.gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
    fixture.gateway.terminate();
    assert!(fixture.gateway.wait_for_exit().success());
}

/// Guards against timers that stop when the log's reader has gone and a report can't be written: no later deadline
/// would be kept.
#[test]
fn deadlines_are_kept_after_the_reader_of_the_log_has_gone() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let silent_for_nine = |request: &HttpMessage| match request.path().ends_with('9') {
        true => Reaction::Silence,
        false => ok("x"),
    };
    let backend = FakeServer::start(silent_for_nine);
    let fixture = start_fixture(writer.into(), &backend);
    drop(reader);
    // With traffic, the report is logged every 5 s.
    let traffic_end = Instant::now() + Duration::from_millis(6_500);
    while Instant::now() < traffic_end {
        assert_eq!(fixture.gateway.client().ask(&request("consulta", 8, 1_000)).status(), 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    let asked = Instant::now();
    assert_eq!(fixture.gateway.client().ask(&request("orden-nueva", 9, 300)).status(), 504);
    assert!(asked.elapsed() < Duration::from_secs(1), "answered after {:?}", asked.elapsed());
}

/// Guards against a process that blocks on a log that is not read, and so delays all clients.
#[test]
fn a_log_that_nobody_reads_holds_up_nobody() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    let filler = writer.try_clone().expect("a second handle");
    // Once the pipe is full, the last write blocks for ever.
    std::thread::spawn(move || while writer.write_all(&[b'x'; 4096]).is_ok() {});
    std::thread::sleep(Duration::from_millis(200));
    let backend = FakeServer::start(|_| ok("x"));
    let fixture = start_fixture(filler.into(), &backend);
    assert_eq!(fixture.gateway.client().ask(&request("consulta", 9, 1_000)).status(), 200);
}
