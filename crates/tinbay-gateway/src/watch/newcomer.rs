//! What a box that starts asks others, where the store may have come back from a backup just before.
//!
//! It reads an older configuration in good faith then, and others know the newer one.

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

/// Boxes that are asked.
const ASKED: usize = 2;

/// Pause between looks whether other boxes are known: their entries may be missing for a moment too.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct LearntEvent<'a> {
    from: &'a str,
    items: usize,
}

/// Asks some boxes, once, for what the store lacks; until then what it shows is no proof that all is
/// known. Nobody is asked where the store names no era, or has been in this one for long.
pub async fn learn(node: Rc<Node>, follower: Rc<ConfigurationFollower>) {
    while node.boxes_listed_ms.get() == 0 || node.in_force().is_none() {
        tokio::time::sleep(LOOK).await;
    }
    let end_ms = node.now_ms() + REWRITTEN_WITHIN_MS;
    let mut asked: Vec<String> = Vec::new();
    while asked.len() < ASKED && node.now_ms() < end_ms {
        let Some(era) = node.unsettled_era() else {
            break;
        };
        match next_box(&node, &asked) {
            Some(other) => {
                ask(&node, &follower, &other, era).await;
                asked.push(other.id);
            }
            None => tokio::time::sleep(LOOK).await,
        }
    }
    node.has_asked_others.set(true);
}

async fn ask(node: &Node, follower: &ConfigurationFollower, other: &RelayBox, era: Era) {
    let items = match relay::ask_kept(node, other, follower.prefix(), era).await {
        Ok(items) => items,
        Err(error) => return relay::log_failure(&other.id, follower.prefix(), error),
    };
    if items.is_empty() {
        return;
    }
    let event = LearntEvent {
        from: &other.id,
        items: items.len(),
    };
    events::emit(part::CONFIG, Level::Info, "kept_items_learnt", &event);
    for item in items {
        take(node, follower, item);
    }
}

/// Takes an item that another box knew, and keeps it where the store has none as new.
fn take(node: &Node, follower: &ConfigurationFollower, item: Item) {
    let stored = node.replica.item(follower.prefix(), &item.key);
    follower.take(&item);
    follower.keep(item, stored.as_ref());
}

/// A box that is up and was not asked yet.
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
