//! A server's answer on its way to the caller, byte for byte.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tinbay_core::serving::stream_sight::StreamSight;
use tinbay_core::units::Millis;
use tokio::time::Sleep;

use super::body::BodyError;
use super::pool::{Connection, Pool};
use crate::clock::Clock;

/// Told how a relayed answer ended, nothing or why it was cut, and when its pieces came.
pub type EndObserver = Box<dyn FnOnce(Result<(), BodyError>, StreamSight)>;

/// Tells its observer once, also when it is dropped: the caller left then.
pub struct EndNotice {
    observer: Option<EndObserver>,
    sight: StreamSight,
}

impl EndNotice {
    /// A notice for `observer`.
    pub fn new(observer: EndObserver) -> Self {
        Self {
            observer: Some(observer),
            sight: StreamSight::default(),
        }
    }

    /// Notes that a piece came from the server.
    pub fn note_piece(&mut self, now_ms: Millis) {
        self.sight.note_piece(now_ms);
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

/// A server's answer on its way to the caller.
#[derive(Debug)]
pub struct Relay {
    incoming: Incoming,
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
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.end.note_piece(self.clock.now_ms());
                if self.incoming.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                Poll::Ready(Some(Err(self.cut(BodyError::ServerBrokeOff))))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.time_up.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Some(Err(self.cut(BodyError::TimeUp))));
                }
                Poll::Pending
            }
        }
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
        self.is_done || self.incoming.is_end_stream()
    }

    /// Bytes still to come, where the server told.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
