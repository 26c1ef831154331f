//! Discovery that fails in many ways, over real connections, on a clock that the test advances. Gateways must know a
//! change within 6 s of the moment at which discovery has it and can be reached, and no fleet may overload discovery.

use badgerglade::discovery::patience::{initial_delay, Backoff, CallTimeouts, FailureKind};
use badgerglade::discovery::{follow, FollowSettings, Subscriber};
use badgerglade::endpoints::EndpointList;
use caperwind::Discovery;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// The longest time from the moment at which discovery has a change and can be reached until a gateway must know it.
const MAX_LIST_DELAY: Duration = Duration::from_secs(6);
/// The step by which the clock is advanced.
const CLOCK_STEP: Duration = Duration::from_millis(25);
/// The number of task polls after which bytes sent over the loopback have arrived.
const SETTLE_POLLS: usize = 12;
/// Discovery is asked with calls that are 10 s apart.
const ON_REQUEST: Discovery = Discovery::OnRequest { ask_interval: 10_000_000 };
const MODES: [Discovery; 2] = [Discovery::Pushed, ON_REQUEST];
/// The numbers of gateways in the settings of the fleets under test.
const FLEET_SIZES: [u32; 4] = [1, 100, 300, 1024];

/// How discovery reacts to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Serve,
    /// Answers each call with this status.
    Status(u16),
    /// Connections are refused.
    Refuse,
    /// Connections are not accepted.
    NotAccepting,
    /// Sends nothing, for ever.
    SilentBeforeHead,
    /// Stops sending within the head of the answer.
    SilentInHead,
    /// Stops sending within the body of the answer.
    SilentInBody,
    /// Connections are reset once their call has been received.
    Reset,
    /// Answers are sent after this time.
    Slow(Duration),
    /// Serves this many calls per second, one after another; a call that would wait longer than `MAX_QUEUE_WAIT` is
    /// rejected.
    Busy(u32),
}

/// The longest time that a call waits in discovery's queue.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);

/// The ways in which discovery is unavailable.
const OUTAGES: [Behaviour; 8] = [
    Behaviour::Status(503),
    Behaviour::Status(429),
    Behaviour::Refuse,
    Behaviour::NotAccepting,
    Behaviour::SilentBeforeHead,
    Behaviour::SilentInHead,
    Behaviour::SilentInBody,
    Behaviour::Reset,
];

/// A test double of discovery whose behaviour and list index the test changes.
struct DiscoveryServer {
    behaviour: watch::Sender<Behaviour>,
    index: watch::Sender<u64>,
    /// The times at which calls were received.
    call_times: RefCell<Vec<Instant>>,
    /// The tasks that serve connections.
    connection_tasks: RefCell<Vec<AbortHandle>>,
    /// The time at which the queue of `Behaviour::Busy` will be empty.
    queue_empty_at: Cell<Instant>,
}

impl DiscoveryServer {
    fn new(behaviour: Behaviour) -> Rc<Self> {
        let (behaviour, index) = (watch::Sender::new(behaviour), watch::Sender::new(1));
        let queue_empty_at = Cell::new(Instant::now());
        Rc::new(DiscoveryServer {
            behaviour,
            index,
            call_times: RefCell::default(),
            connection_tasks: RefCell::default(),
            queue_empty_at,
        })
    }

    fn answer(&self) -> Vec<u8> {
        let body = format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{{"name":"s-0","address":"127.0.0.1:9","status":"SERVING"}}]}}"#,
            *self.index.borrow()
        );
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    /// Accepts connections while the behaviour allows it.
    async fn listen(self: Rc<Self>, address: SocketAddr) {
        let (mut behaviour, mut unserved) = (self.behaviour.subscribe(), Vec::new());
        loop {
            while *behaviour.borrow_and_update() == Behaviour::Refuse {
                self.connection_tasks.borrow_mut().drain(..).for_each(|task| task.abort());
                behaviour.changed().await.expect("the server lasts");
            }
            let listener = TcpListener::bind(address).await.expect("an address of its own");
            loop {
                if *behaviour.borrow_and_update() == Behaviour::NotAccepting {
                    behaviour.changed().await.expect("the server lasts");
                    // Connections that were made meanwhile stay unserved.
                    while let Ok(Ok((stream, _))) =
                        tokio::time::timeout(CLOCK_STEP / 20, listener.accept()).await
                    {
                        unserved.push(stream);
                    }
                }
                tokio::select! {
                    accepted = listener.accept() => {
                        let task = tokio::task::spawn_local(self.clone().serve(accepted.expect("a connection").0));
                        self.connection_tasks.borrow_mut().push(task.abort_handle());
                    }
                    _ = behaviour.changed() => {}
                }
                if *behaviour.borrow() == Behaviour::Refuse {
                    break;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut received = Vec::new();
        loop {
            received.clear();
            while !received.ends_with(b"\r\n\r\n") {
                if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            self.call_times.borrow_mut().push(Instant::now());
            let head = String::from_utf8_lossy(&received).into_owned();
            let query_number = |name: &str| {
                let rest = head.split_once(name)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let mut behaviour = *self.behaviour.borrow();
            if let Behaviour::Busy(per_second) = behaviour {
                let served_at =
                    self.queue_empty_at.get().max(Instant::now()) + Duration::from_secs(1) / per_second;
                if served_at - Instant::now() > MAX_QUEUE_WAIT {
                    behaviour = Behaviour::Status(503);
                } else {
                    self.queue_empty_at.set(served_at);
                    tokio::time::sleep_until(served_at).await;
                }
            }
            if let (Some(held_index), Behaviour::Serve | Behaviour::Busy(_)) =
                (query_number("index="), behaviour)
            {
                let mut index = self.index.subscribe();
                let wait = Duration::from_millis(query_number("wait=").expect("a wait"));
                // A change of behaviour also affects open watches.
                let mut changes = self.behaviour.subscribe();
                tokio::select! {
                    _ = index.wait_for(|current| *current > held_index) => {}
                    () = sleep(wait) => {}
                    _ = changes.changed() => {}
                }
            }
            let complete_answer = self.answer();
            let current = if let Behaviour::Busy(_) = *self.behaviour.borrow() {
                behaviour
            } else {
                *self.behaviour.borrow()
            };
            let sent_part = match current {
                Behaviour::Serve | Behaviour::Busy(_) | Behaviour::Refuse => &complete_answer[..],
                Behaviour::Status(status) => {
                    let rejection = format!("HTTP/1.1 {status} No\r\ncontent-length: 0\r\n\r\n");
                    if stream.write_all(rejection.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                Behaviour::Slow(delay) => {
                    sleep(delay).await;
                    &complete_answer[..]
                }
                Behaviour::SilentBeforeHead | Behaviour::NotAccepting => &[],
                Behaviour::SilentInHead => &complete_answer[..12],
                Behaviour::SilentInBody => &complete_answer[..complete_answer.len() - 9],
                Behaviour::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
            };
            if stream.write_all(sent_part).await.is_err() {
                return;
            }
            if sent_part.len() < complete_answer.len() {
                // Sends nothing more until the other side closes.
                while stream.read_buf(&mut received).await.unwrap_or(0) > 0 {}
                return;
            }
        }
    }
}

/// The newest list that a gateway knows.
#[derive(Default)]
struct KnownList {
    /// 0 if the gateway has no list yet.
    index: Cell<u64>,
    /// When the gateway received that list; `None` if it started with it or has none.
    received_at: Cell<Option<Instant>>,
}

/// A gateway that only records which list it knows.
struct Gateway(Rc<KnownList>);

impl Subscriber for Gateway {
    fn list_received(&self, list: EndpointList, _older: bool) -> bool {
        if self.0.index.replace(list.index) < list.index {
            self.0.received_at.set(Some(Instant::now()));
        }
        false
    }
    fn call_failed(&self) {}
    fn knows_any_backend(&self) -> bool {
        self.0.index.get() > 0
    }
}

/// Gateways that follow one discovery server.
struct Fleet {
    discovery: Rc<DiscoveryServer>,
    known_lists: Vec<Rc<KnownList>>,
    started: Instant,
}

impl Fleet {
    /// Starts `simulated` gateways of a fleet that has `size` gateways according to the settings. They begin with the
    /// list of index `held_index`, or with none.
    fn start(
        discovery: &Rc<DiscoveryServer>,
        mode: Discovery,
        size: u32,
        simulated: u32,
        held_index: Option<u64>,
    ) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let address = format!("127.{}.{}.{}:8500", 60 + pid / 250 % 180, 1 + pid % 250, n);
        let address: SocketAddr = address.parse().expect("an address");
        tokio::task::spawn_local(discovery.clone().listen(address));
        let settings = FollowSettings { mode, gateways: size, drain_grace: DRAIN_GRACE };
        let known_lists = (0..simulated).map(|n| {
            let known_list = Rc::new(KnownList {
                index: Cell::new(held_index.unwrap_or(0)),
                received_at: Cell::default(),
            });
            let (sender, address) = watch::channel(address);
            let gateway = Gateway(known_list.clone());
            tokio::task::spawn_local(async move {
                let _sender = sender;
                follow(address, gateway, settings, held_index, u64::from(n) + 1).await;
            });
            known_list
        });
        Fleet { discovery: discovery.clone(), known_lists: known_lists.collect(), started: Instant::now() }
    }

    /// Returns how long after `from` each gateway received the newest list, in ascending order; `None`, at the end, for
    /// those that have not.
    fn delays_since(&self, from: Instant) -> Vec<Option<Duration>> {
        let newest = *self.discovery.index.borrow();
        let delay =
            |k: &Rc<KnownList>| k.received_at.get().filter(|_| k.index.get() == newest).map(|at| at - from);
        let mut all: Vec<_> = self.known_lists.iter().map(delay).collect();
        all.sort_by_key(|delay| delay.unwrap_or(Duration::MAX));
        all
    }

    /// Returns the number of calls in each second since the fleet started.
    fn calls_per_second(&self) -> Vec<usize> {
        let calls = self.discovery.call_times.borrow();
        let second = |at: &Instant| (*at - self.started).as_secs() as usize;
        let mut all = vec![0; self.started.elapsed().as_secs() as usize];
        calls.iter().map(second).for_each(|s| {
            if let Some(n) = all.get_mut(s) {
                *n += 1
            }
        });
        all
    }
}

/// Advances the clock by `span`, letting bytes arrive after each step.
async fn advance(span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        tokio::time::advance(CLOCK_STEP.min(end - Instant::now())).await;
        for _ in 0..SETTLE_POLLS {
            tokio::task::yield_now().await;
        }
    }
}

/// Runs a test on a clock that moves only by `advance`.
fn with_manual_clock<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build_local(LocalOptions::default());
    let runtime = runtime.expect("a runtime");
    // tokio advances a paused clock by itself when all tasks are idle, also while bytes are in flight. It does not
    // while a blocking task runs.
    let (finish, finished) = std::sync::mpsc::channel::<()>();
    runtime.block_on(async move {
        let blocking_task = tokio::task::spawn_blocking(move || finished.recv().unwrap_or_default());
        let result = test.await;
        drop(finish);
        blocking_task.await.expect("the task ends");
        result
    })
}

const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Runs each case on a clock of its own, four at a time: a fleet needs many descriptors. Returns each case with its
/// result, in the order of completion.
fn run_cases<C: Copy + Send + Sync, T: Send>(cases: &[C], test: fn(C) -> T) -> Vec<(C, T)> {
    static LOCK: Mutex<()> = Mutex::new(());
    let _lock = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = (*case, test(*case));
                    done.lock().expect("unpoisoned").push(result);
                }
            });
        }
    });
    done.into_inner().expect("unpoisoned")
}

/// Guards against waits between calls that grow with the fleet or with failures until drains are known too late.
#[test]
fn a_change_is_known_6_s_after_discovery_had_it_and_could_be_reached() {
    let cases: Vec<_> =
        MODES.into_iter().flat_map(|mode| OUTAGES.map(|behaviour| (mode, behaviour))).collect();
    let slowest = run_cases(&cases, |(mode, behaviour)| {
        with_manual_clock(async move {
            let fleets = FLEET_SIZES
                .map(|size| Fleet::start(&DiscoveryServer::new(Behaviour::Serve), mode, size, 20, Some(1)));
            let mut slowest = FLEET_SIZES.map(|_| Duration::ZERO);
            advance(Duration::from_secs(5)).await;
            // Outages that end at various moments of a call or a wait. After the two shorter ones, the next begins
            // 400 ms later, before all gateways have recovered.
            for outage in [700, 300, 3_100, 9_300, 21_500].map(Duration::from_millis) {
                for fleet in &fleets {
                    fleet.discovery.behaviour.send_replace(behaviour);
                }
                advance(outage).await;
                let restored_at = Instant::now();
                for fleet in &fleets {
                    fleet.discovery.index.send_modify(|index| *index += 1);
                    fleet.discovery.behaviour.send_replace(Behaviour::Serve);
                }
                advance(if outage < Duration::from_secs(1) {
                    Duration::from_millis(400)
                } else {
                    MAX_LIST_DELAY
                })
                .await;
                for (fleet, slowest) in fleets.iter().zip(&mut slowest) {
                    let last = fleet.delays_since(restored_at).pop().expect("gateways");
                    let delay = last.unwrap_or(if outage < Duration::from_secs(1) {
                        Duration::ZERO
                    } else {
                        Duration::MAX
                    });
                    *slowest = delay.max(*slowest);
                }
            }
            slowest
        })
    });
    for ((mode, behaviour), slowest) in &slowest {
        println!("{mode:?} {behaviour:?}, fleets of {FLEET_SIZES:?}: {slowest:?}");
    }
    for ((mode, behaviour), slowest) in slowest {
        // In pushed mode the agent knows a list at once, and a gateway must apply it within the drain grace.
        let bound = if mode == ON_REQUEST { MAX_LIST_DELAY } else { DRAIN_GRACE };
        assert!(slowest.iter().all(|s| *s < bound), "{mode:?} {behaviour:?}: {slowest:?}");
    }
}

/// Guards against a fleet that overloads discovery with calls: during an outage, at its end, and when all gateways
/// start together. For every size of the fleet, a change is known in time, and the fleet makes few more calls than it
/// does while discovery works.
#[test]
fn a_fleet_does_not_crowd_discovery() {
    let cases: Vec<_> = FLEET_SIZES
        .into_iter()
        .flat_map(|size| {
            [(size, Behaviour::Status(503)), (size, Behaviour::Refuse), (size, Behaviour::SilentBeforeHead)]
        })
        .collect();
    for ((size, behaviour), (calls, delay)) in run_cases(&cases, |(size, behaviour)| {
        with_manual_clock(async move {
            let fleet =
                Fleet::start(&DiscoveryServer::new(Behaviour::Serve), ON_REQUEST, size, size, Some(1));
            advance(Duration::from_secs(20)).await;
            fleet.discovery.behaviour.send_replace(behaviour);
            advance(Duration::from_secs(30)).await;
            let restored_at = Instant::now();
            fleet.discovery.index.send_modify(|index| *index += 1);
            fleet.discovery.behaviour.send_replace(Behaviour::Serve);
            advance(Duration::from_secs(10)).await;
            (fleet.calls_per_second(), fleet.delays_since(restored_at).pop().expect("gateways"))
        })
    }) {
        let mean = |span: std::ops::Range<usize>| {
            calls[span.clone()].iter().sum::<usize>() as f64 / span.len() as f64
        };
        let max = |span: std::ops::Range<usize>| calls[span].iter().copied().max().unwrap_or_default() as f64;
        let (served_rate, outage_rate) = (mean(6..20), mean(25..50));
        println!(
            "{size} gateways, {behaviour:?}: calls a second: {served_rate:.1} while served, {outage_rate:.1} in the outage (at most {}), \
             at the start at most {}, at the return at most {}; the last one knows after {delay:?}",
            max(20..50), max(0..6), max(50..60)
        );
        assert!(delay.is_some_and(|delay| delay < MAX_LIST_DELAY), "{size} {behaviour:?}: {delay:?}");
        if size > 1 {
            assert!(
                outage_rate < 1.25 * served_rate,
                "{size} {behaviour:?}: {outage_rate} calls a second in the outage, {served_rate} while served"
            );
            assert!(max(0..60) <= 4.0 * served_rate, "{size} {behaviour:?}: {calls:?}");
        }
    }
}

/// Guards against gateways that go without a list for long after a simultaneous restart of the whole fleet. To
/// discovery, a start from an old list, an empty one and none are the same.
#[test]
fn nine_in_ten_of_a_fleet_that_restarts_know_a_list_within_10_s() {
    let behaviours = [
        Behaviour::Serve,
        Behaviour::Slow(Duration::from_secs(1)),
        Behaviour::Slow(Duration::from_millis(3_500)),
        Behaviour::Busy(90),
        Behaviour::Status(503),
        Behaviour::Refuse,
        Behaviour::NotAccepting,
        Behaviour::SilentBeforeHead,
    ];
    let cases: Vec<_> =
        MODES.into_iter().flat_map(|mode| behaviours.map(|behaviour| (mode, behaviour))).collect();
    for ((mode, behaviour), delays) in run_cases(&cases, |(mode, behaviour)| {
        with_manual_clock(async move {
            let (fleet, started) =
                (Fleet::start(&DiscoveryServer::new(behaviour), mode, 300, 300, None), Instant::now());
            if !matches!(behaviour, Behaviour::Slow(_) | Behaviour::Busy(_)) {
                advance(Duration::from_secs(5)).await;
                fleet.discovery.behaviour.send_replace(Behaviour::Serve);
            }
            advance(Duration::from_secs(25)).await;
            fleet.delays_since(started)
        })
    }) {
        // With pushed lists each gateway has an agent of its own, which has no queue of other gateways' calls.
        if (mode, behaviour) == (Discovery::Pushed, Behaviour::Busy(90)) {
            continue;
        }
        println!(
            "{mode:?} {behaviour:?}: half know a list after {:?}, nine in ten after {:?}, all after {:?}",
            delays[150], delays[269], delays[299]
        );
        assert!(
            delays[269].is_some_and(|t| t < Duration::from_secs(10)),
            "{mode:?} {behaviour:?}: {:?}",
            delays[269]
        );
        assert!(
            delays[299].is_some_and(|t| t < Duration::from_secs(30)),
            "{mode:?} {behaviour:?}: {:?}",
            delays[299]
        );
    }
}

/// Guards against a first call that comes too late: in pushed mode it is made at once, otherwise at a random time that
/// still allows the gateway to know a change within `MAX_LIST_DELAY`.
#[test]
fn a_pushed_list_is_asked_for_at_once_and_others_before_they_count_as_told() {
    let settings = |mode, gateways| FollowSettings { mode, gateways, drain_grace: DRAIN_GRACE };
    for gateways in FLEET_SIZES {
        let wait = initial_delay(settings(Discovery::Pushed, gateways), 0.99);
        assert_eq!(wait, Duration::ZERO, "{gateways} gateways");
        let on_request = settings(ON_REQUEST, gateways);
        let longest_wait = initial_delay(on_request, 1.0);
        assert!(
            longest_wait + CallTimeouts::new(on_request).watch_margin < MAX_LIST_DELAY,
            "{gateways} gateways: {longest_wait:?}"
        );
    }
    let on_request = settings(ON_REQUEST, 300);
    assert!(initial_delay(on_request, 0.9) > initial_delay(on_request, 0.1), "calls are spread");
}

/// Guards against time limits and retry intervals with which one silent call hides a change for longer than the drain
/// grace in pushed mode, or than `MAX_LIST_DELAY`.
#[test]
fn silence_is_found_within_the_grace_or_before_what_is_missed_counts_as_told() {
    for grace in [500, 1_000, 2_000, 60_000].map(Duration::from_millis) {
        let settings = FollowSettings { mode: Discovery::Pushed, gateways: 300, drain_grace: grace };
        let timeouts = CallTimeouts::new(settings);
        // The end of a silent call, a connection that is not established, and a wait; then a call is answered at once.
        let wait = |jitter| Backoff::new(settings).wait(FailureKind::Error, 20, Duration::ZERO, jitter);
        let next_answer = timeouts.watch_margin + timeouts.connect + wait(1.0);
        assert!(timeouts.watch_wait + timeouts.watch_margin < grace && next_answer < grace, "{grace:?}");
        assert!(timeouts.watch_wait + next_answer < MAX_LIST_DELAY, "{grace:?}");
    }
    let timeouts =
        CallTimeouts::new(FollowSettings { mode: ON_REQUEST, gateways: 300, drain_grace: DRAIN_GRACE });
    assert!(timeouts.watch_wait + timeouts.watch_margin < MAX_LIST_DELAY);
}
