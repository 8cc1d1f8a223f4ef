//! Sends a keyed non-idempotent call to the key's home, or to its copy if the home fails.

use http::Response;
use rhubarblanding_core::prelude::*;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::route::ForwardFailure;
use rhubarblanding_request::prelude::*;
use rhubarblanding_routing::prelude::*;

use super::dispatch::{AttemptError, Dispatch, PeerAnswer, truthful};
use super::entry::unasked;
use crate::connection::{Body, SendError};
use crate::control;

/// Number of tables that one call follows while homes move.
const TABLES_MAX: usize = 3;

/// Progress of one keyed call.
struct KeyedCall<'a> {
    dispatch: &'a Dispatch<'a>,
    key: IdempotencyKey,
    number: u8,
    /// Whether a member was asked that did not answer, by this table or an earlier one.
    may_have_run: bool,
}

/// Sends the call until its outcome is known or it is given up.
///
/// # Errors
///
/// The refusal for the caller.
pub async fn run(dispatch: &Dispatch<'_>, key: IdempotencyKey) -> Result<Response<Body>, Refusal> {
    let mut call = KeyedCall {
        dispatch,
        key,
        number: 0,
        may_have_run: false,
    };
    let mut refusal = Refusal::new(ErrorKind::HomeUnavailable);
    for _ in 0..TABLES_MAX {
        let version = call.known_table().await;
        match call.follow_table().await {
            Ok(resp) => return Ok(resp),
            Err(failed) => refusal = failed,
        }
        let moved = matches!(
            refusal.kind,
            ErrorKind::HomeMoved | ErrorKind::HomeUnavailable
        );
        if !moved || !call.refresh_table(version).await {
            break;
        }
        if dispatch.spend(RetryReason::HomeMoved).is_err() {
            break;
        }
    }
    if refusal.kind == ErrorKind::OutcomeUnknown {
        control::refresh_table(dispatch.node, &dispatch.service);
    }
    Err(truthful(call.may_have_run, asked(key, refusal)))
}

/// The refusal for the caller: a member that does not decide on the key knows nothing of it.
fn asked(key: IdempotencyKey, refusal: Refusal) -> Refusal {
    let knows_nothing = matches!(
        refusal.kind,
        ErrorKind::HomeMoved | ErrorKind::NoTarget | ErrorKind::ConnectFailed
    );
    match knows_nothing {
        true => unasked(Some(key), refusal),
        false => refusal,
    }
}

impl KeyedCall<'_> {
    /// Version of the known table, which is fetched from a target if none is known.
    async fn known_table(&self) -> Option<TableVersion> {
        let service = &self.dispatch.service;
        // The table comes from a target, so that one has to be known first.
        if service.table().is_none() && self.dispatch.pick(&mut Vec::new()).await.is_ok() {
            self.fetch_table().await;
        }
        service.table().map(|table| table.version())
    }

    /// Fetches the table, no longer than until the deadline.
    async fn fetch_table(&self) {
        let Dispatch { node, service, .. } = self.dispatch;
        let deadline = node.clock.instant(self.dispatch.cx.deadline);
        let fetch = control::fetch_table(node, service);
        // Without a newer table the call goes on with the one that is known.
        let _ = tokio::time::timeout_at(deadline, fetch).await;
    }

    /// Fetches the table and tells whether it is newer than `known`.
    async fn refresh_table(&self, known: Option<TableVersion>) -> bool {
        self.fetch_table().await;
        let service = &self.dispatch.service;
        service.table().map(|table| table.version()) > known
    }

    /// Asks the home and then the copy of the table in force.
    async fn follow_table(&mut self) -> Result<Response<Body>, Refusal> {
        let table = self.dispatch.service.table();
        let (mut route, mut step) = Route::start(table.as_deref(), self.key)?;
        loop {
            let (to, role) = match step {
                RouteStep::Forward { to, role } => (to, role),
                RouteStep::Refuse(refusal) => return Err(refusal),
            };
            let failure = match self.ask(to, role).await {
                Ok(resp) => return Ok(resp),
                Err(failure) => failure,
            };
            step = route.on_failure(failure);
            let again = matches!(step, RouteStep::Forward { .. });
            let now = self.dispatch.node.clock.now();
            if matches!(failure, ForwardFailure::NoAnswer) && self.dispatch.cx.is_expired(now) {
                return Err(Refusal::new(ErrorKind::DeadlineExceeded));
            }
            if again && self.dispatch.spend(reason(failure)).is_err() {
                step = give_up(&mut route, failure);
            }
        }
    }

    async fn ask(&mut self, to: MemberId, role: Role) -> Result<Response<Body>, ForwardFailure> {
        self.number = self.number.saturating_add(1);
        let id = TargetId {
            host: to.host,
            incarnation: to.incarnation,
        };
        match self.dispatch.attempt(self.number, id, role).await {
            Ok(PeerAnswer::Answer(resp)) => Ok(resp),
            // A home that is leaving, or whose backend server is gone, does not run the key, so
            // that its copy may.
            Ok(PeerAnswer::Refused(refusal)) if cannot_run(refusal.kind) => {
                Err(ForwardFailure::NotSent)
            }
            Ok(PeerAnswer::Refused(refusal)) => Err(ForwardFailure::Refused(refusal)),
            Err(AttemptError::Send(SendError::Connect)) => Err(ForwardFailure::NotSent),
            Err(AttemptError::Send(SendError::Lost) | AttemptError::Deadline) => {
                self.may_have_run = true;
                Err(ForwardFailure::NoAnswer)
            }
        }
    }
}

fn cannot_run(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::TargetDraining
            | ErrorKind::NodeDraining
            | ErrorKind::NoTarget
            | ErrorKind::ConnectFailed
    )
}

fn reason(failure: ForwardFailure) -> RetryReason {
    match failure {
        ForwardFailure::NotSent => RetryReason::ConnectFailed,
        ForwardFailure::NoAnswer => RetryReason::ConnectionLost,
        ForwardFailure::Refused(_) => RetryReason::HomeMoved,
    }
}

/// Ends a route whose next member cannot be asked because no retry is left.
fn give_up(route: &mut Route, failure: ForwardFailure) -> RouteStep {
    match route.on_failure(failure) {
        RouteStep::Refuse(refusal) => RouteStep::Refuse(refusal),
        RouteStep::Forward { .. } => RouteStep::Refuse(Refusal::new(ErrorKind::OutcomeUnknown)),
    }
}
