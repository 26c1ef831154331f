//! The counter client, on loopback sockets, between calls, answers and moves that cross. Each test makes one bad
//! order happen every time.

mod common;

use badgerglade::clock::Clock;
use badgerglade::counter::{CallObserver, Counter};
use caperwind::{CounterKey, CounterResult, Micros};
use common::*;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};

/// The time of a call that is to be overdue; a busy machine stands still for less.
const SHORT: Duration = Duration::from_millis(400);
const POISON: &str = "1000000";

/// What the client was told of a call, in time or late.
#[derive(Debug, PartialEq, Clone, Copy)]
enum Told {
    Now(CounterResult),
    Late(CounterResult),
}
use Told::{Late, Now};

#[derive(Clone)]
struct Ends(UnboundedSender<(u64, Told)>);

impl CallObserver for Ends {
    fn call_ended(&self, name: CounterKey, result: CounterResult, _: Micros) {
        let _ = self.0.send((name.0, Now(result)));
    }
    fn overdue_call_ended(&self, name: CounterKey, _: f64, result: CounterResult) {
        let _ = self.0.send((name.0, Late(result)));
    }
}

struct Client {
    counter: Rc<Counter>,
    ends: Ends,
    what: String,
    told: UnboundedReceiver<(u64, Told)>,
}

impl Client {
    /// One whose calls have so long.
    fn within(limit: Duration, address: std::net::SocketAddr, what: &str) -> Self {
        let limits = caperwind::CounterSettings { timeout: limit.as_micros() as u64, call_price: 0.0 };
        let ((ends, told), counter) = (unbounded_channel(), Counter::new(Some(address), Some(limits), 20));
        Client { counter, ends: Ends(ends), what: what.to_owned(), told }
    }

    fn call(&self, name: u64) {
        self.counter.call(self.ends.clone(), Clock::start(), CounterKey(name), 1.0, 4_000_000);
    }

    async fn next(&mut self) -> (u64, Told) {
        timeout(TEST_TIMEOUT, self.told.recv())
            .await
            .unwrap_or_else(|_| panic!("no end of {}", self.what))
            .expect("an end")
    }

    /// One call, to its end.
    async fn ask(&mut self, name: u64) -> Told {
        self.call(name);
        let (of, end) = self.next().await;
        assert_eq!(of, name, "{end:?}");
        end
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

/// The next of what a fake tells, while the client goes on.
async fn come<T>(from: &Receiver<T>) -> T {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Ok(told) = from.try_recv() {
            return told;
        }
        assert!(Instant::now() < until, "it does not come");
        sleep(Duration::from_millis(1)).await;
    }
}

fn total(body: &str) -> String {
    answer("200 OK", "", body)
}

/// A counter that holds each call until it is told to answer, with the call's own name as the total.
fn holding() -> (FakeServer, Sender<()>) {
    let (go, wait) = channel();
    let wait = Mutex::new(wait);
    let fake = FakeServer::start(move |seen| {
        let _ = wait.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        named(seen)
    });
    (fake, go)
}

/// Answers with the call's name.
fn named(seen: &HttpMessage) -> Reaction {
    let name = seen.path().trim_start_matches("/v2/numbers/").split('?').next().expect("a name").to_owned();
    ok(&u64::from_str_radix(&name, 16).expect("a number").to_string())
}

/// Guards against a total that nobody told, an amount lost or added twice, and a connection used on that is no longer
/// in step: what comes back, what the call counts as, and whether the next call goes over the same connection.
#[test]
fn an_answer_counts_as_what_the_protocol_says() {
    use CounterResult::{NotAdded, Overdue, Total, Unanswered};
    use Reaction::{Answer, AnswerAndClose, Close, Pieces, PiecesAndReset, Silence};
    let no_length = |body: &str| format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let chunked = |rest: &str| format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{rest}");
    let split = |text: &str| text.bytes().map(|b| (0, char::from(b).to_string())).collect::<Vec<_>>();
    let more = (40, "1\r\n0\r\n".to_owned());
    let endless = std::iter::once((0, chunked("1\r\n7\r\n"))).chain(vec![more; 60]).collect();
    let cases: Vec<(&str, Reaction, Vec<Told>, bool)> = vec![
        ("in pieces", Pieces(split(&total("7"))), vec![Now(Total(7.0))], true),
        ("in chunks", Answer(chunked("2\r\n7.\r\n1\r\n5\r\n0\r\n\r\n")), vec![Now(Total(7.5))], true),
        ("late", Answer(total("7")), vec![Now(Overdue), Late(Total(7.0))], true),
        ("turned away late", Answer(answer("503 No", "", "x")), vec![Now(Overdue), Late(NotAdded)], true),
        ("turned away", Answer(answer("503 No", "", "no")), vec![Now(NotAdded)], true),
        ("no such call", Answer(answer("404 No", "", "")), vec![Now(NotAdded)], true),
        ("an error", Answer(answer("500 No", "", "7")), vec![Now(Unanswered)], false),
        ("broken", Close, vec![Now(Unanswered)], false),
        ("reset", PiecesAndReset(vec![]), vec![Now(Unanswered)], false),
        (
            "reset in its body",
            PiecesAndReset(vec![(0, total("75")[..39].to_owned())]),
            vec![Now(Unanswered)],
            false,
        ),
        (
            "ended before its length",
            AnswerAndClose("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n7".to_owned()),
            vec![Now(Unanswered)],
            false,
        ),
        ("up to the end", AnswerAndClose(no_length("7")), vec![Now(Total(7.0))], false),
        (
            "up to a reset",
            PiecesAndReset(vec![(0, no_length("7")), (30, String::new())]),
            vec![Now(Unanswered)],
            false,
        ),
        ("silence", Silence, vec![Now(Overdue), Late(Unanswered)], false),
        ("never ends", Pieces(endless), vec![Now(Overdue), Late(Unanswered)], false),
        ("as long as may be", Answer(total(&format!("{:01024}", 7))), vec![Now(Total(7.0))], true),
        ("too long", Answer(total(&format!("{:01025}", 7))), vec![Now(Unanswered)], false),
        ("no number", Answer(total("\u{7f}")), vec![Now(Unanswered)], false),
        ("nothing", Answer(total("")), vec![Now(Unanswered)], false),
        ("no finite number", Answer(total("inf")), vec![Now(Unanswered)], false),
        ("twice", Answer(total("7") + &total(POISON)), vec![Now(Total(7.0))], false),
        ("twice in one and a half", Answer(total("7") + &total(POISON)[..20]), vec![Now(Total(7.0))], false),
    ];
    run(async {
        let mut tasks = Vec::new();
        for (what, reaction, wanted, again) in cases {
            let (go, wait) = channel::<()>();
            let reactions = Mutex::new((wait, vec![Silence, ok("8"), reaction]));
            let late = what.contains("late");
            let fake = FakeServer::start(move |_| {
                let (wait, reactions) = &mut *reactions.lock().expect("unpoisoned");
                if late && reactions.len() == 3 {
                    let _ = wait.recv_timeout(TEST_TIMEOUT);
                }
                reactions.pop().unwrap_or(Silence)
            });
            tasks.push(tokio::task::spawn_local(async move {
                let limit = if wanted.len() == 1 { TEST_TIMEOUT } else { SHORT };
                let mut client = Client::within(limit, fake.address, what);
                let mut ends = vec![client.ask(1).await];
                go.send(()).expect("it waits");
                while ends.len() < wanted.len() {
                    ends.push(client.next().await.1);
                }
                assert_eq!(ends, wanted, "{what}");
                sleep(CONNECTION_REUSE_DELAY).await;
                let mut second = client.ask(2).await;
                if second == Now(Overdue) {
                    second = client.next().await.1;
                }
                assert!(matches!(second, Now(Total(8.0)) | Late(Total(8.0))), "{what}: {second:?}");
                assert_eq!(fake.connection_count.load(Ordering::SeqCst), if again { 1 } else { 2 }, "{what}");
            }));
        }
        for task in tasks {
            task.await.expect("the case holds");
        }
    });
}

/// Guards against a second answer to one call that is taken for the next call's: it comes up to 8 ms after the first,
/// while the next call is out on the connection, or while that is idle.
#[test]
fn a_second_answer_is_no_other_call_s_total() {
    const LATE: Duration = Duration::from_millis(8);
    run(async {
        let last: Mutex<HashMap<usize, Instant>> = Mutex::default();
        let out = FakeServer::start(move |seen| {
            let Reaction::Answer(own) = named(seen) else { return Reaction::Close };
            let before = last.lock().expect("unpoisoned").insert(seen.connection, Instant::now());
            // On its way as this call was written.
            let second = before.filter(|at| at.elapsed() < LATE).map(|_| total(POISON));
            Reaction::Answer(second.unwrap_or_default() + &own)
        });
        let idle = FakeServer::start(|seen| {
            let Reaction::Answer(own) = named(seen) else { return Reaction::Close };
            Reaction::Pieces(vec![(0, own), (3, total(POISON))])
        });
        for (fake, calls, pause) in [(out, 40, 0), (idle, 4, 300)] {
            let mut client = Client::within(TEST_TIMEOUT, fake.address, "second answers");
            for name in 1..calls {
                assert_eq!(
                    client.ask(name).await,
                    Now(CounterResult::Total(name as f64)),
                    "{pause} ms between calls"
                );
                sleep(Duration::from_millis(pause)).await;
            }
        }
    });
}

/// Guards against more connections than the counter holds, and against calls that find no place for good: with all
/// places taken by silence, and with calls that follow so closely that no connection may be used again yet.
#[test]
fn places_are_bounded_and_come_free() {
    run(async {
        let silent = FakeServer::start(|_| Reaction::Silence);
        let mut client = Client::within(SHORT, silent.address, "all silent");
        (0..40).for_each(|n| client.call(n));
        let mut ends = Vec::new();
        while ends.len() < 60 {
            ends.push(client.next().await.1);
        }
        let count = |end| ends.iter().filter(|e| **e == end).count();
        let (away, overdue) = (count(Now(CounterResult::NotAdded)), count(Now(CounterResult::Overdue)));
        assert_eq!((away, overdue, count(Late(CounterResult::Unanswered))), (20, 20, 20));
        assert_eq!(silent.connection_count.load(Ordering::SeqCst), 20);
        assert_eq!(client.ask(99).await, Now(CounterResult::Overdue), "the places are free again");

        let well = FakeServer::start(named);
        let mut client = Client::within(TEST_TIMEOUT, well.address, "bursts");
        for round in 0..40 {
            (0..16).for_each(|n| client.call(16 * round + n));
            for _ in 0..16 {
                let (name, end) = client.next().await;
                assert_eq!(end, Now(CounterResult::Total(name as f64)));
            }
        }
        let most = well.open_connections.1.load(Ordering::SeqCst);
        assert!(most <= 32, "{most} connections were open at once");
    });
}

/// Guards against connections made anew for each burst, as those that it needs have stood idle between: each takes a
/// round trip of its call's time.
#[test]
fn what_a_burst_needs_stays_open_while_calls_come_one_by_one() {
    run(async {
        let fake = fake_counter();
        let mut client = Client::within(TEST_TIMEOUT, fake.address, "a call");
        for _ in 0..2 {
            (1..=2).for_each(|name| client.call(name));
            for _ in 0..2 {
                client.next().await;
            }
            // For longer than an idle connection is kept.
            for _ in 0..8 {
                sleep(Duration::from_millis(450)).await;
                client.ask(3).await;
            }
            sleep(CONNECTION_REUSE_DELAY).await;
        }
        assert_eq!(fake.connection_count.load(Ordering::SeqCst), 2);
    });
}

/// Guards against calls lost, doubled or mixed up by a move of the counter: what is out ends where it is, late too;
/// nothing new goes to the old address, which is left at once; and a connection from before is not used once the
/// counter has moved back.
#[test]
fn calls_end_where_they_are_and_later_ones_go_to_the_new_address() {
    use CounterResult::{Overdue, Total};
    run(async {
        let ((old, go), new) = (holding(), FakeServer::start(named));
        let mut client = Client::within(4 * SHORT, old.address, "moves");
        // One connection is idle, two calls are out: one that ends in time, one that is overdue.
        go.send(()).expect("it waits");
        assert_eq!(client.ask(1).await, Now(Total(1.0)));
        sleep(CONNECTION_REUSE_DELAY).await;
        client.call(2);
        sleep(CONNECTION_REUSE_DELAY).await;
        client.call(3);
        let conns = [come(&old.requests).await, come(&old.requests).await, come(&old.requests).await]
            .map(|s| s.connection);
        assert_eq!(conns, [0, 0, 1]);
        client.counter.set_address(new.address);
        client.call(4);
        let ends = [client.next().await, client.next().await, client.next().await];
        assert_eq!(ends, [(4, Now(Total(4.0))), (2, Now(Overdue)), (3, Now(Overdue))]);
        // To and back again, twice.
        for address in [old.address, new.address, old.address] {
            client.counter.set_address(address);
        }
        (0..2).for_each(|_| go.send(()).expect("it waits"));
        let mut late = [client.next().await, client.next().await];
        late.sort_by_key(|l| l.0);
        assert_eq!(late, [(2, Late(Total(2.0))), (3, Late(Total(3.0)))]);
        let mut ended = [come(&old.closed_by_peer).await, come(&old.closed_by_peer).await];
        ended.sort();
        assert_eq!(ended, [0, 1]);
        go.send(()).expect("it waits");
        assert_eq!(client.ask(5).await, Now(Total(5.0)));
        assert_eq!((old.next_request().connection, new.requests.try_iter().count()), (2, 1));
    });
}

/// Guards against a call written to an address that was left while its connection was on its way.
#[test]
fn a_connection_that_comes_up_after_a_move_carries_nothing() {
    for back in [false, true] {
        run(async {
            let (old, new) = (FullBacklogListener::start(), FakeServer::start(named));
            let address = old.address;
            let mut client = Client::within(TEST_TIMEOUT, address, "late");
            client.call(1);
            sleep(Duration::from_millis(20)).await;
            client.counter.set_address(new.address);
            let old = old.start_accepting(named);
            if back {
                client.counter.set_address(address);
            }
            assert_eq!(client.next().await, (1, Now(CounterResult::Total(1.0))));
            let (old, new) = (old.requests.try_iter().count(), new.requests.try_iter().count());
            assert_eq!((old, new), if back { (1, 0) } else { (0, 1) });
        });
    }
}

/// Guards against places that moves use up.
#[test]
fn moves_leave_no_place_taken() {
    run(async {
        let fakes =
            [FakeServer::start(named), FakeServer::start(|_| Reaction::Close), FakeServer::start(named)];
        let mut client = Client::within(TEST_TIMEOUT, fakes[0].address, "many moves");
        for n in 0..90 {
            client.call(n);
            client.call(n);
            if n % 2 == 0 {
                tokio::task::yield_now().await;
            }
            client.counter.set_address(fakes[n as usize % 3].address);
        }
        for _ in 0..180 {
            client.next().await;
        }
        client.counter.set_address(fakes[0].address);
        (0..20).for_each(|n| client.call(n));
        for _ in 0..20 {
            let (name, end) = client.next().await;
            assert_eq!(end, Now(CounterResult::Total(name as f64)));
        }
    });
}

/// Guards against units lost or added twice as SIGHUP moves the counter, to and back, with calls out: in time, overdue
/// and turned away. What both addresses have added is what was spent.
#[test]
fn what_was_spent_is_added_once_whatever_moves() {
    let numbers = CounterTotals::default();
    let address = |delay: u64| {
        let (numbers, calls) = (numbers.clone(), AtomicUsize::new(0));
        FakeServer::start(move |seen| {
            let away = calls.fetch_add(1, Ordering::SeqCst) % 3 == 2;
            let answer = if away { answer("503 No", "", "") } else { total(&numbers.add(seen)) };
            Reaction::Pieces(vec![(delay, answer)])
        })
    };
    let (old, new, backend) = (address(120), address(40), FakeServer::start(|_| ok("x")));
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    // A window of a minute: what is turned away has time to be added.
    let start = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let gateway = Gateway::start(&start, discovery.server.address, old.address);
    let (mut client, mut spent) = (gateway.client(), 0.0);
    for to in [&new, &old, &new] {
        for customer in 0..40 {
            assert_eq!(client.ask(&request("consulta", customer % 8, 3000)).status(), 200);
            spent += 1.0;
            std::thread::sleep(Duration::from_millis(20));
        }
        gateway.reload(discovery.server.address, to.address);
    }
    numbers.wait_for_sum(spent);
    // Nothing more is owed, and nothing comes to the address that was left.
    old.requests.try_iter().for_each(drop);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        (numbers.sum(), old.requests.try_iter().count(), old.open_connections.0.load(Ordering::SeqCst)),
        (spent, 0, 0)
    );
}

/// Guards against customers refused for what they have not used: the total that the gateway goes by is that of the
/// second answer to another's call.
#[test]
fn nobody_is_refused_for_a_second_answer() {
    let (numbers, last) = (CounterTotals::default(), Mutex::<HashMap<usize, Instant>>::default());
    let counter = FakeServer::start(move |call| {
        let own = total(&numbers.add(call));
        let before = last.lock().expect("unpoisoned").insert(call.connection, Instant::now());
        let second = before.filter(|at| at.elapsed() < Duration::from_millis(8)).map(|_| total(POISON));
        Reaction::Answer(second.unwrap_or_default() + &own)
    });
    let backend = FakeServer::start(|_| ok("x"));
    // As many as keep a gateway from taking the fleet to be too busy, whatever this machine does beside.
    let entries = (0..8).map(|n| entry(&format!("s-{n}"), backend.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let changes = &[("\"count_limit_us\":80000", "\"count_limit_us\":2000000")];
    let start = GatewayOptions { rate: 0.2, burst: 4.0, changes, ..GatewayOptions::default() };
    let gateway = Gateway::start(&start, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let refused = AtomicUsize::new(0);
    std::thread::scope(|threads| {
        for first in 0..4 {
            let (mut client, refused) = (gateway.client(), &refused);
            threads.spawn(move || {
                for customer in 0..25 {
                    // A third one wants a fresh total.
                    for _ in 0..3 {
                        let answer = client.ask(&request("consulta", first * 1000 + customer, 3000));
                        refused.fetch_add(usize::from(answer.status() == 429), Ordering::SeqCst);
                    }
                }
            });
        }
    });
    assert_eq!(refused.load(Ordering::SeqCst), 0, "of 300 requests within their quotas");
}
