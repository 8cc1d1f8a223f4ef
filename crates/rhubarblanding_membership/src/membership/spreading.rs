//! Spreading of updates, refutation of false ones, and housekeeping.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rhubarblanding_core::prelude::{HostId, Incarnation, TargetState};

use super::{Cx, Membership, Timer};
use crate::io::Event;
use crate::message::Body;
use crate::record::{Record, Stamp, Verdict};
use crate::updates::is_urgent;

impl Membership {
    /// Maximum number of updates piggybacked on a message.
    pub(super) const PIGGYBACK_MAX: usize = 4;
    /// Time between two housekeeping rounds.
    pub(super) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
    /// Number of pushes that a stopping node sends immediately, since it may exit before the next.
    const LAST_PUSHES: usize = 4;
    /// Share of the housekeeping rounds in which a seed is contacted, to heal a partition.
    const SEED_CONTACT_SHARE: f64 = 1.0 / 60.0;

    /// Announces the current state of the own target.
    pub(super) fn publish(&mut self, cx: &mut Cx<'_>) {
        self.me.revision += 1;
        let me = self.me.clone();
        self.merge_own_record(cx, &me);
        self.updates.insert(cx.now, me, self.settings.gossip_rounds);
        let pushes = match self.me.info.state {
            TargetState::Stopped => Self::LAST_PUSHES,
            _ => 1,
        };
        for _ in 0..pushes {
            self.push(cx);
        }
        self.schedule_gossip(cx);
    }

    /// Merges the own record into the view, the watcher candidates and the directory.
    pub(super) fn merge_own_record(&mut self, cx: &mut Cx<'_>, me: &Record) {
        let merge = self.view.merge(cx.now, me);
        for event in merge.events {
            cx.event(event);
        }
        self.watchers.observe(me);
        self.directory.observe(cx.rng, me);
    }

    /// Merges the updates carried by a message, and spreads the new ones.
    pub(super) fn learn_updates(&mut self, cx: &mut Cx<'_>, from: HostId, records: Vec<Record>) {
        for record in records {
            if record.host() == self.me.host() {
                self.refute(cx, &record);
                self.send_own_record(cx, from, &record);
                continue;
            }
            let is_newer = self.updates.is_newer(&record) && !self.is_already_known(&record);
            self.learn(cx, &record);
            if is_newer {
                self.spread(cx, record);
            }
        }
    }

    /// Merges one record without spreading it.
    pub(super) fn learn(&mut self, cx: &mut Cx<'_>, record: &Record) {
        if record.host() == self.me.host() {
            self.refute(cx, record);
            return;
        }
        if !self.is_outdated(record) {
            self.directory.observe(cx.rng, record);
            self.watchers.observe(record);
        }
        self.sample.update(record);
        let merge = self.view.merge(cx.now, record);
        for event in merge.events {
            cx.event(event);
        }
        if !merge.applied {
            return;
        }
        match record.verdict {
            Verdict::Alive => {}
            Verdict::Suspect => self.await_refutation(cx, record),
            Verdict::Down => self.verify(cx, record.host()),
        }
    }

    /// Queues `record` for pushing if the target is leaving or the budget allows it.
    pub(super) fn spread(&mut self, cx: &mut Cx<'_>, record: Record) {
        if !is_urgent(&record) && !self.budget.take(cx.now) {
            self.updates.mark_seen(cx.now, &record);
            return;
        }
        self.updates
            .insert(cx.now, record, self.settings.gossip_rounds);
        self.schedule_gossip(cx);
    }

    /// Pushes pending updates to random peers.
    pub(super) fn on_gossip_timer(&mut self, cx: &mut Cx<'_>) {
        self.gossip_scheduled = false;
        self.push(cx);
        if self.updates.has_pending() || self.version_rounds_left > 0 {
            self.gossip_scheduled = true;
            let due = cx.now + self.settings.gossip_interval;
            self.timers.subscribe(due, Timer::Gossip);
        }
    }

    /// Schedules a push within one interval, unless one is scheduled.
    pub(super) fn schedule_gossip(&mut self, cx: &mut Cx<'_>) {
        if self.gossip_scheduled || !self.settings.mechanisms.eager_spreading {
            return;
        }
        self.gossip_scheduled = true;
        let wait = self
            .settings
            .gossip_interval
            .mul_f64(cx.rng.random::<f64>());
        self.timers.subscribe(cx.now + wait, Timer::Gossip);
    }

    pub(super) fn on_housekeeping(&mut self, cx: &mut Cx<'_>) {
        let due = cx.now + Self::HOUSEKEEPING_INTERVAL;
        self.timers.subscribe(due, Timer::Housekeeping);
        self.updates.expire(cx.now, self.settings.update_ttl);
        for event in self.view.expire(cx.now, self.settings.tombstone_ttl) {
            cx.event(event);
        }
        for host in self.view.take_ejectable() {
            self.verify(cx, host);
        }
        self.contact_seeds(cx);
        self.update_watching(cx);
    }

    /// Discards pending updates and marks the view as unconfirmed after a pause of the process.
    pub(super) fn check_pause(&mut self, cx: &mut Cx<'_>) {
        let pause = cx.now.since(self.last_tick);
        self.last_tick = cx.now;
        if pause > self.settings.suspicion_timeout {
            self.updates.clear();
            self.view.mark_all_unconfirmed();
        }
    }

    fn push(&mut self, cx: &mut Cx<'_>) {
        if !self.settings.mechanisms.eager_spreading {
            return;
        }
        let records = self.updates.next_round(self.settings.max_updates);
        self.version_rounds_left = self.version_rounds_left.saturating_sub(1);
        let fanout = self.settings.gossip_fanout;
        let me = self.me.host();
        let mut peers = self.sample.choose(cx.rng, fanout, me);
        let known = self.view.usable_hosts();
        peers.extend(known.choose(cx.rng).filter(|host| **host != me));
        for to in peers {
            self.send_with(cx, to, Body::Updates, records.clone());
        }
    }

    /// Refutes a record of the own host that supersedes the one that this node announced.
    fn refute(&mut self, cx: &mut Cx<'_>, record: &Record) {
        if !self.settings.mechanisms.refutation || self.me.is_final() {
            return;
        }
        let mine = self.me.stamp();
        let theirs = record.stamp();
        // Another node may have started at this address in the same millisecond of its clock.
        let is_own = theirs == mine && record.info == self.me.info;
        if theirs < mine || is_own {
            return;
        }
        let same_incarnation = theirs.incarnation == mine.incarnation;
        if same_incarnation && theirs.revision != Stamp::LAST_REVISION {
            self.me.revision = theirs.revision;
        } else {
            self.me.info.incarnation = Incarnation(theirs.incarnation.0 + 1);
            self.me.revision = 0;
            cx.event(Event::IncarnationRaised(self.me.info.incarnation));
        }
        self.publish(cx);
    }

    /// Shows a peer its record, which it answers with a newer one.
    pub(super) fn on_contradicted(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        incarnation: Incarnation,
    ) {
        let held = self.record(host);
        let held = held.filter(|held| held.info.incarnation == incarnation);
        if let Some(held) = held.cloned()
            && host != self.me.host()
        {
            self.send_with(cx, host, Body::Updates, vec![held]);
        }
    }

    /// Sends the own record to a peer that holds an outdated one.
    fn send_own_record(&self, cx: &mut Cx<'_>, peer: HostId, held: &Record) {
        if held.stamp() < self.me.stamp() {
            self.send_with(cx, peer, Body::Updates, vec![self.me.clone()]);
        }
    }

    fn is_already_known(&self, record: &Record) -> bool {
        let known = self.record(record.host());
        known.is_some_and(|known| known.stamp() >= record.stamp())
    }

    pub(super) fn is_outdated(&self, record: &Record) -> bool {
        let known = self.record(record.host());
        let newer_known = known.is_some_and(|known| known.stamp() > record.stamp());
        newer_known || self.updates.is_outdated(record)
    }

    fn contact_seeds(&mut self, cx: &mut Cx<'_>) {
        if self.sample.is_isolated() {
            self.join(cx);
        } else if cx.rng.random_bool(Self::SEED_CONTACT_SHARE) {
            self.shuffle_with_seed(cx);
        }
    }

    fn update_watching(&mut self, cx: &mut Cx<'_>) {
        let ranked = self
            .watchers
            .is_among(self.me.host(), self.settings.watchers_per_zone);
        let since = *self.ranked_since.get_or_insert(cx.now);
        if !ranked {
            self.ranked_since = None;
        }
        let watch = ranked && cx.now.since(since) >= self.settings.watch_delay;
        if watch != self.watching {
            self.watching = watch;
            cx.event(Event::WatchStore(watch));
        }
    }
}
