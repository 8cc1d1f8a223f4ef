//! Selection of the member that an entry node, which received a keyed request from its caller,
//! forwards it to, and of the refusal if that fails.

use rhubarblanding_core::error::{ErrorKind, Refusal, RunState};
use rhubarblanding_core::ids::IdempotencyKey;

use crate::ledger::Role;
use crate::table::{HomeTable, MemberId, Placement};

/// Next step of an entry node for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStep {
    /// Forward the request to a member.
    Forward {
        /// The member. Its incarnation goes with the request.
        to: MemberId,
        /// Role in which it should run the key.
        role: Role,
    },
    /// Refuse the caller.
    Refuse(Refusal),
}

/// Failure of a request that was forwarded to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No connection: nothing of the request was sent.
    NotSent,
    /// The request may have arrived; no answer came.
    NoAnswer,
    /// The member refused the request.
    Refused(Refusal),
}

/// Progress of one request at an entry node: it is forwarded to the home first, then to its copy.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    placement: Placement,
    current_role: Role,
    may_run: bool,
}

impl Route {
    /// Begins with the home of the key by the entry node's table.
    ///
    /// # Errors
    ///
    /// A refusal if there is no table, or if its oldest epoch begins after the key's mint time.
    pub fn start(
        table: Option<&HomeTable>,
        key: IdempotencyKey,
    ) -> Result<(Self, RouteStep), Refusal> {
        let table = table.ok_or(Refusal::new(ErrorKind::HomeUnavailable))?;
        let placement = table.place(key);
        let placement = placement.ok_or(Refusal::new(ErrorKind::OutcomeUnknown))?;
        let route = Self {
            placement,
            current_role: Role::Home,
            may_run: false,
        };
        let to = placement.home;
        let role = Role::Home;
        Ok((route, RouteStep::Forward { to, role }))
    }

    /// Returns the next step after a member did not return the backend server's answer.
    ///
    /// Once a request may have reached a member that did not answer, that member may still run it.
    /// From then on a refusal of the other member does not mean that the request is not run.
    pub fn on_failure(&mut self, failure: ForwardFailure) -> RouteStep {
        let refusal = match failure {
            ForwardFailure::NotSent => Refusal::new(ErrorKind::HomeUnavailable),
            ForwardFailure::NoAnswer => {
                self.may_run = true;
                Refusal::new(ErrorKind::OutcomeUnknown)
            }
            ForwardFailure::Refused(refusal) if refusal.kind != ErrorKind::HomeMoved => {
                return RouteStep::Refuse(self.with_accurate_run_state(refusal));
            }
            ForwardFailure::Refused(refusal) => refusal,
        };
        match (self.current_role, self.placement.copy) {
            (Role::Home, Some(to)) => {
                self.current_role = Role::Substitute;
                let role = Role::Substitute;
                RouteStep::Forward { to, role }
            }
            _ => RouteStep::Refuse(self.with_accurate_run_state(refusal)),
        }
    }

    fn with_accurate_run_state(&self, refusal: Refusal) -> Refusal {
        let not_run = refusal.kind.answer().run_state == RunState::NotRun;
        if self.may_run && not_run {
            return Refusal {
                kind: ErrorKind::OutcomeUnknown,
                ..refusal
            };
        }
        refusal
    }
}
