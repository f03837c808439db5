//! Monotonic clock for ages and deadlines, in milliseconds since the start of the process.
//!
//! It keeps running while the machine is suspended, so that a proof read before has the same age
//! afterwards as it has for other boxes. Timers of the runtime stop meanwhile; they use
//! [`Instant`], and only [`Clock::instant`] converts a time to one.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use tinbay_core::units::Millis;

/// The clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Milliseconds since the start, including time in suspend.
    pub fn now_ms(&self) -> Millis {
        since_boot().saturating_sub(self.start).as_millis() as Millis
    }

    /// The timer instant that corresponds to a time on this clock, if the machine is not suspended
    /// in between.
    pub fn instant(&self, time_ms: Millis) -> Instant {
        let left_ms = time_ms.saturating_sub(self.now_ms());
        Instant::now() + Duration::from_millis(left_ms)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
