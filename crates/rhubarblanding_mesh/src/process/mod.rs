//! Components that exist once per process: state, local target, membership, start and stop.

mod configuration;
mod control;
mod crash;
mod departures;
mod events;
mod evidence;
mod freshness;
mod instance;
mod lineage;
mod local;
mod local_state;
mod member;
mod mesh;
mod message;
mod metrics;
mod notice;
mod open_hops;
mod permit;
mod quota;
mod registration;
mod retries;
mod shared;
mod stop;
mod suspects;
mod targets;

pub use crash::CrashWatch;
pub(crate) use departures::PEERS_HEADER;
pub use departures::{
    DepartureAnswer, DepartureMessage, DepartureRecord, Departures, HeldDepartures, InvalidPeers,
    KnownPeers,
};
pub use events::{RefusalStage, RetryReason};
pub use evidence::Evidence;
pub use freshness::FreshnessState;
pub(crate) use freshness::{FRESHNESS_HEADER, ask_along, learn, word};
pub use instance::{Confirmation, InstanceTracker, ReportVerdict};
pub use lineage::{Lineage, RunningRequests};
pub use local::LocalTarget;
pub use mesh::{Mesh, StartError};
pub use metrics::Metrics;
pub use notice::{
    InstanceKey, InvalidNotice, KnownNotices, NoticeChange, NoticeTracker, SharedNotice,
};
pub use open_hops::{HopGuard, OpenHops};
pub use permit::SlotPermit;
pub use quota::{QuotaAsk, Quotas};
pub(crate) use shared::STOPPING_RETRY_AFTER;
pub use shared::Shared;
pub use stop::StopMessage;
pub use suspects::Suspects;
pub use targets::{SentRequest, Targets};
