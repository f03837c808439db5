//! Maintains this box's leased entry in the store. While the entry exists, it proves that the box
//! is a member of the fleet and may send orders to the servers that it claimed.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rand::RngExt;
use serde::Serialize;
use tinbay_core::serving::position::{MAX_WATCH_LAG_MS, Position};
use tinbay_core::units::Millis;

use super::claiming::record_claims;
use super::releasing;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{
    Item, Lease, MAX_TRANSACTION_ENTRIES, StoreError, StoreResult, Transaction,
};
use crate::watch::boxes::{CLAIM_PREFIX, MEMBER_PREFIX, PREFIX as BOXES_PREFIX};
use crate::watch::{counted, sleep_with_jitter};

/// TTL of the lease on this box's entry.
const LEASE_TTL_MS: Millis = 8_000;

/// Interval between renewals; several fit into the validity of one proof.
const RENEWAL_INTERVAL_MS: Millis = 3_000;

/// Oldest watch confirmation that renews the proof; beyond it the store is read.
const MAX_WATCH_PROOF_AGE_MS: Millis = 6_000;

/// First wait after a failed call.
const RETRY_PAUSE_MS: Millis = 300;

/// Upper bound of the exponential backoff, which bounds the calls of a large fleet while the store is
/// unreachable. A box that gets the store's contents relayed by other boxes wakes as soon as one of
/// them reaches the store again, however long its wait.
const MAX_RETRY_PAUSE_MS: Millis = 2_400;

/// Time-out of each release transaction at a planned stop, less if the stop ends before.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which a planned stop looks whether orders have been delivered.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Claims released by one transaction; each takes a condition and a new value.
const MAX_RELEASED_AT_ONCE: usize = MAX_TRANSACTION_ENTRIES / 2;

/// Jitter that spreads the calls of boxes woken together when the store is reachable again.
const RECONNECT_JITTER_MS: Millis = 300;

/// Claims that this box gives up at a planned stop.
#[derive(Serialize)]
struct ReleaseEvent<'a> {
    addresses: &'a [String],
    outcome: &'a str,
    after_ms: Millis,
}

#[derive(Serialize)]
struct ProofEvent {
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// This box's entry in the store as last written.
#[derive(Debug, Default)]
struct Entry {
    lease: Option<Lease>,
    is_written: bool,
    written_as_leaving: bool,
    written_at: Position,
    written_value: Vec<u8>,
}

impl Entry {
    /// Whether an item under the key of this entry is what this process has written. Another
    /// machine may run under the name of this box.
    fn is_shown_by(&self, item: &Item) -> bool {
        item.value == self.written_value
    }
}

/// Maintains the entry until the box stops.
pub async fn run(node: Rc<Node>) {
    let mut entry = Entry::default();
    let mut retry_ms = RETRY_PAUSE_MS;
    loop {
        let result = renew(&node, &mut entry).await;
        let pause_ms = if result.is_ok() {
            retry_ms = RETRY_PAUSE_MS;
            RENEWAL_INTERVAL_MS
        } else {
            let pause_ms = retry_ms;
            retry_ms = (retry_ms * 2).min(MAX_RETRY_PAUSE_MS);
            pause_ms
        };
        let has_proof = node.proof.get().holds(&node.claim_terms(), node.now_ms());
        if let (Err(error), false) = (&result, has_proof) {
            let event = ProofEvent {
                error: Some(error.to_string()),
            };
            events::emit(part::ORDERS, Level::Warn, "no_proof", &event);
        }
        wait_for_renewal(&node, &entry, pause_ms, result.is_err()).await;
    }
}

/// Waits for the next renewal. In the meantime each watch confirmation renews the proof without a
/// call, so that the proof lasts as long as possible once the store fails.
async fn wait_for_renewal(node: &Node, entry: &Entry, pause_ms: Millis, has_failed: bool) {
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
            let jitter_ms = rand::rng().random_range(0..RECONNECT_JITTER_MS);
            tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
            return;
        }
    }
}

async fn renew(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    if entry
        .lease
        .is_some_and(|lease| !node.store.is_present(lease.era))
    {
        // The store was restored and doesn't know this lease.
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
        Err(StoreError::LeaseExpired) => {
            *entry = Entry::default();
            return Err(StoreError::LeaseExpired);
        }
        result => result?,
    }
    prove(node, entry).await
}

async fn grant(node: &Node, entry: &mut Entry) -> StoreResult<Lease> {
    let shortest_ms = node.settings.borrow().bounds.shortest_lease_ms;
    let ttl_ms = LEASE_TTL_MS.max(shortest_ms);
    let lease = counted(node, "grant", node.store.grant(ttl_ms).await)?;
    entry.lease = Some(lease);
    entry.is_written = false;
    Ok(lease)
}

async fn write(node: &Node, entry: &mut Entry, lease: Lease) -> StoreResult<()> {
    let record = node.own_record();
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let transaction = Transaction {
        put: vec![(own_key(node), value.clone(), Some(lease))],
        ..Transaction::default()
    };
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Err(StoreError::LeaseExpired | StoreError::EraChanged) => {
            *entry = Entry::default();
            Err(StoreError::LeaseExpired)
        }
        Err(error) => Err(error),
        Ok(position) => {
            entry.written_at = position;
            entry.is_written = true;
            entry.written_as_leaving = record.is_leaving;
            entry.written_value = value;
            let since_ms = node.entry_since_ms.get().unwrap_or(node.now_ms());
            node.entry_since_ms.set(Some(since_ms));
            Ok(())
        }
    }
}

/// Proves that this box's entry still exists: a renewed lease doesn't show that its keys do.
async fn prove(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    if prove_by_watch(node, entry) {
        return Ok(());
    }
    read_back(node, entry).await
}

/// Renews the proof from the watch; returns whether the watch shows this box's entry.
fn prove_by_watch(node: &Node, entry: &Entry) -> bool {
    let Some(seen_ms) = entry_seen_ms(node, entry) else {
        return false;
    };
    set_proof(node, seen_ms);
    true
}

fn set_proof(node: &Node, seen_ms: Millis) {
    // The era is updated before the proof, as claims from before a restore of the store stay valid
    // only until the end of the proof held at that time.
    node.sync_era();
    let mut proof = node.proof.get();
    if !proof.holds(&node.claim_terms(), node.now_ms()) {
        let event = ProofEvent { error: None };
        events::emit(part::ORDERS, Level::Info, "proof", &event);
    }
    proof.renew(seen_ms);
    node.proof.set(proof);
}

/// Latest time at which the watch shows that this box's entry existed. Claims are watched together
/// with the entries, so no claim can have moved to another box unseen by then.
fn entry_seen_ms(node: &Node, entry: &Entry) -> Option<Millis> {
    let confirmed_ms = node.replica.confirmed_ms(BOXES_PREFIX)?;
    let item = node.replica.item(BOXES_PREFIX, &own_key(node))?;
    let seen_ms = confirmed_ms.saturating_sub(MAX_WATCH_LAG_MS);
    let is_recent = node.now_ms() < seen_ms + MAX_WATCH_PROOF_AGE_MS;
    let is_own = item.position.covers(entry.written_at) && entry.is_shown_by(&item);
    (is_recent && is_own).then_some(seen_ms)
}

/// Reads this box's entry from the store.
async fn read_back(node: &Node, entry: &mut Entry) -> StoreResult<()> {
    let asked_ms = node.now_ms();
    let item = counted(node, "read", node.store.read(&own_key(node)).await)?;
    if !item.is_some_and(|item| entry.is_shown_by(&item)) {
        entry.is_written = false;
        return Err(StoreError::LeaseExpired);
    }
    if !node.proof.get().holds(&node.claim_terms(), asked_ms) {
        read_claims(node).await?;
    }
    set_proof(node, asked_ms);
    Ok(())
}

/// Reads all claims, as some may have moved to other boxes while there was no proof.
async fn read_claims(node: &Node) -> StoreResult<()> {
    let listed = counted(node, "list", node.store.list(CLAIM_PREFIX, false).await)?;
    record_claims(node, &listed.listing.items);
    Ok(())
}

fn own_key(node: &Node) -> String {
    format!("{MEMBER_PREFIX}{}", node.settings.borrow().box_id)
}

/// Marks all of this box's claims as released, each once no order to its server can arrive any more,
/// those whose transactions were under way at the start of the stop included. Claims for which that
/// takes until `end_ms` are left to expire. No order may be sent after this call starts.
pub async fn release_claims(node: &Node, end_ms: Millis) {
    let began_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    loop {
        let held = node.claims.borrow().held_by(&own_id);
        if held.is_empty() && node.claims_being_written.get() == 0 {
            return;
        }
        let is_undelivered = |address: &String| node.undelivered_orders.may_arrive(address);
        let (undelivered, released): (Vec<_>, Vec<_>) = held.into_iter().partition(is_undelivered);
        for addresses in released.chunks(MAX_RELEASED_AT_ONCE) {
            let left = Duration::from_millis(end_ms.saturating_sub(node.now_ms()));
            let timeout = RELEASE_TIMEOUT.min(left);
            let release = tokio::time::timeout(timeout, releasing::release(node, addresses));
            let outcome = release.await.unwrap_or("unknown");
            log_release(node, addresses, outcome, began_ms);
        }
        if node.now_ms() >= end_ms {
            if !undelivered.is_empty() {
                log_release(node, &undelivered, "left_to_expire", began_ms);
            }
            return;
        }
        tokio::time::sleep(RELEASE_CHECK_INTERVAL).await;
    }
}

fn log_release(node: &Node, addresses: &[String], outcome: &str, began_ms: Millis) {
    let event = ReleaseEvent {
        addresses,
        outcome,
        after_ms: node.now_ms() - began_ms,
    };
    events::emit(part::ORDERS, Level::Info, "claims_released", &event);
}
