//! Measures how fast the requests of each rank are dispatched.

use std::collections::BTreeMap;

use super::demand::MovingAverage;
use crate::units::Millis;

/// Assumed time between two dispatches of a rank with a backlog until the first dispatch.
const INITIAL_INTERVAL_MS: f64 = 0.0;

#[derive(Debug, Clone, Copy)]
struct RankInterval {
    /// Last dispatch of the rank, or the begin of its backlog if that is later.
    last_progress_ms: Millis,
    mean: MovingAverage,
}

/// Mean time between dispatches of each rank while it has a backlog.
///
/// A low-priority rank is dispatched only as fast as the higher ones leave capacity, which
/// the number of requests ahead of it does not show. The estimate follows Little, "A proof
/// for the queuing formula L = lambda W", Operations Research 1961.
#[derive(Debug, Default)]
pub struct DispatchIntervals {
    ranks: BTreeMap<u8, RankInterval>,
}

impl DispatchIntervals {
    /// Records that a rank's queue, empty until now, has a backlog.
    pub fn record_backlog(&mut self, rank: u8, now_ms: Millis) {
        self.interval(rank, now_ms).last_progress_ms = now_ms;
    }

    /// Records that a request of a rank was dispatched.
    pub fn record_dispatch(&mut self, rank: u8, now_ms: Millis) {
        let interval = self.interval(rank, now_ms);
        interval
            .mean
            .add(now_ms.saturating_sub(interval.last_progress_ms));
        interval.last_progress_ms = now_ms;
    }

    /// Estimated wait of the last of `queued` requests of a rank. If the time since the last
    /// dispatch, spread over the queue, exceeds the mean interval, it replaces the mean.
    pub fn wait_ms(&self, rank: u8, queued: usize, now_ms: Millis) -> Millis {
        let Some(interval) = self.ranks.get(&rank) else {
            return 0;
        };
        let stalled_ms = now_ms.saturating_sub(interval.last_progress_ms) as f64;
        (queued as f64
            * interval
                .mean
                .mean_ms()
                .max(stalled_ms / (queued as f64 + 1.0))) as Millis
    }

    fn interval(&mut self, rank: u8, now_ms: Millis) -> &mut RankInterval {
        self.ranks.entry(rank).or_insert(RankInterval {
            last_progress_ms: now_ms,
            mean: MovingAverage::new(INITIAL_INTERVAL_MS),
        })
    }
}
