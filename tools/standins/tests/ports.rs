//! Free ports stay free for the processes that they were chosen for.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use googletest::prelude::*;
use rhubarblanding_standins::process::free_addresses;

/// Number of addresses to choose.
const CHOICES: usize = 4_000;
/// Number of threads that start processes meanwhile.
const STARTERS: usize = 4;

/// A process that starts inherits the sockets of its parent until its program is in place. A
/// socket that listened for the check would go on listening there.
#[googletest::test]
fn a_free_address_can_be_listened_on_while_processes_start() {
    let done = AtomicBool::new(false);
    let refused = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| start_processes(&done));
        }
        let refused = (0..CHOICES).filter(|_| !can_listen()).count();
        done.store(true, Ordering::Relaxed);
        refused
    });
    expect_that!(refused, eq(0));
}

#[googletest::test]
fn an_address_in_use_is_not_chosen() {
    let held: Vec<TcpListener> = free_addresses(50)
        .unwrap()
        .into_iter()
        .map(|address| TcpListener::bind(address).unwrap())
        .collect();
    let taken: Vec<_> = held.iter().map(|l| l.local_addr().unwrap()).collect();
    // Enough that every port has its turn.
    let mut chosen = Vec::new();
    while chosen.len() < 22_000 {
        chosen.extend(free_addresses(1_000).unwrap());
    }
    expect_that!(chosen.iter().filter(|a| taken.contains(a)).count(), eq(0));
}

fn can_listen() -> bool {
    let address = free_addresses(1).expect("a free port")[0];
    TcpListener::bind(address).is_ok()
}

fn start_processes(done: &AtomicBool) {
    while !done.load(Ordering::Relaxed) {
        let status = Command::new("true").status();
        assert!(status.is_ok(), "a process starts");
    }
}
