//! Takes over the engines that this box should own by its view.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::EngineSpec;
use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::Millis;
use tinbay_wire::control::Succession;

use super::Controller;
use super::succession::{extend_succession, take_over};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// Time between looks, within which the next owner of an engine begins to take it over.
pub const TAKE_OVER_MS: Millis = 200;

/// Time until the second try for an engine; doubles with each further one.
const RETRY_MS: Millis = 250;

/// Longest time between tries, so that engines that are down cost little.
const LONGEST_RETRY_MS: Millis = 8_000;

/// How long the view stays as it is before successions follow it, so that a series of joins costs one
/// write an engine.
const SETTLED_MS: Millis = 1_000;

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

/// An engine that this box should own by its view.
struct Desired {
    spec: EngineSpec,
    /// This box, the next one, and others of the engine's zone that stand behind it. Boxes of other zones
    /// fill places that the zone leaves open; which of them do changes whenever a zone is cut off.
    heirs: Vec<BoxId>,
}

/// Takes over what this box should own, gives up what no longer exists.
pub struct OwnershipController {
    node: Arc<Node>,
    /// Takeovers.
    attempts: Attempts,
    /// Extensions of successions; apart, so that one that fails holds up no takeover.
    extensions: Attempts,
    basis: Option<Basis>,
    basis_since_ms: Millis,
    desired: Vec<Desired>,
}

impl OwnershipController {
    /// A controller that owns nothing yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            attempts: Attempts::default(),
            extensions: Attempts::default(),
            basis: None,
            basis_since_ms: 0,
            desired: Vec::new(),
        }
    }

    fn reconcile(&mut self) {
        if !self.node.has_joined() || self.node.is_leaving() {
            return;
        }
        self.refresh_desired();
        for desired in &self.desired {
            let engine = &desired.spec.name;
            if self.node.owners.get(engine).is_none() {
                self.try_take_over(&desired.spec);
            } else if self.has_unnamed_heirs(desired) {
                self.try_extend(desired);
            }
        }
    }

    fn try_take_over(&self, spec: &EngineSpec) {
        if self.may_try(&self.attempts, &spec.name) {
            ntex::rt::spawn(attempt_take_over(
                Arc::clone(&self.node),
                Arc::clone(&self.attempts),
                spec.clone(),
            ));
        }
    }

    fn try_extend(&self, desired: &Desired) {
        if self.may_try(&self.extensions, &desired.spec.name) {
            ntex::rt::spawn(attempt_extend(
                Arc::clone(&self.node),
                Arc::clone(&self.extensions),
                desired.spec.name.clone(),
                desired.heirs.clone(),
            ));
        }
    }

    /// Whether boxes stand behind this one that its engine's succession does not name.
    fn has_unnamed_heirs(&self, desired: &Desired) -> bool {
        if self.node.clock.now_ms() < self.basis_since_ms + SETTLED_MS {
            return false;
        }
        let successions = lock(&self.node.successions);
        let known = successions.get(&desired.spec.name);
        known.is_some_and(|known| !known.missing(&desired.heirs).is_empty())
    }

    /// Works the desired engines out again when the view or the fleet has changed.
    fn refresh_desired(&mut self) {
        let members = read(&self.node.members);
        let basis = (members.version(), self.node.config.fleet_generation());
        if self.basis == Some(basis) {
            return;
        }
        self.basis = Some(basis);
        self.basis_since_ms = self.node.clock.now_ms();
        let me = self.node.id();
        let engines = self.node.config.engines();
        self.drop_deleted(&engines);
        self.desired = engines
            .into_iter()
            .filter(|spec| spec.region == self.node.options.region)
            .filter_map(|spec| {
                let heirs = members
                    .view()
                    .succession(&spec.name, &spec.zone, &spec.region);
                let heirs: Vec<BoxId> = heirs
                    .into_iter()
                    .enumerate()
                    .filter(|(place, heir)| *place <= 1 || heir.zone == spec.zone)
                    .map(|(_, heir)| heir.id.clone())
                    .collect();
                (heirs.first() == Some(me)).then_some(Desired { spec, heirs })
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

    fn may_try(&self, attempts: &Attempts, engine: &EngineId) -> bool {
        let now_ms = self.node.clock.now_ms();
        let mut attempts = lock(attempts);
        let attempt = attempts.entry(engine.clone()).or_default();
        if attempt.running || now_ms < attempt.next_ms {
            return false;
        }
        attempt.running = true;
        true
    }
}

async fn attempt_take_over(node: Arc<Node>, attempts: Attempts, spec: EngineSpec) {
    let claimed = lock(&attempts)
        .get_mut(&spec.name)
        .and_then(|attempt| attempt.claimed.take());
    let outcome = take_over(&node, &spec, claimed).await;
    if let Err((_, error)) = &outcome {
        log::debug!(target: part::OWNER, "{} not taken over: {error}", spec.name);
    }
    let failed = outcome.err().map(|(claimed, _)| claimed);
    end_attempt(&node, &attempts, &spec.name, failed);
}

async fn attempt_extend(node: Arc<Node>, attempts: Attempts, engine: EngineId, heirs: Vec<BoxId>) {
    let outcome = extend_succession(&node, &engine, &heirs).await;
    if let Err(error) = &outcome {
        log::debug!(target: part::OWNER, "succession of {engine} not extended: {error}");
    }
    let failed = outcome.is_err().then_some(None);
    end_attempt(&node, &attempts, &engine, failed);
}

/// Notes when the next attempt may follow one that failed, and what it has claimed.
fn end_attempt(
    node: &Node,
    attempts: &Attempts,
    engine: &EngineId,
    failed: Option<Option<Succession>>,
) {
    let mut attempts = lock(attempts);
    let attempt = attempts.entry(engine.clone()).or_default();
    attempt.running = false;
    let Some(claimed) = failed else {
        *attempt = Attempt::default();
        return;
    };
    let wait_ms = RETRY_MS << attempt.failures.min(6);
    attempt.failures += 1;
    attempt.next_ms = node.clock.now_ms() + wait_ms.min(LONGEST_RETRY_MS);
    attempt.claimed = claimed;
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
