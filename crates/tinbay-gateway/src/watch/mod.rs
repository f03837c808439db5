//! Keeps the state of this box in sync with the store: lists each prefix, then watches for changes.

pub mod access;
pub mod boxes;
pub mod configuration;
pub mod newcomer;
pub mod relay;
pub mod replica;
pub mod returns;
pub mod servers;
pub mod snapshot;
pub mod source;

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;

use self::replica::Freshness;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Item, Listing, StoreError};

/// Pause after the first failed call; it doubles with each further failure.
const FIRST_RETRY_PAUSE_MS: Millis = 100;

/// Upper bound of the pause after failed calls, and so of the time to notice that the store answers
/// again.
const MAX_RETRY_PAUSE_MS: Millis = 800;

/// Pause before the first watch of a box that knows no other box. When all boxes of a fleet start
/// for the first time, none has an entry in the store yet: no box could find a relay, and each
/// would watch the store itself.
const NO_OTHER_BOX_PAUSE_MS: Millis = 600;

/// Time per box of the fleet over which listings are spread after a restore of the store.
const LISTING_SPREAD_PER_BOX_MS: Millis = 1;

/// Upper bound of the time over which listings are spread: a configuration must be in force within
/// 5 s after it is written again.
const MAX_LISTING_SPREAD_MS: Millis = 2_000;

/// Pause after a relay has returned changes, so that the next call returns several at once.
const RELAY_WATCH_GAP_MS: Millis = 40;

/// Applies what the store holds under one prefix.
pub trait Follower {
    /// The key prefix to list and watch.
    fn prefix(&self) -> &str;

    /// Applies a full listing; entries that are not in it no longer exist.
    fn reset(&self, listing: &Listing);

    /// Applies one watched change.
    fn apply(&self, change: &Change);

    /// Whether the applied content includes everything that was ever written. False while the
    /// store, restored from a backup, lacks items that were written before.
    fn is_complete(&self) -> bool {
        true
    }

    /// Whether a new value of a key is sent to boxes that watch this one as a relay.
    fn is_relayed(&self, _before: &Item, _after: &Item) -> bool {
        true
    }
}

/// How a prefix is followed: timing of its watches, its first listing, and its rate limit for reads
/// of the store.
#[derive(Debug, Clone, Copy)]
pub struct WatchPace {
    /// How long one call waits for changes.
    pub wait_ms: Millis,
    /// Pause between calls, so that many changes cost one call.
    pub gap_ms: Millis,
    /// Whether the first listing may be some seconds old: that costs the store a tenth of a current
    /// one, and the watch that continues from it returns all later changes.
    pub allows_stale_start: bool,
    /// Whether the prefix has its own limiter for reads of the store by a box that normally asks
    /// relays: a change of the configuration can't wait behind the other prefixes.
    pub has_own_read_limiter: bool,
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

/// Lists and watches one prefix until the task is dropped; retries with growing pauses.
pub async fn follow(node: Rc<Node>, follower: Rc<dyn Follower>, pace: WatchPace) {
    let mut pause_ms = FIRST_RETRY_PAUSE_MS;
    let mut is_lost = false;
    loop {
        let error = match follow_once(&node, &*follower, pace, &mut is_lost, &mut pause_ms).await {
            Ok(()) => continue,
            Err(error) => error,
        };
        node.replica.mark_unconfirmed(follower.prefix());
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
        pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
    }
}

/// Lists the prefix and watches it until a new listing is needed.
async fn follow_once(
    node: &Node,
    follower: &dyn Follower,
    pace: WatchPace,
    is_lost: &mut bool,
    pause_ms: &mut Millis,
) -> Result<(), StoreError> {
    let at = list_prefix(node, follower, pace).await?;
    *is_lost = false;
    *pause_ms = FIRST_RETRY_PAUSE_MS;
    if node.members.borrow().is_empty() {
        sleep_with_jitter(NO_OTHER_BOX_PAUSE_MS).await;
    }
    watch_prefix(node, follower, pace, at).await?;
    delay_listing(node).await;
    Ok(())
}

/// Applies a listing of the prefix and returns its position.
async fn list_prefix(
    node: &Node,
    follower: &dyn Follower,
    pace: WatchPace,
) -> Result<Position, StoreError> {
    let prefix = follower.prefix();
    let (listing, freshness) = source::list(node, prefix, pace).await?;
    node.sync_era();
    follower.reset(&listing);
    let freshness = freshness.checked_by(follower);
    node.replica.record_listing(prefix, &listing, freshness);
    let event = StoreEvent {
        prefix,
        error: None,
        revision: Some(listing.at.revision),
        era: node.store.era().map(|era| era.0),
        items: Some(listing.items.len()),
    };
    events::emit(part::STORE, Level::Info, "store_listed", &event);
    Ok(listing.at)
}

/// Applies all changes after a position, until these are no longer to be had one by one and the
/// prefix has to be listed again.
async fn watch_prefix(
    node: &Node,
    follower: &dyn Follower,
    pace: WatchPace,
    mut at: Position,
) -> Result<(), StoreError> {
    let mut failures = 0;
    loop {
        match source::watch(node, follower.prefix(), at, pace).await {
            Ok((changes, freshness)) => {
                failures = 0;
                // Positions of different eras can't be compared: list everything again.
                let Some(later) = at.later_of(changes.at) else {
                    return Ok(());
                };
                at = later;
                apply_changes(node, follower, &changes.changes, at, freshness);
                if !changes.changes.is_empty() {
                    let gap_ms = if freshness.max_relayed_age_ms.is_some() {
                        pace.gap_ms
                    } else {
                        RELAY_WATCH_GAP_MS
                    };
                    sleep_with_jitter(gap_ms).await;
                }
            }
            // Changes that don't fit into one answer are read as a listing, too.
            Err(StoreError::HistoryGone | StoreError::TooLong { .. }) => return Ok(()),
            Err(error) if failures >= 1 => return Err(error),
            Err(error) => {
                failures += 1;
                node.replica.mark_unconfirmed(follower.prefix());
                // A call without answer has already waited for its timeout. The retry is sent at
                // once, as another relay may have the changes by now.
                if error != StoreError::NoAnswer {
                    sleep_with_jitter(FIRST_RETRY_PAUSE_MS).await;
                }
            }
        }
    }
}

/// Applies all changes up to a position.
fn apply_changes(
    node: &Node,
    follower: &dyn Follower,
    changes: &[Change],
    at: Position,
    freshness: Freshness,
) {
    for change in changes {
        apply_change(node, follower, change);
    }
    let freshness = freshness.checked_by(follower);
    node.replica.confirm(follower.prefix(), at, freshness);
    node.members.borrow_mut().record_contact(node.now_ms());
}

/// Delays the listing that each box makes after a restore of the store. Relays list without delay,
/// so that they can answer the other boxes.
async fn delay_listing(node: &Node) {
    if !node.store.is_being_rewritten() || relay::relays(node).includes_self {
        return;
    }
    let boxes = node.box_count.get().unwrap_or(1) as Millis;
    let spread_ms = (LISTING_SPREAD_PER_BOX_MS * boxes).min(MAX_LISTING_SPREAD_MS);
    let pause_ms = rand::rng().random_range(0..=spread_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn apply_change(node: &Node, follower: &dyn Follower, change: &Change) {
    let prefix = follower.prefix();
    let is_relayed = match change {
        Change::Put(item) => node
            .replica
            .item(prefix, &item.key)
            .is_none_or(|before| follower.is_relayed(&before, item)),
        Change::Deleted { .. } => true,
    };
    node.replica.record_change(prefix, change, is_relayed);
    follower.apply(change);
}

/// Counts a store call by its outcome, and the items that could not be read.
pub fn counted<T>(node: &Node, call: &str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let outcome = match &result {
        Ok(_) => "ok",
        Err(StoreError::NoAnswer) => "no_answer",
        Err(StoreError::NotAsked) => "not_asked",
        Err(StoreError::InvalidCall { .. }) => "invalid_call",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::LeaseExpired) => "lease_over",
        Err(StoreError::EraChanged) => "era_over",
        Err(StoreError::LateAnswer { .. }) => "late_answer",
        Err(StoreError::TooLong { .. }) => "too_long",
        Err(StoreError::Malformed { .. }) => "malformed",
    };
    node.metrics
        .store_calls
        .with_label_values(&[call, outcome])
        .inc();
    let unreadable = node.store.take_unreadable() as u64;
    if unreadable > 0 {
        let labels = ["store_item"];
        let metric = node.metrics.unreadable.with_label_values(&labels);
        metric.inc_by(unreadable);
    }
    result
}

/// Sleeps for the pause with a jitter of 25 % either way, so that boxes do not call in lockstep.
pub async fn sleep_with_jitter(pause_ms: Millis) {
    if pause_ms == 0 {
        return;
    }
    let factor = rand::rng().random_range(0.75..1.25);
    tokio::time::sleep(Duration::from_millis(pause_ms).mul_f64(factor)).await;
}
