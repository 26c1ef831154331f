//! Tests of failures that occur with many gateways only: each gateway sees few requests, but one request from
//! each of them makes hundreds.

mod common;
use caperwind::*;
use common::*;
use std::collections::BTreeSet;

/// Returns the settings of gateway `index` of `gateways` with this plan and without hedging.
fn gateway_config(gateways: u32, index: u32, plan: Plan) -> Config {
    Config { gateways, own_index: GatewayIndex(index), plans: vec![plan], hedging: false, ..config() }
}

/// Starts gateway `index` of `gateways`, with a plan of 1 unit/s and a burst of 4 units whose customers use
/// all gateways.
fn harness(gateways: u32, index: u32, backends: u8) -> Harness {
    let mut harness =
        Harness::new(gateway_config(gateways, index, Plan::with_rate("small", 1.0, 4.0)), backends);
    harness.spread = f64::from(gateways);
    harness
}

/// Answers each counter call in `actions` with `answer` and returns the resulting actions.
fn answer_calls(harness: &mut Harness, actions: &[Action], answer: CounterResult) -> Vec<Action> {
    counter_calls(actions).into_iter().flat_map(|(key, _)| harness.counter_call_ended(key, answer)).collect()
}

#[test]
fn a_crowded_counter_gets_fewer_calls_and_customers_still_pass() {
    // Guards against overloading the counter: every request made a call, no call was answered, and customers
    // within their quotas were refused for lack of a total.
    let mut harness = harness(300, 7, 100);
    let (mut early, mut late, mut passed) = (0, 0, 0);
    for id in 0..400 {
        let mut actions = harness.request(id, 1_000 + u64::from(id));
        let calls = counter_calls(&actions).len();
        if id < 100 {
            early += calls
        } else if id >= 300 {
            late += calls
        }
        let later = answer_calls(&mut harness, &actions, CounterResult::NotAdded);
        actions.extend(later);
        passed += sent(&actions).len();
        for (id, backend) in sent(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok, 50);
        }
        let more = harness.advance(100 * MS);
        answer_calls(&mut harness, &more, CounterResult::NotAdded);
    }
    assert!(late * 2 < early.max(2), "fewer calls while the counter is overloaded: {early}, later {late}");
    assert!(passed > 300, "{passed} of 400 new customers passed");
}

#[test]
fn a_customer_that_repeats_is_not_granted_once_per_ask_without_totals() {
    // Guards against deciding by the probability of being over quota alone: a single gateway of hundreds
    // could exceed a small quota many times over.
    let mut harness = harness(300, 7, 100);
    let mut passed = 0;
    for id in 0..100 {
        let actions = harness.request(id, 5);
        let later = answer_calls(&mut harness, &actions, CounterResult::NotAdded);
        for (id, backend) in sent(&actions).into_iter().chain(sent(&later)) {
            passed += 1;
            harness.end_attempt(id, 0, backend, Outcome::Ok, 50);
        }
        harness.advance(20 * MS);
    }
    assert!(passed <= 2, "{passed} requests passed at one gateway of 300 in half a window");
}

#[test]
fn the_meter_tells_who_is_over_where_no_call_can_be_made() {
    let passed_with = |used: f64| {
        let plan = Plan::with_rate("small", 1.0, 4.0);
        let metered = Config { counter: None, meter_period: SEC, ..gateway_config(300, 7, plan) };
        let mut harness = Harness::new(metered, 100);
        harness.spread = 300.0;
        let mut passed = 0;
        for id in 0..20 {
            for (id, backend) in sent(&harness.request(id, 5)) {
                passed += 1;
                let (attempt, outcome, load) = (AttemptIndex(0), Outcome::Ok, LoadReport::default());
                let (id, elapsed, request_done, billed_units) = (RequestId(id), 50 * MS, true, None);
                let quota_use = Some(used);
                harness.attempt_ended(AttemptResult {
                    id,
                    attempt,
                    backend,
                    outcome,
                    elapsed,
                    request_done,
                    quota_use,
                    billed_units,
                    load,
                    body_consumed: false,
                });
            }
            harness.advance(9 * SEC);
        }
        passed
    };
    assert_eq!(passed_with(f64::NAN), passed_with(0.2), "an invalid meter value is ignored");
    assert!(
        passed_with(2.0) < passed_with(0.2),
        "a customer metered at twice its quota passes fewer requests than one at a fifth of it"
    );
}

#[test]
fn all_gateways_together_send_a_cold_backend_less_than_one_each() {
    // Guards against a collapse: one request from each of hundreds of gateways is more than a cold backend
    // bears.
    let sends = (0..60).map(|index| {
        let mut harness = Harness::new(gateway_config(300, index, Plan::with_rate("open", 0.0, 0.0)), 1);
        let mut row = BackendRow::new(backend_id(0), BackendState::Ready);
        row.started_at = harness.now;
        harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: vec![row] });
        sent(&harness.request(1, 5)).len()
    });
    let total: usize = sends.sum();
    assert!(total < 15, "{total} of 60 gateways sent a request at once to a backend that had just started");
}

#[test]
fn the_floor_under_refusals_is_taken_in_turns() {
    // Guards against an overload that lasts: one request admitted at each of hundreds of gateways is several
    // at every backend.
    let admitted = (0..60).map(|index| {
        let one_attempt =
            Config { max_attempts: 1, ..gateway_config(300, index, Plan::with_rate("open", 0.0, 0.0)) };
        let mut harness = Harness::new(one_attempt, 15);
        for id in 0..40 {
            for (id, backend) in sent(&harness.request(id, 50 + u64::from(id))) {
                harness.advance(1_900 * MS);
                harness.end_attempt(id, 0, backend, Outcome::Timeout, 1_900);
            }
            harness.advance(200 * MS);
        }
        sent(&harness.request(100, 999)).len()
    });
    let total: usize = admitted.sum();
    assert!(total < 20, "{total} of 60 gateways admitted a request to an overloaded fleet");
}

#[test]
fn a_gateway_keeps_to_its_own_subset_of_backends_and_leaves_it_when_it_must() {
    // Guards against exhausting the connections of a backend, to which hundreds of gateways would be
    // connected.
    let backends_used_by = |index: u32| {
        let mut harness = harness(300, index, 100);
        let mut used = BTreeSet::new();
        for id in 0..300 {
            for (id, backend) in sent(&harness.request(id, 1_000 + u64::from(id))) {
                used.insert(backend);
                harness.end_attempt(id, 0, backend, Outcome::Ok, 20);
            }
            harness.advance(10 * MS);
        }
        used
    };
    let (one, other) = (backends_used_by(3), backends_used_by(4));
    assert!(one.len() < 40 && other.len() < 40, "{} and {}", one.len(), other.len());
    assert_ne!(one, other, "subsets differ, so that all backends are used");
    let mut harness = harness(300, 3, 100);
    let rows = one.iter().map(|b| BackendRow::new(*b, BackendState::Gone)).collect();
    harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows });
    let next = (0..20).flat_map(|id| sent(&harness.request(id, 2_000 + u64::from(id)))).next();
    assert!(
        next.is_some_and(|(_, backend)| !one.contains(&backend)),
        "another backend is used when the subset is gone"
    );
}

#[test]
fn a_full_once_seen_does_not_mark_a_backend_for_good_nor_other_classes() {
    // Guards against avoiding a backend for ever: without load reports, backends that had answered `full`
    // once got no more requests and the others were overloaded. A `full` for one class also kept the other
    // classes away.
    let classes = vec![Class::pure("a", SEC, 2 * SEC), Class::pure("b", SEC, 2 * SEC)];
    let plans = vec![Plan::with_rate("open", 0.0, 0.0), Plan::with_rate("other", 0.0, 0.0)];
    let mut harness = Harness::new(Config { classes, plans, max_attempts: 2, ..config() }, 2);
    for id in 0..10 {
        for (id, backend) in sent(&harness.request(id, 5)) {
            let full = backend == backend_id(0);
            let actions =
                harness.end_attempt(id, 0, backend, if full { Outcome::Full } else { Outcome::Ok }, 10);
            for (id, backend) in sent(&actions) {
                harness.end_attempt(id, 1, backend, Outcome::Ok, 10);
            }
        }
        harness.advance(100 * MS);
    }
    let mut requests_to_full_backend = |first_id: u32, class: u16, plan: u16| {
        let mut count = 0;
        for id in first_id..first_id + 40 {
            let actions = harness.feed(Event::Request(Arrival {
                id: RequestId(id),
                class: ClassIndex(class),
                plan: PlanIndex(plan),
                customer: CustomerId(u64::from(plan)),
                deadline: harness.now + 2 * SEC,
                units: 1.0,
                spread: 2.0,
                first_gateway: 0.0,
                client_repeat: false,
                write: false,
                body_pending: false,
            }));
            for (id, backend) in sent(&actions) {
                count += usize::from(backend == backend_id(0));
                harness.end_attempt(id, 0, backend, Outcome::Ok, 10);
            }
            harness.advance(10 * MS);
        }
        harness.advance(60 * SEC);
        count
    };
    assert!(requests_to_full_backend(100, 1, 1) > 5, "another class and plan still use the backend");
    assert!(requests_to_full_backend(200, 0, 0) > 5, "the same class and plan use it a minute later");
}

/// Gateways on one clock. Each attempt ends after 100 ms.
struct Fleet {
    harnesses: Vec<Harness>,
    /// The attempts in flight: when each ends, its gateway, request and backend.
    due: Vec<(Micros, usize, u32, BackendId)>,
    /// The id of the last request.
    last_id: u32,
}

impl Fleet {
    fn new(gateways: u32, backends: u8) -> Self {
        let open = Plan::with_rate("open", 0.0, 0.0);
        let harnesses = (0..gateways).map(|index| {
            let mut harness = Harness::new(gateway_config(gateways, index, open.clone()), backends);
            harness.spread = f64::from(gateways);
            harness
        });
        Fleet { harnesses: harnesses.collect(), due: Vec::new(), last_id: 0 }
    }

    /// Sends these rows of the list of backends to all gateways.
    fn update_backends(&mut self, rows: &[BackendRow]) {
        for harness in &mut self.harnesses {
            harness.feed(Event::Backends { kind: ListKind::Delta, version: 2, rows: rows.to_vec() });
        }
    }

    /// Runs the fleet for `span`. Each gateway gets one request per `interval`. Returns the time and the
    /// backend of each attempt sent.
    fn run(&mut self, span: Micros, interval: Micros) -> Vec<(Micros, BackendId)> {
        let (mut sends, step) = (Vec::new(), 10 * MS);
        let gateways = self.harnesses.len() as u64;
        for step_index in 0..span / step {
            for (gateway, harness) in self.harnesses.iter_mut().enumerate() {
                let due = self
                    .due
                    .extract_if(.., |attempt| attempt.1 == gateway && attempt.0 <= harness.now)
                    .collect::<Vec<_>>();
                for (_, _, id, backend) in due {
                    harness.end_attempt(id, 0, backend, Outcome::Ok, 100);
                }
                // Each gateway has its own phase.
                if (step_index * step + gateway as u64 * interval / gateways) % interval < step {
                    self.last_id += 1;
                    for (id, backend) in sent(&harness.request(self.last_id, u64::from(self.last_id))) {
                        self.due.push((harness.now + 100 * MS, gateway, id, backend));
                        sends.push((harness.now, backend));
                    }
                }
                harness.advance(step);
            }
        }
        sends
    }
}

#[test]
fn cold_backends_get_their_part_from_many_gateways_and_no_more() {
    // Guards against idle cold backends: each of a hundred gateways may send a fraction of a request to a
    // cold backend. When each gateway drew at random in each span whether to send one, hardly any were sent:
    // 36 of 60 backends were idle and the others overloaded.
    let mut fleet = Fleet::new(60, 20);
    fleet.run(4 * SEC, 250 * MS);
    let now = fleet.harnesses[0].now;
    let rows: Vec<_> = (0..12)
        .map(|n| BackendRow { started_at: now, ..BackendRow::new(backend_id(n), BackendState::Ready) })
        .collect();
    fleet.update_backends(&rows);
    let sends = fleet.run(6 * SEC, 250 * MS);
    let count_to = |n: u8| sends.iter().filter(|s| s.1 == backend_id(n)).count() as f64;
    let cold = (0..12).map(count_to).sum::<f64>() / 12.0;
    let warm = (12..20).map(count_to).sum::<f64>() / 8.0;
    // The cold backends are at 0.2 to 0.52 of their capacity.
    assert!(cold > 0.15 * warm, "{cold} requests to each cold backend, {warm} to each warm one");
    for n in 0..12 {
        let times: Vec<_> = sends.iter().filter(|s| s.1 == backend_id(n)).map(|s| s.0).collect();
        let max_in_2_s = times
            .iter()
            .map(|start| times.iter().filter(|time| **time >= *start && **time < start + 2 * SEC).count())
            .max();
        let bound = 2.0 * 0.52 * warm / 3.0;
        assert!(
            (max_in_2_s.unwrap_or(0) as f64) < bound,
            "{max_in_2_s:?} requests in 2 s, {warm} in 6 s to each warm backend"
        );
    }
}

#[test]
fn a_correction_of_guessed_units_is_no_call_of_its_own_where_calls_are_short() {
    // Guards against corrections that take most of the counter's capacity: each of a hundred gateways made
    // calls to correct half a unit.
    let (mut corrected, mut correction_calls) = (0, 0);
    for customer in 0..40 {
        let config = Config {
            billed_on_response: true,
            ..gateway_config(30, 7, Plan::with_rate("small", 10.0, 20.0))
        };
        let mut harness = Harness::new(config, 100);
        harness.spread = 30.0;
        // The counter rejects a call: for a while the gateway makes fewer calls.
        let rejected = (100..200)
            .find_map(|id| counter_calls(&harness.request(id, 1_000 + u64::from(id))).first().copied());
        harness.counter_call_ended(rejected.expect("a call").0, CounterResult::NotAdded);
        for id in 0..2 {
            let mut actions = harness.request(id, customer);
            for (key, amount) in counter_calls(&actions) {
                correction_calls += u32::from(amount == 0.5);
                actions.extend(harness.counter_call_ended(key, CounterResult::Total(amount)));
            }
            for (id, backend) in sent(&actions) {
                let (id, attempt, outcome, load) =
                    (RequestId(id), AttemptIndex(0), Outcome::Ok, LoadReport::default());
                let (elapsed, request_done, quota_use, billed_units) = (50 * MS, true, None, Some(1.5));
                harness.attempt_ended(AttemptResult {
                    id,
                    attempt,
                    backend,
                    outcome,
                    elapsed,
                    request_done,
                    quota_use,
                    billed_units,
                    load,
                    body_consumed: false,
                });
            }
            corrected += sent(&actions).len();
            for _ in 0..20 {
                for (key, amount) in counter_calls(&harness.advance(100 * MS)) {
                    correction_calls += u32::from(amount == 0.5);
                    harness.counter_call_ended(key, CounterResult::Total(amount));
                }
            }
        }
    }
    assert!(
        corrected > 40 && correction_calls == 0,
        "{correction_calls} calls that add half a unit, {corrected} requests corrected"
    );
}

#[test]
fn a_backend_of_errors_costs_each_of_many_gateways_few_requests() {
    // Guards against a late ejection: at four requests/s over sixteen backends it took half a minute until a
    // backend had returned five errors, and one ejected for half a second was back before its next request
    // was due.
    let (mut errors, mut pairs) = (0, 0);
    for index in 0..20 {
        let mut harness = Harness::new(gateway_config(100, index, Plan::with_rate("open", 0.0, 0.0)), 60);
        let mut failing = BTreeSet::new();
        for id in 0..160 {
            for (id, backend) in sent(&harness.request(id, u64::from(id))) {
                harness.advance(50 * MS);
                let fails = backend.address[3] < 6;
                if fails {
                    failing.insert(backend);
                    errors += 1;
                }
                // A retry succeeds.
                let actions =
                    harness.end_attempt(id, 0, backend, if fails { Outcome::Error } else { Outcome::Ok }, 50);
                for (id, backend) in sent(&actions) {
                    harness.end_attempt(id, 1, backend, Outcome::Ok, 50);
                }
            }
            let probes = harness.advance(200 * MS);
            for action in probes {
                if let Action::Probe { backend } = action {
                    let load = LoadReport::default();
                    harness.feed(Event::Probed { backend, outcome: Outcome::Ok, elapsed: MS, load });
                }
            }
        }
        pairs += failing.len();
    }
    assert!(
        pairs > 20 && errors < 4 * pairs,
        "{errors} errors, {pairs} pairs of a gateway and a failing backend"
    );
}

#[test]
fn calls_go_where_they_decide_something() {
    // Guards against calls that decide nothing. If each gateway's share is below one request, all gateways
    // need calls. Reading the previous window besides the current one, and calls for plans without a cost
    // beyond the quota, left no calls for requests that were then decided by probability.
    let free = Plan { over_cost: 0.0, ..Plan::with_rate("free", 5.0, 10.0) };
    let costly = Plan::with_rate("dear", 5.0, 10.0);
    let calls_with = |gateways: u32| {
        let config = Config {
            plans: vec![free.clone(), costly.clone()],
            ..gateway_config(gateways, 7, costly.clone())
        };
        let mut harness = Harness::new(config, 60);
        let (mut requests_with_calls, mut max_calls) = ([0, 0], 0);
        for id in 0..400 {
            let plan = id % 2;
            let mut actions = harness.feed(Event::Request(Arrival {
                id: RequestId(id),
                class: ClassIndex(0),
                plan: PlanIndex(plan as u16),
                customer: CustomerId(u64::from(id)),
                deadline: harness.now + 2 * SEC,
                units: 1.0,
                spread: f64::from(gateways),
                first_gateway: 0.0,
                client_repeat: false,
                write: false,
                body_pending: false,
            }));
            let calls = counter_calls(&actions);
            requests_with_calls[plan as usize] += usize::from(!calls.is_empty());
            max_calls = max_calls.max(calls.len());
            let mut waiting = calls;
            while let Some((key, amount)) = waiting.pop() {
                let more = harness.counter_call_ended(key, CounterResult::Total(amount + 5.0));
                waiting.extend(counter_calls(&more));
                actions.extend(more);
            }
            for (id, backend) in sent(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok, 50);
            }
        }
        (requests_with_calls, max_calls)
    };
    let ([free, costly], _) = calls_with(20);
    assert!(
        costly > 50 && free < 20,
        "calls for {free} of 200 requests without a cost beyond the quota, for {costly} of 200 others"
    );
    let (_, max_calls) = calls_with(16);
    assert_eq!(max_calls, 1, "the counter seems to have capacity, and one call decides a request");
}

#[test]
fn a_counter_that_is_back_from_an_outage_is_soon_relied_on() {
    // Guards against a slow recovery: during an outage each of hundreds of gateways makes about one call per
    // second, and it took ten answers until a gateway relied on the counter again.
    let mut harness = harness(300, 7, 100);
    let mut id = 0;
    let mut run_for = |harness: &mut Harness, seconds: u32, answer: CounterResult| {
        for _ in 0..seconds * 10 {
            id += 1;
            // This gateway's share for this customer is above one request: its units are synced whatever the
            // counter does.
            harness.spread = 2.0;
            harness.request(id, 5);
            harness.advance(100 * MS);
            let actions = std::mem::take(&mut harness.actions);
            answer_calls(harness, &actions, answer);
            for (id, backend) in sent(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok, 50);
            }
        }
        // With a share below one request, a request is held for a total if the counter is relied on.
        id += 1;
        harness.spread = 300.0;
        let actions = harness.request(id, 1_000 + u64::from(id));
        answer_calls(harness, &actions, answer);
        counter_calls(&actions).len()
    };
    assert!(run_for(&mut harness, 5, CounterResult::Total(1.0)) > 0, "while the counter works");
    assert_eq!(run_for(&mut harness, 12, CounterResult::NotAdded), 0, "during the outage");
    assert!(run_for(&mut harness, 6, CounterResult::Total(1.0)) > 0, "6 s after the outage");
}

#[test]
fn what_is_kept_of_a_long_day_of_ever_new_names_has_an_end() {
    // Guards against unbounded memory: a gateway that runs for weeks sees ever new customers, backends and
    // windows.
    let mut harness = harness(300, 7, 8);
    let mut max_sizes = [0; 5];
    for id in 0..20_000u32 {
        harness.actions.clear();
        harness.request(id, 1_000 + u64::from(id));
        if id % 20 == 0 {
            // One backend is replaced by another with a new address.
            let n = id / 20;
            let old = BackendRow::new(numbered_backend_id(n), BackendState::Gone);
            let new = BackendRow::new(numbered_backend_id(n + 1), BackendState::Ready);
            harness.feed(Event::Backends {
                kind: ListKind::Delta,
                version: u64::from(id),
                rows: vec![old, new],
            });
        }
        harness.advance(100 * MS);
        let actions = std::mem::take(&mut harness.actions);
        answer_calls(&mut harness, &actions, CounterResult::Total(1.0));
        for (id, backend) in sent(&actions) {
            harness.end_attempt(id, 0, backend, if id % 7 == 0 { Outcome::Timeout } else { Outcome::Ok }, 50);
        }
        let diagnostics = harness.gateway.diagnostics();
        let sizes = [
            diagnostics.customers,
            diagnostics.counter_keys,
            diagnostics.requests,
            diagnostics.timers,
            diagnostics.known_backends,
        ];
        max_sizes = std::array::from_fn(|i| max_sizes[i].max(sizes[i]));
    }
    // Ten requests/s, and a customer is forgotten after 16 s: 160, and those of the second between two
    // sweeps.
    assert!(
        max_sizes[0] < 250 && max_sizes[1] < 500,
        "{} customers and {} counter keys",
        max_sizes[0],
        max_sizes[1]
    );
    assert!(max_sizes[2] < 60 && max_sizes[3] < 60, "{} requests and {} timers", max_sizes[2], max_sizes[3]);
    assert!(max_sizes[4] < 24, "{} backends", max_sizes[4]);
}

/// Returns the id of backend `n`, of up to 2^24.
fn numbered_backend_id(n: u32) -> BackendId {
    let [_, a, b, c] = n.to_be_bytes();
    BackendId { address: [11, a, b, c], port: 80 }
}

#[test]
fn a_class_of_a_short_aim_is_not_shut_out_by_one_of_a_long_aim() {
    // Guards against starving a class: with most backends cold, the class with the longer target latency
    // filled all queues up to its own target.
    let mut classes = vec![Class::pure("short", 600 * MS, 2 * SEC), Class::pure("long", 1_500 * MS, 5 * SEC)];
    classes[1].worth = 3.0;
    let config = Config { classes, ..gateway_config(300, 7, Plan::with_rate("open", 0.0, 0.0)) };
    let mut harness = Harness::new(config, 16);
    let (mut arrived, mut sent_on) = ([0u32; 2], [0u32; 2]);
    let mut in_flight: Vec<(Micros, u32, BackendId)> = Vec::new();
    for id in 0..1_200u32 {
        let class = (id % 2) as usize;
        let actions = harness.request_class(id, 1_000 + u64::from(id), class);
        // Attempts take 150 ms at first, on an idle fleet, and 450 ms from then on, when they are queued.
        let elapsed_ms = if id < 200 { 150 } else { 450 };
        in_flight.extend(
            sent(&actions).into_iter().map(|(id, backend)| (harness.now + elapsed_ms * MS, id, backend)),
        );
        if id >= 600 {
            arrived[class] += 1;
            sent_on[class] += sent(&actions).len() as u32;
        }
        harness.advance(50 * MS);
        let due = in_flight.iter().filter(|attempt| attempt.0 <= harness.now).copied().collect::<Vec<_>>();
        in_flight.retain(|attempt| attempt.0 > harness.now);
        for (_, id, backend) in due {
            harness.end_attempt(id, 0, backend, Outcome::Ok, elapsed_ms);
        }
    }
    let rate = |class: usize| f64::from(sent_on[class]) / f64::from(arrived[class]);
    assert!(
        rate(0) > 0.2 * rate(1),
        "{:.2} of the short class are sent, {:.2} of the long one",
        rate(0),
        rate(1)
    );
    assert!(rate(0) < rate(1), "the class of more worth goes first: {:.2} and {:.2}", rate(0), rate(1));
}
