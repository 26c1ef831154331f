//! Quotas hold for the fleet: several gateways, one counter and a clock that the test moves. What goes on beyond a
//! quota stays small whatever the counter does, and customers with room get it.

mod common;
use caperwind::*;
use common::*;
use std::collections::{BTreeMap, HashMap};

const STEP: Micros = 5 * MS;
const GATEWAYS: usize = 4;
const RATE: f64 = 4.0;
const BURST: f64 = 12.0;

/// What the counter does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Answers {
    Soon,
    /// Past the time-out, all of them.
    Late,
    /// All numbers are forgotten at once, in the middle.
    Empty,
}

/// A customer's store as its quota has it, and what came of its tries.
#[derive(Clone)]
struct Account {
    store: f64,
    inside: f64,
    beyond: f64,
    /// What one that saw all tries would have let in.
    ideal: f64,
}

struct Fleet {
    rigs: Vec<Rig>,
    numbers: HashMap<CounterKey, f64>,
    /// What is on its way to a gateway.
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    sequence: u64,
    answers: Answers,
    accounts: HashMap<u64, Account>,
    customers: HashMap<u32, u64>,
}

impl Fleet {
    fn new(answers: Answers) -> Self {
        let plan = Plan { over_cost: 0.6, ..Plan::with_rate("plan", RATE, BURST) };
        let of = |me| Config {
            own_index: GatewayIndex(me),
            gateways: GATEWAYS as u32,
            plans: vec![plan.clone()],
            ..config()
        };
        let rigs = (0..GATEWAYS).map(|me| {
            let mut rig = Rig::new(of(me as u32), 8);
            rig.spread = GATEWAYS as f64;
            rig
        });
        Fleet {
            rigs: rigs.collect(),
            numbers: HashMap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            answers,
            accounts: HashMap::new(),
            customers: HashMap::new(),
        }
    }

    fn later(&mut self, at: Micros, gateway: usize, event: Event) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), (gateway, event));
    }

    fn carry_out(&mut self, gateway: usize, acts: Vec<Action>) {
        let now = self.rigs[gateway].now;
        for act in acts {
            match act {
                Action::CallCounter { key: name, amount, .. } => {
                    let total = self.numbers.entry(name).or_default();
                    *total += amount;
                    let total = CounterResult::Total(*total);
                    if self.answers == Answers::Late {
                        let result = CounterResult::Overdue;
                        let overdue = Event::CounterCallEnded { key: name, result, elapsed: 50 * MS };
                        self.later(now + 50 * MS, gateway, overdue);
                        let late = Event::OverdueCallEnded { key: name, amount, result: total };
                        self.later(now + 70 * MS, gateway, late);
                    } else {
                        let told = Event::CounterCallEnded { key: name, result: total, elapsed: 4 * MS };
                        self.later(now + 4 * MS, gateway, told);
                    }
                }
                Action::Send { id, backend, .. } => {
                    let account = self.accounts.get_mut(&self.customers[&id.0]).expect("an account");
                    if account.store >= 1.0 {
                        (account.store, account.inside) = (account.store - 1.0, account.inside + 1.0);
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
                    self.later(now + 20 * MS, gateway, Event::AttemptEnded(ended));
                }
                _ => {}
            }
        }
    }

    /// Plays so long; each customer asks so many times its rate, through its gateways in turn but unevenly.
    fn play(&mut self, span: Micros, asks: &[f64]) {
        let (mut id, mut owed) = (0, vec![0.0; asks.len()]);
        let mut free = vec![BURST; asks.len()];
        for step in 0..span / STEP {
            if self.answers == Answers::Empty && step * STEP == span / 2 {
                self.numbers.clear();
            }
            for gateway in 0..GATEWAYS {
                let now = self.rigs[gateway].now;
                let come: Vec<_> = self.due.range(..=(now, u64::MAX)).map(|(k, v)| (*k, v.0)).collect();
                for key in come.iter().filter(|c| c.1 == gateway).map(|c| c.0) {
                    let (_, event) = self.due.remove(&key).expect("it is due");
                    let acts = self.rigs[gateway].feed(event);
                    self.carry_out(gateway, acts);
                }
                let acts = self.rigs[gateway].run(STEP);
                self.carry_out(gateway, acts);
            }
            for (n, times) in asks.iter().enumerate() {
                let gained = RATE * STEP as f64 / SEC as f64;
                let account = self.accounts.entry(n as u64).or_insert(Account {
                    store: BURST,
                    inside: 0.0,
                    beyond: 0.0,
                    ideal: 0.0,
                });
                account.store = (account.store + gained).min(BURST);
                free[n] = (free[n] + gained).min(BURST);
                owed[n] += gained * times;
                if owed[n] >= 1.0 {
                    owed[n] -= 1.0;
                    if free[n] >= 1.0 {
                        (free[n], account.ideal) = (free[n] - 1.0, account.ideal + 1.0);
                    }
                    id += 1;
                    self.customers.insert(id, n as u64);
                    // Two in five come through the first.
                    let gateway = [0, 1, 0, 2, 3][id as usize % 5];
                    let acts = self.rigs[gateway].ask(id, n as u64);
                    self.carry_out(gateway, acts);
                }
            }
        }
    }
}

#[test]
fn what_goes_on_beyond_quotas_stays_small_and_room_is_used() {
    // Half of the quota, nearly all, and far more.
    let asks = [0.5, 0.5, 0.8, 0.95, 3.0, 7.0];
    for answers in [Answers::Soon, Answers::Late, Answers::Empty] {
        let mut fleet = Fleet::new(answers);
        fleet.play(40 * SEC, &asks);
        let all: Vec<Account> = (0..asks.len()).map(|n| fleet.accounts[&(n as u64)].clone()).collect();
        let sum = |of: fn(&Account) -> f64| all.iter().map(of).sum::<f64>();
        let (beyond, inside) = (sum(|a| a.beyond) / sum(|a| a.ideal), sum(|a| a.inside) / sum(|a| a.ideal));
        let told = format!("{answers:?}: beyond {beyond:.3}, inside {inside:.3} of what might be");
        eprintln!("{told}");
        for (account, times) in all.iter().zip(asks) {
            eprintln!(
                "  {times}: {:.0} beyond, {:.0} of {:.0}",
                account.beyond, account.inside, account.ideal
            );
        }
        // What goes on beyond costs 0.6 of its worth.
        assert!(beyond * 0.6 <= 0.1, "{told}");
        assert!(inside >= 0.9, "{told}");
        let calm = all.iter().zip(asks).filter(|(_, times)| *times <= 0.8);
        calm.for_each(|(a, times)| assert!(a.inside >= 0.95 * a.ideal, "{answers:?} {times}: {}", a.inside));
    }
}
