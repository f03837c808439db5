//! The local copy of the store and what it passes on to other boxes.

use tinbay_core::serving::position::{Era, Position};
use tinbay_gateway::port::store::{Change, Item, Listing};
use tinbay_gateway::watch::replica::{ChangesSince, Freshness, Replica};

const PREFIX: &str = "a/";

/// A position in era 1, which most cases use.
fn at(revision: u64) -> Position {
    Position::new(Era(1), revision)
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.into(),
        value: vec![1],
        position: at(revision),
    }
}

fn freshness(confirmed_ms: u64, is_from_store: bool) -> Freshness {
    Freshness {
        confirmed_ms,
        max_relayed_age_ms: is_from_store.then_some(2_000),
        is_complete: true,
        is_reported_complete: true,
    }
}

fn listed(is_from_store: bool) -> Replica {
    let replica = Replica::default();
    let listing = Listing {
        items: vec![item("a/1", 5), item("a/2", 6)],
        at: at(10),
    };
    replica.record_listing(PREFIX, &listing, freshness(1_000, is_from_store));
    replica
}

fn changes(since: Option<ChangesSince>) -> Option<(Vec<u64>, u64)> {
    match since? {
        ChangesSince::Changes { changes, at } => Some((
            changes
                .iter()
                .map(|change| change.position().revision)
                .collect(),
            at.revision,
        )),
        ChangesSince::HistoryGone => None,
    }
}

#[test]
fn since_before_the_listing_is_history_gone() {
    assert_eq!(
        listed(true).since(PREFIX, at(9)),
        Some(ChangesSince::HistoryGone)
    );
    assert_eq!(listed(true).since("b/", at(9)), None);
}

#[test]
fn since_returns_newer_changes() {
    let replica = listed(true);
    replica.record_change(PREFIX, &Change::Put(item("a/1", 11)), true);
    let gone = Change::Deleted {
        key: "a/2".into(),
        position: at(12),
    };
    replica.record_change(PREFIX, &gone, true);
    replica.confirm(PREFIX, at(12), freshness(1_500, true));
    assert_eq!(
        changes(replica.since(PREFIX, at(10))),
        Some((vec![11, 12], 12))
    );
    assert_eq!(changes(replica.since(PREFIX, at(11))), Some((vec![12], 12)));
    let keys: Vec<String> = replica
        .listing(PREFIX)
        .expect("a listing")
        .items
        .into_iter()
        .map(|item| item.key)
        .collect();
    assert_eq!(keys, ["a/1"]);
}

/// A box that is ahead of this one must not be moved back to an earlier position.
#[test]
fn since_never_moves_back() {
    assert_eq!(
        changes(listed(true).since(PREFIX, at(20))),
        Some((vec![], 20))
    );
}

#[test]
fn note_change_not_passed_on_is_only_in_the_listing() {
    let replica = listed(true);
    replica.record_change(PREFIX, &Change::Put(item("a/1", 11)), false);
    replica.confirm(PREFIX, at(11), freshness(1_500, true));
    assert_eq!(changes(replica.since(PREFIX, at(10))), Some((vec![], 11)));
    assert_eq!(replica.item(PREFIX, "a/1"), Some(item("a/1", 11)));
}

#[test]
fn age_only_of_recent_answers_of_the_store() {
    assert_eq!(listed(true).age_ms(PREFIX, 1_200), Some(200));
    assert_eq!(listed(true).age_ms(PREFIX, 3_000), None);
    assert_eq!(listed(false).age_ms(PREFIX, 1_200), None);
}

#[test]
fn lose_ends_passing_on_until_the_store_answers() {
    let replica = listed(true);
    replica.mark_unconfirmed(PREFIX);
    assert_eq!(replica.age_ms(PREFIX, 1_200), None);
    replica.confirm(PREFIX, at(10), freshness(1_300, true));
    assert_eq!(replica.age_ms(PREFIX, 1_400), Some(100));
}

/// After a restore of the store, a box that requests changes since a position of an earlier era
/// must list again, and one that has seen a later era than this box gets no answer.
#[test]
fn since_of_another_era_compares_no_numbers() {
    let replica = listed(true);
    let before = Position::new(Era(0), 10);
    let after = Position::new(Era(2), 10);
    assert_eq!(
        replica.since(PREFIX, before),
        Some(ChangesSince::HistoryGone)
    );
    assert_eq!(replica.since(PREFIX, after), None);
}

#[test]
fn confirm_of_another_era_confirms_nothing() {
    let replica = listed(true);
    let next = Position::new(Era(2), 50);
    replica.confirm(PREFIX, next, freshness(9_000, true));
    assert_eq!(replica.confirmed_ms(PREFIX), Some(1_000));
    assert_eq!(replica.at(PREFIX), Some(at(10)));
}

/// While the restored store lacks known items, its answers do not prove that the copy is complete.
#[test]
fn complete_ms_stays_while_the_store_lacks_items() {
    let replica = listed(true);
    let lacking = Freshness {
        is_complete: false,
        ..freshness(4_000, true)
    };
    let listing = Listing {
        items: vec![item("a/1", 5)],
        at: Position::new(Era(2), 7),
    };
    replica.record_listing(PREFIX, &listing, lacking);
    assert_eq!(replica.confirmed_ms(PREFIX), Some(4_000));
    assert_eq!(replica.complete_ms(PREFIX), Some(1_000));
    assert!(!replica.is_complete(PREFIX));
    let next = Position::new(Era(2), 8);
    replica.confirm(PREFIX, next, freshness(5_000, true));
    assert_eq!(replica.complete_ms(PREFIX), Some(5_000));
}

/// Once the era of the store turns out to be settled, what was read in it counts as complete,
/// unless the box that it came from reported otherwise.
#[test]
fn note_complete_counts_from_the_last_confirmation() {
    let incomplete = Freshness {
        is_complete: false,
        ..freshness(4_000, true)
    };
    let listing = Listing {
        items: Vec::new(),
        at: at(7),
    };
    let replica = Replica::default();
    replica.record_listing(PREFIX, &listing, incomplete);
    assert_eq!(replica.complete_ms(PREFIX), None);
    replica.mark_complete(PREFIX);
    assert_eq!(replica.complete_ms(PREFIX), Some(4_000));
    let reported_incomplete = Freshness {
        is_reported_complete: false,
        ..incomplete
    };
    let replica = Replica::default();
    replica.record_listing(PREFIX, &listing, reported_incomplete);
    replica.mark_complete(PREFIX);
    assert_eq!(replica.complete_ms(PREFIX), None);
}

/// Guards against boxes that pass their memory as they keep the last 4,000 changes whatever their
/// size.
#[test]
fn since_keeps_few_of_large_changes() {
    let replica = listed(true);
    for revision in 11..=60 {
        let large = Item {
            value: vec![0; 1_000_000],
            ..item("a/1", revision)
        };
        replica.record_change(PREFIX, &Change::Put(large), true);
    }
    replica.confirm(PREFIX, at(60), freshness(1_100, true));
    let begins = (10..60).find(|revision| changes(replica.since(PREFIX, at(*revision))).is_some());
    assert_eq!(begins, Some(56), "4 changes fit into 4 MB");
}

/// A change larger than all that is kept reaches the boxes that have applied those before it.
#[test]
fn since_keeps_the_newest_change_whatever_its_size() {
    let replica = listed(true);
    let large = Item {
        value: vec![0; 10_000_000],
        ..item("a/1", 11)
    };
    replica.record_change(PREFIX, &Change::Put(large), true);
    replica.confirm(PREFIX, at(11), freshness(1_100, true));
    assert_eq!(changes(replica.since(PREFIX, at(10))), Some((vec![11], 11)));
}
