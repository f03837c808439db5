//! Permits for sending requests within the rate limits that backend servers announce.

use std::rc::Rc;

use tinbay_core::limits::share::GRANT_LIFE_MS;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::limited::Limited;
use crate::node::Node;
use crate::servers::Server;

/// Longest retry delay given to callers while all servers of a service are at their limits. Callers
/// accept up to a third of their remaining time, which is some seconds.
const MAX_RETRY_AFTER_MS: Millis = 5_000;

/// Permission to send one request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Expiry of the unit taken from a limit. A permit without a unit is valid while the server has
    /// no limit.
    unit_until_ms: Option<Millis>,
}

impl Permit {
    /// Whether the permit is still valid. The server may have announced a limit in the meantime,
    /// and a request sent on an expired unit would come on top of those granted by now.
    pub fn is_valid(&self, server: &Server, now_ms: Millis) -> bool {
        match self.unit_until_ms {
            Some(until_ms) => now_ms < until_ms,
            None => server.limit_per_s().is_none(),
        }
    }

    /// Returns the unit of a permit for which nothing was sent.
    pub fn give_back(self, node: &Node, server: &Server) {
        let is_unit_valid = self
            .unit_until_ms
            .is_some_and(|until_ms| node.now_ms() < until_ms);
        if let Some(limited) = Limited::of_server(node, server).filter(|_| is_unit_valid) {
            super::give_back(node, &limited, 1.0);
        }
    }
}

/// Acquires a permit to send one request to a server. Returns `None` if its limit has no capacity
/// now; the server is then skipped until it may have some.
///
/// The load on an overloaded server is the sum over all boxes, which no single box can see. If each
/// box sent requests until the server announced its limit to that box, all boxes together would
/// exceed the limit several times over: seven boxes, none with more than 12 requests, sent 57
/// in 4 s to a server that takes 3.4 per second.
pub async fn acquire(node: &Node, server: &Rc<Server>) -> Option<Permit> {
    let Some(limited) = Limited::of_server(node, server) else {
        let unit_until_ms = None;
        return Some(Permit { unit_until_ms });
    };
    let admitted = super::admit(node, &limited, 1.0, None).await;
    let has_limit_ended = server.limit_per_s().is_none();
    let outcome = admitted.map_or("refused", |by| by.name());
    node.metrics.count_server_limit(outcome);
    let now_ms = node.now_ms();
    match admitted {
        Ok(_) => {
            let unit_until_ms = Some(now_ms + GRANT_LIFE_MS);
            Some(Permit { unit_until_ms })
        }
        Err(_) if has_limit_ended => {
            let unit_until_ms = None;
            Some(Permit { unit_until_ms })
        }
        Err(retry_after_ms) => {
            let retry_after_ms = retry_after_ms.min(limited.terms.longest_away_ms);
            server.skip_until(now_ms + retry_after_ms);
            None
        }
    }
}

/// Returns the retry delay for a caller while all servers of a service are at their limits; `None`
/// if a server has capacity. Successive callers rejected by this box get increasing delays, spaced
/// by this box's share of the rate that all boxes may send.
pub fn caller_retry_after_ms(node: &Node, service: &str) -> Option<Millis> {
    let retry_after_ms = node.available_in_ms(service)?;
    let limits_per_s = node.servers.borrow().limits_per_s(service);
    if limits_per_s <= 0.0 {
        return Some(retry_after_ms);
    }
    let gap_ms = node.box_count.get() as f64 * MS_PER_SECOND as f64 / limits_per_s;
    let now_ms = node.now_ms();
    let mut retry_times = node.limits.retry_times.borrow_mut();
    let retry_times = retry_times.entry(service.to_string()).or_default();
    let first_ms = now_ms + retry_after_ms;
    Some(retry_times.next_ms(first_ms, gap_ms as Millis, MAX_RETRY_AFTER_MS, now_ms))
}
