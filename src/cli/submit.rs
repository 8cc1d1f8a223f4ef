//! `ticket submit`: sends a ticket until its outcome is known.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::ArgMatches;
use http::Method;
use rhubarblanding_tickets::operator::{SubmitAnswer, SubmitRequest, TICKETS_PATH};
use rhubarblanding_tickets::prelude::*;
use uuid::Uuid;

use super::client::{self, CallError, CallResult, OperatorClient};
use super::exit::Exit;
use super::{command, output};

/// Pause between two rounds over the nodes.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Name that stands for the standard input.
const STANDARD_INPUT: &str = "-";

/// Submits a ticket file.
pub async fn run(matches: &ArgMatches) -> Exit {
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return Exit::BadInput;
    };
    let ticket = match read_ticket(path) {
        Ok(ticket) => ticket,
        Err(faults) => {
            faults.iter().for_each(output::complain);
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
    let outcome = submission.settle().await;
    report(&submission.req, outcome, command::wants_json(matches))
}

/// Reads and checks a ticket file; faults are lines for the operator.
pub fn read_ticket(path: &Path) -> Result<Ticket, Vec<String>> {
    let named = path.display();
    let bytes = read_bytes(path).map_err(|e| vec![format!("{named}: {e}")])?;
    Ticket::from_json(&bytes).map_err(|invalid| {
        let fields = invalid.fields.iter();
        fields.map(|field| format!("{named}: {field}")).collect()
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

/// What came of asking the nodes.
enum Outcome {
    Answered(SubmitAnswer),
    Rejected(Exit),
    /// No node can have seen the submission.
    Unreachable,
    /// A node may have seen it.
    Open,
}

struct Submission {
    clients: Vec<OperatorClient>,
    req: SubmitRequest,
    deadline: Instant,
}

impl Submission {
    /// Asks one node after the other until one tells a final verdict. The same identifier makes
    /// it safe to ask another node after a lost answer.
    async fn settle(&self) -> Outcome {
        let mut last = Outcome::Unreachable;
        loop {
            for client in &self.clients {
                match self.ask(client).await {
                    Outcome::Unreachable => {}
                    Outcome::Open => last = Outcome::Open,
                    Outcome::Answered(answer) if answer.verdict == Verdict::NotYetKnown => {
                        last = Outcome::Open;
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

    async fn ask(&self, client: &OperatorClient) -> Outcome {
        let answer: CallResult<SubmitAnswer> =
            client.send(Method::POST, TICKETS_PATH, &self.req).await;
        let report = match answer {
            Ok(answer) => return Outcome::Answered(answer),
            Err(report) => report,
        };
        let exit = client::complain(client.addr(), &report);
        match report.current_context() {
            CallError::Rejected(_) => Outcome::Rejected(exit),
            CallError::NotReached => Outcome::Unreachable,
            CallError::AnswerLost | CallError::NotUnderstood(_) => Outcome::Open,
        }
    }
}

fn report(req: &SubmitRequest, outcome: Outcome, json: bool) -> Exit {
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Rejected(exit) => return exit,
        Outcome::Unreachable => return Exit::Unreachable,
        Outcome::Open => SubmitAnswer {
            submission: req.submission,
            ticket: rhubarblanding_core::ids::TicketNumber(req.ticket.ticket),
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

/// Exit code that tells a verdict.
pub fn exit_of(verdict: &Verdict) -> Exit {
    match verdict {
        Verdict::Accepted { .. } => Exit::Ok,
        Verdict::Refused { .. } => Exit::Refused,
        Verdict::NotYetKnown | Verdict::Forgotten { .. } => Exit::NotYetKnown,
    }
}
