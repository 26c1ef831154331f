//! Timers: attempts' own time-outs, clients' deadlines, the module's timers, upkeep.

use super::{Driver, Reply};
use caperwind::{Event, Micros, Outcome, RequestId, TimerToken};

/// Upkeep of the pools.
pub(super) const SWEEP_INTERVAL: Micros = 1_000_000;
/// An answer that the module still owes this long after a deadline is given without it.
const WATCHDOG_DELAY: Micros = 2_000;

/// What a timer is for; those due at once go in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// An attempt's own time-out.
    AttemptTimeout(RequestId, u8),
    /// The client's deadline: what is out ends here, as on the module's other wire.
    Deadline(RequestId),
    Module(TimerToken),
    Watchdog(RequestId),
    Sweep,
}

impl Driver {
    /// Fires timers as they come due, for as long as the program runs.
    pub async fn run_timers(&self) {
        loop {
            let next = self.fire_due_timers();
            let sleep = tokio::time::sleep_until(self.0.clock.instant(next));
            tokio::select! {
                () = sleep => {}
                () = self.0.wake.notified() => {}
            }
        }
    }

    /// Fires what is due; returns when the next is.
    fn fire_due_timers(&self) -> Micros {
        let mut core = self.0.state.borrow_mut();
        loop {
            let now = self.0.clock.now();
            match core.timers.first() {
                Some((at, _)) if *at <= now => {}
                Some((at, _)) => return *at,
                None => return now + SWEEP_INTERVAL,
            }
            let Some((_, due)) = core.timers.pop_first() else { continue };
            match due {
                TimerKind::AttemptTimeout(id, attempt) => {
                    self.end_attempt(&mut core, now, id, attempt, Outcome::Timeout.into());
                }
                TimerKind::Deadline(id) => {
                    if core.requests.contains_key(&id) {
                        core.timers.insert((now + WATCHDOG_DELAY, TimerKind::Watchdog(id)));
                        self.end_all_attempts(&mut core, now, id, Outcome::Timeout);
                    }
                }
                TimerKind::Module(token) => core.events.push_back(Event::Timer { token }),
                TimerKind::Watchdog(id) => {
                    // An attempt may have run, so this is no refusal.
                    if let Some(to) = core.requests.get_mut(&id).and_then(|r| r.reply.take()) {
                        drop(to.send(Reply::Failed));
                        core.events.push_back(Event::ClientGone { id });
                    }
                    self.abandon_request(&mut core, now, id);
                }
                TimerKind::Sweep => {
                    self.0.pool.sweep();
                    self.0.counter.sweep();
                    core.backends.expire_gone(now);
                    let (vitals, open) = (core.gateway.diagnostics(), core.requests.len());
                    if let Some(line) = core.report_counts.report_line(&vitals, open) {
                        log::info!("{line}");
                    }
                    core.timers.insert((now + SWEEP_INTERVAL, TimerKind::Sweep));
                }
            }
            self.run(&mut core, now);
        }
    }
}
