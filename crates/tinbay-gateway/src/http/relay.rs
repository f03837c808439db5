//! A server's answer on its way to the caller, byte for byte.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use super::body::BodyError;
use super::pool::{Connection, Pool};

/// Told how a relayed answer ended: nothing, or why it was cut.
pub type EndObserver = Box<dyn FnOnce(Result<(), BodyError>)>;

/// Tells its observer once, also when it is dropped: the caller left then.
pub struct EndNotice(Option<EndObserver>);

impl EndNotice {
    /// A notice for `observer`.
    pub fn new(observer: EndObserver) -> Self {
        Self(Some(observer))
    }

    /// Tells the end.
    pub fn tell(&mut self, end: Result<(), BodyError>) {
        if let Some(observer) = self.0.take() {
            observer(end);
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

    fn cut(&mut self, error: BodyError) -> BodyError {
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
