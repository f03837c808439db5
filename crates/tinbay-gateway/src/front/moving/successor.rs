//! A hand-over beside the answer that it concerns.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;

use super::mover::NodeMover;
use crate::handover::drive::{Outcome, drive};
use crate::handover::passage::Passage;
use crate::http::relay::{ContinuedAnswer, Successor};

/// A hand-over beside the answer that it concerns; dropped, it frees what it holds at servers.
pub struct RunSuccessor {
    passage: Rc<Passage>,
    course: Pin<Box<dyn Future<Output = Outcome<ContinuedAnswer>>>>,
}

impl RunSuccessor {
    /// A hand-over that has not begun.
    pub fn new(mover: NodeMover) -> Self {
        let passage = Rc::new(Passage::default());
        let course = {
            let passage = Rc::clone(&passage);
            async move {
                let outcome = drive(&mover, &passage).await;
                mover.note_outcome(&outcome);
                outcome
            }
        };
        Self {
            passage,
            course: Box::pin(course),
        }
    }
}

impl Successor for RunSuccessor {
    fn pass(&self, bytes: Bytes) -> Bytes {
        self.passage.pass(bytes)
    }

    fn poll_outcome(&mut self, context: &mut Context<'_>) -> Poll<Outcome<ContinuedAnswer>> {
        self.course.as_mut().poll(context)
    }

    fn note_broken_off(&self) -> bool {
        self.passage.note_broken_off()
    }

    fn open(&self) -> Bytes {
        self.passage.open()
    }
}
