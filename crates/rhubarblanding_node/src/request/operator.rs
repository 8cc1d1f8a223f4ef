//! The face for operators: status, counters, tickets, drain and log level.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use rand::Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::operator::{
    DrainAnswer, LogLevelRequest, NodeLimits, NodeStatus, OperatorError, SubmitAnswer,
    SubmitRequest, TargetStatus, TicketAnswer,
};
use rhubarblanding_tickets::prelude::*;
use serde::de::DeserializeOwned;

use super::faces::Taken;
use super::{answer, body};
use crate::connection::Body;
use crate::process::{Shared, adopt_document, logs};

/// Greatest size of a request body in bytes.
const BODY_MAX_BYTES: usize = 1 << 20;
/// Longest time that a submission is followed before its outcome is told as not yet known.
const SUBMIT_LIMIT: Duration = Duration::from_secs(5);

type Answer = Result<Response<Body>, OperatorReject>;

/// A request of an operator that is not served.
struct OperatorReject {
    status: StatusCode,
    error: OperatorError,
}

impl OperatorReject {
    fn new(status: StatusCode, error: impl Into<OperatorError>) -> Self {
        Self {
            status,
            error: error.into(),
        }
    }

    fn bad(error: impl Into<OperatorError>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, error)
    }

    fn text(status: StatusCode, text: &str) -> Self {
        Self::new(status, OperatorError::new(text))
    }
}

/// Shows the state of the node.
pub async fn status_face(node: Arc<Shared>, _: Taken) -> Response<Body> {
    answer::json(StatusCode::OK, &status(&node))
}

/// Shows every counter.
pub async fn counters_face(node: Arc<Shared>, _: Taken) -> Response<Body> {
    answer::json(StatusCode::OK, &node.counters.snapshot())
}

/// Takes the own target out of service.
pub async fn drain_face(node: Arc<Shared>, _: Taken) -> Response<Body> {
    drain(&node)
}

/// Changes the log level.
pub async fn log_level_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    or_error(set_log_level(&node, req.body).await)
}

/// Submits a ticket.
pub async fn submit_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    or_error(submit(&node, req.body).await)
}

/// Shows a ticket.
pub async fn ticket_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    or_error(show(&node, req.uri.path()).await)
}

fn or_error(answer: Answer) -> Response<Body> {
    answer.unwrap_or_else(|reject| answer::json(reject.status, &reject.error))
}

fn status(node: &Shared) -> NodeStatus {
    let report = node.load_report();
    let services = node.with_member(|member| member.services());
    let targets = services.iter().flat_map(|service| {
        let known = node.with_member(|member| member.targets(service));
        known.into_iter().map(|target| TargetStatus {
            info: target.info,
            load: None,
        })
    });
    NodeStatus {
        host: node.settings.host(),
        service: node.settings.service.clone(),
        zone: node.settings.zone.clone(),
        state: node.target_state(),
        document_version: node.document.version(),
        incarnation: node.with_member(|member| member.incarnation()),
        targets: targets.collect(),
        limits: NodeLimits {
            concurrency: report.limit,
            in_flight: report.in_flight,
            queued: report.queued,
        },
        admission_level: report.level,
    }
}

fn drain(node: &Arc<Shared>) -> Response<Body> {
    node.backend_state(TargetState::Draining, None);
    let answer = DrainAnswer {
        state: node.target_state(),
        in_flight: node.load_report().in_flight,
    };
    answer::json(StatusCode::OK, &answer)
}

async fn read<T: DeserializeOwned>(body: Body) -> Result<T, OperatorReject> {
    let bytes: Bytes = body::read_whole(body, BODY_MAX_BYTES).await.map_err(|_| {
        let text = format!("The body must be whole and have at most {BODY_MAX_BYTES} bytes.");
        OperatorReject::bad(OperatorError::new(text))
    })?;
    rhubarblanding_tickets::ticket::from_json(&bytes).map_err(OperatorReject::bad)
}

async fn submit(node: &Arc<Shared>, body: Body) -> Answer {
    let req: SubmitRequest = read(body).await?;
    let ticket = Ticket::try_from(req.ticket).map_err(OperatorReject::bad)?;
    let number = ticket.number;
    let mut submitter = Submitter::new(req.submission, Arc::new(ticket));
    let client = DocumentClient::new(node.store.clone());
    let seed = rand::rng().random();
    let verdict = client.submit(&mut submitter, SUBMIT_LIMIT, seed).await;
    if let Verdict::Accepted { .. } = verdict
        && let Ok(stored) = client.read().await
    {
        adopt_document(node, stored.document);
    }
    let status = match verdict {
        Verdict::Accepted { .. } => StatusCode::OK,
        Verdict::NotYetKnown => StatusCode::ACCEPTED,
        Verdict::Refused { .. } | Verdict::Forgotten { .. } => StatusCode::CONFLICT,
    };
    let answer = SubmitAnswer {
        submission: req.submission,
        ticket: number,
        verdict,
    };
    Ok(answer::json(status, &answer))
}

/// Shows a ticket by the store's document, or by this node's own while the store is down.
async fn show(node: &Arc<Shared>, path: &str) -> Answer {
    let number = path.rsplit('/').next().unwrap_or_default();
    let number = number.parse().map_err(|_| {
        let text = "The ticket number must be a whole number.";
        OperatorReject::text(StatusCode::BAD_REQUEST, text)
    })?;
    let client = DocumentClient::new(node.store.clone());
    let document = match client.read().await {
        Ok(stored) => Arc::new(stored.document),
        Err(_) => node.document.get(),
    };
    let answer = TicketAnswer::new(&document, TicketNumber(number));
    Ok(answer::json(StatusCode::OK, &answer))
}

async fn set_log_level(node: &Arc<Shared>, body: Body) -> Answer {
    let req: LogLevelRequest = read(body).await?;
    let level = match req.level {
        rhubarblanding_tickets::operator::LogLevel::Error => log::LevelFilter::Error,
        rhubarblanding_tickets::operator::LogLevel::Warn => log::LevelFilter::Warn,
        rhubarblanding_tickets::operator::LogLevel::Info => log::LevelFilter::Info,
        rhubarblanding_tickets::operator::LogLevel::Debug => log::LevelFilter::Debug,
        rhubarblanding_tickets::operator::LogLevel::Trace => log::LevelFilter::Trace,
    };
    match &node.logger {
        Some(logger) => {
            logs::set_level(logger, level);
            Ok(answer::json(StatusCode::OK, &req))
        }
        None => Err(OperatorReject::text(
            StatusCode::CONFLICT,
            "The program that embeds this node owns its log.",
        )),
    }
}
