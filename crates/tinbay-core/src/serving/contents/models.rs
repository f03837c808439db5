//! The base models that a server holds.

use std::collections::HashMap;

use super::held::HeldState;
use crate::serving::configuration::{EngineProperties, ModelSpec};
use crate::units::Millis;

/// Interval between polls of the load of a model, which takes some hundred milliseconds.
const CHECK_INTERVAL_MS: Millis = 60;

/// A base model that occupies memory.
#[derive(Debug, Clone)]
struct HeldModel {
    state: HeldState,
    /// When its load is to be polled next.
    check_ms: Millis,
}

/// The base models that a server holds.
#[derive(Debug)]
pub(super) struct BaseModels {
    specs: Vec<ModelSpec>,
    memory_mb: f64,
    held: HashMap<String, HeldModel>,
}

impl BaseModels {
    /// Creates the state without any model.
    pub fn new(spec: &EngineProperties) -> Self {
        Self {
            specs: spec.models.clone(),
            memory_mb: spec.weights_mb,
            held: HashMap::new(),
        }
    }

    /// Whether a model occupies memory, ready or not.
    pub fn holds(&self, model: &str) -> bool {
        self.held.contains_key(model)
    }

    /// Whether no model is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a model is being loaded.
    pub fn is_loading(&self) -> bool {
        self.held
            .values()
            .any(|model| model.state == HeldState::Loading)
    }

    /// A loading model whose next poll is due.
    pub fn due(&self, now_ms: Millis) -> Option<&str> {
        let is_due = |(_, model): &(&String, &HeldModel)| {
            model.state == HeldState::Loading && model.check_ms <= now_ms
        };
        let (name, _) = self.held.iter().find(is_due)?;
        Some(name)
    }

    /// When the next poll of a loading model is due.
    pub fn next_poll_ms(&self) -> Option<Millis> {
        let loading = self
            .held
            .values()
            .filter(|model| model.state == HeldState::Loading);
        loading.map(|model| model.check_ms).min()
    }

    /// The model to load next: the first wanted one that is not held and fits beside adapters of
    /// `adapters_mb`, or the first one configured if the server is empty.
    pub fn missing<'a>(
        &'a self,
        wanted: impl Iterator<Item = &'a str>,
        adapters_mb: f64,
    ) -> Option<&'a str> {
        let missing = wanted
            .filter(|model| !self.holds(model))
            .find(|model| self.fits(model, adapters_mb));
        let first = || self.specs.first().map(|model| model.name.as_str());
        match missing {
            Some(model) => Some(model),
            None if self.is_empty() => first(),
            None => None,
        }
    }

    fn fits(&self, model: &str, adapters_mb: f64) -> bool {
        let Some(spec) = self.spec(model) else {
            return false;
        };
        self.used_mb() + adapters_mb + spec.weights_mb <= self.memory_mb
    }

    fn spec(&self, model: &str) -> Option<&ModelSpec> {
        self.specs.iter().find(|spec| spec.name == model)
    }

    fn used_mb(&self) -> f64 {
        let weights_mb = |model: &String| self.spec(model).map_or(0.0, |spec| spec.weights_mb);
        self.held.keys().map(weights_mb).sum()
    }

    /// Memory of one adapter of a model, in MB.
    pub fn adapter_mb(&self, model: &str) -> f64 {
        self.spec(model).map_or(0.0, |spec| spec.adapter_mb)
    }

    /// Memory of the largest adapter of the held models, in MB.
    pub fn largest_adapter_mb(&self) -> f64 {
        let sizes_mb = self.held.keys().map(|model| self.adapter_mb(model));
        sizes_mb.fold(0.0, f64::max)
    }

    /// Memory not occupied by models, in MB.
    pub fn free_mb(&self) -> f64 {
        self.memory_mb - self.used_mb()
    }

    /// Records that a model is being loaded; returns whether it was not held before.
    pub fn record_loading(&mut self, model: &str, now_ms: Millis) -> bool {
        let held = HeldModel {
            state: HeldState::Loading,
            check_ms: now_ms + CHECK_INTERVAL_MS,
        };
        self.held.insert(model.to_string(), held).is_none()
    }

    /// Records that a model is loaded.
    pub fn record_ready(&mut self, model: &str, now_ms: Millis) {
        let held = HeldModel {
            state: HeldState::Ready,
            check_ms: now_ms,
        };
        self.held.insert(model.to_string(), held);
    }

    /// Replaces the held models by those of a report, which lists only loaded ones.
    pub fn record_report(&mut self, models: &[String], now_ms: Millis) {
        self.held.clear();
        for model in models {
            self.record_ready(model, now_ms);
        }
    }
}
