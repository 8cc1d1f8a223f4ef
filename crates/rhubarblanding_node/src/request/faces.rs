//! The faces of a node as handlers of its listeners.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use gotham::handler::HandlerFuture;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::service::call_handler;
use gotham::state::{State, StateData, client_addr};
use http::{HeaderMap, Method, Request, Response, Uri, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jsonrpsee::Methods;
use jsonrpsee::server::{Server, ServerConfig, stop_channel};
use rhubarblanding_core::prelude::*;
use tower::Service;

use super::{answer, entry, local, operator, serve};
use crate::connection::{Body, Face};
use crate::control::CONTROL_PATH;
use crate::process::Shared;

/// Greatest size of a control message in bytes.
const CONTROL_MAX_BYTES: u32 = 4 * 1024 * 1024;

/// Methods that callers and backend servers may use.
const METHODS: [Method; 7] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
    Method::OPTIONS,
];

/// A request as a handler takes it out of gotham's state.
pub struct Taken {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Version of HTTP.
    pub version: Version,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Address of the sender.
    pub sender: SocketAddr,
}

/// The node as gotham's state holds it for one request.
struct NodeState(Arc<Shared>);

impl StateData for NodeState {}

type Handling = Pin<Box<HandlerFuture>>;

fn handle<F, A>(mut state: State, answer: F) -> Handling
where
    F: FnOnce(Arc<Shared>, Taken) -> A + Send + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let NodeState(node) = NodeState::take_from(&mut state);
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    let taken = Taken {
        method: Method::take_from(&mut state),
        uri: Uri::take_from(&mut state),
        version: Version::take_from(&mut state),
        headers: HeaderMap::take_from(&mut state),
        body: Body::take_from(&mut state),
        sender: client_addr(&state).unwrap_or(unknown),
    };
    Box::pin(async move { Ok((state, answer(node, taken).await)) })
}

/// Serves a gotham router on one of our listeners.
fn gotham_face(node: &Arc<Shared>, router: Router) -> Face {
    let router = Arc::new(router);
    let node = Arc::clone(node);
    Arc::new(move |req: Request<Incoming>, sender| {
        let mut state = State::from_request(req, sender);
        state.put(NodeState(Arc::clone(&node)));
        let answer = call_handler(Arc::clone(&router), AssertUnwindSafe(state));
        Box::pin(async move {
            let internal = Refusal::new(ErrorKind::Internal);
            answer
                .await
                .unwrap_or_else(|_| answer::refusal(internal, None))
        })
    })
}

/// Face for callers.
pub fn caller(node: &Arc<Shared>) -> Face {
    let to_caller = |state| handle(state, entry::caller_face);
    let router = build_simple_router(|route| {
        route.request(METHODS.to_vec(), "/").to_async(to_caller);
        route.request(METHODS.to_vec(), "/*").to_async(to_caller);
    });
    gotham_face(node, router)
}

/// Face for the backend server on this host.
pub fn local(node: &Arc<Shared>) -> Face {
    let router = build_simple_router(|route| {
        route
            .post("/v1/announce")
            .to_async(|state| handle(state, local::announce_face));
        route
            .post("/v1/drain")
            .to_async(|state| handle(state, local::drain_face));
        route
            .request(METHODS.to_vec(), "/call/*")
            .to_async(|state| handle(state, local::call_face));
    });
    gotham_face(node, router)
}

/// Face for operators.
pub fn operator(node: &Arc<Shared>) -> Face {
    let router = build_simple_router(|route| {
        route
            .get("/v1/status")
            .to_async(|state| handle(state, operator::status_face));
        route
            .get("/v1/counters")
            .to_async(|state| handle(state, operator::counters_face));
        route
            .post("/v1/drain")
            .to_async(|state| handle(state, operator::drain_face));
        route
            .put("/v1/log-level")
            .to_async(|state| handle(state, operator::log_level_face));
        route
            .post("/v1/tickets")
            .to_async(|state| handle(state, operator::submit_face));
        route
            .get("/v1/tickets/:number")
            .to_async(|state| handle(state, operator::ticket_face));
    });
    gotham_face(node, router)
}

/// Face for other nodes: calls, and control methods on a path of their own.
pub fn peer(node: &Arc<Shared>, methods: Methods) -> Face {
    let (stop, server) = stop_channel();
    let config = ServerConfig::builder()
        .max_request_body_size(CONTROL_MAX_BYTES)
        .max_response_body_size(CONTROL_MAX_BYTES)
        .build();
    let control = Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(methods, stop);
    let node = Arc::clone(node);
    Arc::new(move |req: Request<Incoming>, _| {
        if req.uri().path() != CONTROL_PATH {
            return Box::pin(serve::serve_peer(Arc::clone(&node), req));
        }
        // The control service ends when its handle is dropped.
        let _alive = &server;
        let mut control = control.clone();
        Box::pin(async move {
            match control.call(req).await {
                Ok(resp) => resp.map(|body| Body::new(body.map_err(io::Error::other))),
                Err(_) => answer::refusal(Refusal::new(ErrorKind::Internal), None),
            }
        })
    })
}
