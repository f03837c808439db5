//! Handles a restore of the store from a backup: starts writing again what this box had written,
//! and logs a summary.
//!
//! The followers list their prefixes again by themselves, as positions of the earlier era are no
//! longer valid.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::units::Millis;

use super::access::StoreRestore;
use super::boxes::PREFIX as BOXES_PREFIX;
use super::relay;
use crate::crashes;
use crate::events::{self, part};
use crate::node::Node;

/// Shortest time over which the boxes write their entries again.
const MIN_REWRITE_SPREAD_MS: Millis = 200;

/// Extra time per box of the fleet: 2,200 boxes with two calls each then spread over 2,400 ms,
/// which is about 1,800 calls per second.
const REWRITE_SPREAD_PER_BOX_MS: Millis = 1;

#[derive(Serialize)]
struct RestoreEvent {
    era_before: u64,
    era: u64,
    /// Revision up to which this box had applied the entries of boxes; 0 if it was of another era.
    revision_before: u64,
    boxes_known: usize,
    servers_known: usize,
    /// Servers whose claims this box writes again.
    claims_to_renew: usize,
    /// Quarantined requests whose entries this box writes again.
    refused_to_write: usize,
}

/// Handles restores of the store until the box stops.
pub async fn run(node: Rc<Node>) {
    loop {
        node.store.restored.notified().await;
        while let Some(restore) = node.store.next_restore() {
            handle_restore(&node, restore).await;
        }
    }
}

async fn handle_restore(node: &Node, restore: StoreRestore) {
    node.sync_era();
    // All boxes know the same quarantined requests, so only relays write them: otherwise all boxes
    // of the fleet would save the same entries.
    let writes_refused = relay::relays(node).includes_self;
    let refused_to_write = if writes_refused {
        crashes::save_again(node)
    } else {
        0
    };
    node.metrics.store_restores.inc();
    let own_id = node.settings.borrow().box_id.clone();
    let now_ms = node.now_ms();
    let at = node.replica.at(BOXES_PREFIX).unwrap_or_default();
    let event = RestoreEvent {
        era_before: restore.from.0,
        era: restore.to.0,
        revision_before: if at.era == restore.from {
            at.revision
        } else {
            0
        },
        boxes_known: node.members.borrow().all().count(),
        servers_known: node.servers.borrow().len(),
        claims_to_renew: node.claims.borrow().to_be_renewed(&own_id, now_ms),
        refused_to_write,
    };
    events::emit(part::STORE, Level::Warn, "store_returned", &event);
    let boxes = node.box_count.get().unwrap_or(1) as Millis;
    let spread_ms = MIN_REWRITE_SPREAD_MS + REWRITE_SPREAD_PER_BOX_MS * boxes;
    let pause_ms = rand::rng().random_range(0..spread_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    node.entry_due.notify_one();
}
