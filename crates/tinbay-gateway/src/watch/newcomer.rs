//! What a box that starts asks others, where the store may have come back from a backup just before.
//!
//! It reads an older configuration in good faith then, and others know the newer one.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::seq::IteratorRandom;
use serde::Serialize;

use super::Follower;
use super::configuration::ConfigurationFollower;
use super::relay::{self, RelayBox};
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Item};

/// Boxes that are asked.
const ASKED: usize = 2;

/// Pause between looks whether other boxes are known.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct LearntEvent<'a> {
    from: &'a str,
    items: usize,
}

/// Asks some boxes, once, for what the store lacks; none where answers of the store name no era, as
/// one without eras does not come back from a backup.
pub async fn learn(node: Rc<Node>, follower: Rc<ConfigurationFollower>) {
    while node.boxes_listed_ms.get() == 0 || node.in_force().is_none() {
        tokio::time::sleep(LOOK).await;
    }
    if node.store.era().is_none() {
        return;
    }
    for other in some_boxes(&node) {
        let items = relay::ask_kept(&node, &other, follower.prefix()).await;
        if items.is_empty() {
            continue;
        }
        let event = LearntEvent {
            from: &other.id,
            items: items.len(),
        };
        events::emit(part::CONFIG, Level::Info, "kept_items_learnt", &event);
        for item in items {
            take(&node, &follower, item);
        }
    }
}

/// Takes an item that another box knew, and keeps it where the store has none as new.
fn take(node: &Node, follower: &ConfigurationFollower, item: Item) {
    let stored = node.replica.item(follower.prefix(), &item.key);
    follower.apply(&Change::Put(item.clone()));
    follower.keep(item, stored.as_ref());
}

fn some_boxes(node: &Node) -> Vec<RelayBox> {
    let now_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    let members = node.members.borrow();
    let up = members
        .others(&own_id)
        .filter(|(_, member)| member.is_up(now_ms))
        .map(|(id, member)| RelayBox {
            id: id.clone(),
            address: member.record.control,
        });
    up.sample(&mut rand::rng(), ASKED)
}
