//! Poisson arrivals of weighted kinds from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::settings::{LoadKind, Phase};

/// One arrival of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index into the kinds.
    pub kind: usize,
}

/// Iterator over the arrivals of all phases.
#[derive(Debug)]
pub struct Arrivals {
    rng: SmallRng,
    phases: Vec<Phase>,
    phase: usize,
    phase_start: Duration,
    at: Duration,
    shares: Vec<f64>,
}

impl Arrivals {
    /// Arrivals of `kinds` over `phases`.
    pub fn new(seed: u64, phases: &[Phase], kinds: &[LoadKind]) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            phases: phases.to_vec(),
            phase: 0,
            phase_start: Duration::ZERO,
            at: Duration::ZERO,
            shares: kinds.iter().map(|kind| kind.share).collect(),
        }
    }

    fn kind(&mut self) -> usize {
        let total: f64 = self.shares.iter().sum();
        let mut left = self.rng.random::<f64>() * total;
        for (index, share) in self.shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return index;
            }
        }
        self.shares.len().saturating_sub(1)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let phase = *self.phases.get(self.phase)?;
            let end = self.phase_start + phase.duration;
            if phase.rate > 0.0 {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / phase.rate;
                let at = self.at + Duration::from_secs_f64(gap);
                if at < end {
                    self.at = at;
                    let kind = self.kind();
                    return Some(Arrival { at, kind });
                }
            }
            self.at = end;
            self.phase_start = end;
            self.phase += 1;
        }
    }
}
