//! Handlers for calls of the local target and for readiness and metrics requests of the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use tokio::sync::watch;

use super::departures;
use super::instance::ReportVerdict;
use super::shared::Shared;
use crate::connection::{Payload, RequestBody};
use crate::protocol::{ControlCall, ControlReply, InstanceLeave, InstanceReport, ReportedState};
use crate::request::read_logged;

/// Maximum body size of a call of the target, in bytes.
const CALL_MAX_BYTES: usize = 64 * 1024;
/// Answers a call of the local target.
pub async fn handle_control(
    node: Arc<Shared>,
    req: Request<RequestBody>,
    _: SocketAddr,
) -> Response<Payload> {
    let (parts, body) = req.into_parts();
    let Some(body) =
        read_logged(body, CALL_MAX_BYTES, &node.message_pool, "control_call_cut").await
    else {
        return reply(
            node.protocol
                .reject(StatusCode::BAD_REQUEST, "body not read"),
        );
    };
    let call = match node
        .protocol
        .control_call(&parts.method, parts.uri.path(), &body)
    {
        Ok(call) => call,
        Err(e) => {
            log::warn!(field = e.field, reason = e.reason; "control_call_invalid");
            return reply(
                node.protocol
                    .reject(StatusCode::BAD_REQUEST, &e.to_string()),
            );
        }
    };
    let is_acknowledged = match call {
        ControlCall::Report(report) => on_report(&node, &report).await,
        ControlCall::Leave(leave) => on_leave(&node, &leave).await,
    };
    reply(match is_acknowledged {
        true => node.protocol.acknowledge(),
        false => node
            .protocol
            .reject(StatusCode::SERVICE_UNAVAILABLE, "departure not kept yet"),
    })
}

/// Applies a report; returns `true` if it may be acknowledged. A report of an instance that leaves
/// may be once its departure outlasts this process.
async fn on_report(node: &Arc<Shared>, report: &InstanceReport) -> bool {
    let verdict = node.local.report(node, report);
    if verdict != ReportVerdict::Unchanged {
        log::info!(
            instance:% = report.instance.id, born = report.instance.started_at.0, sequence = report.sequence,
            state:% = report.state,
            warmup_ms = report.warmup.as_millis() as u64, service:% = report.service, slots = report.slots,
            verdict:% = verdict;
            "target_reported"
        );
    }
    node.announce();
    let is_leaving =
        report.state == ReportedState::Draining && verdict != ReportVerdict::OtherService;
    !is_leaving || departures::keep(node, &report.instance).await
}

/// Applies a leave message; returns `true` if it may be acknowledged.
async fn on_leave(node: &Arc<Shared>, leave: &InstanceLeave) -> bool {
    let departed = node.local.leave(node, leave);
    log::info!(instance:% = departed.id, born = departed.started_at.0, told = leave.started_at.is_some(); "target_left");
    node.announce();
    departures::keep(node, &departed).await
}

fn reply(reply: ControlReply) -> Response<Payload> {
    let mut resp = Response::new(Payload::buffered(reply.body));
    *resp.status_mut() = reply.status;
    let content_type = HeaderValue::from_static(reply.content_type);
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}

/// Answers the readiness probe: success if this node accepts clients.
pub async fn handle_ready(node: Arc<Shared>, listed: watch::Receiver<bool>) -> Response<Payload> {
    let ready = node.version().is_some() && !node.is_stopping() && *listed.borrow();
    let mut resp = Response::new(Payload::empty());
    if !ready {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}

/// Answers with the metrics in text form.
pub async fn handle_metrics(node: Arc<Shared>) -> Response<Payload> {
    let mut resp = Response::new(Payload::buffered(node.metrics.text(&node.store).into()));
    let content_type =
        HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}
