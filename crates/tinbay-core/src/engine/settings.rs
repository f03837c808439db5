//! How an owner weighs load stalls against full batches.

use crate::policy::PolicySettings;
use crate::units::Millis;

/// How the owner weighs what it wants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerSettings {
    /// How long batch work waits before it takes a slot from other batch work.
    pub swap_patience_ms: Millis,
    /// Share of the slots that batch work may hold while urgent work asks for the others.
    pub batch_slot_share: f64,
    /// Places in the batch kept for urgent work.
    pub urgent_reserve: u32,
    /// Every so many dispatches one goes to batch work that would else be late.
    pub late_every: u32,
    /// Batch work within this of its last moment counts as late.
    pub late_within_ms: Millis,
    /// Share of the engine one organisation may use before its requests stand back.
    pub fair_share: f64,
}

/// The patience of a policy that weighs batch efficiency alone.
const LONGEST_PATIENCE_MS: f64 = 4_000.0;

impl Default for OwnerSettings {
    fn default() -> Self {
        Self::from_policy(PolicySettings::default())
    }
}

impl OwnerSettings {
    /// The settings that follow from a policy's weights.
    pub fn from_policy(settings: PolicySettings) -> Self {
        let batch_weight = 1.0 - settings.stall_weight;
        Self {
            swap_patience_ms: (batch_weight * LONGEST_PATIENCE_MS) as Millis,
            batch_slot_share: batch_weight,
            urgent_reserve: 1,
            late_every: 8,
            late_within_ms: 10_000,
            fair_share: 0.5,
        }
    }
}
