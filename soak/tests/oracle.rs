//! Tests of the oracle on handwritten records: a sound record breaks no invariant, and each kind of violation is found.

use gateway_soak::oracle::{find_breaks, Invariant};
use gateway_soak::scenario::{DrawOptions, Scenario, GREEDY_CUSTOMER};
use gateway_soak::trace::{
    AttemptOutcome, BackendState, ClientOutcome, Effect, Entry, Event, Moment, SentRequest,
};
use std::time::Duration;

/// A complete answer with status 200 and the right body.
const SERVED: ClientOutcome = ClientOutcome::Answered { status: 200, body_fits: true };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A run without troubles, with the settings that the records below assume.
fn scenario() -> Scenario {
    let mut scenario = Scenario::draw(1, &DrawOptions::default()).with_troubles(&[]);
    scenario.settings.hedging = false;
    scenario.settings.max_attempts = 3;
    scenario.settings.key_window_ms = 400;
    scenario.settings.drain_grace_ms = 500;
    scenario.settings.pushed = true;
    scenario
}

/// An event at a time in milliseconds from the start of the run.
fn at(ms_from_start: u64, event: Event) -> Entry {
    Entry { at: ms(ms_from_start), event }
}

/// A request to gateway 0 whose client waits for 1 s.
fn sent(id: u64, effect: Effect) -> Event {
    let (timeout, customer) = (ms(1_000), 100);
    let (long_answer, counts_for_recovery) = (false, true);
    Event::RequestSent(SentRequest {
        id,
        gateway: 0,
        effect,
        customer,
        timeout,
        long_answer,
        counts_for_recovery,
    })
}

fn ended(id: u64, end: ClientOutcome) -> Event {
    Event::RequestEnded { id, end }
}

fn began(id: u64, attempt: u64, backend: usize, first_byte: Moment, time_left: Duration) -> Event {
    Event::AttemptBegan { id, backend, gateway: 0, first_byte, stated_time_left: Some(time_left), attempt }
}

/// The start and end of an attempt from gateway 0, in milliseconds. The stated time left fits a request sent at 0.
fn attempt(id: u64, number: u64, backend: usize, from: u64, to: u64, end: AttemptOutcome) -> [Entry; 2] {
    let time_left = ms(1_000_u64.saturating_sub(from));
    [
        at(from, began(id, number, backend, ms(from), time_left)),
        at(to, Event::AttemptEnded { attempt: number, end }),
    ]
}

/// The record of a request with id 1 that is sent at 0 ms, has these attempts and ends at `answered` ms.
fn request(effect: Effect, attempts: &[[Entry; 2]], answered: u64, end: ClientOutcome) -> Vec<Entry> {
    let mut entries = vec![at(0, sent(1, effect)), at(answered, ended(1, end))];
    entries.extend(attempts.iter().flatten().cloned());
    entries
}

/// Returns the invariants that the oracle finds broken, in their order of declaration.
fn broken_invariants(mut entries: Vec<Entry>) -> Vec<Invariant> {
    entries.sort_by_key(|entry| entry.at);
    find_breaks(&entries, &scenario()).into_iter().map(|b| b.invariant).collect()
}

#[test]
fn a_sound_record_holds() {
    let served = attempt(1, 1, 0, 5, 50, AttemptOutcome::Served);
    assert_eq!(broken_invariants(request(Effect::Unsafe, &[served], 55, SERVED)), []);
    let rejected = attempt(1, 1, 0, 5, 8, AttemptOutcome::Rejected);
    let again = attempt(1, 2, 1, 12, 50, AttemptOutcome::Served);
    assert_eq!(broken_invariants(request(Effect::Unsafe, &[rejected, again], 55, SERVED)), []);
    let refused = ClientOutcome::Answered { status: 429, body_fits: true };
    assert_eq!(broken_invariants(request(Effect::Unsafe, &[], 1_400, refused)), []);
    assert_eq!(broken_invariants(request(Effect::Pure, &[], 10, ClientOutcome::Unread)), []);
}

#[test]
fn a_request_without_its_final_answer_is_found() {
    let attempts = [attempt(1, 1, 0, 5, 50, AttemptOutcome::Served)];
    for end in [ClientOutcome::Closed, ClientOutcome::NoAnswer, ClientOutcome::Unread] {
        let found = broken_invariants(request(Effect::Pure, &attempts, 100, end.clone()));
        assert_eq!(found, [Invariant::FinalAnswer], "{end:?}");
    }
    assert_eq!(broken_invariants(request(Effect::Pure, &attempts, 1_700, SERVED)), [Invariant::FinalAnswer]);
    // The requests of a killed process are lost, which breaks no invariant.
    let mut killed = request(Effect::Pure, &attempts, 100, ClientOutcome::Closed);
    killed.push(at(60, Event::ProcessKilled { gateway: 0, planned: false }));
    assert_eq!(broken_invariants(killed), []);
}

#[test]
fn an_answer_that_is_not_its_own_or_cut_off_is_found() {
    let attempts = [attempt(1, 1, 0, 5, 50, AttemptOutcome::Served)];
    let foreign = ClientOutcome::Answered { status: 200, body_fits: false };
    assert_eq!(broken_invariants(request(Effect::Pure, &attempts, 60, foreign)), [Invariant::TrueAnswer]);
    assert_eq!(
        broken_invariants(request(Effect::Pure, &attempts, 60, ClientOutcome::Truncated)),
        [Invariant::TrueAnswer]
    );
}

#[test]
fn repeats_beyond_class_window_and_number_are_found() {
    let broke = attempt(1, 1, 0, 5, 50, AttemptOutcome::Aborted);
    let soon = attempt(1, 2, 1, 60, 90, AttemptOutcome::Served);
    let late = attempt(1, 2, 1, 500, 540, AttemptOutcome::Served);
    let both = |second: &[Entry; 2]| [broke.clone(), second.clone()];
    assert_eq!(broken_invariants(request(Effect::Unsafe, &both(&soon), 95, SERVED)), [Invariant::NoRepeat]);
    assert_eq!(broken_invariants(request(Effect::Keyed, &both(&soon), 95, SERVED)), []);
    assert_eq!(broken_invariants(request(Effect::Keyed, &both(&late), 545, SERVED)), [Invariant::NoRepeat]);
    assert_eq!(broken_invariants(request(Effect::Pure, &both(&late), 545, SERVED)), []);
    let in_flight = attempt(1, 1, 0, 5, 300, AttemptOutcome::Cancelled);
    assert_eq!(
        broken_invariants(request(Effect::Pure, &[in_flight, soon.clone()], 95, SERVED)),
        [Invariant::AttemptLimit]
    );
    let many: Vec<_> =
        (0..4).map(|n| attempt(1, n, 0, 10 + 20 * n, 15 + 20 * n, AttemptOutcome::Aborted)).collect();
    assert_eq!(broken_invariants(request(Effect::Pure, &many, 200, SERVED)), [Invariant::AttemptLimit]);
}

#[test]
fn attempts_for_clients_that_left_or_with_too_much_time_are_found() {
    let late = attempt(1, 1, 0, 400, 450, AttemptOutcome::Cancelled);
    let mut left = request(Effect::Pure, &[late], 100, ClientOutcome::Left);
    left.push(at(100, Event::ClientLeft { id: 1 }));
    assert_eq!(broken_invariants(left), [Invariant::ClientLeft]);
    let overstated = [
        at(400, began(1, 1, 0, ms(400), ms(900))),
        at(450, Event::AttemptEnded { attempt: 1, end: AttemptOutcome::Served }),
    ];
    assert_eq!(
        broken_invariants(request(Effect::Pure, &[overstated], 455, SERVED)),
        [Invariant::DeadlineTold]
    );
}

#[test]
fn sends_to_backends_that_drain_or_are_out_by_hand_are_found() {
    let state = BackendState::Draining;
    let drains = [
        Event::StatePublished { backend: 0, state },
        Event::StateDelivered { gateway: 0, backend: 0, state },
    ];
    let ban = [Event::BackendDisabled { gateway: 0, backend: 0, disabled: true }];
    let cases: [(&[Event], Invariant); 2] = [(&drains, Invariant::Drain), (&ban, Invariant::Ban)];
    for (events, invariant) in cases {
        for (first_byte, expected) in [(400, vec![]), (800, vec![invariant])] {
            let attempts = [attempt(1, 1, 0, first_byte, first_byte + 20, AttemptOutcome::Served)];
            let mut entries = request(Effect::Pure, &attempts, first_byte + 25, SERVED);
            entries.extend(events.iter().map(|event| at(1, event.clone())));
            assert_eq!(broken_invariants(entries), expected, "{events:?} at {first_byte}");
        }
    }
}

#[test]
fn too_much_for_a_cold_backend_or_a_quota_is_found() {
    let scenario = scenario();
    let mut cold = vec![
        at(0, Event::BackendStarted { backend: 0 }),
        at(0, Event::StateDelivered { gateway: 0, backend: 0, state: BackendState::Serving }),
    ];
    let capacity = scenario.slots as f64 * 1e3 / scenario.work_ms;
    let allowed = scenario.settings.collapse_multiple * scenario.settings.cold_capacity * capacity * 2.0;
    let many = (allowed + 3.0 * allowed.sqrt() + 12.0) as u64;
    cold.extend((0..many).flat_map(|n| attempt(n, n, 0, 1 + n, 2 + n, AttemptOutcome::Served)));
    assert_eq!(broken_invariants(cold), [Invariant::SlowStart]);
    let mut greedy = vec![at(0, Event::MeasureBegan), at(4_000, Event::MeasureEnded)];
    for n in 0..120 {
        let from = 1 + 30 * n;
        let request = SentRequest {
            id: n,
            gateway: 0,
            effect: Effect::Pure,
            customer: GREEDY_CUSTOMER,
            timeout: ms(1_000),
            long_answer: false,
            counts_for_recovery: false,
        };
        greedy.push(at(from, Event::RequestSent(request)));
        greedy.push(at(from + 1, began(n, n, 0, ms(from), ms(900))));
        greedy.push(at(from + 9, Event::AttemptEnded { attempt: n, end: AttemptOutcome::Served }));
        greedy.push(at(from + 10, ended(n, SERVED)));
    }
    assert_eq!(broken_invariants(greedy), [Invariant::Quota]);
}

#[test]
fn processes_that_end_hang_or_grow_are_found() {
    let sound = || Event::FinalMetrics {
        gateway: 0,
        violations: 0,
        descriptors: 20,
        descriptors_when_ready: 14,
        memory_kb: (6_000, 5_000),
        tasks: Some(12),
        healthy: true,
    };
    let changed = |change: fn(&mut u64, &mut usize, &mut (u64, u64), &mut bool)| {
        let mut event = sound();
        if let Event::FinalMetrics { violations, descriptors, memory_kb, healthy, .. } = &mut event {
            change(violations, descriptors, memory_kb, healthy);
        }
        event
    };
    let cases = [
        (sound(), vec![]),
        (changed(|_, descriptors, _, _| *descriptors = 40), vec![Invariant::Growth]),
        (changed(|_, _, memory, _| memory.0 = 90_000), vec![Invariant::Growth]),
        (changed(|violations, _, _, _| *violations = 1), vec![Invariant::Guard]),
        (changed(|_, _, _, healthy| *healthy = false), vec![Invariant::Serves]),
        (Event::FinalMetricsMissing { gateway: 0 }, vec![Invariant::Serves]),
        (Event::LogAlarm { line: "guard: second_copy".to_owned() }, vec![Invariant::Guard]),
        (Event::ProcessReady { pid: 1, after: None }, vec![Invariant::Process]),
        (Event::ProcessReady { pid: 1, after: Some(ms(300)) }, vec![]),
        (
            Event::ProcessExited {
                gateway: 0,
                pid: 1,
                exit_status: "exit status: 101".to_owned(),
                expected: false,
            },
            vec![Invariant::Process],
        ),
        (Event::BadPeer { gateway: 0, ended_after: None }, vec![Invariant::BadPeer]),
        (Event::BadPeer { gateway: 0, ended_after: Some(ms(2_500)) }, vec![]),
    ];
    for (event, expected) in cases {
        assert_eq!(broken_invariants(vec![at(100, event.clone())]), expected, "{event:?}");
    }
}

#[test]
fn a_fleet_that_does_not_recover_is_found() {
    let mut entries = vec![at(0, Event::MeasureBegan), at(4_000, Event::MeasureEnded)];
    for id in 0..20 {
        entries.push(at(100 + id, sent(id, Effect::Pure)));
        let status = if id < 9 { 200 } else { 429 };
        entries.push(at(200 + id, ended(id, ClientOutcome::Answered { status, body_fits: true })));
    }
    assert_eq!(broken_invariants(entries), [Invariant::Serves, Invariant::Recovery]);
}

#[test]
fn a_seed_is_the_whole_draw() {
    let text = |seed| serde_json::to_string(&Scenario::draw(seed, &DrawOptions::default())).expect("text");
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}
