//! The monotonic clock in milliseconds since the start of the process.

use std::time::{Duration, Instant};

use tinbay_core::units::Millis;

/// The monotonic clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that shows 0 now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// The instant of a time on this clock.
    pub fn instant(&self, time_ms: Millis) -> Instant {
        self.start + Duration::from_millis(time_ms)
    }
}
