//! The strategies that are compared.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;
use tinbay_core::engine::{EngineOwner, EngineShape, OwnerSettings, Scheduler};
use tinbay_core::ids::{EngineId, ModelRef};
use tinbay_core::naive::NaiveScheduler;
use tinbay_core::policy::Policy;
use tinbay_core::route::Router;
use tinbay_core::units::Millis;

use crate::workload::Workload;

/// A strategy for routing, scheduling and loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StrategyKind {
    /// Least-connections routing, first-come-first-served queue, least-recently-used eviction.
    Naive,
    /// The same, but routing prefers engines that hold the adapter.
    NaiveAffinity,
    /// The core without a policy program.
    Core,
    /// The core with the workload's policy.
    CorePolicy,
}

impl StrategyKind {
    /// All strategies.
    pub const ALL: [StrategyKind; 4] = [
        StrategyKind::Naive,
        StrategyKind::NaiveAffinity,
        StrategyKind::Core,
        StrategyKind::CorePolicy,
    ];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            StrategyKind::Naive => "naive",
            StrategyKind::NaiveAffinity => "naive+affinity",
            StrategyKind::Core => "tinbay",
            StrategyKind::CorePolicy => "tinbay+policy",
        }
    }

    /// Whether the strategy uses the core.
    pub fn is_core(self) -> bool {
        matches!(self, StrategyKind::Core | StrategyKind::CorePolicy)
    }

    /// Creates the scheduler of one engine.
    pub fn scheduler(self, shape: EngineShape, policy: Option<&Policy>) -> Box<dyn Scheduler> {
        match self {
            StrategyKind::Naive | StrategyKind::NaiveAffinity => {
                Box::new(NaiveScheduler::new(shape))
            }
            StrategyKind::Core => Box::new(EngineOwner::new(shape, OwnerSettings::default())),
            StrategyKind::CorePolicy => {
                let settings = policy.map(Policy::settings).unwrap_or_default();
                Box::new(EngineOwner::new(
                    shape,
                    OwnerSettings::from_policy(settings),
                ))
            }
        }
    }
}

/// Load of an engine, as seen by routing.
#[derive(Debug, Clone, Copy)]
pub struct EngineLoad {
    /// Number of requests queued and running.
    pub connections: usize,
}

/// Selects the engines for requests.
pub struct Routing {
    kind: StrategyKind,
    base_models: usize,
    names: Vec<EngineId>,
    numbers: HashMap<EngineId, usize>,
    router: Router,
    holders: HashMap<ModelRef, Vec<usize>>,
}

impl Routing {
    /// Creates the routing for the engines of a workload.
    pub fn new(kind: StrategyKind, workload: &Workload) -> Self {
        let names: Vec<EngineId> = (0..workload.engines.count)
            .map(|number| EngineId::new(format!("engine-{number}")))
            .collect();
        let numbers = names.iter().cloned().zip(0..).collect();
        Self {
            kind,
            base_models: workload.engines.base_models,
            names,
            numbers,
            router: Router::default(),
            holders: HashMap::new(),
        }
    }

    /// The engines to try, in order of preference.
    pub fn order(
        &mut self,
        now_ms: Millis,
        adapter: usize,
        model: &ModelRef,
        urgent: bool,
        loads: &[EngineLoad],
    ) -> Vec<usize> {
        let base = adapter % self.base_models;
        match self.kind {
            StrategyKind::Naive => self.by_least_connections(base, loads),
            StrategyKind::NaiveAffinity => {
                let holders = self.holders.get(model).cloned().unwrap_or_default();
                let best = holders
                    .into_iter()
                    .min_by_key(|engine| loads[*engine].connections);
                best.map_or_else(
                    || self.by_least_connections(base, loads),
                    |engine| vec![engine],
                )
            }
            StrategyKind::Core | StrategyKind::CorePolicy => {
                self.by_ranking(now_ms, base, model, urgent)
            }
        }
    }

    fn by_least_connections(&self, base: usize, loads: &[EngineLoad]) -> Vec<usize> {
        let candidates = (0..loads.len()).filter(|engine| engine % self.base_models == base);
        candidates
            .min_by_key(|engine| loads[*engine].connections)
            .into_iter()
            .collect()
    }

    fn by_ranking(
        &mut self,
        now_ms: Millis,
        base: usize,
        model: &ModelRef,
        urgent: bool,
    ) -> Vec<usize> {
        let (names, base_models) = (&self.names, self.base_models);
        let ranking: Arc<[EngineId]> = self.router.ranking(model, || {
            let candidates = names.iter().enumerate();
            candidates
                .filter(|(number, _)| number % base_models == base)
                .map(|(_, name)| name.clone())
                .collect()
        });
        let order = self.router.order(&ranking, urgent, now_ms);
        order
            .iter()
            .filter_map(|name| self.numbers.get(name).copied())
            .collect()
    }

    /// Records the wait that the owner of an engine reported with an answer.
    pub fn note_wait(&mut self, engine: usize, urgent: bool, wait_ms: Millis, now_ms: Millis) {
        self.router
            .note_wait(&self.names[engine], urgent, wait_ms, now_ms);
    }

    /// Records that an engine holds a model.
    pub fn note_loaded(&mut self, engine: usize, model: &ModelRef) {
        self.holders.entry(model.clone()).or_default().push(engine);
    }

    /// Records that an engine has unloaded a model.
    pub fn note_unloaded(&mut self, engine: usize, model: &ModelRef) {
        if let Some(holders) = self.holders.get_mut(model) {
            holders.retain(|holder| *holder != engine);
        }
    }

    /// Records that an engine has restarted without adapters.
    pub fn note_restarted(&mut self, engine: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != engine);
        }
    }
}
