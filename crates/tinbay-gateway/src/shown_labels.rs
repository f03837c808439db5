//! Labels of measures whose values come from outside: only some are shown one by one.

use std::cell::RefCell;
use std::collections::HashSet;

/// Values of one label; those beyond the first ones are shown together, so that a measure stays small.
#[derive(Debug)]
pub struct ShownLabels {
    most_shown: usize,
    others: &'static str,
    shown: RefCell<HashSet<String>>,
}

impl ShownLabels {
    /// Shows `most_shown` values and calls all further ones `others`.
    pub fn new(most_shown: usize, others: &'static str) -> Self {
        Self {
            most_shown,
            others,
            shown: RefCell::default(),
        }
    }

    /// The label of `value`.
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        let mut shown = self.shown.borrow_mut();
        if shown.contains(value) {
            return value;
        }
        if shown.len() >= self.most_shown {
            return self.others;
        }
        shown.insert(value.to_string());
        value
    }
}
