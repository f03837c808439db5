//! Functions that scenario scripts can call.

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

type SharedFleet = Arc<Mutex<Fleet>>;
type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Registers all scenario functions, bound to one fleet.
pub fn register(engine: &mut Engine, fleet: &SharedFleet) {
    register_fleet(engine, fleet);
    register_faults(engine, fleet);
    register_requests(engine, fleet);
    register_config(engine, fleet);
    register_checks(engine, fleet);
}

fn lock(fleet: &SharedFleet) -> MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_script_error(error: CliError) -> Box<EvalAltResult> {
    error.to_string().into()
}

/// Deserializes the map that a script passes; missing entries take their defaults.
fn parse_map<T: DeserializeOwned>(map: Map) -> ScriptResult<T> {
    from_dynamic(&Dynamic::from_map(map))
}

/// Converts a value for the script.
fn to_script_value<T: Serialize>(value: &T) -> ScriptResult<Dynamic> {
    to_dynamic(value)
}

fn register_fleet(engine: &mut Engine, fleet: &SharedFleet) {
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "start_engine",
        move |name: &str, map: Map| -> ScriptResult<()> {
            lock(&shared)
                .start_engine(name, &parse_map(map)?)
                .map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "start_service",
        move |name: &str, map: Map| -> ScriptResult<()> {
            lock(&shared)
                .start_service(name, &parse_map(map)?)
                .map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "start_box",
        move |name: &str, zone: &str| -> ScriptResult<()> {
            lock(&shared).start_box(name, zone).map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn("restart_box", move |name: &str| -> ScriptResult<()> {
        lock(&shared).restart_box(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("forget_box", move |name: &str| -> ScriptResult<()> {
        lock(&shared).forget_box(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("mark_leaving", move |name: &str| -> ScriptResult<()> {
        lock(&shared)
            .set_box_state(name, BoxState::Leaving)
            .map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("await_ready", move || -> ScriptResult<()> {
        lock(&shared).await_ready().map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("status", move || -> ScriptResult<Dynamic> {
        to_script_value(&lock(&shared).status().map_err(to_script_error)?)
    });
}

fn register_faults(engine: &mut Engine, fleet: &SharedFleet) {
    let shared = Arc::clone(fleet);
    engine.register_fn("kill", move |name: &str| -> ScriptResult<()> {
        lock(&shared).kill(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("freeze", move |name: &str| -> ScriptResult<()> {
        lock(&shared).freeze(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("wake", move |name: &str| -> ScriptResult<()> {
        lock(&shared).wake(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("stop", move |name: &str| -> ScriptResult<bool> {
        lock(&shared).stop(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("terminate", move |name: &str| -> ScriptResult<()> {
        lock(&shared).terminate(name).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("faults", move |name: &str, map: Map| -> ScriptResult<()> {
        let body: Value = parse_map(map)?;
        let _: Value = lock(&shared)
            .post(name, "/control/faults", &body)
            .map_err(to_script_error)?;
        Ok(())
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("restart_engine", move |name: &str| -> ScriptResult<()> {
        let _: Value = lock(&shared)
            .post(name, "/control/restart", &())
            .map_err(to_script_error)?;
        Ok(())
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("leave_engine", move |name: &str| -> ScriptResult<()> {
        let _: Value = lock(&shared)
            .post(name, "/control/leave", &())
            .map_err(to_script_error)?;
        Ok(())
    });
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "read",
        move |name: &str, path: &str| -> ScriptResult<Dynamic> {
            to_script_value(&lock(&shared).get(name, path).map_err(to_script_error)?)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn("usage", move |name: &str| -> ScriptResult<Dynamic> {
        to_script_value(&lock(&shared).usage(name).map_err(to_script_error)?)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "metric",
        move |name: &str, metric: &str| -> ScriptResult<f64> {
            let text = lock(&shared)
                .get_text(name, "/metrics")
                .map_err(to_script_error)?;
            Ok(sum_metric(&text, metric))
        },
    );
}

fn register_requests(engine: &mut Engine, fleet: &SharedFleet) {
    let shared = Arc::clone(fleet);
    engine.register_fn("complete", move |map: Map| -> ScriptResult<Dynamic> {
        let outcome = lock(&shared)
            .complete(&parse_map(map)?)
            .map_err(to_script_error)?;
        let right = outcome.is_right();
        let mut fields: Map = to_script_value(&outcome)?.cast();
        fields.insert("right".into(), right.into());
        Ok(Dynamic::from_map(fields))
    });
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "call_service",
        move |name: &str, max_attempts: i64| -> ScriptResult<Dynamic> {
            let max_attempts = u32::try_from(max_attempts).unwrap_or(1);
            let outcome = lock(&shared)
                .call_service(name, max_attempts)
                .map_err(to_script_error)?;
            let mut fields = Map::new();
            fields.insert("key".into(), outcome.key.into());
            fields.insert("answered".into(), outcome.answered.into());
            fields.insert("maybe_ran".into(), outcome.maybe_ran.into());
            Ok(Dynamic::from_map(fields))
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "start_calls",
        move |name: &str, count: i64, at_once: i64, max_attempts: i64| -> i64 {
            let max_attempts = u32::try_from(max_attempts).unwrap_or(1);
            let (count, at_once) = (count as usize, at_once as usize);
            lock(&shared).start_calls(name, count, at_once, max_attempts) as i64
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "finish_calls",
        move |handle: i64| -> ScriptResult<Dynamic> {
            let index = usize::try_from(handle).unwrap_or(usize::MAX);
            to_script_value(&lock(&shared).finish_calls(index))
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn("start_load", move |map: Map| -> ScriptResult<i64> {
        Ok(lock(&shared).start_load(&parse_map(map)?) as i64)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("finish_load", move |handle: i64| -> ScriptResult<Dynamic> {
        let index = usize::try_from(handle).unwrap_or(usize::MAX);
        to_script_value(&lock(&shared).finish_load(index))
    });
}

fn register_config(engine: &mut Engine, fleet: &SharedFleet) {
    let shared = Arc::clone(fleet);
    engine.register_fn("set_up", move |adapters: i64| -> ScriptResult<i64> {
        let adapters = usize::try_from(adapters).unwrap_or(0);
        lock(&shared).set_up(adapters).map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "add_adapters",
        move |from: i64, count: i64| -> ScriptResult<i64> {
            let (from, count) = (from as usize, count as usize);
            lock(&shared)
                .add_adapters(from, count)
                .map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "add_distant_engines",
        move |from: i64, count: i64| -> ScriptResult<i64> {
            let (from, count) = (from as usize, count as usize);
            lock(&shared)
                .add_distant_engines(from, count)
                .map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn("apply", move |text: &str| -> ScriptResult<i64> {
        lock(&shared)
            .apply(text, None, None)
            .map_err(to_script_error)
    });
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "apply_at",
        move |name: &str, change_id: &str, text: &str| -> ScriptResult<i64> {
            lock(&shared)
                .apply(text, Some(name), Some(change_id))
                .map_err(to_script_error)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn(
        "await_in_force",
        move |revision: i64, timeout_ms: i64| -> i64 {
            let timeout_ms = u64::try_from(timeout_ms).unwrap_or(0);
            let elapsed_ms = lock(&shared).await_in_force(revision, timeout_ms);
            elapsed_ms.map_or(-1, |ms| ms as i64)
        },
    );
    let shared = Arc::clone(fleet);
    engine.register_fn("lagging", move |revision: i64| -> ScriptResult<Dynamic> {
        to_script_value(&lock(&shared).lagging(revision).map_err(to_script_error)?)
    });
}

fn register_checks(engine: &mut Engine, fleet: &SharedFleet) {
    engine.register_fn("check", |holds: bool, promise: &str| -> ScriptResult<()> {
        if holds {
            return Ok(());
        }
        Err(format!("{BROKEN}{promise}").into())
    });
    engine.register_fn("sleep_ms", |ms: i64| {
        std::thread::sleep(Duration::from_millis(u64::try_from(ms).unwrap_or(0)));
    });
    let shared = Arc::clone(fleet);
    engine.register_fn("note", move |text: &str| lock(&shared).note(text));
    let shared = Arc::clone(fleet);
    engine.register_fn("now_ms", move || -> i64 { lock(&shared).now_ms() as i64 });
    let shared = Arc::clone(fleet);
    engine.register_fn("random", move |limit: i64| -> i64 {
        let limit = u64::try_from(limit).unwrap_or(1);
        lock(&shared).random(limit) as i64
    });
}
