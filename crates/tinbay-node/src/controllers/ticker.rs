//! Drives the time-dependent scheduling of owned engines, such as request deadlines.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::engine::{Event, OwnerSettings};

use super::Controller;
use crate::state::Node;

/// Time between ticks, which bounds how late a request is refused after its deadline.
const PERIOD: Duration = Duration::from_millis(20);

/// Ticks between checks of the default policy's settings, about half a second.
const TICKS_PER_SETTINGS_CHECK: u32 = 25;

/// Sends a tick to every owned engine and passes changed scheduler settings on.
pub struct TickController {
    node: Arc<Node>,
    settings: OwnerSettings,
    ticks: u32,
}

impl TickController {
    /// Creates a controller with the default scheduler settings.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            settings: OwnerSettings::default(),
            ticks: 0,
        }
    }

    fn tick(&mut self) {
        if self.ticks.is_multiple_of(TICKS_PER_SETTINGS_CHECK) {
            self.refresh_settings();
        }
        self.ticks = self.ticks.wrapping_add(1);
        for engine in self.node.owners.all() {
            engine.handle(Event::Tick);
        }
    }

    fn refresh_settings(&mut self) {
        let settings = OwnerSettings::from_policy(self.node.policies.settings(&self.node.config));
        if settings == self.settings {
            return;
        }
        self.settings = settings;
        for engine in self.node.owners.all() {
            engine.set_settings(settings);
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
