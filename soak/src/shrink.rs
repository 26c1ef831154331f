//! Cuts a broken run down to the troubles that it needs.

use crate::batch::play_all;
use crate::run::{Kept, Report};
use crate::scenario::Scenario;
use crate::world::MAX_SLOTS;
use std::collections::BTreeSet;

/// A run that broke by a narrow margin is played this often before it counts as held.
const PLAYS: usize = 2;

fn invariants(report: &Report) -> BTreeSet<crate::oracle::Invariant> {
    report.broken.iter().map(|b| b.invariant).collect()
}

/// Takes troubles out one at a time while any invariant that broke at first still breaks. `replay` names the command that
/// plays the run with these troubles alone. True where nothing broke.
pub async fn shrink(
    drawn: &Scenario,
    kept: &Kept,
    replay: impl Fn(&[usize]) -> String,
) -> anyhow::Result<bool> {
    let mut places: Vec<usize> = (0..drawn.troubles.len()).collect();
    let first = play_subsets(drawn, std::slice::from_ref(&places), kept, &replay).await?;
    let broke: BTreeSet<_> = first.iter().flat_map(invariants).collect();
    if broke.is_empty() {
        println!("seed {} held in {PLAYS} plays", drawn.seed);
        return Ok(true);
    }
    loop {
        let subsets: Vec<Vec<usize>> = places
            .iter()
            .map(|left_out| places.iter().copied().filter(|place| place != left_out).collect())
            .collect();
        let reports = play_subsets(drawn, &subsets, kept, &replay).await?;
        let still = |subset: &&Vec<usize>| {
            let command = replay(subset);
            let plays = reports.iter().filter(|report| report.replay == command);
            plays.flat_map(invariants).any(|invariant| broke.contains(&invariant))
        };
        match subsets.iter().find(still) {
            Some(subset) if !subset.is_empty() => places = subset.clone(),
            _ => break,
        }
    }
    println!("broken still with: {}", replay(&places));
    Ok(false)
}

async fn play_subsets(
    drawn: &Scenario,
    subsets: &[Vec<usize>],
    kept: &Kept,
    replay: &impl Fn(&[usize]) -> String,
) -> anyhow::Result<Vec<Report>> {
    let plays = subsets.iter().flat_map(|subset| std::iter::repeat_n(subset, PLAYS));
    let scenarios = plays.map(|subset| (drawn.with_troubles(subset), replay(subset))).collect();
    let tell = |_: &Scenario, report: &Report| {
        let broken: Vec<_> = report.broken.iter().map(|b| format!("{:?}", b.invariant)).collect();
        println!("{} {}: {}", report.verdict, report.replay, broken.join(" "));
    };
    play_all(scenarios, kept, MAX_SLOTS - 1, tell).await
}
