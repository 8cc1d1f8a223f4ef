//! Runs a fleet with the real encoding and counts what it costs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rhubarblanding_core::prelude::MonoTime;
use rhubarblanding_membership::message::BodyKind;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{NodeKey, Step};

use super::SlopesError;
use super::fleet::{Fleet, Point};

/// Messages and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Encoded bytes, without the transport's own.
    pub bytes: u64,
}

/// What a fleet used.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Messages by kind.
    pub by_kind: BTreeMap<&'static str, Count>,
    /// Processor time of encoding, decoding and deciding.
    pub busy: Duration,
    /// Greatest number of bytes in one second of the fleet.
    pub peak_bytes: u64,
}

impl Usage {
    /// Messages of every kind.
    pub fn total(&self) -> Count {
        let add = |sum: Count, count: &Count| Count {
            messages: sum.messages + count.messages,
            bytes: sum.bytes + count.bytes,
        };
        self.by_kind.values().fold(Count::default(), add)
    }
}

/// A report of one node.
pub struct Noticed {
    /// When.
    pub at: MonoTime,
    /// The node.
    pub node: NodeKey,
    /// What it reported.
    pub event: Event,
}

/// A fleet under measurement.
pub struct Bench {
    /// The fleet.
    pub fleet: Fleet,
    usage: Usage,
    second: u64,
    second_bytes: u64,
}

impl Bench {
    /// Time for a fleet to settle before it is measured.
    const SETTLE: Duration = Duration::from_secs(30);

    /// Starts a fleet and lets it settle.
    pub fn start(point: Point) -> Result<Self, Report<SlopesError>> {
        let fleet = Fleet::start(point)?;
        let mut bench = Self {
            fleet,
            usage: Usage::default(),
            second: 0,
            second_bytes: 0,
        };
        bench.advance(Self::SETTLE)?;
        bench.take_usage();
        Ok(bench)
    }

    /// Time of the fleet.
    pub fn now(&self) -> MonoTime {
        self.fleet.net.now
    }

    /// Runs for `time` and returns what the nodes reported.
    pub fn advance(&mut self, time: Duration) -> Result<Vec<Noticed>, Report<SlopesError>> {
        let end = self.now() + time;
        let mut noticed = Vec::new();
        while let Some(step) = self.fleet.net.next_step(end) {
            let node = step.node;
            let events = self.apply(step)?;
            let at = self.now();
            noticed.extend(events.into_iter().map(|event| Noticed { at, node, event }));
        }
        Ok(noticed)
    }

    /// Hands `input` to a node and counts the time it takes.
    pub fn input(&mut self, node: NodeKey, input: Input) -> Vec<Event> {
        let begin = Instant::now();
        let events = self.fleet.net.input(node, input);
        self.usage.busy += begin.elapsed();
        events
    }

    /// What was used since the last call.
    pub fn take_usage(&mut self) -> Usage {
        self.second_bytes = 0;
        std::mem::take(&mut self.usage)
    }

    fn apply(&mut self, step: Step) -> Result<Vec<Event>, Report<SlopesError>> {
        let begin = Instant::now();
        let step = match step.msg {
            Some(msg) => self.carry(step.node, &msg)?,
            None => step,
        };
        let events = self.fleet.net.apply(step);
        self.usage.busy += begin.elapsed();
        Ok(events)
    }

    /// Encodes a message as its sender does and decodes it as its receiver does.
    fn carry(&mut self, node: NodeKey, msg: &GossipMessage) -> Result<Step, Report<SlopesError>> {
        let bytes = serde_json::to_vec(msg).change_context(SlopesError::Codec)?;
        self.count(msg.kind(), bytes.len() as u64);
        let decoded = serde_json::from_slice(&bytes).change_context(SlopesError::Codec)?;
        let msg = Some(Box::new(decoded));
        Ok(Step { node, msg })
    }

    fn count(&mut self, kind: BodyKind, bytes: u64) {
        let count = self.usage.by_kind.entry(kind.into()).or_default();
        count.messages += 1;
        count.bytes += bytes;
        let second = self.now().as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.second_bytes = 0;
        }
        self.second_bytes += bytes;
        self.usage.peak_bytes = self.usage.peak_bytes.max(self.second_bytes);
    }
}
