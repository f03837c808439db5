//! Buffers or aborts responses whose callers read slowly.
//!
//! A response is relayed directly while its caller reads. A periodic check of all responses, ten
//! times a second while there are any, finds those whose callers have stopped reading. A separate
//! task then buffers a bounded number of bytes of such a response until the caller has caught up.
//! The response is cut when its caller reads nothing for too long, is too slow for the request's
//! deadline, or holds the most memory while the box is short of it.

mod answer;
mod readahead;
mod watch;

pub use answer::WatchedAnswer;
pub use watch::{AnswerCut, AnswerTerms, AnswerWatch, AnsweredRequest, CutObserver, run};
