//! The look over all answers on their way.

use std::cell::RefCell;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tinbay_core::memory::cuts;
use tinbay_core::memory::ledger::{AccountHash, ConnectionNumber};
use tinbay_core::memory::reader::{BEHIND_AFTER_MS, CutCause, ReaderTerms};
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use super::answer::Shared;
use crate::clock::Clock;
use crate::latch::Latch;
use crate::memory::BoxMemory;

/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(BEHIND_AFTER_MS);

/// Who asked for an answer.
pub trait Asker: fmt::Debug {
    /// Id of its request.
    fn id(&self) -> &str;

    /// Its client account, if it has one.
    fn account(&self) -> Option<AccountHash>;
}

/// What binds one answer, and whose it is.
#[derive(Debug)]
pub struct AnswerTerms {
    /// Who asked for it.
    pub asker: Rc<dyn Asker>,
    /// How slowly it may be read.
    pub reader: ReaderTerms,
    /// The caller's connection.
    pub connection: ConnectionNumber,
    /// Set when that connection has to end.
    pub connection_end: Rc<Latch>,
}

/// An answer that was cut as its caller did not keep up.
#[derive(Debug)]
pub struct AnswerCut<'a> {
    /// Id of its request.
    pub request: &'a str,
    /// Why.
    pub cause: CutCause,
    /// Whether its server had sent all of it.
    pub is_whole: bool,
    /// Bytes that went to the caller's side.
    pub taken_bytes: u64,
    /// Bytes held for it.
    pub held_bytes: u64,
    /// For how long its caller had taken nothing.
    pub unread_ms: Millis,
}

/// Told of answers that are cut.
pub trait CutObserver: fmt::Debug {
    /// Notes one.
    fn note_cut(&self, cut: &AnswerCut<'_>);
}

/// All answers on their way to callers.
#[derive(Debug)]
pub struct AnswerWatch {
    clock: Clock,
    memory: Rc<BoxMemory>,
    observer: Box<dyn CutObserver>,
    /// An answer that has ended stays until the next look.
    answers: RefCell<Vec<Weak<Shared>>>,
    is_first: Notify,
}

impl AnswerWatch {
    /// No answer is on its way.
    pub fn new(clock: Clock, memory: Rc<BoxMemory>, observer: Box<dyn CutObserver>) -> Self {
        Self {
            clock,
            memory,
            observer,
            answers: RefCell::default(),
            is_first: Notify::new(),
        }
    }

    pub(super) fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    pub(super) fn memory(&self) -> &Rc<BoxMemory> {
        &self.memory
    }

    pub(super) fn enter(&self, answer: &Rc<Shared>) {
        let mut answers = self.answers.borrow_mut();
        if answers.is_empty() {
            self.is_first.notify_one();
        }
        answers.push(Rc::downgrade(answer));
    }

    pub(super) fn note_cut(&self, cut: &AnswerCut<'_>) {
        self.observer.note_cut(cut);
    }

    /// Looks at all answers once: those whose callers do not keep up are read ahead or cut.
    fn look(&self) {
        let now_ms = self.now_ms();
        let mut behind = Vec::new();
        for answer in self.behind(now_ms) {
            if let Some(cause) = answer.judge(now_ms) {
                answer.cut(cause, now_ms);
                continue;
            }
            answer.read_ahead();
            behind.push(answer);
        }
        self.make_room(&behind, now_ms);
    }

    fn behind(&self, now_ms: Millis) -> Vec<Rc<Shared>> {
        let mut behind = Vec::new();
        self.answers.borrow_mut().retain(|answer| {
            let Some(answer) = answer.upgrade() else {
                return false;
            };
            if answer.look(now_ms) {
                behind.push(answer);
            }
            true
        });
        behind
    }

    fn make_room(&self, behind: &[Rc<Shared>], now_ms: Millis) {
        let excess_bytes = self.memory.excess_bytes();
        if excess_bytes == 0 {
            return;
        }
        let unread = behind.iter().map(|answer| answer.unread(now_ms)).collect();
        for index in cuts::to_cut(unread, excess_bytes) {
            behind[index].cut(CutCause::Memory, now_ms);
        }
    }

    async fn wait_for_one(&self) {
        while self.answers.borrow().is_empty() {
            self.is_first.notified().await;
        }
    }
}

/// Looks at all answers time and again, while there are any.
pub async fn run(watch: Rc<AnswerWatch>) {
    loop {
        watch.wait_for_one().await;
        tokio::time::sleep(LOOK_PAUSE).await;
        watch.look();
    }
}
