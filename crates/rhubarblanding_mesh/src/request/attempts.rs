//! Attempts of a request at targets, and retries of failed ones.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use rhubarblanding_admission::slots::KindKey;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::SuspectVerdict;
use rhubarblanding_routing::prelude::{TargetId, TargetOutcome, WorkKind};
use rhubarblanding_routing::table::Route;

use super::answer::refusal;
use super::entry::{Exchange, NOT_READY_RETRY_AFTER};
use super::forward::forward;
use super::hop::{HopHeader, HopOutcome, HopReply, HopRequest};
use super::serve::is_completed;
use crate::connection::Payload;
use crate::process::{RefusalStage, RetryReason, Shared};
use crate::version::ChosenRoute;

/// Time beyond the deadline for which the entry node waits for the node beside the target.
const ANSWER_GRACE: Duration = Duration::from_millis(80);
/// Maximum number of targets of its service that are tried for one request.
const TARGETS_MAX: usize = 3;

/// Next step after an attempt.
enum NextStep {
    Deliver(Response<Payload>),
    Refuse(Refusal),
    Retry,
}

/// Outcome of an attempt in which the request ran, or may have run.
enum RunOutcome {
    /// The target answered with a failure.
    Failed(TargetId, Response<Payload>),
    /// No usable answer arrived.
    Lost(ErrorKind),
}

/// State of one request's attempts so far.
#[derive(Default)]
struct Attempts {
    /// Hosts whose target was chosen.
    tried: Vec<HostId>,
    /// Number of hosts that were tried and run the service.
    of_service: usize,
    /// Number of targets that the request was sent to.
    reached: u32,
    /// Latest refusal by a host that runs the service, else the first one.
    refusal: Option<Refusal>,
    /// First outcome with an answer of the target, else the first without one.
    run_outcome: Option<RunOutcome>,
}

/// Sends a request to targets of its service until one answers or it is refused.
pub(super) async fn serve(node: &Arc<Shared>, exchange: &Exchange) -> Response<Payload> {
    let now = node.clock.now();
    if let Some(refused) = node.suspects.refusal(now, || exchange.fingerprint(node)) {
        return refuse(node, exchange, refused, &Attempts::default());
    }
    if exchange.repeated {
        // The calls of a retried request count as retries at the services that they go to.
        node.charge_repeat(&exchange.service);
    } else {
        node.count_first_attempt(&exchange.service);
    }
    let mut attempts = Attempts::default();
    loop {
        let now = node.clock.now();
        if now >= node.limit_deadline(exchange.deadline) {
            let kind = match attempts.reached {
                0 => ErrorKind::QueueTimeout,
                _ => ErrorKind::DeadlineExceeded,
            };
            return conclude(node, exchange, Refusal::new(kind), attempts);
        }
        if let Some(late) = node.late_send(kind_key(exchange)) {
            return conclude(node, exchange, late, attempts);
        }
        let (service, tried) = (&exchange.service, &attempts.tried);
        let Some(target) = node.targets.pick(now, service, work_kind(exchange), tried) else {
            let no_target = Refusal::with_retry_after(ErrorKind::NoTarget, NOT_READY_RETRY_AFTER);
            let refusal = attempts.refusal.unwrap_or(no_target);
            return conclude(node, exchange, refusal, attempts);
        };
        attempts.tried.push(target.host);
        match attempt(node, exchange, target, &mut attempts).await {
            NextStep::Deliver(resp) => return deliver(node, exchange, target, resp),
            NextStep::Refuse(refusal) => return conclude(node, exchange, refusal, attempts),
            NextStep::Retry => {}
        }
    }
}

fn deliver(
    node: &Shared,
    exchange: &Exchange,
    target: TargetId,
    resp: Response<Payload>,
) -> Response<Payload> {
    let Exchange { id, service, .. } = exchange;
    node.log_answer(id, service, target, resp.status(), exchange.began);
    resp
}

/// Ends a request that is not tried at a further target. If the request may have run, the outcome
/// of that run is the answer: the refusal of a later attempt would claim that it did not run.
fn conclude(
    node: &Shared,
    exchange: &Exchange,
    refusal: Refusal,
    mut attempts: Attempts,
) -> Response<Payload> {
    match attempts.run_outcome.take() {
        Some(RunOutcome::Failed(target, resp)) => deliver(node, exchange, target, resp),
        Some(RunOutcome::Lost(kind)) => refuse(node, exchange, Refusal::new(kind), &attempts),
        None => refuse(node, exchange, refusal, &attempts),
    }
}

fn refuse(
    node: &Shared,
    exchange: &Exchange,
    refused: Refusal,
    attempts: &Attempts,
) -> Response<Payload> {
    let refused = node.refusal_within(exchange.deadline, refused);
    let stage = RefusalStage::AfterSelection {
        service: &exchange.service,
        version: exchange.route.version(),
        tried: &attempts.tried,
        waited: node.clock.now().since(exchange.began),
    };
    node.log_refusal(Some(&exchange.id), refused, stage);
    refusal(refused)
}

async fn attempt(
    node: &Arc<Shared>,
    exchange: &Exchange,
    target: TargetId,
    attempts: &mut Attempts,
) -> NextStep {
    let hop = hop_request(node, exchange, target.host, attempts.reached);
    let sent = node.targets.started(&exchange.service, target);
    let sent_at = node.clock.now();
    let reply = tokio::select! {
        biased;
        reply = forward(node, target.host, hop) => Some(reply),
        () = node.expired(exchange.deadline, ANSWER_GRACE) => None,
    };
    let Some(HopReply {
        outcome,
        call_failed,
        load,
        notice,
        crash,
    }) = reply
    else {
        sent.finish(TargetOutcome::Silent);
        return NextStep::Refuse(Refusal::new(ErrorKind::DeadlineExceeded));
    };
    let outcome = outcome.for_client();
    if let HopOutcome::Refused(refusal) = outcome
        && refusal.kind == ErrorKind::OtherService
    {
        sent.finish(TargetOutcome::Refused);
        return on_other_service(node, exchange, (target, refusal), attempts);
    }
    attempts.of_service += 1;
    if let Some(load) = load {
        node.targets
            .observe(&exchange.service, target, work_kind(exchange), load);
    }
    if let Some(notice) = notice {
        node.learn_notice(target.host, notice);
    }
    if let Some(crash) = crash {
        let fingerprint = exchange.fingerprint(node);
        node.suspects
            .learn_crash(node.clock.now(), crash, fingerprint);
    }
    match outcome {
        HopOutcome::Answered(resp) => {
            sent.finish(match resp.status().is_server_error() && !call_failed {
                true => TargetOutcome::Failed,
                false => TargetOutcome::Answered,
            });
            attempts.reached += 1;
            let took = node.clock.now().since(sent_at);
            node.record_answer_time(kind_key(exchange), took);
            if is_completed(&resp) {
                node.suspects
                    .record_completed(|| exchange.fingerprint(node));
            }
            if call_failed {
                // A service that the target calls failed; another run would fail there too.
                return NextStep::Deliver(resp);
            }
            on_answer(node, exchange, (target, resp), attempts).await
        }
        HopOutcome::Refused(refusal) => {
            sent.finish(match refusal.kind {
                ErrorKind::ConnectFailed | ErrorKind::TargetDraining => {
                    TargetOutcome::ConnectFailed
                }
                _ => TargetOutcome::Refused,
            });
            attempts.refusal = Some(refusal);
            on_refusal(refusal, attempts)
        }
        HopOutcome::Shed(refusal) => {
            sent.finish(TargetOutcome::Rejected);
            attempts.reached += 1;
            attempts.refusal = Some(refusal);
            if may_retry(node, exchange, attempts, RetryReason::Shed) {
                return NextStep::Retry;
            }
            NextStep::Refuse(refusal)
        }
        HopOutcome::Lost(kind) => {
            sent.finish(TargetOutcome::ConnectionLost);
            attempts.reached += 1;
            if kind != ErrorKind::DeadlineExceeded
                && is_unsuspected(node, exchange)
                && may_run_again(node, exchange, attempts).await
                && may_retry(node, exchange, attempts, RetryReason::Lost)
            {
                attempts.run_outcome.get_or_insert(RunOutcome::Lost(kind));
                return NextStep::Retry;
            }
            NextStep::Refuse(Refusal::new(kind))
        }
    }
}

/// Tries another target. The load and the notices in such a reply are those of another service.
fn on_other_service(
    node: &Shared,
    exchange: &Exchange,
    (target, refusal): (TargetId, Refusal),
    attempts: &mut Attempts,
) -> NextStep {
    node.disown(&exchange.id, &exchange.service, target);
    attempts.refusal.get_or_insert(Refusal {
        retry_after: Some(NOT_READY_RETRY_AFTER),
        ..refusal
    });
    NextStep::Retry
}

/// Returns `true` unless several targets have crashed with the request.
fn is_unsuspected(node: &Shared, exchange: &Exchange) -> bool {
    let now = node.clock.now();
    let verdict = node.suspects.verdict(now, || exchange.fingerprint(node));
    verdict == SuspectVerdict::Allowed
}

/// Retries a failed request at another target if it is idempotent.
async fn on_answer(
    node: &Shared,
    exchange: &Exchange,
    (target, resp): (TargetId, Response<Payload>),
    attempts: &mut Attempts,
) -> NextStep {
    let is_failure = resp.status().is_server_error() && resp.status().as_u16() != 504;
    if is_failure
        && may_run_again(node, exchange, attempts).await
        && may_retry(node, exchange, attempts, RetryReason::Failed)
    {
        // A target's answer is more informative than a lost one.
        if !matches!(attempts.run_outcome, Some(RunOutcome::Failed(..))) {
            attempts.run_outcome = Some(RunOutcome::Failed(target, resp));
        }
        return NextStep::Retry;
    }
    NextStep::Deliver(resp)
}

/// Tries another target. As nothing was sent to this one, that does not count as a retry.
fn on_refusal(refusal: Refusal, attempts: &Attempts) -> NextStep {
    let is_final = matches!(
        refusal.kind,
        ErrorKind::DeadlineBeforeRun | ErrorKind::QueueTimeout | ErrorKind::CrashesTargets
    );
    if is_final || attempts.of_service >= TARGETS_MAX {
        return NextStep::Refuse(refusal);
    }
    NextStep::Retry
}

/// Returns `true` if a request that ran, or may have run, may run at another target: by the route that
/// it came under, by that which it has now, and as far as this node can know of later ones.
async fn may_run_again(node: &Shared, exchange: &Exchange, attempts: &Attempts) -> bool {
    let route = &exchange.route;
    if !allows_another_run(route.route(), &exchange.service, attempts) {
        return false;
    }
    let covered = tokio::select! {
        biased;
        covered = exchange.evidence.covers(node, exchange.began) => covered,
        () = node.expired(exchange.deadline, Duration::ZERO) => false,
    };
    let is_allowed = covered
        && node.version().is_some_and(|active| {
            let has_changed = active.number() != route.version();
            let now = ChosenRoute::find(&active, &exchange.host, exchange.uri.path());
            let allows =
                |r: ChosenRoute| allows_another_run(r.route(), &exchange.service, attempts);
            !has_changed || now.is_ok_and(allows)
        });
    if !is_allowed {
        node.log_retry_withheld(&exchange.id, &exchange.service, route.version());
    }
    is_allowed
}

fn allows_another_run(route: &Route, service: &ServiceName, attempts: &Attempts) -> bool {
    route.idempotency == Idempotency::Idempotent
        && has_attempts_left(route, attempts)
        && route.backends.iter().any(|b| b.service == *service)
}

fn has_attempts_left(route: &Route, attempts: &Attempts) -> bool {
    attempts.reached < route.max_attempts && attempts.of_service < TARGETS_MAX
}

fn may_retry(node: &Shared, exchange: &Exchange, attempts: &Attempts, reason: RetryReason) -> bool {
    let is_allowed = has_attempts_left(exchange.route.route(), attempts)
        && node.take_retry(&exchange.service, exchange.calls_left);
    if is_allowed {
        let choice = (&*attempts.tried, exchange.route.version());
        node.log_retry(&exchange.id, &exchange.service, reason, choice);
    }
    is_allowed
}

/// Returns the kind of a request: all requests of one route are of one kind.
fn work_kind(exchange: &Exchange) -> WorkKind {
    let route = exchange.route.route();
    WorkKind(stable_hash(0, route.name.as_bytes()))
}

fn kind_key(exchange: &Exchange) -> KindKey {
    KindKey(work_kind(exchange).0)
}

fn hop_request(node: &Shared, exchange: &Exchange, host: HostId, reached: u32) -> HopRequest {
    let now = node.clock.now();
    let deadline = node.limit_deadline(exchange.deadline);
    HopRequest {
        header: HopHeader {
            service: exchange.service.clone(),
            deadline: now.until(deadline),
            objective: now.until(exchange.objective.min(deadline)),
            rank: exchange.rank,
            account: exchange.account,
            is_call: exchange.is_call,
            repeated: exchange.repeated || reached > 0,
            calls_left: exchange.calls_left,
            kind: kind_key(exchange),
            host: exchange.host.clone(),
        },
        method: exchange.method.clone(),
        uri: exchange.uri.clone(),
        headers: exchange.headers.clone(),
        body: exchange.body.clone(),
        notice: node.known_notice(host),
    }
}
