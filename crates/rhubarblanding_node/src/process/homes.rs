//! Loops of the at-most-once part: messages to other members and changes of the home table.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_once::manager::{ReadResult, SwapResult};
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::table::AdoptionReply;
use rhubarblanding_store::prelude::*;
use tokio::sync::mpsc;

use super::counters::Event;
use super::shared::Shared;
use crate::control::method;

/// Time between two looks at the members of the own service.
const KEEPER_INTERVAL: Duration = Duration::from_millis(500);
/// Prefix of the keys that hold home tables.
const TABLE_PREFIX: &str = "rhubarblanding/homes/";

/// Sends at-most-once messages; runs for as long as the process.
pub async fn send_messages(node: Arc<Shared>, mut messages: mpsc::UnboundedReceiver<Envelope>) {
    while let Some(envelope) = messages.recv().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move { send_once(&node, envelope).await });
    }
}

/// Sends one at-most-once message and takes what comes back with the answer.
pub async fn send_once(node: &Arc<Shared>, envelope: Envelope) {
    let to = envelope.to;
    let sent = node.control.call(to.host, method::ONCE, (envelope,)).await;
    // The ledger repeats what needs repeating.
    match sent {
        Ok(back) => {
            node.count(Event::ControlSent);
            node.once.receive_all(back);
        }
        Err(_) => {
            node.count(Event::ControlLost);
            node.once.unreachable(to);
        }
    }
}

/// The table in the platform's service as it was last read or written.
struct StoredTable {
    key: Key,
    revision: Revision,
    version: Option<TableVersion>,
}

/// Drives the keeper of the own service's home table.
pub struct HomeKeeper {
    node: Arc<Shared>,
    keeper: TableManager,
    stored: StoredTable,
    members: HashMap<(HostId, Incarnation), Member>,
}

impl HomeKeeper {
    /// Creates the keeper of `node`; `None` if its service cannot name a key.
    pub fn new(node: Arc<Shared>) -> Option<Self> {
        let service = node.settings.service.clone();
        let key = Key::try_from(format!("{TABLE_PREFIX}{service}").as_str()).ok()?;
        Some(Self {
            keeper: TableManager::new(node.once.member(), service, ManagerSettings::default()),
            node,
            stored: StoredTable {
                key,
                revision: Revision::ABSENT,
                version: None,
            },
            members: HashMap::default(),
        })
    }

    /// Looks at the members again and again; runs for as long as the process.
    pub async fn run(mut self) {
        loop {
            if let Some(table) = self.node.once.table() {
                self.input(ManagerInput::Learned(table)).await;
            }
            let view = self.view().await;
            for ended in self.ended(&view) {
                self.input(ManagerInput::Stopped(ended)).await;
            }
            self.input(ManagerInput::View(view)).await;
            self.input(ManagerInput::Tick).await;
            tokio::time::sleep(KEEPER_INTERVAL).await;
        }
    }

    /// Members of the table whose host runs a later life.
    ///
    /// The later life holds the listen addresses of the earlier one, so that one has ended.
    fn ended(&self, view: &[Member]) -> Vec<MemberId> {
        let Some(table) = self.keeper.table() else {
            return Vec::new();
        };
        let replaced = |id: &MemberId| {
            let mut same_host = view.iter().filter(|member| member.id.host == id.host);
            same_host.any(|member| member.id.incarnation > id.incarnation)
        };
        let members = table.epochs().iter().flat_map(|epoch| &epoch.members);
        members.map(|member| member.id).filter(replaced).collect()
    }

    async fn input(&mut self, input: ManagerInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now = self.node.once.now();
            for output in self.keeper.handle(now, input) {
                self.carry_out(output, &mut inputs).await;
            }
        }
    }

    async fn carry_out(&mut self, output: ManagerOutput, inputs: &mut Vec<ManagerInput>) {
        match output {
            ManagerOutput::Read => inputs.push(ManagerInput::Read(self.read().await)),
            ManagerOutput::Swap { expected, table } => {
                let result = self.swap(expected, &table).await;
                inputs.push(ManagerInput::Swap(result));
            }
            ManagerOutput::Distribute { to, table } => {
                for reply in self.spread(&to, &table).await {
                    inputs.push(ManagerInput::Adoption(reply));
                }
            }
        }
    }

    /// The live members of the own service. A member that takes no work is left out.
    async fn view(&mut self) -> Vec<Member> {
        let service = self.node.settings.service.clone();
        let targets = self.node.with_member(|member| member.targets(&service));
        let mut view = Vec::new();
        for target in targets {
            if target.info.state != TargetState::Serving {
                continue;
            }
            let life = (target.info.host, target.info.incarnation);
            if let Some(member) = self.member(life).await {
                view.push(member);
            }
        }
        view
    }

    /// Identity of a target in home tables, asked for once for each life.
    async fn member(&mut self, life: (HostId, Incarnation)) -> Option<Member> {
        if life.0 == self.node.settings.host() {
            return Some(self.node.once.member());
        }
        if let Some(member) = self.members.get(&life) {
            return Some(member.clone());
        }
        let answer = self.node.control.call(life.0, method::MEMBER, [(); 0]);
        let member: Member = answer.await.ok()?;
        self.members.retain(|known, _| known.0 != life.0);
        self.members.insert(life, member.clone());
        Some(member)
    }

    async fn read(&mut self) -> ReadResult {
        match self.node.store.get(&self.stored.key).await {
            Ok(Some(found)) => match serde_json::from_slice::<HomeTable>(&found.value) {
                Ok(table) => {
                    self.stored.revision = found.revision;
                    self.stored.version = Some(table.version());
                    ReadResult::Table(table)
                }
                Err(e) => {
                    log::error!("home table {} is malformed: {e}", self.stored.key);
                    ReadResult::Unavailable
                }
            },
            Ok(None) => {
                self.stored.revision = Revision::ABSENT;
                self.stored.version = None;
                ReadResult::Absent
            }
            Err(_) => {
                self.node.count(Event::StoreError);
                ReadResult::Unavailable
            }
        }
    }

    async fn swap(&mut self, expected: Option<TableVersion>, table: &HomeTable) -> SwapResult {
        if expected != self.stored.version {
            return SwapResult::Conflict;
        }
        let Ok(value) = serde_json::to_vec(table) else {
            return SwapResult::Conflict;
        };
        let store = &self.node.store;
        let revision = self.stored.revision;
        let swapped = store
            .compare_and_swap(&self.stored.key, revision, value.into())
            .await;
        match swapped {
            Ok(CasOutcome::Stored(revision)) => {
                log::info!("home table version {} is stored", table.version().0);
                self.stored.revision = revision;
                self.stored.version = Some(table.version());
                SwapResult::Swapped
            }
            Ok(CasOutcome::Conflict(_)) => SwapResult::Conflict,
            Err(_) => {
                self.node.count(Event::StoreError);
                SwapResult::Unknown
            }
        }
    }

    async fn spread(&self, to: &[MemberId], table: &HomeTable) -> Vec<AdoptionReply> {
        let mut calls = Vec::new();
        for id in to {
            let node = Arc::clone(&self.node);
            let (id, table) = (*id, table.clone());
            calls.push(tokio::spawn(async move {
                if id == node.once.member().id {
                    return Some(node.adopt_table(table));
                }
                let reply = node.control.call(id.host, method::ADOPT_TABLE, (table,));
                reply.await.ok()
            }));
        }
        let mut replies = Vec::new();
        for call in calls {
            replies.extend(call.await.ok().flatten());
        }
        replies
    }
}
