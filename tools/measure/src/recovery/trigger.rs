//! Events that push a deployment into overload.

use std::time::Duration;

use clap::builder::PossibleValue;
use error_stack::Report;
use rhubarblanding_standins::backend::ControlChange;
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::Phase;
use rhubarblanding_standins::store::{Faults, OutageMode};
use serde::Serialize;
use strum::{Display, EnumString};

use crate::system::Deployment;

/// Factor by which the last service of the chain slows down.
const SLOW_FACTOR: u32 = 5;
/// Factor by which the arrivals rise in a surge.
const SURGE_FACTOR: f64 = 5.0;

/// Time before the trigger.
pub const BEFORE: Duration = Duration::from_secs(5);
/// Time that a trigger lasts.
pub const LASTS: Duration = Duration::from_secs(10);
/// Time after a trigger that is watched.
const AFTER: Duration = Duration::from_secs(8);
/// Time after the end of targets that is watched, in which leases of the ended lapse.
const AFTER_KILL: Duration = Duration::from_secs(25);

/// Event that pushes a deployment into overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Trigger {
    /// The last service of the chain is five times slower for ten seconds.
    DeepSlow,
    /// Five times as many requests arrive for ten seconds.
    Surge,
    /// Half the targets of the middle service end for good.
    HalfKilled,
    /// A surge while the platform's key-value service is down throughout.
    StoreDown,
}

impl Trigger {
    /// All triggers.
    pub const ALL: [Self; 4] = [
        Self::DeepSlow,
        Self::Surge,
        Self::HalfKilled,
        Self::StoreDown,
    ];

    /// Time at which the trigger is over, since the start of the load.
    ///
    /// Targets that have ended don't come back; what is watched begins with their end.
    pub fn over_at(self) -> Duration {
        match self {
            Self::HalfKilled => BEFORE,
            _ => BEFORE + LASTS,
        }
    }

    /// Time after the trigger that is watched.
    pub fn watched(self) -> Duration {
        match self {
            Self::HalfKilled => AFTER_KILL,
            _ => AFTER,
        }
    }

    /// Phases of the load at the ordinary `rate`.
    pub fn phases(self, rate: f64) -> Vec<Phase> {
        let phase = |rate, duration| Phase { rate, duration };
        match self {
            Self::DeepSlow => vec![phase(rate, BEFORE + LASTS + AFTER)],
            Self::HalfKilled => vec![phase(rate, BEFORE + AFTER_KILL)],
            Self::Surge | Self::StoreDown => vec![
                phase(rate, BEFORE),
                phase(rate * SURGE_FACTOR, LASTS),
                phase(rate, AFTER),
            ],
        }
    }

    /// Prepares the deployment before the load.
    pub async fn prepare(self, deployment: &Deployment) -> Result<(), Report<StandinError>> {
        let has_store = deployment.system == crate::system::System::Nodes;
        if self != Self::StoreDown || !has_store {
            return Ok(());
        }
        let faults = Faults {
            outage: true,
            outage_mode: OutageMode::Hang,
            ..Faults::default()
        };
        deployment.cluster.set_store_faults(faults).await
    }

    /// Brings the trigger about while the load runs.
    pub async fn act(self, deployment: &mut Deployment) -> Result<(), Report<StandinError>> {
        tokio::time::sleep(BEFORE).await;
        match self {
            Self::DeepSlow => {
                slow_down(deployment, SLOW_FACTOR).await?;
                tokio::time::sleep(LASTS).await;
                slow_down(deployment, 1).await
            }
            Self::HalfKilled => {
                kill_half(deployment);
                Ok(())
            }
            Self::Surge | Self::StoreDown => Ok(()),
        }
    }
}

impl clap::ValueEnum for Trigger {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.to_string()))
    }
}

async fn slow_down(deployment: &Deployment, factor: u32) -> Result<(), Report<StandinError>> {
    let tier = deployment.preset.bottleneck();
    let service_time = tier.service_time * factor;
    let change = ControlChange {
        service_time_us: Some(service_time.as_micros() as u64),
        ..ControlChange::default()
    };
    for host in deployment.cluster.hosts_of(tier.service) {
        host.backend().change(change).await?;
    }
    Ok(())
}

fn kill_half(deployment: &mut Deployment) {
    let service = deployment.preset.tiers()[1].service;
    let of_service =
        |host: &&mut rhubarblanding_standins::process::Host| host.cfg.service.as_str() == service;
    let count = deployment.cluster.hosts_of(service).len();
    let hosts = deployment.cluster.hosts.iter_mut().filter(of_service);
    hosts.take(count / 2).for_each(|host| host.kill());
}
