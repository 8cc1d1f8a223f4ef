//! Connections whose bytes are counted, so that the other end cannot send without end what yields no
//! data: interim answers, a chunk size of zeros.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that the framing of one byte of data may take: the smallest chunk takes six.
const FRAMING_FACTOR: u64 = 8;

/// Bytes that may still be read from a connection.
#[derive(Debug)]
pub struct Meter {
    left: AtomicU64,
    /// Bytes that an answer may take before its first data.
    head: u64,
}

impl Meter {
    fn new(head: u64) -> Self {
        Self {
            left: AtomicU64::new(head),
            head,
        }
    }

    /// Begins with a new answer.
    fn restart(&self) {
        self.left.store(self.head, Ordering::Relaxed);
    }

    /// Records `len` bytes of data, whose framing may take more.
    pub fn received(&self, len: usize) {
        let more = (len as u64).saturating_mul(FRAMING_FACTOR);
        let add = |left: u64| Some(left.saturating_add(more));
        // The update is always applied.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes `len` bytes; returns `false` if fewer are left.
    fn take(&self, len: usize) -> bool {
        let take = |left: u64| left.checked_sub(len as u64);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }
}

/// Connection whose reads fail once its [`Meter`] is used up. Each write begins a new answer.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl MeteredStream {
    /// Meters a connection on which an answer may take `head` bytes before its first data.
    pub fn new(stream: TcpStream, head: u64) -> Self {
        let meter = Arc::new(Meter::new(head));
        Self { stream, meter }
    }

    /// Returns the meter.
    pub fn meter(&self) -> Arc<Meter> {
        Arc::clone(&self.meter)
    }
}

/// Returns `true` if a connection ended because its meter was used up.
pub fn is_used_up(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::FileTooLarge
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(match self.meter.take(buf.filled().len() - before) {
            true => Ok(()),
            false => Err(io::ErrorKind::FileTooLarge.into()),
        })
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.restart();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.restart();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
