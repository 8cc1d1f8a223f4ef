//! A leaving target gets no new work after three seconds.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::backend::ControlChange;
use rhubarblanding_standins::process::Signal;

use crate::support::{Bench, block_on, load, not_completed, run, start, two_services};

/// Time after which a leaving target gets no new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Who says that the target leaves.
enum Said {
    /// The backend server itself.
    Backend,
    /// An operator.
    Operator,
    /// The host, by a signal to the node.
    Signal,
}

async fn say(bench: &Bench, index: usize, said: Said) {
    let host = &bench.cluster.hosts[index];
    match said {
        Said::Backend => {
            let change = ControlChange {
                drain: Some(true),
                ..ControlChange::default()
            };
            host.backend().change(change).await.unwrap();
        }
        Said::Operator => {
            host.operator().unwrap().drain().await.unwrap();
        }
        Said::Signal => host
            .node
            .as_ref()
            .unwrap()
            .signal(Signal::Terminate)
            .unwrap(),
    }
}

fn no_new_work(said: Said) {
    block_on(async {
        let bench = start(two_services()).await;
        // The second host of the lower service leaves.
        let leaving = 3;
        let kinds = ["read=GET,turnos,/stock,1,1"];
        let mut cfg = load(&bench, &kinds, 100.0, 9.0);
        cfg.route = rhubarblanding_standins::load::Route::Nodes(
            bench.cluster.entries().into_iter().take(2).collect(),
        );
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let backend = bench.cluster.hosts[leaving].backend();
        let before = backend.counters().await.unwrap().started;
        assert_that!(before, gt(0));
        say(&bench, leaving, said).await;
        tokio::time::sleep(LEAVING).await;
        let at_limit = backend.counters().await.unwrap().started;
        let report = running.await.unwrap();
        let at_end = backend.counters().await.unwrap().started;
        assert_that!(at_end, eq(at_limit));
        assert_that!(not_completed(&report), is_empty());
    });
}

rhubarblanding_core::cases! {
    no_new_work;
    no_new_work_when_the_backend_server_says_so: (Said::Backend);
    no_new_work_when_an_operator_says_so: (Said::Operator);
    no_new_work_when_the_host_stops: (Said::Signal);
}
