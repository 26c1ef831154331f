//! Which requests may be sent again, until when, and which may be refused.

use crate::api::*;
use crate::state::*;

impl Gateway {
    /// Whether a backend may have begun to work on it.
    pub(crate) fn may_have_run(a: &Attempt) -> bool {
        !matches!(a.outcome, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent))
    }

    /// Rules 2 and 3: whether an attempt of this request may go to this backend now.
    pub(crate) fn may_send(&self, id: RequestId, b: &Backend) -> bool {
        let r = &self.requests[&id];
        let most = self.cfg.max_attempts as usize;
        let spent = r.body_consumed || r.attempts.len() >= most || self.now >= r.deadline;
        let out = r.attempts.iter().any(|a| a.outcome.is_none());
        if r.done || r.streaming || spent || (out && !self.cfg.hedging) {
            return false;
        }
        let Some(ran) = r.attempts.iter().find(|a| Self::may_have_run(a)) else { return true };
        match self.cfg.classes[r.class].effect {
            Effect::Pure => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                let there = self.backends.get(&ran.backend).map(|x| x.row);
                let same = match group {
                    KeyGroup::All => true,
                    KeyGroup::Zone => there.is_some_and(|t| t.zone == b.row.zone),
                    KeyGroup::Cell => there.is_some_and(|t| t.cell == b.row.cell),
                };
                same && self.since(ran.sent_at) + 2.0 * (self.cfg.tick as f64) < window as f64
            }
        }
    }

    /// Until when an attempt of a keyed request that may have run can be followed by another. Danger: decided
    /// on in time, it may still wait for its connection to come up.
    pub(crate) fn repeat_window_end(&self, id: RequestId) -> Option<Micros> {
        let r = &self.requests[&id];
        let Effect::Keyed { window, .. } = self.cfg.classes[r.class].effect else { return None };
        let ran = r.attempts.iter().find(|a| Self::may_have_run(a))?;
        Some(ran.sent_at.saturating_add(window))
    }

    /// Rule 2: whether a refusal would be true.
    pub(crate) fn may_refuse(&self, id: RequestId) -> bool {
        let r = &self.requests[&id];
        match self.cfg.classes[r.class].effect {
            Effect::Pure | Effect::Keyed { group: KeyGroup::All, .. } => true,
            _ => !r.attempts.iter().any(Self::may_have_run),
        }
    }

    /// Why the next attempt of a request is sent.
    pub(crate) fn send_reason(&self, id: RequestId) -> SendReason {
        match self.requests[&id].attempts.last() {
            None => SendReason::First,
            Some(last) => last.outcome.map_or(SendReason::Hedge, SendReason::Retry),
        }
    }
}
