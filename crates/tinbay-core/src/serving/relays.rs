//! Selects the boxes that relay the store's contents to the others.
//!
//! In each availability zone a few boxes watch the store and forward its changes. All boxes select
//! the same few from the boxes they know, and each other box asks a relay of its own zone, or of
//! another zone where that fails. So the calls to the store grow with the zones, and the forwarding
//! load of a box is bounded.

use crate::rendezvous;
use crate::serving::capacity::{self, RankedBox};

/// Boxes per relay. Each relay makes four calls a second to the store, which are billed, while
/// forwarding to 39 boxes takes 0.010 of a core.
const BOXES_PER_RELAY: usize = 64;

/// Selects the relays of a zone among its boxes.
pub fn relays_of<'a>(zone: &str, boxes: &[RankedBox<'a>]) -> Vec<&'a str> {
    let count = 1 + boxes.len() / BOXES_PER_RELAY;
    capacity::select_boxes(zone, boxes, count)
}

/// The order in which a box asks relays: those of its own zone first. The order differs between
/// boxes, which spreads them over the relays.
pub fn order_for<'a>(own_id: &str, near: &[&'a str], far: &[&'a str]) -> Vec<&'a str> {
    let ranked =
        |relays: &[&'a str]| rendezvous::rank(own_id, relays.iter().copied(), relays.len());
    let mut order = ranked(near);
    order.extend(ranked(far));
    order
}
