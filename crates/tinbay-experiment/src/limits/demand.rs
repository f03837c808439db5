//! Generates the requests: account, box and units of each.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};
use tinbay_core::limits::terms::Limit;

use super::{LIMIT_TO_USUAL_LOAD, MIN_LIMIT_PER_S, SimulationParameters};

/// Zipf exponent of the accounts' load: a few accounts are large.
const SKEW: f64 = 1.0;

/// Units of a short request.
const SHORT_UNITS: f64 = 661.0;

/// Units of a long request.
const LONG_UNITS: f64 = 9_240.0;

/// Fraction of long requests.
const LONG_FRACTION: f64 = 0.03;

/// Index of the account that turns hot, in order of load: the second largest.
pub const HOT_ACCOUNT: usize = 1;

/// A request of an account at a box.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Index of the account.
    pub account: usize,
    /// Index of the box that receives it.
    pub box_index: usize,
    /// Units that it needs.
    pub units: f64,
}

/// Generator of requests.
pub struct Demand {
    random: SmallRng,
    ranks: Zipf<f64>,
    boxes: usize,
    usual_per_ms: f64,
    hot_per_ms: f64,
    accrued: f64,
    accrued_hot: f64,
}

/// Mean number of units of a request.
fn mean_units() -> f64 {
    LONG_FRACTION * LONG_UNITS + (1.0 - LONG_FRACTION) * SHORT_UNITS
}

/// Fraction of all requests that each account sends, the largest first.
fn load_fractions(accounts: usize) -> Vec<f64> {
    let zipf_weight = |rank: usize| 1.0 / (rank as f64).powf(SKEW);
    let all: f64 = (1..=accounts).map(zipf_weight).sum();
    (1..=accounts).map(|rank| zipf_weight(rank) / all).collect()
}

/// Computes the limits of all accounts.
pub fn limits(terms: &SimulationParameters) -> Vec<Limit> {
    let to_limit = |fraction: f64| {
        let usual_per_s = fraction * terms.requests_per_s * mean_units();
        let per_s = (LIMIT_TO_USUAL_LOAD * usual_per_s).max(MIN_LIMIT_PER_S);
        Limit {
            per_s,
            burst: per_s,
        }
    };
    load_fractions(terms.accounts)
        .into_iter()
        .map(to_limit)
        .collect()
}

impl Demand {
    /// Creates the generator for a run.
    ///
    /// # Errors
    /// Returns an error if there are no accounts.
    pub fn new(terms: &SimulationParameters) -> Result<Self, rand_distr::ZipfError> {
        let hot_fraction = load_fractions(terms.accounts)[HOT_ACCOUNT.min(terms.accounts - 1)];
        let usual_per_ms = terms.requests_per_s / 1_000.0;
        Ok(Self {
            random: SmallRng::seed_from_u64(terms.seed),
            ranks: Zipf::new(terms.accounts as f64, SKEW)?,
            boxes: terms.boxes,
            usual_per_ms,
            hot_per_ms: usual_per_ms * hot_fraction * (terms.hot - 1.0).max(0.0),
            accrued: 0.0,
            accrued_hot: 0.0,
        })
    }

    /// Generates the requests of one millisecond.
    pub fn next_ms(&mut self, is_hot: bool) -> Vec<Request> {
        self.accrued += self.usual_per_ms;
        let mut requests = Vec::new();
        while self.accrued >= 1.0 {
            self.accrued -= 1.0;
            let rank = self.ranks.sample(&mut self.random);
            requests.push(self.request(rank as usize - 1));
        }
        if is_hot {
            self.accrued_hot += self.hot_per_ms;
        }
        while self.accrued_hot >= 1.0 {
            self.accrued_hot -= 1.0;
            requests.push(self.request(HOT_ACCOUNT));
        }
        requests
    }

    fn request(&mut self, account: usize) -> Request {
        let is_long = self.random.random_bool(LONG_FRACTION);
        Request {
            account,
            box_index: self.random.random_range(0..self.boxes),
            units: if is_long { LONG_UNITS } else { SHORT_UNITS },
        }
    }

    /// Draws whether a box is among the fraction that is killed.
    pub fn draw(&mut self, fraction: f64) -> bool {
        self.random.random_bool(fraction.clamp(0.0, 1.0))
    }
}
