//! Aliases for quantities, so that a signature names its unit.

/// A point in time or a span, in milliseconds. The driver chooses the origin.
pub type Millis = u64;

/// A revision of the key-value service; it orders every configuration change.
pub type Revision = i64;

/// Milliseconds in a second.
pub const MS_PER_SECOND: Millis = 1_000;
