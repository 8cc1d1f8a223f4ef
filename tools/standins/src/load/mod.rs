//! Caller load: open-loop arrivals from a seed, with retries and a check of every answer.

mod arrivals;
mod client;
mod report;
mod settings;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::Report as ErrorReport;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::importance::Idempotency;
use rhubarblanding_core::time::UnixMillis;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use arrivals::{Arrival, Arrivals};
pub use client::{Caller, Identity};
pub use report::{
    Attempt, Ending, KindReport, Outcome, Refused, Report, new_histogram, quantile_ms,
};
pub use settings::{LoadKind, LoadSettings, Phase, RetryMode, Route};

use crate::error::StandinError;

/// Caller load.
#[derive(Clone, Copy, Debug)]
pub struct Load;

impl Load {
    /// Sends the load on the current runtime and waits for the last answer.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if there is no kind, no phase or no address.
    pub async fn run(cfg: LoadSettings) -> Result<Report, ErrorReport<StandinError>> {
        check(&cfg)?;
        let cfg = Arc::new(cfg);
        let caller = Arc::new(Caller::new());
        let mut rng = SmallRng::seed_from_u64(cfg.seed ^ u64::from(std::process::id()));
        let mut tasks = JoinSet::new();
        let mut outcomes = Vec::new();
        let mut max_send_delay = Duration::ZERO;
        let started = Instant::now();
        let arrivals = Arrivals::new(cfg.seed, &cfg.phases, &cfg.kinds);
        for (number, arrival) in arrivals.enumerate() {
            tokio::time::sleep_until(started + arrival.at).await;
            max_send_delay = max_send_delay.max(started.elapsed().saturating_sub(arrival.at));
            let identity = identity(&cfg, arrival, number, &mut rng);
            tasks.spawn(one_request(
                cfg.clone(),
                caller.clone(),
                identity,
                arrival.kind,
                started,
            ));
            while let Some(Ok(outcome)) = tasks.try_join_next() {
                outcomes.push(outcome);
            }
        }
        while let Some(ended) = tasks.join_next().await {
            outcomes.extend(ended);
        }
        Ok(Report::new(&cfg, outcomes, max_send_delay))
    }
}

fn check(cfg: &LoadSettings) -> Result<(), ErrorReport<StandinError>> {
    let missing = if cfg.kinds.is_empty() {
        "kind: at least one is needed"
    } else if cfg.phases.is_empty() {
        "rate: at least one phase is needed"
    } else if cfg.route.addresses().is_empty() {
        "entry: at least one address is needed"
    } else {
        return Ok(());
    };
    Err(ErrorReport::new(StandinError::Settings).attach(missing))
}

fn identity(cfg: &LoadSettings, arrival: Arrival, number: usize, rng: &mut SmallRng) -> Identity {
    let non_idempotent = cfg.kinds[arrival.kind].idempotency == Idempotency::NonIdempotent;
    Identity {
        request_id: format!("{}-{number}", cfg.name),
        idempotency_key: non_idempotent
            .then(|| IdempotencyKey::mint(unix_now(), rng.random()).to_string()),
    }
}

fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

async fn one_request(
    cfg: Arc<LoadSettings>,
    caller: Arc<Caller>,
    identity: Identity,
    kind: usize,
    started: Instant,
) -> Outcome {
    let arrived = started.elapsed();
    let attempts = caller.call(&cfg, &cfg.kinds[kind], &identity).await;
    Outcome {
        request_id: identity.request_id,
        idempotency_key: identity.idempotency_key,
        kind,
        arrived,
        ended: started.elapsed(),
        attempts,
    }
}
