//! A server's answer on its way to the caller, byte for byte.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;
use tokio::time::Sleep;

use super::body::BodyError;
use super::pool::{Connection, Pool};
use crate::clock::Clock;
use crate::handover::drive::Outcome;

/// Told how a relayed answer ended, nothing or why it was cut, and when its pieces came.
pub type EndObserver = Box<dyn FnOnce(Result<(), BodyError>, StreamTiming)>;

/// Tells its observer once, also when it is dropped: the caller left then.
pub struct EndNotice {
    observer: Option<EndObserver>,
    sight: StreamTiming,
}

impl EndNotice {
    /// A notice for `observer`.
    pub fn new(observer: EndObserver) -> Self {
        Self {
            observer: Some(observer),
            sight: StreamTiming::default(),
        }
    }

    /// Notes that a piece came from the server.
    pub fn note_piece(&mut self, now_ms: Millis) {
        self.sight.note_piece(now_ms);
    }

    /// Notes that the caller's side asks for the next piece.
    pub fn note_asked(&mut self, now_ms: Millis) {
        self.sight.note_asked(now_ms);
    }

    /// Tells the end.
    pub fn tell(&mut self, end: Result<(), BodyError>) {
        if let Some(observer) = self.observer.take() {
            observer(end, self.sight);
        }
    }
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        self.tell(Err(BodyError::CallerBrokeOff));
    }
}

impl std::fmt::Debug for EndNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EndNotice")
    }
}

/// The rest of an answer, from the server that goes on with its run.
#[derive(Debug)]
pub struct ContinuedAnswer {
    /// The events that are left.
    pub incoming: Incoming,
    /// Connection they come on.
    pub connection: Connection,
    /// Where the connection goes back to.
    pub pool: Rc<Pool>,
    /// Longest rest the server allows.
    pub rest: Option<Duration>,
    /// Whether the server keeps the connection.
    pub may_keep: bool,
}

/// What may take the place of the server whose answer is relayed.
pub trait Successor {
    /// Takes bytes from the server; those that may go on to the caller now.
    fn pass(&self, bytes: Bytes) -> Bytes;

    /// Works on the hand-over until it has ended.
    fn poll_outcome(&mut self, context: &mut Context<'_>) -> Poll<Outcome<ContinuedAnswer>>;

    /// Notes that the server's answer broke off; whether that is part of the hand-over.
    fn note_broken_off(&self) -> bool;

    /// Lets all pass from now on; what was held back until then.
    fn open(&self) -> Bytes;
}

/// A server's answer on its way to the caller.
pub struct Relay {
    incoming: Incoming,
    successor: Option<Box<dyn Successor>>,
    /// Whether the server has broken off as part of a hand-over.
    has_stopped: bool,
    connection: Option<Connection>,
    pool: Rc<Pool>,
    rest: Option<Duration>,
    may_keep: bool,
    time_up: Pin<Box<Sleep>>,
    is_done: bool,
    clock: Clock,
    end: EndNotice,
}

/// What a relay needs besides the bytes.
pub struct RelayTerms {
    /// Connection the answer comes on.
    pub connection: Connection,
    /// Where the connection goes back to.
    pub pool: Rc<Pool>,
    /// Longest rest the server allows.
    pub rest: Option<Duration>,
    /// Whether the server keeps the connection.
    pub may_keep: bool,
    /// When the request's time is up.
    pub time_up: Instant,
    /// What may go on in place of the server.
    pub successor: Option<Box<dyn Successor>>,
    /// The clock of the box.
    pub clock: Clock,
    /// Told how it ended.
    pub end: EndObserver,
}

impl Relay {
    /// Relays `incoming`.
    pub fn new(incoming: Incoming, terms: RelayTerms) -> Self {
        let is_empty = incoming.is_end_stream();
        let mut relay = Self {
            incoming,
            successor: terms.successor,
            has_stopped: false,
            connection: Some(terms.connection),
            pool: terms.pool,
            rest: terms.rest,
            may_keep: terms.may_keep,
            time_up: Box::pin(tokio::time::sleep_until(terms.time_up.into())),
            is_done: false,
            clock: terms.clock,
            end: EndNotice::new(terms.end),
        };
        if is_empty {
            relay.finish();
        }
        relay
    }

    /// The next bytes.
    pub fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        loop {
            // Also after bytes that are held back: the caller's side has not been given them.
            self.end.note_asked(self.clock.now_ms());
            if let Some(next) = self.poll_successor(context) {
                return Poll::Ready(Some(next));
            }
            if self.has_stopped {
                return self.poll_time_up(context);
            }
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(passed) = self.pass(frame) {
                        return Poll::Ready(Some(Ok(passed)));
                    }
                }
                Poll::Ready(Some(Err(_))) if self.is_handed_over() => self.has_stopped = true,
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(self.cut(BodyError::ServerBrokeOff))));
                }
                Poll::Ready(None) => {
                    let kept = self.release();
                    self.finish();
                    return Poll::Ready(kept.map(Ok));
                }
                Poll::Pending => return self.poll_time_up(context),
            }
        }
    }

    /// Takes what the hand-over came to, if it has ended: bytes that were held back, or a cut.
    fn poll_successor(
        &mut self,
        context: &mut Context<'_>,
    ) -> Option<Result<Frame<Bytes>, BodyError>> {
        let successor = self.successor.as_mut()?;
        let Poll::Ready(outcome) = successor.poll_outcome(context) else {
            return None;
        };
        match outcome {
            Outcome::Stays if self.has_stopped => Some(Err(self.cut(BodyError::ServerBrokeOff))),
            Outcome::Stays => self.release().map(Ok),
            Outcome::Lost => Some(Err(self.cut(BodyError::NotHandedOver))),
            Outcome::GoesOn { answer, .. } => {
                self.go_on(answer);
                None
            }
        }
    }

    /// Goes on with the answer of another server.
    fn go_on(&mut self, answer: ContinuedAnswer) {
        self.successor = None;
        self.has_stopped = false;
        self.incoming = answer.incoming;
        self.connection = Some(answer.connection);
        self.pool = answer.pool;
        self.rest = answer.rest;
        self.may_keep = answer.may_keep;
    }

    fn is_handed_over(&self) -> bool {
        let successor = self.successor.as_ref();
        successor.is_some_and(|successor| successor.note_broken_off())
    }

    /// Hands a frame on; none where all of it is held back.
    fn pass(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        self.end.note_piece(self.clock.now_ms());
        let is_end = self.incoming.is_end_stream();
        let Some(successor) = &self.successor else {
            return self.pass_on(frame, is_end);
        };
        let mut passed = match frame.into_data() {
            Ok(bytes) => successor.pass(bytes),
            Err(other) => return self.pass_on(other, is_end),
        };
        if is_end {
            passed = join(passed, successor.open());
        }
        if passed.is_empty() && !is_end {
            return None;
        }
        self.pass_on(Frame::data(passed), is_end)
    }

    fn pass_on(&mut self, frame: Frame<Bytes>, is_end: bool) -> Option<Frame<Bytes>> {
        if is_end {
            self.finish();
        }
        Some(frame)
    }

    /// Lets all pass from now on; what was held back.
    fn release(&mut self) -> Option<Frame<Bytes>> {
        let kept = self.successor.take()?.open();
        (!kept.is_empty()).then(|| Frame::data(kept))
    }

    fn poll_time_up(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.time_up.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.cut(BodyError::TimeUp))));
        }
        Poll::Pending
    }

    fn finish(&mut self) {
        self.is_done = true;
        if let Some(connection) = self.connection.take()
            && self.may_keep
        {
            self.pool.give_back(connection, self.rest);
        }
        self.end.tell(Ok(()));
    }

    /// Closes the server's connection and tells why the answer was cut.
    pub fn cut(&mut self, error: BodyError) -> BodyError {
        self.is_done = true;
        self.connection = None;
        self.end.tell(Err(error));
        error
    }

    /// Whether all bytes were handed on.
    pub fn is_at_end(&self) -> bool {
        self.is_done || (self.successor.is_none() && self.incoming.is_end_stream())
    }

    /// Bytes still to come, where the server told.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

fn join(first: Bytes, rest: Bytes) -> Bytes {
    if rest.is_empty() {
        return first;
    }
    let mut joined = BytesMut::with_capacity(first.len() + rest.len());
    joined.extend_from_slice(&first);
    joined.extend_from_slice(&rest);
    joined.freeze()
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay")
            .field("is_done", &self.is_done)
            .finish_non_exhaustive()
    }
}
