//! The counter client on loopback sockets: calls, answers and address changes that overlap. Each test forces one
//! unfavourable order of events every time.

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

/// The time limit of a call that is to be overdue. A busy machine pauses for less.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
/// The total in answers that must not be used for any call.
const WRONG_TOTAL: &str = "1000000";

/// The end of a call, as reported to the observer: before its time limit, or after it was overdue.
#[derive(Debug, PartialEq, Clone, Copy)]
enum CallEnd {
    InTime(CounterResult),
    Late(CounterResult),
}
use CallEnd::{InTime, Late};

/// Sends each call's key and end to the test.
#[derive(Clone)]
struct EndReporter(UnboundedSender<(u64, CallEnd)>);

impl CallObserver for EndReporter {
    fn call_ended(&self, key: CounterKey, result: CounterResult, _: Micros) {
        let _ = self.0.send((key.0, InTime(result)));
    }
    fn overdue_call_ended(&self, key: CounterKey, _: f64, result: CounterResult) {
        let _ = self.0.send((key.0, Late(result)));
    }
}

/// A counter client with at most 20 connections.
struct Client {
    counter: Rc<Counter>,
    observer: EndReporter,
    /// The case under test, for messages.
    case: String,
    ends: UnboundedReceiver<(u64, CallEnd)>,
}

impl Client {
    /// Creates a client whose calls have this time limit.
    fn with_timeout(limit: Duration, address: std::net::SocketAddr, case: &str) -> Self {
        let settings = caperwind::CounterSettings { timeout: limit.as_micros() as u64, call_price: 0.0 };
        let ((sender, ends), counter) =
            (unbounded_channel(), Counter::new(Some(address), Some(settings), 20));
        Client { counter, observer: EndReporter(sender), case: case.to_owned(), ends }
    }

    /// Begins a call that adds one unit.
    fn call(&self, key: u64) {
        self.counter.call(self.observer.clone(), Clock::start(), CounterKey(key), 1.0, 4_000_000);
    }

    /// Waits for the next end of a call.
    async fn next_end(&mut self) -> (u64, CallEnd) {
        timeout(TEST_TIMEOUT, self.ends.recv())
            .await
            .unwrap_or_else(|_| panic!("no call ends: {}", self.case))
            .expect("an end")
    }

    /// Makes a call and waits for its end.
    async fn call_and_wait(&mut self, key: u64) -> CallEnd {
        self.call(key);
        let (ended_key, end) = self.next_end().await;
        assert_eq!(ended_key, key, "{end:?}");
        end
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test)
}

/// Waits for the next item from a fake server's channel while the client's tasks go on.
async fn receive<T>(channel: &Receiver<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Ok(item) = channel.try_recv() {
            return item;
        }
        assert!(Instant::now() < deadline, "nothing is received");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Formats a counter's answer with this total.
fn total_answer(body: &str) -> String {
    answer("200 OK", "", body)
}

/// Starts a counter that answers each call with the call's key as the total, once the test sends a signal for it.
fn counter_with_held_answers() -> (FakeServer, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let counter = FakeServer::start(move |call| {
        let _ = released.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
        answer_with_key(call)
    });
    (counter, release)
}

/// Answers a call with its key as the total.
fn answer_with_key(call: &HttpMessage) -> Reaction {
    let key = call.path().trim_start_matches("/v2/numbers/").split('?').next().expect("a key").to_owned();
    ok(&u64::from_str_radix(&key, 16).expect("a number").to_string())
}

/// Guards against a total that the counter did not send, an amount lost or added twice, and the reuse of a connection
/// on which answers no longer match calls. Each case has the counter's reaction, the ends that the client reports for
/// the call, and whether the next call uses the same connection.
#[test]
fn an_answer_counts_as_what_the_protocol_says() {
    use CounterResult::{NotAdded, Overdue, Total, Unanswered};
    use Reaction::{Answer, AnswerAndClose, Close, Pieces, PiecesAndReset, Silence};
    let no_length = |body: &str| format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let chunked = |rest: &str| format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{rest}");
    let split = |text: &str| text.bytes().map(|b| (0, char::from(b).to_string())).collect::<Vec<_>>();
    let another_chunk = (40, "1\r\n0\r\n".to_owned());
    let endless = std::iter::once((0, chunked("1\r\n7\r\n"))).chain(vec![another_chunk; 60]).collect();
    let cases: Vec<(&str, Reaction, Vec<CallEnd>, bool)> = vec![
        ("in pieces", Pieces(split(&total_answer("7"))), vec![InTime(Total(7.0))], true),
        ("in chunks", Answer(chunked("2\r\n7.\r\n1\r\n5\r\n0\r\n\r\n")), vec![InTime(Total(7.5))], true),
        ("late", Answer(total_answer("7")), vec![InTime(Overdue), Late(Total(7.0))], true),
        ("rejected late", Answer(answer("503 No", "", "x")), vec![InTime(Overdue), Late(NotAdded)], true),
        ("rejected", Answer(answer("503 No", "", "no")), vec![InTime(NotAdded)], true),
        ("not found", Answer(answer("404 No", "", "")), vec![InTime(NotAdded)], true),
        ("server error", Answer(answer("500 No", "", "7")), vec![InTime(Unanswered)], false),
        ("closed", Close, vec![InTime(Unanswered)], false),
        ("reset", PiecesAndReset(vec![]), vec![InTime(Unanswered)], false),
        (
            "reset in the body",
            PiecesAndReset(vec![(0, total_answer("75")[..39].to_owned())]),
            vec![InTime(Unanswered)],
            false,
        ),
        (
            "ended before its length",
            AnswerAndClose("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n7".to_owned()),
            vec![InTime(Unanswered)],
            false,
        ),
        ("no length, ended by a close", AnswerAndClose(no_length("7")), vec![InTime(Total(7.0))], false),
        (
            "no length, ended by a reset",
            PiecesAndReset(vec![(0, no_length("7")), (30, String::new())]),
            vec![InTime(Unanswered)],
            false,
        ),
        ("silence", Silence, vec![InTime(Overdue), Late(Unanswered)], false),
        ("endless", Pieces(endless), vec![InTime(Overdue), Late(Unanswered)], false),
        (
            "the greatest length",
            Answer(total_answer(&format!("{:01024}", 7))),
            vec![InTime(Total(7.0))],
            true,
        ),
        ("too long", Answer(total_answer(&format!("{:01025}", 7))), vec![InTime(Unanswered)], false),
        ("not a number", Answer(total_answer("\u{7f}")), vec![InTime(Unanswered)], false),
        ("empty", Answer(total_answer("")), vec![InTime(Unanswered)], false),
        ("an infinite number", Answer(total_answer("inf")), vec![InTime(Unanswered)], false),
        (
            "two answers",
            Answer(total_answer("7") + &total_answer(WRONG_TOTAL)),
            vec![InTime(Total(7.0))],
            false,
        ),
        (
            "one and a half answers",
            Answer(total_answer("7") + &total_answer(WRONG_TOTAL)[..20]),
            vec![InTime(Total(7.0))],
            false,
        ),
    ];
    run(async {
        let mut tasks = Vec::new();
        for (name, reaction, expected, reused) in cases {
            let (release, released) = channel::<()>();
            let reactions = Mutex::new((released, vec![Silence, ok("8"), reaction]));
            // The answers of these cases are held until the call is overdue.
            let held = name.contains("late");
            let counter = FakeServer::start(move |_| {
                let (released, reactions) = &mut *reactions.lock().expect("unpoisoned");
                if held && reactions.len() == 3 {
                    let _ = released.recv_timeout(TEST_TIMEOUT);
                }
                reactions.pop().unwrap_or(Silence)
            });
            tasks.push(tokio::task::spawn_local(async move {
                let limit = if expected.len() == 1 { TEST_TIMEOUT } else { SHORT_TIMEOUT };
                let mut client = Client::with_timeout(limit, counter.address, name);
                let mut ends = vec![client.call_and_wait(1).await];
                release.send(()).expect("the counter waits");
                while ends.len() < expected.len() {
                    ends.push(client.next_end().await.1);
                }
                assert_eq!(ends, expected, "{name}");
                sleep(CONNECTION_REUSE_DELAY).await;
                let mut next_end = client.call_and_wait(2).await;
                if next_end == InTime(Overdue) {
                    next_end = client.next_end().await.1;
                }
                assert!(matches!(next_end, InTime(Total(8.0)) | Late(Total(8.0))), "{name}: {next_end:?}");
                assert_eq!(
                    counter.connection_count.load(Ordering::SeqCst),
                    if reused { 1 } else { 2 },
                    "{name}"
                );
            }));
        }
        for task in tasks {
            task.await.expect("the case passes");
        }
    });
}

/// Guards against taking a second answer to one call for the answer to the next: it arrives up to 8 ms after the first,
/// while the next call is in flight on the connection, or while the connection is idle.
#[test]
fn a_second_answer_is_no_other_call_s_total() {
    const MAX_SECOND_ANSWER_DELAY: Duration = Duration::from_millis(8);
    run(async {
        let last_calls: Mutex<HashMap<usize, Instant>> = Mutex::default();
        let second_while_in_flight = FakeServer::start(move |call| {
            let Reaction::Answer(own_answer) = answer_with_key(call) else { return Reaction::Close };
            let previous = last_calls.lock().expect("unpoisoned").insert(call.connection, Instant::now());
            // Arrives as if it had been on its way when this call was written.
            let second_answer = previous
                .filter(|at| at.elapsed() < MAX_SECOND_ANSWER_DELAY)
                .map(|_| total_answer(WRONG_TOTAL));
            Reaction::Answer(second_answer.unwrap_or_default() + &own_answer)
        });
        let second_while_idle = FakeServer::start(|call| {
            let Reaction::Answer(own_answer) = answer_with_key(call) else { return Reaction::Close };
            Reaction::Pieces(vec![(0, own_answer), (3, total_answer(WRONG_TOTAL))])
        });
        for (counter, calls, pause_ms) in [(second_while_in_flight, 40, 0), (second_while_idle, 4, 300)] {
            let mut client = Client::with_timeout(TEST_TIMEOUT, counter.address, "second answers");
            for key in 1..calls {
                assert_eq!(
                    client.call_and_wait(key).await,
                    InTime(CounterResult::Total(key as f64)),
                    "{pause_ms} ms between calls"
                );
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    });
}

/// Guards against more connections than the counter allows, and against calls that never get one: with all connections
/// waiting for a silent counter, and with calls that follow so closely that no connection may be reused yet.
#[test]
fn places_are_bounded_and_come_free() {
    run(async {
        let silent = FakeServer::start(|_| Reaction::Silence);
        let mut client = Client::with_timeout(SHORT_TIMEOUT, silent.address, "all silent");
        (0..40).for_each(|n| client.call(n));
        let mut ends = Vec::new();
        while ends.len() < 60 {
            ends.push(client.next_end().await.1);
        }
        let count = |end| ends.iter().filter(|e| **e == end).count();
        let (rejected, overdue) =
            (count(InTime(CounterResult::NotAdded)), count(InTime(CounterResult::Overdue)));
        assert_eq!((rejected, overdue, count(Late(CounterResult::Unanswered))), (20, 20, 20));
        assert_eq!(silent.connection_count.load(Ordering::SeqCst), 20);
        assert_eq!(
            client.call_and_wait(99).await,
            InTime(CounterResult::Overdue),
            "the connections are free again"
        );

        let working = FakeServer::start(answer_with_key);
        let mut client = Client::with_timeout(TEST_TIMEOUT, working.address, "bursts");
        for round in 0..40 {
            (0..16).for_each(|n| client.call(16 * round + n));
            for _ in 0..16 {
                let (key, end) = client.next_end().await;
                assert_eq!(end, InTime(CounterResult::Total(key as f64)));
            }
        }
        let max_open = working.open_connections.1.load(Ordering::SeqCst);
        assert!(max_open <= 32, "{max_open} connections were open at once");
    });
}

/// Guards against closing the connections that a burst needs while single calls leave them idle. Each new connection
/// costs its call a round trip.
#[test]
fn what_a_burst_needs_stays_open_while_calls_come_one_by_one() {
    run(async {
        let counter = fake_counter();
        let mut client = Client::with_timeout(TEST_TIMEOUT, counter.address, "a call");
        for _ in 0..2 {
            (1..=2).for_each(|key| client.call(key));
            for _ in 0..2 {
                client.next_end().await;
            }
            // Longer than the time after which an idle connection is closed.
            for _ in 0..8 {
                sleep(Duration::from_millis(450)).await;
                client.call_and_wait(3).await;
            }
            sleep(CONNECTION_REUSE_DELAY).await;
        }
        assert_eq!(counter.connection_count.load(Ordering::SeqCst), 2);
    });
}

/// Guards against calls that are lost, doubled or mixed up when the counter's address changes. Calls in flight end at
/// the old address, also late ones; new calls go to the new address; connections to the old one are closed, and none
/// of them is used after a change back.
#[test]
fn calls_end_where_they_are_and_later_ones_go_to_the_new_address() {
    use CounterResult::{Overdue, Total};
    run(async {
        let ((old, release), new) = (counter_with_held_answers(), FakeServer::start(answer_with_key));
        let mut client = Client::with_timeout(4 * SHORT_TIMEOUT, old.address, "moves");
        // One call is finished, two are in flight on two connections and become overdue.
        release.send(()).expect("the counter waits");
        assert_eq!(client.call_and_wait(1).await, InTime(Total(1.0)));
        sleep(CONNECTION_REUSE_DELAY).await;
        client.call(2);
        sleep(CONNECTION_REUSE_DELAY).await;
        client.call(3);
        let connections =
            [receive(&old.requests).await, receive(&old.requests).await, receive(&old.requests).await]
                .map(|call| call.connection);
        assert_eq!(connections, [0, 0, 1]);
        client.counter.set_address(new.address);
        client.call(4);
        let ends = [client.next_end().await, client.next_end().await, client.next_end().await];
        assert_eq!(ends, [(4, InTime(Total(4.0))), (2, InTime(Overdue)), (3, InTime(Overdue))]);
        // Changes back, there and back again.
        for address in [old.address, new.address, old.address] {
            client.counter.set_address(address);
        }
        (0..2).for_each(|_| release.send(()).expect("the counter waits"));
        let mut late = [client.next_end().await, client.next_end().await];
        late.sort_by_key(|l| l.0);
        assert_eq!(late, [(2, Late(Total(2.0))), (3, Late(Total(3.0)))]);
        let mut ended = [receive(&old.closed_by_peer).await, receive(&old.closed_by_peer).await];
        ended.sort();
        assert_eq!(ended, [0, 1]);
        release.send(()).expect("the counter waits");
        assert_eq!(client.call_and_wait(5).await, InTime(Total(5.0)));
        assert_eq!((old.next_request().connection, new.requests.try_iter().count()), (2, 1));
    });
}

/// Guards against sending a call to an address that was replaced while its connection was being established.
#[test]
fn a_connection_that_comes_up_after_a_move_carries_nothing() {
    for back in [false, true] {
        run(async {
            let (old, new) = (FullBacklogListener::start(), FakeServer::start(answer_with_key));
            let address = old.address;
            let mut client = Client::with_timeout(TEST_TIMEOUT, address, "late");
            client.call(1);
            sleep(Duration::from_millis(20)).await;
            client.counter.set_address(new.address);
            let old = old.start_accepting(answer_with_key);
            if back {
                client.counter.set_address(address);
            }
            assert_eq!(client.next_end().await, (1, InTime(CounterResult::Total(1.0))));
            let (old, new) = (old.requests.try_iter().count(), new.requests.try_iter().count());
            assert_eq!((old, new), if back { (1, 0) } else { (0, 1) });
        });
    }
}

/// Guards against address changes that leave connections counted as in use.
#[test]
fn moves_leave_no_place_taken() {
    run(async {
        let counters = [
            FakeServer::start(answer_with_key),
            FakeServer::start(|_| Reaction::Close),
            FakeServer::start(answer_with_key),
        ];
        let mut client = Client::with_timeout(TEST_TIMEOUT, counters[0].address, "many moves");
        for n in 0..90 {
            client.call(n);
            client.call(n);
            if n % 2 == 0 {
                tokio::task::yield_now().await;
            }
            client.counter.set_address(counters[n as usize % 3].address);
        }
        for _ in 0..180 {
            client.next_end().await;
        }
        client.counter.set_address(counters[0].address);
        (0..20).for_each(|n| client.call(n));
        for _ in 0..20 {
            let (key, end) = client.next_end().await;
            assert_eq!(end, InTime(CounterResult::Total(key as f64)));
        }
    });
}

/// Guards against units lost or added twice when SIGHUP changes the counter's address there and back while calls are in
/// flight: in time, overdue and rejected. The sum of both addresses is the number of units spent.
#[test]
fn what_was_spent_is_added_once_whatever_moves() {
    let totals = CounterTotals::default();
    let start_counter = |delay_ms: u64| {
        let (totals, calls) = (totals.clone(), AtomicUsize::new(0));
        FakeServer::start(move |call| {
            let rejected = calls.fetch_add(1, Ordering::SeqCst) % 3 == 2;
            let answer = if rejected { answer("503 No", "", "") } else { total_answer(&totals.add(call)) };
            Reaction::Pieces(vec![(delay_ms, answer)])
        })
    };
    let (old, new, backend) = (start_counter(120), start_counter(40), FakeServer::start(|_| ok("x")));
    let discovery = FakeDiscovery::start(vec![entry("s-0", backend.address, "SERVING")]);
    // A window of a minute leaves time to send the units of rejected calls again.
    let options = GatewayOptions { rate: 100.0, burst: 6000.0, ..GatewayOptions::default() };
    let gateway = Gateway::start(&options, discovery.server.address, old.address);
    let (mut client, mut spent) = (gateway.client(), 0.0);
    for to in [&new, &old, &new] {
        for customer in 0..40 {
            assert_eq!(client.ask(&request("consulta", customer % 8, 3000)).status(), 200);
            spent += 1.0;
            std::thread::sleep(Duration::from_millis(20));
        }
        gateway.reload(discovery.server.address, to.address);
    }
    totals.wait_for_sum(spent);
    // No units are left to send, and the old address receives nothing more.
    old.requests.try_iter().for_each(drop);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        (totals.sum(), old.requests.try_iter().count(), old.open_connections.0.load(Ordering::SeqCst)),
        (spent, 0, 0)
    );
}

/// Guards against refusing customers within their quota because the total of a second answer to another customer's call
/// is taken for theirs.
#[test]
fn nobody_is_refused_for_a_second_answer() {
    let (totals, last_calls) = (CounterTotals::default(), Mutex::<HashMap<usize, Instant>>::default());
    let counter = FakeServer::start(move |call| {
        let own_answer = total_answer(&totals.add(call));
        let previous = last_calls.lock().expect("unpoisoned").insert(call.connection, Instant::now());
        let second_answer =
            previous.filter(|at| at.elapsed() < Duration::from_millis(8)).map(|_| total_answer(WRONG_TOTAL));
        Reaction::Answer(second_answer.unwrap_or_default() + &own_answer)
    });
    let backend = FakeServer::start(|_| ok("x"));
    // Enough backends that the gateway does not consider them overloaded, however busy this machine is.
    let entries = (0..8).map(|n| entry(&format!("s-{n}"), backend.address, "SERVING"));
    let discovery = FakeDiscovery::start(entries.collect());
    let changes = &[("\"count_limit_us\":80000", "\"count_limit_us\":2000000")];
    let options = GatewayOptions { rate: 0.2, burst: 4.0, changes, ..GatewayOptions::default() };
    let gateway = Gateway::start(&options, discovery.server.address, counter.address);
    discovery.wait_until_list_received();
    let refused = AtomicUsize::new(0);
    std::thread::scope(|threads| {
        for first in 0..4 {
            let (mut client, refused) = (gateway.client(), &refused);
            threads.spawn(move || {
                for customer in 0..25 {
                    // The third request needs a fresh total.
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
