//! Backend server stand-in: slots, service times, downstream calls and a log of runs.
//!
//! Requests above the number of slots wait inside the server, so that without control its
//! latency grows as that of a real server does.

mod announce;
mod archive;
mod calls;
mod control;
mod query;
mod remote;
mod runs;
mod service_time;
mod settings;
mod slots;
mod work;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use announce::Announcement;
pub use control::{Control, ControlChange, CounterValues, Counters};
pub use remote::RemoteBackend;
pub use runs::{Run, RunLog};
pub use settings::{BackendSettings, CallPlan, CallSettings, DirectTarget, Distribution};

use crate::error::StandinError;
use crate::http::{AnswerBody, bytes_answer, json_answer};
use calls::Calls;
use service_time::ServiceTimes;
use slots::Slots;

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Requests inside, running or waiting.
    pub inside: u32,
    /// Requests that run at a time.
    pub slots: u32,
}

/// State shared by the requests of one backend server.
#[derive(Debug)]
struct Shared {
    control: Mutex<Control>,
    counters: Counters,
    runs: RunLog,
    slots: Arc<Slots>,
    check_deadline: bool,
    service_times: ServiceTimes,
    calls: Calls,
    node: Option<SocketAddr>,
}

impl Shared {
    fn new(cfg: BackendSettings) -> Self {
        Self {
            control: Mutex::new(Control::new(&cfg)),
            counters: Counters::default(),
            runs: RunLog::default(),
            slots: Arc::new(Slots::new(cfg.slots)),
            check_deadline: cfg.check_deadline,
            service_times: ServiceTimes::new(&cfg),
            node: cfg.calls.node,
            calls: Calls::new(cfg.calls),
        }
    }

    fn control(&self) -> Control {
        match self.control.lock() {
            Ok(control) => *control,
            Err(poisoned) => *poisoned.into_inner(),
        }
    }

    fn is_over_limit(&self) -> bool {
        self.control()
            .shed_above
            .is_some_and(|limit| self.slots.inside() > limit)
    }

    async fn change(&self, change: ControlChange) -> Control {
        let control = self.control().changed(change);
        if let Ok(mut current) = self.control.lock() {
            *current = control;
        }
        self.slots.resize(control.slots);
        if let (Some(true), Some(node)) = (change.drain, self.node) {
            announce::request_drain(node).await;
        }
        control
    }
}

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    announcer: Option<JoinHandle<()>>,
}

impl Backend {
    /// Starts a backend server on the current runtime.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if the address cannot be listened on.
    pub async fn start(cfg: BackendSettings) -> Result<Self, Report<StandinError>> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .change_context(StandinError::Listen)
            .attach_with(|| cfg.listen)?;
        let address = listener.local_addr().change_context(StandinError::Listen)?;
        let announced = cfg.announced_address.unwrap_or(address);
        let shared = Arc::new(Shared::new(cfg));
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, shared.clone(), stopped));
        let announcer = shared
            .node
            .map(|node| tokio::spawn(announce::announce_forever(shared.clone(), node, announced)));
        Ok(Self {
            address,
            shared,
            stop,
            server,
            announcer,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests so far with their runs.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.all()
    }

    /// Counts so far.
    pub fn counters(&self) -> CounterValues {
        self.shared.counters.values()
    }

    /// Changes its behaviour.
    pub async fn change(&self, change: ControlChange) -> Control {
        self.shared.change(change).await
    }

    /// Finishes the requests in progress and stops.
    pub async fn stop(self) {
        if let Some(announcer) = self.announcer {
            announcer.abort();
        }
        // The receiver is gone only when the server has ended already.
        let _ = self.stop.send(true);
        let _ = self.server.await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_stream(stream, &shared, &graceful);
                }
            }
            _ = stopped.changed() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_stream(stream: TcpStream, shared: &Arc<Shared>, graceful: &GracefulShutdown) {
    // Without the option answers are only slower.
    let _ = stream.set_nodelay(true);
    let shared = shared.clone();
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, std::convert::Infallible>(route(shared, req).await) }
    });
    let conn =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let conn = graceful.watch(conn);
    tokio::spawn(async move {
        // A connection that breaks has ended its requests already.
        let _ = conn.await;
    });
}

async fn route(shared: Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/runs") => json_answer(StatusCode::OK, &shared.runs.all()),
        (&Method::DELETE, "/runs") => {
            shared.runs.clear();
            bytes_answer(StatusCode::NO_CONTENT, "")
        }
        (&Method::GET, "/counters") => json_answer(StatusCode::OK, &shared.counters.values()),
        (&Method::GET, "/health") => health(&shared),
        (&Method::GET, "/load") => json_answer(StatusCode::OK, &load(&shared)),
        (&Method::POST, "/control") => control(&shared, req).await,
        _ => work::answer(shared, req).await,
    }
}

fn health(shared: &Shared) -> Response<AnswerBody> {
    if shared.control().healthy {
        bytes_answer(StatusCode::OK, "healthy")
    } else {
        bytes_answer(StatusCode::SERVICE_UNAVAILABLE, "not healthy")
    }
}

fn load(shared: &Shared) -> LoadAnswer {
    LoadAnswer {
        inside: shared.slots.inside(),
        slots: shared.control().slots,
    }
}

async fn control(shared: &Shared, req: Request<Incoming>) -> Response<AnswerBody> {
    let Ok(body) = req.into_body().collect().await else {
        return bytes_answer(StatusCode::BAD_REQUEST, "body cut short");
    };
    match serde_json::from_slice::<ControlChange>(&body.to_bytes()) {
        Ok(change) => json_answer(StatusCode::OK, &shared.change(change).await),
        Err(err) => bytes_answer(StatusCode::BAD_REQUEST, err.to_string()),
    }
}
