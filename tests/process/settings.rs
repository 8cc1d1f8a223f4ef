//! Settings of a node that do not hold allowed values.

use std::process::Command;

use googletest::prelude::*;

#[test]
fn five_bad_settings_are_named_at_once() {
    let bad = [
        ("--service", "Turnos!"),
        ("--zone", ""),
        ("--caller-listen", "localhost"),
        ("--local-listen", "10.0.0.1:80"),
        ("--drain-limit-s", "soon"),
    ];
    let good = [
        ("--peer-listen", "127.0.0.1:7001"),
        ("--operator-listen", "127.0.0.1:7002"),
        ("--backend", "127.0.0.1:7003"),
        ("--store", "127.0.0.1:7004"),
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblanding"));
    command.arg("node");
    for (flag, value) in bad.into_iter().chain(good) {
        command.args([flag, value]);
    }
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_that!(output.status.code(), some(eq(2)));
    for (flag, _) in bad {
        assert_that!(text, contains_substring(flag));
    }
    for (flag, _) in good {
        assert_that!(text, not(contains_substring(flag)));
    }
}
