//! Joining, exchange of peer samples, and comparison of views.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rhubarblanding_core::prelude::{HostId, MonoTime, ServiceName};

use super::{Cx, Membership, Timer};
use crate::message::{Body, Exchange, ServiceRecords};
use crate::record::{Record, Verdict};

impl Membership {
    /// Time for which views may differ after a comparison found a difference.
    const SETTLING_AFTER_DIFFERENCE: Duration = Duration::from_secs(5);
    /// Number of peers that a node exchanges samples with as soon as it has joined.
    const SHUFFLES_AFTER_JOIN: usize = 8;
    /// Directory entries in one exchange.
    const SHUFFLE_CONTACTS: usize = 3;

    /// Joins through some of the seeds.
    pub(super) fn join(&mut self, cx: &mut Cx<'_>) {
        let me = self.me.host();
        let others = self.seeds.iter().filter(|host| **host != me);
        let chosen = others
            .copied()
            .choose_multiple(cx.rng, self.settings.join_fanout);
        self.send_join(cx, chosen);
    }

    /// Stores addresses of peers and joins through some of those that are unknown.
    pub(super) fn on_seeds(&mut self, cx: &mut Cx<'_>, hosts: Vec<HostId>) {
        let me = self.me.host();
        let is_unknown = |host: &HostId| *host != me && self.record(*host).is_none();
        let unknown = hosts.iter().copied().filter(is_unknown);
        let chosen = unknown.choose_multiple(cx.rng, self.settings.join_fanout);
        self.seeds.extend(hosts);
        self.send_join(cx, chosen);
    }

    /// Joins through a peer that sent a message, while no live peer is known. A restarted node may
    /// have no other addresses than those of nodes that still send it messages.
    pub(super) fn join_through(&self, cx: &mut Cx<'_>, peer: HostId) {
        if self.sample.is_isolated() {
            self.send_join(cx, vec![peer]);
        }
    }

    fn send_join(&self, cx: &mut Cx<'_>, hosts: Vec<HostId>) {
        for host in hosts {
            let record = Box::new(self.me.clone());
            self.send(cx, host, Body::Join(record));
        }
    }

    pub(super) fn on_join(&mut self, cx: &mut Cx<'_>, from: HostId, record: &Record) {
        let mut reply = self.exchange(cx, from);
        reply.contacts = self.directory.entries();
        self.send(cx, from, Body::ShuffleReply(reply));
        self.sample.offer(cx.rng, record);
        self.learn(cx, record);
    }

    pub(super) fn on_shuffle_timer(&mut self, cx: &mut Cx<'_>) {
        let interval = match self.is_new(cx.now) {
            true => self.settings.fast_shuffle_interval,
            false => self.settings.shuffle_interval,
        };
        self.timers.subscribe(cx.now + interval, Timer::Shuffle);
        let own_zone = cx.rng.random_bool(0.5);
        let peer = match own_zone {
            true => self.sample.choose_own_zone(cx.rng),
            false => self.sample.choose_any(cx.rng),
        };
        if let Some(peer) = peer {
            self.shuffle_with(cx, peer);
        }
    }

    /// Exchanges samples with several peers, so that their pushes reach this node.
    fn shuffle_after_join(&mut self, cx: &mut Cx<'_>) {
        let me = self.me.host();
        for peer in self.sample.choose(cx.rng, Self::SHUFFLES_AFTER_JOIN, me) {
            self.shuffle_with(cx, peer);
        }
    }

    pub(super) fn on_shuffle_reply(&mut self, cx: &mut Cx<'_>, exchange: Exchange) {
        let was_isolated = self.sample.is_isolated();
        self.merge_exchange(cx, exchange);
        if was_isolated {
            self.shuffle_after_join(cx);
        }
    }

    fn is_new(&self, now: MonoTime) -> bool {
        now.since(self.started_at) < self.settings.settling_time
    }

    pub(super) fn shuffle_with_seed(&mut self, cx: &mut Cx<'_>) {
        let me = self.me.host();
        let seed = self.seeds.iter().filter(|host| **host != me).choose(cx.rng);
        if let Some(seed) = seed.copied() {
            self.shuffle_with(cx, seed);
        }
    }

    pub(super) fn on_shuffle(&mut self, cx: &mut Cx<'_>, from: HostId, exchange: Exchange) {
        let reply = self.exchange(cx, from);
        self.send(cx, from, Body::ShuffleReply(reply));
        self.merge_exchange(cx, exchange);
    }

    pub(super) fn merge_exchange(&mut self, cx: &mut Cx<'_>, exchange: Exchange) {
        for record in &exchange.peers {
            if !self.is_outdated(record) {
                self.sample.offer(cx.rng, record);
                self.learn(cx, record);
            }
        }
        for contacts in &exchange.contacts {
            self.directory.merge(cx.rng, contacts);
        }
    }

    /// Compares the view of the next service, in turn, with a target of that service.
    pub(super) fn on_sync_timer(&mut self, cx: &mut Cx<'_>) {
        let interval = match cx.now < self.settled_at {
            true => self.settings.fast_sync_interval,
            false => self.settings.sync_interval,
        };
        self.timers.subscribe(cx.now + interval, Timer::Sync);
        let next = self.view.service_after(self.last_synced.as_ref()).cloned();
        self.last_synced.clone_from(&next);
        if let Some(service) = next {
            self.sync(cx, service);
        }
    }

    pub(super) fn on_digest(
        &mut self,
        cx: &mut Cx<'_>,
        from: HostId,
        service: ServiceName,
        hash: u64,
    ) {
        if !self.view.holds(&service) || self.view.digest(&service) == hash {
            return;
        }
        let reply = ServiceRecords {
            records: self.view.records(&service),
            service,
            answer: true,
        };
        self.send(cx, from, Body::Records(reply));
    }

    pub(super) fn on_records(&mut self, cx: &mut Cx<'_>, from: HostId, received: ServiceRecords) {
        if !self.view.holds(&received.service) {
            return;
        }
        let missing = match received.answer {
            true => self.missing_records(&received),
            false => Vec::new(),
        };
        let before = self.view.digest(&received.service);
        for record in &received.records {
            self.adopt(cx, record);
        }
        if before != self.view.digest(&received.service) {
            let soon = cx.now + Self::SETTLING_AFTER_DIFFERENCE;
            self.settled_at = self.settled_at.max(soon);
        }
        self.view.set_resolved(&received.service);
        if !missing.is_empty() {
            let reply = ServiceRecords {
                service: received.service,
                records: missing,
                answer: false,
            };
            self.send(cx, from, Body::Records(reply));
        }
    }

    /// Compares views with a peer that answered although its record is suspect or final.
    pub(super) fn sync_if_suspect_or_final(&mut self, cx: &mut Cx<'_>, peer: HostId) {
        let Some(record) = self.record(peer) else {
            return;
        };
        if record.is_suspect_or_final() && self.settings.mechanisms.anti_entropy {
            let service = record.info.service.clone();
            self.send_digest(cx, peer, service);
        }
    }

    fn shuffle_with(&mut self, cx: &mut Cx<'_>, peer: HostId) {
        let exchange = self.exchange(cx, peer);
        self.send(cx, peer, Body::Shuffle(exchange));
    }

    /// Returns an extract of the sample and of the directory. For a peer of the own availability
    /// zone it includes the watcher candidates.
    fn exchange(&mut self, cx: &mut Cx<'_>, peer: HostId) -> Exchange {
        let mut peers = self.sample.records(cx.rng, self.settings.shuffle_len);
        peers.push(self.me.clone());
        let peer_zone = self.record(peer).map(|record| &record.info.zone);
        if peer_zone == Some(&self.me.info.zone) {
            let candidates = self
                .watchers
                .records()
                .take(self.settings.watchers_per_zone);
            peers.extend(candidates.cloned());
        }
        Exchange {
            peers,
            contacts: self.directory.sample(cx.rng, Self::SHUFFLE_CONTACTS),
        }
    }

    fn sync(&mut self, cx: &mut Cx<'_>, service: ServiceName) {
        if !self.settings.mechanisms.anti_entropy {
            return;
        }
        let me = self.me.host();
        let known = self.view.targets(&service);
        let hosts: Vec<_> = known.iter().map(|target| target.info.host).collect();
        let others: Vec<_> = hosts.into_iter().filter(|host| *host != me).collect();
        if let Some(peer) = others.choose(cx.rng).copied() {
            self.send_digest(cx, peer, service);
        }
    }

    fn send_digest(&mut self, cx: &mut Cx<'_>, peer: HostId, service: ServiceName) {
        let hash = self.view.digest(&service);
        self.send(cx, peer, Body::Digest { service, hash });
    }

    /// Merges a record from a comparison of views.
    ///
    /// An unknown suspect is skipped: it may have been down for long, with its tombstone expired.
    fn adopt(&mut self, cx: &mut Cx<'_>, record: &Record) {
        let unknown = self.view.get(record.host()).is_none();
        if unknown && record.verdict == Verdict::Suspect {
            return;
        }
        self.learn(cx, record);
        self.sample.offer(cx.rng, record);
    }

    /// Returns the records that the sender of `received` is missing or holds in an older state.
    fn missing_records(&self, received: &ServiceRecords) -> Vec<Record> {
        let is_newer = |record: &Record| {
            let theirs = received.records.iter().find(|r| r.host() == record.host());
            theirs.is_none_or(|theirs| theirs.stamp() < record.stamp())
        };
        let mine = self.view.records(&received.service).into_iter();
        mine.filter(is_newer).collect()
    }
}
