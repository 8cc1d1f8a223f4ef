//! A server of client connections whose handler follows the request's query.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use rhubarblanding_mesh::connection::{
    AheadCounters, Arrival, ClientServer, Connections, Payload, RequestBody, Turn, bind,
};
use tokio::sync::watch;

/// Size limit of a head, in bytes, before the server's own addition.
pub const HEAD_BYTES: usize = 16 * 1024;

/// What the handler saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Paths of the requests that were passed on, in this order.
    pub passed_on: Mutex<Vec<String>>,
    /// Paths of requests and the times that they had waited unread.
    pub waited: Mutex<Vec<(String, Duration)>>,
    running: AtomicUsize,
    pub running_max: AtomicUsize,
    pub cancelled: AtomicUsize,
    /// Answers ask for the end of the connection.
    pub is_stopping: AtomicBool,
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seen {
    pub fn paths(&self) -> Vec<String> {
        lock(&self.passed_on).clone()
    }

    pub fn has(&self, path: &str) -> bool {
        lock(&self.passed_on).iter().any(|seen| seen == path)
    }
}

pub struct Server {
    pub addr: SocketAddr,
    pub seen: Arc<Seen>,
    pub counters: AheadCounters,
    _stop: watch::Sender<bool>,
}

/// Starts a server. A request's query has words separated by `&`: `ms=N` for a time of work,
/// `size=N` for the size of the answer, `turn` for a request that waits for its turn,
/// `unread` for one that is answered although its body was not read.
pub fn start() -> Server {
    let tcp = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let addr = tcp.local_addr().expect("an address");
    let seen = Arc::new(Seen::default());
    let counters = AheadCounters::default();
    let shared = Arc::clone(&seen);
    let server = ClientServer::new(
        Arc::new(move |req, _| Box::pin(handle(Arc::clone(&shared), req))),
        counters.clone(),
        Connections::default(),
    );
    server.set_limits(HEAD_BYTES, Duration::from_secs(2));
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(Arc::new(server).serve(tcp, stopped));
    Server {
        addr,
        seen,
        counters,
        _stop: stop,
    }
}

struct Running(Arc<Seen>, bool);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn handle(seen: Arc<Seen>, req: Request<RequestBody>) -> Response<Payload> {
    let (mut parts, body) = req.into_parts();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let number = |name: &str| {
        let word = query.split('&').find_map(|word| word.strip_prefix(name));
        word.and_then(|n| n.parse::<u64>().ok())
    };
    if query.contains("turn")
        && let Some(turn) = parts.extensions.remove::<Turn>()
    {
        turn.wait().await;
    }
    let body = match query.contains("unread") {
        true => Ok(Bytes::new()),
        false => body.collect().await.map(|body| body.to_bytes()),
    };
    let path = parts.uri.path().to_owned();
    let waited = parts.extensions.get::<Arrival>().map(|at| at.0.elapsed());
    lock(&seen.waited).push((path.clone(), waited.unwrap_or_default()));
    lock(&seen.passed_on).push(path.clone());
    let running = seen.running.fetch_add(1, Ordering::SeqCst) + 1;
    seen.running_max.fetch_max(running, Ordering::SeqCst);
    let mut guard = Running(Arc::clone(&seen), false);
    if let Some(ms) = number("ms=") {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    guard.1 = true;
    let mut text = match body {
        Ok(body) if body.is_empty() => path.into_bytes(),
        Ok(body) => body.to_vec(),
        Err(_) => b"cut".to_vec(),
    };
    if let Some(size) = number("size=") {
        text.resize(size as usize, b'.');
    }
    let mut resp = Response::new(Payload::buffered(Bytes::from(text)));
    if seen.is_stopping.load(Ordering::SeqCst) {
        let close = http::HeaderValue::from_static("close");
        resp.headers_mut().insert(http::header::CONNECTION, close);
    }
    resp
}
