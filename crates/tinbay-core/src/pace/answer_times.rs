//! Quantiles of the response times of a service over a sliding window of two halves.

use crate::units::Millis;

/// Length of each half of the window; it holds some hundred answers at a few answers per second.
const HALF_WINDOW_MS: Millis = 15_000;

/// Ratio between the bounds of neighbouring buckets.
const BUCKET_RATIO: f64 = 1.1;

/// Number of buckets; the last one begins beyond a minute.
const BUCKETS: usize = 120;

/// Least number of answers for a quantile.
pub const MIN_ANSWERS: u32 = 20;

#[derive(Debug, Clone, PartialEq, Eq)]
struct HalfWindow {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for HalfWindow {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

/// Histogram of the response times of a service, in the newest half of the window and the previous
/// one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseTimes {
    newest: HalfWindow,
    previous: HalfWindow,
    newest_began_ms: Millis,
}

impl ResponseTimes {
    /// Records the response time of an answer, or the time after which an answer was no longer
    /// awaited.
    pub fn record(&mut self, took_ms: f64, now_ms: Millis) {
        if now_ms >= self.newest_began_ms + 2 * HALF_WINDOW_MS {
            *self = Self::default();
            self.newest_began_ms = now_ms;
        } else if now_ms >= self.newest_began_ms + HALF_WINDOW_MS {
            self.previous = std::mem::take(&mut self.newest);
            self.newest_began_ms = now_ms;
        }
        let count = &mut self.newest.counts[bucket(took_ms)];
        *count = count.saturating_add(1);
        self.newest.total += 1;
    }

    /// Time within which the fraction `quantile` of the answers arrived; none while too few are
    /// known.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let total = self.newest.total + self.previous.total;
        if total < MIN_ANSWERS {
            return None;
        }
        let wanted = quantile * f64::from(total);
        let halves = self.newest.counts.iter().zip(&self.previous.counts);
        let mut seen = 0.0;
        for (position, (newest, previous)) in halves.enumerate() {
            seen += f64::from(*newest) + f64::from(*previous);
            if seen >= wanted {
                return Some(upper_bound_ms(position));
            }
        }
        Some(upper_bound_ms(BUCKETS - 1))
    }
}

fn bucket(took_ms: f64) -> usize {
    let position = took_ms.max(1.0).ln() / BUCKET_RATIO.ln();
    (position as usize).min(BUCKETS - 1)
}

fn upper_bound_ms(position: usize) -> f64 {
    BUCKET_RATIO.powf(position as f64 + 1.0)
}
