//! Repeatable experiments on the decision core.
//!
//! A workload file gives engines, weight store, adapters, traffic and disturbances. The
//! core decides, through the same borders as in a box; small fakes of engines and weight
//! store answer on virtual time. No network, boxes or membership are modelled. The same
//! seed gives the same figures.

mod arrivals;
mod bound;
mod engines;
pub mod limits;
mod measures;
mod run;
mod strategy;
mod weights;
mod workload;

pub use bound::{Bound, work_out};
pub use measures::{ClassMeasures, Measures, Quantiles, mean_and_spread};
pub use run::run;
pub use strategy::StrategyKind;
pub use workload::{Workload, WorkloadError};
