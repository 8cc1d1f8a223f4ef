//! HTTP control face of a relay.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::{RelayChange, Shared};
use crate::error::StandinError;
use crate::http::{AnswerBody, bytes_answer, json_answer};

/// Starts the control face: `POST /control` with a [`RelayChange`], `GET /counts`.
pub async fn start(
    address: SocketAddr,
    shared: Arc<Shared>,
) -> Result<JoinHandle<()>, Report<StandinError>> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(StandinError::Listen)
        .attach_with(|| address)?;
    Ok(tokio::spawn(serve(listener, shared)))
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = shared.clone();
        let service = service_fn(move |req| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(route(&shared, req).await) }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(conn);
    }
}

async fn route(shared: &Shared, req: Request<Incoming>) -> Response<AnswerBody> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/counts") => json_answer(StatusCode::OK, &shared.counts()),
        (&Method::POST, "/control") => control(shared, req).await,
        _ => bytes_answer(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn control(shared: &Shared, req: Request<Incoming>) -> Response<AnswerBody> {
    let Ok(body) = req.into_body().collect().await else {
        return bytes_answer(StatusCode::BAD_REQUEST, "body cut short");
    };
    match serde_json::from_slice::<RelayChange>(&body.to_bytes()) {
        Ok(change) => {
            shared.change(change);
            json_answer(StatusCode::OK, &shared.counts())
        }
        Err(err) => bytes_answer(StatusCode::BAD_REQUEST, err.to_string()),
    }
}
