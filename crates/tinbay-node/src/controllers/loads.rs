//! Limits adapter loads to what the region's weight store allows. One box of the region, the
//! arbiter, grants loads to all its boxes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::{ConfigKey, ConfigObject, Kind};
use tinbay_core::ids::{EngineId, ModelRef};
use tinbay_core::loads::{Allowance, LoadArbiter, LoadRequest};
use tinbay_core::view::BoxRecord;
use tinbay_wire::control::{Message, Reply};
use tokio::sync::oneshot;

use super::Controller;
use crate::control::ControlError;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// How long a request for a load grant stays open at the arbiter before it is sent again.
const GRANT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between checks for loads to grant.
const PERIOD: Duration = Duration::from_millis(10);

/// Allowance without a configured weight store, high enough to hardly limit loads.
const DEFAULT_ALLOWANCE: Allowance = Allowance {
    loads_per_s: 1_000.0,
    at_once: 64,
};

type Target = (EngineId, ModelRef);

/// A load arbiter with the tasks that wait for its grants.
struct GrantQueue {
    arbiter: LoadArbiter,
    waiting: HashMap<Target, Vec<oneshot::Sender<()>>>,
}

impl Default for GrantQueue {
    fn default() -> Self {
        Self {
            arbiter: LoadArbiter::new(DEFAULT_ALLOWANCE),
            waiting: HashMap::new(),
        }
    }
}

impl GrantQueue {
    /// Queues a request; the receiver is notified of the grant. A load that has a permit is granted
    /// at once, as its permit may be that of a box that never received it.
    fn enqueue(&mut self, request: LoadRequest) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let target = (request.engine.clone(), request.model.clone());
        if self.arbiter.ask(request) {
            let (engine, model) = target;
            log::debug!(target: part::LOADS, "{model} on {engine} is granted again under its permit");
            let _ = sender.send(());
        } else {
            self.waiting.entry(target).or_default().push(sender);
        }
        receiver
    }

    fn end(&mut self, engine: &EngineId, model: &ModelRef, unused: bool) {
        if unused {
            self.arbiter.give_back(engine, model);
        }
        self.arbiter.done(engine, model);
        self.waiting.remove(&(engine.clone(), model.clone()));
    }

    fn grant(&mut self, now_ms: u64) {
        for request in self.arbiter.grant(now_ms) {
            let target = (request.engine, request.model);
            for waiter in self.waiting.remove(&target).unwrap_or_default() {
                let _ = waiter.send(());
            }
        }
    }
}

/// Limits adapter loads to the weight store's allowance.
#[derive(Default)]
pub struct LoadLimiter {
    /// Loads of the whole region, used while this box is its arbiter.
    region: Mutex<GrantQueue>,
    /// Loads of this box alone, used while the arbiter cannot be reached.
    local: Mutex<GrantQueue>,
}

impl LoadLimiter {
    /// Waits until a load is granted.
    pub async fn wait_for_grant(&self, node: &Node, request: LoadRequest) {
        loop {
            let Some(arbiter) = find_arbiter(node) else {
                return self.wait_for_local_grant(node, request).await;
            };
            if arbiter.id == *node.id() {
                return self.wait_for_region_grant(node, request).await;
            }
            let message = Message::AskLoad(request.clone());
            let reply = node
                .ask(&arbiter.control_address, message, GRANT_TIMEOUT)
                .await;
            match reply {
                Ok(Reply::LoadGranted) => return,
                // The arbiter has either a long queue or failed. If it failed, the view names
                // another one once it has been removed.
                Err(ControlError::TimedOut) => {}
                _ => return self.wait_for_local_grant(node, request).await,
            }
        }
    }

    /// Waits for a grant from the region's queue while this box is the arbiter.
    pub async fn wait_for_region_grant(&self, node: &Node, mut request: LoadRequest) {
        request.since_ms = node.clock.now_ms();
        let granted = lock(&self.region).enqueue(request);
        self.grant(node);
        let _ = granted.await;
    }

    /// Reports to the arbiter that a load has ended, or that its grant was not used.
    pub async fn end(&self, node: &Node, engine: &EngineId, model: &ModelRef, unused: bool) {
        lock(&self.local).end(engine, model, unused);
        match find_arbiter(node) {
            Some(arbiter) if arbiter.id != *node.id() => {
                let message = Message::EndLoad {
                    engine: engine.clone(),
                    model: model.clone(),
                    unused,
                };
                // If this message is lost, the permit expires at the arbiter.
                let _ = node.ask_soon(&arbiter.control_address, message).await;
            }
            _ => self.end_region_load(engine, model, unused),
        }
    }

    /// Ends a load in the region's queue while this box is the arbiter.
    pub fn end_region_load(&self, engine: &EngineId, model: &ModelRef, unused: bool) {
        lock(&self.region).end(engine, model, unused);
    }

    /// Waits for a grant from this box's share of the allowance, as there is no reachable arbiter.
    async fn wait_for_local_grant(&self, node: &Node, mut request: LoadRequest) {
        log::debug!(target: part::LOADS, "no load arbiter could be reached for {} on {}, using this box's share of the allowance", request.model, request.engine);
        request.since_ms = node.clock.now_ms();
        let granted = lock(&self.local).enqueue(request);
        self.grant(node);
        let _ = granted.await;
    }

    /// Grants the loads that the allowance permits now. Returns early while nothing waits, as it
    /// runs every [`PERIOD`].
    fn grant(&self, node: &Node) {
        let is_anyone_waiting =
            !lock(&self.region).waiting.is_empty() || !lock(&self.local).waiting.is_empty();
        if !is_anyone_waiting {
            return;
        }
        let box_count = {
            let members = read(&node.members);
            members.view().live(&node.options.region).count()
        };
        let allowance = allowance_of(node);
        let now_ms = node.clock.now_ms();
        let mut region = lock(&self.region);
        region.arbiter.set_allowance(allowance);
        region.grant(now_ms);
        drop(region);
        let share = Allowance {
            loads_per_s: allowance.loads_per_s / box_count.max(1) as f64,
            at_once: (allowance.at_once / box_count.max(1) as u32).max(1),
        };
        let mut local = lock(&self.local);
        local.arbiter.set_allowance(share);
        local.grant(now_ms);
    }
}

fn find_arbiter(node: &Node) -> Option<BoxRecord> {
    let members = read(&node.members);
    members.view().load_arbiter(&node.options.region).cloned()
}

fn allowance_of(node: &Node) -> Allowance {
    let key = ConfigKey::new(Kind::WeightStore, &node.options.region);
    match node.config.get(&key).map(|entry| entry.object) {
        Some(ConfigObject::WeightStore(store)) => Allowance {
            loads_per_s: store.loads_per_s,
            at_once: store.at_once,
        },
        _ => DEFAULT_ALLOWANCE,
    }
}

/// Periodically grants waiting loads, as the allowance refills over time.
pub struct LoadGrantController {
    node: Arc<Node>,
}

impl LoadGrantController {
    /// Creates a controller for the region's and the local queue of `node`.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Controller for LoadGrantController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.node.loads.grant(&self.node);
        async {}.boxed_local()
    }
}
