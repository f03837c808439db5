//! Tells new requests from those whose callers come back: these have less time left.

use std::collections::HashMap;

use crate::units::Millis;

/// Part of the longest deadline seen on a route that a new request has at least.
const NEW_PART: f64 = 0.9;

/// Routes remembered; all are forgotten beyond that, as names of routes come and go.
const MOST_ROUTES: usize = 2_000;

/// The longest deadlines seen, by route.
#[derive(Debug, Default)]
pub struct Callers {
    longest_ms: HashMap<String, Millis>,
}

impl Callers {
    /// Whether a request with this deadline is its caller's first try.
    pub fn is_new(&mut self, route: &str, deadline_ms: Millis) -> bool {
        if self.longest_ms.len() > MOST_ROUTES {
            self.longest_ms.clear();
        }
        let Some(longest_ms) = self.longest_ms.get_mut(route) else {
            self.longest_ms.insert(route.to_string(), deadline_ms);
            return true;
        };
        *longest_ms = deadline_ms.max(*longest_ms);
        deadline_ms as f64 >= *longest_ms as f64 * NEW_PART
    }
}
