//! Divides the weight store's load rate among the boxes.

use std::collections::BTreeMap;

use tinbay_core::serving::pacing;

use crate::node::Node;

/// Loads this box may begin within a window: its share of the service's allowance, in proportion to
/// the engines it holds among those whose holders can send orders. `None` for a service without
/// engines.
pub fn of_service(node: &Node, service: &str) -> Option<usize> {
    let loads_per_s = node.loads_per_s(service)?;
    let servers = node.servers.borrow();
    let mut engines: BTreeMap<String, usize> = BTreeMap::new();
    for server in servers
        .all()
        .filter(|server| server.record().service == service)
    {
        if node.has_holder(server)
            && let Some(holder) = node.holder_of(server)
        {
            *engines.entry(holder).or_default() += 1;
        }
    }
    let settings = node.settings.borrow();
    let allowed = settings.bounds.loads.allowed(loads_per_s);
    let quotas = pacing::split_quotas(allowed, &engines);
    Some(quotas.get(&settings.box_id).copied().unwrap_or_default())
}
