//! Buffers a response ahead of a slow caller.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::task::AbortHandle;

use super::answer::Shared;
use crate::http::buffers::UNREAD_BUFFER_BYTES;
use crate::memory::Reservation;

/// Read-ahead pauses when the buffer reaches this size; the last frame may exceed it.
const MAX_READ_AHEAD_BYTES: u64 = 262_144;

/// Frames read ahead of one caller and the task that reads them; dropping it aborts the task.
#[derive(Debug)]
pub struct ReadAhead {
    frames: VecDeque<Frame<Bytes>>,
    bytes: u64,
    hold: Reservation,
    room: Option<Waker>,
    task: AbortHandle,
}

impl ReadAhead {
    /// Starts the read-ahead task; `hold` accounts for the buffered memory.
    pub fn begin(shared: &Rc<Shared>, mut hold: Reservation) -> Self {
        hold.resize(UNREAD_BUFFER_BYTES);
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

    /// Memory accounted for the response, in bytes, including socket and HTTP buffers.
    pub fn held_bytes(&self) -> u64 {
        self.hold.bytes()
    }

    /// Takes the oldest buffered frame and wakes the task if it was waiting for room.
    pub fn pop(&mut self) -> Option<Frame<Bytes>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= held_length(&frame);
        self.count();
        if let Some(room) = self.room.take() {
            room.wake();
        }
        Some(frame)
    }

    /// Whether no frame is buffered.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    fn push(&mut self, frame: Frame<Bytes>) {
        self.bytes += held_length(&frame);
        self.frames.push_back(frame);
        self.count();
    }

    fn count(&mut self) {
        self.hold.resize(UNREAD_BUFFER_BYTES + self.bytes);
    }

    /// Whether the buffer has room; if not, registers the task to be woken when it has.
    fn has_room(&mut self, context: &Context<'_>) -> bool {
        let has_room = self.bytes < MAX_READ_AHEAD_BYTES;
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

/// Memory taken by a buffered frame. For events of a few bytes, the frame's own size exceeds that
/// of the data.
fn held_length(frame: &Frame<Bytes>) -> u64 {
    length(frame) + size_of::<Frame<Bytes>>() as u64
}

/// Length of a frame's data in bytes; 0 for trailers.
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
