//! Controls the handover of one run: finds a target server, has the run stopped and copied, and
//! resumes it.

use std::pin::Pin;
use std::time::Duration;

use tinbay_core::handover::transitions::{self, HandoverAnswer, ResumeAnswer, ResumeServer, Step};

use super::event_gate::EventGate;

/// Longest wait for the end of a stream after its server reported that the run has stopped. A
/// broken link may delay the end; events not received by then are sent again by the server that
/// resumes.
const MAX_END_WAIT: Duration = Duration::from_millis(300);

/// The future of a call to a server, on this thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Result of asking a server to resume a run.
#[derive(Debug)]
pub enum Resumed<A> {
    /// The server resumed the run; holds its answer.
    Answering(A),
    /// The server did not resume the run.
    Declined,
    /// The server may have resumed the run, but its answer is lost.
    Unknown,
}

/// The calls to servers that a handover needs.
pub trait HandoverActions {
    /// The answer of a server that resumes a run.
    type Answer;

    /// Waits for a server that can take the run; returns false if none is found.
    fn find_target(&self) -> LocalFuture<'_, bool>;

    /// Asks the source to stop the run and copy it to the target.
    fn request_handover(&self) -> LocalFuture<'_, HandoverAnswer>;

    /// Asks a server to resume the run after the event `last_id`.
    fn resume<'a>(
        &'a self,
        at: ResumeServer,
        handle: &'a str,
        last_id: u64,
    ) -> LocalFuture<'a, Resumed<Self::Answer>>;

    /// Frees an unused copy on source and target.
    fn free(&self, handle: &str);
}

/// How a handover ended.
#[derive(Debug, PartialEq)]
pub enum Outcome<A> {
    /// The run continues on the source as before, or has ended there.
    Stayed,
    /// The source did not say whether it stopped the run.
    Unanswered,
    /// The run was stopped and resumed.
    Continued {
        /// Where it was resumed.
        at: ResumeServer,
        /// The answer with the remaining events.
        answer: A,
    },
    /// No server is known to continue the run.
    Lost,
}

/// Frees a copy on drop unless a server resumed from it. A guard is needed because the handover is
/// dropped when the caller disconnects.
struct CopyGuard<'a, A> {
    actions: &'a dyn HandoverActions<Answer = A>,
    handle: Option<String>,
}

impl<A> Drop for CopyGuard<'_, A> {
    fn drop(&mut self) {
        if let Some(handle) = &self.handle {
            self.actions.free(handle);
        }
    }
}

/// Hands over a run once its first event has been relayed.
pub async fn drive<A>(actions: &dyn HandoverActions<Answer = A>, gate: &EventGate) -> Outcome<A> {
    gate.wait_for_event().await;
    if gate.is_open() || !actions.find_target().await || gate.is_open() {
        return Outcome::Stayed;
    }
    gate.begin_handover();
    let answer = actions.request_handover().await;
    let mut copy = CopyGuard {
        actions,
        handle: answer.handle().map(str::to_string),
    };
    let mut step = transitions::after_handover_answer(answer);
    if matches!(step, Step::Resume { .. }) {
        let stream_end = gate.wait_for_stream_end();
        let _ = tokio::time::timeout(MAX_END_WAIT, stream_end).await;
    }
    loop {
        let Step::Resume { at, handle } = step else {
            gate.end_handover();
            return match step {
                Step::Lost => Outcome::Lost,
                Step::ContinueUnsure => Outcome::Unanswered,
                _ => Outcome::Stayed,
            };
        };
        gate.seal();
        let last_id = gate.last_id().unwrap_or_default();
        let resumed = actions.resume(at, &handle, last_id).await;
        let answer = match &resumed {
            Resumed::Answering(_) => ResumeAnswer::Resumed,
            Resumed::Declined => ResumeAnswer::NotResumed,
            Resumed::Unknown => ResumeAnswer::Unknown,
        };
        step = transitions::after_resume(at, &handle, answer);
        if let Resumed::Answering(answer) = resumed {
            copy.handle = None;
            gate.drop_partial();
            return Outcome::Continued { at, answer };
        }
    }
}
