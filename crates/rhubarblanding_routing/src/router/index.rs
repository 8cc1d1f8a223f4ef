//! Lists of targets that may be picked, over all zones and by zone.

use rand::Rng;
use rhubarblanding_core::prelude::*;
use slotmap::SlotMap;

use crate::target::Target;

slotmap::new_key_type! {
    /// Key of a target in a router.
    pub(super) struct TargetKey;
}

/// Random draws before the whole list is scanned.
const DRAWS: usize = 6;

/// Subset of a router's targets.
#[derive(Debug, Default)]
pub(super) struct Index {
    all: Vec<TargetKey>,
    zones: HashMap<ZoneName, Vec<TargetKey>>,
    failing: usize,
}

impl Index {
    /// Lists the targets for which `is_listed` returns `true`.
    pub(super) fn build(
        targets: &SlotMap<TargetKey, Target>,
        is_listed: impl Fn(&Target) -> bool,
    ) -> Self {
        let mut index = Self::default();
        for (key, target) in targets.iter().filter(|(_, target)| is_listed(target)) {
            index.all.push(key);
            let zone = index.zones.entry(target.zone().clone()).or_default();
            zone.push(key);
            index.failing += usize::from(target.is_failing());
        }
        index
    }

    pub(super) fn all(&self) -> &[TargetKey] {
        &self.all
    }

    pub(super) fn zone(&self, zone: &ZoneName) -> &[TargetKey] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of failing targets in the index.
    pub(super) fn failing(&self) -> usize {
        self.failing
    }
}

/// Draws a random key of `list` for which `eligible` returns `true`.
pub(super) fn draw(
    rng: &mut impl Rng,
    list: &[TargetKey],
    eligible: impl Fn(TargetKey) -> bool,
) -> Option<TargetKey> {
    if list.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let key = list[rng.random_range(0..list.len())];
        if eligible(key) {
            return Some(key);
        }
    }
    let start = rng.random_range(0..list.len());
    let (head, tail) = list.split_at(start);
    tail.iter().chain(head).copied().find(|key| eligible(*key))
}
