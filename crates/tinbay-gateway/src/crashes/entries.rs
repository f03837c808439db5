//! Store entries for what is refused, so that boxes that start later refuse them as well, even
//! after a restart of all boxes.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::{InvalidDigest, RequestDigest};
use tinbay_core::crashes::parts::{Evidence, PartSet};
use tinbay_core::crashes::quarantine::QUARANTINE_LIFE_MS;
use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;

use super::parts;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Item, StoreError, StoreResult, Transaction};
use crate::watch::{counted, sleep_with_jitter};

/// Key prefix of the entries of requests, which expire with their leases.
const REQUEST_PREFIX: &str = "tinbay/refused/";

/// Key prefix of the entries of prompt parts, which expire with their leases.
const PARTS_PREFIX: &str = "tinbay/refused_parts/";

/// First wait after a failed call.
const RETRY_PAUSE_MS: Millis = 500;

/// Upper bound of the exponential backoff. It may be long, as the running boxes get the
/// announcement and don't need the entry.
const MAX_RETRY_PAUSE_MS: Millis = 8_000;

/// What an entry refuses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEntry {
    /// A request.
    Request(RequestDigest),
    /// Requests whose prompts hold these parts.
    Parts(PartSet),
}

impl StoreEntry {
    /// Key of the entry.
    fn key(&self) -> String {
        match self {
            StoreEntry::Request(digest) => format!("{REQUEST_PREFIX}{digest}"),
            StoreEntry::Parts(parts) => format!("{PARTS_PREFIX}{parts}"),
        }
    }

    /// Value of the entry; none if it has to be removed.
    fn value(&self, node: &Node) -> Option<Vec<u8>> {
        match self {
            StoreEntry::Request(_) => Some(Vec::new()),
            StoreEntry::Parts(parts) => {
                let evidence = parts::evidence(node, parts)?;
                Some(serde_json::to_vec(&evidence).unwrap_or_default())
            }
        }
    }

    /// Whether the store need not be told of it any more.
    fn is_over(&self, node: &Node) -> bool {
        match self {
            StoreEntry::Request(digest) => {
                let quarantine = node.crashes.quarantine.borrow();
                !quarantine.holds(*digest, node.now_ms())
            }
            StoreEntry::Parts(_) => false,
        }
    }
}

#[derive(Serialize)]
struct EntryEvent<'a> {
    key: &'a str,
    is_removed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Writes the entries that this box has queued, until the box stops.
pub async fn run(node: Rc<Node>) {
    let mut pause_ms = RETRY_PAUSE_MS;
    loop {
        let Some(entry) = next_unsaved(&node) else {
            node.crashes.save_due.notified().await;
            continue;
        };
        let value = entry.value(&node);
        let is_removed = value.is_none();
        let result = match value {
            Some(value) => write(&node, entry.key(), value).await,
            None => remove(&node, entry.key()).await,
        };
        log_entry(&entry, is_removed, result.as_ref().err());
        if result.is_ok() {
            // A refusal that was lifted during the call is queued again.
            let has_changed = entry.value(&node).is_none() != is_removed;
            let mut unsaved = node.crashes.unsaved.borrow_mut();
            unsaved.retain(|kept| has_changed || *kept != entry);
            pause_ms = RETRY_PAUSE_MS;
        } else {
            sleep_with_jitter(pause_ms).await;
            pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
        }
    }
}

fn next_unsaved(node: &Node) -> Option<StoreEntry> {
    let mut unsaved = node.crashes.unsaved.borrow_mut();
    unsaved.retain(|entry| !entry.is_over(node));
    unsaved.front().cloned()
}

/// Writes one entry unless it exists.
async fn write(node: &Node, key: String, value: Vec<u8>) -> StoreResult<()> {
    let lease = counted(node, "grant", node.store.grant(QUARANTINE_LIFE_MS).await)?;
    let missing = Position::missing(lease.era);
    let transaction = Transaction {
        expected: vec![(key.clone(), missing)],
        put: vec![(key, value, Some(lease))],
        ..Transaction::default()
    };
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Removes the entry of a refusal that was lifted.
async fn remove(node: &Node, key: String) -> StoreResult<()> {
    let transaction = Transaction {
        remove: vec![key],
        ..Transaction::default()
    };
    counted(node, "commit", node.store.commit(&transaction).await)?;
    Ok(())
}

/// Applies an entry read from the store. The entry holds no age, so the refusal begins anew at a box
/// that reads it; the entry's lease limits how long it can be read.
pub fn apply(node: &Node, item: &Item) {
    let result = if let Some(digest) = item.key.strip_prefix(REQUEST_PREFIX) {
        apply_request(node, digest)
    } else if let Some(parts) = item.key.strip_prefix(PARTS_PREFIX) {
        apply_parts(node, parts, &item.value)
    } else {
        return;
    };
    if let Err(error) = result {
        let event = EntryEvent {
            key: &item.key,
            is_removed: false,
            error: Some(error),
        };
        events::emit(part::STORE, Level::Warn, "refused_unreadable", &event);
    }
}

fn apply_request(node: &Node, digest: &str) -> Result<(), String> {
    let digest = digest.parse();
    let digest = digest.map_err(|error: InvalidDigest| error.to_string())?;
    super::apply_stored(node, digest);
    Ok(())
}

fn apply_parts(node: &Node, parts: &str, value: &[u8]) -> Result<(), String> {
    let parts: Result<PartSet, _> = parts.parse();
    let parts = parts.map_err(|error| error.to_string())?;
    let evidence: Result<Evidence, _> = serde_json::from_slice(value);
    let evidence = evidence.map_err(|error| error.to_string())?;
    parts::apply_stored(node, parts, evidence);
    Ok(())
}

fn log_entry(entry: &StoreEntry, is_removed: bool, error: Option<&StoreError>) {
    let event = EntryEvent {
        key: &entry.key(),
        is_removed,
        error: error.map(ToString::to_string),
    };
    events::emit(part::STORE, Level::Info, "refused_entry", &event);
}
