//! Detection of prompt parts that crash servers.
//!
//! Requests that are all different may share a part of their prompts, and this part may crash each
//! server that begins to answer. When a server crashes, each part of the requests that it had not
//! been answering for long is a suspect. Boxes report suspects to the few boxes that track the part,
//! unless they have proof: a request with the part that was answered. A tracker that has counted
//! enough crashes tells all boxes that it suspects the part. A box with proof objects; without an
//! objection the part is refused.
//!
//! Several suspects may share crashes. The one with the most crashes, and with the fewest requests
//! among equals, is judged first, and its crashes then count against no other one. A part that only
//! ever ran together with others is refused only together with them.
//!
//! Crashes of one moment may have a common cause other than a part. A refusal that rests on too few
//! moments is tested: one box lets a single request with the part reach a server.

mod evidence;
mod judge;
mod ledger;
mod proven;
mod refusals;
mod trials;

pub use evidence::{CrashReport, Evidence, PartRefusal, PartSet, Proof, Suspicion};
pub use judge::{Announcement, Heard, PartJudge, ProofEffect};
pub use proven::{PROOF_HOLD_MS, PROVING_WRITE_MS};
pub use refusals::REFUSAL_LIFE_MS;
pub use trials::TRIAL_INTERVAL_MS;

use crate::units::Millis;

/// Crashes at different times, and different requests in all of them, from which a part is suspected.
/// Two would suspect sessions whose first requests met two crashes of other causes.
pub const CRASHES_TO_SUSPECT: usize = 3;

/// Crashes closer together than this are of one moment: their servers may have a common cause other
/// than their requests, such as a rack that loses power.
pub const COINCIDENCE_MS: Millis = 100;

/// Crashes from which a part is suspected even if they are of one moment, as requests with a part
/// that crashes servers may come together.
pub const CRASHES_AT_ONCE_TO_SUSPECT: usize = 5;

/// Time for objections before a suspected part is refused: a suspicion reaches the boxes of all
/// zones, and their objections the trackers, in a fraction of it.
pub const OBJECTION_MS: Millis = 600;

/// Longest time for which a part stays suspected while others with the same crashes are judged.
pub const MAX_SUSPICION_MS: Millis = 3 * OBJECTION_MS;

/// Parts of one prompt that are tracked; the first ones are shared most.
pub const MAX_TRACKED_PARTS: usize = 16;
