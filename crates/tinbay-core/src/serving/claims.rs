//! Who may order a server: one holder at a time, by a claim in the store.
//!
//! Servers need not check who orders them, so safety rests on time. A holder orders only
//! while its last proof (its own leased entry seen in the store) is young. A taker writes
//! over a claim only after it has itself seen the holder's entry missing for longer than a
//! proof lasts, and in one transaction with that entry still missing. Only spans of each
//! box's own monotonic clock are compared, never times of two boxes.
//!
//! A store that comes back from a backup has forgotten claims, or shows older ones. A claim says in
//! which era it was written, and only one of the present era binds by itself. Who held a server goes
//! on under its last proof and writes its claim again at once; all others wait until every proof of
//! the former era is over, so that nobody else can have taken it meanwhile. A box that starts and
//! can't know when the store came back waits as long from its start, unless a mark in the store says
//! that somebody has waited in this era.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::position::{Era, Position, Revision};
use crate::units::Millis;

/// Spans that holders and takers keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTerms {
    /// How long a proof lasts; longer than usual outages of the store.
    pub proof_life_ms: Millis,
    /// Time that must lie between orders of two holders to one server.
    pub holder_gap_ms: Millis,
    /// Time for messages under way and for clocks that run apart.
    pub margin_ms: Millis,
}

impl ClaimTerms {
    /// Time after which another holder may order whose proof can't have been renewed meanwhile.
    fn takeover_ms(&self) -> Millis {
        self.proof_life_ms + self.holder_gap_ms + self.margin_ms
    }
}

/// The value of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The box that may order.
    pub holder: String,
    /// Whether it has given its last order.
    pub is_released: bool,
    /// Era in which it was written.
    #[serde(default)]
    pub era: Era,
}

/// What a claim is worth in the present era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Written in this era: it binds.
    Current,
    /// Known from the era before; who held the server goes on until its last proof of that era ends.
    Carried {
        /// End of the own proof when this box saw the new era; only the holder itself reads it.
        until_ms: Millis,
    },
    /// Read from a store that came back with it; others may have been written since.
    Leftover,
}

/// A claim as this box knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// What it says.
    pub value: ClaimValue,
    /// Where it was written; the token of its holder's orders follows from it.
    pub position: Position,
    /// When it was first seen there.
    pub seen_ms: Millis,
    /// What it is worth.
    pub standing: Standing,
}

/// What a taker knows of the holder's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderEntry {
    /// It is in the store.
    Listed,
    /// It has been seen missing, without a break in watching, since then.
    MissingSince(Millis),
}

/// Claims by the server's address.
#[derive(Debug, Default)]
pub struct ClaimTable {
    era: Era,
    /// When this box first saw the present era; none where the store names no eras.
    era_seen_ms: Option<Millis>,
    /// Era of which the store says that all proofs of former ones are over.
    settled: Option<Era>,
    by_address: HashMap<String, Claim>,
    /// Revisions of the claims as they stand in the store now.
    stored: HashMap<String, Revision>,
}

impl ClaimTable {
    /// Notes the era that the store is in, where it is the first one that this box sees or another
    /// than was known; `own_proof_end_ms` is the end of the
    /// proof by which this box orders.
    pub fn begin_era(&mut self, era: Era, own_proof_end_ms: Millis, now_ms: Millis) {
        self.era = era;
        self.era_seen_ms = Some(now_ms);
        self.stored.clear();
        for claim in self.by_address.values_mut() {
            if claim.standing == Standing::Current {
                claim.standing = Standing::Carried {
                    until_ms: own_proof_end_ms,
                };
            }
        }
    }

    /// Notes that the store says of an era that all proofs of former ones are over.
    pub fn note_settled(&mut self, era: Era) {
        self.settled = Some(era);
    }

    /// The era that the store says is settled.
    pub fn settled_era(&self) -> Option<Era> {
        self.settled
    }

    /// Whether all proofs of former eras are over.
    pub fn is_settled(&self, terms: &ClaimTerms, now_ms: Millis) -> bool {
        let Some(seen_ms) = self.era_seen_ms else {
            return true;
        };
        self.settled == Some(self.era) || now_ms >= seen_ms + terms.takeover_ms()
    }

    /// Notes a claim as the store shows it; older ones, and those of a former era, are passed over.
    pub fn note(&mut self, address: &str, value: &[u8], position: Position, now_ms: Millis) {
        let Ok(value) = serde_json::from_slice::<ClaimValue>(value) else {
            return;
        };
        if position.era != self.era {
            return;
        }
        let stored = self.stored.entry(address.to_string()).or_default();
        if *stored >= position.revision && *stored > 0 {
            return;
        }
        *stored = position.revision;
        let is_current = value.era == position.era;
        let known = self.by_address.get(address);
        let is_known_better = known.is_some_and(|known| known.standing != Standing::Leftover);
        if !is_current && is_known_better {
            // The store came back with an older state of what this box has seen.
            return;
        }
        let standing = if is_current {
            Standing::Current
        } else {
            Standing::Leftover
        };
        let claim = Claim {
            value,
            position,
            seen_ms: now_ms,
            standing,
        };
        self.by_address.insert(address.to_string(), claim);
    }

    /// The claim on a server.
    pub fn get(&self, address: &str) -> Option<&Claim> {
        self.by_address.get(address)
    }

    /// Where the claim on a server stands in the store now, for a transaction that replaces it.
    pub fn stored_position(&self, address: &str) -> Position {
        let revision = self.stored.get(address).copied().unwrap_or_default();
        Position::new(self.era, revision)
    }

    /// The present era; none where the store has named none yet.
    pub fn era(&self) -> Option<Era> {
        self.era_seen_ms.map(|_| self.era)
    }

    /// When this box first saw the present era.
    pub fn era_seen_ms(&self) -> Option<Millis> {
        self.era_seen_ms
    }

    /// The box that holds the claim on a server and has not released it.
    pub fn holder_of(&self, address: &str) -> Option<&str> {
        let claim = self.by_address.get(address)?;
        (!claim.value.is_released).then_some(claim.value.holder.as_str())
    }

    /// The token with which `box_id` may order the server, if it holds the claim.
    pub fn token_of(&self, address: &str, box_id: &str, now_ms: Millis) -> Option<u64> {
        let claim = self.by_address.get(address)?;
        let is_own = claim.value.holder == box_id && !claim.value.is_released;
        let binds = match claim.standing {
            Standing::Current => true,
            Standing::Carried { until_ms } => now_ms < until_ms,
            Standing::Leftover => false,
        };
        (is_own && binds).then(|| claim.position.fencing_token())
    }

    /// Addresses whose claims `box_id` holds in the present era.
    pub fn held_by(&self, box_id: &str) -> Vec<String> {
        let is_held = |claim: &Claim| {
            let is_own = claim.value.holder == box_id && !claim.value.is_released;
            is_own && claim.standing == Standing::Current
        };
        self.by_address
            .iter()
            .filter(|(_, claim)| is_held(claim))
            .map(|(address, _)| address.clone())
            .collect()
    }

    /// Whether `box_id` held a server as the store came back, still does by its last proof, and has
    /// yet to write its claim again.
    pub fn is_to_be_renewed(&self, address: &str, box_id: &str, now_ms: Millis) -> bool {
        let is_carried = |claim: &Claim| matches!(claim.standing, Standing::Carried { .. });
        self.get(address).is_some_and(is_carried)
            && self.token_of(address, box_id, now_ms).is_some()
    }

    /// Servers whose claims `box_id` has yet to write again.
    pub fn to_be_renewed(&self, box_id: &str, now_ms: Millis) -> usize {
        let addresses = self.by_address.keys();
        addresses
            .filter(|address| self.is_to_be_renewed(address, box_id, now_ms))
            .count()
    }

    /// Whether `box_id` may write over the claim on a server now; the transaction must still expect
    /// the claim where it stands, and the holder's entry missing where it is another box's.
    pub fn may_take(
        &self,
        address: &str,
        box_id: &str,
        entry: HolderEntry,
        terms: &ClaimTerms,
        now_ms: Millis,
    ) -> bool {
        match self.get(address) {
            Some(claim) if claim.standing == Standing::Current => {
                may_take_current(claim, box_id, entry, terms, now_ms)
            }
            _ => self.is_to_be_renewed(address, box_id, now_ms) || self.is_settled(terms, now_ms),
        }
    }
}

fn may_take_current(
    claim: &Claim,
    box_id: &str,
    entry: HolderEntry,
    terms: &ClaimTerms,
    now_ms: Millis,
) -> bool {
    if claim.value.holder == box_id {
        return claim.value.is_released;
    }
    if claim.value.is_released {
        return now_ms >= claim.seen_ms + terms.holder_gap_ms + terms.margin_ms;
    }
    match entry {
        HolderEntry::Listed => false,
        HolderEntry::MissingSince(since_ms) => now_ms >= since_ms + terms.takeover_ms(),
    }
}

/// A box's proof that its own entry stood in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Proof {
    asked_ms: Option<Millis>,
}

impl Proof {
    /// Notes that a question asked then found the entry.
    pub fn renew(&mut self, asked_ms: Millis) {
        self.asked_ms = self.asked_ms.max(Some(asked_ms));
    }

    /// Takes the proof back.
    pub fn revoke(&mut self) {
        self.asked_ms = None;
    }

    /// Whether orders may be given now.
    pub fn holds(&self, terms: &ClaimTerms, now_ms: Millis) -> bool {
        now_ms < self.end_ms(terms)
    }

    /// When it ends; 0 where there is none.
    pub fn end_ms(&self, terms: &ClaimTerms) -> Millis {
        self.asked_ms
            .map_or(0, |asked_ms| asked_ms + terms.proof_life_ms)
    }
}
