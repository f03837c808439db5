//! Writes the records of streams of which this box is a home to the store, and reads them after a
//! start, so that callers can resume streams after all boxes have ended.
//!
//! That is done only while several software versions of a service serve. Each box has two entries,
//! which it alone reads: one with all its records, and one with those since the former was written,
//! which is written more often. That is some time after the streams began, so that the latest
//! records are lost if both of their homes end.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::resumption::ledger::{MAX_RECORD_LIFE_MS, StreamStart};
use tinbay_core::resumption::pace::write_interval_ms;
use tinbay_core::units::Millis;

use super::Resumption;
use super::messages::StreamStartPart;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Lease, StoreError, StoreResult, Transaction};
use crate::watch::{counted, sleep_with_jitter};

/// Prefix of the entries, which no box watches.
const PREFIX: &str = "tinbay_streams/";

/// Shortest interval between two writes of all records.
const WHOLE_INTERVAL_MS: Millis = 2_000;

/// Time for which an entry is kept after it was written.
const ENTRY_LIFE_MS: Millis = MAX_RECORD_LIFE_MS;

/// Age of a lease from which the next write gets a new one.
const LEASE_USE_MS: Millis = ENTRY_LIFE_MS / 2;

/// Upper bound on the records of an entry, the latest ones. It bounds the entry's size, with some 24
/// bytes a record.
const MAX_STORED: usize = 8_192;

/// First pause after a failed call.
const RETRY_PAUSE_MS: Millis = 100;

/// Upper bound of the pause after failed calls.
const MAX_RETRY_PAUSE_MS: Millis = 2_400;

/// Interval at which a box that does not know the others yet looks again.
const UNKNOWN_BOXES_PAUSE_MS: Millis = 100;

#[derive(Serialize)]
struct RestoredEvent {
    records: usize,
    wait_ms: Millis,
}

#[derive(Serialize)]
struct FailedEvent {
    records: usize,
    error: String,
}

/// Reads the records of this box, then writes new ones until the box stops.
pub async fn run(node: Rc<Node>) {
    restore(&node).await;
    let mut writer = Writer::default();
    loop {
        sleep_with_jitter(interval_ms(&node) + writer.retry_pause_ms).await;
        writer.write_if_due(&node).await;
    }
}

fn interval_ms(node: &Node) -> Millis {
    let writes_per_s = node.settings.borrow().bounds.store_writes_per_s;
    let boxes = node.box_count.get();
    boxes.map_or(UNKNOWN_BOXES_PAUSE_MS, |boxes| {
        write_interval_ms(boxes, writes_per_s)
    })
}

/// Prefix of this box's entries.
fn own_prefix(node: &Node) -> String {
    format!("{PREFIX}{}/", node.settings.borrow().box_id)
}

/// Key of the entry with all records.
fn whole_key(node: &Node) -> String {
    format!("{}whole", own_prefix(node))
}

/// Key of the entry with the records since the whole was written.
fn latest_key(node: &Node) -> String {
    format!("{}latest", own_prefix(node))
}

/// Reads the entries that an earlier process of this box has written.
async fn restore(node: &Node) {
    let began_ms = node.now_ms();
    let prefix = own_prefix(node);
    let mut pause_ms = RETRY_PAUSE_MS;
    let items = loop {
        match counted(node, "list", node.store.list(&prefix, false).await) {
            Ok(listed) => break listed.listing.items,
            Err(_) => {
                sleep_with_jitter(pause_ms).await;
                pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
            }
        }
    };
    if items.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let mut records = 0;
    for item in items {
        match apply_entry(&node.resumption, &item.value, now_ms) {
            Ok(count) => records += count,
            Err(error) => log_failure("stream_starts_unreadable", 0, &error),
        }
    }
    let event = RestoredEvent {
        records,
        wait_ms: now_ms - began_ms,
    };
    events::emit(part::FRONT, Level::Info, "stream_starts_restored", &event);
}

/// Adds the records of an entry to those of this box; returns their number.
///
/// # Errors
/// When the entry can't be decoded.
pub fn apply_entry(
    resumption: &Resumption,
    value: &[u8],
    now_ms: Millis,
) -> Result<usize, postcard::Error> {
    let parts: Vec<StreamStartPart> = postcard::from_bytes(value)?;
    let mut ledger = resumption.ledger.borrow_mut();
    let mut history = resumption.history.borrow_mut();
    // The entry lists the latest record first.
    for part in parts.iter().rev() {
        ledger.record(part.to_start(now_ms), now_ms);
        ledger.mark_at_home(part.attempt);
        history.observe_earlier(part.service, part.version, now_ms);
    }
    Ok(parts.len())
}

/// The value of an entry with the records of these streams.
pub fn encode_entry(starts: &[StreamStart], now_ms: Millis) -> Vec<u8> {
    let parts: Vec<StreamStartPart> = starts
        .iter()
        .map(|start| StreamStartPart::new(*start, now_ms))
        .collect();
    postcard::to_stdvec(&parts).unwrap_or_default()
}

/// A write of all records.
#[derive(Debug, Clone, Copy)]
struct WrittenWhole {
    written_ms: Millis,
    /// Number of records of which this box had been a home by then.
    homed_count: u64,
}

/// Writes this box's entries.
#[derive(Default)]
struct Writer {
    /// The lease of the entries, and when it was granted.
    lease: Option<(Lease, Millis)>,
    /// When the entry with all records was last written, and the number of records by then.
    whole: Option<WrittenWhole>,
    /// Number of records of which this box was a home at the last write.
    written_count: u64,
    /// Pause after a failed write; 0 after one that succeeded.
    retry_pause_ms: Millis,
}

/// Entries that are to be written.
struct DueEntries {
    /// Keys and values.
    values: Vec<(String, Vec<u8>)>,
    records: usize,
    /// Number of records of which this box has been a home so far.
    homed_count: u64,
    /// The write of all records that `values` adds to, or that it is itself.
    whole: WrittenWhole,
}

impl Writer {
    /// Writes an entry if there are new records of a service with several versions.
    async fn write_if_due(&mut self, node: &Node) {
        let Some(due) = self.due_entries(node) else {
            return;
        };
        match self.write(node, due.values).await {
            Ok(()) => {
                self.written_count = due.homed_count;
                self.whole = Some(due.whole);
                self.retry_pause_ms = 0;
            }
            Err(error) => {
                // The lease may be over, and what it kept gone.
                self.lease = None;
                self.whole = None;
                self.retry_pause_ms =
                    (self.retry_pause_ms * 2).clamp(RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
                log_failure("stream_starts_not_stored", due.records, &error);
            }
        }
    }

    fn due_entries(&self, node: &Node) -> Option<DueEntries> {
        // Without the number of boxes their share of the store's writes is not known.
        node.box_count.get()?;
        let now_ms = node.now_ms();
        let ledger = node.resumption.ledger.borrow();
        let homed_count = ledger.homed_count();
        if homed_count == self.written_count {
            return None;
        }
        let services = {
            let history = node.resumption.history.borrow();
            history.services_of_several_versions(now_ms)
        };
        if services.is_empty() {
            return None;
        }
        let is_recent = |whole: &WrittenWhole| now_ms < whole.written_ms + WHOLE_INTERVAL_MS;
        let recent_whole = self.whole.filter(is_recent);
        let skipped = recent_whole.map_or(0, |whole| whole.homed_count);
        let starts = ledger.latest_at_home(&services, skipped, MAX_STORED, now_ms);
        let value = encode_entry(&starts, now_ms);
        let values = if recent_whole.is_some() {
            vec![(latest_key(node), value)]
        } else {
            let nothing = encode_entry(&[], now_ms);
            vec![(whole_key(node), value), (latest_key(node), nothing)]
        };
        Some(DueEntries {
            values,
            records: starts.len(),
            homed_count,
            whole: recent_whole.unwrap_or(WrittenWhole {
                written_ms: now_ms,
                homed_count,
            }),
        })
    }

    async fn write(&mut self, node: &Node, values: Vec<(String, Vec<u8>)>) -> StoreResult<()> {
        let lease = self.lease(node).await?;
        let put = values
            .into_iter()
            .map(|(key, value)| (key, value, Some(lease)));
        let transaction = Transaction {
            put: put.collect(),
            ..Transaction::default()
        };
        counted(node, "commit", node.store.commit(&transaction).await)?;
        Ok(())
    }

    async fn lease(&mut self, node: &Node) -> Result<Lease, StoreError> {
        let now_ms = node.now_ms();
        if let Some((lease, granted_ms)) = self.lease
            && now_ms < granted_ms + LEASE_USE_MS
        {
            return Ok(lease);
        }
        let lease = counted(node, "grant", node.store.grant(ENTRY_LIFE_MS).await)?;
        self.lease = Some((lease, now_ms));
        Ok(lease)
    }
}

fn log_failure(event_name: &'static str, records: usize, error: &dyn std::error::Error) {
    let event = FailedEvent {
        records,
        error: error.to_string(),
    };
    events::emit(part::STORE, Level::Warn, event_name, &event);
}
