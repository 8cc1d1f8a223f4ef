//! Cost of losing an availability zone and of a cut between two halves of the zones.

use std::collections::BTreeSet;
use std::time::Duration;

use error_stack::Report;
use rhubarblanding_core::prelude::HostId;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::NodeKey;
use serde::Serialize;

use super::SlopesError;
use super::bench::{Bench, Noticed};
use super::fleet::{Point, ZONES};

/// Length of a fault.
const FAULT: Duration = Duration::from_secs(60);
/// Time after the end of a cut.
const HEALING: Duration = Duration::from_secs(60);

/// What one fault cost.
#[derive(Clone, Debug, Serialize)]
pub struct FaultCost {
    /// Nodes.
    pub nodes: usize,
    /// Mean bytes sent by a node in the busiest second.
    pub peak_bytes_per_second: f64,
    /// Mean bytes sent by a node during the fault and the healing.
    pub total_bytes: f64,
    /// Share of the running targets in its view that a node held for down, at the worst node.
    pub worst_lost_share: f64,
    /// Share of one core of a node over the whole time, 0 to 1.
    pub core_share: f64,
}

/// Every node of one availability zone dies at once.
pub fn zone_loss(point: Point) -> Result<FaultCost, Report<SlopesError>> {
    let mut bench = Bench::start(point)?;
    for node in (0..point.nodes).step_by(ZONES) {
        bench.fleet.net.kill(NodeKey(node));
    }
    let noticed = bench.advance(FAULT)?;
    Ok(FaultCost::new(&mut bench, &noticed, FAULT))
}

/// Half of the availability zones cannot reach the others for a minute.
pub fn region_cut(point: Point) -> Result<FaultCost, Report<SlopesError>> {
    let mut bench = Bench::start(point)?;
    set_groups(&mut bench, |node| u32::from(node % ZONES < ZONES / 2));
    let noticed = bench.advance(FAULT)?;
    set_groups(&mut bench, |_| 0);
    bench.advance(HEALING)?;
    Ok(FaultCost::new(&mut bench, &noticed, FAULT + HEALING))
}

fn set_groups(bench: &mut Bench, group: impl Fn(usize) -> u32) {
    for node in 0..bench.fleet.point.nodes {
        bench.fleet.net.set_group(NodeKey(node), group(node));
    }
}

impl FaultCost {
    fn new(bench: &mut Bench, noticed: &[Noticed], time: Duration) -> Self {
        let usage = bench.take_usage();
        let nodes = bench.fleet.point.nodes as f64;
        Self {
            nodes: bench.fleet.point.nodes,
            peak_bytes_per_second: usage.peak_bytes as f64 / nodes,
            total_bytes: usage.total().bytes as f64 / nodes,
            worst_lost_share: worst_lost_share(bench, noticed),
            core_share: usage.busy.as_secs_f64() / nodes / time.as_secs_f64(),
        }
    }
}

fn worst_lost_share(bench: &Bench, noticed: &[Noticed]) -> f64 {
    let shares = (0..bench.fleet.point.nodes)
        .map(NodeKey)
        .filter_map(|node| {
            let view = bench.fleet.net.member(node)?.view_len();
            let of_node = noticed.iter().filter(|n| n.node == node);
            let lost: BTreeSet<HostId> = of_node.filter_map(|n| lost_host(&n.event)).collect();
            Some(lost.len() as f64 / view as f64)
        });
    shares.fold(0.0, f64::max)
}

fn lost_host(event: &Event) -> Option<HostId> {
    match event {
        Event::TargetDown { host, .. } => Some(*host),
        _ => None,
    }
}
