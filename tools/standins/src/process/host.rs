//! One host of a cluster: a backend server and the node beside it, as processes.

use std::net::SocketAddr;

use error_stack::Report;
use rhubarblanding_core::names::{ServiceName, ZoneName};

use super::child::ChildProcess;
use super::operator::Operator;
use super::programs::Programs;
use crate::backend::{BackendSettings, RemoteBackend};
use crate::command;
use crate::error::StandinError;

/// Listen addresses of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Face for callers.
    pub caller: SocketAddr,
    /// Face for its backend server.
    pub local: SocketAddr,
    /// Face for other nodes.
    pub peer: SocketAddr,
    /// Face for operators.
    pub operator: SocketAddr,
}

/// Settings of one host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Listen addresses of the node; without them there is no node.
    pub node: Option<NodeAddresses>,
    /// Address at which the node reaches the backend server, if it is not the real one.
    pub backend_via: Option<SocketAddr>,
    /// Address at which other nodes reach the node, if it is not the real one.
    pub peer_via: Option<SocketAddr>,
    /// Peer addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Settings of the backend server.
    pub backend: BackendSettings,
    /// Further flags of the node.
    pub node_args: Vec<String>,
}

impl HostSettings {
    fn node_command(&self, node: &NodeAddresses) -> Vec<String> {
        let mut args = vec!["node".to_owned()];
        let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        flag("service", self.service.to_string());
        flag("zone", self.zone.to_string());
        flag("caller-listen", node.caller.to_string());
        flag("local-listen", node.local.to_string());
        flag("peer-listen", node.peer.to_string());
        if let Some(via) = self.peer_via {
            flag("peer-advertise", via.to_string());
        }
        flag("operator-listen", node.operator.to_string());
        let backend = self.backend_via.unwrap_or(self.backend.listen);
        flag("backend", backend.to_string());
        flag("store", self.store.to_string());
        for seed in &self.seeds {
            flag("seed", seed.to_string());
        }
        args.extend(self.node_args.iter().cloned());
        args
    }
}

/// One host of a cluster, with its running processes.
#[derive(Debug)]
pub struct Host {
    /// Settings with which the processes were started.
    pub cfg: HostSettings,
    /// The node, if there is one and it was not ended.
    pub node: Option<ChildProcess>,
    /// The backend server, if it was not ended.
    pub server: Option<ChildProcess>,
    programs: Programs,
    name: String,
}

impl Host {
    /// Starts the processes of a host.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if a process cannot be started.
    pub fn start(
        programs: &Programs,
        name: String,
        cfg: HostSettings,
    ) -> Result<Self, Report<StandinError>> {
        let mut host = Self {
            cfg,
            node: None,
            server: None,
            programs: programs.clone(),
            name,
        };
        host.start_node()?;
        host.start_server()?;
        Ok(host)
    }

    /// Starts the node again after it has ended.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if it cannot be started.
    pub fn start_node(&mut self) -> Result<(), Report<StandinError>> {
        let Some(addresses) = &self.cfg.node else {
            return Ok(());
        };
        let args = self.cfg.node_command(addresses);
        let name = format!("{}-node", self.name);
        self.node = Some(ChildProcess::start_node(&self.programs, &name, &args)?);
        Ok(())
    }

    /// Starts the backend server again after it has ended.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if it cannot be started.
    pub fn start_server(&mut self) -> Result<(), Report<StandinError>> {
        let mut cfg = self.cfg.backend.clone();
        cfg.announced_address = self.cfg.backend_via;
        let args = command::backend::args(&cfg);
        let name = format!("{}-backend", self.name);
        self.server = Some(ChildProcess::start_standin(&self.programs, &name, &args)?);
        Ok(())
    }

    /// Ends all processes of the host at once.
    pub fn kill(&mut self) {
        self.node = None;
        self.server = None;
    }

    /// Client of the backend server.
    pub fn backend(&self) -> RemoteBackend {
        RemoteBackend::new(self.cfg.backend.listen)
    }

    /// Client of the node's operator face.
    pub fn operator(&self) -> Option<Operator> {
        self.cfg.node.map(|node| Operator::new(node.operator))
    }
}
