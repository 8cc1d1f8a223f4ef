//! Runs the program as a client and as a node.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_standins::process::free_addresses;
use serde_json::Value;

pub const LITORAL: &str = "examples/tickets/litoral.json";

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarblanding");
const START_LIMIT: Duration = Duration::from_secs(10);

/// Runs the program and returns its exit code, standard output and standard error.
pub fn run_program(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(PROGRAM)
        .args(args)
        .env_remove("RHUBARBLANDING_OPERATOR")
        .output()
        .expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("an exit code");
    (code, text(&output.stdout), text(&output.stderr))
}

/// A node process, killed on drop.
pub struct Node {
    child: Child,
    operator: String,
    peer: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> String {
    let addresses = free_addresses(1).expect("a free port");
    addresses[0].to_string()
}

impl Node {
    /// Starts a node without a seed.
    pub fn start(store: SocketAddr) -> Self {
        Self::start_with_seed(store, None)
    }

    /// Starts a node that contacts `seed` first.
    pub fn start_with_seed(store: SocketAddr, seed: Option<&Self>) -> Self {
        let (operator, peer) = (free_address(), free_address());
        let seeds = seed.iter().flat_map(|seed| ["--seed", seed.peer.as_str()]);
        let child = Command::new(PROGRAM)
            .args(["node", "--service", "egresos", "--zone", "ros"])
            .args(["--caller-listen", &free_address()])
            .args(["--local-listen", &free_address()])
            .args(["--peer-listen", &peer])
            .args(["--operator-listen", &operator])
            .args(seeds)
            .args(["--backend", &free_address()])
            .args(["--store", &store.to_string()])
            .args(["--log-level", "error"])
            .spawn()
            .expect("the node starts");
        let node = Self {
            child,
            operator,
            peer,
        };
        let started_at = Instant::now();
        while run_program(&["status", "--operator", &node.operator]).0 != 0 {
            assert_that!(started_at.elapsed(), lt(START_LIMIT));
            std::thread::sleep(Duration::from_millis(50));
        }
        node
    }

    /// Runs a subcommand against this node and returns its exit code and JSON answer.
    pub fn call(&self, args: &[&str]) -> (i32, Value) {
        let to = ["--operator", self.operator.as_str(), "--json"];
        let (code, out, err) = run_program(&[args, &to].concat());
        let answer = serde_json::from_str(&out);
        (code, answer.unwrap_or_else(|e| panic!("{e}: {out}{err}")))
    }

    /// Returns the address of the operator listener.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Sends a signal such as `STOP` to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert_that!(status.expect("kill runs").success(), eq(true));
    }
}

/// Writes a copy of the example ticket with the given number and returns its path.
pub fn numbered_ticket(number: u64) -> String {
    let text = std::fs::read_to_string(LITORAL).expect("the example");
    let mut ticket: Value = serde_json::from_str(&text).expect("JSON");
    ticket["ticket"] = number.into();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("ticket-{number}.json"));
    std::fs::write(&path, ticket.to_string()).expect("a file");
    path.display().to_string()
}
