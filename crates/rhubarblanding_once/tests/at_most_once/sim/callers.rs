//! Callers and their entry nodes.

use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_once::prelude::*;

use super::cluster::Cluster;
use super::events::{Event, NodeIndex, Reply};

/// One request of a caller, which is forwarded to one or two members.
pub struct Request {
    pub key: IdempotencyKey,
    pub fingerprint: Fingerprint,
    pub entry: NodeIndex,
    route: Option<Route>,
    pub attempts: Vec<CallerId>,
    pub current: Option<(CallerId, MemberId)>,
}

impl Cluster {
    pub fn request(&mut self, key: IdempotencyKey, fingerprint: Fingerprint, entry: NodeIndex) {
        let index = self.requests.len();
        self.requests.push(Request {
            key,
            fingerprint,
            entry,
            route: None,
            attempts: Vec::new(),
            current: None,
        });
        match Route::start(self.nodes[entry].ledger.table(), key) {
            Ok((route, step)) => {
                self.requests[index].route = Some(route);
                self.follow(index, step);
            }
            Err(refusal) => self.follow(index, RouteStep::Refuse(refusal)),
        }
    }

    fn follow(&mut self, index: usize, step: RouteStep) {
        let request = &mut self.requests[index];
        request.current = None;
        match step {
            RouteStep::Forward { to, role } => {
                let caller = CallerId(self.next_caller);
                self.next_caller += 1;
                request.attempts.push(caller);
                request.current = Some((caller, to));
                let (key, fingerprint) = (request.key, request.fingerprint);
                let attempt = AttemptRequest {
                    caller,
                    key,
                    fingerprint,
                    role,
                };
                self.events.push(Event::Attempt(attempt, to));
            }
            RouteStep::Refuse(refusal) => {
                self.oracle
                    .on_refusal(request.key, &request.attempts, refusal.kind)
            }
        }
    }

    /// Delivers the reply to one forwarded request, unless the entry node has given up on it.
    pub fn reply(&mut self, caller: CallerId, reply: Reply) {
        let waits = |request: &Request| request.current.is_some_and(|(id, _)| id == caller);
        let Some(index) = self.requests.iter().position(waits) else {
            return;
        };
        match reply {
            Reply::Answer(answer) => {
                self.requests[index].current = None;
                self.oracle.on_answer(self.requests[index].key, &answer);
            }
            Reply::Failure(failure) => {
                if let Some(route) = &mut self.requests[index].route {
                    let step = route.on_failure(failure);
                    self.follow(index, step);
                }
            }
        }
    }

    pub fn waiting(&self, index: usize) -> Option<(CallerId, MemberId)> {
        let waiting: Vec<_> = self.requests.iter().filter_map(|r| r.current).collect();
        waiting.get(index % waiting.len().max(1)).copied()
    }

    pub fn caller_disconnected(&mut self, index: usize) {
        let Some((caller, to)) = self.waiting(index) else {
            return;
        };
        let request = self
            .requests
            .iter()
            .find(|r| r.current == Some((caller, to)));
        if let (Some(key), Some(node)) = (request.map(|r| r.key), self.at_host(to)) {
            self.feed_ledger(node, Input::CallerDisconnected { caller, key });
        }
    }
}
