//! An adapter that occupies a slot of a server.

use xxhash_rust::xxh3::xxh3_64;

use super::fetching::LoadTime;
use crate::serving::decay::decayed;
use crate::serving::servers::AdapterName;
use crate::units::Millis;

/// Hash that identifies an adapter in memory.
pub type AdapterKey = u64;

/// Least idle time before an adapter may be evicted: a request for it may be in flight.
const EVICTION_IDLE_MS: Millis = 150;

/// Half-life of an adapter's use count: the loads of some seconds predict the demand.
const USE_HALF_LIFE_MS: f64 = 8_000.0;

/// Returns the key of an adapter named `model/name`.
pub fn adapter_key(adapter: &str) -> AdapterKey {
    xxh3_64(adapter.as_bytes())
}

/// State of an adapter in its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// Being loaded.
    Loading,
    /// Loaded and able to serve.
    Ready,
}

/// Whether a server holds the wanted version of an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Not held.
    None,
    /// Held in an older version.
    Stale,
    /// Loaded or being loaded.
    Current,
}

/// An adapter that occupies a slot.
#[derive(Debug, Clone)]
pub struct Held {
    /// Name of the adapter, as `model/name`.
    pub adapter: AdapterName,
    /// Version, where it is known.
    pub version: Option<u64>,
    /// Whether it is loaded.
    pub state: HeldState,
    pub(super) uses: f64,
    pub(super) used_ms: Millis,
    pub(super) ordered_ms: Millis,
    /// When its load is to be polled next.
    pub(super) check_ms: Millis,
    /// When its load was last seen to be in progress.
    pub(super) seen_loading_ms: Millis,
    /// Whether it is loaded from the weight store rather than from the server's own cache.
    pub(super) is_fetch: bool,
}

impl Held {
    /// An adapter that is loaded.
    pub(super) fn ready(adapter: AdapterName, version: Option<u64>, now_ms: Millis) -> Self {
        Self {
            adapter,
            version,
            state: HeldState::Ready,
            uses: 0.0,
            used_ms: now_ms,
            ordered_ms: now_ms,
            check_ms: now_ms,
            seen_loading_ms: now_ms,
            is_fetch: false,
        }
    }

    /// Whether it is loaded and has been unused for long enough to be evicted.
    pub(super) fn is_idle(&self, now_ms: Millis) -> bool {
        let idle_ms = now_ms.saturating_sub(self.used_ms);
        self.state == HeldState::Ready && idle_ms >= EVICTION_IDLE_MS
    }

    /// Bounds on the duration of its load, which was seen to be complete at `now_ms`.
    pub(super) fn load_time(&self, now_ms: Millis) -> LoadTime {
        let since_ordered_ms = |time_ms: Millis| time_ms.saturating_sub(self.ordered_ms) as f64;
        LoadTime {
            least_ms: since_ordered_ms(self.seen_loading_ms),
            most_ms: since_ordered_ms(now_ms),
        }
    }

    pub(super) fn uses_at(&self, now_ms: Millis) -> f64 {
        decayed(self.uses, self.used_ms, USE_HALF_LIFE_MS, now_ms)
    }

    pub(super) fn record_uses(&mut self, uses: u32, now_ms: Millis) {
        self.uses = self.uses_at(now_ms) + f64::from(uses);
        self.used_ms = now_ms;
    }
}
