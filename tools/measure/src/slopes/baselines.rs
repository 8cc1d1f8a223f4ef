//! Other ways to spread membership, worked out from real encodings of their messages.

use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::message::{ProbeSeq, ServiceRecords};
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::NodeKey;
use serde::Serialize;

use super::SlopesError;
use super::fleet::{Fleet, Point};

/// Time between two heartbeats or two exchanges of state.
const PERIOD: Duration = Duration::from_secs(1);
/// Times that a message is encoded and decoded to time it.
const TIMED_REPEATS: u32 = 200;

/// Way of spreading membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// Each node sends a heartbeat to every other node every second.
    FullMesh,
    /// Each node sends its whole state to one peer every second.
    FullState,
}

/// Cost of a node with a baseline.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BaselineCost {
    /// Way of spreading membership.
    pub baseline: Baseline,
    /// Nodes.
    pub nodes: usize,
    /// Messages sent, a second.
    pub messages_per_second: f64,
    /// Encoded bytes sent, a second.
    pub bytes_per_second: f64,
    /// Share of one core for encoding and decoding, 0 to 1.
    pub core_share: f64,
}

/// Cost of `baseline` at `nodes` nodes.
pub fn cost(baseline: Baseline, nodes: usize) -> Result<BaselineCost, Report<SlopesError>> {
    let messages = match baseline {
        Baseline::FullMesh => (nodes - 1) as f64,
        Baseline::FullState => 1.0,
    };
    let body = match baseline {
        Baseline::FullMesh => Body::Ping(ProbeSeq(100_000)),
        Baseline::FullState => whole_state(nodes)?,
    };
    let encoded = time_encoding(&message(body))?;
    let per_second = messages / PERIOD.as_secs_f64();
    Ok(BaselineCost {
        baseline,
        nodes,
        messages_per_second: per_second,
        bytes_per_second: per_second * encoded.bytes as f64,
        core_share: per_second * encoded.time.as_secs_f64(),
    })
}

struct Encoded {
    bytes: usize,
    time: Duration,
}

fn time_encoding(msg: &GossipMessage) -> Result<Encoded, Report<SlopesError>> {
    let begin = Instant::now();
    let mut bytes = 0;
    for _ in 0..TIMED_REPEATS {
        let text = serde_json::to_vec(msg).change_context(SlopesError::Codec)?;
        let decoded: GossipMessage =
            serde_json::from_slice(&text).change_context(SlopesError::Codec)?;
        std::hint::black_box(&decoded);
        bytes = text.len();
    }
    let time = begin.elapsed() / TIMED_REPEATS;
    Ok(Encoded { bytes, time })
}

fn whole_state(nodes: usize) -> Result<Body, Report<SlopesError>> {
    let fleet = Fleet::describe(Point::ordinary(nodes, ViewMode::Full, 1))?;
    let infos = (0..nodes).map(|node| fleet.info(NodeKey(node)).clone());
    Ok(Body::Records(ServiceRecords {
        service: fleet.info(NodeKey(0)).service.clone(),
        records: infos.map(|info| Record::alive(info, 1)).collect(),
        answer: true,
    }))
}

fn message(body: Body) -> GossipMessage {
    GossipMessage {
        from: rhubarblanding_membership::testing::host_number(1),
        incarnation: Incarnation(1_780_000_000_000),
        document: DocVersion(5_000),
        updates: Vec::new(),
        body,
    }
}
