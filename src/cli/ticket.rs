//! `ticket show` and `ticket status`: show a ticket's verdict and where it is in effect.

use std::net::SocketAddr;

use clap::ArgMatches;
use rhubarblanding_core::ids::{DocVersion, HostId};
use rhubarblanding_tickets::operator::{
    ActiveService, NodeStatus, STATUS_PATH, TICKETS_PATH, TicketAnswer,
};
use rhubarblanding_tickets::prelude::*;
use serde::Serialize;

use super::client::{self, NodeAnswer, OperatorClient};
use super::exit::Exit;
use super::output::{self, Table};
use super::{command, submit};

/// Shows the services that a ticket set and that are still in effect.
pub async fn show(matches: &ArgMatches) -> Exit {
    let answer = match newest_answer(matches, &command::clients(matches)).await {
        Ok(answer) => answer,
        Err(exit) => return exit,
    };
    if command::wants_json(matches) {
        output::json(&answer);
        return submit::exit_of(&answer.verdict);
    }
    print_verdict(&answer);
    for ActiveService { service, spec } in &answer.in_force {
        match spec {
            Some(spec) => print_service(service.as_str(), spec),
            None => output::line(format!("\n{service}: removed")),
        }
    }
    submit::exit_of(&answer.verdict)
}

/// Shows a ticket's verdict and at which nodes it is in effect.
pub async fn status(matches: &ArgMatches) -> Exit {
    let clients = command::clients(matches);
    let answer = match newest_answer(matches, &clients).await {
        Ok(answer) => answer,
        Err(exit) => return exit,
    };
    let report = TicketReport::new(answer, client::get_all(&clients, STATUS_PATH).await);
    match command::wants_json(matches) {
        true => output::json(&report),
        false => report.print(),
    }
    report.exit()
}

/// Queries every node and returns the answer from the newest document.
async fn newest_answer(
    matches: &ArgMatches,
    clients: &[OperatorClient],
) -> Result<TicketAnswer, Exit> {
    let number: u64 = matches.get_one("number").copied().unwrap_or_default();
    let path = format!("{TICKETS_PATH}/{number}");
    let mut newest: Option<TicketAnswer> = None;
    let mut exit = Exit::Unreachable;
    for answer in client::get_all::<TicketAnswer>(clients, &path).await {
        match answer.result {
            Ok(found) => {
                let older = newest.take();
                newest = older
                    .into_iter()
                    .chain([found])
                    .max_by_key(|a| a.document_version);
            }
            Err(report) => exit = client::report_failure(answer.operator, &report),
        }
    }
    newest.ok_or(exit)
}

fn print_verdict(answer: &TicketAnswer) {
    let verdict = match &answer.verdict {
        Verdict::NotYetKnown => "not in the document".to_owned(),
        verdict => verdict.to_string(),
    };
    output::line(format!("ticket {}: {verdict}", answer.ticket.0));
    if let Some(submission) = answer.submission {
        output::line(format!("submission {submission}"));
    }
    if matches!(answer.verdict, Verdict::Accepted { .. }) && answer.in_force.is_empty() {
        output::line("later tickets have replaced all that it set");
    }
}

fn print_service(name: &str, spec: &ServiceSpec) {
    let backend = &spec.backend;
    output::line(format!(
        "\n{name}: {} slots expected, drain limit {:?}, slow start {:?}",
        backend.expected_slots, backend.drain_limit, backend.slow_start
    ));
    let mut table = Table::new([
        "KIND",
        "METHOD",
        "PATH",
        "IMPORTANCE",
        "WEIGHT",
        "IDEMPOTENCY",
        "RETRIES",
        "DEADLINE",
    ]);
    for kind in spec.kinds() {
        table.push([
            kind.name.to_string(),
            kind.method.to_string(),
            kind.path.to_string(),
            kind.importance.to_string(),
            kind.weight.to_string(),
            kind.idempotency.to_string(),
            kind.limits.retry_allowance.to_string(),
            format!("{:?}", kind.limits.deadline),
        ]);
    }
    table.print();
}

/// Entry of one node in [`TicketReport`].
#[derive(Debug, Serialize)]
struct NodeReport {
    operator: SocketAddr,
    host: Option<HostId>,
    document_version: Option<DocVersion>,
    in_force: bool,
}

/// A ticket's verdict and its state at the queried nodes.
#[derive(Debug, Serialize)]
struct TicketReport {
    #[serde(flatten)]
    ticket: TicketAnswer,
    nodes: Vec<NodeReport>,
}

impl TicketReport {
    fn new(ticket: TicketAnswer, nodes: Vec<NodeAnswer<NodeStatus>>) -> Self {
        let accepted = match ticket.verdict {
            Verdict::Accepted { version } => Some(version),
            _ => None,
        };
        let report = |node: NodeAnswer<NodeStatus>| {
            let status = node.result.ok();
            let version = status.as_ref().map(|status| status.document_version);
            NodeReport {
                operator: node.operator,
                host: status.map(|status| status.host),
                document_version: version,
                in_force: accepted.is_some_and(|accepted| version >= Some(accepted)),
            }
        };
        let nodes = nodes.into_iter().map(report).collect();
        Self { ticket, nodes }
    }

    fn print(&self) {
        print_verdict(&self.ticket);
        let mut table = Table::new(["OPERATOR", "HOST", "DOCUMENT", "IN FORCE"]);
        for node in &self.nodes {
            let host = node.host.map(|host| host.to_string());
            let version = node.document_version.map(|version| version.0.to_string());
            let in_force = if node.in_force { "yes" } else { "no" };
            table.push([
                node.operator.to_string(),
                host.unwrap_or_else(|| "unreachable".to_owned()),
                version.unwrap_or_else(|| "-".to_owned()),
                in_force.to_owned(),
            ]);
        }
        table.print();
    }

    fn exit(&self) -> Exit {
        let verdict = submit::exit_of(&self.ticket.verdict);
        let everywhere = self.nodes.iter().all(|node| node.in_force);
        match verdict {
            Exit::Ok if !everywhere => Exit::NotYetKnown,
            verdict => verdict,
        }
    }
}
