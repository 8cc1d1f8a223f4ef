//! Sends a call to a target and decides after each failed attempt whether to send it again.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use rhubarblanding_core::prelude::*;
use rhubarblanding_once::prelude::Role;
use rhubarblanding_request::prelude::*;
use rhubarblanding_routing::prelude::*;

use super::{CallRequest, Hop, RequestRef, answer, body, headers, keyed, load_header};
use crate::connection::{Body, SendError};
use crate::control;
use crate::process::Shared;
use crate::version::ServiceState;

/// Greatest number of attempts of one call.
const ATTEMPTS_MAX: u8 = 16;
/// Shortest time in which an attempt can succeed.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(2);
/// Time between two lookups of a service.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two lookups of a service whose targets are known, so that they are kept.
const KEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Longest wait for the first target of a service.
const LOOKUP_WAIT: Duration = Duration::from_millis(800);

/// A call on its way, with the request that it is made for.
pub struct Dispatch<'a> {
    /// Process that sends it.
    pub node: &'a Arc<Shared>,
    /// Service that it goes to.
    pub service: Arc<ServiceState>,
    /// What is asked for.
    pub call: CallRequest,
    /// What it inherits.
    pub cx: RequestContext,
    /// Request whose allowance pays for retries.
    pub payer: RequestRef,
}

/// Answer of a target's node.
pub enum PeerAnswer {
    /// The backend server's answer, or a recorded one.
    Answer(Response<Body>),
    /// A refusal.
    Refused(Refusal),
}

/// Why an attempt brought no answer of a target's node.
pub enum AttemptError {
    /// The connection failed.
    Send(SendError),
    /// The deadline passed.
    Deadline,
}

impl Dispatch<'_> {
    /// Sends the call until it is answered or given up.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub async fn run(self) -> Result<Response<Body>, Refusal> {
        self.look_up(self.node.clock.now(), KEEP_INTERVAL);
        match self.call.key {
            Some(key) => keyed::run(&self, key).await,
            None => self.run_unkeyed().await,
        }
    }

    async fn run_unkeyed(&self) -> Result<Response<Body>, Refusal> {
        let mut tried = Vec::new();
        let mut may_have_run = false;
        for number in 1..=ATTEMPTS_MAX {
            let picked = self.pick(&mut tried).await;
            let id = picked.map_err(|refusal| truthful(may_have_run, refusal))?;
            tried.push(id.host);
            let failed = match self.attempt(number, id, Role::Home).await {
                Ok(PeerAnswer::Answer(resp)) => return Ok(resp),
                Ok(PeerAnswer::Refused(refusal)) => refusal,
                Err(AttemptError::Send(error)) => Refusal::new(error.kind()),
                Err(AttemptError::Deadline) => Refusal::new(ErrorKind::DeadlineExceeded),
            };
            may_have_run |= failed.kind.answer().run_state != RunState::NotRun;
            match self.next_step(failed) {
                NextStep::GiveUp(refusal) => return Err(truthful(may_have_run, refusal)),
                NextStep::Retry(reason) => self
                    .spend(reason)
                    .map_err(|Exhausted| truthful(may_have_run, failed))?,
            }
        }
        Err(truthful(may_have_run, Refusal::new(ErrorKind::NoTarget)))
    }

    /// Takes one retry from the allowance and the service's budget, and counts it.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if none is left.
    pub fn spend(&self, reason: RetryReason) -> Result<(), Exhausted> {
        self.node.registry.spend(self.payer, reason)?;
        self.service.take_retry(self.node.clock.now());
        self.node.counters.retry(reason);
        Ok(())
    }

    fn next_step(&self, refusal: Refusal) -> NextStep {
        let now = self.node.clock.now();
        next_step(&FailedAttempt {
            idempotency: self.cx.idempotency,
            refusal,
            run_state: refusal.kind.answer().run_state,
            silent: false,
            allowance: self.node.registry.left(self.payer),
            budget: self.service.failed(now, refusal.kind),
            remaining: self.cx.remaining(now),
            min_attempt_time: ATTEMPT_TIME_MIN,
        })
    }

    /// Chooses a target; a target that was tried is taken again only if there is no other.
    ///
    /// # Errors
    ///
    /// A refusal if no target becomes known in time.
    pub async fn pick(&self, tried: &mut Vec<HostId>) -> Result<TargetId, Refusal> {
        let zone = &self.node.settings.zone;
        let give_up = self.cx.deadline.min(self.node.clock.now() + LOOKUP_WAIT);
        loop {
            let changed = self.service.changed();
            let now = self.node.clock.now();
            if let Some(id) = self.service.pick(now, zone, tried) {
                return Ok(id);
            }
            if !tried.is_empty() {
                tried.clear();
                continue;
            }
            if now >= give_up {
                return Err(Refusal::new(ErrorKind::NoTarget));
            }
            self.look_up(now, LOOKUP_INTERVAL);
            let wait = now.until(give_up).min(LOOKUP_INTERVAL);
            let _ = tokio::time::timeout(wait, changed).await;
        }
    }

    /// Asks the membership for the targets of the service, unless it was asked within `interval`.
    fn look_up(&self, now: MonoTime, interval: Duration) {
        if self.service.lookup_due(now, interval) {
            self.node.look_up(self.service.name());
        }
    }

    /// Sends one attempt to a target's node.
    ///
    /// # Errors
    ///
    /// See [`AttemptError`].
    pub async fn attempt(
        &self,
        number: u8,
        id: TargetId,
        role: Role,
    ) -> Result<PeerAnswer, AttemptError> {
        let node = self.node;
        let now = node.clock.now();
        let makes_calls = self.service.makes_calls(self.call.kind);
        let lent = node.registry.lend(self.payer, makes_calls);
        let attempt = Attempt::new(number, id.host, lent);
        let hop = Hop {
            cx: self.cx,
            remaining: self.cx.remaining(now),
            allowance: attempt.lent(),
            from: node.settings.host(),
            document: node.document.version(),
            role,
        };
        let Some(req) = self.call.to_peer(id.host, &hop) else {
            node.registry.abandon(self.payer, attempt);
            return Err(AttemptError::Send(SendError::Connect));
        };
        let mut watch = TargetWatch::start(Arc::clone(&self.service), node, id, number == 1);
        let attempt = attempt.send(now);
        let deadline = node.clock.instant(self.cx.deadline);
        let resp = match tokio::time::timeout_at(deadline, node.peers.send(req)).await {
            Ok(Ok(resp)) => resp,
            Ok(Err(error)) => {
                watch.end(match error {
                    SendError::Connect => TargetOutcome::ConnectFailed,
                    SendError::Lost => TargetOutcome::ConnectionLost,
                });
                if error == SendError::Connect {
                    node.registry.settle_not_sent(self.payer, attempt);
                }
                return Err(AttemptError::Send(error));
            }
            Err(_) => return Err(AttemptError::Deadline),
        };
        let now = node.clock.now();
        let left = headers::parse(resp.headers(), &headers::ALLOWANCE_LEFT).unwrap_or(0);
        let answered = attempt.answered(now, left);
        node.registry.settle_answered(self.payer, answered);
        self.note_versions(id.host, resp.headers());
        self.note_load(now, id, resp.headers());
        if let Some(calls) = headers::parse::<u8>(resp.headers(), &headers::MAKES_CALLS) {
            self.service.note_calls(self.call.kind, calls != 0);
        }
        Ok(read_answer(resp, watch))
    }

    /// Learns of newer versions of the document and of the home table from an answer.
    fn note_versions(&self, host: HostId, map: &http::HeaderMap) {
        if let Some(version) = headers::parse(map, &headers::DOCUMENT) {
            self.node.note_document(host, DocVersion(version));
        }
        let table = headers::parse(map, &headers::TABLE).map(TableVersion);
        let known = self.service.table().map(|table| table.version());
        if table > known {
            control::refresh_table(self.node, &self.service);
        }
    }

    fn note_load(&self, now: MonoTime, id: TargetId, map: &http::HeaderMap) {
        let text: Option<String> = headers::parse(map, &headers::LOAD);
        if let Some(report) = text.and_then(|text| load_header::read(&text)) {
            self.service.observe(now, id, self.call.kind, report);
        }
    }
}

/// The refusal that tells what is known after all attempts, not only after the last one.
pub fn truthful(may_have_run: bool, refusal: Refusal) -> Refusal {
    let not_run = refusal.kind.answer().run_state == RunState::NotRun;
    match may_have_run && not_run {
        true => Refusal {
            kind: ErrorKind::ConnectionLost,
            ..refusal
        },
        false => refusal,
    }
}

fn read_answer(resp: Response<Incoming>, mut watch: TargetWatch) -> PeerAnswer {
    if let Some(refusal) = answer::read_refusal(resp.headers()) {
        watch.end(match refusal.kind {
            // The target's node is there, but its backend server is not.
            ErrorKind::ConnectFailed | ErrorKind::ConnectionLost | ErrorKind::Internal => {
                TargetOutcome::Failed
            }
            ErrorKind::BackendShed => TargetOutcome::Rejected,
            _ => TargetOutcome::Refused,
        });
        return PeerAnswer::Refused(refusal);
    }
    let (mut parts, inner) = resp.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_system(&mut parts.headers);
    PeerAnswer::Answer(Response::from_parts(parts, body::guarded(inner, watch)))
}

/// Tells the router how an attempt at a target ended.
struct TargetWatch {
    service: Arc<ServiceState>,
    node: Arc<Shared>,
    id: TargetId,
    open: bool,
}

impl TargetWatch {
    fn start(service: Arc<ServiceState>, node: &Arc<Shared>, id: TargetId, first: bool) -> Self {
        service.started(node.clock.now(), id, first);
        Self {
            service,
            node: Arc::clone(node),
            id,
            open: true,
        }
    }

    fn end(&mut self, outcome: TargetOutcome) {
        if std::mem::take(&mut self.open) {
            let now = self.node.clock.now();
            self.service.finished(now, self.id, outcome);
        }
    }
}

impl Drop for TargetWatch {
    fn drop(&mut self) {
        self.end(TargetOutcome::Cancelled);
    }
}

impl body::EndGuard for TargetWatch {
    fn ended(&mut self, whole: bool) {
        self.end(match whole {
            true => TargetOutcome::Answered,
            false => TargetOutcome::Cancelled,
        });
    }
}
