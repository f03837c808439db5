//! The engines that this box owns and schedules, each under its own lock.

mod orders;
mod owned;

pub use orders::{observe_engine, run_orders};
pub use owned::{OrderJob, OwnedEngine, QueueOutcome, RunGuard};

use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use tinbay_core::ids::EngineId;

use crate::util::sync::{read, write};

/// The engines that this box owns, by name.
#[derive(Default)]
pub struct OwnedEngines {
    engines: RwLock<HashMap<EngineId, Arc<OwnedEngine>>>,
}

impl OwnedEngines {
    /// An engine by name, if this box owns it.
    pub fn get(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        read(&self.engines).get(engine).cloned()
    }

    /// A snapshot of all owned engines.
    pub fn all(&self) -> Vec<Arc<OwnedEngine>> {
        read(&self.engines).values().cloned().collect()
    }

    /// Adds an engine after a takeover.
    pub fn insert(&self, owned: Arc<OwnedEngine>) {
        write(&self.engines).insert(owned.spec().name.clone(), owned);
    }

    /// Removes an engine; its running requests continue.
    pub fn remove(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        write(&self.engines).remove(engine)
    }

    /// Number of owned engines.
    pub fn count(&self) -> usize {
        read(&self.engines).len()
    }
}
