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
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
const CLOSE_BY_ANSWER_PERIOD: Duration = Duration::from_millis(1_200);
const LONG_IDLE_TIME: Duration = Duration::from_millis(300);
const MAX_ANSWER_DEADLINE: Duration = Duration::from_secs(3);
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(300);
/// How often each of two processes tells what it holds.
const SHARING_INTERVAL: Duration = Duration::from_millis(50);
/// Where another process serves, the list is waited for so long before this one does.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(200);
/// The clients' address is waited for this long: the process has 30 s to be ready.
const MAX_LISTEN_WAIT: Duration = Duration::from_secs(20);
/// Units that the counter has not been told of are given so long to get there.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// How often an ending process looks whether it is done.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
        Some(fd) => {
            handover::inherited_listener(fd).and_then(|l| TcpListener::from_std(l).map_err(|e| e.to_string()))
        }
        None => supervisor::listen("listen", setup.listen, MAX_LISTEN_WAIT).await,
    }?;
    let pool = Pool::new(&setup);
    let counter = Counter::new(setup.counter, setup.decision_config.counter, alone.counter);
    let figures = figures::Figures::new(&setup.decision_config);
    let last_answer = answer_period(&setup.decision_config);
    let driver = driver::Shared::new(
        setup.decision_config,
        setup.seed,
        pool.clone(),
        counter.clone(),
        figures.reasons.clone(),
    )?;
    // The module begins with the list it last had, an empty one if none.
    let none = endpoints::EndpointList { index: 0, snapshot: true, endpoints: Vec::new() };
    let known = setup.initial_list.as_ref().filter(|list| !list.endpoints.is_empty()).map(|list| list.index);
    driver.backends_known(setup.initial_list.unwrap_or(none));
    let supervisor = Supervisor::new(pool.guard.clone());
    let timers = driver.clone();
    supervisor.run("timers", move || {
        let timers = timers.clone();
        async move { timers.keep_time().await }
    });

    let bodies = Budget::new(setup.max_body_bytes);
    let server = Server::new(driver.clone(), figures.clone(), alone.clients, bodies);
    let others = Handover::join(driver.clone(), setup.handover_socket).await;
    if let Some(address) = setup.ops {
        let ops = ops::OperatorServer::new(
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
    let held = known.filter(|_| !others.has_peers());
    let terms = discovery::FollowSettings::from_config(driver.module());
    let follower = driver.clone();
    supervisor.run("discovery", move || {
        discovery::follow(followed.clone(), follower.clone(), terms, held, setup.seed)
    });
    let watched = server.clone();
    supervisor.run("connections", move || watched.clone().watch());
    let (sharing, sharer, shared_counter) = (others.clone(), server.clone(), counter.clone());
    supervisor.run("bounds", move || {
        share_connection_limits(
            alone,
            paired,
            sharing.clone(),
            sharer.clone(),
            pool.clone(),
            shared_counter.clone(),
        )
    });
    let (first, accepts, serving) = (driver.clone(), server.clone(), others.clone());
    let (stop, last) = watch::channel(false);
    let listener = Rc::new(listener);
    let accept = supervisor.run("accept", move || {
        let (first, accepts, serving) = (first.clone(), accepts.clone(), serving.clone());
        let (listener, last) = (listener.clone(), last.clone());
        async move {
            // Another process serves: there is time to hear what discovery says now.
            if serving.has_peers() {
                let _ = timeout(FIRST_LIST_TIMEOUT, first.first_list()).await;
            }
            // One that ends does not go on after the others.
            if !first.closing() {
                serving.broadcast(&Message::Serving);
            }
            accepts.accept(&listener, last).await;
        }
    });
    log::info!("{}: listening on {}, {descriptors} descriptors", setup.name, setup.listen);

    // Danger: a reload counts also while the process ends: what it owes the counter goes to where that is now.
    tokio::task::spawn_local(reload_on_hangup(hangup, discovery, counter.clone()));
    let _ = term.recv().await;
    let began = Instant::now();
    driver.close_within(last_answer.as_micros() as u64);
    if others.has_successor() {
        // What still comes is the other process's.
        server.succeeded();
        stop.send_replace(true);
    }
    // Danger: the front goes on opening connections for a while, and what comes on them is taken.
    sleep(ACCEPT_PERIOD).await;
    while began.elapsed() < last_answer + LAST_BYTES_TIMEOUT {
        if driver.idle() && server.empty() {
            if accept.is_finished() {
                break;
            }
            // What stands in the listener's line by now is the last that comes.
            stop.send_replace(true);
        }
        // Danger: a request may be on its way on any connection that is open. Those in use are closed by an
        // answer; the longer one has been idle, the less likely it is that one crosses its end.
        let idle = if began.elapsed() < CLOSE_BY_ANSWER_PERIOD { LONG_IDLE_TIME } else { Duration::ZERO };
        server.close_idle(idle, CloseReason::Ending);
        // Danger: an answer that never ends would hold this process until SIGKILL, and its client for longer.
        if began.elapsed() >= last_answer {
            server.cut_unproven(LAST_BYTES_TIMEOUT);
        }
        // Nothing more is spent, though answers may still flow: no time is lost until they end.
        if driver.idle() && !others.has_peers() {
            driver.flush();
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    let settled_by = began + last_answer + LAST_BYTES_TIMEOUT;
    if others.has_peers() {
        // Danger: what is turned away after the last words is added by nobody.
        counter.finish(settled_by).await;
    } else {
        flush_units(&driver, &counter, settled_by.min(Instant::now() + FLUSH_TIMEOUT)).await;
    }
    // All requests are settled. Danger: the next process waits for what this one spent, and SIGKILL may come first
    // where an answer takes long.
    others.send_unsynced_units();
    finish_answers(&server).await;
    others.close().await;
    server.check_end();
    // Tasks that are left hold nothing that is owed; they end with the process.
    std::process::exit(0);
}

/// Reads the file anew at each SIGHUP, for as long as the process runs.
async fn reload_on_hangup(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, counter: Rc<Counter>) {
    while hangup.recv().await.is_some() {
        match Reload::from_file() {
            Ok(new) => {
                if let Some(to) = new.discovery {
                    discovery.send_replace(to);
                }
                if let Some(to) = new.counter {
                    counter.set_address(to);
                }
                log::info!("reloaded: discovery {:?}, counter {:?}", new.discovery, new.counter);
            }
            Err(why) => log::error!("reload: {why}; the old settings stay"),
        }
    }
}

/// Tells the counter of the units that it has not been told of: no other process of this gateway can.
async fn flush_units(driver: &driver::Shared, counter: &Counter, until: Instant) {
    while driver.counts() && Instant::now() < until {
        if !driver.has_unsent() && !counter.busy() {
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
    while !server.empty() && last_answered.elapsed() < LAST_BYTES_TIMEOUT {
        server.cut_unproven(LAST_BYTES_TIMEOUT);
        server.close_behind_answers();
        server.close_idle(Duration::ZERO, CloseReason::Ending);
        if server.answering() {
            last_answered = Instant::now();
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Keeps to the bounds, which hold for all processes of this gateway together.
async fn share_connection_limits(
    alone: ConnectionLimits,
    paired: ConnectionLimits,
    others: Rc<Handover>,
    server: Rc<Server>,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
) {
    let (mut held, mut told) = (others.peer_connections(), OpenConnections::default());
    loop {
        let other = *held.borrow_and_update();
        let bounds = other.map_or(alone, |other| paired.left_by(other));
        server.hold(bounds.clients);
        pool.hold(bounds.backends);
        counter.set_max_connections(bounds.counter);
        let own = OpenConnections { clients: server.held(), backends: pool.held() };
        if other.is_some() && own != told {
            others.broadcast(&Message::OpenConnections(own));
            told = own;
        }
        // While there is another, what is held here may change at any time.
        let look = if other.is_some() { SHARING_INTERVAL } else { Duration::MAX };
        let _ = timeout(look, held.changed()).await;
    }
}

/// SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s more.
fn answer_period(module: &caperwind::Config) -> Duration {
    let longest = module.classes.iter().map(|c| Duration::from_micros(c.deadline)).max();
    longest.map_or(MAX_ANSWER_DEADLINE, |d| d.min(MAX_ANSWER_DEADLINE)) + ANSWER_DEADLINE_MARGIN
}
