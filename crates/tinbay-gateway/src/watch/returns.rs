//! What a box does when the store has come back from a backup.
//!
//! Whoever reads the store reads it anew by itself, as positions of the era before are of no use.
//! Here is what this box had written there and has to write again, and one line on all of it.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::units::Millis;

use super::access::Return;
use super::boxes::PREFIX as BOXES_PREFIX;
use super::relay;
use crate::crashes;
use crate::events::{self, part};
use crate::node::Node;

/// Least time over which boxes write their entries again.
const SPREAD_MS: Millis = 200;

/// Time by which each box more lengthens that: 2,200 boxes make two calls each, 2,400 ms for all of
/// them are 1,800 calls a second.
const SPREAD_A_BOX_MS: Millis = 1;

#[derive(Serialize)]
struct ReturnEvent {
    era_before: u64,
    era: u64,
    /// Revision up to which this box had seen what boxes write.
    revision_before: u64,
    boxes_known: usize,
    servers_known: usize,
    /// Servers whose claims this box writes again.
    claims_to_renew: usize,
    /// Refused requests whose entries it writes again.
    refused_to_write: usize,
}

/// Deals with returns until the box stops.
pub async fn run(node: Rc<Node>) {
    loop {
        node.store.returned.notified().await;
        while let Some(seen) = node.store.take_return() {
            handle(&node, seen).await;
        }
    }
}

async fn handle(node: &Node, seen: Return) {
    node.sync_era();
    // All boxes know the same ones: with 2,200 of them each entry would be asked for as often.
    let writes_refused = relay::relays(node).is_one;
    let refused_to_write = if writes_refused {
        crashes::save_again(node)
    } else {
        0
    };
    node.metrics.store_returns.inc();
    let own_id = node.settings.borrow().box_id.clone();
    let now_ms = node.now_ms();
    let at = node.replica.at(BOXES_PREFIX).unwrap_or_default();
    let event = ReturnEvent {
        era_before: seen.from.0,
        era: seen.to.0,
        revision_before: if at.era == seen.from { at.revision } else { 0 },
        boxes_known: node.members.borrow().all().count(),
        servers_known: node.servers.borrow().len(),
        claims_to_renew: node.claims.borrow().to_be_renewed(&own_id, now_ms),
        refused_to_write,
    };
    events::emit(part::STORE, Level::Warn, "store_returned", &event);
    let spread_ms = SPREAD_MS + SPREAD_A_BOX_MS * node.box_count.get() as Millis;
    let pause_ms = rand::rng().random_range(0..spread_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    node.entry_due.notify_one();
}
