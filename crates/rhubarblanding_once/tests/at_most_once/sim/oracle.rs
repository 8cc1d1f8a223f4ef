//! Guarantees that a simulated cluster is checked against.

use rhubarblanding_core::collections::{HashMap, HashSet};
use rhubarblanding_core::error::{ErrorKind, RunState};
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_once::prelude::*;

/// Numbers of answers by kind, and of other events in the cluster.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub cases: u64,
    pub answered: u64,
    pub refused: HashMap<ErrorKind, u64>,
    pub runs: u64,
    pub runs_at_copy: u64,
    pub epochs_activated: u64,
    pub store_calls: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.cases += 1;
        self.answered += other.answered;
        self.runs += other.runs;
        self.runs_at_copy += other.runs_at_copy;
        self.epochs_activated += other.epochs_activated;
        self.store_calls += other.store_calls;
        for (kind, count) in &other.refused {
            *self.refused.entry(*kind).or_default() += count;
        }
    }

    /// Number of refusals that report this run state.
    pub fn refused_as(&self, state: RunState) -> u64 {
        let refused = self.refused.iter();
        let in_state = refused.filter(|(kind, _)| kind.answer().run_state == state);
        in_state.map(|(_, count)| count).sum()
    }

    /// Share of the callers whose outcome was reported as unknown.
    pub fn unknown_share(&self) -> f64 {
        let total = self.answered + self.refused.values().sum::<u64>();
        self.refused_as(RunState::Unknown) as f64 / total as f64
    }
}

/// Runs and answers so far, and the first violation of a guarantee.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    runs: HashMap<IdempotencyKey, Vec<RecordedAnswer>>,
    /// Attempts whose request reached a backend server that ran it.
    ran_for: HashSet<CallerId>,
    /// Attempts that were refused as not run.
    refused: HashSet<CallerId>,
    pub tally: Tally,
    pub violation: Option<String>,
}

impl Oracle {
    pub fn on_run(&mut self, key: IdempotencyKey, caller: CallerId, answer: RecordedAnswer) {
        let runs = self.runs.entry(key).or_default();
        runs.push(answer);
        let count = runs.len();
        if count > 1 {
            self.report(format!("{key} ran {count} times"));
        }
        self.tally.runs += 1;
        self.ran_for.insert(caller);
        if self.refused.contains(&caller) {
            self.report(format!("{caller:?} was refused not-run and ran later"));
        }
    }

    fn report(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    pub fn answer_of(&self, key: IdempotencyKey) -> Option<&RecordedAnswer> {
        self.runs.get(&key)?.first()
    }

    pub fn on_answer(&mut self, key: IdempotencyKey, answer: &RecordedAnswer) {
        self.tally.answered += 1;
        if self.answer_of(key) != Some(answer) {
            self.report(format!("{key} was answered with other bytes"));
        }
    }

    pub fn on_refusal(&mut self, key: IdempotencyKey, attempts: &[CallerId], kind: ErrorKind) {
        *self.tally.refused.entry(kind).or_default() += 1;
        match kind.answer().run_state {
            RunState::NotRun => self.on_not_run(attempts),
            RunState::Ran if self.answer_of(key).is_none() => {
                self.report(format!("{key} was reported as run"));
            }
            RunState::Ran | RunState::Unknown => {}
        }
    }

    fn on_not_run(&mut self, attempts: &[CallerId]) {
        self.refused.extend(attempts);
        if let Some(caller) = attempts
            .iter()
            .find(|caller| self.ran_for.contains(*caller))
        {
            self.report(format!("{caller:?} ran and was refused not-run"));
        }
    }
}
