//! The measurement of the memory that the processes of a gateway hold, tested without a gateway process.

use badgerglade::config::ProcessUsage;
use badgerglade::memory::gauge::{MemoryGauge, Purpose};

/// Guards against taking requests beyond the memory, measured over this process and the other one of an upgrade.
#[test]
fn there_is_no_room_once_both_processes_hold_too_much() {
    const MEMORY_BYTES: usize = 1 << 40;
    let gauge = MemoryGauge::new(MEMORY_BYTES);
    assert!(gauge.held() > 0 && gauge.has_room(Purpose::Request));
    gauge.set_held_by_other(Some(MEMORY_BYTES));
    assert!(!gauge.has_room(Purpose::Request));
    // A request that has arrived whole goes before one that is still to come.
    gauge.set_held_by_other(Some(MEMORY_BYTES * 9 / 16));
    assert!(gauge.has_room(Purpose::Request) && !gauge.has_room(Purpose::Upload));
    gauge.set_held_by_other(None);
    assert!(gauge.has_room(Purpose::Request) && gauge.has_room(Purpose::Upload));
    // A process that has not told its memory is not taken to hold none.
    let nearly_full = MemoryGauge::new(gauge.held() * 7 / 4);
    assert!(nearly_full.has_room(Purpose::Request));
    nearly_full.set_held_by_other(Some(0));
    assert!(!nearly_full.has_room(Purpose::Request));
    assert!(!MemoryGauge::new(1 << 20).has_room(Purpose::Request), "this process holds more than a megabyte");
}

/// Guards against an upgrade from a version that does not tell its memory: what it tells has to be understood.
#[test]
fn the_usage_of_an_earlier_version_is_understood() {
    let usage: ProcessUsage = serde_json::from_str(r#"{"clients":3,"backends":2}"#).expect("a usage");
    assert_eq!((usage.clients, usage.backends, usage.resident_bytes), (3, 2, 0));
}
