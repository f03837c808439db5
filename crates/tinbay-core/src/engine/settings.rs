//! Settings that trade load stalls against batch efficiency.

use crate::policy::PolicySettings;
use crate::units::Millis;

/// Settings of an [`EngineOwner`](super::EngineOwner).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerSettings {
    /// How long batch work waits before it may take a slot from other batch work.
    pub min_wait_before_swap_ms: Millis,
    /// Share of the slots, from 0 to 1, that batch work may hold while urgent work needs the
    /// others.
    pub batch_slot_share: f64,
    /// Number of places in the engine's batch that only urgent work may take. A batch with a single
    /// place has no reserve.
    pub urgent_reserve: u32,
    /// One in this many dispatches goes to batch work that would otherwise be late.
    pub late_every: u32,
    /// Batch work counts as late from this long before its latest start time.
    pub late_within_ms: Millis,
    /// Share of the engine, from 0 to 1, beyond which an organisation's requests are deferred.
    pub fair_share: f64,
}

/// Swap patience of a policy that weighs batch efficiency alone.
const MAX_WAIT_BEFORE_SWAP_MS: f64 = 4_000.0;

impl Default for OwnerSettings {
    fn default() -> Self {
        Self::from_policy(PolicySettings::default())
    }
}

impl OwnerSettings {
    /// Derives the settings from a policy's stall weight.
    pub fn from_policy(settings: PolicySettings) -> Self {
        let batch_weight = 1.0 - settings.stall_weight;
        Self {
            min_wait_before_swap_ms: (batch_weight * MAX_WAIT_BEFORE_SWAP_MS) as Millis,
            batch_slot_share: batch_weight,
            urgent_reserve: 1,
            late_every: 8,
            late_within_ms: 10_000,
            fair_share: 0.5,
        }
    }
}
