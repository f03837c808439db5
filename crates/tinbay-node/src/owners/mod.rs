//! The engines this box owns: each a shard under its own lock.

mod orders;
mod owned;

pub use orders::{recount, run_orders};
pub use owned::{OrderJob, OwnedEngine, RunGuard, Verdict};

use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use tinbay_core::ids::EngineId;

use crate::util::sync::{read, write};

/// Every engine this box owns.
#[derive(Default)]
pub struct Owners {
    engines: RwLock<HashMap<EngineId, Arc<OwnedEngine>>>,
}

impl Owners {
    /// The shard of an engine, if this box owns it.
    pub fn get(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        read(&self.engines).get(engine).cloned()
    }

    /// Every owned engine.
    pub fn all(&self) -> Vec<Arc<OwnedEngine>> {
        read(&self.engines).values().cloned().collect()
    }

    /// Adds an engine.
    pub fn insert(&self, owned: Arc<OwnedEngine>) {
        write(&self.engines).insert(owned.spec().name.clone(), owned);
    }

    /// Removes an engine; its requests that run go on.
    pub fn remove(&self, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
        write(&self.engines).remove(engine)
    }

    /// How many engines are owned.
    pub fn count(&self) -> usize {
        read(&self.engines).len()
    }
}
