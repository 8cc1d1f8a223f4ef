//! A protocol for tests: short header names, control calls without JSON, a line-based configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use rhubarblanding_accounts::directory::RawAccount;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::protocol::{
    ControlCall, ControlReply, DecodeError, HeaderNames, Instance, InstanceId, InstanceLeave,
    InstanceReport, Protocol, RateNotice, ReportedState, RequestRate, TargetNotice,
};
use rhubarblanding_routing::table::{Configuration, RawBackend, RawConfiguration, RawRoute};
use rhubarblanding_store::Key;
use rhubarblanding_store::codec::{NativeCodec, StoreCodec};

/// Key of the configuration in the key-value service.
pub const CONFIGURATION_KEY: &str = "operators/configuration";

/// Text of a configuration: a version, then lines of `prefix service idempotent`; the prefix
/// `/slow/` has a longer timeout. A further line may
/// be `anonymous prefix service` or `account name/rank/quota key`; rank and quota may be left
/// out.
pub fn configuration_text(version: u64, routes: &[(&str, &str, bool)]) -> String {
    let lines = routes
        .iter()
        .map(|(prefix, service, idempotent)| format!("\n{prefix} {service} {idempotent}"));
    format!("{version}{}", lines.collect::<String>())
}

#[derive(Debug)]
pub struct TestProtocol {
    headers: HeaderNames,
}

impl Default for TestProtocol {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: HeaderNames {
                request_id: name("t-id"),
                deadline_ms: name("t-deadline"),
                expected_instance: name("t-expected"),
                not_executed: name("t-not-run"),
                signature: name("t-signature"),
                caller_service: name("t-caller"),
                credential: name("t-key"),
                account: name("t-account"),
            },
        }
    }
}

fn invalid(reason: &str) -> DecodeError {
    DecodeError {
        field: "body".to_owned(),
        reason: reason.to_owned(),
    }
}

impl Protocol for TestProtocol {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn possible_parents<'a>(&self, request_id: &'a [u8]) -> Vec<&'a [u8]> {
        let dot = request_id.iter().rposition(|b| *b == b'.');
        dot.map(|dot| &request_id[..dot]).into_iter().collect()
    }

    fn notice(&self, headers: &HeaderMap) -> TargetNotice {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let rate = text("t-rate").map_or(RateNotice::None, |raw| {
            RequestRate::try_from(raw).map_or(RateNotice::Invalid, RateNotice::Limit)
        });
        TargetNotice {
            rate,
            leaving: text("t-leaving") == Some("1"),
        }
    }

    /// `report SERVICE ID STARTED_AT SEQUENCE ready|draining SLOTS` or `leave ID`.
    fn control_call(&self, _: &Method, _: &str, body: &[u8]) -> Result<ControlCall, DecodeError> {
        let text = std::str::from_utf8(body).map_err(|_| invalid("not text"))?;
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["report", service, id, started_at, sequence, state, slots] => {
                let number = |text: &str| text.parse::<u64>().map_err(|_| invalid("no number"));
                Ok(ControlCall::Report(InstanceReport {
                    instance: Instance {
                        started_at: UnixMillis(number(started_at)?),
                        id: InstanceId(id.into()),
                    },
                    service: ServiceName::try_from(service).map_err(|_| invalid("service"))?,
                    slots: number(slots)? as u32,
                    state: match state {
                        "ready" => ReportedState::Ready,
                        "draining" => ReportedState::Draining,
                        _ => return Err(invalid("state")),
                    },
                    warmup: Duration::ZERO,
                    sequence: number(sequence)?,
                }))
            }
            ["leave", id] => Ok(ControlCall::Leave(InstanceLeave {
                id: InstanceId(id.into()),
                started_at: None,
            })),
            _ => Err(invalid("no such call")),
        }
    }

    fn acknowledge(&self) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "text/plain",
            body: Bytes::new(),
        }
    }

    fn reject(&self, status: StatusCode, reason: &str) -> ControlReply {
        ControlReply {
            status,
            content_type: "text/plain",
            body: reason.to_owned().into(),
        }
    }

    fn configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError> {
        let text = std::str::from_utf8(value).map_err(|_| invalid("not text"))?;
        let mut lines = text.lines();
        let version = lines.next().and_then(|line| line.parse().ok());
        let routes = lines.filter_map(|line| {
            let words: Vec<&str> = line.split(' ').collect();
            let (prefix, service, idempotent, anonymous) = match words[..] {
                ["account", ..] => return None,
                ["anonymous", prefix, service] => (prefix, service, "true", true),
                [prefix, service, idempotent] => (prefix, service, idempotent, false),
                _ => return None,
            };
            Some(RawRoute {
                name: prefix.to_owned(),
                host: "mesh.example".to_owned(),
                path_prefix: prefix.to_owned(),
                idempotent: idempotent == "true",
                timeout_ms: match prefix {
                    "/slow/" => 8_000,
                    _ => 3_000,
                },
                objective_ms: 1_000,
                rank: 0,
                max_attempts: 2,
                anonymous,
                backends: vec![RawBackend {
                    service: service.to_owned(),
                    weight: 1,
                }],
            })
        });
        let accounts = text.lines().filter_map(|line| {
            let mut words = line.strip_prefix("account ")?.split(' ');
            let name = words.next()?;
            let mut parts = name.split('/');
            let name = parts.next()?;
            let rank = parts.next().and_then(|rank| rank.parse().ok());
            let rate = parts.next().and_then(|rate| rate.parse().ok());
            Some(RawAccount {
                name: name.to_owned(),
                rank,
                rate_per_s: rate.unwrap_or(0.0),
                burst: rate.unwrap_or(0.0),
                keys: words.map(str::to_owned).collect(),
            })
        });
        let accounts: Vec<RawAccount> = accounts.collect();
        let raw = RawConfiguration {
            accounts: accounts.into(),
            version: version.ok_or_else(|| invalid("no version"))?,
            routes: routes.collect(),
            ..RawConfiguration::default()
        };
        Ok(raw.into())
    }

    fn configuration_key(&self) -> Key {
        Key::from_static(CONFIGURATION_KEY)
    }

    fn store_codec(&self) -> Arc<dyn StoreCodec> {
        Arc::new(NativeCodec)
    }
}
