//! Departures of instances on other hosts that this node holds in its memory.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::departures::DepartureRecord;

/// Maximum number of hosts whose departures are held.
const HOSTS_MAX: usize = 1_024;
/// Maximum number of departures of one host: targets are replaced one after the other.
const RECORDS_MAX: usize = 16;

/// Departures of instances on other hosts, until they end.
#[derive(Clone, Debug, Default)]
pub struct HeldDepartures {
    by_host: HashMap<HostId, Vec<(DepartureRecord, MonoTime)>>,
}

impl HeldDepartures {
    /// Holds a departure for `ttl`; returns `false` if there is no room.
    pub fn hold(
        &mut self,
        now: MonoTime,
        ttl: Duration,
        host: HostId,
        departed: DepartureRecord,
    ) -> bool {
        self.expire(now);
        if self.by_host.len() >= HOSTS_MAX && !self.by_host.contains_key(&host) {
            return false;
        }
        let records = self.by_host.entry(host).or_default();
        let is_known = records.iter().position(|(known, _)| *known == departed);
        match is_known {
            Some(known) => records[known].1 = now + ttl,
            None if records.len() < RECORDS_MAX => records.push((departed, now + ttl)),
            None => return false,
        }
        true
    }

    /// Returns the departures from `host`.
    pub fn list(&mut self, now: MonoTime, host: HostId) -> Vec<DepartureRecord> {
        self.expire(now);
        let records = self.by_host.get(&host).into_iter().flatten();
        records.map(|(departed, _)| departed.clone()).collect()
    }

    fn expire(&mut self, now: MonoTime) {
        self.by_host.retain(|_, records| {
            records.retain(|(_, end)| *end > now);
            !records.is_empty()
        });
    }
}
