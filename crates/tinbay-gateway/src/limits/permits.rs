//! Sends within the limits that servers name.

use std::rc::Rc;

use tinbay_core::limits::share::GRANT_LIFE_MS;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::limited::Limited;
use crate::node::Node;
use crate::servers::Server;

/// Longest time that callers are told to stay away while all servers of a service are at their limits:
/// callers heed it up to a third of the time that they have left, which is some seconds.
const LONGEST_AWAY_MS: Millis = 5_000;

/// Leave to send one request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Until when it holds where it took a unit of a limit; without one it holds while there is none.
    unit_until_ms: Option<Millis>,
}

impl Permit {
    /// Whether it still holds. A limit may have begun since, and a unit that is old would come on top of
    /// those that are dealt by now.
    pub fn holds(&self, server: &Server, now_ms: Millis) -> bool {
        match self.unit_until_ms {
            Some(until_ms) => now_ms < until_ms,
            None => server.limit_per_s().is_none(),
        }
    }

    /// Gives its unit back, as nothing was sent.
    pub fn give_back(self, node: &Node, server: &Server) {
        let is_held = self
            .unit_until_ms
            .is_some_and(|until_ms| node.now_ms() < until_ms);
        if let Some(limited) = Limited::of_server(node, server).filter(|_| is_held) {
            super::give_back(node, &limited, 1.0);
        }
    }
}

/// Takes leave to send one request to a server; none where its limit has no room now, and then the server
/// is passed over until there may be.
///
/// What a server in need takes is a sum over boxes, so no box can tell by itself: where each went on until
/// it had heard the limit from the server, seven boxes sent 57 requests in 4 s, none of them more than 12,
/// to a server that takes 3.4 a second.
pub async fn take(node: &Node, server: &Rc<Server>) -> Option<Permit> {
    let Some(limited) = Limited::of_server(node, server) else {
        let unit_until_ms = None;
        return Some(Permit { unit_until_ms });
    };
    let admitted = super::admit(node, &limited, 1.0, None).await;
    let is_over = server.limit_per_s().is_none();
    let outcome = admitted.map_or("refused", |by| by.name());
    node.metrics.count_server_limit(outcome);
    let now_ms = node.now_ms();
    match admitted {
        Ok(_) => {
            let unit_until_ms = Some(now_ms + GRANT_LIFE_MS);
            Some(Permit { unit_until_ms })
        }
        Err(_) if is_over => {
            let unit_until_ms = None;
            Some(Permit { unit_until_ms })
        }
        Err(room_in_ms) => {
            let room_in_ms = room_in_ms.min(limited.terms.longest_away_ms);
            server.pass_over_until(now_ms + room_in_ms);
            None
        }
    }
}

/// When a caller comes back that finds all servers of a service at their limits: those whom this box turns
/// away one after the other, each by its part of what all boxes may send. Nothing where a server has room.
pub fn return_in_ms(node: &Node, service: &str) -> Option<Millis> {
    let room_in_ms = node.rest_ms(service)?;
    let limits_per_s = node.servers.borrow().limits_per_s(service);
    if limits_per_s <= 0.0 {
        return Some(room_in_ms);
    }
    let gap_ms = node.box_count.get() as f64 * MS_PER_SECOND as f64 / limits_per_s;
    let now_ms = node.now_ms();
    let mut turns = node.limits.turns.borrow_mut();
    let turns = turns.entry(service.to_string()).or_default();
    let first_ms = now_ms + room_in_ms;
    Some(turns.next_ms(first_ms, gap_ms as Millis, LONGEST_AWAY_MS, now_ms))
}
