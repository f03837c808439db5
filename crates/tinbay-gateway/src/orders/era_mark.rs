//! The mark in the store that all proofs of former eras are over.
//!
//! A box that starts can't know when the store came back from a backup. Without the mark it would wait
//! at each start for as long as a proof lasts before it takes a server that nobody holds.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tinbay_core::serving::position::{Era, Position};

use crate::node::Node;
use crate::port::store::{Item, Transaction};
use crate::watch::boxes::PREFIX as BOXES_PREFIX;
use crate::watch::counted;

/// Key of the mark.
pub const KEY: &str = "tinbay/settled";

/// What the mark says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    /// The era in which no proof of a former one is left.
    era: Era,
}

/// Takes the mark as the store shows it; one that can't be read says nothing.
pub fn take(node: &Node, item: &Item) {
    if let Ok(mark) = serde_json::from_slice::<Mark>(&item.value) {
        node.claims.borrow_mut().note_settled(mark.era);
        note_complete(node);
    }
}

/// What was read in this era is all there is once that is known to have lasted for long. Without this a
/// box that starts would refuse all keys until its next read of the configuration, up to 2 s.
fn note_complete(node: &Node) {
    if node.unsettled_era().is_none() && node.kept_items.borrow().is_empty() {
        node.replica.note_complete(&node.dialect.keys().operator);
    }
}

/// Writes the mark where it is missing and all proofs of former eras are over: so it is once this box
/// has waited for that, and in the first era of a system that starts for the first time.
pub async fn write_if_due(node: &Node) {
    node.sync_era();
    let Some(era) = node.store.era() else {
        return;
    };
    let is_settled = {
        let claims = node.claims.borrow();
        claims.is_settled(&node.claim_terms(), node.now_ms())
    };
    if !is_settled || stored_mark(node) == Some(era) || !takes_turn(node) {
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
    // Another box may have written it, and each look tries again.
    let _ = counted(node, "commit", node.store.commit(&transaction).await);
}

/// One box in the mean tries at each look.
fn takes_turn(node: &Node) -> bool {
    rand::rng().random_range(0..node.box_count.get().max(1)) == 0
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
