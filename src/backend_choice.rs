//! The choice of the backend of an attempt: which backends may be used, and which of them is loaded least.
//! Times are `f64` microseconds unless they are [`Micros`].

use crate::api::*;
use crate::logic::{DECAY_TIME, MEAN_GAIN};
use crate::settings::*;
use crate::state::*;

/// The age that load reports are assumed to have, in microseconds.
const LOAD_REPORT_AGE: f64 = 500_000.0;
/// How long a backend that seems to have restarted is taken for cold, in microseconds. By then the list of
/// backends tells whether it has.
const PRESUMED_COLD_TIME: f64 = 5e6;
/// By how many times a backend's load is raised in the choice of backend if all its connections break: for
/// requests that may be sent again and for those that may not.
const RESET_PENALTIES: [f64; 2] = [1.0, 8.0];
/// By how many times a backend's load is raised in the choice of backend if it has just answered `full`.
const FULL_PENALTY: f64 = 8.0;
/// The multiple of the mean of this gateway's requests per backend above which a backend gets no more.
const MAX_LOAD_IMBALANCE: f64 = 2.0;
/// The mean number of backends that one gateway uses, as long as one of them will do.
pub(crate) const SUBSET_SIZE: f64 = 16.0;
/// The factor on the load of a backend in another zone.
const REMOTE_ZONE_PENALTY: f64 = 1.03;
/// The largest random part added to a backend's score, as a fraction, so that gateways do not all choose the
/// same backend.
const SCORE_JITTER: f64 = 0.15;

impl Backend {
    /// Updates the smoothed number of this gateway's attempts to the present time. Must be called before
    /// `in_flight` changes.
    pub(crate) fn update_in_flight_mean(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.in_flight_mean_at) as f64;
        self.in_flight_mean +=
            (self.in_flight as f64 - self.in_flight_mean) * (1.0 - (-elapsed / LOAD_REPORT_AGE).exp());
        self.in_flight_mean_at = now;
    }
}

impl Gateway {
    /// Records what a load report says about the requests of the other gateways at a backend.
    pub(crate) fn record_load_report(&mut self, id: BackendId, load: LoadReport) {
        let (now, fields) = (self.now, &self.cfg.load_fields);
        let value = |field: LoadField| {
            let at = fields.iter().take(load.len as usize).position(|&x| x == field)?;
            Some(load.values[at] as f64).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let (served_rate, service_ms) = (value(LoadField::ServedPerSecond), value(LoadField::ServiceTimeMs));
        let in_service = served_rate.zip(service_ms).map_or(0.0, |(rate, ms)| rate * ms / 1e3);
        let reported = value(LoadField::Active).or(value(LoadField::Waiting).map(|q| q + in_service));
        if let (Some(reported), Some(backend)) = (reported, self.backends.get_mut(&id)) {
            // A report is older than this gateway's own count. If the present number of own attempts were
            // subtracted, a backend would look idle, so their number is smoothed over the age of the reports.
            backend.update_in_flight_mean(now);
            let others = (reported - backend.in_flight_mean).max(0.0);
            let (mean, at) = backend.reported_others.unwrap_or((others, now));
            let gain = 1.0 - (-(now.saturating_sub(at) as f64) / LOAD_REPORT_AGE).exp();
            backend.reported_others = Some((mean + (others - mean) * gain.max(MEAN_GAIN), now));
        }
    }

    /// Returns the fraction of its full capacity that a backend is assumed to have, up to 1. It grows
    /// linearly while the backend warms up.
    pub(crate) fn capacity(&self, backend: &Backend) -> f64 {
        // If a restart that is only presumed counted for the whole warm-up, a healthy backend would stay cold
        // for that long.
        let presumed = backend.presumed_started_at.filter(|at| self.since(*at) < PRESUMED_COLD_TIME);
        let Some(started_at) = backend.started_at.max(presumed) else { return 1.0 };
        let warm_up = self.cfg.warm_up.max(1) as f64;
        let cold = self.cfg.cold_capacity.clamp(0.0, 1.0);
        (cold + (1.0 - cold) * self.since(started_at) / warm_up).min(1.0)
    }

    /// Returns whether a backend may get new requests: listed as ready, healthy and not disabled.
    pub(crate) fn is_usable(&self, backend: &Backend) -> bool {
        let ready =
            backend.listed && backend.row.state == BackendState::Ready && backend.health == Health::Healthy;
        ready && !self.disabled_backends.contains_key(&backend.row.backend)
    }

    /// Returns the number of usable backends, at least 1.
    pub(crate) fn usable_count(&self) -> f64 {
        self.backends.values().filter(|b| self.is_usable(b)).count().max(1) as f64
    }

    /// Chooses the backend of a request's next attempt; `None` if it may not be sent to any.
    pub(crate) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let usable = self.usable_count();
        let known: Vec<f64> = self.backends.values().filter_map(|b| b.reported_others.map(|o| o.0)).collect();
        let mean_others = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // A backend that answers its first few requests fast would attract a queue before its latency shows
        // it.
        let max_active = MAX_LOAD_IMBALANCE * (self.active_attempts() / usable.min(SUBSET_SIZE)) + 1.0;
        let tried = |b: &Backend| self.requests[&id].attempts.iter().any(|a| a.backend == b.row.backend);
        let allowed = |b: &Backend| !tried(b) && self.may_send(id, b) && self.slow_start_allows(b, usable);
        let eligible = |b: &Backend| self.is_usable(b) && b.active_attempts() <= max_active && allowed(b);
        // This gateway's turn at a cold backend is used when it is due: the other gateways, which wait for
        // theirs, count on that.
        let due = |b: &&Backend| b.turn_progress >= 1.0 && self.capacity(b) < 1.0 && eligible(b);
        let due = self.backends.values().filter(due);
        let mut scored: Vec<_> = due.map(|b| (self.score(id, b, mean_others), b.row.backend)).collect();
        let mut subset_fraction = (SUBSET_SIZE / usable).min(1.0);
        // Hundreds of gateways that each used every backend would fill its connections, and none would learn
        // much about any backend. So each uses a subset of its own, widened while no backend in it will do.
        while scored.is_empty() && subset_fraction < 2.0 {
            let subset = self
                .backends
                .values()
                .filter(|b| self.hash_fraction(b.row.key()) < subset_fraction && eligible(b));
            scored.extend(subset.map(|b| (self.score(id, b, mean_others), b.row.backend)));
            subset_fraction *= 2.0;
        }
        scored.iter_mut().for_each(|s| s.0 *= 1.0 + SCORE_JITTER * self.random.next());
        scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|s| s.1)
    }

    /// Returns the load of a backend relative to its size and speed; the lowest score is the best. As a load
    /// report gets older, its value approaches the mean over all backends, `mean_others`. Without a report,
    /// the other gateways are assumed to choose as this one does. A live weight is the size divided by the
    /// load, so the load of others is not added.
    fn score(&self, id: RequestId, backend: &Backend, mean_others: f64) -> f64 {
        let unreported = (mean_others + backend.active_attempts() * (self.cfg.gateways as f64 - 1.0)) / 2.0;
        let others = match self.cfg.weights {
            WeightKind::Live => 0.0,
            _ => backend.reported_others.map_or(unreported, |(n, at)| {
                mean_others + (n - mean_others) * self.decay(at, LOAD_REPORT_AGE)
            }),
        };
        let slow = 1.0 + (backend.latency_ratio - 1.0) * self.decay(backend.latency_ratio_at, DECAY_TIME);
        let last_full_at = self.class_and_plan(id).iter().filter_map(|k| backend.last_full_at.get(k)).max();
        let full = 1.0 + FULL_PENALTY * last_full_at.map_or(0.0, |at| self.decay(*at, DECAY_TIME));
        let size = if self.cfg.weights == WeightKind::Off { 1.0 } else { backend.row.weight.max(1e-3) };
        let no_repeat = self.cfg.classes[self.requests[&id].class].effect == Effect::Unsafe;
        let resets = 1.0
            + RESET_PENALTIES[usize::from(no_repeat)]
                * backend.reset_rate
                * self.decay(backend.last_reset_at, DECAY_TIME);
        let remote = if backend.row.zone == self.cfg.zone { 1.0 } else { REMOTE_ZONE_PENALTY };
        (backend.active_attempts() + others + 1.0) * slow * full * resets * remote
            / (size * self.capacity(backend))
    }
}
