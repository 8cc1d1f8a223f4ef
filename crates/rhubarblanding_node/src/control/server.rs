//! The methods that a node offers to others.

use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::{Methods, RpcModule};
use rhubarblanding_membership::prelude::{GossipMessage, Input};
use rhubarblanding_once::prelude::{Envelope, HomeTable, Member};
use rhubarblanding_once::table::AdoptionReply;
use rhubarblanding_tickets::prelude::Document;

use crate::process::Shared;

/// Control methods of a node.
#[rpc(server, namespace = "control")]
pub trait Control {
    /// Takes a membership message.
    #[method(name = "gossip")]
    async fn gossip(&self, msg: GossipMessage) -> RpcResult<()>;

    /// Takes an at-most-once message and returns those that go back to its sender.
    #[method(name = "once")]
    async fn once(&self, envelope: Envelope) -> RpcResult<Vec<Envelope>>;

    /// Puts a home table in force.
    #[method(name = "adoptTable")]
    async fn adopt_table(&self, table: HomeTable) -> RpcResult<AdoptionReply>;

    /// The home table in force.
    #[method(name = "table")]
    async fn table(&self) -> RpcResult<Option<HomeTable>>;

    /// Identity of this node in home tables.
    #[method(name = "member")]
    async fn member(&self) -> RpcResult<Member>;

    /// The document in force.
    #[method(name = "document")]
    async fn document(&self) -> RpcResult<Document>;
}

/// Implementation of the control methods.
struct NodeControl {
    node: Arc<Shared>,
}

#[async_trait]
impl ControlServer for NodeControl {
    async fn gossip(&self, msg: GossipMessage) -> RpcResult<()> {
        self.node.member_input(Input::Message(msg));
        Ok(())
    }

    async fn once(&self, envelope: Envelope) -> RpcResult<Vec<Envelope>> {
        Ok(self.node.once.receive(envelope))
    }

    async fn adopt_table(&self, table: HomeTable) -> RpcResult<AdoptionReply> {
        Ok(self.node.adopt_table(table))
    }

    async fn table(&self) -> RpcResult<Option<HomeTable>> {
        Ok(self.node.once.table())
    }

    async fn member(&self) -> RpcResult<Member> {
        Ok(self.node.once.member())
    }

    async fn document(&self) -> RpcResult<Document> {
        Ok(self.node.document.get().as_ref().clone())
    }
}

/// The control methods of `node`.
pub fn control_module(node: Arc<Shared>) -> Methods {
    let module: RpcModule<NodeControl> = NodeControl { node }.into_rpc();
    module.into()
}
