//! Gives loads from the weight store to the holders that want them more.
//!
//! Each holder tells the others how much it wants its next loads. One that has a load left and
//! wants less counts it as begun and sends it over; a lost grant is a lost load, so that the
//! bound over all holders stands whatever gets lost.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::units::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::events::{self, part};
use crate::node::Node;
use crate::orders::quota;
use crate::peers::frame::Fingerprint;
use crate::servers::ServerKey;

/// Weights of next loads that are told.
const MOST_BIDS: usize = 8;

/// Pause between looks at what may be given away.
const LOOK_PAUSE: Duration = Duration::from_millis(40);

/// How long another holder's bids count after its last word.
const BIDS_LIFE_MS: Millis = 700;

/// What one other holder would load next.
#[derive(Debug, Default)]
struct PeerBids {
    told_ms: Millis,
    weights: Vec<f64>,
}

/// What holders would load next.
#[derive(Debug, Default)]
pub struct Bids {
    own: HashMap<ServerKey, Vec<f64>>,
    peers: HashMap<(Fingerprint, String), PeerBids>,
}

impl Bids {
    /// Notes what a server held here would load next, the most wanted first.
    pub fn note_own(&mut self, server: ServerKey, weights: Vec<f64>) {
        self.own.insert(server, weights);
    }

    /// What some servers held here would load next, the most wanted first.
    pub fn own(&self, servers: &[ServerKey]) -> Vec<f64> {
        let weights = servers.iter().filter_map(|server| self.own.get(server));
        let mut weights: Vec<f64> = weights.flatten().copied().collect();
        weights.sort_by(|left, right| right.total_cmp(left));
        weights.truncate(MOST_BIDS);
        weights
    }

    /// Notes what another holder would load next for a service.
    pub fn note_peer(
        &mut self,
        service: Fingerprint,
        box_id: &str,
        weights: Vec<f64>,
        now_ms: Millis,
    ) {
        let bids = PeerBids {
            told_ms: now_ms,
            weights,
        };
        self.peers.insert((service, box_id.to_string()), bids);
    }

    /// The other holder that wants its next load most, and how much.
    fn highest(&self, service: Fingerprint, now_ms: Millis) -> Option<(String, f64)> {
        self.peers
            .iter()
            .filter(|((of, _), bids)| *of == service && now_ms < bids.told_ms + BIDS_LIFE_MS)
            .filter_map(|((_, box_id), bids)| Some((box_id.clone(), *bids.weights.first()?)))
            .max_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// A load was given to a holder: its next one is wanted less.
    fn note_given(&mut self, service: Fingerprint, box_id: &str) {
        if let Some(bids) = self.peers.get_mut(&(service, box_id.to_string()))
            && !bids.weights.is_empty()
        {
            bids.weights.remove(0);
        }
    }

    /// Forgets servers that are no longer held.
    pub fn keep_servers(&mut self, is_held: &dyn Fn(ServerKey) -> bool) {
        self.own.retain(|server, _| is_held(*server));
    }
}

#[derive(Serialize)]
struct GivenEvent<'a> {
    service: &'a str,
    to: &'a str,
    weight: f64,
    quota: usize,
}

/// The short name of a service in messages.
pub fn service_fingerprint(service: &str) -> Fingerprint {
    xxh3_64(service.as_bytes()) as Fingerprint
}

/// Gives loads away until the box stops.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        if !node.can_order() {
            continue;
        }
        for service in node.held_services() {
            give(&node, &service);
        }
    }
}

/// Gives away loads of a service as long as others want them more.
pub fn give(node: &Node, service: &str) {
    while give_one(node, service) {}
}

fn give_one(node: &Node, service: &str) -> bool {
    let now_ms = node.now_ms();
    let fingerprint = service_fingerprint(service);
    let Some((box_id, weight)) = node.bids.borrow().highest(fingerprint, now_ms) else {
        return false;
    };
    let Some(quota) = quota::of_service(node, service) else {
        return false;
    };
    let window_ms = node.settings.borrow().bounds.loads.window_ms;
    let mut paces = node.paces.borrow_mut();
    let pace = paces.entry(service.to_string()).or_default();
    if !pace.give(weight, quota, window_ms, now_ms) {
        return false;
    }
    node.bids.borrow_mut().note_given(fingerprint, &box_id);
    let event = GivenEvent {
        service,
        to: &box_id,
        weight,
        quota,
    };
    events::emit(part::ORDERS, Level::Info, "load_given", &event);
    node.give_load(&box_id, fingerprint);
    true
}
