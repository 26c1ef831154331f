//! What has ended how since the last report, and the line in the log that tells it.

use caperwind::{CounterResult, Diagnostics, Outcome, RefusalCounts};

/// Sweeps from one report in the log to the next.
const SWEEPS_PER_REPORT: u32 = 5;

/// Counts since the last report.
#[derive(Default)]
pub(super) struct ReportCounts {
    sweeps: u32,
    /// Attempts, by the place of their outcome in `Outcome`.
    attempts: [u32; 8],
    /// Calls to the counter: totals in time, turned away, unanswered, overdue, and overdue ones that came.
    counter_calls: [u32; 5],
    /// Refusals as the module had counted them by then.
    reported_refusals: RefusalCounts,
}

impl ReportCounts {
    /// An attempt has ended.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        self.attempts[outcome as usize] += 1;
    }

    /// A call to the counter has its result.
    pub fn count_call(&mut self, result: CounterResult) {
        let place = match result {
            CounterResult::Total(_) => 0,
            CounterResult::NotAdded => 1,
            CounterResult::Unanswered => 2,
            CounterResult::Overdue => 3,
        };
        self.counter_calls[place] += 1;
    }

    /// A call that was overdue has its result.
    pub fn count_overdue_call(&mut self, result: CounterResult) {
        self.counter_calls[4] += u32::from(matches!(result, CounterResult::Total(_)));
    }

    /// One line that tells why requests were refused of late and how attempts and calls ended; `None` between the
    /// reports, and where there is nothing to tell.
    pub fn report_line(&mut self, vitals: &Diagnostics, open: usize) -> Option<String> {
        self.sweeps += 1;
        if self.sweeps < SWEEPS_PER_REPORT {
            return None;
        }
        let ReportCounts { attempts, counter_calls: calls, reported_refusals: before, .. } =
            std::mem::replace(
                self,
                ReportCounts { reported_refusals: vitals.refusals, ..ReportCounts::default() },
            );
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
            vitals.refusals.over_quota - before.over_quota,
            vitals.refusals.no_fresh_total - before.no_fresh_total,
            vitals.refusals.overloaded - before.overloaded,
            vitals.refusals.no_backend - before.no_backend,
            vitals.expected_latency_us / 1e3,
            vitals.idle_latency_us / 1e3,
            vitals.in_flight,
            vitals.stalled,
            vitals.listed_backends,
            vitals.ejected_backends,
            vitals.call_pace,
            vitals.max_calls,
            vitals.customers,
            vitals.counter_keys,
        ))
    }
}
