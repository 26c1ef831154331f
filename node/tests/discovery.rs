//! Discovery that fails in every way it can, over real connections, on a clock that the test drives: what it has to
//! tell is known within 6 s of the moment at which it has it and can be reached, and no fleet crowds it.

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

/// What discovery has counts as told so long after it had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(25);
/// Polls after which what is on its way over the loopback has come.
const SETTLE: usize = 12;
const ASKED: Discovery = Discovery::OnRequest { ask_interval: 10_000_000 };
const MODES: [Discovery; 2] = [Discovery::Pushed, ASKED];
/// The sizes of fleets, in the settings.
const FLEETS: [u32; 4] = [1, 100, 300, 1024];

/// What discovery does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Serve,
    /// Turns each away.
    Status(u16),
    /// Nobody listens.
    Refuse,
    /// Connections are not accepted.
    Line,
    /// Silence for ever: before the head, in it, in the body.
    Head,
    MidHead,
    MidBody,
    /// Connections are reset when their call has come.
    Reset,
    /// Answers come, so late.
    Slow(Duration),
    /// Serves so many calls a second, one after another; what would wait in its line for over 2 s is turned away.
    Busy(u32),
}

/// What discovery's line holds.
const LINE: Duration = Duration::from_secs(2);

const TROUBLES: [Mood; 8] = [
    Mood::Status(503),
    Mood::Status(429),
    Mood::Refuse,
    Mood::Line,
    Mood::Head,
    Mood::MidHead,
    Mood::MidBody,
    Mood::Reset,
];

/// Discovery as this test plays it.
struct World {
    mood: watch::Sender<Mood>,
    index: watch::Sender<u64>,
    /// When calls came.
    calls: RefCell<Vec<Instant>>,
    open: RefCell<Vec<AbortHandle>>,
    /// When the line will be empty.
    free: Cell<Instant>,
}

impl World {
    fn new(mood: Mood) -> Rc<Self> {
        let (mood, index) = (watch::Sender::new(mood), watch::Sender::new(1));
        let free = Cell::new(Instant::now());
        Rc::new(World { mood, index, calls: RefCell::default(), open: RefCell::default(), free })
    }

    fn answer(&self) -> Vec<u8> {
        let body = format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{{"name":"s-0","address":"127.0.0.1:9","status":"SERVING"}}]}}"#,
            *self.index.borrow()
        );
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    /// Listens while the mood allows.
    async fn run(self: Rc<Self>, address: SocketAddr) {
        let (mut mood, mut kept) = (self.mood.subscribe(), Vec::new());
        loop {
            while *mood.borrow_and_update() == Mood::Refuse {
                self.open.borrow_mut().drain(..).for_each(|task| task.abort());
                mood.changed().await.expect("the world lasts");
            }
            let listener = TcpListener::bind(address).await.expect("an address of its own");
            loop {
                if *mood.borrow_and_update() == Mood::Line {
                    mood.changed().await.expect("the world lasts");
                    // What came meanwhile stays where it is.
                    while let Ok(Ok((stream, _))) = tokio::time::timeout(STEP / 20, listener.accept()).await {
                        kept.push(stream);
                    }
                }
                tokio::select! {
                    come = listener.accept() => {
                        let task = tokio::task::spawn_local(self.clone().serve(come.expect("a connection").0));
                        self.open.borrow_mut().push(task.abort_handle());
                    }
                    _ = mood.changed() => {}
                }
                if *mood.borrow() == Mood::Refuse {
                    break;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut text = Vec::new();
        loop {
            text.clear();
            while !text.ends_with(b"\r\n\r\n") {
                if stream.read_buf(&mut text).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            self.calls.borrow_mut().push(Instant::now());
            let line = String::from_utf8_lossy(&text).into_owned();
            let figure = |name: &str| {
                let rest = line.split_once(name)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let mut mood = *self.mood.borrow();
            if let Mood::Busy(per_second) = mood {
                let done = self.free.get().max(Instant::now()) + Duration::from_secs(1) / per_second;
                if done - Instant::now() > LINE {
                    mood = Mood::Status(503);
                } else {
                    self.free.set(done);
                    tokio::time::sleep_until(done).await;
                }
            }
            if let (Some(held), Mood::Serve | Mood::Busy(_)) = (figure("index="), mood) {
                let mut index = self.index.subscribe();
                let wait = Duration::from_millis(figure("wait=").expect("a wait"));
                // Trouble that begins meanwhile meets open watches, too.
                let mut later = self.mood.subscribe();
                tokio::select! {
                    _ = index.wait_for(|now| *now > held) => {}
                    () = sleep(wait) => {}
                    _ = later.changed() => {}
                }
            }
            let whole = self.answer();
            let now = if let Mood::Busy(_) = *self.mood.borrow() { mood } else { *self.mood.borrow() };
            let part = match now {
                Mood::Serve | Mood::Busy(_) | Mood::Refuse => &whole[..],
                Mood::Status(status) => {
                    let text = format!("HTTP/1.1 {status} No\r\ncontent-length: 0\r\n\r\n");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                Mood::Slow(by) => {
                    sleep(by).await;
                    &whole[..]
                }
                Mood::Head | Mood::Line => &[],
                Mood::MidHead => &whole[..12],
                Mood::MidBody => &whole[..whole.len() - 9],
                Mood::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
            };
            if stream.write_all(part).await.is_err() {
                return;
            }
            if part.len() < whole.len() {
                // Silent for as long as the other side waits.
                while stream.read_buf(&mut text).await.unwrap_or(0) > 0 {}
                return;
            }
        }
    }
}

/// Remembers what it was told, and when it last was told something new.
#[derive(Default)]
struct Told {
    index: Cell<u64>,
    at: Cell<Option<Instant>>,
}

struct Gateway(Rc<Told>);

impl Subscriber for Gateway {
    fn list_received(&self, list: EndpointList, _older: bool) -> bool {
        if self.0.index.replace(list.index) < list.index {
            self.0.at.set(Some(Instant::now()));
        }
        false
    }
    fn call_failed(&self) {}
    fn knows_any_backend(&self) -> bool {
        self.0.index.get() > 0
    }
}

/// A fleet before one discovery.
struct Fleet {
    world: Rc<World>,
    told: Vec<Rc<Told>>,
    began: Instant,
}

impl Fleet {
    /// So many gateways of a fleet of that size, which have begun with list 1 in hand or with none.
    fn start(world: &Rc<World>, mode: Discovery, size: u32, play: u32, held: Option<u64>) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let address = format!("127.{}.{}.{}:8500", 60 + pid / 250 % 180, 1 + pid % 250, n);
        let address: SocketAddr = address.parse().expect("an address");
        tokio::task::spawn_local(world.clone().run(address));
        let terms = FollowSettings { mode, gateways: size, drain_grace: GRACE };
        let told = (0..play).map(|n| {
            let told = Rc::new(Told { index: Cell::new(held.unwrap_or(0)), at: Cell::default() });
            let (sender, address) = watch::channel(address);
            let gateway = Gateway(told.clone());
            tokio::task::spawn_local(async move {
                let _sender = sender;
                follow(address, gateway, terms, held, u64::from(n) + 1).await;
            });
            told
        });
        Fleet { world: world.clone(), told: told.collect(), began: Instant::now() }
    }

    /// How long after `from` each heard of what is newest; `None` for those that have not.
    fn heard(&self, from: Instant) -> Vec<Option<Duration>> {
        let newest = *self.world.index.borrow();
        let one = |t: &Rc<Told>| t.at.get().filter(|_| t.index.get() == newest).map(|at| at - from);
        let mut all: Vec<_> = self.told.iter().map(one).collect();
        all.sort_by_key(|t| t.unwrap_or(Duration::MAX));
        all
    }

    /// Calls in each second since the fleet began.
    fn calls(&self) -> Vec<usize> {
        let calls = self.world.calls.borrow();
        let second = |at: &Instant| (*at - self.began).as_secs() as usize;
        let mut all = vec![0; self.began.elapsed().as_secs() as usize];
        calls.iter().map(second).for_each(|s| {
            if let Some(n) = all.get_mut(s) {
                *n += 1
            }
        });
        all
    }
}

/// Moves the clock on.
async fn run(span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until {
        tokio::time::advance(STEP.min(until - Instant::now())).await;
        for _ in 0..SETTLE {
            tokio::task::yield_now().await;
        }
    }
}

/// Runs on a clock that moves when the test says so alone.
fn driven<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build_local(LocalOptions::default());
    let runtime = runtime.expect("a runtime");
    // The clock would go on by itself whenever nothing is to be done, also while bytes are on their way.
    let (done, wait) = std::sync::mpsc::channel::<()>();
    runtime.block_on(async move {
        let hold = tokio::task::spawn_blocking(move || wait.recv().unwrap_or_default());
        let result = test.await;
        drop(done);
        hold.await.expect("it ends");
        result
    })
}

const GRACE: Duration = Duration::from_secs(2);

/// Each case on a clock of its own, a few at a time: a fleet holds many descriptors.
fn each<C: Copy + Send + Sync, T: Send>(cases: &[C], test: fn(C) -> T) -> Vec<(C, T)> {
    static TURN: Mutex<()> = Mutex::new(());
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
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

/// Guards against waits that grow with the fleet or with failures until drains are not heard of.
#[test]
fn a_change_is_known_6_s_after_discovery_had_it_and_could_be_reached() {
    let cases: Vec<_> = MODES.into_iter().flat_map(|mode| TROUBLES.map(|mood| (mode, mood))).collect();
    let slowest = each(&cases, |(mode, mood)| {
        driven(async move {
            let fleets = FLEETS.map(|size| Fleet::start(&World::new(Mood::Serve), mode, size, 20, Some(1)));
            let mut slowest = FLEETS.map(|_| Duration::ZERO);
            run(Duration::from_secs(5)).await;
            // Outages that end at any moment of a call or a wait, the second before the first is got over.
            for away in [700, 300, 3_100, 9_300, 21_500].map(Duration::from_millis) {
                for fleet in &fleets {
                    fleet.world.mood.send_replace(mood);
                }
                run(away).await;
                let back = Instant::now();
                for fleet in &fleets {
                    fleet.world.index.send_modify(|index| *index += 1);
                    fleet.world.mood.send_replace(Mood::Serve);
                }
                run(if away < Duration::from_secs(1) { Duration::from_millis(400) } else { TOLD }).await;
                for (fleet, slowest) in fleets.iter().zip(&mut slowest) {
                    let last = fleet.heard(back).pop().expect("gateways");
                    let told = last.unwrap_or(if away < Duration::from_secs(1) {
                        Duration::ZERO
                    } else {
                        Duration::MAX
                    });
                    *slowest = told.max(*slowest);
                }
            }
            slowest
        })
    });
    for ((mode, mood), slowest) in &slowest {
        println!("{mode:?} {mood:?}, fleets of {FLEETS:?}: {slowest:?}");
    }
    for ((mode, mood), slowest) in slowest {
        // What an agent has counts at once, and binds a grace later.
        let bound = if mode == ASKED { TOLD } else { GRACE };
        assert!(slowest.iter().all(|s| *s < bound), "{mode:?} {mood:?}: {slowest:?}");
    }
}

/// Guards against a fleet whose calls crowd discovery: while it turns calls away, as it comes back, and at a start of
/// all gateways together. Both hold, whatever the size of the fleet: the intervals of a gateway have a bound, and a
/// fleet makes few more calls than it does while all is well.
#[test]
fn a_fleet_does_not_crowd_discovery() {
    let cases: Vec<_> = FLEETS
        .into_iter()
        .flat_map(|size| [(size, Mood::Status(503)), (size, Mood::Refuse), (size, Mood::Head)])
        .collect();
    for ((size, mood), (calls, told)) in each(&cases, |(size, mood)| {
        driven(async move {
            let fleet = Fleet::start(&World::new(Mood::Serve), ASKED, size, size, Some(1));
            run(Duration::from_secs(20)).await;
            fleet.world.mood.send_replace(mood);
            run(Duration::from_secs(30)).await;
            let back = Instant::now();
            fleet.world.index.send_modify(|index| *index += 1);
            fleet.world.mood.send_replace(Mood::Serve);
            run(Duration::from_secs(10)).await;
            (fleet.calls(), fleet.heard(back).pop().expect("gateways"))
        })
    }) {
        let mean = |span: std::ops::Range<usize>| {
            calls[span.clone()].iter().sum::<usize>() as f64 / span.len() as f64
        };
        let most =
            |span: std::ops::Range<usize>| calls[span].iter().copied().max().unwrap_or_default() as f64;
        let (served, away) = (mean(6..20), mean(25..50));
        println!(
            "{size} gateways, {mood:?}: calls a second: {served:.1} while served, {away:.1} while away (most {}), \
             at the start {} at most, at the return {} at most; the last one knows after {told:?}",
            most(20..50), most(0..6), most(50..60)
        );
        assert!(told.is_some_and(|told| told < TOLD), "{size} {mood:?}: {told:?}");
        if size > 1 {
            assert!(
                away < 1.25 * served,
                "{size} {mood:?}: {away} calls a second while away, {served} while served"
            );
            assert!(most(0..60) <= 4.0 * served, "{size} {mood:?}: {calls:?}");
        }
    }
}

/// Restarted all at once, from an old list and from an empty one or none, which to discovery are the same.
#[test]
fn nine_in_ten_of_a_fleet_that_restarts_know_a_list_within_10_s() {
    let moods = [
        Mood::Serve,
        Mood::Slow(Duration::from_secs(1)),
        Mood::Slow(Duration::from_millis(3_500)),
        Mood::Busy(90),
        Mood::Status(503),
        Mood::Refuse,
        Mood::Line,
        Mood::Head,
    ];
    let cases: Vec<_> = MODES.into_iter().flat_map(|mode| moods.map(|mood| (mode, mood))).collect();
    for ((mode, mood), told) in each(&cases, |(mode, mood)| {
        driven(async move {
            let (fleet, began) = (Fleet::start(&World::new(mood), mode, 300, 300, None), Instant::now());
            if !matches!(mood, Mood::Slow(_) | Mood::Busy(_)) {
                run(Duration::from_secs(5)).await;
                fleet.world.mood.send_replace(Mood::Serve);
            }
            run(Duration::from_secs(25)).await;
            fleet.heard(began)
        })
    }) {
        // Of an agent of its own, nobody else is in the line.
        if (mode, mood) == (Discovery::Pushed, Mood::Busy(90)) {
            continue;
        }
        println!(
            "{mode:?} {mood:?}: half know a list after {:?}, nine in ten after {:?}, all after {:?}",
            told[150], told[269], told[299]
        );
        assert!(told[269].is_some_and(|t| t < Duration::from_secs(10)), "{mode:?} {mood:?}: {:?}", told[269]);
        assert!(told[299].is_some_and(|t| t < Duration::from_secs(30)), "{mode:?} {mood:?}: {:?}", told[299]);
    }
}

#[test]
fn a_pushed_list_is_asked_for_at_once_and_others_before_they_count_as_told() {
    let terms = |mode, gateways| FollowSettings { mode, gateways, drain_grace: GRACE };
    for gateways in FLEETS {
        let pushed = initial_delay(terms(Discovery::Pushed, gateways), 0.99);
        assert_eq!(pushed, Duration::ZERO, "{gateways} gateways");
        let asked = terms(ASKED, gateways);
        let longest = initial_delay(asked, 1.0);
        assert!(longest + CallTimeouts::new(asked).watch_margin < TOLD, "{gateways} gateways: {longest:?}");
    }
    let asked = terms(ASKED, 300);
    assert!(initial_delay(asked, 0.9) > initial_delay(asked, 0.1), "calls are spread");
}

#[test]
fn silence_is_found_within_the_grace_or_before_what_is_missed_counts_as_told() {
    for grace in [500, 1_000, 2_000, 60_000].map(Duration::from_millis) {
        let terms = FollowSettings { mode: Discovery::Pushed, gateways: 300, drain_grace: grace };
        let p = CallTimeouts::new(terms);
        // The end of a silent watch, a connection that does not come up, a wait, and a call that is answered.
        let wait = |jitter| Backoff::new(terms).wait(FailureKind::Error, 20, Duration::ZERO, jitter);
        let anew = p.watch_margin + p.connect + wait(1.0);
        assert!(p.watch_wait + p.watch_margin < grace && anew < grace, "{grace:?}");
        assert!(p.watch_wait + anew < TOLD, "{grace:?}");
    }
    let p = CallTimeouts::new(FollowSettings { mode: ASKED, gateways: 300, drain_grace: GRACE });
    assert!(p.watch_wait + p.watch_margin < TOLD);
}
