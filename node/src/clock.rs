//! The clock of the process: microseconds since the Unix epoch, which never go back.
//!
//! Counting from the epoch makes all gateways agree on the numbers of quota windows, from which counter keys are
//! made. Gateways whose clocks began at their own start would count one customer under different keys.

use caperwind::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Wall-clock time at the start, advanced by the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    epoch: Micros,
}

impl Clock {
    /// Starts the clock at the current wall-clock time.
    pub fn start() -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { start: Instant::now(), epoch: epoch.as_micros() as Micros }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }

    /// Returns the instant of the runtime's timers that corresponds to a time on this clock; a time before the
    /// start gives the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.epoch))
    }
}
