//! Many runs, some at a time.

use crate::run::{self, Kept, Report};
use crate::scenario::Scenario;
use anyhow::ensure;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// Plays runs, some at a time, and tells each as it ends.
pub async fn play_all(
    scenarios: Vec<(Scenario, String)>,
    kept: &Kept,
    jobs: usize,
    mut tell: impl FnMut(&Scenario, &Report),
) -> anyhow::Result<Vec<Report>> {
    let count = scenarios.len();
    let line = Arc::new(Mutex::new(scenarios.into_iter()));
    let (done, mut ended) = mpsc::unbounded_channel();
    for slot in 0..jobs.min(count) {
        let (line, done, kept) = (line.clone(), done.clone(), kept.clone());
        tokio::spawn(async move {
            loop {
                let next = line.lock().ok().and_then(|mut line| line.next());
                let Some((scenario, replay)) = next else { return };
                let report = run::play(scenario.clone(), &kept, slot, replay).await;
                if done.send((scenario, report)).is_err() {
                    return;
                }
            }
        });
    }
    drop(done);
    let mut reports = Vec::new();
    while let Some((scenario, report)) = ended.recv().await {
        let report = report?;
        tell(&scenario, &report);
        reports.push(report);
    }
    ensure!(reports.len() == count, "{} of {count} runs were not played", count - reports.len());
    Ok(reports)
}
