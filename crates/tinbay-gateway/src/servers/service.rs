//! What the servers of one service have in common, as this box sees it.

use std::cell::RefCell;
use std::rc::Rc;

use tinbay_core::pace::answer_times::AnswerTimes;

use crate::http::reuse::ReuseLedger;

/// What the servers of one service have in common.
#[derive(Debug)]
pub struct ServiceSight {
    /// What their kept connections are trusted with.
    pub reuse: Rc<ReuseLedger>,
    /// How long answers take.
    pub times: RefCell<AnswerTimes>,
}

impl ServiceSight {
    /// Nothing was seen yet.
    pub fn new(reuse: ReuseLedger) -> Self {
        Self {
            reuse: Rc::new(reuse),
            times: RefCell::default(),
        }
    }
}
