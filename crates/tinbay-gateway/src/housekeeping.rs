//! Periodic removal of state that is no longer needed, and update of the state gauges.

use std::rc::Rc;
use std::time::Duration;

use tinbay_core::units::Millis;

use crate::node::Node;
use crate::servers::Server;
use crate::sharing::holder;

/// Time between two cleanup rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// How long a box without an entry in the store is remembered after it was last listed or heard;
/// far longer than a claim that it held is kept for it.
const MEMBER_RETENTION_MS: Millis = 120_000;

/// Runs until the box stops.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        for server in node.servers.borrow().all() {
            server.pool.tidy();
        }
        node.forwarding.tidy();
        let oldest_ms = node.now_ms().saturating_sub(MEMBER_RETENTION_MS);
        node.members.borrow_mut().tidy(oldest_ms);
        for held in node.held_servers.borrow().values() {
            held.tidy(node.now_ms());
        }
        node.waiters.tidy();
        node.limits.tidy(&node);
        node.sharing.tidy(node.now_ms());
        node.slots.tidy(&node);
        node.crashes.tidy(node.now_ms());
        observe_versions(&node);
        node.resumption.tidy(node.now_ms());
        update_state_gauges(&node);
    }
}

/// Records the software versions of the listed servers as seen now.
fn observe_versions(node: &Node) {
    for server in node.servers.borrow().all() {
        node.observe_version(&server.record());
    }
}

fn update_state_gauges(node: &Node) {
    let version = node
        .in_force()
        .map_or(0, |in_force| in_force.configuration.version);
    let set_gauge = |what: &str, value: usize| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        node.metrics
            .state_gauges
            .with_label_values(&[what])
            .set(value);
    };
    set_gauge("configuration_version", version as usize);
    set_gauge("named_versions", node.versions.borrow().len());
    set_gauge("servers", node.servers.borrow().len());
    set_gauge("boxes_up", node.box_count.get().unwrap_or_default());
    set_gauge("servers_held", node.held_servers.borrow().len());
    let is_full = |server: &&Rc<Server>| !server.waiting.takes_more();
    set_gauge(
        "servers_with_enough_waiting",
        node.servers.borrow().all().filter(is_full).count(),
    );
    set_gauge("can_order", usize::from(node.can_order()));
    set_gauge("connections", node.connections.get());
    let is_down = |server: &&Rc<Server>| server.pool.link().is_down();
    set_gauge(
        "servers_not_reached",
        node.servers.borrow().all().filter(is_down).count(),
    );
    set_gauge("services_not_reached", node.links.unreached_count());
    let (scarce, waiting) = holder::counts(node);
    set_gauge("servers_scarce", scarce);
    set_gauge("requests_waiting_for_room", waiting);
    let (leased, waiting) = node.slots.counts();
    set_gauge("slots_leased_out", leased);
    set_gauge("requests_waiting_for_slot", waiting);
    let (refused, suspected) = node.crashes.counts(node.now_ms());
    set_gauge("requests_refused", refused);
    set_gauge("crash_suspects", suspected);
    let (parts_refused, parts_suspected) = node.crashes.part_counts(node.now_ms());
    set_gauge("parts_refused", parts_refused);
    set_gauge("parts_suspected", parts_suspected);
    let records = node.resumption.ledger.borrow().len();
    set_gauge("stream_starts", records);
}
