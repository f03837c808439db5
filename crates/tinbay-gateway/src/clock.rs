//! The clock by which ages are told, in milliseconds since the start of the process.
//!
//! It goes on while the machine is suspended: a proof that was read before is as old afterwards as it
//! is for everybody else. Timers of the runtime stand still meanwhile; they are of another type,
//! [`Instant`], and only [`Clock::instant`] leads from a time to one.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use tinbay_core::units::Millis;

/// The clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that shows 0 now.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Milliseconds since the start, with the time for which the machine was suspended.
    pub fn now_ms(&self) -> Millis {
        since_boot().saturating_sub(self.start).as_millis() as Millis
    }

    /// When a timer has to go off for a time on this clock, as seen now.
    pub fn instant(&self, time_ms: Millis) -> Instant {
        let left_ms = time_ms.saturating_sub(self.now_ms());
        Instant::now() + Duration::from_millis(left_ms)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
