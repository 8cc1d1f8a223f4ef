//! Adoption of the operators' configuration from the key-value service and from other nodes.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Document, Input};
use rhubarblanding_routing::table::{Advice, ConfigurationError};
use rhubarblanding_store::backoff::BackoffSettings;
use rhubarblanding_store::watch::{WatchEvent, WatchLoop, WatchSettings};
use tokio::sync::watch;

use super::shared::Shared;
use crate::version::Version;

/// Time that one watch waits at the service: the maximum that it allows. Each watch counts as a
/// call. It is the fastest way to a new version and no proof that there is none: that is the
/// [freshness](super::freshness) of the active version.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Time for the watch to yield a version that is active already. After that its connection counts as
/// dead.
const WATCH_LAG_MAX: Duration = Duration::from_secs(1);
/// Maximum of the first delay after a failed watch; most failures are chance interruptions.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Maximum delay between attempts while the service fails: a configuration must be active within
/// two seconds of the service's recovery. The first node that reads it sends it to the others.
const RETRY_MAX: Duration = Duration::from_millis(1_600);
/// Maximum number of faults of one version that are logged one by one.
const FINDINGS_LOGGED_MAX: usize = 20;

/// Watches the configuration and adopts new versions; runs until the process ends.
pub async fn follow(node: Arc<Shared>) {
    let settings = WatchSettings {
        wait: WATCH_WAIT,
        backoff: BackoffSettings {
            first: RETRY_FIRST,
            max: RETRY_MAX,
        },
    };
    let key = node.protocol.configuration_key();
    let seed = rand::rng().random();
    let mut watch = WatchLoop::new(node.store.clone(), key, settings, seed);
    node.freshness.follow_watch(watch.watch_reachable());
    let mut versions = node.watch_version();
    let mut seen = DocVersion::default();
    loop {
        let event = tokio::select! {
            event = watch.next() => event,
            version = overtaken(&mut versions, seen) => {
                log::warn!(version = version.0; "watch_missed_change");
                watch.restart();
                seen = version;
                continue;
            }
        };
        match event {
            WatchEvent::Changed(new) => {
                if let Some(version) = adopt_from_store(&node, &new.value) {
                    node.freshness.learn_since_start(&node, version);
                    seen = seen.max(version);
                }
            }
            WatchEvent::Removed(revision) => {
                log::warn!(revision = revision.number(); "configuration_removed");
            }
        }
    }
}

/// Waits until a version above `seen`, which came another way, was active for the time in which the
/// watch should have yielded it; returns the active version.
async fn overtaken(versions: &mut watch::Receiver<DocVersion>, seen: DocVersion) -> DocVersion {
    // The sender exists as long as the node.
    let _ = versions.wait_for(|active| *active > seen).await;
    tokio::time::sleep(WATCH_LAG_MAX).await;
    *versions.borrow()
}

/// Adopts the configuration read from the key-value service, and passes it on to other nodes; returns
/// its version, also if it is not newer than the active one.
pub(super) fn adopt_from_store(node: &Shared, value: &[u8]) -> Option<DocVersion> {
    let number = adopt(node, value, "store")?;
    if let Ok(text) = std::str::from_utf8(value) {
        node.member_input(Input::Document(Document::whole(number, text.to_owned())));
    }
    Some(number)
}

/// Adopts the configuration sent by a peer.
pub fn adopt_from_peer(node: &Shared, document: Document) {
    for body in document.parts.into_iter().filter_map(|part| part.body) {
        adopt(node, body.as_bytes(), "peer");
    }
}

fn adopt(node: &Shared, value: &[u8], source: &str) -> Option<DocVersion> {
    let configuration = match node.protocol.configuration(value) {
        Ok(configuration) => configuration,
        Err(e) => {
            node.metrics.configuration_refused();
            log::warn!(source = source, field = e.field, reason = e.reason; "configuration_invalid");
            return None;
        }
    };
    let number = configuration.version;
    let routes = configuration.routes.len();
    let findings = configuration.findings.clone();
    let advice = configuration.advice.clone();
    let version = Version::new(configuration, &mut SmallRng::from_os_rng());
    if node.adopt(version) {
        log::info!(
            version = number.0, source = source, routes = routes, findings = findings.len();
            "configuration_adopted"
        );
        log_findings(node, number, &findings);
        log_advice(number, &advice);
    }
    Some(number)
}

fn log_findings(node: &Shared, version: DocVersion, findings: &[ConfigurationError]) {
    node.metrics.set_configuration_findings(findings.len());
    for finding in findings.iter().take(FINDINGS_LOGGED_MAX) {
        log::warn!(
            version = version.0, field = finding.field, reason = finding.reason;
            "configuration_finding"
        );
    }
}

fn log_advice(version: DocVersion, advice: &[Advice]) {
    for Advice {
        kind,
        field,
        reason,
    } in advice.iter().take(FINDINGS_LOGGED_MAX)
    {
        log::info!(
            version = version.0, kind:% = kind, field = field, reason = reason;
            "configuration_advice"
        );
    }
}
