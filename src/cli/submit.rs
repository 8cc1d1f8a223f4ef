//! `ticket submit`: submits a ticket and retries until its outcome is known.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::ArgMatches;
use http::Method;
use rhubarblanding_core::collections::HashSet;
use rhubarblanding_core::ids::TicketNumber;
use rhubarblanding_tickets::operator::{SubmitAnswer, SubmitRequest, TICKETS_PATH};
use rhubarblanding_tickets::prelude::*;
use uuid::Uuid;

use super::client::{self, CallError, CallResult, OperatorClient};
use super::exit::Exit;
use super::{command, output};

/// Pause between two rounds over the nodes.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// File name that stands for the standard input.
const STANDARD_INPUT: &str = "-";

/// Submits a ticket file.
pub async fn run(matches: &ArgMatches) -> Exit {
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return Exit::BadInput;
    };
    let ticket = match read_ticket(path) {
        Ok(ticket) => ticket,
        Err(faults) => {
            faults.iter().for_each(output::error_line);
            return Exit::BadInput;
        }
    };
    let submission = matches.get_one("submission").copied();
    let submission = SubmissionId(submission.unwrap_or_else(Uuid::now_v7));
    let wait = matches.get_one("wait-s").copied().unwrap_or_default();
    let submission = Submission {
        clients: command::clients(matches),
        req: SubmitRequest {
            submission,
            ticket: RawTicket::from(&ticket),
        },
        deadline: Instant::now() + Duration::from_secs(wait),
    };
    // With the identifier, the operator can submit again if this program is stopped early.
    output::error_line(format!("submission {}", submission.req.submission));
    let outcome = submission.submit_until_settled().await;
    report(&submission.req, outcome, command::wants_json(matches))
}

/// Reads and checks a ticket file; the errors are lines to print.
pub fn read_ticket(path: &Path) -> Result<Ticket, Vec<String>> {
    let file = path.display();
    let bytes = read_bytes(path).map_err(|e| vec![format!("{file}: {e}")])?;
    Ticket::from_json(&bytes).map_err(|invalid| {
        let fields = invalid.fields.iter();
        fields.map(|field| format!("{file}: {field}")).collect()
    })
}

fn read_bytes(path: &Path) -> std::io::Result<Vec<u8>> {
    if path != Path::new(STANDARD_INPUT) {
        return std::fs::read(path);
    }
    let mut bytes = Vec::new();
    std::io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Outcome of submitting to the nodes.
enum Outcome {
    /// A node answered with the verdict.
    Answered(SubmitAnswer),
    /// A node rejected the submission as invalid.
    Rejected,
    /// No node can have received the submission.
    Unreachable,
    /// A node may have received the submission.
    Unknown,
}

struct Submission {
    clients: Vec<OperatorClient>,
    req: SubmitRequest,
    deadline: Instant,
}

impl Submission {
    /// Submits to one node after the other until one gives a final verdict. Because the identifier
    /// stays the same, it is safe to submit to another node after a lost answer.
    async fn submit_until_settled(&self) -> Outcome {
        let mut last = Outcome::Unreachable;
        let mut printed = HashSet::default();
        loop {
            for client in &self.clients {
                match self.submit_to(client, &mut printed).await {
                    Outcome::Unreachable => {}
                    Outcome::Unknown => last = Outcome::Unknown,
                    Outcome::Answered(answer) if answer.verdict == Verdict::NotYetKnown => {
                        last = Outcome::Unknown;
                    }
                    settled => return settled,
                }
            }
            if Instant::now() + ROUND_PAUSE >= self.deadline {
                return last;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Submits to one node. Each distinct error of a node is printed once.
    async fn submit_to(
        &self,
        client: &OperatorClient,
        printed: &mut HashSet<(SocketAddr, CallError)>,
    ) -> Outcome {
        let answer: CallResult<SubmitAnswer> =
            client.send(Method::POST, TICKETS_PATH, &self.req).await;
        let report = match answer {
            Ok(answer) => return Outcome::Answered(answer),
            Err(report) => report,
        };
        let error = report.current_context();
        if printed.insert((client.addr(), error.clone())) {
            client::report_failure(client.addr(), &report);
        }
        match error {
            CallError::Rejected(_) => Outcome::Rejected,
            CallError::NotReached => Outcome::Unreachable,
            CallError::AnswerLost | CallError::UnexpectedAnswer(_) => Outcome::Unknown,
        }
    }
}

fn report(req: &SubmitRequest, outcome: Outcome, json: bool) -> Exit {
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Rejected => return Exit::BadInput,
        Outcome::Unreachable => return Exit::Unreachable,
        Outcome::Unknown => SubmitAnswer {
            submission: req.submission,
            ticket: TicketNumber(req.ticket.ticket),
            verdict: Verdict::NotYetKnown,
        },
    };
    match json {
        true => output::json(&answer),
        false => output::line(format!(
            "ticket {}, submission {}: {}",
            answer.ticket.0, answer.submission, answer.verdict
        )),
    }
    exit_of(&answer.verdict)
}

/// Returns the exit code for a verdict.
pub fn exit_of(verdict: &Verdict) -> Exit {
    match verdict {
        Verdict::Accepted { .. } => Exit::Ok,
        Verdict::Refused { .. } => Exit::Refused,
        Verdict::NotYetKnown | Verdict::Forgotten { .. } => Exit::NotYetKnown,
    }
}
