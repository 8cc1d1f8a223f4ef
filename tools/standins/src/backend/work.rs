//! Handling of one request by the backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;

use super::calls::{CallFailure, Origin};
use super::control::count;
use super::query::WorkQuery;
use super::slots::Presence;
use super::{Shared, archive};
use crate::answer;
use crate::headers;
use crate::http::{AnswerBody, bytes_answer, header_number, header_text};

/// Time over which an archive is sent when the request does not say.
const ARCHIVE_TIME: Duration = Duration::from_secs(1);
/// Time over which any other body is sent that is not sent at once.
const STREAM_TIME: Duration = Duration::from_millis(60);

/// One request that holds a slot; dropping it before [`Job::complete`] is a cancellation.
#[derive(Debug)]
pub struct Job {
    /// Identifier of the request.
    pub request_id: String,
    /// Path of the request, without the query.
    pub path: String,
    shared: Arc<Shared>,
    busy_since: Option<Instant>,
    completed: bool,
    _presence: Presence,
    _slot: OwnedSemaphorePermit,
}

impl Job {
    /// Ends the job with success.
    pub fn complete(mut self) {
        self.finish();
        count(&self.shared.counters.completed);
    }

    /// Ends the job without success, though not by cancellation.
    pub fn fail(mut self) {
        self.finish();
    }

    fn finish(&mut self) {
        self.stop_work();
        self.completed = true;
    }

    fn stop_work(&mut self) {
        if let Some(since) = self.busy_since.take() {
            self.shared.runs.add_busy(&self.request_id, since.elapsed());
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.stop_work();
        if !self.completed {
            count(&self.shared.counters.cancelled);
        }
    }
}

/// Answers a work request.
pub async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    count(&shared.counters.arrived);
    let arrived = Instant::now();
    let (parts, body) = req.into_parts();
    let query = match WorkQuery::try_from(&parts.uri) {
        Ok(query) => query,
        Err(report) => return bytes_answer(StatusCode::BAD_REQUEST, format!("{report:?}")),
    };
    if http_body_util::BodyExt::collect(body).await.is_err() {
        return bytes_answer(StatusCode::BAD_REQUEST, "body cut short");
    }
    let request_id = header_text(&parts.headers, headers::REQUEST_ID).unwrap_or("none");
    let key = header_text(&parts.headers, headers::IDEMPOTENCY_KEY);
    shared.runs.arrive(request_id, key);
    let presence = shared.slots.enter();
    if shared.is_over_limit() {
        count(&shared.counters.shed);
        return not_run("shed by the backend server");
    }
    let Some(slot) = shared.slots.acquire().await else {
        return not_run("stopping");
    };
    if shared.check_deadline && deadline_passed(&parts.headers, arrived) {
        count(&shared.counters.expired);
        return not_run("the deadline passed before the start");
    }
    let job = begin(&shared, request_id, &query, presence, slot);
    run(shared, job, query, &parts, arrived).await
}

fn begin(
    shared: &Arc<Shared>,
    request_id: &str,
    query: &WorkQuery,
    presence: Presence,
    slot: OwnedSemaphorePermit,
) -> Job {
    shared.runs.begin(request_id);
    count(&shared.counters.started);
    Job {
        request_id: request_id.to_owned(),
        path: query.path.clone(),
        shared: shared.clone(),
        busy_since: Some(Instant::now()),
        completed: false,
        _presence: presence,
        _slot: slot,
    }
}

async fn run(
    shared: Arc<Shared>,
    mut job: Job,
    query: WorkQuery,
    parts: &Parts,
    arrived: Instant,
) -> Response<AnswerBody> {
    if query.is_archive() {
        let time = query.time.unwrap_or(ARCHIVE_TIME);
        return archive::slow_answer(job, &query, time);
    }
    let mean = query.time.unwrap_or_else(|| shared.control().service_time);
    tokio::time::sleep(shared.service_times.draw(mean)).await;
    job.stop_work();
    let origin = Origin::new(&parts.method, &parts.headers, &job.request_id, arrived);
    if let Err(failure) = shared.calls.call_all(&shared, &origin).await {
        job.fail();
        return failed_call(&failure);
    }
    if shared.control().fail {
        job.fail();
        return bytes_answer(StatusCode::INTERNAL_SERVER_ERROR, "told to fail");
    }
    if query.false_not_run {
        job.fail();
        return not_run("said falsely");
    }
    if query.is_streamed() {
        return archive::slow_answer(job, &query, STREAM_TIME);
    }
    let sent = query.short.unwrap_or(query.bytes);
    let body = answer::whole(&job.request_id, &query.path, sent);
    job.complete();
    bytes_answer(query.status, body)
}

fn deadline_passed(headers: &HeaderMap, arrived: Instant) -> bool {
    header_number(headers, headers::DEADLINE_MS)
        .is_some_and(|ms| arrived.elapsed() >= Duration::from_millis(ms))
}

fn not_run(reason: &'static str) -> Response<AnswerBody> {
    let mut answer = bytes_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = HeaderValue::from_static("not-run");
    answer.headers_mut().insert(headers::RUN_STATE, value);
    answer
}

fn failed_call(failure: &CallFailure) -> Response<AnswerBody> {
    bytes_answer(
        StatusCode::BAD_GATEWAY,
        format!(
            "downstream call to {} failed: {}",
            failure.service, failure.reason
        ),
    )
}
