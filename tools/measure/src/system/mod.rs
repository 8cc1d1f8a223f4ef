//! The systems that are compared, as running clusters.

use std::time::Duration;

use clap::builder::PossibleValue;
use error_stack::{Report, ResultExt};
use rhubarblanding_standins::backend::{BackendSettings, CallPlan, CallSettings};
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{LoadKind, LoadSettings, Phase, RetryMode, Route};
use rhubarblanding_standins::process::{
    Cluster, ClusterSettings, Programs, ServiceSettings, Submission, TicketFile, TicketKind,
    wait_until,
};
use serde::Serialize;
use strum::{Display, EnumString};

use crate::preset::{ATTEMPT_TIMEOUT, DEADLINE, Preset, RootKind, Tier};

/// Repeats of a failed downstream call by each backend server.
const BACKEND_RETRIES: u32 = 2;
/// Attempts of a client for one request.
const CLIENT_TRIES: u32 = 3;
/// Multiple of the slots above which a backend server with a fixed limit sheds.
const FIXED_LIMIT_FACTOR: u32 = 2;
/// Share of calls that a backend server with a retry budget may repeat.
const RETRY_BUDGET_PERCENT: u32 = 10;
/// Time for all processes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time for which writes must succeed before a measurement begins.
const STEADY: Duration = Duration::from_secs(2);

/// A system to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum System {
    /// Backend servers behind nodes.
    Nodes,
    /// Backend servers that call each other directly and repeat failed calls at every layer.
    PassThrough,
    /// As [`System::PassThrough`], with a fixed limit and a retry budget at every layer.
    FixedLimits,
}

impl System {
    /// All systems.
    pub const ALL: [Self; 3] = [Self::Nodes, Self::FixedLimits, Self::PassThrough];
}

impl clap::ValueEnum for System {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.to_string()))
    }
}

/// A system that runs.
#[derive(Debug)]
pub struct Deployment {
    /// Which system it is.
    pub system: System,
    /// Which deployment it is.
    pub preset: Preset,
    /// Its processes.
    pub cluster: Cluster,
    seed: u64,
}

impl Deployment {
    /// Starts the processes and waits until requests are served.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start, or does not serve in time.
    pub async fn start(
        system: System,
        preset: Preset,
        seed: u64,
    ) -> Result<Self, Report<StandinError>> {
        let programs = Programs::find()?;
        let cluster = Cluster::start(&programs, &cluster_settings(system, preset, seed)?)?;
        cluster.wait_ready(READY_LIMIT).await?;
        if system == System::Nodes {
            submit(&cluster, &ticket(preset)).await?;
            cluster.wait_serving("/probe", READY_LIMIT).await?;
            cluster.wait_steady("/probe", STEADY, READY_LIMIT).await?;
        }
        Ok(Self {
            system,
            preset,
            cluster,
            seed,
        })
    }

    /// Load of root requests on the first service; `name` tells the loads apart.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if a name of the preset is malformed.
    pub fn load(
        &self,
        name: &str,
        phases: Vec<Phase>,
    ) -> Result<LoadSettings, Report<StandinError>> {
        let service = self.preset.first().service;
        let kinds = self.preset.kinds();
        let kinds = kinds.iter().map(|kind| load_kind(service, kind));
        Ok(LoadSettings {
            seed: self.seed,
            name: format!("{}-{name}", self.system),
            route: self.route(service),
            kinds: kinds.collect::<Result<_, _>>()?,
            phases,
            tries: CLIENT_TRIES,
            retry: RetryMode::AtOnce,
            timeout: ATTEMPT_TIMEOUT,
            ..LoadSettings::default()
        })
    }

    /// Callers know the hosts of the first service only, whatever the system.
    fn route(&self, service: &str) -> Route {
        match self.system {
            System::Nodes => Route::Nodes(self.cluster.entries_of(service)),
            _ => Route::Direct(self.cluster.backends_of(service)),
        }
    }
}

/// Submits a ticket and waits until it is accepted.
///
/// # Errors
///
/// [`StandinError::Timeout`] if no node accepts it in time.
pub async fn submit(cluster: &Cluster, ticket: &TicketFile) -> Result<(), Report<StandinError>> {
    let operators: Vec<_> = cluster
        .hosts
        .iter()
        .filter_map(|host| host.operator())
        .collect();
    let Some(operator) = operators.first() else {
        return Ok(());
    };
    let submission = Submission::new(ticket.clone());
    let mut last = String::new();
    let accepted = wait_until(READY_LIMIT, "ticket is accepted", async || {
        match operator.submit(&submission).await {
            Ok(answer) if answer.status.is_success() => true,
            Ok(answer) => {
                last = answer.text;
                false
            }
            Err(_) => false,
        }
    });
    accepted.await.attach_with(|| last)
}

fn ticket(preset: Preset) -> TicketFile {
    let ticket = TicketFile {
        ticket: 1,
        ..TicketFile::default()
    };
    let tiers = preset.tiers();
    tiers.iter().fold(ticket, |ticket, tier| {
        let kinds = if *tier == preset.first() {
            preset.kinds().iter().map(RootKind::ticket).collect()
        } else {
            Vec::<TicketKind>::new()
        };
        ticket.with_service(tier.service, tier.slots, kinds)
    })
}

fn load_kind(service: &str, kind: &RootKind) -> Result<LoadKind, Report<StandinError>> {
    Ok(LoadKind {
        name: kind.name.to_owned(),
        service: service.try_into().change_context(StandinError::Settings)?,
        method: kind.method.clone(),
        path: kind.path.to_owned(),
        share: kind.share_percent.into(),
        weight: kind.weight.into(),
        idempotency: kind.idempotency(),
        deadline: Some(DEADLINE),
    })
}

fn cluster_settings(
    system: System,
    preset: Preset,
    seed: u64,
) -> Result<ClusterSettings, Report<StandinError>> {
    let tiers = preset.tiers();
    let services = tiers.iter().enumerate().map(|(index, tier)| {
        let next = tiers.get(index + 1);
        service(system, tier, next, seed)
    });
    let zones = preset.zones().iter().map(|zone| (*zone).try_into());
    Ok(ClusterSettings {
        services: services.collect::<Result<_, _>>()?,
        zones: zones
            .collect::<Result<_, _>>()
            .change_context(StandinError::Settings)?,
        without_nodes: system != System::Nodes,
        node_args: vec!["--log-level".to_owned(), "warn".to_owned()],
    })
}

fn service(
    system: System,
    tier: &Tier,
    next: Option<&Tier>,
    seed: u64,
) -> Result<ServiceSettings, Report<StandinError>> {
    let call = next.map(|next| format!("* {}:/work", next.service).parse::<CallPlan>());
    let fixed = system == System::FixedLimits;
    Ok(ServiceSettings {
        name: tier
            .service
            .try_into()
            .change_context(StandinError::Settings)?,
        hosts: tier.targets as usize,
        backend: BackendSettings {
            slots: tier.slots,
            shed_above: fixed.then_some(tier.slots * FIXED_LIMIT_FACTOR),
            service_time: tier.service_time,
            seed,
            calls: CallSettings {
                plan: call.transpose()?.into_iter().collect(),
                retries: BACKEND_RETRIES,
                retry_budget_percent: fixed.then_some(RETRY_BUDGET_PERCENT),
                timeout: ATTEMPT_TIMEOUT,
                ..CallSettings::default()
            },
            ..BackendSettings::default()
        },
    })
}
