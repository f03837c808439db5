//! Takes over the engines that this box should own according to its membership view.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::EngineSpec;
use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::Millis;

use super::Controller;
use super::succession::{Claim, extend_succession, take_over};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// Time between reconciliations. The next owner of an engine starts its takeover within this time
/// after a change of the view.
pub const OWNERSHIP_PERIOD_MS: Millis = 200;

/// Delay before the second attempt for an engine; doubles with each further one.
const RETRY_MS: Millis = 250;

/// Upper bound of the delay between attempts, which keeps the cost of engines that are down low.
const MAX_RETRY_MS: Millis = 8_000;

/// How long the view must be unchanged before successions are extended to match it, so that a
/// series of joins costs one write per engine.
const VIEW_SETTLE_MS: Millis = 1_000;

/// Progress of the takeovers, or extensions, of one engine.
#[derive(Debug, Default)]
struct Attempt {
    is_running: bool,
    failures: u32,
    /// Earliest time of the next attempt.
    not_before_ms: Millis,
    /// What a failed attempt has written, reused by the next one.
    claim: Option<Claim>,
}

type Attempts = Arc<Mutex<HashMap<EngineId, Attempt>>>;

/// Version of the view and generation of the fleet configuration that desired engines derive from.
type Basis = (u64, u64);

/// An engine that this box should own according to its view.
struct DesiredEngine {
    spec: EngineSpec,
    /// This box, the next in rank, and further successors from the engine's zone. From the third
    /// place on, boxes of other zones are left out: they only fill places for which the engine's
    /// zone has too few boxes, and which ones do so changes whenever a zone is cut off.
    successors: Vec<BoxId>,
}

/// Takes over engines that this box should own and gives up those that no longer exist.
pub struct OwnershipController {
    node: Arc<Node>,
    takeovers: Attempts,
    /// Extensions of successions, tracked apart so that a failed one does not delay a takeover.
    extensions: Attempts,
    basis: Option<Basis>,
    basis_since_ms: Millis,
    desired: Vec<DesiredEngine>,
}

impl OwnershipController {
    /// Creates a controller that has not taken over any engine yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            takeovers: Attempts::default(),
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
        self.give_up_unleased();
        for desired in &self.desired {
            let engine = &desired.spec.name;
            if self.node.owners.get(engine).is_none() {
                if self.may_own(&desired.spec) {
                    self.try_take_over(&desired.spec);
                }
            } else if self.has_unnamed_successors(desired) {
                self.try_extend(desired);
            }
        }
    }

    fn try_take_over(&self, spec: &EngineSpec) {
        if self.begin_attempt(&self.takeovers, &spec.name) {
            ntex::rt::spawn(attempt_take_over(
                Arc::clone(&self.node),
                Arc::clone(&self.takeovers),
                spec.clone(),
            ));
        }
    }

    fn try_extend(&self, desired: &DesiredEngine) {
        if self.begin_attempt(&self.extensions, &desired.spec.name) {
            ntex::rt::spawn(attempt_extend(
                Arc::clone(&self.node),
                Arc::clone(&self.extensions),
                desired.spec.name.clone(),
                desired.successors.clone(),
            ));
        }
    }

    /// Whether the settled view ranks successors that the engine's stored succession does not name.
    fn has_unnamed_successors(&self, desired: &DesiredEngine) -> bool {
        if self.node.clock.now_ms() < self.basis_since_ms + VIEW_SETTLE_MS {
            return false;
        }
        let successions = lock(&self.node.successions);
        let known = successions.get(&desired.spec.name);
        known.is_some_and(|known| !known.missing(&desired.successors).is_empty())
    }

    /// Recomputes the desired engines when the view or the fleet configuration has changed.
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
        self.give_up_changed(&engines);
        self.desired = engines
            .into_iter()
            .filter(|spec| spec.region == self.node.options.region)
            .filter_map(|spec| {
                let ranked = members
                    .view()
                    .succession(&spec.name, &spec.zone, &spec.region);
                let successors: Vec<BoxId> = ranked
                    .into_iter()
                    .enumerate()
                    .filter(|(place, record)| *place <= 1 || record.zone == spec.zone)
                    .map(|(_, record)| record.id.clone())
                    .collect();
                (successors.first() == Some(me)).then_some(DesiredEngine { spec, successors })
            })
            .collect();
    }

    /// Gives up engines whose configuration was deleted or changed.
    fn give_up_changed(&self, engines: &[EngineSpec]) {
        let current: HashSet<&EngineId> = engines.iter().map(|spec| &spec.name).collect();
        for owned in self.node.owners.all() {
            let spec = owned.spec();
            let is_unchanged = engines.iter().any(|known| known == spec);
            if !current.contains(&spec.name) || !is_unchanged {
                self.node.give_up(&spec.name);
            }
        }
    }

    /// Gives up engines that another box may have taken over since this box's lease has lapsed.
    fn give_up_unleased(&self) {
        let term = self.node.lease.term();
        for owned in self.node.owners.all() {
            let spec = owned.spec();
            if !spec.checks_orders && owned.lease_term() != term {
                log::info!(target: part::OWNER, "the lease of this box has lapsed; {} is given up here", spec.name);
                self.node.give_up(&spec.name);
            }
        }
    }

    /// Whether other boxes would know that this box may send orders to the engine.
    fn may_own(&self, spec: &EngineSpec) -> bool {
        let now_ms = self.node.clock.now_ms();
        spec.checks_orders || self.node.lease.is_certainly_held(now_ms)
    }

    /// Marks an attempt as running; `false` if one is running already or is not due yet.
    fn begin_attempt(&self, attempts: &Attempts, engine: &EngineId) -> bool {
        let now_ms = self.node.clock.now_ms();
        let mut attempts = lock(attempts);
        let attempt = attempts.entry(engine.clone()).or_default();
        if attempt.is_running || now_ms < attempt.not_before_ms {
            return false;
        }
        attempt.is_running = true;
        true
    }
}

async fn attempt_take_over(node: Arc<Node>, attempts: Attempts, spec: EngineSpec) {
    let claim = lock(&attempts)
        .get_mut(&spec.name)
        .and_then(|attempt| attempt.claim.take());
    let outcome = take_over(&node, &spec, claim).await;
    if let Err((_, error)) = &outcome {
        log::debug!(target: part::OWNER, "takeover of {} failed, retrying: {error}", spec.name);
    }
    let failed = outcome.err().map(|(claim, _)| claim);
    end_attempt(&node, &attempts, &spec.name, failed);
}

async fn attempt_extend(
    node: Arc<Node>,
    attempts: Attempts,
    engine: EngineId,
    successors: Vec<BoxId>,
) {
    let outcome = extend_succession(&node, &engine, &successors).await;
    if let Err(error) = &outcome {
        log::debug!(target: part::OWNER, "extending the succession of {engine} failed, retrying: {error}");
    }
    let failed = outcome.is_err().then_some(None);
    end_attempt(&node, &attempts, &engine, failed);
}

/// Ends an attempt. After a failure, schedules the next one and keeps the claim to reuse.
fn end_attempt(node: &Node, attempts: &Attempts, engine: &EngineId, failed: Option<Option<Claim>>) {
    let mut attempts = lock(attempts);
    let attempt = attempts.entry(engine.clone()).or_default();
    attempt.is_running = false;
    let Some(claim) = failed else {
        *attempt = Attempt::default();
        return;
    };
    let delay_ms = RETRY_MS << attempt.failures.min(6);
    attempt.failures += 1;
    attempt.not_before_ms = node.clock.now_ms() + delay_ms.min(MAX_RETRY_MS);
    attempt.claim = claim;
}

impl Controller for OwnershipController {
    fn period(&self) -> Duration {
        Duration::from_millis(OWNERSHIP_PERIOD_MS)
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.reconcile();
        async {}.boxed_local()
    }
}
