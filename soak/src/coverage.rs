//! Counts which kinds of trouble have overlapped in the runs so far.

use crate::scenario::Scenario;
use crate::trouble::TroubleKind;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Troubles count as overlapping when the gap between them is shorter than this.
const OVERLAP_SLACK: Duration = Duration::from_millis(300);

/// How often each pair of kinds of trouble overlapped, and how often that was in a run that did not hold.
#[derive(Default)]
pub struct Coverage {
    /// Overlaps of each pair, the lesser kind first: all of them, and those in runs that did not hold.
    pairs: BTreeMap<(TroubleKind, TroubleKind), (u32, u32)>,
}

impl Coverage {
    /// Adds the overlaps of one run; `broke` tells whether it did not hold: an invariant broke, or it was
    /// unfinished.
    pub fn record(&mut self, scenario: &Scenario, broke: bool) {
        let troubles = &scenario.troubles;
        for (index, one) in troubles.iter().enumerate() {
            for other in troubles[..index].iter().filter(|other| other.overlaps(one, OVERLAP_SLACK)) {
                let pair = (one.kind.min(other.kind), one.kind.max(other.kind));
                let count = self.pairs.entry(pair).or_default();
                count.0 += 1;
                count.1 += u32::from(broke);
            }
        }
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| trouble | overlapped with (times, of these in broken runs) | never overlapped with |"
        )?;
        writeln!(f, "| --- | --- | --- |")?;
        for kind in TroubleKind::ALL {
            let (mut overlapped, mut never) = (Vec::new(), Vec::new());
            for other in TroubleKind::ALL {
                match self.pairs.get(&(kind.min(other), kind.max(other))) {
                    Some((times, 0)) => overlapped.push(format!("{} {times}", other.name())),
                    Some((times, broke)) => overlapped.push(format!("{} {times}, {broke}", other.name())),
                    None => never.push(other.name()),
                }
            }
            let never = if overlapped.is_empty() {
                "all: no overlap, or not drawn".to_owned()
            } else {
                never.join(" ")
            };
            writeln!(f, "| {} | {} | {never} |", kind.name(), overlapped.join("; "))?;
        }
        let possible = TroubleKind::ALL.len() * (TroubleKind::ALL.len() + 1) / 2;
        write!(f, "\n{} of {possible} pairs overlapped", self.pairs.len())
    }
}
