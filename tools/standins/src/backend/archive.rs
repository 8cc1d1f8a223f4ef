//! Large bodies that are sent slowly.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::{BodyExt, channel::Channel};
use tokio::time::Instant;

use super::work::Job;
use crate::answer::Pattern;
use crate::http::AnswerBody;

/// Number of chunks that may wait for the connection.
const CHUNKS_IN_FLIGHT: usize = 2;
/// Time between two chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// Answer whose `bytes` are spread evenly over `time`; `job` ends with the body.
pub fn slow_answer(job: Job, bytes: u64, time: Duration) -> Response<AnswerBody> {
    let (mut tx, body) = Channel::<Bytes>::new(CHUNKS_IN_FLIGHT);
    let chunks = (time.as_micros() / CHUNK_INTERVAL.as_micros()).max(1) as u64;
    let mut pattern = Pattern::new(&job.request_id, &job.path);
    tokio::spawn(async move {
        let started = Instant::now();
        for index in 0..chunks {
            let end = bytes * (index + 1) / chunks;
            let chunk = pattern.take((end - pattern.position()) as usize);
            if tx.send_data(chunk.into()).await.is_err() {
                return;
            }
            tokio::time::sleep_until(started + time.mul_f64((index + 1) as f64 / chunks as f64))
                .await;
        }
        job.complete();
    });
    let mut answer = Response::new(body.boxed());
    answer
        .headers_mut()
        .insert(header::CONTENT_LENGTH, bytes.into());
    answer
}
