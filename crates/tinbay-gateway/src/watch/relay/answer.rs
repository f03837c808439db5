//! Answers the relay requests of other boxes from the local copy of the store.

use std::time::Duration;

use tinbay_core::serving::position::{Era, Position};
use tinbay_core::units::Millis;

use super::message::{ChangePart, RelayAnswer, RelayRequest};
use crate::node::Node;
use crate::port::store::Item;
use crate::watch::replica::ChangesSince;

/// Upper bound of the wait that a request may ask for.
const MAX_WAIT_MS: Millis = 10_000;

/// Answers a request of another box; a watch waits for a change or the end of its wait.
pub async fn answer(node: &Node, body: &[u8]) -> Vec<u8> {
    let answer = match postcard::from_bytes::<RelayRequest>(body) {
        Ok(RelayRequest::List { prefix }) => list(node, &prefix),
        Ok(RelayRequest::Watch {
            prefix,
            after,
            wait_ms,
        }) => watch(node, &prefix, after, wait_ms.min(MAX_WAIT_MS)).await,
        Ok(RelayRequest::Kept { prefix, era }) => kept(node, &prefix, era),
        Err(_) => RelayAnswer::NotInTouch,
    };
    postcard::to_stdvec(&answer).unwrap_or_default()
}

fn list(node: &Node, prefix: &str) -> RelayAnswer {
    let age_ms = node.replica.age_ms(prefix, node.now_ms());
    match (age_ms, node.replica.listing(prefix)) {
        (Some(age_ms), Some(listing)) => RelayAnswer::Parts {
            parts: with_kept(node, prefix, listing.items)
                .iter()
                .map(ChangePart::of_item)
                .collect(),
            at: listing.at,
            age_ms,
            held_ms: 0,
            is_complete: node.replica.is_complete(prefix),
        },
        _ => RelayAnswer::NotInTouch,
    }
}

/// Replaces or adds the items that this box keeps because the store, restored from a backup, lacks
/// them.
fn with_kept(node: &Node, prefix: &str, mut items: Vec<Item>) -> Vec<Item> {
    let kept = node.kept_items.borrow();
    for item in kept.values().filter(|item| item.key.starts_with(prefix)) {
        items.retain(|stored| stored.key != item.key);
        items.push(item.clone());
    }
    items
}

/// Answers a starting box with the items that a restored store may lack: all items that this box
/// knows, unless its copy is of that era and complete.
fn kept(node: &Node, prefix: &str, era: Era) -> RelayAnswer {
    let Some(listing) = node.replica.listing(prefix) else {
        return RelayAnswer::NotInTouch;
    };
    if listing.at.era == era && node.replica.is_complete(prefix) {
        return RelayAnswer::NothingKept;
    }
    let items = with_kept(node, prefix, listing.items);
    RelayAnswer::Parts {
        parts: items.iter().map(ChangePart::of_item).collect(),
        at: listing.at,
        age_ms: 0,
        held_ms: 0,
        is_complete: false,
    }
}

async fn watch(node: &Node, prefix: &str, after: Position, wait_ms: Millis) -> RelayAnswer {
    let received_ms = node.now_ms();
    let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = node.replica.changed.notified();
        let now_ms = node.now_ms();
        let Some(age_ms) = node.replica.age_ms(prefix, now_ms) else {
            return RelayAnswer::NotInTouch;
        };
        match node.replica.since(prefix, after) {
            None => return RelayAnswer::NotInTouch,
            Some(ChangesSince::HistoryGone) => return RelayAnswer::HistoryGone,
            Some(ChangesSince::Changes { changes, at }) => {
                let is_over = tokio::time::Instant::now() >= end || node.is_leaving.get();
                if is_over || !changes.is_empty() {
                    return RelayAnswer::Parts {
                        parts: changes.iter().map(ChangePart::of_change).collect(),
                        at,
                        age_ms,
                        held_ms: now_ms - received_ms,
                        is_complete: node.replica.is_complete(prefix),
                    };
                }
            }
        }
        let _ = tokio::time::timeout_at(end, changed).await;
    }
}
