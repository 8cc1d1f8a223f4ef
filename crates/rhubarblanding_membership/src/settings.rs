//! Settings of the membership.

use std::time::Duration;

use rhubarblanding_core::prelude::HostId;
use strum::{Display, EnumString, IntoStaticStr};

/// Selection of the targets that a node keeps in its view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ViewMode {
    /// Targets of the node's own service and of the services that it calls.
    #[default]
    Partial,
    /// Targets of every service.
    Full,
}

/// Switches with which tests disable mechanisms, to show that a check detects their absence.
///
/// Every field is `true` in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A suspected node refutes the suspicion.
    pub refutation: bool,
    /// A node ejects only targets that did not answer its own probe.
    pub verification: bool,
    /// Tombstones reject records of ended incarnations.
    pub tombstones: bool,
    /// The share of a service's targets that may be declared down is capped.
    pub ejection_cap: bool,
    /// Updates are pushed immediately, not only piggybacked on other messages.
    pub eager_spreading: bool,
    /// Nodes compare digests of their views.
    pub anti_entropy: bool,
    /// A document older than the one held is rejected.
    pub version_check: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            refutation: true,
            verification: true,
            tombstones: true,
            ejection_cap: true,
            eager_spreading: true,
            anti_entropy: true,
            version_check: true,
        }
    }
}

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Peer addresses to join through while the key-value service is unavailable.
    pub seeds: Vec<HostId>,
    /// Maximum number of known addresses that a node joins through at a time.
    pub join_fanout: usize,
    /// Selection of the targets kept in the view.
    pub view: ViewMode,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Timeout of a direct probe; indirect probes get twice this time.
    pub probe_timeout: Duration,
    /// Number of peers that are requested to probe a target that did not answer.
    pub indirect_probes: usize,
    /// Time between suspicion and declaring a target down.
    pub suspicion_timeout: Duration,
    /// Time between two pushes of updates.
    pub gossip_interval: Duration,
    /// Number of peers of the sample that receive one push, in addition to one target of the view.
    pub gossip_fanout: usize,
    /// Number of pushes of each update.
    pub gossip_rounds: u32,
    /// Maximum number of updates in one push.
    pub max_updates: usize,
    /// Sustained rate of forwarded updates per second; leaving targets are not counted.
    ///
    /// Updates beyond it are spread by the comparison of views, so that the loss of an
    /// availability zone does not exhaust the control budget.
    pub spread_rate: f64,
    /// Number of updates that a node may forward in a burst above that rate.
    pub spread_burst: f64,
    /// Time for which a seen update is kept, to avoid spreading it again.
    pub update_ttl: Duration,
    /// Time between two exchanges of peer samples.
    pub shuffle_interval: Duration,
    /// Time between two exchanges during the settling time after the start.
    pub fast_shuffle_interval: Duration,
    /// Number of peer records in one exchange.
    pub shuffle_len: usize,
    /// Peers kept in the sample from the node's own availability zone.
    pub sample_own_zone: usize,
    /// Peers kept in the sample from each other availability zone.
    pub sample_other_zone: usize,
    /// Contacts kept for each service in the directory.
    pub contacts_per_service: usize,
    /// Time between two comparisons of a service's view with another node that holds it.
    pub sync_interval: Duration,
    /// Time between two comparisons while views may differ: after the start and after a difference.
    pub fast_sync_interval: Duration,
    /// Time after the start in which a node is new and views may differ.
    pub settling_time: Duration,
    /// Time after which an unanswered lookup or document request is repeated.
    pub request_timeout: Duration,
    /// Time for which a looked-up service is kept after the last lookup.
    pub lookup_ttl: Duration,
    /// Minimum time for which the tombstone of an ended incarnation is kept.
    ///
    /// It must exceed several rounds of probing over the view.
    pub tombstone_ttl: Duration,
    /// Share of a service's targets that may be down by failure detection at a time, 0 to 1.
    pub max_ejected_share: f64,
    /// Nodes of each availability zone that watch the key-value service.
    pub watchers_per_zone: usize,
    /// Number of watcher candidates that each node keeps.
    pub watcher_candidates: usize,
    /// Time for which a node must rank among the watchers before it begins to watch.
    pub watch_delay: Duration,
    /// Mechanisms that tests may switch off.
    pub mechanisms: Mechanisms,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            join_fanout: 2,
            view: ViewMode::Partial,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(5),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            gossip_rounds: 5,
            max_updates: 24,
            spread_rate: 2.0,
            spread_burst: 40.0,
            update_ttl: Duration::from_secs(60),
            shuffle_interval: Duration::from_secs(5),
            fast_shuffle_interval: Duration::from_millis(500),
            shuffle_len: 4,
            sample_own_zone: 8,
            sample_other_zone: 2,
            contacts_per_service: 3,
            sync_interval: Duration::from_secs(5),
            fast_sync_interval: Duration::from_secs(1),
            settling_time: Duration::from_secs(15),
            request_timeout: Duration::from_millis(500),
            lookup_ttl: Duration::from_secs(600),
            tombstone_ttl: Duration::from_secs(3600),
            max_ejected_share: 0.34,
            watchers_per_zone: 2,
            watcher_candidates: 6,
            watch_delay: Duration::from_secs(3),
            mechanisms: Mechanisms::default(),
        }
    }
}
