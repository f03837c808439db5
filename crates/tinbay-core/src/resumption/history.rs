//! The software versions that a box has seen serve.

use std::collections::HashMap;

use crate::serving::position::MAX_WATCH_LAG_MS;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// How long a version counts as seen after its last server was listed. Callers wait for a stream
/// for less than that.
pub const HISTORY_MS: Millis = 60_000;

/// Time from the first sight of a version to its first stream.
pub const ADOPTION_DELAY_MS: Millis = 4_000;

/// Age of a box's view of the servers up to which it may rule out that other versions serve. Such a
/// view, even one that lagged behind, shows each version that has begun a stream.
pub const MAX_VIEW_AGE_MS: Millis = ADOPTION_DELAY_MS - MAX_WATCH_LAG_MS;

#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    /// When it was first seen; absent if it was there when the box first listed the servers.
    first_ms: Option<Millis>,
    last_ms: Millis,
}

/// The software versions seen, by service.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Time since which no change of the servers was missed; absent before the first listing.
    watched_since_ms: Option<Millis>,
    services: HashMap<Fingerprint, HashMap<Fingerprint, SeenVersion>>,
}

impl VersionHistory {
    /// Records that all servers were listed anew, after a time in which changes may have been
    /// missed.
    pub fn begin_watch(&mut self, now_ms: Millis) {
        self.watched_since_ms = Some(now_ms);
    }

    /// Records that a server of a version is or was listed until now.
    pub fn observe(&mut self, service: Fingerprint, version: Fingerprint, now_ms: Millis) {
        let first_ms = self.watched_since_ms.map(|_| now_ms);
        let versions = self.services.entry(service).or_default();
        let seen = versions.entry(version).or_insert(SeenVersion {
            first_ms,
            last_ms: now_ms,
        });
        if !seen.is_recent(now_ms) {
            seen.first_ms = first_ms;
        }
        seen.last_ms = now_ms;
    }

    /// Records that a server of a version was listed before this box started.
    pub fn observe_earlier(&mut self, service: Fingerprint, version: Fingerprint, now_ms: Millis) {
        let versions = self.services.entry(service).or_default();
        versions.entry(version).or_insert(SeenVersion {
            first_ms: None,
            last_ms: now_ms,
        });
    }

    /// The services of which several versions were seen within `HISTORY_MS`.
    pub fn services_of_several_versions(&self, now_ms: Millis) -> Vec<Fingerprint> {
        let services = self.services.keys().copied();
        services
            .filter(|service| self.recent(*service, now_ms).count() > 1)
            .collect()
    }

    /// The versions of a service seen within `HISTORY_MS`, in order.
    pub fn versions(&self, service: Fingerprint, now_ms: Millis) -> Vec<Fingerprint> {
        let recent = self.recent(service, now_ms).map(|(version, _)| version);
        let mut versions: Vec<Fingerprint> = recent.collect();
        versions.sort_unstable();
        versions
    }

    /// Whether all versions that served within `HISTORY_MS` were seen, up to the time of the view.
    pub fn is_complete(&self, now_ms: Millis) -> bool {
        self.watched_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + HISTORY_MS)
    }

    /// Whether streams may begin at a version: other boxes that are in touch have seen it by now.
    pub fn is_adopted(&self, service: Fingerprint, version: Fingerprint, now_ms: Millis) -> bool {
        self.adopted_in_ms(service, version, now_ms) == Some(0)
    }

    /// Time until streams may begin at a version; `None` if it was not seen lately.
    pub fn adopted_in_ms(
        &self,
        service: Fingerprint,
        version: Fingerprint,
        now_ms: Millis,
    ) -> Option<Millis> {
        let mut recent = self.recent(service, now_ms);
        let (_, seen) = recent.find(|(seen_version, _)| *seen_version == version)?;
        Some(seen.adopted_ms().saturating_sub(now_ms))
    }

    /// Whether all versions of a service are adopted.
    pub fn are_all_adopted(&self, service: Fingerprint, now_ms: Millis) -> bool {
        self.recent(service, now_ms)
            .all(|(_, seen)| seen.is_adopted(now_ms))
    }

    /// Drops the versions that were not seen within `HISTORY_MS`.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.services.retain(|_, versions| {
            versions.retain(|_, seen| seen.is_recent(now_ms));
            !versions.is_empty()
        });
    }

    fn recent(
        &self,
        service: Fingerprint,
        now_ms: Millis,
    ) -> impl Iterator<Item = (Fingerprint, SeenVersion)> {
        let versions = self.services.get(&service).into_iter().flatten();
        versions
            .map(|(version, seen)| (*version, *seen))
            .filter(move |(_, seen)| seen.is_recent(now_ms))
    }
}

impl SeenVersion {
    fn is_recent(&self, now_ms: Millis) -> bool {
        now_ms <= self.last_ms + HISTORY_MS
    }

    fn is_adopted(&self, now_ms: Millis) -> bool {
        now_ms >= self.adopted_ms()
    }

    /// When streams may begin at the version.
    fn adopted_ms(&self) -> Millis {
        self.first_ms
            .map_or(0, |first_ms| first_ms + ADOPTION_DELAY_MS)
    }
}
