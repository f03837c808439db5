//! Asks other boxes at start for configuration that the store lost when it was restored from a
//! backup.
//!
//! A box that starts after such a restore can't tell that the configuration it reads is outdated,
//! while boxes that have run since before the restore still hold the newer one.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::seq::IteratorRandom;
use serde::Serialize;
use tinbay_core::serving::position::Era;

use super::Follower;
use super::access::REWRITTEN_WITHIN_MS;
use super::configuration::ConfigurationFollower;
use super::relay::{self, RelayBox};
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::Item;

/// Number of boxes to ask.
const BOXES_TO_ASK: usize = 2;

/// Pause between checks for a box to ask: a restore may remove the boxes' entries for a moment.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct ReceivedEvent<'a> {
    from: &'a str,
    items: usize,
}

/// Asks up to `BOXES_TO_ASK` boxes for items that the store lacks; until then the content of the
/// store does not count as complete. No box is asked if the store names no era, or if its era is
/// marked as settled, that is, complete.
pub async fn request_missing_items(node: Rc<Node>, follower: Rc<ConfigurationFollower>) {
    while node.boxes_listed_ms.get() == 0 || node.in_force().is_none() {
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    let end_ms = node.now_ms() + REWRITTEN_WITHIN_MS;
    let mut asked: Vec<String> = Vec::new();
    while asked.len() < BOXES_TO_ASK && node.now_ms() < end_ms {
        let Some(era) = node.unsettled_era() else {
            break;
        };
        match next_box(&node, &asked) {
            Some(other) => {
                ask_box(&node, &follower, &other, era).await;
                asked.push(other.id);
            }
            None => tokio::time::sleep(CHECK_PAUSE).await,
        }
    }
    node.has_asked_for_missing_items.set(true);
}

async fn ask_box(node: &Node, follower: &ConfigurationFollower, other: &RelayBox, era: Era) {
    let items = match relay::request_kept_items(node, other, follower.prefix(), era).await {
        Ok(items) => items,
        Err(error) => return relay::log_failure(&other.id, follower.prefix(), error),
    };
    if items.is_empty() {
        return;
    }
    let event = ReceivedEvent {
        from: &other.id,
        items: items.len(),
    };
    events::emit(part::CONFIG, Level::Info, "kept_items_learnt", &event);
    for item in items {
        apply_item(node, follower, item);
    }
}

/// Applies an item of another box, and keeps it if it is newer than the stored one.
fn apply_item(node: &Node, follower: &ConfigurationFollower, item: Item) {
    let stored = node.replica.item(follower.prefix(), &item.key);
    follower.apply_item(&item);
    follower.keep(item, stored.as_ref());
}

/// Chooses at random a box that is up and was not asked yet.
fn next_box(node: &Node, asked: &[String]) -> Option<RelayBox> {
    let now_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    let members = node.members.borrow();
    let up = members
        .others(&own_id)
        .filter(|(id, member)| member.is_up(now_ms) && !asked.contains(id));
    let (id, member) = up.choose(&mut rand::rng())?;
    Some(RelayBox {
        id: id.clone(),
        address: member.record.control,
    })
}
