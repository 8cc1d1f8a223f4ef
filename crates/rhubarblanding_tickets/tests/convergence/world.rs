//! Operators, nodes and the key-value service in one state machine.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::sync::{Arc, OnceLock};

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::document::HISTORY_MAX;
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::submit::{Step, SwapResult};
use serde_json::json;

use crate::actions::{Action, Fault, NODES, NUMBERS, OPERATORS};
use crate::oracle::{Shown, Submission, Tally, Told, Violation};
use crate::store::Store;

/// Steps within which a submission must settle without faults.
const SETTLE_STEPS: usize = 8;

/// Mechanism that is switched off, so that the oracle has something to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Writes do not compare the revision.
    BlindPut,
    /// Nodes adopt any document.
    AdoptLower,
    /// A lost answer counts as stored.
    GuessStored,
    /// A lost answer counts as refused.
    GuessRefused,
    /// A document that is read back without the submission counts as proof that it is refused.
    RefuseAfterReadBack,
    /// Each try after a lost answer has an identifier of its own.
    FreshIdentifier,
    /// The numbers of what a ticket touches are not compared.
    IgnoreNumbers,
    /// A submission whose record is forgotten counts as refused.
    RefuseForgotten,
}

/// State in which a case begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// There is no document yet.
    Fresh,
    /// The document's memory of submissions is almost full.
    FullMemory,
}

/// Records in the document of [`Scenario::FullMemory`]; their numbers lie above all others.
const FILLERS: u64 = HISTORY_MAX as u64 - 1;

/// An operator and the submitter that works for it.
#[derive(Debug, Default)]
struct Operator {
    active: Option<(Submission, Submitter)>,
    /// Whether the last answer was lost.
    lost: bool,
}

/// A node.
#[derive(Debug, Default)]
struct Node {
    adopter: Adopter,
    shown: Shown,
    cut: bool,
}

/// Everything.
#[derive(Debug)]
pub struct World {
    defect: Defect,
    store: Store,
    operators: Vec<Operator>,
    nodes: Vec<Node>,
    submissions: Vec<Submission>,
    told: Told,
    last_identifier: u128,
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// A ticket whose content differs from that of any other `serial`.
fn ticket(number: u64, serial: u128, set: &[bool], removed: &[bool]) -> Ticket {
    let kind = json!({"name": format!("kind-{serial}"), "method": "GET", "path": "/",
        "idempotency": "idempotent"});
    let chosen = |of: &[bool]| -> Vec<usize> { (0..of.len()).filter(|i| of[*i]).collect() };
    let services: serde_json::Map<_, _> = chosen(set)
        .into_iter()
        .map(|i| (service_name(i), json!({"kinds": [kind]})))
        .collect();
    let removed: Vec<_> = chosen(removed)
        .into_iter()
        .filter(|i| !set[*i])
        .map(service_name)
        .collect();
    let raw = json!({"ticket": number, "services": services, "remove_services": removed});
    Ticket::from_json(raw.to_string().as_bytes()).expect("valid")
}

/// A document whose memory takes a few more submissions before it forgets the lowest number.
fn almost_full_document() -> Document {
    static DOCUMENT: OnceLock<Document> = OnceLock::new();
    let filler = |number: u64| Ticket {
        number: TicketNumber(number),
        services: Default::default(),
        remove_services: [ServiceName::try_from("filler").expect("a name")].into(),
    };
    let fill = || {
        let numbers = NUMBERS + 1..=NUMBERS + FILLERS;
        numbers.fold(Document::default(), |document, number| {
            let id = SubmissionId(uuid::Uuid::from_u128(number.into()));
            apply(&document, &filler(number), id).expect("accepted")
        })
    };
    DOCUMENT.get_or_init(fill).clone()
}

impl World {
    pub fn new(scenario: Scenario, defect: Defect) -> Self {
        let mut world = Self {
            defect,
            store: Store::new(defect == Defect::BlindPut),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            submissions: Vec::new(),
            told: Told::default(),
            last_identifier: 0,
        };
        if scenario == Scenario::FullMemory {
            world.store.push(almost_full_document());
            world.last_identifier = u128::from(NUMBERS + FILLERS);
        }
        world
    }

    fn mint(&mut self) -> SubmissionId {
        self.last_identifier += 1;
        SubmissionId(uuid::Uuid::from_u128(self.last_identifier))
    }

    /// Takes every action and settles.
    pub fn run(mut self, actions: &[Action]) -> Result<Tally, Violation> {
        for action in actions {
            self.act(action)?;
        }
        self.settle()?;
        Ok(self.told.tally)
    }

    /// Takes one action and checks every promise.
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
            Action::Land { index } => self.store.land(*index),
            Action::Vanish { index } => self.store.vanish(*index),
            Action::Outage { on } => self.store.outage = *on,
            Action::Deliver { node, age } => self.deliver(*node, *age)?,
            Action::Gossip { from, to } => self.gossip(*from, *to)?,
            Action::Cut { node, on } => self.nodes[*node].cut = *on,
            Action::Replace { node } => self.nodes[*node] = Node::default(),
        }
        self.told.check(self.store.stored())
    }

    fn submit(&mut self, operator: usize, number: u64, set: &[bool], removed: &[bool]) {
        let touches = set.iter().chain(removed).any(|chosen| *chosen);
        if self.operators[operator].active.is_some() || !touches {
            return;
        }
        let id = self.mint();
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
        let submitter = Submitter::new(submission.id, submission.ticket.clone());
        self.operators[operator] = Operator {
            active: Some((submission, submitter)),
            lost: false,
        };
    }

    /// Takes one step of a submitter; false if there is none to take or its call failed.
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
        self.told.note(&submission, verdict)?;
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
        let mut read = self.store.read(age);
        if self.defect == Defect::IgnoreNumbers {
            read.document = without_numbers(&read.document, submitter.ticket());
        }
        submitter.on_read(&read);
        let lost = std::mem::take(&mut self.operators[operator].lost);
        let shown = !matches!(submitter.step(), Step::Swap { .. });
        let refused = self.defect == Defect::RefuseAfterReadBack && lost && !shown;
        (true, refused.then(guessed_refusal))
    }

    /// Hands the result to the submitter, or to the defect in its place.
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
            *submitter = Submitter::new(self.mint(), submission.ticket.clone());
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
        if self.store.outage || self.nodes[node].cut {
            return Ok(());
        }
        let read = self.store.read(age);
        self.offer(node, read.document)
    }

    fn gossip(&mut self, from: usize, to: usize) -> Result<(), Violation> {
        if self.nodes[from].cut || self.nodes[to].cut {
            return Ok(());
        }
        let document = self.nodes[from].adopter.current().as_ref().clone();
        self.offer(to, document)
    }

    fn offer(&mut self, node: usize, document: Document) -> Result<(), Violation> {
        let state = &mut self.nodes[node];
        if self.defect == Defect::AdoptLower {
            state.adopter = Adopter::new();
        }
        state.adopter.offer(document);
        state.shown.note(node, state.adopter.current())
    }

    /// Ends every fault. Each submission must then get its final verdict, and each node the
    /// newest document.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.store.outage = false;
        self.store.land_all();
        self.told.check(self.store.stored())?;
        for submission in self.submissions.clone() {
            self.start(0, submission.clone());
            self.finish(0)?;
            if self.operators[0].active.is_some() {
                let submission = submission.id;
                return Err(Violation::NeverSettled { submission });
            }
        }
        self.told.check(self.store.stored())?;
        self.settle_nodes()
    }

    fn settle_nodes(&mut self) -> Result<(), Violation> {
        let newest = self.store.read(0).document;
        for node in 0..NODES {
            self.nodes[node].cut = false;
            // One node learns from the service, the others from it.
            match node {
                0 => self.deliver(node, 0)?,
                _ => self.gossip(0, node)?,
            }
            if self.nodes[node].adopter.current().as_ref() != &newest {
                return Err(Violation::NodeLeftBehind { node });
            }
        }
        Ok(())
    }
}

fn guessed_refusal() -> Verdict {
    Verdict::Refused {
        reason: TicketRefusal::NumberTooLow {
            above: TicketNumber(0),
        },
    }
}

/// The document as if all that the ticket touches had been set by tickets numbered zero.
fn without_numbers(document: &Document, ticket: &Ticket) -> Document {
    let mut raw = serde_json::to_value(document).expect("serializes");
    for name in ticket.touched() {
        if let Some(entry) = raw["services"].get_mut(name.as_str()) {
            entry["set_by"]["ticket"] = json!(0);
        }
    }
    Document::from_bytes(raw.to_string().as_bytes()).expect("a document")
}
