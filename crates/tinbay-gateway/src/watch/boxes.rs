//! Follows what boxes write into the store: their own entries, their claims on
//! servers, and requests that are refused.

use std::collections::HashSet;
use std::rc::Rc;

use log::Level;
use serde::Serialize;

use super::Follower;
use crate::crashes::entries;
use crate::events::{self, part};
use crate::members::MemberRecord;
use crate::node::Node;
use crate::port::store::{Change, Item};

/// Prefix of all that boxes write.
pub const PREFIX: &str = "tinbay/";

/// Prefix of the boxes' own entries, which go with their leases.
pub const MEMBER_PREFIX: &str = "tinbay/boxes/";

/// Prefix of claims on servers, which stay.
pub const CLAIM_PREFIX: &str = "tinbay/claims/";

/// Follows what boxes write.
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
    /// A follower that changes `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    fn take(&self, item: &Item) {
        if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
            self.take_member(id, item);
        } else if let Some(address) = item.key.strip_prefix(CLAIM_PREFIX) {
            self.node.claims.borrow_mut().note(
                address,
                &item.value,
                item.revision,
                self.node.now_ms(),
            );
        } else {
            entries::take(&self.node, item);
        }
    }

    fn take_member(&self, id: &str, item: &Item) {
        let record = match serde_json::from_slice::<MemberRecord>(&item.value) {
            Ok(record) => record,
            Err(error) => return self.tell_unreadable(item, &error),
        };
        let event = MemberEvent {
            box_id: id,
            revision: item.revision,
            is_leaving: Some(record.is_leaving),
        };
        events::emit(part::MEMBERS, Level::Info, "box_listed", &event);
        self.node
            .members
            .borrow_mut()
            .put(id, record, self.node.now_ms());
    }

    /// An entry that can't be read changes nothing: what is known of the box holds.
    fn tell_unreadable(&self, item: &Item, error: &serde_json::Error) {
        let unreadable = &self.node.metrics.unreadable;
        unreadable.with_label_values(&["box_entry"]).inc();
        let event = UnreadableEvent {
            key: &item.key,
            revision: item.revision,
            error: error.to_string(),
        };
        events::emit(part::MEMBERS, Level::Warn, "box_unreadable", &event);
    }

    fn drop_member(&self, id: &str, revision: u64) {
        let event = MemberEvent {
            box_id: id,
            revision,
            is_leaving: None,
        };
        events::emit(part::MEMBERS, Level::Info, "box_unlisted", &event);
        self.node
            .members
            .borrow_mut()
            .unlist(id, self.node.now_ms());
    }
}

impl Follower for BoxFollower {
    fn prefix(&self) -> &str {
        PREFIX
    }

    fn reset(&self, items: &[Item]) {
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(MEMBER_PREFIX))
            .collect();
        let gone: Vec<String> = {
            let members = self.node.members.borrow();
            members
                .all()
                .filter(|(id, member)| member.listed && !listed.contains(id.as_str()))
                .map(|(id, _)| id.clone())
                .collect()
        };
        for id in gone {
            self.drop_member(&id, 0);
        }
        let now_ms = self.node.now_ms();
        self.node.members.borrow_mut().note_break(now_ms);
        self.node.boxes_listed_ms.set(now_ms);
        for item in items {
            self.take(item);
        }
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Put(item) => self.take(item),
            Change::Gone { key, revision } => {
                if let Some(id) = key.strip_prefix(MEMBER_PREFIX) {
                    self.drop_member(id, *revision);
                }
            }
        }
    }
}
