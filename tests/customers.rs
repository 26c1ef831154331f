//! Plan, set and class are those of the request: nothing of one customer, plan or class reaches another.

mod common;
use caperwind::*;
use common::*;

fn two_plans() -> Config {
    Config {
        plans: vec![Plan::with_rate("small", 1.0, 4.0), Plan::with_rate("large", 25.0, 100.0)],
        ..config()
    }
}

fn passed(rig: &mut Rig, first: u32, times: u32, customer: u64) -> usize {
    let acts: Vec<_> = (first..first + times).flat_map(|id| rig.ask(id, customer)).collect();
    sent(&acts).len()
}

/// Guards against a customer judged by the plan that it, or another process, came under before.
#[test]
fn a_changed_plan_counts_from_its_first_request() {
    for (before, after) in [(0, 1), (1, 0)] {
        let (mut rig, mut fresh) = (Rig::new(two_plans(), 3), Rig::new(two_plans(), 3));
        rig.plan = before;
        passed(&mut rig, 1, 100, 5);
        (rig.plan, fresh.plan) = (after, after);
        assert_eq!(passed(&mut rig, 200, 60, 5), passed(&mut fresh, 200, 60, 5), "from {before} to {after}");
    }
}

/// Guards against a total of one plan's count that settles a request under another, also a late one.
#[test]
fn a_total_settles_its_own_plan_s_requests_alone() {
    for late in [false, true] {
        let mut rig = Rig::new(two_plans(), 3);
        let mut held = Vec::new();
        for plan in [0, 1] {
            rig.plan = plan;
            let acts: Vec<_> = (0..60).flat_map(|n| rig.ask(u32::from(plan) * 100 + n, 5)).collect();
            held.push(calls(&acts));
        }
        let [small, large] = &held[..] else { panic!("two plans") };
        assert!(!small.is_empty() && !large.is_empty());
        assert!(small.iter().all(|s| large.iter().all(|l| s.0 != l.0)), "each plan has counts of its own");
        // The large plan has room for all that waits, the small one is spent.
        let mut acts = Vec::new();
        for (name, amount) in large {
            if late {
                rig.counted(*name, CounterResult::Overdue);
                let result = CounterResult::Total(*amount);
                acts.extend(rig.feed(Event::OverdueCallEnded { key: *name, amount: *amount, result }));
            } else {
                acts.extend(rig.counted(*name, CounterResult::Total(*amount)));
            }
        }
        assert!(sent(&acts).iter().all(|s| s.0 >= 100), "{acts:?}");
        assert!(answers(&acts).iter().all(|a| a.0 >= 100), "{acts:?}");
    }
}

/// Guards against the share of one set's traffic spent as that of another: of a larger one, or as large.
#[test]
fn a_changed_set_starts_from_its_even_part() {
    let mut rig = Rig::new(Config { gateways: 8, ..config() }, 3);
    rig.spread = 1.0;
    assert_eq!(passed(&mut rig, 1, 1, 5), 1);
    rig.spread = 4.0;
    assert!(passed(&mut rig, 10, 20, 5) <= 1, "a quarter of eight units, one of which is spent");
}

/// Guards against customers told apart by a part of their number.
#[test]
fn customers_with_like_numbers_have_quotas_of_their_own() {
    let mut rig = Rig::new(two_plans(), 3);
    for (n, customer) in (0..).zip([5, 5 | 1 << 32, 5 | 1 << 16, 5 | 1 << 31, (1 << 33) - 1]) {
        assert_eq!(passed(&mut rig, 10 * n, 9, customer), 2, "{customer:x}");
    }
}

/// Guards against plans and classes told by their places to a process whose settings order them otherwise.
#[test]
fn another_process_with_other_plans_takes_over_no_customer() {
    let mut old = Rig::new(two_plans(), 3);
    assert_eq!(passed(&mut old, 1, 9, 5), 2);
    let legacy = old.gateway.handover_state();
    let mut plans = two_plans().plans;
    let same = Rig::new(two_plans(), 3);
    plans.reverse();
    let other = Rig::new(Config { plans, ..two_plans() }, 3);
    for (mut rig, of_small) in [(same, 0), (other, 2)] {
        rig.plan = u16::from(of_small > 0);
        rig.feed(Event::HandoverReceived(Box::new(legacy.clone())));
        assert_eq!(passed(&mut rig, 100, 9, 5), of_small, "what its small plan has left here");
        rig.plan = 1 - rig.plan;
        assert!(passed(&mut rig, 200, 60, 5) >= 50, "its large plan is another's");
    }
}
