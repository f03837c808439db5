//! Versions of one adapter that the operators published, and until when older ones may serve.
//!
//! A version may be published before the previous one is loaded everywhere, and each forbids all
//! older ones at a time of its own. A box learns of a version some time after it was published; all
//! it knows for certain is a time at which the version had not been published yet.

use crate::units::Millis;

/// A version, and the time by which requests on older ones must have begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PublishedVersion {
    version: u64,
    begin_by_ms: Millis,
}

/// The versions of one adapter that the operators published.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedVersions {
    /// In ascending order.
    published: Vec<PublishedVersion>,
    learnt_ms: Option<Millis>,
}

impl PublishedVersions {
    /// Records a version that had not been published at `earliest_ms`, if that time is known; older
    /// ones are forbidden `grace_ms` after it. Returns whether the version is the newest.
    pub fn record(
        &mut self,
        version: u64,
        earliest_ms: Option<Millis>,
        grace_ms: Millis,
        now_ms: Millis,
    ) -> bool {
        if self.newest().is_some_and(|newest| newest >= version) {
            return false;
        }
        self.learnt_ms = earliest_ms.map(|_| now_ms);
        self.published.push(PublishedVersion {
            version,
            begin_by_ms: earliest_ms.map_or(0, |earliest_ms| earliest_ms + grace_ms),
        });
        self.drop_superseded(now_ms);
        true
    }

    /// Drops versions whose older ones are forbidden already, except for the newest of them.
    fn drop_superseded(&mut self, now_ms: Millis) {
        let is_over = |published: &&PublishedVersion| published.begin_by_ms <= now_ms;
        let over = self.published.iter().take_while(is_over).count();
        self.published.drain(..over.saturating_sub(1));
    }

    /// The newest version.
    pub fn newest(&self) -> Option<u64> {
        self.published.last().map(|newest| newest.version)
    }

    /// When this box learnt of the newest version; none if it existed before the box started.
    pub fn learnt_ms(&self) -> Option<Millis> {
        self.learnt_ms
    }

    /// Time by which a request on `version` must have begun; none while there is no newer version.
    /// 0 stands for an unknown version.
    pub fn begin_by_ms(&self, version: u64) -> Option<Millis> {
        // The first newer version decides: with the deadline of the newest alone, each new version
        // would let all older ones serve again after their deadlines.
        let first_newer = self
            .published
            .iter()
            .find(|other| other.version > version)?;
        Some(first_newer.begin_by_ms)
    }
}
