//! Scarce room shared among client accounts: asks the holder of a server to let requests in, and lets them
//! in where this box is the holder.
//!
//! Only while a holder says that its server has too little room, and only where requests have client
//! accounts, is anything asked.

pub mod asking;
pub mod holder;
pub mod links;
pub mod messages;
pub mod taken;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use self::messages::{RoomWord, RoomWordPart};

/// A request of this box that waits for the word of a holder.
#[derive(Debug)]
struct Waiting {
    sender: oneshot::Sender<RoomWord>,
    /// Whether the holder was heard since it was last asked.
    is_heard: bool,
}

/// Requests of this box that ask for room.
#[derive(Debug, Default)]
pub struct Sharing {
    waiting: RefCell<HashMap<u32, Waiting>>,
    last_number: Cell<u32>,
    /// Holders that did not answer, and until when they are not asked.
    silent: RefCell<HashMap<String, Millis>>,
}

impl Sharing {
    /// Takes the word of a holder on one question; one whose request is gone is passed over.
    pub fn take_word(&self, part: RoomWordPart) {
        let mut waiting = self.waiting.borrow_mut();
        if part.word == RoomWord::Waits {
            if let Some(waiting) = waiting.get_mut(&part.number) {
                waiting.is_heard = true;
            }
            return;
        }
        if let Some(waiting) = waiting.remove(&part.number) {
            // A request that is gone meanwhile wants no answer.
            let _ = waiting.sender.send(part.word);
        }
    }

    /// Forgets questions whose requests are gone, and holders that may answer again.
    pub fn tidy(&self, now_ms: Millis) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, waiting| !waiting.sender.is_closed());
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, until_ms| now_ms < *until_ms);
    }

    fn begin(&self) -> (u32, oneshot::Receiver<RoomWord>) {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (sender, receiver) = oneshot::channel();
        let is_heard = false;
        let waiting = Waiting { sender, is_heard };
        self.waiting.borrow_mut().insert(number, waiting);
        (number, receiver)
    }

    fn end(&self, number: u32) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// Whether the holder was heard since the last look.
    fn take_heard(&self, number: u32) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.get_mut(&number);
        waiting.is_some_and(|waiting| std::mem::take(&mut waiting.is_heard))
    }

    fn note_silent(&self, holder: &str, until_ms: Millis) {
        let mut silent = self.silent.borrow_mut();
        silent.insert(holder.to_string(), until_ms);
    }

    fn is_silent(&self, holder: &str, now_ms: Millis) -> bool {
        let silent = self.silent.borrow();
        silent
            .get(holder)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }
}
