//! How much an engine has to read before it can begin a new request.
//!
//! An engine reads prompts in pieces, between the tokens of the requests that run: what others
//! sent it lately tells how long a new request waits for its first token, long before all its
//! places are taken.

use crate::units::Millis;

/// Tokens a ms that an engine reads, until it has been measured.
const FIRST_TOKENS_A_MS: f64 = 40.0;

/// Least and most that is believed.
const BELIEVABLE_TOKENS_A_MS: std::ops::RangeInclusive<f64> = 2.0..=400.0;

/// Tokens whose reading the pace is measured over; some hundred requests.
const MEASURED_TOKENS: f64 = 300_000.0;

/// Shortest prompt by which the pace is measured: shorter ones take a step or two.
const LEAST_MEASURED_TOKENS: u32 = 500;

/// Most that an engine may have to read before a request by which its pace is measured.
const MOST_MEASURED_BACKLOG_MS: f64 = 20.0;

/// How fast the engines of a service read prompts, parts that they have kept included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadingPace {
    tokens: f64,
    time_ms: f64,
}

impl Default for ReadingPace {
    fn default() -> Self {
        let tokens = MEASURED_TOKENS / 10.0;
        Self {
            tokens,
            time_ms: tokens / FIRST_TOKENS_A_MS,
        }
    }
}

impl ReadingPace {
    /// Tokens a ms.
    pub fn tokens_a_ms(&self) -> f64 {
        let (slowest, fastest) = BELIEVABLE_TOKENS_A_MS.into_inner();
        (self.tokens / self.time_ms).clamp(slowest, fastest)
    }

    /// Time to read so many tokens.
    pub fn time_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_a_ms()
    }

    /// Notes how long a request's first token took at an engine that had so much to read before.
    ///
    /// The backlog is worked out by the pace: one that is too slow would never see an engine
    /// without backlog and stay as it is, so an answer that is faster than it says always counts.
    pub fn note_answer(&mut self, tokens: u32, backlog_ms: f64, took_ms: f64) {
        let was_idle = backlog_ms <= MOST_MEASURED_BACKLOG_MS;
        let is_faster = took_ms < self.time_ms(tokens);
        if tokens >= LEAST_MEASURED_TOKENS && (was_idle || is_faster) {
            self.note(tokens, took_ms);
        }
    }

    /// Notes that a request's first token came so long after what was to be read before it.
    pub fn note(&mut self, tokens: u32, took_ms: f64) {
        self.tokens += f64::from(tokens);
        let (slowest, fastest) = BELIEVABLE_TOKENS_A_MS.into_inner();
        let (least_ms, most_ms) = (self.tokens / fastest, self.tokens / slowest);
        self.time_ms = (self.time_ms + took_ms.max(0.0)).clamp(least_ms, most_ms);
        if self.tokens > MEASURED_TOKENS {
            self.time_ms *= MEASURED_TOKENS / self.tokens;
            self.tokens = MEASURED_TOKENS;
        }
    }
}

/// What an engine has to read, as time; it gets less as time passes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    left_ms: f64,
    noted_ms: Millis,
}

impl Backlog {
    /// A backlog as of now.
    pub fn new(left_ms: f64, now_ms: Millis) -> Self {
        Self {
            left_ms,
            noted_ms: now_ms,
        }
    }

    /// What is left to read.
    pub fn at(&self, now_ms: Millis) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        (self.left_ms - passed_ms).max(0.0)
    }

    /// More is to be read.
    pub fn add(&mut self, more_ms: f64, now_ms: Millis) {
        *self = Self::new(self.at(now_ms) + more_ms, now_ms);
    }
}
