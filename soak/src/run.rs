//! Executes one run, from its set-up to its verdict.

use crate::client::Admission;
use crate::director;
use crate::oracle::{self, Break};
use crate::process::ProcessPaths;
use crate::scenario::{Scenario, MEASUREMENT_TIME, RECOVERY_TIME, SETTLE_TIME};
use crate::trace::{ClientOutcome, Entry, Event};
use crate::world::World;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// The time limit of a run; a run that takes longer is reported as unfinished.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(75);
/// The time limit for the requests in flight at the end of the traffic.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// The idle time of reused connections: just below a gateway's idle timeout of 5 s.
const IDLE_BEFORE_REUSE: Duration = Duration::from_millis(4_950);
/// The interval at which the delay of the soak's own timers is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a run, printed as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed that the run was drawn from.
    pub seed: u64,
    /// `held`, `broken`, or `unfinished`.
    pub verdict: &'static str,
    /// The breaks of invariants.
    pub broken: Vec<Break>,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of requests sent.
    pub requests: usize,
    /// Requests answered with 200.
    pub served: usize,
    /// Requests answered with 429 or 503.
    pub refused: usize,
    /// Requests answered with any other status.
    pub failed: usize,
    /// Requests that got no whole answer.
    pub otherwise: usize,
    /// The share, from 0 to 1, of the requests within their quotas that was served during the measurement after the
    /// recovery time; `None` if the measurement was not completed.
    pub recovered: Option<f64>,
    /// The number of attempts at backends.
    pub attempts: usize,
    /// The longest delay of the soak's own timers in milliseconds. If it is long, the machine was too busy for verdicts
    /// that depend on times.
    pub max_lag_ms: u64,
    /// The duration of the run in seconds.
    pub seconds: f64,
    /// The troubles, each with its gateway, its backend, and its start and duration in milliseconds.
    pub troubles: Vec<String>,
    /// The command that repeats the run.
    pub replay: String,
}

/// The programs of a run, and the folder for its logs.
#[derive(Clone)]
pub struct RunPaths {
    /// The gateway's program.
    pub program: PathBuf,
    /// The library to preload.
    pub shim: PathBuf,
    /// The folder for the logs and events of runs that did not hold; without one, they are not saved.
    pub logs: Option<PathBuf>,
}

/// Executes a run and judges it. `slot` must differ from those of other runs that this process executes at the same
/// time; it is below `MAX_SLOTS`.
///
/// Fails if the run cannot be set up or its logs cannot be saved.
pub async fn execute(
    scenario: Scenario,
    paths: &RunPaths,
    slot: usize,
    replay: String,
) -> anyhow::Result<Report> {
    let began = Instant::now();
    let folder = std::env::temp_dir().join(format!("soak-{}-{slot}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let process_paths =
        ProcessPaths { program: paths.program.clone(), shim: paths.shim.clone(), folder: folder.clone() };
    let world = Arc::new(World::set_up(scenario, process_paths, slot).await?);
    let lag = Arc::new(LagMeter::default());
    tokio::spawn(lag.clone().measure());
    let finished = timeout(MAX_RUN_TIME, perform(&world)).await.is_ok();
    lag.stop.store(true, Ordering::Relaxed);
    let entries = world.trace.entries();
    let broken = oracle::find_breaks(&entries, &world.scenario);
    for process in world.gateways.iter().flat_map(|gateway| gateway.running()) {
        process.kill();
        process.wait_for_exit(Duration::from_secs(2)).await;
    }
    let verdict = match (finished, broken.is_empty()) {
        (false, _) => "unfinished",
        (_, true) => "held",
        (_, false) => "broken",
    };
    if let Some(logs) = paths.logs.as_deref().filter(|_| verdict != "held") {
        save_logs(&world, &entries, logs)?;
    }
    let _ = std::fs::remove_dir_all(&folder);
    Ok(build_report(&world.scenario, &entries, broken, verdict, lag.max_ms(), began.elapsed(), replay))
}

/// Starts the gateways, applies traffic and troubles, and measures the recovery and the final state.
async fn perform(world: &Arc<World>) {
    let starts = world.gateways.iter().map(|gateway| {
        let world = world.clone();
        let index = gateway.index;
        tokio::spawn(async move { world.gateways[index].start_and_admit(&world, |_| {}).await })
    });
    for start in starts.collect::<Vec<_>>() {
        if let Ok(Err(e)) = start.await {
            eprintln!("cannot start a gateway: {e:#}");
        }
    }
    let seed = world.scenario.seed;
    let clients = [
        tokio::spawn(world.clients.clone().run(seed ^ 1)),
        tokio::spawn(world.clients.clone().run_bad_peers(seed ^ 2)),
        tokio::spawn(world.clients.clone().run_idle_reuse(IDLE_BEFORE_REUSE, seed ^ 3)),
    ];
    let troubles: Vec<_> = world.scenario.troubles.iter().cloned().enumerate().collect();
    let troubles: Vec<_> = troubles
        .into_iter()
        .map(|(index, trouble)| tokio::spawn(director::apply(world.clone(), index, trouble)))
        .collect();
    sleep(world.scenario.troubles_end()).await;
    for trouble in troubles {
        let _ = trouble.await;
    }
    world.clients.well_formed_only.store(true, Ordering::Relaxed);
    sleep(RECOVERY_TIME).await;
    world.trace.record(Event::MeasureBegan);
    sleep(MEASUREMENT_TIME).await;
    world.trace.record(Event::MeasureEnded);
    world.clients.stopped.store(true, Ordering::Relaxed);
    for task in clients {
        let _ = task.await;
    }
    let deadline = Instant::now() + FINAL_ANSWER_TIMEOUT;
    while world.clients.in_flight_requests() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    for gateway in &world.gateways {
        world.clients.admit(gateway.index, Admission::Closed);
        world.clients.drop_connections(gateway.index);
    }
    sleep(SETTLE_TIME).await;
    for gateway in &world.gateways {
        match gateway.current() {
            Some(process) => process.record_final_state().await,
            None => world.trace.record(Event::FinalMetricsMissing { gateway: gateway.index }),
        }
    }
}

/// Measures the delay of the soak's own timers.
#[derive(Default)]
struct LagMeter {
    /// The longest delay so far, in microseconds.
    max_us: AtomicU64,
    stop: AtomicBool,
}

impl LagMeter {
    async fn measure(self: Arc<Self>) {
        while !self.stop.load(Ordering::Relaxed) {
            let before = Instant::now();
            sleep(LAG_INTERVAL).await;
            let lag = before.elapsed().saturating_sub(LAG_INTERVAL).as_micros() as u64;
            self.max_us.fetch_max(lag, Ordering::Relaxed);
        }
    }

    fn max_ms(&self) -> u64 {
        self.max_us.load(Ordering::Relaxed) / 1000
    }
}

/// Saves the log lines of all gateways, by time, and the recorded events.
fn save_logs(world: &World, entries: &[Entry], logs: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(logs)?;
    let seed = world.scenario.seed;
    let mut lines: Vec<String> = world.gateways.iter().flat_map(|gateway| gateway.logs()).collect();
    lines.sort_by(|a, b| log_line_time_s(a).total_cmp(&log_line_time_s(b)));
    std::fs::write(logs.join(format!("{seed}.log")), lines.join("\n"))?;
    let events: Vec<String> =
        entries.iter().map(|e| format!("{:.3} {:?}", e.at.as_secs_f64(), e.event)).collect();
    std::fs::write(logs.join(format!("{seed}.trace")), events.join("\n"))?;
    Ok(())
}

/// The time at the start of a log line, in seconds; 0 if there is none.
fn log_line_time_s(line: &str) -> f64 {
    line.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0.0)
}

fn build_report(
    scenario: &Scenario,
    entries: &[Entry],
    broken: Vec<Break>,
    verdict: &'static str,
    max_lag_ms: u64,
    duration: Duration,
    replay: String,
) -> Report {
    let count = |wanted: &dyn Fn(&Event) -> bool| entries.iter().filter(|e| wanted(&e.event)).count();
    let status = |wanted: &dyn Fn(u16) -> bool| {
        count(
            &|e| matches!(e, Event::RequestEnded { end: ClientOutcome::Answered { status, .. }, .. } if wanted(*status)),
        )
    };
    let requests = count(&|e| matches!(e, Event::RequestSent(_)));
    let (served, refused) = (status(&|s| s == 200), status(&|s| matches!(s, 429 | 503)));
    let failed = status(&|s| !matches!(s, 200 | 429 | 503));
    let describe = |t: &crate::trouble::Trouble| {
        let wide = if t.wide { " wide" } else { "" };
        let (start_ms, duration_ms) = (t.start.as_millis(), t.duration.as_millis());
        format!("{} g{} b{}{wide} {start_ms}+{duration_ms}", t.kind.name(), t.gateway, t.backend)
    };
    Report {
        seed: scenario.seed,
        verdict,
        broken,
        gateways: scenario.gateways,
        requests,
        served,
        refused,
        failed,
        otherwise: requests.saturating_sub(served + refused + failed),
        recovered: oracle::recovered_share(entries, scenario),
        attempts: count(&|e| matches!(e, Event::AttemptBegan { .. })),
        max_lag_ms,
        seconds: duration.as_secs_f64(),
        troubles: scenario.troubles.iter().map(describe).collect(),
        replay,
    }
}
