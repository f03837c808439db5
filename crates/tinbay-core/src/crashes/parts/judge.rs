//! Decides which parts are suspected and which are refused.

use std::collections::HashMap;

use super::evidence::{CrashReport, Evidence, PartRefusal, PartSet, Proof, Suspicion, to_age_ms};
use super::ledger::PartLedger;
use super::proven::ProvenParts;
use super::refusals::Refusals;
use super::trials::Trials;
use super::{CRASHES_TO_SUSPECT, MAX_SUSPICION_MS, OBJECTION_MS};
use crate::crashes::ledger::CrashKey;
use crate::serving::prompt::PartId;
use crate::units::Millis;

/// Upper bound of the parts that are suspected at a time.
const MAX_SUSPECTED: usize = 256;

/// What a box tells others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Announcement {
    /// A part is suspected.
    Suspicion(Suspicion),
    /// Requests with these parts are refused.
    Refusal(PartRefusal),
}

/// What a message of another box changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// Nothing: it is known or over.
    Known,
    /// It is new and is to be passed on.
    New,
    /// This box has proof of the contrary.
    Disproved(Vec<Proof>),
}

/// What a proof changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProofEffect {
    /// Whether other boxes are to be told.
    pub is_news: bool,
    /// Sets whose refusal it lifts.
    pub lifted: Vec<PartSet>,
}

/// Crashes that this box has counted for a part.
struct Counted {
    evidence: Evidence,
    /// Parts that the part ran together with in all of them.
    companions: Vec<PartId>,
    first_ms: Millis,
}

/// A part that is suspected.
#[derive(Debug)]
struct Suspected {
    companions: Vec<PartId>,
    evidence: Evidence,
    since_ms: Millis,
    first_crash_ms: Millis,
    /// Whether this box has counted enough crashes itself.
    is_counted: bool,
}

/// What one box knows of suspected, proven and refused parts.
#[derive(Debug, Default)]
pub struct PartJudge {
    ledger: PartLedger,
    proven: ProvenParts,
    suspected: HashMap<PartId, Suspected>,
    refusals: Refusals,
    trials: Trials,
}

impl PartJudge {
    /// Records that a request with a part was answered, here or at another box.
    pub fn record_proof(&mut self, proof: Proof, now_ms: Millis) -> ProofEffect {
        let proven_ms = now_ms.saturating_sub(Millis::from(proof.age_ms));
        self.proven.record(proof.part, proven_ms);
        let covered_ms = proven_ms + self.refusals.hold_ms(proof.part);
        self.ledger.clear(proof.part, covered_ms);
        let is_cleared = self.clear_suspicion(proof.part, covered_ms, now_ms);
        let proven = &self.proven;
        let lifted = self
            .refusals
            .lift(proof.part, |part| proven.proven_ms(part), now_ms);
        ProofEffect {
            is_news: is_cleared || !lifted.is_empty(),
            lifted,
        }
    }

    /// The parts of a request that are not proven at a time.
    pub fn unproven(&self, parts: &[PartId], at_ms: Millis) -> Vec<PartId> {
        let is_unproven = |part: &&PartId| !self.is_proven(**part, at_ms);
        parts.iter().filter(is_unproven).copied().collect()
    }

    /// Records a crash during a request with a part, seen by this box or reported by another one.
    /// Returns what it makes known.
    pub fn record_crash(&mut self, report: &CrashReport, now_ms: Millis) -> Option<Announcement> {
        let crashed_ms = now_ms.saturating_sub(Millis::from(report.age_ms));
        if self.is_proven(report.part, crashed_ms) || !self.ledger.record(report, now_ms) {
            return None;
        }
        if let Some(grown) = self.add_to_refusal(report.part, now_ms) {
            return Some(Announcement::Refusal(grown));
        }
        let crashes = self.unexplained(report.part, now_ms)?;
        self.suspect(report.part, crashes, now_ms)
    }

    /// Refuses the suspected parts to which no box has objected in time, and drops suspicions that
    /// are over.
    pub fn judge(&mut self, now_ms: Millis) -> Vec<PartRefusal> {
        let due: Vec<PartId> = self
            .suspected
            .iter()
            .filter(|(_, suspected)| now_ms >= suspected.since_ms + OBJECTION_MS)
            .map(|(part, _)| *part)
            .collect();
        let mut refusals = Vec::new();
        for part in due {
            match self.judge_part(part, now_ms) {
                Judgement::Wait => {}
                Judgement::Drop => {
                    self.suspected.remove(&part);
                }
                Judgement::Refuse(refusal) => {
                    self.suspected.remove(&part);
                    if self.refusals.add(&refusal, now_ms) {
                        refusals.push(refusal);
                    }
                }
            }
        }
        refusals
    }

    /// Applies another box's suspicion.
    pub fn hear_suspicion(&mut self, suspicion: &Suspicion, now_ms: Millis) -> Heard {
        let first_crash_ms = now_ms.saturating_sub(Millis::from(suspicion.first_crash_age_ms));
        if let Some(proof) = self.proof(suspicion.part, first_crash_ms, now_ms) {
            return Heard::Disproved(vec![proof]);
        }
        let set = PartSet::new(suspicion.part, &suspicion.companions);
        if suspicion_is_over(suspicion) || self.refusals.holds(&set, now_ms) {
            return Heard::Known;
        }
        if let Some(known) = self.suspected.get_mut(&suspicion.part) {
            return if known.evidence.merge(&suspicion.evidence) {
                Heard::New
            } else {
                Heard::Known
            };
        }
        if self.suspected.len() >= MAX_SUSPECTED {
            return Heard::Known;
        }
        let suspected = Suspected {
            companions: suspicion.companions.clone(),
            evidence: suspicion.evidence.clone(),
            since_ms: now_ms.saturating_sub(Millis::from(suspicion.age_ms)),
            first_crash_ms,
            is_counted: false,
        };
        self.suspected.insert(suspicion.part, suspected);
        Heard::New
    }

    /// Applies another box's refusal, or one read from the store.
    pub fn hear_refusal(&mut self, refusal: &PartRefusal, now_ms: Millis) -> Heard {
        let refused_ms = now_ms.saturating_sub(Millis::from(refusal.age_ms));
        let parts = refusal.parts.parts();
        if parts.iter().all(|part| self.is_proven(*part, refused_ms)) {
            let proofs = parts
                .iter()
                .filter_map(|part| self.proof(*part, refused_ms, now_ms));
            return Heard::Disproved(proofs.collect());
        }
        if !self.refusals.add(refusal, now_ms) {
            return Heard::Known;
        }
        self.suspected
            .retain(|part, suspected| PartSet::new(*part, &suspected.companions) != refusal.parts);
        Heard::New
    }

    /// The refused set that a request with these parts holds, if there is one.
    pub fn refused_set(&self, parts: &[PartId], now_ms: Millis) -> Option<&PartSet> {
        self.refusals.find(parts, now_ms)
    }

    /// Whether a request with a refused set may reach a server, to show whether the set crashes it.
    /// That is so if the crashes that this box has counted may have had another cause, as too few
    /// were at different times, and only for one request after the other.
    pub fn allows_trial(&mut self, set: &PartSet, request: &str, now_ms: Millis) -> bool {
        let Some(last_crash_ms) = self.last_doubtful_crash_ms(set) else {
            return false;
        };
        self.trials.allow(set, request, last_crash_ms, now_ms)
    }

    /// Whether a set is refused.
    pub fn refuses(&self, set: &PartSet, now_ms: Millis) -> bool {
        self.refusals.holds(set, now_ms)
    }

    /// Whether a request with these parts has to wait for a judgement.
    pub fn is_awaiting_judgement(&self, parts: &[PartId], now_ms: Millis) -> bool {
        self.suspected.iter().any(|(part, suspected)| {
            PartSet::new(*part, &suspected.companions).is_within(parts)
                && !self.is_proven(*part, now_ms)
        })
    }

    /// Whether some part is suspected.
    pub fn has_suspected(&self) -> bool {
        !self.suspected.is_empty()
    }

    /// The refusals in force, for other boxes.
    pub fn list_refusals(&self, now_ms: Millis) -> Vec<PartRefusal> {
        self.refusals.list(now_ms)
    }

    /// Numbers of refused sets, of suspected parts, and of parts with counted crashes.
    pub fn counts(&self, now_ms: Millis) -> (usize, usize, usize) {
        let refused = self.refusals.count(now_ms);
        (refused, self.suspected.len(), self.ledger.count())
    }

    /// Drops refusals whose time is over.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.refusals.tidy(now_ms);
        let refusals = &self.refusals;
        self.trials.retain(|set| refusals.holds(set, now_ms));
    }

    /// Suspects a part, or adds crashes to the suspicion.
    fn suspect(&mut self, part: PartId, counted: Counted, now_ms: Millis) -> Option<Announcement> {
        if !self.suspected.contains_key(&part) && self.suspected.len() >= MAX_SUSPECTED {
            return None;
        }
        let suspected = self.suspected.entry(part).or_insert_with(|| Suspected {
            companions: Vec::new(),
            evidence: Evidence::default(),
            since_ms: now_ms,
            first_crash_ms: counted.first_ms,
            is_counted: true,
        });
        suspected.is_counted = true;
        suspected.companions = counted.companions;
        suspected.first_crash_ms = counted.first_ms;
        if !suspected.evidence.merge(&counted.evidence) {
            return None;
        }
        Some(Announcement::Suspicion(Suspicion {
            part,
            companions: suspected.companions.clone(),
            evidence: suspected.evidence.clone(),
            age_ms: to_age_ms(now_ms.saturating_sub(suspected.since_ms)),
            first_crash_age_ms: now_ms.saturating_sub(counted.first_ms) as u32,
        }))
    }

    /// Adds the counted crashes of a part to its refusal, if it is refused; returns the refusal if
    /// it has grown.
    fn add_to_refusal(&mut self, part: PartId, now_ms: Millis) -> Option<PartRefusal> {
        let crashes = self.ledger.crashes(part, |_, _| false);
        let refusal = PartRefusal {
            parts: PartSet::new(part, &crashes.companions()),
            evidence: crashes.evidence(),
            age_ms: 0,
        };
        if !self.refusals.holds(&refusal.parts, now_ms) || !self.refusals.add(&refusal, now_ms) {
            return None;
        }
        let mut refusals = self.refusals.list(now_ms).into_iter();
        refusals.find(|listed| listed.parts == refusal.parts)
    }

    /// The crashes of a part that no refusal of others explains, if they are enough.
    fn unexplained(&self, part: PartId, now_ms: Millis) -> Option<Counted> {
        let is_explained =
            |crash, companions: &[PartId]| self.refusals.explains(crash, part, companions, now_ms);
        let crashes = self.ledger.crashes(part, is_explained);
        if !crashes.suffice() {
            return None;
        }
        Some(Counted {
            evidence: crashes.evidence(),
            companions: crashes.companions(),
            first_ms: crashes.first_ms()?,
        })
    }

    /// Time of the last crash that this box has counted against a set, unless enough of them were at
    /// different times.
    fn last_doubtful_crash_ms(&self, set: &PartSet) -> Option<Millis> {
        set.parts().iter().find_map(|part| {
            let crashes = self.ledger.crashes(*part, |_, _| false);
            let is_of_set = PartSet::new(*part, &crashes.companions()) == *set;
            let is_doubtful = is_of_set && crashes.suffice() && !crashes.are_enough_apart();
            crashes.last_ms().filter(|_| is_doubtful)
        })
    }

    fn judge_part(&self, part: PartId, now_ms: Millis) -> Judgement {
        let Some(suspected) = self.suspected.get(&part) else {
            return Judgement::Drop;
        };
        let is_over = now_ms >= suspected.since_ms + MAX_SUSPICION_MS;
        if !suspected.is_counted {
            let is_explained = self.is_explained(part, suspected, now_ms);
            return Judgement::wait_unless(is_over || is_explained);
        }
        let Some(counted) = self.unexplained(part, now_ms) else {
            return Judgement::Drop;
        };
        if self.is_outranked(part, &counted.evidence) {
            return Judgement::wait_unless(is_over);
        }
        Judgement::Refuse(PartRefusal {
            parts: PartSet::new(part, &counted.companions),
            evidence: counted.evidence,
            age_ms: 0,
        })
    }

    /// Whether refusals of others leave too few crashes of a suspicion.
    fn is_explained(&self, part: PartId, suspected: &Suspected, now_ms: Millis) -> bool {
        let companions = &suspected.companions;
        let is_left =
            |crash: &&CrashKey| !self.refusals.explains(**crash, part, companions, now_ms);
        let crashes = suspected.evidence.crashes.iter();
        crashes.filter(is_left).count() < CRASHES_TO_SUSPECT
    }

    /// Whether another suspected part explains the crashes better and is to be judged first.
    fn is_outranked(&self, part: PartId, evidence: &Evidence) -> bool {
        self.suspected.iter().any(|(other, suspected)| {
            *other != part
                && suspected.evidence.overlaps(evidence)
                && suspected.evidence.outranks(evidence)
        })
    }

    /// Whether a crash at a time does not count against a part.
    fn is_proven(&self, part: PartId, at_ms: Millis) -> bool {
        let proven_ms = self.proven.proven_ms(part);
        proven_ms.is_some_and(|proven_ms| at_ms < proven_ms + self.refusals.hold_ms(part))
    }

    /// The proof of a part, if a crash at a time does not count against it.
    fn proof(&self, part: PartId, at_ms: Millis, now_ms: Millis) -> Option<Proof> {
        let proven_ms = self.proven.proven_ms(part)?;
        self.is_proven(part, at_ms).then(|| Proof {
            part,
            age_ms: now_ms.saturating_sub(proven_ms) as u32,
        })
    }

    /// Drops the suspicion of a part whose crashes up to a time don't count, unless enough are left;
    /// returns whether it did.
    fn clear_suspicion(&mut self, part: PartId, covered_ms: Millis, now_ms: Millis) -> bool {
        let Some(suspected) = self.suspected.get(&part) else {
            return false;
        };
        let is_doubted = suspected.first_crash_ms < covered_ms;
        if !is_doubted || (suspected.is_counted && self.unexplained(part, now_ms).is_some()) {
            return false;
        }
        self.suspected.remove(&part);
        true
    }
}

/// What becomes of a suspicion.
enum Judgement {
    Wait,
    Drop,
    Refuse(PartRefusal),
}

impl Judgement {
    fn wait_unless(is_over: bool) -> Self {
        if is_over {
            Judgement::Drop
        } else {
            Judgement::Wait
        }
    }
}

fn suspicion_is_over(suspicion: &Suspicion) -> bool {
    Millis::from(suspicion.age_ms) >= MAX_SUSPICION_MS
}
