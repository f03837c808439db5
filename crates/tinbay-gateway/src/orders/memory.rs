//! Keeps in the store what is known of servers, for whoever holds them next.
//!
//! Which adapters a server had lately: loading those is fast and takes nothing from the
//! weight store's allowance, but no report names them. And how often adapters were asked for
//! there: without it, boxes that all start anew would load what is asked for next, not most.

use std::collections::HashMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tinbay_core::serving::contents::HadAdapter;
use tinbay_core::serving::ledger::AskedAdapter;
use tinbay_core::units::Millis;

use crate::node::Node;
use crate::port::store::{MOST_ENTRIES, Transaction};
use crate::watch::{counted, sleep_with_jitter};

/// Prefix of the keys; nobody watches it.
const PREFIX: &str = "tinbay-memory/";

/// Pause between writes.
const WRITE_PAUSE_MS: Millis = 4_000;

/// What is known of one server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerMemory {
    /// Adapters it had lately, the latest last.
    pub had: Vec<HadAdapter>,
    /// How often adapters were asked for that it does not hold.
    pub asked: Vec<AskedAdapter>,
}

/// Writes what has changed, some times a minute.
pub async fn keep(node: Rc<Node>) {
    let mut written: HashMap<String, ServerMemory> = HashMap::new();
    loop {
        sleep_with_jitter(WRITE_PAUSE_MS).await;
        if !node.can_order() {
            continue;
        }
        let changed = changed(&node, &written);
        for chunk in changed.chunks(MOST_ENTRIES) {
            let transaction = Transaction {
                put: chunk.iter().map(put).collect(),
                ..Transaction::default()
            };
            if counted(&node, "commit", node.store.commit(&transaction).await).is_ok() {
                written.extend(chunk.iter().cloned());
            }
        }
    }
}

fn changed(node: &Node, written: &HashMap<String, ServerMemory>) -> Vec<(String, ServerMemory)> {
    let servers = node.servers.borrow();
    let books = node.books.borrow();
    let ledger = node.ledger.borrow();
    let now_ms = node.now_ms();
    books
        .iter()
        .filter_map(|(key, book)| {
            let server = servers.by_key(*key)?;
            let memory = ServerMemory {
                had: book.borrow().memory(),
                asked: ledger.memory(*key, now_ms),
            };
            Some((server.record().id.clone(), memory))
        })
        .filter(|(id, memory)| written.get(id) != Some(memory))
        .collect()
}

fn put((id, memory): &(String, ServerMemory)) -> (String, Vec<u8>, u64) {
    let value = postcard::to_stdvec(memory).unwrap_or_default();
    (format!("{PREFIX}{id}"), value, 0)
}

/// What an earlier holder of a server wrote.
pub async fn read(node: &Node, server_id: &str) -> ServerMemory {
    let key = format!("{PREFIX}{server_id}");
    match counted(node, "read", node.store.read(&key).await) {
        Ok(Some(item)) => postcard::from_bytes(&item.value).unwrap_or_default(),
        _ => ServerMemory::default(),
    }
}
