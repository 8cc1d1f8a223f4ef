//! A call as it travels between nodes.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, uri::PathAndQuery};
use http_body_util::Full;
use rhubarblanding_admission::prelude::KindId;
use rhubarblanding_core::prelude::*;
use rhubarblanding_once::prelude::Role;
use rhubarblanding_request::prelude::*;

use super::headers;

/// What a call asks for, apart from where it goes.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service that is called.
    pub service: ServiceName,
    /// Number of the kind within the service.
    pub kind: KindId,
    /// Method for the backend server.
    pub method: Method,
    /// Path for the backend server.
    pub path: PathAndQuery,
    /// Headers of the caller without those of the system.
    pub headers: HeaderMap,
    /// Whole request body.
    pub body: Bytes,
    /// Idempotency key of a non-idempotent call.
    pub key: Option<IdempotencyKey>,
}

impl CallRequest {
    /// Digest that tells this call from others of the same request.
    pub fn digest(&self) -> CallDigest {
        let distinct: &[u8] = match &self.key {
            Some(key) => key.as_bytes(),
            None => &self.body,
        };
        CallDigest::of(
            self.method.as_str(),
            self.service.as_str(),
            self.path.as_str(),
            distinct,
        )
    }

    /// The request for the node at `host`.
    pub fn to_peer(&self, host: HostId, hop: &Hop) -> Option<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(host.to_string())
            .path_and_query(self.path.clone())
            .build()
            .ok()?;
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        let mut out = self.headers.clone();
        hop.write(&self.service, &mut out);
        if let Some(key) = &self.key {
            out.insert(headers::IDEMPOTENCY_KEY, headers::value(key));
        }
        *req.headers_mut() = out;
        Some(req)
    }
}

/// What the sender of a call tells the target's node about it.
#[derive(Clone, Copy, Debug)]
pub struct Hop {
    /// Root, importance and idempotency; the deadline travels as the time left.
    pub cx: RequestContext,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Retries lent to the call.
    pub allowance: u8,
    /// Host that sends the call.
    pub from: HostId,
    /// Version of the sender's document.
    pub document: DocVersion,
    /// In which capacity the target is asked for a key.
    pub role: Role,
}

impl Hop {
    fn write(&self, service: &ServiceName, out: &mut HeaderMap) {
        out.insert(headers::SERVICE, headers::value(service));
        out.insert(headers::ROOT, headers::value(self.cx.root));
        out.insert(headers::IMPORTANCE, headers::value(self.cx.importance));
        out.insert(headers::IDEMPOTENCY, headers::value(self.cx.idempotency));
        let remaining = self.remaining.as_millis();
        out.insert(headers::DEADLINE_MS, headers::value(remaining));
        out.insert(headers::ALLOWANCE, headers::value(self.allowance));
        out.insert(headers::FROM, headers::value(self.from));
        out.insert(headers::DOCUMENT, headers::value(self.document.0));
        if self.role == Role::Substitute {
            out.insert(headers::SUBSTITUTE, headers::value(1));
        }
    }

    /// Reads the headers of a call between nodes.
    ///
    /// # Errors
    ///
    /// The name of the first header that is absent or malformed.
    pub fn read(now: MonoTime, map: &HeaderMap) -> Result<Self, &'static str> {
        let root: String = headers::parse(map, &headers::ROOT).ok_or("rhubarblanding-root")?;
        let root = u64::from_str_radix(&root, 16).map_err(|_| "rhubarblanding-root")?;
        let importance =
            headers::parse(map, &headers::IMPORTANCE).ok_or("rhubarblanding-importance")?;
        let idempotency =
            headers::parse(map, &headers::IDEMPOTENCY).ok_or("rhubarblanding-idempotency")?;
        let millis =
            headers::parse(map, &headers::DEADLINE_MS).ok_or("rhubarblanding-deadline-ms")?;
        let remaining = Duration::from_millis(millis);
        let allowance =
            headers::parse(map, &headers::ALLOWANCE).ok_or("rhubarblanding-allowance")?;
        let from = headers::parse(map, &headers::FROM).ok_or("rhubarblanding-from")?;
        let document = headers::parse(map, &headers::DOCUMENT).ok_or("rhubarblanding-document")?;
        let role = match map.contains_key(headers::SUBSTITUTE) {
            true => Role::Substitute,
            false => Role::Home,
        };
        Ok(Self {
            cx: RequestContext::new(RootId(root), importance, now + remaining, idempotency),
            remaining,
            allowance,
            from: HostId(from),
            document: DocVersion(document),
            role,
        })
    }
}
