//! Fixtures shared by the tests.

pub mod pair;

use std::net::SocketAddr;

use bytes::Bytes;
use rhubarblanding_core::ids::{HostId, Incarnation};
use rhubarblanding_core::names::{ServiceName, ZoneName};
use rhubarblanding_core::time::{MonoTime, UnixMillis};
use rhubarblanding_once::prelude::*;

/// Wall clock at the start of each test, in milliseconds.
pub const START: UnixMillis = UnixMillis(1_700_000_000_000);

pub fn service() -> ServiceName {
    ServiceName::try_from("egresos").unwrap()
}

pub fn member(host: u8, incarnation: u64, zone: u8) -> Member {
    Member {
        id: MemberId {
            host: HostId(SocketAddr::from(([10, 0, 0, host], 7000))),
            incarnation: Incarnation(incarnation),
        },
        zone: ZoneName::try_from(format!("zone-{zone}")).unwrap(),
    }
}

pub fn at(millis: u64) -> Now {
    Now {
        mono: MonoTime::from_millis(millis),
        wall: UnixMillis(START.0 + millis),
    }
}

pub fn answer(body: &[u8]) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"text/plain".to_vec(),
        }],
        body: Bytes::copy_from_slice(body),
    }
}
