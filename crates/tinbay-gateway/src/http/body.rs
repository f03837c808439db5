//! Request bodies sent to backend servers and response bodies sent to callers.

use std::cell::OnceCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tinbay_core::crashes::digest::{LongBodyHasher, RequestDigest};
use tinbay_core::unframed::EarlyClose;

use crate::http::pump::WatchedAnswer;
use crate::http::relay::Relay;
use crate::memory::Reservation;

/// Why a request or response body ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The server closed or reset its connection in the middle of the response.
    #[error("the server broke off")]
    ServerBrokeOff,
    /// The server closed its connection, which ends the response, before it was complete.
    #[error("the server closed its connection {0}")]
    ClosedEarly(EarlyClose),
    /// The caller closed its connection before the request or the response was complete.
    #[error("the caller broke off")]
    CallerBrokeOff,
    /// The request's deadline passed.
    #[error("the time of the request is up")]
    TimeUp,
    /// The caller stopped reading the response or read it too slowly.
    #[error("the caller did not read its answer")]
    CallerDidNotRead,
    /// The response was ended to free memory: the box is short of it and this caller reads slowly.
    #[error("the box is short of memory and the caller reads slowly")]
    MemoryShort,
    /// The request body exceeds the size limit.
    #[error("the body is too long")]
    TooLong,
    /// The server stopped generating for a handover, and no server resumed the stream.
    #[error("no server went on with a run that was handed over")]
    NotHandedOver,
}

impl BodyError {
    /// Name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyError::ServerBrokeOff => "server_broke_off",
            BodyError::ClosedEarly(early) => early.name(),
            BodyError::CallerBrokeOff => "caller_broke_off",
            BodyError::TimeUp => "time_up",
            BodyError::CallerDidNotRead => "caller_did_not_read",
            BodyError::MemoryShort => "memory_short",
            BodyError::TooLong => "too_long",
            BodyError::NotHandedOver => "not_handed_over",
        }
    }

    /// Whether the server ended the response early.
    pub fn is_by_server(self) -> bool {
        matches!(self, BodyError::ServerBrokeOff | BodyError::ClosedEarly(_))
    }
}

/// Computes the digest of a long body as its rest is sent.
#[derive(Debug)]
pub struct DigestObserver {
    /// Has seen the buffered start.
    pub hasher: LongBodyHasher,
    /// Set once the whole body has been sent.
    pub digest: Rc<OnceCell<RequestDigest>>,
}

/// The body of a caller's request: the buffered start, then the unread rest of the stream.
#[derive(Debug)]
pub struct RequestBody {
    first: Bytes,
    rest: Option<Incoming>,
    /// Sees `rest` as it is sent.
    observer: Option<DigestObserver>,
    /// Accounts for the memory of `first` until the last copy made for a retry is dropped.
    held: Option<Rc<Reservation>>,
}

impl RequestBody {
    /// A fully buffered body.
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            first: bytes,
            rest: None,
            observer: None,
            held: None,
        }
    }

    /// A body of which only the start has been read.
    pub fn streamed(first: Bytes, rest: Incoming) -> Self {
        Self {
            first,
            rest: Some(rest),
            observer: None,
            held: None,
        }
    }

    /// Has the rest of a long body observed as it is sent.
    pub fn observed_by(self, observer: DigestObserver) -> Self {
        Self {
            observer: Some(observer),
            ..self
        }
    }

    /// Whether only the start has been read.
    pub fn is_streamed(&self) -> bool {
        self.rest.is_some()
    }

    /// Reads the rest of a body of which only the start has been read. `held` accounts for all bytes.
    ///
    /// # Errors
    /// When the caller's connection failed, or the body is longer than `max_bytes`.
    pub async fn read_rest(
        self,
        max_bytes: usize,
        held: Option<&mut Reservation>,
    ) -> Result<Self, BodyError> {
        let Some(rest) = self.rest else {
            return Ok(self);
        };
        read(rest, vec![self.first], max_bytes, max_bytes, held).await
    }

    /// Accounts for the memory of the buffered bytes in `held` until the body is dropped.
    pub fn held_by(self, held: Option<Reservation>) -> Self {
        let held = held.map(|mut hold| {
            hold.resize(self.first.len() as u64);
            Rc::new(hold)
        });
        Self { held, ..self }
    }

    /// The known lower bound of the length, in bytes.
    pub fn known_bytes(&self) -> u64 {
        self.size_hint().lower()
    }

    /// The buffered bytes: the whole body, or the start of a long one.
    pub fn first(&self) -> &[u8] {
        &self.first
    }

    /// Has a frame of the rest, or its end, observed.
    fn observe(&mut self, frame: Option<&Frame<Bytes>>, is_at_end: bool) {
        let data = frame.and_then(Frame::data_ref);
        if let (Some(observer), Some(data)) = (&mut self.observer, data) {
            observer.hasher.update(data);
        }
        if (frame.is_none() || is_at_end)
            && let Some(observer) = self.observer.take()
        {
            let _ = observer.digest.set(observer.hasher.digest_of_whole());
        }
    }

    /// A copy of the body for a retry; `None` unless it is fully buffered.
    pub fn repeat(&self) -> Option<Self> {
        match self.rest {
            Some(_) => None,
            None => Some(Self {
                first: self.first.clone(),
                rest: None,
                observer: None,
                held: self.held.clone(),
            }),
        }
    }
}

/// Buffers a caller's body until it exceeds `max_buffered_bytes`; the rest of a longer one is
/// streamed. `held` accounts for the bytes read.
///
/// # Errors
/// When the caller's connection failed, or the body is longer than `max_bytes`.
pub async fn read_request_body(
    body: Incoming,
    max_buffered_bytes: usize,
    max_bytes: usize,
    held: Option<&mut Reservation>,
) -> Result<RequestBody, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    read(body, Vec::new(), max_buffered_bytes, max_bytes, held).await
}

/// Reads a body after its first pieces, until it exceeds `max_buffered_bytes`.
async fn read(
    mut body: Incoming,
    mut buffered: Vec<Bytes>,
    max_buffered_bytes: usize,
    max_bytes: usize,
    mut held: Option<&mut Reservation>,
) -> Result<RequestBody, BodyError> {
    let mut length = buffered.iter().map(Bytes::len).sum();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CallerBrokeOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        buffered.push(data);
        if let Some(held) = held.as_deref_mut() {
            held.grow_to(length as u64);
        }
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > max_buffered_bytes {
            return Ok(RequestBody::streamed(join(buffered, length), body));
        }
    }
    Ok(RequestBody::whole(join(buffered, length)))
}

fn join(mut parts: Vec<Bytes>, length: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    let mut joined = Vec::with_capacity(length);
    for part in parts {
        joined.extend_from_slice(&part);
    }
    Bytes::from(joined)
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let Poll::Ready(frame) = Pin::new(&mut *rest).poll_frame(context) else {
            return Poll::Pending;
        };
        let is_at_end = rest.is_end_stream();
        let frame = frame.transpose().map_err(|_| BodyError::CallerBrokeOff);
        if let Ok(frame) = &frame {
            self.observe(frame.as_ref(), is_at_end);
        }
        Poll::Ready(frame.transpose())
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(first);
        };
        let rest = rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(first + upper);
        }
        hint
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Fully buffered; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Streamed from a server as the bytes arrive.
    Relayed(Box<Relay>),
    /// Streamed from a server, with the caller's reading progress monitored.
    Watched(WatchedAnswer),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Relayed(relay) => relay.poll_data(context),
            AnswerBody::Watched(answer) => Pin::new(answer).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Relayed(relay) => relay.is_at_end(),
            AnswerBody::Watched(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Relayed(relay) => relay.size_hint(),
            AnswerBody::Watched(answer) => answer.size_hint(),
        }
    }
}
