//! Effects of operations on a cluster.

use rhubarblanding_core::ids::{IdempotencyKey, Incarnation};
use rhubarblanding_core::time::UnixMillis;
use rhubarblanding_once::prelude::*;

use super::cluster::Cluster;
use super::events::{Event, Reply};
use super::operations::{Backend, Op};
use crate::common::START;

/// Maximum number of keys of one run.
const KEYS_MAX: usize = 30;
/// Maximum number of events that are delivered in one operation.
const DELIVERIES_MAX: usize = 2_000;
/// Time in seconds within which the table must match the members once the faults are over.
const RECOVERY_SECONDS: u64 = 300;

impl Cluster {
    pub fn apply(&mut self, op: Op) {
        let nodes = self.nodes.len();
        match op {
            Op::Request { clock_off, entry } => self.new_request(clock_off, &[entry]),
            Op::Race { clock_off, entries } => self.new_request(clock_off, &entries),
            Op::Repeat {
                key,
                entry,
                other_request,
            } => {
                if !self.keys.is_empty() {
                    let keys = self.keys.len();
                    let key = self.keys[keys - 1 - key % keys];
                    let fingerprint = Fingerprint(u64::from(other_request));
                    self.request(key, fingerprint, entry % nodes);
                }
            }
            Op::Deliver(index) => {
                if let Some(event) = self.take(index) {
                    self.deliver(event);
                }
            }
            Op::DeliverAll => self.deliver_all(),
            Op::Lose(index) => self.lose_at(index),
            Op::Duplicate(index) => {
                let events = self.events.len().max(1);
                let event = self.events.get(index % events).cloned();
                self.events.extend(event.filter(Event::may_repeat));
            }
            Op::GiveUp(index) => {
                if let Some((caller, _)) = self.waiting(index) {
                    self.reply(caller, Reply::Failure(ForwardFailure::NoAnswer));
                }
            }
            Op::CallerDisconnected(index) => self.caller_disconnected(index),
            Op::Backend(backend) => self.backend = backend,
            Op::Advance(millis) => {
                self.millis += millis;
                self.tick();
            }
            Op::DeliverAndAdvance(millis) => {
                self.deliver_all();
                self.apply(Op::Advance(millis));
            }
            Op::Pause(node) => self.nodes[node % nodes].paused = true,
            Op::Resume(node) => self.resume(node % nodes),
            Op::Cut(nodes) => self.cut = nodes,
            Op::Replace(node) => self.replace(node % nodes),
            Op::View { node, dead } => {
                let members = self.members(dead);
                self.feed_manager(node % nodes, ManagerInput::View(members));
            }
            Op::CommonView { dead } => {
                let members = self.members(dead);
                for node in 0..nodes {
                    self.feed_manager(node, ManagerInput::View(members.clone()));
                }
            }
            Op::Store { up } => self.store_up = up,
            Op::ConfirmStopped(node) => self.confirm_stopped(node % nodes),
        }
    }

    fn new_request(&mut self, clock_off: i64, entries: &[usize]) {
        if self.keys.len() >= KEYS_MAX {
            return;
        }
        let wall = (START.0 + self.millis).saturating_add_signed(clock_off);
        let key = IdempotencyKey::mint(UnixMillis(wall), [self.keys.len() as u8; 10]);
        self.keys.push(key);
        for entry in entries {
            self.request(key, Fingerprint(0), entry % self.nodes.len());
        }
    }

    fn take(&mut self, index: usize) -> Option<Event> {
        let events = self.events.len();
        if events == 0 || self.is_held(&self.events[index % events]) {
            return None;
        }
        Some(self.events.remove(index % events))
    }

    fn deliver_all(&mut self) {
        for _ in 0..DELIVERIES_MAX {
            let next = self.events.iter().position(|event| !self.is_held(event));
            let Some(event) = next.map(|index| self.events.remove(index)) else {
                return;
            };
            self.deliver(event);
        }
    }

    fn lose_at(&mut self, index: usize) {
        let events = self.events.len().max(1);
        let index = index % events;
        let Some(event) = self.events.get(index).cloned().filter(Event::is_remote) else {
            return;
        };
        // A store call that is reported as unanswered may still take effect.
        if !matches!(event, Event::Store(..)) {
            self.events.remove(index);
        }
        self.lose(event);
    }

    fn replace(&mut self, node: usize) {
        let mut member = self.nodes[node].ledger.member().clone();
        if self.nodes[node].replaced {
            return;
        }
        self.nodes[node].replaced = true;
        let node_count = self.nodes.len() as u64;
        member.id.incarnation = Incarnation(node_count + 1);
        let other = self.nodes.iter().find(|node| !node.replaced);
        let table = other.and_then(|node| node.ledger.table().cloned());
        self.add_node(member, table);
    }

    fn resume(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].stopped;
    }

    fn confirm_stopped(&mut self, node: usize) {
        if !self.nodes[node].replaced {
            return;
        }
        self.nodes[node].paused = true;
        self.nodes[node].stopped = true;
        self.events.retain(|event| !event.is_of(node));
        let id = self.nodes[node].ledger.member().id;
        for manager in 0..self.nodes.len() {
            self.feed_manager(manager, ManagerInput::Stopped(id));
        }
    }

    /// Members that have not been replaced, without the one at index `dead`.
    fn members(&self, dead: Option<usize>) -> Vec<Member> {
        let alive = self.nodes.iter().filter(|node| !node.replaced);
        let mut members: Vec<Member> = alive.map(|node| node.ledger.member().clone()).collect();
        members.sort();
        if let Some(dead) = dead.filter(|_| members.len() > 1) {
            members.remove(dead % members.len());
        }
        members
    }

    /// Ends every fault and gives the table time to match the members.
    pub fn recover(&mut self) {
        self.cut = 0;
        self.backend = Backend::Run;
        self.store_up = true;
        for node in 0..self.nodes.len() {
            self.confirm_stopped(node);
            self.resume(node);
        }
        self.apply(Op::CommonView { dead: None });
        for _ in 0..RECOVERY_SECONDS {
            self.apply(Op::DeliverAll);
            self.apply(Op::Advance(1_000));
        }
    }

    /// Returns `true` if all nodes have a table whose newest epoch holds all of them.
    pub fn is_settled(&self) -> bool {
        let members = self.members(None);
        let alive = self.nodes.iter().filter(|node| !node.replaced);
        let mut tables = alive.map(|node| node.ledger.table());
        tables.all(|table| {
            table.is_some_and(|table| {
                table.proposed().is_none() && table.newest_active().members == members
            })
        })
    }
}
