//! Claims in the key-value store that let one box at a time, the holder, send orders to a server.
//!
//! Orders load and unload base models and adapters. Servers do not check who sends orders, so
//! safety rests on time. A holder sends orders only while its last proof (its own leased entry seen
//! in the store) is recent. Another box overwrites a claim only after it has itself seen the
//! holder's entry missing for longer than a proof lasts, and in one transaction that requires the
//! entry to be still missing. Only durations on each box's own monotonic clock are compared, never
//! times of two boxes.
//!
//! A claim names the process that wrote it, so that a box that starts again doesn't order servers
//! under the claims of its process before: that one's release may still be on its way to the store.
//! The new process writes the claims anew first, which makes a late release fail.
//!
//! An order may arrive some time after it was sent, even after its process has ended. The fencing
//! token of a server's orders therefore changes only once no order with the last one can arrive:
//! a box that writes its own claim anew keeps the claim's token, and another box waits for the
//! delivery of orders as well. A claim names the machine, too, since another machine may run under
//! the name of a box; its orders are those of another holder.
//!
//! A store restored from a backup has lost claims or shows older ones. A claim names the era in
//! which it was written, and only claims of the current era bind. The holder of a server continues
//! under its last proof and rewrites its claim at once; all other boxes wait until every proof of
//! the former era has expired, so that nobody else can have taken the server meanwhile. A box that
//! starts and cannot know when the store was restored waits as long from its start, unless a key in
//! the store says that the wait has already passed in this era.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::position::{Era, Position, Revision};
use crate::units::Millis;

/// Durations that holders and boxes that take over claims keep to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTerms {
    /// How long a proof lasts; longer than usual outages of the store.
    pub proof_life_ms: Millis,
    /// Time after which the network no longer delivers an order that it has not delivered yet.
    pub delivery_ms: Millis,
    /// Least time between the last order of one holder and the first order of the next.
    pub holder_gap_ms: Millis,
    /// Margin for clock drift and for the time between a check and the send that follows it.
    pub margin_ms: Millis,
}

impl ClaimTerms {
    /// Time since the holder's entry went missing after which another box may take over: the proof
    /// cannot have been renewed meanwhile, and what was sent under it has been delivered or lost.
    fn takeover_ms(&self) -> Millis {
        self.proof_life_ms + self.delivery_ms + self.holder_gap_ms + self.margin_ms
    }
}

/// Number that a process draws at its start, by which it tells its claims from those of earlier
/// processes of the same box; never 0.
pub type ProcessId = u64;

/// A claim as it is written to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Box that may send orders.
    pub holder: String,
    /// Whether the holder has sent its last order.
    pub is_released: bool,
    /// Era in which the claim was written.
    #[serde(default)]
    pub era: Era,
    /// Process of the holder that wrote the claim; 0 if it didn't say so.
    #[serde(default)]
    pub process: ProcessId,
    /// Address of the machine that the process runs on; none if it didn't say so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<IpAddr>,
    /// Fencing token of the orders, if the claim continues an earlier one of the same machine;
    /// otherwise it follows from the position of the claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continued_token: Option<u64>,
}

/// The process that a box runs in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnProcess {
    /// Number of the process.
    pub id: ProcessId,
    /// Address of the machine that it runs on.
    pub machine: Option<IpAddr>,
}

/// Whether a claim is valid in the current era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimValidity {
    /// Written in the current era, and binding.
    Current,
    /// Written in the previous era; the holder may send orders until its last proof of that era
    /// ends.
    CarriedOver {
        /// End of this box's own proof when it saw the new era; only the holder itself uses it.
        until_ms: Millis,
    },
    /// Restored from a backup; newer claims may have been lost.
    Restored,
    /// Not a claim, and this box knows none that it has replaced: its holder is not known.
    Unreadable,
}

/// What a value read from the store has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Nothing, as a newer value is known.
    Ignored,
    /// It is a claim.
    Claim,
    /// It is no claim.
    Unreadable,
}

/// A claim as this box knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Holder and release state.
    pub value: ClaimValue,
    /// Position at which it was written.
    pub position: Position,
    /// When this box first saw it at this position.
    pub seen_ms: Millis,
    /// Whether it is valid in the current era.
    pub validity: ClaimValidity,
    /// Whether this box, its holder, has begun to release it.
    pub is_being_released: bool,
    /// Whether something that is no claim has replaced it in the store. It goes on to bind.
    pub is_overwritten: bool,
}

impl Claim {
    /// Fencing token of the holder's orders.
    pub fn fencing_token(&self) -> u64 {
        let continued = self.value.continued_token;
        continued.unwrap_or_else(|| self.position.fencing_token())
    }

    /// Whether it tells who may order the server, at least until the end of a proof.
    fn is_known(&self) -> bool {
        match self.validity {
            ClaimValidity::Current | ClaimValidity::CarriedOver { .. } => true,
            ClaimValidity::Restored | ClaimValidity::Unreadable => false,
        }
    }

    /// Whether the claim was written on another machine than the given one, as far as is known.
    fn is_of_another_machine(&self, machine: Option<IpAddr>) -> bool {
        let machines = self.value.machine.zip(machine);
        machines.is_some_and(|(of_claim, own)| of_claim != own)
    }
}

/// What a box that wants to take over knows about the holder's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderEntry {
    /// The entry is in the store.
    Listed,
    /// The entry has been missing since this time, without an interruption of the watch.
    MissingSince(Millis),
}

/// Claims by the address of the server.
#[derive(Debug, Default)]
pub struct ClaimTable {
    own_process: OwnProcess,
    era: Era,
    /// When this box first saw the current era; none where the store has no eras.
    era_seen_ms: Option<Millis>,
    /// Era for which the store says that all proofs of former eras have expired.
    settled_era_in_store: Option<Era>,
    by_address: HashMap<String, Claim>,
    /// Current revisions of the claims in the store.
    stored_revisions: HashMap<String, Revision>,
}

impl ClaimTable {
    /// An empty table for a process of a box.
    pub fn of_process(own_process: OwnProcess) -> Self {
        Self {
            own_process,
            ..Self::default()
        }
    }

    /// Process of this box.
    pub fn own_process(&self) -> OwnProcess {
        self.own_process
    }

    /// Starts an era, when the store names its first one or another one than before.
    /// `own_proof_end_ms` is the end of the proof under which this box sends orders.
    pub fn begin_era(&mut self, era: Era, own_proof_end_ms: Millis, now_ms: Millis) {
        self.era = era;
        self.era_seen_ms = Some(now_ms);
        self.stored_revisions.clear();
        for claim in self.by_address.values_mut() {
            if claim.validity == ClaimValidity::Current {
                claim.validity = ClaimValidity::CarriedOver {
                    until_ms: own_proof_end_ms,
                };
            }
        }
    }

    /// Records that, according to the store, all proofs of eras before this one have expired.
    pub fn record_settled(&mut self, era: Era) {
        self.settled_era_in_store = Some(era);
    }

    /// The latest era for which the store says that all proofs of former eras have expired.
    pub fn settled_era(&self) -> Option<Era> {
        self.settled_era_in_store
    }

    /// Whether all proofs of former eras have expired.
    pub fn is_settled(&self, terms: &ClaimTerms, now_ms: Millis) -> bool {
        let Some(seen_ms) = self.era_seen_ms else {
            return true;
        };
        self.settled_era_in_store == Some(self.era) || now_ms >= seen_ms + terms.takeover_ms()
    }

    /// Records a claim read from the store; older revisions and revisions of a former era are
    /// ignored. Another writer may have put something else in its place.
    pub fn record(
        &mut self,
        address: &str,
        value: &[u8],
        position: Position,
        now_ms: Millis,
    ) -> RecordOutcome {
        if position.era != self.era {
            return RecordOutcome::Ignored;
        }
        let stored_revision = self
            .stored_revisions
            .entry(address.to_string())
            .or_default();
        if *stored_revision >= position.revision && *stored_revision > 0 {
            return RecordOutcome::Ignored;
        }
        *stored_revision = position.revision;
        match serde_json::from_slice::<ClaimValue>(value) {
            Ok(value) => {
                self.record_claim(address, value, position, now_ms);
                RecordOutcome::Claim
            }
            Err(_) => {
                self.record_unreadable(address, position, now_ms);
                RecordOutcome::Unreadable
            }
        }
    }

    /// Keeps the claim that is known, as its holder may go on to order the server.
    fn record_unreadable(&mut self, address: &str, position: Position, now_ms: Millis) {
        let unreadable = Claim {
            value: ClaimValue::default(),
            position,
            seen_ms: now_ms,
            validity: ClaimValidity::Unreadable,
            is_being_released: false,
            is_overwritten: false,
        };
        let claims = self.by_address.entry(address.to_string());
        claims
            .and_modify(|claim| claim.is_overwritten = true)
            .or_insert(unreadable);
    }

    fn record_claim(
        &mut self,
        address: &str,
        value: ClaimValue,
        position: Position,
        now_ms: Millis,
    ) {
        let is_current = value.era == position.era;
        let known = self.by_address.get(address);
        let has_valid_claim = known.is_some_and(Claim::is_known);
        if !is_current && has_valid_claim {
            // The backup holds an older state than this box has seen.
            return;
        }
        let validity = if is_current {
            ClaimValidity::Current
        } else {
            ClaimValidity::Restored
        };
        let claim = Claim {
            value,
            position,
            seen_ms: now_ms,
            validity,
            is_being_released: false,
            is_overwritten: false,
        };
        self.by_address.insert(address.to_string(), claim);
    }

    /// The claim on a server, if one is known.
    pub fn get(&self, address: &str) -> Option<&Claim> {
        self.by_address.get(address)
    }

    /// Position of the claim in the store, for a transaction that replaces it.
    pub fn stored_position(&self, address: &str) -> Position {
        let revision = self
            .stored_revisions
            .get(address)
            .copied()
            .unwrap_or_default();
        Position::new(self.era, revision)
    }

    /// The current era; none where the store has not named one yet.
    pub fn era(&self) -> Option<Era> {
        self.era_seen_ms.map(|_| self.era)
    }

    /// When this box first saw the current era.
    pub fn era_seen_ms(&self) -> Option<Millis> {
        self.era_seen_ms
    }

    /// Box that holds the claim on a server and has not released it.
    pub fn holder_of(&self, address: &str) -> Option<&str> {
        let claim = self.by_address.get(address)?;
        let has_holder = !claim.value.is_released && claim.validity != ClaimValidity::Unreadable;
        has_holder.then_some(claim.value.holder.as_str())
    }

    /// Begins to release the claim on a server. No more orders are sent under it, as the call that
    /// writes the release may have been executed although its answer is missing; it ends with the
    /// next revision of the claim.
    pub fn begin_release(&mut self, address: &str) {
        if let Some(claim) = self.by_address.get_mut(address) {
            claim.is_being_released = true;
        }
    }

    /// Whether this box has begun to release the claim on a server, without knowing the result yet.
    pub fn is_being_released(&self, address: &str) -> bool {
        self.get(address)
            .is_some_and(|claim| claim.is_being_released)
    }

    /// Fencing token for orders of `box_id` to the server, if it holds the claim.
    pub fn token_of(&self, address: &str, box_id: &str, now_ms: Millis) -> Option<u64> {
        let claim = self.by_address.get(address)?;
        let is_own = self.is_held_by_process(claim, box_id);
        let binds = match claim.validity {
            ClaimValidity::Current => true,
            ClaimValidity::CarriedOver { until_ms } => now_ms < until_ms,
            ClaimValidity::Restored | ClaimValidity::Unreadable => false,
        };
        let may_order = is_own && binds && !claim.is_being_released;
        may_order.then(|| claim.fencing_token())
    }

    fn is_held_by_process(&self, claim: &Claim, box_id: &str) -> bool {
        let is_own = claim.value.holder == box_id && claim.value.process == self.own_process.id;
        is_own && !claim.value.is_released
    }

    /// Whether an earlier process of `box_id`, this box, holds a server in the current era. Of an
    /// earlier era, another box may have taken the server since.
    pub fn is_held_by_earlier_process(&self, address: &str, box_id: &str) -> bool {
        self.get(address).is_some_and(|claim| {
            let is_earlier = claim.value.process != self.own_process.id;
            self.is_held_by_machine(claim, box_id)
                && is_earlier
                && claim.validity == ClaimValidity::Current
        })
    }

    fn is_held_by_machine(&self, claim: &Claim, box_id: &str) -> bool {
        let is_own = claim.value.holder == box_id && !claim.value.is_released;
        is_own && !claim.is_of_another_machine(self.own_process.machine)
    }

    /// Token with which `box_id`, this box, continues when it writes its claim on a server anew, as
    /// orders with that token may still arrive; none if it holds none or must no longer use it.
    pub fn continued_token(&self, address: &str, box_id: &str, now_ms: Millis) -> Option<u64> {
        let claim = self.get(address)?;
        let may_continue = match claim.validity {
            ClaimValidity::Current => self.is_held_by_machine(claim, box_id),
            ClaimValidity::CarriedOver { .. } => {
                return self.token_of(address, box_id, now_ms);
            }
            ClaimValidity::Restored | ClaimValidity::Unreadable => false,
        };
        may_continue.then(|| claim.fencing_token())
    }

    /// Addresses of the servers whose claims `box_id` holds in the current era and has not begun to
    /// release.
    pub fn held_by(&self, box_id: &str) -> Vec<String> {
        let is_held = |claim: &Claim| {
            self.is_held_by_process(claim, box_id)
                && claim.validity == ClaimValidity::Current
                && !claim.is_being_released
        };
        self.by_address
            .iter()
            .filter(|(_, claim)| is_held(claim))
            .map(|(address, _)| address.clone())
            .collect()
    }

    /// Whether `box_id` holds a server by a claim that the store no longer shows, and has not written
    /// it again yet: the store was restored, or another writer has overwritten the claim.
    pub fn is_to_be_renewed(&self, address: &str, box_id: &str, now_ms: Millis) -> bool {
        let is_not_stored = |claim: &Claim| {
            let is_carried_over = matches!(claim.validity, ClaimValidity::CarriedOver { .. });
            is_carried_over || claim.is_overwritten
        };
        self.get(address).is_some_and(is_not_stored)
            && self.token_of(address, box_id, now_ms).is_some()
    }

    /// Number of servers whose claims `box_id` has not rewritten yet.
    pub fn to_be_renewed(&self, box_id: &str, now_ms: Millis) -> usize {
        let addresses = self.by_address.keys();
        addresses
            .filter(|address| self.is_to_be_renewed(address, box_id, now_ms))
            .count()
    }

    /// Whether `box_id` may overwrite the claim on a server now. The transaction must still require
    /// the claim to be at its known position and, where another box holds it, that box's entry to
    /// be missing. `entry` tells of the holder's entry; where the holder is another machine under
    /// the name of this box, that has been missing since this box wrote its own.
    pub fn may_take(
        &self,
        address: &str,
        box_id: &str,
        entry: HolderEntry,
        terms: &ClaimTerms,
        now_ms: Millis,
    ) -> bool {
        match self.get(address) {
            Some(claim) if claim.validity == ClaimValidity::Current => {
                let is_own = claim.value.holder == box_id
                    && !claim.is_of_another_machine(self.own_process.machine);
                if is_own {
                    return !self.is_held_by_process(claim, box_id);
                }
                may_take_from_other(claim, entry, terms, now_ms)
            }
            Some(claim) if claim.validity == ClaimValidity::Unreadable => {
                now_ms >= claim.seen_ms + terms.takeover_ms() && self.is_settled(terms, now_ms)
            }
            _ => self.is_to_be_renewed(address, box_id, now_ms) || self.is_settled(terms, now_ms),
        }
    }
}

fn may_take_from_other(
    claim: &Claim,
    entry: HolderEntry,
    terms: &ClaimTerms,
    now_ms: Millis,
) -> bool {
    if claim.value.is_released {
        return now_ms >= claim.seen_ms + terms.holder_gap_ms + terms.margin_ms;
    }
    match entry {
        HolderEntry::Listed => false,
        HolderEntry::MissingSince(since_ms) => now_ms >= since_ms + terms.takeover_ms(),
    }
}

/// A box's proof that its own entry was in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Proof {
    query_sent_ms: Option<Millis>,
}

impl Proof {
    /// Extends the proof: a query sent at `query_sent_ms` found the entry.
    pub fn renew(&mut self, query_sent_ms: Millis) {
        self.query_sent_ms = self.query_sent_ms.max(Some(query_sent_ms));
    }

    /// Withdraws the proof, so that no more orders are sent under it.
    pub fn revoke(&mut self) {
        self.query_sent_ms = None;
    }

    /// Whether orders may be sent now.
    pub fn holds(&self, terms: &ClaimTerms, now_ms: Millis) -> bool {
        now_ms < self.end_ms(terms)
    }

    /// When the proof ends; 0 where there is none.
    pub fn end_ms(&self, terms: &ClaimTerms) -> Millis {
        self.query_sent_ms
            .map_or(0, |query_sent_ms| query_sent_ms + terms.proof_life_ms)
    }
}
