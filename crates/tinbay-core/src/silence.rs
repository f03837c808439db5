//! For how long runs of boxes have been silent.

use std::collections::HashMap;

use crate::ids::{BoxId, Incarnation};
use crate::units::Millis;
use crate::view::BoxRun;

#[derive(Debug)]
struct Heard {
    incarnation: Incarnation,
    at_ms: Millis,
}

/// When the latest run of each box was last heard.
///
/// A run that has not been heard is silent from the first question about it on: a box that has started
/// again does not answer for the silence of its former run.
#[derive(Debug, Default)]
pub struct Silences {
    heard: HashMap<BoxId, Heard>,
}

impl Silences {
    /// Notes that a run of a box was heard.
    pub fn note_heard(&mut self, run: &BoxRun, now_ms: Millis) {
        let heard = Heard {
            incarnation: run.incarnation,
            at_ms: now_ms,
        };
        self.heard.insert(run.id.clone(), heard);
    }

    /// How long a run has been silent.
    pub fn silent_ms(&mut self, run: &BoxRun, now_ms: Millis) -> Millis {
        let known = self.heard.get(&run.id);
        match known.filter(|heard| heard.incarnation == run.incarnation) {
            Some(heard) => now_ms.saturating_sub(heard.at_ms),
            None => {
                self.note_heard(run, now_ms);
                0
            }
        }
    }

    /// Forgets a box.
    pub fn forget(&mut self, id: &BoxId) {
        self.heard.remove(id);
    }

    /// Forgets boxes that have not been heard since a time.
    pub fn forget_before(&mut self, oldest_ms: Millis) {
        self.heard.retain(|_, heard| heard.at_ms >= oldest_ms);
    }
}
