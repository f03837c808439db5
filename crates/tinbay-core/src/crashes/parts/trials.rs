//! Requests with refused parts that reach a server to show whether the parts crash it.

use std::collections::HashMap;

use super::evidence::PartSet;
use crate::units::Millis;

/// Time after which another request may be tried if the last one had neither an answer nor a crash.
pub const TRIAL_INTERVAL_MS: Millis = 10_000;

#[derive(Debug)]
struct Trial {
    request: String,
    began_ms: Millis,
}

/// The last trial of each refused set.
#[derive(Debug, Default)]
pub struct Trials {
    trials: HashMap<PartSet, Trial>,
}

impl Trials {
    /// Whether a request with a set is its trial, or becomes the next one. There is none after a
    /// server has crashed since the last one began.
    pub fn allow(
        &mut self,
        set: &PartSet,
        request: &str,
        last_crash_ms: Millis,
        now_ms: Millis,
    ) -> bool {
        if let Some(last) = self.trials.get(set) {
            if last_crash_ms >= last.began_ms {
                return false;
            }
            if now_ms < last.began_ms + TRIAL_INTERVAL_MS {
                return last.request == request;
            }
        }
        let trial = Trial {
            request: request.to_string(),
            began_ms: now_ms,
        };
        self.trials.insert(set.clone(), trial);
        true
    }

    /// Keeps the trials of some sets.
    pub fn retain(&mut self, is_kept: impl Fn(&PartSet) -> bool) {
        self.trials.retain(|set, _| is_kept(set));
    }
}
