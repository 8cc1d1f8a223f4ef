//! Suspect requests: who is refused after which crashes, what clears, what nodes tell each other, and
//! a model of several nodes over random interleavings.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::{
    CompletedRequests, CrashId, CrashRecord, Fingerprint, RequestContent, SuspectRecord,
    SuspectSettings, SuspectTable, SuspectVerdict,
};

const REQUEST: Fingerprint = Fingerprint(1);
/// Time after a restart, and after the third crash, from which the users' bound counts.
const IN_TOUCH: Duration = Duration::from_secs(3);

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

/// A table in which [`REQUEST`] ran during `crashes` crashes, a second apart.
fn table(crashes: u64) -> SuspectTable {
    let mut table = SuspectTable::default();
    for crash in 1..=crashes {
        table.record_crash(at(crash), CrashId(crash), REQUEST);
    }
    table
}

fn verdict_after(crashes: u64, expected: SuspectVerdict) {
    assert_that!(table(crashes).verdict(at(crashes), REQUEST), eq(expected));
}

rhubarblanding_core::cases! {
    verdict_after;
    no_crash: (0, SuspectVerdict::Allowed);
    one_crash: (1, SuspectVerdict::Allowed);
    two_crashes: (2, SuspectVerdict::Isolated);
    three_crashes: (3, SuspectVerdict::Refused(Duration::from_secs(600)));
    many_crashes: (40, SuspectVerdict::Refused(Duration::from_secs(600)));
}

#[test]
fn one_crash_counts_once() {
    let mut table = SuspectTable::default();
    for _ in 0..5 {
        table.record_crash(at(1), CrashId(7), REQUEST);
    }
    assert_that!(table.strikes(REQUEST), eq(1));
}

#[test]
fn the_third_crash_is_reported_once() {
    let mut table = table(2);
    assert_that!(table.record_crash(at(3), CrashId(3), REQUEST), eq(true));
    assert_that!(table.record_crash(at(4), CrashId(4), REQUEST), eq(false));
}

/// A request that was running when its server was killed is completed when it is repeated.
#[test]
fn a_completed_request_is_cleared() {
    let mut table = table(2);
    table.record_completed(REQUEST);
    assert_that!(table.verdict(at(3), REQUEST), eq(SuspectVerdict::Allowed));
    // Later crashes count from the start.
    table.record_crash(at(4), CrashId(4), REQUEST);
    assert_that!(table.verdict(at(4), REQUEST), eq(SuspectVerdict::Allowed));
}

/// After the refusal time one crash is enough to refuse the request again.
#[test]
fn a_refused_request_is_isolated_later() {
    let mut table = table(3);
    assert_that!(
        table.verdict(at(602), REQUEST),
        eq(SuspectVerdict::Refused(Duration::from_secs(1)))
    );
    assert_that!(
        table.verdict(at(603), REQUEST),
        eq(SuspectVerdict::Isolated)
    );
    table.record_crash(at(700), CrashId(9), REQUEST);
    assert_that!(
        table.verdict(at(700), REQUEST),
        eq(SuspectVerdict::Refused(Duration::from_secs(600)))
    );
    table.expire(at(700 + 3_600));
    assert_that!(table.is_empty(), eq(true));
}

/// Requests that ran beside one that crashes its servers do not reach its count: from the second
/// crash on they run apart from it.
#[test]
fn requests_beside_the_cause_are_not_refused() {
    let mut table = SuspectTable::default();
    let beside: Vec<Fingerprint> = (100..126).map(Fingerprint).collect();
    for crash in 1..=2 {
        table.record_crash(at(crash), CrashId(crash), REQUEST);
        for other in &beside {
            table.record_crash(at(crash), CrashId(crash), *other);
        }
    }
    // Isolated, the others are completed, and the cause crashes a third server.
    for other in &beside {
        assert_that!(table.verdict(at(3), *other), eq(SuspectVerdict::Isolated));
        table.record_completed(*other);
    }
    table.record_crash(at(3), CrashId(3), REQUEST);
    assert_that!(
        table.verdict(at(4), REQUEST),
        pat!(SuspectVerdict::Refused(anything()))
    );
    for other in &beside {
        assert_that!(table.verdict(at(4), *other), eq(SuspectVerdict::Allowed));
    }
}

#[test]
fn the_table_is_bounded_and_keeps_what_is_refused() {
    let mut table = table(3);
    for other in 10..10_000 {
        table.record_crash(at(5), CrashId(other), Fingerprint(other));
    }
    assert_that!(table.len(), le(SuspectSettings::default().entries_max));
    assert_that!(
        table.verdict(at(5), REQUEST),
        pat!(SuspectVerdict::Refused(anything()))
    );
    assert_that!(table.records(at(5), 200).len(), eq(200));
    assert_that!(table.records(at(5), 1)[0].fingerprint, eq(REQUEST));
}

/// Most requests that ran at a crash are innocent; the exchange between nodes does not go on with them.
#[test]
fn only_recent_requests_are_passed_on_after_one_crash() {
    let mut table = table(2);
    table.record_crash(at(2), CrashId(9), Fingerprint(7));
    assert_that!(table.records(at(2), 10).len(), eq(2));
    let later = table.records(at(60), 10);
    assert_that!(later.len(), eq(1));
    assert_that!(later[0].fingerprint, eq(REQUEST));
}

/// Messages between nodes take a while; however often a record goes around, it does not get younger.
#[test]
fn records_that_go_around_do_not_keep_a_refusal_alive() {
    let mut tables = [table(3), SuspectTable::default()];
    for second in 4..604 {
        let records = tables[0].records(at(second), 10);
        tables[1].merge(at(second) + Duration::from_millis(400), &records);
        let records = tables[1].records(at(second), 10);
        tables[0].merge(at(second) + Duration::from_millis(400), &records);
    }
    assert_that!(
        tables[0].verdict(at(604), REQUEST),
        eq(SuspectVerdict::Isolated)
    );
    assert_that!(
        tables[1].verdict(at(604), REQUEST),
        eq(SuspectVerdict::Isolated)
    );
}

fn content<'a>(path: &'a str, caller: &'a str, body: &'a str) -> Fingerprint {
    Fingerprint::from(RequestContent {
        method: "POST",
        host: "mesh.example",
        path,
        caller: caller.as_bytes(),
        body: body.as_bytes(),
    })
}

#[test]
fn content_tells_requests_apart() {
    let fingerprints = BTreeSet::from([
        content("/a", "egresos", "x"),
        content("/b", "egresos", "x"),
        content("/a", "turnos", "x"),
        content("/a", "egresos", "y"),
        content("/ae", "gresos", "x"),
        content("/a", "egreso", "sx"),
    ]);
    assert_that!(fingerprints.len(), eq(6));
    assert_that!(
        content("/a", "egresos", "x"),
        eq(content("/a", "egresos", "x"))
    );
}

/// Several nodes that merge each other's records, lose messages and restart.
struct Model {
    rng: SmallRng,
    now: MonoTime,
    tables: Vec<SuspectTable>,
    /// Records on their way: receiver and content.
    messages: Vec<(usize, Vec<SuspectRecord>)>,
    /// Times of the crashes, and whether the entry node had been up for three seconds.
    crashes: Vec<(MonoTime, bool)>,
    restarted_at: Vec<Option<MonoTime>>,
    /// Time before which no further node restarts.
    quiet_until: MonoTime,
}

impl Model {
    fn new(seed: u64, nodes: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: MonoTime::ZERO,
            tables: (0..nodes).map(|_| SuspectTable::default()).collect(),
            messages: Vec::new(),
            crashes: Vec::new(),
            restarted_at: vec![None; nodes],
            quiet_until: MonoTime::ZERO,
        }
    }

    fn any_node(&mut self) -> usize {
        self.rng.random_range(0..self.tables.len())
    }

    /// The cause arrives at one node and is sent to the target of another, unless either refuses.
    fn request(&mut self) {
        let (entry, serving) = (self.any_node(), self.any_node());
        let is_refused = |table: &SuspectTable| {
            matches!(table.verdict(self.now, REQUEST), SuspectVerdict::Refused(_))
        };
        if is_refused(&self.tables[entry]) || is_refused(&self.tables[serving]) {
            return;
        }
        let now = self.now;
        let up_since = self.restarted_at[entry];
        let in_touch = up_since.is_none_or(|since| now.since(since) >= IN_TOUCH);
        self.crashes.push((now, in_touch));
        let id = CrashId(self.crashes.len() as u64);
        for node in [serving, entry] {
            self.tables[node].record_crash(now, id, REQUEST);
        }
        let changed = self.tables[serving].take_changed(now);
        for node in 0..self.tables.len() {
            // One message in ten is lost.
            if self.rng.random_bool(0.9) {
                self.messages.push((node, changed.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(10..60));
        let delivered = self.rng.random_range(0..=self.messages.len());
        for _ in 0..delivered {
            let index = self.rng.random_range(0..self.messages.len());
            let (node, records) = self.messages.swap_remove(index);
            self.tables[node].merge(self.now, &records);
        }
        match self.rng.random_range(0..100) {
            0..=9 => self.request(),
            // A node that restarts has two seconds to learn from the others.
            10..=12 if self.now >= self.quiet_until => {
                self.quiet_until = self.now + Duration::from_secs(2);
                let node = self.any_node();
                self.tables[node] = SuspectTable::default();
                self.restarted_at[node] = Some(self.now);
            }
            13..=60 => {
                let (from, to) = (self.any_node(), self.any_node());
                let records = self.tables[from].records(self.now, 256);
                self.messages.push((to, records));
            }
            _ => {}
        }
    }
}

/// The users' bound: a request that crashes its servers is sent at most three times later than three
/// seconds after the third crash, by nodes that have been up for as long.
fn crashes_are_bounded(nodes: usize) {
    for seed in 0..200 {
        let mut model = Model::new(seed, nodes);
        for _ in 0..2_000 {
            model.step();
        }
        let (third, _) = model.crashes[2];
        let late = |(crash, in_touch): &&(MonoTime, bool)| *in_touch && *crash > third + IN_TOUCH;
        assert_that!(model.crashes.iter().filter(late).count(), le(3));
    }
}

rhubarblanding_core::cases! {
    crashes_are_bounded;
    two_nodes: (2);
    five_nodes: (5);
    thirteen_nodes: (13);
}

/// The order and number of merges do not matter.
#[test]
fn tables_that_got_the_same_records_agree() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut records: Vec<SuspectRecord> = (0..12)
            .map(|_| SuspectRecord {
                fingerprint: Fingerprint(rng.random_range(0..4)),
                crashes: vec![CrashRecord {
                    id: CrashId(rng.random_range(0..5)),
                    age_ms: 0,
                    cleared: rng.random_bool(0.3),
                }],
            })
            .collect();
        let mut one = SuspectTable::default();
        one.merge(at(1), &records);
        records.reverse();
        let mut other = SuspectTable::default();
        for _ in 0..2 {
            other.merge(at(1), &records);
        }
        for fingerprint in (0..4).map(Fingerprint) {
            assert_that!(one.strikes(fingerprint), eq(other.strikes(fingerprint)));
        }
    }
}

#[test]
fn completions_are_remembered_for_a_minute_or_two() {
    let mut completed = CompletedRequests::default();
    completed.record(at(59), REQUEST);
    assert_that!(completed.contains(at(61), REQUEST), eq(true));
    assert_that!(completed.contains(at(119), REQUEST), eq(true));
    assert_that!(completed.contains(at(240), REQUEST), eq(false));
    completed.record(at(300), REQUEST);
    assert_that!(completed.contains(at(3_000), REQUEST), eq(false));
}

#[test]
fn completions_are_bounded() {
    let mut completed = CompletedRequests::default();
    for request in 0..100_000 {
        completed.record(at(1), Fingerprint(request));
    }
    assert_that!(completed.len(), le(2 * 16_384));
    assert_that!(completed.contains(at(1), Fingerprint(99_999)), eq(true));
}
