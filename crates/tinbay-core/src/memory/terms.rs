//! Memory bounds of a box.

/// Bytes per megabyte, in the decimal sense used for the memory of machines.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Fraction of the memory available to requests and answers; the rest is for the process itself and
/// its state about servers, boxes and adapters.
const HELD_FRACTION: f64 = 0.5;

/// Fraction of the bound above which answers of slow callers are aborted. It is below 1 to leave
/// room for data that arrives before the next check.
const ABORT_FRACTION: f64 = 0.75;

/// Fraction of the bound available to a single client account.
const ACCOUNT_FRACTION: f64 = 0.5;

/// Bounds on the memory for requests and answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryTerms {
    /// Maximum in total; requests beyond it are refused.
    pub bound_bytes: u64,
    /// Total above which answers of slow callers are aborted.
    pub abort_above_bytes: u64,
    /// Maximum per client account.
    pub account_bytes: u64,
}

impl MemoryTerms {
    /// No bounds, for a box whose memory is unknown.
    pub const UNBOUNDED: Self = Self {
        bound_bytes: u64::MAX,
        abort_above_bytes: u64::MAX,
        account_bytes: u64::MAX,
    };

    /// The bounds for a box with `memory_mb` of memory; unbounded if that is unknown.
    pub fn of_memory(memory_mb: Option<f64>) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self::UNBOUNDED;
        };
        let bound_bytes = memory_mb * BYTES_PER_MB * HELD_FRACTION;
        Self {
            bound_bytes: bound_bytes as u64,
            abort_above_bytes: (bound_bytes * ABORT_FRACTION) as u64,
            account_bytes: (bound_bytes * ACCOUNT_FRACTION) as u64,
        }
    }
}
