//! Bytes of a connection that the HTTP library has not read yet, without I/O.
//!
//! The library gets the bytes of one request at a time: whatever else it took could not be seen any
//! more before the request's answer was written. What follows is kept here, with its time of
//! arrival.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::{Buf, BytesMut};
use http::Request;
use tokio::io::ReadBuf;

use super::head::{Framing, Parsed, parse, plain_request};

/// Maximum number of recorded arrival times. Later bytes count as arrived with the last recorded
/// ones.
const ARRIVALS_MAX: usize = 64;

/// Position in the connection's bytes.
#[derive(Clone, Copy, Debug)]
enum Position {
    /// At the start of a head.
    Head,
    /// In a request of which this number of bytes follows.
    Request(u64),
    /// Unknown from here on: every byte is given to the library.
    Unknown,
}

/// Request whose head the library was given last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Given {
    /// Time at which its first byte arrived; `None` if it was given as soon as it arrived.
    pub(super) arrived: Option<Instant>,
    /// `true` if it was returned by [`Input::next_ahead`] before.
    pub(super) is_started: bool,
    /// `true` if its extent is ambiguous.
    pub(super) is_conflicting: bool,
}

/// What a reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Returns the bytes that were given.
    Return,
    /// Reads from the socket.
    Read,
    /// Waits for the end of the answer.
    Wait,
}

/// Bytes that the HTTP library has not read yet.
#[derive(Debug)]
pub(super) struct Input {
    buf: BytesMut,
    /// Position of the first byte of `buf` in the connection.
    offset: u64,
    /// Position of the first byte of a read, and its time.
    arrivals: VecDeque<(u64, Instant)>,
    position: Position,
    /// `true` from the start of a request until its answer is written.
    is_answering: bool,
    /// `true` if the body of that request was read whole, or it has none.
    is_body_read: bool,
    /// Bytes at the start of `buf` whose requests were returned by [`Self::next_ahead`].
    started: usize,
    /// `true` if bytes arrived, or were given, since the last search for a request.
    is_changed: bool,
    given: Option<Given>,
    /// Maximum size of a head, in bytes; the library refuses larger ones.
    head_limit: usize,
    /// Size from which no more bytes are read.
    limit: usize,
}

impl Input {
    /// Creates an input that holds about `limit` bytes, for heads of at most `head_limit` bytes.
    pub(super) fn new(head_limit: usize, limit: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            offset: 0,
            arrivals: VecDeque::new(),
            position: Position::Head,
            is_answering: false,
            is_body_read: false,
            started: 0,
            is_changed: false,
            given: None,
            head_limit,
            limit,
        }
    }

    /// Returns `true` if no bytes are held.
    pub(super) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes the request whose head was given last.
    pub(super) fn take_given(&mut self) -> Given {
        self.given.take().unwrap_or_default()
    }

    /// Records that the body of the request being answered was read.
    pub(super) fn body_read(&mut self) {
        self.is_body_read = true;
    }

    /// Records that the answer was written.
    pub(super) fn answered(&mut self) {
        self.is_answering = false;
    }

    /// Gives every further byte to the library and starts no further request.
    pub(super) fn lose_position(&mut self) {
        self.position = Position::Unknown;
        self.started = 0;
    }

    /// Gives held bytes to the library if it may have them.
    pub(super) fn give(&mut self, out: &mut ReadBuf<'_>) -> Step {
        if matches!(self.position, Position::Head) {
            if self.is_answering {
                return match self.buf.len() < self.limit {
                    true => Step::Read,
                    false => Step::Wait,
                };
            }
            if self.buf.is_empty() || !self.begin_held() {
                return Step::Read;
            }
        }
        if self.buf.is_empty() {
            return Step::Read;
        }
        let mut n = self.buf.len().min(out.remaining());
        if let Position::Request(left) = self.position {
            n = n.min(usize::try_from(left).unwrap_or(usize::MAX));
        }
        out.put_slice(&self.buf[..n]);
        self.advance(n);
        self.passed(n);
        Step::Return
    }

    /// Handles the bytes of `out` after the first `kept` ones, which were just read. Those that the
    /// library may not have yet are moved out of it.
    pub(super) fn received(&mut self, out: &mut ReadBuf<'_>, kept: usize, now: Instant) -> Step {
        let is_first = matches!(self.position, Position::Head) && self.buf.is_empty();
        if is_first && !self.is_answering {
            match parse(&out.filled()[kept..]) {
                Parsed::Head(len, framing) => self.begin(len, framing, None),
                Parsed::Partial if out.filled().len() - kept < self.head_limit => {}
                Parsed::Partial | Parsed::Invalid => self.lose_position(),
            }
        }
        let n = out.filled().len() - kept;
        let passed = match self.position {
            Position::Head => 0,
            Position::Request(left) => n.min(usize::try_from(left).unwrap_or(usize::MAX)),
            Position::Unknown => n,
        };
        self.hold(&out.filled()[kept + passed..], now);
        out.set_filled(kept + passed);
        self.passed(passed);
        match passed {
            0 => Step::Read,
            _ => Step::Return,
        }
    }

    /// Handles the end of the connection; `Return` means that the library sees it at once.
    pub(super) fn ended(&mut self) -> Step {
        let is_cut = matches!(self.position, Position::Head) && !self.is_answering;
        if is_cut && !self.buf.is_empty() {
            self.lose_position();
            return Step::Read;
        }
        Step::Return
    }

    /// Returns the next request that may be started ahead of its turn, and when it arrived.
    pub(super) fn next_ahead(&mut self) -> Option<(Request<()>, Instant)> {
        let may_start = self.is_answering
            && self.is_body_read
            && self.is_changed
            && matches!(self.position, Position::Head);
        if !may_start || self.buf.len() <= self.started {
            return None;
        }
        let found = plain_request(&self.buf[self.started..]);
        // The library refuses larger heads.
        let Some((len, req)) = found.filter(|(len, _)| *len < self.head_limit) else {
            self.is_changed = false;
            return None;
        };
        let arrived = self.arrival(self.started)?;
        self.started += len;
        Some((req, arrived))
    }

    /// Begins the request at the start of `buf`; returns `false` if its head is not complete.
    fn begin_held(&mut self) -> bool {
        match parse(&self.buf) {
            Parsed::Head(len, framing) => {
                let arrived = self.arrival(0);
                self.begin(len, framing, arrived);
                true
            }
            Parsed::Partial if self.buf.len() < self.head_limit => false,
            // The library refuses it.
            Parsed::Partial | Parsed::Invalid => {
                self.lose_position();
                true
            }
        }
    }

    fn begin(&mut self, len: usize, framing: Framing, arrived: Option<Instant>) {
        let body = match framing {
            Framing::Plain => Some(0),
            Framing::Sized(body) => Some(body),
            Framing::Other | Framing::Conflicting => None,
        };
        self.given = Some(Given {
            arrived,
            is_started: self.started >= len,
            is_conflicting: framing == Framing::Conflicting,
        });
        self.is_answering = true;
        self.is_body_read = body == Some(0);
        match body.and_then(|body| body.checked_add(len as u64)) {
            Some(total) => self.position = Position::Request(total),
            None => self.lose_position(),
        }
    }

    fn passed(&mut self, n: usize) {
        if let Position::Request(left) = &mut self.position {
            *left -= n as u64;
            if *left == 0 {
                self.position = Position::Head;
            }
        }
    }

    fn hold(&mut self, bytes: &[u8], now: Instant) {
        if bytes.is_empty() {
            return;
        }
        if self.buf.is_empty() || self.arrivals.len() < ARRIVALS_MAX {
            let at = self.offset + self.buf.len() as u64;
            self.arrivals.push_back((at, now));
        }
        self.buf.extend_from_slice(bytes);
        self.is_changed = true;
    }

    fn advance(&mut self, n: usize) {
        self.buf.advance(n);
        self.offset += n as u64;
        self.started = self.started.saturating_sub(n);
        self.is_changed = true;
        while self
            .arrivals
            .get(1)
            .is_some_and(|(at, _)| *at <= self.offset)
        {
            self.arrivals.pop_front();
        }
        if self.buf.is_empty() {
            self.arrivals.clear();
        }
    }

    /// Time at which the byte at `index` of `buf` arrived.
    fn arrival(&self, index: usize) -> Option<Instant> {
        let at = self.offset + index as u64;
        let before = self.arrivals.iter().take_while(|(first, _)| *first <= at);
        before.last().map(|(_, arrived)| *arrived)
    }
}
