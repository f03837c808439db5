//! Controllers: each keeps one part of the box's state as it should be.
//!
//! All run on the control thread. A controller's step looks at the state and mends it;
//! nothing depends on a step having seen every change in between.

mod answers;
mod beats;
mod box_lease;
mod box_list;
mod config_catch_up;
mod config_watch;
mod engine_watch;
mod heartbeat;
mod loads;
mod meeting;
mod members;
mod ownership;
mod policies;
mod start;
mod succession;
mod ticker;
mod zone_heartbeat;

pub use answers::{ControlAnswers, zone_status};
pub use box_lease::BoxLease;
pub use loads::Loads;
pub use members::Members;
pub use ownership::TAKE_OVER_MS;
pub use policies::PolicyCache;
pub use succession::FORMER_LEASE_MS;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::state::Node;

/// Share by which a period is lengthened at random, so that boxes do not act in step.
const JITTER: f64 = 0.2;

/// Keeps one part of the state as it should be.
pub trait Controller {
    /// Time between the end of a step and the next.
    fn period(&self) -> Duration;

    /// Looks and mends.
    fn step(&mut self) -> LocalBoxFuture<'_, ()>;
}

/// Starts every controller on this thread.
pub fn start_controllers(node: &Arc<Node>) {
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(heartbeat::HeartbeatController::new(node)),
        Box::new(zone_heartbeat::ZoneHeartbeatController::new(node)),
        Box::new(meeting::MeetingController::new(node)),
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

/// A span lengthened at random.
pub fn jittered(span: Duration) -> Duration {
    span.mul_f64(1.0 + JITTER * rand::random::<f64>())
}
