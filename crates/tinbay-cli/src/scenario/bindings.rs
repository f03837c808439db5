//! The functions a scenario may call.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rhai::serde::{from_dynamic, to_dynamic};
use rhai::{Dynamic, Engine, EvalAltResult, Map};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tinbay_core::view::BoxState;

use super::BROKEN;
use super::fleet::Fleet;
use super::summaries::sum_metric;
use crate::error::CliError;

type Shared = Arc<Mutex<Fleet>>;
type Outcome<T> = Result<T, Box<EvalAltResult>>;

/// Registers every function for one fleet.
pub fn register(engine: &mut Engine, fleet: &Shared) {
    register_fleet(engine, fleet);
    register_faults(engine, fleet);
    register_requests(engine, fleet);
    register_config(engine, fleet);
    register_checks(engine, fleet);
}

fn lock(fleet: &Shared) -> MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(error: CliError) -> Box<EvalAltResult> {
    error.to_string().into()
}

/// Reads a map of a scenario as a plan; what it leaves out stays at its default.
fn plan<T: DeserializeOwned>(map: Map) -> Outcome<T> {
    from_dynamic(&Dynamic::from_map(map))
}

fn shown<T: Serialize>(value: &T) -> Outcome<Dynamic> {
    to_dynamic(value)
}

fn register_fleet(engine: &mut Engine, fleet: &Shared) {
    let f = Arc::clone(fleet);
    engine.register_fn("start_engine", move |name: &str, map: Map| -> Outcome<()> {
        lock(&f).start_engine(name, &plan(map)?).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn(
        "start_service",
        move |name: &str, map: Map| -> Outcome<()> {
            lock(&f).start_service(name, &plan(map)?).map_err(failed)
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn("start_box", move |name: &str, zone: &str| -> Outcome<()> {
        lock(&f).start_box(name, zone).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("restart_box", move |name: &str| -> Outcome<()> {
        lock(&f).restart_box(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("forget_box", move |name: &str| -> Outcome<()> {
        lock(&f).forget_box(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("mark_leaving", move |name: &str| -> Outcome<()> {
        lock(&f).list_box(name, BoxState::Leaving).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("await_ready", move || -> Outcome<()> {
        lock(&f).await_ready().map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("status", move || -> Outcome<Dynamic> {
        shown(&lock(&f).status().map_err(failed)?)
    });
}

fn register_faults(engine: &mut Engine, fleet: &Shared) {
    let f = Arc::clone(fleet);
    engine.register_fn("kill", move |name: &str| -> Outcome<()> {
        lock(&f).kill(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("freeze", move |name: &str| -> Outcome<()> {
        lock(&f).freeze(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("wake", move |name: &str| -> Outcome<()> {
        lock(&f).wake(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("stop", move |name: &str| -> Outcome<bool> {
        lock(&f).stop(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("terminate", move |name: &str| -> Outcome<()> {
        lock(&f).terminate(name).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("faults", move |name: &str, map: Map| -> Outcome<()> {
        let body: Value = plan(map)?;
        let _: Value = lock(&f)
            .post(name, "/control/faults", &body)
            .map_err(failed)?;
        Ok(())
    });
    let f = Arc::clone(fleet);
    engine.register_fn("restart_engine", move |name: &str| -> Outcome<()> {
        let _: Value = lock(&f)
            .post(name, "/control/restart", &())
            .map_err(failed)?;
        Ok(())
    });
    let f = Arc::clone(fleet);
    engine.register_fn("leave_engine", move |name: &str| -> Outcome<()> {
        let _: Value = lock(&f).post(name, "/control/leave", &()).map_err(failed)?;
        Ok(())
    });
    let f = Arc::clone(fleet);
    engine.register_fn("read", move |name: &str, path: &str| -> Outcome<Dynamic> {
        shown(&lock(&f).get(name, path).map_err(failed)?)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("usage", move |name: &str| -> Outcome<Dynamic> {
        shown(&lock(&f).usage(name).map_err(failed)?)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("metric", move |name: &str, metric: &str| -> Outcome<f64> {
        let text = lock(&f).get_text(name, "/metrics").map_err(failed)?;
        Ok(sum_metric(&text, metric))
    });
}

fn register_requests(engine: &mut Engine, fleet: &Shared) {
    let f = Arc::clone(fleet);
    engine.register_fn("complete", move |map: Map| -> Outcome<Dynamic> {
        let outcome = lock(&f).complete(&plan(map)?).map_err(failed)?;
        let right = outcome.is_right();
        let mut shown: Map = shown(&outcome)?.cast();
        shown.insert("right".into(), right.into());
        Ok(Dynamic::from_map(shown))
    });
    let f = Arc::clone(fleet);
    engine.register_fn(
        "call_service",
        move |name: &str, asks: i64| -> Outcome<Dynamic> {
            let asks = u32::try_from(asks).unwrap_or(1);
            let outcome = lock(&f).call_service(name, asks).map_err(failed)?;
            let mut shown = Map::new();
            shown.insert("key".into(), outcome.key.into());
            shown.insert("answered".into(), outcome.answered.into());
            shown.insert("maybe_ran".into(), outcome.maybe_ran.into());
            Ok(Dynamic::from_map(shown))
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn(
        "start_calls",
        move |name: &str, count: i64, at_once: i64, asks: i64| -> i64 {
            let asks = u32::try_from(asks).unwrap_or(1);
            let (count, at_once) = (count as usize, at_once as usize);
            lock(&f).start_calls(name, count, at_once, asks) as i64
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn("finish_calls", move |calls: i64| -> Outcome<Dynamic> {
        let index = usize::try_from(calls).unwrap_or(usize::MAX);
        shown(&lock(&f).finish_calls(index))
    });
    let f = Arc::clone(fleet);
    engine.register_fn("start_load", move |map: Map| -> Outcome<i64> {
        Ok(lock(&f).start_load(&plan(map)?) as i64)
    });
    let f = Arc::clone(fleet);
    engine.register_fn("finish_load", move |load: i64| -> Outcome<Dynamic> {
        let index = usize::try_from(load).unwrap_or(usize::MAX);
        shown(&lock(&f).finish_load(index))
    });
}

fn register_config(engine: &mut Engine, fleet: &Shared) {
    let f = Arc::clone(fleet);
    engine.register_fn("set_up", move |adapters: i64| -> Outcome<i64> {
        let adapters = usize::try_from(adapters).unwrap_or(0);
        lock(&f).set_up(adapters).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn(
        "add_adapters",
        move |from: i64, count: i64| -> Outcome<i64> {
            let (from, count) = (from as usize, count as usize);
            lock(&f).add_adapters(from, count).map_err(failed)
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn(
        "add_distant_engines",
        move |from: i64, count: i64| -> Outcome<i64> {
            let (from, count) = (from as usize, count as usize);
            lock(&f).add_distant_engines(from, count).map_err(failed)
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn("apply", move |text: &str| -> Outcome<i64> {
        lock(&f).apply(text, None, None).map_err(failed)
    });
    let f = Arc::clone(fleet);
    engine.register_fn(
        "apply_at",
        move |name: &str, change_id: &str, text: &str| -> Outcome<i64> {
            lock(&f)
                .apply(text, Some(name), Some(change_id))
                .map_err(failed)
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn(
        "await_in_force",
        move |revision: i64, within_ms: i64| -> i64 {
            let within_ms = u64::try_from(within_ms).unwrap_or(0);
            let taken = lock(&f).await_in_force(revision, within_ms);
            taken.map_or(-1, |ms| ms as i64)
        },
    );
    let f = Arc::clone(fleet);
    engine.register_fn("lagging", move |revision: i64| -> Outcome<Dynamic> {
        shown(&lock(&f).lagging(revision).map_err(failed)?)
    });
}

fn register_checks(engine: &mut Engine, fleet: &Shared) {
    engine.register_fn("check", |holds: bool, promise: &str| -> Outcome<()> {
        if holds {
            return Ok(());
        }
        Err(format!("{BROKEN}{promise}").into())
    });
    engine.register_fn("sleep_ms", |ms: i64| {
        std::thread::sleep(Duration::from_millis(u64::try_from(ms).unwrap_or(0)));
    });
    let f = Arc::clone(fleet);
    engine.register_fn("note", move |text: &str| lock(&f).note(text));
    let f = Arc::clone(fleet);
    engine.register_fn("now_ms", move || -> i64 { lock(&f).now_ms() as i64 });
    let f = Arc::clone(fleet);
    engine.register_fn("random", move |limit: i64| -> i64 {
        let limit = u64::try_from(limit).unwrap_or(1);
        lock(&f).random(limit) as i64
    });
}
