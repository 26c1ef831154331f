//! What only goes wrong with many gateways: each sees a few requests, and one from each is hundreds.

mod common;
use caperwind::*;
use common::*;
use std::collections::BTreeSet;

fn many(gateways: u32, me: u32, plan: Plan) -> Config {
    Config { gateways, own_index: GatewayIndex(me), plans: vec![plan], hedging: false, ..config() }
}

fn rig(gateways: u32, me: u32, backends: u8) -> Rig {
    let mut rig = Rig::new(many(gateways, me, Plan::with_rate("small", 1.0, 4.0)), backends);
    rig.spread = f64::from(gateways);
    rig
}

/// Answers calls out so far by `answer`, whatever they added.
fn answer_calls(rig: &mut Rig, acts: &[Action], answer: CounterResult) -> Vec<Action> {
    calls(acts).into_iter().flat_map(|(name, _)| rig.counted(name, answer)).collect()
}

#[test]
fn a_crowded_counter_gets_fewer_calls_and_customers_still_pass() {
    // Danger: every try asked, no call was answered, and calm customers were refused for want of a total.
    let mut rig = rig(300, 7, 100);
    let (mut early, mut late, mut passed) = (0, 0, 0);
    for id in 0..400 {
        let mut acts = rig.ask(id, 1_000 + u64::from(id));
        let made = calls(&acts).len();
        if id < 100 {
            early += made
        } else if id >= 300 {
            late += made
        }
        let settled = answer_calls(&mut rig, &acts, CounterResult::NotAdded);
        acts.extend(settled);
        passed += sent(&acts).len();
        for (id, on) in sent(&acts) {
            rig.end(id, 0, on, Outcome::Ok, 50);
        }
        let more = rig.run(100 * MS);
        answer_calls(&mut rig, &more, CounterResult::NotAdded);
    }
    assert!(late * 2 < early.max(2), "calls fall while the counter is crowded: {early} then {late}");
    assert!(passed > 300, "{passed} of 400 customers not met before");
}

#[test]
fn a_customer_that_repeats_is_not_granted_once_per_ask_without_totals() {
    // Danger: by the odds alone one gateway of hundreds could pass a small quota many times over.
    let mut rig = rig(300, 7, 100);
    let mut passed = 0;
    for id in 0..100 {
        let acts = rig.ask(id, 5);
        let settled = answer_calls(&mut rig, &acts, CounterResult::NotAdded);
        for (id, on) in sent(&acts).into_iter().chain(sent(&settled)) {
            passed += 1;
            rig.end(id, 0, on, Outcome::Ok, 50);
        }
        rig.run(20 * MS);
    }
    assert!(passed <= 2, "{passed} in half a window from one gateway of 300");
}

#[test]
fn the_meter_tells_who_is_over_where_no_call_can_be_made() {
    let passes = |used: f64| {
        let plan = Plan::with_rate("small", 1.0, 4.0);
        let metered = Config { counter: None, meter_period: SEC, ..many(300, 7, plan) };
        let mut rig = Rig::new(metered, 100);
        rig.spread = 300.0;
        let mut passed = 0;
        for id in 0..20 {
            for (id, backend) in sent(&rig.ask(id, 5)) {
                passed += 1;
                let (attempt, outcome, load) = (AttemptIndex(0), Outcome::Ok, LoadReport::default());
                let (id, elapsed, settled, billed) = (RequestId(id), 50 * MS, true, None);
                let fleet_use = Some(used);
                rig.ended(AttemptResult {
                    id,
                    attempt,
                    backend,
                    outcome,
                    elapsed,
                    request_done: settled,
                    quota_use: fleet_use,
                    billed_units: billed,
                    load,
                    body_consumed: false,
                });
            }
            rig.run(9 * SEC);
        }
        passed
    };
    assert_eq!(passes(f64::NAN), passes(0.2), "a meter of nonsense is passed over");
    assert!(passes(2.0) < passes(0.2), "a customer metered at twice its rate passes less than a calm one");
}

#[test]
fn all_gateways_together_send_a_cold_backend_less_than_one_each() {
    // Danger: a floor of one from each of hundreds pushes a cold backend over.
    let sends = (0..60).map(|me| {
        let mut rig = Rig::new(many(300, me, Plan::with_rate("open", 0.0, 0.0)), 1);
        let mut row = BackendRow::new(backend(0), BackendState::Ready);
        row.started_at = rig.now;
        rig.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: vec![row] });
        sent(&rig.ask(1, 5)).len()
    });
    let all: usize = sends.sum();
    assert!(all < 15, "{all} of 60 gateways send at once to a backend that has just started");
}

#[test]
fn the_floor_under_refusals_is_taken_in_turns() {
    // Danger: one out at each of hundreds of gateways is several at every backend, and the jam stays.
    let lets_in = (0..60).map(|me| {
        let one_try = Config { max_attempts: 1, ..many(300, me, Plan::with_rate("open", 0.0, 0.0)) };
        let mut rig = Rig::new(one_try, 15);
        for id in 0..40 {
            for (id, on) in sent(&rig.ask(id, 50 + u64::from(id))) {
                rig.run(1_900 * MS);
                rig.end(id, 0, on, Outcome::Timeout, 1_900);
            }
            rig.run(200 * MS);
        }
        sent(&rig.ask(100, 999)).len()
    });
    let all: usize = lets_in.sum();
    assert!(all < 20, "{all} of 60 gateways let one in on a jammed fleet");
}

#[test]
fn a_gateway_keeps_to_its_own_subset_of_backends_and_leaves_it_when_it_must() {
    // Danger: hundreds of gateways connected to every backend fill its connections.
    let used = |me: u32| {
        let mut rig = rig(300, me, 100);
        let mut met = BTreeSet::new();
        for id in 0..300 {
            for (id, on) in sent(&rig.ask(id, 1_000 + u64::from(id))) {
                met.insert(on);
                rig.end(id, 0, on, Outcome::Ok, 20);
            }
            rig.run(10 * MS);
        }
        met
    };
    let (one, other) = (used(3), used(4));
    assert!(one.len() < 40 && other.len() < 40, "{} and {}", one.len(), other.len());
    assert_ne!(one, other, "subsets differ, so that all backends are used");
    let mut rig = rig(300, 3, 100);
    let rows = one.iter().map(|b| BackendRow::new(*b, BackendState::Gone)).collect();
    rig.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows });
    let next = (0..20).flat_map(|id| sent(&rig.ask(id, 2_000 + u64::from(id)))).next();
    assert!(next.is_some_and(|(_, on)| !one.contains(&on)), "widened when its subset is gone");
}

#[test]
fn a_full_once_seen_does_not_mark_a_backend_for_good_nor_other_classes() {
    // Danger: where nothing is reported, backends that once answered `full` were shunned ever after and
    // the rest jammed; and a `full` that concerns one class alone kept the others away.
    let classes = vec![Class::pure("a", SEC, 2 * SEC), Class::pure("b", SEC, 2 * SEC)];
    let plans = vec![Plan::with_rate("open", 0.0, 0.0), Plan::with_rate("other", 0.0, 0.0)];
    let mut rig = Rig::new(Config { classes, plans, max_attempts: 2, ..config() }, 2);
    for id in 0..10 {
        for (id, on) in sent(&rig.ask(id, 5)) {
            let full = on == backend(0);
            let acts = rig.end(id, 0, on, if full { Outcome::Full } else { Outcome::Ok }, 10);
            for (id, on) in sent(&acts) {
                rig.end(id, 1, on, Outcome::Ok, 10);
            }
        }
        rig.run(100 * MS);
    }
    let mut share = |from: u32, class: u16, plan: u16| {
        let mut met = 0;
        for id in from..from + 40 {
            let acts = rig.feed(Event::Request(Arrival {
                id: RequestId(id),
                class: ClassIndex(class),
                plan: PlanIndex(plan),
                customer: CustomerId(u64::from(plan)),
                deadline: rig.now + 2 * SEC,
                units: 1.0,
                spread: 2.0,
                first_gateway: 0.0,
                client_repeat: false,
                write: false,
                body_pending: false,
            }));
            for (id, on) in sent(&acts) {
                met += usize::from(on == backend(0));
                rig.end(id, 0, on, Outcome::Ok, 10);
            }
            rig.run(10 * MS);
        }
        rig.run(60 * SEC);
        met
    };
    assert!(share(100, 1, 1) > 5, "another class and plan still use it");
    assert!(share(200, 0, 0) > 5, "and the same one does a minute later");
}

/// Gateways on one clock. Each takes a request every `every` and ends each attempt after 100 ms.
struct Fleet {
    rigs: Vec<Rig>,
    due: Vec<(Micros, usize, u32, BackendId)>,
    next: u32,
}

impl Fleet {
    fn new(gateways: u32, backends: u8) -> Self {
        let open = Plan::with_rate("open", 0.0, 0.0);
        let rigs = (0..gateways).map(|me| {
            let mut rig = Rig::new(many(gateways, me, open.clone()), backends);
            rig.spread = f64::from(gateways);
            rig
        });
        Fleet { rigs: rigs.collect(), due: Vec::new(), next: 0 }
    }

    fn tell(&mut self, rows: &[BackendRow]) {
        for rig in &mut self.rigs {
            rig.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: rows.to_vec() });
        }
    }

    /// Plays on for so long; returns when and where all gateways together sent.
    fn play(&mut self, span: Micros, every: Micros) -> Vec<(Micros, BackendId)> {
        let (mut all, step) = (Vec::new(), 10 * MS);
        let gateways = self.rigs.len() as u64;
        for t in 0..span / step {
            for (g, rig) in self.rigs.iter_mut().enumerate() {
                let due = self.due.extract_if(.., |d| d.1 == g && d.0 <= rig.now).collect::<Vec<_>>();
                for (_, _, id, on) in due {
                    rig.end(id, 0, on, Outcome::Ok, 100);
                }
                // Each at an instant of its own.
                if (t * step + g as u64 * every / gateways) % every < step {
                    self.next += 1;
                    for (id, on) in sent(&rig.ask(self.next, u64::from(self.next))) {
                        self.due.push((rig.now + 100 * MS, g, id, on));
                        all.push((rig.now, on));
                    }
                }
                rig.run(step);
            }
        }
        all
    }
}

#[test]
fn cold_backends_get_their_part_from_many_gateways_and_no_more() {
    // Danger: of a hundred gateways each has a fraction of a request for a cold backend. By a lot for each
    // span hardly one was sent: 36 of 60 backends stood idle while the others were jammed.
    let mut fleet = Fleet::new(60, 20);
    fleet.play(4 * SEC, 250 * MS);
    let now = fleet.rigs[0].now;
    let rows: Vec<_> = (0..12)
        .map(|n| BackendRow { started_at: now, ..BackendRow::new(backend(n), BackendState::Ready) })
        .collect();
    fleet.tell(&rows);
    let all = fleet.play(6 * SEC, 250 * MS);
    let to = |n: u8| all.iter().filter(|s| s.1 == backend(n)).count() as f64;
    let cold = (0..12).map(to).sum::<f64>() / 12.0;
    let warm = (12..20).map(to).sum::<f64>() / 8.0;
    // They are at 0.2 to 0.52 of their capacity.
    assert!(cold > 0.15 * warm, "{cold} to each cold backend, {warm} to each warm one");
    for n in 0..12 {
        let times: Vec<_> = all.iter().filter(|s| s.1 == backend(n)).map(|s| s.0).collect();
        let most =
            times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + 2 * SEC).count()).max();
        let bound = 2.0 * 0.52 * warm / 3.0;
        assert!((most.unwrap_or(0) as f64) < bound, "{most:?} in 2 s, {warm} in 6 s to each warm one");
    }
}

#[test]
fn a_correction_of_guessed_units_is_no_call_of_its_own_where_calls_are_short() {
    // Danger: a hundred gateways that each put right half a unit took most of what the counter bears.
    let (mut corrected, mut alone) = (0, 0);
    for customer in 0..40 {
        let config = Config { billed_on_response: true, ..many(30, 7, Plan::with_rate("small", 10.0, 20.0)) };
        let mut rig = Rig::new(config, 100);
        rig.spread = 30.0;
        // The counter turns one away: calls are short for a while.
        let away = (100..200).find_map(|id| calls(&rig.ask(id, 1_000 + u64::from(id))).first().copied());
        rig.counted(away.expect("a call").0, CounterResult::NotAdded);
        for id in 0..2 {
            let mut acts = rig.ask(id, customer);
            for (name, amount) in calls(&acts) {
                alone += u32::from(amount == 0.5);
                acts.extend(rig.counted(name, CounterResult::Total(amount)));
            }
            for (id, backend) in sent(&acts) {
                let (id, attempt, outcome, load) =
                    (RequestId(id), AttemptIndex(0), Outcome::Ok, LoadReport::default());
                let (elapsed, settled, fleet_use, billed) = (50 * MS, true, None, Some(1.5));
                rig.ended(AttemptResult {
                    id,
                    attempt,
                    backend,
                    outcome,
                    elapsed,
                    request_done: settled,
                    quota_use: fleet_use,
                    billed_units: billed,
                    load,
                    body_consumed: false,
                });
            }
            corrected += sent(&acts).len();
            for _ in 0..20 {
                for (name, amount) in calls(&rig.run(100 * MS)) {
                    alone += u32::from(amount == 0.5);
                    rig.counted(name, CounterResult::Total(amount));
                }
            }
        }
    }
    assert!(corrected > 40 && alone == 0, "{alone} calls for half a unit, {corrected} requests corrected");
}

#[test]
fn a_backend_of_errors_costs_each_of_many_gateways_few_requests() {
    // Danger: at four requests a second over sixteen backends, five errors took half a minute to come, and a
    // backend ejected for half a second was back before its next request was due.
    let (mut errors, mut met) = (0, 0);
    for me in 0..20 {
        let mut rig = Rig::new(many(100, me, Plan::with_rate("open", 0.0, 0.0)), 60);
        let mut bad = BTreeSet::new();
        for id in 0..160 {
            for (id, on) in sent(&rig.ask(id, u64::from(id))) {
                rig.run(50 * MS);
                let fails = on.address[3] < 6;
                if fails {
                    bad.insert(on);
                    errors += 1;
                }
                // Another attempt that follows is served.
                let acts = rig.end(id, 0, on, if fails { Outcome::Error } else { Outcome::Ok }, 50);
                for (id, on) in sent(&acts) {
                    rig.end(id, 1, on, Outcome::Ok, 50);
                }
            }
            let probes = rig.run(200 * MS);
            for a in probes {
                if let Action::Probe { backend } = a {
                    let load = LoadReport::default();
                    rig.feed(Event::Probed { backend, outcome: Outcome::Ok, elapsed: MS, load });
                }
            }
        }
        met += bad.len();
    }
    assert!(
        met > 20 && errors < 4 * met,
        "{errors} requests lost, {met} pairs of a gateway and a bad backend"
    );
}

#[test]
fn calls_go_where_they_decide_something() {
    // Danger: with parts below a request all gateways need calls. Reading the last window beside the present
    // one, and asking for plans whose excess costs nothing, took them from requests decided by the odds.
    let free = Plan { over_cost: 0.0, ..Plan::with_rate("free", 5.0, 10.0) };
    let dear = Plan::with_rate("dear", 5.0, 10.0);
    let made = |gateways: u32| {
        let config = Config { plans: vec![free.clone(), dear.clone()], ..many(gateways, 7, dear.clone()) };
        let mut rig = Rig::new(config, 60);
        let (mut made, mut most) = ([0, 0], 0);
        for id in 0..400 {
            let plan = id % 2;
            let mut acts = rig.feed(Event::Request(Arrival {
                id: RequestId(id),
                class: ClassIndex(0),
                plan: PlanIndex(plan as u16),
                customer: CustomerId(u64::from(id)),
                deadline: rig.now + 2 * SEC,
                units: 1.0,
                spread: f64::from(gateways),
                first_gateway: 0.0,
                client_repeat: false,
                write: false,
                body_pending: false,
            }));
            let out = calls(&acts);
            made[plan as usize] += usize::from(!out.is_empty());
            most = most.max(out.len());
            let mut waiting = out;
            while let Some((name, amount)) = waiting.pop() {
                let more = rig.counted(name, CounterResult::Total(amount + 5.0));
                waiting.extend(calls(&more));
                acts.extend(more);
            }
            for (id, on) in sent(&acts) {
                rig.end(id, 0, on, Outcome::Ok, 50);
            }
        }
        (made, most)
    };
    let ([free, dear], _) = made(20);
    assert!(dear > 50 && free < 20, "calls for {free} of 200 with nothing to lose, for {dear} of 200 others");
    let (_, most) = made(16);
    assert_eq!(most, 1, "the counter seems to have room, and one call settles a request");
}

#[test]
fn a_counter_that_is_back_from_an_outage_is_soon_relied_on() {
    // Danger: each of hundreds makes about one call a second then; one by one, ten answers were needed.
    let mut rig = rig(300, 7, 100);
    let mut next = 0;
    let mut play = |rig: &mut Rig, seconds: u32, answer: CounterResult| {
        for _ in 0..seconds * 10 {
            next += 1;
            // This one's part holds a request: its counts are synced whatever the counter does.
            rig.spread = 2.0;
            rig.ask(next, 5);
            rig.run(100 * MS);
            let acts = std::mem::take(&mut rig.out);
            answer_calls(rig, &acts, answer);
            for (id, on) in sent(&acts) {
                rig.end(id, 0, on, Outcome::Ok, 50);
            }
        }
        // One whose part holds none is held for a total where the counter is relied on.
        next += 1;
        rig.spread = 300.0;
        let acts = rig.ask(next, 1_000 + u64::from(next));
        answer_calls(rig, &acts, answer);
        calls(&acts).len()
    };
    assert!(play(&mut rig, 5, CounterResult::Total(1.0)) > 0, "while the counter is well");
    assert_eq!(play(&mut rig, 12, CounterResult::NotAdded), 0, "while it is away");
    assert!(play(&mut rig, 6, CounterResult::Total(1.0)) > 0, "6 s after its return");
}

#[test]
fn what_is_kept_of_a_long_day_of_ever_new_names_has_an_end() {
    // Danger: a gateway that runs for weeks meets customers, backends and windows without number.
    let mut rig = rig(300, 7, 8);
    let mut most = [0; 5];
    for id in 0..20_000u32 {
        rig.out.clear();
        rig.ask(id, 1_000 + u64::from(id));
        if id % 20 == 0 {
            // One backend is replaced by another of a new name.
            let n = id / 20;
            let old = BackendRow::new(named(n), BackendState::Gone);
            let new = BackendRow::new(named(n + 1), BackendState::Ready);
            rig.feed(Event::Backends { kind: ListKind::Delta, version: u64::from(id), rows: vec![old, new] });
        }
        rig.run(100 * MS);
        let acts = std::mem::take(&mut rig.out);
        answer_calls(&mut rig, &acts, CounterResult::Total(1.0));
        for (id, on) in sent(&acts) {
            rig.end(id, 0, on, if id % 7 == 0 { Outcome::Timeout } else { Outcome::Ok }, 50);
        }
        let v = rig.gateway.diagnostics();
        let kept = [v.customers, v.counter_keys, v.requests, v.timers, v.known_backends];
        most = std::array::from_fn(|i| most[i].max(kept[i]));
    }
    // Ten requests a second, and a customer is forgotten after 16 s: 160 and those of a second between sweeps.
    assert!(most[0] < 250 && most[1] < 500, "{} customers and {} names", most[0], most[1]);
    assert!(most[2] < 60 && most[3] < 60, "{} requests and {} timers", most[2], most[3]);
    assert!(most[4] < 24, "{} backends", most[4]);
}

fn named(n: u32) -> BackendId {
    let [_, a, b, c] = n.to_be_bytes();
    BackendId { address: [11, a, b, c], port: 80 }
}

#[test]
fn a_class_of_a_short_aim_is_not_shut_out_by_one_of_a_long_aim() {
    // Danger: with most backends cold, the class that may wait longer filled all queues up to its own aim.
    let mut classes = vec![Class::pure("short", 600 * MS, 2 * SEC), Class::pure("long", 1_500 * MS, 5 * SEC)];
    classes[1].worth = 3.0;
    let config = Config { classes, ..many(300, 7, Plan::with_rate("open", 0.0, 0.0)) };
    let mut rig = Rig::new(config, 16);
    let (mut asked, mut sent_on) = ([0u32; 2], [0u32; 2]);
    let mut out: Vec<(Micros, u32, BackendId)> = Vec::new();
    for id in 0..1_200u32 {
        let class = (id % 2) as usize;
        let acts = rig.ask_class(id, 1_000 + u64::from(id), class);
        // Own work takes 150 ms; what stands in the queues, the more the longer the day has gone on.
        let took = if id < 200 { 150 } else { 450 };
        out.extend(sent(&acts).into_iter().map(|(id, on)| (rig.now + took * MS, id, on)));
        if id >= 600 {
            asked[class] += 1;
            sent_on[class] += sent(&acts).len() as u32;
        }
        rig.run(50 * MS);
        let due = out.iter().filter(|o| o.0 <= rig.now).copied().collect::<Vec<_>>();
        out.retain(|o| o.0 > rig.now);
        for (_, id, on) in due {
            rig.end(id, 0, on, Outcome::Ok, took);
        }
    }
    let rate = |c: usize| f64::from(sent_on[c]) / f64::from(asked[c]);
    assert!(rate(0) > 0.2 * rate(1), "of the short one {:.2} go on, of the long one {:.2}", rate(0), rate(1));
    assert!(rate(0) < rate(1), "the worthier one goes first: {:.2} and {:.2}", rate(0), rate(1));
}
