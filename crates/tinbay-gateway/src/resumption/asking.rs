//! Asks the homes of an attempt which version began its stream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::decision::Knowledge;
use tinbay_core::resumption::ledger::Recorded;
use tinbay_core::serving::servers::Fingerprint;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, timeout_at};

use super::context::ResumptionContext;
use super::messages::{OriginReplyPart, OriginRequestPart};
use crate::peers::frame::FramePart;

/// Interval between sends of a question, as messages may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Number of times that a question is sent to a home that does not reply.
const MAX_SENDS: u32 = 3;

/// A reply with the box that sent it.
#[derive(Debug)]
struct Reply {
    box_id: String,
    known: Knowledge,
}

/// Questions of this box that wait for replies, by number.
#[derive(Debug, Default)]
pub struct Questions {
    waiting: RefCell<HashMap<u32, UnboundedSender<Reply>>>,
    last_number: Cell<u32>,
}

/// A question that is removed when it is dropped, also if its request ends before the replies.
struct OpenQuestion<'a> {
    questions: &'a Questions,
    number: u32,
    replies: UnboundedReceiver<Reply>,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.questions.waiting.borrow_mut().remove(&self.number);
    }
}

impl Questions {
    /// Delivers a reply; ignores replies to questions that have ended.
    pub fn deliver_reply(&self, box_id: &str, part: OriginReplyPart) {
        let waiting = self.waiting.borrow();
        let Some(sender) = waiting.get(&part.number) else {
            return;
        };
        // The receiver is dropped if the question has ended in the meantime.
        let _ = sender.send(Reply {
            box_id: box_id.to_string(),
            known: part.to_knowledge(),
        });
    }

    /// Number of questions that wait for replies.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether no question waits for replies.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    fn open(&self) -> OpenQuestion<'_> {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (sender, replies) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(number, sender);
        OpenQuestion {
            questions: self,
            number,
            replies,
        }
    }
}

/// Asks boxes about a stream until one of them has a record of it, all have replied, or those left
/// don't reply. Returns the replies.
pub async fn ask(
    context: &dyn ResumptionContext,
    homes: &[String],
    attempt: AttemptDigest,
    service: Fingerprint,
) -> Vec<Knowledge> {
    let mut question = context.resumption().questions.open();
    let part = OriginRequestPart {
        number: question.number,
        attempt,
        service,
    };
    let mut known_by_box: HashMap<String, Knowledge> = HashMap::new();
    for _ in 0..MAX_SENDS {
        for home in homes {
            if !known_by_box.contains_key(home) {
                context.post(home, FramePart::OriginRequest(part));
            }
        }
        let resend_at = Instant::now() + RESEND_INTERVAL;
        while !is_answered(&known_by_box, homes) {
            let Ok(Some(reply)) = timeout_at(resend_at, question.replies.recv()).await else {
                break;
            };
            if homes.contains(&reply.box_id) {
                known_by_box.insert(reply.box_id, reply.known);
            }
        }
        if is_answered(&known_by_box, homes) {
            break;
        }
    }
    known_by_box.into_values().collect()
}

fn is_answered(known_by_box: &HashMap<String, Knowledge>, homes: &[String]) -> bool {
    let has_record = |known: &Knowledge| known.recorded != Recorded::Nothing;
    known_by_box.len() >= homes.len() || known_by_box.values().any(has_record)
}
