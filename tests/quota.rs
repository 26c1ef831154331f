//! Tests of the quota decision and of each result of a counter call.

mod common;
use caperwind::*;
use common::*;

/// Uses up this gateway's share (four of eight units) and returns the counter call for the fifth request,
/// which is held.
fn hold_fifth_request(harness: &mut Harness) -> (CounterKey, f64) {
    let actions: Vec<_> = (1..=5).flat_map(|id| harness.request(id, 5)).collect();
    assert_eq!(sent(&actions).len(), 4);
    *counter_calls(&actions).last().expect("a call for the held request")
}

/// Answers all calls in flight: those for `key` with `total`, those for the other window's key with 0.
fn answer_calls(harness: &mut Harness, key: CounterKey, total: f64) -> Vec<Action> {
    let keys: Vec<_> = counter_calls(&harness.actions).into_iter().map(|c| c.0).collect();
    harness.actions.clear();
    let mut actions = Vec::new();
    for called_key in keys {
        actions.extend(harness.counter_call_ended(
            called_key,
            CounterResult::Total(if called_key == key { total } else { 0.0 }),
        ));
    }
    actions
}

#[test]
fn a_customer_not_yet_seen_gets_its_even_part() {
    for (spread, even_share) in [(1.0, 8), (2.0, 4)] {
        let mut harness = Harness::new(config(), 3);
        harness.spread = spread;
        let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id, 5)).collect();
        assert_eq!(sent(&actions).len(), even_share);
    }
}

#[test]
fn a_fresh_total_with_room_lets_the_held_request_pass() {
    let mut harness = Harness::new(config(), 3);
    let (key, amount) = hold_fifth_request(&mut harness);
    assert_eq!(amount, 5.0, "the call adds all units used");
    assert_eq!(sent(&answer_calls(&mut harness, key, 5.0)).len(), 1);
}

#[test]
fn a_fresh_total_without_room_refuses_it_with_a_wait() {
    let mut harness = Harness::new(config(), 3);
    let (key, _) = hold_fifth_request(&mut harness);
    let actions = answer_calls(&mut harness, key, 12.0);
    assert!(sent(&actions).is_empty());
    let waits =
        |a: &Action| matches!(a, Action::Refuse { id: RequestId(5), retry_after, .. } if *retry_after > 0);
    assert!(actions.iter().any(waits));
    let next = harness.request(6, 5);
    assert_eq!(final_answers(&next), vec![(6, true)], "the estimate is over the quota: refused at once");
}

#[test]
fn a_request_of_several_units_counts_them_all() {
    let mut harness = Harness::new(config(), 3);
    assert_eq!(sent(&harness.request_units(1, 5, 4.0)).len(), 1);
    assert!(sent(&harness.request_units(2, 5, 1.0)).is_empty(), "four units are the whole share");
}

#[test]
fn counts_are_sent_in_batches_about_once_a_second() {
    let mut harness = Harness::new(config(), 3);
    harness.request(1, 5);
    let actions = harness.advance(1_100 * MS);
    assert_eq!(counter_calls(&actions).iter().map(|call| call.1).sum::<f64>(), 1.0);
    assert!(counter_calls(&actions).len() <= 2);
}

#[test]
fn a_window_rolls_over_and_room_comes_back() {
    let mut harness = Harness::new(config(), 3);
    let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id, 5)).collect();
    assert_eq!(sent(&actions).len(), 4);
    harness.advance(5 * SEC);
    assert_eq!(sent(&harness.request(30, 5)).len(), 1, "two windows later");
}

#[test]
fn units_turned_away_by_the_counter_are_sent_again() {
    let mut harness = Harness::new(config(), 3);
    harness.request(1, 5);
    let first = counter_calls(&harness.advance(1_100 * MS));
    let key = first.iter().find(|call| call.1 == 1.0).expect("the add").0;
    harness.counter_call_ended(key, CounterResult::NotAdded);
    assert!(counter_calls(&harness.advance(1_100 * MS)).contains(&(key, 1.0)));
}

#[test]
fn an_unanswered_add_is_not_sent_twice_unless_a_total_disproves_it() {
    let mut harness = Harness::new(Config { plans: vec![Plan::with_rate("long", 1.0, 16.0)], ..config() }, 3);
    let add = |harness: &mut Harness, id| {
        harness.request(id, 5);
        let calls = counter_calls(&harness.advance(1_100 * MS));
        *calls.iter().find(|call| call.1 > 0.0).expect("an add")
    };
    let (key, _) = add(&mut harness, 1);
    harness.counter_call_ended(key, CounterResult::Unanswered);
    assert!(
        counter_calls(&harness.advance(900 * MS)).iter().all(|call| call.1 == 0.0),
        "the units may have been added"
    );
    let (second_key, amount) = add(&mut harness, 2);
    assert_eq!((second_key, amount), (key, 1.0));
    harness.counter_call_ended(key, CounterResult::Total(1.0));
    assert!(
        counter_calls(&harness.advance(1_100 * MS)).contains(&(key, 1.0)),
        "the total shows that they were not"
    );
}

#[test]
fn a_forgotten_total_grants_no_fresh_window_and_is_restored_once() {
    let mut harness = Harness::new(Config { plans: vec![Plan::with_rate("long", 1.0, 16.0)], ..config() }, 3);
    let actions: Vec<_> = (1..=6).flat_map(|id| harness.request(id, 5)).collect();
    assert_eq!(sent(&actions).len(), 6);
    let first = counter_calls(&harness.advance(1_100 * MS));
    let key = first.iter().find(|call| call.1 > 0.0).expect("an add").0;
    harness.counter_call_ended(key, CounterResult::Total(6.0));
    harness.request(7, 5);
    let next = counter_calls(&harness.advance(1_100 * MS));
    assert!(next.contains(&(key, 1.0)));
    harness.counter_call_ended(key, CounterResult::Total(1.0));
    let restored = counter_calls(&harness.advance(1_100 * MS));
    assert_eq!(restored.iter().filter(|call| call.1 > 0.0).collect::<Vec<_>>(), vec![&(key, 6.0)]);
    harness.counter_call_ended(key, CounterResult::Total(7.0));
    assert!(counter_calls(&harness.advance(1_100 * MS)).iter().all(|call| call.1 == 0.0), "only once");
}

#[test]
fn a_silent_counter_meets_no_pile_up_and_calm_customers_still_pass() {
    let mut harness = Harness::new(config(), 3);
    let (mut calls_made, mut passed) = (0, 0);
    for id in 0..300u32 {
        harness.actions.clear();
        passed += sent(&harness.request(id, u64::from(id % 100))).len();
        harness.advance(20 * MS);
        let keys: Vec<_> = counter_calls(&harness.actions).into_iter().map(|c| c.0).collect();
        calls_made += keys.len();
        for key in keys {
            harness.counter_call_ended(key, CounterResult::Unanswered);
        }
        for (id, backend) in sent(&harness.actions.clone()) {
            harness.end_attempt(id, 0, backend, Outcome::Ok, 5);
        }
    }
    assert!(
        passed >= 290,
        "one request in two seconds per customer is far below its quota, but only {passed} passed"
    );
    assert!(calls_made <= 40, "{calls_made} trial calls, which must be few, not one per customer");
}

#[test]
fn a_counter_answer_for_a_closed_window_is_passed_over() {
    let mut harness = Harness::new(config(), 3);
    harness.request(1, 5);
    let calls = counter_calls(&harness.advance(1_100 * MS));
    harness.advance(10 * SEC);
    harness.request(2, 5);
    harness.counter_call_ended(calls[0].0, CounterResult::Total(500.0));
    assert_eq!(
        sent(&harness.request(3, 5)).len(),
        1,
        "the total of an old window does not apply to this one"
    );
}

#[test]
fn without_a_counter_each_gateway_keeps_to_its_even_part() {
    let mut harness = Harness::new(Config { counter: None, ..config() }, 3);
    let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id, 5)).collect();
    assert_eq!(sent(&actions).len(), 4);
    assert!(
        counter_calls(&harness.actions).is_empty() && counter_calls(&harness.advance(5 * SEC)).is_empty()
    );
}

/// Guards against exceeding quotas where there are no totals: each of hundreds of gateways would pass one
/// request per window. A customer that sends a second request here, though its quota allows hardly one per
/// gateway, is more likely over it.
#[test]
fn without_a_counter_one_that_comes_again_far_above_its_part_is_refused_where_that_costs() {
    for (gateways, over_cost, expected) in [(200, 0.5, 0), (200, 0.0, 1), (15, 0.5, 0), (8, 0.5, 1)] {
        let plan = Plan { over_cost, ..Plan::with_rate("plan", 1.6, 5.0) };
        let config = Config { gateways, plans: vec![plan], counter: None, ..config() };
        let mut harness = Harness::new(config, 3);
        harness.spread = f64::from(gateways);
        assert_eq!(
            sent(&harness.request(1, 5)).len(),
            1,
            "a customer that is new here may well be within its quota"
        );
        harness.advance(4 * SEC);
        harness.request(2, 5);
        // The units that it has used here are over two windows old.
        harness.advance(4 * SEC);
        assert_eq!(
            sent(&harness.request(3, 5)).len(),
            expected,
            "{gateways} gateways, cost beyond the quota {over_cost}"
        );
        harness.advance(10 * SEC);
        assert_eq!(sent(&harness.request(4, 5)).len(), 1, "it has sent nothing for two windows");
    }
}

#[test]
fn settled_costs_replace_the_guess() {
    let plans = vec![Plan::with_rate("after", 1.0, 16.0)];
    let mut harness = Harness::new(Config { billed_on_response: true, plans, ..config() }, 3);
    let backend = sent(&harness.request(1, 5))[0].1;
    let load = LoadReport::default();
    let (id, attempt, outcome) = (RequestId(1), AttemptIndex(0), Outcome::Ok);
    harness.attempt_ended(AttemptResult {
        id,
        attempt,
        backend,
        outcome,
        elapsed: MS,
        request_done: true,
        quota_use: None,
        body_consumed: false,
        billed_units: Some(7.0),
        load,
    });
    let calls = counter_calls(&harness.advance(1_100 * MS));
    assert_eq!(calls.iter().map(|call| call.1).sum::<f64>(), 7.0);
}

#[test]
fn a_cap_on_open_requests_holds() {
    let plans = vec![Plan { max_concurrent: 4, rate: 0.0, burst: 0.0, ..Plan::with_rate("open", 0.0, 0.0) }];
    let mut harness = Harness::new(Config { plans, ..config() }, 3);
    let actions: Vec<_> = (0..10).flat_map(|id| harness.request(id, 5)).collect();
    let attempts = sent(&actions);
    assert_eq!(attempts.len(), 2, "half of four");
    harness.end_attempt(attempts[0].0, 0, attempts[0].1, Outcome::Ok, 5);
    assert_eq!(sent(&harness.request(20, 5)).len(), 1);
}

#[test]
fn odd_units_and_spreads_grant_nothing_without_bound() {
    for units in [f64::NAN, f64::INFINITY, 0.0, -3.0] {
        for spread in [0.0, f64::NAN, f64::INFINITY, -1.0] {
            let mut harness = Harness::new(config(), 3);
            harness.spread = spread;
            let actions: Vec<_> = (0..50).flat_map(|id| harness.request_units(id, 5, units)).collect();
            assert!(sent(&actions).len() <= 8, "{units} {spread}");
        }
    }
}

#[test]
fn impossible_settings_are_refused_by_name() {
    let error = |c: Config| Gateway::new(c, 1).err().expect("refused").to_string();
    assert!(error(Config { classes: vec![], ..config() }).contains("classes"));
    assert!(error(Config { plans: vec![], ..config() }).contains("plans"));
    assert!(error(Config { plans: vec![Plan::with_rate("odd", -1.0, 3.0)], ..config() }).contains("odd"));
    assert!(error(Config { cold_capacity: f64::NAN, ..config() }).contains("cold_from"));
}

#[test]
fn where_calls_are_short_a_small_part_still_lets_one_request_go() {
    // Guards against refusing every customer of a small plan: each gateway's share of the quota is below one
    // request, and the counter cannot bear a call for a fresh total per request.
    let plans = vec![Plan::with_rate("small", 1.0, 3.0)];
    let mut harness = Harness::new(Config { gateways: 7, plans, ..config() }, 30);
    harness.spread = 7.0;
    for id in 0..40 {
        harness.request(id, 100 + u64::from(id));
    }
    assert!(counter_calls(&harness.actions).len() <= 20, "the number of calls is bounded");
    assert_eq!(
        sent(&harness.request(50, 500)).len(),
        1,
        "the first request of a customer with a low rate passes"
    );
    assert!(sent(&harness.request(51, 500)).is_empty(), "a second one does not pass on the same totals");
}

/// Sends requests until this customer's share is used up and one request is held; returns the calls for it.
fn hold_request(harness: &mut Harness, customer: u64) -> Vec<(CounterKey, f64)> {
    let first_id = 100 * customer as u32;
    let actions: Vec<_> = (first_id..first_id + 5).flat_map(|id| harness.request(id, customer)).collect();
    counter_calls(&actions)
}

/// A slow counter gets few concurrent calls. A single call that hangs while later ones are answered only
/// shows a fault of its own connection.
#[test]
fn one_overdue_call_alone_does_not_shut_the_window() {
    for answered in [true, false] {
        let mut harness = Harness::new(config(), 3);
        let hanging_calls = hold_request(&mut harness, 1);
        harness.now += 40 * MS;
        let other_calls = hold_request(&mut harness, 2);
        harness.now += 10 * MS;
        if answered {
            other_calls
                .iter()
                .for_each(|call| drop(harness.counter_call_ended(call.0, CounterResult::Total(5.0))));
        }
        let overdue = |call: &(CounterKey, f64)| Event::CounterCallEnded {
            key: call.0,
            result: CounterResult::Overdue,
            elapsed: 50 * MS,
        };
        hanging_calls.iter().for_each(|call| drop(harness.feed(overdue(call))));
        let customers_with_calls: Vec<_> =
            (3..7).filter(|&customer| !hold_request(&mut harness, customer).is_empty()).collect();
        assert_eq!(
            customers_with_calls.len(),
            if answered { 4 } else { 0 },
            "calls are made beside the one that hangs"
        );
    }
}

/// An even share of one unit per window is served while the counter is silent, no less and no more.
#[test]
fn alone_a_small_part_is_served_in_full() {
    let plans = vec![Plan::with_rate("small", 1.0, 2.0)];
    let mut harness = Harness::new(Config { plans, ..config() }, 3);
    let mut passed = 0;
    for id in 0..200 {
        let actions = harness.request(id, 5);
        let later = harness.advance(200 * MS);
        passed += sent(&actions).len() + sent(&later).len();
        let keys: Vec<_> = counter_calls(&harness.actions).into_iter().map(|c| c.0).collect();
        for (id, backend) in sent(&harness.actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok, 5);
        }
        harness.actions.clear();
        keys.into_iter().for_each(|key| drop(harness.counter_call_ended(key, CounterResult::Unanswered)));
    }
    // 40 s at 0.5 units/s.
    assert!((18..=24).contains(&passed), "{passed} requests passed");
}

/// Guards against refusing a customer that keeps within its quota while the counter is silent: the gateway
/// that gets most of its traffic may use most of its quota.
#[test]
fn a_silent_counter_does_not_cut_a_customer_to_an_even_part() {
    let mut harness = Harness::new(config(), 3);
    let mut totals = std::collections::BTreeMap::new();
    let (mut refused, silent_from) = (0, harness.now + 12 * SEC);
    for id in 0..66 {
        // Three units/s here and nearly one elsewhere, where the quota allows four in total.
        let mut actions = harness.request(id, 7);
        let next_request_at = harness.now + SEC / 3;
        loop {
            for (key, amount) in counter_calls(&actions) {
                let total = totals.entry(key).or_insert(0.0);
                *total += amount;
                let result = if harness.now < silent_from {
                    CounterResult::Total(*total * 1.27)
                } else {
                    CounterResult::Unanswered
                };
                actions.extend(harness.counter_call_ended(key, result));
            }
            refused += final_answers(&actions).len();
            for (id, backend) in sent(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok, 10);
            }
            if harness.now >= next_request_at {
                break;
            }
            actions = harness.advance(SEC / 30);
        }
    }
    assert_eq!(refused, 0);
}

/// Starts another process of the same gateway, which takes over the state of the first one.
fn successor(harness: &Harness) -> Harness {
    let mut successor = Harness::new(config(), 2);
    successor.now = harness.now;
    successor.feed(Event::HandoverReceived(Box::new(harness.gateway.handover_state())));
    successor
}

#[test]
fn what_a_process_has_spent_is_not_granted_again_by_the_next() {
    let mut harness = Harness::new(config(), 2);
    let passed = |harness: &mut Harness, first_id: u32| {
        (first_id..first_id + 20).flat_map(|id| sent(&harness.request(id, 7))).collect::<Vec<_>>().len()
    };
    assert!(passed(&mut harness, 0) >= 4);
    assert_eq!(passed(&mut successor(&harness), 100), 0);
}

#[test]
fn units_that_a_process_could_not_sync_are_told_by_the_next() {
    let mut harness = Harness::new(config(), 2);
    let used_units = (0..3).flat_map(|n| sent(&harness.request(n, 7))).count() as f64;
    let added_units = |successor: &mut Harness| {
        counter_calls(&successor.advance(2 * SEC)).iter().map(|call| call.1).sum::<f64>()
    };
    assert!(added_units(&mut successor(&harness)).abs() < 1e-9, "the first process still adds these units");
    let mut successor = successor(&harness);
    let unsynced = harness.gateway.take_unsynced_units();
    assert_eq!(unsynced.iter().map(|entry| entry.units).sum::<f64>(), used_units);
    successor.feed(Event::UnsyncedUnits(unsynced));
    assert_eq!(added_units(&mut successor), used_units);
    assert!(harness.gateway.take_unsynced_units().is_empty());
}

/// Guards against losing the units of customers whose first request came to the old process after its
/// hand-over, also where the successor's settings have the plans in another order. Units of a plan that they
/// no longer have are dropped.
#[test]
fn units_of_customers_that_the_next_process_has_not_met_are_told_by_it() {
    let with_plans = |plan_names: &[&str]| Config {
        plans: plan_names.iter().map(|name| Plan::with_rate(name, 4.0, 8.0)).collect(),
        ..config()
    };
    for (plan_names, has_plan) in
        [(&["plan"][..], true), (&["other", "plan"][..], true), (&["other"][..], false)]
    {
        let mut harness = Harness::new(config(), 2);
        let (mut successor, mut fresh) =
            (Harness::new(with_plans(plan_names), 2), Harness::new(with_plans(plan_names), 2));
        let used_units = (1..8).flat_map(|n| sent(&harness.request(n as u32, n))).count() as f64;
        successor.feed(Event::UnsyncedUnits(harness.gateway.take_unsynced_units()));
        let successor_calls = counter_calls(&successor.advance(2 * SEC));
        let added_units = successor_calls.iter().map(|call| call.1).sum::<f64>();
        assert_eq!(added_units, if has_plan { used_units } else { 0.0 }, "{plan_names:?}");
        if has_plan {
            // The units are added to the same keys as those of the customers' own requests.
            successor.plan = plan_names.len() as u16 - 1;
            fresh.plan = successor.plan;
            (1..8).for_each(|n| drop(fresh.request(n as u32, n)));
            fresh.advance(2 * SEC);
            let own_calls = counter_calls(&fresh.actions);
            assert!(
                successor_calls.iter().all(|(key, _)| own_calls.iter().any(|call| call.0 == *key)),
                "{plan_names:?}"
            );
        }
    }
}

#[test]
fn two_processes_spend_no_more_than_one() {
    let passed = |serving| {
        let mut harness = Harness::new(config(), 2);
        harness.feed(Event::OtherProcess { serving });
        (0..20).flat_map(|n| sent(&harness.request(n, 7))).count()
    };
    assert!(2 * passed(true) <= passed(false));
}

/// Guards against making ever fewer calls to a counter that is only moderately slow: customers within their
/// quotas would be refused for lack of a total.
#[test]
fn totals_well_within_their_time_out_are_no_crowd() {
    let max_calls_at = |elapsed_ms: u64| {
        let mut harness = Harness::new(config(), 2);
        for id in 0..40 {
            let customer = u64::from(id % 4);
            let mut actions = harness.request(id, customer);
            actions.extend(harness.advance(100 * MS));
            for (key, amount) in counter_calls(&actions) {
                harness.feed(Event::CounterCallEnded {
                    key,
                    result: CounterResult::Total(amount),
                    elapsed: elapsed_ms * MS,
                });
            }
        }
        harness.gateway.diagnostics().max_calls
    };
    assert_eq!(max_calls_at(32), 16.0);
    assert!(max_calls_at(45) < 16.0);
}

/// Guards against wasted calls: of the calls to an overloaded counter one in four was answered late, after
/// the held request had been decided without it.
#[test]
fn a_held_request_is_settled_by_the_late_total_of_its_call() {
    let decided = |late_total: Option<f64>| {
        let mut harness = Harness::new(config(), 3);
        let mut calls = Vec::new();
        for id in 0..4 {
            let actions = harness.request_units(id, 1, 3.0);
            calls = counter_calls(&actions);
            if !calls.is_empty() && sent(&actions).is_empty() {
                break;
            }
        }
        // The previous window's total is 0; the call that adds units is the overdue one.
        let (adding_calls, reading_calls): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|call| call.1 != 0.0);
        let (key, amount) = *adding_calls.first().expect("a call");
        reading_calls
            .iter()
            .for_each(|call| drop(harness.counter_call_ended(call.0, CounterResult::Total(0.0))));
        let overdue = Event::CounterCallEnded { key, result: CounterResult::Overdue, elapsed: 50 * MS };
        let mut actions = harness.feed(overdue);
        assert!(
            sent(&actions).is_empty() && final_answers(&actions).is_empty(),
            "the request waits for the late total"
        );
        if let Some(total) = late_total {
            harness.now += 20 * MS;
            actions =
                harness.feed(Event::OverdueCallEnded { key, amount, result: CounterResult::Total(total) });
        } else {
            actions.extend(harness.advance(60 * MS));
        }
        (sent(&actions).len(), final_answers(&actions).len())
    };
    assert_eq!(decided(Some(6.0)), (1, 0), "within the quota by the late total");
    assert_eq!(decided(Some(50.0)), (0, 1), "over the quota by the late total");
    let (sent, refused) = decided(None);
    assert_eq!(sent + refused, 1, "decided without a total after one more time-out");
}
