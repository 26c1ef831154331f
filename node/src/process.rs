//! The life of one gateway process: start, reload, shutdown.

use crate::backend::Pool;
use crate::config::{ConnectionLimits, ProcessUsage, Reload, Setup};
use crate::counter::Counter;
use crate::handover::{Handover, Message};
use crate::memory::budget::Budget;
use crate::memory::gauge::MemoryGauge;
use crate::reasons::CloseReason;
use crate::server::{Budgets, Server};
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

/// How long new connections are accepted after SIGTERM. The load balancer that spreads clients' requests over the
/// gateways goes on opening them for up to 0.4 s.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// How long after SIGTERM connections are mainly closed with a response; only those idle for at least
/// [`LONG_IDLE_TIME`] are closed without one.
const CLOSE_BY_ANSWER_PERIOD: Duration = Duration::from_millis(1_200);
/// The idle time from which a connection is closed without a response during [`CLOSE_BY_ANSWER_PERIOD`].
const LONG_IDLE_TIME: Duration = Duration::from_millis(300);
/// The maximum that the longest deadline of the classes counts for in computing how long requests may go on after
/// SIGTERM.
const MAX_ANSWER_DEADLINE: Duration = Duration::from_secs(3);
/// How long requests may go on after SIGTERM beyond the longest deadline.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(300);
/// How often each of two processes reports its open connections to the other, if they have changed.
const SHARING_INTERVAL: Duration = Duration::from_millis(50);
/// How long this process waits for the first list of backends before it serves, while another process serves.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a response may bring no bytes in the last phase of a shutdown before it is cut off, unless it is known
/// to be long. Also the time that the last bytes of responses have after the limit on requests has passed.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(200);
/// How long to try to listen at the clients' address. The process has 30 s to become ready.
const MAX_LISTEN_WAIT: Duration = Duration::from_secs(20);
/// How long a process that ends without a successor tries to add its remaining units to the counter.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a process that ends checks whether its remaining units have been added.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// How often an ending process checks whether it is done.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the process. Returns only if it could not start, with an error of one line that says why; after SIGTERM,
/// the process exits with status 0 from within.
pub fn run() -> Result<(), String> {
    // A LocalSet on top of the runtime would write to a descriptor at each wake-up and poll once more.
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve())
}

/// Starts all tasks, waits for SIGTERM and shuts down.
async fn serve() -> Result<(), String> {
    // Without a handler, either signal would end the process at once, so the handlers are installed first and
    // kept to the end.
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let setup = Setup::from_env()?;
    let (solo_limits, paired_limits, max_descriptors) =
        (setup.solo_limits, setup.paired_limits, setup.max_descriptors);
    let listener = match setup.inherited_listener_fd {
        Some(fd) => {
            handover::inherited_listener(fd).and_then(|l| TcpListener::from_std(l).map_err(|e| e.to_string()))
        }
        None => supervisor::listen("listen", setup.listen, MAX_LISTEN_WAIT).await,
    }?;
    let pool = Pool::new(&setup);
    let counter = Counter::new(setup.counter, setup.decision_config.counter, solo_limits.counter);
    let metrics = figures::Metrics::new(&setup.decision_config);
    let answer_limit = answer_period(&setup.decision_config);
    let driver = driver::Driver::new(
        setup.decision_config,
        setup.seed,
        pool.clone(),
        counter.clone(),
        metrics.reasons.clone(),
    )?;
    // The decision module starts with the list from the configuration, or with an empty one.
    let empty_list = endpoints::EndpointList { index: 0, snapshot: true, endpoints: Vec::new() };
    let known_index =
        setup.initial_list.as_ref().filter(|list| !list.endpoints.is_empty()).map(|list| list.index);
    driver.apply_cached_list(setup.initial_list.unwrap_or(empty_list));
    let supervisor = Supervisor::new(pool.guard.clone());
    let timers = driver.clone();
    supervisor.run("timers", move || {
        let timers = timers.clone();
        async move { timers.run_timers().await }
    });

    let gauge = Rc::new(MemoryGauge::new(setup.memory_bytes));
    let budgets = Budgets {
        bodies: Budget::new(setup.memory.request_bodies),
        requests: Budget::new(setup.memory.requests),
        gauge: gauge.clone(),
    };
    let server = Server::new(driver.clone(), metrics.clone(), solo_limits.clients, budgets);
    let handover = Handover::join(driver.clone(), setup.handover_socket).await;
    if let Some(address) = setup.ops {
        let ops = ops::OperatorServer::new(
            driver.clone(),
            server.clone(),
            metrics,
            handover.clone(),
            setup.max_operator_connections,
        );
        // Clients are served even while the operators' address is not available.
        supervisor.run("ops", move || {
            let ops = ops.clone();
            async move {
                match supervisor::listen("ops", address, Duration::MAX).await {
                    Ok(listener) => ops.accept(listener).await,
                    Err(error) => log::error!("{error}; the operator interface is not available"),
                }
            }
        });
    }
    let (discovery_sender, discovery_address) = watch::channel(setup.discovery);
    // A list taken over from another process is checked against discovery's full list, so discovery is asked without
    // an index then.
    let held_index = known_index.filter(|_| !handover.has_peers());
    let settings = discovery::FollowSettings::from_config(driver.config());
    let subscriber = driver.clone();
    supervisor.run("discovery", move || {
        discovery::follow(discovery_address.clone(), subscriber.clone(), settings, held_index, setup.seed)
    });
    let watched_server = server.clone();
    supervisor.run("connections", move || watched_server.clone().watch_connections());
    let (limits_handover, limits_server, limits_counter) =
        (handover.clone(), server.clone(), counter.clone());
    supervisor.run("bounds", move || {
        share_limits(
            solo_limits,
            paired_limits,
            limits_handover.clone(),
            limits_server.clone(),
            pool.clone(),
            limits_counter.clone(),
            gauge.clone(),
        )
    });
    let (accept_driver, accept_server, accept_handover) = (driver.clone(), server.clone(), handover.clone());
    let (stop_sender, stop_accepting) = watch::channel(false);
    let listener = Rc::new(listener);
    let accept = supervisor.run("accept", move || {
        let (accept_driver, accept_server, accept_handover) =
            (accept_driver.clone(), accept_server.clone(), accept_handover.clone());
        let (listener, stop_accepting) = (listener.clone(), stop_accepting.clone());
        async move {
            // While another process serves, there is time to read the current list from discovery.
            if accept_handover.has_peers() {
                let _ = timeout(FIRST_LIST_TIMEOUT, accept_driver.wait_for_first_list()).await;
            }
            // A process that is shutting down must not present itself as a successor.
            if !accept_driver.shutting_down() {
                accept_handover.broadcast(&Message::Serving);
            }
            accept_server.accept(&listener, stop_accepting).await;
        }
    });
    log::info!("{}: listening on {}, {max_descriptors} descriptors", setup.name, setup.listen);

    // Reloads are handled during the shutdown as well, so that the remaining units go to the counter's current
    // address.
    tokio::task::spawn_local(reload_on_hangup(hangup, discovery_sender, counter.clone()));
    let _ = term.recv().await;
    let terminated_at = Instant::now();
    driver.begin_shutdown(answer_limit.as_micros() as u64);
    if handover.has_successor() {
        // The successor accepts the connections that still come.
        server.set_successor_serving();
        stop_sender.send_replace(true);
    }
    // The load balancer goes on opening connections for a while, and requests on them still have to be served.
    sleep(ACCEPT_PERIOD).await;
    while terminated_at.elapsed() < answer_limit + LAST_BYTES_TIMEOUT {
        if driver.is_idle() && server.has_no_connections() {
            if accept.is_finished() {
                break;
            }
            // The connections in the listen queue are the last ones that are accepted.
            stop_sender.send_replace(true);
        }
        // A request may be on its way on any open connection. Connections in use are closed with a response. The
        // longer a connection has been idle, the less likely it is that a request crosses its end.
        let min_idle =
            if terminated_at.elapsed() < CLOSE_BY_ANSWER_PERIOD { LONG_IDLE_TIME } else { Duration::ZERO };
        server.close_idle(min_idle, CloseReason::Ending);
        // A response that never ends would hold this process until SIGKILL, and its client for even longer.
        if terminated_at.elapsed() >= answer_limit {
            server.abort_stalled_answers(LAST_BYTES_TIMEOUT);
        }
        // No more units are spent from here on, though responses may still be flowing, so the remaining units are
        // sent now rather than at the end of these responses.
        if driver.is_idle() && !handover.has_peers() {
            driver.flush();
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    let settle_deadline = terminated_at + answer_limit + LAST_BYTES_TIMEOUT;
    if handover.has_peers() {
        // A call rejected after the final message would leave units that nobody adds to the counter, so calls in
        // flight are awaited first.
        counter.finish(settle_deadline).await;
    } else {
        flush_units(&driver, &counter, settle_deadline.min(Instant::now() + FLUSH_TIMEOUT)).await;
    }
    // All requests are settled. The successor waits for the units that this process has not added, and SIGKILL
    // may come before a slow response has ended, so they are sent before the remaining responses.
    handover.send_unsynced_units();
    finish_answers(&server).await;
    handover.close().await;
    server.check_unanswered_requests();
    // The remaining tasks hold no unsent units or responses; they end with the process.
    std::process::exit(0);
}

/// Reads the configuration file again at each SIGHUP, for as long as the process runs.
async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_sender: watch::Sender<SocketAddr>,
    counter: Rc<Counter>,
) {
    while hangup.recv().await.is_some() {
        match Reload::from_file() {
            Ok(reload) => {
                if let Some(address) = reload.discovery {
                    discovery_sender.send_replace(address);
                }
                if let Some(address) = reload.counter {
                    counter.set_address(address);
                }
                log::info!("reloaded: discovery {:?}, counter {:?}", reload.discovery, reload.counter);
            }
            Err(error) => log::error!("reload: {error}; the previous settings remain in force"),
        }
    }
}

/// Adds the remaining units to the counter, since no other process of this gateway can.
async fn flush_units(driver: &driver::Driver, counter: &Counter, until: Instant) {
    while driver.uses_counter() && Instant::now() < until {
        if !driver.has_unsynced_units() && !counter.busy() {
            break;
        }
        driver.flush();
        sleep(FLUSH_INTERVAL).await;
    }
}

/// Passes on the responses that backends are still sending, until they end, stall or SIGKILL comes. Each
/// connection is closed after its response.
async fn finish_answers(server: &Server) {
    let mut last_answered = Instant::now();
    while !server.has_no_connections() && last_answered.elapsed() < LAST_BYTES_TIMEOUT {
        server.abort_stalled_answers(LAST_BYTES_TIMEOUT);
        server.close_after_answers(CloseReason::Ending);
        server.close_idle(Duration::ZERO, CloseReason::Ending);
        if server.is_answering() {
            last_answered = Instant::now();
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Keeps the connections and the memory of this process within the limits that all processes of this gateway share, and
/// reports what it holds to the other process.
async fn share_limits(
    solo_limits: ConnectionLimits,
    paired_limits: ConnectionLimits,
    handover: Rc<Handover>,
    server: Rc<Server>,
    pool: Rc<Pool>,
    counter: Rc<Counter>,
    gauge: Rc<MemoryGauge>,
) {
    let (mut peer_usage, mut last_sent) = (handover.peer_usage(), ProcessUsage::default());
    loop {
        let other = *peer_usage.borrow_and_update();
        let limits = other.map_or(solo_limits, |other| paired_limits.left_by(other));
        server.set_max_connections(limits.clients);
        pool.set_max_connections(limits.backends);
        counter.set_max_connections(limits.counter);
        server.set_other_process(other);
        pool.set_memory_shared(other.is_some());
        if other.is_some() {
            server.relieve_memory();
            let own = ProcessUsage {
                clients: server.connection_count(),
                backends: pool.open_connections(),
                resident_bytes: gauge.held(),
            };
            if own != last_sent {
                handover.broadcast(&Message::Held(own));
            }
            last_sent = own;
        }
        // While there is another process, what is held here has to be checked regularly; otherwise only the appearance
        // of one matters.
        let interval = if other.is_some() { SHARING_INTERVAL } else { Duration::MAX };
        let _ = timeout(interval, peer_usage.changed()).await;
    }
}

/// Returns how long requests may go on after SIGTERM. SIGKILL follows SIGTERM no earlier than after the longest
/// deadline (counted as at most 3 s) plus 0.7 s.
fn answer_period(config: &caperwind::Config) -> Duration {
    let longest_deadline = config.classes.iter().map(|class| Duration::from_micros(class.deadline)).max();
    longest_deadline.map_or(MAX_ANSWER_DEADLINE, |deadline| deadline.min(MAX_ANSWER_DEADLINE))
        + ANSWER_DEADLINE_MARGIN
}
