//! Tests of the detection and quarantine of requests that crash servers.

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::crashes::digest::{LongBodyHasher, RequestDigest};
use tinbay_core::crashes::ledger::{CRASHES_TO_REFUSE, CrashLedger};
use tinbay_core::crashes::proven::ProvenRequests;
use tinbay_core::crashes::quarantine::{QUARANTINE_LIFE_MS, Quarantine};

const ACCOUNT: Option<&str> = Some("account");

fn digest(name: u32) -> RequestDigest {
    RequestDigest::of(ACCOUNT, "/route/", &name.to_le_bytes())
}

#[test]
fn digest_alike_for_the_same_request() {
    let again = RequestDigest::of(ACCOUNT, "/a", b"body");
    assert_eq!(RequestDigest::of(ACCOUNT, "/a", b"body"), again);
}

#[test]
fn digest_differs_by_account_path_and_body() {
    let first = RequestDigest::of(ACCOUNT, "/a", b"body");
    let others = [
        RequestDigest::of(None, "/a", b"body"),
        RequestDigest::of(Some("other"), "/a", b"body"),
        RequestDigest::of(ACCOUNT, "/b", b"body"),
        RequestDigest::of(ACCOUNT, "/a", b"bodz"),
        RequestDigest::of(ACCOUNT, "/abody", b""),
    ];
    assert!(others.iter().all(|other| *other != first));
}

#[test]
fn digest_as_text_is_read_back() {
    let first = digest(7);
    assert_eq!(first.to_string().parse(), Ok(first));
    for wrong in [
        "",
        "00",
        "+f+f+f+f+f+f+f+f+f+f+f+f+f+f+f+f",
        &"é".repeat(16),
    ] {
        assert!(wrong.parse::<RequestDigest>().is_err(), "{wrong}");
    }
}

#[test]
fn ledger_counts_a_crash_once() {
    let mut ledger = CrashLedger::default();
    for _ in 0..5 {
        assert_eq!(ledger.note(digest(1), 40, 0), 1);
    }
    assert_eq!(ledger.note(digest(1), 41, 0), 2);
    assert_eq!(ledger.note(digest(2), 41, 0), 1);
    assert_eq!(ledger.note(digest(1), 42, 0), CRASHES_TO_REFUSE);
}

#[test]
fn ledger_drops_a_request_that_succeeded() {
    let mut ledger = CrashLedger::default();
    ledger.note(digest(1), 40, 0);
    ledger.note(digest(1), 41, 0);
    ledger.clear(digest(1));
    assert_eq!(ledger.note(digest(1), 42, 0), 1);
}

#[test]
fn ledger_counts_crashes_minutes_apart() {
    let mut ledger = CrashLedger::default();
    ledger.note(digest(1), 40, 0);
    ledger.note(digest(1), 41, 50 * 60_000);
    assert_eq!(ledger.note(digest(1), 42, 100 * 60_000), 3);
    assert_eq!(ledger.note(digest(1), 43, 1_000 * 60_000), 1);
}

#[test]
fn ledger_is_bounded() {
    let mut ledger = CrashLedger::default();
    for name in 0..20_000 {
        ledger.note(digest(name), 1, 0);
        ledger.note(digest(name), 2, 0);
    }
    assert!(ledger.len() <= 4_096);
    assert_eq!(ledger.note(digest(19_999), 3, 0), 3);
}

#[test]
fn proven_is_bounded_and_keeps_the_newest() {
    let mut proven = ProvenRequests::default();
    for name in 0..10_000 {
        proven.note(digest(name));
    }
    assert!(proven.contains(digest(9_999)));
    assert!(!proven.contains(digest(0)));
}

#[test]
fn quarantine_ends_by_its_age() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.add(digest(1), QUARANTINE_LIFE_MS - 10, 5));
    assert!(quarantine.holds(digest(1), 14));
    assert!(!quarantine.holds(digest(1), 15));
    assert!(!quarantine.add(digest(2), QUARANTINE_LIFE_MS, 5));
}

#[test]
fn quarantine_is_bounded_and_keeps_the_newest() {
    let mut quarantine = Quarantine::default();
    for name in 0..3_000 {
        quarantine.add(digest(name), 0, u64::from(name));
    }
    assert!(quarantine.ages(3_000).len() <= 1_024);
    assert!(quarantine.holds(digest(2_999), 3_000));
}

/// Boxes that restart at random pass a quarantine on to each other: it still ends within its
/// lifetime counted from the first box.
#[test]
fn quarantine_passed_on_ends_within_its_lifetime() {
    fn ends(steps: Vec<(u8, u16)>) -> TestResult {
        let mut boxes: Vec<(u64, Quarantine)> =
            (0..4).map(|_| (0, Quarantine::default())).collect();
        boxes[0].1.add(digest(1), 0, 0);
        let mut now_ms = 0;
        for (step, pause) in steps {
            now_ms += u64::from(pause) * 20;
            let (from, to) = (usize::from(step) % 4, usize::from(step / 4) % 4);
            if step >= 200 {
                boxes[to] = (now_ms, Quarantine::default());
                continue;
            }
            let age = boxes[from].1.ages(now_ms - boxes[from].0).pop();
            if let Some((digest, age_ms)) = age {
                let own_ms = now_ms - boxes[to].0;
                boxes[to].1.add(digest, age_ms, own_ms);
            }
        }
        let late_ms = QUARANTINE_LIFE_MS.max(now_ms);
        let holds =
            |(start, quarantine): &(u64, Quarantine)| quarantine.holds(digest(1), late_ms - start);
        TestResult::from_bool(!boxes.iter().any(holds))
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(ends as fn(Vec<(u8, u16)>) -> TestResult);
}

/// For any sequence of reports, with duplicates, a request is refused exactly when it was running
/// in enough distinct crashes.
#[test]
fn ledger_refuses_by_different_crashes_alone() {
    fn refuses(reports: Vec<(u8, u8)>) -> bool {
        let mut ledger = CrashLedger::default();
        let mut seen: Vec<Vec<u8>> = vec![Vec::new(); 4];
        reports.into_iter().all(|(request, crash)| {
            let request = usize::from(request % 4);
            let crash = crash % 6;
            if !seen[request].contains(&crash) {
                seen[request].push(crash);
            }
            let count = ledger.note(digest(request as u32), u64::from(crash), 0);
            (count >= CRASHES_TO_REFUSE) == (seen[request].len() >= CRASHES_TO_REFUSE)
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(refuses as fn(Vec<(u8, u8)>) -> bool);
}

fn long_body_hasher(pieces: &[&[u8]]) -> LongBodyHasher {
    let mut hasher = LongBodyHasher::new(Some("account"), "/path");
    for piece in pieces {
        hasher.update(piece);
    }
    hasher
}

/// The pieces in which a body arrives are up to the network.
#[test]
fn long_body_has_one_digest_however_it_arrives() {
    let at_once = long_body_hasher(&[b"abcdef"]).digest_of_whole();
    for pieces in [[&b"abc"[..], b"def"], [b"a", b"bcdef"], [b"", b"abcdef"]] {
        assert_eq!(long_body_hasher(&pieces).digest_of_whole(), at_once);
    }
}

#[test]
fn long_body_is_told_from_others_with_its_start() {
    let start = long_body_hasher(&[b"abc"]);
    let whole = long_body_hasher(&[b"abc", b"def"]).digest_of_whole();
    assert_ne!(start.digest_of_start(), whole);
    assert_ne!(start.digest_of_start(), start.clone().digest_of_whole());
    let other = long_body_hasher(&[b"abc", b"xyz"]).digest_of_whole();
    assert_ne!(other, whole);
}
