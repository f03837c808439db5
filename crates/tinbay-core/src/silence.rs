//! Tracks how long boxes have been silent.

use std::collections::HashMap;

use crate::ids::{BoxId, Incarnation};
use crate::units::Millis;
use crate::view::BoxRun;

#[derive(Debug)]
struct Heard {
    incarnation: Incarnation,
    at_ms: Millis,
}

/// When the latest run of each box was last heard from.
///
/// The silence of a run that was never heard from starts with the first query about it, so that a
/// restarted box is not blamed for the silence of its earlier run.
#[derive(Debug, Default)]
pub struct Silences {
    heard: HashMap<BoxId, Heard>,
}

impl Silences {
    /// Records a message from a run of a box.
    pub fn note_heard(&mut self, run: &BoxRun, now_ms: Millis) {
        let heard = Heard {
            incarnation: run.incarnation,
            at_ms: now_ms,
        };
        self.heard.insert(run.id.clone(), heard);
    }

    /// Time since a run was last heard from. For a run that is not known yet, records the current
    /// time and returns 0.
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

    /// Removes a box.
    pub fn forget(&mut self, id: &BoxId) {
        self.heard.remove(id);
    }

    /// Removes boxes that were last heard from before `oldest_ms`.
    pub fn forget_before(&mut self, oldest_ms: Millis) {
        self.heard.retain(|_, heard| heard.at_ms >= oldest_ms);
    }
}
