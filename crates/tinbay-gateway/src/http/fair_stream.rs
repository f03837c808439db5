//! A connection that lets other tasks run between two large reads, and checks the line ends of heads.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::head_lines::HeadLines;

/// Bytes of a read after which more are probably waiting.
const LARGE_READ_BYTES: usize = 4_096;

/// A TCP stream whose reads yield after a large one, and fail at a line feed alone in a head.
///
/// The HTTP library reads and parses for as long as bytes have arrived. A peer that always has more
/// to send would otherwise hold up all other tasks, among them those that notice that it has sent
/// too much.
#[derive(Debug)]
pub struct FairStream {
    stream: TcpStream,
    is_yield_due: bool,
    head_lines: HeadLines,
}

impl FairStream {
    /// Wraps a connection; `head_lines` checks the bytes that are received.
    pub fn new(stream: TcpStream, head_lines: HeadLines) -> Self {
        Self {
            stream,
            is_yield_due: false,
            head_lines,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.is_yield_due) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = &buffer.filled()[filled_before..];
        self.is_yield_due = received.len() >= LARGE_READ_BYTES;
        if let Err(error) = self.head_lines.check(received) {
            buffer.set_filled(filled_before);
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, error)));
        }
        result
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
