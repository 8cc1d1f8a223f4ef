//! Entries of a node in the key-value service: its address and departed instances of its target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use rhubarblanding_store::client::StoreResult;
use rhubarblanding_store::codec::Freshness;
use rhubarblanding_store::{CasOutcome, Key, LeaseId, ListEntry, Revision, StoreError};
use tokio::sync::watch;

use super::member::other_nodes;
use super::shared::Shared;
use crate::protocol::{Instance, InstanceId};

/// Key prefix of node addresses.
const NODES_PREFIX: &str = "mesh/nodes/";
/// Key prefix of departed instances of targets.
const DEPARTED_PREFIX: &str = "mesh/departed/";
/// Time for which the address of a node stays registered after the node has stopped.
const NODE_TTL: Duration = Duration::from_secs(10);
/// Time between two lease renewals: three of them may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time from the return of the key-value service until all living nodes that reach it have restored
/// their entries: [`RETRY_INTERVAL`], and some calls.
pub(super) const RESTORE_TIME: Duration = Duration::from_millis(2_500);
/// Time between two reads of the addresses of all nodes, which reconnect nodes after a network
/// partition. Reads after the first may be some seconds old.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the listed nodes to answer an introduction.
const INTRODUCTION_TIME: Duration = Duration::from_millis(250);
/// Delay after the first failed call, which may have been lost by chance.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// Time from one failed call to the next attempt. Entries that expired during an outage of the
/// service must be restored within two seconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_700);
/// Time for the first attempt to record a departure, which may be lost by chance. Each later one has
/// twice the time of the one before, for a service that is slow.
const RECORD_TIMEOUT_FIRST: Duration = Duration::from_millis(400);
/// Longest time for an attempt.
const RECORD_TIMEOUT_MAX: Duration = Duration::from_millis(3_200);
/// Time for which the lease of a failed attempt is used again. Departures then stay recorded for
/// nearly their whole time.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(10);
/// Delays between attempts: short enough for several before the acknowledgement, and long enough
/// for few calls in an outage of seconds.
const RECORD_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(40),
    max: Duration::from_millis(600),
};
/// Time for which a departure stays recorded. Late reports arrive within seconds.
pub(super) const DEPARTED_TTL: Duration = Duration::from_secs(120);

/// Maintains this node's address in the key-value service; runs until the process ends.
///
/// `listed` is set once the addresses of the other nodes have been read.
pub async fn maintain(node: Arc<Shared>, listed: watch::Sender<bool>) {
    let mut lease = None;
    let mut listed_at = None;
    let mut has_failed = false;
    let mut era = node.store.watch_era();
    loop {
        era.mark_unchanged();
        let began = tokio::time::Instant::now();
        let result = match lease {
            Some(held) => node.store.renew_lease(held, NODE_TTL).await.map(|_| held),
            None => register(&node).await,
        };
        let pause = match result {
            Ok(held) => {
                lease = Some(held);
                has_failed = false;
                // Entries of living nodes may not be restored yet.
                let interval = match other_nodes(&node).is_empty() {
                    true => RENEW_INTERVAL,
                    false => LIST_INTERVAL,
                };
                let is_due =
                    listed_at.is_none_or(|at: MonoTime| node.clock.now().since(at) >= interval);
                if is_due && list_nodes(&node, &listed).await {
                    listed_at = Some(node.clock.now());
                }
                RENEW_INTERVAL
            }
            Err(report) => {
                let e = *report.current_context();
                log::info!(reason:% = e; "registration_failed");
                if matches!(e, StoreError::LeaseLapsed | StoreError::EraChanged) && lease.is_some()
                {
                    // The service answers: the entry is restored at once.
                    lease = None;
                    continue;
                }
                match std::mem::replace(&mut has_failed, true) {
                    false => FIRST_RETRY,
                    true => RETRY_INTERVAL.saturating_sub(began.elapsed()),
                }
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The entry may be gone, and its lease may be given to another holder.
            Ok(()) = era.changed() => lease = None,
        }
    }
}

async fn register(node: &Shared) -> StoreResult<LeaseId> {
    let lease = node.store.grant_lease(NODE_TTL).await?.id;
    let key = node_key(node.host_id());
    let mut expected = Revision::ABSENT;
    loop {
        let put = node
            .store
            .compare_and_swap_leased(&key, expected, Bytes::new(), lease);
        match put.await? {
            CasOutcome::Stored(_) => return Ok(lease),
            // The entry of the previous process on this host.
            CasOutcome::Conflict(revision) => expected = revision,
        }
    }
}

/// Reads the addresses of all nodes and passes them to the membership; returns `true` on success.
async fn list_nodes(node: &Shared, listed: &watch::Sender<bool>) -> bool {
    let freshness = match *listed.borrow() {
        false => Freshness::Latest,
        true => Freshness::Relaxed,
    };
    let prefix = Key::from_static(NODES_PREFIX);
    match node.store.list_with_freshness(&prefix, freshness).await {
        Ok(entries) => {
            let hosts = hosts_of(&entries);
            log::info!(nodes = hosts.len(); "nodes_listed");
            node.member_input(Input::Seeds(hosts));
            if !*listed.borrow() {
                tokio::time::sleep(INTRODUCTION_TIME).await;
                listed.send_replace(true);
            }
            true
        }
        Err(report) => {
            log::info!(reason:% = report.current_context(); "nodes_not_listed");
            false
        }
    }
}

fn hosts_of(entries: &[ListEntry]) -> Vec<HostId> {
    let hosts = entries.iter().filter_map(|entry| {
        let addr = entry.key.strip_prefix(NODES_PREFIX)?.parse().ok()?;
        Some(HostId(addr))
    });
    hosts.collect()
}

/// Reads the hosts of all nodes.
///
/// # Errors
///
/// Fails as the key-value service does.
pub async fn read_nodes(node: &Shared) -> StoreResult<Vec<HostId>> {
    let entries = node.store.list(&Key::from_static(NODES_PREFIX)).await?;
    Ok(hosts_of(&entries))
}

/// Reads the instances of the local target that left before this process started.
///
/// # Errors
///
/// Fails as the key-value service does.
pub async fn read_departed(node: &Shared) -> StoreResult<Vec<Instance>> {
    let prefix = departed_prefix(node);
    let Ok(key) = Key::try_from(prefix.as_str()) else {
        return Ok(Vec::new());
    };
    let entries = node.store.list(&key).await?;
    let departed = entries
        .iter()
        .filter_map(|e| parse_instance(e.key.strip_prefix(&prefix)?));
    Ok(departed.collect())
}

/// Records the departure of an instance of the local target and retries until it is stored. The
/// process waits for this at its end as far as the grace period allows.
pub async fn record_until_stored(node: Arc<Shared>, instance: Instance) {
    let _pending = node.pending_record();
    let mut rng = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(RECORD_BACKOFF);
    let mut limit = RECORD_TIMEOUT_FIRST;
    let mut lease = None;
    loop {
        let attempt = record_departed(&node, &instance, &mut lease);
        let reason = match tokio::time::timeout(limit, attempt).await {
            Ok(Ok(())) => break,
            Ok(Err(report)) => report.current_context().to_string(),
            Err(_) => {
                limit = (limit * 2).min(RECORD_TIMEOUT_MAX);
                "no answer in time".to_owned()
            }
        };
        log::info!(instance:% = instance.id, reason = reason; "departure_not_recorded");
        tokio::time::sleep(backoff.next_delay(&mut rng)).await;
    }
    log::info!(instance:% = instance.id, born = instance.started_at.0; "departure_recorded");
}

/// Records all known departures again after the key-value service was restored from an older
/// copy, which may lack them; runs until the process ends.
pub async fn rerecord_departures(node: Arc<Shared>) {
    let mut era = node.store.watch_era();
    while era.changed().await.is_ok() {
        era.mark_unchanged();
        for instance in node.local.departed() {
            tokio::spawn(record_until_stored(Arc::clone(&node), instance));
        }
    }
}

/// Lease of a departure, and when it was granted.
type DepartureLease = (LeaseId, MonoTime);

/// Makes one attempt to record a departure. `held` is the lease of an earlier attempt.
async fn record_departed(
    node: &Shared,
    instance: &Instance,
    held: &mut Option<DepartureLease>,
) -> StoreResult<()> {
    let hex: String = instance.id.0.bytes().map(|b| format!("{b:02x}")).collect();
    let text = format!("{}{}/{hex}", departed_prefix(node), instance.started_at.0);
    let Ok(key) = Key::try_from(text.as_str()) else {
        log::warn!(instance:% = instance.id; "departed_instance_has_no_key");
        return Ok(());
    };
    let now = node.clock.now();
    let usable = held.filter(|(_, granted_at)| now.since(*granted_at) < LEASE_REUSE_TIME);
    let lease = match usable {
        Some((lease, _)) => lease,
        None => node.store.grant_lease(DEPARTED_TTL).await?.id,
    };
    *held = Some((lease, usable.map_or(now, |(_, granted_at)| granted_at)));
    let put = node
        .store
        .compare_and_swap_leased(&key, Revision::ABSENT, Bytes::new(), lease);
    // A conflict means that the departure is already recorded.
    let result = put.await.map(|_| ());
    if result.as_ref().is_err_and(|report| {
        matches!(
            report.current_context(),
            StoreError::LeaseLapsed | StoreError::EraChanged
        )
    }) {
        *held = None;
    }
    result
}

fn node_key(host: HostId) -> Key {
    let text = format!("{NODES_PREFIX}{host}");
    Key::try_from(text.as_str()).unwrap_or_else(|_| Key::from_static("mesh/nodes/invalid"))
}

fn departed_prefix(node: &Shared) -> String {
    format!("{DEPARTED_PREFIX}{}/", node.host_id())
}

fn parse_instance(rest: &str) -> Option<Instance> {
    let (started_at, hex) = rest.split_once('/')?;
    let byte = |i: usize| u8::from_str_radix(hex.get(i..i + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
    let id = String::from_utf8(bytes?).ok()?;
    Some(Instance {
        started_at: UnixMillis(started_at.parse().ok()?),
        id: InstanceId(id.into()),
    })
}
