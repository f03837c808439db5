//! Shares the weight store's allowance: one box of the region grants loads for all.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::{ConfigKey, ConfigObject, Kind};
use tinbay_core::ids::{EngineId, ModelRef};
use tinbay_core::loads::{Allowance, LoadArbiter, LoadWish};
use tinbay_core::view::BoxRecord;
use tinbay_wire::control::{Message, Reply};
use tokio::sync::oneshot;

use super::Controller;
use crate::control::ControlError;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// How long one question for a load stays open before it is asked again.
const ASK_LOAD_WITHIN: Duration = Duration::from_secs(3);

/// Time between looks for loads to grant.
const PERIOD: Duration = Duration::from_millis(10);

/// Without a configured weight store loads are hardly held back.
const UNLIMITED: Allowance = Allowance {
    loads_per_s: 1_000.0,
    at_once: 64,
};

type Target = (EngineId, ModelRef);

/// An arbiter and those who wait for it.
struct Desk {
    arbiter: LoadArbiter,
    waiting: HashMap<Target, Vec<oneshot::Sender<()>>>,
}

impl Default for Desk {
    fn default() -> Self {
        Self {
            arbiter: LoadArbiter::new(UNLIMITED),
            waiting: HashMap::new(),
        }
    }
}

impl Desk {
    fn ask(&mut self, wish: LoadWish) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let target = (wish.engine.clone(), wish.model.clone());
        self.waiting.entry(target).or_default().push(sender);
        self.arbiter.ask(wish);
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
        for wish in self.arbiter.grant(now_ms) {
            let target = (wish.engine, wish.model);
            for waiter in self.waiting.remove(&target).unwrap_or_default() {
                let _ = waiter.send(());
            }
        }
    }
}

/// The region's allowance, as far as this box deals with it.
#[derive(Default)]
pub struct Loads {
    /// For the whole region, when this box is its arbiter.
    region: Mutex<Desk>,
    /// For this box alone, when the arbiter cannot be reached.
    own: Mutex<Desk>,
}

impl Loads {
    /// Waits until a load is permitted.
    pub async fn ask(&self, node: &Node, wish: LoadWish) {
        loop {
            let Some(arbiter) = find_arbiter(node) else {
                return self.ask_own(node, wish).await;
            };
            if arbiter.id == *node.id() {
                return self.wait_here(node, wish).await;
            }
            let message = Message::AskLoad(wish.clone());
            let reply = node
                .ask(&arbiter.control_address, message, ASK_LOAD_WITHIN)
                .await;
            match reply {
                Ok(Reply::LoadGranted) => return,
                // Either a long queue or a silent box; the view will tell which.
                Err(ControlError::TimedOut) => {}
                _ => return self.ask_own(node, wish).await,
            }
        }
    }

    /// Waits for a grant of the arbiter that this box is.
    pub async fn wait_here(&self, node: &Node, mut wish: LoadWish) {
        wish.since_ms = node.clock.now_ms();
        let granted = lock(&self.region).ask(wish);
        self.grant(node);
        let _ = granted.await;
    }

    /// Says that a load has ended or was not needed.
    pub async fn end(&self, node: &Node, engine: &EngineId, model: &ModelRef, unused: bool) {
        lock(&self.own).end(engine, model, unused);
        match find_arbiter(node) {
            Some(arbiter) if arbiter.id != *node.id() => {
                let message = Message::EndLoad {
                    engine: engine.clone(),
                    model: model.clone(),
                    unused,
                };
                // A permit whose end is lost runs out by itself.
                let _ = node.ask_soon(&arbiter.control_address, message).await;
            }
            _ => self.end_here(engine, model, unused),
        }
    }

    /// Ends a load of the arbiter that this box is.
    pub fn end_here(&self, engine: &EngineId, model: &ModelRef, unused: bool) {
        lock(&self.region).end(engine, model, unused);
    }

    /// Without the arbiter a box uses no more than its share.
    async fn ask_own(&self, node: &Node, mut wish: LoadWish) {
        log::debug!(target: part::LOADS, "no arbiter for {} on {}, own share is used", wish.model, wish.engine);
        wish.since_ms = node.clock.now_ms();
        let granted = lock(&self.own).ask(wish);
        self.grant(node);
        let _ = granted.await;
    }

    /// Grants what the allowance permits now; costs next to nothing while nobody waits.
    fn grant(&self, node: &Node) {
        let anyone_waits =
            !lock(&self.region).waiting.is_empty() || !lock(&self.own).waiting.is_empty();
        if !anyone_waits {
            return;
        }
        let boxes = {
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
            loads_per_s: allowance.loads_per_s / boxes.max(1) as f64,
            at_once: (allowance.at_once / boxes.max(1) as u32).max(1),
        };
        let mut own = lock(&self.own);
        own.arbiter.set_allowance(share);
        own.grant(now_ms);
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
        _ => UNLIMITED,
    }
}

/// Grants loads as the allowance permits.
pub struct LoadGrantController {
    node: Arc<Node>,
}

impl LoadGrantController {
    /// A controller for this box's two desks.
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
