//! A slow or absent platform service changes nothing on the data path.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::store::{Faults, OutageMode};

use crate::support::{
    block_on, doubled, load, not_completed, run, runs_by_key, start, two_services,
};

/// Length of the load in seconds; the fault begins after one and lasts to the end.
const LOAD_S: f64 = 10.0;

fn outage(outage_mode: OutageMode) -> Faults {
    Faults {
        outage: true,
        outage_mode,
        ..Faults::default()
    }
}

fn slow(delay_ms: u64) -> Faults {
    Faults {
        delay_ms,
        ..Faults::default()
    }
}

fn every_request_is_answered(faults: Faults) {
    block_on(async {
        let bench = start(two_services()).await;
        let kinds = ["read=GET,turnos,/stock,1,1", "write=POST,turnos,/book,1,1"];
        let mut cfg = load(&bench, &kinds, 80.0, LOAD_S);
        cfg.timeout = Duration::from_secs(3);
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(Duration::from_secs(1)).await;
        bench.cluster.set_store_faults(faults).await.unwrap();
        let report = running.await.unwrap();
        assert_that!(not_completed(&report), is_empty());
        assert_that!(report.wrong_answers(), eq(0));
        assert_that!(doubled(&runs_by_key(&bench, "egresos").await), is_empty());
    });
}

rhubarblanding_core::cases! {
    every_request_is_answered;
    store_drops_connections: (outage(OutageMode::Drop));
    store_refuses: (outage(OutageMode::Refuse));
    store_hangs: (outage(OutageMode::Hang));
    store_is_slow: (slow(2_000));
}

#[test]
fn the_store_is_not_called_for_each_request() {
    block_on(async {
        let bench = start(two_services()).await;
        let before = bench.cluster.store_calls().await.unwrap();
        let kinds = ["write=POST,turnos,/book,1,1"];
        let report = run(load(&bench, &kinds, 150.0, 4.0)).await;
        let after = bench.cluster.store_calls().await.unwrap();
        assert_that!(not_completed(&report), is_empty());
        let writes = (after.put - before.put) + (after.lease - before.lease);
        // Four nodes may renew leases or write their table a few times, whatever the load.
        assert_that!(writes, lt(report.outcomes.len() as u64 / 10));
    });
}
