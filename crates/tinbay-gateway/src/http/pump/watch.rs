//! Periodic check of all responses being sent to callers.

use std::cell::RefCell;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tinbay_core::memory::cuts;
use tinbay_core::memory::ledger::{AccountHash, ConnectionNumber};
use tinbay_core::memory::reader::{BEHIND_AFTER_MS, CutCause, ReaderTerms};
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use super::answer::AnswerState;
use crate::clock::Clock;
use crate::latch::Latch;
use crate::memory::BoxMemory;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(BEHIND_AFTER_MS);

/// The request that a response belongs to.
pub trait AnsweredRequest: fmt::Debug {
    /// Id of the request.
    fn id(&self) -> &str;

    /// Client account of the request, if it has one.
    fn account(&self) -> Option<AccountHash>;
}

/// The request of one response, its caller's connection and the limits that apply to it.
#[derive(Debug)]
pub struct AnswerTerms {
    /// The request that is answered.
    pub request: Rc<dyn AnsweredRequest>,
    /// Limits on how slowly the caller may read.
    pub reader: ReaderTerms,
    /// Number of the caller's connection, for memory accounting.
    pub connection: ConnectionNumber,
    /// Set to close the caller's connection.
    pub connection_end: Rc<Latch>,
}

/// Report of a response that was cut because its caller read too slowly.
#[derive(Debug)]
pub struct AnswerCut<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Rule that led to the cut.
    pub cause: CutCause,
    /// Whether the server had sent the complete response.
    pub is_whole: bool,
    /// Bytes passed to the caller's connection.
    pub taken_bytes: u64,
    /// Memory accounted for the response at the time of the cut.
    pub held_bytes: u64,
    /// Time since the caller last took any bytes.
    pub unread_ms: Millis,
}

/// Receives reports of responses that were cut.
pub trait CutObserver: fmt::Debug {
    /// Called once for each response that is cut.
    fn report_cut(&self, cut: &AnswerCut<'_>);
}

/// All responses being sent to callers.
#[derive(Debug)]
pub struct AnswerWatch {
    clock: Clock,
    memory: Rc<BoxMemory>,
    observer: Box<dyn CutObserver>,
    /// Entries of ended responses remain until the next check.
    answers: RefCell<Vec<Weak<AnswerState>>>,
    first_registered: Notify,
}

impl AnswerWatch {
    /// Creates a watch without responses.
    pub fn new(clock: Clock, memory: Rc<BoxMemory>, observer: Box<dyn CutObserver>) -> Self {
        Self {
            clock,
            memory,
            observer,
            answers: RefCell::default(),
            first_registered: Notify::new(),
        }
    }

    pub(super) fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    pub(super) fn memory(&self) -> &Rc<BoxMemory> {
        &self.memory
    }

    pub(super) fn register(&self, answer: &Rc<AnswerState>) {
        let mut answers = self.answers.borrow_mut();
        if answers.is_empty() {
            self.first_registered.notify_one();
        }
        answers.push(Rc::downgrade(answer));
    }

    pub(super) fn report_cut(&self, cut: &AnswerCut<'_>) {
        self.observer.report_cut(cut);
    }

    /// Checks all responses once: those whose callers are behind are read ahead or cut.
    fn check(&self) {
        let now_ms = self.now_ms();
        let mut behind = Vec::new();
        for answer in self.behind(now_ms) {
            if let Some(cause) = answer.cut_cause(now_ms) {
                answer.cut(cause, now_ms);
                continue;
            }
            answer.read_ahead();
            behind.push(answer);
        }
        self.free_memory(&behind, now_ms);
    }

    /// Updates the progress of all callers; returns the responses that are behind, overdue or read
    /// ahead.
    fn behind(&self, now_ms: Millis) -> Vec<Rc<AnswerState>> {
        let mut behind = Vec::new();
        self.answers.borrow_mut().retain(|answer| {
            let Some(answer) = answer.upgrade() else {
                return false;
            };
            if answer.update_progress(now_ms) {
                behind.push(answer);
            }
            true
        });
        behind
    }

    /// Cuts responses until the box is no longer short of memory.
    fn free_memory(&self, behind: &[Rc<AnswerState>], now_ms: Millis) {
        let excess_bytes = self.memory.excess_bytes();
        if excess_bytes == 0 {
            return;
        }
        let unread = behind.iter().map(|answer| answer.unread(now_ms)).collect();
        for index in cuts::to_cut(unread, excess_bytes) {
            behind[index].cut(CutCause::Memory, now_ms);
        }
    }

    async fn wait_for_answer(&self) {
        while self.answers.borrow().is_empty() {
            self.first_registered.notified().await;
        }
    }
}

/// Checks all responses periodically; sleeps while there are none.
pub async fn run(watch: Rc<AnswerWatch>) {
    loop {
        watch.wait_for_answer().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
        watch.check();
    }
}
