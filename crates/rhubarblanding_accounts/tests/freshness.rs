//! Freshness of many nodes under random delays, losses, pauses, restarts and a restored store: no node
//! admits a key for longer than the bound after its withdrawal.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_accounts::freshness::{Freshness, Renewal, Word};
use rhubarblanding_core::prelude::*;

/// Bound on the use of withdrawn keys.
const BOUND: Duration = Duration::from_secs(5);
/// Time between two steps of the model, in milliseconds; a node acts in each second one.
const STEP_MS: u64 = 100;

/// Rule that is switched off, to show that the oracle notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// Answers count from their arrival.
    CountsFromArrival,
    /// The age of another node's word is not added.
    IgnoresAge,
    /// A read of an older version counts.
    TrustsOlderStore,
    /// Another node's word counts whatever its version.
    TrustsOtherVersions,
    /// The clock stands while the node is paused.
    ClockStops,
    /// The word of a node with an older clock than one's own counts from the start of the clock.
    ForgetsStart,
}

#[derive(Clone, Copy, Debug)]
enum Msg {
    Read {
        from: usize,
        sent_at: MonoTime,
    },
    ReadDone {
        sent_at: MonoTime,
        version: DocVersion,
    },
    Ask {
        from: usize,
        asked_at: MonoTime,
    },
    Answer {
        asked_at: MonoTime,
        word: Option<Word>,
    },
    Document(DocVersion),
}

#[derive(Clone, Debug, Default)]
struct Node {
    started_ms: u64,
    paused_until_ms: u64,
    /// Paused time so far, for a clock that does not count it.
    paused_ms: u64,
    cut: bool,
    active: DocVersion,
    freshness: Freshness,
    questions: usize,
}

struct Model {
    rng: SmallRng,
    broken: Broken,
    calm: bool,
    now_ms: u64,
    nodes: Vec<Node>,
    /// Messages by arrival and number; the receiver is a node, or the store if `None`.
    sent: BTreeMap<(u64, u64), (Option<usize>, Msg)>,
    number: u64,
    store: DocVersion,
    /// Times at which versions were acknowledged.
    acknowledged: Vec<u64>,
    restored: bool,
    reads: u64,
    worst_age: Duration,
}

impl Model {
    fn new(seed: u64, nodes: usize, broken: Broken, calm: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            broken,
            calm,
            now_ms: 0,
            nodes: vec![Node::default(); nodes],
            sent: BTreeMap::new(),
            number: 0,
            store: DocVersion(1),
            acknowledged: vec![0, 0],
            restored: false,
            reads: 0,
            worst_age: Duration::ZERO,
        }
    }

    fn clock(&self, i: usize) -> MonoTime {
        let node = &self.nodes[i];
        let paused = match self.broken {
            Broken::ClockStops => node.paused_ms,
            _ => 0,
        };
        MonoTime::from_millis(self.now_ms - node.started_ms - paused)
    }

    fn send(&mut self, from: Option<usize>, to: Option<usize>, msg: Msg) {
        let is_cut = |end: Option<usize>| end.is_some_and(|i| self.nodes[i].cut);
        if is_cut(from) || is_cut(to) || (!self.calm && self.rng.random_bool(0.1)) {
            return;
        }
        let delay = match !self.calm && self.rng.random_bool(0.15) {
            true => self.rng.random_range(0..9_000),
            false => self.rng.random_range(1..30),
        };
        self.number += 1;
        let key = (self.now_ms + delay, self.number);
        self.sent.insert(key, (to, msg));
    }

    fn arrive(&mut self, to: Option<usize>, msg: Msg) {
        let Some(i) = to else {
            if let Msg::Read { from, sent_at } = msg {
                let version = self.store;
                self.send(None, Some(from), Msg::ReadDone { sent_at, version });
            }
            return;
        };
        let now = self.clock(i);
        let from_arrival = self.broken == Broken::CountsFromArrival;
        let counted = |sent_at: MonoTime| if from_arrival { now } else { sent_at };
        match msg {
            Msg::Read { .. } => {}
            // A question of a process that has ended is not answered to its successor.
            Msg::ReadDone { sent_at, .. }
            | Msg::Answer {
                asked_at: sent_at, ..
            } if sent_at > now => {}
            Msg::ReadDone { sent_at, version } => {
                self.adopt(i, version);
                let active = self.nodes[i].active;
                let read = match self.broken {
                    Broken::TrustsOlderStore => active,
                    _ => version,
                };
                let freshness = &mut self.nodes[i].freshness;
                freshness.learn_read(active, counted(sent_at), read);
            }
            Msg::Ask { from, asked_at } => {
                let node = &self.nodes[i];
                let word = node.freshness.word(node.active, now);
                self.send(Some(i), Some(from), Msg::Answer { asked_at, word });
            }
            Msg::Answer { asked_at, word } => {
                let active = self.nodes[i].active;
                let word = word.map(|mut word| {
                    let round_trip = Word::try_from(&*word.to_string());
                    word = round_trip.unwrap_or(word);
                    match self.broken {
                        Broken::IgnoresAge => word.age = Duration::ZERO,
                        Broken::TrustsOtherVersions => word.version = active,
                        Broken::ForgetsStart => {
                            word.age = word.age.min(asked_at.since(MonoTime::ZERO));
                        }
                        _ => {}
                    }
                    word
                });
                let times = (counted(asked_at), now);
                self.nodes[i].freshness.learn_word(active, times, word);
            }
            Msg::Document(version) => self.adopt(i, version),
        }
    }

    fn adopt(&mut self, i: usize, version: DocVersion) {
        let node = &mut self.nodes[i];
        node.active = node.active.max(version);
    }

    fn disturb(&mut self) {
        let i = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..400) {
            0..3 => {
                let time = self.rng.random_range(500..12_000);
                let node = &mut self.nodes[i];
                if node.paused_until_ms < self.now_ms {
                    node.paused_until_ms = self.now_ms + time;
                    node.paused_ms += time;
                }
            }
            3..9 => self.nodes[i].cut = true,
            9..20 => self.nodes[i].cut = false,
            20..24 if !self.restored => {
                self.nodes[i] = Node {
                    started_ms: self.now_ms,
                    ..Node::default()
                };
                // Answers to the process before reach nobody.
                self.sent.retain(|_, (to, _)| *to != Some(i));
                self.sent.retain(|_, (_, msg)| !msg.is_question_of(i));
            }
            24..30 => {
                self.acknowledged.push(self.now_ms);
                self.store = DocVersion(self.acknowledged.len() as u64 - 1);
                self.restored = false;
            }
            30..33 => {
                // A version that no node has can't be missed.
                let oldest = self.nodes.iter().map(|node| node.active.0).min();
                if let Some(older) = oldest.and_then(|oldest| oldest.checked_sub(1))
                    && older > 0
                {
                    self.store = DocVersion(older);
                    self.restored = true;
                    self.sent.retain(|_, (to, _)| to.is_some());
                }
            }
            _ => {}
        }
    }

    /// Advances by one step; returns the first violation.
    fn step(&mut self) -> Option<String> {
        self.now_ms += STEP_MS;
        if !self.calm {
            self.disturb();
        }
        while let Some(entry) = self.sent.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (to, msg) = entry.remove();
            let paused_until = to.map_or(0, |i| self.nodes[i].paused_until_ms);
            if paused_until > self.now_ms {
                self.number += 1;
                self.sent.insert((paused_until, self.number), (to, msg));
            } else {
                self.arrive(to, msg);
            }
        }
        (0..self.nodes.len()).find_map(|i| self.run(i))
    }

    fn run(&mut self, i: usize) -> Option<String> {
        let is_due = (self.now_ms / STEP_MS + i as u64).is_multiple_of(2);
        if self.nodes[i].paused_until_ms > self.now_ms || !is_due {
            return None;
        }
        let now = self.clock(i);
        let others = self.nodes.len() - 1;
        let to = (i + 1 + self.rng.random_range(0..others)) % self.nodes.len();
        if self.rng.random_bool(0.02) {
            let document = Msg::Document(self.nodes[i].active);
            self.send(Some(i), Some(to), document);
        }
        match self.nodes[i].freshness.renewal(now, Some(i)) {
            Renewal::None => {}
            Renewal::Read => {
                self.reads += 1;
                let read = Msg::Read {
                    from: i,
                    sent_at: now,
                };
                self.send(Some(i), None, read);
            }
            Renewal::Ask => {
                self.nodes[i].questions += 1;
                let questions = self.nodes[i].questions;
                let near = match questions.is_multiple_of(4) {
                    true => to,
                    false => (i + questions) % (i / 8).max(3).min(others),
                };
                let ask = Msg::Ask {
                    from: i,
                    asked_at: now,
                };
                self.send(Some(i), Some(near), ask);
            }
        }
        let node = &self.nodes[i];
        let age = node.freshness.age(now);
        self.worst_age = self.worst_age.max(age.unwrap_or(Duration::MAX));
        let is_admitting = age.is_some_and(|age| age < BOUND);
        let next = node.active.0 as usize + 1;
        let withdrawn_at = *self.acknowledged.get(next)?;
        let elapsed = Duration::from_millis(self.now_ms - withdrawn_at);
        (is_admitting && elapsed >= BOUND).then(|| {
            let version = node.active.0;
            format!("node {i} with version {version} admits a key {elapsed:?} after its withdrawal")
        })
    }
}

impl Msg {
    fn is_question_of(&self, i: usize) -> bool {
        matches!(self, Self::Read { from, .. } | Self::Ask { from, .. } if *from == i)
    }
}

fn violation(seed: u64, broken: Broken, steps: usize) -> Option<String> {
    let mut model = Model::new(seed, 5, broken, false);
    (0..steps).find_map(|_| model.step())
}

/// Set `FRESHNESS_RUNS` for a longer run.
#[test]
fn no_withdrawn_key_is_admitted_after_the_bound() {
    let runs = std::env::var("FRESHNESS_RUNS").ok();
    let runs = runs.and_then(|runs| runs.parse().ok()).unwrap_or(300);
    for seed in 0..runs {
        let found = violation(seed, Broken::Nothing, 1_000);
        assert_that!(found, none(), "seed {seed}");
    }
}

fn is_noticed(broken: Broken) {
    let found = (0..2_000).find_map(|seed| violation(seed, broken, 1_000));
    assert_that!(found, some(anything()));
}

rhubarblanding_core::cases! {
    is_noticed;
    counting_from_arrival: (Broken::CountsFromArrival);
    ignored_age: (Broken::IgnoresAge);
    trusted_older_store: (Broken::TrustsOlderStore);
    trusted_other_versions: (Broken::TrustsOtherVersions);
    clock_that_stops_in_a_pause: (Broken::ClockStops);
    clock_younger_than_the_word: (Broken::ForgetsStart);
}

/// In calm, few nodes read for all, and each node could lose all contact and still admit keys for
/// three seconds.
fn calm_fleet_is_fresh(nodes: usize) {
    let mut model = Model::new(1, nodes, Broken::Nothing, true);
    for node in &mut model.nodes {
        node.active = DocVersion(1);
    }
    for _ in 0..30 {
        model.step();
    }
    let (began_ms, reads) = (model.now_ms, model.reads);
    model.worst_age = Duration::ZERO;
    for _ in 0..300 {
        model.step();
    }
    let seconds = (model.now_ms - began_ms) as f64 / 1_000.0;
    assert_that!((model.reads - reads) as f64 / seconds, le(4.0));
    println!(
        "worst age {:?}, reads {}",
        model.worst_age,
        model.reads - reads
    );
    assert_that!(model.worst_age, lt(BOUND - Duration::from_secs(3)));
}

rhubarblanding_core::cases! {
    calm_fleet_is_fresh;
    of_two: (2);
    of_sixty: (60);
    of_five_hundred: (500);
}

fn word_is_refused(raw: &str) {
    assert_that!(Word::try_from(raw), err(anything()));
}

rhubarblanding_core::cases! {
    word_is_refused;
    empty: ("");
    no_age: ("1a");
    negative_age: ("1a;-5");
    more_fields: ("1a;5;6");
}
