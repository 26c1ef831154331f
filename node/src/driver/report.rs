//! What has ended how since the last report, and the line in the log that tells it.

use caperwind::{Outcome, Reckoned, Refusals, Vitals};

/// Sweeps from one report in the log to the next.
const SWEEPS: u32 = 5;

/// Counts since the last report.
#[derive(Default)]
pub(super) struct Tally {
    sweeps: u32,
    /// Attempts, by the place of their outcome in `Outcome`.
    attempts: [u32; 8],
    /// Calls to the counter: totals in time, turned away, unanswered, overdue, and overdue ones that came.
    calls: [u32; 5],
    /// Refusals as the module had counted them by then.
    before: Refusals,
}

impl Tally {
    /// An attempt has ended.
    pub fn attempt(&mut self, outcome: Outcome) {
        self.attempts[outcome as usize] += 1;
    }

    /// A call to the counter has its result.
    pub fn call(&mut self, result: Reckoned) {
        let place = match result {
            Reckoned::Total(_) => 0,
            Reckoned::NotAdded => 1,
            Reckoned::Unanswered => 2,
            Reckoned::Overdue => 3,
        };
        self.calls[place] += 1;
    }

    /// A call that was overdue has its result.
    pub fn late_call(&mut self, result: Reckoned) {
        self.calls[4] += u32::from(matches!(result, Reckoned::Total(_)));
    }

    /// One line that tells why requests were refused of late and how attempts and calls ended; `None` between the
    /// reports, and where there is nothing to tell.
    pub fn sweep(&mut self, vitals: &Vitals, open: usize) -> Option<String> {
        self.sweeps += 1;
        if self.sweeps < SWEEPS {
            return None;
        }
        let Tally { attempts, calls, before, .. } =
            std::mem::replace(self, Tally { before: vitals.refusals, ..Tally::default() });
        if attempts == [0; 8] && calls == [0; 5] && before == vitals.refusals {
            return None;
        }
        let [ok, error, full, timeout, connect, reset, cancelled, moot] = attempts;
        let [total, away, unanswered, overdue, late] = calls;
        Some(format!(
            "refused: over {} blind {} pressed {} nowhere {}; expected {:.0} ms idle {:.0} ms; out {} lost {} open {open}; \
             backends {} ejected {}; attempts: ok {ok} error {error} full {full} timeout {timeout} \
             connect {connect} reset {reset} cancelled {cancelled} moot {moot}; counter: ok {total} away {away} \
             unanswered {unanswered} overdue {overdue} late {late} pace {:.2} window {:.0}; held: customers {} names {}",
            vitals.refusals.over - before.over,
            vitals.refusals.blind - before.blind,
            vitals.refusals.pressed - before.pressed,
            vitals.refusals.nowhere - before.nowhere,
            vitals.expected / 1e3,
            vitals.idle / 1e3,
            vitals.out,
            vitals.lost,
            vitals.listed,
            vitals.ejected,
            vitals.pace,
            vitals.calls_most,
            vitals.customers,
            vitals.names,
        ))
    }
}
