//! Requests of a connection that are handled before the answers to earlier ones are written.

use std::collections::VecDeque;
use std::task::{Context, Poll};

use http::{HeaderMap, Method, Request, Response, Uri};
use http_body::Body;

use super::turn::Turn;
use crate::connection::{Payload, ResponseFuture};

/// Maximum number of requests of one connection that are handled ahead of their turn: enough for
/// clients that send a few ahead, and a small part of a target's slots.
const REQUESTS_MAX: usize = 16;
/// Bytes of answers that wait for their turn, above which no further request is started.
const ANSWER_BYTES_MAX: u64 = 512 * 1024;

/// Work on a request.
pub(super) enum Work {
    /// The request is being handled.
    Running(ResponseFuture),
    /// The answer waits for its turn.
    Done(Response<Payload>),
}

/// Request that was started ahead of its turn.
struct Started {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    turn: Turn,
    work: Work,
}

/// Requests started ahead of their turn, in the order of their arrival.
#[derive(Default)]
pub(super) struct Queue(VecDeque<Started>);

impl Queue {
    /// Returns `true` if a further request may be started.
    pub(super) fn has_room(&self) -> bool {
        let is_blocked = self.0.back().is_some_and(|last| last.turn.is_awaited());
        !is_blocked && self.0.len() < REQUESTS_MAX && self.answer_bytes() < ANSWER_BYTES_MAX
    }

    /// Returns `true` if a request was started that does not wait for its turn.
    pub(super) fn has_passed_on(&self) -> bool {
        self.0.iter().any(|started| !started.turn.is_awaited())
    }

    /// Adds a request; `handle` begins its work.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        mut req: Request<()>,
        handle: impl FnOnce(Request<()>) -> ResponseFuture,
    ) {
        let turn = Turn::default();
        req.extensions_mut().insert(turn.clone());
        let (method, uri) = (req.method().clone(), req.uri().clone());
        let headers = req.headers().clone();
        let mut work = Work::Running(handle(req));
        work.poll(cx);
        self.0.push_back(Started {
            method,
            uri,
            headers,
            turn,
            work,
        });
    }

    /// Continues the work on all requests.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) {
        for started in &mut self.0 {
            started.work.poll(cx);
        }
    }

    /// Takes the first request, whose turn has come, if it is `req`. Otherwise all are cancelled.
    pub(super) fn take<B>(&mut self, req: &Request<B>) -> Option<Work> {
        let first = self.0.pop_front()?;
        let is_same = first.method == req.method()
            && first.uri == *req.uri()
            && first.headers == *req.headers();
        if !is_same {
            self.0.clear();
            return None;
        }
        first.turn.come();
        Some(first.work)
    }

    fn answer_bytes(&self) -> u64 {
        let done = self.0.iter().filter_map(|started| match &started.work {
            Work::Running(_) => None,
            Work::Done(resp) => Some(resp.body().size_hint().lower()),
        });
        done.sum()
    }
}

impl Work {
    fn poll(&mut self, cx: &mut Context<'_>) {
        if let Self::Running(future) = self
            && let Poll::Ready(resp) = future.as_mut().poll(cx)
        {
            *self = Self::Done(resp);
        }
    }
}
