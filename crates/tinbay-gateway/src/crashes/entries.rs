//! Store entries for quarantined requests, so that boxes that start later refuse them as well, even
//! after a restart of all boxes.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::quarantine::QUARANTINE_LIFE_MS;
use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;

use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Item, StoreError, StoreResult, Transaction};
use crate::watch::{counted, sleep_with_jitter};

/// Key prefix of the entries, which expire with their leases.
pub const PREFIX: &str = "tinbay/refused/";

/// First wait after a failed call.
const RETRY_PAUSE_MS: Millis = 500;

/// Upper bound of the exponential backoff. It may be long, as the running boxes get the
/// announcement and don't need the entry.
const MAX_RETRY_PAUSE_MS: Millis = 8_000;

#[derive(Serialize)]
struct EntryEvent {
    digest: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Writes entries for the requests that this box has quarantined, until the box stops.
pub async fn run(node: Rc<Node>) {
    let mut pause_ms = RETRY_PAUSE_MS;
    loop {
        let Some(digest) = next_unsaved(&node) else {
            node.crashes.save_due.notified().await;
            continue;
        };
        let result = write(&node, digest).await;
        log_entry(digest, result.as_ref().err());
        if result.is_ok() {
            node.crashes
                .unsaved
                .borrow_mut()
                .retain(|kept| *kept != digest);
            pause_ms = RETRY_PAUSE_MS;
        } else {
            sleep_with_jitter(pause_ms).await;
            pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
        }
    }
}

fn next_unsaved(node: &Node) -> Option<RequestDigest> {
    let now_ms = node.now_ms();
    let mut unsaved = node.crashes.unsaved.borrow_mut();
    let quarantine = node.crashes.quarantine.borrow();
    unsaved.retain(|digest| quarantine.holds(*digest, now_ms));
    unsaved.front().copied()
}

/// Writes one entry unless it exists.
async fn write(node: &Node, digest: RequestDigest) -> StoreResult<()> {
    let lease = counted(node, "grant", node.store.grant(QUARANTINE_LIFE_MS).await)?;
    let missing = Position::missing(lease.era);
    let key = format!("{PREFIX}{digest}");
    let transaction = Transaction {
        expected: vec![(key.clone(), missing)],
        put: vec![(key, Vec::new(), Some(lease))],
        ..Transaction::default()
    };
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Applies an entry read from the store. The entry holds no age, so the quarantine begins anew at a
/// box that reads it; the entry's lease limits how long it can be read.
pub fn apply(node: &Node, item: &Item) {
    let Some(digest) = item.key.strip_prefix(PREFIX) else {
        return;
    };
    match digest.parse() {
        Ok(digest) => super::apply_stored(node, digest),
        Err(error) => {
            let event = EntryEvent {
                digest: digest.to_string(),
                error: Some(error.to_string()),
            };
            events::emit(part::STORE, Level::Warn, "refused_unreadable", &event);
        }
    }
}

fn log_entry(digest: RequestDigest, error: Option<&StoreError>) {
    let event = EntryEvent {
        digest: digest.to_string(),
        error: error.map(ToString::to_string),
    };
    events::emit(part::STORE, Level::Info, "refused_entry", &event);
}
