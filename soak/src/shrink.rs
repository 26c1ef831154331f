//! Reduces a broken run to the troubles that are needed to break it.

use crate::batch::run_all;
use crate::run::{Report, RunPaths};
use crate::scenario::Scenario;
use crate::world::MAX_SLOTS;
use std::collections::BTreeSet;

/// How often a subset of the troubles is run before it counts as held: a run that breaks by a narrow margin does not
/// break each time.
const RUNS_PER_SUBSET: usize = 2;

fn broken_invariants(report: &Report) -> BTreeSet<crate::oracle::Invariant> {
    report.broken.iter().map(|b| b.invariant).collect()
}

/// Removes troubles one at a time while any invariant that broke in the first runs still breaks, and prints the command
/// for the smallest subset found. `replay` returns the command that repeats the run with the troubles at these indices.
///
/// Returns true if no invariant broke in the first runs. Fails if a run cannot be executed.
pub async fn shrink(
    drawn: &Scenario,
    paths: &RunPaths,
    replay: impl Fn(&[usize]) -> String,
) -> anyhow::Result<bool> {
    let mut indices: Vec<usize> = (0..drawn.troubles.len()).collect();
    let first = run_subsets(drawn, std::slice::from_ref(&indices), paths, &replay).await?;
    let first_broken: BTreeSet<_> = first.iter().flat_map(broken_invariants).collect();
    if first_broken.is_empty() {
        println!("seed {} held in {RUNS_PER_SUBSET} runs", drawn.seed);
        return Ok(true);
    }
    loop {
        let subsets: Vec<Vec<usize>> = indices
            .iter()
            .map(|removed| indices.iter().copied().filter(|index| index != removed).collect())
            .collect();
        let reports = run_subsets(drawn, &subsets, paths, &replay).await?;
        let still_breaks = |subset: &&Vec<usize>| {
            let command = replay(subset);
            let runs = reports.iter().filter(|report| report.replay == command);
            runs.flat_map(broken_invariants).any(|invariant| first_broken.contains(&invariant))
        };
        match subsets.iter().find(still_breaks) {
            Some(subset) if !subset.is_empty() => indices = subset.clone(),
            _ => break,
        }
    }
    println!("still broken with: {}", replay(&indices));
    Ok(false)
}

/// Runs each subset of the troubles `RUNS_PER_SUBSET` times.
async fn run_subsets(
    drawn: &Scenario,
    subsets: &[Vec<usize>],
    paths: &RunPaths,
    replay: &impl Fn(&[usize]) -> String,
) -> anyhow::Result<Vec<Report>> {
    let runs = subsets.iter().flat_map(|subset| std::iter::repeat_n(subset, RUNS_PER_SUBSET));
    let scenarios = runs.map(|subset| (drawn.with_troubles(subset), replay(subset))).collect();
    let print_report = |_: &Scenario, report: &Report| {
        let broken: Vec<_> = report.broken.iter().map(|b| format!("{:?}", b.invariant)).collect();
        println!("{} {}: {}", report.verdict, report.replay, broken.join(" "));
    };
    run_all(scenarios, paths, MAX_SLOTS - 1, print_report).await
}
