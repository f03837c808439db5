//! Tells the owned engines that time has passed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::engine::{Event, OwnerSettings};

use super::Controller;
use crate::state::Node;

/// Time between ticks: how late a refusal for a passed deadline may be.
const PERIOD: Duration = Duration::from_millis(20);

/// Ticks every owned engine.
pub struct TickController {
    node: Arc<Node>,
    settings: OwnerSettings,
}

impl TickController {
    /// A controller with the default settings.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            settings: OwnerSettings::default(),
        }
    }

    fn tick(&mut self) {
        let settings = OwnerSettings::from_policy(self.node.policies.settings(&self.node.config));
        let changed = settings != self.settings;
        self.settings = settings;
        for engine in self.node.owners.all() {
            if changed {
                engine.set_settings(settings);
            }
            engine.handle(Event::Tick);
        }
    }
}

impl Controller for TickController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.tick();
        async {}.boxed_local()
    }
}
