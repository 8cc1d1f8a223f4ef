//! Random sample of peers, spread over the availability zones.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rhubarblanding_core::prelude::{HostId, ZoneName};

use crate::record::{Record, Verdict};

/// Number of peers that the sample keeps for each availability zone.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// From the own availability zone.
    pub own_zone: usize,
    /// From each other availability zone.
    pub other_zone: usize,
}

/// Peers that receive pushed updates and are probed in addition to the targets of interest.
#[derive(Clone, Debug)]
pub struct Sample {
    me: HostId,
    zone: ZoneName,
    size: SampleSize,
    zones: BTreeMap<ZoneName, Vec<Record>>,
}

impl Sample {
    /// Creates an empty sample for the node `me` in `zone`.
    pub fn new(me: HostId, zone: ZoneName, size: SampleSize) -> Self {
        Self {
            me,
            zone,
            size,
            zones: BTreeMap::new(),
        }
    }

    /// Updates the record of a peer that is in the sample.
    ///
    /// A peer that is down or stopped is dropped, unless it is the last known one of its
    /// availability zone: that one is kept to rejoin the zone after a network partition.
    pub fn update(&mut self, record: &Record) {
        let Some(peers) = self.zones.get_mut(&record.info.zone) else {
            return;
        };
        let Some(index) = peers.iter().position(|peer| peer.host() == record.host()) else {
            return;
        };
        if record.stamp() <= peers[index].stamp() {
            return;
        }
        if record.is_final() && peers.len() > 1 {
            peers.swap_remove(index);
            return;
        }
        peers[index] = record.clone();
    }

    /// Offers a live peer to the sample; a full sample replaces a random peer half of the time.
    pub fn offer(&mut self, rng: &mut SmallRng, record: &Record) {
        if record.host() == self.me || record.verdict != Verdict::Alive || record.is_final() {
            return;
        }
        let limit = match record.info.zone == self.zone {
            true => self.size.own_zone,
            false => self.size.other_zone,
        };
        let peers = self.zones.entry(record.info.zone.clone()).or_default();
        if let Some(known) = peers.iter_mut().find(|peer| peer.host() == record.host()) {
            if record.stamp() > known.stamp() {
                *known = record.clone();
            }
            return;
        }
        if let Some(ended) = peers.iter().position(Record::is_final) {
            peers[ended] = record.clone();
        } else if peers.len() < limit {
            peers.push(record.clone());
        } else if rng.random_bool(0.5) {
            let replaced = rng.random_range(0..peers.len());
            peers[replaced] = record.clone();
        }
    }

    /// Iterates over every peer.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.zones.values().flatten()
    }

    /// Returns the record of a peer.
    pub fn get(&self, host: HostId) -> Option<&Record> {
        self.iter().find(|peer| peer.host() == host)
    }

    /// Returns up to `count` live peers chosen at random, without `except`.
    pub fn choose(&self, rng: &mut SmallRng, count: usize, except: HostId) -> Vec<HostId> {
        let others = self.iter().filter(|peer| peer.host() != except);
        let live = others.filter(|peer| !peer.is_final());
        let chosen = live.choose_multiple(rng, count);
        chosen.into_iter().map(Record::host).collect()
    }

    /// Returns one peer of the own availability zone chosen at random.
    pub fn choose_own_zone(&self, rng: &mut SmallRng) -> Option<HostId> {
        let peers = self.zones.get(&self.zone)?;
        peers.iter().choose(rng).map(Record::host)
    }

    /// Returns one peer chosen at random, possibly one that is down or stopped.
    pub fn choose_any(&self, rng: &mut SmallRng) -> Option<HostId> {
        self.iter().choose(rng).map(Record::host)
    }

    /// Returns the records of up to `count` live peers chosen at random.
    pub fn records(&self, rng: &mut SmallRng, count: usize) -> Vec<Record> {
        let live = self.iter().filter(|peer| peer.verdict == Verdict::Alive);
        live.cloned().choose_multiple(rng, count)
    }

    /// Returns `true` if no live peer is known.
    pub fn is_isolated(&self) -> bool {
        self.iter().all(Record::is_final)
    }

    /// Returns the memory used, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let peers = self.zones.values().map(Vec::capacity).sum::<usize>();
        peers * size_of::<Record>()
    }
}
