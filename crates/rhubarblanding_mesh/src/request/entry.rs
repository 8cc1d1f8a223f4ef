//! Entry of a request: its route, deadline and rank.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Response, Uri};
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::Fingerprint;

use super::account::identify;
use super::answer::refusal;
use super::attempts::serve;
use super::content;
use super::headers::strip_connection_headers;
use super::hop::{ANSWER_HEADER, NOTICE_HEADER, REQUEST_HEADER};
use super::small_body::{HoldError, read_held};
use crate::connection::{Arrival, Payload, RequestBody, Turn};
use crate::process::FRESHNESS_HEADER;
use crate::process::{Evidence, RefusalStage, STOPPING_RETRY_AFTER, Shared};
use crate::version::ChosenRoute;

/// `Retry-After` while this node has no configuration or an outdated one, or no target for the
/// service: each usually lasts a second or two.
pub(super) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` for a route with a fault, which lasts until the operators write a new version.
const UNUSABLE_ROUTE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Request that is being served.
pub(super) struct Exchange {
    pub(super) id: HeaderValue,
    pub(super) route: ChosenRoute,
    /// That the version with the route was in force.
    pub(super) evidence: Evidence,
    pub(super) service: ServiceName,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) host: String,
    pub(super) body: Bytes,
    pub(super) began: MonoTime,
    /// Earlier of the client's deadline and the route's timeout.
    pub(super) deadline: MonoTime,
    pub(super) objective: MonoTime,
    pub(super) rank: u8,
    pub(super) account: AccountKey,
    pub(super) is_call: bool,
    pub(super) repeated: bool,
    pub(super) calls_left: u32,
}

impl Exchange {
    pub(super) fn fingerprint(&self, node: &Shared) -> Fingerprint {
        let target = (&self.method, &self.uri, &*self.host);
        content::fingerprint(node, target, &self.headers, &self.body)
    }
}

/// Answers a request of a client or of the local target.
pub async fn handle_client(
    node: Arc<Shared>,
    req: Request<RequestBody>,
    _: SocketAddr,
) -> Response<Payload> {
    let waited = req.extensions().get::<Arrival>().map(|at| at.0.elapsed());
    let began = node.clock.now() - waited.unwrap_or_default();
    let open = node.open_request();
    let mut resp = match begin_exchange(&node, req, began).await {
        Ok(exchange) => {
            let cancel_guard = CancelGuard::new(&node, &exchange);
            let resp = serve(&node, &exchange).await;
            cancel_guard.disarm();
            if exchange.is_call && !resp.status().is_success() {
                let parents = node.protocol.possible_parents(exchange.id.as_bytes());
                node.local.record_failed_call(&parents);
            }
            resp
        }
        Err(resp) => resp,
    };
    if node.is_stopping() {
        // Makes the client open its next connection, which can go to another node.
        resp.headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    resp.map(|payload| payload.guarded(Box::new(open)))
}

/// Reads a request and finds its route; refuses a request that cannot be served.
async fn begin_exchange(
    node: &Shared,
    req: Request<RequestBody>,
    began: MonoTime,
) -> Result<Exchange, Response<Payload>> {
    let (mut parts, body) = req.into_parts();
    let names = node.protocol.headers();
    let id = parts.headers.get(&names.request_id).cloned();
    let reject = |kind: ErrorKind, retry: Option<Duration>| {
        let refused = Refusal {
            kind,
            retry_after: retry,
        };
        node.log_refusal(id.as_ref(), refused, RefusalStage::AtEntry);
        refusal(refused)
    };
    let Some((version, evidence)) = Evidence::of_active(node) else {
        return Err(reject(
            ErrorKind::NoConfiguration,
            Some(NOT_READY_RETRY_AFTER),
        ));
    };
    let Some(request_id) = id.clone() else {
        return Err(reject(ErrorKind::InvalidRequest, None));
    };
    let host = host_of(&parts.headers, &parts.uri)
        .unwrap_or_default()
        .to_owned();
    let route = match ChosenRoute::find(&version, &host, parts.uri.path()) {
        Ok(route) => route,
        // A newer version may have the route.
        Err(ErrorKind::UnknownRoute) if is_outdated(node) => {
            let kind = ErrorKind::ConfigurationOutdated;
            return Err(reject(kind, Some(NOT_READY_RETRY_AFTER)));
        }
        Err(kind) => {
            let retry = (kind == ErrorKind::UnusableRoute).then_some(UNUSABLE_ROUTE_RETRY_AFTER);
            return Err(reject(kind, retry));
        }
    };
    let is_idempotent = route.route().idempotency == Idempotency::Idempotent;
    if !is_idempotent && let Some(turn) = parts.extensions.remove::<Turn>() {
        // An answer that cannot be delivered would leave open whether the request ran.
        turn.wait().await;
    }
    let parents = node.protocol.possible_parents(request_id.as_bytes());
    // Calls carry no key; a request with one is a client's, whatever its identifier.
    let has_key = parts.headers.contains_key(&names.credential);
    let lineage = match has_key {
        true => None,
        false => node.local.begin_call(&parents),
    };
    if node.is_refusing_clients() && lineage.is_none() {
        return Err(reject(ErrorKind::NodeDraining, Some(STOPPING_RETRY_AFTER)));
    }
    let basis = (&*version, evidence);
    let account = identify(node, basis, &route, &mut parts.headers, lineage).map_err(refusal)?;
    account.charge(node, &request_id).await.map_err(refusal)?;
    let deadline = began + time_allowed(node, &parts.headers, &route);
    let limit = version.configuration().limits.body_bytes;
    let body = tokio::select! {
        biased;
        body = read_held(body, limit, &node.request_pool) => body,
        () = node.answer_time_over() => {
            return Err(reject(ErrorKind::NodeDraining, Some(STOPPING_RETRY_AFTER)));
        }
        () = tokio::time::sleep_until(node.clock.instant(deadline)) => {
            return Err(reject(ErrorKind::DeadlineBeforeRun, None));
        }
    };
    let body = match body {
        Ok(body) => body,
        // A newer version may allow it.
        Err(HoldError::TooLarge) if is_outdated(node) => {
            let kind = ErrorKind::ConfigurationOutdated;
            return Err(reject(kind, Some(NOT_READY_RETRY_AFTER)));
        }
        Err(HoldError::TooLarge) => return Err(reject(ErrorKind::BodyTooLarge, None)),
        Err(HoldError::Cut) => return Err(reject(ErrorKind::InvalidRequest, None)),
        Err(HoldError::NoMemory) => {
            return Err(reject(ErrorKind::Overloaded, Some(NOT_READY_RETRY_AFTER)));
        }
    };
    if node.is_refusing_clients() && lineage.is_none() {
        // Its body took until now.
        return Err(reject(ErrorKind::NodeDraining, Some(STOPPING_RETRY_AFTER)));
    }
    account.check(node, &request_id).map_err(refusal)?;
    let route_objective = began + route.route().objective;
    let objective = lineage
        .map_or(route_objective, |l| l.objective)
        .min(deadline);
    let rank = account.rank.unwrap_or(route.route().rank);
    let rank = lineage.map_or(rank, |l| l.rank);
    strip_connection_headers(&mut parts.headers);
    for name in [header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        parts.headers.remove(name);
    }
    for name in [REQUEST_HEADER, ANSWER_HEADER, NOTICE_HEADER] {
        parts.headers.remove(name);
    }
    parts.headers.remove(FRESHNESS_HEADER);
    parts.headers.remove(&names.expected_instance);
    if let Ok(caller) = HeaderValue::try_from(node.settings().service.as_str()) {
        parts.headers.insert(names.caller_service.clone(), caller);
    }
    let uri = parts
        .uri
        .into_parts()
        .path_and_query
        .map_or_else(Default::default, Into::into);
    let service = route.next_backend().service.clone();
    Ok(Exchange {
        id: request_id,
        route,
        evidence,
        service,
        method: parts.method,
        uri,
        headers: parts.headers,
        host,
        body,
        began,
        deadline,
        objective,
        rank,
        account: account.key,
        is_call: lineage.is_some(),
        repeated: lineage.is_some_and(|l| l.repeated),
        calls_left: lineage.map_or(0, |l| l.calls_left),
    })
}

/// Returns the time for which a request may be kept waiting: that of the client or of the route,
/// whichever is shorter.
fn time_allowed(node: &Shared, headers: &HeaderMap, route: &ChosenRoute) -> Duration {
    let client = headers
        .get(&node.protocol.headers().deadline_ms)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse().ok())
        .map(Duration::from_millis);
    let timeout = route.route().timeout;
    client.map_or(timeout, |client| client.min(timeout))
}

/// Returns `true` if a version newer than the active one may be in force for longer than nodes in
/// touch take to adopt it.
fn is_outdated(node: &Shared) -> bool {
    let limit = node.settings().accounts.adoption;
    node.configuration_age().is_none_or(|age| age >= limit)
}

fn host_of<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    uri.authority()
        .map(|authority| authority.as_str())
        .or_else(|| headers.get(header::HOST)?.to_str().ok())
}

/// Logs the request as cancelled if it is dropped, because the client disconnected, before
/// [`Self::disarm`].
struct CancelGuard<'a> {
    node: &'a Shared,
    exchange: &'a Exchange,
    armed: bool,
}

impl<'a> CancelGuard<'a> {
    fn new(node: &'a Shared, exchange: &'a Exchange) -> Self {
        Self {
            node,
            exchange,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let waited = self.node.clock.now().since(self.exchange.began);
            self.node
                .log_cancelled(&self.exchange.id, &self.exchange.service, waited);
        }
    }
}
