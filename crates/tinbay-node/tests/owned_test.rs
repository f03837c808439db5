//! Which runs the owner of an engine considers active, based on its own requests and the engine's
//! state reports.

use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

use futures_util::poll;
use tinbay_core::config::EngineSpec;
use tinbay_core::engine::{Command, Event, OwnerSettings, QueuedRequest};
use tinbay_core::fence::{Fence, Order};
use tinbay_core::ids::{EngineId, ModelRef, RequestId, ZoneId};
use tinbay_node::owners::{OrderJob, OwnedEngine, OwnedEngines, QueueOutcome};
use tinbay_node::util::clock::Clock;
use tinbay_wire::engine::{EngineState, RunningRequest};
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// An owned engine with one adapter slot and a batch of one request.
fn owned() -> (Arc<OwnedEngine>, UnboundedReceiver<OrderJob>) {
    let spec = EngineSpec {
        name: EngineId::new("engine-1"),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneId::new("a"),
        region: "main".to_owned(),
        base_model: "base".to_owned(),
        slots: 1,
        batch_limit: 1,
        checks_orders: true,
    };
    let order = Order {
        fence: Fence { epoch: 1, rank: 0 },
        incarnation: 1,
    };
    let (jobs, receiver) = mpsc::unbounded_channel();
    let settings = OwnerSettings::default();
    let owned = OwnedEngine::new(spec, 0, settings, order, Clock::start(), jobs);
    (owned, receiver)
}

fn model(number: usize) -> ModelRef {
    ModelRef::new(format!("adapter-{number}"), "v1")
}

fn ask(owned: &OwnedEngine, id: u64, model: ModelRef) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        model,
        organisation: String::new(),
        rank: 0,
        urgent: true,
        arrived_ms: owned.now_ms(),
        start_by_ms: owned.now_ms() + 60_000,
    }
}

/// A report of an engine that has the first adapter loaded and runs these requests on it.
fn report(running: &[&str]) -> EngineState {
    let running = running.iter().map(|request| RunningRequest {
        request: (*request).to_owned(),
        model: model(0),
    });
    EngineState {
        incarnation: 1,
        loaded: vec![model(0)],
        running: running.collect(),
        leaving: false,
        fence: Fence { epoch: 1, rank: 0 },
    }
}

fn orders_unload(jobs: &mut UnboundedReceiver<OrderJob>) -> bool {
    let mut unloads = false;
    while let Ok(job) = jobs.try_recv() {
        unloads |= matches!(job.command, Command::Unload(_));
    }
    unloads
}

// A state report requested before a run was detached does not contain that run. It must not count
// as proof that the run has ended, or the run's adapter is unloaded while the engine still uses it.
#[tokio::test]
async fn observe_report_asked_for_before_a_run_was_detached_keeps_its_adapter() {
    let (owned, mut jobs) = owned();
    owned.learn(&report(&[]), 0);
    let asked_ms = owned.now_ms();
    let outcome = owned.submit(ask(&owned, 1, model(0)), "run-1").await;
    let QueueOutcome::Run(mut guard) = outcome else {
        panic!("the engine has a free place");
    };
    guard.mark_sent();
    drop(guard);
    owned.observe(&report(&[]), asked_ms);
    let mut other = pin!(owned.submit(ask(&owned, 2, model(1)), "run-2"));
    assert!(poll!(other.as_mut()).is_pending());
    owned.handle(Event::LoadGranted(model(1)));
    assert!(!orders_unload(&mut jobs), "the run may still be active");
    owned.observe(&report(&[]), asked_ms + 60_000);
    owned.handle(Event::LoadGranted(model(1)));
    assert!(orders_unload(&mut jobs), "the engine has ended the run");
}

// A queued request may have the same name as a run of an earlier attempt. It must not hide that
// run, or its place in the batch is given away twice.
#[tokio::test]
async fn observe_run_whose_name_waits_again_keeps_its_place() {
    let (owned, _jobs) = owned();
    owned.learn(&report(&["run-1"]), 0);
    let mut again = pin!(owned.submit(ask(&owned, 1, model(0)), "run-1"));
    assert!(poll!(again.as_mut()).is_pending(), "the batch is full");
    owned.observe(&report(&["run-1"]), owned.now_ms());
    assert!(
        poll!(again.as_mut()).is_pending(),
        "the run is still active"
    );
    owned.observe(&report(&[]), owned.now_ms());
    assert!(matches!(
        poll!(again.as_mut()),
        Poll::Ready(QueueOutcome::Run(_))
    ));
}

// Guards against two owners of an engine: the box that asks for a handover takes the engine over
// once it is confirmed, while the takeover of the box that confirms it goes on.
#[test]
fn takeover_ends_when_the_engine_is_handed_over() {
    let engines = OwnedEngines::default();
    let (engine, _jobs) = owned();
    let name = engine.spec().name.clone();
    let handovers = engines.handovers(&name);
    assert!(engines.hand_over(&name).is_none());
    assert!(!engines.insert(Arc::clone(&engine), handovers));
    assert!(engines.get(&name).is_none());
    assert!(engines.insert(engine, engines.handovers(&name)));
    assert!(engines.get(&name).is_some());
}
