//! Keeps this box's leased entry in the store, and with it the proof that it may order.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;

use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Lease, MOST_ENTRIES, StoreError, StoreResult, Transaction};
use crate::watch::boxes::{CLAIM_PREFIX, MEMBER_PREFIX, PREFIX as BOXES_PREFIX};
use crate::watch::{counted, sleep_with_jitter};

/// Life of the lease of the box's entry.
const LEASE_LIFE_MS: Millis = 8_000;

/// Pause between proofs; several fit into the life of one.
const PROOF_PAUSE_MS: Millis = 3_000;

/// Time for which a watch may hear nothing of changes that are made: the store may drop its
/// history then, and cut the watch a second later.
const WATCH_BLIND_MS: Millis = 1_500;

/// Age up to which what is seen of the store serves as proof; beyond it the store is read.
const MOST_EVIDENCE_AGE_MS: Millis = 6_000;

/// First pause after a failed call.
const RETRY_PAUSE_MS: Millis = 300;

/// Longest pause after failed calls. A box that is told what others see of the store is woken as
/// soon as one of them sees it again; with 195 boxes and the store away for 14 s, a pause of
/// 300 ms for all of them made some 9,000 calls in vain.
const LONGEST_RETRY_PAUSE_MS: Millis = 2_400;

/// Time over which boxes that are woken together come back to the store.
const RETURN_SPREAD_MS: Millis = 300;

#[derive(Serialize)]
struct ProofEvent {
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// The box's entry as it last wrote it.
#[derive(Debug, Default)]
struct Entry {
    lease: Option<Lease>,
    is_written: bool,
    written_as_leaving: bool,
    written_at: Position,
}

/// Keeps the entry until the box stops.
pub async fn keep(node: Rc<Node>) {
    let mut entry = Entry::default();
    let mut retry_ms = RETRY_PAUSE_MS;
    loop {
        let result = renew(&node, &mut entry).await;
        let pause_ms = if result.is_ok() {
            retry_ms = RETRY_PAUSE_MS;
            PROOF_PAUSE_MS
        } else {
            let pause_ms = retry_ms;
            retry_ms = (retry_ms * 2).min(LONGEST_RETRY_PAUSE_MS);
            pause_ms
        };
        let held = node.proof.get().holds(&node.claim_terms(), node.now_ms());
        if let (Err(error), false) = (&result, held) {
            let event = ProofEvent {
                error: Some(error.to_string()),
            };
            events::emit(part::ORDERS, Level::Warn, "no_proof", &event);
        }
        rest(&node, &entry, pause_ms, result.is_err()).await;
    }
}

/// Waits until the entry is to be renewed. What the watch sees meanwhile renews the proof, which
/// costs no call: a proof that is as new as the watch outlasts longer outages of the store.
async fn rest(node: &Node, entry: &Entry, pause_ms: Millis, has_failed: bool) {
    let began_ms = node.now_ms();
    let mut pause = std::pin::pin!(sleep_with_jitter(pause_ms));
    loop {
        tokio::select! {
            () = pause.as_mut() => return,
            () = node.entry_due.notified() => return,
            () = node.replica.confirmed.notified() => {}
        }
        prove_by_watch(node, entry);
        let seen_ms = node.replica.confirmed_ms(BOXES_PREFIX);
        if has_failed && seen_ms.is_some_and(|seen_ms| seen_ms > began_ms) {
            let spread_ms = rand::rng().random_range(0..RETURN_SPREAD_MS);
            tokio::time::sleep(Duration::from_millis(spread_ms)).await;
            return;
        }
    }
}

async fn renew(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    if entry
        .lease
        .is_some_and(|lease| !node.store.is_present(lease.era))
    {
        // The store came back without it.
        *entry = Entry::default();
    }
    let lease = match entry.lease {
        Some(lease) => lease,
        None => grant(node, entry).await?,
    };
    if !entry.is_written || entry.written_as_leaving != node.is_leaving.get() {
        write(node, entry, lease).await?;
    }
    match counted(node, "keep", node.store.keep(lease).await) {
        Err(StoreError::LeaseOver) => {
            *entry = Entry::default();
            return Err(StoreError::LeaseOver);
        }
        result => result?,
    }
    prove(node, entry).await
}

async fn grant(node: &Node, entry: &mut Entry) -> StoreResult<Lease> {
    let shortest_ms = node.settings.borrow().bounds.shortest_lease_ms;
    let life_ms = LEASE_LIFE_MS.max(shortest_ms);
    let lease = counted(node, "grant", node.store.grant(life_ms).await)?;
    entry.lease = Some(lease);
    entry.is_written = false;
    Ok(lease)
}

async fn write(node: &Node, entry: &mut Entry, lease: Lease) -> StoreResult<()> {
    let record = node.own_record();
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let transaction = Transaction {
        put: vec![(own_key(node), value, Some(lease))],
        ..Transaction::default()
    };
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Err(StoreError::LeaseOver | StoreError::EraOver) => {
            *entry = Entry::default();
            Err(StoreError::LeaseOver)
        }
        Err(error) => Err(error),
        Ok(position) => {
            entry.written_at = position;
            entry.is_written = true;
            entry.written_as_leaving = record.is_leaving;
            Ok(())
        }
    }
}

/// Shows that the own entry still stands: a renewed lease does not show that its keys do.
async fn prove(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    if prove_by_watch(node, entry) {
        return Ok(());
    }
    read_back(node, entry).await
}

/// Renews the proof by what is watched; whether that shows the own entry.
fn prove_by_watch(node: &Node, entry: &Entry) -> bool {
    let Some(seen_ms) = seen_in_store(node, entry) else {
        return false;
    };
    set_proof(node, seen_ms);
    true
}

fn set_proof(node: &Node, seen_ms: Millis) {
    // What was held before a return is held by the proof of then.
    node.sync_era();
    let mut proof = node.proof.get();
    if !proof.holds(&node.claim_terms(), node.now_ms()) {
        let event = ProofEvent { error: None };
        events::emit(part::ORDERS, Level::Info, "proof", &event);
    }
    proof.renew(seen_ms);
    node.proof.set(proof);
}

/// When the own entry certainly stood, by what is watched. The claims are watched together with
/// the entries, so that none of them has gone to others by then unseen.
fn seen_in_store(node: &Node, entry: &Entry) -> Option<Millis> {
    let confirmed_ms = node.replica.confirmed_ms(BOXES_PREFIX)?;
    let item = node.replica.item(BOXES_PREFIX, &own_key(node))?;
    let seen_ms = confirmed_ms.saturating_sub(WATCH_BLIND_MS);
    let is_recent = node.now_ms() < seen_ms + MOST_EVIDENCE_AGE_MS;
    (is_recent && item.position.covers(entry.written_at)).then_some(seen_ms)
}

/// Reads the own entry back from the store.
async fn read_back(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    let asked_ms = node.now_ms();
    let item = counted(node, "read", node.store.read(&own_key(node)).await)?;
    if item.is_none() {
        entry.is_written = false;
        return Err(StoreError::LeaseOver);
    }
    if !node.proof.get().holds(&node.claim_terms(), asked_ms) {
        read_claims(node).await?;
    }
    set_proof(node, asked_ms);
    Ok(())
}

/// Reads all claims: some may have gone to others while there was no proof.
async fn read_claims(node: &Node) -> StoreResult<()> {
    let listing = counted(node, "list", node.store.list(CLAIM_PREFIX, false).await)?;
    for item in &listing.items {
        if let Some(address) = item.key.strip_prefix(CLAIM_PREFIX) {
            node.note_claim(address, item);
        }
    }
    Ok(())
}

fn own_key(node: &Node) -> String {
    format!("{MEMBER_PREFIX}{}", node.settings.borrow().box_id)
}

/// Marks all own claims released; no order may be given after this begins.
pub async fn release_claims(node: &Node) {
    let own_id = node.settings.borrow().box_id.clone();
    let held: Vec<(String, Position)> = {
        let claims = node.claims.borrow();
        let addresses = claims.held_by(&own_id);
        addresses
            .into_iter()
            .map(|address| (address.clone(), claims.stored_position(&address)))
            .collect()
    };
    for chunk in held.chunks(MOST_ENTRIES) {
        let transaction = super::claiming::release(&own_id, chunk);
        let committing = node.store.commit(&transaction);
        let result = tokio::time::timeout(RELEASE_TIMEOUT, committing).await;
        if let Ok(result) = result {
            let _ = counted(node, "commit", result);
        }
    }
}

/// Longest time for the release at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);
