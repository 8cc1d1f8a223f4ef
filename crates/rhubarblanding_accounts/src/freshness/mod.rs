//! How long ago a version of the configuration was known to be the newest one.
//!
//! A node that hears nothing cannot tell an unchanged configuration from news that do not arrive. So
//! each node keeps the time up to which no version newer than its own was in force, and renews it by
//! questions before it grows old. It learns that time from the key-value service or from another node,
//! always as the answer to a question, and counts from the moment at which the question was sent.

mod word;

use std::time::Duration;

use rhubarblanding_core::prelude::*;

pub use word::{InvalidWord, Word};

/// Number of nodes that read the key-value service in regular intervals for all others. Reads cost
/// the users, so it does not grow with the fleet.
pub const READERS: usize = 3;
/// Number of nodes, readers included, that read it when the readers bring no news.
const SUBSTITUTES: usize = 12;
/// Number of nodes that read it when the substitutes bring no news either: the service may turn away
/// many nodes. The limit bounds the calls of a large fleet in an outage.
const LAST_SUBSTITUTES: usize = 48;
/// Age at which the first substitute reads. It is above those of a calm fleet, and leaves time to pass
/// a version on within the two seconds in which it has to be in force.
const SUBSTITUTES_AGE: Duration = Duration::from_millis(1_200);
/// Time by which each further substitute waits longer: the read of one is enough for all.
const SUBSTITUTE_STEP: Duration = Duration::from_millis(50);
/// Age at which the last substitutes read.
const LAST_SUBSTITUTES_AGE: Duration = Duration::from_millis(3_000);
/// Age at which a node reads that no other node answers.
const ALONE_AGE: Duration = Duration::from_millis(1_500);
/// Time without an answer of another node after which a node relies on itself.
const ALONE_AFTER: Duration = Duration::from_secs(1);
/// Time between two reads of a reader, and of a node that no other answers.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of a substitute.
const SUBSTITUTE_INTERVAL: Duration = Duration::from_secs(3);
/// Age at which a node asks along with requests that it sends anyhow.
const HOP_ASK_AGE: Duration = Duration::from_millis(400);
/// Age at which a node asks another one in a message of its own.
const ASK_AGE: Duration = Duration::from_millis(700);
/// Time between two such messages: each may reach a node that knows no more.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// What a node does next to renew its knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// Nothing.
    None,
    /// Ask another node.
    Ask,
    /// Read the key-value service.
    Read,
}

/// Knowledge of one node that its version is the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Time before which no version newer than the active one was in force. It stays valid when a
    /// newer version becomes active.
    known_at: Option<MonoTime>,
    read_at: Option<MonoTime>,
    asked_at: Option<MonoTime>,
    /// Time of another node's latest answer.
    heard_at: Option<MonoTime>,
}

impl Freshness {
    /// Returns the time before which no version newer than the active one was in force.
    pub fn known_at(&self) -> Option<MonoTime> {
        self.known_at
    }

    /// Returns the time of another node's latest answer.
    pub fn heard_at(&self) -> Option<MonoTime> {
        self.heard_at
    }

    /// Returns the age of the knowledge, `None` if there is none.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.known_at.map(|at| now.since(at))
    }

    /// Applies a read of the key-value service that was sent at `sent_at` and returned `read`, after
    /// that version was adopted if it is newer.
    ///
    /// If the active version is still newer, the service may have been restored from an older copy,
    /// and may lack further versions: then the read proves nothing.
    pub fn learn_read(&mut self, active: DocVersion, sent_at: MonoTime, read: DocVersion) {
        if read == active {
            self.renew(sent_at);
        }
    }

    /// Applies another node's answer to a question that was sent at `asked_at`; `word` is `None` if
    /// that node knows nothing.
    ///
    /// A node with another version proves nothing: an older one may come from a service restored from
    /// an older copy, a newer one is yet to be adopted here.
    pub fn learn_word(
        &mut self,
        active: DocVersion,
        (asked_at, now): (MonoTime, MonoTime),
        word: Option<Word>,
    ) {
        self.heard_at = self.heard_at.max(Some(now));
        let Some(word) = word.filter(|word| word.version == active) else {
            return;
        };
        // The clock may begin later than the time that the word refers to.
        if asked_at.since(MonoTime::ZERO) >= word.age {
            self.renew(asked_at - word.age);
        }
    }

    fn renew(&mut self, at: MonoTime) {
        self.known_at = self.known_at.max(Some(at));
    }

    /// Returns the answer to another node's question.
    pub fn word(&self, active: DocVersion, now: MonoTime) -> Option<Word> {
        Some(Word {
            version: active,
            age: self.age(now)?,
        })
    }

    /// Returns `true` if requests that are sent to other nodes should ask for their word.
    pub fn asks_along(&self, now: MonoTime) -> bool {
        self.age(now).is_none_or(|age| age >= HOP_ASK_AGE)
    }

    /// Decides on the next renewal. `rank` is the node's position in an order of all nodes on which
    /// they agree; the first ones read the key-value service. It is `None` while the node cannot.
    pub fn renewal(&mut self, now: MonoTime, rank: Option<usize>) -> Renewal {
        if rank.is_some_and(|rank| self.is_read_due(now, rank)) {
            self.read_at = Some(now);
            return Renewal::Read;
        }
        let is_asked = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        let is_old = self.age(now).is_none_or(|age| age >= ASK_AGE);
        if is_old && !is_asked {
            self.asked_at = Some(now);
            return Renewal::Ask;
        }
        Renewal::None
    }

    fn is_read_due(&self, now: MonoTime, rank: usize) -> bool {
        let age = self.age(now).unwrap_or(now.since(MonoTime::ZERO));
        let is_past = |at: Option<MonoTime>, time| at.is_none_or(|at| now.since(at) >= time);
        let is_alone = is_past(self.heard_at, ALONE_AFTER);
        let (read_age, interval) = match rank {
            0..READERS => (Duration::ZERO, READ_INTERVAL),
            READERS..SUBSTITUTES if !is_alone => {
                let step = SUBSTITUTE_STEP * (rank - READERS) as u32;
                (SUBSTITUTES_AGE + step, SUBSTITUTE_INTERVAL)
            }
            _ if is_alone => (ALONE_AGE, READ_INTERVAL),
            SUBSTITUTES..LAST_SUBSTITUTES => (LAST_SUBSTITUTES_AGE, SUBSTITUTE_INTERVAL),
            _ => (Duration::MAX, SUBSTITUTE_INTERVAL),
        };
        // The readers of a fleet that starts as one take turns.
        let turn = READ_INTERVAL * rank.min(READERS) as u32 / READERS as u32;
        let is_turn = self.read_at.is_some() || now.since(MonoTime::ZERO) >= turn;
        is_turn && age >= read_age && is_past(self.read_at, interval)
    }
}
