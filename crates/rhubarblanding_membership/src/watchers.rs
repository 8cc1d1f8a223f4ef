//! Choice of the few nodes of each availability zone that watch the key-value service.

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::{HostId, TargetState, ZoneName};

use crate::record::{Record, Verdict};

/// Seed of the hash that ranks the nodes.
const RANK_SEED: u64 = 0x57a7_c4e5;

#[derive(Clone, Debug)]
struct Candidate {
    rank: u64,
    record: Record,
}

/// The lowest-ranked live nodes of the own availability zone.
///
/// Every node keeps the lowest ranks among the records that it received. Exchanges within the zone
/// spread the lowest ones, so all nodes of the zone converge on the same list without a full list
/// of the zone's nodes.
#[derive(Clone, Debug)]
pub struct Watchers {
    zone: ZoneName,
    limit: usize,
    candidates: Vec<Candidate>,
}

impl Watchers {
    /// Creates a list of up to `limit` candidates of `zone`.
    pub fn new(zone: ZoneName, limit: usize) -> Self {
        Self {
            zone,
            limit,
            candidates: Vec::new(),
        }
    }

    /// Adds, updates or removes a candidate according to its record.
    pub fn observe(&mut self, record: &Record) {
        if record.info.zone != self.zone {
            return;
        }
        let host = record.host();
        let known = self.candidates.iter().position(|c| c.record.host() == host);
        if let Some(index) = known {
            if record.stamp() <= self.candidates[index].record.stamp() {
                return;
            }
            self.candidates.remove(index);
        }
        if record.verdict != Verdict::Down && record.info.state < TargetState::Draining {
            self.insert(record);
        }
    }

    /// Returns `true` if `host` is among the first `count` candidates.
    pub fn is_among(&self, host: HostId, count: usize) -> bool {
        let first = self.candidates.iter().take(count);
        first.map(|c| c.record.host()).any(|other| other == host)
    }

    /// Returns `true` if `host` is a candidate.
    pub fn is_candidate(&self, host: HostId) -> bool {
        self.is_among(host, self.limit)
    }

    /// Iterates over the records of the candidates, lowest rank first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.candidates.iter().map(|c| &c.record)
    }

    /// Returns the memory used, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.candidates.capacity() * size_of::<Candidate>()
    }

    fn insert(&mut self, record: &Record) {
        let rank = rank_of(record.host());
        let place = self.candidates.partition_point(|c| c.rank < rank);
        if place >= self.limit {
            return;
        }
        let record = record.clone();
        self.candidates.insert(place, Candidate { rank, record });
        self.candidates.truncate(self.limit);
    }
}

fn rank_of(host: HostId) -> u64 {
    stable_hash(RANK_SEED, host.to_string().as_bytes())
}
