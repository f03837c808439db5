//! Workload files.

use serde::Deserialize;
use tinbay_core::loads::Allowance;
use tinbay_core::policy::{Policy, PolicyError};
use tinbay_core::units::Millis;

/// Why a workload can't be run.
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
        /// Path of the field.
        field: &'static str,
        /// Allowed values.
        allowed: &'static str,
    },
}

/// Contents of a workload file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// Duration in virtual time.
    pub length_s: u64,
    /// Seeds for development.
    pub seeds: Vec<u64>,
    /// Seeds reserved for the final evaluation.
    pub judging_seeds: Vec<u64>,
    /// The engines.
    pub engines: EngineConfig,
    /// The weight store.
    pub weight_store: WeightStoreConfig,
    /// The adapters.
    pub adapters: AdapterConfig,
    /// The streams of requests.
    pub traffic: Vec<Traffic>,
    /// Disturbances during the run.
    #[serde(default)]
    pub disturbance: Vec<Disturbance>,
}

/// The engines of a workload, all of the same kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Number of engines.
    pub count: usize,
    /// Number of base models, assigned to the engines in turn.
    pub base_models: usize,
    /// Number of adapters that an engine can hold at once.
    pub slots: u32,
    /// Number of requests that an engine runs in one batch.
    pub batch_limit: u32,
    /// Time before the first token.
    pub prefill_ms: f64,
    /// Time per token of a request that runs alone.
    pub token_ms: f64,
    /// Fraction by which each further request in the batch increases the time per token.
    pub crowding: f64,
}

/// The weight store of a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads at which each runs at full speed.
    pub at_once: u32,
    /// Duration of a load at full speed.
    pub load_ms: Millis,
}

/// The adapters of a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterConfig {
    /// Number of adapters, assigned to the base models in turn.
    pub count: usize,
    /// Zipf exponent of their popularity.
    pub skew: f64,
    /// Number of organisations, to which the adapters are assigned in turn.
    pub organisations: usize,
}

/// One stream of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Name of the priority class.
    pub class: String,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Whether a person waits for the answer, as opposed to batch work.
    #[serde(default)]
    pub urgent: bool,
    /// Maximum wait before a request starts.
    pub max_wait_ms: Millis,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Length of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Number of tokens of an answer.
    pub tokens: u32,
}

/// A disturbance of a workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Disturbance {
    /// The rate of a class is multiplied.
    Flood {
        /// Start time.
        at_s: u64,
        /// Duration.
        for_s: u64,
        /// Name of the class.
        class: String,
        /// Factor of the rate.
        factor: f64,
    },
    /// The popularity moves to adapters that were rarely requested before.
    Shift {
        /// Time of the change.
        at_s: u64,
    },
    /// An engine restarts without adapters and requests.
    Restart {
        /// Time of the restart.
        at_s: u64,
        /// Index of the engine.
        engine: usize,
    },
}

impl Workload {
    /// Parses the text of a workload file.
    ///
    /// # Errors
    /// Returns [`WorkloadError`] if the text is malformed or a value out of range.
    pub fn parse(text: &str) -> Result<Self, WorkloadError> {
        let workload: Self = toml::from_str(text)?;
        workload.check()?;
        Ok(workload)
    }

    /// Compiles the policy that goes with a workload.
    ///
    /// # Errors
    /// Returns [`WorkloadError::Policy`].
    pub fn compile_policy(text: &str) -> Result<Policy, WorkloadError> {
        Ok(Policy::compile(text)?)
    }

    /// The load allowance of the weight store.
    pub fn allowance(&self) -> Allowance {
        Allowance {
            loads_per_s: self.weight_store.loads_per_s,
            at_once: self.weight_store.at_once,
        }
    }

    /// Duration in virtual time.
    pub fn length_ms(&self) -> Millis {
        self.length_s * 1_000
    }

    fn check(&self) -> Result<(), WorkloadError> {
        let require = |valid: bool, field, allowed| match valid {
            true => Ok(()),
            false => Err(WorkloadError::Range { field, allowed }),
        };
        let engines = &self.engines;
        require(engines.count > 0, "engines.count", "at least 1")?;
        require(
            (1..=engines.count).contains(&engines.base_models),
            "engines.base_models",
            "1 to the number of engines",
        )?;
        require(engines.slots > 0, "engines.slots", "at least 1")?;
        require(engines.batch_limit > 0, "engines.batch_limit", "at least 1")?;
        require(self.adapters.count > 0, "adapters.count", "at least 1")?;
        require(
            self.adapters.organisations > 0,
            "adapters.organisations",
            "at least 1",
        )?;
        require(
            self.weight_store.loads_per_s > 0.0,
            "weight_store.loads_per_s",
            "above 0",
        )?;
        require(
            self.weight_store.at_once > 0,
            "weight_store.at_once",
            "at least 1",
        )?;
        let restarts_known = self
            .disturbance
            .iter()
            .all(|disturbance| match disturbance {
                Disturbance::Restart { engine, .. } => *engine < engines.count,
                _ => true,
            });
        require(
            restarts_known,
            "disturbance.engine",
            "below the number of engines",
        )
    }
}
