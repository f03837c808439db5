//! Computes which boxes act as relays: they read the store and answer other boxes.

use std::collections::HashMap;

use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::relays::{order_for, relays_of};

use super::ask::RelayBox;
use crate::node::Node;

/// The relays as computed from the boxes that this one sees up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relays {
    /// Whether this box is a relay and so reads the store itself.
    pub is_one: bool,
    /// Relays to ask, in order; those that failed lately are left out.
    pub to_ask: Vec<RelayBox>,
    /// Ids of the relays of other zones, grouped by zone.
    pub far_by_zone: Vec<Vec<String>>,
}

/// Computes the present relays of this box.
pub fn relays(node: &Node) -> Relays {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let own_zone = settings.zone.as_str();
    let own = RankedBox {
        id: settings.box_id.as_str(),
        capacity: settings.resources.capacity(),
    };
    let mut zones: HashMap<&str, Vec<RankedBox<'_>>> = HashMap::new();
    for (id, member) in members.others(own.id) {
        if member.listed && member.is_up(now_ms) {
            let capacity = member.record.capacity;
            let ranked = RankedBox { id, capacity };
            zones.entry(&member.record.zone).or_default().push(ranked);
        }
    }
    if !node.is_leaving.get() {
        zones.entry(own_zone).or_default().push(own);
    }
    let near = zones.remove(own_zone).unwrap_or_default();
    let near = relays_of(own_zone, &near);
    let far: Vec<Vec<&str>> = zones
        .iter()
        .map(|(zone, boxes)| relays_of(zone, boxes))
        .collect();
    let is_one = near.contains(&own.id);
    let mut near_others = near;
    near_others.retain(|id| *id != own.id);
    let failed = node.failed_relays.borrow();
    let is_skipped = |id: &str| failed.get(id).is_some_and(|until_ms| now_ms < *until_ms);
    let to_ask = order_for(own.id, &near_others, &far.concat())
        .into_iter()
        .filter(|id| !is_skipped(id))
        .filter_map(|id| {
            let address = members.get(id)?.record.control;
            let id = id.to_string();
            Some(RelayBox { id, address })
        })
        .collect();
    let to_names = |relays: Vec<&str>| relays.into_iter().map(str::to_string).collect();
    Relays {
        is_one,
        to_ask,
        far_by_zone: far.into_iter().map(to_names).collect(),
    }
}
