//! Type aliases for quantities, so that signatures show the unit.

/// A point in time or a duration, in milliseconds. The caller chooses the epoch.
pub type Millis = u64;

/// A revision of the key-value service; it orders all configuration changes.
pub type Revision = i64;

/// Milliseconds in a second.
pub const MS_PER_SECOND: Millis = 1_000;
