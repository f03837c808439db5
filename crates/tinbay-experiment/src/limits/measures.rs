//! Results of a simulation, and what limits allow.

use std::collections::VecDeque;

use serde::Serialize;
use tinbay_core::limits::terms::Limit;

use super::{OVERSHOOT_FRACTION, OVERSHOOT_UNITS, WINDOW_MS};

/// Units of the hot account in one second.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Second {
    /// Units requested.
    pub asked: f64,
    /// Units admitted.
    pub admitted: f64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LimitMeasures {
    /// Number of requests.
    pub requests: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Requests refused although their account had requested no more than its limit in the window.
    pub refused_below: u64,
    /// Highest ratio, over all accounts, of the units admitted in a window to those of the limit.
    pub most_of_limit: f64,
    /// Number of accounts that exceeded their limit by more than the allowed overshoot.
    pub accounts_over: usize,
    /// Messages per second and box, sent and received.
    pub messages_per_s: f64,
    /// Bytes per second and box, sent and received.
    pub bytes_per_s: f64,
    /// Bytes per second of the busiest box.
    pub busiest_bytes_per_s: f64,
    /// Mean number of accounts for which a box holds the state of a share at the end.
    pub accounts_a_box: f64,
    /// Limit of the hot account, in units per second.
    pub hot_limit_per_s: f64,
    /// Units of the hot account in each second.
    pub hot: Vec<Second>,
}

/// Units in a sliding window.
#[derive(Debug, Default)]
pub struct Window {
    units: VecDeque<(u64, f64)>,
    sum: f64,
    most: f64,
}

impl Window {
    /// Adds units.
    pub fn add(&mut self, units: f64, now_ms: u64) {
        self.expire(now_ms);
        self.units.push_back((now_ms, units));
        self.sum += units;
        self.most = self.most.max(self.sum);
    }

    /// Units in the window that ends now.
    pub fn sum(&mut self, now_ms: u64) -> f64 {
        self.expire(now_ms);
        self.sum
    }

    /// Maximum units of any window so far.
    pub fn most(&self) -> f64 {
        self.most
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((at_ms, units)) = self.units.front().copied() {
            if at_ms + WINDOW_MS > now_ms {
                break;
            }
            self.sum -= units;
            self.units.pop_front();
        }
    }
}

/// Units that a limit gives in one window.
pub fn units_per_window(limit: Limit) -> f64 {
    limit.per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst
}

/// Maximum units of an account in one window, including the allowed overshoot.
pub fn max_units_per_window(limit: Limit) -> f64 {
    units_per_window(limit) * (1.0 + OVERSHOOT_FRACTION) + OVERSHOOT_UNITS
}
