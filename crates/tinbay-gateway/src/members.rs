//! The boxes this box knows.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Silence after which a box of the own zone is no longer handed out: some rounds of gossip.
const SILENT_AFTER_MS: Millis = 2_500;

/// What a box writes about itself into the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other boxes send messages.
    pub peer: SocketAddr,
    /// Where other boxes ask what this one sees of the store.
    pub control: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes no new callers.
    pub is_leaving: bool,
}

/// A box and what is believed of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it wrote about itself.
    pub record: MemberRecord,
    /// Whether its entry is in the store, and since when that is so.
    pub listed: bool,
    /// When that changed last.
    pub listed_changed_ms: Millis,
    /// When it was last heard.
    pub heard_ms: Option<Millis>,
}

/// The other boxes. Only those of the own availability zone are judged by when they were heard;
/// others by their entries in the store.
#[derive(Debug)]
pub struct Members {
    zone: String,
    by_id: HashMap<String, Member>,
    ids: HashMap<Fingerprint, String>,
}

/// The short form of a box's name in messages.
pub fn box_fingerprint(id: &str) -> Fingerprint {
    xxh3_64(id.as_bytes()) as Fingerprint
}

impl Members {
    /// No box is known to one of `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_string(),
            by_id: HashMap::new(),
            ids: HashMap::new(),
        }
    }

    /// Notes a box's entry in the store.
    pub fn put(&mut self, id: &str, record: MemberRecord, now_ms: Millis) {
        let member = self.renew(id, record, now_ms);
        if !member.listed {
            member.listed = true;
            member.listed_changed_ms = now_ms;
        }
    }

    /// Notes that a box's entry went away.
    pub fn unlist(&mut self, id: &str, now_ms: Millis) {
        if let Some(member) = self.by_id.get_mut(id)
            && member.listed
        {
            member.listed = false;
            member.listed_changed_ms = now_ms;
        }
    }

    /// Notes that watching had a break: who is missing counts as missing from now on.
    pub fn note_break(&mut self, now_ms: Millis) {
        for member in self.by_id.values_mut().filter(|member| !member.listed) {
            member.listed_changed_ms = now_ms;
        }
    }

    /// Notes a message of a box.
    pub fn hear(&mut self, id: &str, now_ms: Millis) {
        if let Some(member) = self.by_id.get_mut(id)
            && member.record.zone == self.zone
        {
            member.heard_ms = member.heard_ms.max(Some(now_ms));
        }
    }

    /// Notes that another box heard a box then.
    pub fn hear_at(&mut self, fingerprint: Fingerprint, heard_ms: Millis) {
        let Some(id) = self.ids.get(&fingerprint).cloned() else {
            return;
        };
        self.hear(&id, heard_ms);
    }

    /// Boxes of the zone that were heard lately, and how long ago.
    pub fn heard(&self, now_ms: Millis) -> impl Iterator<Item = (Fingerprint, Millis)> {
        self.by_id.iter().filter_map(move |(id, member)| {
            let age_ms = now_ms.saturating_sub(member.heard_ms?);
            (age_ms < SILENT_AFTER_MS).then(|| (box_fingerprint(id), age_ms))
        })
    }

    /// Notes what a box says about itself in a message.
    pub fn note_hello(&mut self, id: &str, record: MemberRecord, now_ms: Millis) {
        self.renew(id, record, now_ms);
        self.hear(id, now_ms);
    }

    /// Takes a box's new record; a box not known before is neither listed nor heard yet.
    fn renew(&mut self, id: &str, record: MemberRecord, now_ms: Millis) -> &mut Member {
        self.ids.insert(box_fingerprint(id), id.to_string());
        let member = self.by_id.entry(id.to_string()).or_insert_with(|| Member {
            record: record.clone(),
            listed: false,
            listed_changed_ms: now_ms,
            heard_ms: None,
        });
        member.record = record;
        member
    }

    /// Whether no box is known, this one included.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// One box.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// All boxes known.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.by_id.iter()
    }

    /// All boxes known but `own_id`, which is listed like any other.
    pub fn others<'a>(&'a self, own_id: &'a str) -> impl Iterator<Item = (&'a String, &'a Member)> {
        self.all().filter(move |(id, _)| *id != own_id)
    }

    /// Forgets boxes that are neither listed nor heard for long.
    pub fn tidy(&mut self, oldest_ms: Millis) {
        self.by_id.retain(|_, member| {
            member.listed
                || member.listed_changed_ms >= oldest_ms
                || member
                    .heard_ms
                    .is_some_and(|heard_ms| heard_ms >= oldest_ms)
        });
        let by_id = &self.by_id;
        self.ids.retain(|_, id| by_id.contains_key(id));
    }
}

impl Member {
    /// Whether callers may be sent to it.
    pub fn is_up(&self, now_ms: Millis) -> bool {
        if self.record.is_leaving {
            return false;
        }
        match self.heard_ms {
            Some(heard_ms) => now_ms.saturating_sub(heard_ms) < SILENT_AFTER_MS,
            None => self.listed,
        }
    }
}
