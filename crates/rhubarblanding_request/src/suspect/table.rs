//! Table of suspect requests.

use std::time::Duration;

use rhubarblanding_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CrashId, Fingerprint};

/// Maximum number of crashes that are kept for one request.
const CRASHES_MAX: usize = 8;

/// Settings of a [`SuspectTable`].
#[derive(Clone, Debug)]
pub struct SuspectSettings {
    /// Crashes from which a request runs only while no other request like it runs at the same
    /// backend server, so that the next crash tells them apart.
    pub isolate_from: usize,
    /// Crashes from which a request is refused.
    pub refuse_from: usize,
    /// Time since its last crash for which a request is refused. After that it is isolated.
    pub refusal_time: Duration,
    /// Time since its last crash after which a request is forgotten.
    pub memory_time: Duration,
    /// Time since its last crash for which a request is passed on though it is neither isolated nor
    /// refused.
    pub recent_time: Duration,
    /// Maximum number of requests in the table.
    pub entries_max: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            isolate_from: 2,
            refuse_from: 3,
            refusal_time: Duration::from_secs(600),
            memory_time: Duration::from_secs(3_600),
            recent_time: Duration::from_secs(10),
            entries_max: 1_024,
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It may run.
    Allowed,
    /// It may run while no other isolated request runs at the same backend server.
    Isolated,
    /// It must not run for the given time.
    Refused(Duration),
}

/// A crash during which a request ran, in messages between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The crash.
    pub id: CrashId,
    /// Time since it was noticed, in milliseconds: clocks of nodes need not agree.
    pub age_ms: u64,
    /// `true` if the request was completed later.
    pub cleared: bool,
}

/// A suspect request, in messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// Crashes during which it ran.
    pub crashes: Vec<CrashRecord>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    at: MonoTime,
    cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
}

impl Suspect {
    fn strikes(&self) -> usize {
        self.crashes.iter().filter(|crash| !crash.cleared).count()
    }

    fn last_at(&self) -> MonoTime {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or(MonoTime::ZERO)
    }

    /// Adds a crash; returns `true` if it was not known, or not known to be cleared.
    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            let changed = crash.cleared && !known.cleared;
            known.cleared |= crash.cleared;
            return changed;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = (0..self.crashes.len()).min_by_key(|i| self.crashes[*i].at);
            if let Some(oldest) = oldest {
                self.crashes.swap_remove(oldest);
            }
        }
        self.crashes.push(crash);
        true
    }
}

/// Suspect requests by their content.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    settings: SuspectSettings,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Requests that changed here since [`SuspectTable::take_changed`].
    changed: HashSet<Fingerprint>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self::new(SuspectSettings::default())
    }
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::default(),
            changed: HashSet::default(),
        }
    }

    /// Returns `true` if no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspect requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of crashes that count against a request.
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::strikes)
    }

    /// Records that a request ran during a crash; returns `true` if it is refused from now on.
    pub fn record_crash(&mut self, now: MonoTime, id: CrashId, fingerprint: Fingerprint) -> bool {
        let crash = Crash {
            id,
            at: now,
            cleared: false,
        };
        let before = self.strikes(fingerprint);
        if self.add(fingerprint, crash) {
            self.changed.insert(fingerprint);
        }
        self.crossed(before, fingerprint)
    }

    /// Records that a request was completed, which clears it.
    pub fn record_completed(&mut self, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.strikes() > 0 {
            self.changed.insert(fingerprint);
        }
        for crash in &mut suspect.crashes {
            crash.cleared = true;
        }
    }

    /// Decides on a request.
    pub fn verdict(&self, now: MonoTime, fingerprint: Fingerprint) -> SuspectVerdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return SuspectVerdict::Allowed;
        };
        let strikes = suspect.strikes();
        let left = now.until(suspect.last_at() + self.settings.refusal_time);
        if strikes >= self.settings.refuse_from && !left.is_zero() {
            return SuspectVerdict::Refused(left);
        }
        match strikes >= self.settings.isolate_from {
            true => SuspectVerdict::Isolated,
            false => SuspectVerdict::Allowed,
        }
    }

    /// Merges the records of another node; returns the requests that are refused from now on.
    pub fn merge(&mut self, now: MonoTime, records: &[SuspectRecord]) -> Vec<Fingerprint> {
        let mut refused = Vec::new();
        for SuspectRecord {
            fingerprint,
            crashes,
        } in records
        {
            let before = self.strikes(*fingerprint);
            for crash in crashes {
                let age = Duration::from_millis(crash.age_ms);
                if age < self.settings.memory_time {
                    let crash = Crash {
                        id: crash.id,
                        at: now - age,
                        cleared: crash.cleared,
                    };
                    self.add(*fingerprint, crash);
                }
            }
            if self.crossed(before, *fingerprint) {
                refused.push(*fingerprint);
            }
        }
        refused
    }

    /// Returns the records of the requests that changed here since the last call.
    pub fn take_changed(&mut self, now: MonoTime) -> Vec<SuspectRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|fingerprint| self.record(now, *fingerprint))
            .collect()
    }

    /// Returns at most `max` records of the requests that are isolated, refused or recent, those with
    /// most crashes first.
    pub fn records(&self, now: MonoTime, max: usize) -> Vec<SuspectRecord> {
        let mut order: Vec<(usize, MonoTime, Fingerprint)> = self
            .suspects
            .iter()
            .map(|(fingerprint, s)| (s.strikes(), s.last_at(), *fingerprint))
            .filter(|(strikes, last_at, _)| {
                let is_recent = now.since(*last_at) < self.settings.recent_time;
                is_recent || *strikes >= self.settings.isolate_from
            })
            .collect();
        order.sort_unstable();
        let first = order.iter().rev().take(max);
        first
            .filter_map(|(_, _, fingerprint)| self.record(now, *fingerprint))
            .collect()
    }

    /// Forgets requests whose last crash is long ago.
    pub fn expire(&mut self, now: MonoTime) {
        let memory_time = self.settings.memory_time;
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at()) < memory_time);
    }

    fn record(&self, now: MonoTime, fingerprint: Fingerprint) -> Option<SuspectRecord> {
        let suspect = self.suspects.get(&fingerprint)?;
        let crashes = suspect.crashes.iter().map(|crash| CrashRecord {
            id: crash.id,
            age_ms: now.since(crash.at).as_millis() as u64,
            cleared: crash.cleared,
        });
        Some(SuspectRecord {
            fingerprint,
            crashes: crashes.collect(),
        })
    }

    fn crossed(&self, before: usize, fingerprint: Fingerprint) -> bool {
        let refuse_from = self.settings.refuse_from;
        before < refuse_from && self.strikes(fingerprint) >= refuse_from
    }

    fn add(&mut self, fingerprint: Fingerprint, crash: Crash) -> bool {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            return suspect.add(crash);
        }
        if self.suspects.len() >= self.settings.entries_max {
            self.evict();
        }
        self.suspects.entry(fingerprint).or_default().add(crash)
    }

    /// Removes the request with the fewest crashes, of these the one whose last crash is oldest.
    fn evict(&mut self) {
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.strikes(), suspect.last_at()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }
}
