//! Follows what boxes write to the store: their own entries, their claims on servers, and the
//! requests that are quarantined because servers crash under them.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;

use super::Follower;
use super::access::REWRITTEN_WITHIN_MS;
use crate::crashes::entries;
use crate::events::{self, part};
use crate::members::MemberRecord;
use crate::node::Node;
use crate::orders::era_mark;
use crate::port::store::{Change, Item, Listing};

/// Prefix of all keys that boxes write.
pub const PREFIX: &str = "tinbay/";

/// Prefix of the boxes' own entries, which are deleted when their leases end.
pub const MEMBER_PREFIX: &str = "tinbay/boxes/";

/// Prefix of claims on servers, which are not bound to a lease.
pub const CLAIM_PREFIX: &str = "tinbay/claims/";

/// Applies the entries, claims and quarantined requests that boxes write to the state of this box.
pub struct BoxFollower {
    node: Rc<Node>,
}

#[derive(Serialize)]
struct MemberEvent<'a> {
    box_id: &'a str,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    is_leaving: Option<bool>,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    key: &'a str,
    revision: u64,
    error: String,
}

impl BoxFollower {
    /// Creates a follower that updates `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    fn apply_item(&self, item: &Item) {
        if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
            self.apply_member(id, item);
        } else if let Some(address) = item.key.strip_prefix(CLAIM_PREFIX) {
            self.node.record_claim(address, item);
        } else if item.key == era_mark::KEY {
            era_mark::apply(&self.node, item);
        } else {
            entries::apply(&self.node, item);
        }
    }

    fn apply_member(&self, id: &str, item: &Item) {
        let record = match serde_json::from_slice::<MemberRecord>(&item.value) {
            Ok(record) => record,
            Err(error) => return self.report_unreadable(item, &error),
        };
        let event = MemberEvent {
            box_id: id,
            revision: item.position.revision,
            is_leaving: Some(record.is_leaving),
        };
        events::emit(part::MEMBERS, Level::Info, "box_listed", &event);
        self.node
            .members
            .borrow_mut()
            .put(id, record, self.node.now_ms());
    }

    /// Counts and logs an entry that can't be decoded. The last known record of the box stays in
    /// use.
    fn report_unreadable(&self, item: &Item, error: &serde_json::Error) {
        let unreadable = &self.node.metrics.unreadable;
        unreadable.with_label_values(&["box_entry"]).inc();
        let event = UnreadableEvent {
            key: &item.key,
            revision: item.position.revision,
            error: error.to_string(),
        };
        events::emit(part::MEMBERS, Level::Warn, "box_unreadable", &event);
    }
}

fn remove_member(node: &Node, id: &str, revision: u64) {
    let event = MemberEvent {
        box_id: id,
        revision,
        is_leaving: None,
    };
    events::emit(part::MEMBERS, Level::Info, "box_unlisted", &event);
    node.members.borrow_mut().unlist(id, node.now_ms());
}

/// Removes the boxes whose entries are still missing some seconds after a restore of the store.
async fn remove_if_still_missing(node: Rc<Node>, missing: Vec<String>) {
    tokio::time::sleep(Duration::from_millis(REWRITTEN_WITHIN_MS)).await;
    for id in missing {
        let key = format!("{MEMBER_PREFIX}{id}");
        if node.replica.item(PREFIX, &key).is_none() {
            remove_member(&node, &id, 0);
        }
    }
}

impl Follower for BoxFollower {
    fn prefix(&self) -> &str {
        PREFIX
    }

    fn reset(&self, listing: &Listing) {
        let items = &listing.items;
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(MEMBER_PREFIX))
            .collect();
        let missing: Vec<String> = {
            let members = self.node.members.borrow();
            members
                .all()
                .filter(|(id, member)| member.listed && !listed.contains(id.as_str()))
                .map(|(id, _)| id.clone())
                .collect()
        };
        if self.node.store.is_being_rewritten() {
            // The restore dropped their leases; boxes that are alive write their entries again.
            let waiting = remove_if_still_missing(Rc::clone(&self.node), missing);
            tokio::task::spawn_local(waiting);
        } else {
            for id in missing {
                remove_member(&self.node, &id, 0);
            }
        }
        let now_ms = self.node.now_ms();
        self.node.members.borrow_mut().record_watch_gap(now_ms);
        self.node.boxes_listed_ms.set(now_ms);
        for item in items {
            self.apply_item(item);
        }
        self.node.count_boxes();
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Put(item) => self.apply_item(item),
            Change::Deleted { key, position } => {
                if let Some(id) = key.strip_prefix(MEMBER_PREFIX) {
                    remove_member(&self.node, id, position.revision);
                }
            }
        }
    }
}
