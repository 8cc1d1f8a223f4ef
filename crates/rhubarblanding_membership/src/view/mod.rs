//! View of a node: the targets that it keeps, by service.

mod ejection;
mod service;

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::{HashMap, HostId, MonoTime, ServiceName, TargetInfo};
use slotmap::SlotMap;

pub use self::ejection::EjectionCap;
use self::service::ServiceView;
use crate::io::{Event, Health};
use crate::record::{Record, Verdict};
use crate::settings::ViewMode;

slotmap::new_key_type! {
    /// Key of a target in the view.
    pub struct TargetKey;
}

/// Usability of a target in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It may be used.
    Usable,
    /// A peer declared it down, and this node has not verified that yet.
    Unverified,
    /// It is down, but the ejection cap keeps it usable.
    KeptByCap,
    /// It is down or stopped, and kept only to reject outdated records.
    Tombstone,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    presence: Presence,
    changed_at: MonoTime,
    unconfirmed: bool,
}

impl Entry {
    fn health(&self) -> Health {
        let healthy = self.record.verdict == Verdict::Alive && self.presence == Presence::Usable;
        match healthy {
            true => Health::Healthy,
            false => Health::Suspect,
        }
    }
}

/// Usable target of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// The target.
    pub info: TargetInfo,
    /// Health status.
    pub health: Health,
}

/// Targets of the services of interest.
#[derive(Clone, Debug)]
pub struct View {
    mode: ViewMode,
    cap: EjectionCap,
    tombstones: bool,
    targets: SlotMap<TargetKey, Entry>,
    by_host: HashMap<HostId, TargetKey>,
    services: BTreeMap<ServiceName, ServiceView>,
}

impl View {
    /// Creates an empty view; without `tombstones` ended targets are removed immediately.
    pub fn new(mode: ViewMode, cap: EjectionCap, tombstones: bool) -> Self {
        Self {
            mode,
            cap,
            tombstones,
            targets: SlotMap::with_key(),
            by_host: HashMap::default(),
            services: BTreeMap::new(),
        }
    }

    /// Returns `true` if targets of `service` are kept.
    pub fn holds(&self, service: &ServiceName) -> bool {
        self.mode == ViewMode::Full || self.services.contains_key(service)
    }

    /// Returns the number of targets in the view, tombstones included.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns `true` if the view holds no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the record of `host`.
    pub fn get(&self, host: HostId) -> Option<&Record> {
        let key = self.by_host.get(&host)?;
        self.targets.get(*key).map(|entry| &entry.record)
    }

    /// Returns the usable targets of `service`.
    pub fn targets(&self, service: &ServiceName) -> Vec<KnownTarget> {
        let usable = |entry: &&Entry| entry.presence != Presence::Tombstone;
        let known = |entry: &Entry| KnownTarget {
            info: entry.record.info.clone(),
            health: entry.health(),
        };
        self.entries(service).filter(usable).map(known).collect()
    }

    /// Returns the hosts of all usable targets.
    pub fn usable_hosts(&self) -> Vec<HostId> {
        let usable = |entry: &&Entry| entry.presence != Presence::Tombstone;
        let entries = self.targets.values().filter(usable);
        entries.map(|entry| entry.record.host()).collect()
    }

    /// Merges `record` if it is newer than the known one of its host.
    ///
    /// Returns whether it was applied, and the events for the owner.
    pub fn merge(&mut self, now: MonoTime, record: &Record) -> Merge {
        match self.by_host.get(&record.host()).copied() {
            Some(key) => self.update(now, key, record),
            None if self.holds(&record.info.service) => self.insert(now, record),
            None => Merge::default(),
        }
    }

    /// Marks the record of `host` as confirmed, because a probe of it was answered.
    pub fn confirm(&mut self, host: HostId) {
        if let Some(entry) = self.entry_mut(host) {
            entry.unconfirmed = false;
        }
    }

    /// Marks every record as possibly outdated, for example after a pause of the process.
    ///
    /// Such records are not sent to peers until they are confirmed.
    pub fn mark_all_unconfirmed(&mut self) {
        for entry in self.targets.values_mut() {
            entry.unconfirmed = true;
        }
    }

    /// Returns `true` if the cap lets another target of `service` be declared down.
    pub fn may_eject(&self, service: &ServiceName) -> bool {
        self.cap
            .allows(self.ejected(service), self.members(service))
    }

    /// Returns the confirmed records of `service`, for sending to peers.
    pub fn records(&self, service: &ServiceName) -> Vec<Record> {
        let confirmed = |entry: &&Entry| !entry.unconfirmed;
        let entries = self.entries(service).filter(confirmed);
        entries.map(|entry| entry.record.clone()).collect()
    }

    /// Removes tombstones older than `ttl` and services whose interest has expired.
    pub fn expire(&mut self, now: MonoTime, ttl: Duration) -> Vec<Event> {
        self.expire_tombstones(now, ttl);
        self.expire_services(now)
    }

    /// Returns the memory used, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let services = self.services.iter().map(|(name, service)| {
            size_of::<(ServiceName, ServiceView)>() + name.as_str().len() + service.heap_bytes()
        });
        self.targets.capacity() * (size_of::<Entry>() + size_of::<u64>())
            + self.by_host.capacity() * (size_of::<(HostId, TargetKey)>() + 1)
            + services.sum::<usize>()
    }

    fn entry_mut(&mut self, host: HostId) -> Option<&mut Entry> {
        let key = self.by_host.get(&host)?;
        self.targets.get_mut(*key)
    }

    fn entries(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let keys = self.services.get(service).into_iter();
        keys.flat_map(ServiceView::keys)
            .filter_map(|key| self.targets.get(key))
    }

    fn insert(&mut self, now: MonoTime, record: &Record) -> Merge {
        if record.is_final() && !self.tombstones {
            return Merge::default();
        }
        let presence = match record.is_final() {
            true => Presence::Tombstone,
            false => Presence::Usable,
        };
        let entry = Entry {
            record: record.clone(),
            presence,
            changed_at: now,
            unconfirmed: false,
        };
        let health = entry.health();
        let service = record.info.service.clone();
        let key = self.targets.insert(entry);
        self.by_host.insert(record.host(), key);
        self.services
            .entry(service)
            .or_default()
            .insert(record.host(), key);
        let up = Event::TargetUp {
            info: record.info.clone(),
            health,
        };
        Merge {
            applied: true,
            events: Vec::from_iter((presence == Presence::Usable).then_some(up)),
        }
    }

    fn update(&mut self, now: MonoTime, key: TargetKey, record: &Record) -> Merge {
        let Some(entry) = self.targets.get(key) else {
            return Merge::default();
        };
        if record.stamp() <= entry.record.stamp() {
            return Merge::default();
        }
        let before = entry.clone();
        if before.record.info.service != record.info.service {
            return self.move_service(now, key, &before, record);
        }
        let presence = presence_after(&before, record);
        if let Some(entry) = self.targets.get_mut(key) {
            entry.record = record.clone();
            entry.presence = presence;
            entry.changed_at = now;
            entry.unconfirmed = false;
        }
        let events = self.change_events(key, &before);
        self.remove_if_tombstones_disabled(key);
        Merge {
            applied: true,
            events,
        }
    }

    fn move_service(
        &mut self,
        now: MonoTime,
        key: TargetKey,
        before: &Entry,
        record: &Record,
    ) -> Merge {
        self.remove(key);
        let mut merge = match self.holds(&record.info.service) {
            true => self.insert(now, record),
            false => Merge::default(),
        };
        if before.presence != Presence::Tombstone {
            merge.events.insert(0, down_event(&before.record));
        }
        merge.applied = true;
        merge
    }

    fn change_events(&self, key: TargetKey, before: &Entry) -> Vec<Event> {
        let Some(entry) = self.targets.get(key) else {
            return Vec::new();
        };
        let was_usable = before.presence != Presence::Tombstone;
        let is_usable = entry.presence != Presence::Tombstone;
        let info = entry.record.info.clone();
        let health = entry.health();
        let event = match (was_usable, is_usable) {
            (false, true) => Some(Event::TargetUp { info, health }),
            (true, true) => Some(Event::TargetChanged { info, health }),
            (true, false) => Some(down_event(&before.record)),
            (false, false) => None,
        };
        event.into_iter().collect()
    }

    /// Removes a tombstone if tombstones are disabled.
    fn remove_if_tombstones_disabled(&mut self, key: TargetKey) {
        let is_tombstone = self
            .targets
            .get(key)
            .is_some_and(|entry| entry.presence == Presence::Tombstone);
        if is_tombstone && !self.tombstones {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(entry) = self.targets.remove(key) else {
            return;
        };
        self.by_host.remove(&entry.record.host());
        if let Some(service) = self.services.get_mut(&entry.record.info.service) {
            service.remove(entry.record.host());
        }
    }
}

/// Result of merging a record.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    /// `true` if the record was newer than the known one.
    pub applied: bool,
    /// Events for the owner.
    pub events: Vec<Event>,
}

/// Returns the presence after an update to `record`.
///
/// A usable target that was declared down stays usable until this node has verified it.
fn presence_after(before: &Entry, record: &Record) -> Presence {
    let failed = record.verdict == Verdict::Down;
    match record.is_final() {
        false => Presence::Usable,
        true if failed && before.presence != Presence::Tombstone => Presence::Unverified,
        true => Presence::Tombstone,
    }
}

fn down_event(record: &Record) -> Event {
    Event::TargetDown {
        host: record.host(),
        incarnation: record.info.incarnation,
        service: record.info.service.clone(),
    }
}
