//! One run from its set-up to its verdict.

use crate::client::Admission;
use crate::director;
use crate::oracle::{self, Break};
use crate::process::Places;
use crate::scenario::{Scenario, MEASURE, QUIET, RECOVERY};
use crate::trace::{ClientOutcome, Entry, Event};
use crate::world::World;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// A run ends by itself within this, whatever happens in it.
pub const LONGEST_RUN: Duration = Duration::from_secs(75);
/// How long clients go on waiting at the end.
const LAST_ANSWERS: Duration = Duration::from_secs(6);
/// A gateway is known to idle out connections after so long.
const REST: Duration = Duration::from_millis(4_950);
/// The soak's own delays are measured this often.
const LAG_INTERVAL: Duration = Duration::from_millis(10);

/// What became of a run, as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// `held`, `broken`, or `unfinished`.
    pub verdict: &'static str,
    /// The invariants that broke.
    pub broken: Vec<Break>,
    /// Number of gateways.
    pub gateways: usize,
    /// Requests sent; answered with 200, refused, failed, ended otherwise.
    pub requests: usize,
    /// See `requests`.
    pub served: usize,
    /// See `requests`.
    pub refused: usize,
    /// See `requests`.
    pub failed: usize,
    /// See `requests`.
    pub otherwise: usize,
    /// The part of the requests inside their quotas that was served in the time in which all is to be well again.
    pub recovered: Option<f64>,
    /// Attempts at backends.
    pub attempts: usize,
    /// The longest delay of the soak's own timers: where it is long, the machine was too busy to judge by time.
    pub max_lag_ms: u64,
    /// How long it took.
    pub seconds: f64,
    /// The troubles, with gateway, backend, beginning and length in milliseconds.
    pub troubles: Vec<String>,
    /// The command that plays it again.
    pub replay: String,
}

/// Where things are found and kept.
#[derive(Clone)]
pub struct Kept {
    /// The gateway's program.
    pub program: PathBuf,
    /// The library to preload.
    pub shim: PathBuf,
    /// Folder for logs of runs that broke; nothing is kept without one.
    pub logs: Option<PathBuf>,
}

/// Plays a run. `slot` tells it apart from others that go on in this process.
pub async fn play(scenario: Scenario, kept: &Kept, slot: usize, replay: String) -> anyhow::Result<Report> {
    let began = Instant::now();
    let folder = std::env::temp_dir().join(format!("soak-{}-{slot}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let places = Places { program: kept.program.clone(), shim: kept.shim.clone(), folder: folder.clone() };
    let world = Arc::new(World::set_up(scenario, places, slot).await?);
    let lag = Arc::new(LagMeter::default());
    tokio::spawn(lag.clone().measure());
    let finished = timeout(LONGEST_RUN, perform(&world)).await.is_ok();
    lag.stop.store(true, Ordering::Relaxed);
    let entries = world.trace.entries();
    let broken = oracle::find_breaks(&entries, &world.scenario);
    for process in world.gateways.iter().flat_map(|gateway| gateway.running()) {
        process.kill();
        process.exit_within(Duration::from_secs(2)).await;
    }
    let verdict = match (finished, broken.is_empty()) {
        (false, _) => "unfinished",
        (_, true) => "held",
        (_, false) => "broken",
    };
    if let Some(logs) = kept.logs.as_deref().filter(|_| verdict != "held") {
        keep_logs(&world, &entries, logs)?;
    }
    let _ = std::fs::remove_dir_all(&folder);
    Ok(report(&world.scenario, &entries, broken, verdict, lag.max_ms(), began.elapsed(), replay))
}

async fn perform(world: &Arc<World>) {
    let starts = world.gateways.iter().map(|gateway| {
        let world = world.clone();
        let index = gateway.index;
        tokio::spawn(async move { world.gateways[index].come_back(&world, |_| {}).await })
    });
    for start in starts.collect::<Vec<_>>() {
        if let Ok(Err(e)) = start.await {
            eprintln!("start: {e:#}");
        }
    }
    let seed = world.scenario.seed;
    let clients = [
        tokio::spawn(world.clients.clone().run(seed ^ 1)),
        tokio::spawn(world.clients.clone().bad_peers(seed ^ 2)),
        tokio::spawn(world.clients.clone().resters(REST, seed ^ 3)),
    ];
    let troubles: Vec<_> = world.scenario.troubles.iter().cloned().enumerate().collect();
    let troubles: Vec<_> =
        troubles.into_iter().map(|(n, t)| tokio::spawn(director::play(world.clone(), n, t))).collect();
    sleep(world.scenario.troubles_end()).await;
    for trouble in troubles {
        let _ = trouble.await;
    }
    world.clients.proper_only.store(true, Ordering::Relaxed);
    sleep(RECOVERY).await;
    world.trace.record(Event::MeasureBegan);
    sleep(MEASURE).await;
    world.trace.record(Event::MeasureEnded);
    world.clients.stopped.store(true, Ordering::Relaxed);
    for task in clients {
        let _ = task.await;
    }
    let last = Instant::now() + LAST_ANSWERS;
    while world.clients.out() > 0 && Instant::now() < last {
        sleep(Duration::from_millis(20)).await;
    }
    for gateway in &world.gateways {
        world.clients.admit(gateway.index, Admission::Closed);
        world.clients.drop_connections(gateway.index);
    }
    sleep(QUIET).await;
    for gateway in &world.gateways {
        match gateway.current() {
            Some(process) => process.record_figures().await,
            None => world.trace.record(Event::FinalMetricsMissing { gateway: gateway.index }),
        }
    }
}

#[derive(Default)]
struct LagMeter {
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

fn keep_logs(world: &World, entries: &[Entry], logs: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(logs)?;
    let seed = world.scenario.seed;
    let mut lines: Vec<String> = world.gateways.iter().flat_map(|gateway| gateway.logs()).collect();
    lines.sort_by(|a, b| time_of(a).total_cmp(&time_of(b)));
    std::fs::write(logs.join(format!("{seed}.log")), lines.join("\n"))?;
    let seen: Vec<String> =
        entries.iter().map(|e| format!("{:.3} {:?}", e.at.as_secs_f64(), e.event)).collect();
    std::fs::write(logs.join(format!("{seed}.trace")), seen.join("\n"))?;
    Ok(())
}

fn time_of(line: &str) -> f64 {
    line.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0.0)
}

fn report(
    scenario: &Scenario,
    entries: &[Entry],
    broken: Vec<Break>,
    verdict: &'static str,
    max_lag_ms: u64,
    lasted: Duration,
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
        let (begins, lasts) = (t.begins.as_millis(), t.lasts.as_millis());
        format!("{} g{} b{}{wide} {begins}+{lasts}", t.kind.name(), t.gateway, t.backend)
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
        seconds: lasted.as_secs_f64(),
        troubles: scenario.troubles.iter().map(describe).collect(),
        replay,
    }
}
