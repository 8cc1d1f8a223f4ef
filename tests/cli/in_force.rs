//! Accepted tickets take effect at every reachable node in time, despite process faults.

use std::net::SocketAddr;
use std::sync::Barrier;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_standins::store::Faults;
use serde_json::Value;

use crate::node::{Node, numbered_ticket, run_program};
use crate::with_store;

/// Time within which an accepted ticket must be in effect at every reachable node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const NODES: usize = 4;
fn start_nodes(store: SocketAddr) -> Vec<Node> {
    let mut nodes = vec![Node::start(store)];
    while nodes.len() < NODES {
        nodes.push(Node::start_with_seed(store, nodes.first()));
    }
    nodes
}

fn accept(node: &Node, number: u64) {
    let (code, answer) = node.call(&["ticket", "submit", &numbered_ticket(number)]);
    assert_that!(answer["verdict"], eq(&Value::from("accepted")));
    assert_that!(code, eq(0));
}

/// Waits until the ticket is in effect at all of `nodes` and returns the time taken.
fn wait_in_force(nodes: &[&Node], number: u64) -> Duration {
    let started_at = Instant::now();
    let operators: Vec<_> = nodes.iter().map(|node| node.operator()).collect();
    let operators = operators.join(",");
    let number = number.to_string();
    let status = ["ticket", "status", &number, "--operator", &operators];
    loop {
        let (code, out, _) = run_program(&status);
        if code == 0 {
            println!("ticket {number} in force after {:?}", started_at.elapsed());
            return started_at.elapsed();
        }
        assert_that!(started_at.elapsed(), lt(IN_FORCE_LIMIT), "{out}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_submissions_is_accepted_and_spreads() {
    with_store(|store| {
        let nodes = start_nodes(store.addr());
        let all: Vec<_> = nodes.iter().collect();
        let start = Barrier::new(2);
        let submit = |node: &Node| {
            let file = numbered_ticket(21);
            start.wait();
            node.call(&["ticket", "submit", &file]).0
        };
        let (one, two) = (&nodes[1], &nodes[2]);
        let mut codes = std::thread::scope(|scope| {
            let one = scope.spawn(|| submit(one));
            let two = scope.spawn(|| submit(two));
            [one, two].map(|thread| thread.join().expect("no panic"))
        });
        codes.sort_unstable();
        assert_that!(codes, eq([0, 1]));
        wait_in_force(&all, 21);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_are_settled_by_the_node() {
    with_store(|store| {
        let nodes = start_nodes(store.addr());
        store.set_faults(Faults {
            lose_answer_after_apply: 1,
            ..Faults::default()
        });
        accept(&nodes[3], 31);
        wait_in_force(&nodes.iter().collect::<Vec<_>>(), 31);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_replaced_in_an_outage_gets_the_ticket_from_its_peers() {
    with_store(|store| {
        let mut nodes = start_nodes(store.addr());
        accept(&nodes[1], 41);
        wait_in_force(&nodes.iter().collect::<Vec<_>>(), 41);
        store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        drop(nodes.pop());
        let fresh = Node::start_with_seed(store.addr(), nodes.first());
        wait_in_force(&[&fresh], 41);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_node_catches_up_and_silent_watches_are_replaced() {
    with_store(|store| {
        let nodes = start_nodes(store.addr());
        accept(&nodes[1], 51);
        wait_in_force(&nodes.iter().collect::<Vec<_>>(), 51);
        nodes[3].signal("STOP");
        store.silence_connections();
        accept(&nodes[1], 52);
        wait_in_force(&[&nodes[0], &nodes[1], &nodes[2]], 52);
        nodes[3].signal("CONT");
        wait_in_force(&[&nodes[3]], 52);
    })
    .await;
}
