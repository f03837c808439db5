//! Answers whose callers do not keep up.
//!
//! An answer goes straight from its server's connection to its caller's for as long as the caller
//! reads. One look over all answers, ten times a second while there are any, finds those whose callers
//! have stopped. Such an answer is read ahead of its caller by a task of its own, for a bounded number
//! of bytes, until the caller has caught up; and it is cut when its caller reads nothing for too long, is
//! too slow for the request's time, or holds most while the box is short of memory.

mod answer;
mod readahead;
mod watch;

pub use answer::WatchedAnswer;
pub use watch::{AnswerCut, AnswerTerms, AnswerWatch, Asker, CutObserver, run};
