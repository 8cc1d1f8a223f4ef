//! Local view of the targets of all services, and selection among them.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_routing::prelude::{
    HealthStatus, PickRequest, Router, RouterSettings, TargetId, TargetOutcome, WorkKind,
};

struct Shard {
    service: ServiceName,
    router: Router,
    rng: SmallRng,
}

/// Targets of all services.
pub struct Targets {
    clock: Clock,
    zone: ZoneName,
    settings: RouterSettings,
    seed: u64,
    services: Mutex<HashMap<ServiceName, Arc<Mutex<Shard>>>>,
}

/// Request that was sent to a target; passes its outcome to the router when dropped. Without
/// [`Self::finish`] it counts as cancelled by its sender.
pub struct SentRequest {
    clock: Clock,
    shard: Arc<Mutex<Shard>>,
    target: TargetId,
    outcome: TargetOutcome,
}

impl SentRequest {
    /// Records the outcome of the request.
    pub fn finish(mut self, outcome: TargetOutcome) {
        self.outcome = outcome;
    }

    fn log(&self, now: MonoTime, shard: &Shard, status_change: HealthStatus) {
        let router = &shard.router;
        let unserved = (router.unserved_share(now, self.target) * 100.0).round() as u32;
        log::info!(
            reason:% = status_change, outcome:% = self.outcome, service:% = shard.service,
            host:% = self.target.host, incarnation = self.target.incarnation.0,
            unserved_percent = unserved, ejected = router.ejected_len(),
            known_targets = router.serving_len();
            "target_judged"
        );
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut shard = lock(&self.shard);
        if let Some(status_change) = shard.router.finished(now, self.target, self.outcome) {
            self.log(now, &shard, status_change);
        }
    }
}

impl Targets {
    /// Creates an empty set of targets; targets in `zone` will be preferred.
    pub fn new(clock: Clock, zone: ZoneName, settings: RouterSettings, seed: u64) -> Self {
        Self {
            clock,
            zone,
            settings,
            seed,
            services: Mutex::default(),
        }
    }

    /// Inserts or updates a target.
    pub fn upsert(&self, info: TargetInfo) {
        let shard = self.shard(&info.service);
        lock(&shard).router.upsert(self.clock.now(), info);
    }

    /// Removes a target.
    pub fn remove(&self, service: &ServiceName, host: HostId) {
        lock(&self.shard(service)).router.remove(host);
    }

    /// Stops selecting a target whose host runs another service; returns `true` if it was selected until
    /// now.
    pub fn disown(&self, service: &ServiceName, target: TargetId) -> bool {
        lock(&self.shard(service)).router.disown(target)
    }

    /// Selects a target that is not in `exclude` for a request of `kind`.
    pub fn pick(
        &self,
        now: MonoTime,
        service: &ServiceName,
        kind: WorkKind,
        exclude: &[HostId],
    ) -> Option<TargetId> {
        let shard = self.shard(service);
        let shard = &mut *lock(&shard);
        let req = PickRequest {
            zone: Some(&self.zone),
            kind: Some(kind),
            exclude,
        };
        shard.router.pick(now, &mut shard.rng, req)
    }

    /// Records that a request is sent to a target.
    pub fn started(&self, service: &ServiceName, target: TargetId) -> SentRequest {
        let shard = self.shard(service);
        lock(&shard).router.started(self.clock.now(), target);
        SentRequest {
            clock: self.clock,
            shard,
            target,
            outcome: TargetOutcome::Cancelled,
        }
    }

    /// Records the load that a target's node reported in an answer to a request of `kind`.
    pub fn observe(
        &self,
        service: &ServiceName,
        target: TargetId,
        kind: WorkKind,
        load: LoadReport,
    ) {
        let now = self.clock.now();
        let shard = self.shard(service);
        let mut shard = lock(&shard);
        shard.router.observe(now, target, load);
        let hold = Duration::from_micros(u64::from(load.hold_us));
        if let Some(change) = shard.router.observe_hold(now, target, kind, hold) {
            log::info!(
                service:% = shard.service, host:% = target.host, speed_percent = change.percent,
                before_percent = change.before_percent, kinds = change.kinds;
                "target_speed"
            );
        }
    }

    /// Returns the number of known serving targets of `service`.
    pub fn len(&self, service: &ServiceName) -> usize {
        lock(&self.shard(service)).router.serving_len()
    }

    fn shard(&self, service: &ServiceName) -> Arc<Mutex<Shard>> {
        let mut services = lock(&self.services);
        if let Some(shard) = services.get(service) {
            return Arc::clone(shard);
        }
        let shard = Shard {
            service: service.clone(),
            router: Router::new(self.settings.clone()),
            rng: SmallRng::seed_from_u64(self.seed ^ services.len() as u64),
        };
        let shard = Arc::new(Mutex::new(shard));
        services.insert(service.clone(), Arc::clone(&shard));
        shard
    }
}
