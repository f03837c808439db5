//! Steps of one handover: what to do after each answer, lost answer or refusal.
//!
//! A run is at one server at a time: the source is stopped before any other server is asked to
//! resume, and no server is asked after one that may have resumed the run.

/// Answer of the source to the request to stop a run and copy it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverAnswer {
    /// The run's state has been copied to the target.
    Copied {
        /// Name of the copy at both servers.
        handle: String,
    },
    /// The run is stopped but could not be copied, as the target has no space or cannot be reached;
    /// the source keeps it.
    Kept {
        /// Name of the stopped run.
        handle: String,
    },
    /// The run continues, or has ended by itself.
    NotStopped,
    /// No answer arrived, or none that tells: the run may have stopped.
    Unknown,
}

impl HandoverAnswer {
    /// Name by which the run can be resumed, if there is one.
    pub fn handle(&self) -> Option<&str> {
        match self {
            HandoverAnswer::Copied { handle } | HandoverAnswer::Kept { handle } => Some(handle),
            HandoverAnswer::NotStopped | HandoverAnswer::Unknown => None,
        }
    }
}

/// Answer of a server that was asked to resume a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeAnswer {
    /// The run continues there.
    Resumed,
    /// The server refused the run or no connection.
    NotResumed,
    /// The run may continue there; the answer was lost.
    Unknown,
}

/// Server at which a stopped run resumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeServer {
    /// Server chosen to decode the rest.
    Target,
    /// Server that began the run.
    Source,
}

/// Next step of the handover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a server to resume the run.
    Resume {
        /// Server to ask.
        at: ResumeServer,
        /// Name of the copy.
        handle: String,
    },
    /// Keep reading from the source as if no handover had been requested.
    Continue,
    /// Keep reading from the source, whose run may have stopped.
    ContinueUnsure,
    /// The handover is complete and the run continues at this server.
    Done(ResumeServer),
    /// The run cannot be resumed; the caller's answer is cut off.
    Lost,
}

/// The step after the source's answer.
pub fn after_handover_answer(answer: HandoverAnswer) -> Step {
    match answer {
        HandoverAnswer::Copied { handle } => Step::Resume {
            at: ResumeServer::Target,
            handle,
        },
        HandoverAnswer::Kept { handle } => Step::Resume {
            at: ResumeServer::Source,
            handle,
        },
        HandoverAnswer::NotStopped => Step::Continue,
        // If the run has stopped, there is no handle to resume it.
        HandoverAnswer::Unknown => Step::ContinueUnsure,
    }
}

/// The step after the answer of a server that was asked to resume.
///
/// A handle serves once: after a lost answer the run may be continuing at the server that was
/// asked, so no other one may be asked.
pub fn after_resume(at: ResumeServer, handle: &str, answer: ResumeAnswer) -> Step {
    match (at, answer) {
        (_, ResumeAnswer::Resumed) => Step::Done(at),
        (ResumeServer::Target, ResumeAnswer::NotResumed) => Step::Resume {
            at: ResumeServer::Source,
            handle: handle.to_string(),
        },
        (ResumeServer::Source, ResumeAnswer::NotResumed) | (_, ResumeAnswer::Unknown) => Step::Lost,
    }
}
