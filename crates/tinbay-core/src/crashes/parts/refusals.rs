//! Parts whose requests are refused.

use std::collections::HashMap;

use super::evidence::{Evidence, PartRefusal, PartSet};
use super::proven::PROOF_HOLD_MS;
use super::{CRASHES_TO_SUSPECT, OBJECTION_MS};
use crate::crashes::ledger::CrashKey;
use crate::crashes::quarantine::QUARANTINE_LIFE_MS;
use crate::serving::prompt::PartId;
use crate::units::Millis;

/// How long parts are refused, as for whole requests.
pub const REFUSAL_LIFE_MS: Millis = QUARANTINE_LIFE_MS;

/// Upper bound of the sets refused at a time; the oldest are dropped.
const MAX_REFUSED: usize = 1_024;

#[derive(Debug)]
struct Entry {
    evidence: Evidence,
    refused_ms: Millis,
    /// When a proof lifted the refusal, if it is not in force.
    lifted_ms: Option<Millis>,
    /// Whether this or an earlier refusal of the set was lifted.
    was_lifted: bool,
}

impl Entry {
    fn is_in_force(&self, now_ms: Millis) -> bool {
        self.lifted_ms.is_none() && !self.is_over(now_ms)
    }

    fn is_over(&self, now_ms: Millis) -> bool {
        now_ms >= self.refused_ms + REFUSAL_LIFE_MS
    }
}

/// Sets of parts whose requests are refused, and those whose refusal was lifted.
#[derive(Debug, Default)]
pub struct Refusals {
    entries: HashMap<PartSet, Entry>,
}

impl Refusals {
    /// Adds a refusal, or crashes to a known one; returns whether that is new. A refusal that was
    /// lifted is added again only if it was decided after that.
    pub fn add(&mut self, refusal: &PartRefusal, now_ms: Millis) -> bool {
        let mut new = Entry {
            evidence: refusal.evidence.clone(),
            refused_ms: now_ms.saturating_sub(Millis::from(refusal.age_ms)),
            lifted_ms: None,
            was_lifted: false,
        };
        if new.is_over(now_ms) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&refusal.parts) {
            if known.is_in_force(now_ms) {
                return known.evidence.merge(&refusal.evidence);
            }
            // A message ages by its way, and a new refusal takes longer than this.
            let is_old = |lifted_ms: Millis| new.refused_ms < lifted_ms + OBJECTION_MS;
            if known.lifted_ms.is_some_and(is_old) {
                return false;
            }
            new.was_lifted = known.was_lifted;
        }
        if self.entries.len() >= MAX_REFUSED {
            self.drop_oldest();
        }
        self.entries.insert(refusal.parts.clone(), new);
        true
    }

    /// Lifts the refusals that hold a part and of which all parts are proven; returns their sets.
    pub fn lift(
        &mut self,
        part: PartId,
        proven_ms: impl Fn(PartId) -> Option<Millis>,
        now_ms: Millis,
    ) -> Vec<PartSet> {
        let is_proven = |part: &PartId, refused_ms: Millis| {
            proven_ms(*part).is_some_and(|at_ms| refused_ms < at_ms + self.hold_ms(*part))
        };
        let sound: Vec<PartSet> = self
            .in_force(now_ms)
            .filter(|(set, _)| set.parts().contains(&part))
            .filter(|(set, entry)| {
                let mut parts = set.parts().iter();
                parts.all(|part| is_proven(part, entry.refused_ms))
            })
            .map(|(set, _)| set.clone())
            .collect();
        for set in &sound {
            if let Some(entry) = self.entries.get_mut(set) {
                entry.lifted_ms = Some(now_ms);
                entry.was_lifted = true;
            }
        }
        sound
    }

    /// How long after a proof crashes don't count against a part. One that has been refused before
    /// is held to proofs that follow its crashes.
    pub fn hold_ms(&self, part: PartId) -> Millis {
        let mut entries = self.entries.iter();
        let was_lifted =
            entries.any(|(set, entry)| entry.was_lifted && set.parts().contains(&part));
        if was_lifted { 0 } else { PROOF_HOLD_MS }
    }

    /// The refused set that a prompt with these parts holds, if there is one.
    pub fn find(&self, parts: &[PartId], now_ms: Millis) -> Option<&PartSet> {
        if self.entries.is_empty() {
            return None;
        }
        let mut in_force = self.in_force(now_ms);
        let (found, _) = in_force.find(|(refused, entry)| {
            refused.is_within(parts) && !self.is_explained_away(refused, entry, now_ms)
        })?;
        Some(found)
    }

    /// Whether a refused set explains a crash during requests that held a part and its companions.
    /// A set that all of these requests held does not: the part may be the cause in it.
    pub fn explains(
        &self,
        crash: CrashKey,
        part: PartId,
        companions: &[PartId],
        now_ms: Millis,
    ) -> bool {
        let held = PartSet::new(part, companions);
        let mut in_force = self.in_force(now_ms);
        in_force.any(|(refused, entry)| {
            let may_share_cause =
                refused.parts().contains(&part) && refused.is_within(held.parts());
            !may_share_cause && entry.evidence.crashes.contains(&crash)
        })
    }

    /// The refusals in force, for other boxes.
    pub fn list(&self, now_ms: Millis) -> Vec<PartRefusal> {
        let refusal = |(parts, entry): (&PartSet, &Entry)| PartRefusal {
            parts: parts.clone(),
            evidence: entry.evidence.clone(),
            age_ms: now_ms.saturating_sub(entry.refused_ms) as u32,
        };
        self.in_force(now_ms).map(refusal).collect()
    }

    /// Whether a set is refused.
    pub fn holds(&self, parts: &PartSet, now_ms: Millis) -> bool {
        let entry = self.entries.get(parts);
        entry.is_some_and(|entry| entry.is_in_force(now_ms))
    }

    /// Number of sets that are refused.
    pub fn count(&self, now_ms: Millis) -> usize {
        self.in_force(now_ms).count()
    }

    /// Drops entries whose time is over.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.entries.retain(|_, entry| !entry.is_over(now_ms));
    }

    fn in_force(&self, now_ms: Millis) -> impl Iterator<Item = (&PartSet, &Entry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.is_in_force(now_ms))
    }

    /// Whether another refused set explains the crashes better: two trackers may decide at the same
    /// moment.
    fn is_explained_away(&self, parts: &PartSet, entry: &Entry, now_ms: Millis) -> bool {
        let evidence = &entry.evidence;
        let mut others = self.in_force(now_ms).filter(|(other, _)| *other != parts);
        others.any(|(_, other)| {
            other.evidence.outranks(evidence)
                && other.evidence.overlaps(evidence)
                && evidence.count_beyond(&other.evidence) < CRASHES_TO_SUSPECT
        })
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.refused_ms);
        if let Some(oldest) = oldest.map(|(parts, _)| parts.clone()) {
            self.entries.remove(&oldest);
        }
    }
}
