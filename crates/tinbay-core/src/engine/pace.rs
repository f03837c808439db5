//! How fast each rank's queue moves, as measured.

use std::collections::BTreeMap;

use super::demand::MovingAverage;
use crate::units::Millis;

/// First guess of the time between two dispatches of a backlogged rank.
const GUESSED_GAP_MS: f64 = 0.0;

#[derive(Debug, Clone, Copy)]
struct RankPace {
    /// When the rank's queue last moved, or began to wait.
    moved_ms: Millis,
    gap: MovingAverage,
}

/// The time between dispatches of each rank while it has a backlog.
///
/// A rank behind others moves only as fast as they leave room for, which no count of the
/// requests ahead of it tells. Source of the estimate: Little, "A proof for the queuing
/// formula L = lambda W", Operations Research 1961.
#[derive(Debug, Default)]
pub struct Paces {
    ranks: BTreeMap<u8, RankPace>,
}

impl Paces {
    /// Notes that a rank's queue, empty until now, begins to wait.
    pub fn begin(&mut self, rank: u8, now_ms: Millis) {
        self.pace(rank, now_ms).moved_ms = now_ms;
    }

    /// Notes that one request of a rank left the queue for the engine.
    pub fn note_dispatch(&mut self, rank: u8, now_ms: Millis) {
        let pace = self.pace(rank, now_ms);
        pace.gap.add(now_ms.saturating_sub(pace.moved_ms));
        pace.moved_ms = now_ms;
    }

    /// How long the last of `queued` requests of a rank waits. A queue that has not moved
    /// for longer than usual counts that time as well.
    pub fn wait_ms(&self, rank: u8, queued: usize, now_ms: Millis) -> Millis {
        let Some(pace) = self.ranks.get(&rank) else {
            return 0;
        };
        let standing_ms = now_ms.saturating_sub(pace.moved_ms) as f64;
        (queued as f64 * pace.gap.mean_ms().max(standing_ms / (queued as f64 + 1.0))) as Millis
    }

    fn pace(&mut self, rank: u8, now_ms: Millis) -> &mut RankPace {
        self.ranks.entry(rank).or_insert(RankPace {
            moved_ms: now_ms,
            gap: MovingAverage::new(GUESSED_GAP_MS),
        })
    }
}
