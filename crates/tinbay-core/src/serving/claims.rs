//! Who may order a server: one holder at a time, by a claim in the store.
//!
//! Servers need not check who orders them, so safety rests on time. A holder orders only
//! while its last proof (its own leased entry seen in the store) is young. A taker writes
//! over a claim only after it has itself seen the holder's entry missing for longer than a
//! proof lasts, and in one transaction with that entry still missing. Only spans of each
//! box's own monotonic clock are compared, never times of two boxes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

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

/// The value of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The box that may order.
    pub holder: String,
    /// Whether it has given its last order.
    pub is_released: bool,
}

/// A claim as seen in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// What it says.
    pub value: ClaimValue,
    /// Its revision, which is the token of its holder's orders.
    pub token: u64,
    /// When this revision was first seen.
    pub seen_ms: Millis,
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
    by_address: HashMap<String, Claim>,
}

impl ClaimTable {
    /// Notes a claim as the store shows it; older revisions are passed over.
    pub fn note(&mut self, address: &str, value: &[u8], token: u64, now_ms: Millis) {
        let Ok(value) = serde_json::from_slice::<ClaimValue>(value) else {
            return;
        };
        let known = self.by_address.get(address);
        if known.is_some_and(|known| known.token >= token) {
            return;
        }
        let claim = Claim {
            value,
            token,
            seen_ms: now_ms,
        };
        self.by_address.insert(address.to_string(), claim);
    }

    /// The claim on a server.
    pub fn get(&self, address: &str) -> Option<&Claim> {
        self.by_address.get(address)
    }

    /// The box that holds the claim on a server and has not released it.
    pub fn holder_of(&self, address: &str) -> Option<&str> {
        let claim = self.by_address.get(address)?;
        (!claim.value.is_released).then_some(claim.value.holder.as_str())
    }

    /// The token with which `box_id` may order the server, if it holds the claim.
    pub fn token_of(&self, address: &str, box_id: &str) -> Option<u64> {
        let is_own = self.holder_of(address) == Some(box_id);
        is_own.then(|| self.by_address[address].token)
    }

    /// Addresses whose claims `box_id` holds.
    pub fn held_by(&self, box_id: &str) -> Vec<String> {
        self.by_address
            .iter()
            .filter(|(_, claim)| claim.value.holder == box_id && !claim.value.is_released)
            .map(|(address, _)| address.clone())
            .collect()
    }
}

/// Whether `box_id` may write over a claim now; the transaction must still expect the
/// claim's revision, and the holder's entry missing where it is another box's.
pub fn may_take(
    claim: Option<&Claim>,
    box_id: &str,
    entry: HolderEntry,
    terms: &ClaimTerms,
    now_ms: Millis,
) -> bool {
    let Some(claim) = claim else {
        return true;
    };
    if claim.value.holder == box_id {
        return claim.value.is_released;
    }
    if claim.value.is_released {
        return now_ms >= claim.seen_ms + terms.holder_gap_ms + terms.margin_ms;
    }
    match entry {
        HolderEntry::Listed => false,
        HolderEntry::MissingSince(since_ms) => {
            now_ms >= since_ms + terms.proof_life_ms + terms.holder_gap_ms + terms.margin_ms
        }
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
        self.asked_ms
            .is_some_and(|asked_ms| now_ms < asked_ms + terms.proof_life_ms)
    }
}
