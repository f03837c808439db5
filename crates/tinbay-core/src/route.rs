//! Selects the engine for a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ids::{EngineId, ModelRef};
use crate::rendezvous;
use crate::units::Millis;

/// Number of engines in the ranking of a model: the preferred one, and others for overload and
/// failures.
pub const RANKED_ENGINES: usize = 8;

/// Lifetime of a wait hint.
const HINT_LIFE_MS: Millis = 5_000;

/// Wait of urgent requests at the preferred engine above which loading the adapter into the next
/// engine pays off.
const URGENT_SPREAD_WAIT_MS: Millis = 1_500;

/// The same for batch requests: they can wait, and a further copy takes a slot from another
/// adapter.
const BATCH_SPREAD_WAIT_MS: Millis = 20_000;

/// Caches, for each model, the ranking of the engines with its base model.
///
/// A ranking is computed once per state of the fleet, so that a request only costs a lookup.
#[derive(Debug, Default)]
pub struct Router {
    generation: u64,
    rankings: HashMap<ModelRef, Arc<[EngineId]>>,
    hints: HashMap<(EngineId, bool), Hint>,
}

#[derive(Debug, Clone, Copy)]
struct Hint {
    wait_ms: Millis,
    noted_ms: Millis,
}

impl Router {
    /// Clears the cached rankings if the fleet has changed.
    pub fn sync(&mut self, generation: u64) {
        if self.generation != generation {
            self.generation = generation;
            self.rankings.clear();
        }
    }

    /// The ranking of a model; `engines` is called only if none is cached.
    pub fn ranking(
        &mut self,
        model: &ModelRef,
        engines: impl FnOnce() -> Vec<EngineId>,
    ) -> Arc<[EngineId]> {
        if let Some(ranking) = self.rankings.get(model) {
            return Arc::clone(ranking);
        }
        let engines = engines();
        let names = engines.iter().map(EngineId::as_str);
        let ranked = rendezvous::rank(&model.to_string(), names, RANKED_ENGINES);
        let ranking: Arc<[EngineId]> = ranked.into_iter().map(EngineId::new).collect();
        self.rankings.insert(model.clone(), Arc::clone(&ranking));
        ranking
    }

    /// Records the wait that an owner reported with an answer, separately for urgent requests.
    pub fn note_wait(&mut self, engine: &EngineId, urgent: bool, wait_ms: Millis, now_ms: Millis) {
        let hint = Hint {
            wait_ms,
            noted_ms: now_ms,
        };
        self.hints.insert((engine.clone(), urgent), hint);
    }

    /// The order in which to try the engines of a ranking: the preferred one first, unless its wait
    /// exceeds that of the next by more than the cost of a load.
    pub fn order(&self, ranking: &[EngineId], urgent: bool, now_ms: Millis) -> Vec<EngineId> {
        let spread_ms = if urgent {
            URGENT_SPREAD_WAIT_MS
        } else {
            BATCH_SPREAD_WAIT_MS
        };
        let mut order: Vec<(Millis, usize, &EngineId)> = ranking
            .iter()
            .enumerate()
            .map(|(position, engine)| {
                let wait_ms = self.wait_ms(engine, urgent, now_ms);
                let penalty_ms = (position as Millis) * spread_ms;
                (wait_ms + penalty_ms, position, engine)
            })
            .collect();
        order.sort();
        order
            .into_iter()
            .map(|(_, _, engine)| engine.clone())
            .collect()
    }

    fn wait_ms(&self, engine: &EngineId, urgent: bool, now_ms: Millis) -> Millis {
        let Some(hint) = self.hints.get(&(engine.clone(), urgent)) else {
            return 0;
        };
        let age_ms = now_ms.saturating_sub(hint.noted_ms);
        if age_ms >= HINT_LIFE_MS {
            return 0;
        }
        hint.wait_ms.saturating_sub(age_ms)
    }
}
