//! The boxes this box knows.
//!
//! A box of the own availability zone is judged by when any box of the zone last heard it. Of
//! another zone only a few boxes are heard, those that read the store for it: what they say of
//! their zone counts, and the entries in the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Silence after which a box of the own zone is no longer handed out: some rounds of gossip.
const SILENT_AFTER_MS: Millis = 2_500;

/// How long the word of another zone that a box there is silent holds unless it is said again,
/// each half second: a box that is back is handed out that much later at most.
const SILENT_WORD_LIFE_MS: Millis = 2_500;

/// Time without a word of a zone after which its last speaker counts as silent: the words of
/// zones are passed on in turns, which takes longer than to hear a box of the own zone.
const ZONE_SILENT_AFTER_MS: Millis = 3_000;

/// Time for which another box may still see an entry that is gone: as long as one goes without a
/// listing of the store.
const UNLISTED_SPAN_MS: Millis = 6_000;

/// Gap without any sign of others after which this box may itself have been cut off or frozen,
/// and judges nobody until it has heard others for as long as a silence takes.
const OWN_GAP_MS: Millis = 1_500;

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
    /// What it can bear for others, compared with other boxes.
    #[serde(default)]
    pub capacity: u64,
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
    /// When it was last heard; only boxes of the own zone are.
    pub heard_ms: Option<Millis>,
    /// When its own zone last said that it is silent; only boxes of other zones are spoken of.
    pub silent_word_ms: Option<Millis>,
}

/// The box that last spoke for another zone.
#[derive(Debug, Clone)]
struct Speaker {
    id: Option<String>,
    heard_ms: Millis,
}

/// Since when this box has been in touch with others without a gap.
#[derive(Debug, Clone, Copy)]
struct Contact {
    since_ms: Millis,
    last_ms: Millis,
    /// Whether it has lasted since this box came.
    is_first: bool,
}

/// The other boxes.
#[derive(Debug)]
pub struct Members {
    zone: String,
    by_id: HashMap<String, Member>,
    ids: HashMap<Fingerprint, String>,
    /// Who last spoke for the other zones, by the short form of their names.
    speakers: HashMap<Fingerprint, Speaker>,
    contact: Option<Contact>,
}

/// The short form of an availability zone's name in messages.
pub fn zone_fingerprint(zone: &str) -> Fingerprint {
    box_fingerprint(zone)
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
            speakers: HashMap::new(),
            contact: None,
        }
    }

    /// Notes that this box is in touch with others: with another box, or with the store.
    pub fn note_contact(&mut self, now_ms: Millis) {
        let contact = match self.contact {
            Some(contact) if now_ms < contact.last_ms + OWN_GAP_MS => Contact {
                last_ms: now_ms,
                ..contact
            },
            before => Contact {
                since_ms: now_ms,
                last_ms: now_ms,
                is_first: before.is_none(),
            },
        };
        self.contact = Some(contact);
    }

    /// Whether this box may keep what only one box may keep: no other one can have taken it for
    /// gone meanwhile. A box that has just come may at once; where it had to wait as long as for a
    /// judgement, 28% of the requests were refused for 2.5 s after all of 74 boxes were killed, and
    /// nearly all on 300.
    pub fn may_keep(&self, now_ms: Millis) -> bool {
        let is_unbroken = self
            .contact
            .is_some_and(|contact| contact.is_first && now_ms < contact.last_ms + OWN_GAP_MS);
        is_unbroken || self.can_judge(now_ms)
    }

    /// Whether this box has been in touch for so long that silence of others is theirs.
    fn can_judge(&self, now_ms: Millis) -> bool {
        self.contact.is_some_and(|contact| {
            let is_in_touch = now_ms < contact.last_ms + OWN_GAP_MS;
            is_in_touch && now_ms >= contact.since_ms + SILENT_AFTER_MS
        })
    }

    /// Boxes of the own zone that nobody of the zone hears, for other zones; nothing from a box
    /// that may have been cut off itself, or that misses more than half of its zone.
    pub fn silent_near(&self, own_id: &str, now_ms: Millis) -> Vec<Fingerprint> {
        if !self.can_judge(now_ms) {
            return Vec::new();
        }
        // Not this box, which is listed like any other: where nobody else of the zone lives, nobody has
        // told when it was heard, and it would call itself silent.
        let others = self.others(own_id);
        let near = others.filter(|(_, member)| member.record.zone == self.zone);
        let (mut listed, mut missed, mut silent) = (0, 0, Vec::new());
        for (id, member) in near {
            let is_silent = member.is_silent(now_ms);
            listed += usize::from(member.listed);
            missed += usize::from(member.listed && is_silent);
            if is_silent && member.may_be_listed_elsewhere(now_ms) {
                silent.push(box_fingerprint(id));
            }
        }
        // This box is one of the zone as well, and hears itself.
        if missed * 2 > listed + 1 {
            return Vec::new();
        }
        silent
    }

    /// Notes that a box spoke for its zone, and which boxes there it says are silent; those it
    /// does not name are not silent any more. Whether a word is new is returned.
    pub fn note_zone_word(
        &mut self,
        speaker: &str,
        silent: &[Fingerprint],
        now_ms: Millis,
    ) -> bool {
        let Some(zone) = self.zone_of(speaker) else {
            return false;
        };
        let heard = Speaker {
            id: Some(speaker.to_string()),
            heard_ms: now_ms,
        };
        self.speakers.insert(zone_fingerprint(&zone), heard);
        for (id, member) in &mut self.by_id {
            if member.record.zone == zone && !silent.contains(&box_fingerprint(id)) {
                member.silent_word_ms = None;
            }
        }
        let mut is_news = false;
        for fingerprint in silent {
            is_news |= self.note_silent(*fingerprint, now_ms);
        }
        is_news
    }

    fn zone_of(&self, id: &str) -> Option<String> {
        let zone = &self.by_id.get(id)?.record.zone;
        (*zone != self.zone).then(|| zone.clone())
    }

    /// Notes that a zone was heard then by another box.
    pub fn hear_zone_at(&mut self, zone: Fingerprint, heard_ms: Millis) {
        if zone == zone_fingerprint(&self.zone) {
            return;
        }
        let first = Speaker { id: None, heard_ms };
        let speaker = self.speakers.entry(zone).or_insert(first);
        speaker.heard_ms = speaker.heard_ms.max(heard_ms);
    }

    /// When other zones were last heard, and how long ago.
    pub fn zones_heard(&self, now_ms: Millis) -> Vec<(Fingerprint, Millis)> {
        let age_ms = |speaker: &Speaker| now_ms.saturating_sub(speaker.heard_ms);
        let speakers = self.speakers.iter();
        let recent = speakers.filter(|(_, speaker)| age_ms(speaker) < ZONE_SILENT_AFTER_MS);
        recent
            .map(|(zone, speaker)| (*zone, age_ms(speaker)))
            .collect()
    }

    /// Notes who should speak for another zone, if nobody was heard speaking for it yet.
    pub fn expect_speaker(&mut self, id: &str, now_ms: Millis) {
        let Some(zone) = self.zone_of(id) else {
            return;
        };
        let first = Speaker {
            id: None,
            heard_ms: now_ms,
        };
        let speaker = self
            .speakers
            .entry(zone_fingerprint(&zone))
            .or_insert(first);
        speaker.id.get_or_insert_with(|| id.to_string());
    }

    /// Judges the last speakers of zones of which nothing is heard any more: a zone of one box
    /// has nobody else to say that it is silent.
    pub fn judge_speakers(&mut self, now_ms: Millis) {
        if !self.can_judge(now_ms) {
            return;
        }
        let is_silent = |speaker: &&Speaker| now_ms >= speaker.heard_ms + ZONE_SILENT_AFTER_MS;
        let silent: Vec<Fingerprint> = self
            .speakers
            .values()
            .filter(is_silent)
            .filter_map(|speaker| Some(box_fingerprint(speaker.id.as_deref()?)))
            .collect();
        for fingerprint in silent {
            self.note_silent(fingerprint, now_ms);
        }
    }

    /// Notes the word of another zone, given then, that a box there is silent; whether that is
    /// new is returned.
    pub fn note_silent(&mut self, fingerprint: Fingerprint, word_ms: Millis) -> bool {
        let Some(id) = self.ids.get(&fingerprint) else {
            return false;
        };
        let Some(member) = self.by_id.get_mut(id) else {
            return false;
        };
        if member.record.zone == self.zone || word_ms < member.listed_changed_ms {
            return false;
        }
        let is_news = !member.has_silent_word(word_ms);
        member.silent_word_ms = member.silent_word_ms.max(Some(word_ms));
        is_news
    }

    /// Boxes of other zones whose silence is known, and how old that word is.
    pub fn silent_far(&self, now_ms: Millis) -> Vec<(Fingerprint, Millis)> {
        let members = self.by_id.iter();
        let spoken_of = members.filter_map(|(id, member)| {
            let age_ms = now_ms.saturating_sub(member.silent_word_ms?);
            (age_ms < SILENT_WORD_LIFE_MS).then(|| (box_fingerprint(id), age_ms))
        });
        spoken_of.collect()
    }

    /// Notes a box's entry in the store; who writes one is there.
    pub fn put(&mut self, id: &str, record: MemberRecord, now_ms: Millis) {
        let member = self.renew(id, record, now_ms);
        member.silent_word_ms = None;
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
            silent_word_ms: None,
        });
        member.record = record;
        member
    }

    /// Whether no box is known, this one included.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The box of the short form of a name.
    pub fn id_of(&self, fingerprint: Fingerprint) -> Option<&String> {
        self.ids.get(&fingerprint)
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

    /// The boxes but `own_id` that do jobs for others: listed ones that are up.
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
            None => self.listed && !self.has_silent_word(now_ms),
        }
    }

    /// Whether its own zone has said lately that it is silent.
    ///
    /// Where other zones went by its lease of 8 s alone, they handed out a box that was off for
    /// up to 6.3 s and more after its end (two boxes of two zones, one killed).
    fn has_silent_word(&self, now_ms: Millis) -> bool {
        self.silent_word_ms
            .is_some_and(|word_ms| now_ms < word_ms + SILENT_WORD_LIFE_MS)
    }

    /// Whether it is heard: of a box of another zone, that its zone does not say otherwise.
    pub fn is_heard(&self, now_ms: Millis) -> bool {
        match self.heard_ms {
            Some(heard_ms) => now_ms < heard_ms + SILENT_AFTER_MS,
            None => !self.has_silent_word(now_ms),
        }
    }

    /// Whether some box may still see its entry: what is seen of the store differs by seconds.
    fn may_be_listed_elsewhere(&self, now_ms: Millis) -> bool {
        self.listed || now_ms < self.listed_changed_ms + UNLISTED_SPAN_MS
    }

    /// Whether nobody of its zone has heard it for long.
    fn is_silent(&self, now_ms: Millis) -> bool {
        let last_ms = self.heard_ms.unwrap_or(self.listed_changed_ms);
        now_ms >= last_ms + SILENT_AFTER_MS
    }
}
