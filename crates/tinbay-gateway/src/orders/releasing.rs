//! Marks claims as released in the store, so that other boxes need not wait for their proof to end.

use tinbay_core::serving::claims::ClaimValue;
use tinbay_core::serving::position::Position;

use super::claiming::{claim_key, encode, own_value, record_claims};
use crate::node::Node;
use crate::port::store::{Item, StoreError, Transaction};
use crate::watch::counted;

/// A claim that this box gives up.
struct Released {
    address: String,
    value: Vec<u8>,
    /// Position of the claim in the store that it replaces.
    stored: Position,
}

/// Marks the claims on the servers at these addresses as released, in one transaction, and records
/// what the store then holds. No order is sent under them from the start of the call. Returns the
/// outcome as it is logged.
pub async fn release(node: &Node, addresses: &[String]) -> &'static str {
    let released = begin(node, addresses);
    let transaction = build_transaction(&released);
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Ok(position) => {
            record_released(node, released, position);
            "done"
        }
        Err(StoreError::Conflict { items }) => {
            record_claims(node, &items);
            "conflict"
        }
        Err(_) => "unknown",
    }
}

fn begin(node: &Node, addresses: &[String]) -> Vec<Released> {
    let own_id = node.settings.borrow().box_id.clone();
    let mut claims = node.claims.borrow_mut();
    let own_process = claims.own_process();
    addresses
        .iter()
        .map(|address| {
            claims.begin_release(address);
            let stored = claims.stored_position(address);
            let value = ClaimValue {
                is_released: true,
                ..own_value(&own_id, own_process, stored.era)
            };
            Released {
                address: address.clone(),
                value: encode(&value),
                stored,
            }
        })
        .collect()
}

fn build_transaction(released: &[Released]) -> Transaction {
    Transaction {
        expected: released
            .iter()
            .map(|claim| (claim_key(&claim.address), claim.stored))
            .collect(),
        put: released
            .iter()
            .map(|claim| (claim_key(&claim.address), claim.value.clone(), None))
            .collect(),
        remove: Vec::new(),
    }
}

fn record_released(node: &Node, released: Vec<Released>, position: Position) {
    for claim in released {
        let item = Item {
            key: claim_key(&claim.address),
            value: claim.value,
            position,
        };
        node.record_claim(&claim.address, &item);
    }
}
