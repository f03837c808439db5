//! Buffers a response ahead of a slow caller.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::task::AbortHandle;

use super::answer::AnswerState;
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
    /// Wakes the task when the buffer has space again.
    space_waker: Option<Waker>,
    task: AbortHandle,
}

impl ReadAhead {
    /// Starts the read-ahead task; `hold` accounts for the buffered memory.
    pub fn begin(state: &Rc<AnswerState>, mut hold: Reservation) -> Self {
        hold.resize(UNREAD_BUFFER_BYTES);
        let state = Rc::clone(state);
        let task = tokio::task::spawn_local(poll_fn(move |context| read(&state, context)));
        Self {
            frames: VecDeque::new(),
            bytes: 0,
            hold,
            space_waker: None,
            task: task.abort_handle(),
        }
    }

    /// Memory accounted for the response, in bytes, including socket and HTTP buffers.
    pub fn held_bytes(&self) -> u64 {
        self.hold.bytes()
    }

    /// Takes the oldest buffered frame and wakes the task if it was waiting for space.
    pub fn pop(&mut self) -> Option<Frame<Bytes>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= held_length(&frame);
        self.resize_hold();
        if let Some(waker) = self.space_waker.take() {
            waker.wake();
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
        self.resize_hold();
    }

    fn resize_hold(&mut self) {
        self.hold.resize(UNREAD_BUFFER_BYTES + self.bytes);
    }

    /// Whether the buffer has space; if not, registers the task to be woken when it has.
    fn has_space(&mut self, context: &Context<'_>) -> bool {
        let has_space = self.bytes < MAX_READ_AHEAD_BYTES;
        if !has_space {
            self.space_waker = Some(context.waker().clone());
        }
        has_space
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

/// Reads frames into the buffer until it is full or the response ends.
fn read(state: &Rc<AnswerState>, context: &mut Context<'_>) -> Poll<()> {
    loop {
        let has_space = match state.ahead.borrow_mut().as_mut() {
            Some(ahead) => ahead.has_space(context),
            None => return Poll::Ready(()),
        };
        if !has_space {
            return Poll::Pending;
        }
        match std::task::ready!(state.poll_relay(context)) {
            Some(Ok(frame)) => {
                if let Some(ahead) = state.ahead.borrow_mut().as_mut() {
                    ahead.push(frame);
                }
            }
            Some(Err(error)) => {
                state.record_failure(error);
                return Poll::Ready(());
            }
            None => return Poll::Ready(()),
        }
    }
}
