//! Failure detection: direct probes, indirect probes, suspicion.

use rand::seq::SliceRandom;
use rhubarblanding_core::prelude::HostId;

use super::{Cx, Membership, Timer};
use crate::message::{Body, ProbeSeq};
use crate::record::{Record, Stamp, Verdict};

/// Reason for a probe.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    /// Direct probe for this node's own failure detection.
    Own,
    /// Indirect probe for a peer that got no answer.
    Relay { origin: HostId, seq: ProbeSeq },
}

/// Unanswered probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    target: HostId,
    purpose: Purpose,
}

impl Membership {
    pub(super) fn on_probe_timer(&mut self, cx: &mut Cx<'_>) {
        let due = cx.now + self.settings.probe_interval;
        self.timers.subscribe(due, Timer::Probe);
        if let Some(target) = self.next_probe_target(cx) {
            self.probe(cx, target, Purpose::Own);
        }
    }

    pub(super) fn on_ack(&mut self, cx: &mut Cx<'_>, from: HostId, seq: ProbeSeq) {
        let Some(probe) = self.probes.remove(&seq) else {
            return;
        };
        self.view.confirm(probe.target);
        if let Purpose::Relay { origin, seq } = probe.purpose {
            self.send(cx, origin, Body::Ack(seq));
        }
        if from == probe.target {
            self.sync_if_suspect_or_final(cx, from);
        }
    }

    pub(super) fn on_ping_request(
        &mut self,
        cx: &mut Cx<'_>,
        origin: HostId,
        seq: ProbeSeq,
        target: HostId,
    ) {
        self.probe(cx, target, Purpose::Relay { origin, seq });
    }

    pub(super) fn on_direct_timeout(&mut self, cx: &mut Cx<'_>, seq: ProbeSeq) {
        let Some(probe) = self.probes.get(&seq).copied() else {
            return;
        };
        if matches!(probe.purpose, Purpose::Relay { .. }) {
            self.probes.remove(&seq);
            return;
        }
        let target = probe.target;
        for relay in self
            .sample
            .choose(cx.rng, self.settings.indirect_probes, target)
        {
            self.send(cx, relay, Body::PingRequest { seq, target });
        }
        self.send(cx, target, Body::Ping(seq));
        let due = cx.now + 2 * self.settings.probe_timeout;
        self.timers.subscribe(due, Timer::ProbeIndirect(seq));
    }

    pub(super) fn on_indirect_timeout(&mut self, cx: &mut Cx<'_>, seq: ProbeSeq) {
        let Some(probe) = self.probes.remove(&seq) else {
            return;
        };
        if self.view.is_unverified(probe.target) {
            self.eject(cx, probe.target);
            return;
        }
        let Some(record) = self.record(probe.target) else {
            return;
        };
        if record.verdict == Verdict::Alive && !record.is_final() {
            let suspect = record.with_verdict(Verdict::Suspect);
            self.suspect(cx, suspect);
        }
    }

    pub(super) fn await_refutation(&mut self, cx: &mut Cx<'_>, suspect: &Record) {
        let due = cx.now + self.settings.suspicion_timeout;
        let timer = Timer::Suspicion(suspect.host(), suspect.stamp());
        self.timers.subscribe(due, timer);
    }

    pub(super) fn on_suspicion_timeout(&mut self, cx: &mut Cx<'_>, host: HostId, stamp: Stamp) {
        let Some(record) = self.record(host) else {
            return;
        };
        if record.stamp() != stamp {
            return;
        }
        let down = record.with_verdict(Verdict::Down);
        let in_view = self.view.get(host).is_some();
        if in_view && !self.view.may_eject(&down.info.service) {
            self.await_refutation(cx, &down.with_verdict(Verdict::Suspect));
            return;
        }
        self.learn(cx, &down);
        self.spread(cx, down);
    }

    /// Probes a target that a peer declared down before ejecting it from the view.
    ///
    /// A running target learns from the probe that it was declared down.
    pub(super) fn verify(&mut self, cx: &mut Cx<'_>, host: HostId) {
        if !self.settings.mechanisms.verification {
            self.eject(cx, host);
        } else if self.view.is_unverified(host) {
            self.probe(cx, host, Purpose::Own);
        }
    }

    fn eject(&mut self, cx: &mut Cx<'_>, host: HostId) {
        if let Some(event) = self.view.eject(host) {
            cx.event(event);
        }
    }

    fn suspect(&mut self, cx: &mut Cx<'_>, suspect: Record) {
        let host = suspect.host();
        let in_view = self.view.get(host).is_some();
        self.learn(cx, &suspect);
        if !in_view {
            self.await_refutation(cx, &suspect);
        }
        self.spread(cx, suspect);
        self.send(cx, host, Body::Updates);
    }

    fn probe(&mut self, cx: &mut Cx<'_>, target: HostId, purpose: Purpose) {
        let seq = self.next_seq;
        self.next_seq = ProbeSeq(seq.0 + 1);
        self.probes.insert(seq, PendingProbe { target, purpose });
        let due = cx.now + self.settings.probe_timeout;
        self.timers.subscribe(due, Timer::ProbeDirect(seq));
        self.send(cx, target, Body::Ping(seq));
    }

    /// Alternates between the sample, to detect failures of any node, and the targets of interest,
    /// to detect failures of those that this node sends requests to.
    fn next_probe_target(&mut self, cx: &mut Cx<'_>) -> Option<HostId> {
        self.probe_sample_next = !self.probe_sample_next;
        if self.probe_sample_next {
            return self
                .sample
                .choose_any(cx.rng)
                .or_else(|| self.next_in_view(cx));
        }
        self.next_in_view(cx)
            .or_else(|| self.sample.choose_any(cx.rng))
    }

    fn next_in_view(&mut self, cx: &mut Cx<'_>) -> Option<HostId> {
        if self.probe_queue.is_empty() {
            self.probe_queue = self.view.usable_hosts();
            self.probe_queue.extend(self.candidates_to_probe());
            self.probe_queue.shuffle(cx.rng);
        }
        let me = self.me.host();
        while let Some(host) = self.probe_queue.pop() {
            let known = self.record(host);
            if host != me && known.is_some() {
                return Some(host);
            }
        }
        None
    }

    /// Returns the watcher candidates, if this node is one of them.
    fn candidates_to_probe(&self) -> Vec<HostId> {
        match self.watchers.is_candidate(self.me.host()) {
            true => self.watchers.records().map(Record::host).collect(),
            false => Vec::new(),
        }
    }
}
