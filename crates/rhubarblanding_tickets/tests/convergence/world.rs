//! State machine of operators, nodes and the key-value service.

use std::sync::Arc;

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::submit::{Step, SwapResult};

use crate::actions::{Action, Fault, NODES, NUMBERS, OPERATORS};
use crate::defect::{Defect, guessed_refusal, without_numbers, without_records};
use crate::oracle::{NodeNumbers, ReportedVerdicts, Submission, Tally, Violation};
use crate::scenario::{FILLERS, Scenario, almost_full_document, ticket};
use crate::store::Store;

/// Number of steps within which a submission without faults must get its final verdict.
const SETTLE_STEPS: usize = 8;

/// Operator and its submitter, which runs at the node with the same index.
#[derive(Debug, Default)]
struct Operator {
    active: Option<(Submission, Submitter)>,
    /// `true` if the last answer was lost.
    lost: bool,
}

/// Node that adopts documents.
#[derive(Debug, Default)]
struct Node {
    adopter: Adopter,
    numbers: NodeNumbers,
    disconnected: bool,
}

/// Simulated system.
#[derive(Debug)]
pub struct World {
    defect: Defect,
    store: Store,
    operators: Vec<Operator>,
    nodes: Vec<Node>,
    submissions: Vec<Submission>,
    reported: ReportedVerdicts,
    last_identifier: u128,
}

impl World {
    pub fn new(scenario: Scenario, defect: Defect) -> Self {
        let mut world = Self {
            defect,
            store: Store::new(defect == Defect::BlindPut),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            submissions: Vec::new(),
            reported: ReportedVerdicts::default(),
            last_identifier: 0,
        };
        if scenario == Scenario::FullHistory {
            world.store.push(almost_full_document());
            world.last_identifier = u128::from(NUMBERS + FILLERS);
        }
        world
    }

    fn next_id(&mut self) -> SubmissionId {
        self.last_identifier += 1;
        SubmissionId(uuid::Uuid::from_u128(self.last_identifier))
    }

    /// Performs all actions and then settles.
    pub fn run(mut self, actions: &[Action]) -> Result<Tally, Violation> {
        for action in actions {
            self.act(action)?;
        }
        self.settle()?;
        Ok(self.reported.tally)
    }

    /// Performs one action and checks every guarantee.
    pub fn act(&mut self, action: &Action) -> Result<(), Violation> {
        match action {
            Action::Submit {
                operator,
                number,
                set,
                removed,
            } => self.submit(*operator, *number, set, removed),
            Action::Repeat { operator, earlier } => self.repeat(*operator, *earlier),
            Action::Step { operator, fault } => {
                self.step(*operator, *fault)?;
            }
            Action::Finish { operator } => self.finish(*operator)?,
            Action::Restart { operator } => self.operators[*operator] = Operator::default(),
            Action::ApplyDelayed { index } => self.store.apply_delayed(*index),
            Action::DropDelayed { index } => self.store.drop_delayed(*index),
            Action::Outage { on } => self.store.outage = *on,
            Action::Deliver { node, age } => self.deliver(*node, *age)?,
            Action::Gossip { from, to } => self.gossip(*from, *to)?,
            Action::Disconnect { node, on } => self.nodes[*node].disconnected = *on,
            Action::Replace { node } => self.nodes[*node] = Node::default(),
        }
        self.reported.check(self.store.stored())
    }

    fn submit(&mut self, operator: usize, number: u64, set: &[bool], removed: &[bool]) {
        let touches = set.iter().chain(removed).any(|chosen| *chosen);
        if self.operators[operator].active.is_some() || !touches {
            return;
        }
        let id = self.next_id();
        let ticket = Arc::new(ticket(number, id.0.as_u128(), set, removed));
        let submission = Submission { id, ticket };
        self.submissions.push(submission.clone());
        self.start(operator, submission);
    }

    fn repeat(&mut self, operator: usize, earlier: usize) {
        if self.operators[operator].active.is_some() || self.submissions.is_empty() {
            return;
        }
        let submission = self.submissions[earlier % self.submissions.len()].clone();
        self.start(operator, submission);
    }

    fn start(&mut self, operator: usize, submission: Submission) {
        let known = self.nodes[operator].adopter.current().clone();
        let submitter = Submitter::new(submission.id, submission.ticket.clone()).with_known(known);
        self.operators[operator] = Operator {
            active: Some((submission, submitter)),
            lost: false,
        };
    }

    /// Performs one step of a submitter; returns `false` if there is none or its call failed.
    fn step(&mut self, operator: usize, fault: Fault) -> Result<bool, Violation> {
        let Some((submission, mut submitter)) = self.operators[operator].active.take() else {
            return Ok(false);
        };
        let step = submitter.step();
        let (answered, guess) = match &step {
            Step::Read => self.read(operator, &mut submitter, fault),
            Step::Swap { expected, document } => {
                let result = self.store.swap(*expected, document, fault);
                let guess = self.after_swap(operator, &submission, &mut submitter, result);
                let answered = matches!(result, SwapResult::Stored | SwapResult::Conflict);
                (answered, guess)
            }
            Step::Done(_) => (false, None),
        };
        let verdict = match (guess, submitter.verdict()) {
            (Some(guess), _) => guess,
            (None, Verdict::Forgotten { .. }) if self.defect == Defect::RefuseForgotten => {
                guessed_refusal()
            }
            (None, verdict) => verdict,
        };
        if verdict == Verdict::NotYetKnown {
            self.operators[operator].active = Some((submission, submitter));
            return Ok(answered);
        }
        self.reported.record(&submission, verdict)?;
        Ok(false)
    }

    fn read(
        &mut self,
        operator: usize,
        submitter: &mut Submitter,
        fault: Fault,
    ) -> (bool, Option<Verdict>) {
        let age = match fault {
            Fault::None => 0,
            Fault::Stale(age) => age,
            _ => return (false, None),
        };
        if self.store.outage {
            return (false, None);
        }
        let age = match self.defect {
            Defect::StaleReads => age.max(1),
            _ => age,
        };
        let mut read = self.store.read(age);
        match self.defect {
            Defect::IgnoreNumbers => {
                read.document = without_numbers(&read.document, submitter.ticket());
            }
            Defect::NoRecords => read.document = without_records(&read.document),
            _ => {}
        }
        submitter.on_read(&read);
        let lost = std::mem::take(&mut self.operators[operator].lost);
        let present = !matches!(submitter.step(), Step::Swap { .. });
        let refused = self.defect == Defect::RefuseAfterReadBack && lost && !present;
        (true, refused.then(guessed_refusal))
    }

    /// Passes the result to the submitter, or lets the defect handle it.
    fn after_swap(
        &mut self,
        operator: usize,
        submission: &Submission,
        submitter: &mut Submitter,
        result: SwapResult,
    ) -> Option<Verdict> {
        let lost = result == SwapResult::AnswerLost;
        self.operators[operator].lost = lost;
        if lost && self.defect == Defect::FreshIdentifier {
            *submitter = Submitter::new(self.next_id(), submission.ticket.clone());
            return None;
        }
        submitter.on_swap(match (lost, self.defect) {
            (true, Defect::GuessStored) => SwapResult::Stored,
            _ => result,
        });
        let refused = lost && self.defect == Defect::GuessRefused;
        refused.then(guessed_refusal)
    }

    fn finish(&mut self, operator: usize) -> Result<(), Violation> {
        for _ in 0..SETTLE_STEPS {
            if !self.step(operator, Fault::None)? {
                break;
            }
        }
        Ok(())
    }

    fn deliver(&mut self, node: usize, age: usize) -> Result<(), Violation> {
        if self.store.outage || self.nodes[node].disconnected {
            return Ok(());
        }
        let read = self.store.read(age);
        self.offer(node, read.document)
    }

    fn gossip(&mut self, from: usize, to: usize) -> Result<(), Violation> {
        if self.nodes[from].disconnected || self.nodes[to].disconnected {
            return Ok(());
        }
        let document = self.nodes[from].adopter.current().as_ref().clone();
        self.offer(to, document)
    }

    fn offer(&mut self, node: usize, document: Document) -> Result<(), Violation> {
        let state = &mut self.nodes[node];
        match self.defect {
            Defect::AdoptLower => state.adopter = Adopter::new(),
            Defect::AdoptOnce if state.adopter.version() > DocVersion(0) => return Ok(()),
            _ => {}
        }
        state.adopter.offer(document);
        state.numbers.record(node, state.adopter.current())
    }

    /// Ends all faults. Each submission must then get its final verdict, and each node the newest
    /// document.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.store.outage = false;
        self.store.apply_all_delayed();
        self.reported.check(self.store.stored())?;
        for submission in self.submissions.clone() {
            self.start(0, submission.clone());
            self.finish(0)?;
            if self.operators[0].active.is_some() {
                let submission = submission.id;
                return Err(Violation::NeverSettled { submission });
            }
        }
        self.reported.check(self.store.stored())?;
        self.settle_nodes()
    }

    fn settle_nodes(&mut self) -> Result<(), Violation> {
        let newest = self.store.read(0).document;
        for node in 0..NODES {
            self.nodes[node].disconnected = false;
            // The first node receives the document from the service, the others from that node.
            match node {
                0 => self.deliver(node, 0)?,
                _ => self.gossip(0, node)?,
            }
            if self.nodes[node].adopter.current().as_ref() != &newest {
                return Err(Violation::NodeOutdated { node });
            }
        }
        Ok(())
    }
}
