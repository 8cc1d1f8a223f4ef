//! Three members of a service, of which one is home and one is copy of a key.

use std::collections::VecDeque;

use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_once::prelude::*;

use super::{START, answer, at, member, service};

pub struct Pair {
    ledgers: Vec<Ledger>,
    pub key: IdempotencyKey,
    pub home: usize,
    pub copy: usize,
    millis: u64,
}

impl Pair {
    pub fn new() -> Self {
        Self::with_settings(LedgerSettings::default())
    }

    pub fn with_settings(settings: LedgerSettings) -> Self {
        let members: Vec<Member> = (0..3).map(|i| member(i, 1, i)).collect();
        let table = HomeTable::bootstrap(service(), START, members.clone()).unwrap();
        let key = IdempotencyKey::mint(START, [7; 10]);
        let placement = table.place(key).unwrap();
        let index = |id: MemberId| members.iter().position(|m| m.id == id).unwrap();
        let (home, copy) = (index(placement.home), index(placement.copy.unwrap()));
        let new = |member: &Member| {
            let mut ledger = Ledger::new(member.clone(), settings);
            ledger.adopt(at(0), table.clone());
            ledger
        };
        let ledgers = members.iter().map(new).collect();
        Self {
            ledgers,
            key,
            home,
            copy,
            millis: 0,
        }
    }

    pub fn table(&self) -> Option<&HomeTable> {
        self.ledgers[0].table()
    }

    pub fn answer(&self) -> RecordedAnswer {
        answer(b"reserved")
    }

    pub fn request(
        &mut self,
        node: usize,
        caller: u64,
        role: Role,
        fingerprint: Fingerprint,
    ) -> Vec<Output> {
        let req = AttemptRequest {
            caller: CallerId(caller),
            key: self.key,
            fingerprint,
            role,
        };
        self.ledgers[node].handle(at(self.millis), Input::Attempt(req))
    }

    pub fn request_at_home(&mut self, caller: u64) -> Vec<Output> {
        self.request(self.home, caller, Role::Home, Fingerprint(1))
    }

    pub fn request_at_copy(&mut self, caller: u64) -> Vec<Output> {
        self.request(self.copy, caller, Role::Substitute, Fingerprint(1))
    }

    pub fn disconnect_from_home(&mut self, caller: u64) -> Vec<Output> {
        let (caller, key) = (CallerId(caller), self.key);
        let input = Input::CallerDisconnected { caller, key };
        self.ledgers[self.home].handle(at(self.millis), input)
    }

    pub fn adopt_at_home(&mut self, table: HomeTable) -> Adoption {
        let reply = self.ledgers[self.home].adopt(at(self.millis), table);
        reply.adoption
    }

    /// Advances the clock past the timeouts of the home.
    pub fn time_out(&mut self) -> Vec<Output> {
        self.millis += 1_000;
        self.ledgers[self.home].handle(at(self.millis), Input::Tick)
    }

    /// Ends the run that was dispatched by the home.
    pub fn finish_run(&mut self, dispatched: &[Output], outcome: Outcome) -> Vec<Output> {
        let Some(Output::Dispatch { key, run, .. }) = dispatched.last().cloned() else {
            panic!("not dispatched: {dispatched:?}");
        };
        let input = Input::Outcome { key, run, outcome };
        self.ledgers[self.home].handle(at(self.millis), input)
    }

    /// Delivers the messages in `out`, sent by one node, and returns the outputs that they cause.
    pub fn deliver(&mut self, node: usize, out: &[Output]) -> Vec<Output> {
        let from = self.id(node);
        let mut caused = Vec::new();
        for output in out {
            let Output::Send { to, msg } = output.clone() else {
                continue;
            };
            let to_node = self.index(to);
            let envelope = Envelope { from, to, msg };
            caused.extend(self.ledgers[to_node].handle(at(self.millis), Input::Peer(envelope)));
        }
        caused
    }

    pub fn id(&self, node: usize) -> MemberId {
        self.ledgers[node].member().id
    }

    fn index(&self, id: MemberId) -> usize {
        let mut ledgers = self.ledgers.iter();
        ledgers.position(|ledger| ledger.member().id == id).unwrap()
    }

    /// Delivers the messages in `out`, sent by the home, and those that they cause. Returns the
    /// other outputs.
    pub fn exchange(&mut self, out: Vec<Output>) -> Vec<Output> {
        self.exchange_from(self.home, out)
    }

    pub fn exchange_from(&mut self, node: usize, out: Vec<Output>) -> Vec<Output> {
        let mut rest = Vec::new();
        let mut queue: VecDeque<(usize, Output)> = out.into_iter().map(|o| (node, o)).collect();
        while let Some((node, output)) = queue.pop_front() {
            let Output::Send { to, .. } = &output else {
                rest.push(output);
                continue;
            };
            let to = self.index(*to);
            let caused = self.deliver(node, &[output]);
            queue.extend(caused.into_iter().map(|o| (to, o)));
        }
        rest
    }
}
