//! The rules for repeats: which requests may be sent again, until when, and which may be refused.

use crate::api::*;
use crate::settings::*;
use crate::state::*;

impl Gateway {
    /// Returns whether a backend may have begun to work on an attempt.
    pub(crate) fn may_have_run(attempt: &Attempt) -> bool {
        !matches!(attempt.outcome, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent))
    }

    /// Returns whether an attempt of a request may be sent to a backend now. It may not after
    /// the final answer, the beginning of a stream or the deadline, nor beyond the limits on attempts. A
    /// request that may have run may be sent again only if it is pure, or if it is keyed and the backend is
    /// in the group, and the time in the window, in which backends discard its repeats.
    pub(crate) fn may_send(&self, id: RequestId, backend: &Backend) -> bool {
        let request = &self.requests[&id];
        let max_attempts = self.cfg.max_attempts as usize;
        let exhausted =
            request.body_consumed || request.attempts.len() >= max_attempts || self.now >= request.deadline;
        let in_flight = request.attempts.iter().any(|a| a.outcome.is_none());
        if request.done || request.streaming || exhausted || (in_flight && !self.cfg.hedging) {
            return false;
        }
        let Some(first_run) = request.attempts.iter().find(|a| Self::may_have_run(a)) else { return true };
        match self.cfg.classes[request.class].effect {
            Effect::Pure => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                let first_row = self.backends.get(&first_run.backend).map(|b| b.row);
                let same_group = match group {
                    KeyGroup::All => true,
                    KeyGroup::Zone => first_row.is_some_and(|r| r.zone == backend.row.zone),
                    KeyGroup::Cell => first_row.is_some_and(|r| r.cell == backend.row.cell),
                };
                same_group && self.since(first_run.sent_at) + 2.0 * (self.cfg.tick as f64) < window as f64
            }
        }
    }

    /// Returns the time before which the next attempt of a keyed request has to begin, if an earlier one may
    /// have run. An attempt that is decided on in time may still wait for its connection, and begin too late. The
    /// first attempt may wait so long that a hedged one, decided on later, begins before it.
    pub(crate) fn repeat_window_end(&self, id: RequestId) -> Option<Micros> {
        let request = &self.requests[&id];
        let Effect::Keyed { window, .. } = self.cfg.classes[request.class].effect else { return None };
        let first_run = request.attempts.iter().find(|a| Self::may_have_run(a)).map(|a| a.sent_at);
        let may_be_hedged = self.cfg.hedging && request.attempts.is_empty();
        Some(first_run.or(may_be_hedged.then_some(self.now))?.saturating_add(window))
    }

    /// Returns whether a request may be answered as refused, which promises that trying again is harmless: it
    /// did not run, or may run again.
    pub(crate) fn may_refuse(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        match self.cfg.classes[request.class].effect {
            Effect::Pure | Effect::Keyed { group: KeyGroup::All, .. } => true,
            _ => !request.attempts.iter().any(Self::may_have_run),
        }
    }

    /// Returns why the next attempt of a request is sent.
    pub(crate) fn send_reason(&self, id: RequestId) -> SendReason {
        match self.requests[&id].attempts.last() {
            None => SendReason::First,
            Some(last) => last.outcome.map_or(SendReason::Hedge, SendReason::Retry),
        }
    }
}
