//! The engines that this box owns and schedules, each under its own lock.

mod lease;
mod orders;
mod owned;
mod under_way;

pub use lease::BoxLease;
pub use orders::{begin_order, end_order, observe_engine, run_orders};
pub use owned::{OrderJob, OwnedEngine, QueueOutcome, RunGuard};
pub use under_way::{ORDER_DELIVERY_MS, OrderUnderWay, OrdersUnderWay};

use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use tinbay_core::ids::EngineId;

use crate::util::sync::{read, write};

/// The engines that this box owns.
#[derive(Default)]
pub struct OwnedEngines {
    engines: RwLock<Engines>,
    orders_under_way: Arc<OrdersUnderWay>,
}

#[derive(Default)]
struct Engines {
    owned: HashMap<EngineId, Arc<OwnedEngine>>,
    /// How often each engine was handed over.
    handovers: HashMap<EngineId, u64>,
}

impl Engines {
    fn handovers(&self, engine: &EngineId) -> u64 {
        self.handovers.get(engine).copied().unwrap_or_default()
    }
}

impl OwnedEngines {
    /// An engine by name, if this box owns it.
    pub fn get(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        read(&self.engines).owned.get(engine).cloned()
    }

    /// A snapshot of all owned engines.
    pub fn all(&self) -> Vec<Arc<OwnedEngine>> {
        read(&self.engines).owned.values().cloned().collect()
    }

    /// How often an engine was handed over, to be read before a takeover begins.
    pub fn handovers(&self, engine: &EngineId) -> u64 {
        read(&self.engines).handovers(engine)
    }

    /// Adds an engine after a takeover, unless it was handed over since `handovers` was read.
    /// Returns whether it was added.
    pub fn insert(&self, owned: Arc<OwnedEngine>, handovers: u64) -> bool {
        let mut engines = write(&self.engines);
        let name = &owned.spec().name;
        if engines.handovers(name) != handovers {
            return false;
        }
        engines.owned.insert(name.clone(), owned);
        true
    }

    /// Removes an engine; its running requests continue.
    pub fn remove(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        write(&self.engines).owned.remove(engine)
    }

    /// Removes an engine and ends a takeover of it that is under way.
    pub fn hand_over(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        let mut engines = write(&self.engines);
        *engines.handovers.entry(engine.clone()).or_default() += 1;
        engines.owned.remove(engine)
    }

    /// Orders to these engines and to those that were removed.
    pub fn orders_under_way(&self) -> &Arc<OrdersUnderWay> {
        &self.orders_under_way
    }

    /// Number of owned engines.
    pub fn count(&self) -> usize {
        read(&self.engines).owned.len()
    }
}
