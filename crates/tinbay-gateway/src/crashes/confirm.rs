//! Confirms crashes that another box can't tell from the loss of its own links.

use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::units::Millis;

use super::check::PROBE_TIMEOUT;
use crate::http::connect::{ProbeOutcome, probe};
use crate::node::Node;

/// Whether the server of an incarnation has crashed, as far as this box can tell: it has sent nothing
/// since `since_ms` and refuses connections, or the store has lost it.
pub async fn has_crashed(node: &Node, crash: CrashKey, since_ms: Millis) -> bool {
    let server = node.servers.borrow().by_key(crash);
    let Some(server) = server else {
        return true;
    };
    if server.pool.link().is_heard_since(since_ms) {
        return false;
    }
    probe(server.record().address, PROBE_TIMEOUT).await == ProbeOutcome::Refuses
}
