//! Sends requests on a connection.

use std::error::Error;

use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};

use super::head_lines::HeadLines;

/// Sends one request at a time on a connection.
#[derive(Debug)]
pub struct Sender<B> {
    inner: SendRequest<B>,
    /// Checks the heads of the responses.
    head_lines: HeadLines,
}

impl<B> Sender<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Wraps the sending side of a connection whose received bytes `head_lines` checks.
    pub fn new(inner: SendRequest<B>, head_lines: HeadLines) -> Self {
        Self { inner, head_lines }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// When no response arrived; with the request if it was not sent.
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.head_lines.begin_head();
        self.inner.try_send_request(request).await
    }

    /// Waits until the connection is ready for another request.
    ///
    /// # Errors
    /// When the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.inner.ready().await
    }

    /// Whether the connection is ready for another request now.
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }
}
