//! Until when older versions of an adapter may serve.

use quickcheck::quickcheck;
use tinbay_core::serving::versions::PublishedVersions;
use tinbay_core::units::Millis;

const GRACE_MS: Millis = 5_000;

#[test]
fn begin_by_newest_is_unbounded() {
    let mut versions = PublishedVersions::default();
    assert_eq!(versions.begin_by_ms(1), None);
    versions.record(2, Some(1_000), GRACE_MS, 1_010);
    assert_eq!(versions.begin_by_ms(2), None);
    assert_eq!(versions.begin_by_ms(3), None);
}

#[test]
fn begin_by_of_older_version_follows_first_newer_one() {
    let mut versions = PublishedVersions::default();
    versions.record(2, Some(1_000), GRACE_MS, 1_010);
    versions.record(3, Some(2_500), GRACE_MS, 2_510);
    versions.record(4, Some(4_000), GRACE_MS, 4_010);
    assert_eq!(versions.begin_by_ms(1), Some(6_000));
    assert_eq!(versions.begin_by_ms(2), Some(7_500));
    assert_eq!(versions.begin_by_ms(3), Some(9_000));
}

#[test]
fn begin_by_of_unknown_version_follows_first_one() {
    let mut versions = PublishedVersions::default();
    versions.record(7, Some(1_000), GRACE_MS, 1_010);
    versions.record(9, Some(2_000), GRACE_MS, 2_010);
    assert_eq!(versions.begin_by_ms(0), Some(6_000));
}

#[test]
fn begin_by_of_version_found_at_start_is_past() {
    let mut versions = PublishedVersions::default();
    versions.record(4, None, GRACE_MS, 60_000);
    assert_eq!(versions.begin_by_ms(3), Some(0));
    assert_eq!(versions.learnt_ms(), None);
}

#[test]
fn record_older_version_changes_nothing() {
    let mut versions = PublishedVersions::default();
    versions.record(4, Some(1_000), GRACE_MS, 1_010);
    let before = versions.clone();
    assert!(!versions.record(3, Some(2_000), GRACE_MS, 2_010));
    assert!(!versions.record(4, Some(2_000), GRACE_MS, 2_010));
    assert_eq!(versions, before);
}

quickcheck! {
    /// However versions are published, and however late each is learnt: the deadline for beginning
    /// a request is never later than the time allowed after any newer version was published, unless
    /// it has passed already.
    fn begin_by_is_never_after_a_newer_version_allows(steps: Vec<(u8, u16, u16)>) -> bool {
        let mut versions = PublishedVersions::default();
        let mut published: Vec<(u64, Millis)> = Vec::new();
        let (mut version, mut published_ms, mut learnt_ms) = (1, 0, 0);
        for (step, interval_ms, delay_ms) in steps {
            version += 1 + u64::from(step % 3);
            published_ms += Millis::from(interval_ms % 4_000);
            let earliest_ms = published_ms.saturating_sub(Millis::from(delay_ms % 900));
            learnt_ms = learnt_ms.max(published_ms + Millis::from(delay_ms % 1_500));
            published.push((version, published_ms));
            versions.record(version, Some(earliest_ms), GRACE_MS, learnt_ms);
        }
        (0..=version).all(|held| {
            let allows_ms = published
                .iter()
                .filter(|(newer, _)| *newer > held)
                .map(|(_, published_ms)| published_ms + GRACE_MS)
                .min();
            match (versions.begin_by_ms(held), allows_ms) {
                (None, None) => true,
                (Some(begin_by_ms), Some(allows_ms)) => begin_by_ms <= allows_ms.max(learnt_ms),
                _ => false,
            }
        })
    }
}
