//! The project's own wire format.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, StatusCode};

use super::body::{GrantBody, LeaseBody, ListBody, RevisionBody};
use super::{StoreCall, StoreCodec, StoreResult, WireAnswer, WireCall};
use crate::error::StoreError;
use crate::key::Key;
use crate::value::{CasOutcome, Era, Lease, LeaseId, ListPage, Revision, Versioned, WatchOutcome};

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Header that carries the era of the service.
const ERA_HEADER: &str = "x-era";

/// Codec of the project's own wire format.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeCodec;

fn plain(method: Method, path: String, body: Bytes) -> WireCall {
    WireCall {
        method,
        path,
        content_type: None,
        body,
    }
}

fn put_path(key: &Key, expected: Revision, lease: Option<LeaseId>) -> String {
    match lease {
        Some(lease) => format!("/v1/kv/{key}?expected={expected}&lease={}", lease.number()),
        None => format!("/v1/kv/{key}?expected={expected}"),
    }
}

fn lease_body(lease: Option<LeaseId>, ttl: std::time::Duration) -> Bytes {
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    let lease = lease.map(LeaseId::number);
    LeaseBody { lease, ttl_ms }.to_bytes()
}

fn revision(answer: &WireAnswer) -> StoreResult<Revision> {
    answer
        .headers
        .get(REVISION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map(|number| answer.revision(number))
        .ok_or_else(|| Report::new(StoreError::InvalidAnswer))
        .attach("no valid revision header")
}

fn versioned(answer: WireAnswer) -> StoreResult<Versioned> {
    Ok(Versioned {
        revision: revision(&answer)?,
        value: answer.body,
    })
}

impl StoreCodec for NativeCodec {
    fn era(&self, headers: &HeaderMap) -> Option<Era> {
        super::era_header(headers, ERA_HEADER)
    }

    fn encode(&self, call: &StoreCall) -> WireCall {
        match call {
            StoreCall::Get { key } => plain(Method::GET, format!("/v1/kv/{key}"), Bytes::new()),
            StoreCall::Put {
                key,
                expected,
                value,
                lease,
            } => plain(Method::PUT, put_path(key, *expected, *lease), value.clone()),
            StoreCall::Watch { key, after, wait } => {
                let millis = wait.as_millis();
                let path = format!("/v1/watch/{key}?after={after}&wait_ms={millis}");
                plain(Method::GET, path, Bytes::new())
            }
            StoreCall::Grant { ttl } => {
                plain(Method::POST, "/v1/lease".into(), lease_body(None, *ttl))
            }
            StoreCall::Renew { lease, ttl } => plain(
                Method::POST,
                "/v1/lease".into(),
                lease_body(Some(*lease), *ttl),
            ),
            StoreCall::List { prefix, .. } => plain(
                Method::GET,
                format!("/v1/list?prefix={prefix}"),
                Bytes::new(),
            ),
        }
    }

    fn decode_get(&self, answer: WireAnswer) -> StoreResult<Option<Versioned>> {
        match answer.status {
            StatusCode::OK => versioned(answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unexpected_status()),
        }
    }

    fn decode_put(&self, answer: WireAnswer) -> StoreResult<CasOutcome> {
        let revision = |answer: &WireAnswer| {
            let body = answer.json::<RevisionBody>();
            body.map(|body| answer.revision(body.revision))
        };
        match answer.status {
            StatusCode::OK => revision(&answer).map(CasOutcome::Stored),
            StatusCode::CONFLICT => revision(&answer).map(CasOutcome::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Report::new(StoreError::ValueTooLarge)),
            StatusCode::GONE => Err(Report::new(StoreError::LeaseLapsed)),
            _ => Err(answer.unexpected_status()),
        }
    }

    fn decode_watch(&self, _key: &Key, answer: WireAnswer) -> StoreResult<WatchOutcome> {
        match answer.status {
            StatusCode::OK => versioned(answer).map(WatchOutcome::Changed),
            StatusCode::NOT_FOUND => revision(&answer).map(WatchOutcome::Removed),
            StatusCode::NO_CONTENT => Ok(WatchOutcome::Unchanged(Revision::ABSENT)),
            _ => Err(answer.unexpected_status()),
        }
    }

    fn decode_lease(&self, _renewed: Option<LeaseId>, answer: WireAnswer) -> StoreResult<Lease> {
        match answer.status {
            StatusCode::OK => {
                let era = answer.era;
                answer.json().map(|body: GrantBody| body.into_lease(era))
            }
            StatusCode::GONE => Err(Report::new(StoreError::LeaseLapsed)),
            _ => Err(answer.unexpected_status()),
        }
    }

    fn decode_list(&self, answer: WireAnswer) -> StoreResult<ListPage> {
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected_status());
        }
        let body: ListBody = answer.json().change_context(StoreError::InvalidAnswer)?;
        let entries = body.entries.into_iter();
        Ok(ListPage {
            entries: entries.map(|e| e.into_entry(answer.era)).collect(),
            more: false,
        })
    }
}
