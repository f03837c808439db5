//! What recording and finding the starts of streams needs from the box, and its implementation by the
//! box's [`Node`].

use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::history::MAX_VIEW_AGE_MS;
use tinbay_core::resumption::homes::{HomeBox, select_homes};
use tinbay_core::units::Millis;

use super::Resumption;
use crate::node::Node;
use crate::peers::frame::FramePart;

/// What recording and finding the starts of streams needs from the box.
pub trait ResumptionContext {
    /// Milliseconds on the monotonic clock of this process.
    fn now_ms(&self) -> Millis;

    /// This box's knowledge of software versions and streams.
    fn resumption(&self) -> &Resumption;

    /// Whether this box's view of the servers is recent enough to rule out that other versions
    /// serve.
    fn is_view_current(&self) -> bool;

    /// The other boxes among the first `count` homes of an attempt.
    fn other_homes(&self, attempt: AttemptDigest, count: usize) -> Vec<String>;

    /// Sends a message to another box.
    fn post(&self, box_id: &str, part: FramePart);
}

impl ResumptionContext for Node {
    fn now_ms(&self) -> Millis {
        self.now_ms()
    }

    fn resumption(&self) -> &Resumption {
        &self.resumption
    }

    fn is_view_current(&self) -> bool {
        let confirmed_ms = self.replica.confirmed_ms(&self.dialect.keys().servers);
        confirmed_ms.is_some_and(|confirmed_ms| self.now_ms() <= confirmed_ms + MAX_VIEW_AGE_MS)
    }

    /// This box is a home itself unless it is leaving.
    fn other_homes(&self, attempt: AttemptDigest, count: usize) -> Vec<String> {
        let now_ms = self.now_ms();
        let settings = self.settings.borrow();
        let members = self.members.borrow();
        let others = members
            .others(&settings.box_id)
            .filter(|(_, member)| member.listed && member.is_up(now_ms))
            .map(|(id, member)| HomeBox {
                id,
                zone: &member.record.zone,
            });
        let own = HomeBox {
            id: &settings.box_id,
            zone: &settings.zone,
        };
        let own = Some(own).filter(|_| !self.is_leaving.get());
        let boxes: Vec<HomeBox<'_>> = others.chain(own).collect();
        select_homes(attempt, &boxes, count)
            .into_iter()
            .filter(|id| *id != settings.box_id)
            .map(str::to_string)
            .collect()
    }

    fn post(&self, box_id: &str, part: FramePart) {
        self.outbox.post(box_id, part);
    }
}
