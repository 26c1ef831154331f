//! The limits that protect cold backends: how much this gateway may send to each, and when. Times are `f64`
//! microseconds unless they are [`Micros`].

use crate::backend_choice::SUBSET_SIZE;
use crate::logic::{HOUSEKEEPING_INTERVAL, RETENTION_TIME, SECOND};
use crate::state::*;

/// The fraction that a gateway uses of its share of the load under which a cold backend collapses.
const SLOW_START_FRACTION: f64 = 0.55;

impl Gateway {
    /// Returns whether a backend's slow start allows another attempt now. A cold backend collapses when it is
    /// sent more than `collapse_multiple` times its present capacity throughout `collapse_after`. So the
    /// sends to it are limited to this gateway's share of that load. The full capacity is not told; what each
    /// warm backend serves of this gateway's requests is at most that.
    pub(crate) fn slow_start_allows(&self, backend: &Backend, usable: f64) -> bool {
        if self.capacity(backend) >= 1.0 {
            return true;
        }
        let budget = self.slow_start_budget(backend, usable);
        // With less than one attempt per `collapse_after`, the gateways take turns.
        if budget < 1.0 {
            return backend.turn_progress >= 1.0 && backend.in_flight == 0;
        }
        let budget = self.round_by_hash(budget, self.cfg.collapse_after as f64, backend.row.key());
        self.recent_count(&backend.recent_sends).max(backend.in_flight as f64) < budget
    }

    /// Returns the number of attempts that this gateway may send to a cold backend within `collapse_after`; 0
    /// if the backend is not in its subset. `usable` is the number of usable backends.
    fn slow_start_budget(&self, backend: &Backend, usable: f64) -> f64 {
        let (period, subset_fraction) = (self.cfg.collapse_after as f64, (SUBSET_SIZE / usable).min(1.0));
        let throughput = self.warm_throughput.max(self.completion_rate / usable * period / SECOND);
        let in_subset = f64::from(u8::from(self.hash_fraction(backend.row.key()) < subset_fraction));
        SLOW_START_FRACTION * self.cfg.collapse_multiple * self.capacity(backend) * throughput * in_subset
            / subset_fraction
    }

    /// Brings this gateway's turns at cold backends nearer by the time `elapsed`, in microseconds. If the
    /// turns were drawn anew in each period, they would often fall to gateways that have no request then or
    /// choose another backend. Cold backends would stay idle while the warm ones are overloaded.
    pub(crate) fn advance_slow_start_turns(&mut self, elapsed: f64) {
        let usable = self.usable_count();
        let is_cold = |b: &Backend| self.is_usable(b) && self.capacity(b) < 1.0;
        // Turns only advance while a backend is cold and in use. Otherwise they would be due at all gateways
        // at the moment when it comes back cold.
        let turn = |b: &Backend| {
            let budget = is_cold(b).then(|| self.slow_start_budget(b, usable)).filter(|n| *n < 1.0);
            let advanced =
                budget.map(|n| (b.turn_progress + n * elapsed / self.cfg.collapse_after as f64).min(1.0));
            advanced.unwrap_or_else(|| self.initial_turn(&b.row))
        };
        let turns: Vec<_> = self.backends.values().map(turn).collect();
        self.backends.values_mut().zip(turns).for_each(|(b, turn)| b.turn_progress = turn);
    }

    /// Updates the estimate of what a backend at its full capacity serves, from what warm backends serve.
    ///
    /// A mean that included cold backends would fall with the load that they are kept from. They would stay
    /// idle while the warm ones are overloaded and clients are refused. Sends are no measure either, as an
    /// overload increases them: a few warm backends were sent 2.5 times what they bear, and much of it was
    /// rejected and sent again. A budget based on that would have made cold backends collapse.
    pub(crate) fn update_warm_throughput(&mut self) {
        let usable: Vec<_> = self.backends.values().filter(|b| self.is_usable(b)).collect();
        let warm: Vec<_> = usable.iter().filter(|b| self.capacity(b) >= 1.0).collect();
        if warm.len() * 3 >= usable.len().max(1) {
            // The estimate falls slowly, as backends also serve less when they are sent less.
            let served = warm.iter().map(|b| self.recent_count(&b.recent_completions)).sum::<f64>();
            // Few completions peak by chance, so one standard deviation is subtracted.
            let throughput = (served - served.sqrt()) / warm.len() as f64;
            self.warm_throughput =
                throughput.max(self.warm_throughput * (1.0 - HOUSEKEEPING_INTERVAL as f64 / RETENTION_TIME));
        }
    }
}
