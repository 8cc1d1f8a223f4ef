//! Settings of a node: every bad value is named at once.

use googletest::prelude::*;
use rhubarblanding_node::prelude::*;
use rhubarblanding_node::settings::command;

const GOOD: &[&str] = &[
    "node",
    "--service=turnos",
    "--zone=ros",
    "--caller-listen=127.0.0.1:7001",
    "--local-listen=127.0.0.1:7002",
    "--peer-listen=127.0.0.1:7003",
    "--operator-listen=127.0.0.1:7004",
    "--backend=127.0.0.1:7005",
    "--store=127.0.0.1:7006",
];

fn read(args: &[&str]) -> std::result::Result<Settings, SettingsErrors> {
    let matches = command().args_override_self(true).get_matches_from(args);
    Settings::try_from(RawSettings::from(&matches))
}

fn rejects(replacement: &str, flag: &'static str) {
    let args: Vec<&str> = GOOD.iter().copied().chain([replacement]).collect();
    let errors = read(&args).err().map(|e| e.0).unwrap_or_default();
    let flags: Vec<&str> = errors.iter().map(|e| e.flag).collect();
    assert_that!(flags, elements_are![eq(&flag)]);
}

rhubarblanding_core::cases! {
    rejects;
    service_name: ("--service=Turnos", "service");
    zone_name: ("--zone=", "zone");
    host_name_for_address: ("--caller-listen=localhost:7001", "caller-listen");
    local_not_loopback: ("--local-listen=10.0.0.1:7002", "local-listen");
    peer_unspecified: ("--peer-listen=0.0.0.0:7003", "peer-listen");
    advertise_unspecified: ("--peer-advertise=0.0.0.0:7003", "peer-advertise");
    port_zero: ("--operator-listen=127.0.0.1:0", "operator-listen");
    backend_without_port: ("--backend=127.0.0.1", "backend");
    store_garbage: ("--store=x", "store");
    seed_unspecified: ("--seed=0.0.0.0:1", "seed");
    log_level: ("--log-level=loud", "log-level");
    log_format: ("--log-format=xml", "log-format");
    drain_limit_zero: ("--drain-limit-s=0", "drain-limit-s");
    statsd: ("--statsd=:8125", "statsd");
    threads: ("--threads=65", "threads");
}

#[test]
fn good_settings_are_taken() {
    assert_that!(read(GOOD), ok(anything()));
}

#[test]
fn all_bad_settings_are_named_at_once() {
    let read = read(&["node", "--service=A", "--zone=B", "--threads=0"]);
    let errors = read.err().map(|e| e.0).unwrap_or_default();
    let flags: Vec<&str> = errors.iter().map(|e| e.flag).collect();
    assert_that!(
        flags,
        contains_each![
            eq(&"service"),
            eq(&"zone"),
            eq(&"threads"),
            eq(&"caller-listen"),
            eq(&"store")
        ]
    );
}
