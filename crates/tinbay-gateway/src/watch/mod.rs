//! Keeps beliefs in step with the store: a listing first, then changes as they come.

pub mod access;
pub mod boxes;
pub mod configuration;
pub mod newcomer;
pub mod relay;
pub mod replica;
pub mod returns;
pub mod servers;
pub mod source;

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::units::Millis;

use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Item, Listing, StoreError};

/// First pause after a failed call.
const FIRST_PAUSE_MS: Millis = 100;

/// Longest pause after failed calls; within it a store that is back is seen again.
const LONGEST_PAUSE_MS: Millis = 800;

/// Pause before the first watch of a box that knows no other one. When all start for the first
/// time, none is entered in the store yet, and each would follow the store by itself until then:
/// 195 boxes made 900 calls in their first four seconds.
const ALONE_PAUSE_MS: Millis = 600;

/// Time by which each box more lengthens the one over which boxes read all again after a return.
const LISTING_SPREAD_A_BOX_MS: Millis = 1;

/// Longest such time: a configuration is to be in force 5 s after it is written again.
const MOST_LISTING_SPREAD_MS: Millis = 2_000;

/// Pause after changes that another box passed on, so that several go together.
const RELAY_GAP_MS: Millis = 40;

/// Takes what the store says below one prefix.
pub trait Follower {
    /// The prefix.
    fn prefix(&self) -> &str;

    /// Takes all there is; what is not in it is gone.
    fn reset(&self, listing: &Listing);

    /// Takes one change.
    fn apply(&self, change: &Change);

    /// Whether what it has taken is all that was ever written: not while the store, come back from a
    /// backup, lacks what this box knew before.
    fn is_complete(&self) -> bool {
        true
    }

    /// Whether a new value of a key is to be passed on to other boxes.
    fn is_passed_on(&self, _before: &Item, _after: &Item) -> bool {
        true
    }
}

/// How often the store is asked.
#[derive(Debug, Clone, Copy)]
pub struct WatchPace {
    /// How long one call waits for changes.
    pub wait_ms: Millis,
    /// Pause between calls, so that many changes cost one call.
    pub gap_ms: Millis,
    /// Whether the first listing may be some seconds old: it costs a tenth of a call, and the
    /// watch that goes on from it brings what has changed since.
    pub begins_stale: bool,
    /// Whether a box that should ask others reads the store for this prefix in turns of its own:
    /// a change of the configuration can't wait for those of the other prefixes.
    pub has_own_turns: bool,
}

#[derive(Serialize)]
struct StoreEvent<'a> {
    prefix: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    items: Option<usize>,
}

/// Follows one prefix for ever.
pub async fn follow(node: Rc<Node>, follower: Rc<dyn Follower>, pace: WatchPace) {
    let mut pause_ms = FIRST_PAUSE_MS;
    let mut is_lost = false;
    loop {
        let error = match follow_once(&node, &*follower, pace, &mut is_lost, &mut pause_ms).await {
            Ok(()) => continue,
            Err(error) => error,
        };
        node.replica.lose(follower.prefix());
        if !is_lost {
            is_lost = true;
            let event = StoreEvent {
                prefix: follower.prefix(),
                error: Some(error.to_string()),
                revision: None,
                era: None,
                items: None,
            };
            events::emit(part::STORE, Level::Warn, "store_lost", &event);
        }
        sleep_with_jitter(pause_ms).await;
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

async fn follow_once(
    node: &Node,
    follower: &dyn Follower,
    pace: WatchPace,
    is_lost: &mut bool,
    pause_ms: &mut Millis,
) -> Result<(), StoreError> {
    let prefix = follower.prefix();
    let (listing, evidence) = source::list(node, prefix, pace).await?;
    node.sync_era();
    follower.reset(&listing);
    let evidence = evidence.of(follower);
    node.replica.note_listing(prefix, &listing, evidence);
    let event = StoreEvent {
        prefix,
        error: None,
        revision: Some(listing.at.revision),
        era: node.store.era().map(|era| era.0),
        items: Some(listing.items.len()),
    };
    events::emit(part::STORE, Level::Info, "store_listed", &event);
    *is_lost = false;
    *pause_ms = FIRST_PAUSE_MS;
    if node.members.borrow().is_empty() {
        sleep_with_jitter(ALONE_PAUSE_MS).await;
    }
    let mut at = listing.at;
    let mut failures = 0;
    loop {
        match source::watch(node, prefix, at, pace).await {
            Ok((changes, evidence)) => {
                failures = 0;
                // Positions of another era are no changes since this one: all is read again.
                let Some(later) = at.later_of(changes.at) else {
                    spread_listings(node).await;
                    return Ok(());
                };
                at = later;
                for change in &changes.changes {
                    take(node, follower, change);
                }
                let evidence = evidence.of(follower);
                node.replica.confirm(prefix, at, evidence);
                node.members.borrow_mut().note_contact(node.now_ms());
                if !changes.changes.is_empty() {
                    let gap_ms = if evidence.passed_on_ms.is_some() {
                        pace.gap_ms
                    } else {
                        RELAY_GAP_MS
                    };
                    sleep_with_jitter(gap_ms).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                spread_listings(node).await;
                return Ok(());
            }
            Err(error) if failures >= 1 => return Err(error),
            Err(error) => {
                failures += 1;
                node.replica.lose(prefix);
                // One that was not answered took its time already, and what it would have brought
                // may be known to another box.
                if error != StoreError::NoAnswer {
                    sleep_with_jitter(FIRST_PAUSE_MS).await;
                }
            }
        }
    }
}

/// After a return all boxes read all again: those that others ask go first, and these have it then.
async fn spread_listings(node: &Node) {
    if !node.store.is_being_rewritten() || relay::relays(node).is_one {
        return;
    }
    let boxes = node.box_count.get() as Millis;
    let spread_ms = (LISTING_SPREAD_A_BOX_MS * boxes).min(MOST_LISTING_SPREAD_MS);
    let pause_ms = rand::rng().random_range(0..=spread_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn take(node: &Node, follower: &dyn Follower, change: &Change) {
    let prefix = follower.prefix();
    let is_passed_on = match change {
        Change::Put(item) => node
            .replica
            .item(prefix, &item.key)
            .is_none_or(|before| follower.is_passed_on(&before, item)),
        Change::Gone { .. } => true,
    };
    node.replica.note_change(prefix, change, is_passed_on);
    follower.apply(change);
}

/// Counts a store call by its end.
pub fn counted<T>(node: &Node, call: &str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let outcome = match &result {
        Ok(_) => "ok",
        Err(StoreError::NoAnswer) => "no_answer",
        Err(StoreError::NotAsked) => "not_asked",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::LeaseOver) => "lease_over",
        Err(StoreError::EraOver) => "era_over",
        Err(StoreError::LateAnswer { .. }) => "late_answer",
        Err(StoreError::Malformed { .. }) => "malformed",
    };
    node.metrics
        .store_calls
        .with_label_values(&[call, outcome])
        .inc();
    result
}

/// Sleeps for the pause, give or take a quarter, so that boxes do not move in step.
pub async fn sleep_with_jitter(pause_ms: Millis) {
    if pause_ms == 0 {
        return;
    }
    let factor = rand::rng().random_range(0.75..1.25);
    tokio::time::sleep(Duration::from_millis(pause_ms).mul_f64(factor)).await;
}
