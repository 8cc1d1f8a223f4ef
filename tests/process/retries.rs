//! Retries of a whole chain stay within the allowance of the root request.

use googletest::prelude::*;
use rhubarblanding_core::collections::HashMap;
use rhubarblanding_standins::backend::ControlChange;
use rhubarblanding_standins::process::ServiceSettings;

use crate::support::{Bench, block_on, load, run, service, start};

/// Retries that a root request may cause, as the ticket says.
const ALLOWANCE: u32 = 3;
/// Repeats of a failed call by each backend server.
const BACKEND_RETRIES: u32 = 3;

fn naive(name: &str, calls: &[&str]) -> ServiceSettings {
    let mut service = service(name, calls);
    service.backend.calls.retries = BACKEND_RETRIES;
    service
}

fn chain() -> Vec<ServiceSettings> {
    vec![
        naive("catalogo-web", &["turnos:/a", "turnos:/b"]),
        naive("turnos", &["egresos:/a", "egresos:/b"]),
        naive("egresos", &[]),
    ]
}

/// Retries of each root request over all services: arrivals less distinct calls.
async fn retries_by_root(bench: &Bench) -> HashMap<String, u32> {
    let mut by_root: HashMap<String, u32> = HashMap::default();
    for service in ["catalogo-web", "turnos", "egresos"] {
        let mut by_call: HashMap<String, u32> = HashMap::default();
        for run in bench.cluster.runs_of(service).await.unwrap() {
            *by_call.entry(run.request_id).or_default() += run.arrivals;
        }
        for (call, arrivals) in by_call {
            let root = call.split('.').next().unwrap_or_default();
            *by_root.entry(root.to_owned()).or_default() += arrivals - 1;
        }
    }
    by_root.retain(|root, _| root.starts_with("load-"));
    by_root
}

fn bound_holds(change: ControlChange) {
    block_on(async {
        let bench = start(chain()).await;
        for host in bench.cluster.hosts_of("egresos") {
            host.backend().change(change).await.unwrap();
        }
        let mut cfg = load(&bench, &["read=GET,catalogo-web,/stock,1,1"], 20.0, 3.0);
        cfg.tries = 1;
        let report = run(cfg).await;
        let by_root = retries_by_root(&bench).await;
        assert_that!(by_root.len(), eq(report.outcomes.len()));
        let most = by_root.values().copied().max().unwrap_or_default();
        println!("most retries of one root request: {most}");
        assert_that!(most, le(ALLOWANCE));
    });
}

rhubarblanding_core::cases! {
    bound_holds;
    retry_bound_holds_when_the_bottom_fails: (ControlChange {
        fail: Some(true),
        ..ControlChange::default()
    });
    retry_bound_holds_when_the_bottom_sheds: (ControlChange {
        shed_above: Some(0),
        ..ControlChange::default()
    });
}
