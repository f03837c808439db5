//! Which software version began a stream that a caller resumes.
//!
//! The box that relays the start of a stream records its version in its own ledger and at the
//! homes of the caller's attempt, two boxes chosen by rendezvous hashing. The box at which the
//! stream is resumed asks them before it chooses a server, and refuses the request if the version
//! is not known. While several versions serve, homes also write their records to the store. No
//! message is sent while this box is certain that one version alone has served for longer than a
//! stream may last.

pub mod asking;
pub mod context;
pub mod eligibility;
pub mod messages;
pub mod origin;
pub mod recording;
pub mod stored;
pub mod stream_start;

use std::cell::RefCell;

use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::decision::{Knowledge, Origin, decide};
use tinbay_core::resumption::history::VersionHistory;
use tinbay_core::resumption::ledger::{OriginLedger, Recorded};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use self::asking::Questions;
use self::context::ResumptionContext;

/// This box's knowledge of software versions and of the streams that they began.
#[derive(Debug, Default)]
pub struct Resumption {
    /// The software versions that this box has seen serve.
    pub history: RefCell<VersionHistory>,
    /// Starts of streams, of this box's requests and of those that it is a home of.
    pub ledger: RefCell<OriginLedger>,
    /// Questions to other boxes that wait for replies.
    pub questions: Questions,
}

impl Resumption {
    /// Drops what is no longer needed.
    pub fn tidy(&self, now_ms: Millis) {
        self.history.borrow_mut().tidy(now_ms);
        self.ledger.borrow_mut().tidy(now_ms);
    }
}

/// What this box knows of a stream and of the versions of its service.
fn own_knowledge(
    context: &dyn ResumptionContext,
    attempt: Option<AttemptDigest>,
    service: Fingerprint,
) -> Knowledge {
    let now_ms = context.now_ms();
    let history = context.resumption().history.borrow();
    let ledger = context.resumption().ledger.borrow();
    let recorded = attempt.map_or(Recorded::Nothing, |attempt| ledger.find(attempt, now_ms).0);
    Knowledge {
        recorded,
        versions: history.versions(service, now_ms),
        is_complete: history.is_complete(now_ms) && context.is_view_current(),
    }
}

/// Whether this box is certain that one version of a service alone can have begun the streams that
/// still last.
fn has_sole_version(context: &dyn ResumptionContext, service: Fingerprint) -> bool {
    let known = own_knowledge(context, None, service);
    matches!(decide([&known]), Origin::Sole(_))
}
