//! What a run shows.

use std::collections::VecDeque;

use serde::Serialize;
use tinbay_core::limits::terms::Limit;

use super::{OVERSHOOT, SLACK, WINDOW_MS};

/// One second of the hot account, in units.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Second {
    /// What it asked for.
    pub asked: f64,
    /// What it got.
    pub admitted: f64,
}

/// What a run shows.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LimitMeasures {
    /// Requests.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Those refused though their account had asked for less than its limit in the window.
    pub refused_below: u64,
    /// Most that any account got in a window, against its limit there without what is allowed.
    pub most_of_limit: f64,
    /// Accounts that got more in a window than is allowed.
    pub accounts_over: usize,
    /// Messages a second and box.
    pub messages_per_s: f64,
    /// Bytes a second and box, sent and taken.
    pub bytes_per_s: f64,
    /// Bytes a second of the busiest box.
    pub busiest_bytes_per_s: f64,
    /// Accounts of which a box keeps something, in the mean.
    pub accounts_a_box: f64,
    /// Limit of the hot account, in units a second.
    pub hot_limit_per_s: f64,
    /// The hot account, second by second.
    pub hot: Vec<Second>,
}

/// Units in the window that ends now.
#[derive(Debug, Default)]
pub struct Window {
    units: VecDeque<(u64, f64)>,
    sum: f64,
    most: f64,
}

impl Window {
    /// Adds units.
    pub fn add(&mut self, units: f64, now_ms: u64) {
        self.leave(now_ms);
        self.units.push_back((now_ms, units));
        self.sum += units;
        self.most = self.most.max(self.sum);
    }

    /// Units in the window now.
    pub fn sum(&mut self, now_ms: u64) -> f64 {
        self.leave(now_ms);
        self.sum
    }

    /// Most units of any window.
    pub fn most(&self) -> f64 {
        self.most
    }

    fn leave(&mut self, now_ms: u64) {
        while let Some((at_ms, units)) = self.units.front().copied() {
            if at_ms + WINDOW_MS > now_ms {
                break;
            }
            self.sum -= units;
            self.units.pop_front();
        }
    }
}

/// What a limit gives in a window.
pub fn in_window(limit: Limit) -> f64 {
    limit.per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst
}

/// What an account may get in a window at most.
pub fn allowed(limit: Limit) -> f64 {
    in_window(limit) * (1.0 + OVERSHOOT) + SLACK
}
