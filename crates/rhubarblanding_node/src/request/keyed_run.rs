//! One keyed non-idempotent request at the member that was asked for it.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use rhubarblanding_core::prelude::*;
use rhubarblanding_once::message::RunId;
use rhubarblanding_once::prelude::*;
use tokio::sync::oneshot;

use super::backend::{self, BackendError, BackendRequest};
use super::once::{Verdict, Waiter};
use super::{RequestRef, recorded};
use crate::connection::Body;
use crate::process::{Event, Shared, send_once};

/// Longest wait until the other members know that a key was given back.
const RELEASE_WAIT: Duration = Duration::from_millis(100);
/// Time after its deadline for which the outcome of a keyed request is waited for, so that it can
/// be recorded although its caller has its final answer.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Runs a keyed request in a task of its own, so that its outcome is recorded although its caller
/// may go away.
///
/// # Errors
///
/// The refusal for the caller.
pub async fn run(
    node: &Arc<Shared>,
    req: BackendRequest,
    role: Role,
    key: IdempotencyKey,
    running: RequestRef,
) -> Result<Response<Body>, Refusal> {
    let fingerprint = fingerprint(&req);
    let waiter = node.once.attempt(key, fingerprint, role);
    let (_caller, gone) = oneshot::channel::<()>();
    let run = KeyedRun {
        node: Arc::clone(node),
        req,
        key,
        running,
        refused: None,
        sent: false,
    };
    let task = tokio::spawn(run.follow(waiter, gone));
    match task.await {
        Ok(answer) => answer,
        Err(_) => Err(Refusal::new(ErrorKind::Internal)),
    }
}

fn fingerprint(req: &BackendRequest) -> Fingerprint {
    Fingerprint::of(&[
        req.method.as_str().as_bytes(),
        req.path.as_str().as_bytes(),
        &req.body,
    ])
}

/// One keyed request at the member that was asked for it.
struct KeyedRun {
    node: Arc<Shared>,
    req: BackendRequest,
    key: IdempotencyKey,
    running: RequestRef,
    /// Refusal that tells more than the ledger's own.
    refused: Option<Refusal>,
    /// Whether this request itself was sent to the backend server.
    sent: bool,
}

impl KeyedRun {
    async fn follow(
        mut self,
        mut waiter: Waiter,
        mut gone: oneshot::Receiver<()>,
    ) -> Result<Response<Body>, Refusal> {
        let deadline = self.node.clock.instant(self.req.cx.deadline);
        loop {
            let verdict = tokio::select! {
                verdict = waiter.next() => verdict,
                // The sender is dropped together with the caller's request.
                _ = &mut gone => return Err(Refusal::new(ErrorKind::OutcomeUnknown)),
                () = tokio::time::sleep_until(deadline) => {
                    return Err(Refusal::new(ErrorKind::DeadlineExceeded));
                }
            };
            match verdict {
                Verdict::Run(run) => {
                    if let Some(resp) = self.run(run, &mut gone).await {
                        return Ok(resp);
                    }
                }
                Verdict::Answer(answer) => {
                    if !self.sent {
                        self.node.counters.event(Event::RecordedAnswer);
                    }
                    return Ok(recorded::to_response(&answer));
                }
                Verdict::Refuse(refusal) => return Err(self.refused.unwrap_or(refusal)),
            }
        }
    }

    /// Sends the request and reports its outcome; an answer too large to be kept is returned.
    async fn run(
        &mut self,
        run: RunId,
        gone: &mut oneshot::Receiver<()>,
    ) -> Option<Response<Body>> {
        let admitted = tokio::select! {
            admitted = backend::admit(&self.node, &self.req) => admitted,
            // Nobody waits for the answer, and nothing has run.
            _ = gone => Err(Refusal::new(ErrorKind::QueueTimeout)),
        };
        let pass = match admitted {
            Ok(pass) => pass,
            Err(refusal) => return self.give_up(run, refusal).await,
        };
        self.sent = true;
        let wait_until = self.req.cx.deadline + OUTCOME_GRACE;
        let sent = backend::send(&self.node, &self.req, self.running, pass, wait_until);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(BackendError::NotRun(refusal)) => return self.give_up(run, refusal).await,
            Err(BackendError::Unknown(_)) => {
                self.report(run, Outcome::Lost);
                return None;
            }
        };
        let limit = self.node.once.max_answer_bytes();
        let until = self.node.clock.instant(wait_until);
        let read = tokio::time::timeout_at(until, recorded::read(answer, limit));
        match read.await.unwrap_or(recorded::Read::Cut) {
            recorded::Read::Whole(answer) => {
                self.report(run, Outcome::Answered(answer));
                None
            }
            recorded::Read::TooLarge(resp) => {
                self.report(run, Outcome::Streamed);
                Some(*resp)
            }
            recorded::Read::Cut => {
                self.report(run, Outcome::Lost);
                None
            }
        }
    }

    /// Gives the key back after a refusal that tells more than the ledger's own.
    async fn give_up(&mut self, run: RunId, refusal: Refusal) -> Option<Response<Body>> {
        self.refused = Some(refusal);
        self.release(run).await;
        None
    }

    /// Gives the key back and waits until the other members know, since the entry node may ask one
    /// of them next.
    async fn release(&self, run: RunId) {
        let messages = self.node.once.shed(self.key, run);
        let sent = messages.into_iter().map(|envelope| {
            let node = Arc::clone(&self.node);
            tokio::spawn(async move { send_once(&node, envelope).await })
        });
        let sent: Vec<_> = sent.collect();
        let all = async {
            for task in sent {
                // A message that is lost is repeated by the ledger.
                let _ = task.await;
            }
        };
        let _ = tokio::time::timeout(RELEASE_WAIT, all).await;
    }

    fn report(&self, run: RunId, outcome: Outcome) {
        self.node.once.outcome(self.key, run, outcome);
    }
}
