//! Time until a change is known everywhere.

use std::collections::BTreeSet;
use std::time::Duration;

use error_stack::Report;
use rhubarblanding_core::prelude::{DocVersion, HostId, MonoTime, TargetState};
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::NodeKey;
use serde::Serialize;

use super::SlopesError;
use super::bench::{Bench, Noticed};
use super::steady::{announce, ticket};

/// Greatest time that is waited for a change to be known everywhere.
const LIMIT: Duration = Duration::from_secs(10);
/// Length of one step of waiting.
const STEP: Duration = Duration::from_millis(10);
/// Time between two changes.
const PAUSE: Duration = Duration::from_secs(3);
/// Version of the first ticket that is timed, above those of the steady measurement.
const FIRST_VERSION: u64 = 1_000_000;

/// Greatest times until a change was known at every node that needs it, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadTimes {
    /// Nodes.
    pub nodes: usize,
    /// A target takes requests.
    pub up_ms: f64,
    /// A target is leaving.
    pub leaving_ms: f64,
    /// A ticket, handed to a single node.
    pub ticket_ms: f64,
    /// Changes that were not known everywhere within 10 s.
    pub late: usize,
    /// Changes timed.
    pub changes: usize,
}

/// Times `repeats` changes of each kind.
pub fn measure(bench: &mut Bench, repeats: usize) -> Result<SpreadTimes, Report<SlopesError>> {
    let mut times = SpreadTimes {
        nodes: bench.fleet.point.nodes,
        up_ms: 0.0,
        leaving_ms: 0.0,
        ticket_ms: 0.0,
        late: 0,
        changes: 3 * repeats,
    };
    for repeat in 0..repeats {
        let node = NodeKey((11 + 101 * repeat) % bench.fleet.point.nodes);
        let leaving = time_state(bench, node, TargetState::Draining)?;
        times.leaving_ms = times.leaving_ms.max(times.record(leaving));
        announce(bench, node, TargetState::Stopped);
        bench.fleet.net.kill(node);
        bench.advance(PAUSE)?;
        bench.fleet.restart(node);
        bench.advance(PAUSE)?;
        let up = time_state(bench, node, TargetState::Serving)?;
        times.up_ms = times.up_ms.max(times.record(up));
        let ticket = time_ticket(bench, FIRST_VERSION + repeat as u64)?;
        times.ticket_ms = times.ticket_ms.max(times.record(ticket));
    }
    Ok(times)
}

impl SpreadTimes {
    fn record(&mut self, time: Option<Duration>) -> f64 {
        self.late += usize::from(time.is_none());
        time.unwrap_or(LIMIT).as_secs_f64() * 1_000.0
    }
}

fn time_state(
    bench: &mut Bench,
    node: NodeKey,
    state: TargetState,
) -> Result<Option<Duration>, Report<SlopesError>> {
    let info = bench.fleet.info(node).clone();
    let needed = bench.fleet.holders(&info.service) - 1;
    let begin = bench.now();
    announce(bench, node, state);
    let tells = |event: &Event| told_state(event) == Some((info.host, state));
    wait_for(bench, begin, needed, node, tells)
}

fn time_ticket(bench: &mut Bench, version: u64) -> Result<Option<Duration>, Report<SlopesError>> {
    let origin = NodeKey(0);
    let nodes = bench.fleet.net.nodes().iter();
    let needed = nodes.filter(|node| node.member.is_some()).count() - 1;
    let begin = bench.now();
    bench.input(origin, Input::Document(ticket(version)));
    let wanted = DocVersion(version);
    let tells = |event: &Event| matches!(event, Event::DocumentReceived(d) if d.version == wanted);
    wait_for(bench, begin, needed, origin, tells)
}

fn told_state(event: &Event) -> Option<(HostId, TargetState)> {
    match event {
        Event::TargetUp { info, .. } | Event::TargetChanged { info, .. } => {
            Some((info.host, info.state))
        }
        _ => None,
    }
}

/// Waits until `needed` nodes besides `origin` reported what `tells` accepts.
fn wait_for(
    bench: &mut Bench,
    begin: MonoTime,
    needed: usize,
    origin: NodeKey,
    tells: impl Fn(&Event) -> bool,
) -> Result<Option<Duration>, Report<SlopesError>> {
    let mut told = BTreeSet::new();
    let mut last = begin;
    while bench.now().since(begin) < LIMIT {
        let step = bench.advance(STEP)?;
        for Noticed { at, node, event } in step {
            if node != origin && tells(&event) && told.insert(node) {
                last = at;
            }
        }
        if told.len() >= needed {
            return Ok(Some(last.since(begin)));
        }
    }
    Ok(None)
}
