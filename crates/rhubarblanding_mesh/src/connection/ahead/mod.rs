//! Requests that a client sends before the answers to earlier ones of its connection (HTTP/1.1
//! pipelining).
//!
//! Load pattern: clients that send ahead, behind a request that is slow. The HTTP library reads and
//! answers one request after the other. Beside it, requests that may run out of turn are started as
//! soon as their bytes arrive; when the library reaches such a request, it gets the work that was
//! started. The library alone decides what is a request, and writes the answers in order.

mod body;
mod head;
mod input;
mod queue;
mod stream;
mod turn;

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use rhubarblanding_node::process::parking::{Mutex, lock};
use tokio::net::TcpStream;
use tokio::sync::watch;

use self::body::AnswerBody;
use self::input::Input;
use self::queue::{Queue, Work};
use self::stream::AheadStream;
use super::{ClientHandler, Payload};

pub use body::RequestBody;
pub use turn::{Arrival, Turn};

/// Bytes of unread requests that are held for a connection, above the size limit of a head.
const UNREAD_BYTES: usize = 32 * 1024;

/// Counters of requests that are started ahead of their turn.
#[derive(Clone, Debug, Default)]
pub struct AheadCounters {
    /// Requests that were started ahead of their turn.
    pub requests: Counter,
    /// Connections with such requests.
    pub connections: Counter,
}

struct State {
    input: Input,
    queue: Queue,
    /// `true` if an answer ended since the library was polled.
    is_released: bool,
    /// `true` once an answer asked for the end of the connection.
    is_closing: bool,
    has_started: bool,
}

/// State of a client connection beside the HTTP library.
struct Ahead {
    state: Mutex<State>,
    counters: AheadCounters,
}

/// Serves the requests of a connection until it ends. Once `stop` is set, it ends after the answers
/// to what was read.
///
/// # Errors
///
/// Fails if the connection breaks or the client sends something that is not a request.
pub(super) async fn serve(
    builder: &http1::Builder,
    head_bytes: usize,
    (tcp, addr): (TcpStream, SocketAddr),
    handler: &ClientHandler,
    counters: &AheadCounters,
    mut stop: watch::Receiver<bool>,
) -> Result<(), hyper::Error> {
    let ahead = Arc::new(Ahead::new(head_bytes, counters.clone()));
    let stream = AheadStream {
        tcp,
        ahead: Arc::clone(&ahead),
    };
    let service = service_fn(|req| {
        let work = ahead.begin(req, |req| handler(req, addr));
        let ahead = Arc::clone(&ahead);
        async move {
            let resp = match work {
                Work::Done(resp) => resp,
                Work::Running(future) => future.await,
            };
            Ok::<_, Infallible>(ahead.answer(resp))
        }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let stopped = stop.wait_for(|stop| *stop);
    tokio::pin!(stopped);
    let (mut is_stopping, mut is_ending) = (false, false);
    poll_fn(|cx| {
        is_stopping = is_stopping || stopped.as_mut().poll(cx).is_ready();
        loop {
            if is_stopping && !is_ending && ahead.close() {
                is_ending = true;
                conn.as_mut().graceful_shutdown();
            }
            if let Poll::Ready(result) = conn.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            let start = |req: Request<()>| handler(req.map(|()| RequestBody::default()), addr);
            if !ahead.poll(cx, start) {
                return Poll::Pending;
            }
        }
    })
    .await
}

impl Ahead {
    fn new(head_bytes: usize, counters: AheadCounters) -> Self {
        let state = State {
            input: Input::new(head_bytes, head_bytes + UNREAD_BYTES),
            queue: Queue::default(),
            is_released: false,
            is_closing: false,
            has_started: false,
        };
        Self {
            state: Mutex::new(state),
            counters,
        }
    }

    fn with_input<T>(&self, update: impl FnOnce(&mut Input) -> T) -> T {
        update(&mut lock(&self.state).input)
    }

    /// Returns the work on the request that the library has read: what was started, or else
    /// `handle`.
    fn begin(
        self: &Arc<Self>,
        mut req: Request<Incoming>,
        handle: impl FnOnce(Request<RequestBody>) -> super::ResponseFuture,
    ) -> Work {
        let given = {
            let mut state = lock(&self.state);
            let given = state.input.take_given();
            if given.is_started {
                if let Some(work) = state.queue.take(&req) {
                    return work;
                }
                // The library sees another request than its parser found.
                state.input.lose_position();
            }
            given
        };
        if given.is_conflicting {
            return Work::Done(refusal());
        }
        if let Some(arrived) = given.arrived {
            req.extensions_mut().insert(Arrival(arrived));
        }
        let body = Arc::clone(self);
        Work::Running(handle(req.map(|incoming| RequestBody::new(incoming, body))))
    }

    /// Prepares an answer for its delivery. The connection stays open until what was passed on is
    /// answered.
    fn answer(self: &Arc<Self>, mut resp: Response<Payload>) -> Response<AnswerBody> {
        let mut state = lock(&self.state);
        state.is_closing |= resp.headers().contains_key(header::CONNECTION);
        if state.is_closing {
            match state.queue.has_passed_on() {
                true => resp.headers_mut().remove(header::CONNECTION),
                false => resp
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close")),
            };
        }
        drop(state);
        let ahead = Arc::clone(self);
        resp.map(|payload| AnswerBody { payload, ahead })
    }

    /// Starts no further request; returns `true` if none waits for its turn.
    fn close(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_closing = true;
        !state.queue.has_passed_on()
    }

    /// Records that an answer was written.
    fn answered(&self) {
        let mut state = lock(&self.state);
        state.input.answered();
        state.is_released = true;
    }

    /// Starts what may be started and continues what was; returns `true` if the library must be
    /// polled again, which waits for bytes that are held here.
    fn poll(
        &self,
        cx: &mut Context<'_>,
        handle: impl Fn(Request<()>) -> super::ResponseFuture,
    ) -> bool {
        let state = &mut *lock(&self.state);
        state.queue.poll(cx);
        while !state.is_closing
            && state.queue.has_room()
            && let Some((mut req, arrived)) = state.input.next_ahead()
        {
            if !std::mem::replace(&mut state.has_started, true) {
                self.counters.connections.inc();
            }
            self.counters.requests.inc();
            req.extensions_mut().insert(Arrival(arrived));
            state.queue.start(cx, req, &handle);
        }
        std::mem::take(&mut state.is_released) && !state.input.is_empty()
    }
}

/// Answer to a request whose extent is ambiguous.
fn refusal() -> Response<Payload> {
    let mut resp = Response::new(Payload::empty());
    *resp.status_mut() = StatusCode::BAD_REQUEST;
    resp.headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    resp
}
