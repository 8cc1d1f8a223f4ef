//! Large bodies that are sent slowly.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use tokio::time::Instant;

use super::query::WorkQuery;
use super::work::Job;
use crate::answer::Pattern;
use crate::http::AnswerBody;

/// Number of chunks that may wait for the connection.
const CHUNKS_IN_FLIGHT: usize = 2;
/// Time between two chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// Answer whose bytes are spread evenly over `time`; `job` ends with the body.
pub fn slow_answer(job: Job, query: &WorkQuery, time: Duration) -> Response<AnswerBody> {
    let (tx, body) = Channel::<Bytes, io::Error>::new(CHUNKS_IN_FLIGHT);
    tokio::spawn(send(job, tx, query.clone(), time));
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = query.status;
    if !query.chunked {
        let length = query.bytes.into();
        answer.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    answer
}

async fn send(job: Job, mut tx: Sender<Bytes, io::Error>, query: WorkQuery, time: Duration) {
    let started = Instant::now();
    let chunks = (time.as_micros() / CHUNK_INTERVAL.as_micros()).max(1) as u64;
    let last = query.cut.unwrap_or(query.bytes);
    let mut pattern = Pattern::new(&job.request_id, &job.path);
    for index in 0..chunks {
        let end = (query.bytes * (index + 1) / chunks).min(last);
        let chunk = pattern.take((end - pattern.position()) as usize);
        if tx.send_data(chunk.into()).await.is_err() {
            return;
        }
        let due = time.mul_f64((index + 1) as f64 / chunks as f64);
        tokio::time::sleep_until(started + due).await;
        if pattern.position() == last && query.cut.is_some() {
            job.fail();
            tx.abort(io::ErrorKind::ConnectionAborted.into());
            return;
        }
    }
    job.complete();
}
