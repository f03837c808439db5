//! Repeatable experiments on the decision core, simulated in virtual time.
//!
//! A workload file describes engines, weight store, adapters, traffic and disturbances. The core
//! decides, called through the same interfaces as in a box; fakes of the engines and of the
//! weight store respond. Network, boxes and membership are not modelled. The same seed gives the
//! same figures.

mod arrivals;
mod bound;
pub mod brittle;
pub mod crashes;
mod engines;
pub mod limits;
mod measures;
mod run;
mod strategy;
mod weights;
mod workload;

pub use bound::{Bound, compute_bound};
pub use measures::{ClassMeasures, Measures, Quantiles, mean_and_margin};
pub use run::run;
pub use strategy::StrategyKind;
pub use workload::{Workload, WorkloadError};
