//! Statistics that this box shares among the servers of one service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tinbay_core::pace::answer_times::ResponseTimes;
use tinbay_core::serving::brittleness::Brittleness;

use crate::http::reuse::ReuseLedger;

/// Statistics shared by the servers of one service.
#[derive(Debug)]
pub struct ServiceStats {
    /// How long idle connections can be reused safely.
    pub reuse: Rc<ReuseLedger>,
    /// Distribution of answer times.
    pub times: RefCell<ResponseTimes>,
    /// Requests per second that a server takes while it is slow after its start; `None` if that is
    /// not bounded.
    pub slow_start_per_s: Cell<Option<f64>>,
    /// Whether its servers are brittle.
    pub brittleness: Cell<Brittleness>,
}

impl ServiceStats {
    /// Creates statistics without samples.
    pub fn new(reuse: ReuseLedger) -> Self {
        Self {
            reuse: Rc::new(reuse),
            times: RefCell::default(),
            slow_start_per_s: Cell::default(),
            brittleness: Cell::default(),
        }
    }
}
