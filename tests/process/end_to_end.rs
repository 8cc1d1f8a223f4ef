//! Requests through several processes, with every byte of every answer checked.

use googletest::prelude::*;

use crate::support::{
    block_on, load, not_completed, run, runs_by_key, service, start, two_services,
};

#[test]
fn two_services_of_two_targets_answer_every_byte() {
    block_on(async {
        let bench = start(two_services()).await;
        let kinds = [
            "read=GET,turnos,/stock?bytes=3000,3,1",
            "write=POST,turnos,/book,1,2",
        ];
        let report = run(load(&bench, &kinds, 150.0, 3.0)).await;
        assert_that!(not_completed(&report), is_empty());
        assert_that!(report.wrong_answers(), eq(0));
        for service in ["turnos", "egresos"] {
            let runs = bench.cluster.runs_of(service).await.unwrap();
            let of_load = runs
                .iter()
                .filter(|run| run.request_id.starts_with("load-"));
            assert_that!(of_load.count(), eq(report.outcomes.len()));
            let writes = runs_by_key(&bench, service).await;
            assert_that!(writes.values().all(|runs| *runs == 1), eq(true));
            assert_that!(writes.len() as u64, eq(report.kinds[1].offered));
        }
    });
}

#[test]
fn a_service_two_hops_down_answers() {
    block_on(async {
        let services = vec![
            service("catalogo-web", &["* turnos:/check"]),
            service("turnos", &["* egresos:/slots"]),
            service("egresos", &[]),
        ];
        let bench = start(services).await;
        let kinds = [
            "read=GET,catalogo-web,/stock,1,1",
            "write=POST,catalogo-web,/book,1,1",
        ];
        let report = run(load(&bench, &kinds, 60.0, 2.0)).await;
        assert_that!(not_completed(&report), is_empty());
        let runs = bench.cluster.runs_of("egresos").await.unwrap();
        let deep = runs.iter().filter(|run| run.request_id.ends_with(".0.0"));
        assert_that!(deep.count(), ge(report.outcomes.len()));
    });
}
