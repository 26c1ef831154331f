//! Tests that a request is decided by its own customer, plan, class and set of gateways, and that nothing
//! known of one of these affects another.

mod common;
use caperwind::*;
use common::*;
use std::collections::HashMap;

/// Returns settings with a small plan (burst 4 units) and a large one (burst 100 units).
fn two_plans() -> Config {
    Config {
        plans: vec![Plan::with_rate("small", 1.0, 4.0), Plan::with_rate("large", 25.0, 100.0)],
        ..config()
    }
}

/// Sends requests of this customer and returns how many pass its quota.
fn passed(harness: &mut Harness, first_id: u32, request_count: u32, customer: u64) -> usize {
    let actions: Vec<_> =
        (first_id..first_id + request_count).flat_map(|id| harness.request(id, customer)).collect();
    sent(&actions).len()
}

/// Guards against deciding a customer's quota by a plan that it had before, in this process or in another
/// one.
#[test]
fn a_changed_plan_counts_from_its_first_request() {
    for (before, after) in [(0, 1), (1, 0)] {
        let (mut harness, mut fresh) = (Harness::new(two_plans(), 3), Harness::new(two_plans(), 3));
        harness.plan = before;
        passed(&mut harness, 1, 100, 5);
        (harness.plan, fresh.plan) = (after, after);
        assert_eq!(
            passed(&mut harness, 200, 60, 5),
            passed(&mut fresh, 200, 60, 5),
            "from {before} to {after}"
        );
    }
}

/// Guards against deciding a held request by the counter's total of another plan, also if the total is
/// overdue.
#[test]
fn a_total_settles_its_own_plan_s_requests_alone() {
    for overdue in [false, true] {
        let mut harness = Harness::new(two_plans(), 3);
        let mut held = Vec::new();
        for plan in [0, 1] {
            harness.plan = plan;
            let actions: Vec<_> =
                (0..60).flat_map(|n| harness.request(u32::from(plan) * 100 + n, 5)).collect();
            held.push(counter_calls(&actions));
        }
        let [small, large] = &held[..] else { panic!("two plans") };
        assert!(!small.is_empty() && !large.is_empty());
        assert!(
            small.iter().all(|small_call| large.iter().all(|large_call| small_call.0 != large_call.0)),
            "each plan has its own counter keys"
        );
        // The large plan has room for all held requests; the small one is used up.
        let mut actions = Vec::new();
        for (key, amount) in large {
            if overdue {
                harness.counter_call_ended(*key, CounterResult::Overdue);
                let result = CounterResult::Total(*amount);
                actions.extend(harness.feed(Event::OverdueCallEnded { key: *key, amount: *amount, result }));
            } else {
                actions.extend(harness.counter_call_ended(*key, CounterResult::Total(*amount)));
            }
        }
        assert!(sent(&actions).iter().all(|attempt| attempt.0 >= 100), "{actions:?}");
        assert!(final_answers(&actions).iter().all(|answer| answer.0 >= 100), "{actions:?}");
    }
}

/// Guards against keeping this gateway's share of a customer's traffic when the requests come through another
/// set of gateways than before, be it larger or of the same size.
#[test]
fn a_changed_set_starts_from_its_even_part() {
    let mut harness = Harness::new(Config { gateways: 8, ..config() }, 3);
    harness.spread = 1.0;
    assert_eq!(passed(&mut harness, 1, 1, 5), 1);
    harness.spread = 4.0;
    assert!(passed(&mut harness, 10, 20, 5) <= 1, "a quarter of eight units, of which one is used");
}

/// Guards against identifying customers by a part of their 64-bit id only.
#[test]
fn customers_with_like_numbers_have_quotas_of_their_own() {
    let mut harness = Harness::new(two_plans(), 3);
    for (n, customer) in (0..).zip([5, 5 | 1 << 32, 5 | 1 << 16, 5 | 1 << 31, (1 << 33) - 1]) {
        assert_eq!(passed(&mut harness, 10 * n, 9, customer), 2, "{customer:x}");
    }
}

/// Guards against a hand-over that identifies plans and classes by index: the successor's settings may have
/// them in another order.
#[test]
fn another_process_with_other_plans_takes_over_no_customer() {
    let mut old = Harness::new(two_plans(), 3);
    assert_eq!(passed(&mut old, 1, 9, 5), 2);
    let handover = old.gateway.handover_state();
    let mut plans = two_plans().plans;
    let same = Harness::new(two_plans(), 3);
    plans.reverse();
    let other = Harness::new(Config { plans, ..two_plans() }, 3);
    for (mut harness, expected) in [(same, 0), (other, 2)] {
        harness.plan = u16::from(expected > 0);
        harness.feed(Event::HandoverReceived(Box::new(handover.clone())));
        assert_eq!(passed(&mut harness, 100, 9, 5), expected, "what is left of its small plan");
        harness.plan = 1 - harness.plan;
        assert!(passed(&mut harness, 200, 60, 5) >= 50, "its large plan is unused");
    }
}

/// The totals of the counter.
type Totals = HashMap<CounterKey, f64>;

/// Sends one request of this customer; its attempt and all counter calls are answered. Returns whether it was sent on.
fn meet(harness: &mut Harness, totals: &mut Totals, id: u32, customer: u64) -> bool {
    let mut actions = harness.request(id, customer);
    let mut was_sent = false;
    while !actions.is_empty() {
        let new = std::mem::take(&mut actions);
        for (id, backend) in sent(&new) {
            was_sent = true;
            actions.extend(harness.end_attempt(id, 0, backend, Outcome::Ok, 1));
        }
        for (key, amount) in counter_calls(&new) {
            let total = totals.entry(key).or_default();
            *total += amount;
            actions.extend(harness.counter_call_ended(key, CounterResult::Total(*total)));
        }
    }
    was_sent
}

/// Meets each of these customers once, a hundred a second. Returns the largest number of known customers.
fn meet_all(harness: &mut Harness, totals: &mut Totals, customers: std::ops::Range<u64>) -> usize {
    let mut known = 0;
    for customer in customers {
        meet(harness, totals, customer as u32, customer);
        let later = harness.advance(10 * MS);
        for (key, amount) in counter_calls(&later) {
            let total = totals.entry(key).or_default();
            *total += amount;
            harness.counter_call_ended(key, CounterResult::Total(*total));
        }
        known = known.max(harness.gateway.diagnostics().customers);
    }
    known
}

/// Guards against memory that grows with ever new customers: as many are kept as the settings allow. Customers that return
/// keep their state.
#[test]
fn ever_new_customers_make_way() {
    const MAX_CUSTOMERS: usize = 64;
    const RETURNING: u64 = 5;
    const ROUNDS: u64 = 30;
    let mut harness = Harness::new(Config { max_customers: MAX_CUSTOMERS, ..two_plans() }, 3);
    let (mut totals, mut passed) = (Totals::new(), 0);
    for round in 0..ROUNDS {
        let known = meet_all(&mut harness, &mut totals, 1_000 + round * 40..1_040 + round * 40);
        assert!(known <= MAX_CUSTOMERS, "{known} customers are known");
        for n in 0..20 {
            let id = 100_000 + (round * 20 + n) as u32;
            passed += u64::from(meet(&mut harness, &mut totals, id, RETURNING));
        }
    }
    // Its plan gives it 1 unit/s, and 4 more at first; a round takes 0.4 s.
    assert!(passed <= 4 + ROUNDS * 4 / 10 + 1, "{passed} pass");
}

/// Guards against a hard ceiling that is granted anew to a customer that was forgotten, and against customers of a plan with
/// a ceiling that are kept for ever.
#[test]
fn a_customer_with_a_spent_ceiling_is_not_forgotten() {
    let ceiling = Some(Ceiling { rate: 0.1, burst: 8.0, slack: 1.0 });
    let plans = vec![Plan { ceiling, ..Plan::with_rate("capped", 100.0, 200.0) }];
    let mut harness = Harness::new(Config { max_customers: 64, plans, ..config() }, 3);
    harness.advance(200 * SEC);
    let mut totals = Totals::new();
    let mut pass = |harness: &mut Harness, ids: std::ops::Range<u32>| {
        ids.filter(|id| meet(harness, &mut totals, *id, 5)).count()
    };
    let before = pass(&mut harness, 1..41);
    assert!((3..=5).contains(&before), "half of the burst: {before}");
    assert!(meet_all(&mut harness, &mut Totals::new(), 1_000..2_000) <= 64);
    let after = pass(&mut harness, 100..140);
    assert!(after <= 1, "{after} more pass, though 10 s bring half a unit");
    harness.advance(300 * SEC);
    assert_eq!(harness.gateway.diagnostics().customers, 0, "a full ceiling is kept for ever");
}
