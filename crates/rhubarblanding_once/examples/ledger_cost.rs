//! Time per request and memory per record of a pair of ledgers.
//!
//! Run it with `cargo run --release -p rhubarblanding_once --example ledger_cost`. It runs keys
//! through the home and then through the copy, and prints the processing time and the growth of
//! the resident set of each.

use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use rhubarblanding_core::ids::{HostId, IdempotencyKey, Incarnation};
use rhubarblanding_core::names::{InvalidName, ServiceName, ZoneName};
use rhubarblanding_core::time::{MonoTime, UnixMillis};
use rhubarblanding_once::message::Kept;
use rhubarblanding_once::prelude::*;

const KEYS: u64 = 200_000;
const BODY_BYTES: usize = 200;
const PAGE_BYTES: u64 = 4096;
/// Wall clock of the run, in milliseconds.
const START: UnixMillis = UnixMillis(1_700_000_000_000);

fn member(host: u8) -> Result<Member, InvalidName> {
    Ok(Member {
        id: MemberId {
            host: HostId(SocketAddr::from(([10, 0, 0, host], 7000))),
            incarnation: Incarnation(1),
        },
        zone: ZoneName::try_from(format!("zone-{}", host % 3))?,
    })
}

fn now(i: u64) -> Now {
    Now {
        mono: MonoTime::from_micros(i),
        wall: UnixMillis(START.0 + i / 1_000),
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"application/json".to_vec(),
        }],
        body: Bytes::from(vec![0; BODY_BYTES]),
    }
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Runs one key as its home, given the vote, the outcome and the acknowledgement.
fn run_as_home(home: &mut Ledger, i: u64, key: IdempotencyKey) {
    let req = AttemptRequest {
        caller: CallerId(i),
        key,
        fingerprint: Fingerprint(i),
        role: Role::Home,
    };
    let mut inputs = vec![Input::Attempt(req)];
    while let Some(input) = inputs.pop() {
        for output in home.handle(now(i), input) {
            match output {
                Output::Send { to, msg } => inputs.extend(reply(to, home.member().id, &msg)),
                Output::Dispatch { key, run, .. } => {
                    let outcome = Outcome::Answered(answer());
                    inputs.push(Input::Outcome { key, run, outcome });
                }
                _ => {}
            }
        }
    }
}

/// Votes for one key as its copy, and records the answer.
fn record_as_copy(copy: &mut Ledger, home: MemberId, i: u64, key: IdempotencyKey) {
    let fingerprint = Fingerprint(i);
    let prepare = PeerMessage::Prepare {
        epoch: HomeTable::FIRST_VERSION,
        key,
        fingerprint,
        run: RunId(i),
    };
    let recorded = PeerMessage::Recorded {
        key,
        fingerprint,
        kept: Kept::Answer(answer()),
    };
    let (from, to) = (home, copy.member().id);
    for msg in [prepare, recorded] {
        copy.handle(now(i), Input::Peer(Envelope { from, to, msg }));
    }
}

/// Answer of the copy to a message of the home.
fn reply(from: MemberId, to: MemberId, msg: &PeerMessage) -> Option<Input> {
    let msg = match msg {
        PeerMessage::Prepare { key, run, .. } => PeerMessage::PrepareAck {
            key: *key,
            run: *run,
        },
        PeerMessage::Recorded { key, .. } => PeerMessage::RecordedAck { key: *key },
        _ => return None,
    };
    Some(Input::Peer(Envelope { from, to, msg }))
}

fn report(name: &str, started: Instant, resident_before: u64) {
    let nanos = started.elapsed().as_nanos() as u64 / KEYS;
    let bytes = resident_bytes().saturating_sub(resident_before) / KEYS;
    println!("{name}: {nanos} ns per key, {bytes} bytes per record");
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let members = (0..4).map(member).collect::<Result<Vec<_>, _>>()?;
    let service = ServiceName::try_from("egresos")?;
    let table = HomeTable::bootstrap(service, START, members.clone())?;
    let place = |i: u64| {
        let mut random = [0; 10];
        random[..8].copy_from_slice(&i.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
        let key = IdempotencyKey::mint(now(i).wall, random);
        table.place(key).map(|placement| (key, placement))
    };
    let (home, copy) = (members[0].id, members[1].id);
    let on_pair = (0..)
        .filter_map(place)
        .filter(|(_, placement)| placement.home == home && placement.copy == Some(copy));
    let keys: Vec<IdempotencyKey> = on_pair.map(|(key, _)| key).take(KEYS as usize).collect();
    let settings = LedgerSettings {
        max_records: KEYS as usize,
        max_kept_bytes: usize::MAX,
        ..LedgerSettings::default()
    };
    let new = |member: &Member| {
        let mut ledger = Ledger::new(member.clone(), settings);
        ledger.adopt(now(0), table.clone());
        ledger
    };

    let mut ledger = new(&members[0]);
    let (started, resident) = (Instant::now(), resident_bytes());
    for (i, key) in (0..).zip(&keys) {
        run_as_home(&mut ledger, i, *key);
    }
    report("home", started, resident);
    println!("home keeps {} records", ledger.record_count());

    let mut copy_ledger = new(&members[1]);
    let (started, resident) = (Instant::now(), resident_bytes());
    for (i, key) in (0..).zip(&keys) {
        record_as_copy(&mut copy_ledger, home, i, *key);
    }
    report("copy", started, resident);
    println!("copy keeps {} records", copy_ledger.record_count());
    drop(ledger);
    Ok(())
}
