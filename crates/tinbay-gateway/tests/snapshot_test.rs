//! Listings that are put together from pages of different ages.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_gateway::port::store::{Change, Changes, Item, Listing, Pages, StoreError};
use tinbay_gateway::watch::snapshot::Snapshot;

/// Keys of the histories; few, so that most are written, deleted and written again.
const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

const TESTS: u64 = 2_000;

fn at(revision: Revision) -> Position {
    Position::new(Era(1), revision)
}

fn put(key: &str, revision: Revision) -> Change {
    Change::Put(Item {
        key: key.into(),
        value: revision.to_be_bytes().to_vec(),
        position: at(revision),
    })
}

fn deleted(key: &str, revision: Revision) -> Change {
    Change::Deleted {
        key: key.into(),
        position: at(revision),
    }
}

fn item(key: &str, revision: Revision) -> Item {
    match put(key, revision) {
        Change::Put(item) => item,
        Change::Deleted { .. } => unreachable!("the change is a put"),
    }
}

fn pages(items: &[(&str, Revision)], oldest: Revision, newest: Revision) -> Pages {
    let items = items.iter().map(|(key, revision)| item(key, *revision));
    Pages {
        items: items.collect(),
        oldest_at: at(oldest),
        newest_at: at(newest),
    }
}

fn changes(changes: &[Change], until: Revision) -> Changes {
    Changes {
        changes: changes.to_vec(),
        at: at(until),
    }
}

fn revisions(listing: &Listing) -> Vec<(&str, Revision)> {
    let items = listing.items.iter();
    items
        .map(|item| (item.key.as_str(), item.position.revision))
        .collect()
}

#[test]
fn listing_of_pages_that_agree_needs_no_changes() {
    let listing = Snapshot::new(pages(&[("a", 3)], 7, 7)).into_listing();
    let listing = listing.expect("the pages agree");
    assert_eq!((revisions(&listing), listing.at), (vec![("a", 3)], at(7)));
}

/// Guards against a box that takes a claim from an old page for its own.
#[test]
fn listing_of_an_old_page_gets_the_changes_that_it_lacks() {
    let snapshot = Snapshot::new(pages(&[("a", 8), ("claim", 2)], 3, 9));
    let mut snapshot = snapshot.into_listing().expect_err("a page is older");
    assert_eq!(snapshot.at(), at(3));
    let missed = [put("claim", 5), put("a", 8)];
    snapshot.apply(&changes(&missed, 9)).expect("they lead on");
    let listing = snapshot.into_listing().expect("all changes are applied");
    assert_eq!(revisions(&listing), [("a", 8), ("claim", 5)]);
    assert_eq!(listing.at, at(9));
}

#[test]
fn listing_is_withheld_until_the_newest_page_is_reached() {
    let mut snapshot = Snapshot::new(pages(&[("a", 8)], 3, 9));
    snapshot
        .apply(&changes(&[put("a", 4)], 4))
        .expect("it leads on");
    let mut snapshot = snapshot.into_listing().expect_err("revisions 5 to 9 lack");
    snapshot
        .apply(&changes(&[deleted("a", 6), put("a", 8)], 12))
        .expect("it leads on");
    let listing = snapshot.into_listing().expect("all changes are applied");
    assert_eq!((revisions(&listing), listing.at), (vec![("a", 8)], at(12)));
}

/// The store names no revision beyond the last change that it returned.
#[test]
fn listing_is_complete_after_an_answer_without_changes() {
    let mut snapshot = Snapshot::new(pages(&[("a", 2)], 3, 9));
    snapshot.apply(&changes(&[], 3)).expect("nothing changed");
    let listing = snapshot.into_listing().expect("nothing is missing");
    assert_eq!(listing.at, at(9));
}

#[test]
fn changes_that_do_not_lead_on_are_malformed() {
    let mut snapshot = Snapshot::new(pages(&[("a", 2)], 3, 9));
    let error = snapshot.apply(&changes(&[put("a", 2)], 3));
    let Err(StoreError::Malformed { reason }) = error else {
        panic!("{error:?}");
    };
    assert_eq!(reason, "the changes after revision 3 end at revision 3");
}

#[test]
fn changes_of_another_era_are_rejected() {
    let mut snapshot = Snapshot::new(pages(&[("a", 2)], 3, 9));
    let restored = Changes {
        changes: Vec::new(),
        at: Position::new(Era(2), 9),
    };
    assert_eq!(snapshot.apply(&restored), Err(StoreError::EraChanged));
}

/// A history of changes, the ages of its pages, and how many changes each watch returns.
#[derive(Debug, Clone)]
struct History {
    /// Key and whether it is written; the position in the list is the revision less one.
    changes: Vec<(usize, bool)>,
    keys_per_page: usize,
    page_revisions: Vec<Revision>,
    changes_per_watch: usize,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 30;
        let changes = (0..count).map(|_| (usize::arbitrary(g) % KEYS.len(), bool::arbitrary(g)));
        Self {
            changes: changes.collect(),
            keys_per_page: 1 + usize::arbitrary(g) % KEYS.len(),
            page_revisions: (0..KEYS.len())
                .map(|_| u64::arbitrary(g) % (count as u64 + 1))
                .collect(),
            changes_per_watch: 1 + usize::arbitrary(g) % 8,
        }
    }
}

impl History {
    fn change(&self, revision: Revision) -> Change {
        let (key, is_put) = self.changes[revision as usize - 1];
        match is_put {
            true => put(KEYS[key], revision),
            false => deleted(KEYS[key], revision),
        }
    }

    /// State of all keys as of a revision.
    fn state(&self, revision: Revision) -> BTreeMap<String, Item> {
        let mut state = BTreeMap::new();
        for change in (1..=revision).map(|revision| self.change(revision)) {
            match change {
                Change::Put(item) => state.insert(item.key.clone(), item),
                Change::Deleted { key, .. } => state.remove(&key),
            };
        }
        state
    }

    fn pages(&self) -> Pages {
        let shown = KEYS.chunks(self.keys_per_page).zip(&self.page_revisions);
        let used: Vec<Revision> = shown.clone().map(|(_, revision)| *revision).collect();
        let items = shown.flat_map(|(keys, revision)| {
            let state = self.state(*revision);
            let items = keys.iter().filter_map(move |key| state.get(*key).cloned());
            items.collect::<Vec<Item>>()
        });
        Pages {
            items: items.collect(),
            oldest_at: at(used.iter().copied().min().unwrap_or_default()),
            newest_at: at(used.iter().copied().max().unwrap_or_default()),
        }
    }

    fn watch(&self, after: Position) -> Changes {
        let head = self.changes.len() as Revision;
        let until = head.min(after.revision + self.changes_per_watch as Revision);
        let later = (after.revision + 1..=until).map(|revision| self.change(revision));
        Changes {
            changes: later.collect(),
            at: at(until),
        }
    }
}

/// Guards against listings that show a state which the store never had, whatever the ages of their
/// pages and however many changes one watch returns.
#[test]
fn listing_of_pages_of_any_age_is_a_state_of_the_store() {
    fn is_a_state(history: History) -> bool {
        let mut snapshot = Snapshot::new(history.pages());
        loop {
            snapshot = match snapshot.into_listing() {
                Ok(listing) => {
                    let state = history.state(listing.at.revision);
                    return listing.items == state.into_values().collect::<Vec<Item>>();
                }
                Err(snapshot) => snapshot,
            };
            let changes = history.watch(snapshot.at());
            snapshot.apply(&changes).expect("the changes lead on");
        }
    }
    QuickCheck::new()
        .tests(TESTS)
        .quickcheck(is_a_state as fn(History) -> bool);
}
