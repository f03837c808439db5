//! Reads an answer ahead of its caller.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::task::AbortHandle;

use super::answer::Shared;
use crate::http::buffers::BESIDE_BYTES;
use crate::memory::Hold;

/// Most bytes that are read ahead of one caller, up to a piece more.
const MOST_AHEAD_BYTES: u64 = 262_144;

/// What is read ahead of one caller; it ends when it is dropped.
#[derive(Debug)]
pub struct ReadAhead {
    frames: VecDeque<Frame<Bytes>>,
    bytes: u64,
    hold: Hold,
    room: Option<Waker>,
    task: AbortHandle,
}

impl ReadAhead {
    /// Begins to read an answer ahead, with `hold` to count what is held.
    pub fn begin(shared: &Rc<Shared>, mut hold: Hold) -> Self {
        hold.resize(BESIDE_BYTES);
        let reading = Rc::clone(shared);
        let task = tokio::task::spawn_local(poll_fn(move |context| read(&reading, context)));
        Self {
            frames: VecDeque::new(),
            bytes: 0,
            hold,
            room: None,
            task: task.abort_handle(),
        }
    }

    /// Bytes held for the answer.
    pub fn held_bytes(&self) -> u64 {
        self.hold.bytes()
    }

    /// The next piece for the caller.
    pub fn pop(&mut self) -> Option<Frame<Bytes>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= held_length(&frame);
        self.count();
        if let Some(room) = self.room.take() {
            room.wake();
        }
        Some(frame)
    }

    /// Whether nothing is ready.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    fn push(&mut self, frame: Frame<Bytes>) {
        self.bytes += held_length(&frame);
        self.frames.push_back(frame);
        self.count();
    }

    fn count(&mut self) {
        self.hold.resize(BESIDE_BYTES + self.bytes);
    }

    /// Whether it may read on; else it is told when there is room.
    fn has_room(&mut self, context: &Context<'_>) -> bool {
        let has_room = self.bytes < MOST_AHEAD_BYTES;
        if !has_room {
            self.room = Some(context.waker().clone());
        }
        has_room
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a piece takes in memory: events of some bytes each take more for being pieces than for what
/// they say.
fn held_length(frame: &Frame<Bytes>) -> u64 {
    length(frame) + size_of::<Frame<Bytes>>() as u64
}

/// Bytes of a piece.
pub fn length(frame: &Frame<Bytes>) -> u64 {
    frame.data_ref().map_or(0, |data| data.len() as u64)
}

fn read(shared: &Rc<Shared>, context: &mut Context<'_>) -> Poll<()> {
    loop {
        let has_room = match shared.ahead.borrow_mut().as_mut() {
            Some(ahead) => ahead.has_room(context),
            None => return Poll::Ready(()),
        };
        if !has_room {
            return Poll::Pending;
        }
        match std::task::ready!(shared.poll_relay(context)) {
            Some(Ok(frame)) => {
                if let Some(ahead) = shared.ahead.borrow_mut().as_mut() {
                    ahead.push(frame);
                }
            }
            Some(Err(error)) => {
                shared.note_broken(error);
                return Poll::Ready(());
            }
            None => return Poll::Ready(()),
        }
    }
}
