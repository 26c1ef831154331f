//! Tests of the five rules that a gateway must never break: (1) each request gets one final answer in time;
//! (2) a request that must not run twice is not sent again once it may have run; (3) backends that are
//! draining, gone or disabled get no new requests; (4) cold backends are not overloaded; (5) a plan's hard
//! ceiling is not exceeded. Tests of related behavior have no number.

mod common;
use caperwind::*;
use common::*;

#[test]
fn rule_1_a_silent_backend_still_gets_its_client_one_answer() {
    let mut harness = Harness::new(config(), 3);
    let first = sent(&harness.request(1, 5));
    assert_eq!(first.len(), 1);
    let actions = harness.advance(3 * SEC);
    assert_eq!(final_answers(&actions).len(), 1, "one final answer at the deadline");
    let late = harness.end_attempt(1, 0, first[0].1, Outcome::Timeout, 2000);
    assert!(final_answers(&late).is_empty() && sent(&late).is_empty(), "nothing after the answer");
}

#[test]
fn rule_1_a_request_held_for_the_counter_is_answered_before_its_deadline() {
    let mut harness = Harness::new(config(), 3);
    // The first four requests use up this gateway's share of 8 / 2 units; the fifth waits for a fresh total.
    let mut actions = Vec::new();
    for id in 1..=5 {
        actions.extend(harness.request(id, 5));
    }
    assert_eq!(sent(&actions).len(), 4);
    assert!(final_answers(&actions).is_empty(), "the fifth is held");
    let later = harness.advance(3 * SEC);
    assert!(
        final_answers(&later).iter().any(|answer| answer.0 == 5),
        "the gateway answers although the counter did not"
    );
}

#[test]
fn rule_1_an_id_the_client_left_gets_no_further_attempt() {
    let mut harness = Harness::new(config(), 3);
    let first = sent(&harness.request(1, 5))[0].1;
    harness.feed(Event::ClientGone { id: RequestId(1) });
    let after = harness.end_attempt(1, 0, first, Outcome::ConnectFailed, 5);
    assert!(sent(&after).is_empty() && final_answers(&after).is_empty());
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_is_failed_and_not_resent() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut harness = Harness::new(with_effect(Effect::Unsafe), 3);
        let backend = sent(&harness.request(1, 5))[0].1;
        let mut actions = harness.end_attempt(1, 0, backend, outcome, 5);
        actions.extend(harness.advance(3 * SEC));
        assert!(sent(&actions).is_empty(), "{outcome:?} must not be sent again");
        assert_eq!(final_answers(&actions), vec![(1, false)], "{outcome:?} is a failure, not a refusal");
    }
}

#[test]
fn rule_2_an_unsafe_request_that_never_ran_goes_elsewhere_at_once() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut harness = Harness::new(with_effect(Effect::Unsafe), 3);
        let backend = sent(&harness.request(1, 5))[0].1;
        let again = sent(&harness.end_attempt(1, 0, backend, outcome, 5));
        assert!(again.len() == 1 && again[0].1 != backend);
    }
}

#[test]
fn rule_2_a_keyed_request_stays_in_its_group_and_window() {
    let config_with = |group| with_effect(Effect::Keyed { group, window: SEC });
    for (group, expected) in [(KeyGroup::Cell, 0), (KeyGroup::Zone, 0), (KeyGroup::All, 1)] {
        let mut harness = Harness::new(config_with(group), 1);
        let backend = sent(&harness.request(1, 5))[0].1;
        let elsewhere = BackendRow {
            cell: CellIndex(9),
            zone: ZoneIndex(9),
            ..BackendRow::new(backend_id(7), BackendState::Ready)
        };
        harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: vec![elsewhere] });
        assert_eq!(sent(&harness.end_attempt(1, 0, backend, Outcome::Error, 5)).len(), expected, "{group:?}");
        let mut late = Harness::new(config_with(group), 3);
        let backend = sent(&late.request(1, 5))[0].1;
        late.now += SEC;
        assert!(
            sent(&late.end_attempt(1, 0, backend, Outcome::Error, 1000)).is_empty(),
            "{group:?} past its window"
        );
    }
}

#[test]
fn rule_2_a_keyed_request_of_a_cell_that_may_have_run_is_not_refused() {
    let mut harness = Harness::new(with_effect(Effect::Keyed { group: KeyGroup::Cell, window: SEC }), 1);
    let backend = sent(&harness.request(1, 5))[0].1;
    assert_eq!(final_answers(&harness.end_attempt(1, 0, backend, Outcome::Reset, 5)), vec![(1, false)]);
}

#[test]
fn rule_2_without_second_copies_two_attempts_are_never_out_together() {
    let mut harness = Harness::new(Config { hedging: false, ..config() }, 4);
    assert_eq!(sent(&harness.request(1, 5)).len(), 1);
    assert!(sent(&harness.advance(3 * SEC)).is_empty(), "the only attempt is still out");
}

#[test]
fn rule_3_a_draining_or_gone_backend_gets_nothing_new() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut harness = Harness::new(config(), 2);
        let rows = vec![BackendRow::new(backend_id(0), state)];
        harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows });
        harness.now += config().drain_grace + 1;
        let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id, 100 + u64::from(id))).collect();
        assert!(sent(&actions).len() > 5 && sent(&actions).iter().all(|s| s.1 == backend_id(1)), "{state:?}");
    }
}

#[test]
fn rule_3_a_backend_out_by_hand_gets_nothing_whatever_the_list_says() {
    let mut harness = Harness::new(config(), 2);
    let attempts = |harness: &mut Harness, first_id: u32| -> Vec<_> {
        sent(
            &(first_id..first_id + 20)
                .flat_map(|n| harness.request(n, 100 + u64::from(n)))
                .collect::<Vec<_>>(),
        )
    };
    let set_disabled = |harness: &mut Harness, disabled| {
        harness.feed(Event::BackendDisabled { backend: backend_id(0), disabled })
    };
    // Disabling a disabled backend changes nothing.
    set_disabled(&mut harness, true);
    set_disabled(&mut harness, true);
    let started = harness.now;
    for (kind, state) in [(ListKind::Delta, BackendState::Gone), (ListKind::Full, BackendState::Ready)] {
        let rows = [0, 1].map(|n| BackendRow::new(backend_id(n), state));
        let rows = rows.into_iter().filter(|r| state == BackendState::Ready || r.backend == backend_id(0));
        let started_at = |r: &BackendRow| if r.backend == backend_id(0) { started } else { 0 };
        let rows = rows.map(|r| BackendRow { started_at: started_at(&r), ..r }).collect();
        harness.feed(Event::Backends { kind, version: 2, rows });
        let sent_to = attempts(&mut harness, if kind == ListKind::Delta { 0 } else { 20 });
        assert!(sent_to.len() > 5 && sent_to.iter().all(|s| s.1 == backend_id(1)), "{state:?}");
    }
    assert_eq!(harness.gateway.diagnostics().skipped_backends, 1);
    set_disabled(&mut harness, false);
    assert_eq!(harness.gateway.diagnostics().skipped_backends, 0);
}

#[test]
fn rule_4_a_backend_put_back_by_hand_is_cold() {
    let mut harness = Harness::new(config(), 2);
    let count = |harness: &mut Harness, first_id: u32| -> [usize; 2] {
        let actions: Vec<_> =
            (first_id..first_id + 40).flat_map(|n| harness.request(n, 100 + u64::from(n))).collect();
        [0, 1].map(|n| sent(&actions).iter().filter(|s| s.1 == backend_id(n)).count())
    };
    harness.feed(Event::BackendDisabled { backend: backend_id(0), disabled: true });
    harness.advance(4 * SEC);
    harness.feed(Event::BackendDisabled { backend: backend_id(0), disabled: false });
    let [reenabled, other] = count(&mut harness, 0);
    assert!(2 * reenabled < other, "{reenabled} requests, {other} to the other backend");
}

/// Guards against overloading a backend that was restarted while it was disabled, which the list shows late:
/// it was taken for cold for a few seconds only, and then for warm in the middle of its warm-up.
#[test]
fn rule_4_a_backend_put_back_by_hand_stays_cold_until_the_list_tells_of_its_start() {
    let mut harness = Harness::new(config(), 2);
    let serve = |harness: &mut Harness, first_id: u32| {
        let mut counts = [0, 0];
        for id in first_id..first_id + 100 {
            for (id, backend) in sent(&harness.request(id, u64::from(id))) {
                counts[usize::from(backend.address[3])] += 1;
                harness.advance(10 * MS);
                harness.end_attempt(id, 0, backend, Outcome::Ok, 10);
            }
        }
        counts
    };
    harness.feed(Event::BackendDisabled { backend: backend_id(0), disabled: true });
    harness.advance(4 * SEC);
    harness.feed(Event::BackendDisabled { backend: backend_id(0), disabled: false });
    // The backend is at 0.2 to 0.6 of its capacity. The stale lists that arrive meanwhile lack its start.
    for round in 0..3 {
        let [reenabled, other] = serve(&mut harness, 1_000 * round);
        assert!(
            2 * reenabled < other,
            "{reenabled} requests, {other} to the other backend, after {round} rounds of 2.5 s"
        );
        harness.advance(1_500 * MS);
        let rows = [0, 1].map(|n| BackendRow::new(backend_id(n), BackendState::Ready)).to_vec();
        harness.feed(Event::Backends { kind: ListKind::Full, version: 2, rows });
    }
    let started = harness.now - config().warm_up + MS;
    let row = BackendRow { started_at: started, ..BackendRow::new(backend_id(0), BackendState::Ready) };
    harness.feed(Event::Backends { kind: ListKind::Delta, version: 3, rows: vec![row] });
    let [reenabled, other] = serve(&mut harness, 5_000);
    assert!(
        3 * reenabled > other,
        "{reenabled} requests, {other} to the other backend, once it is known to be warm"
    );
}

#[test]
fn a_drain_is_kept_until_it_ends() {
    let mut harness = Harness::new(config(), 1);
    for on in [true, true, false] {
        harness.feed(Event::Drain { on });
        assert_eq!(harness.gateway.draining(), on);
    }
}

#[test]
fn rule_3_a_backend_absent_from_a_full_list_gets_nothing_new() {
    let mut harness = Harness::new(config(), 2);
    let rows = vec![BackendRow::new(backend_id(1), BackendState::Ready)];
    harness.feed(Event::Backends { kind: ListKind::Full, version: 2, rows });
    let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id, 100 + u64::from(id))).collect();
    assert!(sent(&actions).len() > 5 && sent(&actions).iter().all(|s| s.1 == backend_id(1)));
}

#[test]
fn rule_3_on_request_discovery_is_asked_well_within_its_time() {
    let ask_interval = 3 * SEC;
    let mut harness =
        Harness::new(Config { discovery: Discovery::OnRequest { ask_interval }, ..config() }, 2);
    let asks = |a: &Action| matches!(a, Action::Subscribe { on: true } | Action::FetchList);
    assert!(harness.actions.iter().any(asks), "it subscribes at its start");
    // Guards against overloading discovery: a hundred gateways that fetch whole lists besides their
    // subscriptions kept it from sending the changes.
    assert!(!harness.advance(5 * ask_interval).iter().any(asks), "a subscription needs no further requests");
    for _ in 0..5 {
        harness.feed(Event::Backends { kind: ListKind::Failed, version: 0, rows: Vec::new() });
        assert!(harness.advance(ask_interval / 2).iter().any(asks), "it asks again within the interval");
    }
}

#[test]
fn rule_4_a_cold_backend_gets_its_share_of_the_fall_budget_at_most() {
    let mut harness = Harness::new(config(), 3);
    let cold =
        BackendRow { started_at: harness.now - 1, ..BackendRow::new(backend_id(9), BackendState::Ready) };
    harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: vec![cold] });
    let (mut to_cold, mut to_warm) = (0, 0);
    for id in 0..100 {
        let actions = harness.request(id, 1000 + u64::from(id));
        for (id, backend) in sent(&actions) {
            if backend == backend_id(9) {
                to_cold += 1
            } else {
                to_warm += 1
            }
            harness.now += MS;
            harness.end_attempt(id, 0, backend, Outcome::Full, 1);
        }
    }
    // Rejected attempts count, too. While the capacity is unknown, one attempt at a time must be enough.
    assert!(to_warm >= 20, "{to_warm} attempts to warm backends");
    assert!(to_cold <= 2, "{to_cold} attempts to a cold backend");
}

/// Guards against idle cold backends beside overloaded warm ones: the bound for a cold backend follows from
/// what a warm one gets.
#[test]
fn rule_4_many_cold_backends_get_as_much_as_their_warmth_of_a_warm_one() {
    let mut harness = Harness::new(Config { cold_capacity: 0.5, warm_up: 100 * SEC, ..config() }, 2);
    let started = harness.now;
    let cold = |n| BackendRow { started_at: started, ..BackendRow::new(backend_id(n), BackendState::Ready) };
    let (mut counts, mut in_flight) = ([0.0_f64; 10], std::collections::VecDeque::new());
    for n in 0..1_200 {
        if n == 400 {
            let rows = (4..10).map(|n| BackendRow { started_at: harness.now, ..cold(n) }).collect();
            harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows });
        }
        for (id, backend) in sent(&harness.request(n, 1000 + u64::from(n))) {
            counts[usize::from(backend.address[3])] += f64::from(u8::from(n >= 800));
            in_flight.push_back((id, backend));
        }
        harness.advance(5 * MS);
        // Each attempt takes 60 ms, so that twelve are in flight.
        if in_flight.len() > 12 {
            let (id, backend) = in_flight.pop_front().expect("an attempt in flight");
            harness.end_attempt(id, 0, backend, Outcome::Ok, 60);
        }
    }
    let mean = |counts: &[f64]| counts.iter().sum::<f64>() / counts.len() as f64;
    let (warm, cold) = (mean(&counts[..2]), mean(&counts[4..]));
    assert!(
        cold < 0.6 * warm && counts.iter().sum::<f64>() > 350.0,
        "{cold} per cold backend, {warm} per warm one: {counts:?}"
    );
}

/// Guards against slow-starting a backend that answers probes with errors: its process has not ended, so it
/// is as warm as before.
#[test]
fn a_backend_that_answers_with_errors_does_not_come_back_cold() {
    let mut harness = Harness::new(config(), 2);
    let mut id = 0;
    while harness.gateway.diagnostics().ejected_backends == 0 {
        id += 1;
        for (id, backend) in sent(&harness.request(id, 1000 + u64::from(id))) {
            let outcome = if backend == backend_id(0) { Outcome::Error } else { Outcome::Ok };
            harness.end_attempt(id, 0, backend, outcome, 5);
        }
    }
    let advance_to_probe = |harness: &mut Harness| loop {
        if harness.advance(10 * MS).iter().any(|a| matches!(a, Action::Probe { .. })) {
            break;
        }
    };
    for outcome in [Outcome::Error, Outcome::Ok] {
        advance_to_probe(&mut harness);
        let load = LoadReport::default();
        harness.feed(Event::Probed { backend: backend_id(0), outcome, elapsed: MS, load });
    }
    let attempts: Vec<_> =
        (1..41).flat_map(|i| sent(&harness.request(id + i, 2000 + u64::from(i)))).collect();
    let to_failed = attempts.iter().filter(|s| s.1 == backend_id(0)).count();
    assert!(3 * to_failed > attempts.len(), "{to_failed} of {} requests", attempts.len());
}

/// Returns settings of a plan with a hard ceiling: rate in units per second, burst in units.
fn ceiling(rate: f64, burst: f64) -> Config {
    let ceiling = Some(Ceiling { rate, burst, slack: 1.0 });
    Config { plans: vec![Plan { ceiling, ..Plan::with_rate("capped", 100.0, 200.0) }], ..config() }
}

#[test]
fn rule_5_a_ceiling_is_split_and_never_passed() {
    let mut harness = Harness::new(ceiling(2.0, 8.0), 3);
    harness.advance(10 * SEC);
    let mut actions = Vec::new();
    for id in 0..50 {
        actions.extend(harness.request(id, 5));
        harness.now += 20 * MS;
    }
    let passed = sent(&actions).len();
    assert!((3..=5).contains(&passed), "half of the burst of 8, plus half of 2 units/s for 1 s: {passed}");
}

#[test]
fn rule_5_a_restart_does_not_refill_a_ceiling() {
    let mut harness = Harness::new(ceiling(2.0, 8.0), 3);
    let actions: Vec<_> = (0..50).flat_map(|n| harness.request(n, 5)).collect();
    assert!(sent(&actions).is_empty(), "a new process does not know what was used before");
}

/// Guards against another attempt when the body, or a part of it, was forwarded and cannot be sent again: the
/// request never ran and is refused at once.
#[test]
fn rule_2_a_body_that_was_spent_goes_nowhere_else() {
    for body_consumed in [false, true] {
        let mut harness = Harness::new(config(), 3);
        let first = sent(&harness.request(1, 7))[0].1;
        let result = AttemptResult {
            id: RequestId(1),
            attempt: AttemptIndex(0),
            backend: first,
            outcome: Outcome::Full,
            elapsed: MS,
            request_done: false,
            quota_use: None,
            billed_units: None,
            load: LoadReport::default(),
            body_consumed,
        };
        let actions = harness.attempt_ended(result);
        assert_eq!(
            (sent(&actions).len(), final_answers(&actions).len()),
            if body_consumed { (0, 1) } else { (1, 0) }
        );
    }
}

/// Returns a request whose body is still being received, with a deadline far off.
fn arrival_with_pending_body(harness: &Harness) -> Arrival {
    Arrival {
        id: RequestId(1),
        class: ClassIndex(0),
        plan: PlanIndex(0),
        customer: CustomerId(7),
        deadline: harness.now + 100 * SEC,
        units: 1.0,
        spread: 2.0,
        first_gateway: 0.0,
        client_repeat: false,
        write: false,
        body_pending: true,
    }
}

/// Guards against taking a request whose body arrives slowly for queued work, and against a deadline that
/// starts before the body is complete.
#[test]
fn the_time_of_a_body_still_coming_counts_from_its_end() {
    let mut harness = Harness::new(config(), 3);
    let arrival = arrival_with_pending_body(&harness);
    assert_eq!(sent(&harness.feed(Event::Request(arrival))).len(), 1);
    let diagnostics = harness.gateway.diagnostics();
    assert_eq!((diagnostics.in_flight, diagnostics.stalled), (1, 1), "no backend works on the request yet");
    assert!(final_answers(&harness.advance(3 * SEC)).is_empty());
    let deadline = harness.now + SEC;
    harness.feed(Event::Uploaded { id: RequestId(1), deadline });
    assert_eq!(harness.gateway.diagnostics().stalled, 0);
    assert!(final_answers(&harness.advance(SEC - MS)).is_empty());
    assert_eq!(final_answers(&harness.advance(2 * MS)).len(), 1);
    harness.feed(Event::Uploaded { id: RequestId(9), deadline });
}

/// Guards against a request that is never answered because its backend does not take the rest of its body: the
/// client waits from when the whole body has arrived, whether or not it has been forwarded.
#[test]
fn the_time_of_a_body_that_has_arrived_counts_although_it_is_not_forwarded() {
    let mut harness = Harness::new(config(), 3);
    let arrival = arrival_with_pending_body(&harness);
    assert_eq!(sent(&harness.feed(Event::Request(arrival))).len(), 1);
    let deadline = harness.now + SEC;
    harness.feed(Event::BodyArrived { id: RequestId(1), deadline });
    assert_eq!(harness.gateway.diagnostics().stalled, 1, "no backend works on the request yet");
    assert!(final_answers(&harness.advance(SEC - MS)).is_empty());
    assert_eq!(final_answers(&harness.advance(2 * MS)).len(), 1);
    harness.feed(Event::BodyArrived { id: RequestId(9), deadline });
}

/// Guards against several failed requests each time a backend that answers with errors is put on trial again.
#[test]
fn a_backend_back_from_errors_is_ejected_at_the_next_one() {
    let mut harness = Harness::new(config(), 2);
    let mut id = 0;
    let mut errors_until_ejected = |harness: &mut Harness| {
        let mut errors = 0;
        while harness.gateway.diagnostics().ejected_backends == 0 {
            id += 1;
            for (id, backend) in sent(&harness.request(id, 1000 + u64::from(id))) {
                let failing = backend == backend_id(0);
                errors += u32::from(failing);
                harness.end_attempt(id, 0, backend, if failing { Outcome::Error } else { Outcome::Ok }, 5);
            }
        }
        errors
    };
    assert!(errors_until_ejected(&mut harness) > 3);
    while !harness.advance(10 * MS).iter().any(|a| matches!(a, Action::Probe { .. })) {}
    let (outcome, load) = (Outcome::Ok, LoadReport::default());
    harness.feed(Event::Probed { backend: backend_id(0), outcome, elapsed: MS, load });
    assert_eq!(errors_until_ejected(&mut harness), 1);
}
