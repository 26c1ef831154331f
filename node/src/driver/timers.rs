//! The driver's timers: attempt timeouts, client deadlines, timers of the decision module and periodic housekeeping.

use super::{Driver, Reply};
use caperwind::{Event, Micros, Outcome, RequestId, TimerToken};

/// The interval of the housekeeping, in microseconds.
pub(super) const SWEEP_INTERVAL: Micros = 1_000_000;
/// How long after a deadline, in microseconds, a request fails if the decision module has not given its final result.
const WATCHDOG_DELAY: Micros = 2_000;

/// The purpose of a timer. Timers due at the same time fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The timeout of an attempt, given by its number.
    AttemptTimeout(RequestId, u8),
    /// The client's deadline. The driver ends the attempts in flight, as the simulator does.
    Deadline(RequestId),
    /// A timer that the decision module has set.
    Module(TimerToken),
    /// The check that a request past its deadline has its final result.
    Watchdog(RequestId),
    /// The periodic housekeeping and the log report.
    Sweep,
}

impl Driver {
    /// Fires timers as they become due. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let next_due = self.fire_due_timers();
            let sleep = tokio::time::sleep_until(self.0.clock.instant(next_due));
            tokio::select! {
                () = sleep => {}
                () = self.0.wake.notified() => {}
            }
        }
    }

    /// Fires all timers that are due. Returns when the next one is due.
    fn fire_due_timers(&self) -> Micros {
        let mut state = self.0.state.borrow_mut();
        loop {
            let now = self.0.clock.now();
            match state.timers.first() {
                Some((due, _)) if *due <= now => {}
                Some((due, _)) => return *due,
                None => return now + SWEEP_INTERVAL,
            }
            let Some((_, timer)) = state.timers.pop_first() else { continue };
            match timer {
                TimerKind::AttemptTimeout(id, attempt) => {
                    self.end_attempt(&mut state, now, id, attempt, Outcome::Timeout.into());
                }
                TimerKind::Deadline(id) => {
                    if state.requests.contains_key(&id) {
                        state.timers.insert((now + WATCHDOG_DELAY, TimerKind::Watchdog(id)));
                        self.end_all_attempts(&mut state, now, id, Outcome::Timeout);
                    }
                }
                TimerKind::Module(token) => state.events.push_back(Event::Timer { token }),
                TimerKind::Watchdog(id) => {
                    // A backend may have processed an attempt, so the request has failed rather than been refused.
                    if let Some(sender) = state.requests.get_mut(&id).and_then(|r| r.take_reply()) {
                        drop(sender.send(Reply::Failed));
                        state.events.push_back(Event::ClientGone { id });
                    }
                    self.abandon_request(&mut state, now, id);
                }
                TimerKind::Sweep => {
                    self.0.pool.sweep();
                    self.0.counter.sweep();
                    state.backends.expire_gone(now);
                    let (diagnostics, open_requests) = (state.gateway.diagnostics(), state.requests.len());
                    if let Some(line) = state.report_counts.report_line(&diagnostics, open_requests) {
                        log::info!("{line}");
                    }
                    state.timers.insert((now + SWEEP_INTERVAL, TimerKind::Sweep));
                }
            }
            self.run(&mut state, now);
        }
    }
}
