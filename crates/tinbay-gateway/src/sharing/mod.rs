//! Fair sharing of a scarce backend server's capacity among client accounts. A box requests
//! admission for a caller's request from the holder of the server, which admits requests by
//! account, rank and deadline.
//!
//! A server is scarce while it is at capacity. Admission is requested only then, and only for
//! requests that belong to a client account.

pub mod asking;
pub mod holder;
pub mod links;
pub mod messages;
pub mod outcome;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use self::messages::{AdmissionReply, AdmissionReplyPart};

/// An admission request of this box that waits for a holder's decision.
#[derive(Debug)]
struct Waiting {
    sender: oneshot::Sender<AdmissionReply>,
    /// Whether the holder has replied since the last request was sent.
    is_acknowledged: bool,
}

/// State of this box's pending admission requests.
#[derive(Debug, Default)]
pub struct Sharing {
    /// Pending requests by number.
    waiting: RefCell<HashMap<u32, Waiting>>,
    last_number: Cell<u32>,
    /// Holders that did not answer, with the time until which they are not asked.
    silent_holders: RefCell<HashMap<String, Millis>>,
}

impl Sharing {
    /// Delivers a holder's reply to the waiting request; ignores replies to requests that have
    /// ended.
    pub fn deliver_reply(&self, part: AdmissionReplyPart) {
        let mut waiting = self.waiting.borrow_mut();
        if part.reply == AdmissionReply::Queued {
            if let Some(waiting) = waiting.get_mut(&part.number) {
                waiting.is_acknowledged = true;
            }
            return;
        }
        if let Some(waiting) = waiting.remove(&part.number) {
            // The receiver is dropped if the request has ended in the meantime.
            let _ = waiting.sender.send(part.reply);
        }
    }

    /// Drops entries of requests that have ended and of holders that may be asked again.
    pub fn tidy(&self, now_ms: Millis) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, waiting| !waiting.sender.is_closed());
        let mut silent = self.silent_holders.borrow_mut();
        silent.retain(|_, until_ms| now_ms < *until_ms);
    }

    fn begin(&self) -> (u32, oneshot::Receiver<AdmissionReply>) {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (sender, receiver) = oneshot::channel();
        let is_acknowledged = false;
        let waiting = Waiting {
            sender,
            is_acknowledged,
        };
        self.waiting.borrow_mut().insert(number, waiting);
        (number, receiver)
    }

    fn end(&self, number: u32) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// Whether the holder has replied since the last call, which clears the flag.
    fn take_acknowledged(&self, number: u32) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.get_mut(&number);
        waiting.is_some_and(|waiting| std::mem::take(&mut waiting.is_acknowledged))
    }

    fn mark_silent(&self, holder: &str, until_ms: Millis) {
        let mut silent = self.silent_holders.borrow_mut();
        silent.insert(holder.to_string(), until_ms);
    }

    fn is_silent(&self, holder: &str, now_ms: Millis) -> bool {
        let silent = self.silent_holders.borrow();
        silent
            .get(holder)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }
}
