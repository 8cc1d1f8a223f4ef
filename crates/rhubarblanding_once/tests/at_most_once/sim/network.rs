//! The network, the backend servers and the store.

use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_once::prelude::*;

use super::cluster::Cluster;
use super::events::{Event, NodeIndex, Reply, StoreCall};
use super::operations::Backend;
use crate::common::answer;

impl Cluster {
    /// Returns `true` if the event waits for a node that is paused.
    pub fn is_held(&self, event: &Event) -> bool {
        let at = |id: MemberId| self.at_host(id);
        let node = match event {
            Event::Peer(envelope) => at(envelope.to),
            Event::Attempt(_, to) | Event::Table(_, to, _) => at(*to),
            _ => event.owner(),
        };
        node.is_some_and(|node| self.nodes[node].paused)
    }

    /// The nodes between which an event travels.
    fn endpoints(&self, event: &Event) -> Option<(NodeIndex, NodeIndex)> {
        let entry = |caller: CallerId| {
            let request = self.requests.iter().find(|r| r.attempts.contains(&caller));
            request.map(|request| request.entry)
        };
        match event {
            Event::Peer(envelope) => self.at_host(envelope.from).zip(self.at_host(envelope.to)),
            Event::Attempt(attempt, to) => entry(attempt.caller).zip(self.at_host(*to)),
            Event::Reply(caller, from, _) => entry(*caller).zip(Some(*from)),
            Event::Table(from, to, _) => Some(*from).zip(self.at_host(*to)),
            Event::Adopted(to, reply) => self.at_host(reply.member).zip(Some(*to)),
            _ => None,
        }
    }

    fn is_cut_off(&self, node: NodeIndex) -> bool {
        self.cut >> (node as u32 % u8::BITS) & 1 == 1
    }

    /// Returns `true` if the event cannot arrive because one of its endpoints is cut off.
    fn is_blocked(&self, event: &Event) -> bool {
        if let Event::Store(node, ..) = event {
            return self.is_cut_off(*node);
        }
        let endpoints = self.endpoints(event);
        endpoints.is_some_and(|(from, to)| self.is_cut_off(from) != self.is_cut_off(to))
    }

    pub fn deliver(&mut self, event: Event) {
        if self.is_blocked(&event) {
            self.refuse_connection(&event);
            self.lose(event);
            return;
        }
        match event {
            Event::Peer(envelope) => {
                if let Some(node) = self.at_host(envelope.to) {
                    self.feed_ledger(node, Input::Peer(envelope));
                }
            }
            Event::Attempt(attempt, to) => {
                if let Some(node) = self.at_host(to) {
                    self.feed_ledger(node, Input::Attempt(attempt));
                }
            }
            Event::Reply(caller, _, reply) => self.reply(caller, reply),
            Event::Table(from, to, table) => self.adopt(from, to, table),
            Event::Adopted(node, reply) => self.feed_manager(node, ManagerInput::Adoption(reply)),
            Event::Dispatch(node, key, run, caller) => self.run(node, key, run, caller),
            Event::Ended(node, key, run, outcome) => {
                self.feed_ledger(node, Input::Outcome { key, run, outcome });
            }
            Event::QueryOutcome(node, key, run) => {
                let answer = self.oracle.answer_of(key).cloned();
                let outcome = answer.map_or(Outcome::Shed, Outcome::Answered);
                self.events.push(Event::Ended(node, key, run, outcome));
            }
            Event::Store(node, number, call) => self.call_store(node, number, call),
            Event::StoreAnswer(node, number, input) => {
                if self.nodes[node].store_call == number {
                    self.nodes[node].store_call += 1;
                    self.feed_manager(node, input);
                }
            }
        }
    }

    fn adopt(&mut self, from: NodeIndex, to: MemberId, table: HomeTable) {
        let Some(node) = self.at_host(to) else {
            return;
        };
        let now = self.now(node);
        let reply = self.nodes[node].ledger.adopt(now, table.clone());
        self.feed_manager(node, ManagerInput::Learned(table));
        self.events.push(Event::Adopted(from, reply));
    }

    /// Runs a request at the backend server of a node.
    fn run(&mut self, node: NodeIndex, key: IdempotencyKey, run: RunId, caller: CallerId) {
        let body = format!("{key} for {} at {node}", caller.0);
        let answer = answer(body.as_bytes());
        if matches!(self.backend, Backend::Run | Backend::RunSilent) {
            self.oracle.on_run(key, caller, answer.clone());
            let id = self.nodes[node].ledger.member().id;
            let placed = self.nodes[node]
                .ledger
                .table()
                .and_then(|table| table.place(key));
            let at_copy = placed.is_some_and(|placement| placement.copy == Some(id));
            self.oracle.tally.runs_at_copy += u64::from(at_copy);
        }
        let outcome = match self.backend {
            Backend::Run => Outcome::Answered(answer),
            Backend::Shed => Outcome::Shed,
            Backend::RunSilent | Backend::Silent => Outcome::Lost,
        };
        self.events.push(Event::Ended(node, key, run, outcome));
    }

    fn call_store(&mut self, node: NodeIndex, number: u64, call: StoreCall) {
        self.oracle.tally.store_calls += 1;
        let input = match call {
            StoreCall::Read if !self.store_up => ManagerInput::Read(ReadResult::Unavailable),
            StoreCall::Swap(..) if !self.store_up => ManagerInput::Swap(SwapResult::Unknown),
            StoreCall::Read => {
                let document = self.document.clone();
                ManagerInput::Read(document.map_or(ReadResult::Absent, ReadResult::Table))
            }
            StoreCall::Swap(expected, table) => {
                let found = self.document.as_ref().map(HomeTable::version);
                let result = if found == expected {
                    let before = self
                        .document
                        .as_ref()
                        .map(|table| table.newest_active().version);
                    let activated = before != Some(table.newest_active().version);
                    self.oracle.tally.epochs_activated += u64::from(activated);
                    self.document = Some(table);
                    SwapResult::Swapped
                } else {
                    SwapResult::Conflict
                };
                ManagerInput::Swap(result)
            }
        };
        self.events.push(Event::StoreAnswer(node, number, input));
    }

    /// Notifies the sender of a message that it cannot reach the receiver.
    fn refuse_connection(&mut self, event: &Event) {
        if let Event::Peer(Envelope { from, to, .. }) = event
            && let Some(node) = self.at_host(*from)
        {
            self.feed_ledger(node, Input::Unreachable(*to));
        }
    }

    /// Notifies the waiting node of a lost event.
    pub fn lose(&mut self, event: Event) {
        match event {
            Event::Attempt(attempt, _) => {
                self.reply(attempt.caller, Reply::Failure(ForwardFailure::NotSent));
            }
            Event::Store(node, number, StoreCall::Read)
            | Event::StoreAnswer(node, number, ManagerInput::Read(_)) => {
                let input = ManagerInput::Read(ReadResult::Unavailable);
                self.events.push(Event::StoreAnswer(node, number, input));
            }
            Event::Store(node, number, _) | Event::StoreAnswer(node, number, _) => {
                let input = ManagerInput::Swap(SwapResult::Unknown);
                self.events.push(Event::StoreAnswer(node, number, input));
            }
            _ => {}
        }
    }
}
