//! Executes many runs, a limited number of them at the same time.

use crate::run::{self, Report, RunPaths};
use crate::scenario::Scenario;
use anyhow::ensure;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// Executes the scenarios, each with its replay command, at most `jobs` at a time.
///
/// Calls `report_run` for each run as it ends and returns the reports in that order. Fails with the first error of a
/// run, and if a run was not executed to its end because its task panicked.
pub async fn run_all(
    scenarios: Vec<(Scenario, String)>,
    paths: &RunPaths,
    jobs: usize,
    mut report_run: impl FnMut(&Scenario, &Report),
) -> anyhow::Result<Vec<Report>> {
    let count = scenarios.len();
    let queue = Arc::new(Mutex::new(scenarios.into_iter()));
    let (sender, mut finished) = mpsc::unbounded_channel();
    for slot in 0..jobs.min(count) {
        let (queue, sender, paths) = (queue.clone(), sender.clone(), paths.clone());
        tokio::spawn(async move {
            loop {
                let next = queue.lock().ok().and_then(|mut queue| queue.next());
                let Some((scenario, replay)) = next else { return };
                let report = run::execute(scenario.clone(), &paths, slot, replay).await;
                if sender.send((scenario, report)).is_err() {
                    return;
                }
            }
        });
    }
    drop(sender);
    let mut reports = Vec::new();
    while let Some((scenario, report)) = finished.recv().await {
        let report = report?;
        report_run(&scenario, &report);
        reports.push(report);
    }
    ensure!(reports.len() == count, "{} of {count} runs were not executed", count - reports.len());
    Ok(reports)
}
