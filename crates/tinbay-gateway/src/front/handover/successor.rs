//! A handover that progresses while its answer is relayed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;

use super::actions::NodeHandover;
use crate::handover::drive::{Outcome, drive};
use crate::handover::event_gate::EventGate;
use crate::http::relay::{ContinuedAnswer, RelayHandover};

/// A handover that is polled together with the answer that it concerns. When dropped, it frees the
/// copies on servers.
pub struct RunHandover {
    gate: Rc<EventGate>,
    handover: Pin<Box<dyn Future<Output = Outcome<ContinuedAnswer>>>>,
}

impl RunHandover {
    /// Creates a handover; it starts when it is first polled.
    pub fn new(actions: NodeHandover) -> Self {
        let gate = Rc::new(EventGate::default());
        let handover = {
            let gate = Rc::clone(&gate);
            async move {
                let outcome = drive(&actions, &gate).await;
                actions.record_outcome(&outcome);
                outcome
            }
        };
        Self {
            gate,
            handover: Box::pin(handover),
        }
    }
}

impl RelayHandover for RunHandover {
    fn pass(&self, bytes: Bytes) -> Bytes {
        self.gate.pass(bytes)
    }

    fn poll_outcome(&mut self, context: &mut Context<'_>) -> Poll<Outcome<ContinuedAnswer>> {
        self.handover.as_mut().poll(context)
    }

    fn record_cut_off(&self) -> bool {
        self.gate.record_cut_off()
    }

    fn is_reading_paused(&self) -> bool {
        self.gate.is_sealed() || !self.gate.has_room()
    }

    fn open(&self) -> Bytes {
        self.gate.open()
    }
}
