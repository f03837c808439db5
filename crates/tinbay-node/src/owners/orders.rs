//! Executes the scheduler's commands that need I/O: load requests and orders to engines.

use std::sync::Arc;

use tinbay_core::config::{ConfigKey, ConfigObject};
use tinbay_core::engine::{Command, Event};
use tinbay_core::ids::ModelRef;
use tinbay_core::loads::LoadRequest;
use tinbay_core::units::Millis;
use tinbay_wire::engine::EngineRefusal;
use tokio::sync::mpsc;

use super::{OrderJob, OrderUnderWay, OwnedEngine};
use crate::engines::{EngineApi, EngineError, HttpEngine};
use crate::logging::part;
use crate::state::Node;
use crate::util::guarded::while_allowed;

/// Metric label of load orders.
const LOAD: &str = "load";
/// Metric label of unload orders.
const UNLOAD: &str = "unload";

/// Executes commands concurrently as they arrive; runs on the control thread.
pub async fn run_orders(node: Arc<Node>, mut jobs: mpsc::UnboundedReceiver<OrderJob>) {
    while let Some(job) = jobs.recv().await {
        let node = Arc::clone(&node);
        ntex::rt::spawn(async move { execute(&node, job).await });
    }
}

async fn execute(node: &Arc<Node>, job: OrderJob) {
    let engine = job.engine;
    match job.command {
        Command::AskLoad {
            model,
            rank,
            since_ms,
        } => request_load(node, &engine, model, rank, since_ms).await,
        Command::EndLoad(model) => {
            node.loads
                .end(node, &engine.spec().name, &model, false)
                .await;
        }
        Command::ReturnLoad(model) => {
            node.loads
                .end(node, &engine.spec().name, &model, true)
                .await;
        }
        Command::Load(model) => load(node, &engine, model).await,
        Command::Unload(model) => unload(node, &engine, model).await,
        Command::Dispatch { .. } | Command::Refuse { .. } => {}
    }
}

async fn request_load(
    node: &Arc<Node>,
    engine: &Arc<OwnedEngine>,
    model: ModelRef,
    rank: u8,
    since_ms: Millis,
) {
    let request = LoadRequest {
        rank,
        since_ms,
        engine: engine.spec().name.clone(),
        model: model.clone(),
    };
    node.loads.wait_for_grant(node, request).await;
    engine.handle(Event::LoadGranted(model));
}

async fn load(node: &Arc<Node>, engine: &Arc<OwnedEngine>, model: ModelRef) {
    let Some(weights) = find_weights(node, &model) else {
        engine.handle(Event::LoadFailed(model));
        return;
    };
    let Some(under_way) = begin_order(node, engine) else {
        engine.handle(Event::LoadFailed(model));
        return;
    };
    let api = HttpEngine::new(&engine.spec().address);
    let order = api.load(engine.order(), &model, &weights);
    let Some(outcome) = while_allowed(|| node.may_order(engine), order).await else {
        engine.handle(Event::LoadFailed(model));
        return relearn(engine).await;
    };
    end_order(under_way, &outcome);
    count_order(node, LOAD, outcome.is_ok());
    match outcome {
        Ok(_) => engine.handle(Event::Loaded(model)),
        Err(error) => {
            log::warn!(target: part::OWNER, "loading {model} on {} failed: {error}", engine.spec().name);
            engine.handle(Event::LoadFailed(model));
            handle_order_error(node, engine, error).await;
        }
    }
}

async fn unload(node: &Arc<Node>, engine: &Arc<OwnedEngine>, model: ModelRef) {
    let Some(under_way) = begin_order(node, engine) else {
        engine.handle(Event::UnloadFailed(model));
        return;
    };
    let api = HttpEngine::new(&engine.spec().address);
    let order = api.unload(engine.order(), &model);
    let Some(outcome) = while_allowed(|| node.may_order(engine), order).await else {
        engine.handle(Event::UnloadFailed(model));
        return relearn(engine).await;
    };
    end_order(under_way, &outcome);
    count_order(node, UNLOAD, outcome.is_ok());
    match outcome {
        Ok(_) => engine.handle(Event::Unloaded(model)),
        Err(error) => {
            log::warn!(target: part::OWNER, "unloading {model} from {} failed: {error}", engine.spec().name);
            engine.handle(Event::UnloadFailed(model));
            handle_order_error(node, engine, error).await;
        }
    }
}

/// Records an order or a request that is about to be sent; `None` if the engine was given up. A
/// handover that begins after the record is made waits for it.
pub fn begin_order(node: &Node, engine: &OwnedEngine) -> Option<OrderUnderWay> {
    let orders = node.owners.orders_under_way();
    let order = orders.begin(&engine.spec().name, node.clock.now_ms());
    if engine.is_released() {
        order.end();
        return None;
    }
    Some(order)
}

/// Ends an order or a request unless it may still arrive.
pub fn end_order<T>(order: OrderUnderWay, outcome: &Result<T, EngineError>) {
    match outcome {
        Ok(_) | Err(EngineError::Refused(_) | EngineError::Unreachable) => order.end(),
        Err(EngineError::NoAnswer) => {}
    }
}

/// Updates the ownership and the known state of an engine after an order has failed.
pub async fn handle_order_error(node: &Arc<Node>, engine: &Arc<OwnedEngine>, error: EngineError) {
    match error {
        EngineError::Refused(EngineRefusal::StaleFence) => {
            log::info!(target: part::OWNER, "{} is owned by another box now; it is given up here", engine.spec().name);
            node.give_up(&engine.spec().name);
        }
        EngineError::Refused(EngineRefusal::Serving) => observe_engine(engine).await,
        EngineError::Refused(_) | EngineError::NoAnswer => relearn(engine).await,
        EngineError::Unreachable => {}
    }
}

/// Polls the engine for its running requests, some of which may not be tracked by this box. The
/// known state of its slots is kept, including the delay before the next order.
pub async fn observe_engine(engine: &Arc<OwnedEngine>) {
    let requested_ms = engine.now_ms();
    if let Ok(state) = HttpEngine::new(&engine.spec().address).state().await {
        engine.observe(&state, requested_ms);
    }
}

/// Replaces the known contents by those that the engine reports, after an order has failed.
async fn relearn(engine: &Arc<OwnedEngine>) {
    let requested_ms = engine.now_ms();
    if let Ok(state) = HttpEngine::new(&engine.spec().address).state().await {
        engine.learn(&state, requested_ms);
    }
}

/// The location of a model's weights, if its version is configured.
fn find_weights(node: &Node, model: &ModelRef) -> Option<String> {
    match node.config.get(&ConfigKey::version(model))?.object {
        ConfigObject::Version(version) => Some(version.weights),
        _ => None,
    }
}

fn count_order(node: &Node, kind: &str, succeeded: bool) {
    let outcome = if succeeded { "done" } else { "failed" };
    node.metrics
        .orders
        .with_label_values(&[kind, outcome])
        .inc();
}
