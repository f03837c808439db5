//! An adapter that takes a place at a server.

use xxhash_rust::xxh3::xxh3_64;

use super::fetching::LoadTime;
use crate::serving::fading::faded;
use crate::serving::servers::AdapterName;
use crate::units::Millis;

/// Short name of an adapter in memory.
pub type AdapterKey = u64;

/// An adapter used more lately than this is not taken out: a request for it may be on its way.
const KEEP_USED_MS: Millis = 150;

/// Half-life of an adapter's uses; the loads of some seconds tell what is asked for next.
const USE_HALF_LIFE_MS: f64 = 8_000.0;

/// The key of an adapter.
pub fn adapter_key(adapter: &str) -> AdapterKey {
    xxh3_64(adapter.as_bytes())
}

/// Whether an adapter can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// It is on its way.
    Loading,
    /// It serves.
    Ready,
}

/// How a server holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Not at all.
    None,
    /// In an older version.
    Stale,
    /// On its way, or there.
    Current,
}

/// An adapter that takes a place.
#[derive(Debug, Clone)]
pub struct Held {
    /// The adapter as `model/name`.
    pub adapter: AdapterName,
    /// Its version, where it is known.
    pub version: Option<u64>,
    /// Whether it can serve.
    pub state: HeldState,
    pub(super) uses: f64,
    pub(super) used_ms: Millis,
    pub(super) ordered_ms: Millis,
    pub(super) check_ms: Millis,
    /// When its load was last seen not to be done.
    pub(super) seen_loading_ms: Millis,
    pub(super) is_fetch: bool,
}

impl Held {
    /// An adapter that is there.
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

    /// Whether it serves and nothing was sent to it for a while.
    pub(super) fn is_idle(&self, now_ms: Millis) -> bool {
        let idle_ms = now_ms.saturating_sub(self.used_ms);
        self.state == HeldState::Ready && idle_ms >= KEEP_USED_MS
    }

    /// How long its load took that is seen to be done now.
    pub(super) fn load_time(&self, now_ms: Millis) -> LoadTime {
        let since_ordered_ms = |time_ms: Millis| time_ms.saturating_sub(self.ordered_ms) as f64;
        LoadTime {
            least_ms: since_ordered_ms(self.seen_loading_ms),
            most_ms: since_ordered_ms(now_ms),
        }
    }

    pub(super) fn uses_at(&self, now_ms: Millis) -> f64 {
        faded(self.uses, self.used_ms, USE_HALF_LIFE_MS, now_ms)
    }

    pub(super) fn note_uses(&mut self, uses: u32, now_ms: Millis) {
        self.uses = self.uses_at(now_ms) + f64::from(uses);
        self.used_ms = now_ms;
    }
}
