//! The box's clocks, read at the edges only and handed to the core as numbers.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tinbay_core::units::Millis;

/// Reads monotonic time as milliseconds since the process began.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that reads 0 now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }
}

/// Wall-clock milliseconds since 1970; 0 if the clock is set before that.
pub fn wall_ms() -> Millis {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.unwrap_or(Duration::ZERO).as_millis() as Millis
}
