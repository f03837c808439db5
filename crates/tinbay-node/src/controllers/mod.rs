//! Controllers: periodic reconciliation loops, each responsible for one part of the box's state.
//!
//! All controllers run on the control thread. Each step compares the current state with the desired
//! state and corrects the difference, so no step depends on having seen every intermediate change.

mod box_lease;
mod box_list;
mod config_catch_up;
mod config_watch;
mod control_handler;
mod discovery;
mod engine_watch;
mod heartbeat;
mod heartbeat_client;
mod loads;
mod members;
mod ownership;
mod policies;
mod start;
mod succession;
mod ticker;
mod zone_heartbeat;

pub use control_handler::{ControlHandler, zone_status};
pub use loads::LoadLimiter;
pub use members::Members;
pub use ownership::OWNERSHIP_PERIOD_MS;
pub use policies::PolicyCache;
pub use succession::FORMER_OWNER_LEASE_MS;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::state::Node;

/// Largest fraction by which a period is randomly lengthened, so that boxes do not act in lockstep.
const JITTER: f64 = 0.2;

/// A periodic task that reconciles one part of the box's state.
pub trait Controller {
    /// Time between the end of one step and the start of the next, before jitter.
    fn period(&self) -> Duration;

    /// Runs one reconciliation step.
    fn step(&mut self) -> LocalBoxFuture<'_, ()>;
}

/// Spawns all controllers on the current thread.
pub fn start_controllers(node: &Arc<Node>) {
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(heartbeat::HeartbeatController::new(node)),
        Box::new(zone_heartbeat::ZoneHeartbeatController::new(node)),
        Box::new(discovery::DiscoveryController::new(node)),
        Box::new(box_list::BoxListController::new(node)),
        Box::new(config_watch::ConfigWatchController::new(node)),
        Box::new(config_catch_up::CatchUpController::new(node)),
        Box::new(start::StartController::new(node)),
        Box::new(box_lease::BoxLeaseController::new(node)),
        Box::new(ownership::OwnershipController::new(node)),
        Box::new(engine_watch::EngineWatchController::new(node)),
        Box::new(loads::LoadGrantController::new(node)),
        Box::new(ticker::TickController::new(node)),
    ];
    for controller in controllers {
        ntex::rt::spawn(run_controller(controller));
    }
}

async fn run_controller(mut controller: Box<dyn Controller>) {
    loop {
        controller.step().await;
        tokio::time::sleep(jittered(controller.period())).await;
    }
}

/// Lengthens `duration` by a random fraction of up to [`JITTER`].
pub fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + JITTER * rand::random::<f64>())
}
