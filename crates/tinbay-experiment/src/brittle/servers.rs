//! Brittle servers.

use std::collections::VecDeque;

use super::{BrittleParameters, DOWN_MS};

/// What a server does with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// Runs it now.
    Runs,
    /// Lets it wait for a slot.
    Waits,
    /// Rejects it.
    Rejected,
    /// Accepts no connection, as the server is down.
    Down,
}

/// A server.
#[derive(Debug, Default)]
pub struct Server {
    running: usize,
    waiting: VecDeque<u64>,
    rejected_ms: VecDeque<u64>,
    down_until_ms: u64,
    /// Counts failures, so that ends of requests from before the last one are ignored.
    pub life: u32,
}

impl Server {
    /// Handles a request that arrives. A rejection may make the server fail, which raises `life`.
    pub fn receive(&mut self, request: u64, terms: &BrittleParameters, now_ms: u64) -> Reception {
        if now_ms < self.down_until_ms {
            return Reception::Down;
        }
        if self.running < terms.slots {
            self.running += 1;
            return Reception::Runs;
        }
        if self.waiting.len() < terms.waiting {
            self.waiting.push_back(request);
            return Reception::Waits;
        }
        self.rejected_ms.push_back(now_ms);
        while self
            .rejected_ms
            .front()
            .is_some_and(|rejected_ms| now_ms >= rejected_ms + 1_000)
        {
            self.rejected_ms.pop_front();
        }
        if self.rejected_ms.len() as f64 > terms.rejections_per_s {
            self.fail(now_ms);
        }
        Reception::Rejected
    }

    /// Ends a request; returns the one that runs next in its slot, if one waits.
    pub fn end(&mut self) -> Option<u64> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    fn fail(&mut self, now_ms: u64) {
        *self = Self {
            down_until_ms: now_ms + DOWN_MS,
            life: self.life + 1,
            ..Self::default()
        };
    }
}
