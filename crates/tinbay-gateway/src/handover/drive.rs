//! Takes one run through its hand-over.

use std::pin::Pin;
use std::time::Duration;

use tinbay_core::handover::transitions::{self, MoveAnswer, Place, ResumeAnswer, Step};

use super::passage::Passage;

/// Longest wait for the end of a stream whose server said that it has stopped: a cut link may hold it
/// back, and what did not come by then comes again from the server that goes on.
const LONGEST_END_WAIT: Duration = Duration::from_millis(300);

/// What is under way.
pub type Doing<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// How a server took up a run, with its answer.
#[derive(Debug)]
pub enum Resumed<A> {
    /// It goes on there.
    Goes(A),
    /// It did not take it up.
    Not,
    /// It may have.
    Unknown,
}

/// What a hand-over asks of the servers.
pub trait RunMover {
    /// The answer of a server that goes on with a run.
    type Answer;

    /// Waits until a server can take the run; whether one can.
    fn find_target(&self) -> Doing<'_, bool>;

    /// Has the source stop the run and copy it to the target.
    fn ask_move(&self) -> Doing<'_, MoveAnswer>;

    /// Asks a server to go on after an event.
    fn resume<'a>(
        &'a self,
        at: Place,
        handle: &'a str,
        last_id: u64,
    ) -> Doing<'a, Resumed<Self::Answer>>;

    /// Has both ends forget a copy that nobody asks for any more.
    fn free(&self, handle: &str);
}

/// How a hand-over ended.
#[derive(Debug, PartialEq)]
pub enum Outcome<A> {
    /// The run stays where it is.
    Stays,
    /// It goes on with this answer.
    GoesOn {
        /// Where.
        at: Place,
        /// The rest of the events.
        answer: A,
    },
    /// Nobody goes on with it.
    Lost,
}

/// Frees a copy unless somebody went on with it: the caller may leave at any moment.
struct Copy<'a, A> {
    mover: &'a dyn RunMover<Answer = A>,
    handle: Option<String>,
}

impl<A> Drop for Copy<'_, A> {
    fn drop(&mut self) {
        if let Some(handle) = &self.handle {
            self.mover.free(handle);
        }
    }
}

/// Hands a run over once its first event has passed.
pub async fn drive<A>(mover: &dyn RunMover<Answer = A>, passage: &Passage) -> Outcome<A> {
    passage.wait_for_event().await;
    if !mover.find_target().await {
        return Outcome::Stays;
    }
    passage.begin_move();
    let answer = mover.ask_move().await;
    let mut copy = Copy {
        mover,
        handle: answer.handle().map(str::to_string),
    };
    let mut step = transitions::after_move(answer);
    if matches!(step, Step::Resume { .. }) {
        let broken_off = passage.wait_until_broken_off();
        let _ = tokio::time::timeout(LONGEST_END_WAIT, broken_off).await;
    }
    loop {
        let Step::Resume { at, handle } = step else {
            passage.end_move();
            return match step {
                Step::Lost => Outcome::Lost,
                _ => Outcome::Stays,
            };
        };
        let last_id = passage.last_id().unwrap_or_default();
        let resumed = mover.resume(at, &handle, last_id).await;
        let answer = match &resumed {
            Resumed::Goes(_) => ResumeAnswer::Resumed,
            Resumed::Not => ResumeAnswer::NotResumed,
            Resumed::Unknown => ResumeAnswer::Unknown,
        };
        step = transitions::after_resume(at, &handle, answer);
        if let Resumed::Goes(answer) = resumed {
            copy.handle = None;
            passage.drop_partial();
            return Outcome::GoesOn { at, answer };
        }
    }
}
