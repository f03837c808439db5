//! Computes which boxes act as relays: they read the store and answer other boxes.

use std::collections::HashMap;

use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::relays::{order_for, relays_of};

use super::ask::RelayBox;
use crate::node::Node;

/// The relays of all zones, computed from the boxes that are listed and up as far as this box
/// knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relays {
    /// Whether this box is a relay and so reads the store itself.
    pub includes_self: bool,
    /// Relays to ask, in order of preference; those that failed recently are left out.
    pub to_ask: Vec<RelayBox>,
    /// Ids of the relays of other zones, grouped by zone.
    pub ids_by_other_zone: Vec<Vec<String>>,
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
    let own_zone_boxes = zones.remove(own_zone).unwrap_or_default();
    let own_zone_relays = relays_of(own_zone, &own_zone_boxes);
    let other_zone_relays: Vec<Vec<&str>> = zones
        .iter()
        .map(|(zone, boxes)| relays_of(zone, boxes))
        .collect();
    let includes_self = own_zone_relays.contains(&own.id);
    let mut other_relays_of_zone = own_zone_relays;
    other_relays_of_zone.retain(|id| *id != own.id);
    let failed = node.failed_relays.borrow();
    let is_skipped = |id: &str| failed.get(id).is_some_and(|until_ms| now_ms < *until_ms);
    let to_ask = order_for(own.id, &other_relays_of_zone, &other_zone_relays.concat())
        .into_iter()
        .filter(|id| !is_skipped(id))
        .filter_map(|id| {
            let address = members.get(id)?.record.control;
            let id = id.to_string();
            Some(RelayBox { id, address })
        })
        .collect();
    let to_ids = |relays: Vec<&str>| relays.into_iter().map(str::to_string).collect();
    Relays {
        includes_self,
        to_ask,
        ids_by_other_zone: other_zone_relays.into_iter().map(to_ids).collect(),
    }
}
