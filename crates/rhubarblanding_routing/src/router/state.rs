//! Router: selection and health tracking of the targets of one service.

use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;
use slotmap::SlotMap;

use super::index::{Index, TargetKey, draw};
use super::speeds::Speeds;
use super::{DrainingUse, RouterSettings};
use crate::target::{HealthStatus, Target, TargetId, TargetOutcome, WorkKind};

/// Maximum number of targets that are compared in one sample: even if four of five are unreliable,
/// the sample contains a reliable one in nine of ten cases.
const CANDIDATES_MAX: usize = 12;

/// Maximum number of times that a target of less capacity is drawn again.
const REDRAWS_MAX: usize = 6;

/// Parameters of [`Router::pick`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Preferred availability zone.
    pub zone: Option<&'a ZoneName>,
    /// Kind of the request; without one it is supposed to take as long as the others.
    pub kind: Option<WorkKind>,
    /// Hosts that must not be picked, for example because they were tried before.
    pub exclude: &'a [HostId],
}

/// Change of a target's learned speed that is large enough to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedChange {
    /// Speed relative to the median of the service, in percent.
    pub percent: u32,
    /// Speed that was told before.
    pub before_percent: u32,
    /// Kinds of requests that were compared.
    pub kinds: usize,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: TargetKey,
    utilisation: f64,
    /// `true` if its backend server rejects or fails a part of the requests.
    is_unreliable: bool,
}

/// Targets of one service, with their load and health, and the selection among them.
///
/// ```
/// use rand::SeedableRng;
/// use rand::rngs::SmallRng;
/// use rhubarblanding_core::names::InvalidName;
/// use rhubarblanding_core::prelude::*;
/// use rhubarblanding_routing::prelude::*;
///
/// # fn main() -> Result<(), InvalidName> {
/// let now = MonoTime::ZERO;
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut router = Router::new(RouterSettings::default());
/// router.upsert(
///     now,
///     TargetInfo {
///         host: HostId(([10, 0, 0, 1], 7_000).into()),
///         incarnation: Incarnation(1),
///         service: ServiceName::try_from("turnos")?,
///         zone: ZoneName::try_from("ros")?,
///         slots: 170,
///         state: TargetState::Serving,
///     },
/// );
///
/// if let Some(id) = router.pick(now, &mut rng, PickRequest::default()) {
///     router.started(now, id);
///     router.finished(now, id, TargetOutcome::Answered);
///     // The answer reports that the target is draining.
///     let report = LoadReport {
///         draining: true,
///         ..LoadReport::default()
///     };
///     router.observe(now, id, report);
/// }
/// assert_eq!(router.pick(now, &mut rng, PickRequest::default()), None);
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Default)]
pub struct Router {
    settings: RouterSettings,
    targets: SlotMap<TargetKey, Target>,
    by_host: HashMap<HostId, TargetKey>,
    /// Serving targets; all targets with [`DrainingUse::Always`].
    serving: Index,
    /// Draining targets; none without [`DrainingUse::Spill`].
    draining: Index,
    speeds: Speeds,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a target or updates it. An update from an earlier incarnation is ignored.
    pub fn upsert(&mut self, now: MonoTime, info: TargetInfo) {
        let known = self.by_host.get(&info.host);
        let Some(target) = known.and_then(|key| self.targets.get_mut(*key)) else {
            return self.insert(now, info);
        };
        let before = (target.id(), target.is_serving(), target.is_draining());
        target.update(now, info);
        // Most announcements are repeats that change nothing in the index.
        if before != (target.id(), target.is_serving(), target.is_draining()) {
            self.rebuild();
        }
    }

    fn insert(&mut self, now: MonoTime, info: TargetInfo) {
        let host = info.host;
        let key = self.targets.insert(Target::new(now, info));
        self.by_host.insert(host, key);
        self.rebuild();
    }

    /// Removes a target.
    pub fn remove(&mut self, host: HostId) {
        if let Some(key) = self.by_host.remove(&host) {
            self.targets.remove(key);
            self.rebuild();
        }
    }

    /// Stops picking a target whose host belongs to another service now, until a later incarnation is
    /// known; returns `true` if it was picked until now.
    pub fn disown(&mut self, id: TargetId) -> bool {
        let is_news = self.target_mut(id).is_some_and(Target::disown);
        if is_news {
            self.rebuild();
        }
        is_news
    }

    /// Chooses a target: of two random ones, drawn by their capacity, the one that would be done
    /// first. Other zones are considered only
    /// while the preferred one is loaded, and draining targets only as the settings allow.
    pub fn pick(
        &self,
        now: MonoTime,
        rng: &mut impl Rng,
        req: PickRequest<'_>,
    ) -> Option<TargetId> {
        let serving = self.pick_serving(now, rng, req);
        let spill = self.settings.spill_utilisation;
        let is_loaded = serving.is_none_or(|candidate| candidate.utilisation >= spill);
        if is_loaded && let Some(draining) = self.pick_draining(now, rng, req, serving) {
            return self.id(draining);
        }
        self.id(serving?)
    }

    fn pick_draining(
        &self,
        now: MonoTime,
        rng: &mut impl Rng,
        req: PickRequest<'_>,
        serving: Option<Candidate>,
    ) -> Option<Candidate> {
        let draining = self.best_of_sample(now, rng, self.draining.all(), req)?;
        let margin = self.settings.spill_margin;
        let is_better = serving.is_none_or(|s| draining.utilisation + margin < s.utilisation);
        is_better.then_some(draining)
    }

    fn pick_serving(
        &self,
        now: MonoTime,
        rng: &mut impl Rng,
        req: PickRequest<'_>,
    ) -> Option<Candidate> {
        let local = req
            .zone
            .and_then(|zone| self.best_of_sample(now, rng, self.serving.zone(zone), req));
        if let Some(local) = local
            && local.utilisation < self.settings.spill_utilisation
        {
            return Some(local);
        }
        let any = self.best_of_sample(now, rng, self.serving.all(), req)?;
        match local {
            Some(local) if local.utilisation <= any.utilisation + self.settings.spill_margin => {
                Some(local)
            }
            _ => Some(any),
        }
    }

    /// Records that a request was sent to a target.
    pub fn started(&mut self, now: MonoTime, id: TargetId) {
        if let Some(target) = self.target_mut(id) {
            target.started(now);
        }
    }

    /// Records the outcome of a started request and returns the new health status if it changed.
    pub fn finished(
        &mut self,
        now: MonoTime,
        id: TargetId,
        outcome: TargetOutcome,
    ) -> Option<HealthStatus> {
        let status = self.target_mut(id)?.finished(now, outcome);
        if matches!(
            status,
            Some(HealthStatus::Failing | HealthStatus::Recovered)
        ) {
            self.rebuild();
        }
        status
    }

    /// Returns the share of requests that a target's backend server rejects or fails, from 0 to 1.
    pub fn unserved_share(&self, now: MonoTime, id: TargetId) -> f64 {
        let target = self.target(id.host).filter(|target| target.id() == id);
        target.map_or(0.0, |target| target.unserved_share(now))
    }

    /// Records the load report in an answer of a target.
    pub fn observe(&mut self, now: MonoTime, id: TargetId, report: LoadReport) {
        let Some(target) = self.target_mut(id) else {
            return;
        };
        let was_serving = target.is_serving();
        target.observe(now, report);
        if was_serving != target.is_serving() {
            self.rebuild();
        }
    }

    /// Records the mean time for which requests of `kind` hold a slot of a target; zero if its node
    /// does not know it. Returns the target's speed if it changed much since it was last returned.
    pub fn observe_hold(
        &mut self,
        now: MonoTime,
        id: TargetId,
        kind: WorkKind,
        hold: Duration,
    ) -> Option<SpeedChange> {
        if !self.settings.compares_speeds {
            return None;
        }
        if !hold.is_zero() {
            self.speeds.observe(hold);
            self.target_mut(id)?.observe_hold(now, kind, hold);
        }
        self.speeds.refresh(now, &mut self.targets);
        self.target_mut(id)?.speed_change(now)
    }

    /// Returns the learned speed of a target relative to the median of the service.
    pub fn speed(&self, host: HostId) -> f64 {
        self.target(host).map_or(1.0, Target::speed)
    }

    /// Returns the number of targets that take new requests, ejected ones included.
    pub fn serving_len(&self) -> usize {
        self.serving.all().len()
    }

    /// Returns the number of ejected targets.
    pub fn ejected_len(&self) -> usize {
        if self.may_eject() {
            self.serving.failing()
        } else {
            0
        }
    }

    /// Returns the number of this node's requests in flight at a host.
    pub fn in_flight(&self, host: HostId) -> u32 {
        self.target(host).map_or(0, Target::own_in_flight)
    }

    /// Returns `true` if failing targets are ejected. While too many fail, none is, as the fault is
    /// then more likely on the side of this node.
    fn may_eject(&self) -> bool {
        let max_ejected = self.serving_len() * self.settings.ejected_max_percent as usize / 100;
        self.serving.failing() <= max_ejected
    }

    /// Returns the less utilised of two random targets. While the best one is unreliable, more are
    /// drawn, since most targets may be unreliable.
    fn best_of_sample(
        &self,
        now: MonoTime,
        rng: &mut impl Rng,
        list: &[TargetKey],
        req: PickRequest<'_>,
    ) -> Option<Candidate> {
        let eligible = |key| self.is_eligible(now, key, req.exclude);
        let first = self.draw_by_capacity(rng, list, eligible)?;
        let mut best = self.candidate(now, first, req.kind);
        for compared in 1..CANDIDATES_MAX {
            if compared >= 2 && !best.is_unreliable {
                break;
            }
            let Some(other) =
                self.draw_by_capacity(rng, list, |key| key != best.key && eligible(key))
            else {
                break;
            };
            let other = self.candidate(now, other, req.kind);
            if other.utilisation < best.utilisation {
                best = other;
            }
        }
        Some(best)
    }

    /// Draws a target with a probability in proportion to its capacity.
    fn draw_by_capacity(
        &self,
        rng: &mut impl Rng,
        list: &[TargetKey],
        eligible: impl Fn(TargetKey) -> bool,
    ) -> Option<TargetKey> {
        let mut drawn = draw(rng, list, &eligible)?;
        for _ in 0..REDRAWS_MAX {
            let share = self.speeds.capacity_share(&self.targets[drawn]);
            if share >= 1.0 || rng.random_bool(share.max(0.0)) {
                break;
            }
            drawn = draw(rng, list, &eligible)?;
        }
        Some(drawn)
    }

    fn is_eligible(&self, now: MonoTime, key: TargetKey, exclude: &[HostId]) -> bool {
        let target = &self.targets[key];
        let ejected = target.is_failing() && self.may_eject() && !target.is_probe_due(now);
        !ejected && !exclude.contains(&target.id().host)
    }

    fn candidate(&self, now: MonoTime, key: TargetKey, kind: Option<WorkKind>) -> Candidate {
        let target = &self.targets[key];
        let cold_share = self.settings.cold_share;
        let service = self.speeds.relative_service(kind);
        let slow_start = self.settings.slow_start;
        let mut utilisation = target.utilisation(now, slow_start, cold_share, service);
        utilisation += self.settings.unserved_penalty * target.unserved_share(now);
        if target.is_failing() && !target.is_probe_due(now) {
            utilisation += self.settings.failing_penalty;
        }
        Candidate {
            key,
            utilisation,
            is_unreliable: target.is_unreliable(),
        }
    }

    fn id(&self, candidate: Candidate) -> Option<TargetId> {
        self.targets.get(candidate.key).map(Target::id)
    }

    fn target(&self, host: HostId) -> Option<&Target> {
        self.targets.get(*self.by_host.get(&host)?)
    }

    fn target_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        let key = self.by_host.get(&id.host)?;
        self.targets
            .get_mut(*key)
            .filter(|target| target.id() == id)
    }

    fn rebuild(&mut self) {
        let draining = self.settings.draining;
        self.serving = match draining {
            DrainingUse::Always => Index::build(&self.targets, |_| true),
            _ => Index::build(&self.targets, Target::is_serving),
        };
        self.draining = match draining {
            DrainingUse::Spill => Index::build(&self.targets, Target::is_draining),
            _ => Index::default(),
        };
    }
}
