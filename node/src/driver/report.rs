//! Counts of attempts and counter calls by result, and the periodic report line in the log.

use caperwind::{CounterResult, Diagnostics, Outcome, RefusalCounts};

/// The number of sweeps (of one second) from one log report to the next.
const SWEEPS_PER_REPORT: u32 = 5;

/// The counts since the last report.
#[derive(Default)]
pub(super) struct ReportCounts {
    sweeps: u32,
    /// Attempts that ended, indexed by the discriminant of their `Outcome`.
    attempts: [u32; 8],
    /// Calls to the counter: totals received in time, not added, unanswered, overdue, and totals received late.
    counter_calls: [u32; 5],
    /// The decision module's refusal counts at the last report.
    reported_refusals: RefusalCounts,
}

impl ReportCounts {
    /// Counts an attempt that has ended.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        self.attempts[outcome as usize] += 1;
    }

    /// Counts a call to the counter that has ended or is overdue.
    pub fn count_call(&mut self, result: CounterResult) {
        let index = match result {
            CounterResult::Total(_) => 0,
            CounterResult::NotAdded => 1,
            CounterResult::Unanswered => 2,
            CounterResult::Overdue => 3,
        };
        self.counter_calls[index] += 1;
    }

    /// Counts an overdue call to the counter that has returned a total after all.
    pub fn count_overdue_call(&mut self, result: CounterResult) {
        self.counter_calls[4] += u32::from(matches!(result, CounterResult::Total(_)));
    }

    /// Returns the report line with the counts since the last report; `None` if no report is due or nothing has
    /// changed. To be called at every sweep. `open` is the number of open requests.
    pub fn report_line(&mut self, diagnostics: &Diagnostics, open: usize) -> Option<String> {
        self.sweeps += 1;
        if self.sweeps < SWEEPS_PER_REPORT {
            return None;
        }
        let ReportCounts { attempts, counter_calls, reported_refusals, .. } = std::mem::replace(
            self,
            ReportCounts { reported_refusals: diagnostics.refusals, ..ReportCounts::default() },
        );
        if attempts == [0; 8] && counter_calls == [0; 5] && reported_refusals == diagnostics.refusals {
            return None;
        }
        let [ok, error, full, timeout, connect, reset, cancelled, moot] = attempts;
        let [total, away, unanswered, overdue, late] = counter_calls;
        Some(format!(
            "refused: over {} blind {} pressed {} nowhere {}; expected {:.0} ms idle {:.0} ms; out {} lost {} open {open}; \
             backends {} ejected {}; attempts: ok {ok} error {error} full {full} timeout {timeout} \
             connect {connect} reset {reset} cancelled {cancelled} moot {moot}; counter: ok {total} away {away} \
             unanswered {unanswered} overdue {overdue} late {late} pace {:.2} window {:.0}; held: customers {} names {}",
            diagnostics.refusals.over_quota - reported_refusals.over_quota,
            diagnostics.refusals.no_fresh_total - reported_refusals.no_fresh_total,
            diagnostics.refusals.overloaded - reported_refusals.overloaded,
            diagnostics.refusals.no_backend - reported_refusals.no_backend,
            diagnostics.expected_latency_us / 1e3,
            diagnostics.idle_latency_us / 1e3,
            diagnostics.in_flight,
            diagnostics.stalled,
            diagnostics.listed_backends,
            diagnostics.ejected_backends,
            diagnostics.call_pace,
            diagnostics.max_calls,
            diagnostics.customers,
            diagnostics.counter_keys,
        ))
    }
}
