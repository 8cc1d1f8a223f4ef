//! Departures of instances on other hosts that this node holds in its memory.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::DepartureRecord;

/// Maximum number of hosts whose departures are held.
const HOSTS_MAX: usize = 1_024;
/// Maximum number of departures of one host: targets are replaced one after the other.
const RECORDS_MAX: usize = 16;

/// Departures of instances on one host.
#[derive(Clone, Debug, Default)]
struct HostDepartures {
    records: Vec<(DepartureRecord, MonoTime)>,
    /// Latest process on the host that knows them.
    told: Option<Incarnation>,
}

/// Departures of instances on other hosts, until they end.
#[derive(Clone, Debug, Default)]
pub struct HeldDepartures {
    by_host: HashMap<HostId, HostDepartures>,
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
        let records = &mut self.by_host.entry(host).or_default().records;
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
        let records = self.by_host.get(&host).map(|of_host| &of_host.records);
        let records = records.into_iter().flatten();
        records.map(|(departed, _)| departed.clone()).collect()
    }

    /// Sets the process on `host` that knows the departures from there.
    pub fn set_told(&mut self, host: HostId, told: Option<Incarnation>) {
        if let Some(of_host) = self.by_host.get_mut(&host) {
            of_host.told = told;
        }
    }

    /// Returns the departures from `host` if the process there is not known to know them, and records
    /// that it will.
    pub fn begin_telling(
        &mut self,
        now: MonoTime,
        host: HostId,
        incarnation: Incarnation,
    ) -> Option<Vec<DepartureRecord>> {
        self.expire(now);
        let of_host = self.by_host.get_mut(&host)?;
        let is_told = of_host.told.is_some_and(|told| told >= incarnation);
        of_host.told = of_host.told.max(Some(incarnation));
        (!is_told).then(|| self.list(now, host))
    }

    fn expire(&mut self, now: MonoTime) {
        self.by_host.retain(|_, of_host| {
            of_host.records.retain(|(_, end)| *end > now);
            !of_host.records.is_empty()
        });
    }
}
