//! Subcommands that change running nodes: `drain` and `log-level`.

use clap::ArgMatches;
use http::Method;
use rhubarblanding_tickets::operator::{
    DRAIN_PATH, DrainAnswer, LOG_LEVEL_PATH, LogLevel, LogLevelRequest,
};

use super::client::{self, CallResult, OperatorClient};
use super::exit::Exit;
use super::{command, output};

/// Takes one node's backend server out of service.
pub async fn drain(matches: &ArgMatches) -> Exit {
    let clients = command::clients(matches);
    let [client] = clients.as_slice() else {
        output::error_line("--operator: give exactly one node to drain");
        return Exit::BadInput;
    };
    let answer: CallResult<DrainAnswer> = client.send(Method::POST, DRAIN_PATH, &()).await;
    match answer {
        Ok(answer) if command::wants_json(matches) => output::json(&answer),
        Ok(answer) => output::line(format!(
            "{}: {}, {} requests in progress",
            client.addr(),
            answer.state,
            answer.in_flight
        )),
        Err(report) => return client::report_failure(client.addr(), &report),
    }
    Exit::Ok
}

/// Changes the log level of every given node.
pub async fn log_level(matches: &ArgMatches) -> Exit {
    let Some(level) = matches.get_one::<LogLevel>("level").copied() else {
        return Exit::BadInput;
    };
    let mut exit = Exit::Ok;
    for client in command::clients(matches) {
        if let Err(failed) = set_log_level(&client, level, command::wants_json(matches)).await {
            exit = failed;
        }
    }
    exit
}

async fn set_log_level(client: &OperatorClient, level: LogLevel, json: bool) -> Result<(), Exit> {
    let req = LogLevelRequest { level };
    let answer: CallResult<LogLevelRequest> = client.send(Method::PUT, LOG_LEVEL_PATH, &req).await;
    let answer = answer.map_err(|report| client::report_failure(client.addr(), &report))?;
    match json {
        true => output::json(&answer),
        false => output::line(format!("{}: log level {}", client.addr(), answer.level)),
    }
    Ok(())
}
