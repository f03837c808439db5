//! One answer on its way to a caller who may not keep up.

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

type Piece = Option<Result<Frame<Bytes>, BodyError>>;

/// The body of an answer that is watched; dropped, its server's connection is closed at once.
#[derive(Debug)]
pub struct WatchedAnswer {
    shared: Rc<Shared>,
}

/// What the caller's side, the look over all answers and the reading ahead share of one answer.
#[derive(Debug)]
pub struct Shared {
    relay: RefCell<Option<Box<Relay>>>,
    pub(super) ahead: RefCell<Option<ReadAhead>>,
    broken: Cell<Option<BodyError>>,
    taken_bytes: Cell<u64>,
    waits: Cell<bool>,
    sight: Cell<ReadTracker>,
    terms: AnswerTerms,
    watch: Rc<AnswerWatch>,
}

impl WatchedAnswer {
    /// Watches an answer until its caller has it or leaves.
    pub fn new(relay: Box<Relay>, terms: AnswerTerms, watch: &Rc<AnswerWatch>) -> Self {
        let shared = Rc::new(Shared {
            relay: RefCell::new(Some(relay)),
            ahead: RefCell::default(),
            broken: Cell::default(),
            taken_bytes: Cell::default(),
            waits: Cell::default(),
            sight: Cell::new(ReadTracker::begin(watch.now_ms())),
            terms,
            watch: Rc::clone(watch),
        });
        watch.enter(&shared);
        Self { shared }
    }
}

impl Drop for WatchedAnswer {
    fn drop(&mut self) {
        self.shared.close();
    }
}

impl Body for WatchedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Piece> {
        self.shared.poll_piece(context)
    }

    fn is_end_stream(&self) -> bool {
        self.shared.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        let relay = self.shared.relay.borrow();
        let is_ahead = self.shared.ahead.borrow().is_some();
        match relay.as_ref() {
            Some(relay) if !is_ahead => relay.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl Shared {
    fn poll_piece(&self, context: &mut Context<'_>) -> Poll<Piece> {
        if let Some(piece) = self.take_ahead() {
            return Poll::Ready(piece);
        }
        let polled = self.poll_relay(context);
        self.waits.set(polled.is_pending());
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.note_taken(frame);
        }
        polled
    }

    /// The next piece that was read ahead; a caller who has caught up gets the rest straight from its
    /// server again.
    fn take_ahead(&self) -> Option<Piece> {
        let mut ahead = self.ahead.borrow_mut();
        let Some(frame) = ahead.as_mut()?.pop() else {
            *ahead = None;
            return None;
        };
        self.note_taken(&frame);
        Some(Some(Ok(frame)))
    }

    fn note_taken(&self, frame: &Frame<Bytes>) {
        self.waits.set(false);
        self.taken_bytes.set(self.taken_bytes.get() + length(frame));
    }

    /// The next piece from the server.
    pub(super) fn poll_relay(&self, context: &mut Context<'_>) -> Poll<Piece> {
        match self.relay.borrow_mut().as_mut() {
            Some(relay) => relay.poll_data(context),
            None => {
                let error = self.broken.get().unwrap_or(BodyError::CallerBrokeOff);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_at_end(&self) -> bool {
        let ahead = self.ahead.borrow();
        ahead.as_ref().is_none_or(ReadAhead::is_empty) && self.is_whole()
    }

    /// Whether the server has sent all of it.
    fn is_whole(&self) -> bool {
        let relay = self.relay.borrow();
        relay.as_ref().is_some_and(|relay| relay.is_at_end())
    }

    /// Looks how far the caller has come; whether it does not keep up, has yet to catch up or is far too
    /// late.
    pub(super) fn look(self: &Rc<Self>, now_ms: Millis) -> bool {
        let taken = Taken {
            bytes: self.taken_bytes.get(),
            waits: self.waits.get(),
        };
        let mut sight = self.sight.get();
        sight.look(taken, now_ms);
        self.sight.set(sight);
        let is_overdue = sight.is_overdue(&self.terms.reader, now_ms);
        is_overdue || sight.is_behind(now_ms) || self.ahead.borrow().is_some()
    }

    /// Reads on ahead of the caller.
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
            account: self.terms.asker.account(),
            connection: self.terms.connection,
        }
    }

    /// Why it has to be cut, if it has.
    pub(super) fn judge(&self, now_ms: Millis) -> Option<CutCause> {
        let is_whole = self.is_whole();
        self.sight.get().judge(&self.terms.reader, is_whole, now_ms)
    }

    /// How it stands among answers that are not read.
    pub(super) fn unread(&self, now_ms: Millis) -> UnreadAnswer {
        let sight = self.sight.get();
        UnreadAnswer {
            account: self.holder().account,
            held_bytes: self.held_bytes(),
            bytes_per_s: sight.bytes_per_s(now_ms),
            unread_ms: sight.unread_ms(now_ms),
        }
    }

    fn held_bytes(&self) -> u64 {
        let ahead = self.ahead.borrow();
        ahead.as_ref().map_or(0, ReadAhead::held_bytes)
    }

    /// Cuts it: its run is stopped, and its caller's connection ends.
    pub(super) fn cut(&self, cause: CutCause, now_ms: Millis) {
        let error = match cause {
            CutCause::Unread => BodyError::CallerDidNotRead,
            CutCause::TimeUp => BodyError::TimeUp,
            CutCause::Memory => BodyError::MemoryShort,
        };
        let is_whole = self.is_whole();
        self.tell(cause, is_whole, now_ms);
        let relay = self.relay.borrow_mut().take();
        if let Some(mut relay) = relay {
            relay.cut(error);
        }
        self.broken.set(Some(error));
        self.close();
        self.terms.connection_end.set();
    }

    /// Notes that the server's side broke off while it was read ahead: the caller gets what came until
    /// then, and then the error.
    pub(super) fn note_broken(&self, error: BodyError) {
        self.broken.set(Some(error));
        self.drop_relay();
    }

    fn tell(&self, cause: CutCause, is_whole: bool, now_ms: Millis) {
        let sight = self.sight.get();
        self.watch.note_cut(&AnswerCut {
            request: self.terms.asker.id(),
            cause,
            is_whole,
            taken_bytes: self.taken_bytes.get(),
            held_bytes: self.held_bytes(),
            unread_ms: sight.unread_ms(now_ms),
        });
    }

    /// Drops what is held, and the server's connection.
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
