//! A fleet that has run for long: every node knows its services and a random sample of peers.

use error_stack::{Report, ResultExt};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::message::{Contacts, Exchange, ServiceRecords};
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{Faults, Network, NodeKey, host_number};

use super::SlopesError;

/// Availability zones at every size.
pub const ZONES: usize = 19;
/// Targets of one service: 6,700 targets in 250 services.
const TARGETS_PER_SERVICE: f64 = 6_700.0 / 250.0;
/// Requests that a target runs at a time.
pub const SLOTS: u32 = 110;
/// Incarnation of the first lives, in milliseconds since the Unix epoch.
const FIRST_INCARNATION: u64 = 1_780_000_000_000;
/// Size of one service's part of the operators' document, in bytes.
pub const PART_BYTES: usize = 400;

/// One combination of the variables.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Nodes.
    pub nodes: usize,
    /// Services.
    pub services: usize,
    /// Other services that each service calls.
    pub calls: usize,
    /// Tickets a day.
    pub tickets_per_day: f64,
    /// Restarts of targets a day.
    pub restarts_per_day: f64,
    /// Which targets are kept in detail.
    pub view: ViewMode,
    /// Seed.
    pub seed: u64,
}

impl Point {
    /// Other services that a service calls, by default.
    const CALLS: usize = 5;
    /// Tickets a day at every size.
    const TICKETS_PER_DAY: f64 = 5_000.0;
    /// Restarts a day of 6,700 targets.
    const RESTARTS_PER_DAY: f64 = 630.0;

    /// Ordinary days of `nodes` nodes.
    pub fn ordinary(nodes: usize, view: ViewMode, seed: u64) -> Self {
        let services = (nodes as f64 / TARGETS_PER_SERVICE).round().max(2.0) as usize;
        Self {
            nodes,
            services,
            calls: Self::CALLS,
            tickets_per_day: Self::TICKETS_PER_DAY,
            restarts_per_day: Self::RESTARTS_PER_DAY * nodes as f64 / 6_700.0,
            view,
            seed,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    /// The nodes and the messages between them.
    pub net: Network,
    /// How it was made.
    pub point: Point,
    infos: Vec<TargetInfo>,
    settings: MembershipSettings,
}

impl Fleet {
    /// Starts the nodes of `point` in the state of a fleet that has run for long.
    pub fn start(point: Point) -> Result<Self, Report<SlopesError>> {
        let mut fleet = Self::describe(point)?;
        fleet.introduce();
        Ok(fleet)
    }

    /// Describes the nodes of `point` without starting them.
    pub fn describe(point: Point) -> Result<Self, Report<SlopesError>> {
        let infos = (0..point.nodes).map(|number| describe(&point, number));
        let infos = infos.collect::<Result<Vec<_>, _>>()?;
        let settings = MembershipSettings {
            view: point.view,
            ..MembershipSettings::default()
        };
        Ok(Self {
            net: Network::new(point.seed, Faults::default()),
            point,
            infos,
            settings,
        })
    }

    /// Description of a node.
    pub fn info(&self, node: NodeKey) -> &TargetInfo {
        &self.infos[node.0]
    }

    /// Services whose targets `node` keeps.
    pub fn interests(&self, node: NodeKey) -> Vec<ServiceName> {
        let services = self.point.services;
        let numbers: Vec<_> = match self.point.view {
            ViewMode::Full => (0..services).collect(),
            ViewMode::Partial => {
                let calls = self.point.calls.min(services - 1);
                (0..=calls).map(|step| (node.0 + step) % services).collect()
            }
        };
        numbers
            .into_iter()
            .map(|number| self.infos[number].service.clone())
            .collect()
    }

    /// Nodes that keep the targets of `service`.
    pub fn holders(&self, service: &ServiceName) -> usize {
        let nodes = (0..self.point.nodes).map(NodeKey);
        let running = nodes.filter(|node| self.net.member(*node).is_some());
        running
            .filter(|node| self.interests(*node).contains(service))
            .count()
    }

    /// Starts a new life of `node`, which joins through a peer.
    pub fn restart(&mut self, node: NodeKey) {
        let info = &mut self.infos[node.0];
        info.incarnation = Incarnation(info.incarnation.0 + 60_000);
        let mut info = info.clone();
        info.state = TargetState::Starting;
        let seed = host_number(((node.0 + 1) % self.point.nodes) as u32);
        let settings = MembershipSettings {
            seeds: vec![seed],
            ..self.settings.clone()
        };
        let key = self.net.start(info, settings);
        let called = self.interests(key);
        self.net.input(key, Input::Interests(called));
    }

    /// The operators' document with one part for each service.
    pub fn document(&self, version: u64) -> Document {
        let services = self.infos.iter().take(self.point.services);
        let part = |info: &TargetInfo| DocumentPart {
            name: info.service.to_string(),
            version: DocVersion(version),
            body: Some("x".repeat(PART_BYTES)),
        };
        Document {
            version: DocVersion(version),
            parts: services.map(part).collect(),
        }
    }

    fn introduce(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.point.seed);
        let records: Vec<_> = self
            .infos
            .iter()
            .map(|i| Record::alive(i.clone(), 1))
            .collect();
        let by_service = self.records_by_service(&records);
        let document = self.document(1);
        for number in 0..self.point.nodes {
            let key = self
                .net
                .start(self.infos[number].clone(), self.settings.clone());
            let interests = self.interests(key);
            self.net.input(key, Input::Interests(interests.clone()));
            for told in by_service.iter().filter(|t| interests.contains(&t.service)) {
                self.tell(key, Body::Records(told.clone()));
            }
            let exchange = self.exchange(&mut rng, &records);
            self.tell(key, Body::ShuffleReply(exchange));
            self.net.input(key, Input::Document(document.clone()));
        }
    }

    /// A random part of the fleet, with the whole directory.
    fn exchange(&self, rng: &mut SmallRng, records: &[Record]) -> Exchange {
        let stride = self.point.services;
        let contacts = (0..stride).map(|number| {
            let members = self.point.nodes.div_ceil(stride).max(1);
            let host = |_| {
                let member = number + stride * rng.random_range(0..members);
                records[member.min(records.len() - 1)].host()
            };
            Contacts {
                service: records[number].info.service.clone(),
                hosts: (0..3).map(host).collect(),
            }
        });
        let contacts = contacts.collect();
        let peers = records.choose_multiple(rng, 20 * ZONES).cloned().collect();
        Exchange { peers, contacts }
    }

    fn records_by_service(&self, records: &[Record]) -> Vec<ServiceRecords> {
        let of = |number: usize| records.iter().skip(number).step_by(self.point.services);
        let told = (0..self.point.services).map(|number| ServiceRecords {
            service: records[number].info.service.clone(),
            records: of(number).cloned().collect(),
            answer: false,
        });
        told.collect()
    }

    fn tell(&mut self, key: NodeKey, body: Body) {
        let from = host_number(((key.0 + 1) % self.point.nodes) as u32);
        let msg = GossipMessage {
            from,
            incarnation: Incarnation(FIRST_INCARNATION),
            document: DocVersion(0),
            updates: Vec::new(),
            body,
        };
        self.net.input(key, Input::Message(msg));
    }
}

fn describe(point: &Point, number: usize) -> Result<TargetInfo, Report<SlopesError>> {
    let service = format!("service-{:03}", number % point.services);
    let zone = format!("region-{}-zone-{:02}", number % ZONES % 8, number % ZONES);
    Ok(TargetInfo {
        host: host_number(number as u32),
        incarnation: Incarnation(FIRST_INCARNATION),
        service: ServiceName::try_from(service).change_context(SlopesError::Name)?,
        zone: ZoneName::try_from(zone).change_context(SlopesError::Name)?,
        slots: SLOTS,
        state: TargetState::Serving,
    })
}
