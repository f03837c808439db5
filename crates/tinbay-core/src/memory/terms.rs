//! The bounds on what a box holds, as parts of its memory.

/// Bytes of a megabyte, as machines are described.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Part of the memory that requests and answers may take; the rest is for the program itself and
/// for what it knows of servers, boxes and adapters.
const HELD_PART: f64 = 0.5;

/// Part of the bound from which on slow callers are cut: what comes in until the next look has to
/// find room.
const CUT_PART: f64 = 0.75;

/// Part of the bound that one client account may hold by itself.
const ACCOUNT_PART: f64 = 0.5;

/// The bounds on what a box holds for requests and answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryTerms {
    /// Most that is held at all.
    pub bound_bytes: u64,
    /// Most that is held before slow callers are cut.
    pub cut_from_bytes: u64,
    /// Most that one client account holds.
    pub account_bytes: u64,
}

impl MemoryTerms {
    /// No bounds: nothing is known of the memory.
    pub const UNBOUNDED: Self = Self {
        bound_bytes: u64::MAX,
        cut_from_bytes: u64::MAX,
        account_bytes: u64::MAX,
    };

    /// The bounds for a box with so much memory; none where that is not known.
    pub fn of_memory(memory_mb: Option<f64>) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self::UNBOUNDED;
        };
        let bound_bytes = memory_mb * BYTES_PER_MB * HELD_PART;
        Self {
            bound_bytes: bound_bytes as u64,
            cut_from_bytes: (bound_bytes * CUT_PART) as u64,
            account_bytes: (bound_bytes * ACCOUNT_PART) as u64,
        }
    }
}
