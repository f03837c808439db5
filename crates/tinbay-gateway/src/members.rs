//! Known boxes and their liveness.
//!
//! A box of the own availability zone counts as silent if no box of the zone has received a message
//! from it for a while. From each other zone, only its relays send messages, the few boxes that
//! read the store for it: a box there counts as silent if the relays report it so, and otherwise as
//! up while its entry is in the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a message after which callers are no longer sent to a box of the same zone: a few
/// rounds of gossip.
const SILENT_AFTER_MS: Millis = 2_500;

/// How long another zone's report that a box there is silent stays valid unless repeated, which
/// happens every half second. A box that has recovered is handed out again after at most this time.
const SILENCE_REPORT_LIFE_MS: Millis = 2_500;

/// Time without a report from another zone after which the box that last reported for that zone
/// counts as silent. It is longer than `SILENT_AFTER_MS`, which applies to boxes of the same zone,
/// as each round of gossip reaches only some of the other zones.
const ZONE_SILENT_AFTER_MS: Millis = 3_000;

/// How long other boxes may still see a deleted entry: the longest time between two listings of the
/// store.
const MAX_LISTING_LAG_MS: Millis = 6_000;

/// Time without any contact after which this box may itself have been cut off or frozen. It then
/// takes no other box for silent until it has been in contact for `SILENT_AFTER_MS`.
const MAX_CONTACT_GAP_MS: Millis = 1_500;

/// A box's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other boxes send messages.
    pub peer: SocketAddr,
    /// Where other boxes request this box's view of the store.
    pub control: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it is stopping and accepts no new callers.
    pub is_leaving: bool,
    /// Capacity for work on behalf of other boxes, relative to theirs.
    #[serde(default)]
    pub capacity: u64,
}

/// A known box and its liveness.
#[derive(Debug, Clone)]
pub struct Member {
    /// The record that it last published.
    pub record: MemberRecord,
    /// Whether its entry is in the store.
    pub listed: bool,
    /// When `listed` last changed.
    pub listed_changed_ms: Millis,
    /// When any box of this zone last received a message from it. Not set for boxes of other zones,
    /// unless the box has moved there from this zone under the same id.
    pub heard_ms: Option<Millis>,
    /// When its zone last reported it as silent; always absent for boxes of the same zone.
    pub silence_reported_ms: Option<Millis>,
}

/// The box that last reported for another zone.
#[derive(Debug, Clone)]
struct ZoneReporter {
    id: Option<String>,
    heard_ms: Millis,
}

/// A period of contact with other boxes or the store without a gap of `MAX_CONTACT_GAP_MS`.
#[derive(Debug, Clone, Copy)]
struct Contact {
    since_ms: Millis,
    last_ms: Millis,
    /// Whether it is the first such period since this box started.
    is_first: bool,
}

/// All known boxes.
#[derive(Debug)]
pub struct Members {
    zone: String,
    by_id: HashMap<String, Member>,
    ids: HashMap<Fingerprint, String>,
    /// The boxes that last reported for other zones, by zone fingerprint.
    zone_reporters: HashMap<Fingerprint, ZoneReporter>,
    contact: Option<Contact>,
}

/// Fingerprint that stands for an availability zone's name in messages.
pub fn zone_fingerprint(zone: &str) -> Fingerprint {
    box_fingerprint(zone)
}

/// Fingerprint that stands for a box's id in messages.
pub fn box_fingerprint(id: &str) -> Fingerprint {
    xxh3_64(id.as_bytes()) as Fingerprint
}

impl Members {
    /// An empty table for a box in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_string(),
            by_id: HashMap::new(),
            ids: HashMap::new(),
            zone_reporters: HashMap::new(),
            contact: None,
        }
    }

    /// Records contact with another box or with the store.
    pub fn record_contact(&mut self, now_ms: Millis) {
        let contact = match self.contact {
            Some(contact) if now_ms < contact.last_ms + MAX_CONTACT_GAP_MS => Contact {
                last_ms: now_ms,
                ..contact
            },
            previous => Contact {
                since_ms: now_ms,
                last_ms: now_ms,
                is_first: previous.is_none(),
            },
        };
        self.contact = Some(contact);
    }

    /// Whether this box may hold a role that only one box may hold, such as the home of a limit: no
    /// other box can have taken it for failed meanwhile. A box that has just started may do so at
    /// once: if it first had to be in contact for `SILENT_AFTER_MS`, no box could hold such a role
    /// for that long after a restart of the whole fleet, and requests would be refused.
    pub fn may_hold_exclusive_role(&self, now_ms: Millis) -> bool {
        let is_in_first_contact = self.contact.is_some_and(|contact| {
            contact.is_first && now_ms < contact.last_ms + MAX_CONTACT_GAP_MS
        });
        is_in_first_contact || self.can_detect_failures(now_ms)
    }

    /// Whether this box has been in contact for long enough that the silence of another box is a
    /// fault of that box, not of this one.
    fn can_detect_failures(&self, now_ms: Millis) -> bool {
        self.contact.is_some_and(|contact| {
            let is_in_contact = now_ms < contact.last_ms + MAX_CONTACT_GAP_MS;
            is_in_contact && now_ms >= contact.since_ms + SILENT_AFTER_MS
        })
    }

    /// Boxes of this zone that no box of the zone hears, as reported to other zones. Empty if this
    /// box may have been cut off itself, or if more than half of its zone is missing.
    pub fn silent_in_own_zone(&self, own_id: &str, now_ms: Millis) -> Vec<Fingerprint> {
        if !self.can_detect_failures(now_ms) {
            return Vec::new();
        }
        // Leaves out this box, which is listed like any other: without another live box in the
        // zone, none reports that it has heard this one, which would then report itself as silent.
        let others = self.others(own_id);
        let own_zone = others.filter(|(_, member)| member.record.zone == self.zone);
        let (mut listed, mut missing, mut silent) = (0, 0, Vec::new());
        for (id, member) in own_zone {
            let is_silent = member.is_silent(now_ms);
            listed += usize::from(member.listed);
            missing += usize::from(member.listed && is_silent);
            if is_silent && member.may_be_listed_elsewhere(now_ms) {
                silent.push(box_fingerprint(id));
            }
        }
        // `listed + 1`: the zone also includes this box, which is not missing.
        if missing * 2 > listed + 1 {
            return Vec::new();
        }
        silent
    }

    /// Records a box's report of the silent boxes in its zone; boxes that it does not name are no
    /// longer silent. Returns whether a box is newly silent.
    pub fn record_zone_report(
        &mut self,
        reporter: &str,
        silent: &[Fingerprint],
        now_ms: Millis,
    ) -> bool {
        let Some(zone) = self.zone_of(reporter) else {
            return false;
        };
        let latest = ZoneReporter {
            id: Some(reporter.to_string()),
            heard_ms: now_ms,
        };
        self.zone_reporters.insert(zone_fingerprint(&zone), latest);
        for (id, member) in &mut self.by_id {
            if member.record.zone == zone && !silent.contains(&box_fingerprint(id)) {
                member.silence_reported_ms = None;
            }
        }
        let mut is_new = false;
        for fingerprint in silent {
            is_new |= self.record_silence_report(*fingerprint, now_ms);
        }
        is_new
    }

    fn zone_of(&self, id: &str) -> Option<String> {
        let zone = &self.by_id.get(id)?.record.zone;
        (*zone != self.zone).then(|| zone.clone())
    }

    /// Records that another box received a report from a zone at `heard_ms`.
    pub fn record_zone_heard(&mut self, zone: Fingerprint, heard_ms: Millis) {
        if zone == zone_fingerprint(&self.zone) {
            return;
        }
        let first = ZoneReporter { id: None, heard_ms };
        let reporter = self.zone_reporters.entry(zone).or_insert(first);
        reporter.heard_ms = reporter.heard_ms.max(heard_ms);
    }

    /// Other zones that reported recently, with the time since then.
    pub fn zones_heard(&self, now_ms: Millis) -> Vec<(Fingerprint, Millis)> {
        let age_ms = |reporter: &ZoneReporter| now_ms.saturating_sub(reporter.heard_ms);
        let zone_reporters = self.zone_reporters.iter();
        let recent = zone_reporters.filter(|(_, reporter)| age_ms(reporter) < ZONE_SILENT_AFTER_MS);
        recent
            .map(|(zone, reporter)| (*zone, age_ms(reporter)))
            .collect()
    }

    /// Records the box that is expected to report for its zone, if no box has reported for it yet.
    pub fn expect_zone_reporter(&mut self, id: &str, now_ms: Millis) {
        let Some(zone) = self.zone_of(id) else {
            return;
        };
        let first = ZoneReporter {
            id: None,
            heard_ms: now_ms,
        };
        let reporter = self
            .zone_reporters
            .entry(zone_fingerprint(&zone))
            .or_insert(first);
        reporter.id.get_or_insert_with(|| id.to_string());
    }

    /// Marks the last reporting box of each zone that stopped reporting as silent: in a zone of one
    /// box no other box can report it.
    pub fn mark_silent_zone_reporters(&mut self, now_ms: Millis) {
        if !self.can_detect_failures(now_ms) {
            return;
        }
        let is_silent =
            |reporter: &&ZoneReporter| now_ms >= reporter.heard_ms + ZONE_SILENT_AFTER_MS;
        let silent: Vec<Fingerprint> = self
            .zone_reporters
            .values()
            .filter(is_silent)
            .filter_map(|reporter| Some(box_fingerprint(reporter.id.as_deref()?)))
            .collect();
        for fingerprint in silent {
            self.record_silence_report(fingerprint, now_ms);
        }
    }

    /// Records another zone's report, made at `report_ms`, that a box there is silent. Returns
    /// whether the box is newly silent.
    pub fn record_silence_report(&mut self, fingerprint: Fingerprint, report_ms: Millis) -> bool {
        let Some(id) = self.ids.get(&fingerprint) else {
            return false;
        };
        let Some(member) = self.by_id.get_mut(id) else {
            return false;
        };
        if member.record.zone == self.zone || report_ms < member.listed_changed_ms {
            return false;
        }
        let is_new = !member.has_silence_report(report_ms);
        member.silence_reported_ms = member.silence_reported_ms.max(Some(report_ms));
        is_new
    }

    /// Boxes of other zones that are reported as silent, with the age of the report.
    pub fn silent_in_other_zones(&self, now_ms: Millis) -> Vec<(Fingerprint, Millis)> {
        let members = self.by_id.iter();
        let reported = members.filter_map(|(id, member)| {
            let age_ms = now_ms.saturating_sub(member.silence_reported_ms?);
            (age_ms < SILENCE_REPORT_LIFE_MS).then(|| (box_fingerprint(id), age_ms))
        });
        reported.collect()
    }

    /// Records a box's entry in the store; a box that writes one is alive, so a report of its
    /// silence is cleared.
    pub fn put(&mut self, id: &str, record: MemberRecord, now_ms: Millis) {
        let member = self.upsert(id, record, now_ms);
        member.silence_reported_ms = None;
        if !member.listed {
            member.listed = true;
            member.listed_changed_ms = now_ms;
        }
    }

    /// Records that a box's entry was removed from the store.
    pub fn unlist(&mut self, id: &str, now_ms: Millis) {
        if let Some(member) = self.by_id.get_mut(id)
            && member.listed
        {
            member.listed = false;
            member.listed_changed_ms = now_ms;
        }
    }

    /// Records that the watch was interrupted: unlisted boxes count as unlisted only from now on.
    pub fn record_watch_gap(&mut self, now_ms: Millis) {
        for member in self.by_id.values_mut().filter(|member| !member.listed) {
            member.listed_changed_ms = now_ms;
        }
    }

    /// Records a message from a box; ignored for boxes of other zones.
    pub fn record_heard(&mut self, id: &str, now_ms: Millis) {
        if let Some(member) = self.by_id.get_mut(id)
            && member.record.zone == self.zone
        {
            member.heard_ms = member.heard_ms.max(Some(now_ms));
        }
    }

    /// Records that another box heard a box at `heard_ms`.
    pub fn record_heard_at(&mut self, fingerprint: Fingerprint, heard_ms: Millis) {
        let Some(id) = self.ids.get(&fingerprint).cloned() else {
            return;
        };
        self.record_heard(&id, heard_ms);
    }

    /// Boxes of this zone that were heard recently, with the time since then.
    pub fn heard(&self, now_ms: Millis) -> impl Iterator<Item = (Fingerprint, Millis)> {
        self.by_id.iter().filter_map(move |(id, member)| {
            let age_ms = now_ms.saturating_sub(member.heard_ms?);
            (age_ms < SILENT_AFTER_MS).then(|| (box_fingerprint(id), age_ms))
        })
    }

    /// Records a box's own record from its message.
    pub fn record_hello(&mut self, id: &str, record: MemberRecord, now_ms: Millis) {
        self.upsert(id, record, now_ms);
        self.record_heard(id, now_ms);
    }

    /// Stores a box's new record; a box not known before starts as neither listed nor heard.
    fn upsert(&mut self, id: &str, record: MemberRecord, now_ms: Millis) -> &mut Member {
        self.ids.insert(box_fingerprint(id), id.to_string());
        let member = self.by_id.entry(id.to_string()).or_insert_with(|| Member {
            record: record.clone(),
            listed: false,
            listed_changed_ms: now_ms,
            heard_ms: None,
            silence_reported_ms: None,
        });
        member.record = record;
        member
    }

    /// Whether no box is known, not even this one.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The id of the box with this fingerprint.
    pub fn id_of(&self, fingerprint: Fingerprint) -> Option<&String> {
        self.ids.get(&fingerprint)
    }

    /// The box with this id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// All known boxes.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.by_id.iter()
    }

    /// All known boxes except `own_id`, which is in the table like any other.
    pub fn others<'a>(&'a self, own_id: &'a str) -> impl Iterator<Item = (&'a String, &'a Member)> {
        self.all().filter(move |(id, _)| *id != own_id)
    }

    /// The boxes other than `own_id` that can work for others: those listed and up.
    pub fn candidates<'a>(
        &'a self,
        own_id: &'a str,
        now_ms: Millis,
    ) -> impl Iterator<Item = RankedBox<'a>> {
        self.others(own_id)
            .filter(move |(_, member)| member.listed && member.is_up(now_ms))
            .map(|(id, member)| RankedBox {
                id,
                capacity: member.record.capacity,
            })
    }

    /// Number of boxes that may be sending requests to servers, this one included: also those that
    /// are leaving, those that have been silent for a while, and those whose entry was just removed.
    pub fn count_senders(&self, own_id: &str, now_ms: Millis) -> usize {
        let others = self.others(own_id);
        1 + others
            .filter(|(_, member)| member.may_be_sending(now_ms))
            .count()
    }

    /// Removes boxes that are not listed and have been neither listed nor heard since `oldest_ms`.
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
            None => self.listed && !self.has_silence_report(now_ms),
        }
    }

    /// Whether it may be sending requests to servers. An entry outlives the box by its lease, and a
    /// box without one serves its callers for a while.
    fn may_be_sending(&self, now_ms: Millis) -> bool {
        let was_heard = self
            .heard_ms
            .is_some_and(|heard_ms| now_ms < heard_ms + SILENT_AFTER_MS);
        was_heard || self.may_be_listed_elsewhere(now_ms)
    }

    /// Whether a report of its own zone that it is silent is still valid.
    ///
    /// Without such reports, other zones would go on sending callers to a failed box until the
    /// lease of its entry ends.
    fn has_silence_report(&self, now_ms: Millis) -> bool {
        self.silence_reported_ms
            .is_some_and(|report_ms| now_ms < report_ms + SILENCE_REPORT_LIFE_MS)
    }

    /// Whether it was heard recently; a box of another zone counts as heard unless its zone reports
    /// it as silent.
    pub fn is_heard(&self, now_ms: Millis) -> bool {
        match self.heard_ms {
            Some(heard_ms) => now_ms < heard_ms + SILENT_AFTER_MS,
            None => !self.has_silence_report(now_ms),
        }
    }

    /// Whether some box may still see its entry, as views of the store differ by seconds.
    fn may_be_listed_elsewhere(&self, now_ms: Millis) -> bool {
        self.listed || now_ms < self.listed_changed_ms + MAX_LISTING_LAG_MS
    }

    /// Whether no box of its zone has heard it for `SILENT_AFTER_MS`.
    fn is_silent(&self, now_ms: Millis) -> bool {
        let last_ms = self.heard_ms.unwrap_or(self.listed_changed_ms);
        now_ms >= last_ms + SILENT_AFTER_MS
    }
}
