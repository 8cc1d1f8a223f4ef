//! A router and a reference model that is built from the announcements and load reports alone.

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

/// Number of times that runs without a fault covered each case.
static COVERED: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

pub fn covered(case: &str) -> u64 {
    let counts = COVERED.lock().map(|counts| counts.get(case).copied());
    counts.ok().flatten().unwrap_or(0)
}

const HOSTS: usize = 12;
const ZONES: [&str; 3] = ["kochi", "thrissur", "kozhikode"];
const EJECTED_MAX_PERCENT: usize = 50;

/// State of one instance as announced or reported to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    incarnation: Incarnation,
    state: TargetState,
}

/// Actual state of a target.
#[derive(Clone, Copy, Debug)]
struct Actual {
    incarnation: Incarnation,
    draining: bool,
}

pub struct World {
    fault: u8,
    router: Router,
    rng: SmallRng,
    now: MonoTime,
    actual: [Actual; HOSTS],
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

/// Returns the state after an announcement. A backend server may restart under the same instance
/// of its node; a draining instance stays draining.
fn next_state(known: TargetState, announced: TargetState) -> TargetState {
    match known {
        TargetState::Starting | TargetState::Serving => announced,
        TargetState::Draining | TargetState::Stopped => known.max(announced),
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
        let actual = Actual {
            incarnation: Incarnation(1),
            draining: false,
        };
        Self {
            fault,
            router: Router::new(settings),
            rng: SmallRng::seed_from_u64(1),
            now: MonoTime::ZERO,
            actual: [actual; HOSTS],
            known: [None; HOSTS],
            running: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Announce { host, state } => self.announce(usize::from(host) % HOSTS, state),
            Step::AnnounceLate { host } => self.announce_late(usize::from(host) % HOSTS),
            Step::Replace { host } => self.replace(usize::from(host) % HOSTS),
            Step::DrainUnannounced { host } => {
                self.actual[usize::from(host) % HOSTS].draining = true;
            }
            Step::Remove { host } => {
                let host = usize::from(host) % HOSTS;
                self.known[host] = None;
                self.router.remove(host_id(host));
            }
            Step::Disown { host } => self.disown(usize::from(host) % HOSTS),
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
        let announced = Known {
            incarnation: self.actual[host].incarnation,
            state,
        };
        self.actual[host].draining |= state >= TargetState::Draining;
        self.deliver(host, announced);
    }

    fn announce_late(&mut self, host: usize) {
        let earlier = self.actual[host].incarnation.0 - 1;
        let announced = Known {
            incarnation: Incarnation(earlier),
            state: TargetState::Serving,
        };
        if self.known[host].is_some() {
            self.deliver(host, announced);
        }
    }

    fn deliver(&mut self, host: usize, announced: Known) {
        self.router.upsert(self.now, info(host, announced));
        let known = self.known[host].unwrap_or(announced);
        self.known[host] = Some(match known.incarnation.cmp(&announced.incarnation) {
            Ordering::Less => announced,
            Ordering::Equal => Known {
                state: next_state(known.state, announced.state),
                ..announced
            },
            Ordering::Greater => known,
        });
    }

    fn replace(&mut self, host: usize) {
        self.actual[host].incarnation.0 += 1;
        self.actual[host].draining = false;
    }

    /// The host serves again only in a later incarnation.
    fn disown(&mut self, host: usize) {
        let Some(known) = &mut self.known[host] else {
            return;
        };
        known.state = TargetState::Stopped;
        let id = TargetId {
            host: host_id(host),
            incarnation: known.incarnation,
        };
        self.router.disown(id);
        self.record_case("disowned");
    }

    fn pick(&mut self, zone_index: u8, exclude: u8) {
        let excluded = [host_id(usize::from(exclude) % HOSTS)];
        let zone = zone(usize::from(zone_index));
        let req = PickRequest {
            zone: Some(&zone),
            kind: None,
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
        self.record_case("picked");
        self.router.started(self.now, id);
        self.running.push(id);
    }

    /// The router may pick no target only if every serving one is excluded or ejected.
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
        self.record_case("none serving");
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
        let same_instance = id.incarnation == self.actual[host].incarnation;
        if answered && same_instance {
            self.report(host, id, queued);
        }
    }

    /// Delivers the load report in an answer, which contains the actual state of the target.
    fn report(&mut self, host: usize, id: TargetId, queued: u32) {
        let draining = self.actual[host].draining;
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
            self.record_case("draining");
        }
    }

    /// Fails every request to a zone at the same time.
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

    fn record_case(&self, case: &'static str) {
        if self.fault == Fault::NONE
            && let Ok(mut counts) = COVERED.lock()
        {
            *counts.entry(case).or_default() += 1;
        }
    }

    /// Checks that the counts agree and that few targets are ejected.
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
            self.record_case("ejected");
        }
    }
}
