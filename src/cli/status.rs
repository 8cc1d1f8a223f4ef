//! `status`: shows the state of nodes.

use std::net::SocketAddr;

use clap::ArgMatches;
use rhubarblanding_tickets::operator::{NodeStatus, STATUS_PATH, TargetStatus};
use serde::Serialize;

use super::client::{self, NodeAnswer};
use super::command;
use super::exit::Exit;
use super::output::{self, Table};

/// Status of one node, or the error if there is none.
#[derive(Debug, Serialize)]
struct NodeReport {
    operator: SocketAddr,
    status: Option<NodeStatus>,
    error: Option<String>,
}

impl From<NodeAnswer<NodeStatus>> for NodeReport {
    fn from(node: NodeAnswer<NodeStatus>) -> Self {
        let operator = node.operator;
        let (status, error) = match node.result {
            Ok(status) => (Some(status), None),
            Err(report) => (None, Some(report.current_context().to_string())),
        };
        Self {
            operator,
            status,
            error,
        }
    }
}

/// Shows the state of every given node.
pub async fn run(matches: &ArgMatches) -> Exit {
    let clients = command::clients(matches);
    let nodes: Vec<NodeReport> = client::get_all(&clients, STATUS_PATH)
        .await
        .into_iter()
        .map(NodeReport::from)
        .collect();
    match command::wants_json(matches) {
        true => output::json(&nodes),
        false => print(&nodes),
    }
    match nodes.iter().any(|node| node.status.is_some()) {
        true => Exit::Ok,
        false => Exit::Unreachable,
    }
}

fn print(nodes: &[NodeReport]) {
    let mut table = Table::new([
        "OPERATOR",
        "HOST",
        "SERVICE",
        "ZONE",
        "STATE",
        "DOCUMENT",
        "LIMIT",
        "IN FLIGHT",
        "QUEUED",
        "LEVEL",
    ]);
    for node in nodes {
        table.push(node_row(node));
    }
    table.print();
    for node in nodes {
        print_targets(node);
    }
}

fn node_row(node: &NodeReport) -> [String; 10] {
    let mut row = [const { String::new() }; 10];
    row[0] = node.operator.to_string();
    let Some(status) = &node.status else {
        row[1] = node.error.clone().unwrap_or_default();
        return row;
    };
    row[1] = status.host.to_string();
    row[2] = status.service.to_string();
    row[3] = status.zone.to_string();
    row[4] = status.state.to_string();
    row[5] = status.document_version.0.to_string();
    row[6] = status.limits.concurrency.to_string();
    row[7] = status.limits.in_flight.to_string();
    row[8] = status.limits.queued.to_string();
    row[9] = status.admission_level.0.to_string();
    row
}

fn print_targets(node: &NodeReport) {
    let Some(status) = &node.status else {
        return;
    };
    if status.targets.is_empty() {
        return;
    }
    output::line(format!("\ntargets known to {}", node.operator));
    let mut table = Table::new([
        "SERVICE",
        "HOST",
        "ZONE",
        "STATE",
        "SLOTS",
        "IN FLIGHT",
        "LIMIT",
    ]);
    for TargetStatus { info, load } in &status.targets {
        let in_flight = load.map(|load| load.in_flight.to_string());
        let limit = load.map(|load| load.limit.to_string());
        table.push([
            info.service.to_string(),
            info.host.to_string(),
            info.zone.to_string(),
            info.state.to_string(),
            info.slots.to_string(),
            in_flight.unwrap_or_else(|| "-".to_owned()),
            limit.unwrap_or_else(|| "-".to_owned()),
        ]);
    }
    table.print();
}
