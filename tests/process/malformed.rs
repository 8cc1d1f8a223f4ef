//! Malformed input gets a clear error, and the node lives.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::process::NodeAddresses;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{block_on, load, not_completed, run, service, start};

/// Time in which a malformed request is answered or its connection closed.
const ANSWER: Duration = Duration::from_secs(3);

/// One malformed input.
struct Input {
    name: &'static str,
    face: fn(&NodeAddresses) -> SocketAddr,
    bytes: Vec<u8>,
    /// Texts that the answer must hold; without any, closing the connection is enough.
    expected: &'static [&'static str],
}

fn caller(node: &NodeAddresses) -> SocketAddr {
    node.caller
}

fn local(node: &NodeAddresses) -> SocketAddr {
    node.local
}

fn peer(node: &NodeAddresses) -> SocketAddr {
    node.peer
}

fn operator(node: &NodeAddresses) -> SocketAddr {
    node.operator
}

fn http(head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{head}\r\nhost: x\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
        .into_bytes()
}

fn with_header(header: &str) -> Vec<u8> {
    http(&format!("POST /turnos/book HTTP/1.1\r\n{header}"), "")
}

fn noise(len: usize) -> Vec<u8> {
    (0..len).map(|index| (index * 7 + 128) as u8).collect()
}

fn caller_inputs() -> Vec<Input> {
    let input = |name, bytes, expected| Input {
        name,
        face: caller,
        bytes,
        expected,
    };
    let huge = format!("x-huge: {}", "a".repeat(2 << 20));
    let version4 = "idempotency-key: 936da01f-9abd-4d9d-80c7-02af85c822a8";
    vec![
        input("noise", noise(4_000), &[]),
        input("half a request line", b"GET /turnos/sto".to_vec(), &[]),
        input("oversized header", with_header(&huge), &[" 431 "]),
        input(
            "deadline that is no number",
            with_header("rhubarblanding-deadline-ms: soon"),
            &[
                " 400 ",
                "rhubarblanding-deadline-ms",
                "invalid_request",
                "not-run",
            ],
        ),
        input(
            "negative deadline",
            with_header("rhubarblanding-deadline-ms: -5"),
            &[" 400 ", "rhubarblanding-deadline-ms", "invalid_request"],
        ),
        input(
            "key that is no UUID",
            with_header("idempotency-key: 17"),
            &[" 400 ", "idempotency-key", "invalid_key", "not-run"],
        ),
        input(
            "key of version 4",
            with_header(version4),
            &[" 400 ", "version 7"],
        ),
        input(
            "service that is no name",
            http("GET /Turnos!/x HTTP/1.1", ""),
            &[" 400 ", "path", "invalid_request"],
        ),
        input(
            "service that does not exist",
            http("GET /nowhere/x HTTP/1.1", ""),
            &[" 404 ", "unknown_service", "not-run"],
        ),
    ]
}

fn local_inputs() -> Vec<Input> {
    let announce = |name, body, expected| Input {
        name,
        face: local,
        bytes: http("POST /v1/announce HTTP/1.1", body),
        expected,
    };
    vec![
        announce("bad JSON", "{", &[" 400 ", "body"]),
        announce("negative slots", r#"{"slots":-1}"#, &[" 400 ", "slots"]),
        announce("no slots", r#"{"slots":0}"#, &[" 400 ", "slots"]),
        announce(
            "unknown field",
            r#"{"slots":1,"sluts":2}"#,
            &[" 400 ", "sluts"],
        ),
        announce(
            "unknown state",
            r#"{"slots":1,"state":"dancing"}"#,
            &[" 400 ", "dancing"],
        ),
        announce(
            "address of another host",
            r#"{"slots":1,"address":"10.0.0.1:1"}"#,
            &[" 400 ", "address"],
        ),
        Input {
            name: "forged token",
            face: local,
            bytes: http(
                "GET /call/turnos/ok HTTP/1.1\r\nrhubarblanding-token: ffffffffffffffff",
                "",
            ),
            expected: &[" 200 "],
        },
        Input {
            name: "call without a service",
            face: local,
            bytes: http("GET /call HTTP/1.1", ""),
            expected: &[" 40"],
        },
    ]
}

fn peer_inputs() -> Vec<Input> {
    let input = |name, bytes| Input {
        name,
        face: peer,
        bytes,
        expected: &[],
    };
    let mut after_preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    after_preface.extend(noise(4_000));
    vec![
        input("noise", noise(4_000)),
        input("noise after the preface of h2", after_preface),
        input("plain request", http("GET /x HTTP/1.1", "")),
        input(
            "call without headers",
            http("POST /turnos/x HTTP/1.1", "{}"),
        ),
        input(
            "control call that is no JSON",
            http("POST / HTTP/1.1", "{{{"),
        ),
        input(
            "cut control call",
            b"POST / HTTP/1.1\r\ncontent-length: 99\r\n\r\n{".to_vec(),
        ),
    ]
}

fn operator_inputs() -> Vec<Input> {
    let ticket = |name, body, expected| Input {
        name,
        face: operator,
        bytes: http("POST /v1/tickets HTTP/1.1", body),
        expected,
    };
    vec![
        ticket("bad JSON", "[1", &[" 400 "]),
        ticket("empty", "", &[" 400 "]),
        ticket(
            "unknown field",
            r#"{"submission":"01890a5d-ac96-774b-bcce-b302099a8057","ticket":{"ticket":5,"servces":{}}}"#,
            &[" 400 ", "servces"],
        ),
        ticket(
            "ticket that touches nothing",
            r#"{"submission":"01890a5d-ac96-774b-bcce-b302099a8057","ticket":{"ticket":5}}"#,
            &[" 400 ", "services"],
        ),
        ticket(
            "number below the range",
            r#"{"submission":"01890a5d-ac96-774b-bcce-b302099a8057","ticket":{"ticket":0,"remove_services":["turnos"]}}"#,
            &[" 400 ", "ticket"],
        ),
        Input {
            name: "ticket number that is no number",
            face: operator,
            bytes: http("GET /v1/tickets/five HTTP/1.1", ""),
            expected: &[" 400 "],
        },
        Input {
            name: "unknown path",
            face: operator,
            bytes: http("GET /v1/nothing HTTP/1.1", ""),
            expected: &[" 404 "],
        },
        Input {
            name: "unknown log level",
            face: operator,
            bytes: http("PUT /v1/log-level HTTP/1.1", r#"{"level":"loud"}"#),
            expected: &[" 400 ", "level"],
        },
    ]
}

/// Sends the bytes, closes the sending side and reads what comes back.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(ANSWER, stream.read_to_end(&mut answer)).await;
    drop(read);
    String::from_utf8_lossy(&answer).into_owned()
}

fn malformed_input_is_refused(inputs: Vec<Input>) {
    block_on(async {
        let mut bench = start(vec![service("turnos", &[])]).await;
        let node = bench.cluster.hosts[0].cfg.node.unwrap();
        let mut faults = Vec::new();
        for input in inputs {
            let answer = exchange((input.face)(&node), &input.bytes).await;
            let missing = input
                .expected
                .iter()
                .filter(|text| !answer.contains(**text));
            for text in missing {
                faults.push(format!("{}: `{text}` is missing in {answer:?}", input.name));
            }
        }
        let process = bench.cluster.hosts[0].node.as_mut().unwrap();
        assert_that!(process.ended().unwrap(), none());
        let report = run(load(&bench, &["read=GET,turnos,/stock,1,1"], 50.0, 0.5)).await;
        assert_that!(not_completed(&report), is_empty());
        assert_that!(faults, is_empty());
    });
}

rhubarblanding_core::cases! {
    malformed_input_is_refused;
    malformed_input_from_callers: (caller_inputs());
    malformed_input_from_the_backend_server: (local_inputs());
    malformed_input_from_peers: (peer_inputs());
    malformed_input_from_operators: (operator_inputs());
}
