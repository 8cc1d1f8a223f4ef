//! Log lines never hold the process up, and are whole and bounded where they are read.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_node::process::json_lines;

/// Tells this program that it is to write lines, and how.
const ROLE: &str = "JSON_LINES_ROLE";
/// Lines that a writing process logs. With some 80 bytes each they are more than a pipe and the
/// queue of the logger hold together.
const LINES: usize = 30_000;
/// Of so many lines one has another reason than the others.
const RARE_OF: usize = 3_000;
/// Time for a process that is not held up.
const LIMIT: Duration = Duration::from_secs(20);

/// Not a test of its own: the process whose lines the others look at.
#[test]
fn writer() {
    let Ok(role) = std::env::var(ROLE) else {
        return;
    };
    let logger = json_lines::start(log::LevelFilter::Info).expect("a logger");
    for n in 0..LINES {
        // The lines of one event are few in a second, those of many events are not.
        match role.as_str() {
            "many" => log::info!(target: "rhubarblanding", n = n; "event_{n}"),
            "reasons" => {
                let reason = if n % RARE_OF == 0 { "rare" } else { "frequent" };
                log::info!(target: "rhubarblanding", n = n, reason = reason; "event");
            }
            _ => log::info!(target: "rhubarblanding", n = n; "event"),
        }
    }
    logger.flush();
    // Without the end of the test, whose output would mix with the lines.
    std::process::exit(0);
}

fn start(role: &str) -> Child {
    Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "writer", "--nocapture", "--quiet"])
        .env(ROLE, role)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a process")
}

fn ends_in_time(child: &mut Child) -> bool {
    let began = Instant::now();
    while began.elapsed() < LIMIT {
        if child.try_wait().expect("a state").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = child.kill();
    false
}

#[test]
fn a_reader_that_never_reads_does_not_hold_the_process_up() {
    let mut child = start("many");
    assert_that!(ends_in_time(&mut child), eq(true));
}

/// Lines that a process writes in this role.
fn lines_of(role: &str) -> Vec<String> {
    let mut child = start(role);
    let mut text = String::new();
    let mut out = child.stdout.take().expect("its output");
    out.read_to_string(&mut text).expect("text");
    assert_that!(ends_in_time(&mut child), eq(true));
    let lines = text.lines().filter(|line| line.contains("at_ms"));
    lines.map(str::to_owned).collect()
}

#[test]
fn a_rare_reason_is_not_left_out_for_a_frequent_one() {
    let lines = lines_of("reasons");
    let rare = lines.iter().filter(|line| line.contains("\"rare\""));
    assert_that!(rare.count(), eq(LINES / RARE_OF));
    assert_that!(lines.len(), le(400));
}

#[test]
fn lines_of_one_event_are_bounded_and_whole() {
    let lines = lines_of("one");
    // At most 40 in a second, and the process runs for a few seconds at most.
    assert_that!(lines.len(), all![ge(40), le(400)]);
    for line in lines {
        let parsed = serde_json::from_str::<serde_json::Value>(&line);
        assert_that!(parsed.is_ok(), eq(true), "{line}");
    }
}
