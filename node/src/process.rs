//! The life of one gateway process: start, reload, shutdown.

use crate::backend::Pool;
use crate::body::budget::Budget;
use crate::config::{ConnectionLimits, OpenConnections, Reload, Setup};
use crate::counter::Counter;
use crate::handover::{Handover, Message};
use crate::reasons::CloseReason;
use crate::server::Server;
use crate::supervisor::Supervisor;
use crate::{discovery, driver, endpoints, figures, handover, ops, supervisor};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM: how long new connections are still taken (they go on coming for up to 0.4 s), until when
/// connections are closed by an answer, if they have not been idle for long, and how long what was taken may
/// go on: the longest deadline, counted as this at most, and some more.
const STILL_ACCEPT: Duration = Duration::from_millis(700);
const BY_ANSWER: Duration = Duration::from_millis(1_200);
const LONG_IDLE: Duration = Duration::from_millis(300);
const LONGEST: Duration = Duration::from_secs(3);
const AFTER_LONGEST: Duration = Duration::from_millis(300);
/// How often each of two processes tells what it holds.
const SHARE: Duration = Duration::from_millis(50);
/// Where another process serves, the list is waited for so long before this one does.
const FIRST_LIST: Duration = Duration::from_millis(1_500);
const LAST_BYTES: Duration = Duration::from_millis(200);
/// The clients' address is waited for this long: the process has 30 s to be ready.
const MAX_LISTEN_WAIT: Duration = Duration::from_secs(20);
/// Units that the counter has not been told of are given so long to get there.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// How often an ending process looks whether it is done.
const END_INTERVAL: Duration = Duration::from_millis(20);

/// Runs until the process is told to end; the error is one plain line.
pub fn run() -> Result<(), String> {
    // Danger: a LocalSet beside the runtime writes to a descriptor at each wake-up, and polls once more.
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve())
}

async fn serve() -> Result<(), String> {
    // Danger: unhandled, either signal ends the process. Handlers come first and stay to the end.
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let setup = Setup::from_env()?;
    let (alone, paired, descriptors) = (setup.solo_limits, setup.paired_limits, setup.max_descriptors);
    let listener = match setup.inherited_listener_fd {
        Some(fd) => handover::inherited(fd).and_then(|l| TcpListener::from_std(l).map_err(|e| e.to_string())),
        None => supervisor::listen("listen", setup.listen, MAX_LISTEN_WAIT).await,
    }?;
    let pool = Pool::new(&setup);
    let counter = Counter::new(setup.counter, setup.decision_config.counter, alone.counter);
    let figures = figures::Metrics::new(&setup.decision_config);
    let last_answer = last_answer(&setup.decision_config);
    let driver = driver::Driver::new(
        setup.decision_config,
        setup.seed,
        pool.clone(),
        counter.clone(),
        figures.reasons.clone(),
    )?;
    // The module begins with the list it last had, an empty one if none.
    let none = endpoints::EndpointList { index: 0, snapshot: true, endpoints: Vec::new() };
    let known = setup.initial_list.as_ref().filter(|list| !list.endpoints.is_empty()).map(|list| list.index);
    driver.apply_cached_list(setup.initial_list.unwrap_or(none));
    let supervisor = Supervisor::new(pool.guard.clone());
    let timers = driver.clone();
    supervisor.run("timers", move || {
        let timers = timers.clone();
        async move { timers.run_timers().await }
    });

    let bodies = Budget::new(setup.max_body_bytes);
    let server = Server::new(driver.clone(), figures.clone(), alone.clients, bodies);
    let others = Handover::join(driver.clone(), setup.handover_socket).await;
    if let Some(address) = setup.ops {
        let ops = ops::Door::new(
            driver.clone(),
            server.clone(),
            figures,
            others.clone(),
            setup.max_operator_connections,
        );
        // Clients are served also while operators can't call.
        supervisor.run("ops", move || {
            let ops = ops.clone();
            async move {
                match supervisor::listen("ops", address, Duration::MAX).await {
                    Ok(listener) => ops.accept(listener).await,
                    Err(why) => log::error!("{why}; operators can't call"),
                }
            }
        });
    }
    let (discovery, followed) = watch::channel(setup.discovery);
    // What another process has handed over is checked against the whole list.
    let held = known.filter(|_| !others.paired());
    let terms = discovery::Terms::of(driver.config());
    let follower = driver.clone();
    supervisor.run("discovery", move || {
        discovery::follow(followed.clone(), follower.clone(), terms, held, setup.seed)
    });
    let watched = server.clone();
    supervisor.run("connections", move || watched.clone().watch_connections());
    let (sharing, sharer, shared_counter) = (others.clone(), server.clone(), counter.clone());
    supervisor.run("bounds", move || {
        share(alone, paired, sharing.clone(), sharer.clone(), pool.clone(), shared_counter.clone())
    });
    let (first, accepts, serving) = (driver.clone(), server.clone(), others.clone());
    let (stop, last) = watch::channel(false);
    let listener = Rc::new(listener);
    let accept = supervisor.run("accept", move || {
        let (first, accepts, serving) = (first.clone(), accepts.clone(), serving.clone());
        let (listener, last) = (listener.clone(), last.clone());
        async move {
            // Another process serves: there is time to hear what discovery says now.
            if serving.paired() {
                let _ = timeout(FIRST_LIST, first.wait_for_first_list()).await;
            }
            // One that ends does not go on after the others.
            if !first.shutting_down() {
                serving.tell(&Message::Serving);
            }
            accepts.accept(&listener, last).await;
        }
    });
    log::info!("{}: listening on {}, {descriptors} descriptors", setup.name, setup.listen);

    // Danger: a reload counts also while the process ends: what it owes the counter goes to where that is now.
    tokio::task::spawn_local(reload_on(hangup, discovery, counter.clone()));
    let _ = term.recv().await;
    let began = Instant::now();
    driver.begin_shutdown(last_answer.as_micros() as u64);
    if others.succeeded() {
        // What still comes is the other process's.
        server.set_successor_serving();
        stop.send_replace(true);
    }
    // Danger: the front goes on opening connections for a while, and what comes on them is taken.
    sleep(STILL_ACCEPT).await;
    while began.elapsed() < last_answer + LAST_BYTES {
        if driver.is_idle() && server.has_no_connections() {
            if accept.is_finished() {
                break;
            }
            // What stands in the listener's line by now is the last that comes.
            stop.send_replace(true);
        }
        // Danger: a request may be on its way on any connection that is open. Those in use are closed by an
        // answer; the longer one has been idle, the less likely it is that one crosses its end.
        let idle = if began.elapsed() < BY_ANSWER { LONG_IDLE } else { Duration::ZERO };
        server.close_idle(idle, CloseReason::Ending);
        // Danger: an answer that never ends would hold this process until SIGKILL, and its client for longer.
        if began.elapsed() >= last_answer {
            server.abort_stalled_answers(LAST_BYTES);
        }
        // Nothing more is spent, though answers may still flow: no time is lost until they end.
        if driver.is_idle() && !others.paired() {
            driver.flush();
        }
        sleep(END_INTERVAL).await;
    }
    let settled_by = began + last_answer + LAST_BYTES;
    if others.paired() {
        // Danger: what is turned away after the last words is added by nobody.
        counter.end(settled_by).await;
    } else {
        flush_units(&driver, &counter, settled_by.min(Instant::now() + FLUSH_TIMEOUT)).await;
    }
    // All requests are settled. Danger: the next process waits for what this one spent, and SIGKILL may come first
    // where an answer takes long.
    others.hand_over();
    finish_answers(&server).await;
    others.end().await;
    server.check_unanswered_requests();
    // Tasks that are left hold nothing that is owed; they end with the process.
    std::process::exit(0);
}

/// Reads the file anew at each SIGHUP, for as long as the process runs.
async fn reload_on(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, counter: Rc<Counter>) {
    while hangup.recv().await.is_some() {
        match Reload::from_file() {
            Ok(new) => {
                if let Some(to) = new.discovery {
                    discovery.send_replace(to);
                }
                if let Some(to) = new.counter {
                    counter.move_to(to);
                }
                log::info!("reloaded: discovery {:?}, counter {:?}", new.discovery, new.counter);
            }
            Err(why) => log::error!("reload: {why}; the old settings stay"),
        }
    }
}

/// Tells the counter of the units that it has not been told of: no other process of this gateway can.
async fn flush_units(driver: &driver::Driver, counter: &Counter, until: Instant) {
    while driver.uses_counter() && Instant::now() < until {
        if !driver.has_unsynced_units() && !counter.busy() {
            break;
        }
        driver.flush();
        sleep(FLUSH_INTERVAL).await;
    }
}

/// Passes on what backends are still giving, to the end or as far as SIGKILL lets it. Each connection closes behind
/// its answer.
async fn finish_answers(server: &Server) {
    let mut last_answered = Instant::now();
    while !server.has_no_connections() && last_answered.elapsed() < LAST_BYTES {
        server.abort_stalled_answers(LAST_BYTES);
        server.close_after_answers();
        server.close_idle(Duration::ZERO, CloseReason::Ending);
        if server.is_answering() {
            last_answered = Instant::now();
        }
        sleep(END_INTERVAL).await;
    }
}

/// Keeps to the bounds, which hold for all processes of this gateway together.
async fn share(
    alone: ConnectionLimits,
    paired: ConnectionLimits,
    others: Rc<Handover>,
    server: Rc<Server>,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
) {
    let (mut held, mut told) = (others.held(), OpenConnections::default());
    loop {
        let other = *held.borrow_and_update();
        let bounds = other.map_or(alone, |other| paired.beside(other));
        server.set_max_connections(bounds.clients);
        pool.set_max_connections(bounds.backends);
        counter.set_max_connections(bounds.counter);
        let own = OpenConnections { clients: server.connection_count(), backends: pool.open_connections() };
        if other.is_some() && own != told {
            others.tell(&Message::Held(own));
            told = own;
        }
        // While there is another, what is held here may change at any time.
        let look = if other.is_some() { SHARE } else { Duration::MAX };
        let _ = timeout(look, held.changed()).await;
    }
}

/// SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s more.
fn last_answer(module: &caperwind::Config) -> Duration {
    let longest = module.classes.iter().map(|c| Duration::from_micros(c.deadline)).max();
    longest.map_or(LONGEST, |d| d.min(LONGEST)) + AFTER_LONGEST
}
