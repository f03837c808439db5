//! Prefill rate and backlog of model engines.
//!
//! An engine prefills prompts in chunks, interleaved with the decoding of running requests. The
//! prompts sent to it lately therefore tell how long a new request waits for its first token, long
//! before all slots of the engine are taken.

use crate::units::Millis;

/// Prefill rate assumed until one is measured.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Range to which measured rates are clamped.
const PLAUSIBLE_TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 2.0..=400.0;

/// Number of prompt tokens over which the rate is averaged; some hundred requests.
const AVERAGED_TOKENS: f64 = 300_000.0;

/// Shortest prompt from which the rate is measured: shorter ones take only a step or two.
const MIN_SAMPLE_TOKENS: u32 = 500;

/// Largest backlog before a request from which the rate is measured.
const MAX_SAMPLE_BACKLOG_MS: f64 = 20.0;

/// Rate at which the engines of a service prefill prompts, including parts that they have cached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens: f64,
    time_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        let tokens = AVERAGED_TOKENS / 10.0;
        Self {
            tokens,
            time_ms: tokens / INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Prompt tokens prefilled per millisecond, clamped to the plausible range.
    pub fn tokens_per_ms(&self) -> f64 {
        let (slowest, fastest) = PLAUSIBLE_TOKENS_PER_MS.into_inner();
        (self.tokens / self.time_ms).clamp(slowest, fastest)
    }

    /// Time to prefill this many tokens.
    pub fn time_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms()
    }

    /// Records the time to first token of a request that was sent to an engine with this backlog.
    ///
    /// The backlog is estimated from the rate: with a rate that is too low no engine would ever
    /// appear idle and the rate would never be corrected, so an answer that is faster than
    /// estimated always counts.
    pub fn record_answer(&mut self, tokens: u32, backlog_ms: f64, took_ms: f64) {
        let was_idle = backlog_ms <= MAX_SAMPLE_BACKLOG_MS;
        let is_faster = took_ms < self.time_ms(tokens);
        if tokens >= MIN_SAMPLE_TOKENS && (was_idle || is_faster) {
            self.record(tokens, took_ms);
        }
    }

    /// Records the time to first token, counted from the end of the backlog before the request.
    pub fn record(&mut self, tokens: u32, took_ms: f64) {
        self.tokens += f64::from(tokens);
        let (slowest, fastest) = PLAUSIBLE_TOKENS_PER_MS.into_inner();
        let (least_ms, most_ms) = (self.tokens / fastest, self.tokens / slowest);
        self.time_ms = (self.time_ms + took_ms.max(0.0)).clamp(least_ms, most_ms);
        if self.tokens > AVERAGED_TOKENS {
            self.time_ms *= AVERAGED_TOKENS / self.tokens;
            self.tokens = AVERAGED_TOKENS;
        }
    }
}

/// Prefill work that an engine has queued, as time; it shrinks as time passes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    left_ms: f64,
    recorded_ms: Millis,
}

impl Backlog {
    /// Creates a backlog as of now.
    pub fn new(left_ms: f64, now_ms: Millis) -> Self {
        Self {
            left_ms,
            recorded_ms: now_ms,
        }
    }

    /// The remaining backlog in ms.
    pub fn at(&self, now_ms: Millis) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        (self.left_ms - passed_ms).max(0.0)
    }

    /// Adds to the remaining backlog.
    pub fn add(&mut self, more_ms: f64, now_ms: Millis) {
        *self = Self::new(self.at(now_ms) + more_ms, now_ms);
    }
}
