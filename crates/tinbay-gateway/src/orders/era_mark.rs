//! Marker in the store which says that all membership proofs from earlier eras have expired. The
//! current era is then called settled.
//!
//! An era ends when the store is restored from a backup. A starting box can't know when that
//! happened. Without the marker it would wait for the lifetime of a proof at each start before it
//! claims a server that no box holds.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tinbay_core::serving::position::{Era, Position};

use crate::node::Node;
use crate::port::store::{Item, Transaction};
use crate::watch::boxes::PREFIX as BOXES_PREFIX;
use crate::watch::counted;

/// Key of the marker in the store.
pub const KEY: &str = "tinbay/settled";

/// Value of the marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    /// The settled era.
    era: Era,
}

/// Applies the marker read from the store; an unreadable one is ignored.
pub fn apply(node: &Node, item: &Item) {
    if let Ok(mark) = serde_json::from_slice::<Mark>(&item.value) {
        node.claims.borrow_mut().record_settled(mark.era);
        mark_replica_complete(node);
    }
}

/// Marks the replica as complete once the era is settled, as nothing from an earlier era can be
/// missing then. Without this a starting box would refuse all keys until its next read of the
/// configuration, which can take 2 s.
fn mark_replica_complete(node: &Node) {
    if node.unsettled_era().is_none() && node.kept_items.borrow().is_empty() {
        node.replica.mark_complete(&node.dialect.keys().operator);
    }
}

/// Writes the marker if it is missing and the era is settled. That is the case once this box has
/// waited for the lifetime of a proof, and in the first era of a new installation.
pub async fn write_if_due(node: &Node) {
    node.sync_era();
    let Some(era) = node.store.era() else {
        return;
    };
    let is_settled = {
        let claims = node.claims.borrow();
        claims.is_settled(&node.claim_terms(), node.now_ms())
    };
    if !is_settled || stored_mark(node) == Some(era) || !is_chosen_to_write(node) {
        return;
    }
    let mark = Mark { era };
    let transaction = Transaction {
        expected: vec![(KEY.to_string(), position(node, era))],
        put: vec![(
            KEY.to_string(),
            serde_json::to_vec(&mark).unwrap_or_default(),
            None,
        )],
        ..Transaction::default()
    };
    // Another box may have written it first; a failed write is retried at the next check.
    let _ = counted(node, "commit", node.store.commit(&transaction).await);
}

/// Selects this box at random, so that one box per check interval tries to write on average.
fn is_chosen_to_write(node: &Node) -> bool {
    let boxes = node.box_count.get();
    boxes.is_some_and(|boxes| rand::rng().random_range(0..boxes) == 0)
}

fn stored_mark(node: &Node) -> Option<Era> {
    let item = node.replica.item(BOXES_PREFIX, KEY)?;
    let mark = serde_json::from_slice::<Mark>(&item.value).ok()?;
    Some(mark.era)
}

fn position(node: &Node, era: Era) -> Position {
    let item = node.replica.item(BOXES_PREFIX, KEY);
    item.map_or(Position::missing(era), |item| item.position)
}
