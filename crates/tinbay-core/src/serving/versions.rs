//! Versions of one adapter that the operators named, and until when an older one may serve.
//!
//! A version may be named before the last one is everywhere, and each forbids all older ones at
//! a time of its own. A box learns of a name some time after it was made; what it knows for
//! certain is a time at which the version had not been named yet.

use crate::units::Millis;

/// A version, and when requests on older ones must have begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Named {
    version: u64,
    begin_by_ms: Millis,
}

/// The versions of one adapter that the operators named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedVersions {
    /// Rising in version.
    named: Vec<Named>,
    learnt_ms: Option<Millis>,
}

impl NamedVersions {
    /// Notes a version that was not named yet at `earliest_ms`, if that is known, and forbids
    /// older ones `allowed_ms` later; whether it is the newest.
    pub fn note(
        &mut self,
        version: u64,
        earliest_ms: Option<Millis>,
        allowed_ms: Millis,
        now_ms: Millis,
    ) -> bool {
        if self.newest().is_some_and(|newest| newest >= version) {
            return false;
        }
        self.learnt_ms = earliest_ms.map(|_| now_ms);
        self.named.push(Named {
            version,
            begin_by_ms: earliest_ms.map_or(0, |earliest_ms| earliest_ms + allowed_ms),
        });
        self.join_over(now_ms);
        true
    }

    /// Of the versions whose older ones may not serve any more, the newest says all.
    fn join_over(&mut self, now_ms: Millis) {
        let is_over = |named: &&Named| named.begin_by_ms <= now_ms;
        let over = self.named.iter().take_while(is_over).count();
        self.named.drain(..over.saturating_sub(1));
    }

    /// The version named last.
    pub fn newest(&self) -> Option<u64> {
        self.named.last().map(|named| named.version)
    }

    /// When the version named last was learnt; none where it was there when the box came.
    pub fn learnt_ms(&self) -> Option<Millis> {
        self.learnt_ms
    }

    /// Time by which a request on a version must have begun; none while no newer one is named.
    /// 0 is a version that is not known.
    pub fn begin_by_ms(&self, version: u64) -> Option<Millis> {
        // The first newer one counts: with the last one's time alone, each new name let all
        // older versions serve anew, and a request began 5.0 s after its version was replaced.
        let first_newer = self.named.iter().find(|named| named.version > version)?;
        Some(first_newer.begin_by_ms)
    }
}
