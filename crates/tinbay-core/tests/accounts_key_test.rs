//! Tests of client accounts and their keys, on virtual time.

use std::rc::Rc;

use quickcheck::QuickCheck;
use tinbay_core::accounts::account::{Account, LimitUnit};
use tinbay_core::accounts::key::KeyDigest;
use tinbay_core::accounts::key_check::{KeyDecision, KeyTerms, PresentedKey, check};
use tinbay_core::accounts::priority::PriorityRanks;
use tinbay_core::accounts::table::{AccountError, AccountTable};
use tinbay_core::limits::terms::Limit;
use tinbay_core::units::Millis;

const TERMS: KeyTerms = KeyTerms {
    withdrawn_within_ms: 5_000,
    added_within_ms: 3_000,
};

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes()).expect("a key")
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: Rc::from(name),
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority: 1,
        unit: LimitUnit::Tokens { plain_tokens: 200 },
        limit: Some(Limit {
            per_s: 1_000.0,
            burst: 1_000.0,
        }),
    }
}

fn table(accounts: Vec<Account>) -> AccountTable {
    AccountTable::new(accounts).expect("accounts")
}

fn presented(key: &str) -> PresentedKey {
    PresentedKey::Digest(digest(key))
}

fn is_served(decision: &KeyDecision) -> bool {
    matches!(decision, KeyDecision::Serve(Some(_)))
}

#[test]
fn of_text_that_is_no_key() {
    let long = "x".repeat(257);
    for text in ["", " ", "two words", "tab\t", "kľúč", long.as_str()] {
        assert_eq!(KeyDigest::of(text.as_bytes()), None, "{text:?}");
    }
}

#[test]
fn from_hex_reads_what_to_hex_wrote() {
    let digest = digest("secret");
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(KeyDigest::from_hex("secret"), None);
    assert_eq!(KeyDigest::from_hex(&"é".repeat(16)), None);
}

/// Debug output holds neither the key nor its digest.
#[test]
fn debug_shows_no_key() {
    let text = format!("{:?}", table(vec![account("one", &["secret-key"])]));
    assert!(!text.contains("secret-key"));
    assert!(!text.contains(&digest("secret-key").to_hex()));
}

#[test]
fn new_key_or_name_twice() {
    let twice = vec![account("one", &["k1"]), account("two", &["k1"])];
    let error = AccountTable::new(twice).expect_err("a key twice");
    assert!(matches!(error, AccountError::KeyTwice { .. }));
    assert!(!error.to_string().contains("k1"));
    let twice = vec![account("one", &["k1"]), account("one", &["k2"])];
    let error = AccountTable::new(twice).expect_err("a name twice");
    assert!(matches!(error, AccountError::NameTwice { .. }));
}

#[test]
fn check_without_accounts_needs_no_key() {
    let none = AccountTable::default();
    let decision = check(&none, false, PresentedKey::None, 60_000, &TERMS);
    assert_eq!(decision, KeyDecision::Serve(None));
}

#[test]
fn check_no_key_and_unknown_key() {
    let accounts = table(vec![account("one", &["k1"])]);
    let decide = |key, age_ms| check(&accounts, false, key, age_ms, &TERMS);
    assert_eq!(decide(PresentedKey::None, 0), KeyDecision::NoKey);
    assert_eq!(decide(PresentedKey::None, 60_000), KeyDecision::NoKey);
    assert_eq!(decide(presented("other"), 2_800), KeyDecision::Unknown);
    assert_eq!(decide(presented("other"), 2_801), KeyDecision::CopyTooOld);
    assert!(is_served(&decide(presented("k1"), 3_300)));
    assert_eq!(decide(presented("k1"), 3_301), KeyDecision::CopyTooOld);
}

#[test]
fn check_public_route_needs_no_key() {
    let accounts = table(vec![account("one", &["k1"])]);
    let decide = |key, age_ms| check(&accounts, true, key, age_ms, &TERMS);
    assert!(is_served(&decide(presented("k1"), 0)));
    assert_eq!(decide(presented("k1"), 4_000), KeyDecision::Serve(None));
    assert_eq!(decide(presented("other"), 0), KeyDecision::Serve(None));
    assert_eq!(decide(PresentedKey::None, 0), KeyDecision::Serve(None));
}

/// When a box queried the store and how long the answers took, in raw units.
type Reads = Vec<(u16, u16)>;

/// The revocation of a key, observed by one box through slow reads and watches that miss changes
/// for a while.
struct History {
    /// When the key is revoked.
    withdrawn_ms: Millis,
    /// When the box queried the store, and how long the answer took.
    reads: Vec<(Millis, Millis)>,
    /// How long after the revocation the store's watches still miss it.
    watch_delay_ms: Millis,
}

impl History {
    /// The box's copy at a time: whether it holds the key, and its age.
    fn copy_at(&self, now_ms: Millis) -> Option<(bool, Millis)> {
        let done = self.reads.iter().filter(|(at, took)| at + took <= now_ms);
        let queried_ms = done.map(|(at, _)| *at).max()?;
        let has_key = queried_ms < self.withdrawn_ms + self.watch_delay_ms;
        Some((has_key, now_ms - queried_ms))
    }
}

/// Whether reads are late, stale or absent, no request sent later than allowed after the revocation
/// of its key is served.
///
/// The test fails without the bound on the copy's age, and without the allowance for watches that
/// miss changes.
#[test]
fn check_never_serves_a_key_revoked_for_longer_than_allowed() {
    fn property(withdrawn: u16, watch_delay: u8, reads: Reads, requests: Vec<u16>) -> bool {
        let history = History {
            withdrawn_ms: Millis::from(withdrawn) / 4,
            reads: reads
                .iter()
                .map(|(at, took)| (Millis::from(*at) / 2, Millis::from(*took) / 8))
                .collect(),
            watch_delay_ms: Millis::from(watch_delay) * 1_500 / 255,
        };
        let with_key = table(vec![account("one", &["k1"])]);
        let without = table(vec![account("one", &["k2"])]);
        let times = requests.iter().map(|at| Millis::from(*at));
        times.into_iter().all(|sent_ms| {
            let Some((has_key, age_ms)) = history.copy_at(sent_ms) else {
                return true;
            };
            let accounts = if has_key { &with_key } else { &without };
            let decision = check(accounts, false, presented("k1"), age_ms, &TERMS);
            let is_late = sent_ms > history.withdrawn_ms + TERMS.withdrawn_within_ms;
            !(is_late && is_served(&decision))
        })
    }
    type Property = fn(u16, u8, Reads, Vec<u16>) -> bool;
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as Property);
}

/// The key of a request sent later than allowed after its addition is not reported as unknown.
#[test]
fn check_never_calls_a_key_unknown_that_was_added_long_ago() {
    fn property(added: u16, reads: Reads, requests: Vec<u16>) -> bool {
        let added_ms = Millis::from(added) / 4;
        let reads: Vec<(Millis, Millis)> = reads
            .iter()
            .map(|(at, took)| (Millis::from(*at) / 2, Millis::from(*took) / 8))
            .collect();
        let with_key = table(vec![account("one", &["k1"])]);
        let without = table(vec![account("one", &["k2"])]);
        requests.iter().map(|at| Millis::from(*at)).all(|sent_ms| {
            let done = reads.iter().filter(|(at, took)| at + took <= sent_ms);
            let Some(queried_ms) = done.map(|(at, _)| *at).max() else {
                return true;
            };
            let accounts = if queried_ms >= added_ms {
                &with_key
            } else {
                &without
            };
            let decision = check(
                accounts,
                false,
                presented("k1"),
                sent_ms - queried_ms,
                &TERMS,
            );
            let is_long_ago = sent_ms > added_ms + TERMS.added_within_ms;
            !(is_long_ago && decision == KeyDecision::Unknown)
        })
    }
    type Property = fn(u16, Reads, Vec<u16>) -> bool;
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as Property);
}

#[test]
fn cost_by_unit() {
    let tokens = LimitUnit::Tokens { plain_tokens: 200 };
    assert_eq!(tokens.cost(Some(561)), 561.0);
    assert_eq!(tokens.cost(None), 200.0);
    assert_eq!(LimitUnit::Requests.cost(Some(561)), 1.0);
}

#[test]
fn rank_account_goes_before_the_route() {
    let ranks = PriorityRanks::new([0, 2].into_iter(), [0, 1, 2].into_iter());
    assert_eq!(ranks.rank(Some(0), 2), 2);
    assert_eq!(ranks.rank(Some(2), 0), 3);
    assert_eq!(ranks.rank(None, 1), 1);
}

/// With more pairs than ranks, pairs share ranks and stay in order.
#[test]
fn rank_many_pairs_keep_their_order() {
    let ranks = PriorityRanks::new(0..6, 0..4);
    let pairs: Vec<u8> = (0..6)
        .flat_map(|account| (0..4).map(move |route| (account, route)))
        .map(|(account, route)| ranks.rank(Some(account), route))
        .collect();
    assert!(pairs.is_sorted());
    assert_eq!((pairs[0], pairs[23]), (0, 9));
}
