//! A router beside a model that knows only what each target's node has said.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::{
    HostId, Incarnation, LoadReport, MonoTime, ServiceName, TargetInfo, TargetState, ZoneName,
};
use rhubarblanding_routing::prelude::*;

use crate::model::{Fault, Step};

/// How often runs without a fault came to each corner.
static REACHED: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

pub fn reached(corner: &str) -> u64 {
    let counts = REACHED.lock().map(|counts| counts.get(corner).copied());
    counts.ok().flatten().unwrap_or(0)
}

const HOSTS: usize = 12;
const ZONES: [&str; 3] = ["kochi", "thrissur", "kozhikode"];
const EJECTED_MAX_PERCENT: usize = 50;

/// What the router was told of one life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    incarnation: Incarnation,
    state: TargetState,
}

/// What a target is in truth.
#[derive(Clone, Copy, Debug)]
struct Truth {
    incarnation: Incarnation,
    leaving: bool,
}

pub struct World {
    fault: u8,
    router: Router,
    rng: SmallRng,
    now: MonoTime,
    truth: [Truth; HOSTS],
    known: [Option<Known>; HOSTS],
    running: Vec<TargetId>,
}

fn host_id(host: usize) -> HostId {
    HostId(([10, 0, 0, host as u8], 7_000).into())
}

fn zone(index: usize) -> ZoneName {
    match ZoneName::try_from(ZONES[index % ZONES.len()]) {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    }
}

fn info(host: usize, known: Known) -> TargetInfo {
    let service = match ServiceName::try_from("submissions") {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    };
    TargetInfo {
        host: host_id(host),
        incarnation: known.incarnation,
        service,
        zone: zone(host),
        slots: 8,
        state: known.state,
    }
}

/// A backend server may start again under one life of its node; a life that leaves stays so.
fn next_state(known: TargetState, told: TargetState) -> TargetState {
    match known {
        TargetState::Starting | TargetState::Serving => told,
        TargetState::Draining | TargetState::Stopped => known.max(told),
    }
}

impl World {
    pub fn new(fault: u8) -> Self {
        let mut settings = RouterSettings {
            draining: match fault == Fault::DRAINING_PICKED {
                true => DrainingUse::Always,
                false => DrainingUse::Never,
            },
            ..RouterSettings::default()
        };
        if fault == Fault::ALL_EJECTED {
            settings.ejected_max_percent = 100;
        }
        let truth = Truth {
            incarnation: Incarnation(1),
            leaving: false,
        };
        Self {
            fault,
            router: Router::new(settings),
            rng: SmallRng::seed_from_u64(1),
            now: MonoTime::ZERO,
            truth: [truth; HOSTS],
            known: [None; HOSTS],
            running: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Announce { host, state } => self.announce(usize::from(host) % HOSTS, state),
            Step::AnnounceLate { host } => self.announce_late(usize::from(host) % HOSTS),
            Step::Replace { host } => self.replace(usize::from(host) % HOSTS),
            Step::LeaveUnannounced { host } => {
                self.truth[usize::from(host) % HOSTS].leaving = true;
            }
            Step::Remove { host } => {
                let host = usize::from(host) % HOSTS;
                self.known[host] = None;
                self.router.remove(host_id(host));
            }
            Step::Pick { zone, exclude } => self.pick(zone, exclude),
            Step::End {
                running,
                outcome,
                queued,
            } => self.end(running, outcome, queued),
            Step::FailZone { zone } => self.fail_zone(usize::from(zone) % ZONES.len()),
            Step::Wait { millis } => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn announce(&mut self, host: usize, state: TargetState) {
        let told = Known {
            incarnation: self.truth[host].incarnation,
            state,
        };
        self.truth[host].leaving |= state >= TargetState::Draining;
        self.tell(host, told);
    }

    fn announce_late(&mut self, host: usize) {
        let earlier = self.truth[host].incarnation.0 - 1;
        let told = Known {
            incarnation: Incarnation(earlier),
            state: TargetState::Serving,
        };
        if self.known[host].is_some() {
            self.tell(host, told);
        }
    }

    fn tell(&mut self, host: usize, told: Known) {
        self.router.upsert(self.now, info(host, told));
        let known = self.known[host].unwrap_or(told);
        self.known[host] = Some(match known.incarnation.cmp(&told.incarnation) {
            Ordering::Less => told,
            Ordering::Equal => Known {
                state: next_state(known.state, told.state),
                ..told
            },
            Ordering::Greater => known,
        });
    }

    fn replace(&mut self, host: usize) {
        self.truth[host].incarnation.0 += 1;
        self.truth[host].leaving = false;
    }

    fn pick(&mut self, zone_index: u8, exclude: u8) {
        let excluded = [host_id(usize::from(exclude) % HOSTS)];
        let zone = zone(usize::from(zone_index));
        let req = PickRequest {
            zone: Some(&zone),
            exclude: &excluded,
        };
        let picked = self.router.pick(self.now, &mut self.rng, req);
        let Some(id) = picked else {
            return self.check_nothing_picked(excluded[0]);
        };
        assert!(
            !excluded.contains(&id.host),
            "excluded {} is picked",
            id.host
        );
        let host = self.host(id);
        let serving = self.known[host].is_some_and(|known| {
            known.incarnation == id.incarnation && known.state == TargetState::Serving
        });
        assert!(serving, "{} is picked, which does not serve", id.host);
        self.reach("picked");
        self.router.started(self.now, id);
        self.running.push(id);
    }

    /// The router may pick nothing only if nothing serves or the few that do not fail are
    /// excluded.
    fn check_nothing_picked(&self, excluded: HostId) {
        let serving = (0..HOSTS)
            .filter(|host| host_id(*host) != excluded)
            .filter(|host| self.is_known_to_serve(*host))
            .count();
        let ejected = self.router.ejected_len();
        assert!(
            serving <= ejected,
            "nothing is picked of {serving} targets, {ejected} of them ejected"
        );
        self.reach("none serving");
    }

    fn is_known_to_serve(&self, host: usize) -> bool {
        self.known[host].is_some_and(|known| known.state == TargetState::Serving)
    }

    fn host(&self, id: TargetId) -> usize {
        (0..HOSTS)
            .find(|host| host_id(*host) == id.host)
            .unwrap_or_default()
    }

    fn end(&mut self, running: u16, outcome: TargetOutcome, queued: u32) {
        if self.running.is_empty() {
            return;
        }
        let id = self
            .running
            .swap_remove(usize::from(running) % self.running.len());
        self.end_with(id, outcome, queued);
    }

    fn end_with(&mut self, id: TargetId, outcome: TargetOutcome, queued: u32) {
        let host = self.host(id);
        self.router.finished(self.now, id, outcome);
        let answered = matches!(
            outcome,
            TargetOutcome::Answered
                | TargetOutcome::Refused
                | TargetOutcome::Rejected
                | TargetOutcome::Failed
        );
        let same_life = id.incarnation == self.truth[host].incarnation;
        if answered && same_life {
            self.report(host, id, queued);
        }
    }

    /// An answer carries what the target's own node knows.
    fn report(&mut self, host: usize, id: TargetId, queued: u32) {
        let draining = self.truth[host].leaving;
        let report = LoadReport {
            in_flight: 4,
            queued,
            limit: 8,
            draining,
            ..LoadReport::default()
        };
        self.router.observe(self.now, id, report);
        if draining
            && let Some(known) = &mut self.known[host]
            && known.incarnation == id.incarnation
        {
            known.state = known.state.max(TargetState::Draining);
            self.reach("draining");
        }
    }

    /// Every request to a zone fails at once.
    fn fail_zone(&mut self, zone: usize) {
        let (failed, others) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|id| self.host(*id) % ZONES.len() == zone);
        self.running = others;
        let failed: Vec<TargetId> = failed;
        for id in failed {
            self.end_with(id, TargetOutcome::Silent, 0);
        }
    }

    fn reach(&self, corner: &'static str) {
        if self.fault == Fault::NONE
            && let Ok(mut counts) = REACHED.lock()
        {
            *counts.entry(corner).or_default() += 1;
        }
    }

    /// The rest of the oracle: counts agree, and few are ejected.
    pub fn check(&self) {
        let serving = (0..HOSTS)
            .filter(|host| self.is_known_to_serve(*host))
            .count();
        if self.fault == Fault::DRAINING_PICKED {
            return;
        }
        assert_eq!(self.router.serving_len(), serving, "serving by the model");
        let ejected = self.router.ejected_len();
        assert!(
            ejected * 100 <= serving * EJECTED_MAX_PERCENT,
            "{ejected} of {serving} targets are ejected"
        );
        if ejected > 0 {
            self.reach("ejected");
        }
    }
}
