//! Two operators submit tickets at the same moment.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use rhubarblanding_standins::process::{Operator, Submission, TicketFile, wait_until};

use crate::support::{Bench, block_on, start, ticket, two_services};

/// Time within which an accepted ticket is in force at every node.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Number of races.
const ROUNDS: u64 = 8;

fn operators(bench: &Bench) -> Vec<Operator> {
    let hosts = bench.cluster.hosts.iter();
    hosts.map(|host| host.operator().unwrap()).collect()
}

/// Submits until the outcome is known; `true` if the ticket was accepted.
async fn settle(operator: &Operator, ticket: TicketFile) -> bool {
    let submission = Submission::new(ticket);
    loop {
        let answer = operator.submit(&submission).await.unwrap();
        match answer.status {
            StatusCode::OK => return true,
            StatusCode::CONFLICT => return false,
            status => assert_that!(status, eq(StatusCode::ACCEPTED)),
        }
    }
}

/// Whether every node knows `service`: a known service without targets is not an unknown one.
async fn everywhere(bench: &Bench, service: &str, known: bool) -> bool {
    let client = rhubarblanding_standins::http::client();
    for entry in bench.cluster.entries() {
        let uri = format!("http://{entry}/{service}/x");
        let req = http::Request::get(uri).body(http_body_util::Full::default());
        let answer = client.request(req.unwrap()).await.unwrap();
        if (answer.status() != StatusCode::NOT_FOUND) != known {
            return false;
        }
    }
    true
}

#[test]
fn of_two_tickets_with_one_number_one_is_in_force_everywhere() {
    block_on(async {
        let bench = start(two_services()).await;
        let operators = operators(&bench);
        for round in 0..ROUNDS {
            let number = 10 + round;
            let names = [format!("left{round}"), format!("right{round}")];
            let [left, right] = [&names[0], &names[1]];
            let (left_won, right_won) = tokio::join!(
                settle(&operators[0], ticket(number, [left.as_str()])),
                settle(&operators[3], ticket(number, [right.as_str()])),
            );
            assert_that!(left_won, not(eq(right_won)));
            let winner = if left_won { left } else { right };
            let loser = if left_won { right } else { left };
            wait_until(IN_FORCE, "ticket in force", async || {
                everywhere(&bench, winner, true).await
            })
            .await
            .unwrap();
            assert_that!(everywhere(&bench, loser, false).await, eq(true));
        }
        for round in 0..ROUNDS {
            let left = everywhere(&bench, &format!("left{round}"), true).await;
            let right = everywhere(&bench, &format!("right{round}"), true).await;
            assert_that!(left || right, eq(true));
        }
    });
}

#[test]
fn tickets_on_different_services_are_both_in_force() {
    block_on(async {
        let bench = start(two_services()).await;
        let operators = operators(&bench);
        let (left, right) = tokio::join!(
            settle(&operators[1], ticket(20, ["left"])),
            settle(&operators[2], ticket(21, ["right"])),
        );
        assert_that!(left && right, eq(true));
        wait_until(IN_FORCE, "both in force", async || {
            everywhere(&bench, "left", true).await && everywhere(&bench, "right", true).await
        })
        .await
        .unwrap();
    });
}

#[test]
fn a_restarted_node_takes_up_the_document() {
    block_on(async {
        let mut bench = start(two_services()).await;
        let operators = operators(&bench);
        bench.cluster.hosts[2].node = None;
        assert_that!(settle(&operators[0], ticket(30, ["extra"])).await, eq(true));
        bench.cluster.hosts[2].start_node().unwrap();
        bench.cluster.wait_ready(IN_FORCE).await.unwrap();
        wait_until(IN_FORCE, "ticket in force", async || {
            everywhere(&bench, "extra", true).await
        })
        .await
        .unwrap();
    });
}
