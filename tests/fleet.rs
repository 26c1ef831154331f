//! Tests the quotas over a whole fleet: several gateways, one counter and a clock that the test moves. Few
//! requests pass beyond a quota whatever the counter does, and customers that keep within their quotas are
//! served.

mod common;
use caperwind::*;
use common::*;
use std::collections::{BTreeMap, HashMap};

/// The time step of the simulation.
const STEP: Micros = 5 * MS;
const GATEWAYS: usize = 4;
/// The rate of the plan in units per second.
const RATE: f64 = 4.0;
/// The burst of the plan in units.
const BURST: f64 = 12.0;

/// How the counter behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CounterBehavior {
    /// All calls are answered in time.
    InTime,
    /// All calls are answered after the time-out.
    Late,
    /// All calls are answered in time, but half-way through the counter loses all totals at once.
    LosesTotals,
}

/// A customer's quota and the results of its requests.
#[derive(Clone)]
struct Account {
    /// The units left in a token bucket that sees all requests sent to backends.
    tokens_left: f64,
    /// The requests sent within the quota.
    within: f64,
    /// The requests sent beyond the quota.
    beyond: f64,
    /// The requests that a single token bucket which sees all of them would admit.
    ideal: f64,
}

/// Gateways with one shared counter. Backends serve each attempt in 20 ms.
struct Fleet {
    harnesses: Vec<Harness>,
    /// The totals on the counter.
    totals: HashMap<CounterKey, f64>,
    /// Events to deliver: time and sequence number, gateway and event.
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    sequence: u64,
    counter: CounterBehavior,
    /// The accounts by customer.
    accounts: HashMap<u64, Account>,
    /// The customers by request id.
    customers: HashMap<u32, u64>,
}

impl Fleet {
    fn new(counter: CounterBehavior) -> Self {
        let plan = Plan { over_cost: 0.6, ..Plan::with_rate("plan", RATE, BURST) };
        let config_of = |index| Config {
            own_index: GatewayIndex(index),
            gateways: GATEWAYS as u32,
            plans: vec![plan.clone()],
            ..config()
        };
        let harnesses = (0..GATEWAYS).map(|index| {
            let mut harness = Harness::new(config_of(index as u32), 8);
            harness.spread = GATEWAYS as f64;
            harness
        });
        Fleet {
            harnesses: harnesses.collect(),
            totals: HashMap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            counter,
            accounts: HashMap::new(),
            customers: HashMap::new(),
        }
    }

    /// Delivers an event to a gateway at the time `at`.
    fn schedule(&mut self, at: Micros, gateway: usize, event: Event) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), (gateway, event));
    }

    /// Carries out the actions of a gateway.
    fn execute(&mut self, gateway: usize, actions: Vec<Action>) {
        let now = self.harnesses[gateway].now;
        for action in actions {
            match action {
                Action::CallCounter { key, amount, .. } => {
                    let total = self.totals.entry(key).or_default();
                    *total += amount;
                    let total = CounterResult::Total(*total);
                    if self.counter == CounterBehavior::Late {
                        let result = CounterResult::Overdue;
                        let overdue = Event::CounterCallEnded { key, result, elapsed: 50 * MS };
                        self.schedule(now + 50 * MS, gateway, overdue);
                        let late = Event::OverdueCallEnded { key, amount, result: total };
                        self.schedule(now + 70 * MS, gateway, late);
                    } else {
                        let answered = Event::CounterCallEnded { key, result: total, elapsed: 4 * MS };
                        self.schedule(now + 4 * MS, gateway, answered);
                    }
                }
                Action::Send { id, backend, .. } => {
                    let account =
                        self.accounts.get_mut(&self.customers[&id.0]).expect("every customer has an account");
                    if account.tokens_left >= 1.0 {
                        (account.tokens_left, account.within) =
                            (account.tokens_left - 1.0, account.within + 1.0);
                    } else {
                        account.beyond += 1.0;
                    }
                    let ended = AttemptResult {
                        id,
                        attempt: AttemptIndex(0),
                        backend,
                        outcome: Outcome::Ok,
                        elapsed: 20 * MS,
                        request_done: true,
                        quota_use: None,
                        billed_units: None,
                        load: LoadReport::default(),
                        body_consumed: false,
                    };
                    self.schedule(now + 20 * MS, gateway, Event::AttemptEnded(ended));
                }
                _ => {}
            }
        }
    }

    /// Runs the fleet for `span`. Customer n sends `rate_factors[n]` times its quota's rate, through its
    /// gateways in turn but unevenly.
    fn run(&mut self, span: Micros, rate_factors: &[f64]) {
        let (mut id, mut requests_due) = (0, vec![0.0; rate_factors.len()]);
        let mut ideal_tokens = vec![BURST; rate_factors.len()];
        for step in 0..span / STEP {
            if self.counter == CounterBehavior::LosesTotals && step * STEP == span / 2 {
                self.totals.clear();
            }
            for gateway in 0..GATEWAYS {
                let now = self.harnesses[gateway].now;
                let arriving: Vec<_> = self.due.range(..=(now, u64::MAX)).map(|(k, v)| (*k, v.0)).collect();
                for key in arriving.iter().filter(|c| c.1 == gateway).map(|c| c.0) {
                    let (_, event) = self.due.remove(&key).expect("it is due");
                    let actions = self.harnesses[gateway].feed(event);
                    self.execute(gateway, actions);
                }
                let actions = self.harnesses[gateway].advance(STEP);
                self.execute(gateway, actions);
            }
            for (customer, rate_factor) in rate_factors.iter().enumerate() {
                let gained = RATE * STEP as f64 / SEC as f64;
                let account = self.accounts.entry(customer as u64).or_insert(Account {
                    tokens_left: BURST,
                    within: 0.0,
                    beyond: 0.0,
                    ideal: 0.0,
                });
                account.tokens_left = (account.tokens_left + gained).min(BURST);
                ideal_tokens[customer] = (ideal_tokens[customer] + gained).min(BURST);
                requests_due[customer] += gained * rate_factor;
                if requests_due[customer] >= 1.0 {
                    requests_due[customer] -= 1.0;
                    if ideal_tokens[customer] >= 1.0 {
                        (ideal_tokens[customer], account.ideal) =
                            (ideal_tokens[customer] - 1.0, account.ideal + 1.0);
                    }
                    id += 1;
                    self.customers.insert(id, customer as u64);
                    // Two in five requests come through the first gateway.
                    let gateway = [0, 1, 0, 2, 3][id as usize % 5];
                    let actions = self.harnesses[gateway].request(id, customer as u64);
                    self.execute(gateway, actions);
                }
            }
        }
    }
}

#[test]
fn what_goes_on_beyond_quotas_stays_small_and_room_is_used() {
    // Half of the quota, nearly all of it, and far more.
    let rate_factors = [0.5, 0.5, 0.8, 0.95, 3.0, 7.0];
    for counter in [CounterBehavior::InTime, CounterBehavior::Late, CounterBehavior::LosesTotals] {
        let mut fleet = Fleet::new(counter);
        fleet.run(40 * SEC, &rate_factors);
        let accounts: Vec<Account> =
            (0..rate_factors.len()).map(|n| fleet.accounts[&(n as u64)].clone()).collect();
        let sum = |field: fn(&Account) -> f64| accounts.iter().map(field).sum::<f64>();
        let (beyond, within) = (sum(|a| a.beyond) / sum(|a| a.ideal), sum(|a| a.within) / sum(|a| a.ideal));
        let summary = format!(
            "counter {counter:?}: beyond quotas {beyond:.3}, within them {within:.3} of the ideal number"
        );
        eprintln!("{summary}");
        for (account, rate_factor) in accounts.iter().zip(rate_factors) {
            eprintln!(
                "  {rate_factor} times the rate: {:.0} beyond the quota, {:.0} of {:.0} within it",
                account.beyond, account.within, account.ideal
            );
        }
        // A request beyond its quota costs 0.6 of its worth.
        assert!(beyond * 0.6 <= 0.1, "{summary}");
        assert!(within >= 0.9, "{summary}");
        let within_quota = accounts.iter().zip(rate_factors).filter(|(_, rate_factor)| *rate_factor <= 0.8);
        within_quota.for_each(|(a, rate_factor)| {
            assert!(
                a.within >= 0.95 * a.ideal,
                "counter {counter:?}, {rate_factor} times the rate: {} requests within the quota",
                a.within
            )
        });
    }
}
