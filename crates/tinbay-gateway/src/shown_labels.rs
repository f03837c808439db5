//! Bounds the number of label values of metrics whose values come from outside.

use std::cell::RefCell;
use std::collections::HashSet;

/// Values of one label. Only the first ones are shown; all others share one value, which bounds the
/// number of time series.
#[derive(Debug)]
pub struct ShownLabels {
    max_shown: usize,
    others: &'static str,
    shown: RefCell<HashSet<String>>,
}

impl ShownLabels {
    /// Shows the first `max_shown` distinct values and replaces all others by `others`.
    pub fn new(max_shown: usize, others: &'static str) -> Self {
        Self {
            max_shown,
            others,
            shown: RefCell::default(),
        }
    }

    /// The label value to show for `value`.
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        let mut shown = self.shown.borrow_mut();
        if shown.contains(value) {
            return value;
        }
        if shown.len() >= self.max_shown {
            return self.others;
        }
        shown.insert(value.to_string());
        value
    }
}
