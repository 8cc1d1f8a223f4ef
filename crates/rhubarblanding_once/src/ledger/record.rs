//! Records of keys, ordered by mint time, in bounded number.

use std::collections::BTreeMap;
use std::sync::Arc;

use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::time::UnixMillis;
use slotmap::new_key_type;

use crate::answer::{Fingerprint, RecordedAnswer};
use crate::message::RunId;

new_key_type! {
    /// Slot map key of an attempt in progress.
    pub(super) struct AttemptKey;
}

/// Role of the member that runs a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Runner {
    Home,
    Copy,
}

/// Vote for one attempt of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Vote {
    pub runner: Runner,
    pub run: RunId,
}

/// State of a key in a ledger.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// An attempt is in progress at this node.
    Active(AttemptKey),
    /// This node voted for an attempt of another member, which may have dispatched it.
    Prepared(Vote),
    /// Dispatched by this node, and the outcome was lost.
    Lost(RunId),
    /// Ran, and the answer is kept.
    Answered(Arc<RecordedAnswer>),
    /// Ran, and the answer is not kept.
    NotKept,
}

/// Record of one key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// State of the key.
    pub state: State,
}

impl Record {
    /// The vote of this node, if it has no later state.
    pub fn vote(&self) -> Option<Vote> {
        match self.state {
            State::Prepared(vote) => Some(vote),
            _ => None,
        }
    }

    fn kept_bytes(&self) -> usize {
        match &self.state {
            State::Answered(answer) => answer.size_bytes(),
            _ => 0,
        }
    }
}

/// Records in the order of their keys, which is the order of their mint times.
#[derive(Clone, Debug)]
pub(super) struct Records {
    by_key: BTreeMap<IdempotencyKey, Record>,
    horizon: Option<UnixMillis>,
    /// Size of all kept answers, in bytes.
    kept_bytes: usize,
    max_kept_bytes: usize,
    /// No record before this key keeps an answer.
    kept_from: Option<IdempotencyKey>,
}

impl Records {
    pub fn new(max_kept_bytes: usize) -> Self {
        Self {
            by_key: BTreeMap::new(),
            horizon: None,
            kept_bytes: 0,
            max_kept_bytes,
            kept_from: None,
        }
    }

    pub fn get(&self, key: IdempotencyKey) -> Option<&Record> {
        self.by_key.get(&key)
    }

    pub fn insert(&mut self, key: IdempotencyKey, record: Record) {
        let bytes = record.kept_bytes();
        self.remove(key);
        self.by_key.insert(key, record);
        self.add_kept(key, bytes);
    }

    pub fn set_state(&mut self, key: IdempotencyKey, state: State) {
        if let Some(record) = self.by_key.get_mut(&key) {
            self.kept_bytes -= record.kept_bytes();
            record.state = state;
            let bytes = record.kept_bytes();
            self.add_kept(key, bytes);
        }
    }

    pub fn remove(&mut self, key: IdempotencyKey) {
        if let Some(record) = self.by_key.remove(&key) {
            self.kept_bytes -= record.kept_bytes();
        }
    }

    /// Counts a kept answer, and discards the oldest ones if there are too many bytes.
    fn add_kept(&mut self, key: IdempotencyKey, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.kept_bytes += bytes;
        self.kept_from = self.kept_from.map(|from| from.min(key)).or(Some(key));
        while self.kept_bytes > self.max_kept_bytes {
            let Some(oldest) = self.oldest_kept() else {
                return;
            };
            self.kept_from = Some(oldest);
            self.set_state(oldest, State::NotKept);
        }
    }

    fn oldest_kept(&self) -> Option<IdempotencyKey> {
        let mut records = self.by_key.range(self.kept_from?..);
        let kept = records.find(|(_, record)| record.kept_bytes() > 0);
        kept.map(|(key, _)| *key)
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Latest mint time of an evicted record.
    pub fn horizon(&self) -> Option<UnixMillis> {
        self.horizon
    }

    /// Evicts the records that were minted before `expired`.
    pub fn evict_expired(&mut self, expired: UnixMillis) {
        while let Some(key) = self.oldest_idle() {
            if key.minted_at() >= expired {
                break;
            }
            self.evict(key);
        }
    }

    /// Makes room for a record of a key minted at `mint`, if older records can be evicted.
    pub fn make_room(&mut self, max: usize, mint: UnixMillis) -> bool {
        while self.by_key.len() >= max {
            match self.oldest_idle() {
                Some(key) if key.minted_at() < mint => self.evict(key),
                _ => return false,
            }
        }
        true
    }

    fn oldest_idle(&self) -> Option<IdempotencyKey> {
        let idle = |record: &Record| !matches!(record.state, State::Active(_));
        let mut records = self.by_key.iter();
        records
            .find(|(_, record)| idle(record))
            .map(|(key, _)| *key)
    }

    fn evict(&mut self, key: IdempotencyKey) {
        self.remove(key);
        self.horizon = self.horizon.max(Some(key.minted_at()));
    }
}
