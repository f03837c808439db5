//! Takes over the engines that this box should own by its view.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::EngineSpec;
use tinbay_core::ids::EngineId;
use tinbay_core::units::Millis;
use tinbay_wire::control::Succession;

use super::Controller;
use super::succession::take_over;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// Time between looks, within which the next owner of an engine begins to take it over.
pub const TAKE_OVER_MS: Millis = 200;

/// Time until the second try for an engine; doubles with each further one.
const RETRY_MS: Millis = 250;

/// Longest time between tries, so that engines that are down cost little.
const LONGEST_RETRY_MS: Millis = 8_000;

#[derive(Debug, Default)]
struct Attempt {
    running: bool,
    failures: u32,
    next_ms: Millis,
    claimed: Option<Succession>,
}

type Attempts = Arc<Mutex<HashMap<EngineId, Attempt>>>;

/// What the desired engines were worked out from.
type Basis = (u64, u64);

/// Takes over what this box should own, gives up what no longer exists.
pub struct OwnershipController {
    node: Arc<Node>,
    attempts: Attempts,
    basis: Option<Basis>,
    desired: Vec<EngineSpec>,
}

impl OwnershipController {
    /// A controller that owns nothing yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            attempts: Attempts::default(),
            basis: None,
            desired: Vec::new(),
        }
    }

    fn reconcile(&mut self) {
        if !self.node.has_joined() || self.node.is_leaving() {
            return;
        }
        self.refresh_desired();
        for spec in &self.desired {
            if self.node.owners.get(&spec.name).is_none() && self.may_try(&spec.name) {
                ntex::rt::spawn(attempt(
                    Arc::clone(&self.node),
                    Arc::clone(&self.attempts),
                    spec.clone(),
                ));
            }
        }
    }

    /// Works the desired engines out again when the view or the fleet has changed.
    fn refresh_desired(&mut self) {
        let members = read(&self.node.members);
        let basis = (members.version(), self.node.config.fleet_generation());
        if self.basis == Some(basis) {
            return;
        }
        self.basis = Some(basis);
        let me = self.node.id();
        let engines = self.node.config.engines();
        self.drop_deleted(&engines);
        self.desired = engines
            .into_iter()
            .filter(|spec| spec.region == self.node.options.region)
            .filter(|spec| {
                let heirs = members
                    .view()
                    .succession(&spec.name, &spec.zone, &spec.region);
                heirs.first().is_some_and(|first| first.id == *me)
            })
            .collect();
    }

    /// Gives up engines that are not configured any more or were configured anew.
    fn drop_deleted(&self, engines: &[EngineSpec]) {
        let current: HashSet<&EngineId> = engines.iter().map(|spec| &spec.name).collect();
        for owned in self.node.owners.all() {
            let spec = owned.spec();
            let same = engines.iter().any(|known| known == spec);
            if !current.contains(&spec.name) || !same {
                self.node.give_up(&spec.name);
            }
        }
    }

    fn may_try(&self, engine: &EngineId) -> bool {
        let now_ms = self.node.clock.now_ms();
        let mut attempts = lock(&self.attempts);
        let attempt = attempts.entry(engine.clone()).or_default();
        if attempt.running || now_ms < attempt.next_ms {
            return false;
        }
        attempt.running = true;
        true
    }
}

async fn attempt(node: Arc<Node>, attempts: Attempts, spec: EngineSpec) {
    let claimed = lock(&attempts)
        .get_mut(&spec.name)
        .and_then(|attempt| attempt.claimed.take());
    let outcome = take_over(&node, &spec, claimed).await;
    let now_ms = node.clock.now_ms();
    let mut attempts = lock(&attempts);
    let attempt = attempts.entry(spec.name.clone()).or_default();
    attempt.running = false;
    match outcome {
        Ok(_) => *attempt = Attempt::default(),
        Err((claimed, error)) => {
            log::debug!(target: part::OWNER, "{} not taken over: {error}", spec.name);
            let wait_ms = RETRY_MS << attempt.failures.min(6);
            attempt.failures += 1;
            attempt.next_ms = now_ms + wait_ms.min(LONGEST_RETRY_MS);
            attempt.claimed = claimed;
        }
    }
}

impl Controller for OwnershipController {
    fn period(&self) -> Duration {
        Duration::from_millis(TAKE_OVER_MS)
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.reconcile();
        async {}.boxed_local()
    }
}
