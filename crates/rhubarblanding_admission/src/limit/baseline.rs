//! Baseline latency of each kind of request.

use std::time::Duration;

use crate::gate::KindId;

/// Samples of a kind that a window needs to change its baseline.
const SAMPLES_MIN: u32 = 4;
/// Divisor of the difference to a lower mean, by which a baseline decreases per window.
const FALL_DIVISOR: u64 = 2;
/// Divisor of the difference to a higher mean, by which a baseline increases per window.
const RISE_DIVISOR: u64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct KindBaseline {
    micros: u64,
    window_sum: u64,
    window_count: u32,
}

impl KindBaseline {
    fn mean(&self) -> u64 {
        (self.window_sum / u64::from(self.window_count.max(1))).max(1)
    }

    fn follow(&mut self) {
        let mean = self.mean();
        self.micros = if self.micros == 0 {
            mean
        } else if mean < self.micros {
            self.micros - (self.micros - mean) / FALL_DIVISOR
        } else {
            self.micros + (mean - self.micros) / RISE_DIVISOR
        };
    }
}

/// Baselines of all kinds.
///
/// Dividing each sample by the baseline of its kind makes the result independent of the mix.
#[derive(Clone, Debug)]
pub(super) struct Baselines {
    kinds: [KindBaseline; KindId::MAX as usize + 1],
}

impl Baselines {
    pub(super) fn new() -> Self {
        Self {
            kinds: [KindBaseline::default(); KindId::MAX as usize + 1],
        }
    }

    /// Records a sample and returns it as a multiple of the baseline.
    pub(super) fn record(&mut self, kind: KindId, own: Duration) -> f64 {
        let entry = &mut self.kinds[kind.index()];
        let micros = own.as_micros() as u64;
        entry.window_sum += micros;
        entry.window_count += 1;
        if entry.micros == 0 {
            return 1.0;
        }
        micros as f64 / entry.micros as f64
    }

    /// Ends the window and moves the baselines towards its means.
    pub(super) fn follow(&mut self) {
        self.end_window(KindBaseline::follow);
    }

    /// Ends the window and replaces the baselines by its means.
    pub(super) fn adopt(&mut self) {
        self.end_window(|kind| kind.micros = kind.mean());
    }

    /// Ends the window without changing the baselines.
    pub(super) fn discard(&mut self) {
        self.end_window(|_| {});
    }

    fn end_window(&mut self, update: impl Fn(&mut KindBaseline)) {
        for kind in &mut self.kinds {
            if kind.window_count >= SAMPLES_MIN {
                update(kind);
            }
            kind.window_sum = 0;
            kind.window_count = 0;
        }
    }
}
