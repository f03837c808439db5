//! Compiles and runs one policy program.

use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, ParseError, Scope};

use super::{PolicyError, PolicyRequest, PolicySettings, Treatment};
use crate::units::Millis;

/// Maximum number of operations per call; a page of rules takes a few hundred.
const MAX_OPERATIONS: u64 = 20_000;

/// Maximum call depth.
const MAX_CALL_LEVELS: usize = 16;

/// Maximum size of strings, arrays and maps.
const MAX_SIZE: usize = 4_096;

/// Name of the required function.
const CLASSIFY: &str = "classify";

/// Name of the optional function for scheduler settings.
const SETTINGS: &str = "settings";

/// A compiled policy.
pub struct Policy {
    engine: Engine,
    program: AST,
    settings: PolicySettings,
}

impl std::fmt::Debug for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Policy")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Policy {
    /// Compiles a program and runs it on sample requests.
    ///
    /// # Errors
    /// [`PolicyError`] with line and column where known.
    pub fn compile(source: &str) -> Result<Self, PolicyError> {
        let engine = limited_engine();
        let program = engine.compile(source).map_err(|e| syntax_error(&e))?;
        let has_classify = program
            .iter_functions()
            .any(|f| f.name == CLASSIFY && f.params.len() == 1);
        if !has_classify {
            return Err(PolicyError::NoClassify);
        }
        let mut policy = Self {
            engine,
            program,
            settings: PolicySettings::default(),
        };
        policy.settings = policy.read_settings()?;
        for sample in samples() {
            policy.classify(&sample)?;
        }
        Ok(policy)
    }

    /// Runs `classify` on a request.
    ///
    /// # Errors
    /// [`PolicyError::Run`] or [`PolicyError::Value`]; the caller then applies the class alone.
    pub fn classify(&self, request: &PolicyRequest<'_>) -> Result<Treatment, PolicyError> {
        let argument = Dynamic::from_map(request_map(request));
        let answer: Map = self
            .engine
            .call_fn(&mut Scope::new(), &self.program, CLASSIFY, (argument,))
            .map_err(|e| run_error(&e))?;
        merge(request.base, &answer)
    }

    /// The scheduler settings returned by the program, or the defaults.
    pub fn settings(&self) -> PolicySettings {
        self.settings
    }

    fn read_settings(&self) -> Result<PolicySettings, PolicyError> {
        let defined = self
            .program
            .iter_functions()
            .any(|f| f.name == SETTINGS && f.params.is_empty());
        if !defined {
            return Ok(PolicySettings::default());
        }
        let answer: Map = self
            .engine
            .call_fn(&mut Scope::new(), &self.program, SETTINGS, ())
            .map_err(|e| run_error(&e))?;
        let Some(weight) = answer.get("stall_weight") else {
            return Ok(PolicySettings::default());
        };
        let stall_weight = weight.as_float().unwrap_or(f64::NAN);
        if !(0.0..=1.0).contains(&stall_weight) {
            return Err(PolicyError::Value {
                field: "stall_weight",
                allowed: "a float from 0.0 to 1.0",
            });
        }
        Ok(PolicySettings { stall_weight })
    }
}

fn limited_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_string_size(MAX_SIZE);
    engine.set_max_array_size(MAX_SIZE);
    engine.set_max_map_size(MAX_SIZE);
    engine.disable_symbol("eval");
    engine.disable_symbol("import");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

fn request_map(request: &PolicyRequest<'_>) -> Map {
    let mut map = Map::new();
    map.insert("class".into(), request.class.into());
    map.insert("organisation".into(), request.organisation.into());
    map.insert("adapter".into(), request.adapter.into());
    map.insert("prompt_bytes".into(), (request.prompt_bytes as i64).into());
    map.insert("max_tokens".into(), i64::from(request.max_tokens).into());
    map.insert("rank".into(), i64::from(request.base.rank).into());
    map.insert("urgent".into(), request.base.urgent.into());
    map.insert(
        "max_wait_ms".into(),
        (request.base.max_wait_ms as i64).into(),
    );
    map.insert("repeatable".into(), request.base.repeatable.into());
    map
}

fn merge(base: Treatment, answer: &Map) -> Result<Treatment, PolicyError> {
    let mut treatment = base;
    if let Some(rank) = answer.get("rank") {
        let rank = rank.as_int().ok().and_then(|r| u8::try_from(r).ok());
        treatment.rank = rank.ok_or(PolicyError::Value {
            field: "rank",
            allowed: "a whole number from 0 to 255",
        })?;
    }
    if let Some(wait) = answer.get("max_wait_ms") {
        let wait = wait.as_int().ok().and_then(|w| Millis::try_from(w).ok());
        treatment.max_wait_ms = wait.filter(|w| *w > 0).ok_or(PolicyError::Value {
            field: "max_wait_ms",
            allowed: "a whole number above 0",
        })?;
    }
    if let Some(repeatable) = answer.get("repeatable") {
        let repeatable = repeatable.as_bool().map_err(|_| PolicyError::Value {
            field: "repeatable",
            allowed: "true or false",
        })?;
        treatment.repeatable = base.repeatable && repeatable;
    }
    Ok(treatment)
}

fn samples() -> [PolicyRequest<'static>; 4] {
    let sample = |class, urgent: bool, repeatable, prompt_bytes, max_tokens| PolicyRequest {
        class,
        organisation: "sample-organisation",
        adapter: "sample-adapter",
        prompt_bytes,
        max_tokens,
        base: Treatment {
            rank: u8::from(!urgent),
            urgent,
            max_wait_ms: 2_000,
            repeatable,
        },
    };
    [
        sample("counter", true, true, 200, 64),
        sample("desk", true, false, 2_000, 256),
        sample("batch", false, true, 0, 0),
        sample("memo", false, true, 1_000_000, 8_192),
    ]
}

fn syntax_error(error: &ParseError) -> PolicyError {
    let position = error.position();
    PolicyError::Syntax {
        line: position.line().unwrap_or(0),
        column: position.position().unwrap_or(0),
        reason: error.err_type().to_string(),
    }
}

fn run_error(error: &EvalAltResult) -> PolicyError {
    let position = error.position();
    PolicyError::Run {
        line: position.line().unwrap_or(0),
        column: position.position().unwrap_or(0),
        reason: error.to_string(),
    }
}
