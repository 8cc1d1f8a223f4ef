//! The command line as a process, against a real node and the embedded key-value service.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_standins::store::{Faults, StoreServer};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarblanding");
const LITORAL: &str = "examples/tickets/litoral.json";
const KERALA: &str = "examples/tickets/kerala.json";
const START_LIMIT: Duration = Duration::from_secs(10);

/// Runs the program and returns its exit code, standard output and standard error.
fn ended(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(PROGRAM)
        .args(args)
        .env_remove("RHUBARBLANDING_OPERATOR")
        .output()
        .expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("an exit code");
    (code, text(&output.stdout), text(&output.stderr))
}

fn ends_with_code(args: &[&str], code: i32, told: &str) {
    let (found, out, err) = ended(args);
    assert_that!(format!("{out}{err}"), contains_substring(told));
    assert_that!(found, eq(code));
}

rhubarblanding_core::cases! {
    ends_with_code;
    example_tickets_are_valid: (&["check", LITORAL, KERALA], 0, "kerala.json: ticket 1 is valid");
    file_that_is_not_a_ticket: (&["check", "Cargo.toml", LITORAL], 2, "Cargo.toml: ");
    file_that_is_not_there: (&["check", "none.json"], 2, "none.json: ");
    checked_as_json: (&["check", "--json", LITORAL], 0, "\"ticket\": 1");
    settings_are_missing: (&["check", "--settings"], 2, "operator-listen");
    nothing_to_check: (&["check"], 2, "<FILE>");
    no_subcommand: (&[], 2, "Examples:");
    help: (&["--help"], 0, "Exit codes:");
    help_of_submit: (&["ticket", "submit", "--help"], 0, "--submission");
    version: (&["--version"], 0, env!("CARGO_PKG_VERSION"));
    unknown_subcommand: (&["tickets"], 2, "ticket");
    completions: (&["completions", "bash"], 0, "rhubarblanding");
    unknown_shell: (&["completions", "dos"], 2, "possible values");
    operator_is_missing: (&["status"], 2, "--operator");
    operator_is_not_an_address: (&["status", "--operator", "here"], 2, "invalid");
    ticket_number_zero: (&["ticket", "show", "0", "--operator", "127.0.0.1:1"], 2, "0");
    unknown_log_level: (&["log-level", "loud", "--operator", "127.0.0.1:1"], 2, "error, warn, info");
    two_nodes_to_drain: (&["drain", "--operator", "127.0.0.1:1,127.0.0.1:2"], 2, "one node");
    nobody_there: (&["status", "--operator", "127.0.0.1:1"], 4, "cannot be reached");
    nobody_to_submit_to: (&["ticket", "submit", LITORAL, "--operator", "127.0.0.1:1", "--wait-s", "0"], 4, "cannot be reached");
    nobody_to_drain: (&["drain", "--operator", "127.0.0.1:1"], 4, "cannot be reached");
}

/// A node process, ended when dropped.
struct Node {
    child: Child,
    operator: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

impl Node {
    fn start(store: SocketAddr) -> Self {
        let operator = free_address();
        let child = Command::new(PROGRAM)
            .args(["node", "--service", "egresos", "--zone", "ros"])
            .args(["--caller-listen", &free_address()])
            .args(["--local-listen", &free_address()])
            .args(["--peer-listen", &free_address()])
            .args(["--operator-listen", &operator])
            .args(["--backend", &free_address()])
            .args(["--store", &store.to_string()])
            .args(["--log-level", "error"])
            .spawn()
            .expect("the node starts");
        let node = Self { child, operator };
        let began = Instant::now();
        while ended(&["status", "--operator", &node.operator]).0 != 0 {
            assert_that!(began.elapsed(), lt(START_LIMIT));
            std::thread::sleep(Duration::from_millis(50));
        }
        node
    }

    /// Runs a subcommand against this node and returns its exit code and JSON answer.
    fn call(&self, args: &[&str]) -> (i32, Value) {
        let to = ["--operator", self.operator.as_str(), "--json"];
        let (code, out, err) = ended(&[args, &to].concat());
        let answer = serde_json::from_str(&out);
        (code, answer.unwrap_or_else(|e| panic!("{e}: {out}{err}")))
    }
}

/// Runs a blocking test next to a key-value service.
async fn beside_a_store(test: fn(&StoreServer)) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = StoreServer::start(any_port).await.expect("a free port");
    tokio::task::spawn_blocking(move || test(&store))
        .await
        .expect("no panic");
}

/// A copy of the example ticket with another number.
fn numbered(number: u64) -> String {
    let text = std::fs::read_to_string(LITORAL).expect("the example");
    let mut ticket: Value = serde_json::from_str(&text).expect("JSON");
    ticket["ticket"] = number.into();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("ticket-{number}.json"));
    std::fs::write(&path, ticket.to_string()).expect("a file");
    path.display().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_goes_through_a_node() {
    beside_a_store(|store| {
        let node = Node::start(store.addr());
        let five = numbered(5);
        let (code, accepted) = node.call(&["ticket", "submit", &five]);
        assert_that!(accepted["verdict"], eq(&Value::from("accepted")));
        assert_that!(code, eq(0));

        let submission = accepted["submission"].as_str().expect("an identifier");
        let (code, again) = node.call(&["ticket", "submit", &five, "--submission", submission]);
        assert_that!(code, eq(0));
        assert_that!(again, eq(&accepted));

        let (code, refused) = node.call(&["ticket", "submit", &numbered(4)]);
        assert_that!(code, eq(1));
        assert_that!(refused["reason"]["kind"], eq(&Value::from("superseded")));

        let (code, shown) = node.call(&["ticket", "show", "5"]);
        assert_that!(code, eq(0));
        assert_that!(shown["in_force"].as_array().map(Vec::len), some(eq(4)));

        let (code, status) = node.call(&["ticket", "status", "5"]);
        assert_that!(code, eq(0));
        assert_that!(status["nodes"][0]["in_force"], eq(&Value::from(true)));
        assert_that!(node.call(&["ticket", "status", "6"]).0, eq(3));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_is_drained_and_its_log_level_changed() {
    beside_a_store(|store| {
        let node = Node::start(store.addr());
        let (code, level) = node.call(&["log-level", "debug"]);
        assert_that!(code, eq(0));
        assert_that!(level["level"], eq(&Value::from("debug")));
        let (code, drained) = node.call(&["drain"]);
        assert_that!(code, eq(0));
        assert_that!(drained["state"], eq(&Value::from("draining")));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_submitted_in_an_outage_is_settled_after_it() {
    beside_a_store(|store| {
        store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let node = Node::start(store.addr());
        let submit = ["ticket", "submit", LITORAL, "--wait-s", "0"];
        let (code, open) = node.call(&submit);
        assert_that!(open["verdict"], eq(&Value::from("not_yet_known")));
        assert_that!(code, eq(3));
        store.set_faults(Faults::default());
        let id = open["submission"].as_str().expect("an identifier");
        let (code, settled) = node.call(&[submit.as_slice(), &["--submission", id]].concat());
        assert_that!(settled["verdict"], eq(&Value::from("accepted")));
        assert_that!(settled["submission"], eq(&open["submission"]));
        assert_that!(code, eq(0));
    })
    .await;
}
