//! Keeps in the store which adapters servers had lately, for whoever holds them next.
//!
//! Loading such an adapter is fast and takes nothing from the weight store's allowance, but
//! no report names it; without this a new holder would have to count it as any other.

use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::serving::contents::HadAdapter;
use tinbay_core::units::Millis;

use crate::node::Node;
use crate::port::store::{MOST_ENTRIES, Transaction};
use crate::watch::{counted, sleep_with_jitter};

/// Prefix of the keys; nobody watches it.
const PREFIX: &str = "tinbay-memory/";

/// Pause between writes.
const WRITE_PAUSE_MS: Millis = 4_000;

/// Writes what has changed, some times a minute.
pub async fn keep(node: Rc<Node>) {
    let mut written: HashMap<String, Vec<HadAdapter>> = HashMap::new();
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

fn changed(
    node: &Node,
    written: &HashMap<String, Vec<HadAdapter>>,
) -> Vec<(String, Vec<HadAdapter>)> {
    let servers = node.servers.borrow();
    let books = node.books.borrow();
    books
        .iter()
        .filter_map(|(key, book)| {
            let server = servers.by_key(*key)?;
            let memory = book.borrow().memory();
            Some((server.record().id.clone(), memory))
        })
        .filter(|(id, memory)| written.get(id) != Some(memory))
        .collect()
}

fn put((id, memory): &(String, Vec<HadAdapter>)) -> (String, Vec<u8>, u64) {
    let value = postcard::to_stdvec(memory).unwrap_or_default();
    (format!("{PREFIX}{id}"), value, 0)
}

/// What an earlier holder of a server wrote.
pub async fn read(node: &Node, server_id: &str) -> Vec<HadAdapter> {
    let key = format!("{PREFIX}{server_id}");
    match counted(node, "read", node.store.read(&key).await) {
        Ok(Some(item)) => postcard::from_bytes(&item.value).unwrap_or_default(),
        _ => Vec::new(),
    }
}
