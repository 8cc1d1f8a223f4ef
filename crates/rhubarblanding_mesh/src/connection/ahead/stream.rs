//! Socket of a client connection, as the HTTP library sees it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Ahead;
use super::input::Step;

/// Socket that gives the library one request at a time. While one is answered, the library's reads,
/// by which it detects a disconnect, collect what the client sends ahead.
pub(super) struct AheadStream {
    pub(super) tcp: TcpStream,
    pub(super) ahead: Arc<Ahead>,
}

impl AsyncRead for AheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            match this.ahead.with_input(|input| input.give(out)) {
                Step::Return => return Poll::Ready(Ok(())),
                Step::Wait => return Poll::Pending,
                Step::Read => {}
            }
            let kept = out.filled().len();
            ready!(Pin::new(&mut this.tcp).poll_read(cx, out))?;
            let step = this.ahead.with_input(|input| match out.filled().len() {
                len if len == kept => input.ended(),
                _ => input.received(out, kept, Instant::now()),
            });
            if step == Step::Return {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for AheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().tcp).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
