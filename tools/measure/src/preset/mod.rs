//! Deployments that are measured, with fewer targets than in the field so that they fit one
//! machine.

use std::time::Duration;

use clap::builder::PossibleValue;
use http::Method;
use rhubarblanding_core::importance::{Idempotency, Importance};
use rhubarblanding_standins::process::TicketKind;
use strum::{Display, EnumString};

/// Time after which a caller has no more use for an answer, over all attempts.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after which a caller gives up one attempt.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// A deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Preset {
    /// Chair lending in four availability zones.
    #[default]
    Litoral,
    /// Code hosting for schools in three availability zones.
    Kerala,
}

impl clap::ValueEnum for Preset {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Litoral, Self::Kerala]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.to_string()))
    }
}

/// One service of the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Name of the service.
    pub service: &'static str,
    /// Number of targets.
    pub targets: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Mean of its own work for a request.
    pub service_time: Duration,
}

impl Tier {
    /// Requests that it completes in a second when every slot is busy with its own work.
    pub fn capacity(&self) -> f64 {
        f64::from(self.targets * self.slots) / self.service_time.as_secs_f64()
    }
}

/// One kind of root request.
#[derive(Clone, Debug, PartialEq)]
pub struct RootKind {
    /// Name.
    pub name: &'static str,
    /// Method.
    pub method: Method,
    /// Path at the first service of the chain.
    pub path: &'static str,
    /// Importance.
    pub importance: Importance,
    /// Worth of one completed request.
    pub weight: u32,
    /// Share of the arrivals, in percent.
    pub share_percent: u32,
}

impl RootKind {
    /// Whether it may run twice.
    pub fn idempotency(&self) -> Idempotency {
        match self.method {
            Method::GET => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        }
    }

    /// The kind as a ticket names it.
    pub fn ticket(&self) -> TicketKind {
        TicketKind {
            name: self.name.to_owned(),
            method: self.method.to_string(),
            path: self.path.to_owned(),
            idempotency: self.idempotency(),
            importance: self.importance,
            weight: self.weight.into(),
            deadline_ms: DEADLINE.as_millis() as u64,
            ..TicketKind::default()
        }
    }
}

impl Preset {
    /// Availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Litoral => &["ros", "stafe", "pna", "ctes"],
            Self::Kerala => &["kochi", "thrissur", "kozhikode"],
        }
    }

    /// Services from the first of the chain to the last, which is the bottleneck.
    pub fn tiers(self) -> [Tier; 3] {
        let tier = |service, targets, slots, millis| Tier {
            service,
            targets,
            slots,
            service_time: Duration::from_millis(millis),
        };
        match self {
            Self::Litoral => [
                tier("catalogo-web", 2, 170, 1),
                tier("turnos", 4, 170, 3),
                tier("egresos", 2, 15, 75),
            ],
            Self::Kerala => [
                tier("submissions", 3, 150, 1),
                tier("gradebook", 3, 150, 3),
                tier("browser", 3, 25, 125),
            ],
        }
    }

    /// The first service of the chain.
    pub fn first(self) -> Tier {
        self.tiers()[0]
    }

    /// The service that limits the chain.
    pub fn bottleneck(self) -> Tier {
        self.tiers()[2]
    }

    /// Kinds of root requests, the most important first.
    pub fn kinds(self) -> [RootKind; 4] {
        let names = match self {
            Self::Litoral => ["discharge-check", "reservation", "stock", "history"],
            Self::Kerala => ["exam-submission", "grade", "assignment", "browse"],
        };
        let paths = match self {
            Self::Litoral => ["/discharge", "/reserve", "/stock", "/history"],
            Self::Kerala => ["/exam", "/grade", "/assignment", "/browse"],
        };
        let first_method = match self {
            Self::Litoral => Method::GET,
            Self::Kerala => Method::POST,
        };
        let kind = |index: usize, method, importance, weight, share_percent| RootKind {
            name: names[index],
            method,
            path: paths[index],
            importance,
            weight,
            share_percent,
        };
        [
            kind(0, first_method, Importance::Critical, 10, 5),
            kind(1, Method::POST, Importance::High, 5, 15),
            kind(2, Method::GET, Importance::Normal, 2, 60),
            kind(3, Method::GET, Importance::Background, 1, 20),
        ]
    }
}
