//! Which software version began a stream that a caller resumes.
//!
//! Servers of one service may run several versions of their software, and a stream may go on only
//! at the version that began it. The box that relays the start of a stream records its version at a
//! few boxes chosen by the caller's attempt, and the box at which the stream is resumed asks them.
//! Neither is needed while one version alone has served for longer than a stream may last. While
//! several serve, the boxes that keep records also write them to the store, so that they outlast a
//! failure of all boxes.

pub mod decision;
pub mod history;
pub mod homes;
pub mod ledger;
pub mod pace;

use xxhash_rust::xxh3::xxh3_64;

use crate::serving::servers::Fingerprint;

/// Digest of the id of a caller's attempt.
pub type AttemptDigest = u64;

/// Fingerprint that stands for a software version or for a service's name.
pub fn fingerprint(text: &str) -> Fingerprint {
    xxh3_64(text.as_bytes()) as Fingerprint
}

/// Digest of the id of a caller's attempt.
pub fn attempt_digest(id: &str) -> AttemptDigest {
    xxh3_64(id.as_bytes())
}

/// Number from 0 to 1 that depends on the attempt alone. A route with several services draws by it,
/// so that a resumed stream reaches the service that began it.
pub fn draw(attempt: AttemptDigest) -> f64 {
    const DRAW_BITS: u32 = f64::MANTISSA_DIGITS;
    let leading = attempt >> (u64::BITS - DRAW_BITS);
    leading as f64 / (1_u64 << DRAW_BITS) as f64
}
