//! Cost of ordinary days.

use std::time::Duration;

use error_stack::Report;
use rhubarblanding_core::prelude::{DocVersion, MonoTime, TargetState};
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::NodeKey;
use serde::Serialize;

use super::SlopesError;
use super::bench::{Bench, Usage};
use super::fleet::{PART_BYTES, Point, SLOTS};

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Time between the steps of a restart: leaving, stopped, started, serving.
const RESTART_STEP: Duration = Duration::from_secs(1);

/// Cost of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeCost {
    /// Nodes.
    pub nodes: usize,
    /// Other services that each service calls.
    pub calls: usize,
    /// Tickets a day.
    pub tickets_per_day: f64,
    /// Restarts of targets a day.
    pub restarts_per_day: f64,
    /// Messages sent, a second.
    pub messages_per_second: f64,
    /// Encoded bytes sent, a second; as many are received.
    pub bytes_per_second: f64,
    /// Share of one core, 0 to 1.
    pub core_share: f64,
    /// Memory that the state takes, in bytes.
    pub state_bytes: f64,
    /// Resident memory of the process divided by the nodes, in bytes.
    pub resident_bytes: f64,
    /// Targets kept in detail.
    pub view_targets: f64,
    /// Nodes of the fleet that watch the platform's service.
    pub watchers: usize,
    /// Bytes sent a second by kind of message.
    pub bytes_by_kind: Vec<KindRate>,
}

/// Bytes of one kind of message.
#[derive(Clone, Debug, Serialize)]
pub struct KindRate {
    /// Kind.
    pub kind: &'static str,
    /// Messages sent, a second and node.
    pub messages_per_second: f64,
    /// Bytes sent, a second and node.
    pub bytes_per_second: f64,
}

/// What is due at a time of the measurement.
#[derive(Clone, Copy, Debug)]
enum Change {
    Ticket,
    Leave(NodeKey),
    Stop(NodeKey),
    Start(NodeKey),
    Serve(NodeKey),
}

/// Measures `point` for `window`.
///
/// Resident memory is told in full; it is that of this point only if no larger one ran before.
pub fn measure(point: Point, window: Duration) -> Result<(NodeCost, Bench), Report<SlopesError>> {
    let mut bench = Bench::start(point)?;
    let begin = bench.now();
    let mut version = 1;
    for (at, change) in schedule(&bench, point, window) {
        let wait = bench.now().until(at);
        bench.advance(wait)?;
        apply(&mut bench, change, &mut version);
    }
    let rest = bench.now().until(begin + window);
    bench.advance(rest)?;
    let usage = bench.take_usage();
    let cost = NodeCost::new(&bench, &usage, window);
    Ok((cost, bench))
}

/// Part of the document that one ticket changes.
pub fn ticket(version: u64) -> Document {
    let part = DocumentPart {
        name: "service-000".to_owned(),
        version: DocVersion(version),
        body: Some("y".repeat(PART_BYTES)),
    };
    Document {
        version: DocVersion(version),
        parts: vec![part],
    }
}

fn schedule(bench: &Bench, point: Point, window: Duration) -> Vec<(MonoTime, Change)> {
    let begin = bench.now();
    let mut changes: Vec<_> = times(begin, window, point.tickets_per_day)
        .map(|at| (at, Change::Ticket))
        .collect();
    let restarts = times(begin, window, point.restarts_per_day).enumerate();
    for (number, at) in restarts {
        let node = NodeKey((7 + 31 * number) % point.nodes);
        changes.push((at, Change::Leave(node)));
        changes.push((at + RESTART_STEP, Change::Stop(node)));
        changes.push((at + 2 * RESTART_STEP, Change::Start(node)));
        changes.push((at + 3 * RESTART_STEP, Change::Serve(node)));
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

/// Evenly spaced times at a rate a day, the first after half a period.
fn times(begin: MonoTime, window: Duration, per_day: f64) -> impl Iterator<Item = MonoTime> {
    let count = (window.as_secs_f64() * per_day / DAY_SECONDS).round() as u32;
    let period = window.checked_div(count).unwrap_or_default();
    (0..count).map(move |number| begin + period * number + period / 2)
}

fn apply(bench: &mut Bench, change: Change, version: &mut u64) {
    match change {
        Change::Ticket => {
            *version += 1;
            bench.input(NodeKey(0), Input::Document(ticket(*version)));
        }
        Change::Leave(node) => announce(bench, node, TargetState::Draining),
        Change::Stop(node) => {
            announce(bench, node, TargetState::Stopped);
            bench.fleet.net.kill(node);
        }
        Change::Start(node) => bench.fleet.restart(node),
        Change::Serve(node) => announce(bench, node, TargetState::Serving),
    }
}

/// Announces a state of a node's own target.
pub fn announce(bench: &mut Bench, node: NodeKey, state: TargetState) {
    let slots = SLOTS;
    bench.input(node, Input::Announce { state, slots });
}

impl NodeCost {
    fn new(bench: &Bench, usage: &Usage, window: Duration) -> Self {
        let point = bench.fleet.point;
        let node_seconds = point.nodes as f64 * window.as_secs_f64();
        let members = || {
            bench
                .fleet
                .net
                .nodes()
                .iter()
                .filter_map(|n| n.member.as_ref())
        };
        let mean = |sum: usize| sum as f64 / point.nodes as f64;
        let total = usage.total();
        let by_kind = usage.by_kind.iter().map(|(kind, count)| KindRate {
            kind,
            messages_per_second: count.messages as f64 / node_seconds,
            bytes_per_second: count.bytes as f64 / node_seconds,
        });
        Self {
            nodes: point.nodes,
            calls: point.calls,
            tickets_per_day: point.tickets_per_day,
            restarts_per_day: point.restarts_per_day,
            messages_per_second: total.messages as f64 / node_seconds,
            bytes_per_second: total.bytes as f64 / node_seconds,
            core_share: usage.busy.as_secs_f64() / node_seconds,
            state_bytes: mean(members().map(Membership::heap_bytes).sum()),
            resident_bytes: resident_bytes() as f64 / point.nodes as f64,
            view_targets: mean(members().map(Membership::view_len).sum()),
            watchers: members().filter(|member| member.is_watching()).count(),
            bytes_by_kind: by_kind.collect(),
        }
    }
}

/// Resident memory of this process, in bytes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
