//! Chooses the engine for a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ids::{EngineId, ModelRef};
use crate::rendezvous;
use crate::units::Millis;

/// Engines kept in the ranking of a model: its home, its spread and some to fall back on.
pub const RANKED_ENGINES: usize = 8;

/// A hint older than this says nothing any more.
const HINT_LIFE_MS: Millis = 5_000;

/// An urgent request's wait at the home that makes another engine worth a load of its own.
const URGENT_SPREAD_WAIT_MS: Millis = 1_500;

/// The same for other requests: they can wait, and a copy takes a slot from another adapter.
const BATCH_SPREAD_WAIT_MS: Millis = 20_000;

/// Rankings of models over the engines of their base model.
///
/// The ranking of a model is worked out once for each state of the fleet, so a request pays
/// for a look-up only.
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
    /// Forgets the rankings when the fleet has changed.
    pub fn sync(&mut self, generation: u64) {
        if self.generation != generation {
            self.generation = generation;
            self.rankings.clear();
        }
    }

    /// The ranking of a model; `engines` is asked only when none is kept.
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

    /// Notes the wait an owner reported with an answer to an urgent or another request.
    pub fn note_wait(&mut self, engine: &EngineId, urgent: bool, wait_ms: Millis, now_ms: Millis) {
        let hint = Hint {
            wait_ms,
            noted_ms: now_ms,
        };
        self.hints.insert((engine.clone(), urgent), hint);
    }

    /// The order in which to try the engines of a ranking: the home first, unless its
    /// wait makes the next one better by more than a load is worth.
    pub fn order(&self, ranking: &[EngineId], urgent: bool, now_ms: Millis) -> Vec<EngineId> {
        let spread_ms = if urgent {
            URGENT_SPREAD_WAIT_MS
        } else {
            BATCH_SPREAD_WAIT_MS
        };
        let mut order: Vec<(Millis, usize, &EngineId)> = ranking
            .iter()
            .enumerate()
            .map(|(place, engine)| {
                let wait_ms = self.wait_ms(engine, urgent, now_ms);
                let worth_ms = (place as Millis) * spread_ms;
                (wait_ms + worth_ms, place, engine)
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
