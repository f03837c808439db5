//! Relays a server's response body to the caller unchanged, also across a handover to another
//! server.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tinbay_core::handover::events::EventScanner;
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::unframed::{ClosedBody, EarlyClose, ReceivedEvents};
use tinbay_core::units::Millis;
use tokio::time::Sleep;

use super::body::BodyError;
use super::framing::{BodyEnd, BodyFormat, BodyFraming};
use super::pool::{Connection, Pool};
use crate::clock::Clock;
use crate::handover::drive::{LocalFuture, Outcome};

/// How a relayed response ended.
#[derive(Debug, Clone, Copy)]
pub struct RelayEnd {
    /// How the body ended, or why it was cut.
    pub result: Result<BodyEnd, BodyError>,
    /// How the end of the body was to be marked.
    pub framing: BodyFraming,
    /// Bytes received of an event that is not complete; counted only for streams that end with
    /// their connection.
    pub partial_event_bytes: u64,
    /// Arrival times of the frames.
    pub timing: StreamTiming,
}

impl RelayEnd {
    /// Name of the end, for metrics.
    pub fn name(&self) -> &'static str {
        match self.result {
            Ok(end) => end.name(),
            Err(error) => error.name(),
        }
    }
}

/// Called once when a relayed response ends.
pub type EndObserver = Box<dyn FnOnce(RelayEnd)>;

/// Called once when the frames of a response have arrived for some time.
pub struct ProgressObserver {
    /// Time from the first frame.
    pub after_ms: Millis,
    /// Called with the first frame after that.
    pub observer: Box<dyn FnOnce()>,
}

/// Calls its observer exactly once. A drop before the end counts as the caller's disconnect.
pub struct EndNotice {
    observer: Option<EndObserver>,
    timing: StreamTiming,
    framing: BodyFraming,
    /// Scans the events of a stream that ends with its connection.
    events: Option<EventScanner>,
}

impl EndNotice {
    /// Wraps `observer`, to be called at the end of a response of this format.
    pub fn new(observer: EndObserver, format: BodyFormat) -> Self {
        let mut notice = Self {
            observer: Some(observer),
            timing: StreamTiming::default(),
            framing: format.framing,
            events: None,
        };
        notice.begin_part(format);
        notice
    }

    /// Continues with the body of a response.
    fn begin_part(&mut self, format: BodyFormat) {
        self.framing = format.framing;
        let is_scanned = format.framing == BodyFraming::UntilClose && format.is_event_stream;
        self.events = is_scanned.then(EventScanner::default);
    }

    /// Records the bytes of a frame.
    pub fn record_bytes(&mut self, bytes: &[u8]) {
        if let Some(events) = &mut self.events {
            events.scan(bytes);
        }
    }

    /// Records that a frame arrived from the server.
    pub fn record_frame(&mut self, now_ms: Millis) {
        self.timing.record_piece(now_ms);
    }

    /// Records that the caller's side polled for the next frame.
    pub fn record_poll(&mut self, now_ms: Millis) {
        self.timing.record_read_start(now_ms);
    }

    /// The events received of the present response; `None` if they are not scanned.
    fn received_events(&self) -> Option<ReceivedEvents> {
        self.events.as_ref().map(|events| ReceivedEvents {
            complete: events.events(),
            partial_bytes: events.partial_bytes(),
        })
    }

    /// Calls the observer, unless it has been called already.
    pub fn notify(&mut self, result: Result<BodyEnd, BodyError>) {
        if let Some(observer) = self.observer.take() {
            let events = self.events.as_ref();
            observer(RelayEnd {
                result,
                framing: self.framing,
                partial_event_bytes: events.map_or(0, EventScanner::partial_bytes),
                timing: self.timing,
            });
        }
    }
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        self.notify(Err(BodyError::CallerBrokeOff));
    }
}

impl std::fmt::Debug for EndNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EndNotice")
    }
}

/// The rest of a response, from the server that continues generating after a handover.
#[derive(Debug)]
pub struct ContinuedAnswer {
    /// Response body with the remaining events.
    pub incoming: Incoming,
    /// Format of that body.
    pub format: BodyFormat,
    /// Connection to the continuing server.
    pub connection: Connection,
    /// Pool that the connection returns to.
    pub pool: Rc<Pool>,
    /// Idle time limit of the connection, if the server stated one.
    pub idle_limit: Option<Duration>,
    /// Whether the connection may be reused after the response.
    pub may_reuse: bool,
}

/// Handover of a relayed response to another server, driven by polls of the relay.
pub trait RelayHandover {
    /// Takes bytes from the server and returns those that may be sent to the caller now.
    fn pass(&self, bytes: Bytes) -> Bytes;

    /// Drives the handover; ready with its outcome.
    fn poll_outcome(&mut self, context: &mut Context<'_>) -> Poll<Outcome<ContinuedAnswer>>;

    /// Records that the server's response ended early; returns whether the handover caused that.
    fn record_cut_off(&self) -> bool;

    /// Whether nothing more of the response may be read for now, as another server is being asked to
    /// resume or too much is held back.
    fn is_reading_paused(&self) -> bool;

    /// Stops holding bytes back and returns those held so far.
    fn open(&self) -> Bytes;
}

/// Finds out whether a response whose end is not marked is complete.
pub trait CloseJudge {
    /// Judges a body whose connection the server has closed.
    ///
    /// # Errors
    /// The reason why the body is not complete.
    fn judge(&self, body: ClosedBody) -> LocalFuture<'static, Result<(), EarlyClose>>;
}

/// A server's response body being relayed to the caller.
pub struct Relay {
    incoming: Incoming,
    handover: Option<Box<dyn RelayHandover>>,
    /// How the server ended its response, if the handover may have caused that.
    source_end: Option<SourceEnd>,
    /// Whether the server was asked to stop and did not answer.
    may_be_stopped: bool,
    close_judge: Option<Box<dyn CloseJudge>>,
    /// Check of a response that has ended with its connection.
    judging: Option<LocalFuture<'static, Result<(), EarlyClose>>>,
    /// Bytes held back at the end of such a response, such as a comment after the last event.
    last_frame: Option<Frame<Bytes>>,
    connection: Option<Connection>,
    pool: Rc<Pool>,
    idle_limit: Option<Duration>,
    may_reuse: bool,
    deadline: Pin<Box<Sleep>>,
    is_done: bool,
    clock: Clock,
    progress: Option<ProgressObserver>,
    end: EndNotice,
}

/// How the source of a handover ended its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceEnd {
    /// Before the marked end, or with an error.
    Cut,
    /// By closing the connection of a response whose end is not marked.
    Closed,
}

/// Settings of a relay and the connection that it uses.
pub struct RelayTerms {
    /// Format of the response body.
    pub format: BodyFormat,
    /// Judges a response whose end is not marked; without it such a response is never complete.
    pub close_judge: Option<Box<dyn CloseJudge>>,
    /// Connection that carries the response.
    pub connection: Connection,
    /// Pool that the connection returns to.
    pub pool: Rc<Pool>,
    /// Idle time limit of the connection, if the server stated one.
    pub idle_limit: Option<Duration>,
    /// Whether the connection may be reused after the response.
    pub may_reuse: bool,
    /// Deadline of the request; the response is cut then.
    pub deadline: Instant,
    /// Handover to another server, if the request can be handed over.
    pub handover: Option<Box<dyn RelayHandover>>,
    /// Clock for the arrival times of frames.
    pub clock: Clock,
    /// Called once when the response has made progress.
    pub progress: Option<ProgressObserver>,
    /// Called once when the response ends.
    pub end: EndObserver,
}

impl Relay {
    /// Starts to relay `incoming`; an empty body ends at once.
    pub fn new(incoming: Incoming, terms: RelayTerms) -> Self {
        let is_empty = incoming.is_end_stream();
        let mut relay = Self {
            incoming,
            handover: terms.handover,
            source_end: None,
            may_be_stopped: false,
            close_judge: terms.close_judge,
            judging: None,
            last_frame: None,
            connection: Some(terms.connection),
            pool: terms.pool,
            idle_limit: terms.idle_limit,
            may_reuse: terms.may_reuse,
            deadline: Box::pin(tokio::time::sleep_until(terms.deadline.into())),
            is_done: false,
            clock: terms.clock,
            progress: terms.progress,
            end: EndNotice::new(terms.end, terms.format),
        };
        if is_empty {
            relay.finish(BodyEnd::Marked);
        }
        relay
    }

    /// Polls for the next frame for the caller.
    pub fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        loop {
            // Recorded also when the previous frame was held back, as the caller's side is still
            // waiting for one.
            self.end.record_poll(self.clock.now_ms());
            if let Some(next) = self.poll_handover(context) {
                return Poll::Ready(Some(next));
            }
            if self.judging.is_some() {
                return self.poll_judgement(context);
            }
            if self.source_end.is_some() || self.is_reading_paused() {
                return self.poll_deadline(context);
            }
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(passed) = self.pass(frame) {
                        return Poll::Ready(Some(Ok(passed)));
                    }
                }
                Poll::Ready(Some(Err(_))) if self.record_end_by_handover() => {
                    self.source_end = Some(SourceEnd::Cut);
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(self.cut(BodyError::ServerBrokeOff))));
                }
                Poll::Ready(None) if self.end.framing == BodyFraming::UntilClose => {
                    if self.record_end_by_handover() {
                        self.source_end = Some(SourceEnd::Closed);
                    } else {
                        self.begin_judgement();
                    }
                }
                Poll::Ready(None) => {
                    let held = self.release();
                    self.finish(BodyEnd::Marked);
                    return Poll::Ready(held.map(Ok));
                }
                Poll::Pending => return self.poll_deadline(context),
            }
        }
    }

    /// Applies the outcome of the handover once it has ended: returns held-back bytes or an error,
    /// or switches to the continuing server.
    fn poll_handover(
        &mut self,
        context: &mut Context<'_>,
    ) -> Option<Result<Frame<Bytes>, BodyError>> {
        let handover = self.handover.as_mut()?;
        let Poll::Ready(outcome) = handover.poll_outcome(context) else {
            return None;
        };
        match outcome {
            Outcome::Stayed | Outcome::Unanswered if self.source_end == Some(SourceEnd::Cut) => {
                Some(Err(self.cut(BodyError::ServerBrokeOff)))
            }
            Outcome::Stayed => self.stay(),
            Outcome::Unanswered => {
                self.may_be_stopped = true;
                self.stay()
            }
            Outcome::Lost => Some(Err(self.cut(BodyError::NotHandedOver))),
            Outcome::Continued { answer, .. } => {
                self.continue_with(answer);
                None
            }
        }
    }

    /// Goes on with the response of the source: returns the bytes held back, or has the end of the
    /// response judged.
    fn stay(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.source_end.is_some() {
            self.begin_judgement();
            return None;
        }
        self.release().map(Ok)
    }

    /// Begins to judge a response that has ended with its connection. Bytes that are still held back
    /// go to the caller only if it is complete.
    fn begin_judgement(&mut self) {
        self.last_frame = self.release();
        self.connection = None;
        let body = ClosedBody {
            events: self.end.received_events(),
            may_be_stopped: self.may_be_stopped,
        };
        let judging: LocalFuture<'static, _> = match &self.close_judge {
            Some(judge) => judge.judge(body),
            None => Box::pin(std::future::ready(Err(EarlyClose::NotMarked))),
        };
        self.judging = Some(judging);
    }

    fn poll_judgement(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(judging) = &mut self.judging else {
            return Poll::Ready(None);
        };
        match judging.as_mut().poll(context) {
            Poll::Pending => self.poll_deadline(context),
            Poll::Ready(Ok(())) => {
                self.finish(BodyEnd::Closed);
                Poll::Ready(self.last_frame.take().map(Ok))
            }
            Poll::Ready(Err(early)) => {
                let error = self.cut(BodyError::ClosedEarly(early));
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    /// Continues with the response of another server.
    fn continue_with(&mut self, answer: ContinuedAnswer) {
        self.handover = None;
        self.source_end = None;
        self.incoming = answer.incoming;
        self.end.begin_part(answer.format);
        self.connection = Some(answer.connection);
        self.pool = answer.pool;
        self.idle_limit = answer.idle_limit;
        self.may_reuse = answer.may_reuse;
    }

    /// Records that the server's response ended; returns whether the handover may have caused that.
    fn record_end_by_handover(&self) -> bool {
        let handover = self.handover.as_ref();
        handover.is_some_and(|handover| handover.record_cut_off())
    }

    fn is_reading_paused(&self) -> bool {
        let handover = self.handover.as_ref();
        handover.is_some_and(|handover| handover.is_reading_paused())
    }

    /// Returns the part of a frame that goes to the caller; `None` if all of it is held back.
    fn pass(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let now_ms = self.clock.now_ms();
        self.end.record_frame(now_ms);
        self.pool.record_heard();
        let is_due = |progress: &mut ProgressObserver| {
            let first_ms = self.end.timing.first_ms();
            first_ms.is_some_and(|first_ms| now_ms >= first_ms + progress.after_ms)
        };
        if let Some(progress) = self.progress.take_if(is_due) {
            (progress.observer)();
        }
        if let Some(bytes) = frame.data_ref() {
            self.end.record_bytes(bytes);
        }
        let is_end = self.incoming.is_end_stream();
        let Some(handover) = &self.handover else {
            return self.pass_on(frame, is_end);
        };
        let mut passed = match frame.into_data() {
            Ok(bytes) => handover.pass(bytes),
            Err(other) => return self.pass_on(other, is_end),
        };
        if is_end {
            passed = join(passed, handover.open());
        }
        if passed.is_empty() && !is_end {
            return None;
        }
        self.pass_on(Frame::data(passed), is_end)
    }

    fn pass_on(&mut self, frame: Frame<Bytes>, is_end: bool) -> Option<Frame<Bytes>> {
        if is_end {
            self.finish(BodyEnd::Marked);
        }
        Some(frame)
    }

    /// Stops holding bytes back, and returns those held so far, if any.
    fn release(&mut self) -> Option<Frame<Bytes>> {
        let held = self.handover.take()?.open();
        (!held.is_empty()).then(|| Frame::data(held))
    }

    fn poll_deadline(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.cut(BodyError::TimeUp))));
        }
        Poll::Pending
    }

    fn finish(&mut self, end: BodyEnd) {
        self.is_done = true;
        if let Some(connection) = self.connection.take()
            && self.may_reuse
        {
            self.pool.give_back(connection, self.idle_limit);
        }
        self.end.notify(Ok(end));
    }

    /// Ends the response early: closes the server's connection and reports `error` to the observer.
    pub fn cut(&mut self, error: BodyError) -> BodyError {
        self.is_done = true;
        self.connection = None;
        self.end.notify(Err(error));
        error
    }

    /// Whether no frame is left to relay.
    pub fn is_at_end(&self) -> bool {
        self.is_done || (self.handover.is_none() && self.incoming.is_end_stream())
    }

    /// Remaining length, as far as the server stated it.
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
