//! A relayed response whose caller's reading progress is monitored.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tinbay_core::memory::cuts::UnreadAnswer;
use tinbay_core::memory::ledger::Holder;
use tinbay_core::memory::reader::{CutCause, ReadTracker, Taken};
use tinbay_core::units::Millis;

use super::readahead::{ReadAhead, length};
use super::watch::{AnswerCut, AnswerTerms, AnswerWatch};
use crate::http::body::BodyError;
use crate::http::relay::Relay;

/// Result of polling a body: a frame, an error, or the end.
type NextFrame = Option<Result<Frame<Bytes>, BodyError>>;

/// Body of a monitored response; the server's connection is closed at once when it is dropped.
#[derive(Debug)]
pub struct WatchedAnswer {
    state: Rc<AnswerState>,
}

/// State of one response, shared by the body, the periodic check and the read-ahead task.
#[derive(Debug)]
pub struct AnswerState {
    relay: RefCell<Option<Box<Relay>>>,
    pub(super) ahead: RefCell<Option<ReadAhead>>,
    /// Why the relay ended early, if it did.
    error: Cell<Option<BodyError>>,
    taken_bytes: Cell<u64>,
    /// Whether the caller has taken everything and waits for more.
    is_waiting: Cell<bool>,
    tracker: Cell<ReadTracker>,
    terms: AnswerTerms,
    watch: Rc<AnswerWatch>,
}

impl WatchedAnswer {
    /// Monitors a response until it is complete or the caller disconnects.
    pub fn new(relay: Box<Relay>, terms: AnswerTerms, watch: &Rc<AnswerWatch>) -> Self {
        let state = Rc::new(AnswerState {
            relay: RefCell::new(Some(relay)),
            ahead: RefCell::default(),
            error: Cell::default(),
            taken_bytes: Cell::default(),
            is_waiting: Cell::default(),
            tracker: Cell::new(ReadTracker::begin(watch.now_ms())),
            terms,
            watch: Rc::clone(watch),
        });
        watch.register(&state);
        Self { state }
    }
}

impl Drop for WatchedAnswer {
    fn drop(&mut self) {
        self.state.close();
    }
}

impl Body for WatchedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<NextFrame> {
        self.state.poll_next(context)
    }

    fn is_end_stream(&self) -> bool {
        self.state.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        let relay = self.state.relay.borrow();
        let is_ahead = self.state.ahead.borrow().is_some();
        match relay.as_ref() {
            Some(relay) if !is_ahead => relay.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl AnswerState {
    fn poll_next(&self, context: &mut Context<'_>) -> Poll<NextFrame> {
        if let Some(frame) = self.pop_ahead() {
            return Poll::Ready(frame);
        }
        let polled = self.poll_relay(context);
        self.is_waiting.set(polled.is_pending());
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.record_taken(frame);
        }
        polled
    }

    /// Takes the next frame that was read ahead. Ends the read-ahead when the caller has caught up,
    /// so that the rest is relayed directly again.
    fn pop_ahead(&self) -> Option<NextFrame> {
        let mut ahead = self.ahead.borrow_mut();
        let Some(frame) = ahead.as_mut()?.pop() else {
            *ahead = None;
            return None;
        };
        self.record_taken(&frame);
        Some(Some(Ok(frame)))
    }

    fn record_taken(&self, frame: &Frame<Bytes>) {
        self.is_waiting.set(false);
        self.taken_bytes.set(self.taken_bytes.get() + length(frame));
    }

    /// Polls the server's connection for the next frame.
    pub(super) fn poll_relay(&self, context: &mut Context<'_>) -> Poll<NextFrame> {
        match self.relay.borrow_mut().as_mut() {
            Some(relay) => relay.poll_data(context),
            None => {
                let error = self.error.get().unwrap_or(BodyError::CallerBrokeOff);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_at_end(&self) -> bool {
        let ahead = self.ahead.borrow();
        ahead.as_ref().is_none_or(ReadAhead::is_empty) && self.is_whole()
    }

    /// Whether the server has sent the complete response.
    fn is_whole(&self) -> bool {
        let relay = self.relay.borrow();
        relay.as_ref().is_some_and(|relay| relay.is_at_end())
    }

    /// Updates the caller's reading progress; returns whether it is behind, overdue or still served
    /// from the read-ahead buffer.
    pub(super) fn update_progress(self: &Rc<Self>, now_ms: Millis) -> bool {
        let taken = Taken {
            bytes: self.taken_bytes.get(),
            waits: self.is_waiting.get(),
        };
        let mut tracker = self.tracker.get();
        tracker.look(taken, now_ms);
        self.tracker.set(tracker);
        let is_overdue = tracker.is_overdue(&self.terms.reader, now_ms);
        is_overdue || tracker.is_behind(now_ms) || self.ahead.borrow().is_some()
    }

    /// Starts the read-ahead task, unless it runs already or nothing is left to read.
    pub(super) fn read_ahead(self: &Rc<Self>) {
        if self.ahead.borrow().is_some() || self.is_at_end() {
            return;
        }
        let hold = self.watch.memory().hold(self.holder(), 0);
        let ahead = ReadAhead::begin(self, hold);
        *self.ahead.borrow_mut() = Some(ahead);
    }

    fn holder(&self) -> Holder {
        Holder {
            account: self.terms.request.account(),
            connection: self.terms.connection,
        }
    }

    /// Returns the reason for which the response must be cut now, if there is one.
    pub(super) fn cut_cause(&self, now_ms: Millis) -> Option<CutCause> {
        let is_whole = self.is_whole();
        self.tracker
            .get()
            .judge(&self.terms.reader, is_whole, now_ms)
    }

    /// Describes the unread part of the response, for the choice of those to cut when memory is
    /// short.
    pub(super) fn unread(&self, now_ms: Millis) -> UnreadAnswer {
        let tracker = self.tracker.get();
        UnreadAnswer {
            account: self.holder().account,
            held_bytes: self.held_bytes(),
            bytes_per_s: tracker.bytes_per_s(now_ms),
            unread_ms: tracker.unread_ms(now_ms),
        }
    }

    fn held_bytes(&self) -> u64 {
        let ahead = self.ahead.borrow();
        ahead.as_ref().map_or(0, ReadAhead::held_bytes)
    }

    /// Cuts the response: closes the server's connection, which stops generation, and the caller's.
    pub(super) fn cut(&self, cause: CutCause, now_ms: Millis) {
        let error = match cause {
            CutCause::Unread => BodyError::CallerDidNotRead,
            CutCause::TimeUp => BodyError::TimeUp,
            CutCause::Memory => BodyError::MemoryShort,
        };
        let is_whole = self.is_whole();
        self.report_cut(cause, is_whole, now_ms);
        let relay = self.relay.borrow_mut().take();
        if let Some(mut relay) = relay {
            relay.cut(error);
        }
        self.error.set(Some(error));
        self.close();
        self.terms.connection_end.set();
    }

    /// Records that the relay failed during read-ahead: the caller gets the buffered frames first
    /// and then the error.
    pub(super) fn record_failure(&self, error: BodyError) {
        self.error.set(Some(error));
        self.drop_relay();
    }

    fn report_cut(&self, cause: CutCause, is_whole: bool, now_ms: Millis) {
        let tracker = self.tracker.get();
        self.watch.report_cut(&AnswerCut {
            request: self.terms.request.id(),
            cause,
            is_whole,
            taken_bytes: self.taken_bytes.get(),
            held_bytes: self.held_bytes(),
            unread_ms: tracker.unread_ms(now_ms),
        });
    }

    /// Drops the buffered frames and the server's connection.
    fn close(&self) {
        let ahead = self.ahead.borrow_mut().take();
        drop(ahead);
        self.drop_relay();
    }

    fn drop_relay(&self) {
        let relay = self.relay.borrow_mut().take();
        drop(relay);
    }
}
