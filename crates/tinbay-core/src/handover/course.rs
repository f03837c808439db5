//! The course of one hand-over: what is done next after each answer, lost answer or refusal.
//!
//! A run is in one place at a time: the source is stopped before any other server is asked to go on,
//! and the last server that may have taken it up is the last one that is asked.

/// What the source answered when it was asked to stop a run and copy it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveAnswer {
    /// The copy is at the target.
    Copied {
        /// Names the copy at both ends.
        handle: String,
    },
    /// The run is stopped, and there was no room or no way: the source keeps it.
    Kept {
        /// Names it.
        handle: String,
    },
    /// The run goes on, or has ended.
    NotStopped,
    /// No answer came: the run may have stopped.
    Unknown,
}

impl MoveAnswer {
    /// Name of the copy, if there is one.
    pub fn handle(&self) -> Option<&str> {
        match self {
            MoveAnswer::Copied { handle } | MoveAnswer::Kept { handle } => Some(handle),
            MoveAnswer::NotStopped | MoveAnswer::Unknown => None,
        }
    }
}

/// How a server took a run up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeAnswer {
    /// It goes on there.
    Resumed,
    /// It said that it did not run it, or took no connection.
    NotResumed,
    /// It may go on there, and the answer is lost.
    Unknown,
}

/// Where a stopped run goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The server that was chosen to make the rest.
    Target,
    /// The server that began it.
    Source,
}

/// What is done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a server to go on, by the name of the copy.
    Resume {
        /// Which one.
        at: Place,
        /// Name of the copy.
        handle: String,
    },
    /// The source goes on as if nothing had been asked.
    GoOn,
    /// The run goes on at this place.
    Done(Place),
    /// Nobody goes on with it: the caller's answer is cut.
    Lost,
}

/// What follows on the source's answer.
pub fn after_move(answer: MoveAnswer) -> Step {
    match answer {
        MoveAnswer::Copied { handle } => Step::Resume {
            at: Place::Target,
            handle,
        },
        MoveAnswer::Kept { handle } => Step::Resume {
            at: Place::Source,
            handle,
        },
        // Where the run has stopped all the same, its stream breaks off, and nothing names the copy.
        MoveAnswer::NotStopped | MoveAnswer::Unknown => Step::GoOn,
    }
}

/// What follows on the answer of a server that was asked to go on.
///
/// A handle serves once: after an answer that was lost the run may go on where it was asked for, and
/// nobody else may be asked.
pub fn after_resume(at: Place, handle: &str, answer: ResumeAnswer) -> Step {
    match (at, answer) {
        (_, ResumeAnswer::Resumed) => Step::Done(at),
        (Place::Target, ResumeAnswer::NotResumed) => Step::Resume {
            at: Place::Source,
            handle: handle.to_string(),
        },
        (Place::Source, ResumeAnswer::NotResumed) | (_, ResumeAnswer::Unknown) => Step::Lost,
    }
}
