//! Workload files.

use serde::Deserialize;
use tinbay_core::loads::Allowance;
use tinbay_core::policy::{Policy, PolicyError};
use tinbay_core::units::Millis;

/// Why a workload cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// The file is malformed.
    #[error("{0}")]
    Parse(#[from] toml::de::Error),
    /// The policy does not compile.
    #[error("policy: {0}")]
    Policy(#[from] PolicyError),
    /// A value is out of range.
    #[error("{field} must be {allowed}")]
    Range {
        /// The field.
        field: &'static str,
        /// What it may be.
        allowed: &'static str,
    },
}

/// A workload as its file has it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// How long it runs, in virtual time.
    pub length_s: u64,
    /// Seeds for development.
    pub seeds: Vec<u64>,
    /// Seeds kept aside for judging.
    pub judging_seeds: Vec<u64>,
    /// The engines.
    pub engines: EnginePark,
    /// The weight store.
    pub weight_store: WeightStorePlan,
    /// The adapters.
    pub adapters: AdapterPlan,
    /// The traffic, a stream of requests each.
    pub traffic: Vec<Traffic>,
    /// What disturbs it.
    #[serde(default)]
    pub disturbance: Vec<Disturbance>,
}

/// The engines of a workload, all alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePark {
    /// How many.
    pub count: usize,
    /// Base models, engines dealt out to them in turn.
    pub base_models: usize,
    /// Adapters each holds at once.
    pub slots: u32,
    /// Requests each batches at once.
    pub batch_limit: u32,
    /// Time before the first token.
    pub prefill_ms: f64,
    /// Time between tokens of a request that runs alone.
    pub token_ms: f64,
    /// Share by which each further request in the batch slows the others' tokens.
    pub crowding: f64,
}

/// The weight store of a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStorePlan {
    /// Loads that may begin in a second.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub at_once: u32,
    /// Time of a load at full speed.
    pub load_ms: Millis,
}

/// The adapters of a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterPlan {
    /// How many, dealt out to the base models in turn.
    pub count: usize,
    /// Zipf exponent of their popularity.
    pub skew: f64,
    /// Organisations that own them, in turn.
    pub organisations: usize,
}

/// One stream of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Name of the class.
    pub class: String,
    /// 0 goes first.
    pub rank: u8,
    /// Counter or desk traffic.
    #[serde(default)]
    pub urgent: bool,
    /// How long a request may wait before it starts.
    pub max_wait_ms: Millis,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Length of the prompt.
    pub prompt_bytes: usize,
    /// Tokens of an answer.
    pub tokens: u32,
}

/// Something that disturbs a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Disturbance {
    /// A class comes at a multiple of its rate.
    Flood {
        /// When it begins.
        at_s: u64,
        /// How long it lasts.
        for_s: u64,
        /// The class.
        class: String,
        /// The multiple.
        factor: f64,
    },
    /// The popularity moves: yesterday's cold adapters are asked for.
    Shift {
        /// When.
        at_s: u64,
    },
    /// An engine restarts empty.
    Restart {
        /// When.
        at_s: u64,
        /// Its number.
        engine: usize,
    },
}

impl Workload {
    /// Reads a workload file's text.
    ///
    /// # Errors
    /// [`WorkloadError`].
    pub fn parse(text: &str) -> Result<Self, WorkloadError> {
        let workload: Self = toml::from_str(text)?;
        workload.check()?;
        Ok(workload)
    }

    /// Compiles the policy that goes with a workload.
    ///
    /// # Errors
    /// [`WorkloadError::Policy`].
    pub fn compile_policy(text: &str) -> Result<Policy, WorkloadError> {
        Ok(Policy::compile(text)?)
    }

    /// What the weight store allows.
    pub fn allowance(&self) -> Allowance {
        Allowance {
            loads_per_s: self.weight_store.loads_per_s,
            at_once: self.weight_store.at_once,
        }
    }

    /// How long it runs.
    pub fn length_ms(&self) -> Millis {
        self.length_s * 1_000
    }

    fn check(&self) -> Result<(), WorkloadError> {
        let range = |holds: bool, field, allowed| match holds {
            true => Ok(()),
            false => Err(WorkloadError::Range { field, allowed }),
        };
        let park = &self.engines;
        range(park.count > 0, "engines.count", "at least 1")?;
        range(
            (1..=park.count).contains(&park.base_models),
            "engines.base_models",
            "1 to the number of engines",
        )?;
        range(park.slots > 0, "engines.slots", "at least 1")?;
        range(park.batch_limit > 0, "engines.batch_limit", "at least 1")?;
        range(self.adapters.count > 0, "adapters.count", "at least 1")?;
        range(
            self.adapters.organisations > 0,
            "adapters.organisations",
            "at least 1",
        )?;
        range(
            self.weight_store.loads_per_s > 0.0,
            "weight_store.loads_per_s",
            "above 0",
        )?;
        range(
            self.weight_store.at_once > 0,
            "weight_store.at_once",
            "at least 1",
        )?;
        let restarts_known = self
            .disturbance
            .iter()
            .all(|disturbance| match disturbance {
                Disturbance::Restart { engine, .. } => *engine < park.count,
                _ => true,
            });
        range(
            restarts_known,
            "disturbance.engine",
            "below the number of engines",
        )
    }
}
